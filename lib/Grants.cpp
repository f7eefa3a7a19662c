#include "rhubarb/Grants.h"

#include <algorithm>

namespace rhubarb {
namespace {

constexpr Duration MinRequestInterval = 100ms;
constexpr Duration UrgentRequestInterval = 50ms;
constexpr Duration IdlePeerTimeout = 60s;
constexpr int MaxRequestsPerPlan = 3;
// Time for which the source counts a request as pending at a peer.
constexpr Duration PendingLifetime = 500ms;
// Maximum number of requests pending at peers for each wanted slot.
constexpr int PendingPerWantedSlot = 2;
// A peer gets a request only if the local wait is at least this many round
// trips.
constexpr int MinWaitInRoundTrips = 6;
// The source stops using a grant this long before it expires.
constexpr Duration ExpiryMargin = 100ms;

} // namespace

GrantIssuer::GrantIssuer(GrantLimits Limits, std::uint64_t FirstId)
    : m_Limits(Limits), m_NextId(FirstId) {}

GrantIssuer::IssuedGrant &GrantIssuer::rowOf(const std::string &Source,
                                             int Pool) {
  for (IssuedGrant &Existing : m_Rows)
    if (Existing.m_Pool == Pool && Existing.m_Source == Source)
      return Existing;
  IssuedGrant Added;
  Added.m_Id = m_NextId++;
  Added.m_Source = Source;
  Added.m_Pool = Pool;
  m_Rows.push_back(std::move(Added));
  return m_Rows.back();
}

void GrantIssuer::recordPending(const GrantRequest &Request, int Slots,
                                Time Now) {
  std::erase_if(m_PendingRequests, [&](const PendingRequest &Existing) {
    return Existing.m_Pool == Request.m_Pool &&
           Existing.m_Source == Request.m_Source;
  });
  if (Slots > 0)
    m_PendingRequests.push_back({Request.m_Source, Request.m_Pool,
                                 Request.m_Priority, Slots,
                                 Now + m_Limits.m_PendingLifetime});
}

std::vector<PushedGrant> GrantIssuer::servePending(int Pool, int FreeSlots,
                                                   Time Now) {
  std::vector<PushedGrant> Granted;
  int Free = FreeSlots - reservedSlots(Pool, Now);
  for (PendingRequest &Pending : m_PendingRequests) {
    if (Pending.m_Pool != Pool || Now >= Pending.m_ExpiresAt)
      continue;
    int Slots = std::min(Pending.m_Slots, Free);
    if (Slots <= 0)
      continue;
    IssuedGrant &Target = rowOf(Pending.m_Source, Pool);
    bool Expired = Now >= Target.m_ExpiresAt;
    Target.m_Slots = (Expired ? Target.m_BusySlots : Target.m_Slots) + Slots;
    Target.m_ExpiresAt = Now + m_Limits.m_Lifetime;
    Pending.m_Slots -= Slots;
    Free -= Slots;
    Granted.push_back(
        {Pending.m_Source, {Target.m_Id, Target.m_Slots, m_Limits.m_Lifetime}});
  }
  std::erase_if(m_PendingRequests,
                [](const PendingRequest &Each) { return Each.m_Slots <= 0; });
  return Granted;
}

Grant GrantIssuer::issue(const GrantRequest &Request,
                         const GrantPoolState &State, Time Now) {
  IssuedGrant &Target = rowOf(Request.m_Source, Request.m_Pool);
  bool Idle = Now - Target.m_LastRequestAt > m_Limits.m_SlowStartResetAfter;
  Target.m_SlowStartLimit = Idle || Target.m_SlowStartLimit == 0
                                ? m_Limits.m_InitialSlots
                                : Target.m_SlowStartLimit * 2;
  Target.m_LastRequestAt = Now;
  // The new grant replaces the earlier one of this source and frees its idle
  // slots.
  if (Now < Target.m_ExpiresAt)
    Target.m_ExpiresAt = Now;
  int Reserved = reservedSlots(Request.m_Pool, Now);
  int Free = State.m_FreeSlots - Reserved;
  bool LocalRequestsFirst =
      State.m_Waiting > 0 && State.m_FirstWaitingPriority <= Request.m_Priority;
  if (LocalRequestsFirst)
    Free = 0;
  int Wanted = std::max(Request.m_Slots, 0);
  int Granted =
      std::clamp(std::min(Wanted, Target.m_SlowStartLimit - Target.m_BusySlots),
                 0, std::max(Free, 0));
  // A request with a higher priority than all waiting local requests stays
  // pending, so that servePending() can grant slots when they become free.
  bool HasHigherPriority =
      State.m_Waiting > 0 && Request.m_Priority < State.m_FirstWaitingPriority;
  recordPending(Request,
                HasHigherPriority
                    ? std::min(Wanted - Granted, m_Limits.m_InitialSlots)
                    : 0,
                Now);
  Target.m_Slots = Target.m_BusySlots + Granted;
  Target.m_SlowStartLimit =
      std::min(Target.m_SlowStartLimit, std::max(Target.m_Slots, 1) * 2);
  if (Granted == 0 && Target.m_BusySlots == 0)
    return {};
  Target.m_ExpiresAt = Now + m_Limits.m_Lifetime;
  return {Target.m_Id, Target.m_Slots, m_Limits.m_Lifetime};
}

bool GrantIssuer::start(GrantId Id, Time Now) {
  for (IssuedGrant &Existing : m_Rows)
    if (Existing.m_Id == Id) {
      if (Now >= Existing.m_ExpiresAt ||
          Existing.m_BusySlots >= Existing.m_Slots)
        return false;
      ++Existing.m_BusySlots;
      return true;
    }
  return false;
}

void GrantIssuer::finish(GrantId Id) {
  for (IssuedGrant &Existing : m_Rows)
    if (Existing.m_Id == Id && Existing.m_BusySlots > 0)
      --Existing.m_BusySlots;
}

void GrantIssuer::tick(Time Now) {
  std::erase_if(m_Rows, [&](const IssuedGrant &Existing) {
    return Existing.m_BusySlots == 0 && Now >= Existing.m_ExpiresAt &&
           Now - Existing.m_LastRequestAt > m_Limits.m_SlowStartResetAfter;
  });
  std::erase_if(m_PendingRequests, [&](const PendingRequest &Existing) {
    return Now >= Existing.m_ExpiresAt;
  });
}

int GrantIssuer::reservedSlots(int Pool, Time Now) const {
  int Sum = 0;
  for (const IssuedGrant &Existing : m_Rows)
    if (Existing.m_Pool == Pool && Now < Existing.m_ExpiresAt)
      Sum += Existing.m_Slots - Existing.m_BusySlots;
  return Sum;
}

int GrantIssuer::grantedSlots(int Pool, Time Now) const {
  int Sum = 0;
  for (const IssuedGrant &Existing : m_Rows)
    if (Existing.m_Pool == Pool)
      Sum +=
          Now < Existing.m_ExpiresAt ? Existing.m_Slots : Existing.m_BusySlots;
  return Sum;
}

GrantHolder::HeldGrant *GrantHolder::find(const std::string &Peer, int Pool) {
  for (HeldGrant &Row : m_Rows)
    if (Row.m_Pool == Pool && Row.m_Peer == Peer)
      return &Row;
  return nullptr;
}

std::vector<PlannedGrantRequest>
GrantHolder::planReturns(int Pool, std::optional<Priority> First, Time Now) {
  std::vector<PlannedGrantRequest> Returns;
  for (HeldGrant &Row : m_Rows)
    if (Row.m_Pool == Pool && !Row.m_RequestInFlight &&
        (!First || *First > Row.m_Priority) &&
        ((Row.m_BusySlots < Row.m_Slots && Now < Row.m_ExpiresAt) ||
         Row.m_PendingSlots > 0)) {
      Row.m_PendingSlots = 0;
      Row.m_RequestInFlight = true;
      Row.m_LastRequestAt = Now;
      Row.m_Slots = Row.m_BusySlots;
      Row.m_RequestedSlots = 0;
      Returns.push_back({Row.m_Peer, Pool, Priority::Batch, 0});
    }
  return Returns;
}

GrantHolder::HeldGrant &GrantHolder::rowOf(const GrantCandidate &Candidate,
                                           int Pool) {
  if (HeldGrant *Existing = find(Candidate.m_Peer, Pool))
    return *Existing;
  HeldGrant Added;
  Added.m_Peer = Candidate.m_Peer;
  Added.m_Pool = Pool;
  m_Rows.push_back(std::move(Added));
  return m_Rows.back();
}

// Returns whether a request may be sent to a peer now and is worth the round
// trip. Granted slots are idle while the response is in transit, so a short
// local wait is cheaper.
bool GrantHolder::mayRequest(const HeldGrant &Row, Priority Value,
                             Duration LocalWait, Time Now) const {
  bool Urgent = Value == Priority::Urgent;
  Duration Interval = Urgent ? UrgentRequestInterval : MinRequestInterval;
  bool RecentlyRequested =
      Row.m_LastRequestAt != Time{0} && Now - Row.m_LastRequestAt < Interval;
  return !Row.m_RequestInFlight && !RecentlyRequested &&
         Row.m_RoundTrip * MinWaitInRoundTrips <= LocalWait;
}

std::vector<PlannedGrantRequest>
GrantHolder::planRequests(int Pool, Priority Value, int Wanted,
                          Duration LocalWait,
                          std::vector<GrantCandidate> Candidates, Time Now) {
  evictIdlePeers(Now);
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [](const GrantCandidate &A, const GrantCandidate &B) {
                     if (A.m_Distance != B.m_Distance)
                       return A.m_Distance < B.m_Distance;
                     return A.m_FreeSlots > B.m_FreeSlots;
                   });
  std::vector<PlannedGrantRequest> Requests;
  int PendingAllowed = Wanted * PendingPerWantedSlot - pendingSlots(Pool, Now);
  for (const GrantCandidate &Candidate : Candidates) {
    if (Wanted <= 0 || static_cast<int>(Requests.size()) >= MaxRequestsPerPlan)
      break;
    HeldGrant &Row = rowOf(Candidate, Pool);
    if (!mayRequest(Row, Value, LocalWait, Now))
      continue;
    // A peer without free slots is sent only urgent requests, which stay
    // pending there until a slot becomes free.
    bool StaysPending = Candidate.m_FreeSlots <= 0;
    bool NewPending = StaysPending && Row.m_PendingSlots == 0;
    if (StaysPending &&
        (Value != Priority::Urgent || (NewPending && PendingAllowed <= 0)))
      continue;
    int Slots = StaysPending ? 1 : std::min(Wanted, Candidate.m_FreeSlots);
    PendingAllowed -= NewPending ? 1 : 0;
    Wanted -= StaysPending ? 0 : Slots;
    Row.m_RequestedSlots = Slots;
    Row.m_Priority = Value;
    Row.m_RequestInFlight = true;
    Row.m_LastRequestAt = Now;
    Row.m_Distance = Candidate.m_Distance;
    Requests.push_back({Candidate.m_Peer, Pool, Value, Slots});
  }
  return Requests;
}

