// Learned state of the region, saved in the control plane's store so that it
// outlives the processes: affinity of objects, round trip times, and the shares
// of requests that run in a remote region.
#include "Node.h"

#include "net/Clock.h"

namespace rhubarb::node {
namespace {

// Limits the saved value in the control plane's store to about 100 KB.
constexpr std::size_t MaxSavedAffinities = 4000;
// Older spill shares no longer match the load. Affinity entries that are too
// old are dropped when they are restored.
constexpr Duration SpillSharesValidFor = 60s;

} // namespace

bool Node::savesLearnedState() const {
  return !m_Leaving && ownReaderRank() == 0;
}

LearnedState Node::learnedState() const {
  LearnedState State;
  State.m_WrittenAt = unixMillis();
  const auto &Pools = m_Routes.config().m_Pools;
  for (std::size_t I = 0; I < Pools.size(); ++I)
    State.m_SpillPermille[Pools[I].m_Name] = spillPermille(static_cast<int>(I));
  const Fleet &Servers = m_Dispatcher.fleet();
  State.m_MinRoundTrips = Servers.roundTrips();
  for (const SavedAffinity &Saved :
       m_Dispatcher.affinitySnapshot(MaxSavedAffinities, now())) {
    const BackendState &Row = Servers.row(Saved.m_Server);
    if (!Row.m_Listed || Row.m_Incarnation != Saved.m_Incarnation)
      continue;
    ServerObjects &Server = State.m_Servers[Row.m_Info.m_Id];
    Server.m_Incarnation = Saved.m_Incarnation;
    Server.m_Objects.push_back({Saved.m_Object, Saved.m_Age});
  }
  return State;
}

void Node::restoreLearnedState(LearnedState State) {
  for (const auto &[Region, RoundTrip] : State.m_MinRoundTrips)
    m_Dispatcher.fleet().restoreRoundTrip(Region, RoundTrip);
  m_PendingRestore = std::move(State);
  applyPendingRestore();
}

void Node::applyPendingRestore() {
  // The age is computed from the clocks of two VMs, which may differ.
  Duration Age =
      std::max(Duration{0}, Duration(std::chrono::milliseconds(
                                unixMillis() - m_PendingRestore.m_WrittenAt)));
  if (Age > SpillSharesValidFor)
    m_PendingRestore.m_SpillPermille.clear();
  for (auto Share = m_PendingRestore.m_SpillPermille.begin();
       Share != m_PendingRestore.m_SpillPermille.end();) {
    int Pool = m_Routes.config().findPool(Share->first);
    if (Pool < 0) {
      ++Share;
      continue;
    }
    m_Dispatcher.spill().restore(Pool, Share->second / 1000.0, now());
    Share = m_PendingRestore.m_SpillPermille.erase(Share);
  }
  for (auto Saved = m_PendingRestore.m_Servers.begin();
       Saved != m_PendingRestore.m_Servers.end();) {
    ServerIndex Index = m_Dispatcher.fleet().find(Saved->first);
    if (Index == NoServer) {
      ++Saved;
      continue;
    }
    const ServerObjects &Server = Saved->second;
    if (m_Dispatcher.fleet().row(Index).m_Incarnation == Server.m_Incarnation)
      for (const RecentObject &Object : Server.m_Objects)
        m_Dispatcher.restoreAffinity(
            {Object.m_Hash, Index, Server.m_Incarnation, Object.m_Age + Age},
            now());
    Saved = m_PendingRestore.m_Servers.erase(Saved);
  }
}

} // namespace rhubarb::node
