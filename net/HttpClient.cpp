#include "net/Clock.h"
#include "net/HttpBody.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <charconv>
#include <netinet/tcp.h>

namespace rhubarb::net {
namespace {

using asio::ip::tcp;
using ResponseParser = http::response_parser<http::buffer_body>;

constexpr std::array<std::string_view, 7> FailureNames{
    "none", "connect", "cut", "timeout", "too_large", "malformed", "cancelled"};

// Left between the time for which a server keeps an idle connection and the
// last use of it: a request must not cross the server's close.
constexpr Duration KeepAliveMargin = 1s;
// Responses to earlier requests that are skipped while one's own is awaited.
constexpr int MaxSkipped = 4;
// Interim responses, such as 100 Continue, before the answer. They may all be
// in the buffer already, where no time-out would end their reading.
constexpr int MaxInterim = 8;

HttpFailure failureOf(const boost::system::error_code &Error) {
  if (Error == beast::error::timeout)
    return HttpFailure::Timeout;
  if (Error == http::error::body_limit || Error == http::error::header_limit)
    return HttpFailure::TooLarge;
  bool Http =
      Error.category() == make_error_code(http::error::bad_method).category();
  bool Ended = Error == http::error::end_of_stream ||
               Error == http::error::partial_message;
  return Http && !Ended ? HttpFailure::Malformed : HttpFailure::Incomplete;
}

// Returns whether the other side has closed or sent something unasked.
bool isStale(tcp::socket &Socket) {
  boost::system::error_code Error;
  Socket.non_blocking(true, Error);
  char Byte = 0;
  Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Error);
  return Error != asio::error::would_block;
}

// Returns for how long a server keeps an idle connection, by its Keep-Alive
// header; Most when it does not say.
Duration keptFor(const HttpResponse &Response, Duration Most) {
  std::string_view Text = Response.header("Keep-Alive");
  std::size_t Mark = Text.find("timeout=");
  int Seconds = 0;
  if (Mark == std::string_view::npos)
    return Most;
  Text.remove_prefix(Mark + std::string_view("timeout=").size());
  std::from_chars(Text.data(), Text.data() + Text.size(), Seconds);
  Duration Stated = std::chrono::seconds(Seconds);
  return std::min(Most, std::max(Stated - KeepAliveMargin, Stated / 2));
}

// Returns the request's head; the body follows as stated there.
std::string requestHead(const HttpRequest &Request, const std::string &Address,
                        bool &Chunked) {
  http::request<http::empty_body> Message;
  Message.version(11);
  Message.method_string(Request.m_Method);
  Message.target(Request.m_Target);
  for (const HeaderField &Field : Request.m_Headers)
    Message.insert(Field.m_Name, Field.m_Value);
  if (Message.count(http::field::host) == 0)
    Message.set(http::field::host, Address);
  Chunked = Request.m_BodyStream && !Request.m_BodyStream->m_ContentLength;
  bool Bodyless = Request.m_Body.empty() && !Request.m_BodyStream;
  if (Chunked)
    Message.chunked(true);
  else if (Request.m_BodyStream)
    Message.content_length(*Request.m_BodyStream->m_ContentLength);
  else if (!Bodyless || (Message.method() != http::verb::get &&
                         Message.method() != http::verb::head))
    Message.content_length(Request.m_Body.size());
  return serializeHead(Message);
}

} // namespace

std::string_view httpFailureName(HttpFailure Value) {
  return FailureNames[static_cast<std::size_t>(Value)];
}

struct HttpClient::Connection {
  explicit Connection(asio::io_context &Io) : m_Stream(Io) {}
  beast::tcp_stream m_Stream;
  beast::flat_buffer m_Buffer{MaxUnparsedBytes};
  Time m_Since{0};
  Duration m_KeptFor{0};
};

// One request and its response on one connection.
struct HttpClient::Exchange {
  std::string m_Address;
  HttpRequest m_Request;
  SendOptions m_Options;
  std::string m_Unsent; // Head and first part of the body.
  bool m_Chunked = false;
  bool m_Head = false;
  bool m_Written = false; // The whole request has been handed to the socket.
  ConnectionPtr m_Connection;
  std::optional<ResponseParser> m_Parser;
  HttpResult m_Result;
};

