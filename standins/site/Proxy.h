// A transparent TCP proxy on loopback that injects network faults: delays,
// resets, stalled connections and loss of all bytes in one direction.
#pragma once

#include "net/Http.h"

#include <memory>
#include <set>

namespace rhubarb::site {

using namespace rhubarb::net;

// Faults injected into all connections, open and new.
struct ProxyFaults {
  // Delay of each chunk that is forwarded, in either direction.
  Duration m_Delay{0};
  // Discards the bytes sent towards the target.
  bool m_DropToTarget = false;
  // Discards the bytes sent towards the caller.
  bool m_DropToCaller = false;
};

// How a caller is cut off from the target.
enum class LinkCut : std::uint8_t {
  None,
  Silent,    // Connections stay open and carry nothing.
  Reset,     // Open connections are reset, new ones are refused.
  RefuseNew, // Open connections work, new ones are refused.
};

// Forwards connections to a fixed target.
class FaultProxy {
public:
  FaultProxy(asio::io_context &Io, std::string Target);
  Result<std::uint16_t> start(const std::string &Ip, std::uint16_t Port);
  void setFaults(ProxyFaults Faults) { m_Faults = Faults; }
  // Limits the bytes per second towards each IP address of callers; 0: none.
  void setRatePerCaller(double BytesPerSecond) { m_Rate = BytesPerSecond; }
  void resetOpenConnections();
  // Refuses connections and ends the open ones, as if the target's process had
  // ended, or accepts connections again.
  void setRefusing(bool Refusing);
  // Cuts the caller with an IP address off from the target, or ends the cut.
  void setCut(const std::string &CallerIp, LinkCut Cut);
  // Stops forwarding on the open connections for good, without closing them.
  // New connections work.
  void silenceOpenConnections();

private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  static void close(Connection &Proxied);
  asio::awaitable<void> acceptLoop();
  asio::awaitable<void> serve(ConnectionPtr Proxied);
  // Waits until the link towards a caller has carried some bytes more.
  asio::awaitable<void> waitForLink(const std::string &CallerIp,
                                    std::size_t Bytes);
  asio::awaitable<void> pump(ConnectionPtr Proxied, bool Forward);

  asio::io_context &m_Io;
  std::string m_Target;
  asio::ip::tcp::acceptor m_Acceptor;
  std::string m_Ip;
  std::uint16_t m_Port = 0;
  std::set<ConnectionPtr> m_Connections;
  LinkCut cutOf(const std::string &CallerIp) const;

  ProxyFaults m_Faults;
  std::map<std::string, LinkCut> m_Cuts; // By the caller's IP address.
  double m_Rate = 0;
  // When the link towards a caller has carried what it was given, by the
  // caller's IP address.
  std::map<std::string, Time> m_LinkFreeAt;
};

} // namespace rhubarb::site
