#include "rhubarb/WaitEstimator.h"

#include <algorithm>
#include <cmath>

namespace rhubarb {
namespace {

// Of sends: long beside the time between two of a rank, short beside a burst.
constexpr double MemorySeconds = 2;
constexpr double LongestWaitSeconds = 60; // Stands for any longer one.

double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

} // namespace

std::size_t priorityClass(int Rank) {
  return static_cast<std::size_t>(
      std::clamp(Rank, 0, static_cast<int>(PriorityClasses) - 1));
}

WaitEstimator::Row &WaitEstimator::rowOf(int Pool, int Rank) {
  auto Index = static_cast<std::size_t>(Pool);
  if (m_Pools.size() <= Index)
    m_Pools.resize(Index + 1);
  return m_Pools[Index][priorityClass(Rank)];
}

const WaitEstimator::Row *WaitEstimator::find(int Pool, int Rank) const {
  auto Index = static_cast<std::size_t>(Pool);
  return Index < m_Pools.size() ? &m_Pools[Index][priorityClass(Rank)]
                                : nullptr;
}

void WaitEstimator::recordSent(int Pool, int Rank, Time Now) {
  Row &Line = rowOf(Pool, Rank);
  if (Line.m_FirstSentAt.count() == 0)
    Line.m_FirstSentAt = Now;
  Line.m_SentWeight *=
      std::exp(-seconds(Now - Line.m_LastSentAt) / MemorySeconds);
  Line.m_SentWeight += 1;
  Line.m_LastSentAt = Now;
}

Duration WaitEstimator::estimate(int Pool, int Rank, Time Now) const {
  const Row *Line = find(Pool, Rank);
  if (Line == nullptr || Line->m_Queued == 0 ||
      Line->m_FirstSentAt.count() == 0)
    return Duration{0};
  double Sent = Line->m_SentWeight *
                std::exp(-seconds(Now - Line->m_LastSentAt) / MemorySeconds);
  // While the first sends are younger than the memory they count for more.
  double Span =
      MemorySeconds *
      (1 - std::exp(-seconds(Now - Line->m_FirstSentAt) / MemorySeconds));
  double Wait = LongestWaitSeconds;
  if (Sent > 0)
    Wait = std::min(Wait, (Line->m_Queued + 1) * Span / Sent);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Wait));
}

} // namespace rhubarb
