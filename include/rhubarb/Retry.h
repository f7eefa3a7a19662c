// Retry budget of one service: limits retries to a small share of the first
// attempts.
#pragma once

#include "rhubarb/Types.h"

#include <cstdint>

namespace rhubarb {

// Parameters of a retry budget. Unused retries accumulate: if a third of the
// servers fails at once, a constant ratio alone allows far too few.
struct RetryLimits {
  double m_RetryRatio = 0.1; // Retries per first attempt.
  // Retries that can accumulate while there are no failures.
  double m_MaxTokens = 10.0;
  // Additional retries that can accumulate, per first attempt in the window.
  double m_ExtraTokenRatio = 0;
  Duration m_Window = 10s;
  double m_InitialTokens = 3.0; // Allows retries of the first requests.
};

// Token bucket: first attempts add to it, retries take from it.
class RetryBudget {
public:
  explicit RetryBudget(RetryLimits Limits = {})
      : m_Limits(Limits), m_Tokens(Limits.m_InitialTokens) {}

  void recordFirstAttempt(Time Now = Time{0});
  // Takes one retry from the budget. Returns false if none is left.
  bool tryTakeRetry();

private:
  RetryLimits m_Limits;
  double m_Tokens;
  double m_RecentFirstAttempts = 0; // Decaying count over about one window.
  Time m_UpdatedAt{0};
};

// Returns the Retry-After time for callers of a process that is still starting.
// SinceStart is the time since its start, CpuShare its share of a CPU core. If
// all processes start at once, each caller has one retry left, which must not
// come before the configuration and the server list are loaded. The times are
// randomised so that the retries don't all come at the same moment.
Duration startupRetryAfter(Duration SinceStart, double CpuShare,
                           Random &Jitter);

} // namespace rhubarb
