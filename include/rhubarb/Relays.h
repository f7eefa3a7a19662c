// How a reader's news reaches its region. Answers the pattern in which a region
// has a hundred VMs: sent to each of them, news would fill the reader's link
// and take its processor. Some VMs of each failure domain get it and pass it
// on.
#pragma once

#include "rhubarb/Types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarb {

// A VM that is to hear news.
struct RelayTarget {
  std::string m_Vm;
  std::string m_Domain;
  bool m_Live = false; // Passes on rather than those not heard of yet.
};

// The first one gets the news and passes it on to the rest.
struct RelayGroup {
  std::string m_Relay;
  std::vector<std::string> m_Receivers;
};

// Regions of up to so many other VMs are told directly.
inline constexpr std::size_t MaxDirectTargets = 16;
// Most VMs that one VM passes on to.
inline constexpr std::size_t MaxRelayFanout = 24;

// How large the groups are.
enum class RelayShape : std::uint8_t {
  Balanced,     // As many groups as one has members: the work is spread.
  FewestGroups, // As few groups as possible: least bytes between failure
                // domains.
};

// Splits a region's VMs into groups within failure domains. Who passes on
// changes with each round, so that a VM that died unnoticed costs its group one
// round.
std::vector<RelayGroup> relayGroups(std::vector<RelayTarget> Vms,
                                    std::uint64_t Round, RelayShape Shape);

// Returns how many bytes of news go to each of so many VMs at a time, so that
// the sender's link stays free for other traffic.
std::size_t updateBytesPerTarget(std::size_t Copies);

} // namespace rhubarb
