#include "standins/site/Proxy.h"

#include "net/Clock.h"
#include "net/Daemon.h"
#include "net/Log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace rhubarb::site {
namespace {

using asio::ip::tcp;
constexpr auto Await = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t BufferBytes = 8192;

} // namespace

struct FaultProxy::Connection {
  explicit Connection(tcp::socket Caller, asio::io_context &Io)
      : m_Caller(std::move(Caller)), m_Target(Io) {}
  tcp::socket m_Caller;
  tcp::socket m_Target;
  std::string m_CallerIp;
  bool m_Silent = false;
};

FaultProxy::FaultProxy(asio::io_context &Io, std::string Target)
    : m_Io(Io), m_Target(std::move(Target)), m_Acceptor(Io) {}

Result<std::uint16_t> FaultProxy::start(const std::string &Ip,
                                        std::uint16_t Port) {
  m_Ip = Ip;
  m_Port = Port;
  boost::system::error_code Error;
  tcp::endpoint Endpoint(asio::ip::make_address(Ip, Error), Port);
  if (!Error)
    m_Acceptor.open(tcp::v4(), Error);
  if (!Error)
    m_Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    m_Acceptor.bind(Endpoint, Error);
  if (!Error)
    m_Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return rhubarb::Error{ErrorKind::Internal, "proxy cannot listen on " + Ip +
                                                   ":" + std::to_string(Port) +
                                                   ": " + Error.message()};
  spawn(m_Io, acceptLoop());
  return m_Acceptor.local_endpoint().port();
}

asio::awaitable<void> FaultProxy::acceptLoop() {
  for (;;) {
    auto [Error, Socket] = co_await m_Acceptor.async_accept(Await);
    if (Error)
      co_return;
    spawn(m_Io, serve(std::make_shared<Connection>(std::move(Socket), m_Io)));
  }
}

asio::awaitable<void> FaultProxy::serve(ConnectionPtr Proxied) {
  auto Endpoint = parseEndpoint(m_Target);
  if (!Endpoint)
    co_return;
  boost::system::error_code Ignored;
  auto Caller = Proxied->m_Caller.remote_endpoint(Ignored);
  Proxied->m_CallerIp = Caller.address().to_string();
  LinkCut Cut = cutOf(Proxied->m_CallerIp);
  // The caller must not take the refusal for that of a host without a server
  // once it has sent a request.
  if (Cut == LinkCut::RefuseNew)
    co_await Proxied->m_Caller.async_wait(tcp::socket::wait_read, Await);
  if (Cut == LinkCut::Reset || Cut == LinkCut::RefuseNew) {
    close(*Proxied);
    co_return;
  }
  Proxied->m_Silent = Cut == LinkCut::Silent;
  // Connects from the caller's IP address, so that the server can tell which VM
  // sent the request.
  if (!Ignored) {
    Proxied->m_Target.open(tcp::v4(), Ignored);
    Proxied->m_Target.bind({Caller.address(), 0}, Ignored);
  }
  auto [Error] =
      co_await Proxied->m_Target.async_connect(Endpoint.value(), Await);
  if (Error)
    co_return;
  Proxied->m_Caller.set_option(tcp::no_delay(true), Ignored);
  Proxied->m_Target.set_option(tcp::no_delay(true), Ignored);
  m_Connections.insert(Proxied);
  spawn(m_Io, pump(Proxied, false));
  co_await pump(Proxied, true);
}

asio::awaitable<void> FaultProxy::waitForLink(const std::string &CallerIp,
                                              std::size_t Bytes) {
  Time &FreeAt = m_LinkFreeAt[CallerIp];
  FreeAt =
      std::max(FreeAt, now()) + Duration(static_cast<std::int64_t>(
                                    static_cast<double>(Bytes) / m_Rate * 1e6));
  co_await sleepFor(FreeAt - now());
}

asio::awaitable<void> FaultProxy::pump(ConnectionPtr Proxied, bool Forward) {
  tcp::socket &From = Forward ? Proxied->m_Caller : Proxied->m_Target;
  tcp::socket &To = Forward ? Proxied->m_Target : Proxied->m_Caller;
  std::vector<char> Buffer(BufferBytes);
  boost::system::error_code Ignored;
  for (;;) {
    auto [Error, Bytes] =
        co_await From.async_read_some(asio::buffer(Buffer), Await);
    if (Error && Proxied->m_Silent)
      co_return; // Keeps the other side open, as on a stalled network path.
    if (Error)
      break;
    if (Proxied->m_Silent)
      continue;
    if (m_Faults.m_Delay.count() > 0)
      co_await sleepFor(m_Faults.m_Delay);
    if (!Forward && m_Rate > 0)
      co_await waitForLink(Proxied->m_CallerIp, Bytes);
    if (Forward ? m_Faults.m_DropToTarget : m_Faults.m_DropToCaller)
      continue;
    auto [WriteError, Written] = co_await asio::async_write(
        To, asio::buffer(Buffer.data(), Bytes), Await);
    if (WriteError)
      break;
  }
  To.shutdown(tcp::socket::shutdown_send, Ignored);
  m_Connections.erase(Proxied);
}

// Closes both sides with a reset.
void FaultProxy::close(Connection &Proxied) {
  boost::system::error_code Ignored;
  for (tcp::socket *Socket : {&Proxied.m_Caller, &Proxied.m_Target}) {
    Socket->set_option(asio::socket_base::linger(true, 0), Ignored);
    Socket->close(Ignored);
  }
}

void FaultProxy::resetOpenConnections() {
  for (const ConnectionPtr &Proxied : m_Connections)
    close(*Proxied);
  m_Connections.clear();
}

LinkCut FaultProxy::cutOf(const std::string &CallerIp) const {
  auto Cut = m_Cuts.find(CallerIp);
  return Cut == m_Cuts.end() ? LinkCut::None : Cut->second;
}

void FaultProxy::setCut(const std::string &CallerIp, LinkCut Cut) {
  bool WasSilent = cutOf(CallerIp) == LinkCut::Silent;
  m_Cuts[CallerIp] = Cut;
  for (auto Position = m_Connections.begin();
       Position != m_Connections.end();) {
    ConnectionPtr Proxied = *Position++;
    if (Proxied->m_CallerIp != CallerIp)
      continue;
    if (Cut == LinkCut::Silent)
      Proxied->m_Silent = true;
    // Bytes were lost on the silent connections.
    else if (Cut == LinkCut::Reset || (Cut == LinkCut::None && WasSilent)) {
      close(*Proxied);
      m_Connections.erase(Proxied);
    }
  }
}

void FaultProxy::setRefusing(bool Refusing) {
  if (Refusing == !m_Acceptor.is_open())
    return;
  if (!Refusing) {
    if (Result<std::uint16_t> Bound = start(m_Ip, m_Port); !Bound)
      logEvent(Severity::Error, "proxy_not_started",
               {{"error", Bound.error().m_Message}});
    return;
  }
  boost::system::error_code Ignored;
  m_Acceptor.close(Ignored);
  resetOpenConnections();
}

void FaultProxy::silenceOpenConnections() {
  for (const ConnectionPtr &Proxied : m_Connections)
    Proxied->m_Silent = true;
}

} // namespace rhubarb::site