// Removes peers that were sent no request for a long time, because VMs are
// replaced.
void GrantHolder::evictIdlePeers(Time Now) {
  std::erase_if(m_Rows, [&](const HeldGrant &Row) {
    return Row.m_BusySlots == 0 && !Row.m_RequestInFlight &&
           Row.m_LastRequestAt != Time{0} &&
           Now - Row.m_LastRequestAt > IdlePeerTimeout;
  });
}

void GrantHolder::recordResponse(const std::string &Peer, int Pool,
                                 const Grant &Granted, Time SentAt, Time Now) {
  HeldGrant *Row = find(Peer, Pool);
  if (Row == nullptr)
    return;
  Duration RoundTrip = Now - SentAt;
  Row->m_RoundTrip = Row->m_RoundTrip.count() == 0
                         ? RoundTrip
                         : (Row->m_RoundTrip * 7 + RoundTrip) / 8;
  Row->m_RequestInFlight = false;
  Row->m_Id = Granted.m_Id;
  Row->m_PendingSlots = std::max(
      Row->m_RequestedSlots - std::max(Granted.m_Slots - Row->m_BusySlots, 0),
      0);
  Row->m_Slots = Granted.m_Slots;
  Row->m_ExpiresAt = SentAt + Granted.m_Lifetime - ExpiryMargin;
}

