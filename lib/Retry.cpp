#include "rhubarb/Retry.h"

#include <algorithm>

namespace rhubarb {

void RetryBudget::firstTry() {
  m_Tokens = std::min(m_Tokens + m_Limits.m_Share, m_Limits.m_MaxSaved);
}

bool RetryBudget::tryRetry() {
  if (m_Tokens < 1.0)
    return false;
  m_Tokens -= 1.0;
  return true;
}

} // namespace rhubarb
