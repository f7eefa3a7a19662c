#include "net/Datagrams.h"

namespace rhubarb::net {

using asio::ip::udp;

namespace {

constexpr std::size_t HeaderBytes = 28; // UDP header 8, IPv4 header 20.

} // namespace

DatagramSocket::DatagramSocket(asio::io_context &Io, const Reachability &Reach,
                               DatagramHandler Handler)
    : m_Reach(Reach), m_Handler(std::move(Handler)), m_Socket(Io) {}

Result<int> DatagramSocket::start(const std::string &Ip, std::uint16_t Port) {
  boost::system::error_code Error;
  udp::endpoint Endpoint(asio::ip::make_address(Ip, Error), Port);
  if (!Error)
    m_Socket.open(udp::v4(), Error);
  if (!Error)
    m_Socket.bind(Endpoint, Error);
  if (!Error)
    m_Socket.non_blocking(true, Error);
  if (Error)
    return rhubarb::Error{ErrorKind::Internal, "cannot bind UDP " + Ip + ":" +
                                                   std::to_string(Port) + ": " +
                                                   Error.message()};
  receiveNext();
  return 0;
}

void DatagramSocket::send(const std::string &Ip, std::uint16_t Port,
                          const std::string &Text) {
  if (!m_Reach.allows(Ip))
    return;
  boost::system::error_code Error;
  udp::endpoint Target(asio::ip::make_address(Ip, Error), Port);
  if (!Error)
    m_SentBytes +=
        m_Socket.send_to(asio::buffer(Text), Target, 0, Error) + HeaderBytes;
}

void DatagramSocket::receiveNext() {
  m_Socket.async_receive_from(
      asio::buffer(m_Buffer), m_Sender,
      [this](const boost::system::error_code &Error, std::size_t Bytes) {
        if (Error == asio::error::operation_aborted)
          return;
        std::string PeerIp = m_Sender.address().to_string();
        if (!Error && m_Reach.allows(PeerIp)) {
          m_ReceivedBytes += Bytes + HeaderBytes;
          m_Handler(std::string(m_Buffer.data(), Bytes), PeerIp);
        }
        receiveNext();
      });
}

} // namespace rhubarb::net
