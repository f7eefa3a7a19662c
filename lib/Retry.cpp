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

Duration startupRetryAfter(Duration Passed, double CpuShare, Random &Spread) {
  using Seconds = std::chrono::duration<double>;
  Seconds Whole = Seconds(ReadyAfterStart) / std::max(LeastCpuShare, CpuShare);
  Seconds Left = std::max<Seconds>(Whole - Passed, LeastAfterStart);
  return std::chrono::duration_cast<Duration>(
      Left * (1 + AfterStartSpread * Spread.uniform()));
}

void RetryBudget::recordFirstAttempt(Time Now) {
  std::chrono::duration<double> Passed = Now - m_UpdatedAt;
  std::chrono::duration<double> Window = m_Limits.m_Window;
  m_RecentFirstAttempts =
      m_RecentFirstAttempts * std::exp(-Passed / Window) + 1;
  m_UpdatedAt = Now;
  m_Tokens = std::min(m_Tokens + m_Limits.m_RetryRatio,
                      m_Limits.m_MaxTokens +
                          m_Limits.m_ExtraTokenRatio * m_RecentFirstAttempts);
}

bool RetryBudget::tryTakeRetry() {
  if (m_Tokens < 1.0)
    return false;
  m_Tokens -= 1.0;
  return true;
}

} // namespace rhubarb
