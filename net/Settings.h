// Settings of a program, declared in one table of keys. Validation,
// --help-config and docs/SETTINGS.md all use this table.
#pragma once

#include "rhubarb/Errors.h"
#include "rhubarb/Types.h"

#include <map>
#include <string>
#include <vector>

namespace rhubarb::net {

// Type of a setting's value.
enum class SettingKind : std::uint8_t {
  Number,
  Text,
  Flag,
  Ip,
  Address,
  Choice
};

// One row of the table of keys.
struct SettingRow {
  const char *m_Section;
  const char *m_Key;
  SettingKind m_Kind;
  const char *m_Default; // Null for a required setting.
  std::int64_t m_Min;    // Lower limit of a number; 0 for other kinds.
  std::int64_t m_Max;    // Upper limit of a number; 0 for other kinds.
  // Unit of a number, or choices separated by commas.
  const char *m_UnitOrChoices;
  const char *m_Help; // Description for --help-config and docs/SETTINGS.md.
};

using SettingTable = std::vector<SettingRow>;

// Validated values by name, "section.key". Reading a name that is not in the
// table is a programming error and throws std::logic_error.
class Settings {
public:
  // Loads an INI file, unless File is empty, and applies overrides of the form
  // section.key=value. The error gives one line for each invalid setting, or
  // the reason why the file is not readable.
  static Result<Settings> load(const SettingTable &Table,
                               const std::string &File,
                               const std::vector<std::string> &Overrides);

  std::int64_t number(const std::string &Name) const;
  Duration millis(const std::string &Name) const;
  const std::string &text(const std::string &Name) const;
  bool flag(const std::string &Name) const;
  // Splits a value at commas and skips empty parts.
  std::vector<std::string> list(const std::string &Name) const;

private:
  std::map<std::string, std::string> m_Values; // Values by "section.key".
};

// Returns the table as text for --help-config, or as Markdown.
std::string describeSettings(const SettingTable &Table, bool Markdown);

} // namespace rhubarb::net
