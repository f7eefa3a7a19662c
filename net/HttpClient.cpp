#include "net/Clock.h"
#include "net/HttpBody.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/read_size.hpp>

#include <array>
#include <charconv>
#include <netinet/tcp.h>
#include <poll.h>

namespace rhubarb::net {
namespace {

using asio::ip::tcp;
using ResponseParser = http::response_parser<http::buffer_body>;

constexpr std::array<std::string_view, 8> FailureNames{
    "none",      "connect",   "cut",       "timeout",
    "too_large", "malformed", "cancelled", "withheld"};

// Idle connections are not reused this close to the server's idle timeout,
// because the server could close the connection while the request is sent.
constexpr Duration KeepAliveMargin = 1s;
// Maximum number of responses to earlier requests that are skipped.
constexpr int MaxSkippedResponses = 4;
// Maximum number of interim responses, such as 100 Continue. They may all be
// buffered already, and then no timeout would end the loop that reads them.
constexpr int MaxInterimResponses = 8;
// TCP sends a segment that was lost twice again within this time.
constexpr Duration LongResponseStallTimeout = 1s;
constexpr std::size_t LongResponseMinBytesPerSecond = 32U << 10U;

HttpFailure toFailure(const boost::system::error_code &Error) {
  if (Error == beast::error::timeout)
    return HttpFailure::Timeout;
  if (Error == http::error::body_limit || Error == http::error::header_limit)
    return HttpFailure::TooLarge;
  bool IsHttpError =
      Error.category() == make_error_code(http::error::bad_method).category();
  bool Ended = Error == http::error::end_of_stream ||
               Error == http::error::partial_message;
  return IsHttpError && !Ended ? HttpFailure::Malformed
                               : HttpFailure::Incomplete;
}

// Returns whether the peer has closed the connection or sent unsolicited bytes.
bool isStale(tcp::socket &Socket) {
  boost::system::error_code Error;
  Socket.non_blocking(true, Error);
  char Byte = 0;
  Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Error);
  return Error != asio::error::would_block;
}

// Returns whether a connection has ended in both directions, as after a reset.
bool hasFailed(tcp::socket &Socket) {
  pollfd Polled{Socket.native_handle(), 0, 0};
  return ::poll(&Polled, 1, 0) > 0 &&
         (Polled.revents & (POLLERR | POLLHUP)) != 0;
}

// Returns for how long an idle connection may be reused: the timeout in the
// server's Keep-Alive header, if any, less a margin of at most half of it; but
// no longer than Limit.
Duration idleTimeout(const HttpResponse &Response, Duration Limit) {
  std::string_view Text = Response.header("Keep-Alive");
  std::size_t Position = Text.find("timeout=");
  int Seconds = 0;
  if (Position == std::string_view::npos)
    return Limit;
  Text.remove_prefix(Position + std::string_view("timeout=").size());
  std::from_chars(Text.data(), Text.data() + Text.size(), Seconds);
  Duration ServerTimeout = std::chrono::seconds(Seconds);
  return std::min(Limit,
                  std::max(ServerTimeout - KeepAliveMargin, ServerTimeout / 2));
}

// Returns the request line and header. Sets Chunked if the body must be sent
// with chunked coding.
std::string serializeRequestHead(const HttpRequest &Request,
                                 const std::string &Address, bool &Chunked) {
  http::request<http::empty_body> Message;
  Message.version(11);
  Message.method_string(Request.m_Method);
  Message.target(Request.m_Target);
  for (const HeaderField &Field : Request.m_Headers)
    Message.insert(Field.m_Name, Field.m_Value);
  if (Message.count(http::field::host) == 0)
    Message.set(http::field::host, Address);
  Chunked = Request.m_BodyStream && !Request.m_BodyStream->m_ContentLength;
  bool HasNoBody = Request.m_Body.empty() && !Request.m_BodyStream;
  if (Chunked)
    Message.chunked(true);
  else if (Request.m_BodyStream)
    Message.content_length(*Request.m_BodyStream->m_ContentLength);
  else if (!HasNoBody || (Message.method() != http::verb::get &&
                          Message.method() != http::verb::head))
    Message.content_length(Request.m_Body.size());
  return serializeHead(Message);
}

// Reads the head of a response. Refuses lines that continue the one before
// (RFC 9112, section 5.2), which the parser would join to its value: a server
// in trouble would change a field that callers rely on. Adds the bytes of the
// head to Received.
asio::awaitable<boost::system::error_code> readHead(beast::tcp_stream &Stream,
                                                    ReadBuffer &Buffer,
                                                    ResponseParser &Parser,
                                                    std::size_t &Received) {
  for (;;) {
    boost::system::error_code Error = http::error::need_more;
    if (Buffer.size() > 0) {
      // The parser consumes whole lines with all that continue them.
      std::string_view Unparsed(
          static_cast<const char *>(Buffer.cdata().data()), Buffer.size());
      std::size_t Parsed = Parser.put(Buffer.cdata(), Error);
      std::string_view Lines = Unparsed.substr(0, Parsed);
      if (Lines.find("\r\n ") != std::string_view::npos ||
          Lines.find("\r\n\t") != std::string_view::npos)
        co_return http::error::bad_field;
      Buffer.consume(Parsed);
      Received += Parsed;
    }
    if (Error != http::error::need_more)
      co_return Error;
    std::size_t ReadBytes = beast::read_size(Buffer, MaxUnparsedBytes);
    if (ReadBytes == 0)
      co_return http::error::buffer_overflow;
    auto [ReadError, Bytes] =
        co_await Stream.async_read_some(Buffer.prepare(ReadBytes), Await);
    Buffer.commit(Bytes);
    if (ReadError) {
      Received += Buffer.size();
      co_return ReadError;
    }
  }
}

// Interim responses that HTTP defines. 101 is none of them here, as no request
// asks to switch protocols.
bool isInterim(int Status) {
  return Status == 100 || Status == 102 || Status == 103;
}

// Whether HTTP defines the class of a final status.
bool isFinal(int Status) { return Status >= 200 && Status <= 599; }

} // namespace

