// HTTP/1.1 server and client over Boost.Beast, as coroutines on one thread.
#pragma once

#include "net/Reachability.h"
#include "rhubarb/Keys.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
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

// State of the connection that a request arrived on. Lets a handler abort the
// request of a client that has disconnected.
struct ClientConnection {
  bool m_Closed = false; // Can already be set when the handler starts.
  std::function<void()> m_OnClose; // Called once, when the client disconnects.
};

class BufferedBytes;

// Part of a message body that is streamed as it arrives.
struct BodyFragment {
  std::string m_Bytes;
  bool m_Last = false;    // This fragment completes the body.
  bool m_Aborted = false; // The sender failed; no fragment follows.
  // Counts m_Bytes against the budget of their reader. May be null.
  std::shared_ptr<BufferedBytes> m_Buffered;
};

// The part of a body that has not been received yet. It has one reader at a
// time, see BodyReader.
struct BodyStream {
  std::function<asio::awaitable<BodyFragment>()> m_ReadNext;
  // Length of the whole body, if known.
  std::optional<std::uint64_t> m_ContentLength;
  int m_Readers = 0;              // Readers that have not stopped yet.
  bool m_ReadOutstanding = false; // A reader waits for the next fragment.
  std::uint64_t m_FragmentsRead = 0;
  std::function<void()> m_OnUnread; // Called when the last reader has stopped.
};
using BodyStreamPtr = std::shared_ptr<BodyStream>;

// Reads a body stream. While it exists, the connection that the body arrives on
// must not be read by anything else.
class BodyReader {
public:
  explicit BodyReader(BodyStreamPtr Stream);
  BodyReader(BodyReader &&Other) = default;
  BodyReader(const BodyReader &) = delete;
  BodyReader &operator=(const BodyReader &) = delete;
  BodyReader &operator=(BodyReader &&) = delete;
  ~BodyReader();
  asio::awaitable<BodyFragment> readNext();

private:
  BodyStreamPtr m_Stream; // Null after a move.
};

// Cancels an asynchronous operation. Has one owner and serves one operation at
// a time.
class Cancellation {
public:
  // Calls the hook of the current operation once. Later hooks are called when
  // they are set.
  void cancel();
  bool cancelled() const { return m_Cancelled; }
  // Sets the hook; calls it immediately if already cancelled.
  void onCancel(std::function<void()> Hook);

private:
  bool m_Cancelled = false;
  std::function<void()> m_Hook;
};

// Limits the bytes that the connections of a process hold together: bodies and,
// where connections are counted, all else that they hold. A limit for each
// connection alone would not keep the process within the memory of its VM.
class BufferBudget {
public:
  explicit BufferBudget(std::size_t LimitBytes) : m_LimitBytes(LimitBytes) {}
  std::size_t usedBytes() const { return m_UsedBytes; }
  std::size_t leftBytes() const {
    return m_LimitBytes - std::min(m_LimitBytes, m_UsedBytes);
  }
  std::size_t limitBytes() const { return m_LimitBytes; }
  // Counts bytes, unless less than KeepFree bytes would be left.
  bool tryAdd(std::size_t Bytes, std::size_t KeepFree);
  void add(std::size_t Bytes) { m_UsedBytes += Bytes; }
  void remove(std::size_t Bytes) { m_UsedBytes -= Bytes; }

private:
  std::size_t m_LimitBytes;
  std::size_t m_UsedBytes = 0;
};
using BufferBudgetPtr = std::shared_ptr<BufferBudget>;

// Counts bytes against a budget while it exists. Without a budget nothing is
// counted.
class BufferedBytes {
public:
  // KeepFree is what reserve() leaves of the budget for other uses, in bytes.
  explicit BufferedBytes(BufferBudgetPtr Budget, std::size_t KeepFree = 0)
      : m_Budget(std::move(Budget)), m_KeepFree(KeepFree) {}
  ~BufferedBytes() { set(0); }
  BufferedBytes(const BufferedBytes &) = delete;
  BufferedBytes &operator=(const BufferedBytes &) = delete;
  void set(std::size_t Bytes);
  // Counts Bytes in all, unless the budget has no room for that. Reserved
  // before a read, as others read meanwhile.
  bool reserve(std::size_t Bytes);

private:
  BufferBudgetPtr m_Budget; // May be null.
  std::size_t m_KeepFree;
  std::size_t m_Bytes = 0;
};