HttpClient::HttpClient(asio::io_context &Io, const Reachability &Reach,
                       std::string BindIp, HttpClientLimits Limits)
    : m_Io(Io), m_Reach(Reach), m_BindIp(std::move(BindIp)), m_Limits(Limits) {}

HttpClient::~HttpClient() = default;

HttpClient::ConnectionPtr HttpClient::takeIdle(const std::string &Address,
                                               Duration MaxIdle) {
  auto Found = m_Idle.find(Address);
  if (Found == m_Idle.end())
    return nullptr;
  auto &Kept = Found->second;
  while (!Kept.empty()) {
    ConnectionPtr Taken = std::move(Kept.back());
    Kept.pop_back();
    Duration Idle = now() - Taken->m_Since;
    if (Idle < Taken->m_KeptFor && (MaxIdle.count() == 0 || Idle < MaxIdle) &&
        !isStale(Taken->m_Stream.socket()))
      return Taken;
  }
  return nullptr;
}

void HttpClient::closeExpiredConnections(Time Now) {
  for (auto Entry = m_Idle.begin(); Entry != m_Idle.end();) {
    auto &Kept = Entry->second;
    while (!Kept.empty() &&
           Now - Kept.front()->m_Since >= Kept.front()->m_KeptFor)
      Kept.pop_front();
    Entry = Kept.empty() ? m_Idle.erase(Entry) : std::next(Entry);
  }
}

std::size_t HttpClient::idleConnections() const {
  std::size_t Sum = 0;
  for (const auto &[Address, Kept] : m_Idle)
    Sum += Kept.size();
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
  if (!m_Reach.allows(Endpoint.value().address().to_string())) {
    // A cut link swallows packets: the connect runs into its time-out.
    asio::steady_timer Silence(m_Io, Limit);
    co_await Silence.async_wait(Await);
    co_return nullptr;
  }
  auto Made = std::make_shared<Connection>(m_Io);
  boost::system::error_code Error;
  tcp::socket &Socket = Made->m_Stream.socket();
  Socket.open(tcp::v4(), Error);
  if (!Error && !m_BindIp.empty()) {
    Socket.set_option(tcp::socket::reuse_address(true), Error);
    Socket.bind(tcp::endpoint(asio::ip::make_address(m_BindIp), 0), Error);
  }
  if (Error)
    co_return nullptr;
  if (Cancel)
    Cancel->onCancel([Made] { Made->m_Stream.close(); });
  Made->m_Stream.expires_after(Limit);
  auto [ConnectError] =
      co_await Made->m_Stream.async_connect(Endpoint.value(), Await);
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
  co_return Made;
}

asio::awaitable<HttpResult> HttpClient::send(std::string Address,
                                             HttpRequest Request, Time Deadline,
                                             bool Fresh) {
  SendOptions Options;
  Options.m_NewConnection = Fresh;
  return send(std::move(Address), std::move(Request), Deadline, Options);
}

