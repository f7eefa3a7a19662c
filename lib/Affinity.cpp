#include "rhubarb/Affinity.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace rhubarb {
namespace {

// A place that goes on being used is told again after this part of the time for
// which it is remembered.
constexpr int TellAgainPart = 2;
// Unsent news beyond this is dropped: others learn by their own runs.
constexpr std::size_t MaxNews = 512;

} // namespace

WarmServer &AffinityTable::entryFor(std::uint64_t Object, ServerIndex Server,
                                    std::uint64_t Incarnation) {
  std::vector<WarmServer> &Known = m_ByObject[Object];
  auto Found =
      std::find_if(Known.begin(), Known.end(), [&](const WarmServer &Place) {
        return Place.m_Server == Server;
      });
  if (Found == Known.end())
    return Known.emplace_back(WarmServer{Server, Incarnation, {}, {}});
  if (Found->m_Incarnation != Incarnation)
    *Found = WarmServer{Server, Incarnation, {}, {}};
  return *Found;
}

void AffinityTable::recordRun(std::uint64_t Object, ServerIndex Server,
                              std::uint64_t Incarnation, Time Now) {
  WarmServer &Place = entryFor(Object, Server, Incarnation);
  Place.m_LastRunAt = Now;
  bool Tell = Place.m_AnnouncedAt.count() == 0 ||
              Now - Place.m_AnnouncedAt >= m_Ttl / TellAgainPart;
  if (!Tell || m_PendingUpdates.size() >= MaxNews)
    return;
  Place.m_AnnouncedAt = Now;
  m_PendingUpdates.push_back({Object, Server, Incarnation});
}

void AffinityTable::recordRemoteRun(std::uint64_t Object, ServerIndex Server,
                                    std::uint64_t Incarnation, Time Now) {
  WarmServer &Place = entryFor(Object, Server, Incarnation);
  Place.m_LastRunAt = Now;
  Place.m_AnnouncedAt = Now;
}

bool AffinityTable::isWarm(std::uint64_t Object, ServerIndex Server,
                           std::uint64_t Incarnation, Time Now) const {
  for (const WarmServer &Place : warmServers(Object))
    if (Place.m_Server == Server && Place.m_Incarnation == Incarnation)
      return isFresh(Place, Now);
  return false;
}

const std::vector<WarmServer> &
AffinityTable::warmServers(std::uint64_t Object) const {
  static const std::vector<WarmServer> None;
  auto Found = m_ByObject.find(Object);
  return Found == m_ByObject.end() ? None : Found->second;
}

std::vector<AffinityUpdate> AffinityTable::takeUpdates() {
  return std::exchange(m_PendingUpdates, {});
}

std::vector<SavedAffinity> AffinityTable::snapshot(std::size_t Most,
                                                   Time Now) const {
  std::vector<SavedAffinity> Kept;
  for (const auto &[Object, Places] : m_ByObject)
    for (const WarmServer &Place : Places)
      if (isFresh(Place, Now))
        Kept.push_back({Object, Place.m_Server, Place.m_Incarnation,
                        Now - Place.m_LastRunAt});
  auto End =
      Kept.begin() + static_cast<std::ptrdiff_t>(std::min(Most, Kept.size()));
  std::partial_sort(Kept.begin(), End, Kept.end(),
                    [](const SavedAffinity &A, const SavedAffinity &B) {
                      return A.m_Age < B.m_Age;
                    });
  Kept.erase(End, Kept.end());
  return Kept;
}

void AffinityTable::restore(const SavedAffinity &Kept, Time Now) {
  WarmServer &Place =
      entryFor(Kept.m_Object, Kept.m_Server, Kept.m_Incarnation);
  Time At = Now - Kept.m_Age; // Below zero: before the boot of this VM.
  bool Known = Place.m_LastRunAt.count() != 0;
  if (Known && At <= Place.m_LastRunAt)
    return;
  Place.m_LastRunAt = At;
  Place.m_AnnouncedAt = At;
}

void AffinityTable::prune(Time Now) {
  for (auto Entry = m_ByObject.begin(); Entry != m_ByObject.end();) {
    std::erase_if(Entry->second, [&](const WarmServer &Place) {
      return !isFresh(Place, Now);
    });
    Entry = Entry->second.empty() ? m_ByObject.erase(Entry) : std::next(Entry);
  }
}

} // namespace rhubarb
