// The end of responses without a length, which is the end of their connection.
// The kernel tells of an error on a connection once, to the operation that
// comes first; a read after it sees the end of the stream. So a reset that a
// write of the request's body had met let a part of a response pass for whole.
#include "test/RawExchange.h"

#include <boost/asio/local/connect_pair.hpp>
#include <boost/asio/local/stream_protocol.hpp>

#include <doctest/doctest.h>

using namespace rhubarb;
using namespace rhubarb::test;

namespace {

std::string withoutLength(std::size_t BodyBytes) {
  return "HTTP/1.1 200 OK\r\n\r\n" + std::string(BodyBytes, 'a');
}

// The server answers, then wakes the sender of the body and resets the
// connection in one step.
asio::awaitable<void>
answerAndReset(tcp::acceptor &Acceptor, std::size_t Bytes,
               asio::local::stream_protocol::socket &Wake) {
  auto [Error, Socket] = co_await Acceptor.async_accept(Await);
  std::string Tail;
  co_await readMore(Socket, Tail);
  std::string Text = withoutLength(Bytes);
  co_await asio::async_write(Socket, asio::buffer(Text), Await);
  co_await sleepFor(50ms); // The client has read all of it then.
  asio::write(Wake, asio::buffer("w", 1));
  resetConnection(Socket);
}

// Sends a request whose body goes on at the moment of the reset.
Received sendIntoReset(std::size_t Bytes, bool FullBudget) {
  asio::io_context Io{1};
  Reachability Reach;
  ClientEnd End;
  End.m_FullBudget = FullBudget;
  HttpClient Client(Io, Reach, "127.0.0.1", makeLimits(End));
  tcp::acceptor Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0});
  asio::local::stream_protocol::socket Wake(Io);
  asio::local::stream_protocol::socket Woken(Io);
  asio::local::connect_pair(Wake, Woken);
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_BodyStream = std::make_shared<BodyStream>();
  Request.m_BodyStream->m_ReadNext = [&]() -> asio::awaitable<BodyFragment> {
    BodyFragment Fragment;
    Fragment.m_Bytes = "u";
    char Byte = 0;
    co_await Woken.async_read_some(asio::buffer(&Byte, 1), Await);
    co_return Fragment;
  };
  asio::co_spawn(Io, answerAndReset(Acceptor, Bytes, Wake), asio::detached);
  Received Out;
  asio::co_spawn(
      Io, exchange(Client, addressOf(Acceptor), std::move(Request), End, Out),
      [&](const std::exception_ptr &) { Io.stop(); });
  Io.run();
  return Out;
}

} // namespace

