// Small helpers for text from files and command lines.
#pragma once

#include "rhubarb/Errors.h"
#include "rhubarb/Types.h"

#include <string>
#include <string_view>
#include <vector>

namespace rhubarb::net {

// Splits at commas, skipping empty parts.
std::vector<std::string> splitCommas(std::string_view Text);
// Parses an integer; returns Default for any other input.
std::int64_t parseInteger(std::string_view Text, std::int64_t Default);
// Parses seconds, with or without a fraction, capped at a day. Returns 0 for
// any other input, including dates and negative numbers.
Duration parseSeconds(std::string_view Text);
// Reads a whole file. Errors name it.
Result<std::string> readFile(const std::string &Name);

} // namespace rhubarb::net
