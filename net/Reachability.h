// Fault injection for tests: addresses that this process behaves as cut off
// from. Empty in production; can be set only with testing.faults = yes.
#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarb::net {

// Addresses that are cut off.
class Reachability {
public:
  // Cuts every address that starts with one of Prefixes ("127.1.2.").
  void setBlockedPrefixes(std::vector<std::string> Prefixes) {
    m_BlockedPrefixes = std::move(Prefixes);
  }
  // Returns whether traffic to and from an IP number passes.
  bool allows(std::string_view Ip) const {
    return std::none_of(
        m_BlockedPrefixes.begin(), m_BlockedPrefixes.end(),
        [&](const std::string &Prefix) { return Ip.starts_with(Prefix); });
  }

private:
  std::vector<std::string> m_BlockedPrefixes;
};

} // namespace rhubarb::net
