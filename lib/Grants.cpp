#include "rhubarb/Grants.h"

#include <algorithm>

namespace rhubarb {
namespace {

constexpr Duration MinAskInterval = 100ms;
constexpr Duration UrgentAskInterval = 50ms;
constexpr Duration ForgetPeerAfter = 60s;
constexpr int MaxAsksPerPlan = 3;
constexpr Duration ClaimTerm = 500ms; // A claim not served by then is over.
constexpr int ClaimsPerRequest = 2;   // Peers at which one request may claim.
constexpr int WaitOverRoundTrip = 6;  // A shorter wait is not worth an ask.
constexpr Duration SafetyMargin = 100ms; // Source stops using a grant early.

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

void GrantIssuer::recordPending(const GrantRequest &Ask, int Slots, Time Now) {
  std::erase_if(m_PendingRequests, [&](const PendingRequest &Existing) {
    return Existing.m_Pool == Ask.m_Pool && Existing.m_Source == Ask.m_Source;
  });
  if (Slots > 0)
    m_PendingRequests.push_back({Ask.m_Source, Ask.m_Pool, Ask.m_Priority,
                                 Slots, Now + m_Limits.m_PendingLifetime});
}

std::vector<PushedGrant> GrantIssuer::servePending(int Pool, int FreeSlots,
                                                   Time Now) {
  std::vector<PushedGrant> Given;
  int Free = FreeSlots - reservedSlots(Pool, Now);
  for (PendingRequest &Waiting : m_PendingRequests) {
    if (Waiting.m_Pool != Pool || Now >= Waiting.m_ExpiresAt)
      continue;
    int Slots = std::min(Waiting.m_Slots, Free);
    if (Slots <= 0)
      continue;
    IssuedGrant &Target = rowOf(Waiting.m_Source, Pool);
    bool Over = Now >= Target.m_ExpiresAt;
    Target.m_Slots = (Over ? Target.m_BusySlots : Target.m_Slots) + Slots;
    Target.m_ExpiresAt = Now + m_Limits.m_Lifetime;
    Waiting.m_Slots -= Slots;
    Free -= Slots;
    Given.push_back(
        {Waiting.m_Source, {Target.m_Id, Target.m_Slots, m_Limits.m_Lifetime}});
  }
  std::erase_if(m_PendingRequests,
                [](const PendingRequest &Each) { return Each.m_Slots <= 0; });
  return Given;
}

Grant GrantIssuer::issue(const GrantRequest &Ask, const GrantPoolState &Room,
                         Time Now) {
  IssuedGrant &Target = rowOf(Ask.m_Source, Ask.m_Pool);
  bool Idle = Now - Target.m_LastRequestAt > m_Limits.m_SlowStartResetAfter;
  Target.m_SlowStartLimit = Idle || Target.m_SlowStartLimit == 0
                                ? m_Limits.m_InitialSlots
                                : Target.m_SlowStartLimit * 2;
  Target.m_LastRequestAt = Now;
  // The earlier grant of this source ends here; what of it is idle is free.
  if (Now < Target.m_ExpiresAt)
    Target.m_ExpiresAt = Now;
  int Reserved = reservedSlots(Ask.m_Pool, Now);
  int Free = Room.m_FreeSlots - Reserved;
  bool OwnWorkFirst =
      Room.m_Waiting > 0 && Room.m_FirstWaitingPriority <= Ask.m_Priority;
  if (OwnWorkFirst)
    Free = 0;
  int Wanted = std::max(Ask.m_Slots, 0);
  int Given =
      std::clamp(std::min(Wanted, Target.m_SlowStartLimit - Target.m_BusySlots),
                 0, std::max(Free, 0));
  // Slots of more urgent work are set aside as they come free.
  bool Outranks =
      Room.m_Waiting > 0 && Ask.m_Priority < Room.m_FirstWaitingPriority;
  recordPending(
      Ask, Outranks ? std::min(Wanted - Given, m_Limits.m_InitialSlots) : 0,
      Now);
  Target.m_Slots = Target.m_BusySlots + Given;
  Target.m_SlowStartLimit =
      std::min(Target.m_SlowStartLimit, std::max(Target.m_Slots, 1) * 2);
  if (Given == 0 && Target.m_BusySlots == 0)
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
  if (HeldGrant *Known = find(Candidate.m_Peer, Pool))
    return *Known;
  HeldGrant Added;
  Added.m_Peer = Candidate.m_Peer;
  Added.m_Pool = Pool;
  m_Rows.push_back(std::move(Added));
  return m_Rows.back();
}

// Whether a peer may be asked now, and the way there is worth it. Slots stand
// idle while a grant is on its way, so a short wait here is cheaper.
bool GrantHolder::mayRequest(const HeldGrant &Row, Priority Value,
                             Duration LocalWait, Time Now) const {
  bool Urgent = Value == Priority::Urgent;
  Duration Interval = Urgent ? UrgentAskInterval : MinAskInterval;
  bool JustAsked =
      Row.m_LastRequestAt != Time{0} && Now - Row.m_LastRequestAt < Interval;
  return !Row.m_RequestInFlight && !JustAsked &&
         Row.m_RoundTrip * WaitOverRoundTrip <= LocalWait;
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
  std::vector<PlannedGrantRequest> Asks;
  int Claims = Wanted * ClaimsPerRequest - pendingSlots(Pool, Now);
  for (const GrantCandidate &Candidate : Candidates) {
    if (Wanted <= 0 || static_cast<int>(Asks.size()) >= MaxAsksPerPlan)
      break;
    HeldGrant &Row = rowOf(Candidate, Pool);
    if (!mayRequest(Row, Value, LocalWait, Now))
      continue;
    // Without free slots there, an urgent ask claims the next ones.
    bool Claiming = Candidate.m_FreeSlots <= 0;
    bool NewClaim = Claiming && Row.m_PendingSlots == 0;
    if (Claiming && (Value != Priority::Urgent || (NewClaim && Claims <= 0)))
      continue;
    int Slots = Claiming ? 1 : std::min(Wanted, Candidate.m_FreeSlots);
    Claims -= NewClaim ? 1 : 0;
    Wanted -= Claiming ? 0 : Slots;
    Row.m_RequestedSlots = Slots;
    Row.m_Priority = Value;
    Row.m_RequestInFlight = true;
    Row.m_LastRequestAt = Now;
    Row.m_Distance = Candidate.m_Distance;
    Asks.push_back({Candidate.m_Peer, Pool, Value, Slots});
  }
  return Asks;
}

// Drops rows of peers that have not been asked for long; VMs come and go.
void GrantHolder::evictIdlePeers(Time Now) {
  std::erase_if(m_Rows, [&](const HeldGrant &Row) {
    return Row.m_BusySlots == 0 && !Row.m_RequestInFlight &&
           Row.m_LastRequestAt != Time{0} &&
           Now - Row.m_LastRequestAt > ForgetPeerAfter;
  });
}

void GrantHolder::recordResponse(const std::string &Peer, int Pool,
                                 const Grant &Given, Time AskedAt, Time Now) {
  HeldGrant *Row = find(Peer, Pool);
  if (Row == nullptr)
    return;
  Duration Took = Now - AskedAt;
  Row->m_RoundTrip =
      Row->m_RoundTrip.count() == 0 ? Took : (Row->m_RoundTrip * 7 + Took) / 8;
  Row->m_RequestInFlight = false;
  Row->m_Id = Given.m_Id;
  Row->m_PendingSlots = std::max(
      Row->m_RequestedSlots - std::max(Given.m_Slots - Row->m_BusySlots, 0), 0);
  Row->m_Slots = Given.m_Slots;
  Row->m_ExpiresAt = AskedAt + Given.m_Lifetime - SafetyMargin;
}

void GrantHolder::recordPushed(const std::string &Peer, int Pool,
                               const Grant &Given, Time Now) {
  HeldGrant *Row = find(Peer, Pool);
  if (Row == nullptr)
    return;
  Row->m_Id = Given.m_Id;
  Row->m_Slots = Given.m_Slots;
  Row->m_PendingSlots = 0;
  // The term began when the grant left.
  Row->m_ExpiresAt = Now + Given.m_Lifetime - Row->m_RoundTrip - SafetyMargin;
}

void GrantHolder::recordFailure(const std::string &Peer, int Pool) {
  if (HeldGrant *Row = find(Peer, Pool))
    Row->m_RequestInFlight = false;
}

int GrantHolder::pendingSlots(int Pool, Time Now) const {
  int Sum = 0;
  for (const HeldGrant &Row : m_Rows)
    if (Row.m_Pool == Pool && Now - Row.m_LastRequestAt < ClaimTerm)
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
