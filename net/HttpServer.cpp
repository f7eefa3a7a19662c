#include "net/Http.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace rhubarb::net {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr auto Await = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t MaxControlBytes = 16U << 20U; // Snapshots, hand-overs.
constexpr Duration AcceptPause = 20ms; // After an error such as too many files.

HttpRequest fromBeast(http::request<http::string_body> &Message,
                      const std::string &PeerIp) {
  HttpRequest Request;
  Request.m_Method = Message.method_string();
  Request.m_Target = Message.target();
  for (const auto &Field : Message)
    Request.m_Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Request.m_Body = std::move(Message.body());
  Request.m_PeerIp = PeerIp;
  return Request;
}

http::response<http::string_body> toBeast(HttpResponse Response, bool KeepAlive,
                                          bool Head) {
  http::response<http::string_body> Message;
  Message.version(11);
  Message.result(static_cast<unsigned>(Response.m_Status));
  for (const HeaderField &Field : Response.m_Headers)
    Message.insert(Field.m_Name, Field.m_Value);
  Message.keep_alive(KeepAlive);
  std::size_t Length = Response.m_Body.size();
  if (!Head)
    Message.body() = std::move(Response.m_Body);
  Message.content_length(Length);
  return Message;
}

// Returns the error kind for a request that could not be read, or None when
// the sender has just gone.
ErrorKind readErrorKind(const boost::system::error_code &Error) {
  if (Error == http::error::body_limit)
    return ErrorKind::BodyTooLarge;
  bool Gone =
      Error == http::error::end_of_stream ||
      Error == http::error::partial_message ||
      Error.category() != make_error_code(http::error::bad_method).category();
  return Gone ? ErrorKind::None : ErrorKind::BadRequest;
}

// Watches for the end of a connection while its request is handled. A request
// that follows early is left for the next read.
// Owner keeps the socket until the watch has ended.
std::shared_ptr<CallerWatch> watchCaller(tcp::socket &Socket,
                                         std::shared_ptr<void> Owner) {
  auto Watch = std::make_shared<CallerWatch>();
  Socket.async_wait(
      tcp::socket::wait_read, [Watch, &Socket, Owner = std::move(Owner)](
                                  const boost::system::error_code &Error) {
        if (Error)
          return;
        boost::system::error_code PeekError;
        char Byte = 0;
        Socket.non_blocking(true, PeekError);
        Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek,
                       PeekError);
        Watch->m_Gone = PeekError && PeekError != asio::error::would_block;
        if (Watch->m_Gone && Watch->m_OnGone)
          Watch->m_OnGone();
      });
  return Watch;
}

// Sends the whole header and the first bytes of the body only.
asio::awaitable<void> writeCut(beast::tcp_stream &Stream,
                               http::response<http::string_body> &Message,
                               std::size_t Bytes) {
  std::size_t Stated = Message.body().size();
  Message.body().resize(std::min(Bytes, Stated));
  Message.content_length(Stated);
  http::response_serializer<http::string_body> Serializer(Message);
  co_await http::async_write(Stream, Serializer, Await);
}

} // namespace

HttpServerLimits controlServerLimits() {
  HttpServerLimits Limits;
  Limits.m_MaxBodyBytes = MaxControlBytes;
  return Limits;
}

struct HttpServer::Connection {
  explicit Connection(tcp::socket Socket) : m_Stream(std::move(Socket)) {}
  beast::tcp_stream m_Stream;
  beast::flat_buffer m_Buffer;
  std::string m_PeerIp;
  bool m_Busy = false;
};

HttpServer::HttpServer(asio::io_context &Io, const Reachability &Reach,
                       HttpServerLimits Limits, HttpHandler Handler)
    : m_Io(Io), m_Reach(Reach), m_Limits(Limits), m_Handler(std::move(Handler)),
      m_Acceptor(Io) {}

Result<std::uint16_t> HttpServer::start(const std::string &Ip,
                                        std::uint16_t Port) {
  boost::system::error_code Error;
  auto Address = asio::ip::make_address(Ip, Error);
  tcp::endpoint Endpoint(Address, Port);
  if (!Error)
    m_Acceptor.open(Endpoint.protocol(), Error);
  if (!Error)
    m_Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    m_Acceptor.bind(Endpoint, Error);
  if (!Error)
    m_Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return Fault{ErrorKind::Internal, "cannot listen on " + Ip + ":" +
                                          std::to_string(Port) + ": " +
                                          Error.message()};
  asio::co_spawn(m_Io, acceptLoop(), asio::detached);
  return m_Acceptor.local_endpoint().port();
}

void HttpServer::refused(ErrorKind Kind) const {
  if (m_OnRefusal)
    m_OnRefusal(Kind);
}

