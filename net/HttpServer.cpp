#include "net/HttpBody.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

namespace rhubarb::net {
namespace {

using asio::ip::tcp;
using RequestParser = http::request_parser<http::buffer_body>;

// Limit on the bodies of control requests; fits snapshots and key handovers.
constexpr std::size_t MaxControlBodyBytes = 16U << 20U;
// Delay before the next accept after an error such as EMFILE.
constexpr Duration AcceptRetryDelay = 20ms;
// Maximum size of the first read of a request.
constexpr std::size_t ReadAheadBytes = 4096;
// Limits of the lingering close, which reads the rest of a request that was
// answered early. Otherwise closing could reset the connection before the
// client has read the response.
constexpr std::size_t MaxLingerBytes = 1U << 20U;
constexpr Duration LingerTimeout = 1s;

HttpRequest toHttpRequest(RequestParser &Parser, const std::string &PeerIp) {
  const auto &Message = Parser.get();
  HttpRequest Request;
  Request.m_Method = Message.method_string();
  Request.m_Target = Message.target();
  Request.m_Headers = copyHeaders(Message);
  Request.m_PeerIp = PeerIp;
  return Request;
}

// Returns the error kind for a request that could not be read, or None if the
// client has disconnected.
ErrorKind readErrorKind(const boost::system::error_code &Error) {
  if (Error == http::error::body_limit)
    return ErrorKind::BodyTooLarge;
  if (Error == http::error::header_limit)
    return ErrorKind::HeaderTooLarge;
  bool Disconnected =
      Error == http::error::end_of_stream ||
      Error == http::error::partial_message ||
      Error.category() != make_error_code(http::error::bad_method).category();
  return Disconnected ? ErrorKind::None : ErrorKind::BadRequest;
}

// Sets State.m_Closed if the client has closed the connection.
void checkForClose(tcp::socket &Socket, ClientConnection &State) {
  boost::system::error_code Error;
  char Byte = 0;
  Socket.non_blocking(true, Error);
  Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Error);
  State.m_Closed = Error && Error != asio::error::would_block;
}

// Watches for the close of a connection while its request is handled. A
// pipelined request is left in the socket for the next read. Owner keeps the
// socket alive until the watch has ended.
void watchForClose(tcp::socket &Socket, std::shared_ptr<ClientConnection> State,
                   std::shared_ptr<void> Owner) {
  Socket.async_wait(
      tcp::socket::wait_read,
      [State = std::move(State), &Socket,
       Owner = std::move(Owner)](const boost::system::error_code &Error) {
        if (Error)
          return;
        checkForClose(Socket, *State);
        if (State->m_Closed && State->m_OnClose)
          State->m_OnClose();
      });
}

bool hasNoBody(int Status) {
  return Status < 200 || Status == 204 || Status == 304;
}

// Returns the status line and header of a response. Sets Chunked if the body
// must be sent with chunked coding.
std::string responseHead(const HttpResponse &Response, bool KeepAlive,
                         bool IsHead, bool &Chunked) {
  http::response<http::empty_body> Message;
  Message.version(11);
  Message.result(static_cast<unsigned>(Response.m_Status));
  for (const HeaderField &Field : Response.m_Headers)
    Message.insert(Field.m_Name, Field.m_Value);
  Message.keep_alive(KeepAlive);
  Chunked = Response.m_BodyStream && !Response.m_BodyStream->m_ContentLength;
  if (Chunked)
    Message.chunked(true);
  else if (Response.m_BodyStream)
    Message.content_length(*Response.m_BodyStream->m_ContentLength);
  else if (IsHead && Message.has_content_length())
    ; // Keeps the length of the body that a GET would have.
  else if (!hasNoBody(Response.m_Status))
    Message.content_length(Response.m_Body.size());
  return serializeHead(Message);
}

} // namespace

void Cancellation::cancel() {
  m_Cancelled = true;
  if (auto Hook = std::exchange(m_Hook, nullptr))
    Hook();
}

void Cancellation::onCancel(std::function<void()> Hook) {
  m_Hook = std::move(Hook);
  if (m_Cancelled && m_Hook)
    cancel();
}

HttpServerLimits controlServerLimits() {
  HttpServerLimits Limits;
  Limits.m_MaxBodyBytes = MaxControlBodyBytes;
  return Limits;
}

struct HttpServer::Connection {
  Connection(tcp::socket Socket, std::size_t MaxBuffered)
      : m_Stream(std::move(Socket)), m_Buffer(MaxBuffered) {}
  beast::tcp_stream m_Stream;
  beast::flat_buffer m_Buffer;
  std::string m_PeerIp;
  bool m_RequestInProgress = false;
  // The connection exceeds a connection limit; its first request is refused.
  bool m_OverLimit = false;
};

