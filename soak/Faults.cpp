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

enum class Target : std::uint8_t { Node, Store, Server, Operator };

struct FaultRow {
  const char *m_Name;
  Target m_Target;
};

constexpr FaultRow Faults[] = {
    {"node_kill", Target::Node},
    {"node_term", Target::Node},
    {"node_freeze", Target::Node},
    {"node_hup", Target::Node},
    {"herd_kill", Target::Node},
    {"store_silent", Target::Store},
    {"store_busy", Target::Store},
    {"store_reset", Target::Store},
    {"store_slow", Target::Store},
    {"store_lost", Target::Store},
    {"store_refuses_one", Target::Store},
    {"store_forgets", Target::Store},
    {"store_silent_links", Target::Store},
    {"store_one_way", Target::Store},
    {"server_crash", Target::Server},
    {"server_drain", Target::Server},
    {"server_silent", Target::Server},
    {"server_slow", Target::Server},
    {"server_fails", Target::Server},
    {"server_sheds", Target::Server},
    {"server_pauses", Target::Server},
    {"server_loses", Target::Server},
    {"server_cuts", Target::Server},
    {"server_extra", Target::Server},
    {"server_resets", Target::Server},
    {"server_links_silent", Target::Server},
    {"server_delay", Target::Server},
    {"config", Target::Operator},
    {"config_storm", Target::Operator},
    {"evacuate", Target::Operator},
};

constexpr Duration FaultPause = 700ms; // Between two beginnings, on average.

} // namespace

std::vector<std::string> faultNames() {
  std::vector<std::string> Names;
  for (const FaultRow &Row : Faults)
    Names.emplace_back(Row.m_Name);
  return Names;
}

std::vector<std::string> chooseFaults(const std::string &Text) {
  std::vector<std::string> All = faultNames();
  if (Text == "all")
    return All;
  if (Text == "none")
    return {};
  std::vector<std::string> Chosen = splitCommas(Text);
  for (const std::string &Name : Chosen) {
    if (std::find(All.begin(), All.end(), Name) != All.end())
      continue;
    std::cerr << "fault \"" << Name << "\" is not known; see --list\n";
    std::exit(ExitUsage);
  }
  return Chosen;
}

FaultPlayer::FaultPlayer(asio::io_context &Io, site::Site &Deployment,
                         Nodes &Under, std::uint64_t Seed)
    : m_Io(Io), m_Site(Deployment), m_Nodes(Under), m_Random(Seed) {}

Duration FaultPlayer::between(Duration Least, Duration Most) {
  return Least +
         Duration(static_cast<std::int64_t>(
             m_Random.uniform() * static_cast<double>((Most - Least).count())));
}

std::size_t FaultPlayer::anyServer() {
  return m_Random.below(m_Site.servers().size());
}

asio::awaitable<void> FaultPlayer::play(std::vector<std::string> Names,
                                        Duration Length) {
  Time End = now() + Length;
  while (now() < End) {
    co_await sleepFor(between(FaultPause / 2, FaultPause * 3 / 2));
    if (!Names.empty())
      spawn(m_Io, inflict(Names[m_Random.below(Names.size())]));
  }
  while (m_UnderWay > 0)
    co_await sleepFor(FaultPause / 10);
}

asio::awaitable<void> FaultPlayer::inflict(std::string Name) {
  ++m_UnderWay;
  std::cout << now() / 1ms % 1000000 << " " << Name << "\n";
  for (const FaultRow &Row : Faults) {
    if (Name != Row.m_Name)
      continue;
    switch (Row.m_Target) {
    case Target::Node:
    case Target::Store: {
      Time Began = now();
      if (Row.m_Target == Target::Node)
        co_await onNode(Name);
      else
        co_await onStore(Name);
      m_Site.noteTrouble(Began, now());
      break;
    }
    case Target::Server:
      co_await onServer(Name);
      break;
    case Target::Operator:
      co_await onOperator(Name);
      break;
    }
  }
  --m_UnderWay;
}

