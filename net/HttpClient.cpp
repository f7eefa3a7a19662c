#include "net/Clock.h"
#include "net/Http.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace rhubarb::net {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr auto Await = asio::as_tuple(asio::use_awaitable);

http::request<http::string_body> toBeast(HttpRequest Request,
                                         const std::string &Address) {
  http::request<http::string_body> Message;
  Message.version(11);
  Message.method_string(Request.m_Method);
  Message.target(Request.m_Target);
  for (const HeaderField &Field : Request.m_Headers)
    Message.insert(Field.m_Name, Field.m_Value);
  if (Message.count(http::field::host) == 0)
    Message.set(http::field::host, Address);
  Message.body() = std::move(Request.m_Body);
  Message.prepare_payload();
  return Message;
}

HttpResponse fromBeast(http::response<http::string_body> Message) {
  HttpResponse Response;
  Response.m_Status = static_cast<int>(Message.result_int());
  for (const auto &Field : Message)
    Response.m_Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Response.m_Body = std::move(Message.body());
  return Response;
}

HttpFailure failureOf(const boost::system::error_code &Error) {
  if (Error == beast::error::timeout)
    return HttpFailure::Timeout;
  if (Error == http::error::body_limit)
    return HttpFailure::TooLarge;
  return HttpFailure::Cut;
}

// Returns whether the other side has closed or sent something unasked.
bool isStale(tcp::socket &Socket) {
  boost::system::error_code Error;
  Socket.non_blocking(true, Error);
  char Byte = 0;
  Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Error);
  return Error != asio::error::would_block;
}

} // namespace

struct HttpClient::Idle {
  explicit Idle(asio::io_context &Io) : m_Stream(Io) {}
  beast::tcp_stream m_Stream;
  beast::flat_buffer m_Buffer;
  Time m_Since{0};
};

HttpClient::HttpClient(asio::io_context &Io, const Reachability &Reach,
                       std::string BindIp, HttpClientLimits Limits)
    : m_Io(Io), m_Reach(Reach), m_BindIp(std::move(BindIp)), m_Limits(Limits) {}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpClient::Idle>
HttpClient::takeIdle(const std::string &Address) {
  auto Found = m_Idle.find(Address);
  if (Found == m_Idle.end())
    return nullptr;
  auto &Kept = Found->second;
  while (!Kept.empty()) {
    std::unique_ptr<Idle> Connection = std::move(Kept.back());
    Kept.pop_back();
    if (now() - Connection->m_Since < m_Limits.m_MaxIdle &&
        !isStale(Connection->m_Stream.socket()))
      return Connection;
  }
  return nullptr;
}

void HttpClient::tick(Time Now) {
  for (auto Entry = m_Idle.begin(); Entry != m_Idle.end();) {
    auto &Kept = Entry->second;
    while (!Kept.empty() && Now - Kept.front()->m_Since >= m_Limits.m_MaxIdle)
      Kept.pop_front();
    Entry = Kept.empty() ? m_Idle.erase(Entry) : std::next(Entry);
  }
}

asio::awaitable<std::unique_ptr<HttpClient::Idle>>
HttpClient::connect(const std::string &Address, Time Deadline) {
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
  auto Connection = std::make_unique<Idle>(m_Io);
  boost::system::error_code Error;
  tcp::socket &Socket = Connection->m_Stream.socket();
  Socket.open(tcp::v4(), Error);
  if (!Error && !m_BindIp.empty()) {
    Socket.set_option(tcp::socket::reuse_address(true), Error);
    Socket.bind(tcp::endpoint(asio::ip::make_address(m_BindIp), 0), Error);
  }
  if (Error)
    co_return nullptr;
  Connection->m_Stream.expires_after(Limit);
  auto [ConnectError] =
      co_await Connection->m_Stream.async_connect(Endpoint.value(), Await);
  if (ConnectError)
    co_return nullptr;
  Socket.set_option(tcp::no_delay(true), Error);
  co_return Connection;
}

asio::awaitable<HttpResult> HttpClient::send(std::string Address,
                                             HttpRequest Request, Time Deadline,
                                             bool Fresh) {
  HttpResult Result;
  bool Head = Request.m_Method == "HEAD";
  std::unique_ptr<Idle> Connection = Fresh ? nullptr : takeIdle(Address);
  if (!Connection)
    Connection = co_await connect(Address, Deadline);
  Duration Left = Deadline - now();
  std::string PeerIp = Address.substr(0, Address.rfind(':'));
  if (!Connection || Left <= Duration{0}) {
    Result.m_Failure = HttpFailure::Connect;
    co_return Result;
  }
  if (!m_Reach.allows(PeerIp)) {
    asio::steady_timer Silence(m_Io, Left);
    co_await Silence.async_wait(Await);
    Result.m_Failure = HttpFailure::Timeout;
    co_return Result;
  }
  auto Message = toBeast(std::move(Request), Address);
  Connection->m_Stream.expires_after(Left);
  auto [SendError, Sent] =
      co_await http::async_write(Connection->m_Stream, Message, Await);
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(m_Limits.m_MaxBodyBytes);
  Parser.skip(Head);
  boost::system::error_code Error = SendError;
  if (!Error || Error == asio::error::broken_pipe ||
      Error == asio::error::connection_reset) {
    // A server may answer, and close, before it has read the whole request.
    auto [ReadError, Read] = co_await http::async_read(
        Connection->m_Stream, Connection->m_Buffer, Parser, Await);
    Error = ReadError;
  }
  if (!Error && !m_Reach.allows(PeerIp))
    Error = beast::error::timeout;
  if (Error) {
    Result.m_Failure = failureOf(Error);
    co_return Result;
  }
  // Without a stated length a cut cannot be told from the end.
  bool LengthKnown = !Parser.need_eof() || Head;
  auto Response = Parser.release();
  bool Reusable = Response.keep_alive() && LengthKnown && !SendError;
  if (!LengthKnown) {
    Result.m_Failure = HttpFailure::Cut;
    co_return Result;
  }
  Result.m_Response = fromBeast(std::move(Response));
  auto &Kept = m_Idle[Address];
  if (Reusable && Kept.size() < m_Limits.m_MaxIdlePerAddress &&
      Connection->m_Buffer.size() == 0) {
    Connection->m_Stream.expires_never();
    Connection->m_Since = now();
    Kept.push_back(std::move(Connection));
  }
  co_return Result;
}

} // namespace rhubarb::net
