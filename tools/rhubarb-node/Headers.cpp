#include "Headers.h"

#include "net/Text.h"

#include <algorithm>
#include <array>

namespace rhubarb::node {

using namespace rhubarb::net;

namespace {

// Header fields that concern one connection only.
constexpr std::array<std::string_view, 8> HopByHopHeaders{
    "connection", "keep-alive", "proxy-connection",  "te",
    "trailer",    "upgrade",    "transfer-encoding", "content-length"};

} // namespace

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

void removeField(std::vector<HeaderField> &Fields, std::string_view Name) {
  std::string Wanted = lower(Name);
  std::erase_if(Fields, [&](const HeaderField &Field) {
    return lower(Field.m_Name) == Wanted;
  });
}

void setField(std::vector<HeaderField> &Fields, const std::string &Name,
              std::string Value) {
  removeField(Fields, Name);
  Fields.push_back({Name, std::move(Value)});
}

} // namespace rhubarb::node
