// Injects faults into a deployment from outside its processes, in a random
// sequence given by a seed. Faults may overlap.
#pragma once

#include "soak/Nodes.h"
#include "standins/site/Site.h"

#include <set>

namespace rhubarb::soak {

std::vector<std::string> faultNames();
// Parses a choice of faults: names separated by commas, "none" or "all". Exits
// the program with an error message if a name is unknown. "keys" and "regions"
// are unknown without organisations.
std::vector<std::string> chooseFaults(const std::string &List,
                                      bool HasOrganisations);

class FaultInjector {
public:
  FaultInjector(net::asio::io_context &Io, site::Site &Deployment,
                Nodes &Processes, std::uint64_t Seed);
  // Starts faults at random intervals for Length, whether or not earlier ones
  // have ended, then waits until all have ended.
  net::asio::awaitable<void> run(std::vector<std::string> Names,
                                 Duration Length);

private:
  net::asio::awaitable<void> inject(std::string Name);
  net::asio::awaitable<void> injectNodeFault(std::string Name);
  net::asio::awaitable<void> stutter(std::size_t Index);
  net::asio::awaitable<void> endTogether(std::size_t Index);
  net::asio::awaitable<void> injectLinkFault(std::string Name);
  net::asio::awaitable<void> injectStoreFault(std::string Name);
  net::asio::awaitable<void> injectServerFault(std::string Name);
  net::asio::awaitable<void> restorePast();
  net::asio::awaitable<void> restoreOlder();
  net::asio::awaitable<void> endEvacuation(std::string Domain);
  net::asio::awaitable<void> limitServers(std::size_t Index, bool All);
  net::asio::awaitable<void> injectOperatorFault(std::string Name);
  Duration randomDuration(Duration Min, Duration Max);
  std::size_t randomServer();

  net::asio::io_context &m_Io;
  site::Site &m_Site;
  Nodes &m_Nodes;
  Random m_Random;
  int m_Active = 0;
  std::set<std::size_t> m_CutNodes; // Cut off from servers at present.
  Time m_RestoredAt{0};
  std::set<std::size_t> m_EndingTogether; // Nodes in endTogether().
  bool m_SendingDeadlyCalls = false;
};

} // namespace rhubarb::soak
