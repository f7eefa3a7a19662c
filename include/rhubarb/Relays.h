// Distributes a reader's updates within its region. In a region of a hundred
// VMs, direct updates to each of them would saturate the reader's link and
// processor. Instead some VMs of each failure domain receive them and relay
// them to the others.
#pragma once

#include "rhubarb/Types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarb {

// A VM that is to receive updates.
struct RelayTarget {
  std::string m_Vm;
  std::string m_Domain;
  bool m_Live = false; // Live VMs are preferred as relays.
};

// The relay receives the update and forwards it to the receivers.
struct RelayGroup {
  std::string m_Relay;
  std::vector<std::string> m_Receivers;
};

// Regions with up to this many other VMs get updates without relays.
inline constexpr std::size_t MaxDirectTargets = 16;
// Maximum number of VMs in a RelayGroup, the relay included.
inline constexpr std::size_t MaxRelayFanout = 24;

// Rule for the size and number of groups.
enum class RelayShape : std::uint8_t {
  // About as many groups as each has members, so that the sender and each relay
  // send to about as many VMs.
  Balanced,
  // As few groups as possible: least traffic between failure domains.
  FewestGroups,
};

// Splits a region's VMs into groups within failure domains. The relays change
// with each round, so that a VM whose death is not yet known costs its group
// one round.
std::vector<RelayGroup> relayGroups(std::vector<RelayTarget> Vms,
                                    std::uint64_t Round, RelayShape Shape);

// Returns the maximum bytes of updates sent to each of Targets VMs at a time,
// so that the sender's link keeps room for other traffic.
std::size_t updateBytesPerTarget(std::size_t Targets);

} // namespace rhubarb
