#include "soak/Faults.h"

#include "net/Clock.h"
#include "net/Daemon.h"
#include "net/Text.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace rhubarb::soak {

using namespace net;

namespace {

// Link: between nodes and servers. Processor: processor time of a node, whose
// faults are too short to be excused.
enum class FaultTarget : std::uint8_t {
  Node,
  Processor,
  Link,
  Store,
  Server,
  Operator
};

struct FaultSpec {
  const char *m_Name;
  FaultTarget m_Target;
};

constexpr FaultSpec FaultTable[] = {
    {"node_kill", FaultTarget::Node},
    {"node_term", FaultTarget::Node},
    {"node_term_together", FaultTarget::Node},
    {"node_stutter", FaultTarget::Processor},
    {"node_freeze", FaultTarget::Node},
    {"node_hup", FaultTarget::Node},
    {"herd_kill", FaultTarget::Node},
    {"cut_silent", FaultTarget::Link},
    {"cut_reset", FaultTarget::Link},
    {"cut_refusing", FaultTarget::Link},
    {"cut_service", FaultTarget::Link},
    {"store_silent", FaultTarget::Store},
    {"store_busy", FaultTarget::Store},
    {"store_reset", FaultTarget::Store},
    {"store_slow", FaultTarget::Store},
    {"store_lost", FaultTarget::Store},
    {"store_refuses_one", FaultTarget::Store},
    {"store_forgets", FaultTarget::Store},
    {"store_silent_links", FaultTarget::Store},
    {"store_one_way", FaultTarget::Store},
    {"store_restored", FaultTarget::Store},
    {"store_restored_past", FaultTarget::Store},
    {"store_restored_older", FaultTarget::Store},
    {"server_crash", FaultTarget::Server},
    {"server_drain", FaultTarget::Server},
    {"server_silent", FaultTarget::Server},
    {"server_slow", FaultTarget::Server},
    {"server_fails", FaultTarget::Server},
    {"server_sheds", FaultTarget::Server},
    {"server_pauses", FaultTarget::Server},
    {"server_loses", FaultTarget::Server},
    {"server_cuts", FaultTarget::Server},
    {"server_extra", FaultTarget::Server},
    {"server_resets", FaultTarget::Server},
    {"server_links_silent", FaultTarget::Server},
    {"server_delay", FaultTarget::Server},
    {"server_held_answers", FaultTarget::Server},
    {"server_deadly_call", FaultTarget::Server},
    {"server_limits", FaultTarget::Server},
    {"server_limits_all", FaultTarget::Server},
    {"config", FaultTarget::Operator},
    {"config_storm", FaultTarget::Operator},
    {"evacuate", FaultTarget::Operator},
    {"keys", FaultTarget::Operator},
    {"regions", FaultTarget::Operator},
};

// Mean time between the starts of two faults.
constexpr Duration MeanFaultInterval = 700ms;
// Time from SIGTERM until a node is killed.
constexpr Duration GracePeriod = 6s;
// Longest time from a node's end until its next process serves requests.
constexpr Duration RestartTime = 1s;
// Longest time of a fault of nodes or the store.
constexpr Duration MaxFaultTime = 5s;
constexpr Duration DeadlyCallsTime = 9s;
// Time for which nodes are cut off from the servers.
constexpr Duration MinCutTime = 7s;
constexpr Duration MaxCutTime = 10s;
// Age of the copy from which a store is restored.
constexpr Duration MinCopyAge = 2s;
constexpr Duration MaxCopyAge = 9s;
// Shortest time between two restores; the time bounds of the system apply
// again long before it ends.
constexpr Duration RestoreInterval = 20s;
// Requests per second that a limited server takes.
constexpr double MinRateLimit = 1;
constexpr double MaxRateLimit = 6;
// Time for which a node gets no processor time.
constexpr Duration MinStutter = 30ms;
constexpr Duration MaxStutter = 60ms;

} // namespace

std::vector<std::string> faultNames() {
  std::vector<std::string> Names;
  for (const FaultSpec &Spec : FaultTable)
    Names.emplace_back(Spec.m_Name);
  return Names;
}

