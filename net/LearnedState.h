// State that the processes of a region have learned at run time. It is stored
// outside of them, so that processes started later can load it.
#pragma once

#include "rhubarb/Errors.h"
#include "rhubarb/Types.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rhubarb::net {

// An object that a server has run.
struct RecentObject {
  std::uint64_t m_Hash = 0;
  Duration m_Age{0}; // Time from the run to the write of the state.
};

// Objects run by one incarnation of a server.
struct ServerObjects {
  std::uint64_t m_Incarnation = 0; // Equal to BackendState::m_Incarnation.
  std::vector<RecentObject> m_Objects;
};

struct LearnedState {
  std::int64_t m_WrittenAt = 0; // Time of the write, Unix milliseconds.
  // Permille of the objects that are served in other regions, by pool.
  std::map<std::string, int> m_SpillPermille;
  // Shortest measured round trip, by region.
  std::map<std::string, Duration> m_MinRoundTrips;
  std::map<std::string, ServerObjects> m_Servers; // Objects by server id.
};

// Encodes the state as one line of JSON. Ages are rounded down to tenths of a
// second.
std::string encodeLearnedState(const LearnedState &State);
// Decodes a stored state. Fails with BadRequest if it is malformed.
Result<LearnedState> readLearnedState(const std::string &Text);

} // namespace rhubarb::net
