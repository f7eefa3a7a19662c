#include "rhubarb/Retry.h"

#include <algorithm>
#include <cmath>

namespace rhubarb {

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