std::vector<std::string> chooseFaults(const std::string &List,
                                      bool HasOrganisations) {
  std::vector<std::string> All = faultNames();
  if (!HasOrganisations)
    std::erase_if(All, [](const std::string &Name) {
      return Name == "keys" || Name == "regions";
    });
  if (List == "all")
    return All;
  if (List == "none")
    return {};
  std::vector<std::string> Chosen = splitCommas(List);
  for (const std::string &Name : Chosen) {
    if (std::find(All.begin(), All.end(), Name) != All.end())
      continue;
    std::cerr << "fault \"" << Name << "\" is unknown; see --list\n";
    std::exit(ExitUsage);
  }
  return Chosen;
}

FaultInjector::FaultInjector(asio::io_context &Io, site::Site &Deployment,
                             Nodes &Processes, std::uint64_t Seed)
    : m_Io(Io), m_Site(Deployment), m_Nodes(Processes), m_Random(Seed) {}

Duration FaultInjector::randomDuration(Duration Min, Duration Max) {
  return Min +
         Duration(static_cast<std::int64_t>(
             m_Random.uniform() * static_cast<double>((Max - Min).count())));
}

std::size_t FaultInjector::randomServer() {
  return m_Random.below(m_Site.servers().size());
}

asio::awaitable<void> FaultInjector::run(std::vector<std::string> Names,
                                         Duration Length) {
  Time End = now() + Length;
  while (now() < End) {
    co_await sleepFor(
        randomDuration(MeanFaultInterval / 2, MeanFaultInterval * 3 / 2));
    if (!Names.empty())
      spawn(m_Io, inject(Names[m_Random.below(Names.size())]));
  }
  while (m_Active > 0)
    co_await sleepFor(MeanFaultInterval / 10);
}

asio::awaitable<void> FaultInjector::inject(std::string Name) {
  if (Name.starts_with("store_restored")) {
    if (m_RestoredAt.count() > 0 && now() - m_RestoredAt < RestoreInterval)
      co_return;
    m_RestoredAt = now();
  }
  ++m_Active;
  std::cout << now() / 1ms % 1000000 << " " << Name << "\n";
  for (const FaultSpec &Spec : FaultTable) {
    if (Name != Spec.m_Name)
      continue;
    switch (Spec.m_Target) {
    case FaultTarget::Node:
    case FaultTarget::Store: {
      Time StartedAt = now();
      // Beside these faults every VM hears of new keys.
      if (Name != "node_kill" && !Name.starts_with("node_term") &&
          Name != "node_hup" && Name != "store_refuses_one")
        m_Site.organisations().excuseKeys(now() + MaxFaultTime +
                                          site::StableWindow);
      if (Spec.m_Target == FaultTarget::Node)
        co_await injectNodeFault(Name);
      else
        co_await injectStoreFault(Name);
      m_Site.addDisturbance(StartedAt, now());
      break;
    }
    case FaultTarget::Processor:
      co_await stutter(m_Random.below(m_Nodes.size()));
      break;
    case FaultTarget::Link:
      co_await injectLinkFault(Name);
      break;
    case FaultTarget::Server:
      co_await injectServerFault(Name);
      break;
    case FaultTarget::Operator:
      co_await injectOperatorFault(Name);
      break;
    }
  }
  --m_Active;
}