HttpServer::HttpServer(asio::io_context &Io, const Reachability &Reach,
                       HttpServerLimits Limits, HttpHandler Handler)
    : m_Io(Io), m_Reachability(Reach), m_Limits(std::move(Limits)),
      m_Handler(std::move(Handler)), m_Acceptor(Io) {}

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
    return rhubarb::Error{ErrorKind::Internal, "cannot listen on " + Ip + ":" +
                                                   std::to_string(Port) + ": " +
                                                   Error.message()};
  asio::co_spawn(m_Io, acceptLoop(), asio::detached);
  return m_Acceptor.local_endpoint().port();
}

void HttpServer::reportRefusal(ErrorKind Kind) const {
  if (m_OnRefusal)
    m_OnRefusal(Kind);
}

void HttpServer::stopAccepting() {
  m_Stopping = true;
  boost::system::error_code Ignored;
  m_Acceptor.close(Ignored);
  for (const auto &Client : m_Connections)
    if (!Client->m_RequestInProgress)
      Client->m_Stream.cancel();
}

asio::awaitable<void> HttpServer::acceptLoop() {
  while (!m_Stopping) {
    auto [Error, Socket] = co_await m_Acceptor.async_accept(Await);
    if (m_Stopping)
      break;
    if (Error) {
      asio::steady_timer Pause(m_Io, AcceptRetryDelay);
      co_await Pause.async_wait(Await);
      continue;
    }
    boost::system::error_code PeerError;
    auto Peer = Socket.remote_endpoint(PeerError);
    if (PeerError)
      continue;
    Socket.set_option(tcp::no_delay(true), PeerError);
    auto Client = std::make_shared<Connection>(
        std::move(Socket),
        std::max(MaxUnparsedBytes, m_Limits.m_MaxHeaderBytes + ReadAheadBytes));
    Client->m_PeerIp = Peer.address().to_string();
    asio::co_spawn(m_Io, serveConnection(std::move(Client)), asio::detached);
  }
}

asio::awaitable<void> HttpServer::serveConnection(ConnectionPtr Client) {
  int &ConnectionsFromIp = m_ConnectionsPerIp[Client->m_PeerIp];
  Client->m_OverLimit =
      static_cast<int>(m_Connections.size()) >= m_Limits.m_MaxConnections ||
      ConnectionsFromIp >= m_Limits.m_MaxConnectionsPerIp;
  ++ConnectionsFromIp;
  m_Connections.insert(Client);
  while (!m_Stopping) {
    bool KeepAlive = co_await serveRequest(Client);
    if (!KeepAlive)
      break;
    Client->m_RequestInProgress = false;
  }
  boost::system::error_code Ignored;
  Client->m_Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
  m_Connections.erase(Client);
  auto Count = m_ConnectionsPerIp.find(Client->m_PeerIp);
  if (--Count->second == 0)
    m_ConnectionsPerIp.erase(Count);
}