std::string_view httpFailureName(HttpFailure Value) {
  return FailureNames[static_cast<std::size_t>(Value)];
}

struct HttpClient::Connection {
  // Counts unparsed bytes against Budget, if it is not null.
  Connection(asio::io_context &Io, BufferBudgetPtr Budget)
      : m_Stream(Io),
        m_Buffer(MaxUnparsedBytes,
                 CountingAllocator<char>(std::move(Budget), std::nullopt)) {}
  beast::tcp_stream m_Stream;
  ReadBuffer m_Buffer;
  Time m_IdleSince{0};
  Duration m_IdleTimeout{0};
};

// A request and its response.
struct HttpClient::Exchange {
  std::string m_Address;
  HttpRequest m_Request;
  SendOptions m_Options;
  std::string m_Unsent; // Unsent header and, unless m_Chunked, m_Body.
  bool m_Chunked = false;
  bool m_IsHead = false;
  bool m_RequestWritten = false; // The whole request has been written.
  bool m_WriteFailed = false;    // A part of it could not be written.
  Time m_Deadline{0};            // May move, see SendOptions::m_StallTimeout.
  bool m_BodyBegun = false;
  std::size_t m_BytesSinceMove = 0; // Of the body, since the deadline moved.
  ConnectionPtr m_Connection;
  std::optional<ResponseParser> m_Parser;
  HttpResult m_Result;

  // Returns an error once the deadline has passed. The time-out of the stream
  // only ends a read that waits, which no read does while bytes never cease.
  boost::system::error_code checkDeadline() const {
    if (now() < m_Deadline)
      return {};
    return beast::error::timeout;
  }
  // Counts bytes of the body, and moves the deadline if the response arrives
  // fast enough, see SendOptions::m_StallTimeout.
  void recordBodyBytes(beast::tcp_stream &Stream, std::size_t Bytes) {
    m_Result.m_ReceivedBytes += Bytes;
    Duration Stall = m_Options.m_StallTimeout;
    if (Stall.count() == 0 || Bytes == 0 || now() >= m_Deadline)
      return;
    m_BytesSinceMove += Bytes;
    double Needed = static_cast<double>(m_Options.m_MinBytesPerSecond) *
                    std::chrono::duration<double>(Stall).count();
    if (m_BodyBegun && static_cast<double>(m_BytesSinceMove) < Needed)
      return;
    m_BodyBegun = true;
    m_BytesSinceMove = 0;
    m_Deadline = std::max(m_Deadline, now() + Stall);
    Stream.expires_after(m_Deadline - now());
  }
  // Returns whether the body has ended with its connection, and that end may
  // be a failure. The kernel reports a failure once, to whichever operation
  // comes first; a read after that sees an end of the stream like any other.
  // The write that has met the failure may still have to be resumed, so the
  // socket is asked as well.
  bool mayBeTruncated(tcp::socket &Socket) const {
    return m_Parser->is_done() && m_Parser->need_eof() && !m_RequestWritten &&
           (m_WriteFailed || hasFailed(Socket));
  }
};