asio::awaitable<void> FaultInjector::injectNodeFault(std::string Name) {
  std::size_t Index = m_Random.below(m_Nodes.size());
  Time StartedAt = now();
  auto Disturb = [&](std::size_t Node, Duration Lasting) {
    m_Site.addNodeDisturbance(Node, StartedAt, now() + Lasting);
  };
  if (Name == "node_kill") {
    m_Nodes.signal(Index, SIGKILL);
    m_Site.addKill(Index);
    Disturb(Index, RestartTime);
  } else if (Name == "node_term_together" && m_EndingTogether.contains(Index)) {
    co_return;
  } else if (Name.starts_with("node_term")) {
    m_Nodes.signal(Index, SIGTERM);
    m_Site.addPlannedStop(Index);
    Disturb(Index, GracePeriod + RestartTime);
    if (Name == "node_term_together")
      spawn(m_Io, endTogether(Index));
  } else if (Name == "node_hup") {
    m_Nodes.signal(Index, SIGHUP);
  } else if (Name == "herd_kill") {
    for (std::size_t I = 0; I < m_Nodes.size(); ++I) {
      m_Nodes.signal(I, SIGKILL);
      m_Site.addKill(I);
      Disturb(I, RestartTime);
    }
  } else {
    m_Nodes.signal(Index, SIGSTOP);
    co_await sleepFor(randomDuration(500ms, 3s));
    m_Nodes.signal(Index, SIGCONT);
    Disturb(Index, Duration{0});
  }
}

asio::awaitable<void> FaultInjector::stutter(std::size_t Index) {
  m_Nodes.signal(Index, SIGSTOP);
  co_await sleepFor(randomDuration(MinStutter, MaxStutter));
  m_Nodes.signal(Index, SIGCONT);
}

// The requests that a stopping node has left when its port is closed get their
// responses at one moment, at which its processor time comes in short slices:
// a slice may end at any step of a response, and timers expire before the next.
asio::awaitable<void> FaultInjector::endTogether(std::size_t Index) {
  constexpr Duration PortCloses = GracePeriod / 2;
  constexpr Duration MaxAfterClose = 500ms;
  // The requests that a node has in this time find free slots.
  constexpr Duration MaxHold = 1200ms;
  constexpr Duration StutterBefore = 10ms;
  constexpr int Slices = 6;
  constexpr Duration MaxSlice = 200us;
  ++m_Active;
  m_EndingTogether.insert(Index);
  Time Release = now() + PortCloses + randomDuration(150ms, MaxAfterClose);
  Duration Hold = randomDuration(MaxAfterClose, MaxHold);
  co_await sleepFor(Release - Hold - now());
  for (auto &Server : m_Site.servers())
    Server->holdAnswers(Release, m_Site.nodeIp(static_cast<int>(Index)));
  co_await sleepFor(Release - StutterBefore - now());
  for (int I = 0; I < Slices; ++I) {
    co_await stutter(Index);
    co_await sleepFor(randomDuration(0ms, MaxSlice));
  }
  m_EndingTogether.erase(Index);
  --m_Active;
}

// Cuts one node, or all nodes of a failure domain, off from the servers.
asio::awaitable<void> FaultInjector::injectLinkFault(std::string Name) {
  std::size_t Index = m_Random.below(m_Nodes.size());
  std::vector<std::size_t> CutNodes{Index};
  if (m_Random.below(2) == 0)
    CutNodes = m_Site.domainNodes(Index);
  site::LinkCut Kind = site::LinkCut::Reset;
  if (Name == "cut_silent")
    Kind = site::LinkCut::Silent;
  if (Name == "cut_refusing")
    Kind = site::LinkCut::RefuseNew;
  // The others must be able to serve the callers of these.
  std::set<std::size_t> AllCut = m_CutNodes;
  AllCut.insert(CutNodes.begin(), CutNodes.end());
  if (AllCut.size() * 2 > m_Nodes.size() ||
      AllCut.size() < m_CutNodes.size() + CutNodes.size())
    co_return;
  m_CutNodes = std::move(AllCut);
  std::string Service;
  if (Name == "cut_service")
    Service = m_Site.servers()[randomServer()]->profile().m_Service;
  m_Site.cutFromServers(CutNodes, Kind, Service);
  co_await sleepFor(randomDuration(MinCutTime, MaxCutTime));
  m_Site.endCut(CutNodes);
  for (std::size_t Node : CutNodes)
    m_CutNodes.erase(Node);
}