// Reads one request, handles it and writes its response. Returns whether the
// connection can be reused.
asio::awaitable<bool> HttpServer::serveRequest(ConnectionPtr Client) {
  beast::tcp_stream &Stream = Client->m_Stream;
  if (Client->m_Buffer.size() == 0) {
    Stream.expires_after(m_Limits.m_IdleTimeout);
    auto [Error, Bytes] = co_await Stream.async_read_some(
        Client->m_Buffer.prepare(ReadAheadBytes), Await);
    if (Error)
      co_return false;
    Client->m_Buffer.commit(Bytes);
  }
  // From here on, stopAccepting() lets the request finish.
  Client->m_RequestInProgress = true;
  auto Parser = std::make_shared<RequestParser>();
  Parser->header_limit(static_cast<std::uint32_t>(m_Limits.m_MaxHeaderBytes));
  Parser->body_limit(m_Limits.m_MaxBodyBytes);
  Stream.expires_after(m_Limits.m_HeaderTimeout);
  auto [Error, Bytes] = co_await http::async_read_header(
      Stream, Client->m_Buffer, *Parser, Await);
  // Clients behind a simulated partition get no response.
  if (!m_Reachability.allows(Client->m_PeerIp))
    co_return false;
  if (!Error && !Parser->is_done() &&
      beast::iequals(Parser->get()[http::field::expect], "100-continue")) {
    http::response<http::empty_body> Continue{http::status::continue_, 11};
    auto [WriteError, Written] =
        co_await http::async_write(Stream, Continue, Await);
    Error = WriteError;
  }
  std::string Body;
  BufferedBytes Buffered(m_Limits.m_Budget);
  while (!Error && !Parser->is_done() &&
         Body.size() < m_Limits.m_MaxBufferedBodyBytes &&
         Buffered.reserve(capacityForRead(Body))) {
    Stream.expires_after(m_Limits.m_ReadTimeout);
    Error = co_await readBodyFragment(Stream, Client->m_Buffer, *Parser, Body);
    Buffered.set(Body.capacity());
  }
  bool Streams =
      m_Limits.m_MaxBufferedBodyBytes < std::numeric_limits<std::size_t>::max();
  bool BuffersFull = !Error && !Parser->is_done() && !Streams;
  if (Error || Client->m_OverLimit || BuffersFull) {
    ErrorKind Kind = readErrorKind(Error);
    if (BuffersFull)
      Kind = ErrorKind::BuffersFull;
    if (Client->m_OverLimit)
      Kind = ErrorKind::TooManyConnections;
    if (Kind == ErrorKind::None)
      co_return false;
    reportRefusal(Kind);
    HttpResponse Refusal =
        errorResponse(Kind, Error ? Error.message() : std::string());
    Refusal.m_CloseConnection = true;
    bool Ignored = co_await respond(Client, std::move(Refusal), false, false);
    // The connection is closed whatever respond() returns.
    co_return Ignored && false;
  }
  HttpRequest Request = toHttpRequest(*Parser, Client->m_PeerIp);
  Request.m_Body = std::move(Body);
  Request.m_Client = std::make_shared<ClientConnection>();
  if (!Parser->is_done()) {
    Request.m_BodyStream = std::make_shared<BodyStream>();
    if (auto Length = Parser->content_length())
      Request.m_BodyStream->m_ContentLength = *Length;
    Request.m_BodyStream->m_ReadNext =
        [this, Client, Parser,
         State = Request.m_Client]() -> asio::awaitable<BodyFragment> {
      BodyFragment Fragment;
      Client->m_Stream.expires_after(m_Limits.m_ReadTimeout);
      auto ReadError = co_await readBodyFragment(
          Client->m_Stream, Client->m_Buffer, *Parser, Fragment.m_Bytes);
      Client->m_Stream.expires_never();
      Fragment.m_Aborted = bool(ReadError);
      Fragment.m_Last = Parser->is_done();
      if (Fragment.m_Aborted && !State->m_Closed) {
        State->m_Closed = true;
        if (State->m_OnClose)
          State->m_OnClose();
      } else if (Fragment.m_Last) {
        watchForClose(Client->m_Stream.socket(), State, Client);
      }
      co_return Fragment;
    };
  }
  bool IsHead = Parser->get().method() == http::verb::head;
  bool KeepAlive = Parser->get().keep_alive();
  BodyStreamPtr RequestBody = Request.m_BodyStream;
  HttpResponse Response = co_await handle(Client, std::move(Request));
  // The partition may have begun while the request was handled.
  if (!m_Reachability.allows(Client->m_PeerIp))
    co_return false;
  KeepAlive = KeepAlive && Parser->is_done() && !m_Stopping &&
              !m_KeepAliveDisabled && !Response.m_CloseConnection;
  // The client may still be sending the body, which requires a lingering close.
  if (!Parser->is_done())
    Response.m_CloseConnection = true;
  co_return co_await respond(Client, std::move(Response), KeepAlive, IsHead,
                             std::move(RequestBody));
}

// Runs the handler while watching for the client to disconnect.
asio::awaitable<HttpResponse> HttpServer::handle(ConnectionPtr Client,
                                                 HttpRequest Request) {
  HttpResponse Response;
  Client->m_Stream.expires_never();
  ++m_ActiveRequests;
  if (!Request.m_BodyStream) {
    // A process that was starved of CPU may read requests long after their
    // clients have disconnected.
    checkForClose(Client->m_Stream.socket(), *Request.m_Client);
    watchForClose(Client->m_Stream.socket(), Request.m_Client, Client);
  }
  try {
    Response = co_await m_Handler(std::move(Request));
  } catch (const std::exception &Exception) {
    Response = errorResponse(ErrorKind::Internal, Exception.what());
  }
  --m_ActiveRequests;
  boost::system::error_code Ignored;
  Client->m_Stream.socket().cancel(Ignored); // Stops watching for a disconnect.
  co_return Response;
}

