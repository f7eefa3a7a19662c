// A loopback proxy that delays, resets, silences connections or cuts them one
// way, between programs that know nothing of it.
#pragma once

#include "net/Http.h"

#include <memory>
#include <set>

namespace rhubarb::site {

using namespace rhubarb::net;

// What the proxy does to connections, old and new ones.
struct ProxyFaults {
  Duration m_Delay{0};         // Of each piece, one way.
  bool m_DropToTarget = false; // Bytes towards the target vanish.
  bool m_DropToCaller = false; // Bytes towards the caller vanish.
};

// Passes connections on to one target.
class FaultProxy {
public:
  FaultProxy(asio::io_context &Io, std::string Target);
  Result<std::uint16_t> start(const std::string &Ip, std::uint16_t Port);
  void setFaults(ProxyFaults Faults) { m_Faults = Faults; }
  // Resets the connections that are open.
  void resetOpenConnections();
  // The open connections go silent for good; new ones work.
  void silenceOpenConnections();

private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  asio::awaitable<void> acceptLoop();
  asio::awaitable<void> serve(ConnectionPtr Proxied);
  asio::awaitable<void> pump(ConnectionPtr Proxied, bool Forward);

  asio::io_context &m_Io;
  std::string m_Target;
  asio::ip::tcp::acceptor m_Acceptor;
  std::set<ConnectionPtr> m_Connections;
  ProxyFaults m_Faults;
};

} // namespace rhubarb::site