HttpClient::HttpClient(asio::io_context &Io, const Reachability &Reach,
                       std::string BindIp, HttpClientLimits Limits)
    : m_Io(Io), m_Reachability(Reach), m_BindIp(std::move(BindIp)),
      m_Limits(std::move(Limits)) {}

HttpClient::~HttpClient() = default;

BufferBudgetPtr HttpClient::connectionBudget() const {
  return m_Limits.m_CountsConnections ? m_Limits.m_Budget : nullptr;
}

std::size_t HttpClient::bytesKeptFree() const {
  BufferBudgetPtr Budget = connectionBudget();
  return Budget ? Budget->limitBytes() / BudgetKeepDivisor : 0;
}

HttpClient::ConnectionPtr
HttpClient::takeIdleConnection(const std::string &Address, Duration MaxIdle) {
  auto Found = m_IdleConnections.find(Address);
  if (Found == m_IdleConnections.end())
    return nullptr;
  auto &Pooled = Found->second;
  while (!Pooled.empty()) {
    ConnectionPtr Candidate = std::move(Pooled.back());
    Pooled.pop_back();
    Duration Idle = now() - Candidate->m_IdleSince;
    if (Idle < Candidate->m_IdleTimeout &&
        (MaxIdle.count() == 0 || Idle < MaxIdle) &&
        !isStale(Candidate->m_Stream.socket()))
      return Candidate;
  }
  return nullptr;
}

void HttpClient::closeExpiredConnections(Time Now) {
  for (auto Position = m_IdleConnections.begin();
       Position != m_IdleConnections.end();) {
    auto &Pooled = Position->second;
    while (!Pooled.empty() &&
           Now - Pooled.front()->m_IdleSince >= Pooled.front()->m_IdleTimeout)
      Pooled.pop_front();
    Position = Pooled.empty() ? m_IdleConnections.erase(Position)
                              : std::next(Position);
  }
}

std::size_t HttpClient::idleConnections() const {
  std::size_t Sum = 0;
  for (const auto &[Address, Pooled] : m_IdleConnections)
    Sum += Pooled.size();
  return Sum;
}

asio::awaitable<HttpClient::ConnectionPtr>
HttpClient::connect(std::string Address, Time Deadline,
                    std::shared_ptr<Cancellation> Cancel) {
  Result<tcp::endpoint> Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    co_return nullptr;
  Duration Limit = std::min(m_Limits.m_ConnectTimeout, Deadline - now());
  if (Limit <= Duration{0})
    co_return nullptr;
  if (!m_Reachability.allows(Endpoint.value().address().to_string())) {
    // A network partition drops packets, so connecting times out.
    asio::steady_timer Timer(m_Io, Limit);
    co_await Timer.async_wait(Await);
    co_return nullptr;
  }
  auto Created = std::make_shared<Connection>(m_Io, connectionBudget());
  boost::system::error_code Error;
  tcp::socket &Socket = Created->m_Stream.socket();
  Socket.open(tcp::v4(), Error);
  if (!Error && !m_BindIp.empty()) {
    Socket.set_option(tcp::socket::reuse_address(true), Error);
    Socket.bind(tcp::endpoint(asio::ip::make_address(m_BindIp), 0), Error);
  }
  if (Error)
    co_return nullptr;
  if (Cancel)
    Cancel->onCancel([Created] { Created->m_Stream.close(); });
  Created->m_Stream.expires_after(Limit);
  auto [ConnectError] =
      co_await Created->m_Stream.async_connect(Endpoint.value(), Await);
  if (ConnectError || (Cancel && Cancel->cancelled()))
    co_return nullptr;
  Socket.set_option(tcp::no_delay(true), Error);
  if (m_Limits.m_TcpUserTimeout.count() > 0) {
    using UserTimeout =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    Socket.set_option(
        UserTimeout(static_cast<int>(m_Limits.m_TcpUserTimeout /
                                     std::chrono::milliseconds(1))),
        Error);
  }
  co_return Created;
}

