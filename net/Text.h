// Small helpers for text from files and command lines.
#pragma once

#include "rhubarb/Errors.h"
#include "rhubarb/Types.h"

#include <string>
#include <string_view>
#include <vector>

namespace rhubarb::net {

// Splits at commas; empty parts are left out.
std::vector<std::string> splitCommas(std::string_view Text);
// Reads a whole number, or returns Default for anything else.
std::int64_t parseInteger(std::string_view Text, std::int64_t Default);
// Reads seconds, with or without a fraction; 0 for anything else, dates and
// negative numbers included. Longer than a day counts as a day.
Duration parseSeconds(std::string_view Text);
// Reads a whole file. The fault names it.
Result<std::string> readFile(const std::string &Name);

} // namespace rhubarb::net
