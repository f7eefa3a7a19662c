// Small helpers for text from files and command lines.
#pragma once

#include "rhubarb/Errors.h"
#include "rhubarb/Types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarb::net {

// Splits at commas, skipping empty parts.
std::vector<std::string> splitCommas(std::string_view Text);
// Parses an integer. Returns Default if Text is not one.
std::int64_t parseInteger(std::string_view Text, std::int64_t Default);
// Parses seconds, with or without a fraction, capped at a day. Returns 0 if
// Text is anything else, such as a date or a negative number.
Duration parseSeconds(std::string_view Text);
// Parses a rate per second, a decimal number of 0 or more. Returns nothing if
// Text is anything else.
std::optional<double> parseRate(std::string_view Text);
// Reads a whole file. Errors contain its name.
Result<std::string> readFile(const std::string &Name);

} // namespace rhubarb::net