asio::awaitable<bool> HttpClient::openIdleConnection(std::string Address,
                                                     Time Deadline) {
  ConnectionPtr Opened = co_await connect(Address, Deadline, nullptr);
  if (!Opened)
    co_return false;
  keepUnused(Address, std::move(Opened));
  co_return true;
}

void HttpClient::keepUnused(const std::string &Address, ConnectionPtr Opened) {
  auto &Pooled = m_IdleConnections[Address];
  if (Pooled.size() >= m_Limits.m_MaxIdleConnectionsPerAddress)
    return;
  auto Known = m_IdleTimeouts.find(Address);
  Opened->m_Stream.expires_never();
  Opened->m_IdleSince = now();
  Opened->m_IdleTimeout =
      Known == m_IdleTimeouts.end() ? m_Limits.m_MaxIdleTime : Known->second;
  Pooled.push_back(std::move(Opened));
}

bool HttpClient::hasIdleConnection(const std::string &Address,
                                   Duration After) const {
  auto Pooled = m_IdleConnections.find(Address);
  if (Pooled == m_IdleConnections.end())
    return false;
  Time Then = now() + After;
  return std::any_of(Pooled->second.begin(), Pooled->second.end(),
                     [&](const ConnectionPtr &Idle) {
                       return Then - Idle->m_IdleSince < Idle->m_IdleTimeout;
                     });
}

SendOptions longResponseOptions() {
  SendOptions Options;
  Options.m_StallTimeout = LongResponseStallTimeout;
  Options.m_MinBytesPerSecond = LongResponseMinBytesPerSecond;
  return Options;
}

asio::awaitable<HttpResult> HttpClient::send(std::string Address,
                                             HttpRequest Request, Time Deadline,
                                             bool NewConnection) {
  SendOptions Options;
  Options.m_NewConnection = NewConnection;
  return send(std::move(Address), std::move(Request), Deadline, Options);
}

asio::awaitable<HttpResult> HttpClient::send(std::string Address,
                                             HttpRequest Request, Time Deadline,
                                             SendOptions Options) {
  auto State = std::make_shared<Exchange>();
  State->m_Address = std::move(Address);
  State->m_Request = std::move(Request);
  State->m_Options = std::move(Options);
  State->m_IsHead = State->m_Request.m_Method == "HEAD";
  State->m_Deadline = Deadline;
  std::shared_ptr<Cancellation> Cancel = State->m_Options.m_Cancellation;
  std::string Head = serializeRequestHead(State->m_Request, State->m_Address,
                                          State->m_Chunked);
  HttpResult &Result = State->m_Result;
  bool NewConnection = State->m_Options.m_NewConnection;
  for (;;) {
    ConnectionPtr Idle =
        NewConnection ? nullptr
                      : takeIdleConnection(State->m_Address,
                                           State->m_Options.m_MaxIdleTime);
    Result.m_ReusedConnection = Idle != nullptr;
    if (Idle) {
      Result.m_IdleTime = now() - Idle->m_IdleSince;
    } else {
      Time Start = now();
      Idle = co_await connect(State->m_Address, Deadline, Cancel);
      Result.m_ConnectTime = now() - Start;
    }
    if (Cancel && Cancel->cancelled()) {
      Result.m_Failure = HttpFailure::Cancelled;
      break;
    }
    Duration Remaining = Deadline - now();
    Result.m_Failure = HttpFailure::Connect;
    if (!Idle || Remaining <= Duration{0})
      break;
    if (!Result.m_ReusedConnection && State->m_Options.m_MaySend &&
        !State->m_Options.m_MaySend()) {
      Result.m_Failure = HttpFailure::Withheld;
      keepUnused(State->m_Address, std::move(Idle));
      break;
    }
    State->m_Connection = std::move(Idle);
    std::string PeerIp =
        State->m_Address.substr(0, State->m_Address.rfind(':'));
    if (!m_Reachability.allows(PeerIp)) {
      asio::steady_timer Timer(m_Io, Remaining);
      co_await Timer.async_wait(Await);
      Result.m_Failure = HttpFailure::Timeout;
      break;
    }
    State->m_Connection->m_Stream.expires_after(Remaining);
    if (Cancel)
      Cancel->onCancel(
          [Held = State->m_Connection] { Held->m_Stream.close(); });
    State->m_Unsent = Head;
    if (!State->m_Chunked)
      State->m_Unsent += State->m_Request.m_Body;
    boost::system::error_code Error;
    std::size_t Sent = writeWithoutBlocking(
        State->m_Connection->m_Stream.socket(), State->m_Unsent, Error);
    if (Error && Result.m_ReusedConnection) {
      // The pooled connection was closed, so no byte was sent.
      NewConnection = true;
      continue;
    }
    if (Error)
      break;
    State->m_Unsent.erase(0, Sent);
    co_await transfer(State);
    if (Result.m_Failure != HttpFailure::None)
      State->m_Connection->m_Stream.close(); // Ends an unfinished upload.
    if (!m_Reachability.allows(PeerIp))
      Result.m_Failure = HttpFailure::Timeout;
    if (Cancel && Cancel->cancelled() && Result.m_Failure != HttpFailure::None)
      Result.m_Failure = HttpFailure::Cancelled;
    break;
  }
  if (Cancel && !Result.m_Response.m_BodyStream)
    Cancel->onCancel(nullptr);
  State->m_Connection.reset();
  co_return std::move(Result);
}

