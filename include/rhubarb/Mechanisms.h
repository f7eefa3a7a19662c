// Dispatch mechanisms that can be disabled individually: to measure the effect
// of each one, and in emergencies. No guarantee depends on any of them.
#pragma once

#include "rhubarb/Errors.h"

#include <bitset>
#include <cstdint>
#include <string>
#include <string_view>

namespace rhubarb {

enum class Mechanism : std::uint8_t {
  Candidates,  // Three candidate servers for an object; disabled: one.
  Spill,       // Spillover: a share of the objects is sent to other regions.
  QueueInside, // A short queue inside servers, by priority.
  // Requests queue in the entry process; disabled: they are refused at once.
  Waiting,
  // Away from their preferred server, objects run cold on spare slots only.
  Astray,
  Lines,     // The predicted wait includes the send rate of this process.
  ColdWaste, // The slot time of a cold run is part of the cost of a server.
  // Objects move to their preferred server; disabled: they move only when the
  // server where they are warm cannot run them.
  Adoption,
  // Servers without a recent report are assumed to have the average load.
  UsualLoad,
  RunTimes, // Expected times exclude the queueing time inside servers.
  // Servers that were not yet contacted are assumed to have the round trip of
  // their region.
  RoundTrips,
  // Processes of a region share on which servers objects are warm.
  PlacesTold,
  LoadsTold, // Processes of a region share high loads of servers.
  Memory,    // A region's learned state survives a restart of its processes.
  Count,
};
std::string_view mechanismName(Mechanism Value);

// Set of disabled mechanisms.
class DisabledMechanisms {
public:
  bool contains(Mechanism Value) const {
    return m_Bits.test(static_cast<std::size_t>(Value));
  }
  void add(Mechanism Value) { m_Bits.set(static_cast<std::size_t>(Value)); }
  bool empty() const { return m_Bits.none(); }
  // Returns the names, separated by commas.
  std::string toText() const;
  // Parses the format of toText(). Fails with BadRequest for an unknown name.
  static Result<DisabledMechanisms> parse(const std::string &Text);

private:
  std::bitset<static_cast<std::size_t>(Mechanism::Count)> m_Bits;
};

} // namespace rhubarb