asio::awaitable<HttpResult> HttpClient::send(std::string Address,
                                             HttpRequest Request, Time Deadline,
                                             SendOptions Options) {
  auto Work = std::make_shared<Exchange>();
  Work->m_Address = std::move(Address);
  Work->m_Request = std::move(Request);
  Work->m_Options = std::move(Options);
  Work->m_Head = Work->m_Request.m_Method == "HEAD";
  std::shared_ptr<Cancellation> Cancel = Work->m_Options.m_Cancellation;
  std::string Head =
      requestHead(Work->m_Request, Work->m_Address, Work->m_Chunked);
  HttpResult &Result = Work->m_Result;
  bool Fresh = Work->m_Options.m_NewConnection;
  for (;;) {
    ConnectionPtr Idle =
        Fresh ? nullptr
              : takeIdle(Work->m_Address, Work->m_Options.m_MaxIdleTime);
    Result.m_ReusedConnection = Idle != nullptr;
    if (Idle) {
      Result.m_IdleTime = now() - Idle->m_Since;
    } else {
      Time Began = now();
      Idle = co_await connect(Work->m_Address, Deadline, Cancel);
      Result.m_ConnectTime = now() - Began;
    }
    if (Cancel && Cancel->cancelled()) {
      Result.m_Failure = HttpFailure::Cancelled;
      break;
    }
    Duration Left = Deadline - now();
    Result.m_Failure = HttpFailure::Connect;
    if (!Idle || Left <= Duration{0})
      break;
    Work->m_Connection = std::move(Idle);
    std::string PeerIp = Work->m_Address.substr(0, Work->m_Address.rfind(':'));
    if (!m_Reach.allows(PeerIp)) {
      asio::steady_timer Silence(m_Io, Left);
      co_await Silence.async_wait(Await);
      Result.m_Failure = HttpFailure::Timeout;
      break;
    }
    Work->m_Connection->m_Stream.expires_after(Left);
    if (Cancel)
      Cancel->onCancel([Kept = Work->m_Connection] { Kept->m_Stream.close(); });
    Work->m_Unsent = Head;
    if (!Work->m_Chunked)
      Work->m_Unsent += Work->m_Request.m_Body;
    boost::system::error_code Error;
    std::size_t Sent = writeWithoutBlocking(
        Work->m_Connection->m_Stream.socket(), Work->m_Unsent, Error);
    if (Error && Result.m_ReusedConnection) {
      Fresh = true; // Not a byte left on the dead connection.
      continue;
    }
    if (Error)
      break;
    Work->m_Unsent.erase(0, Sent);
    co_await transfer(Work);
    if (!m_Reach.allows(PeerIp))
      Result.m_Failure = HttpFailure::Timeout;
    if (Cancel && Cancel->cancelled() && Result.m_Failure != HttpFailure::None)
      Result.m_Failure = HttpFailure::Cancelled;
    break;
  }
  if (Cancel && !Result.m_Response.m_BodyStream)
    Cancel->onCancel(nullptr);
  Work->m_Connection.reset();
  co_return std::move(Result);
}

// Reads the response while the rest of the request is still being written: a
// server may answer, and close, before it has read the whole request.
asio::awaitable<void> HttpClient::transfer(std::shared_ptr<Exchange> Work) {
  HttpResult &Result = Work->m_Result;
  Work->m_Written = Work->m_Unsent.empty() && !Work->m_Request.m_BodyStream &&
                    !(Work->m_Chunked && !Work->m_Request.m_Body.empty());
  if (!Work->m_Written)
    asio::co_spawn(m_Io, writeRest(Work), asio::detached);
  Result.m_Failure = HttpFailure::None;
  beast::tcp_stream &Stream = Work->m_Connection->m_Stream;
  bool Head = co_await readHead(Work);
  if (!Head)
    co_return;
  ResponseParser &Parser = *Work->m_Parser;
  std::string &Body = Result.m_Response.m_Body;
  while (!Parser.is_done() && Body.size() < m_Limits.m_MaxBufferedBodyBytes) {
    auto Error = co_await readBodyFragment(Stream, Work->m_Connection->m_Buffer,
                                           Parser, Body);
    if (Error) {
      Result.m_Failure = failureOf(Error);
      co_return;
    }
  }
  if (Parser.need_eof() && !Work->m_Head && !m_Limits.m_AcceptCloseDelimited) {
    Result.m_Failure = HttpFailure::Incomplete;
    co_return;
  }
  if (!Parser.is_done())
    Result.m_Response.m_BodyStream = restOf(Work);
  else
    keep(*Work);
}

asio::awaitable<void> HttpClient::writeRest(std::shared_ptr<Exchange> Work) {
  ConnectionPtr Kept = Work->m_Connection;
  boost::system::error_code Error;
  if (!Work->m_Unsent.empty()) {
    auto [Failed, Bytes] = co_await asio::async_write(
        Kept->m_Stream, asio::buffer(Work->m_Unsent), Await);
    Error = Failed;
  }
  if (Work->m_Chunked && !Error) {
    BodyFragment First;
    First.m_Bytes = Work->m_Request.m_Body;
    Error = co_await writeBodyFragment(Kept->m_Stream, First, true);
  }
  bool Ended = !Work->m_Request.m_BodyStream;
  while (!Error && !Ended) {
    BodyFragment Piece = co_await Work->m_Request.m_BodyStream->m_ReadNext();
    if (Piece.m_Aborted) {
      Kept->m_Stream.close(); // The server must not take it for the whole.
      co_return;
    }
    Error = co_await writeBodyFragment(Kept->m_Stream, Piece, Work->m_Chunked);
    Ended = Piece.m_Last;
  }
  Work->m_Written = !Error;
}

