#include "rhubarb/Servers.h"

#include <algorithm>

namespace rhubarb {

std::vector<int> assignOwners(std::span<const std::string> Servers,
                              std::span<const std::string> Members) {
  std::vector<int> Owners(Servers.size(), -1);
  if (Members.empty())
    return Owners;
  // Assigns in the order of the hashes, so that the result does not depend on
  // the order of Servers.
  std::vector<std::size_t> Order(Servers.size());
  for (std::size_t I = 0; I < Order.size(); ++I)
    Order[I] = I;
  std::sort(Order.begin(), Order.end(), [&](std::size_t A, std::size_t B) {
    return std::pair(stableHash(Servers[A]), Servers[A]) <
           std::pair(stableHash(Servers[B]), Servers[B]);
  });
  std::size_t MaxPerMember =
      (Servers.size() + Members.size() - 1) / Members.size();
  std::vector<std::size_t> Owned(Members.size(), 0);
  for (std::size_t Server : Order) {
    std::uint64_t Seed = stableHash(Servers[Server]);
    std::size_t Best = Members.size();
    std::uint64_t BestScore = 0;
    for (std::size_t M = 0; M < Members.size(); ++M) {
      std::uint64_t Score = stableHash(Members[M], Seed);
      if (Owned[M] < MaxPerMember &&
          (Best == Members.size() || Score > BestScore)) {
        Best = M;
        BestScore = Score;
      }
    }
    ++Owned[Best];
    Owners[Server] = static_cast<int>(Best);
  }
  return Owners;
}

BackendServerTable::BackendServerTable(ServerLimits Limits, std::uint64_t Seed)
    : m_Limits(Limits), m_Random(Seed) {}

BackendServerTable::PoolCounters &BackendServerTable::poolCounters(int Pool) {
  auto Index = static_cast<std::size_t>(Pool);
  if (Index >= m_Pools.size())
    m_Pools.resize(Index + 1);
  return m_Pools[Index];
}

bool BackendServerTable::usable(const BackendServer &Row) const {
  return Row.m_Owned && !Row.m_Listing.m_Leaving && !Row.m_Unreachable &&
         Row.m_EjectedUntil == Time{0};
}

// Updates PoolCounters::m_FreeServers after a change to a server.
void BackendServerTable::updateFreeList(ServerIndex Index) {
  BackendServer &Row = m_Rows[static_cast<std::size_t>(Index)];
  PoolCounters &Pool = poolCounters(Row.m_Listing.m_Pool);
  int Free = usable(Row) ? std::max(Row.m_OpenSlots - Row.m_BusySlots, 0) : 0;
  Pool.m_FreeSlots += Free - Row.m_CountedFreeSlots;
  Row.m_CountedFreeSlots = Free;
  bool HasFree = Free > 0;
  if (HasFree && Row.m_FreeListIndex < 0) {
    Row.m_FreeListIndex = static_cast<int>(Pool.m_FreeServers.size());
    Pool.m_FreeServers.push_back(Index);
  } else if (!HasFree && Row.m_FreeListIndex >= 0) {
    ServerIndex Last = Pool.m_FreeServers.back();
    Pool.m_FreeServers[static_cast<std::size_t>(Row.m_FreeListIndex)] = Last;
    m_Rows[static_cast<std::size_t>(Last)].m_FreeListIndex =
        Row.m_FreeListIndex;
    Pool.m_FreeServers.pop_back();
    Row.m_FreeListIndex = -1;
  }
}

void BackendServerTable::recountPool(int Pool) {
  PoolCounters &Counters = poolCounters(Pool);
  Counters.m_OpenSlots = Counters.m_BusySlots = Counters.m_Servers =
      Counters.m_Ejected = 0;
  for (const BackendServer &Row : m_Rows) {
    if (Row.m_Listing.m_Pool != Pool)
      continue;
    Counters.m_BusySlots += Row.m_BusySlots;
    if (!Row.m_Owned || Row.m_Listing.m_Leaving)
      continue;
    ++Counters.m_Servers;
    if (usable(Row))
      Counters.m_OpenSlots += Row.m_OpenSlots;
    else
      ++Counters.m_Ejected;
  }
}

// Returns the row of a server. Reuses the rows of removed servers, so that
// replacing servers does not grow the table.
ServerIndex BackendServerTable::findOrAdd(const std::string &Address) {
  auto Found = m_ByAddress.find(Address);
  if (Found != m_ByAddress.end())
    return Found->second;
  auto Unused =
      std::find_if(m_Rows.begin(), m_Rows.end(), [](const BackendServer &R) {
        return !R.m_Owned && R.m_BusySlots == 0;
      });
  if (Unused == m_Rows.end()) {
    m_Rows.emplace_back();
    Unused = m_Rows.end() - 1;
  } else {
    m_ByAddress.erase(Unused->m_Listing.m_Address);
    *Unused = BackendServer();
  }
  auto Index = static_cast<ServerIndex>(Unused - m_Rows.begin());
  m_ByAddress[Address] = Index;
  return Index;
}

void BackendServerTable::update(std::span<const ServerListing> Owned,
                                Time Now) {
  std::vector<bool> IsListed(m_Rows.size(), false);
  for (const ServerListing &Listing : Owned) {
    ServerIndex Index = findOrAdd(Listing.m_Address);
    IsListed.resize(m_Rows.size(), false);
    auto Position = static_cast<std::size_t>(Index);
    BackendServer &Row = m_Rows[Position];
    if (!Row.m_Owned) {
      Row.m_OpenSlots = 1;
      Row.m_OwnedSince = Now;
      Row.m_LastSlowStartStep = Now;
    }
    Row.m_Owned = true;
    Row.m_Listing = Listing;
    Row.m_OpenSlots = std::min(Row.m_OpenSlots, Listing.m_Slots);
    IsListed[Position] = true;
  }
  for (std::size_t I = 0; I < m_Rows.size(); ++I)
    if (!IsListed[I])
      m_Rows[I].m_Owned = false;
  for (std::size_t I = 0; I < m_Rows.size(); ++I)
    updateFreeList(static_cast<ServerIndex>(I));
  for (std::size_t I = 0; I < m_Pools.size(); ++I)
    recountPool(static_cast<int>(I));
}

void BackendServerTable::tick(Time Now) {
  for (std::size_t I = 0; I < m_Rows.size(); ++I) {
    BackendServer &Row = m_Rows[I];
    if (!Row.m_Owned)
      continue;
    bool Changed = false;
    if (Row.m_EjectedUntil != Time{0} && Now >= Row.m_EjectedUntil) {
      Row.m_EjectedUntil = Time{0};
      Row.m_OpenSlots = 1;
      Row.m_LastSlowStartStep = Now;
      Changed = true;
    }
    if (Row.m_OpenSlots < Row.m_Listing.m_Slots &&
        Row.m_ConsecutiveFailures == 0 &&
        Now - Row.m_OwnedSince >= m_Limits.m_OwnershipDelay &&
        Now - Row.m_LastSlowStartStep >= m_Limits.m_SlowStartInterval) {
      Row.m_OpenSlots = std::min(Row.m_OpenSlots * 2, Row.m_Listing.m_Slots);
      Row.m_LastSlowStartStep = Now;
      Changed = true;
    }
    if (Changed) {
      updateFreeList(static_cast<ServerIndex>(I));
      recountPool(Row.m_Listing.m_Pool);
    }
  }
}

ServerIndex BackendServerTable::acquire(int Pool) {
  PoolCounters &Counters = poolCounters(Pool);
  if (Counters.m_FreeServers.empty())
    return NoServer;
  auto Load = [&](ServerIndex Index) {
    const BackendServer &Row = m_Rows[static_cast<std::size_t>(Index)];
    return static_cast<double>(Row.m_BusySlots) / Row.m_OpenSlots;
  };
  ServerIndex First =
      Counters.m_FreeServers[m_Random.below(Counters.m_FreeServers.size())];
  ServerIndex Second =
      Counters.m_FreeServers[m_Random.below(Counters.m_FreeServers.size())];
  ServerIndex Chosen = Load(Second) < Load(First) ? Second : First;
  ++m_Rows[static_cast<std::size_t>(Chosen)].m_BusySlots;
  ++Counters.m_BusySlots;
  updateFreeList(Chosen);
  return Chosen;
}

void BackendServerTable::release(ServerIndex Index, AttemptStatus Status,
                                 Time Now) {
  BackendServer &Row = m_Rows[static_cast<std::size_t>(Index)];
  int Pool = Row.m_Listing.m_Pool;
  --Row.m_BusySlots;
  if (Status == AttemptStatus::Answered) {
    Row.m_ConsecutiveFailures = 0;
    Row.m_Ejection = Duration{0};
  } else {
    ++Row.m_ConsecutiveFailures;
    if (Status == AttemptStatus::Shed)
      Row.m_OpenSlots = std::max(1, Row.m_BusySlots);
    if (Status == AttemptStatus::Unreachable)
      Row.m_Unreachable = true;
    PoolCounters &Counters = poolCounters(Pool);
    // One server may be ejected even from a small pool, but never the only one.
    int MaxEjected = std::max(
        1, static_cast<int>(Counters.m_Servers * m_Limits.m_MaxEjectedShare));
    bool MayEject =
        Counters.m_Ejected + 1 <= std::min(MaxEjected, Counters.m_Servers - 1);
    if (Row.m_ConsecutiveFailures >= m_Limits.m_EjectAfterFailures &&
        MayEject && Row.m_EjectedUntil == Time{0}) {
      Row.m_Ejection = std::clamp(Row.m_Ejection * 2, m_Limits.m_MinEjection,
                                  m_Limits.m_MaxEjection);
      Row.m_EjectedUntil = Now + Row.m_Ejection;
    }
    Row.m_LastSlowStartStep = Now;
  }
  updateFreeList(Index);
  if (Status == AttemptStatus::Answered)
    --poolCounters(Pool).m_BusySlots;
  else
    recountPool(Pool);
}

void BackendServerTable::setReachable(const std::string &Address,
                                      bool Reachable, Time Now) {
  auto Found = m_ByAddress.find(Address);
  if (Found == m_ByAddress.end())
    return;
  BackendServer &Row = m_Rows[static_cast<std::size_t>(Found->second)];
  if (Row.m_Unreachable != Reachable)
    return;
  Row.m_Unreachable = !Reachable;
  Row.m_ConsecutiveFailures = 0;
  Row.m_OpenSlots = 1;
  Row.m_LastSlowStartStep = Now;
  updateFreeList(Found->second);
  recountPool(Row.m_Listing.m_Pool);
}

void BackendServerTable::restartSlowStart(Time Now) {
  for (std::size_t I = 0; I < m_Rows.size(); ++I) {
    m_Rows[I].m_OpenSlots = 1;
    m_Rows[I].m_OwnedSince = Now;
    m_Rows[I].m_LastSlowStartStep = Now;
    updateFreeList(static_cast<ServerIndex>(I));
  }
  for (std::size_t I = 0; I < m_Pools.size(); ++I)
    recountPool(static_cast<int>(I));
}

int BackendServerTable::openSlots(int Pool) const {
  auto Index = static_cast<std::size_t>(Pool);
  return Index < m_Pools.size() ? m_Pools[Index].m_OpenSlots : 0;
}

int BackendServerTable::busySlots(int Pool) const {
  auto Index = static_cast<std::size_t>(Pool);
  return Index < m_Pools.size() ? m_Pools[Index].m_BusySlots : 0;
}

int BackendServerTable::freeSlots(int Pool) const {
  auto Index = static_cast<std::size_t>(Pool);
  return Index < m_Pools.size() ? m_Pools[Index].m_FreeSlots : 0;
}

} // namespace rhubarb
