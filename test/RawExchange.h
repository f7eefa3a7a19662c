// A stand-in for a backend server in trouble, and uploads to it. The server
// answers with raw bytes and ends the connection in a chosen way, whether or
// not it has read the request.
#pragma once

#include "net/Clock.h"
#include "net/Daemon.h"
#include "net/HttpBody.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace rhubarb::test {

using namespace rhubarb::net;
using asio::ip::tcp;

// Ends every upload, so that the server knows when it has read the whole one.
inline constexpr std::string_view UploadEnd = "[end of the upload]";

// How the server ends the connection after its answer.
enum class ConnectionEnd : std::uint8_t {
  Close, // Stops sending, and reads until the client closes.
  Reset,
  CloseThenReset, // Stops sending, and resets at once.
  Silent,         // Neither reads nor writes.
};

struct RawAnswer {
  std::string m_Text;
  ConnectionEnd m_End = ConnectionEnd::Reset;
  bool m_ReadsUpload = false; // Reads the whole upload before it answers.
  Duration m_PauseBefore{0};  // Between the request and the answer.
  Duration m_PauseAfter{0};   // Between the answer and the end.
  bool m_SendsBytewise = false;
  // Sent again and again after m_Text, until the client closes.
  std::string m_RepeatedText = {};
  Duration m_RepeatPause{0};
  // Counts the requests received, if not null.
  std::shared_ptr<std::size_t> m_Requests = nullptr;
  // Sends m_Text in fragments of this many bytes, one each m_FragmentInterval.
  // 0: not in fragments.
  std::size_t m_FragmentBytes = 0;
  Duration m_FragmentInterval{0};
  Duration m_PauseInMiddle{0};                  // After half of the fragments.
  std::function<void()> m_OnAnswered = nullptr; // Called behind m_Text.
};

