// HTTP/1.1 server and client over Boost.Beast, as coroutines on one thread.
#pragma once

#include "net/Reachability.h"
#include "rhubarb/Keys.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rhubarb::net {

namespace asio = boost::asio;

// Tells a handler that the caller has closed its connection.
struct CallerWatch {
  bool m_Gone = false;
  std::function<void()> m_OnGone; // Called once, when it happens.
};

// A whole request.
struct HttpRequest {
  std::string m_Method = "GET";
  std::string m_Target = "/";
  std::vector<HeaderField> m_Headers;
  std::string m_Body;
  std::string m_PeerIp;                  // Of the sender; set by the server.
  std::shared_ptr<CallerWatch> m_Caller; // Set by the server.

  // Returns a header's value, or an empty text.
  std::string_view header(std::string_view Name) const;
  // Returns the target without its query.
  std::string_view path() const;
  // Returns a value of the query, or an empty text. Values are not unescaped.
  std::string_view query(std::string_view Name) const;
};

// A whole response.
struct HttpResponse {
  int m_Status = 200;
  std::vector<HeaderField> m_Headers = {};
  std::string m_Body = {};
  // For stand-ins: the connection ends after this many bytes of the body.
  std::optional<std::size_t> m_CutAfterBytes = std::nullopt;

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
  Duration m_IdleTimeout = 30s; // Between requests.
  Duration m_ReadTimeout = 10s; // For one whole request.
  Duration m_WriteTimeout = 10s;
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
  // Stops accepting, closes idle connections; requests under way go on, and
  // their answers say that the connection closes.
  void stopAccepting();
  // Requests under way.
  int active() const { return m_Active; }
  // Called with each request that was refused before the handler saw it.
  void onRefusal(std::function<void(ErrorKind)> Hook) {
    m_OnRefusal = std::move(Hook);
  }

private:
  struct Connection;
  asio::awaitable<void> acceptLoop();
  asio::awaitable<void> serve(std::shared_ptr<Connection> Client);
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
  bool m_Stopping = false;
};

// How far a request got that brought no whole response.
enum class HttpFailure : std::uint8_t {
  None,
  Connect,  // No byte left this process.
  Cut,      // The connection ended before the whole response.
  Timeout,  // The deadline passed after bytes had left.
  TooLarge, // The response is over the limit.
};

// A response, or how far the request got.
struct HttpResult {
  HttpFailure m_Failure = HttpFailure::None;
  HttpResponse m_Response;
};

// Bounds on responses and kept connections.
struct HttpClientLimits {
  std::size_t m_MaxBodyBytes = 4U << 20U;
  std::size_t m_MaxIdlePerAddress = 32;
  Duration m_MaxIdle = 2s;
  Duration m_ConnectTimeout = 1s;
};

// Keeps connections for reuse. A connection is used again only after a whole
// response, so answers cannot cross.
class HttpClient {
public:
  HttpClient(asio::io_context &Io, const Reachability &Reach,
             std::string BindIp, HttpClientLimits Limits = {});
  // Sends one request to "ip:port" and reads the whole response. With Fresh a
  // new connection is made, so that a failure to send is never ambiguous.
  asio::awaitable<HttpResult> send(std::string Address, HttpRequest Request,
                                   Time Deadline, bool Fresh = false);
  // Closes idle connections that are too old.
  void tick(Time Now);

private:
  struct Idle;
  asio::awaitable<std::unique_ptr<Idle>> connect(const std::string &Address,
                                                 Time Deadline);
  std::unique_ptr<Idle> takeIdle(const std::string &Address);

  asio::io_context &m_Io;
  const Reachability &m_Reach;
  std::string m_BindIp;
  HttpClientLimits m_Limits;
  std::map<std::string, std::deque<std::unique_ptr<Idle>>> m_Idle;

public:
  ~HttpClient();
};

// Splits "ip:port".
Result<asio::ip::tcp::endpoint> parseEndpoint(const std::string &Address);

} // namespace rhubarb::net
