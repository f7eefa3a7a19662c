// Fault injection for tests: simulates a network partition by blocking traffic
// with certain addresses. Empty in production; can be set only with
// testing.faults = yes.
#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarb::net {

// The addresses with which traffic is blocked.
class Reachability {
public:
  // Blocks every address that starts with one of Prefixes, such as "127.1.2.".
  void setBlockedPrefixes(std::vector<std::string> Prefixes) {
    m_BlockedPrefixes = std::move(Prefixes);
  }
  // Returns whether traffic to and from an IP address is allowed.
  bool allows(std::string_view Ip) const {
    return std::none_of(
        m_BlockedPrefixes.begin(), m_BlockedPrefixes.end(),
        [&](const std::string &Prefix) { return Ip.starts_with(Prefix); });
  }

private:
  std::vector<std::string> m_BlockedPrefixes;
};

} // namespace rhubarb::net
