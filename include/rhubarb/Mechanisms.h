// Mechanisms of the decisions that can be switched off one by one: to measure
// what each is worth, and in an emergency. None of them keeps a promise.
#pragma once

#include "rhubarb/Errors.h"

#include <bitset>
#include <cstdint>
#include <string>
#include <string_view>

namespace rhubarb {

enum class Mechanism : std::uint8_t {
  Candidates,  // Three servers for an object; without: one.
  Spill,       // A share of the objects runs away from home.
  QueueInside, // A short queue inside servers, by rank.
  Waiting,     // Requests wait here for a slot; without: refused at once.
  Astray,      // Objects run at servers that do not know them on spare slots
               // only.
  Lines,       // The pace of the own queue counts in the predicted wait.
  ColdWaste,   // Slot time lost to a cold run counts in the choice.
  Adoption,    // Objects move to where they belong; without: only when they
               // have to.
  UsualLoad,   // Servers seldom heard of have the load of the others.
  RunTimes,    // Expected times leave out the queue inside servers.
  RoundTrips,  // Round trips to a region hold for servers not met yet.
  PlacesTold,  // Processes of a region tell each other which servers know which
               // objects.
  LoadsTold,   // The same for high loads.
  Memory,      // What a region has learnt outlives its processes.
  Count,
};
std::string_view mechanismName(Mechanism Value);

// A set of mechanisms that are switched off.
class DisabledMechanisms {
public:
  bool contains(Mechanism Value) const {
    return m_Bits.test(static_cast<std::size_t>(Value));
  }
  void add(Mechanism Value) { m_Bits.set(static_cast<std::size_t>(Value)); }
  bool empty() const { return m_Bits.none(); }
  // Names, separated by commas.
  std::string toText() const;
  // Reads such a text; empty: none. Fails with BadRequest for a name that no
  // mechanism has.
  static Result<DisabledMechanisms> parse(const std::string &Text);

private:
  std::bitset<static_cast<std::size_t>(Mechanism::Count)> m_Bits;
};

} // namespace rhubarb
