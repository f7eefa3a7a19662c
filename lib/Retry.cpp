#include "rhubarb/Retry.h"

#include <algorithm>
#include <cmath>

namespace rhubarb {
namespace {

// Time until a process with a whole CPU core is ready, when many processes
// start at once and share the store.
constexpr Duration ReadyAfterStart = 150ms;
constexpr Duration MinRetryAfter = 250ms;
// Limits the expected startup time to 3 s.
constexpr double MinCpuShare = 0.05;
constexpr double RetryAfterJitter = 0.3;

} // namespace

Duration startupRetryAfter(Duration SinceStart, double CpuShare,
                           Random &Jitter) {
  using Seconds = std::chrono::duration<double>;
  Seconds StartupTime =
      Seconds(ReadyAfterStart) / std::max(MinCpuShare, CpuShare);
  Seconds Left = std::max<Seconds>(StartupTime - SinceStart, MinRetryAfter);
  return std::chrono::duration_cast<Duration>(
      Left * (1 + RetryAfterJitter * Jitter.uniform()));
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