// Closes a connection with a reset.
inline void resetConnection(tcp::socket &Socket) {
  boost::system::error_code Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

// Reads once and keeps the last bytes received in Tail. Returns false at the
// end of the connection.
inline asio::awaitable<bool> readMore(tcp::socket &Socket, std::string &Tail) {
  constexpr std::size_t TailBytes = 64;
  std::string Buffer(BodyReadBytes, '\0');
  auto [Error, Bytes] =
      co_await Socket.async_read_some(asio::buffer(Buffer), Await);
  Tail.append(Buffer, 0, Bytes);
  Tail.erase(0, Tail.size() - std::min(Tail.size(), TailBytes));
  co_return !Error;
}

// Whether the last bytes received end an upload, with a length or in chunks.
inline bool endsUpload(std::string_view Tail) {
  constexpr std::string_view LastChunk = "\r\n0\r\n\r\n";
  if (Tail.ends_with(LastChunk))
    Tail.remove_suffix(LastChunk.size());
  return Tail.ends_with(UploadEnd);
}

// Sends the text of an answer in its fragments, each at its time, so that the
// rate does not depend on how long the writes take.
inline asio::awaitable<void> writeFragments(tcp::socket &Socket,
                                            const RawAnswer &Answer) {
  Time DueAt = now();
  std::size_t Middle = Answer.m_Text.size() / 2;
  for (std::size_t At = 0; At < Answer.m_Text.size();
       At += Answer.m_FragmentBytes) {
    if (At >= Middle && At < Middle + Answer.m_FragmentBytes)
      DueAt += Answer.m_PauseInMiddle;
    if (DueAt > now())
      co_await sleepFor(DueAt - now());
    DueAt += Answer.m_FragmentInterval;
    std::size_t Bytes =
        std::min(Answer.m_FragmentBytes, Answer.m_Text.size() - At);
    auto Part = asio::buffer(Answer.m_Text.data() + At, Bytes);
    auto [Error, Written] = co_await asio::async_write(Socket, Part, Await);
    if (Error)
      co_return;
  }
}

// Answers the request of one connection.
inline asio::awaitable<void> answerRaw(std::shared_ptr<tcp::socket> Socket,
                                       RawAnswer Answer) {
  std::string Tail;
  do {
    if (!co_await readMore(*Socket, Tail))
      co_return;
  } while (Answer.m_ReadsUpload && !endsUpload(Tail));
  if (Answer.m_Requests)
    ++*Answer.m_Requests;
  co_await sleepFor(Answer.m_PauseBefore);
  if (Answer.m_FragmentBytes > 0)
    co_await writeFragments(*Socket, Answer);
  std::size_t WholeBytes =
      Answer.m_FragmentBytes > 0 ? 0 : Answer.m_Text.size();
  std::size_t PartBytes = Answer.m_SendsBytewise ? 1 : WholeBytes;
  for (std::size_t At = 0; At < WholeBytes; At += PartBytes) {
    auto Part = asio::buffer(Answer.m_Text.data() + At, PartBytes);
    co_await asio::async_write(*Socket, Part, Await);
    if (Answer.m_SendsBytewise)
      co_await sleepFor(500us);
  }
  if (Answer.m_OnAnswered)
    Answer.m_OnAnswered();
  bool IsOpen = !Answer.m_RepeatedText.empty();
  while (IsOpen) {
    auto [Error, Bytes] = co_await asio::async_write(
        *Socket, asio::buffer(Answer.m_RepeatedText), Await);
    IsOpen = !Error;
    if (Answer.m_RepeatPause.count() > 0)
      co_await sleepFor(Answer.m_RepeatPause);
  }
  co_await sleepFor(Answer.m_PauseAfter);
  boost::system::error_code Ignored;
  switch (Answer.m_End) {
  case ConnectionEnd::CloseThenReset:
    Socket->shutdown(tcp::socket::shutdown_send, Ignored);
    resetConnection(*Socket);
    break;
  case ConnectionEnd::Reset:
    resetConnection(*Socket);
    break;
  case ConnectionEnd::Silent:
    co_await sleepFor(1min);
    break;
  case ConnectionEnd::Close:
    Socket->shutdown(tcp::socket::shutdown_send, Ignored);
    while (co_await readMore(*Socket, Tail))
      ;
  }
}

inline std::string addressOf(const tcp::acceptor &Acceptor) {
  return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
}

// Accepts connections until the event loop ends.
inline asio::awaitable<void> acceptRaw(tcp::acceptor &Acceptor,
                                       RawAnswer Answer) {
  for (;;) {
    auto [Error, Accepted] = co_await Acceptor.async_accept(Await);
    if (Error)
      co_return;
    asio::co_spawn(
        Acceptor.get_executor(),
        answerRaw(std::make_shared<tcp::socket>(std::move(Accepted)), Answer),
        asio::detached);
  }
}

inline constexpr std::size_t UploadBytes = 8U << 20U;
inline constexpr Duration RequestTimeout = 3s;

// How the client sends its body.
enum class Upload : std::uint8_t {
  None,
  InMemory,   // Whole in HttpRequest::m_Body.
  WithLength, // Streamed, the length is known.
  InChunks,   // Streamed in chunks.
};

// What ends an exchange from the client's side, beside the server.
struct ClientEnd {
  Duration m_Timeout = RequestTimeout;
  Duration m_TcpUserTimeout{0};
  Duration m_CancelAfter{0}; // 0: never.
  bool m_AbortsBody = false; // The sender of the body breaks it off.
  bool m_FullBudget = false; // Responses are streamed from the start.
  // The client leaves once it has so many bytes of a streamed body. 0: never.
  std::size_t m_LeaveAfterBytes = 0;
  // Counts what the client holds, its connections too. Null: not counted.
  BufferBudgetPtr m_CountingBudget = nullptr;
  // As in SendOptions.
  Duration m_StallTimeout{0};
  std::size_t m_MinBytesPerSecond = 0;
};

struct Received {
  HttpFailure m_Failure = HttpFailure::None;
  int m_Status = 0;
  std::string m_Body;
  bool m_IsWhole = false; // The body has ended without an error.
  Duration m_Took{0};
};

inline HttpRequest makeUpload(Upload Kind, bool Aborts = false) {
  constexpr std::size_t FragmentBytes = 64U << 10U;
  HttpRequest Request;
  if (Kind == Upload::None)
    return Request;
  Request.m_Method = "POST";
  std::string Last(FragmentBytes, 'u');
  Last.replace(FragmentBytes - UploadEnd.size(), UploadEnd.size(), UploadEnd);
  if (Kind == Upload::InMemory) {
    Request.m_Body = std::string(UploadBytes - FragmentBytes, 'u') + Last;
    return Request;
  }
  Request.m_Body = std::string(FragmentBytes, 'u');
  Request.m_BodyStream = std::make_shared<BodyStream>();
  if (Kind == Upload::WithLength)
    Request.m_BodyStream->m_ContentLength = UploadBytes;
  Request.m_BodyStream->m_ReadNext =
      [Left = UploadBytes - FragmentBytes, Aborts,
       Last]() mutable -> asio::awaitable<BodyFragment> {
    BodyFragment Fragment;
    if (Aborts) {
      co_await sleepFor(50ms);
      Fragment.m_Aborted = true;
      co_return Fragment;
    }
    Left -= FragmentBytes;
    Fragment.m_Last = Left == 0;
    Fragment.m_Bytes = Fragment.m_Last ? Last : std::string(FragmentBytes, 'u');
    co_return Fragment;
  };
  return Request;
}

inline asio::awaitable<void> cancelLater(std::shared_ptr<Cancellation> Token,
                                         Duration After) {
  co_await sleepFor(After);
  Token->cancel();
}

// Sends a request and reads its response to the end.
inline asio::awaitable<void> exchange(HttpClient &Client, std::string Address,
                                      HttpRequest Request, ClientEnd End,
                                      Received &Out) {
  Time Began = now();
  SendOptions Options;
  Options.m_Cancellation = std::make_shared<Cancellation>();
  Options.m_StallTimeout = End.m_StallTimeout;
  Options.m_MinBytesPerSecond = End.m_MinBytesPerSecond;
  if (End.m_CancelAfter.count() > 0)
    asio::co_spawn(co_await asio::this_coro::executor,
                   cancelLater(Options.m_Cancellation, End.m_CancelAfter),
                   asio::detached);
  HttpResult Got = co_await Client.send(Address, std::move(Request),
                                        Began + End.m_Timeout, Options);
  Out.m_Failure = Got.m_Failure;
  Out.m_Status = Got.m_Response.m_Status;
  Out.m_Body = std::move(Got.m_Response.m_Body);
  Out.m_IsWhole = Got.m_Failure == HttpFailure::None;
  while (Out.m_IsWhole && Got.m_Response.m_BodyStream) {
    BodyFragment Fragment = co_await Got.m_Response.m_BodyStream->m_ReadNext();
    Out.m_Body += Fragment.m_Bytes;
    Out.m_IsWhole = !Fragment.m_Aborted;
    if (Fragment.m_Last)
      break;
    if (End.m_LeaveAfterBytes > 0 && Out.m_Body.size() >= End.m_LeaveAfterBytes)
      Out.m_IsWhole = false;
  }
  Out.m_Took = now() - Began;
}

inline HttpClientLimits makeLimits(const ClientEnd &End) {
  HttpClientLimits Limits;
  Limits.m_AcceptCloseDelimited = true;
  Limits.m_MaxBufferedBodyBytes = 64U << 10U;
  Limits.m_TcpUserTimeout = End.m_TcpUserTimeout;
  if (End.m_FullBudget)
    Limits.m_Budget = std::make_shared<BufferBudget>(1);
  if (End.m_CountingBudget) {
    Limits.m_Budget = End.m_CountingBudget;
    Limits.m_CountsConnections = true;
  }
  return Limits;
}

// Sends one request to a server that answers it.
inline Received send(const RawAnswer &Answer, Upload Kind,
                     const ClientEnd &End = {}) {
  asio::io_context Io{1};
  Reachability Reach;
  HttpClient Client(Io, Reach, "127.0.0.1", makeLimits(End));
  tcp::acceptor Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0});
  asio::co_spawn(Io, acceptRaw(Acceptor, Answer), asio::detached);
  Received Out;
  asio::co_spawn(Io,
                 exchange(Client, addressOf(Acceptor),
                          makeUpload(Kind, End.m_AbortsBody), End, Out),
                 [&](const std::exception_ptr &) { Io.stop(); });
  Io.run();
  return Out;
}

} // namespace rhubarb::test
