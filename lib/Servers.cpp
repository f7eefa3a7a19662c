#include "rhubarb/Servers.h"

#include <algorithm>

namespace rhubarb {

std::vector<int> assignOwners(std::span<const std::string> Servers,
                              std::span<const std::string> Members) {
  std::vector<int> Owners(Servers.size(), -1);
  if (Members.empty())
    return Owners;
  // In order of hashes, so that the order of the lists does not matter.
  std::vector<std::size_t> Order(Servers.size());
  for (std::size_t I = 0; I < Order.size(); ++I)
    Order[I] = I;
  std::sort(Order.begin(), Order.end(), [&](std::size_t A, std::size_t B) {
    return std::pair(stableHash(Servers[A]), Servers[A]) <
           std::pair(stableHash(Servers[B]), Servers[B]);
  });
  std::size_t Most = (Servers.size() + Members.size() - 1) / Members.size();
  std::vector<std::size_t> Owned(Members.size(), 0);
  for (std::size_t Server : Order) {
    std::uint64_t Seed = stableHash(Servers[Server]);
    std::size_t Best = Members.size();
    std::uint64_t BestScore = 0;
    for (std::size_t M = 0; M < Members.size(); ++M) {
      std::uint64_t Score = stableHash(Members[M], Seed);
      if (Owned[M] < Most && (Best == Members.size() || Score > BestScore)) {
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

BackendServerTable::PoolRow &BackendServerTable::poolOf(int Pool) {
  auto Index = static_cast<std::size_t>(Pool);
  if (Index >= m_Pools.size())
    m_Pools.resize(Index + 1);
  return m_Pools[Index];
}

bool BackendServerTable::usable(const ServerRow &Row) const {
  return Row.m_Present && !Row.m_Listing.m_Leaving && !Row.m_Unreachable &&
         Row.m_EjectedUntil == Time{0};
}

// Keeps the list of servers with a free slot in step with one row.
void BackendServerTable::refresh(ServerIndex Index) {
  ServerRow &Row = m_Rows[static_cast<std::size_t>(Index)];
  PoolRow &Pool = poolOf(Row.m_Listing.m_Pool);
  int Free = usable(Row) ? std::max(Row.m_Open - Row.m_Busy, 0) : 0;
  Pool.m_FreeSlots += Free - Row.m_FreeCounted;
  Row.m_FreeCounted = Free;
  bool HasFree = Free > 0;
  if (HasFree && Row.m_FreePosition < 0) {
    Row.m_FreePosition = static_cast<int>(Pool.m_Free.size());
    Pool.m_Free.push_back(Index);
  } else if (!HasFree && Row.m_FreePosition >= 0) {
    ServerIndex Last = Pool.m_Free.back();
    Pool.m_Free[static_cast<std::size_t>(Row.m_FreePosition)] = Last;
    m_Rows[static_cast<std::size_t>(Last)].m_FreePosition = Row.m_FreePosition;
    Pool.m_Free.pop_back();
    Row.m_FreePosition = -1;
  }
}

void BackendServerTable::recount(int Pool) {
  PoolRow &Sums = poolOf(Pool);
  Sums.m_Open = Sums.m_Busy = Sums.m_Servers = Sums.m_Ejected = 0;
  for (const ServerRow &Row : m_Rows) {
    if (Row.m_Listing.m_Pool != Pool)
      continue;
    Sums.m_Busy += Row.m_Busy;
    if (!Row.m_Present || Row.m_Listing.m_Leaving)
      continue;
    ++Sums.m_Servers;
    if (usable(Row))
      Sums.m_Open += Row.m_Open;
    else
      ++Sums.m_Ejected;
  }
}

// Rows of servers that have gone are used again, so that replaced servers do
// not make the table grow.
ServerIndex BackendServerTable::findOrAdd(const std::string &Address) {
  auto Found = m_ByAddress.find(Address);
  if (Found != m_ByAddress.end())
    return Found->second;
  auto Unused =
      std::find_if(m_Rows.begin(), m_Rows.end(), [](const ServerRow &R) {
        return !R.m_Present && R.m_Busy == 0;
      });
  if (Unused == m_Rows.end()) {
    m_Rows.emplace_back();
    Unused = m_Rows.end() - 1;
  } else {
    m_ByAddress.erase(Unused->m_Listing.m_Address);
    *Unused = ServerRow();
  }
  auto Index = static_cast<ServerIndex>(Unused - m_Rows.begin());
  m_ByAddress[Address] = Index;
  return Index;
}

void BackendServerTable::update(std::span<const ServerListing> Owned,
                                Time Now) {
  std::vector<bool> Kept(m_Rows.size(), false);
  for (const ServerListing &Listing : Owned) {
    ServerIndex Index = findOrAdd(Listing.m_Address);
    Kept.resize(m_Rows.size(), false);
    auto Position = static_cast<std::size_t>(Index);
    ServerRow &Row = m_Rows[Position];
    if (!Row.m_Present) {
      Row.m_Open = 1;
      Row.m_OwnedSince = Now;
      Row.m_LastStep = Now;
    }
    Row.m_Present = true;
    Row.m_Listing = Listing;
    Row.m_Open = std::min(Row.m_Open, Listing.m_Slots);
    Kept[Position] = true;
  }
  for (std::size_t I = 0; I < m_Rows.size(); ++I)
    if (!Kept[I])
      m_Rows[I].m_Present = false;
  for (std::size_t I = 0; I < m_Rows.size(); ++I)
    refresh(static_cast<ServerIndex>(I));
  for (std::size_t I = 0; I < m_Pools.size(); ++I)
    recount(static_cast<int>(I));
}

void BackendServerTable::tick(Time Now) {
  for (std::size_t I = 0; I < m_Rows.size(); ++I) {
    ServerRow &Row = m_Rows[I];
    if (!Row.m_Present)
      continue;
    bool Changed = false;
    if (Row.m_EjectedUntil != Time{0} && Now >= Row.m_EjectedUntil) {
      Row.m_EjectedUntil = Time{0};
      Row.m_Open = 1;
      Row.m_LastStep = Now;
      Changed = true;
    }
    if (Row.m_Open < Row.m_Listing.m_Slots && Row.m_Failures == 0 &&
        Now - Row.m_OwnedSince >= m_Limits.m_OwnerTerm &&
        Now - Row.m_LastStep >= m_Limits.m_OpenStep) {
      Row.m_Open = std::min(Row.m_Open * 2, Row.m_Listing.m_Slots);
      Row.m_LastStep = Now;
      Changed = true;
    }
    if (Changed) {
      refresh(static_cast<ServerIndex>(I));
      recount(Row.m_Listing.m_Pool);
    }
  }
}

ServerIndex BackendServerTable::acquire(int Pool) {
  PoolRow &Sums = poolOf(Pool);
  if (Sums.m_Free.empty())
    return NoServer;
  auto Load = [&](ServerIndex Index) {
    const ServerRow &Row = m_Rows[static_cast<std::size_t>(Index)];
    return static_cast<double>(Row.m_Busy) / Row.m_Open;
  };
  ServerIndex First = Sums.m_Free[m_Random.below(Sums.m_Free.size())];
  ServerIndex Second = Sums.m_Free[m_Random.below(Sums.m_Free.size())];
  ServerIndex Chosen = Load(Second) < Load(First) ? Second : First;
  ++m_Rows[static_cast<std::size_t>(Chosen)].m_Busy;
  ++Sums.m_Busy;
  refresh(Chosen);
  return Chosen;
}

void BackendServerTable::release(ServerIndex Index, AttemptEnd End, Time Now) {
  ServerRow &Row = m_Rows[static_cast<std::size_t>(Index)];
  int Pool = Row.m_Listing.m_Pool;
  --Row.m_Busy;
  if (End == AttemptEnd::Answered) {
    Row.m_Failures = 0;
    Row.m_Ejection = Duration{0};
  } else {
    ++Row.m_Failures;
    if (End == AttemptEnd::Shed)
      Row.m_Open = std::max(1, Row.m_Busy);
    if (End == AttemptEnd::Unreachable)
      Row.m_Unreachable = true;
    PoolRow &Sums = poolOf(Pool);
    // Of two servers one may be ejected; the last one never.
    int MostEjected = std::max(
        1, static_cast<int>(Sums.m_Servers * m_Limits.m_MaxEjectedShare));
    bool MayEject =
        Sums.m_Ejected + 1 <= std::min(MostEjected, Sums.m_Servers - 1);
    if (Row.m_Failures >= m_Limits.m_EjectAfterFailures && MayEject &&
        Row.m_EjectedUntil == Time{0}) {
      Row.m_Ejection = std::clamp(Row.m_Ejection * 2, m_Limits.m_EjectFirst,
                                  m_Limits.m_EjectMax);
      Row.m_EjectedUntil = Now + Row.m_Ejection;
    }
    Row.m_LastStep = Now;
  }
  refresh(Index);
  if (End == AttemptEnd::Answered)
    --poolOf(Pool).m_Busy;
  else
    recount(Pool);
}

void BackendServerTable::setReachable(const std::string &Address,
                                      bool Reachable, Time Now) {
  auto Found = m_ByAddress.find(Address);
  if (Found == m_ByAddress.end())
    return;
  ServerRow &Row = m_Rows[static_cast<std::size_t>(Found->second)];
  if (Row.m_Unreachable != Reachable)
    return;
  Row.m_Unreachable = !Reachable;
  Row.m_Failures = 0;
  Row.m_Open = 1;
  Row.m_LastStep = Now;
  refresh(Found->second);
  recount(Row.m_Listing.m_Pool);
}

void BackendServerTable::reopenSlowly(Time Now) {
  for (std::size_t I = 0; I < m_Rows.size(); ++I) {
    m_Rows[I].m_Open = 1;
    m_Rows[I].m_OwnedSince = Now;
    m_Rows[I].m_LastStep = Now;
    refresh(static_cast<ServerIndex>(I));
  }
  for (std::size_t I = 0; I < m_Pools.size(); ++I)
    recount(static_cast<int>(I));
}

int BackendServerTable::openSlots(int Pool) const {
  auto Index = static_cast<std::size_t>(Pool);
  return Index < m_Pools.size() ? m_Pools[Index].m_Open : 0;
}

int BackendServerTable::busySlots(int Pool) const {
  auto Index = static_cast<std::size_t>(Pool);
  return Index < m_Pools.size() ? m_Pools[Index].m_Busy : 0;
}

int BackendServerTable::freeSlots(int Pool) const {
  auto Index = static_cast<std::size_t>(Pool);
  return Index < m_Pools.size() ? m_Pools[Index].m_FreeSlots : 0;
}

} // namespace rhubarb
