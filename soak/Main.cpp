// rhubarb-soak: runs real node processes against an emulated deployment,
// injects faults from outside, and checks the guarantees of the system as
// callers and backend servers observe them.
#include "soak/Faults.h"
#include "soak/Nodes.h"

#include "net/Clock.h"
#include "net/Daemon.h"
#include "net/Text.h"

#include <iostream>

namespace {

using namespace rhubarb;
using namespace rhubarb::net;

const char *const Usage =
    "rhubarb-soak: checks the system's guarantees under injected faults, with\n"
    "real node processes.\n\n"
    "Usage:\n"
    "  rhubarb-soak --node=FILE [--seed=N] [--seconds=N] [--faults=NAMES]\n"
    "               [--nodes=N] [--rate=N] [--net=NET] [--dir=DIR]\n"
    "               [--served=PERCENT] [--served-waiting=PERCENT]\n"
    "               [--refused=PERCENT]\n"
    "               [--limit-use=PERCENT] [--long-rate=N]\n"
    "               [--organisations=N] [--node-before=FILE]\n"
    "               [--config-routes=N] [--store-kbps=N]\n"
    "  rhubarb-soak --list\n"
    "  rhubarb-soak (-h | --help)\n\n"
    "Options:\n"
    "  --node=FILE       Path of the node's executable.\n"
    "  --node-before=FILE  Path of an older build's executable. Every other\n"
    "                    node starts with it, and each restart changes a\n"
    "                    node's build.\n"
    "  --seed=N          Seed of all random choices [default: 1].\n"
    "  --seconds=N       Duration of fault injection [default: 12].\n"
    "  --faults=NAMES    Faults to choose from, comma-separated; none or all\n"
    "                    [default: all].\n"
    "  --nodes=N         Nodes in each failure domain [default: 1].\n"
    "  --rate=N          Calls a second of each class from each failure "
    "domain\n"
    "                    [default: 15].\n"
    "  --net=NET         First two octets of the loopback addresses\n"
    "                    [default: 127.60].\n"
    "  --dir=DIR         Directory for the nodes' settings and logs\n"
    "                    [default: run].\n"
    "  --served=PERCENT  Minimum share of calls answered [default: 50].\n"
    "  --served-waiting=PERCENT  The same, of the calls whose callers do not\n"
    "                    give up early [default: 0].\n"
    "  --refused=PERCENT Maximum share of calls refused [default: 100].\n"
    "  --limit-use=PERCENT  Minimum share of the rates that servers name\n"
    "                    [default: 0].\n"
    "  --long-rate=N     The same as --rate for calls that run for seconds\n"
    "                    [default: 0].\n"
    "  --organisations=N  Organisations with API keys; with 0 callers need no\n"
    "                    key, and the faults keys and regions do not exist\n"
    "                    [default: 0].\n"
    "  --config-routes=N  Routes without traffic in each configuration. The\n"
    "                    bound for it to be in force is 4 s instead of 2.5 s "
    "if\n"
    "                    there are any [default: 0].\n"
    "  --store-kbps=N    Kilobits a second from the store to each node; 0: no\n"
    "                    limit [default: 0].\n"
    "  --list            List the faults.\n"
    "  -h --help         Show this text.\n\n"
    "Exit codes: 0 all guarantees held, 1 a guarantee was violated,\n"
    "2 invalid arguments.\n";

// Time for the nodes to find the store and each other.
constexpr Duration StartupTime = 3s;
// Time for which calls go on after the last fault has ended.
constexpr Duration SettleTime = 4s;
// Longest wait for calls in flight after the callers have stopped.
constexpr Duration CallDrainTime = 4s;
constexpr Duration TickInterval = 50ms;

asio::awaitable<void> runTicks(site::Site &Deployment, soak::Nodes &Nodes) {
  for (;;) {
    Deployment.tick();
    Nodes.restartExited();
    co_await sleepFor(TickInterval);
  }
}

struct RunPlan {
  std::vector<std::string> m_Faults;
  Duration m_Length{0};
  std::uint64_t m_Seed = 1;
};

asio::awaitable<void> runPlan(asio::io_context &Io, site::Site &Deployment,
                              soak::Nodes &Nodes, RunPlan Plan) {
  co_await sleepFor(StartupTime);
  Deployment.startCallers();
  co_await sleepFor(1s);
  soak::FaultInjector Injector(Io, Deployment, Nodes, Plan.m_Seed);
  co_await Injector.run(Plan.m_Faults, Plan.m_Length);
  co_await sleepFor(SettleTime);
  Deployment.stopCallers();
  Time End = now() + CallDrainTime;
  while (now() < End && Deployment.callsInFlight() > 0)
    co_await sleepFor(TickInterval);
  Io.stop();
}

// Bounds on shares of the calls, in percent.
struct CallBounds {
  int m_Served = 0;        // Answered, at least.
  int m_ServedWaiting = 0; // The same, of calls whose callers do not give up.
  int m_Refused = 100;     // At most.
};

int report(const site::Site &Deployment, const soak::Nodes &Nodes,
           CallBounds Asked) {
  const site::CallCounts &Counts = Deployment.counts();
  std::cout << "sent " << Counts.m_Sent << ", answered " << Counts.m_Answered
            << ", refused " << Counts.m_Refused << ", failed "
            << Counts.m_Failed << "\n"
            << "with callers that wait: sent " << Counts.m_Waiting
            << ", answered " << Counts.m_WaitingAnswered << "\n";
  for (const auto &[Outcome, Count] : Counts.m_ByOutcome)
    std::cout << "  " << Outcome << ": " << Count << "\n";
  if (Deployment.organisations().enabled())
    std::cout << "limited organisation: at most "
              << Deployment.organisations().mostLimitedRuns()
              << " runs in 5 s\n";
  std::vector<std::string> Violations = Deployment.verify();
  for (const std::string &Line : Nodes.unexpectedExits())
    Violations.push_back(Line);
  if (Counts.m_Answered * 100 < Counts.m_Sent * Asked.m_Served)
    Violations.push_back("served: less than " + std::to_string(Asked.m_Served) +
                         "% of the calls");
  if (Counts.m_WaitingAnswered * 100 < Counts.m_Waiting * Asked.m_ServedWaiting)
    Violations.push_back("served: less than " +
                         std::to_string(Asked.m_ServedWaiting) +
                         "% of the calls whose callers wait");
  if (Counts.m_Refused * 100 > Counts.m_Sent * Asked.m_Refused)
    Violations.push_back("refused: more than " +
                         std::to_string(Asked.m_Refused) + "% of the calls");
  for (const std::string &Line : Violations)
    std::cout << "VIOLATED " << Line << "\n";
  std::cout << (Violations.empty() ? "all guarantees held\n"
                                   : "guarantees violated\n");
  return Violations.empty() ? ExitOk : ExitFailed;
}

} // namespace

