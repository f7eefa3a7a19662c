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

GrantDesk::GrantDesk(GrantLimits Limits, std::uint64_t FirstId)
    : m_Limits(Limits), m_NextId(FirstId) {}

GrantDesk::Row &GrantDesk::rowOf(const std::string &Source, int Pool) {
  for (Row &Existing : m_Rows)
    if (Existing.m_Pool == Pool && Existing.m_Source == Source)
      return Existing;
  Row Added;
  Added.m_Id = m_NextId++;
  Added.m_Source = Source;
  Added.m_Pool = Pool;
  m_Rows.push_back(std::move(Added));
  return m_Rows.back();
}

void GrantDesk::recordClaim(const GrantAsk &Ask, int Slots, Time Now) {
  std::erase_if(m_Claims, [&](const Claim &Existing) {
    return Existing.m_Pool == Ask.m_Pool && Existing.m_Source == Ask.m_Source;
  });
  if (Slots > 0)
    m_Claims.push_back({Ask.m_Source, Ask.m_Pool, Ask.m_Rank, Slots,
                        Now + m_Limits.m_ClaimTerm});
}

std::vector<GivenGrant> GrantDesk::serveClaims(int Pool, int FreeSlots,
                                               Time Now) {
  std::vector<GivenGrant> Given;
  int Free = FreeSlots - reserved(Pool, Now);
  for (Claim &Waiting : m_Claims) {
    if (Waiting.m_Pool != Pool || Now >= Waiting.m_Until)
      continue;
    int Slots = std::min(Waiting.m_Slots, Free);
    if (Slots <= 0)
      continue;
    Row &Target = rowOf(Waiting.m_Source, Pool);
    bool Over = Now >= Target.m_Until;
    Target.m_Slots = (Over ? Target.m_Busy : Target.m_Slots) + Slots;
    Target.m_Until = Now + m_Limits.m_Term;
    Waiting.m_Slots -= Slots;
    Free -= Slots;
    Given.push_back(
        {Waiting.m_Source, {Target.m_Id, Target.m_Slots, m_Limits.m_Term}});
  }
  std::erase_if(m_Claims, [](const Claim &Each) { return Each.m_Slots <= 0; });
  return Given;
}

Grant GrantDesk::ask(const GrantAsk &Ask, const GrantRoom &Room, Time Now) {
  Row &Target = rowOf(Ask.m_Source, Ask.m_Pool);
  bool Idle = Now - Target.m_LastAsk > m_Limits.m_IdleReset;
  Target.m_Allowed = Idle || Target.m_Allowed == 0 ? m_Limits.m_FirstSlots
                                                   : Target.m_Allowed * 2;
  Target.m_LastAsk = Now;
  // The earlier grant of this source ends here; what of it is idle is free.
  if (Now < Target.m_Until)
    Target.m_Until = Now;
  int Reserved = reserved(Ask.m_Pool, Now);
  int Free = Room.m_FreeSlots - Reserved;
  bool OwnWorkFirst =
      Room.m_Waiting > 0 && Room.m_FirstWaitingRank <= Ask.m_Rank;
  if (OwnWorkFirst)
    Free = 0;
  int Wanted = std::max(Ask.m_Slots, 0);
  int Given = std::clamp(std::min(Wanted, Target.m_Allowed - Target.m_Busy), 0,
                         std::max(Free, 0));
  // Slots of more urgent work are set aside as they come free.
  bool Outranks = Room.m_Waiting > 0 && Ask.m_Rank < Room.m_FirstWaitingRank;
  recordClaim(
      Ask, Outranks ? std::min(Wanted - Given, m_Limits.m_FirstSlots) : 0, Now);
  Target.m_Slots = Target.m_Busy + Given;
  Target.m_Allowed =
      std::min(Target.m_Allowed, std::max(Target.m_Slots, 1) * 2);
  if (Given == 0 && Target.m_Busy == 0)
    return {};
  Target.m_Until = Now + m_Limits.m_Term;
  return {Target.m_Id, Target.m_Slots, m_Limits.m_Term};
}

bool GrantDesk::start(GrantId Id, Time Now) {
  for (Row &Existing : m_Rows)
    if (Existing.m_Id == Id) {
      if (Now >= Existing.m_Until || Existing.m_Busy >= Existing.m_Slots)
        return false;
      ++Existing.m_Busy;
      return true;
    }
  return false;
}

