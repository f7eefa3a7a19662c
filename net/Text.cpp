#include "net/Text.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>

namespace rhubarb::net {

std::vector<std::string> splitCommas(std::string_view Text) {
  std::vector<std::string> Parts;
  while (!Text.empty()) {
    std::size_t Comma = std::min(Text.find(','), Text.size());
    if (Comma > 0)
      Parts.emplace_back(Text.substr(0, Comma));
    Text.remove_prefix(std::min(Comma + 1, Text.size()));
  }
  return Parts;
}

std::int64_t parseInteger(std::string_view Text, std::int64_t Default) {
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] = std::from_chars(Text.data(), End, Value);
  return Error == std::errc() && Stop == End ? Value : Default;
}

Duration parseSeconds(std::string_view Text) {
  constexpr double Day = 24 * 60 * 60;
  double Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] =
      std::from_chars(Text.data(), End, Value, std::chars_format::fixed);
  bool IsNumber = Error == std::errc() && Stop == End && std::isfinite(Value);
  if (!IsNumber || Value <= 0)
    return Duration{0};
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(Value, Day)));
}

std::optional<double> parseRate(std::string_view Text) {
  double Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] =
      std::from_chars(Text.data(), End, Value, std::chars_format::fixed);
  bool IsRate = Error == std::errc() && Stop == End && std::isfinite(Value) &&
                !std::signbit(Value);
  return IsRate ? std::optional(Value) : std::nullopt;
}

Result<std::string> readFile(const std::string &Name) {
  std::ifstream Stream;
  do { // Repeats if a signal interrupts open().
    Stream.clear();
    errno = 0;
    Stream.open(Name);
  } while (!Stream && errno == EINTR);
  if (!Stream)
    return Error{ErrorKind::BadRequest, Name + ": cannot be read"};
  std::stringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

} // namespace rhubarb::net