// Returns the value of the first header field with a name, or an empty string.
std::string_view findHeader(const std::vector<HeaderField> &Fields,
                            std::string_view Name);

// A request. The body is complete unless m_BodyStream is set.
struct HttpRequest {
  std::string m_Method = "GET";
  std::string m_Target = "/";
  std::vector<HeaderField> m_Headers;
  std::string m_Body;
  BodyStreamPtr m_BodyStream; // Rest of the body; null if m_Body is complete.
  std::string m_PeerIp;       // IP address of the client; set by HttpServer.
  std::shared_ptr<ClientConnection> m_Client; // Set by HttpServer.

  // Returns the value of a header field, or an empty string.
  std::string_view header(std::string_view Name) const;
  // Returns the target without its query string.
  std::string_view path() const;
  // Returns a query parameter, or an empty string. Does not percent-decode.
  std::string_view query(std::string_view Name) const;
};

// A response. The body is complete unless m_BodyStream is set.
struct HttpResponse {
  int m_Status = 200;
  std::vector<HeaderField> m_Headers = {};
  std::string m_Body = {};
  // Rest of the body; null if m_Body is complete.
  BodyStreamPtr m_BodyStream = nullptr;
  // Sends Connection: close and ends the connection after this response.
  bool m_CloseConnection = false;
  // Closes the connection without sending a response.
  bool m_AbortConnection = false;
  // For simulated servers: closes the connection after this many body bytes.
  std::optional<std::size_t> m_TruncateAfterBytes = std::nullopt;
  // For simulated servers: stray bytes sent after this response.
  std::string m_ExtraBytes = {};
  // Counts m_Body against the budget of the client that read it. May be null.
  std::shared_ptr<BufferedBytes> m_Buffered = nullptr;

  std::string_view header(std::string_view Name) const;
};

// Returns a response with a JSON body.
HttpResponse jsonResponse(int Status, std::string Body);
// Returns the response for an error kind, with its status, JSON body and
// Rhubarb-* header fields.
HttpResponse errorResponse(ErrorKind Kind, const std::string &Detail = {},
                           Duration RetryAfter = Duration{0});

using HttpHandler = std::function<asio::awaitable<HttpResponse>(HttpRequest)>;

// Limits on what clients can send and keep open.
struct HttpServerLimits {
  std::size_t m_MaxHeaderBytes = 16U << 10U;
  std::size_t m_MaxBodyBytes = 1U << 20U;
  int m_MaxConnections = 4000;
  int m_MaxConnectionsPerIp = 1000;
  Duration m_IdleTimeout = 30s; // Maximum time between two requests.
  // Maximum time from the first byte to the complete header.
  Duration m_HeaderTimeout = 10s;
  Duration m_ReadTimeout = 10s; // Maximum time for one read of a body.
  Duration m_WriteTimeout = 10s;
  // Requests of one connection that may be in progress at once, those included
  // whose response waits for its turn. Above 1, requests that a client sends
  // before the response to an earlier one run side by side.
  int m_MaxPipelinedRequests = 1;
  // Longer bodies are streamed to the handler, see HttpRequest::m_BodyStream.
  std::size_t m_MaxBufferedBodyBytes = std::numeric_limits<std::size_t>::max();
  // Shared by servers and clients. When it is used up, bodies are streamed
  // before they reach m_MaxBufferedBodyBytes; where that has no limit, requests
  // with a body are refused. Null: no budget.
  BufferBudgetPtr m_Budget = nullptr;
  // Counts against the budget what connections hold beside bodies: a fixed cost
  // each, unparsed bytes, heads, fragments of streamed bodies and responses
  // that wait to be written. Connections and requests that do not fit into the
  // callers' part of the budget are refused with BuffersFull.
  bool m_CountsConnections = false;
};

// Returns the limits for ports that serve control-plane messages.
HttpServerLimits controlServerLimits();

