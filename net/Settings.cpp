#include "net/Settings.h"

#include "net/Ini.h"
#include "net/Text.h"

#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>
#include <charconv>
#include <set>
#include <stdexcept>

namespace rhubarb::net {
namespace {

constexpr int MaxPort = 65535;

bool parseNumber(std::string_view Text, std::int64_t &Value) {
  const char *End = Text.data() + Text.size();
  auto [Rest, Error] = std::from_chars(Text.data(), End, Value);
  return Error == std::errc() && Rest == End;
}

bool isIp(const std::string &Text) {
  boost::system::error_code Error;
  boost::asio::ip::make_address_v4(Text, Error);
  return !Error;
}

bool isAddress(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  std::int64_t Port = 0;
  return Colon != std::string::npos && isIp(Text.substr(0, Colon)) &&
         parseNumber(std::string_view(Text).substr(Colon + 1), Port) &&
         Port > 0 && Port <= MaxPort;
}

// Describes the allowed values, for error messages, --help-config and
// docs/SETTINGS.md.
std::string allowedText(const SettingRow &Row) {
  switch (Row.m_Kind) {
  case SettingKind::Number:
    return std::to_string(Row.m_Min) + " to " + std::to_string(Row.m_Max) +
           " " + Row.m_UnitOrChoices;
  case SettingKind::Flag:
    return "yes or no";
  case SettingKind::Ip:
    return "an IPv4 number";
  case SettingKind::Address:
    return "IPv4:port, several by commas";
  case SettingKind::Choice:
    return std::string("one of ") + Row.m_UnitOrChoices;
  case SettingKind::Text:
    break;
  }
  return "text";
}

bool isAllowed(const SettingRow &Row, const std::string &Value) {
  std::int64_t Number = 0;
  switch (Row.m_Kind) {
  case SettingKind::Number:
    return parseNumber(Value, Number) && Number >= Row.m_Min &&
           Number <= Row.m_Max;
  case SettingKind::Flag:
    return Value == "yes" || Value == "no";
  case SettingKind::Ip:
    return isIp(Value);
  case SettingKind::Address: {
    std::vector<std::string> Parts = splitCommas(Value);
    return std::all_of(Parts.begin(), Parts.end(), isAddress);
  }
  case SettingKind::Choice: {
    std::vector<std::string> Parts = splitCommas(Row.m_UnitOrChoices);
    return std::find(Parts.begin(), Parts.end(), Value) != Parts.end();
  }
  case SettingKind::Text:
    break;
  }
  return true;
}

// Errors found while loading one set of settings.
class ErrorList {
public:
  explicit ErrorList(std::string File) : m_File(std::move(File)) {}
  void add(const std::string &Name, const std::string &Value,
           const std::string &Text) {
    m_Text += (m_File.empty() ? "(command line)" : m_File) + ": " + Name +
              " = '" + Value + "': " + Text + "\n";
  }
  const std::string &text() const { return m_Text; }

private:
  std::string m_File;
  std::string m_Text;
};

} // namespace

Result<Settings> Settings::load(const SettingTable &Table,
                                const std::string &File,
                                const std::vector<std::string> &Overrides) {
  ErrorList Errors(File);
  std::map<std::string, std::string> Input;
  if (!File.empty()) {
    Result<std::string> Text = readFile(File);
    if (!Text)
      return Error{ErrorKind::BadRequest, Text.error().m_Message + "\n"};
    Result<ConfigSections> Sections = parseIni(Text.value());
    if (!Sections)
      return Error{ErrorKind::BadRequest,
                   File + ": " + Sections.error().m_Message + "\n"};
    for (const auto &[Section, Values] : Sections.value())
      for (const auto &[Key, Value] : Values)
        Input[Section + "." + Key] = Value;
  }
  for (const std::string &Override : Overrides) {
    std::size_t Equals = Override.find('=');
    if (Equals == std::string::npos)
      Errors.add("--set", Override, "takes section.key=value");
    else
      Input[Override.substr(0, Equals)] = Override.substr(Equals + 1);
  }
  Settings Loaded;
  std::set<std::string> TableNames;
  for (const SettingRow &Row : Table) {
    std::string Name = std::string(Row.m_Section) + "." + Row.m_Key;
    TableNames.insert(Name);
    auto InputRow = Input.find(Name);
    if (InputRow == Input.end() && Row.m_Default == nullptr) {
      Errors.add(Name, "", "is missing; takes " + allowedText(Row));
      continue;
    }
    std::string Value =
        InputRow == Input.end() ? Row.m_Default : InputRow->second;
    bool Empty = Value.empty() && Row.m_Default != nullptr;
    if (!Empty && !isAllowed(Row, Value))
      Errors.add(Name, Value, "takes " + allowedText(Row));
    Loaded.m_Values[Name] = Value;
  }
  for (const auto &[Name, Value] : Input)
    if (!TableNames.contains(Name))
      Errors.add(Name, Value, "is not a setting; see --help-config");
  if (!Errors.text().empty())
    return Error{ErrorKind::BadRequest, Errors.text()};
  return Loaded;
}

const std::string &Settings::text(const std::string &Name) const {
  auto Setting = m_Values.find(Name);
  if (Setting == m_Values.end())
    throw std::logic_error("setting " + Name +
                           " is missing in the table of keys");
  return Setting->second;
}

std::int64_t Settings::number(const std::string &Name) const {
  std::int64_t Value = 0;
  parseNumber(text(Name), Value);
  return Value;
}

Duration Settings::millis(const std::string &Name) const {
  return std::chrono::milliseconds(number(Name));
}

bool Settings::flag(const std::string &Name) const {
  return text(Name) == "yes";
}

std::vector<std::string> Settings::list(const std::string &Name) const {
  return splitCommas(text(Name));
}

std::string describeSettings(const SettingTable &Table, bool Markdown) {
  std::string Text;
  if (Markdown)
    Text += "| key | takes | default | meaning |\n| --- | --- | --- | --- |\n";
  for (const SettingRow &Row : Table) {
    std::string Name = std::string(Row.m_Section) + "." + Row.m_Key;
    std::string Default =
        Row.m_Default == nullptr ? "(required)" : Row.m_Default;
    if (Markdown)
      Text += "| `" + Name + "` | " + allowedText(Row) + " | " + Default +
              " | " + Row.m_Help + " |\n";
    else
      Text += Name + "\n    takes " + allowedText(Row) + "; default " +
              Default + "\n    " + Row.m_Help + "\n";
  }
  return Text;
}

} // namespace rhubarb::net
