// Names and units that every module shares.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace rhubarb {

// All times are passed in by the embedder. The library reads no clock.
using Duration = std::chrono::microseconds;
// Time since a fixed point of the embedder's choice; never goes backwards.
using Time = std::chrono::microseconds;

using namespace std::chrono_literals;

// Names a request within one process.
using RequestId = std::uint64_t;

// How urgent a class of work is. Lower values are served first.
enum class Priority : std::uint8_t { Urgent, Normal, Batch };
inline constexpr int PriorityCount = 3;

// How far a class of work may travel from the failure domain it arrived in.
enum class Reach : std::uint8_t { Domain, Region, Global };

// Table of names beside each enum: text form in configuration and counters.
std::string_view priorityName(Priority Value);
std::string_view reachName(Reach Value);
std::optional<Priority> parsePriority(std::string_view Text);
std::optional<Reach> parseReach(std::string_view Text);

// Index of a rank into per-rank arrays.
constexpr std::size_t priorityIndex(Priority Value) {
  return static_cast<std::size_t>(Value);
}

// Hash for rendezvous choices: the same on every process and build.
std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed = 0);

// Small fast generator (splitmix64); the embedder picks the seed.
class Random {
public:
  explicit Random(std::uint64_t Seed) : m_State(Seed) {}
  // Returns 64 uniform bits.
  std::uint64_t next();
  // Returns a number in [0, Bound); 0 when Bound is 0.
  std::uint64_t below(std::uint64_t Bound);
  // Returns a number in [0, 1).
  double uniform();

private:
  std::uint64_t m_State;
};

} // namespace rhubarb
