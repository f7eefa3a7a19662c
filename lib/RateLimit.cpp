#include "rhubarb/RateLimit.h"

#include <algorithm>
#include <cmath>

namespace rhubarb {
namespace {

// Tokens that must be in the bucket before a request of each priority class is
// sent. While the bucket is short, the highest priority takes all tokens.
constexpr std::array<double, 3> MinTokens{0, 0.5, 1};
// Tokens that an idle bucket saves up: this time's worth, but at least a few.
constexpr double MaxSavedSeconds = 0.25;
constexpr double MinSavedTokens = 2;
// Debt beyond this time's worth, or a few requests, is forgiven: after a cut
// the VMs hear at once of requests that were sent long before. Servers are held
// to their limit over windows of 4 s.
constexpr double MaxDebtSeconds = 4;
constexpr double MinMaxDebt = 4;
// Share of a full bucket, above the minimum of a priority class, that the VM of
// the last rank waits for.
constexpr double MaxRankTokenShare = 0.9;
// Fleets with fewer VMs space their ranks as if this was the last one: few VMs
// exceed a rate little, and use less of it the longer they wait.
constexpr std::size_t MinRankSpan = 60;
// The same for servers that get health checks only.
constexpr double MaxTrialDebt = 1;
// Tokens by which each lower rank waits longer before its health check, so that
// the VMs of higher rank are first and the others hear of it.
constexpr double TrialTokensPerRank = 0.5;
constexpr double MaxTrialTokens = 5;
// A limit that nobody has confirmed for this long, and a while more for each
// rank, may have ended while this VM was cut off.
constexpr double UnconfirmedSeconds = 20;

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

} // namespace

double SharedRateLimit::rate() const {
  return std::max(m_PerSecond.value_or(0) * m_Share, MinUsableRate);
}

double SharedRateLimit::maxTokens() const {
  return isUnusable() ? MaxTrialTokens
                      : std::max(MinSavedTokens, rate() * MaxSavedSeconds);
}

double SharedRateLimit::maxDebt() const {
  return isUnusable() ? MaxTrialDebt
                      : std::max(MinMaxDebt, rate() * MaxDebtSeconds);
}

double SharedRateLimit::tokens(Time Now) const {
  double Seconds = std::max(0.0, toSeconds(Now - m_RefilledAt));
  return std::min(std::max(m_Tokens, -maxDebt()) + rate() * Seconds,
                  maxTokens());
}

void SharedRateLimit::take(double Count, Time Now) {
  m_Tokens = tokens(Now) - Count;
  m_Forgiven += std::max(0.0, -maxDebt() - m_Tokens);
  m_RefilledAt = std::max(m_RefilledAt, Now);
}

bool SharedRateLimit::observe(std::optional<double> PerSecond, Time HeardAt,
                              Time Now) {
  if (HeardAt < m_HeardAt || (PerSecond && !std::isfinite(*PerSecond)))
    return false;
  m_HeardAt = HeardAt;
  if (PerSecond)
    PerSecond = std::clamp(*PerSecond, 0.0, MaxRateLimit);
  if (PerSecond == m_PerSecond)
    return false;
  // Tokens saved at another rate, or without a limit, do not count.
  m_Tokens = isLimited() ? std::min(0.0, tokens(Now)) : 0;
  m_RefilledAt = Now;
  m_PerSecond = PerSecond;
  return true;
}

void SharedRateLimit::dropSavedTokens(Time Now) {
  m_Tokens = std::min(0.0, tokens(Now));
  m_RefilledAt = Now;
}

void SharedRateLimit::setShare(double Share, Time Now) {
  take(0, Now);
  m_Share = std::clamp(Share, 0.0, 1.0);
}

void SharedRateLimit::setRank(std::size_t Rank, std::size_t Peers) {
  m_Rank = Rank;
  m_Peers = Peers;
}

void SharedRateLimit::recordSent(Time Now) {
  ++m_OwnSent;
  take(1, Now);
}

void SharedRateLimit::recordPeer(std::uint64_t Peer, std::uint64_t Sent,
                                 Time Now) {
  auto [Known, Added] = m_SentByPeer.try_emplace(Peer, Sent);
  // A first report is made because of a request; the peer may have sent others
  // long before.
  std::uint64_t More = std::min<std::uint64_t>(Sent, 1);
  if (!Added)
    More = Sent > Known->second ? Sent - Known->second : 0;
  Known->second = std::max(Known->second, Sent);
  m_PeersSent += More;
  if (More > 0)
    take(static_cast<double>(More), Now);
}

// VMs of a higher rank wait for more tokens, so that not all of them send when
// one token is there. The ranks that may send grow by a factor with each token:
// under pressure the first few use up the rate before the others may, and with
// few requests the bucket fills until enough VMs may send.
double SharedRateLimit::minTokens(std::size_t PriorityClass) const {
  double Min = MinTokens[PriorityClass];
  if (m_Rank == 0)
    return Min;
  std::size_t LastRank = std::max({m_Rank, m_Peers, MinRankSpan});
  double Share = std::log1p(static_cast<double>(m_Rank)) /
                 std::log1p(static_cast<double>(LastRank));
  return Min + (maxTokens() - Min) * MaxRankTokenShare * Share;
}

bool SharedRateLimit::allows(std::size_t PriorityClass, int Ahead,
                             Time Now) const {
  if (!isLimited())
    return true;
  return !isUnusable() && tokens(Now) >= minTokens(PriorityClass) + Ahead;
}

Duration SharedRateLimit::wait(std::size_t PriorityClass, int Ahead,
                               Time Now) const {
  if (allows(PriorityClass, Ahead, Now))
    return Duration{0};
  // The requests ahead get this VM's part of the tokens, as the others compete.
  double OwnPart =
      static_cast<double>(m_OwnSent + 1) /
      static_cast<double>(m_OwnSent + m_PeersSent + m_SentByPeer.size() + 1);
  double Missing =
      std::max(0.0, minTokens(PriorityClass) - tokens(Now)) + Ahead / OwnPart;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Missing / rate()));
}

bool SharedRateLimit::allowsTrial(Time Now) const {
  auto Place = static_cast<double>(m_Rank);
  bool Unconfirmed = toSeconds(Now - m_HeardAt) >=
                     UnconfirmedSeconds + TrialTokensPerRank * Place;
  return tokens(Now) >= (Unconfirmed ? 0 : TrialTokensPerRank * Place);
}

} // namespace rhubarb