void GrantHolder::recordPushed(const std::string &Peer, int Pool,
                               const Grant &Granted, Time Now) {
  HeldGrant *Row = find(Peer, Pool);
  if (Row == nullptr)
    return;
  Row->m_Id = Granted.m_Id;
  Row->m_Slots = Granted.m_Slots;
  Row->m_PendingSlots = 0;
  // The lifetime began when the receiver sent the grant, at most about a round
  // trip ago.
  Row->m_ExpiresAt = Now + Granted.m_Lifetime - Row->m_RoundTrip - ExpiryMargin;
}

void GrantHolder::recordFailure(const std::string &Peer, int Pool) {
  if (HeldGrant *Row = find(Peer, Pool))
    Row->m_RequestInFlight = false;
}

int GrantHolder::pendingSlots(int Pool, Time Now) const {
  int Sum = 0;
  for (const HeldGrant &Row : m_Rows)
    if (Row.m_Pool == Pool && Now - Row.m_LastRequestAt < PendingLifetime)
      Sum += Row.m_RequestInFlight ? Row.m_RequestedSlots : Row.m_PendingSlots;
  return Sum;
}

GrantHolder::HeldGrant *GrantHolder::acquire(int Pool, int MaxDistance,
                                             Time Now) {
  HeldGrant *Best = nullptr;
  for (HeldGrant &Row : m_Rows)
    if (Row.m_Pool == Pool && Row.m_Distance <= MaxDistance &&
        Row.m_BusySlots < Row.m_Slots && Now < Row.m_ExpiresAt &&
        (Best == nullptr || Row.m_Distance < Best->m_Distance))
      Best = &Row;
  if (Best != nullptr)
    ++Best->m_BusySlots;
  return Best;
}

void GrantHolder::release(const std::string &Peer, int Pool) {
  HeldGrant *Row = find(Peer, Pool);
  if (Row != nullptr && Row->m_BusySlots > 0)
    --Row->m_BusySlots;
}

void GrantHolder::invalidate(const std::string &Peer, int Pool) {
  if (HeldGrant *Row = find(Peer, Pool)) {
    Row->m_Slots = 0;
    Row->m_ExpiresAt = Time{0};
  }
}

int GrantHolder::freeSlots(int Pool, int MaxDistance, Time Now) const {
  int Sum = 0;
  for (const HeldGrant &Row : m_Rows)
    if (Row.m_Pool == Pool && Row.m_Distance <= MaxDistance &&
        Now < Row.m_ExpiresAt)
      Sum += std::max(Row.m_Slots - Row.m_BusySlots, 0);
  return Sum;
}

} // namespace rhubarb
