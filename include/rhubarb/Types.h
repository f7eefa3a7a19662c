// Types and utilities shared by all modules.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace rhubarb {

// All times are passed in by the embedder. The library reads no clock.
using Duration = std::chrono::microseconds;
// Time since an epoch chosen by the embedder; monotonic.
using Time = std::chrono::microseconds;

using namespace std::chrono_literals;

// Request number, unique within one process.
using RequestId = std::uint64_t;

// Priority of a class of requests. Lower values are served first.
enum class Priority : std::uint8_t { Urgent, Normal, Batch };
inline constexpr int PriorityCount = 3;

// How far from the failure domain of its arrival a request may be routed.
enum class Reach : std::uint8_t { Domain, Region, Global };

// Convert to and from the names used in the configuration and in metrics.
std::string_view priorityName(Priority Value);
std::string_view reachName(Reach Value);
std::optional<Priority> parsePriority(std::string_view Text);
std::optional<Reach> parseReach(std::string_view Text);

// Index into per-priority arrays.
constexpr std::size_t priorityIndex(Priority Value) {
  return static_cast<std::size_t>(Value);
}

// Hash for rendezvous hashing: the same in every process and build.
std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed = 0);

// Small fast generator (splitmix64); the embedder chooses the seed.
class Random {
public:
  explicit Random(std::uint64_t Seed) : m_State(Seed) {}
  // Returns 64 uniformly distributed bits.
  std::uint64_t next();
  // Returns a number in [0, Bound); 0 if Bound is 0.
  std::uint64_t below(std::uint64_t Bound);
  // Returns a number in [0, 1).
  double uniform();

private:
  std::uint64_t m_State;
};

} // namespace rhubarb