void GrantDesk::finish(GrantId Id) {
  for (Row &Existing : m_Rows)
    if (Existing.m_Id == Id && Existing.m_Busy > 0)
      --Existing.m_Busy;
}

void GrantDesk::tick(Time Now) {
  std::erase_if(m_Rows, [&](const Row &Existing) {
    return Existing.m_Busy == 0 && Now >= Existing.m_Until &&
           Now - Existing.m_LastAsk > m_Limits.m_IdleReset;
  });
  std::erase_if(m_Claims,
                [&](const Claim &Existing) { return Now >= Existing.m_Until; });
}

int GrantDesk::reserved(int Pool, Time Now) const {
  int Sum = 0;
  for (const Row &Existing : m_Rows)
    if (Existing.m_Pool == Pool && Now < Existing.m_Until)
      Sum += Existing.m_Slots - Existing.m_Busy;
  return Sum;
}

int GrantDesk::grantedSlots(int Pool, Time Now) const {
  int Sum = 0;
  for (const Row &Existing : m_Rows)
    if (Existing.m_Pool == Pool)
      Sum += Now < Existing.m_Until ? Existing.m_Slots : Existing.m_Busy;
  return Sum;
}

GrantWallet::Held *GrantWallet::find(const std::string &Peer, int Pool) {
  for (Held &Row : m_Rows)
    if (Row.m_Pool == Pool && Row.m_Peer == Peer)
      return &Row;
  return nullptr;
}

std::vector<PlannedAsk>
GrantWallet::planReturns(int Pool, std::optional<Priority> First, Time Now) {
  std::vector<PlannedAsk> Returns;
  for (Held &Row : m_Rows)
    if (Row.m_Pool == Pool && !Row.m_Asking &&
        (!First || *First > Row.m_Rank) &&
        ((Row.m_Busy < Row.m_Slots && Now < Row.m_Until) ||
         Row.m_Claimed > 0)) {
      Row.m_Claimed = 0;
      Row.m_Asking = true;
      Row.m_LastAsk = Now;
      Row.m_Slots = Row.m_Busy;
      Row.m_Asked = 0;
      Returns.push_back({Row.m_Peer, Pool, Priority::Batch, 0});
    }
  return Returns;
}

GrantWallet::Held &GrantWallet::rowOf(const GrantCandidate &Candidate,
                                      int Pool) {
  if (Held *Known = find(Candidate.m_Peer, Pool))
    return *Known;
  Held Added;
  Added.m_Peer = Candidate.m_Peer;
  Added.m_Pool = Pool;
  m_Rows.push_back(std::move(Added));
  return m_Rows.back();
}

// Whether a peer may be asked now, and the way there is worth it. Slots stand
// idle while a grant is on its way, so a short wait here is cheaper.
bool GrantWallet::mayAsk(const Held &Row, Priority Value, Duration LocalWait,
                         Time Now) const {
  bool Urgent = Value == Priority::Urgent;
  Duration Interval = Urgent ? UrgentAskInterval : MinAskInterval;
  bool JustAsked = Row.m_LastAsk != Time{0} && Now - Row.m_LastAsk < Interval;
  return !Row.m_Asking && !JustAsked &&
         Row.m_RoundTrip * WaitOverRoundTrip <= LocalWait;
}

std::vector<PlannedAsk>
GrantWallet::plan(int Pool, Priority Value, int Wanted, Duration LocalWait,
                  std::vector<GrantCandidate> Candidates, Time Now) {
  forgetIdle(Now);
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [](const GrantCandidate &A, const GrantCandidate &B) {
                     if (A.m_Distance != B.m_Distance)
                       return A.m_Distance < B.m_Distance;
                     return A.m_FreeSlots > B.m_FreeSlots;
                   });
  std::vector<PlannedAsk> Asks;
  int Claims = Wanted * ClaimsPerRequest - claimedSlots(Pool, Now);
  for (const GrantCandidate &Candidate : Candidates) {
    if (Wanted <= 0 || static_cast<int>(Asks.size()) >= MaxAsksPerPlan)
      break;
    Held &Row = rowOf(Candidate, Pool);
    if (!mayAsk(Row, Value, LocalWait, Now))
      continue;
    // Without free slots there, an urgent ask claims the next ones.
    bool Claiming = Candidate.m_FreeSlots <= 0;
    bool NewClaim = Claiming && Row.m_Claimed == 0;
    if (Claiming && (Value != Priority::Urgent || (NewClaim && Claims <= 0)))
      continue;
    int Slots = Claiming ? 1 : std::min(Wanted, Candidate.m_FreeSlots);
    Claims -= NewClaim ? 1 : 0;
    Wanted -= Claiming ? 0 : Slots;
    Row.m_Asked = Slots;
    Row.m_Rank = Value;
    Row.m_Asking = true;
    Row.m_LastAsk = Now;
    Row.m_Distance = Candidate.m_Distance;
    Asks.push_back({Candidate.m_Peer, Pool, Value, Slots});
  }
  return Asks;
}

