#include "rhubarb/Grants.h"

#include <algorithm>

namespace rhubarb {
namespace {

constexpr Duration MinAskInterval = 100ms;
constexpr int MaxAsksPerPlan = 3;
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

int GrantDesk::claimedByOthers(const GrantAsk &Ask, Time Now) const {
  int Sum = 0;
  for (const Claim &Existing : m_Claims)
    if (Existing.m_Pool == Ask.m_Pool && Existing.m_Source != Ask.m_Source &&
        Existing.m_Rank <= Ask.m_Rank && Now < Existing.m_Until)
      Sum += Existing.m_Slots;
  return Sum;
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
  int Reserved = reserved(Ask.m_Pool, Rank::Urgent, Now);
  int Free = Room.m_FreeSlots - Reserved - claimedByOthers(Ask, Now);
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

int GrantDesk::reserved(int Pool, Rank Value, Time Now) const {
  int Sum = 0;
  for (const Row &Existing : m_Rows)
    if (Existing.m_Pool == Pool && Now < Existing.m_Until)
      Sum += Existing.m_Slots - Existing.m_Busy;
  for (const Claim &Existing : m_Claims)
    if (Existing.m_Pool == Pool && Existing.m_Rank < Value &&
        Now < Existing.m_Until)
      Sum += Existing.m_Slots;
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
GrantWallet::plan(int Pool, Rank Value, int Wanted,
                  std::vector<GrantCandidate> Candidates, Time Now) {
  std::vector<PlannedAsk> Asks;
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [](const GrantCandidate &A, const GrantCandidate &B) {
                     if (A.m_Distance != B.m_Distance)
                       return A.m_Distance < B.m_Distance;
                     return A.m_FreeSlots > B.m_FreeSlots;
                   });
  for (const GrantCandidate &Candidate : Candidates) {
    if (Wanted <= 0 || static_cast<int>(Asks.size()) >= MaxAsksPerPlan)
      break;
    Held *Row = find(Candidate.m_Peer, Pool);
    if (Row == nullptr) {
      m_Rows.push_back({Candidate.m_Peer, Pool, 0, 0, 0, Candidate.m_Distance,
                        Time{0}, Time{0}, false});
      Row = &m_Rows.back();
    } else if (Row->m_Asking || Now - Row->m_LastAsk < MinAskInterval) {
      continue;
    }
    bool Urgent = Value == Rank::Urgent;
    int Slots = Urgent ? Wanted : std::min(Wanted, Candidate.m_FreeSlots);
    if (Slots <= 0)
      continue;
    Row->m_Asking = true;
    Row->m_LastAsk = Now;
    Row->m_Distance = Candidate.m_Distance;
    Asks.push_back({Candidate.m_Peer, Pool, Value, Slots});
    Wanted -= std::min(Slots, std::max(Candidate.m_FreeSlots, 1));
  }
  return Asks;
}

void GrantWallet::answered(const std::string &Peer, int Pool,
                           const Grant &Given, Time AskedAt) {
  Held *Row = find(Peer, Pool);
  if (Row == nullptr)
    return;
  Row->m_Asking = false;
  Row->m_Id = Given.m_Id;
  Row->m_Slots = Given.m_Slots;
  Row->m_Until = AskedAt + Given.m_Term - SafetyMargin;
}

void GrantWallet::failed(const std::string &Peer, int Pool) {
  if (Held *Row = find(Peer, Pool))
    Row->m_Asking = false;
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