// How far a server has come with a request.
enum class RequestStage : std::uint8_t {
  Head,    // Its head arrives.
  Waiting, // Its head is complete, and it waits for those before it.
  Body,    // Its body arrives, and its handler has not started.
  Running, // Its handler runs.
  Ready,   // Its response waits for those before it, or for the reader.
  Writing, // Its response is written.
  Closing, // Its response is written, and its connection is being closed.
};
// Returns the name used in logs.
std::string_view requestStageName(RequestStage Value);

// A request between its first byte and the end of its response, as a server
// reports it.
struct OpenRequest {
  RequestStage m_Stage = RequestStage::Head;
  Duration m_Age{0}; // Since its first byte was read.
  std::string m_PeerIp;
  std::string m_Target;               // Empty until the head is complete.
  std::vector<HeaderField> m_Headers; // Empty until the head is complete.
};

// Accepts connections and passes each request to a handler.
class HttpServer {
public:
  HttpServer(asio::io_context &Io, const Reachability &Reach,
             HttpServerLimits Limits, HttpHandler Handler);
  // Binds and starts accepting. Errors name the address.
  Result<std::uint16_t> start(const std::string &Ip, std::uint16_t Port);
  // Sets the limits for requests that are read from now on.
  void setLimits(const HttpServerLimits &Limits) { m_Limits = Limits; }
  // Closes each connection after its next response behind which no request has
  // arrived.
  void disableKeepAlive() { m_KeepAliveDisabled = true; }
  // Stops accepting and closes idle connections. Requests in progress and those
  // that have arrived complete; the last response of a connection says
  // Connection: close.
  void stopAccepting();
  // Whether the process of a planned stop has to wait for connections: all that
  // are open, also refused ones that are being closed. A request belongs to its
  // connection from its first byte until the client has taken the response.
  // Connections that have nothing but an incomplete request some time after
  // stopAccepting() do not count: no handler has seen it.
  bool hasConnections() const;
  int connections() const;
  // Returns the requests that have been read at least in part, and whose
  // responses are not completely written or whose connections are being closed.
  std::vector<OpenRequest> openRequests() const;
  // Returns the number of connections on which bytes have arrived that belong
  // to none of these requests.
  int unreadConnections() const;
  // Sets the hook called for each request that is refused before the handler
  // runs.
  void onRefusal(std::function<void(ErrorKind)> Hook) {
    m_OnRefusal = std::move(Hook);
  }

private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  struct ConnectionTable;
  class ConnectionScope;
  class CountScope;
  struct ReceivedRequest;
  class Pipeline; // Serves a connection with several requests at once.
  asio::awaitable<void> acceptLoop(std::unique_ptr<CountScope> Scope);
  // Serves an accepted connection, or refuses it.
  void admit(asio::ip::tcp::socket Socket);
  asio::awaitable<void> serveConnection(std::unique_ptr<ConnectionScope> Scope);
  asio::awaitable<bool> serveRequest(ConnectionPtr Client);
  // Reads the start line and header of a request. Sets the error of one that
  // cannot be read.
  asio::awaitable<void> receiveHead(ConnectionPtr Client,
                                    std::shared_ptr<ReceivedRequest> Into);
  // Reads the body, up to the limit from which on it is streamed.
  asio::awaitable<void> receiveBody(ConnectionPtr Client,
                                    std::shared_ptr<ReceivedRequest> Into);
  // Returns the refusal of a request that could not be read, or none if the
  // request is complete or its client has disconnected.
  std::optional<HttpResponse> refusalOf(const Connection &Client,
                                        const ReceivedRequest &Received) const;
  asio::awaitable<HttpResponse> handle(ConnectionPtr Client,
                                       HttpRequest Request);
  // Runs the handler. The caller watches for a disconnect.
  asio::awaitable<HttpResponse> runHandler(HttpRequest Request);
  // Writes the response to a request that the caller keeps until the end.
  // Returns whether the connection can be reused.
  asio::awaitable<bool> respond(ConnectionPtr Client, ReceivedRequest &To,
                                HttpResponse Response, bool KeepAlive,
                                bool IsHead,
                                BodyStreamPtr RequestBody = nullptr);
  asio::awaitable<void> waitForBodyReader(ConnectionPtr Client,
                                          BodyStreamPtr Body);
  asio::awaitable<void> lingeringClose(ConnectionPtr Client);
  bool isStopping() const { return m_Stopping || m_KeepAliveDisabled; }
  // Whether to read another request of a connection. During a planned stop only
  // what has arrived is read, and not for ever: a client that always sends
  // ahead would keep the process from ending.
  bool mayReadOn(Connection &Client) const;
  // Returns the budget if connections are counted, otherwise null.
  BufferBudgetPtr connectionBudget() const;
  // Returns the bytes of the budget that callers leave to other uses: a part of
  // the limit, or 0 if connections are not counted.
  std::size_t bytesKeptFree(std::size_t Divisor) const;
  // Answers a connection that does not fit into the budget with BuffersFull.
  asio::awaitable<void> refuseConnection(asio::ip::tcp::socket Socket,
                                         std::unique_ptr<CountScope> Scope);
  void reportRefusal(ErrorKind Kind) const;

