// HTTP/1.1 server and client over Boost.Beast, as coroutines on one thread.
#pragma once

#include "net/Reachability.h"
#include "rhubarb/Keys.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rhubarb::net {

namespace asio = boost::asio;

// Tells a handler that the caller has closed its connection.
struct ClientConnection {
  bool m_Closed = false;           // May be so before the handler runs.
  std::function<void()> m_OnClose; // Called once, when it happens.
};

// One piece of a body that is passed on while it arrives.
struct BodyFragment {
  std::string m_Bytes;
  bool m_Last = false;    // The body is complete with these bytes.
  bool m_Aborted = false; // The sender broke off; nothing more will come.
};

// The part of a body that has not arrived yet.
struct BodyStream {
  std::function<asio::awaitable<BodyFragment>()> m_ReadNext;
  std::optional<std::uint64_t> m_ContentLength; // Of the whole body, if stated.
};
using BodyStreamPtr = std::shared_ptr<BodyStream>;

// Ends an operation from outside. One owner, one operation at a time.
class Cancellation {
public:
  // Runs the hook of the operation under way, once.
  void cancel();
  bool cancelled() const { return m_Cancelled; }
  // Sets the hook; runs it at once when already cancelled.
  void onCancel(std::function<void()> Hook);

private:
  bool m_Cancelled = false;
  std::function<void()> m_Hook;
};

// A request. Whole, unless m_Rest is set.
struct HttpRequest {
  std::string m_Method = "GET";
  std::string m_Target = "/";
  std::vector<HeaderField> m_Headers;
  std::string m_Body;
  BodyStreamPtr m_BodyStream; // What follows m_Body; null: nothing.
  std::string m_PeerIp;       // Of the sender; set by the server.
  std::shared_ptr<ClientConnection> m_Client; // Set by the server.

  // Returns a header's value, or an empty text.
  std::string_view header(std::string_view Name) const;
  // Returns the target without its query.
  std::string_view path() const;
  // Returns a value of the query, or an empty text. Values are not unescaped.
  std::string_view query(std::string_view Name) const;
};

// A response. Whole, unless m_Rest is set.
struct HttpResponse {
  int m_Status = 200;
  std::vector<HeaderField> m_Headers = {};
  std::string m_Body = {};
  BodyStreamPtr m_BodyStream = nullptr; // What follows m_Body; null: nothing.
  // The sender of the request must start a new connection for its next one.
  bool m_CloseConnection = false;
  // No bytes at all: the connection ends without a response.
  bool m_AbortConnection = false;
  // For stand-ins: the connection ends after this many bytes of the body.
  std::optional<std::size_t> m_TruncateAfterBytes = std::nullopt;
  // For stand-ins: bytes that belong to no response, after this one.
  std::string m_ExtraBytes = {};

  std::string_view header(std::string_view Name) const;
};

// Makes a response with a JSON body.
HttpResponse jsonResponse(int Status, std::string Body);
// Makes the response that an error kind calls for, with its headers.
HttpResponse errorResponse(ErrorKind Kind, const std::string &Detail = {},
                           Duration RetryAfter = Duration{0});

using HttpHandler = std::function<asio::awaitable<HttpResponse>(HttpRequest)>;

// Bounds on everything that comes from outside.
struct HttpServerLimits {
  std::size_t m_MaxHeaderBytes = 16U << 10U;
  std::size_t m_MaxBodyBytes = 1U << 20U;
  int m_MaxConnections = 4000;
  int m_MaxConnectionsPerIp = 1000;
  Duration m_IdleTimeout = 30s;   // Between requests.
  Duration m_HeaderTimeout = 10s; // From the first byte to the whole header.
  Duration m_ReadTimeout = 10s;   // For each read of the body.
  Duration m_WriteTimeout = 10s;
  // Longer bodies reach the handler while they arrive, by m_Rest.
  std::size_t m_MaxBufferedBodyBytes = std::numeric_limits<std::size_t>::max();
};

// Limits of the ports that take the system's own control messages.
HttpServerLimits controlServerLimits();

// Accepts connections and answers whole requests by a handler.
class HttpServer {
public:
  HttpServer(asio::io_context &Io, const Reachability &Reach,
             HttpServerLimits Limits, HttpHandler Handler);
  // Binds and starts to accept. A fault names the address.
  Result<std::uint16_t> start(const std::string &Ip, std::uint16_t Port);
  // Limits of requests that are read from now on.
  void setLimits(const HttpServerLimits &Limits) { m_Limits = Limits; }
  // From now on each response ends its connection.
  void disableKeepAlive() { m_Closing = true; }
  // Stops accepting, closes idle connections; requests under way go on, and
  // their answers say that the connection closes.
  void stopAccepting();
  // Requests under way.
  int activeRequests() const { return m_Active; }
  int connections() const { return static_cast<int>(m_Connections.size()); }
  // Called with each request that was refused before the handler saw it.
  void onRefusal(std::function<void(ErrorKind)> Hook) {
    m_OnRefusal = std::move(Hook);
  }

private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  asio::awaitable<void> acceptLoop();
  asio::awaitable<void> serve(ConnectionPtr Client);
  asio::awaitable<bool> serveOne(ConnectionPtr Client);
  asio::awaitable<HttpResponse> handle(ConnectionPtr Client,
                                       HttpRequest Request);
  asio::awaitable<bool> respond(ConnectionPtr Client, HttpResponse Response,
                                bool KeepAlive, bool Head);
  asio::awaitable<void> linger(ConnectionPtr Client);
  void refused(ErrorKind Kind) const;