// Reads the response while the rest of the request is still being written: a
// server may respond, and close, before it has read the whole request.
asio::awaitable<void> HttpClient::transfer(std::shared_ptr<Exchange> State) {
  HttpResult &Result = State->m_Result;
  State->m_RequestWritten =
      State->m_Unsent.empty() && !State->m_Request.m_BodyStream &&
      !(State->m_Chunked && !State->m_Request.m_Body.empty());
  if (!State->m_RequestWritten) {
    std::optional<BodyReader> Reader;
    if (State->m_Request.m_BodyStream)
      Reader.emplace(State->m_Request.m_BodyStream);
    asio::co_spawn(m_Io, writeRestOfRequest(State, std::move(Reader)),
                   asio::detached);
  }
  Result.m_Failure = HttpFailure::None;
  beast::tcp_stream &Stream = State->m_Connection->m_Stream;
  bool Head = co_await readResponseHead(State);
  if (!Head)
    co_return;
  ResponseParser &Parser = *State->m_Parser;
  std::string &Body = Result.m_Response.m_Body;
  auto Buffered =
      std::make_shared<BufferedBytes>(m_Limits.m_Budget, bytesKeptFree());
  Result.m_Response.m_Buffered = Buffered;
  while (!Parser.is_done() && Body.size() < m_Limits.m_MaxBufferedBodyBytes &&
         Buffered->reserve(capacityForRead(Body))) {
    std::size_t BytesBefore = Body.size();
    auto Error = co_await readBodyFragment(
        Stream, State->m_Connection->m_Buffer, Parser, Body);
    Buffered->set(Body.capacity());
    State->recordBodyBytes(Stream, Body.size() - BytesBefore);
    if (!Error && !Parser.is_done())
      Error = State->checkDeadline();
    if (Error) {
      Result.m_Failure = toFailure(Error);
      co_return;
    }
  }
  bool CloseDelimited = Parser.need_eof() && !State->m_IsHead;
  if ((CloseDelimited && !m_Limits.m_AcceptCloseDelimited) ||
      State->mayBeTruncated(Stream.socket())) {
    Result.m_Failure = HttpFailure::Incomplete;
    co_return;
  }
  if (!Parser.is_done())
    Result.m_Response.m_BodyStream = streamBody(State);
  else
    returnToPool(*State);
}

// Goes on after an early response: the server may need the rest of the body.
asio::awaitable<void>
HttpClient::writeRestOfRequest(std::shared_ptr<Exchange> State,
                               std::optional<BodyReader> Reader) {
  ConnectionPtr Held = State->m_Connection;
  boost::system::error_code Error;
  if (!State->m_Unsent.empty()) {
    auto [Failed, Bytes] = co_await asio::async_write(
        Held->m_Stream, asio::buffer(State->m_Unsent), Await);
    Error = Failed;
  }
  if (State->m_Chunked && !Error) {
    BodyFragment FirstFragment;
    FirstFragment.m_Bytes = State->m_Request.m_Body;
    Error = co_await writeBodyFragment(Held->m_Stream, FirstFragment, true);
  }
  bool Ended = !Reader;
  while (!Error && !Ended) {
    BodyFragment Fragment = co_await Reader->readNext();
    if (Fragment.m_Aborted) {
      Held->m_Stream.close(); // A truncated body must not look complete.
      co_return;
    }
    Error =
        co_await writeBodyFragment(Held->m_Stream, Fragment, State->m_Chunked);
    Ended = Fragment.m_Last;
  }
  State->m_RequestWritten = !Error;
  State->m_WriteFailed = bool(Error);
}

