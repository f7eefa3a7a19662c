// Rate limits for the links between regions. Each sending entry process holds a
// share of a link's cap; all shares together never exceed the cap in any window
// of 100 ms or more.
#pragma once

#include "rhubarb/Types.h"

#include <string>
#include <vector>

namespace rhubarb {

// How much of a cap may be used, and how old a measurement may be.
struct LinkLimits {
  double m_UsableShare = 0.95; // Share of the cap for the steady rate.
  Duration m_Window = 100ms;   // Shortest window in which the cap holds.
  // A measurement of other traffic that is older counts as a full link.
  Duration m_OtherMaxAge = 10s;
  // Share of the cap that is added to measured other traffic per second of the
  // measurement's age.
  double m_OtherGrowthPerSecond = 0.1;
};

// Part of a share that is lent to another source until m_Until.
struct LinkLoan {
  std::int64_t m_BytesPerSecond = 0;
  Time m_Until{0};
};

// Token bucket for one source's share of one link, in one direction.
class LinkShare {
public:
  LinkShare(LinkLimits Limits, Time Now);

  // Sets the cap and the number of sources that share it. Every source that the
  // directory lists counts, live or not.
  void setCap(std::int64_t CapBytesPerSecond, int Sources, Time Now);
  // Sets the measured rate of all other traffic on the link, and when it was
  // measured.
  void setOtherTraffic(std::int64_t BytesPerSecond, Time MeasuredAt);
  // Takes tokens for Bytes that are sent now. Returns false and takes nothing
  // if there are too few.
  bool charge(std::int64_t Bytes, Time Now);
  // Returns the time until charge() of that size can succeed; Duration::max()
  // if it never can.
  Duration timeUntilAvailable(std::int64_t Bytes, Time Now);
  // Lends part of this share until Now + Term and returns its rate. It is
  // deducted at once; the borrower must use it for a shorter term, or both
  // would use it at the same time.
  std::int64_t lend(std::int64_t BytesPerSecond, Duration Term, Time Now);
  // Adds a part of another source's share until the end of the loan.
  void borrow(const LinkLoan &Loan, Time Now);
  // Returns the part of the share that can be lent: twice the recently used
  // rate is kept.
  std::int64_t spareRate(Time Now);
  std::int64_t rate(Time Now) const;
  std::int64_t chargedBytes() const { return m_ChargedBytes; }

private:
  void refill(Time Now);
  double burst(Time Now) const;
  double otherTraffic(Time Now) const;

  LinkLimits m_Limits;
  std::int64_t m_Cap = 0;
  int m_Sources = 1;
  std::int64_t m_OtherRate = 0;
  Time m_OtherMeasuredAt{0};
  bool m_OtherKnown = false;
  double m_Tokens = 0;
  Time m_Refilled{0};
  std::int64_t m_ChargedBytes = 0;
  double m_UsedRate = 0; // Charged bytes per second, smoothed.
  std::vector<LinkLoan> m_Lent;
  std::vector<LinkLoan> m_Borrowed;
};

} // namespace rhubarb
