#include "net/Clock.h"
#include "net/HttpBody.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <poll.h>

namespace rhubarb::net {
namespace {

using asio::ip::tcp;

constexpr std::array<std::string_view, 7> StageNames{
    "head", "waiting", "body", "running", "ready", "writing", "closing"};

using RequestParser = http::request_parser<http::buffer_body>;

// Limit on the bodies of control requests; fits snapshots and key handovers.
constexpr std::size_t MaxControlBodyBytes = 16U << 20U;
// Delay before the next accept after an error such as EMFILE.
constexpr Duration AcceptRetryDelay = 20ms;
// Limits of the lingering close, which reads the rest of a request that was
// answered early. Otherwise closing could reset the connection before the
// client has read the response.
constexpr std::size_t MaxLingerBytes = 1U << 20U;
constexpr Duration LingerTimeout = 1s;
// For this long after stopAccepting() requests that have arrived are still
// read.
constexpr Duration ReadOnDuration = 2s;
// After stopAccepting() a request whose bytes have been missing for this long
// holds the process no longer: its client may have stopped sending.
constexpr Duration IncompleteReadDuration = 1s;
// While a connection is not read, an end of it is looked for this often.
constexpr Duration CloseCheckInterval = 200ms;
// Parts of the budget that callers leave free, as divisors of its limit, where
// connections are counted. Bodies are streamed first, then connections are
// refused, then requests; the rest is left to control ports.
constexpr std::size_t BodyKeepDivisor = 2;
constexpr std::size_t RequestKeepDivisor = 8;
// Cost of an open connection beside its buffers: socket, timers, coroutine
// frames, parser.
constexpr std::size_t ConnectionBytes = 6U << 10U;
// Cost of a request in progress beside its head and body.
constexpr std::size_t RequestBytes = 4U << 10U;
// Refused connections that are being closed at once. Further ones stay in the
// listen queue until one of these has ended.
constexpr int MaxClosingRefused = 64;
constexpr Duration BuffersFullRetryAfter = 1s;

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

// Returns whether the client has closed the connection, also when bytes that
// were sent before are still unread.
bool hasPeerClosed(tcp::socket &Socket) {
  pollfd Polled{Socket.native_handle(), POLLRDHUP, 0};
  return ::poll(&Polled, 1, 0) > 0 &&
         (Polled.revents & (POLLRDHUP | POLLERR | POLLHUP)) != 0;
}

// Returns a buffer for bytes that are discarded.
asio::mutable_buffer discardBuffer() {
  thread_local std::array<char, BodyReadBytes> Discarded;
  return asio::buffer(Discarded);
}

// Returns the size of a request's start line and header fields.
std::size_t headBytes(const RequestParser &Parser) {
  std::size_t Sum = Parser.get().target().size();
  for (const auto &Field : Parser.get())
    Sum += Field.name_string().size() + Field.value().size();
  return Sum;
}

// Watches for the close of a connection while a handler runs. Ends without
// cancelling other operations of the socket, as the body of the request may be
// read on behind its handler.
class CloseWatch : public std::enable_shared_from_this<CloseWatch> {
public:
  CloseWatch(tcp::socket &Socket, std::shared_ptr<ClientConnection> State)
      : m_Socket(Socket), m_State(std::move(State)) {}
  // A pipelined request is left in the socket for the next read. Owner keeps
  // the socket alive until the watch has ended.
  void begin(std::shared_ptr<void> Owner);
  void end();

private:
  tcp::socket &m_Socket;
  std::shared_ptr<ClientConnection> m_State;
  asio::cancellation_signal m_Cancel; // Of the outstanding wait.
  bool m_Ended = false;
};

void CloseWatch::begin(std::shared_ptr<void> Owner) {
  m_Socket.async_wait(
      tcp::socket::wait_read,
      asio::bind_cancellation_slot(
          m_Cancel.slot(),
          [Self = shared_from_this(),
           Owner = std::move(Owner)](const boost::system::error_code &Error) {
            Self->m_Cancel.slot().clear();
            // The wait may have completed before it was cancelled.
            if (Error || Self->m_Ended)
              return;
            checkForClose(Self->m_Socket, *Self->m_State);
            if (Self->m_State->m_Closed && Self->m_State->m_OnClose)
              Self->m_State->m_OnClose();
          }));
}

void CloseWatch::end() {
  m_Ended = true;
  m_Cancel.emit(asio::cancellation_type::terminal);
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

std::string_view requestStageName(RequestStage Value) {
  return StageNames[static_cast<std::size_t>(Value)];
}

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

namespace {

// Returns whether a read failed because the budget refused a larger buffer.
bool isBufferFull(const ReadBuffer &Buffer,
                  const boost::system::error_code &Error) {
  return Error == http::error::buffer_overflow &&
         Buffer.capacity() < Buffer.max_size();
}

} // namespace

struct HttpServer::Connection {
  // Budget is null if connections are not counted.
  Connection(tcp::socket Socket, std::size_t MaxBuffered,
             const BufferBudgetPtr &Budget, std::size_t KeepFree)
      : m_Stream(std::move(Socket)),
        m_Buffer(MaxBuffered, CountingAllocator<char>(Budget, KeepFree)),
        m_Fixed(Budget) {
    m_Fixed.set(ConnectionBytes);
  }
  // Whether bytes behind the requests read so far have arrived.
  bool hasUnreadBytes() {
    boost::system::error_code Error;
    return m_Buffer.size() > 0 || m_Stream.socket().available(Error) > 0;
  }
  // Releases a read buffer that a long request has made large.
  void shrinkBuffer() {
    if (m_Buffer.size() == 0 && m_Buffer.capacity() > ReadAheadBytes)
      m_Buffer.shrink_to_fit();
  }
  void setWriteBlocked(bool Blocked) {
    m_WriteBlocked = Blocked;
    if (!Blocked && m_OnWritable)
      m_OnWritable();
  }
  beast::tcp_stream m_Stream;
  ReadBuffer m_Buffer;
  BufferedBytes m_Fixed;              // Counts the connection itself.
  bool m_WriteBlocked = false;        // A write waits for the client to read.
  std::function<void()> m_OnWritable; // Called when such a write has ended.
  std::string m_PeerIp;
  std::vector<const ReceivedRequest *> m_Requests; // In the order of reading.
  // Of the request that handle() runs. Null while it runs none.
  std::shared_ptr<CloseWatch> m_CloseWatch;
  // The connection exceeds a connection limit; its first request is refused.
  bool m_OverLimit = false;
};

// A request, and why it could not be read. Its connection lists it while it
// exists.
struct HttpServer::ReceivedRequest {
  explicit ReceivedRequest(ConnectionPtr Client) : m_Client(std::move(Client)) {
    m_Client->m_Requests.push_back(this);
  }
  ~ReceivedRequest() { std::erase(m_Client->m_Requests, this); }
  ReceivedRequest(const ReceivedRequest &) = delete;
  ReceivedRequest &operator=(const ReceivedRequest &) = delete;

  void enter(RequestStage Stage) {
    m_Stage = Stage;
    m_StageBegunAt = now();
  }
  // Whether bytes of the request that its handler needs are missing, and have
  // been for so long.
  bool isIncompleteFor(Duration Length) const {
    bool IsRead =
        m_Stage == RequestStage::Head || m_Stage == RequestStage::Body;
    return IsRead && now() - m_StageBegunAt >= Length;
  }

  ConnectionPtr m_Client;
  RequestStage m_Stage = RequestStage::Head;
  Time m_StageBegunAt = now();
  Time m_BegunAt = now(); // When its first byte was read.
  std::shared_ptr<RequestParser> m_Parser;
  boost::system::error_code m_Error;
  bool m_BuffersFull = false;
  HttpRequest m_Request;
  std::optional<BufferedBytes> m_Buffered; // Counts the request's body.
  std::optional<BufferedBytes> m_Head;     // Counts all else of the request.
};

// The connections of a server. Coroutines that end after the server share it.
struct HttpServer::ConnectionTable {
  std::set<ConnectionPtr> m_Open;
  std::map<std::string, int> m_OpenPerIp;
  int m_ClosingRefused = 0; // Refused connections that are not closed yet.
  int m_AcceptLoops = 0;    // May hold a connection that is not listed yet.
};

// Lists a connection while it exists.
class HttpServer::ConnectionScope {
public:
  ConnectionScope(std::shared_ptr<ConnectionTable> Table, ConnectionPtr Client)
      : m_Table(std::move(Table)), m_Client(std::move(Client)) {
    m_Table->m_Open.insert(m_Client);
    ++m_Table->m_OpenPerIp[m_Client->m_PeerIp];
  }
  ~ConnectionScope() {
    m_Table->m_Open.erase(m_Client);
    auto Count = m_Table->m_OpenPerIp.find(m_Client->m_PeerIp);
    if (--Count->second == 0)
      m_Table->m_OpenPerIp.erase(Count);
  }
  ConnectionScope(const ConnectionScope &) = delete;
  ConnectionScope &operator=(const ConnectionScope &) = delete;
  const ConnectionPtr &client() const { return m_Client; }

private:
  std::shared_ptr<ConnectionTable> m_Table;
  ConnectionPtr m_Client;
};

// Counts something in a server's table of connections while it exists.
class HttpServer::CountScope {
public:
  CountScope(std::shared_ptr<ConnectionTable> Table,
             int ConnectionTable::*Counter)
      : m_Table(std::move(Table)), m_Counter(Counter) {
    ++(*m_Table.*m_Counter);
  }
  ~CountScope() { --(*m_Table.*m_Counter); }
  CountScope(const CountScope &) = delete;
  CountScope &operator=(const CountScope &) = delete;

private:
  std::shared_ptr<ConnectionTable> m_Table;
  int ConnectionTable::*m_Counter;
};

// Serves one connection whose client sends further requests before the first
// response. Requests without a body run side by side; responses are written in
// the order of their requests.
class HttpServer::Pipeline
    : public std::enable_shared_from_this<HttpServer::Pipeline> {
public:
  Pipeline(HttpServer &Server, ConnectionPtr Client)
      : m_Server(Server), m_Client(std::move(Client)),
        m_Changed(Server.m_Io, asio::steady_timer::time_point::max()),
        m_ReadTimer(Server.m_Io) {}
  // Returns when the connection is to be closed and no coroutine uses it.
  asio::awaitable<void> run();

private:
  // A request in progress.
  struct Entry {
    std::shared_ptr<ReceivedRequest> m_Received;
    std::shared_ptr<ClientConnection> m_State;
    BodyStreamPtr m_RequestBody;
    HttpResponse m_Response;
    bool m_IsDone = false;
  };
  using EntryPtr = std::shared_ptr<Entry>;

  asio::awaitable<void> readRequests();
  asio::awaitable<bool> readOneRequest();
  asio::awaitable<void> handleEntry(EntryPtr Item);
  asio::awaitable<bool> writeResponse(EntryPtr Item);
  // Whether the connection ends with the response to the first request, as a
  // planned stop has begun and nothing more has arrived.
  asio::awaitable<bool> endsPlanned();
  asio::awaitable<void> waitForChange();
  // Waits like waitForChange() while the connection is not read, and looks for
  // its end meanwhile, which no read would see.
  asio::awaitable<void> waitUnread();
  void notify() { m_Changed.cancel(); }
  bool mayReadNext() const;
  void stopReading();
  // Limits how long the client may take for a request, from now on. The timer
  // of the stream would close the socket under the responses of earlier
  // requests.
  void setReadTimeout(Duration Timeout);
  void onReadTimeout();
  void endClient();
  // Cancels all requests: their client has disconnected, or their responses
  // cannot be sent any more.
  void cancelRequests();

  HttpServer &m_Server;
  ConnectionPtr m_Client;
  std::deque<EntryPtr> m_Entries; // In the order of their requests.
  bool m_StopReading = false;
  bool m_ReadsArrived = false; // It reads on only what has arrived.
  bool m_IsReading = true;     // readRequests() is running.
  bool m_ReadsSocket = false;  // It waits for bytes of the client.
  bool m_ReadsRequest = false; // It has a part of a request.
  bool m_ClientGone = false;
  asio::steady_timer m_Changed; // Cancelled at each change of state.
  asio::steady_timer m_ReadTimer;
  std::uint64_t m_ReadTimeouts = 0; // Time-outs set so far.
};

asio::awaitable<void> HttpServer::Pipeline::waitForChange() {
  co_await m_Changed.async_wait(Await);
}

asio::awaitable<void> HttpServer::Pipeline::waitUnread() {
  auto Timer =
      std::make_shared<asio::steady_timer>(m_Server.m_Io, CloseCheckInterval);
  Timer->async_wait([Self = shared_from_this(),
                     Timer](const boost::system::error_code &Error) {
    if (Error)
      return;
    if (hasPeerClosed(Self->m_Client->m_Stream.socket()))
      Self->endClient();
    Self->notify();
  });
  co_await waitForChange();
  Timer->cancel();
}

void HttpServer::Pipeline::endClient() {
  m_ClientGone = true;
  cancelRequests();
  stopReading();
}

void HttpServer::Pipeline::setReadTimeout(Duration Timeout) {
  std::uint64_t Number = ++m_ReadTimeouts;
  m_ReadTimer.expires_after(Timeout);
  m_ReadTimer.async_wait([Weak = weak_from_this(),
                          Number](const boost::system::error_code &Error) {
    auto Self = Weak.lock();
    if (!Error && Self && Number == Self->m_ReadTimeouts)
      Self->onReadTimeout();
  });
}

// Requests in progress are answered before the connection ends, so their
// writes must not be cancelled together with the read.
void HttpServer::Pipeline::onReadTimeout() {
  m_StopReading = true;
  notify();
}

asio::awaitable<void> HttpServer::Pipeline::run() {
  m_Client->m_OnWritable = [Weak = weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->notify();
  };
  asio::co_spawn(
      m_Server.m_Io,
      [](std::shared_ptr<Pipeline> Self) -> asio::awaitable<void> {
        co_await Self->readRequests();
      }(shared_from_this()),
      asio::detached);
  for (;;) {
    while (m_IsReading && !m_StopReading &&
           (m_Entries.empty() || !m_Entries.front()->m_IsDone))
      co_await waitForChange();
    if (m_Entries.empty() || m_ClientGone)
      break;
    if (!m_Entries.front()->m_IsDone) {
      co_await waitForChange();
      continue;
    }
    EntryPtr Item = m_Entries.front();
    bool Reusable = co_await writeResponse(Item);
    m_Entries.pop_front();
    if (!Reusable)
      break;
    if (m_Entries.empty() && !m_ReadsRequest)
      setReadTimeout(m_Server.m_Limits.m_IdleTimeout);
    notify(); // There is room for another request.
  }
  cancelRequests();
  stopReading();
  ++m_ReadTimeouts;
  m_ReadTimer.cancel();
  m_Client->m_OnWritable = nullptr;
  while (m_IsReading)
    co_await waitForChange();
}

// A planned stop closes the connection after the last request that has arrived:
// servers may be running those behind the first, and a client cannot know which
// of its requests have run.
asio::awaitable<bool> HttpServer::Pipeline::writeResponse(EntryPtr Item) {
  if (!m_Server.m_Reachability.allows(m_Client->m_PeerIp))
    co_return false;
  const RequestParser &Parser = *Item->m_Received->m_Parser;
  bool HasWholeBody = !Item->m_Received->m_Error && Parser.is_done();
  bool Closes = !HasWholeBody || !Parser.keep_alive() ||
                Item->m_Response.m_CloseConnection;
  bool EndsPlanned = false;
  if (!Closes && m_Server.isStopping())
    EndsPlanned = co_await endsPlanned();
  auto IsLast = [&] {
    return Closes || EndsPlanned || (m_StopReading && m_Entries.size() == 1);
  };
  // The end of the connection reads as well.
  if (IsLast())
    stopReading();
  while (IsLast() && m_IsReading)
    co_await waitForChange();
  bool KeepAlive = !IsLast();
  bool IsHead = Parser.get().method() == http::verb::head;
  co_return co_await m_Server.respond(m_Client, *Item->m_Received,
                                      std::move(Item->m_Response), KeepAlive,
                                      IsHead, Item->m_RequestBody);
}

asio::awaitable<bool> HttpServer::Pipeline::endsPlanned() {
  if (m_Entries.size() > 1)
    co_return false; // More may come until the last response is ready.
  m_ReadsArrived = true;
  if (m_ReadsSocket && !m_ReadsRequest)
    m_Client->m_Stream.cancel();
  // The read may have completed before it was cancelled.
  while (m_ReadsSocket && !m_ReadsRequest)
    co_await waitForChange();
  bool HasMore =
      m_IsReading && (m_ReadsRequest || m_Server.mayReadOn(*m_Client));
  co_return m_Entries.size() == 1 && !HasMore;
}

void HttpServer::Pipeline::stopReading() {
  m_StopReading = true;
  if (m_ReadsSocket)
    m_Client->m_Stream.cancel();
  notify();
}

void HttpServer::Pipeline::cancelRequests() {
  for (const EntryPtr &Item : m_Entries) {
    if (Item->m_IsDone || !Item->m_State || Item->m_State->m_Closed)
      continue;
    Item->m_State->m_Closed = true;
    if (Item->m_State->m_OnClose)
      Item->m_State->m_OnClose();
  }
}

// Responses that wait for their turn take memory until the client reads.
bool HttpServer::Pipeline::mayReadNext() const {
  if (m_Entries.empty())
    return true;
  const BufferBudgetPtr &Budget = m_Server.m_Limits.m_Budget;
  auto Most =
      static_cast<std::size_t>(m_Server.m_Limits.m_MaxPipelinedRequests);
  return m_Entries.size() < Most && !m_Entries.back()->m_RequestBody &&
         !m_Client->m_WriteBlocked &&
         (!Budget || Budget->leftBytes() > MaxUnparsedBytes);
}

asio::awaitable<void> HttpServer::Pipeline::readRequests() {
  bool GoesOn = true;
  while (GoesOn && !m_StopReading) {
    bool ReadsArrived =
        m_ReadsArrived || (m_Server.m_Stopping && m_Entries.empty());
    if (ReadsArrived && !m_Server.mayReadOn(*m_Client))
      break;
    GoesOn = co_await readOneRequest();
  }
  m_IsReading = false;
  notify();
}

// Returns whether to go on reading.
asio::awaitable<bool> HttpServer::Pipeline::readOneRequest() {
  while (!m_StopReading && !mayReadNext())
    co_await waitUnread();
  beast::tcp_stream &Stream = m_Client->m_Stream;
  if (!m_StopReading && m_Client->m_Buffer.size() == 0) {
    m_Client->shrinkBuffer();
    Stream.expires_never();
    if (m_Entries.empty())
      setReadTimeout(m_Server.m_Limits.m_IdleTimeout);
    m_ReadsSocket = true;
    auto [Error, Bytes] = co_await Stream.async_read_some(
        m_Client->m_Buffer.prepare(ReadAheadBytes), Await);
    m_ReadsSocket = false;
    notify();
    bool EndsIdle = Error == asio::error::operation_aborted && !m_StopReading &&
                    (m_Server.m_Stopping || m_ReadsArrived);
    if (Error && !m_StopReading && !EndsIdle)
      endClient();
    if (Error)
      co_return EndsIdle; // Bytes may have arrived with the end.
    m_Client->m_Buffer.commit(Bytes);
  }
  if (m_StopReading)
    co_return false;
  m_ReadsRequest = true;
  auto Received = std::make_shared<ReceivedRequest>(m_Client);
  Stream.expires_never();
  setReadTimeout(m_Server.m_Limits.m_HeaderTimeout);
  m_ReadsSocket = true;
  co_await m_Server.receiveHead(m_Client, Received);
  m_ReadsSocket = false;
  ++m_ReadTimeouts; // The head is complete: its time-out has no effect.
  m_ReadTimer.cancel();
  bool Disconnected = Received->m_Error && !m_StopReading &&
                      readErrorKind(Received->m_Error) == ErrorKind::None;
  if (Disconnected)
    endClient();
  if (Disconnected || (Received->m_Error && m_StopReading) ||
      !m_Server.m_Reachability.allows(m_Client->m_PeerIp))
    co_return false;
  bool HasBody = !Received->m_Error && !Received->m_Parser->is_done();
  Received->enter(RequestStage::Waiting);
  while ((HasBody || m_Client->m_WriteBlocked) && !m_Entries.empty() &&
         !m_StopReading)
    co_await waitUnread();
  if (m_StopReading)
    co_return false;
  co_await m_Server.receiveBody(m_Client, Received);
  auto Item = std::make_shared<Entry>();
  Item->m_Received = Received;
  if (Received->m_Error || m_Client->m_OverLimit || Received->m_BuffersFull) {
    std::optional<HttpResponse> Refusal =
        m_Server.refusalOf(*m_Client, *Received);
    if (!Refusal)
      co_return false;
    Item->m_Response = std::move(*Refusal);
    Received->enter(RequestStage::Ready);
    Item->m_IsDone = true;
    m_Entries.push_back(std::move(Item));
    co_return false;
  }
  Item->m_State = Received->m_Request.m_Client;
  Item->m_RequestBody = Received->m_Request.m_BodyStream;
  m_Entries.push_back(Item);
  m_ReadsRequest = false;
  asio::co_spawn(
      m_Server.m_Io,
      [](std::shared_ptr<Pipeline> Self,
         EntryPtr Started) -> asio::awaitable<void> {
        co_await Self->handleEntry(std::move(Started));
      }(shared_from_this(), Item),
      asio::detached);
  bool IsLast = !Received->m_Parser->keep_alive();
  Received.reset(); // Its entry keeps it.
  // A body is read by its handler; the next request comes after it. Behind a
  // request that ends the connection there is none.
  while (HasBody && !m_Entries.empty() && !m_StopReading)
    co_await waitForChange();
  while (IsLast && !m_Entries.empty() && !m_StopReading)
    co_await waitUnread();
  co_return !m_StopReading && !IsLast;
}

asio::awaitable<void> HttpServer::Pipeline::handleEntry(EntryPtr Item) {
  HttpRequest Request = std::move(Item->m_Received->m_Request);
  bool HasBody = Item->m_RequestBody != nullptr || !Request.m_Body.empty();
  // A process that was starved of CPU may read requests long after their
  // clients have disconnected.
  if (!HasBody && hasPeerClosed(m_Client->m_Stream.socket()))
    Item->m_State->m_Closed = true;
  Item->m_Received->enter(RequestStage::Running);
  if (HasBody)
    Item->m_Response = co_await m_Server.handle(m_Client, std::move(Request));
  else
    Item->m_Response = co_await m_Server.runHandler(std::move(Request));
  HttpResponse &Response = Item->m_Response;
  if (BufferBudgetPtr Budget = m_Server.connectionBudget();
      Budget && !Response.m_Buffered) {
    Response.m_Buffered = std::make_shared<BufferedBytes>(Budget);
    Response.m_Buffered->set(Response.m_Body.size());
  }
  Item->m_Received->enter(RequestStage::Ready);
  Item->m_IsDone = true;
  notify();
}

HttpServer::HttpServer(asio::io_context &Io, const Reachability &Reach,
                       HttpServerLimits Limits, HttpHandler Handler)
    : m_Io(Io), m_Reachability(Reach), m_Limits(std::move(Limits)),
      m_Handler(std::move(Handler)), m_Acceptor(Io),
      m_Connections(std::make_shared<ConnectionTable>()) {}

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
  auto Accepting = std::make_unique<CountScope>(
      m_Connections, &ConnectionTable::m_AcceptLoops);
  asio::co_spawn(m_Io, acceptLoop(std::move(Accepting)), asio::detached);
  return m_Acceptor.local_endpoint().port();
}

void HttpServer::reportRefusal(ErrorKind Kind) const {
  if (m_OnRefusal)
    m_OnRefusal(Kind);
}

void HttpServer::stopAccepting() {
  m_Stopping = true;
  m_StoppingSince = now();
  // Closing the port would reset the connections in the listen queue.
  boost::system::error_code Error;
  m_Acceptor.non_blocking(true, Error);
  while (!Error) {
    tcp::socket Socket(m_Io);
    m_Acceptor.accept(Socket, Error);
    if (!Error)
      admit(std::move(Socket));
  }
  m_Acceptor.close(Error);
  for (const ConnectionPtr &Client : m_Connections->m_Open)
    if (Client->m_Requests.empty())
      Client->m_Stream.cancel();
}

asio::awaitable<void>
HttpServer::acceptLoop(std::unique_ptr<CountScope> Scope) {
  const auto Counted = std::move(Scope);
  while (!m_Stopping) {
    auto [Error, Socket] = co_await m_Acceptor.async_accept(Await);
    if (Error && m_Stopping)
      break;
    if (Error) {
      asio::steady_timer Pause(m_Io, AcceptRetryDelay);
      co_await Pause.async_wait(Await);
      continue;
    }
    admit(std::move(Socket));
    while (m_Connections->m_ClosingRefused >= MaxClosingRefused &&
           !m_Stopping) {
      asio::steady_timer Pause(m_Io, AcceptRetryDelay);
      co_await Pause.async_wait(Await);
    }
  }
}

void HttpServer::admit(tcp::socket Socket) {
  boost::system::error_code Error;
  auto Peer = Socket.remote_endpoint(Error);
  if (Error)
    return;
  Socket.set_option(tcp::no_delay(true), Error);
  BufferBudgetPtr Budget = connectionBudget();
  std::size_t Needed = ConnectionBytes + ReadAheadBytes;
  if (Budget &&
      Budget->leftBytes() < Needed + bytesKeptFree(BudgetKeepDivisor)) {
    reportRefusal(ErrorKind::BuffersFull);
    asio::co_spawn(m_Io,
                   refuseConnection(
                       std::move(Socket),
                       std::make_unique<CountScope>(
                           m_Connections, &ConnectionTable::m_ClosingRefused)),
                   asio::detached);
    return;
  }
  auto Client = std::make_shared<Connection>(
      std::move(Socket),
      std::max(MaxUnparsedBytes, m_Limits.m_MaxHeaderBytes + ReadAheadBytes),
      Budget, bytesKeptFree(RequestKeepDivisor));
  Client->m_PeerIp = Peer.address().to_string();
  auto SameIp = m_Connections->m_OpenPerIp.find(Client->m_PeerIp);
  Client->m_OverLimit = connections() >= m_Limits.m_MaxConnections ||
                        (SameIp != m_Connections->m_OpenPerIp.end() &&
                         SameIp->second >= m_Limits.m_MaxConnectionsPerIp);
  asio::co_spawn(
      m_Io,
      serveConnection(std::make_unique<ConnectionScope>(m_Connections, Client)),
      asio::detached);
}

asio::awaitable<void>
HttpServer::serveConnection(std::unique_ptr<ConnectionScope> Scope) {
  const ConnectionPtr Client = Scope->client();
  if (m_Limits.m_MaxPipelinedRequests > 1) {
    auto Requests = std::make_shared<Pipeline>(*this, Client);
    co_await Requests->run();
  }
  while (m_Limits.m_MaxPipelinedRequests <= 1 &&
         (!m_Stopping || mayReadOn(*Client))) {
    bool KeepAlive = co_await serveRequest(Client);
    if (!KeepAlive)
      break;
  }
  boost::system::error_code Ignored;
  Client->m_Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
  // Closing now would reset the connection under the last response.
  if (Client->hasUnreadBytes())
    co_await lingeringClose(Client);
  // Whoever reads the body of a request still would keep the socket open.
  Client->m_Stream.close();
}

asio::awaitable<void>
HttpServer::receiveHead(ConnectionPtr Client,
                        std::shared_ptr<ReceivedRequest> Into) {
  beast::tcp_stream &Stream = Client->m_Stream;
  Into->m_Parser = std::make_shared<RequestParser>();
  RequestParser &Parser = *Into->m_Parser;
  Parser.header_limit(static_cast<std::uint32_t>(m_Limits.m_MaxHeaderBytes));
  Parser.body_limit(m_Limits.m_MaxBodyBytes);
  auto [Error, Bytes] =
      co_await http::async_read_header(Stream, Client->m_Buffer, Parser, Await);
  Into->m_Error = Error;
  BufferBudgetPtr Budget = connectionBudget();
  if (!Budget)
    co_return;
  Into->m_Head.emplace(Budget, bytesKeptFree(RequestKeepDivisor));
  // The parser and the request each have a copy of the head.
  bool Fits =
      Error || Into->m_Head->reserve(RequestBytes + 2 * headBytes(Parser));
  Into->m_BuffersFull = !Fits || isBufferFull(Client->m_Buffer, Error);
}

asio::awaitable<void>
HttpServer::receiveBody(ConnectionPtr Client,
                        std::shared_ptr<ReceivedRequest> Into) {
  beast::tcp_stream &Stream = Client->m_Stream;
  RequestParser &Parser = *Into->m_Parser;
  boost::system::error_code &Error = Into->m_Error;
  Into->enter(RequestStage::Body);
  if (Into->m_BuffersFull)
    co_return; // Refused before its body is read.
  if (!Error && !Parser.is_done() &&
      beast::iequals(Parser.get()[http::field::expect], "100-continue")) {
    http::response<http::empty_body> Continue{http::status::continue_, 11};
    auto [WriteError, Written] =
        co_await http::async_write(Stream, Continue, Await);
    Error = WriteError;
  }
  std::string Body;
  BufferedBytes &Buffered = Into->m_Buffered.emplace(
      m_Limits.m_Budget, bytesKeptFree(BodyKeepDivisor));
  while (!Error && !Parser.is_done() &&
         Body.size() < m_Limits.m_MaxBufferedBodyBytes &&
         Buffered.reserve(capacityForRead(Body))) {
    Stream.expires_after(m_Limits.m_ReadTimeout);
    Error = co_await readBodyFragment(Stream, Client->m_Buffer, Parser, Body);
    Buffered.set(Body.capacity());
  }
  bool Streams =
      m_Limits.m_MaxBufferedBodyBytes < std::numeric_limits<std::size_t>::max();
  Into->m_BuffersFull = (!Error && !Parser.is_done() && !Streams) ||
                        isBufferFull(Client->m_Buffer, Error);
  if (Error || Into->m_BuffersFull)
    co_return;
  HttpRequest &Request = Into->m_Request;
  Request = toHttpRequest(Parser, Client->m_PeerIp);
  Request.m_Body = std::move(Body);
  Request.m_Client = std::make_shared<ClientConnection>();
  if (Parser.is_done())
    co_return;
  Request.m_BodyStream = std::make_shared<BodyStream>();
  if (auto Length = Parser.content_length())
    Request.m_BodyStream->m_ContentLength = *Length;
  Request.m_BodyStream->m_ReadNext =
      [this, Client, Held = Into->m_Parser,
       State = Request.m_Client]() -> asio::awaitable<BodyFragment> {
    BodyFragment Fragment;
    Client->m_Stream.expires_after(m_Limits.m_ReadTimeout);
    auto ReadError = co_await readCountedFragment(
        Client->m_Stream, Client->m_Buffer, *Held, Fragment, connectionBudget(),
        bytesKeptFree(BudgetKeepDivisor));
    Client->m_Stream.expires_never();
    Fragment.m_Aborted = bool(ReadError);
    Fragment.m_Last = Held->is_done();
    if (Fragment.m_Aborted && !State->m_Closed) {
      State->m_Closed = true;
      if (State->m_OnClose)
        State->m_OnClose();
    } else if (Fragment.m_Last && Client->m_CloseWatch) {
      Client->m_CloseWatch->begin(Client);
    }
    co_return Fragment;
  };
}

std::optional<HttpResponse>
HttpServer::refusalOf(const Connection &Client,
                      const ReceivedRequest &Received) const {
  ErrorKind Kind = readErrorKind(Received.m_Error);
  if (Received.m_BuffersFull)
    Kind = ErrorKind::BuffersFull;
  if (Client.m_OverLimit)
    Kind = ErrorKind::TooManyConnections;
  if (Kind == ErrorKind::None)
    return std::nullopt;
  reportRefusal(Kind);
  HttpResponse Refusal = errorResponse(
      Kind, Received.m_Error ? Received.m_Error.message() : std::string(),
      m_Limits.m_CountsConnections && Kind == ErrorKind::BuffersFull
          ? BuffersFullRetryAfter
          : Duration{0});
  Refusal.m_CloseConnection = true;
  return Refusal;
}

// Reads one request, handles it and writes its response. Returns whether the
// connection can be reused.
asio::awaitable<bool> HttpServer::serveRequest(ConnectionPtr Client) {
  beast::tcp_stream &Stream = Client->m_Stream;
  if (Client->m_Buffer.size() == 0) {
    if (m_Limits.m_CountsConnections)
      Client->shrinkBuffer();
    Stream.expires_after(m_Limits.m_IdleTimeout);
    auto [Error, Bytes] = co_await Stream.async_read_some(
        Client->m_Buffer.prepare(ReadAheadBytes), Await);
    if (Error) // Bytes may have arrived as stopAccepting() cancelled the read.
      co_return Error == asio::error::operation_aborted &&m_Stopping;
    Client->m_Buffer.commit(Bytes);
  }
  // From here on, stopAccepting() lets the request finish.
  auto Received = std::make_shared<ReceivedRequest>(Client);
  Stream.expires_after(m_Limits.m_HeaderTimeout);
  co_await receiveHead(Client, Received);
  // Clients behind a simulated partition get no response.
  if (!m_Reachability.allows(Client->m_PeerIp))
    co_return false;
  co_await receiveBody(Client, Received);
  if (Received->m_Error || Client->m_OverLimit || Received->m_BuffersFull) {
    std::optional<HttpResponse> Refusal = refusalOf(*Client, *Received);
    if (!Refusal)
      co_return false;
    bool Ignored =
        co_await respond(Client, *Received, std::move(*Refusal), false, false);
    // The connection is closed whatever respond() returns.
    co_return Ignored && false;
  }
  std::shared_ptr<RequestParser> Parser = Received->m_Parser;
  bool IsHead = Parser->get().method() == http::verb::head;
  bool KeepAlive = Parser->get().keep_alive();
  BodyStreamPtr RequestBody = Received->m_Request.m_BodyStream;
  Received->enter(RequestStage::Running);
  HttpResponse Response =
      co_await handle(Client, std::move(Received->m_Request));
  // The partition may have begun while the request was handled.
  if (!m_Reachability.allows(Client->m_PeerIp))
    co_return false;
  bool EndsPlanned = isStopping() && !mayReadOn(*Client);
  KeepAlive = KeepAlive && Parser->is_done() && !EndsPlanned &&
              !Response.m_CloseConnection;
  co_return co_await respond(Client, *Received, std::move(Response), KeepAlive,
                             IsHead, std::move(RequestBody));
}

// Runs the handler while watching for the client to disconnect.
asio::awaitable<HttpResponse> HttpServer::handle(ConnectionPtr Client,
                                                 HttpRequest Request) {
  Client->m_Stream.expires_never();
  Client->m_CloseWatch =
      std::make_shared<CloseWatch>(Client->m_Stream.socket(), Request.m_Client);
  if (!Request.m_BodyStream) {
    // A process that was starved of CPU may read requests long after their
    // clients have disconnected.
    checkForClose(Client->m_Stream.socket(), *Request.m_Client);
    Client->m_CloseWatch->begin(Client);
  }
  HttpResponse Response = co_await runHandler(std::move(Request));
  std::exchange(Client->m_CloseWatch, nullptr)->end();
  co_return Response;
}

asio::awaitable<HttpResponse> HttpServer::runHandler(HttpRequest Request) {
  HttpResponse Response;
  try {
    Response = co_await m_Handler(std::move(Request));
  } catch (const std::exception &Exception) {
    Response = errorResponse(ErrorKind::Internal, Exception.what());
  }
  co_return Response;
}

asio::awaitable<bool> HttpServer::respond(ConnectionPtr Client,
                                          ReceivedRequest &To,
                                          HttpResponse Response, bool KeepAlive,
                                          bool IsHead,
                                          BodyStreamPtr RequestBody) {
  if (Response.m_AbortConnection)
    co_return false;
  To.enter(RequestStage::Writing);
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
  BufferedBytes Unwritten(connectionBudget());
  if (m_Limits.m_CountsConnections) {
    Unwritten.set(Text.capacity() + FirstFragment.m_Bytes.capacity());
    Response.m_Buffered.reset(); // Counted the same bytes.
  }
  Stream.expires_after(m_Limits.m_WriteTimeout);
  boost::system::error_code Error;
  std::size_t Sent = writeWithoutBlocking(Stream.socket(), Text, Error);
  if (!Error && Sent < Text.size()) {
    Client->setWriteBlocked(true);
    auto [WriteError, Written] = co_await asio::async_write(
        Stream, asio::buffer(Text.data() + Sent, Text.size() - Sent), Await);
    Client->setWriteBlocked(false);
    Error = WriteError;
  }
  if (!Error && !FirstFragment.m_Bytes.empty()) {
    Client->setWriteBlocked(true);
    Error = co_await writeBodyFragment(Stream, FirstFragment, Chunked);
    Client->setWriteBlocked(false);
  }
  std::string().swap(Text); // Assigning an empty string would keep the memory.
  std::string().swap(FirstFragment.m_Bytes);
  Unwritten.set(0);
  while (!Error && Response.m_BodyStream && !IsHead) {
    BodyFragment Fragment = co_await Response.m_BodyStream->m_ReadNext();
    if (Fragment.m_Aborted) {
      Error = asio::error::connection_aborted; // Leaves the body incomplete.
      break;
    }
    Stream.expires_after(m_Limits.m_WriteTimeout);
    Client->setWriteBlocked(true);
    Error = co_await writeBodyFragment(Stream, Fragment, Chunked);
    Client->setWriteBlocked(false);
    if (Fragment.m_Last)
      break;
  }
  // Bytes that arrive behind the last request would reset the connection under
  // the response if they were still unread when it closes.
  bool IsLast = !KeepAlive || Response.m_CloseConnection;
  if (!Error && IsLast) {
    To.enter(RequestStage::Closing);
    boost::system::error_code Ignored;
    Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
    if (RequestBody)
      co_await waitForBodyReader(Client, std::move(RequestBody));
  }
  if (!Error && IsLast)
    co_await lingeringClose(Client);
  co_return !IsLast && !Error;
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

bool HttpServer::hasConnections() const {
  const ConnectionTable &Table = *m_Connections;
  if (Table.m_AcceptLoops > 0 || Table.m_ClosingRefused > 0)
    return true;
  if (!m_Stopping || now() < m_StoppingSince + IncompleteReadDuration)
    return !Table.m_Open.empty();
  auto IsIncomplete = [](const ReceivedRequest *Row) {
    return Row->isIncompleteFor(IncompleteReadDuration);
  };
  return std::any_of(Table.m_Open.begin(), Table.m_Open.end(),
                     [&](const ConnectionPtr &Client) {
                       return Client->m_Requests.empty() ||
                              !std::all_of(Client->m_Requests.begin(),
                                           Client->m_Requests.end(),
                                           IsIncomplete);
                     });
}

int HttpServer::connections() const {
  return static_cast<int>(m_Connections->m_Open.size());
}

std::vector<OpenRequest> HttpServer::openRequests() const {
  std::vector<OpenRequest> Open;
  for (const ConnectionPtr &Client : m_Connections->m_Open)
    for (const ReceivedRequest *Row : Client->m_Requests) {
      OpenRequest &Request = Open.emplace_back();
      Request.m_Stage = Row->m_Stage;
      Request.m_Age = now() - Row->m_BegunAt;
      Request.m_PeerIp = Client->m_PeerIp;
      if (!Row->m_Parser || !Row->m_Parser->is_header_done())
        continue;
      Request.m_Target = Row->m_Parser->get().target();
      Request.m_Headers = copyHeaders(Row->m_Parser->get());
    }
  return Open;
}

int HttpServer::unreadConnections() const {
  return static_cast<int>(std::count_if(
      m_Connections->m_Open.begin(), m_Connections->m_Open.end(),
      [](const ConnectionPtr &Client) {
        return Client->m_Requests.empty() && Client->hasUnreadBytes();
      }));
}

bool HttpServer::mayReadOn(Connection &Client) const {
  if (!isStopping())
    return true;
  if (m_Stopping && now() >= m_StoppingSince + ReadOnDuration)
    return false;
  return Client.hasUnreadBytes();
}

BufferBudgetPtr HttpServer::connectionBudget() const {
  return m_Limits.m_CountsConnections ? m_Limits.m_Budget : nullptr;
}

std::size_t HttpServer::bytesKeptFree(std::size_t Divisor) const {
  BufferBudgetPtr Budget = connectionBudget();
  return Budget ? Budget->limitBytes() / Divisor : 0;
}

// The response is sent before the request is read, as reading it takes memory.
// It is true: nothing of the request has run.
asio::awaitable<void>
HttpServer::refuseConnection(tcp::socket Socket,
                             std::unique_ptr<CountScope> Scope) {
  const auto Counted = std::move(Scope);
  beast::tcp_stream Stream(std::move(Socket));
  boost::system::error_code Error;
  auto Peer = Stream.socket().remote_endpoint(Error);
  if (!Error && m_Reachability.allows(Peer.address().to_string())) {
    HttpResponse Refusal =
        errorResponse(ErrorKind::BuffersFull, {}, BuffersFullRetryAfter);
    bool Chunked = false;
    std::string Text =
        responseHead(Refusal, false, false, Chunked) + Refusal.m_Body;
    writeWithoutBlocking(Stream.socket(), Text, Error);
    Stream.socket().shutdown(tcp::socket::shutdown_send, Error);
    Stream.expires_after(LingerTimeout);
    bool Reads = true;
    for (std::size_t Total = 0; Reads && Total < MaxLingerBytes;) {
      auto [ReadError, Bytes] =
          co_await Stream.async_read_some(discardBuffer(), Await);
      Total += Bytes;
      Reads = !ReadError;
    }
  }
}

// Reads until the client closes the connection or a limit is reached.
asio::awaitable<void> HttpServer::lingeringClose(ConnectionPtr Client) {
  Client->m_Stream.expires_after(LingerTimeout);
  for (std::size_t Total = 0; Total < MaxLingerBytes;) {
    auto [Error, Bytes] =
        co_await Client->m_Stream.async_read_some(discardBuffer(), Await);
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