// Writes a response. Returns whether the connection can be reused.
asio::awaitable<bool> HttpServer::respond(ConnectionPtr Client,
                                          HttpResponse Response, bool KeepAlive,
                                          bool IsHead,
                                          BodyStreamPtr RequestBody) {
  if (Response.m_AbortConnection)
    co_return false;
  beast::tcp_stream &Stream = Client->m_Stream;
  bool Chunked = false;
  std::string Text = responseHead(Response, KeepAlive, IsHead, Chunked);
  BodyFragment FirstFragment;
  if (!IsHead && !hasNoBody(Response.m_Status))
    FirstFragment.m_Bytes = std::move(Response.m_Body);
  if (Response.m_TruncateAfterBytes) {
    FirstFragment.m_Bytes.resize(
        std::min(*Response.m_TruncateAfterBytes, FirstFragment.m_Bytes.size()));
    KeepAlive = false;
  }
  if (!Chunked)
    Text += std::exchange(FirstFragment.m_Bytes, {}) + Response.m_ExtraBytes;
  ++m_ActiveRequests; // The request is active until its response is written.
  Stream.expires_after(m_Limits.m_WriteTimeout);
  boost::system::error_code Error;
  std::size_t Sent = writeWithoutBlocking(Stream.socket(), Text, Error);
  if (!Error && Sent < Text.size()) {
    auto [WriteError, Written] = co_await asio::async_write(
        Stream, asio::buffer(Text.data() + Sent, Text.size() - Sent), Await);
    Error = WriteError;
  }
  if (!Error && !FirstFragment.m_Bytes.empty())
    Error = co_await writeBodyFragment(Stream, FirstFragment, Chunked);
  while (!Error && Response.m_BodyStream && !IsHead) {
    BodyFragment Fragment = co_await Response.m_BodyStream->m_ReadNext();
    if (Fragment.m_Aborted) {
      Error = asio::error::connection_aborted; // Leaves the body incomplete.
      break;
    }
    Stream.expires_after(m_Limits.m_WriteTimeout);
    Error = co_await writeBodyFragment(Stream, Fragment, Chunked);
    if (Fragment.m_Last)
      break;
  }
  if (!Error && Response.m_CloseConnection) {
    boost::system::error_code Ignored;
    Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
    if (RequestBody)
      co_await waitForBodyReader(Client, std::move(RequestBody));
  }
  --m_ActiveRequests;
  if (!Error && Response.m_CloseConnection)
    co_await lingeringClose(Client);
  co_return KeepAlive && !Error;
}

// Waits until nobody reads the body of a request that was answered early. A
// client that has stopped sending ends the wait.
asio::awaitable<void> HttpServer::waitForBodyReader(ConnectionPtr Client,
                                                    BodyStreamPtr Body) {
  auto Timer = std::make_shared<asio::steady_timer>(m_Io);
  Body->m_OnUnread = [Weak = std::weak_ptr(Timer)] {
    if (auto Waiting = Weak.lock())
      Waiting->cancel();
  };
  while (Body->m_Readers > 0) {
    std::uint64_t Before = Body->m_FragmentsRead;
    Timer->expires_after(LingerTimeout);
    co_await Timer->async_wait(Await);
    if (Body->m_ReadOutstanding && Body->m_FragmentsRead == Before)
      Client->m_Stream.cancel(); // Only the reader's read is outstanding.
  }
}

// Reads until the client closes the connection or a limit is reached.
asio::awaitable<void> HttpServer::lingeringClose(ConnectionPtr Client) {
  Client->m_Stream.expires_after(LingerTimeout);
  for (std::size_t Total = 0; Total < MaxLingerBytes;) {
    Client->m_Buffer.clear();
    auto [Error, Bytes] = co_await Client->m_Stream.async_read_some(
        Client->m_Buffer.prepare(BodyReadBytes), Await);
    if (Error)
      co_return;
    Total += Bytes;
  }
}

std::size_t writeWithoutBlocking(tcp::socket &Socket, std::string_view Text,
                                 boost::system::error_code &Error) {
  Socket.non_blocking(true, Error);
  if (Error)
    return 0;
  std::size_t Sent =
      Socket.write_some(asio::buffer(Text.data(), Text.size()), Error);
  if (Error == asio::error::would_block || Error == asio::error::try_again)
    Error = {};
  return Sent;
}

asio::awaitable<boost::system::error_code>
writeBodyFragment(beast::tcp_stream &Stream, const BodyFragment &Fragment,
                  bool Chunked) {
  boost::system::error_code Error;
  if (!Fragment.m_Bytes.empty()) {
    auto Body = asio::buffer(Fragment.m_Bytes);
    if (Chunked) {
      auto [WriteError, Written] =
          co_await asio::async_write(Stream, http::make_chunk(Body), Await);
      Error = WriteError;
    } else {
      auto [WriteError, Written] =
          co_await asio::async_write(Stream, Body, Await);
      Error = WriteError;
    }
  }
  if (!Error && Fragment.m_Last && Chunked) {
    auto [WriteError, Written] =
        co_await asio::async_write(Stream, http::make_chunk_last(), Await);
    Error = WriteError;
  }
  co_return Error;
}

} // namespace rhubarb::net