// Reads response headers up to the one that belongs to the request. On failure
// sets HttpResult::m_Failure and returns false.
asio::awaitable<bool>
HttpClient::readResponseHead(std::shared_ptr<Exchange> State) {
  HttpResult &Result = State->m_Result;
  beast::tcp_stream &Stream = State->m_Connection->m_Stream;
  ReadBuffer &Buffer = State->m_Connection->m_Buffer;
  int Interim = 0;
  for (;;) {
    ResponseParser &Parser = State->m_Parser.emplace();
    Parser.body_limit(
        std::min(m_Limits.m_MaxBodyBytes, State->m_Options.m_MaxBodyBytes));
    Parser.skip(State->m_IsHead);
    auto Error =
        co_await readHead(Stream, Buffer, Parser, Result.m_ReceivedBytes);
    if (Error) {
      Result.m_Failure = toFailure(Error);
      co_return false;
    }
    Result.m_Response = HttpResponse{};
    Result.m_Response.m_Status = static_cast<int>(Parser.get().result_int());
    Result.m_Response.m_Headers = copyHeaders(Parser.get());
    int Status = Result.m_Response.m_Status;
    if (!isFinal(Status)) {
      if (isInterim(Status) && ++Interim <= MaxInterimResponses)
        continue;
      Result.m_Failure = HttpFailure::Malformed;
      co_return false;
    }
    if (!State->m_Options.m_MatchesRequest ||
        State->m_Options.m_MatchesRequest(Result.m_Response))
      co_return true;
    std::string Skipped;
    while (!Parser.is_done() && !Error) {
      Skipped.clear();
      Error = co_await readBodyFragment(Stream, Buffer, Parser, Skipped);
      if (!Error)
        Error = State->checkDeadline();
    }
    if (Error || Parser.need_eof() ||
        ++Result.m_SkippedResponses > MaxSkippedResponses) {
      Result.m_Failure = HttpFailure::Incomplete;
      co_return false;
    }
  }
}

// Returns the connection to the pool if it can be reused.
void HttpClient::returnToPool(Exchange &State) {
  Connection &Returned = *State.m_Connection;
  if (!State.m_Parser->keep_alive() || State.m_Parser->need_eof() ||
      !State.m_RequestWritten || State.m_Result.m_SkippedResponses > 0 ||
      Returned.m_Buffer.size() != 0)
    return;
  auto &Pooled = m_IdleConnections[State.m_Address];
  if (Pooled.size() >= m_Limits.m_MaxIdleConnectionsPerAddress)
    return;
  Returned.m_Stream.expires_never();
  Returned.m_IdleSince = now();
  Returned.m_IdleTimeout =
      idleTimeout(State.m_Result.m_Response, m_Limits.m_MaxIdleTime);
  if (Returned.m_IdleTimeout < m_Limits.m_MaxIdleTime)
    m_IdleTimeouts[State.m_Address] = Returned.m_IdleTimeout;
  else
    m_IdleTimeouts.erase(State.m_Address);
  Pooled.push_back(State.m_Connection);
}

// Returns a stream of the rest of a long body. The connection returns to the
// pool at the end of the body.
BodyStreamPtr HttpClient::streamBody(const std::shared_ptr<Exchange> &State) {
  auto Stream = std::make_shared<BodyStream>();
  if (auto Length = State->m_Parser->content_length())
    Stream->m_ContentLength = *Length;
  Stream->m_ReadNext =
      [this, State,
       Held = State->m_Connection]() -> asio::awaitable<BodyFragment> {
    BodyFragment Fragment;
    auto Error = co_await readCountedFragment(
        Held->m_Stream, Held->m_Buffer, *State->m_Parser, Fragment,
        connectionBudget(), bytesKeptFree());
    State->recordBodyBytes(Held->m_Stream, Fragment.m_Bytes.size());
    if (!Error && !State->m_Parser->is_done())
      Error = State->checkDeadline();
    Fragment.m_Aborted =
        Error || State->mayBeTruncated(Held->m_Stream.socket());
    Fragment.m_Last = !Fragment.m_Aborted && State->m_Parser->is_done();
    if (Fragment.m_Last) {
      State->m_Connection = Held;
      returnToPool(*State);
      State->m_Connection.reset();
    }
    co_return Fragment;
  };
  return Stream;
}

} // namespace rhubarb::net