int main(int Argc, char **Argv) {
  CommandLine Arguments = parseCommandLine(Usage, Argc, Argv);
  if (Arguments.flag("--list")) {
    for (const std::string &Name : soak::faultNames())
      std::cout << Name << "\n";
    return ExitOk;
  }
  RunPlan Plan;
  site::SiteSettings Settings;
  Settings.m_Organisations =
      static_cast<int>(parseInteger(Arguments.value("--organisations"), 0));
  Plan.m_Faults = soak::chooseFaults(Arguments.value("--faults"),
                                     Settings.m_Organisations > 0);
  Settings.m_MovesRegions =
      std::find(Plan.m_Faults.begin(), Plan.m_Faults.end(), "regions") !=
      Plan.m_Faults.end();
  Settings.m_Seed =
      static_cast<std::uint64_t>(parseInteger(Arguments.value("--seed"), 1));
  Settings.m_AddressPrefix = Arguments.value("--net");
  Settings.m_NodesPerDomain =
      static_cast<int>(parseInteger(Arguments.value("--nodes"), 1));
  Settings.m_CallsPerSecond =
      static_cast<double>(parseInteger(Arguments.value("--rate"), 15));
  Settings.m_LongCallsPerSecond =
      static_cast<double>(parseInteger(Arguments.value("--long-rate"), 0));
  Settings.m_ExtraRoutes =
      static_cast<int>(parseInteger(Arguments.value("--config-routes"), 0));
  if (Settings.m_ExtraRoutes > 0)
    Settings.m_ConfigBound = site::LongConfigBound;
  Settings.m_StoreKbps =
      static_cast<double>(parseInteger(Arguments.value("--store-kbps"), 0));
  asio::io_context Io{1};
  site::Site Deployment(Io, Settings);
  Result<int> Started = Deployment.start();
  if (!Started) {
    std::cerr << Started.error().m_Message << "\n";
    return ExitUsage;
  }
  Deployment.setMinLimitUse(
      static_cast<double>(parseInteger(Arguments.value("--limit-use"), 0)) /
      100);
  soak::Nodes Nodes(Arguments.value("--node"), Arguments.value("--node-before"),
                    Arguments.value("--dir"));
  for (int Node = 0; Node < Deployment.nodes(); ++Node)
    Nodes.add(Deployment.nodeSettings(Node));
  Plan.m_Length =
      std::chrono::seconds(parseInteger(Arguments.value("--seconds"), 12));
  Plan.m_Seed = Settings.m_Seed;
  spawn(Io, runTicks(Deployment, Nodes));
  spawn(Io, runPlan(Io, Deployment, Nodes, Plan));
  Io.run();
  CallBounds Asked;
  Asked.m_Served =
      static_cast<int>(parseInteger(Arguments.value("--served"), 50));
  Asked.m_ServedWaiting =
      static_cast<int>(parseInteger(Arguments.value("--served-waiting"), 0));
  Asked.m_Refused =
      static_cast<int>(parseInteger(Arguments.value("--refused"), 100));
  return report(Deployment, Nodes, Asked);
}