// Drops rows of peers that have not been asked for long; VMs come and go.
void GrantWallet::forgetIdle(Time Now) {
  std::erase_if(m_Rows, [&](const Held &Row) {
    return Row.m_Busy == 0 && !Row.m_Asking && Row.m_LastAsk != Time{0} &&
           Now - Row.m_LastAsk > ForgetPeerAfter;
  });
}

void GrantWallet::answered(const std::string &Peer, int Pool,
                           const Grant &Given, Time AskedAt, Time Now) {
  Held *Row = find(Peer, Pool);
  if (Row == nullptr)
    return;
  Duration Took = Now - AskedAt;
  Row->m_RoundTrip =
      Row->m_RoundTrip.count() == 0 ? Took : (Row->m_RoundTrip * 7 + Took) / 8;
  Row->m_Asking = false;
  Row->m_Id = Given.m_Id;
  Row->m_Claimed =
      std::max(Row->m_Asked - std::max(Given.m_Slots - Row->m_Busy, 0), 0);
  Row->m_Slots = Given.m_Slots;
  Row->m_Until = AskedAt + Given.m_Term - SafetyMargin;
}

void GrantWallet::given(const std::string &Peer, int Pool, const Grant &Given,
                        Time Now) {
  Held *Row = find(Peer, Pool);
  if (Row == nullptr)
    return;
  Row->m_Id = Given.m_Id;
  Row->m_Slots = Given.m_Slots;
  Row->m_Claimed = 0;
  // The term began when the grant left.
  Row->m_Until = Now + Given.m_Term - Row->m_RoundTrip - SafetyMargin;
}

void GrantWallet::failed(const std::string &Peer, int Pool) {
  if (Held *Row = find(Peer, Pool))
    Row->m_Asking = false;
}

int GrantWallet::claimedSlots(int Pool, Time Now) const {
  int Sum = 0;
  for (const Held &Row : m_Rows)
    if (Row.m_Pool == Pool && Now - Row.m_LastAsk < ClaimTerm)
      Sum += Row.m_Asking ? Row.m_Asked : Row.m_Claimed;
  return Sum;
}

GrantWallet::Held *GrantWallet::acquire(int Pool, int MaxDistance, Time Now) {
  Held *Best = nullptr;
  for (Held &Row : m_Rows)
    if (Row.m_Pool == Pool && Row.m_Distance <= MaxDistance &&
        Row.m_Busy < Row.m_Slots && Now < Row.m_Until &&
        (Best == nullptr || Row.m_Distance < Best->m_Distance))
      Best = &Row;
  if (Best != nullptr)
    ++Best->m_Busy;
  return Best;
}

void GrantWallet::release(const std::string &Peer, int Pool) {
  Held *Row = find(Peer, Pool);
  if (Row != nullptr && Row->m_Busy > 0)
    --Row->m_Busy;
}

void GrantWallet::drop(const std::string &Peer, int Pool) {
  if (Held *Row = find(Peer, Pool)) {
    Row->m_Slots = 0;
    Row->m_Until = Time{0};
  }
}

int GrantWallet::freeSlots(int Pool, int MaxDistance, Time Now) const {
  int Sum = 0;
  for (const Held &Row : m_Rows)
    if (Row.m_Pool == Pool && Row.m_Distance <= MaxDistance &&
        Now < Row.m_Until)
      Sum += std::max(Row.m_Slots - Row.m_Busy, 0);
  return Sum;
}

} // namespace rhubarb
