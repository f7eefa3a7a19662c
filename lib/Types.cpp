#include "rhubarb/Types.h"

#include <xxhash.h>

#include <array>

namespace rhubarb {
namespace {

constexpr std::array<std::string_view, 3> PriorityNames{"urgent", "normal",
                                                        "batch"};
constexpr std::array<std::string_view, 3> ReachNames{"domain", "region",
                                                     "global"};

template <typename Enum, std::size_t N>
std::optional<Enum> parseName(const std::array<std::string_view, N> &Names,
                              std::string_view Text) {
  for (std::size_t I = 0; I < N; ++I)
    if (Names[I] == Text)
      return static_cast<Enum>(I);
  return std::nullopt;
}

} // namespace

std::string_view priorityName(Priority Value) {
  return PriorityNames[priorityIndex(Value)];
}

std::string_view reachName(Reach Value) {
  return ReachNames[static_cast<std::size_t>(Value)];
}

std::optional<Priority> parsePriority(std::string_view Text) {
  return parseName<Priority>(PriorityNames, Text);
}

std::optional<Reach> parseReach(std::string_view Text) {
  return parseName<Reach>(ReachNames, Text);
}

std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

std::uint64_t Random::next() {
  m_State += 0x9E3779B97F4A7C15ULL;
  std::uint64_t Mixed = m_State;
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94D049BB133111EBULL;
  return Mixed ^ (Mixed >> 31);
}

std::uint64_t Random::below(std::uint64_t Bound) {
  return Bound == 0 ? 0 : next() % Bound;
}

double Random::uniform() {
  constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
  return static_cast<double>(next() >> 11) * Scale;
}

} // namespace rhubarb
