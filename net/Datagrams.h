// UDP datagrams of bounded size, for heartbeats.
#pragma once

#include "net/Http.h"

#include <boost/asio/ip/udp.hpp>

#include <array>

namespace rhubarb::net {

// Gets each datagram with its sender's IP number.
using DatagramHandler =
    std::function<void(const std::string &Text, const std::string &PeerIp)>;

// A UDP socket that sends at once and hands over what it receives.
class DatagramSocket {
public:
  DatagramSocket(asio::io_context &Io, const Reachability &Reach,
                 DatagramHandler Handler);
  // Binds and starts to receive. A fault names the address.
  Result<int> start(const std::string &Ip, std::uint16_t Port);
  // Sends without waiting. What the socket does not take is lost.
  void send(const std::string &Ip, std::uint16_t Port, const std::string &Text);
  // Bytes on the wire: payload, UDP and IPv4 headers.
  std::uint64_t sentBytes() const { return m_SentBytes; }
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
