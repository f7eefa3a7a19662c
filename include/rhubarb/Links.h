// Shares of the links between regions. Each sending entry process holds a
// share of a link's cap; the shares of all together never exceed the cap in
// any window of 100 ms or more.
#pragma once

#include "rhubarb/Types.h"

#include <string>
#include <vector>

namespace rhubarb {

// How much of a cap may be used, and how old a measurement may be.
struct LinkLimits {
  double m_UsableShare = 0.95;  // Steady rate as a share of the cap.
  Duration m_Window = 100ms;    // Shortest window in which the cap holds.
  Duration m_OtherMaxAge = 10s; // An older measurement counts as full use.
  double m_OtherGrowthPerSecond = 0.1; // How much worse an ageing one counts.
};

// A piece of a share that is lent to another source until a moment.
struct LinkLoan {
  std::int64_t m_BytesPerSecond = 0;
  Time m_Until{0};
};

// The share of one source on one link, one direction.
class LinkShare {
public:
  LinkShare(LinkLimits Limits, Time Now);

  // Sets the cap and the number of sources that share it. Every source that
  // the directory lists counts, live or not.
  void setCap(std::int64_t CapBytesPerSecond, int Sources, Time Now);
  // Sets the measured use by everyone else, and when it was measured.
  void setOtherTraffic(std::int64_t BytesPerSecond, Time MeasuredAt);
  // Takes Bytes for sending now. False: not now; nothing is taken.
  bool charge(std::int64_t Bytes, Time Now);
  // Returns when charge of that size can succeed; Duration::max() for never.
  Duration timeUntilAvailable(std::int64_t Bytes, Time Now);
  // Gives away a part of this share until Now + Term. Subtracts first; the
  // borrower must use it for a shorter term.
  std::int64_t lend(std::int64_t BytesPerSecond, Duration Term, Time Now);
  // Adds a borrowed part.
  void borrow(const LinkLoan &Loan, Time Now);
  // Part of the share that went unused lately and can be lent.
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
  double m_UsedRate = 0; // Smoothed bytes a second.
  std::vector<LinkLoan> m_Lent;
  std::vector<LinkLoan> m_Borrowed;
};

} // namespace rhubarb
