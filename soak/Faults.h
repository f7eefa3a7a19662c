// Faults from outside, in series that overlap, drawn by a seed.
#pragma once

#include "soak/Nodes.h"
#include "standins/site/Site.h"

namespace rhubarb::soak {

// Names of all faults.
std::vector<std::string> faultNames();
// Reads a choice of faults: names by commas, "none" or "all". Ends the program
// with a fault's text for a name that is not known.
std::vector<std::string> chooseFaults(const std::string &List);

class FaultInjector {
public:
  FaultInjector(net::asio::io_context &Io, site::Site &Deployment,
                Nodes &Processes, std::uint64_t Seed);
  // Plays faults for Length: each begins at random while others last.
  net::asio::awaitable<void> run(std::vector<std::string> Names,
                                 Duration Length);

private:
  net::asio::awaitable<void> inject(std::string Name);
  net::asio::awaitable<void> injectNodeFault(std::string Name);
  net::asio::awaitable<void> injectStoreFault(std::string Name);
  net::asio::awaitable<void> injectServerFault(std::string Name);
  net::asio::awaitable<void> injectOperatorFault(std::string Name);
  Duration randomDuration(Duration Min, Duration Max);
  std::size_t randomServer();

  net::asio::io_context &m_Io;
  site::Site &m_Site;
  Nodes &m_Nodes;
  Random m_Random;
  int m_Active = 0;
};

} // namespace rhubarb::soak