asio::awaitable<void> FaultPlayer::onNode(std::string Name) {
  std::size_t Index = m_Random.below(m_Nodes.size());
  if (Name == "node_kill") {
    m_Nodes.signal(Index, SIGKILL);
  } else if (Name == "node_term") {
    m_Nodes.signal(Index, SIGTERM);
  } else if (Name == "node_hup") {
    m_Nodes.signal(Index, SIGHUP);
  } else if (Name == "herd_kill") {
    for (std::size_t I = 0; I < m_Nodes.size(); ++I)
      m_Nodes.signal(I, SIGKILL);
  } else {
    m_Nodes.signal(Index, SIGSTOP);
    co_await sleepFor(between(500ms, 3s));
    m_Nodes.signal(Index, SIGCONT);
  }
}

asio::awaitable<void> FaultPlayer::onStore(std::string Name) {
  site::StoreFaults Wanted;
  site::ProxyFaults Links;
  if (Name == "store_forgets") {
    m_Site.store().forgetHistory();
    co_return;
  }
  if (Name == "store_silent_links") {
    m_Site.storeProxy().silenceOpen();
    co_return;
  }
  if (Name == "store_silent")
    Wanted.m_Kind = site::StoreFault::Silent;
  if (Name == "store_busy")
    Wanted.m_Kind = site::StoreFault::Busy;
  if (Name == "store_reset")
    Wanted.m_Kind = site::StoreFault::Reset;
  if (Name == "store_slow")
    Wanted.m_Slow = between(100ms, 400ms);
  if (Name == "store_lost")
    Wanted.m_LostAnswers = 0.5;
  if (Name == "store_refuses_one") {
    Wanted.m_Kind = site::StoreFault::Many;
    Wanted.m_OnlyFor = {
        m_Site.nodeIp(static_cast<int>(m_Random.below(m_Nodes.size())))};
  }
  if (Name == "store_one_way")
    Links.m_CutBack = true;
  m_Site.store().setFaults(Wanted);
  m_Site.storeProxy().setFaults(Links);
  co_await sleepFor(between(1s, 4s));
  m_Site.store().setFaults({});
  m_Site.storeProxy().setFaults({});
}

asio::awaitable<void> FaultPlayer::onServer(std::string Name) {
  std::size_t Index = anyServer();
  if (Name == "server_crash" || Name == "server_drain") {
    m_Site.replace(Index, Name == "server_drain");
    co_return;
  }
  if (Name == "server_resets") {
    m_Site.serverProxy(Index).resetAll();
    co_return;
  }
  if (Name == "server_links_silent") {
    m_Site.serverProxy(Index).silenceOpen();
    co_return;
  }
  site::ServerFaults Wanted;
  site::ProxyFaults Links;
  Wanted.m_Silent = Name == "server_silent";
  Wanted.m_Slow = Name == "server_slow" ? 8 : 1;
  Wanted.m_Fails = Name == "server_fails" ? 0.5 : 0;
  Wanted.m_Sheds = Name == "server_sheds" ? 0.5 : 0;
  Wanted.m_Pauses = Name == "server_pauses" ? 0.3 : 0;
  Wanted.m_LosesAnswer = Name == "server_loses" ? 0.3 : 0;
  Wanted.m_CutsAnswer = Name == "server_cuts" ? 0.3 : 0;
  Wanted.m_ExtraAnswer = Name == "server_extra" ? 0.3 : 0;
  Links.m_Delay = Name == "server_delay" ? 100ms : 0ms;
  m_Site.servers()[Index]->setFaults(Wanted);
  m_Site.serverProxy(Index).setFaults(Links);
  co_await sleepFor(between(1s, 4s));
  if (m_Site.servers()[Index]->running())
    m_Site.servers()[Index]->setFaults({});
  m_Site.serverProxy(Index).setFaults({});
}

asio::awaitable<void> FaultPlayer::onOperator(std::string Name) {
  if (Name == "config") {
    m_Site.changeConfig();
  } else if (Name == "config_storm") {
    for (int I = 0; I < 10; ++I) {
      m_Site.changeConfig();
      co_await sleepFor(between(50ms, 300ms));
    }
  } else {
    std::string Domain = m_Random.below(2) == 0 ? "a1" : "b1";
    m_Site.evacuate(Domain, true);
    co_await sleepFor(between(1s, 4s));
    m_Site.evacuate(Domain, false);
  }
}

} // namespace rhubarb::soak
