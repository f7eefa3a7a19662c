#include "Headers.h"

#include "net/Text.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace rhubarb::node {

using namespace rhubarb::net;

namespace {

// Header fields that concern one connection only.
constexpr std::array<std::string_view, 8> HopByHopHeaders{
    "connection", "keep-alive", "proxy-connection",  "te",
    "trailer",    "upgrade",    "transfer-encoding", "content-length"};

std::string_view trimBlanks(std::string_view Text) {
  std::size_t First = std::min(Text.find_first_not_of(" \t"), Text.size());
  Text.remove_prefix(First);
  return Text.substr(0, Text.find_last_not_of(" \t") + 1);
}

} // namespace

std::optional<ReportedLoad> readServerLoad(std::string_view Text) {
  constexpr std::size_t RequiredFigures = 3;
  constexpr std::size_t Figures = 4;
  constexpr int MaxRequests = 1'000'000;
  constexpr int MaxRunTimePercent = 100'000;
  std::array<int, Figures> Values{};
  std::size_t Count = 0;
  for (bool IsLast = false; !IsLast && Count < Figures; ++Count) {
    std::size_t Comma = Text.find(',');
    IsLast = Comma == std::string_view::npos;
    std::string_view Part = trimBlanks(Text.substr(0, Comma));
    Text.remove_prefix(IsLast ? Text.size() : Comma + 1);
    int Value = -1;
    const char *End = Part.data() + Part.size();
    auto [Stop, Error] = std::from_chars(Part.data(), End, Value);
    bool IsRequired = Count < RequiredFigures;
    bool IsOdd = Part.empty() || Error != std::errc() || Stop != End ||
                 Value < 0 ||
                 Value > (IsRequired ? MaxRequests : MaxRunTimePercent);
    if (IsOdd && IsRequired)
      return std::nullopt;
    Values[Count] = IsOdd ? 0 : Value;
  }
  if (Count < RequiredFigures)
    return std::nullopt;
  return ReportedLoad{Values[0], Values[1], Values[2], Values[3]};
}

std::string lower(std::string_view Text) {
  std::string Lowered(Text);
  for (char &C : Lowered)
    if (C >= 'A' && C <= 'Z')
      C = static_cast<char>(C + ('a' - 'A'));
  return Lowered;
}

std::vector<HeaderField>
endToEndHeaders(const std::vector<HeaderField> &Fields) {
  std::vector<std::string> Named;
  for (const HeaderField &Field : Fields)
    if (lower(Field.m_Name) == "connection")
      for (const std::string &Word : splitCommas(lower(Field.m_Value)))
        Named.push_back(
            Word.substr(Word.find_first_not_of(' ') == std::string::npos
                            ? 0
                            : Word.find_first_not_of(' ')));
  std::vector<HeaderField> Kept;
  for (const HeaderField &Field : Fields) {
    std::string Name = lower(Field.m_Name);
    bool Hop = std::find(HopByHopHeaders.begin(), HopByHopHeaders.end(),
                         Name) != HopByHopHeaders.end() ||
               std::find(Named.begin(), Named.end(), Name) != Named.end();
    if (!Hop)
      Kept.push_back(Field);
  }
  return Kept;
}

std::string_view cookie(const HttpRequest &Request, std::string_view Name) {
  std::string_view Rest = Request.header("Cookie");
  while (!Rest.empty()) {
    std::size_t End = Rest.find(';');
    std::string_view Pair = Rest.substr(0, End);
    Rest = End == std::string_view::npos ? std::string_view()
                                         : Rest.substr(End + 1);
    while (!Pair.empty() && Pair.front() == ' ')
      Pair.remove_prefix(1);
    if (Pair.starts_with(Name) && Pair.size() > Name.size() &&
        Pair[Name.size()] == '=')
      return Pair.substr(Name.size() + 1);
  }
  return {};
}

void removeField(std::vector<HeaderField> &Fields, std::string_view Name) {
  std::string Wanted = lower(Name);
  std::erase_if(Fields, [&](const HeaderField &Field) {
    return lower(Field.m_Name) == Wanted;
  });
}

std::vector<std::string> takeFields(std::vector<HeaderField> &Fields,
                                    std::string_view Name) {
  std::vector<std::string> Values;
  std::string Wanted = lower(Name);
  for (const HeaderField &Field : Fields)
    if (lower(Field.m_Name) == Wanted)
      Values.push_back(Field.m_Value);
  removeField(Fields, Name);
  return Values;
}

void setField(std::vector<HeaderField> &Fields, const std::string &Name,
              std::string Value) {
  removeField(Fields, Name);
  Fields.push_back({Name, std::move(Value)});
}

} // namespace rhubarb::node