  asio::io_context &m_Io;
  const Reachability &m_Reachability;
  HttpServerLimits m_Limits;
  HttpHandler m_Handler;
  std::function<void(ErrorKind)> m_OnRefusal;
  asio::ip::tcp::acceptor m_Acceptor;
  std::shared_ptr<ConnectionTable> m_Connections;
  bool m_KeepAliveDisabled = false;
  bool m_Stopping = false;
  Time m_StoppingSince{0};
};

// Why a request produced no complete response.
enum class HttpFailure : std::uint8_t {
  None,
  Connect,    // No connection could be used; no byte was sent.
  Incomplete, // The connection closed before the complete response.
  Timeout,    // The deadline passed after bytes were sent.
  TooLarge,   // The response exceeds a size limit.
  Malformed,  // The bytes are not an HTTP response.
  Cancelled,  // Cancelled through SendOptions::m_Cancellation.
  Withheld,   // SendOptions::m_MaySend was false; no byte was sent.
};
// Returns the name used in logs and metrics.
std::string_view httpFailureName(HttpFailure Value);

// A response, or the reason why there is none.
struct HttpResult {
  HttpFailure m_Failure = HttpFailure::None;
  HttpResponse m_Response;
  bool m_ReusedConnection = false; // The request used a pooled connection.
  Duration m_IdleTime{0};          // How long a reused connection was idle.
  Duration m_ConnectTime{0};       // Time to establish a new connection.
  int m_SkippedResponses = 0;      // Discarded responses to other requests.
  // Bytes of heads and of the body, as far as send() has read it. Tells a
  // response that broke off or came too slowly from none.
  std::size_t m_ReceivedBytes = 0;
};

// Options of a single request.
struct SendOptions {
  bool m_NewConnection = false; // Uses no pooled connection.
  // Reuses only connections that were idle for less than this. 0: only
  // HttpClientLimits::m_MaxIdleTime applies.
  Duration m_MaxIdleTime{0};
  std::shared_ptr<Cancellation> m_Cancellation; // May be null.
  // Asked when a new connection has been opened, as what the request was
  // decided by may have changed meanwhile. If it returns false nothing is sent,
  // and the connection is kept for later requests. If null, it may.
  std::function<bool()> m_MaySend;
  // Returns whether a response belongs to the request. Other responses are
  // skipped. If null, every response does.
  std::function<bool(const HttpResponse &)> m_MatchesRequest;
  // Lets a response take longer than its deadline while it arrives, as its
  // length says nothing about whether the server still works. The deadline
  // holds until the first bytes of the body. With them, and then each time that
  // the bytes of one such time at m_MinBytesPerSecond have arrived, it moves to
  // this long from now if that is later. The time for which a streamed body
  // waits for its reader counts as well. 0: the deadline never moves.
  Duration m_StallTimeout{0};
  // Rate of the body in bytes a second that moves the deadline. Together with
  // HttpClientLimits::m_MaxBodyBytes it limits how long a response can take. 0:
  // any byte moves the deadline.
  std::size_t m_MinBytesPerSecond = 0;
  // A longer body ends the call as HttpFailure::TooLarge.
  // HttpClientLimits::m_MaxBodyBytes holds as well.
  std::size_t m_MaxBodyBytes = std::numeric_limits<std::size_t>::max();
};

// Returns the options of requests for documents whose length grows with the
// configuration or the fleet, as VMs have narrow links: a response that has
// begun goes on past its deadline while 32 KB of it arrive in each second.
SendOptions longResponseOptions();

