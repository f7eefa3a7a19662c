// Settings of a program: one described table of keys, from which come the
// checker, --help-config and docs/SETTINGS.md.
#pragma once

#include "rhubarb/Errors.h"
#include "rhubarb/Types.h"

#include <map>
#include <string>
#include <vector>

namespace rhubarb::net {

// What a setting's text must be.
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
  const char *m_Default; // Null: the key must be given.
  std::int64_t m_Min;    // Of numbers; 0 otherwise.
  std::int64_t m_Max;
  const char
      *m_UnitOrChoices; // Of numbers; allowed values of a choice, by commas.
  const char *m_Help;   // What the key does.
};

using SettingTable = std::vector<SettingRow>;

// Checked values. Asking for a key that is not in the table is a defect.
class Settings {
public:
  // Reads an INI file (may be empty) and overrides of the form
  // section.key=value. Reports every fault, a line each.
  static Result<Settings> load(const SettingTable &Table,
                               const std::string &File,
                               const std::vector<std::string> &Overrides);

  std::int64_t number(const std::string &Name) const;
  Duration millis(const std::string &Name) const;
  const std::string &text(const std::string &Name) const;
  bool flag(const std::string &Name) const;
  // Splits a text at commas; empty parts are left out.
  std::vector<std::string> list(const std::string &Name) const;

private:
  std::map<std::string, std::string> m_Values; // By section.key.
};

// Returns the table as text for --help-config, or as Markdown.
std::string describeSettings(const SettingTable &Table, bool Markdown);

} // namespace rhubarb::net
