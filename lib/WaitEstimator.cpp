#include "rhubarb/WaitEstimator.h"

#include <algorithm>
#include <cmath>

namespace rhubarb {
namespace {

// Decay time of the send rate: long compared to the interval between two sent
// requests of a priority, short compared to a traffic burst.
constexpr double DecaySeconds = 2;
constexpr double MaxWaitSeconds = 60; // Upper bound of the estimate.

double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

} // namespace

std::size_t priorityClass(int Priority) {
  return static_cast<std::size_t>(
      std::clamp(Priority, 0, static_cast<int>(PriorityClasses) - 1));
}

WaitEstimator::Row &WaitEstimator::rowOf(int Pool, int Priority) {
  auto Index = static_cast<std::size_t>(Pool);
  if (m_Pools.size() <= Index)
    m_Pools.resize(Index + 1);
  return m_Pools[Index][priorityClass(Priority)];
}

const WaitEstimator::Row *WaitEstimator::find(int Pool, int Priority) const {
  auto Index = static_cast<std::size_t>(Pool);
  return Index < m_Pools.size() ? &m_Pools[Index][priorityClass(Priority)]
                                : nullptr;
}

void WaitEstimator::recordSent(int Pool, int Priority, Time Now) {
  Row &Counts = rowOf(Pool, Priority);
  if (Counts.m_FirstSentAt.count() == 0)
    Counts.m_FirstSentAt = Now;
  Counts.m_SentWeight *=
      std::exp(-seconds(Now - Counts.m_LastSentAt) / DecaySeconds);
  Counts.m_SentWeight += 1;
  Counts.m_LastSentAt = Now;
}

Duration WaitEstimator::estimate(int Pool, int Priority, Time Now) const {
  const Row *Counts = find(Pool, Priority);
  if (Counts == nullptr || Counts->m_Queued == 0 ||
      Counts->m_FirstSentAt.count() == 0)
    return Duration{0};
  double Sent = Counts->m_SentWeight *
                std::exp(-seconds(Now - Counts->m_LastSentAt) / DecaySeconds);
  // Corrects for the decay window that is not yet filled after the first send.
  double Span =
      DecaySeconds *
      (1 - std::exp(-seconds(Now - Counts->m_FirstSentAt) / DecaySeconds));
  double Wait = MaxWaitSeconds;
  if (Sent > 0)
    Wait = std::min(Wait, (Counts->m_Queued + 1) * Span / Sent);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Wait));
}

} // namespace rhubarb