  asio::io_context &m_Io;
  const Reachability &m_Reach;
  HttpServerLimits m_Limits;
  HttpHandler m_Handler;
  std::function<void(ErrorKind)> m_OnRefusal;
  asio::ip::tcp::acceptor m_Acceptor;
  std::set<std::shared_ptr<Connection>> m_Connections;
  std::map<std::string, int> m_PerIp;
  int m_Active = 0;
  bool m_Closing = false;
  bool m_Stopping = false;
};

// How far a request got that brought no whole response.
enum class HttpFailure : std::uint8_t {
  None,
  Connect,    // No byte left this process.
  Incomplete, // The connection ended before the whole response.
  Timeout,    // The deadline passed after bytes had left.
  TooLarge,   // The response is over the limit.
  Malformed,  // The bytes are no HTTP response.
  Cancelled,  // Ended by the caller's Cancellation.
};
// Returns the name of a failure for logs and counters.
std::string_view httpFailureName(HttpFailure Value);

// A response, or how far the request got.
struct HttpResult {
  HttpFailure m_Failure = HttpFailure::None;
  HttpResponse m_Response;
  bool m_ReusedConnection = false; // Sent on a connection that had been idle.
  Duration m_IdleTime{0};          // Of a reused connection.
  Duration m_ConnectTime{0};       // Of a new connection.
  int m_SkippedResponses = 0;      // Responses to other requests, thrown away.
};

// How one request is sent.
struct SendOptions {
  bool m_NewConnection = false; // On a new connection only.
  Duration m_MaxIdleTime{0}; // Reuse connections idle for less; 0: the limit's.
  std::shared_ptr<Cancellation> m_Cancellation; // May be null.
  // Says whether a response belongs to the request. Others are skipped.
  std::function<bool(const HttpResponse &)> m_MatchesRequest;
};

// Bounds on responses and kept connections.
struct HttpClientLimits {
  std::size_t m_MaxBodyBytes = 4U << 20U;
  // Longer bodies are handed over while they arrive, by m_Rest.
  std::size_t m_MaxBufferedBodyBytes = std::numeric_limits<std::size_t>::max();
  std::size_t m_MaxIdleConnectionsPerAddress = 32;
  Duration m_MaxIdleTime = 2s;
  Duration m_ConnectTimeout = 1s;
  // Bytes that the other side does not acknowledge for this long end the
  // connection: its machine is gone. 0: the system's own, minutes.
  Duration m_TcpUserTimeout{0};
  // A response without a stated length ends with its connection. Without this
  // it counts as cut, since a break cannot be told from the end.
  bool m_AcceptCloseDelimited = false;
};

// Keeps connections for reuse. A connection is used again only after a whole
// response with nothing behind it, so answers cannot cross.
class HttpClient {
public:
  HttpClient(asio::io_context &Io, const Reachability &Reach,
             std::string BindIp, HttpClientLimits Limits = {});
  // Sends one request to "ip:port" and reads the response. With Fresh a new
  // connection is made, so that a failure to send is never ambiguous.
  asio::awaitable<HttpResult> send(std::string Address, HttpRequest Request,
                                   Time Deadline, bool Fresh = false);
  asio::awaitable<HttpResult> send(std::string Address, HttpRequest Request,
                                   Time Deadline, SendOptions Options);
  // Closes idle connections that are too old.
  void closeExpiredConnections(Time Now);
  // Closes the idle connections to an address.
  void closeIdleConnections(const std::string &Address) {
    m_Idle.erase(Address);
  }
  std::size_t idleConnections() const;

private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  struct Exchange;
  asio::awaitable<ConnectionPtr> connect(std::string Address, Time Deadline,
                                         std::shared_ptr<Cancellation> Cancel);
  ConnectionPtr takeIdle(const std::string &Address, Duration MaxIdle);
  asio::awaitable<void> transfer(std::shared_ptr<Exchange> Work);
  asio::awaitable<void> writeRest(std::shared_ptr<Exchange> Work);
  asio::awaitable<bool> readHead(std::shared_ptr<Exchange> Work);
  void keep(Exchange &Work);
  BodyStreamPtr restOf(const std::shared_ptr<Exchange> &Work);

  asio::io_context &m_Io;
  const Reachability &m_Reach;
  std::string m_BindIp;
  HttpClientLimits m_Limits;
  std::map<std::string, std::deque<ConnectionPtr>> m_Idle;

public:
  ~HttpClient();
};

// Splits "ip:port".
Result<asio::ip::tcp::endpoint> parseEndpoint(const std::string &Address);

} // namespace rhubarb::net