asio::awaitable<void> FaultInjector::injectStoreFault(std::string Name) {
  site::StoreFaults NewFaults;
  site::ProxyFaults ConnectionFaults;
  if (Name == "store_forgets") {
    m_Site.store().forgetHistory();
    co_return;
  }
  if (Name == "store_restored_past") {
    co_await restorePast();
    co_return;
  }
  if (Name == "store_restored_older") {
    co_await restoreOlder();
    co_return;
  }
  if (Name == "store_silent_links") {
    m_Site.storeProxy().silenceOpenConnections();
    co_return;
  }
  if (Name == "store_silent" || Name == "store_restored")
    NewFaults.m_Kind = site::StoreFault::Silent;
  if (Name == "store_busy")
    NewFaults.m_Kind = site::StoreFault::Busy;
  if (Name == "store_reset")
    NewFaults.m_Kind = site::StoreFault::Reset;
  if (Name == "store_slow")
    NewFaults.m_Delay = randomDuration(100ms, 400ms);
  if (Name == "store_lost")
    NewFaults.m_LostResponseShare = 0.5;
  if (Name == "store_refuses_one") {
    NewFaults.m_Kind = site::StoreFault::TooManyRequests;
    NewFaults.m_ClientIps = {
        m_Site.nodeIp(static_cast<int>(m_Random.below(m_Nodes.size())))};
  }
  if (Name == "store_one_way")
    ConnectionFaults.m_DropToCaller = true;
  m_Site.store().setFaults(NewFaults);
  m_Site.storeProxy().setFaults(ConnectionFaults);
  co_await sleepFor(randomDuration(1s, 4s));
  if (Name == "store_restored")
    m_Site.restoreStore(randomDuration(MinCopyAge, MaxCopyAge));
  m_Site.store().setFaults({});
  m_Site.storeProxy().setFaults({});
  std::cout << now() / 1ms % 1000000 << " " << Name << " ends\n";
}

// Restores the store and gives out again all revisions that were lost, before
// any VM reaches the store: nothing but the era tells that it was restored.
asio::awaitable<void> FaultInjector::restorePast() {
  constexpr std::uint64_t LostRevisions = 40;
  constexpr Duration LostTime = 1200ms;
  constexpr Duration OutageTime = 1500ms;
  co_await sleepFor(LostTime);
  m_Site.raiseRevision(m_Site.store().revision() + LostRevisions);
  co_await sleepFor(LostTime);
  site::StoreFaults Silent;
  Silent.m_Kind = site::StoreFault::Silent;
  m_Site.store().setFaults(Silent);
  co_await sleepFor(OutageTime);
  std::string Domain = m_Random.below(2) == 0 ? "a1" : "b1";
  m_Site.restoreStoreAndPass(LostTime + LostTime + OutageTime, randomServer(),
                             Domain);
  m_Site.store().setFaults({});
  spawn(m_Io, endEvacuation(Domain));
}

// Restores the store from a copy with an older configuration, and restarts a
// node, which finds nothing else in the store for some time.
asio::awaitable<void> FaultInjector::restoreOlder() {
  constexpr Duration CopyAge = 2500ms;
  constexpr Duration OlderFor = 11s;
  co_await sleepFor(CopyAge);
  m_Site.changeConfig();
  co_await sleepFor(CopyAge / 2);
  m_Site.restoreStore(CopyAge, OlderFor);
  std::size_t Index = m_Random.below(m_Nodes.size());
  m_Nodes.signal(Index, SIGKILL);
  m_Site.addKill(Index);
  m_Site.addNodeDisturbance(Index, now(), now() + RestartTime);
}

asio::awaitable<void> FaultInjector::endEvacuation(std::string Domain) {
  constexpr Duration EvacuationTime = 16s;
  ++m_Active;
  co_await sleepFor(EvacuationTime);
  m_Site.setEvacuated(Domain, false);
  --m_Active;
}