TEST_SUITE("http_response_end") {
  TEST_CASE("a response that is reset under an upload is not whole") {
    struct Row {
      std::size_t m_Bytes;
      Duration m_PauseBefore;
      Duration m_PauseAfter;
    };
    const Row Rows[] = {
        {0, 0ms, 20ms},      {300, 0ms, 0ms},     {300, 0ms, 100ms},
        {3000, 0ms, 0ms},    {3000, 0ms, 5ms},    {3000, 0ms, 60ms},
        {3000, 100ms, 0ms},  {3000, 100ms, 10ms}, {90000, 0ms, 20ms},
        {90000, 100ms, 0ms}, {400000, 0ms, 20ms}, {400000, 100ms, 20ms}};
    for (const Row &Case : Rows)
      for (Upload Kind :
           {Upload::InMemory, Upload::WithLength, Upload::InChunks})
        for (bool FullBudget : {false, true}) {
          CAPTURE(Case.m_Bytes);
          CAPTURE(Case.m_PauseBefore.count());
          CAPTURE(Case.m_PauseAfter.count());
          CAPTURE(static_cast<int>(Kind));
          CAPTURE(FullBudget);
          RawAnswer Answer{withoutLength(Case.m_Bytes), ConnectionEnd::Reset,
                           false, Case.m_PauseBefore, Case.m_PauseAfter};
          ClientEnd End;
          End.m_FullBudget = FullBudget;
          Received Got = send(Answer, Kind, End);
          CHECK_FALSE(Got.m_IsWhole);
          // The caller must not wait for its timeout.
          CHECK(Got.m_Took < RequestTimeout / 2);
        }
  }

  TEST_CASE("a response with a length or in chunks that is cut is not whole") {
    for (const char *Head : {"Content-Length: 500000\r\n\r\n",
                             "Transfer-Encoding: chunked\r\n\r\n7a120\r\n"})
      for (std::size_t Bytes : {300, 90000})
        for (Duration Pause : {0ms, 20ms})
          for (ConnectionEnd End : {ConnectionEnd::Reset, ConnectionEnd::Close})
            for (Upload Kind : {Upload::WithLength, Upload::InChunks}) {
              CAPTURE(Head);
              CAPTURE(Bytes);
              CAPTURE(Pause.count());
              CAPTURE(static_cast<int>(End));
              CAPTURE(static_cast<int>(Kind));
              std::string Text = std::string("HTTP/1.1 200 OK\r\n") + Head +
                                 std::string(Bytes, 'a');
              Received Got = send({Text, End, false, 0ms, Pause}, Kind);
              CHECK_FALSE(Got.m_IsWhole);
              CHECK(Got.m_Took < RequestTimeout / 2);
            }
  }

  // The connection has other ends than a reset while the body is written.
  TEST_CASE("a response whose exchange is broken off here is not whole") {
    struct Row {
      const char *m_Name;
      ClientEnd m_End;
    };
    const Row Rows[] = {
        {"the kernel gives up on unacknowledged bytes",
         {RequestTimeout, 300ms, 0ms, false, false}},
        {"deadline", {300ms, 0ms, 0ms, false, false}},
        {"cancelled", {RequestTimeout, 0ms, 200ms, false, false}},
        {"the body is broken off", {RequestTimeout, 0ms, 0ms, true, false}},
    };
    for (const Row &Case : Rows)
      for (std::size_t Bytes : {300, 90000})
        for (Upload Kind : {Upload::WithLength, Upload::InChunks})
          for (bool FullBudget : {false, true}) {
            CAPTURE(Case.m_Name);
            CAPTURE(Bytes);
            CAPTURE(static_cast<int>(Kind));
            CAPTURE(FullBudget);
            ClientEnd End = Case.m_End;
            End.m_FullBudget = FullBudget;
            Received Got =
                send({withoutLength(Bytes), ConnectionEnd::Silent}, Kind, End);
            CHECK_FALSE(Got.m_IsWhole);
            CHECK(Got.m_Took < RequestTimeout / 2);
          }
  }

  TEST_CASE("a response whose connection is closed in order is whole") {
    struct Row {
      const char *m_Name;
      bool m_ReadsUpload; // Before the response; otherwise after it.
      Duration m_PauseBefore;
      Duration m_PauseAfter;
    };
    const Row Rows[] = {
        {"after the upload", true, 0ms, 0ms},
        {"after the upload, slowly", true, 20ms, 20ms},
        {"before the upload has ended", false, 0ms, 0ms},
        {"before the upload has ended, slowly", false, 100ms, 20ms}};
    for (const Row &Case : Rows)
      for (std::size_t Bytes : {0, 300, 3000, 90000, 400000})
        for (Upload Kind :
             {Upload::InMemory, Upload::WithLength, Upload::InChunks})
          for (bool FullBudget : {false, true}) {
            CAPTURE(Case.m_Name);
            CAPTURE(Bytes);
            CAPTURE(static_cast<int>(Kind));
            CAPTURE(FullBudget);
            ClientEnd End;
            End.m_FullBudget = FullBudget;
            Received Got = send({withoutLength(Bytes), ConnectionEnd::Close,
                                 Case.m_ReadsUpload, Case.m_PauseBefore,
                                 Case.m_PauseAfter},
                                Kind, End);
            CHECK(Got.m_IsWhole);
            CHECK(Got.m_Body == std::string(Bytes, 'a'));
          }
    for (ConnectionEnd End :
         {ConnectionEnd::Close, ConnectionEnd::CloseThenReset}) {
      CAPTURE(static_cast<int>(End));
      CHECK(send({withoutLength(300), End}, Upload::None).m_IsWhole);
    }
  }

  // Guards against a deadline that moves without leave, or does not move while
  // a long response arrives.
  TEST_CASE("the deadline of a response moves as its sender allows") {
    struct Row {
      const char *m_Name;
      Duration m_StallTimeout;
      std::size_t m_MinBytesPerSecond;
      Duration m_PauseInMiddle;
      bool m_IsWhole;
    };
    const Row Rows[] = {
        {"never", 0ms, 0, 0ms, false},
        {"never, and a rate is named", 0ms, 1000, 0ms, false},
        {"with any byte", 500ms, 0, 0ms, true},
        {"at a rate that is kept", 500ms, 50'000, 0ms, true},
        {"at a rate that is not kept", 500ms, 5'000'000, 0ms, false},
        {"until it stalls", 500ms, 0, 1500ms, false}};
    for (const Row &Case : Rows)
      for (bool FullBudget : {false, true}) {
        CAPTURE(Case.m_Name);
        CAPTURE(FullBudget);
        constexpr std::size_t BodyBytes = 300'000;
        RawAnswer Answer;
        Answer.m_Text =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(BodyBytes) +
            "\r\n\r\n" + std::string(BodyBytes, 'a');
        Answer.m_End = ConnectionEnd::Close;
        Answer.m_FragmentBytes = BodyBytes / 30;
        Answer.m_FragmentInterval = 40ms;
        Answer.m_PauseInMiddle = Case.m_PauseInMiddle;
        ClientEnd End;
        End.m_Timeout = 300ms;
        End.m_FullBudget = FullBudget;
        End.m_StallTimeout = Case.m_StallTimeout;
        End.m_MinBytesPerSecond = Case.m_MinBytesPerSecond;
        Received Got = send(Answer, Upload::None, End);
        CHECK(Got.m_IsWhole == Case.m_IsWhole);
        if (Case.m_IsWhole)
          CHECK(Got.m_Body == std::string(BodyBytes, 'a'));
        CHECK(Got.m_Took < RequestTimeout);
      }
  }

  // The write that meets the reset is resumed after the read that sees the end
  // of the stream, if both were woken together.
  TEST_CASE("a reset is seen before the write that has met it is resumed") {
    for (std::size_t Bytes : {300, 90000})
      for (bool FullBudget : {false, true}) {
        CAPTURE(Bytes);
        CAPTURE(FullBudget);
        CHECK_FALSE(sendIntoReset(Bytes, FullBudget).m_IsWhole);
      }
  }
}
