#include "rhubarb/Links.h"

#include <algorithm>

namespace rhubarb {
namespace {

constexpr double MicrosPerSecond = 1e6;
// Time over which the used rate is averaged.
constexpr double UsageSmoothingSeconds = 0.5;

double seconds(Duration Value) {
  return static_cast<double>(Value.count()) / MicrosPerSecond;
}

double sumOf(const std::vector<LinkLoan> &Loans, Time Now) {
  double Sum = 0;
  for (const LinkLoan &Loan : Loans)
    if (Now < Loan.m_Until)
      Sum += static_cast<double>(Loan.m_BytesPerSecond);
  return Sum;
}

} // namespace

LinkShare::LinkShare(LinkLimits Limits, Time Now)
    : m_Limits(Limits), m_Refilled(Now) {}

// A smaller cap or more sources also reduce the accumulated tokens at once.
void LinkShare::setCap(std::int64_t CapBytesPerSecond, int Sources, Time Now) {
  refill(Now);
  m_Cap = CapBytesPerSecond;
  m_Sources = std::max(Sources, 1);
  m_Tokens = std::min(m_Tokens, burst(Now));
}

void LinkShare::setOtherTraffic(std::int64_t BytesPerSecond, Time MeasuredAt) {
  m_OtherRate = BytesPerSecond;
  m_OtherMeasuredAt = MeasuredAt;
  m_OtherKnown = true;
}

double LinkShare::otherTraffic(Time Now) const {
  if (!m_OtherKnown)
    return 0;
  Duration Age = Now - m_OtherMeasuredAt;
  if (Age > m_Limits.m_OtherMaxAge)
    return static_cast<double>(m_Cap);
  double Growth = seconds(Age) * m_Limits.m_OtherGrowthPerSecond *
                  static_cast<double>(m_Cap);
  return std::min(static_cast<double>(m_OtherRate) + Growth,
                  static_cast<double>(m_Cap));
}

std::int64_t LinkShare::rate(Time Now) const {
  double Available = static_cast<double>(m_Cap) - otherTraffic(Now);
  double Own = std::max(Available, 0.0) * m_Limits.m_UsableShare / m_Sources;
  double Lent = sumOf(m_Lent, Now);
  return static_cast<std::int64_t>(std::max(Own - Lent, 0.0) +
                                   sumOf(m_Borrowed, Now));
}

// Returns the largest burst B for which B + rate * window stays within this
// source's share of the cap in any window.
double LinkShare::burst(Time Now) const {
  double UsedShare = m_Limits.m_UsableShare;
  double PerRate = (1.0 - UsedShare) / UsedShare * seconds(m_Limits.m_Window);
  return static_cast<double>(rate(Now)) * PerRate;
}

void LinkShare::refill(Time Now) {
  double Elapsed = seconds(Now - m_Refilled);
  if (Elapsed <= 0)
    return;
  m_Tokens =
      std::min(m_Tokens + static_cast<double>(rate(Now)) * Elapsed, burst(Now));
  double Keep = std::max(0.0, 1.0 - Elapsed / UsageSmoothingSeconds);
  m_UsedRate *= Keep;
  m_Refilled = Now;
  std::erase_if(m_Lent,
                [&](const LinkLoan &Loan) { return Now >= Loan.m_Until; });
  std::erase_if(m_Borrowed,
                [&](const LinkLoan &Loan) { return Now >= Loan.m_Until; });
}

bool LinkShare::charge(std::int64_t Bytes, Time Now) {
  refill(Now);
  if (static_cast<double>(Bytes) > m_Tokens)
    return false;
  m_Tokens -= static_cast<double>(Bytes);
  m_ChargedBytes += Bytes;
  m_UsedRate += static_cast<double>(Bytes) / UsageSmoothingSeconds;
  return true;
}

Duration LinkShare::timeUntilAvailable(std::int64_t Bytes, Time Now) {
  refill(Now);
  double Missing = static_cast<double>(Bytes) - m_Tokens;
  if (Missing <= 0)
    return Duration{0};
  if (static_cast<double>(Bytes) > burst(Now) || rate(Now) <= 0)
    return Duration::max();
  double Wait = Missing / static_cast<double>(rate(Now)) * MicrosPerSecond;
  return Duration(static_cast<std::int64_t>(Wait) + 1);
}

std::int64_t LinkShare::spareRate(Time Now) {
  refill(Now);
  double Spare = static_cast<double>(rate(Now)) - 2.0 * m_UsedRate;
  return static_cast<std::int64_t>(std::max(Spare, 0.0));
}

// The accumulated tokens of the lent part are dropped.
std::int64_t LinkShare::lend(std::int64_t BytesPerSecond, Duration Term,
                             Time Now) {
  refill(Now);
  std::int64_t LentRate = std::min(BytesPerSecond, spareRate(Now));
  if (LentRate <= 0)
    return 0;
  m_Lent.push_back({LentRate, Now + Term});
  m_Tokens = std::min(m_Tokens, burst(Now));
  return LentRate;
}

void LinkShare::borrow(const LinkLoan &Loan, Time Now) {
  refill(Now);
  if (Now < Loan.m_Until && Loan.m_BytesPerSecond > 0)
    m_Borrowed.push_back(Loan);
}

} // namespace rhubarb
