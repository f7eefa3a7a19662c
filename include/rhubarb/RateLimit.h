// Request rate that a backend server takes from all VMs together. Each VM keeps
// a token bucket for the server that every VM's requests drain, as the VMs tell
// each other how many requests they have sent. Between updates the VMs may
// exceed the rate by what they send within the delay of an update; the bucket
// then goes into debt, and all of them pause until the debt is repaid.
#pragma once

#include "rhubarb/Types.h"

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace rhubarb {

// What a VM tells the others about one server.
struct RateLimitUpdate {
  // Requests per second that the server last named; none: it named no limit.
  std::optional<double> m_PerSecond;
  Time m_HeardAt{0}; // When the sender heard that from the server.
  // Requests that the sender's process has sent while it knew a limit.
  std::uint64_t m_Sent = 0;
};

// Limits named by a server are bounded by this, in requests per second.
inline constexpr double MaxRateLimit = 1e6;
// A server that takes fewer requests per second gets no requests, only health
// checks that find out whether it takes more again.
inline constexpr double MinUsableRate = 0.25;

// One server's limit and the requests sent under it, as known to one VM.
class SharedRateLimit {
public:
  // The limit in requests per second, as named by the server.
  std::optional<double> perSecond() const { return m_PerSecond; }
  Time heardAt() const { return m_HeardAt; }
  bool isLimited() const { return m_PerSecond.has_value(); }
  // Whether the server takes too few requests to get any.
  bool isUnusable() const {
    return m_PerSecond && *m_PerSecond < MinUsableRate;
  }

  // Applies the limit that the server named at a time, unless a later one is
  // known. Returns whether the limit has changed.
  bool observe(std::optional<double> PerSecond, Time HeardAt, Time Now);
  // Sets the share of the limit to use, from 0 to 1. A VM that has lost contact
  // with others uses less, as it does not hear what they send.
  void setShare(double Share, Time Now);
  // Sets this VM's rank among the VMs that send to the server, 0 being the
  // first to use a token, and the number of the others.
  void setRank(std::size_t Rank, std::size_t Peers);
  // Empties the bucket, unless it is in debt.
  void dropSavedTokens(Time Now);
  // Records a request of this process.
  void recordSent(Time Now);
  // Records the number of requests that a peer process has sent so far.
  void recordPeer(std::uint64_t Peer, std::uint64_t Sent, Time Now);

  // Requests that may be sent now; negative: debt that time has to repay.
  double tokens(Time Now) const;
  // Requests beyond the limit that later requests did not make up for.
  double forgiven() const { return m_Forgiven; }
  // Whether a request of a priority may be sent, behind a number of requests
  // that wait here for the same server. Higher priorities may send earlier.
  bool allows(std::size_t PriorityClass, int Ahead, Time Now) const;
  // Estimates when allows() becomes true; 0: now.
  Duration wait(std::size_t PriorityClass, int Ahead, Time Now) const;
  // Whether this VM may send a health check that finds out whether a server
  // takes requests again.
  bool allowsTrial(Time Now) const;
  RateLimitUpdate update() const { return {m_PerSecond, m_HeardAt, m_OwnSent}; }

private:
  double rate() const;
  double maxTokens() const;
  double maxDebt() const;
  double minTokens(std::size_t PriorityClass) const;
  void take(double Count, Time Now);

  std::optional<double> m_PerSecond;
  Time m_HeardAt{0};
  double m_Share = 1;
  std::size_t m_Rank = 0;
  std::size_t m_Peers = 0;
  double m_Tokens = 0; // As of m_RefilledAt.
  double m_Forgiven = 0;
  Time m_RefilledAt{0};
  std::uint64_t m_OwnSent = 0;
  std::uint64_t m_PeersSent = 0;
  // Requests sent by each peer process, as last told.
  std::unordered_map<std::uint64_t, std::uint64_t> m_SentByPeer;
};

} // namespace rhubarb
