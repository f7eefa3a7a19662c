// Grants: the right to send work to another entry process, so many slots of a
// pool at a time, until a moment. The sum of all grants stays under the free
// capacity of the one who gives them, whatever is lost, late or repeated.
#pragma once

#include "rhubarb/Types.h"

#include <functional>
#include <string>
#include <vector>

namespace rhubarb {

using GrantId = std::uint64_t; // 0: none.

// What a source asks for.
struct GrantRequest {
  std::string m_Source; // Address of the asking entry process.
  int m_Pool = 0;
  Priority m_Priority = Priority::Normal; // Most urgent rank that waits.
  int m_Slots = 0;
};

// What the receiver gives. With m_Slots 0 there is nothing to use.
struct Grant {
  GrantId m_Id = 0;
  int m_Slots = 0;
  Duration m_Lifetime{0}; // Counted by the receiver from the answer on.
};

// A grant that goes out without a new ask, because a slot came free.
struct PushedGrant {
  std::string m_Source;
  Grant m_Grant;
};

// Terms and pace of grants at their receiver.
struct GrantLimits {
  Duration m_Lifetime = 1500ms;
  Duration m_PendingLifetime =
      500ms; // An urgent ask waits this long for slots.
  Duration m_SlowStartResetAfter =
      10s;                // A source idle this long opens slowly again.
  int m_InitialSlots = 2; // Cold caches: the first grant of a source.
};

// State of a pool at the receiver when a source asks.
struct GrantPoolState {
  int m_FreeSlots = 0;
  int m_Waiting = 0; // Own requests in the queue.
  Priority m_FirstWaitingPriority = Priority::Batch; // With m_Waiting above 0.
};

// The receiver's ledger. One grant for each source and pool.
class GrantIssuer {
public:
  explicit GrantIssuer(GrantLimits Limits, std::uint64_t FirstId = 1);

  // Answers an ask; renews the source's earlier grant for the same pool.
  Grant issue(const GrantRequest &Ask, const GrantPoolState &Room, Time Now);
  // Gives slots that have come free to more urgent work of others that asked in
  // vain. Call before local work takes them.
  std::vector<PushedGrant> servePending(int Pool, int FreeSlots, Time Now);
  // Starts one forwarded request. False: no such grant, over, or used up.
  bool start(GrantId Id, Time Now);
  // Ends a forwarded request that start accepted.
  void finish(GrantId Id);
  // Drops grants and claims that are over. Cost: rows.
  void tick(Time Now);

  // Free slots of a pool that local work must leave alone.
  int reservedSlots(int Pool, Time Now) const;
  int grantedSlots(int Pool, Time Now) const;
  std::size_t size() const { return m_Rows.size(); }

private:
  struct IssuedGrant {
    GrantId m_Id = 0;
    std::string m_Source;
    int m_Pool = 0;
    int m_Slots = 0;
    int m_BusySlots = 0;
    int m_SlowStartLimit = 0; // Slots that the slow opening allows.
    Time m_ExpiresAt{0};
    Time m_LastRequestAt{0};
  };
  struct PendingRequest {
    std::string m_Source;
    int m_Pool = 0;
    Priority m_Priority = Priority::Normal;
    int m_Slots = 0;
    Time m_ExpiresAt{0};
  };

  IssuedGrant &rowOf(const std::string &Source, int Pool);
  void recordPending(const GrantRequest &Ask, int Slots, Time Now);

  GrantLimits m_Limits;
  GrantId m_NextId;
  std::vector<IssuedGrant> m_Rows;
  std::vector<PendingRequest> m_PendingRequests;
};

// A peer that could take work, as known from summaries.
struct GrantCandidate {
  std::string m_Peer; // Address of its entry process.
  int m_Distance = 0; // 0 same failure domain, 1 same region, 2 elsewhere.
  int m_FreeSlots = 0;
};

// An ask to be sent now.
struct PlannedGrantRequest {
  std::string m_Peer;
  int m_Pool = 0;
  Priority m_Priority = Priority::Normal;
  int m_Slots = 0;
};

// What the source holds.
class GrantHolder {
public:
  struct HeldGrant {
    std::string m_Peer;
    int m_Pool = 0;
    GrantId m_Id = 0;
    int m_Slots = 0;
    int m_BusySlots = 0;
    int m_Distance = 0;
    Time m_ExpiresAt{0};
    Time m_LastRequestAt{0};
    bool m_RequestInFlight = false;
    Duration m_RoundTrip{0}; // Smoothed, of asks; 0: not known.
    Priority m_Priority =
        Priority::Normal;     // Of the last ask: work of this rank or above.
    int m_RequestedSlots = 0; // Slots of the last ask.
    int m_PendingSlots = 0;   // Of these, not given yet; kept free as they end.
  };

  // Plans asks for Wanted further slots, nearest candidates first, one ask
  // under way for each peer and pool. A peer is asked only when the way there
  // and back is much shorter than LocalWait, the wait that is met here.
  std::vector<PlannedGrantRequest>
  planRequests(int Pool, Priority Value, int Wanted, Duration LocalWait,
               std::vector<GrantCandidate> Candidates, Time Now);
  // Plans the return of slots that nothing of their rank waits for any more:
  // asks for none. First is the most urgent rank that waits.
  std::vector<PlannedGrantRequest>
  planReturns(int Pool, std::optional<Priority> First, Time Now);
  // Records the answer to an ask that left at AskedAt. The term is counted
  // from the sending, so that the source stops before the receiver does.
  void recordResponse(const std::string &Peer, int Pool, const Grant &Given,
                      Time AskedAt, Time Now);
  // Records a grant that came without a new ask.
  void recordPushed(const std::string &Peer, int Pool, const Grant &Given,
                    Time Now);
  // Records that an ask got no answer.
  void recordFailure(const std::string &Peer, int Pool);
  // Takes a slot at the nearest peer within MaxDistance; null when none.
  HeldGrant *acquire(int Pool, int MaxDistance, Time Now);
  void release(const std::string &Peer, int Pool);
  // Forgets a grant that its receiver has refused.
  void invalidate(const std::string &Peer, int Pool);
  int freeSlots(int Pool, int MaxDistance, Time Now) const;
  const std::vector<HeldGrant> &rows() const { return m_Rows; }

private:
  HeldGrant *find(const std::string &Peer, int Pool);
  HeldGrant &rowOf(const GrantCandidate &Candidate, int Pool);
  bool mayRequest(const HeldGrant &Row, Priority Value, Duration LocalWait,
                  Time Now) const;
  void evictIdlePeers(Time Now);
  int pendingSlots(int Pool, Time Now) const;

  std::vector<HeldGrant> m_Rows;
};

} // namespace rhubarb
