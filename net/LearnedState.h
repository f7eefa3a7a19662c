// What the processes of a region have learnt and those that come after them
// should know, as it is kept where it outlives all of them.
#pragma once

#include "rhubarb/Errors.h"
#include "rhubarb/Types.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rhubarb::net {

// An object that a server has run, and how long before the writing.
struct RecentObject {
  std::uint64_t m_Hash = 0; // Hash.
  Duration m_Age{0};
};

// What one start of a server has run.
struct ServerObjects {
  std::uint64_t m_Incarnation = 0; // As in its row of the fleet.
  std::vector<RecentObject> m_Objects;
};

struct LearnedState {
  std::int64_t m_WrittenAt = 0;                    // Unix milliseconds.
  std::map<std::string, int> m_AwayPermille;       // Share of a pool's objects.
  std::map<std::string, Duration> m_MinRoundTrips; // Least, by region.
  std::map<std::string, ServerObjects> m_Servers;  // By id.
};

// Returns one line of JSON; ages are kept to a tenth of a second.
std::string encodeLearnedState(const LearnedState &Memory);
// Reads such a text; fails with BadRequest for any other.
Result<LearnedState> readLearnedState(const std::string &Text);

} // namespace rhubarb::net
