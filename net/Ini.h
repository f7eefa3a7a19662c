// INI text to sections and back, by Boost.PropertyTree.
#pragma once

#include "rhubarb/Config.h"

namespace rhubarb::net {

// Reads INI text. Comments start with ';' or '#'. A fault names the line.
Result<ConfigSections> parseIni(const std::string &Text);
// Writes sections in order of their names.
std::string formatIni(const ConfigSections &Sections);

} // namespace rhubarb::net
