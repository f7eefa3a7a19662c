// The retry budget of one service: retries stay a small share of first tries.
#pragma once

#include "rhubarb/Types.h"

#include <cstdint>

namespace rhubarb {

// Size of a retry budget. Saved retries answer the pattern in which a third of
// the servers fails at once: what a steady share allows is then far too few.
struct RetryLimits {
  double m_RetryRatio = 0.1;    // Retries per first try.
  double m_MaxTokens = 10.0;    // Retries that a quiet time can save up.
  double m_ExtraTokenRatio = 0; // And further ones, by first tries of a window.
  Duration m_Window = 10s;
  double m_InitialTokens = 3.0; // So that the very first calls can be retried.
};

// Token bucket filled by first tries, emptied by retries.
class RetryBudget {
public:
  explicit RetryBudget(RetryLimits Limits = {})
      : m_Limits(Limits), m_Tokens(Limits.m_InitialTokens) {}

  // Records a first try.
  void recordFirstAttempt(Time Now = Time{0});
  // Takes one retry from the budget. False: give up now.
  bool tryTakeRetry();

private:
  RetryLimits m_Limits;
  double m_Tokens;
  double m_RecentFirstAttempts = 0; // First tries of about a window.
  Time m_UpdatedAt{0};
};

// Returns when a caller should come back to a process that cannot serve yet,
// Passed after its start, with so much of a core. Answers the pattern in which
// all processes start at once: their callers have one more try each, which must
// not come before configuration and list are there, nor all in one moment.
Duration startupRetryAfter(Duration Passed, double CpuShare, Random &Spread);

} // namespace rhubarb
