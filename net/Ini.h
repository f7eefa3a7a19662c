// Conversion between INI text and configuration sections, through
// Boost.PropertyTree.
#pragma once

#include "rhubarb/Config.h"

namespace rhubarb::net {

// Parses INI text. Comments start with ';' or '#'. An error names the line
// or the key.
Result<ConfigSections> parseIni(const std::string &Text);
// Formats sections as INI text, sorted by name.
std::string formatIni(const ConfigSections &Sections);

} // namespace rhubarb::net