asio::awaitable<void> FaultInjector::injectServerFault(std::string Name) {
  std::size_t Index = randomServer();
  if (Name == "server_crash" || Name == "server_drain") {
    m_Site.replaceServer(Index, Name == "server_drain");
    co_return;
  }
  if (Name == "server_held_answers") {
    m_Site.servers()[Index]->holdAnswers(now() + randomDuration(1s, 1600ms));
    co_return;
  }
  if (Name == "server_resets") {
    m_Site.serverProxy(Index).resetOpenConnections();
    co_return;
  }
  if (Name == "server_links_silent") {
    m_Site.serverProxy(Index).silenceOpenConnections();
    co_return;
  }
  if (Name == "server_deadly_call") {
    if (std::exchange(m_SendingDeadlyCalls, true))
      co_return;
    for (Time End = now() + DeadlyCallsTime; now() < End;) {
      m_Site.sendDeadlyCall();
      co_await sleepFor(randomDuration(50ms, 300ms));
    }
    m_SendingDeadlyCalls = false;
    co_return;
  }
  if (Name == "server_limits" || Name == "server_limits_all") {
    co_await limitServers(Index, Name == "server_limits_all");
    co_return;
  }
  site::ServerFaults NewFaults;
  site::ProxyFaults ConnectionFaults;
  NewFaults.m_Silent = Name == "server_silent";
  NewFaults.m_ServiceTimeFactor = Name == "server_slow" ? 8 : 1;
  NewFaults.m_ErrorShare = Name == "server_fails" ? 0.5 : 0;
  NewFaults.m_ShedShare = Name == "server_sheds" ? 0.5 : 0;
  NewFaults.m_RetryAfterShare = Name == "server_pauses" ? 0.3 : 0;
  NewFaults.m_LostResponseShare = Name == "server_loses" ? 0.3 : 0;
  NewFaults.m_CutResponseShare = Name == "server_cuts" ? 0.3 : 0;
  NewFaults.m_ExtraResponseShare = Name == "server_extra" ? 0.3 : 0;
  ConnectionFaults.m_Delay = Name == "server_delay" ? 100ms : 0ms;
  m_Site.servers()[Index]->setFaults(NewFaults);
  m_Site.serverProxy(Index).setFaults(ConnectionFaults);
  co_await sleepFor(randomDuration(1s, 4s));
  if (m_Site.servers()[Index]->running())
    m_Site.servers()[Index]->setFaults({});
  m_Site.serverProxy(Index).setFaults({});
}

// A server, or all servers of its service and failure domain, name a limit,
// then another one, sometimes 0, then none.
asio::awaitable<void> FaultInjector::limitServers(std::size_t Index, bool All) {
  std::vector<std::size_t> Limited{Index};
  const site::ServerProfile Profile = m_Site.servers()[Index]->profile();
  for (std::size_t I = 0; All && I < m_Site.servers().size(); ++I) {
    const site::ServerProfile &Other = m_Site.servers()[I]->profile();
    if (I != Index && Other.m_Service == Profile.m_Service &&
        Other.m_Domain == Profile.m_Domain)
      Limited.push_back(I);
  }
  auto Name = [&](std::optional<double> PerSecond) {
    for (std::size_t Server : Limited)
      m_Site.servers()[Server]->setRateLimit(PerSecond);
  };
  Name(MinRateLimit + (MaxRateLimit - MinRateLimit) * m_Random.uniform());
  co_await sleepFor(randomDuration(4500ms, 7s));
  bool Zero = m_Random.below(3) == 0;
  Name(Zero ? 0 : MinRateLimit + MaxRateLimit * m_Random.uniform());
  co_await sleepFor(randomDuration(1s, 6s));
  Name(std::nullopt);
}

asio::awaitable<void> FaultInjector::injectOperatorFault(std::string Name) {
  if (Name == "config") {
    m_Site.changeConfig();
  } else if (Name == "keys") {
    m_Site.changeKeys();
  } else if (Name == "regions") {
    m_Site.changeRegions();
  } else if (Name == "config_storm") {
    for (int I = 0; I < 10; ++I) {
      m_Site.changeConfig();
      co_await sleepFor(randomDuration(50ms, 300ms));
    }
  } else {
    std::string Domain = m_Random.below(2) == 0 ? "a1" : "b1";
    m_Site.setEvacuated(Domain, true);
    co_await sleepFor(randomDuration(1s, 4s));
    m_Site.setEvacuated(Domain, false);
  }
}

} // namespace rhubarb::soak
