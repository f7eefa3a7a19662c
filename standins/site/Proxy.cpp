#include "standins/site/Proxy.h"

#include "net/Daemon.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace rhubarb::site {
namespace {

using asio::ip::tcp;
constexpr auto Await = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t PieceBytes = 8192;

} // namespace

struct FaultProxy::Link {
  explicit Link(tcp::socket Caller, asio::io_context &Io)
      : m_Caller(std::move(Caller)), m_Target(Io) {}
  tcp::socket m_Caller;
  tcp::socket m_Target;
  bool m_Silent = false;
};

FaultProxy::FaultProxy(asio::io_context &Io, std::string Target)
    : m_Io(Io), m_Target(std::move(Target)), m_Acceptor(Io) {}

Result<std::uint16_t> FaultProxy::start(const std::string &Ip,
                                        std::uint16_t Port) {
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
    spawn(m_Io, serve(std::make_shared<Link>(std::move(Socket), m_Io)));
  }
}

asio::awaitable<void> FaultProxy::serve(LinkPtr Pair) {
  auto Endpoint = parseEndpoint(m_Target);
  if (!Endpoint)
    co_return;
  boost::system::error_code Ignored;
  auto Caller = Pair->m_Caller.remote_endpoint(Ignored);
  if (!Ignored) { // The server sees which VM it was.
    Pair->m_Target.open(tcp::v4(), Ignored);
    Pair->m_Target.bind({Caller.address(), 0}, Ignored);
  }
  auto [Error] = co_await Pair->m_Target.async_connect(Endpoint.value(), Await);
  if (Error)
    co_return;
  Pair->m_Caller.set_option(tcp::no_delay(true), Ignored);
  Pair->m_Target.set_option(tcp::no_delay(true), Ignored);
  m_Links.insert(Pair);
  spawn(m_Io, pump(Pair, false));
  co_await pump(Pair, true);
}

asio::awaitable<void> FaultProxy::pump(LinkPtr Pair, bool Forward) {
  tcp::socket &From = Forward ? Pair->m_Caller : Pair->m_Target;
  tcp::socket &To = Forward ? Pair->m_Target : Pair->m_Caller;
  std::vector<char> Piece(PieceBytes);
  boost::system::error_code Ignored;
  for (;;) {
    auto [Error, Bytes] =
        co_await From.async_read_some(asio::buffer(Piece), Await);
    if (Error && Pair->m_Silent)
      co_return; // The other side does not notice the end.
    if (Error)
      break;
    if (Pair->m_Silent)
      continue;
    if (m_Faults.m_Delay.count() > 0)
      co_await sleepFor(m_Faults.m_Delay);
    if (Forward ? m_Faults.m_CutForward : m_Faults.m_CutBack)
      continue;
    auto [WriteError, Written] = co_await asio::async_write(
        To, asio::buffer(Piece.data(), Bytes), Await);
    if (WriteError)
      break;
  }
  To.shutdown(tcp::socket::shutdown_send, Ignored);
  m_Links.erase(Pair);
}

void FaultProxy::resetAll() {
  boost::system::error_code Ignored;
  for (const LinkPtr &Pair : m_Links) {
    for (tcp::socket *Socket : {&Pair->m_Caller, &Pair->m_Target}) {
      Socket->set_option(asio::socket_base::linger(true, 0), Ignored);
      Socket->close(Ignored);
    }
  }
  m_Links.clear();
}

void FaultProxy::silenceOpen() {
  for (const LinkPtr &Pair : m_Links)
    Pair->m_Silent = true;
}

} // namespace rhubarb::site