// Limits on responses and pooled connections.
struct HttpClientLimits {
  std::size_t m_MaxBodyBytes = 4U << 20U;
  // Longer bodies are streamed, see HttpResponse::m_BodyStream.
  std::size_t m_MaxBufferedBodyBytes = std::numeric_limits<std::size_t>::max();
  // Bodies that do not fit are streamed earlier. Null: no budget.
  BufferBudgetPtr m_Budget = nullptr;
  // Counts unparsed bytes and fragments of streamed bodies as well.
  bool m_CountsConnections = false;
  std::size_t m_MaxIdleConnectionsPerAddress = 32;
  Duration m_MaxIdleTime = 2s;
  Duration m_ConnectTimeout = 1s;
  // TCP_USER_TIMEOUT: closes a connection whose data stays unacknowledged for
  // this long, since the peer's host is gone then. 0: the system's default of
  // several minutes.
  Duration m_TcpUserTimeout{0};
  // Accepts responses with neither Content-Length nor chunked coding, which end
  // when the connection closes. If false they count as incomplete, since a lost
  // connection looks the same as the end of the body. If true they do so only
  // if the connection fails while the request is still being written.
  bool m_AcceptCloseDelimited = false;
};

// HTTP client with a connection pool. A connection is reused only after a
// complete response with no bytes after it, so that no request receives the
// response to another one.
class HttpClient {
public:
  HttpClient(asio::io_context &Io, const Reachability &Reach,
             std::string BindIp, HttpClientLimits Limits = {});
  // Sends one request to "ip:port" and reads the response. With NewConnection
  // no pooled connection is used, so that a failure to send is never ambiguous.
  asio::awaitable<HttpResult> send(std::string Address, HttpRequest Request,
                                   Time Deadline, bool NewConnection = false);
  asio::awaitable<HttpResult> send(std::string Address, HttpRequest Request,
                                   Time Deadline, SendOptions Options);
  // Opens a connection to an address and pools it for the next request. Returns
  // whether that succeeded.
  asio::awaitable<bool> openIdleConnection(std::string Address, Time Deadline);
  // Whether a pooled connection to an address can still be used after a time.
  bool hasIdleConnection(const std::string &Address, Duration After) const;
  // Closes pooled connections that have passed their idle timeout.
  void closeExpiredConnections(Time Now);
  // Closes the pooled connections to an address.
  void closeIdleConnections(const std::string &Address) {
    m_IdleConnections.erase(Address);
  }
  std::size_t idleConnections() const;

private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  struct Exchange;
  asio::awaitable<ConnectionPtr> connect(std::string Address, Time Deadline,
                                         std::shared_ptr<Cancellation> Cancel);
  // Keeps a connection that was opened and not used.
  void keepUnused(const std::string &Address, ConnectionPtr Opened);
  ConnectionPtr takeIdleConnection(const std::string &Address,
                                   Duration MaxIdle);
  asio::awaitable<void> transfer(std::shared_ptr<Exchange> State);
  asio::awaitable<void> writeRestOfRequest(std::shared_ptr<Exchange> State,
                                           std::optional<BodyReader> Reader);
  asio::awaitable<bool> readResponseHead(std::shared_ptr<Exchange> State);
  // Returns the budget if connections are counted, otherwise null.
  BufferBudgetPtr connectionBudget() const;
  // Returns the bytes of the budget that buffered bodies leave to other uses.
  std::size_t bytesKeptFree() const;
  void returnToPool(Exchange &State);
  BodyStreamPtr streamBody(const std::shared_ptr<Exchange> &State);

  asio::io_context &m_Io;
  const Reachability &m_Reachability;
  std::string m_BindIp;
  HttpClientLimits m_Limits;
  std::map<std::string, std::deque<ConnectionPtr>> m_IdleConnections;
  // Idle timeouts that follow from the last response of each address, where
  // they are shorter than m_MaxIdleTime.
  std::map<std::string, Duration> m_IdleTimeouts;

public:
  ~HttpClient();
};

// Parses "ip:port" with an IPv4 address.
Result<asio::ip::tcp::endpoint> parseEndpoint(const std::string &Address);

} // namespace rhubarb::net
