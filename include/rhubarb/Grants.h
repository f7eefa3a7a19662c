// Grants: leases on slots of a pool at another entry process, which allow the
// holder (the source) to forward requests to the issuer (the receiver). The
// slots granted never exceed the free capacity of the issuer, even if messages
// are lost, delayed or duplicated.
#pragma once

#include "rhubarb/Types.h"

#include <functional>
#include <string>
#include <vector>

namespace rhubarb {

using GrantId = std::uint64_t; // 0: no grant.

// A request for slots.
struct GrantRequest {
  std::string m_Source; // Address of the requesting entry process.
  int m_Pool = 0;
  Priority m_Priority = Priority::Normal; // Highest priority that is waiting.
  int m_Slots = 0;
};

// Slots granted by the receiver. If m_Slots is 0, nothing was granted.
struct Grant {
  GrantId m_Id = 0;
  int m_Slots = 0;
  Duration m_Lifetime{0}; // The receiver counts it from sending the response.
};

// A grant that is pushed to a source when a slot becomes free.
struct PushedGrant {
  std::string m_Source;
  Grant m_Grant;
};

// Lifetimes and slow start of grants at the receiver.
struct GrantLimits {
  Duration m_Lifetime = 1500ms;
  // Time for which a request with a higher priority than all waiting local
  // requests stays pending for the slots that it was not granted.
  Duration m_PendingLifetime = 500ms;
  // A source that sent no request for this long goes through slow start again.
  Duration m_SlowStartResetAfter = 10s;
  // Size of a source's first grant; small because caches are cold.
  int m_InitialSlots = 2;
};

// State of a pool at the receiver when a request arrives.
struct GrantPoolState {
  int m_FreeSlots = 0;
  int m_Waiting = 0; // Number of local requests in the queue.
  // Highest priority of the waiting local requests; valid if m_Waiting > 0.
  Priority m_FirstWaitingPriority = Priority::Batch;
};

// The receiver's side: keeps one grant for each source and pool.
class GrantIssuer {
public:
  explicit GrantIssuer(GrantLimits Limits, std::uint64_t FirstId = 1);

  // Handles a request. Replaces the source's earlier grant for the same pool.
  Grant issue(const GrantRequest &Request, const GrantPoolState &State,
              Time Now);
  // Grants free slots to pending requests in the order of their arrival. Call
  // before local requests take the slots.
  std::vector<PushedGrant> servePending(int Pool, int FreeSlots, Time Now);
  // Starts a forwarded request. Returns false if the grant does not exist, has
  // expired or has no free slot.
  bool start(GrantId Id, Time Now);
  // Ends a forwarded request that start() accepted.
  void finish(GrantId Id);
  // Removes expired pending requests, and expired grants whose source sent no
  // request for m_SlowStartResetAfter. Takes linear time in their number.
  void tick(Time Now);

  // Returns the free slots of a pool that are granted and not available to
  // local requests.
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
    int m_SlowStartLimit = 0; // Limit on m_Slots; doubles during slow start.
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
  void recordPending(const GrantRequest &Request, int Slots, Time Now);

  GrantLimits m_Limits;
  GrantId m_NextId;
  std::vector<IssuedGrant> m_Rows;
  std::vector<PendingRequest> m_PendingRequests;
};

// A peer that could accept requests, according to its summary.
struct GrantCandidate {
  std::string m_Peer; // Address of its entry process.
  // 0 in the same failure domain, 1 in the same region, 2 in another region.
  int m_Distance = 0;
  int m_FreeSlots = 0;
};

// A grant request to be sent now.
struct PlannedGrantRequest {
  std::string m_Peer;
  int m_Pool = 0;
  Priority m_Priority = Priority::Normal;
  int m_Slots = 0;
};

// The source's side: the grants that it holds.
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
    Duration m_RoundTrip{0}; // Moving average for grant requests; 0: unknown.
    // Priority of the last request; the slots are for this priority or above.
    Priority m_Priority = Priority::Normal;
    int m_RequestedSlots = 0; // Slots in the last request.
    // Slots of the last request that the peer has not granted. It may still
    // grant them when slots become free.
    int m_PendingSlots = 0;
  };

  // Plans requests for Wanted further slots, nearest candidates first, with at
  // most one request in flight for each peer and pool. Skips peers whose round
  // trip is not much shorter than LocalWait, the local queueing delay, and
  // peers without free slots unless the priority is urgent.
  std::vector<PlannedGrantRequest>
  planRequests(int Pool, Priority Value, int Wanted, Duration LocalWait,
               std::vector<GrantCandidate> Candidates, Time Now);
  // Plans the return of free slots that no waiting request of their priority or
  // above needs. They are returned by a request for 0 slots. First is the
  // highest priority that is waiting.
  std::vector<PlannedGrantRequest>
  planReturns(int Pool, std::optional<Priority> First, Time Now);
  // Records the response to a request that was sent at SentAt. The lifetime is
  // counted from sending, so that the grant expires at the source before it
  // does at the receiver.
  void recordResponse(const std::string &Peer, int Pool, const Grant &Granted,
                      Time SentAt, Time Now);
  // Records a grant that the receiver pushed.
  void recordPushed(const std::string &Peer, int Pool, const Grant &Granted,
                    Time Now);
  // Records that a grant request got no response.
  void recordFailure(const std::string &Peer, int Pool);
  // Occupies a slot at the nearest peer within MaxDistance. Returns nullptr if
  // there is none.
  HeldGrant *acquire(int Pool, int MaxDistance, Time Now);
  void release(const std::string &Peer, int Pool);
  // Discards a grant that its receiver has refused.
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