void HttpServer::stopAccepting() {
  m_Stopping = true;
  boost::system::error_code Ignored;
  m_Acceptor.close(Ignored);
  for (const auto &Client : m_Connections)
    if (!Client->m_Busy)
      Client->m_Stream.cancel();
}

asio::awaitable<void> HttpServer::acceptLoop() {
  while (!m_Stopping) {
    auto [Error, Socket] = co_await m_Acceptor.async_accept(Await);
    if (m_Stopping)
      break;
    if (Error) {
      asio::steady_timer Pause(m_Io, AcceptPause);
      co_await Pause.async_wait(Await);
      continue;
    }
    boost::system::error_code PeerError;
    auto Peer = Socket.remote_endpoint(PeerError);
    if (PeerError)
      continue;
    Socket.set_option(tcp::no_delay(true), PeerError);
    auto Client = std::make_shared<Connection>(std::move(Socket));
    Client->m_PeerIp = Peer.address().to_string();
    asio::co_spawn(m_Io, serve(std::move(Client)), asio::detached);
  }
}

asio::awaitable<void> HttpServer::serve(std::shared_ptr<Connection> Client) {
  int &FromIp = m_PerIp[Client->m_PeerIp];
  bool TooMany =
      static_cast<int>(m_Connections.size()) >= m_Limits.m_MaxConnections ||
      FromIp >= m_Limits.m_MaxConnectionsPerIp;
  ++FromIp;
  m_Connections.insert(Client);
  bool KeepAlive = true;
  while (KeepAlive && !m_Stopping) {
    http::request_parser<http::string_body> Parser;
    Parser.header_limit(static_cast<std::uint32_t>(m_Limits.m_MaxHeaderBytes));
    Parser.body_limit(m_Limits.m_MaxBodyBytes);
    Client->m_Stream.expires_after(m_Limits.m_IdleTimeout);
    auto [Error, Bytes] = co_await http::async_read_header(
        Client->m_Stream, Client->m_Buffer, Parser, Await);
    // From here on a stop waits for this request.
    Client->m_Busy = true;
    if (!Error && !m_Reach.allows(Client->m_PeerIp))
      break;
    if (!Error && !Parser.is_done()) {
      Client->m_Stream.expires_after(m_Limits.m_ReadTimeout);
      if (Parser.get()[http::field::expect] == "100-continue") {
        http::response<http::empty_body> Continue{http::status::continue_, 11};
        auto [WriteError, Written] =
            co_await http::async_write(Client->m_Stream, Continue, Await);
        if (WriteError)
          break;
      }
      auto [BodyError, BodyBytes] = co_await http::async_read(
          Client->m_Stream, Client->m_Buffer, Parser, Await);
      Error = BodyError;
    }
    HttpResponse Response;
    bool Head = false;
    if (Error || TooMany) {
      ErrorKind Kind =
          TooMany ? ErrorKind::TooManyConnections : readErrorKind(Error);
      if (Kind == ErrorKind::None)
        break;
      refused(Kind);
      Response = errorResponse(Kind, Error ? Error.message() : std::string());
      KeepAlive = false;
    } else {
      auto Message = Parser.release();
      Head = Message.method() == http::verb::head;
      KeepAlive = Message.keep_alive();
      Client->m_Stream.expires_never();
      ++m_Active;
      HttpRequest Request = fromBeast(Message, Client->m_PeerIp);
      Request.m_Caller = watchCaller(Client->m_Stream.socket(), Client);
      try {
        Response = co_await m_Handler(std::move(Request));
      } catch (const std::exception &Thrown) {
        Response = errorResponse(ErrorKind::Internal, Thrown.what());
      }
      --m_Active;
      boost::system::error_code Ignored;
      Client->m_Stream.socket().cancel(Ignored); // Ends the watch.
    }
    if (!m_Reach.allows(Client->m_PeerIp))
      break;
    std::optional<std::size_t> CutAfter = Response.m_CutAfterBytes;
    auto Message = toBeast(std::move(Response), KeepAlive && !m_Stopping, Head);
    if (CutAfter) {
      co_await writeCut(Client->m_Stream, Message, *CutAfter);
      break;
    }
    Client->m_Stream.expires_after(m_Limits.m_WriteTimeout);
    ++m_Active; // An answer that is being written is still under way.
    auto [WriteError, Written] =
        co_await http::async_write(Client->m_Stream, Message, Await);
    --m_Active;
    Client->m_Busy = false;
    if (WriteError)
      break;
  }
  boost::system::error_code Ignored;
  Client->m_Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
  m_Connections.erase(Client);
  auto Entry = m_PerIp.find(Client->m_PeerIp);
  if (--Entry->second == 0)
    m_PerIp.erase(Entry);
}

} // namespace rhubarb::net