// Reads heads until the one that belongs to the request. Returns false after a
// failure, which is in the result.
asio::awaitable<bool> HttpClient::readHead(std::shared_ptr<Exchange> Work) {
  HttpResult &Result = Work->m_Result;
  beast::tcp_stream &Stream = Work->m_Connection->m_Stream;
  beast::flat_buffer &Buffer = Work->m_Connection->m_Buffer;
  int Interim = 0;
  for (;;) {
    ResponseParser &Parser = Work->m_Parser.emplace();
    Parser.body_limit(m_Limits.m_MaxBodyBytes);
    Parser.skip(Work->m_Head);
    auto [Error, Bytes] =
        co_await http::async_read_header(Stream, Buffer, Parser, Await);
    if (Error) {
      Result.m_Failure = failureOf(Error);
      co_return false;
    }
    Result.m_Response = HttpResponse{};
    Result.m_Response.m_Status = static_cast<int>(Parser.get().result_int());
    Result.m_Response.m_Headers = copyHeaders(Parser.get());
    if (Result.m_Response.m_Status < 200) {
      if (++Interim <= MaxInterim)
        continue;
      Result.m_Failure = HttpFailure::Malformed;
      co_return false;
    }
    if (!Work->m_Options.m_MatchesRequest ||
        Work->m_Options.m_MatchesRequest(Result.m_Response))
      co_return true;
    std::string Skipped;
    while (!Parser.is_done() && !Error) {
      Skipped.clear();
      Error = co_await readBodyFragment(Stream, Buffer, Parser, Skipped);
    }
    if (Error || Parser.need_eof() ||
        ++Result.m_SkippedResponses > MaxSkipped) {
      Result.m_Failure = HttpFailure::Incomplete;
      co_return false;
    }
  }
}

// Puts the connection back for reuse, if nothing speaks against it.
void HttpClient::keep(Exchange &Work) {
  Connection &Used = *Work.m_Connection;
  if (!Work.m_Parser->keep_alive() || Work.m_Parser->need_eof() ||
      !Work.m_Written || Work.m_Result.m_SkippedResponses > 0 ||
      Used.m_Buffer.size() != 0)
    return;
  auto &Kept = m_Idle[Work.m_Address];
  if (Kept.size() >= m_Limits.m_MaxIdleConnectionsPerAddress)
    return;
  Used.m_Stream.expires_never();
  Used.m_Since = now();
  Used.m_KeptFor = keptFor(Work.m_Result.m_Response, m_Limits.m_MaxIdleTime);
  Kept.push_back(Work.m_Connection);
}

// Hands over the rest of a long body piece by piece. The exchange's connection
// is put back at the end of the body.
BodyStreamPtr HttpClient::restOf(const std::shared_ptr<Exchange> &Work) {
  auto Rest = std::make_shared<BodyStream>();
  if (auto Length = Work->m_Parser->content_length())
    Rest->m_ContentLength = *Length;
  Rest->m_ReadNext =
      [this, Work,
       Kept = Work->m_Connection]() -> asio::awaitable<BodyFragment> {
    BodyFragment Piece;
    auto Error = co_await readBodyFragment(Kept->m_Stream, Kept->m_Buffer,
                                           *Work->m_Parser, Piece.m_Bytes);
    Piece.m_Aborted = bool(Error);
    Piece.m_Last = !Error && Work->m_Parser->is_done();
    if (Piece.m_Last) {
      Work->m_Connection = Kept;
      keep(*Work);
      Work->m_Connection.reset();
    }
    co_return Piece;
  };
  return Rest;
}

} // namespace rhubarb::net
