// What the region has learnt, kept where it outlives all its processes: places
// of objects, round trips, and the shares of work that run away from home.
#include "Node.h"

#include "net/Clock.h"

namespace rhubarb::node {
namespace {

// In one value of the control plane: some 100 KB.
constexpr std::size_t MaxKeptPlaces = 4000;
// Of an older memory the shares say nothing of the load any more; places that
// are too old are left out by themselves.
constexpr Duration SharesHoldFor = 60s;

} // namespace

bool Node::keepsMemory() const { return !m_Leaving && ownReaderRank() == 0; }

LearnedState Node::ownMemory() const {
  LearnedState Memory;
  Memory.m_WrittenAt = unixMillis();
  const auto &Pools = m_Routes.config().m_Pools;
  for (std::size_t I = 0; I < Pools.size(); ++I)
    Memory.m_SpillPermille[Pools[I].m_Name] = awayPermille(static_cast<int>(I));
  const Fleet &Servers = m_Dispatcher.fleet();
  Memory.m_MinRoundTrips = Servers.roundTrips();
  for (const SavedAffinity &Place :
       m_Dispatcher.affinitySnapshot(MaxKeptPlaces, now())) {
    const BackendState &Row = Servers.row(Place.m_Server);
    if (!Row.m_Listed || Row.m_Incarnation != Place.m_Incarnation)
      continue;
    ServerObjects &Server = Memory.m_Servers[Row.m_Info.m_Id];
    Server.m_Incarnation = Place.m_Incarnation;
    Server.m_Objects.push_back({Place.m_Object, Place.m_Age});
  }
  return Memory;
}

void Node::recall(LearnedState Memory) {
  for (const auto &[Region, Least] : Memory.m_MinRoundTrips)
    m_Dispatcher.fleet().restoreRoundTrip(Region, Least);
  m_Recalled = std::move(Memory);
  applyRecalled();
}

void Node::applyRecalled() {
  // By clocks of two VMs, which may differ.
  Duration Age =
      std::max(Duration{0}, Duration(std::chrono::milliseconds(
                                unixMillis() - m_Recalled.m_WrittenAt)));
  if (Age > SharesHoldFor)
    m_Recalled.m_SpillPermille.clear();
  for (auto Entry = m_Recalled.m_SpillPermille.begin();
       Entry != m_Recalled.m_SpillPermille.end();) {
    int Pool = m_Routes.config().findPool(Entry->first);
    if (Pool < 0) {
      ++Entry;
      continue;
    }
    m_Dispatcher.spill().restore(Pool, Entry->second / 1000.0, now());
    Entry = m_Recalled.m_SpillPermille.erase(Entry);
  }
  for (auto Entry = m_Recalled.m_Servers.begin();
       Entry != m_Recalled.m_Servers.end();) {
    ServerIndex Index = m_Dispatcher.fleet().find(Entry->first);
    if (Index == NoServer) {
      ++Entry;
      continue;
    }
    const ServerObjects &Server = Entry->second;
    if (m_Dispatcher.fleet().row(Index).m_Incarnation == Server.m_Incarnation)
      for (const RecentObject &Known : Server.m_Objects)
        m_Dispatcher.restoreAffinity(
            {Known.m_Hash, Index, Server.m_Incarnation, Known.m_Age + Age},
            now());
    Entry = m_Recalled.m_Servers.erase(Entry);
  }
}

} // namespace rhubarb::node
