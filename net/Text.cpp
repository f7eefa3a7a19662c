#include "net/Text.h"

#include <charconv>
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

std::int64_t readNumber(std::string_view Text, std::int64_t Default) {
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] = std::from_chars(Text.data(), End, Value);
  return Error == std::errc() && Stop == End ? Value : Default;
}

Result<std::string> readFile(const std::string &Name) {
  std::ifstream Stream(Name);
  if (!Stream)
    return Fault{ErrorKind::BadRequest, Name + ": cannot be read"};
  std::stringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

} // namespace rhubarb::net
