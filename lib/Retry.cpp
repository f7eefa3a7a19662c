#include "rhubarb/Retry.h"

#include <algorithm>
#include <cmath>

namespace rhubarb {
namespace {

// With a core to itself, as one of many that start at once and share the store.
constexpr Duration ReadyAfterStart = 150ms;
constexpr Duration LeastAfterStart = 250ms;
constexpr double LeastCpuShare = 0.05; // Bounds the time to 3 s.
constexpr double AfterStartSpread = 0.3;

} // namespace

Duration retryAfterStart(Duration Passed, double CpuShare, Random &Spread) {
  using Seconds = std::chrono::duration<double>;
  Seconds Whole = Seconds(ReadyAfterStart) / std::max(LeastCpuShare, CpuShare);
  Seconds Left = std::max<Seconds>(Whole - Passed, LeastAfterStart);
  return std::chrono::duration_cast<Duration>(
      Left * (1 + AfterStartSpread * Spread.unit()));
}

void RetryBudget::firstTry(Time Now) {
  std::chrono::duration<double> Passed = Now - m_Counted;
  std::chrono::duration<double> Window = m_Limits.m_Window;
  m_Recent = m_Recent * std::exp(-Passed / Window) + 1;
  m_Counted = Now;
  m_Tokens = std::min(m_Tokens + m_Limits.m_Share,
                      m_Limits.m_MaxSaved + m_Limits.m_SavedShare * m_Recent);
}

bool RetryBudget::tryRetry() {
  if (m_Tokens < 1.0)
    return false;
  m_Tokens -= 1.0;
  return true;
}

} // namespace rhubarb
