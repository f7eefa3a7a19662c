#include "rhubarb/Affinity.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace rhubarb {
namespace {

// An entry that stays in use is sent again after this fraction of its lifetime.
constexpr int RefreshDivisor = 2;
// Further updates are dropped while this many are unsent; other processes learn
// these objects from their own runs.
constexpr std::size_t MaxPendingUpdates = 512;

} // namespace

WarmServer &AffinityTable::entryFor(std::uint64_t Object, ServerIndex Server,
                                    std::uint64_t Incarnation) {
  std::vector<WarmServer> &Servers = m_ByObject[Object];
  auto Position =
      std::find_if(Servers.begin(), Servers.end(), [&](const WarmServer &Warm) {
        return Warm.m_Server == Server;
      });
  if (Position == Servers.end())
    return Servers.emplace_back(WarmServer{Server, Incarnation, {}, {}});
  if (Position->m_Incarnation != Incarnation)
    *Position = WarmServer{Server, Incarnation, {}, {}};
  return *Position;
}

void AffinityTable::recordRun(std::uint64_t Object, ServerIndex Server,
                              std::uint64_t Incarnation, Time Now) {
  WarmServer &Warm = entryFor(Object, Server, Incarnation);
  Warm.m_LastRunAt = Now;
  bool Announce = Warm.m_AnnouncedAt.count() == 0 ||
                  Now - Warm.m_AnnouncedAt >= m_Ttl / RefreshDivisor;
  if (!Announce || m_PendingUpdates.size() >= MaxPendingUpdates)
    return;
  Warm.m_AnnouncedAt = Now;
  m_PendingUpdates.push_back({Object, Server, Incarnation});
}

void AffinityTable::recordRemoteRun(std::uint64_t Object, ServerIndex Server,
                                    std::uint64_t Incarnation, Time Now) {
  WarmServer &Warm = entryFor(Object, Server, Incarnation);
  Warm.m_LastRunAt = Now;
  Warm.m_AnnouncedAt = Now;
}

bool AffinityTable::isWarm(std::uint64_t Object, ServerIndex Server,
                           std::uint64_t Incarnation, Time Now) const {
  for (const WarmServer &Warm : warmServers(Object))
    if (Warm.m_Server == Server && Warm.m_Incarnation == Incarnation)
      return isFresh(Warm, Now);
  return false;
}

const std::vector<WarmServer> &
AffinityTable::warmServers(std::uint64_t Object) const {
  static const std::vector<WarmServer> None;
  auto Servers = m_ByObject.find(Object);
  return Servers == m_ByObject.end() ? None : Servers->second;
}

std::vector<AffinityUpdate> AffinityTable::takeUpdates() {
  return std::exchange(m_PendingUpdates, {});
}

std::vector<SavedAffinity> AffinityTable::snapshot(std::size_t MaxCount,
                                                   Time Now) const {
  std::vector<SavedAffinity> Saved;
  for (const auto &[Object, Servers] : m_ByObject)
    for (const WarmServer &Warm : Servers)
      if (isFresh(Warm, Now))
        Saved.push_back({Object, Warm.m_Server, Warm.m_Incarnation,
                         Now - Warm.m_LastRunAt});
  auto End = Saved.begin() +
             static_cast<std::ptrdiff_t>(std::min(MaxCount, Saved.size()));
  std::partial_sort(Saved.begin(), End, Saved.end(),
                    [](const SavedAffinity &A, const SavedAffinity &B) {
                      return A.m_Age < B.m_Age;
                    });
  Saved.erase(End, Saved.end());
  return Saved;
}

void AffinityTable::restore(const SavedAffinity &Saved, Time Now) {
  WarmServer &Warm =
      entryFor(Saved.m_Object, Saved.m_Server, Saved.m_Incarnation);
  // The time is negative if the run was before this VM's boot.
  Time RanAt = Now - Saved.m_Age;
  bool HasRun = Warm.m_LastRunAt.count() != 0;
  if (HasRun && RanAt <= Warm.m_LastRunAt)
    return;
  Warm.m_LastRunAt = RanAt;
  Warm.m_AnnouncedAt = RanAt;
}

std::set<ServerIndex> AffinityTable::allWarmServers(Time Now) const {
  std::set<ServerIndex> Servers;
  for (const auto &[Object, Rows] : m_ByObject)
    for (const WarmServer &Warm : Rows)
      if (isFresh(Warm, Now))
        Servers.insert(Warm.m_Server);
  return Servers;
}

void AffinityTable::prune(Time Now) {
  for (auto Object = m_ByObject.begin(); Object != m_ByObject.end();) {
    std::erase_if(Object->second,
                  [&](const WarmServer &Warm) { return !isFresh(Warm, Now); });
    Object =
        Object->second.empty() ? m_ByObject.erase(Object) : std::next(Object);
  }
}

} // namespace rhubarb
