// UDP transport for heartbeats.
#pragma once

#include "net/Http.h"

#include <boost/asio/ip/udp.hpp>

#include <array>

namespace rhubarb::net {

// Handles a received datagram. PeerIp is the IP address of its sender.
using DatagramHandler =
    std::function<void(const std::string &Text, const std::string &PeerIp)>;

// A UDP socket that sends without blocking and passes received datagrams to a
// handler.
class DatagramSocket {
public:
  DatagramSocket(asio::io_context &Io, const Reachability &Reach,
                 DatagramHandler Handler);
  // Binds and starts receiving. Errors name the address.
  Result<int> start(const std::string &Ip, std::uint16_t Port);
  // Sends without blocking. A datagram that the socket does not accept is
  // dropped.
  void send(const std::string &Ip, std::uint16_t Port, const std::string &Text);
  // Returns the bytes sent, including the UDP and IPv4 headers.
  std::uint64_t sentBytes() const { return m_SentBytes; }
  // Returns the bytes received, including the UDP and IPv4 headers.
  std::uint64_t receivedBytes() const { return m_ReceivedBytes; }

private:
  void receiveNext();

  const Reachability &m_Reach;
  DatagramHandler m_Handler;
  asio::ip::udp::socket m_Socket;
  asio::ip::udp::endpoint m_Sender;
  std::array<char, 65536> m_Buffer{};
  std::uint64_t m_SentBytes = 0;
  std::uint64_t m_ReceivedBytes = 0;
};

} // namespace rhubarb::net
