// Tests of the HTTP server and client with late, truncated, oversized and slow
// messages.
#include "net/Clock.h"
#include "net/Daemon.h"
#include "net/HttpBody.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "test/RawExchange.h"

#include <doctest/doctest.h>

using namespace rhubarb;
using namespace rhubarb::net;
using asio::ip::tcp;

namespace {

// A client and a simulated network on one event loop.
struct HttpFixture {
  asio::io_context m_Io{1};
  Reachability m_Reach;
  HttpClient m_Client;

  explicit HttpFixture(bool AcceptCloseDelimited = false)
      : m_Client(m_Io, m_Reach, "127.0.0.1", limits(AcceptCloseDelimited)) {}

  static HttpClientLimits limits(bool AcceptCloseDelimited = false) {
    HttpClientLimits Limits;
    Limits.m_MaxBodyBytes = 1000;
    Limits.m_AcceptCloseDelimited = AcceptCloseDelimited;
    return Limits;
  }

  // Runs a coroutine to completion.
  void run(asio::awaitable<void> Task) {
    bool Ended = false;
    asio::co_spawn(m_Io, std::move(Task),
                   [&](const std::exception_ptr &Thrown) {
                     Ended = true;
                     m_Io.stop();
                     if (Thrown)
                       std::rethrow_exception(Thrown);
                   });
    m_Io.restart();
    m_Io.run();
    CHECK(Ended);
  }
};

// A server that reads a request and then sends raw text in steps.
asio::awaitable<void> rawServer(tcp::acceptor &Acceptor,
                                std::vector<std::string> Steps,
                                Duration Pause) {
  for (;;) {
    auto [Error, Socket] = co_await Acceptor.async_accept(Await);
    if (Error)
      co_return;
    char Buffer[4096];
    co_await Socket.async_read_some(asio::buffer(Buffer), Await);
    for (const std::string &Step : Steps) {
      auto [WriteError, Written] =
          co_await asio::async_write(Socket, asio::buffer(Step), Await);
      if (WriteError)
        break;
      co_await sleepFor(Pause);
    }
  }
}

// A server that reads a request and then sends bytes endlessly.
asio::awaitable<void> endlessServer(tcp::acceptor &Acceptor, std::string First,
                                    std::string Repeated, std::size_t &Sent) {
  auto [Error, Socket] = co_await Acceptor.async_accept(Await);
  if (Error)
    co_return;
  char Buffer[4096];
  co_await Socket.async_read_some(asio::buffer(Buffer), Await);
  std::string Fragment = std::move(First);
  while (Fragment.size() < 16384)
    Fragment += Repeated;
  std::string Rest;
  while (Rest.size() < 16384)
    Rest += Repeated;
  for (;;) {
    auto [WriteError, Written] =
        co_await asio::async_write(Socket, asio::buffer(Fragment), Await);
    Sent += Written;
    if (WriteError)
      co_return;
    Fragment = Rest;
  }
}

HttpFailure sendToRaw(std::vector<std::string> Steps, Duration Pause,
                      Duration Limit, bool AcceptCloseDelimited = false) {
  HttpFixture Fixture(AcceptCloseDelimited);
  tcp::acceptor Acceptor(Fixture.m_Io,
                         {asio::ip::make_address("127.0.0.1"), 0});
  std::string Address =
      "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  asio::co_spawn(Fixture.m_Io, rawServer(Acceptor, std::move(Steps), Pause),
                 asio::detached);
  HttpFailure Received = HttpFailure::None;
  Fixture.run([](HttpFixture &Env, std::string To, Duration Timeout,
                 HttpFailure &Out) -> asio::awaitable<void> {
    // A variable, since g++ 12 destroys a braced temporary twice.
    HttpRequest Request;
    HttpResult Reply = co_await Env.m_Client.send(To, Request, now() + Timeout);
    Out = Reply.m_Failure;
  }(Fixture, Address, Limit, Received));
  return Received;
}

// Sends raw text to a server and returns its response.
std::string rawExchange(HttpServerLimits Limits, const std::string &Text,
                        int &Handled) {
  HttpFixture Fixture;
  HttpServer Server(Fixture.m_Io, Fixture.m_Reach, std::move(Limits),
                    [&](HttpRequest) -> asio::awaitable<HttpResponse> {
                      ++Handled;
                      co_return jsonResponse(200, "{}");
                    });
  auto Port = Server.start("127.0.0.1", 0);
  REQUIRE(Port);
  std::string Reply;
  Fixture.run([](HttpFixture &Env, std::uint16_t To, std::string Sent,
                 std::string &Out) -> asio::awaitable<void> {
    tcp::socket Socket(Env.m_Io);
    co_await Socket.async_connect({asio::ip::make_address("127.0.0.1"), To},
                                  Await);
    co_await asio::async_write(Socket, asio::buffer(Sent), Await);
    boost::system::error_code Ignored;
    Socket.shutdown(tcp::socket::shutdown_send, Ignored);
    char Buffer[4096];
    for (;;) {
      auto [Error, Bytes] =
          co_await Socket.async_read_some(asio::buffer(Buffer), Await);
      Out.append(Buffer, Bytes);
      if (Error)
        break;
    }
  }(Fixture, Port.value(), Text, Reply));
  return Reply;
}

// An upload through a forwarding HttpServer, as a node passes it on.
struct UploadPlan {
  const char *m_Name;
  bool m_Chunked;             // The caller sends chunks instead of a length.
  std::size_t m_BeforeAnswer; // Body bytes that the server reads first.
  Duration m_Pause;           // The server's pause between answer and reading.
  std::size_t m_AnswerBytes;
};

// What the server and the caller of an upload have received.
struct UploadOutcome {
  std::string m_Uploaded; // The body, without its chunked coding.
  bool m_ServerDone = false;
  std::string m_Answer; // Head and body.
};

constexpr std::size_t UploadBytes = 3U << 20U;

// Returns a body in which every eight bytes name their own position.
std::string selfDescribingBody() {
  std::string Body;
  for (std::size_t I = 0; Body.size() < UploadBytes; ++I) {
    std::string Word = std::to_string(I);
    Body += std::string(8 - Word.size(), '0') + Word;
  }
  return Body;
}

// Answers a request before the whole body has been read, then reads on.
asio::awaitable<void> earlyAnswerServer(tcp::acceptor &Acceptor,
                                        UploadPlan Plan, UploadOutcome &Out) {
  auto [Error, Socket] = co_await Acceptor.async_accept(Await);
  beast::flat_buffer Buffer;
  http::request_parser<http::buffer_body> Parser;
  Parser.body_limit(2 * UploadBytes);
  beast::tcp_stream Stream(std::move(Socket));
  auto [HeadError, HeadBytes] =
      co_await http::async_read_header(Stream, Buffer, Parser, Await);
  Error = HeadError;
  bool Answered = false;
  while (!Error && !Parser.is_done()) {
    if (!Answered && Out.m_Uploaded.size() >= Plan.m_BeforeAnswer) {
      Answered = true;
      std::string Answer = "HTTP/1.1 200 OK\r\nContent-Length: " +
                           std::to_string(Plan.m_AnswerBytes) + "\r\n\r\n" +
                           std::string(Plan.m_AnswerBytes, 'a');
      co_await asio::async_write(Stream, asio::buffer(Answer), Await);
      co_await sleepFor(Plan.m_Pause);
    }
    Error = co_await readBodyFragment(Stream, Buffer, Parser, Out.m_Uploaded);
  }
  Out.m_ServerDone = true;
}

// Reads some of an upload, then sends bytes without end in place of an answer.
asio::awaitable<void> endlessAnswerServer(tcp::acceptor &Acceptor,
                                          std::string First,
                                          std::string Repeated,
                                          UploadOutcome &Out) {
  auto [Error, Socket] = co_await Acceptor.async_accept(Await);
  std::string Buffer(100000, '\0');
  co_await asio::async_read(Socket, asio::buffer(Buffer), Await);
  std::string Fragment = std::move(First);
  while (!Error) {
    while (Fragment.size() < 16384)
      Fragment += Repeated;
    auto [WriteError, Written] =
        co_await asio::async_write(Socket, asio::buffer(Fragment), Await);
    Error = WriteError;
    Fragment.clear();
  }
  Out.m_ServerDone = true;
}

asio::awaitable<void> sendUpload(std::shared_ptr<tcp::socket> Socket,
                                 std::string Body, bool Chunked) {
  std::string Head = "POST / HTTP/1.1\r\nHost: x\r\n";
  Head += Chunked ? std::string("Transfer-Encoding: chunked")
                  : "Content-Length: " + std::to_string(Body.size());
  Head += "\r\n\r\n";
  co_await asio::async_write(*Socket, asio::buffer(Head), Await);
  constexpr std::size_t PieceBytes = 50000;
  for (std::size_t At = 0; At < Body.size(); At += PieceBytes) {
    auto Piece =
        asio::buffer(Body.data() + At, std::min(PieceBytes, Body.size() - At));
    if (Chunked)
      co_await asio::async_write(*Socket, http::make_chunk(Piece), Await);
    else
      co_await asio::async_write(*Socket, Piece, Await);
  }
  if (Chunked)
    co_await asio::async_write(*Socket, http::make_chunk_last(), Await);
}

// Reads the answer until the connection ends.
asio::awaitable<void> exchangeUpload(asio::io_context &Io, std::uint16_t Port,
                                     std::string Body, bool Chunked,
                                     UploadOutcome &Out) {
  auto Socket = std::make_shared<tcp::socket>(Io);
  co_await Socket->async_connect({asio::ip::make_address("127.0.0.1"), Port},
                                 Await);
  asio::co_spawn(Io, sendUpload(Socket, std::move(Body), Chunked),
                 asio::detached);
  std::string Buffer(65536, '\0');
  for (;;) {
    auto [Error, Bytes] =
        co_await Socket->async_read_some(asio::buffer(Buffer), Await);
    Out.m_Answer.append(Buffer, 0, Bytes);
    if (Error)
      break;
  }
  for (Time End = now() + 1s; !Out.m_ServerDone && now() < End;)
    co_await sleepFor(10ms);
}

using UploadServer =
    std::function<asio::awaitable<void>(tcp::acceptor &, UploadOutcome &)>;

// Runs one upload through an HttpServer that forwards it with an HttpClient.
UploadOutcome runUpload(const UploadServer &RunServer, const std::string &Body,
                        bool Chunked, int PipelinedRequests = 1) {
  HttpFixture Fixture;
  HttpClientLimits ClientLimits;
  ClientLimits.m_MaxBufferedBodyBytes = 64U << 10U;
  HttpClient Client(Fixture.m_Io, Fixture.m_Reach, "127.0.0.1", ClientLimits);
  tcp::acceptor Acceptor(Fixture.m_Io,
                         {asio::ip::make_address("127.0.0.1"), 0});
  std::string Address =
      "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  HttpServerLimits Limits;
  Limits.m_MaxBodyBytes = 2 * UploadBytes;
  Limits.m_MaxBufferedBodyBytes = 64U << 10U;
  Limits.m_MaxPipelinedRequests = PipelinedRequests;
  HttpServer Server(
      Fixture.m_Io, Fixture.m_Reach, Limits,
      [&](HttpRequest Request) -> asio::awaitable<HttpResponse> {
        HttpRequest Forwarded;
        Forwarded.m_Method = Request.m_Method;
        Forwarded.m_Body = Request.m_Body;
        Forwarded.m_BodyStream = Request.m_BodyStream;
        HttpResult Got =
            co_await Client.send(Address, std::move(Forwarded), now() + 3s);
        if (Got.m_Failure != HttpFailure::None)
          co_return errorResponse(ErrorKind::ServerCut);
        std::erase_if(Got.m_Response.m_Headers, [](const HeaderField &Field) {
          return Field.m_Name == "Content-Length";
        });
        co_return std::move(Got.m_Response);
      });
  auto Port = Server.start("127.0.0.1", 0);
  REQUIRE(Port);
  UploadOutcome Out;
  asio::co_spawn(Fixture.m_Io, RunServer(Acceptor, Out), asio::detached);
  Fixture.run(exchangeUpload(Fixture.m_Io, Port.value(), Body, Chunked, Out));
  return Out;
}

// Sends the start of a body that never ends, then waits for the answer.
asio::awaitable<void> sendEndlessBody(asio::io_context &Io, std::uint16_t Port,
                                      std::size_t Bytes, std::string &Answer,
                                      int &Ended) {
  tcp::socket Socket(Io);
  co_await Socket.async_connect({asio::ip::make_address("127.0.0.1"), Port},
                                Await);
  std::string Text = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                     std::to_string(1U << 20U) + "\r\n\r\n" +
                     std::string(Bytes, 'x');
  co_await asio::async_write(Socket, asio::buffer(Text), Await);
  std::string Buffer(4096, '\0');
  auto [Error, Read] =
      co_await Socket.async_read_some(asio::buffer(Buffer), Await);
  Answer = Buffer.substr(0, Read);
  ++Ended;
}

} // namespace

TEST_SUITE("http") {
  TEST_CASE("incomplete and invalid responses are classified") {
    const std::string Head = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";
    struct Row {
      const char *m_Name;
      std::vector<std::string> m_Steps;
      Duration m_Pause;
      HttpFailure m_Expected;
    };
    const Row Rows[] = {
        {"complete", {Head + "0123456789"}, 0ms, HttpFailure::None},
        {"complete, in several writes",
         {Head, "01234", "56789"},
         5ms,
         HttpFailure::None},
        {"no bytes", {}, 0ms, HttpFailure::Incomplete},
        {"truncated in the header",
         {"HTTP/1.1 200"},
         0ms,
         HttpFailure::Incomplete},
        {"truncated in the body",
         {Head + "01234"},
         0ms,
         HttpFailure::Incomplete},
        {"neither length nor chunked coding",
         {"HTTP/1.1 200 OK\r\n\r\n01234"},
         0ms,
         HttpFailure::Incomplete},
        {"truncated in a chunk",
         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01"},
         0ms,
         HttpFailure::Incomplete},
        {"not HTTP",
         {"hello hello hello\r\n\r\n"},
         0ms,
         HttpFailure::Malformed},
        {"too large",
         {"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" +
          std::string(2000, 'x')},
         0ms,
         HttpFailure::TooLarge},
        {"one byte at a time",
         {Head, "0", "1", "2", "3", "4", "5"},
         100ms,
         HttpFailure::Timeout},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      CHECK(sendToRaw(Case.m_Steps, Case.m_Pause, 300ms) == Case.m_Expected);
    }
  }

  // A server that stopped within the head of its response and closed let
  // callers get a success with an empty or short body.
  TEST_CASE("a response that breaks off is never complete") {
    const std::string Status = "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n";
    struct Row {
      const char *m_Name;
      std::string m_Text;
    };
    const Row Rows[] = {
        {"with a length", Status + "Content-Length: 10\r\n\r\n0123456789"},
        {"the length first",
         "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nA: b\r\n\r\n0123456789"},
        {"chunked", Status + "Transfer-Encoding: chunked\r\n\r\n"
                             "a\r\n0123456789\r\n0\r\n\r\n"},
        {"without a body", Status + "Content-Length: 0\r\n\r\n"},
        {"after an interim response", "HTTP/1.1 100 Continue\r\n\r\n" + Status +
                                          "Content-Length: 2\r\n\r\n01"},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      for (std::size_t Bytes = 0; Bytes < Case.m_Text.size(); ++Bytes) {
        CAPTURE(Bytes);
        CHECK(sendToRaw({Case.m_Text.substr(0, Bytes)}, 0ms, 2s) !=
              HttpFailure::None);
      }
      CHECK(sendToRaw({Case.m_Text}, 0ms, 2s) == HttpFailure::None);
    }
    // Without a length the connection's end completes a body, but no head.
    const std::string Unframed = Status + "\r\n";
    for (std::size_t Bytes = 0; Bytes < Unframed.size(); ++Bytes)
      CHECK(sendToRaw({Unframed.substr(0, Bytes)}, 0ms, 2s, true) !=
            HttpFailure::None);
    CHECK(sendToRaw({Unframed + "0123"}, 0ms, 2s, true) == HttpFailure::None);
  }

  TEST_CASE("refused connections and partitions are connect failures") {
    HttpFixture Fixture;
    Fixture.m_Reach.setBlockedPrefixes({"127.9."});
    Fixture.run([](HttpFixture &Env) -> asio::awaitable<void> {
      HttpRequest Request;
      HttpResult Refused =
          co_await Env.m_Client.send("127.0.0.1:1", Request, now() + 300ms);
      CHECK(Refused.m_Failure == HttpFailure::Connect);
      HttpResult Partitioned =
          co_await Env.m_Client.send("127.9.0.1:1", Request, now() + 300ms);
      CHECK(Partitioned.m_Failure == HttpFailure::Connect);
      HttpResult Unparsable =
          co_await Env.m_Client.send("host:1", Request, now() + 300ms);
      CHECK(Unparsable.m_Failure == HttpFailure::Connect);
    }(Fixture));
  }

  // Guards against requests that are sent although what they were decided by
  // has changed while the connection was opened.
  TEST_CASE("a request is withheld before its first byte") {
    struct Row {
      const char *m_Name;
      bool m_MaySend;
      HttpFailure m_Failure;
      std::size_t m_Requests; // That reach the server.
    };
    const Row Rows[] = {
        {"sent", true, HttpFailure::None, 1},
        {"withheld", false, HttpFailure::Withheld, 0},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      HttpFixture Fixture;
      tcp::acceptor Acceptor(Fixture.m_Io,
                             {asio::ip::make_address("127.0.0.1"), 0});
      test::RawAnswer Answer{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                             test::ConnectionEnd::Close};
      Answer.m_Requests = std::make_shared<std::size_t>(0);
      asio::co_spawn(Fixture.m_Io, test::acceptRaw(Acceptor, Answer),
                     asio::detached);
      Fixture.run([](HttpFixture &Of, std::string Address,
                     Row Expected) -> asio::awaitable<void> {
        SendOptions Options;
        Options.m_MaySend = [&] { return Expected.m_MaySend; };
        HttpRequest Request;
        Request.m_Target = "/";
        HttpResult Got =
            co_await Of.m_Client.send(Address, Request, now() + 2s, Options);
        CHECK(Got.m_Failure == Expected.m_Failure);
        if (!Expected.m_MaySend) // The connection serves the next request.
          CHECK(Of.m_Client.hasIdleConnection(Address, 0ms));
      }(Fixture, test::addressOf(Acceptor), Case));
      CHECK(*Answer.m_Requests == Case.m_Requests);
    }
  }

  TEST_CASE("responses do not mix after timeouts on reused connections") {
    HttpFixture Fixture;
    HttpServer Server(Fixture.m_Io, Fixture.m_Reach, HttpServerLimits{},
                      [](HttpRequest Request) -> asio::awaitable<HttpResponse> {
                        if (Request.query("slow") == "1")
                          co_await sleepFor(60ms);
                        co_return jsonResponse(
                            200, std::string(Request.query("id")));
                      });
    auto Port = Server.start("127.0.0.1", 0);
    REQUIRE(Port);
    std::string Address = "127.0.0.1:" + std::to_string(Port.value());
    Fixture.run([](HttpFixture &Env, std::string To) -> asio::awaitable<void> {
      int TimedOut = 0;
      for (int I = 0; I < 60; ++I) {
        HttpRequest Request;
        bool Slow = I % 3 == 0;
        Request.m_Target =
            "/?id=" + std::to_string(I) + (Slow ? "&slow=1" : "");
        HttpResult Reply =
            co_await Env.m_Client.send(To, Request, now() + 30ms);
        TimedOut += Reply.m_Failure == HttpFailure::Timeout ? 1 : 0;
        if (Reply.m_Failure == HttpFailure::None)
          CHECK(Reply.m_Response.m_Body == std::to_string(I));
      }
      CHECK(TimedOut >= 20);
    }(Fixture, Address));
  }

  TEST_CASE("a handler is notified when its client disconnects") {
    HttpFixture Fixture;
    int Disconnects = 0;
    HttpServer Server(
        Fixture.m_Io, Fixture.m_Reach, HttpServerLimits{},
        [&](HttpRequest Request) -> asio::awaitable<HttpResponse> {
          Request.m_Client->m_OnClose = [&] { ++Disconnects; };
          co_await sleepFor(100ms);
          Request.m_Client->m_OnClose = nullptr;
          co_return jsonResponse(200, "{}");
        });
    auto Port = Server.start("127.0.0.1", 0);
    REQUIRE(Port);
    std::string Address = "127.0.0.1:" + std::to_string(Port.value());
    Fixture.run([](HttpFixture &Env, std::string To) -> asio::awaitable<void> {
      HttpRequest Request;
      HttpResult TimedOut =
          co_await Env.m_Client.send(To, Request, now() + 30ms);
      CHECK(TimedOut.m_Failure == HttpFailure::Timeout);
      HttpResult Completed =
          co_await Env.m_Client.send(To, Request, now() + 1s);
      CHECK(Completed.m_Failure == HttpFailure::None);
    }(Fixture, Address));
    CHECK(Disconnects == 1);
  }

  // Guards against running requests whose clients have disconnected: a process
  // starved of CPU reads requests long after they were sent.
  TEST_CASE("a handler detects a disconnect that preceded reading") {
    struct Row {
      const char *m_Name;
      bool m_Disconnects;
      int m_PipelinedRequests;
    };
    for (const Row &Case :
         {Row{"client waits", false, 1}, Row{"client disconnects", true, 1},
          Row{"client waits, pipelining", false, 8},
          Row{"client disconnects, pipelining", true, 8}}) {
      CAPTURE(Case.m_Name);
      HttpFixture Fixture;
      int Handled = 0;
      int Disconnects = 0;
      HttpServerLimits Limits;
      Limits.m_MaxPipelinedRequests = Case.m_PipelinedRequests;
      HttpServer Server(Fixture.m_Io, Fixture.m_Reach, Limits,
                        [&](HttpRequest R) -> asio::awaitable<HttpResponse> {
                          ++Handled;
                          Disconnects += R.m_Client->m_Closed ? 1 : 0;
                          co_return jsonResponse(200, "{}");
                        });
      auto Port = Server.start("127.0.0.1", 0);
      REQUIRE(Port);
      // The client sends and disconnects before the server's event loop runs.
      asio::io_context Other;
      tcp::socket Caller(Other);
      Caller.connect({asio::ip::make_address("127.0.0.1"), Port.value()});
      asio::write(Caller, asio::buffer(std::string(
                              "GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
      if (Case.m_Disconnects)
        Caller.close();
      Fixture.run([]() -> asio::awaitable<void> { co_await sleepFor(50ms); }());
      CHECK(Handled == 1);
      CHECK(Disconnects == (Case.m_Disconnects ? 1 : 0));
    }
  }

  // Guards against a faulty server that sends bytes which never form a response
  // until the client closes the connection.
  TEST_CASE("endless responses neither block nor exhaust memory") {
    const std::string Chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    struct Row {
      const char *m_Name;
      std::string m_First;
      std::string m_Repeated;
      std::vector<HttpFailure> m_Expected; // Accepted results.
    };
    const Row Rows[] = {
        {"a status line",
         "HTTP/1.1 200 ",
         "OK OK OK ",
         {HttpFailure::TooLarge, HttpFailure::Malformed}},
        {"one header line",
         "HTTP/1.1 200 OK\r\nA: ",
         "xxxxxxxx",
         {HttpFailure::TooLarge}},
        {"header lines",
         "HTTP/1.1 200 OK\r\n",
         "A: xxxxx\r\n",
         {HttpFailure::TooLarge}},
        {"a chunk extension",
         Chunked + "5;",
         "a=xxxxx;",
         {HttpFailure::Malformed}},
        {"a chunk size", Chunked, "00000000", {HttpFailure::Malformed}},
        {"trailers",
         Chunked + "2\r\nok\r\n0\r\n",
         "A: xxxxx\r\n",
         {HttpFailure::Malformed, HttpFailure::TooLarge}},
        {"a close-delimited body",
         "HTTP/1.1 200 OK\r\n\r\n",
         "xxxxxxxx",
         {HttpFailure::TooLarge}},
        {"chunks", Chunked, "8\r\nxxxxxxxx\r\n", {HttpFailure::TooLarge}},
        {"interim responses",
         "",
         "HTTP/1.1 100 Continue\r\n\r\n",
         {HttpFailure::Malformed}},
        {"responses to other requests",
         "",
         "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 1\r\n\r\nx",
         {HttpFailure::Incomplete}},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      HttpFixture Fixture;
      tcp::acceptor Acceptor(Fixture.m_Io,
                             {asio::ip::make_address("127.0.0.1"), 0});
      std::string Address =
          "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
      std::size_t Sent = 0;
      asio::co_spawn(
          Fixture.m_Io,
          endlessServer(Acceptor, Case.m_First, Case.m_Repeated, Sent),
          asio::detached);
      HttpResult Received;
      Time Start = now();
      Fixture.run([](HttpFixture &Env, std::string To,
                     HttpResult &Out) -> asio::awaitable<void> {
        HttpRequest Request;
        SendOptions Options;
        Options.m_MatchesRequest = [](const HttpResponse &Response) {
          return Response.header("Id") != "0";
        };
        Out = co_await Env.m_Client.send(To, Request, now() + 300ms, Options);
        co_await sleepFor(20ms); // Lets the server detect the close.
      }(Fixture, Address, Received));
      CAPTURE(httpFailureName(Received.m_Failure));
      CHECK(std::find(Case.m_Expected.begin(), Case.m_Expected.end(),
                      Received.m_Failure) != Case.m_Expected.end());
      CHECK(now() - Start < 1s);
      CHECK(Fixture.m_Client.idleConnections() == 0);
    }
  }

  // Guards against an upload that goes on to a server whose answer is none, and
  // against a caller that waits for the end of that answer.
  TEST_CASE("an endless answer ends the upload that it comes amid") {
    const std::string Body = selfDescribingBody();
    struct Row {
      const char *m_Name;
      std::string m_First;
      std::string m_Repeated;
    };
    const std::string Ok = "HTTP/1.1 200 OK\r\n";
    for (const Row &Case :
         {Row{"no HTTP", "hello ", "hello "},
          Row{"a status line", "HTTP/1.1 200 ", "OK "},
          Row{"a header line", Ok + "A: ", "xxxxxxxx"},
          Row{"header lines", Ok, "A: xxxxx\r\n"},
          Row{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
          Row{"a chunk extension", Ok + "Transfer-Encoding: chunked\r\n\r\n5;",
              "a=xxxxx;"}}) {
      for (bool Chunked : {false, true}) {
        CAPTURE(Case.m_Name);
        CAPTURE(Chunked);
        Time Start = now();
        UploadOutcome Got = runUpload(
            [&](tcp::acceptor &Acceptor, UploadOutcome &Out) {
              return endlessAnswerServer(Acceptor, Case.m_First,
                                         Case.m_Repeated, Out);
            },
            Body, Chunked);
        CHECK(Got.m_Answer.starts_with("HTTP/1.1 502"));
        CHECK(Got.m_ServerDone);
        CHECK(now() - Start < 2s);
      }
    }
  }

  // Guards against many connections that together exhaust the memory, though
  // each keeps its own limit.
  TEST_CASE("connections together buffer no more than the budget") {
    constexpr int Connections = 200;
    constexpr std::size_t BudgetBytes = 256U << 10U;
    struct Row {
      const char *m_Name;
      std::size_t m_MaxBuffered;
      const char *m_Expected; // Prefix of the answers.
    };
    for (const Row &Case :
         {Row{"bodies are streamed", 64U << 10U, "HTTP/1.1 200"},
          Row{"bodies are read whole",
              HttpServerLimits{}.m_MaxBufferedBodyBytes, "HTTP/1.1 503"}}) {
      CAPTURE(Case.m_Name);
      HttpFixture Fixture;
      HttpServerLimits Limits;
      Limits.m_MaxBodyBytes = 1U << 20U;
      Limits.m_MaxBufferedBodyBytes = Case.m_MaxBuffered;
      Limits.m_Budget = std::make_shared<BufferBudget>(BudgetBytes);
      Limits.m_ReadTimeout = 300ms;
      HttpServer Server(Fixture.m_Io, Fixture.m_Reach, Limits,
                        [](HttpRequest) -> asio::awaitable<HttpResponse> {
                          co_await sleepFor(50ms);
                          co_return jsonResponse(200, "{}");
                        });
      auto Port = Server.start("127.0.0.1", 0);
      REQUIRE(Port);
      std::vector<std::string> Answers(Connections);
      int Ended = 0;
      for (std::string &Answer : Answers)
        asio::co_spawn(
            Fixture.m_Io,
            sendEndlessBody(Fixture.m_Io, Port.value(), 100000, Answer, Ended),
            asio::detached);
      std::size_t MostUsed = 0;
      Fixture.run([](int &Count, BufferBudgetPtr Budget,
                     std::size_t &Most) -> asio::awaitable<void> {
        for (Time End = now() + 5s; Count < Connections && now() < End;) {
          Most = std::max(Most, Budget->usedBytes());
          co_await sleepFor(1ms);
        }
        co_await sleepFor(20ms);
      }(Ended, Limits.m_Budget, MostUsed));
      CHECK(MostUsed > BudgetBytes / 2);
      CHECK(MostUsed <= BudgetBytes);
      CHECK(Ended == Connections);
      // Bodies in the buffers when the rest were refused get no answer: their
      // callers send nothing for the time allowed.
      auto Expected = std::count_if(
          Answers.begin(), Answers.end(), [&](const std::string &Answer) {
            return Answer.starts_with(Case.m_Expected);
          });
      CHECK(Expected >= Connections - 8);
    }
  }

  TEST_CASE("responses together buffer no more than the budget") {
    constexpr int Requests = 60;
    constexpr std::size_t BudgetBytes = 256U << 10U;
    HttpFixture Fixture;
    HttpClientLimits Limits;
    Limits.m_MaxBufferedBodyBytes = 64U << 10U;
    Limits.m_Budget = std::make_shared<BufferBudget>(BudgetBytes);
    HttpClient Client(Fixture.m_Io, Fixture.m_Reach, "127.0.0.1", Limits);
    tcp::acceptor Acceptor(Fixture.m_Io,
                           {asio::ip::make_address("127.0.0.1"), 0});
    std::string Address =
        "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
    std::size_t Sent = 0;
    int Streamed = 0;
    std::size_t MostUsed = 0;
    for (int I = 0; I < Requests; ++I) {
      asio::co_spawn(Fixture.m_Io,
                     endlessServer(Acceptor,
                                   "HTTP/1.1 200 OK\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n",
                                   "8\r\nxxxxxxxx\r\n", Sent),
                     asio::detached);
      asio::co_spawn(
          Fixture.m_Io,
          [](HttpClient &Sender, std::string To, BufferBudgetPtr Budget,
             std::size_t &Most, int &Count) -> asio::awaitable<void> {
            HttpRequest Request;
            HttpResult Got = co_await Sender.send(To, Request, now() + 2s);
            Most = std::max(Most, Budget->usedBytes());
            Count += Got.m_Response.m_BodyStream ? 1 : 0;
            co_await sleepFor(100ms); // Holds what has been buffered.
          }(Client, Address, Limits.m_Budget, MostUsed, Streamed),
          asio::detached);
    }
    Fixture.run(
        [](int &Count, BufferBudgetPtr Budget) -> asio::awaitable<void> {
          for (Time End = now() + 5s; Count < Requests && now() < End;)
            co_await sleepFor(1ms);
          co_await sleepFor(200ms);
          CHECK(Budget->usedBytes() == 0);
        }(Streamed, Limits.m_Budget));
    CHECK(Streamed == Requests);
    CHECK(MostUsed > BudgetBytes / 2);
    CHECK(MostUsed <= BudgetBytes);
  }

  TEST_CASE("endless requests are refused") {
    const std::string Chunked =
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    struct Row {
      const char *m_Name;
      std::string m_Text;
    };
    const std::string Long(1U << 20U, 'x');
    for (const Row &Case : {Row{"a target", "GET /" + Long},
                            Row{"a chunk extension", Chunked + "5;a=" + Long},
                            Row{"trailers", Chunked + "0\r\nA: " + Long}}) {
      CAPTURE(Case.m_Name);
      int Handled = 0;
      std::string Reply = rawExchange(HttpServerLimits{}, Case.m_Text, Handled);
      CHECK(Handled == 0);
      CHECK((Reply.empty() || Reply.starts_with("HTTP/1.1 4")));
    }
  }

  TEST_CASE("invalid requests are refused before the handler runs") {
    HttpServerLimits Limits;
    Limits.m_MaxHeaderBytes = 500;
    Limits.m_MaxBodyBytes = 100;
    struct Row {
      const char *m_Name;
      std::string m_Text;
      const char *m_Expected; // Prefix of the response.
      int m_Handled;
    };
    const Row Rows[] = {
        {"valid", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 200", 1},
        {"not HTTP", "hello\r\n\r\n", "HTTP/1.1 400", 0},
        {"header too large",
         "GET / HTTP/1.1\r\nA: " + std::string(600, 'a') + "\r\n\r\n",
         "HTTP/1.1 431", 0},
        {"body too large",
         "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n" +
             std::string(101, 'a'),
         "HTTP/1.1 413", 0},
        {"invalid Content-Length",
         "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "HTTP/1.1 400", 0},
        {"truncated in the body",
         "POST / HTTP/1.1\r\nContent-Length: 50\r\n\r\nabc", "", 0},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      int Handled = 0;
      std::string Reply = rawExchange(Limits, Case.m_Text, Handled);
      CAPTURE(Reply);
      CHECK(Reply.starts_with(Case.m_Expected));
      CHECK(Handled == Case.m_Handled);
      if (Handled == 0 && !Reply.empty())
        CHECK(Reply.find("Rhubarb-Outcome: not-run") != std::string::npos);
    }
  }

  TEST_CASE("responses to other requests are skipped and end reuse") {
    auto ResponseText = [](const std::string &Id, const std::string &Body) {
      return "HTTP/1.1 200 OK\r\nId: " + Id +
             "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
             Body;
    };
    struct Row {
      const char *m_Name;
      std::vector<std::string> m_Steps;
      HttpFailure m_Expected;
      int m_Skipped;
    };
    const Row Rows[] = {
        {"own response", {ResponseText("1", "own")}, HttpFailure::None, 0},
        {"a late response before it",
         {ResponseText("0", "late") + ResponseText("1", "own")},
         HttpFailure::None,
         1},
        {"several responses before it",
         {ResponseText("0", "a"), ResponseText("7", "b"),
          ResponseText("1", "own")},
         HttpFailure::None,
         2},
        {"response without an id",
         {ResponseText("", "x")},
         HttpFailure::Incomplete,
         1},
        {"only responses to other requests",
         {ResponseText("0", "x"), ResponseText("0", "x"),
          ResponseText("0", "x"), ResponseText("0", "x"),
          ResponseText("0", "x"), ResponseText("0", "x")},
         HttpFailure::Incomplete,
         5},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      HttpFixture Fixture;
      tcp::acceptor Acceptor(Fixture.m_Io,
                             {asio::ip::make_address("127.0.0.1"), 0});
      std::string Address =
          "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
      asio::co_spawn(Fixture.m_Io, rawServer(Acceptor, Case.m_Steps, 1ms),
                     asio::detached);
      HttpResult Received;
      Fixture.run([](HttpFixture &Env, std::string To,
                     HttpResult &Out) -> asio::awaitable<void> {
        HttpRequest Request;
        SendOptions Options;
        Options.m_MatchesRequest = [](const HttpResponse &Response) {
          return Response.header("Id") == "1";
        };
        Out = co_await Env.m_Client.send(To, Request, now() + 1s, Options);
      }(Fixture, Address, Received));
      CHECK(Received.m_Failure == Case.m_Expected);
      CHECK(Received.m_SkippedResponses == Case.m_Skipped);
      if (Case.m_Expected == HttpFailure::None)
        CHECK(Received.m_Response.m_Body == "own");
      if (Case.m_Skipped > 0)
        CHECK(Fixture.m_Client.idleConnections() == 0);
    }
  }

  TEST_CASE("extra bytes and Connection: close prevent reuse") {
    struct Row {
      const char *m_Name;
      std::string m_Text;
      std::size_t m_IdleConnections;
    };
    const Row Rows[] = {
        {"no extra bytes", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1},
        {"extra bytes", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok!!", 0},
        {"Connection: close",
         "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
         0},
        {"chunked coding",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
         "\r\n",
         1},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      HttpFixture Fixture;
      tcp::acceptor Acceptor(Fixture.m_Io,
                             {asio::ip::make_address("127.0.0.1"), 0});
      std::string Address =
          "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
      asio::co_spawn(Fixture.m_Io, rawServer(Acceptor, {Case.m_Text}, 50ms),
                     asio::detached);
      Fixture.run([](HttpFixture &Env,
                     std::string To) -> asio::awaitable<void> {
        HttpRequest Request;
        HttpResult Reply = co_await Env.m_Client.send(To, Request, now() + 1s);
        CHECK(Reply.m_Failure == HttpFailure::None);
        CHECK(Reply.m_Response.m_Body == "ok");
      }(Fixture, Address));
      CHECK(Fixture.m_Client.idleConnections() == Case.m_IdleConnections);
    }
  }

  TEST_CASE("close-delimited responses are complete only if accepted") {
    struct Row {
      const char *m_Name;
      bool m_Accept;
      HttpFailure m_Expected;
    };
    for (const Row &Case : {Row{"refused", false, HttpFailure::Incomplete},
                            Row{"accepted", true, HttpFailure::None}}) {
      CAPTURE(Case.m_Name);
      HttpFixture Fixture;
      HttpClientLimits Limits;
      Limits.m_AcceptCloseDelimited = Case.m_Accept;
      HttpClient Client(Fixture.m_Io, Fixture.m_Reach, "127.0.0.1", Limits);
      tcp::acceptor Acceptor(Fixture.m_Io,
                             {asio::ip::make_address("127.0.0.1"), 0});
      std::string Address =
          "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
      asio::co_spawn(
          Fixture.m_Io,
          rawServer(Acceptor, {"HTTP/1.1 200 OK\r\n\r\n", "01234"}, 5ms),
          asio::detached);
      Fixture.run([](HttpClient &Sender, std::string To,
                     const Row &Wanted) -> asio::awaitable<void> {
        HttpRequest Request;
        HttpResult Reply = co_await Sender.send(To, Request, now() + 1s);
        CHECK(Reply.m_Failure == Wanted.m_Expected);
        if (Wanted.m_Accept)
          CHECK(Reply.m_Response.m_Body == "01234");
      }(Client, Address, Case));
    }
  }

  TEST_CASE("cancelling ends a request and closes its connection") {
    HttpFixture Fixture;
    tcp::acceptor Acceptor(Fixture.m_Io,
                           {asio::ip::make_address("127.0.0.1"), 0});
    std::string Address =
        "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
    asio::co_spawn(Fixture.m_Io, rawServer(Acceptor, {}, 0ms), asio::detached);
    Fixture.run([](HttpFixture &Env, std::string To) -> asio::awaitable<void> {
      auto Cancel = std::make_shared<Cancellation>();
      asio::co_spawn(
          Env.m_Io,
          [](std::shared_ptr<Cancellation> Token) -> asio::awaitable<void> {
            co_await sleepFor(1ms);
            Token->cancel();
          }(Cancel),
          asio::detached);
      Time Start = now();
      HttpRequest Request;
      SendOptions Options;
      Options.m_Cancellation = Cancel;
      HttpResult Reply =
          co_await Env.m_Client.send(To, Request, now() + 5s, Options);
      CHECK((Reply.m_Failure == HttpFailure::Cancelled ||
             Reply.m_Failure == HttpFailure::Incomplete));
      CHECK(now() - Start < 1s);
    }(Fixture, Address));
  }

  // Guards against a server getting other bytes in the place of a part of an
  // upload that it answers early: the body had two readers.
  TEST_CASE("a server that answers early and reads on gets the whole body") {
    const std::string Body = selfDescribingBody();
    const UploadPlan Plans[] = {
        {"by length, before reading", false, 0, 200ms, 8},
        {"by length", false, 200000, 200ms, 8},
        {"by length, without a pause", false, 200000, 0ms, 8},
        {"by length, near the end", false, UploadBytes - 50000, 50ms, 8},
        {"in chunks", true, 200000, 200ms, 8},
        {"in chunks, without a pause", true, 200000, 0ms, 8},
    };
    for (int PipelinedRequests : {1, 8})
      for (const UploadPlan &Plan : Plans) {
        CAPTURE(Plan.m_Name);
        CAPTURE(PipelinedRequests);
        UploadOutcome Got = runUpload(
            [&](tcp::acceptor &Acceptor, UploadOutcome &Out) {
              return earlyAnswerServer(Acceptor, Plan, Out);
            },
            Body, Plan.m_Chunked, PipelinedRequests);
        auto Wrong = std::mismatch(Got.m_Uploaded.begin(), Got.m_Uploaded.end(),
                                   Body.begin(), Body.end());
        CHECK(Wrong.first - Got.m_Uploaded.begin() ==
              static_cast<std::ptrdiff_t>(Got.m_Uploaded.size()));
        CHECK(Got.m_Uploaded.size() == Body.size());
        CHECK(Got.m_Answer.starts_with("HTTP/1.1 200"));
        CHECK(Got.m_Answer.ends_with("\r\n\r\n" +
                                     std::string(Plan.m_AnswerBytes, 'a')));
      }
  }

  TEST_CASE("long bodies are streamed in both directions") {
    for (bool Chunked : {false, true}) {
      for (bool ResponseAborts : {false, true}) {
        CAPTURE(Chunked);
        CAPTURE(ResponseAborts);
        HttpFixture Fixture;
        HttpServerLimits Limits;
        Limits.m_MaxBufferedBodyBytes = 1000;
        std::size_t Arrived = 0;
        bool Failed = false;
        HttpServer Server(
            Fixture.m_Io, Fixture.m_Reach, Limits,
            [&](HttpRequest Request) -> asio::awaitable<HttpResponse> {
              Arrived = Request.m_Body.size();
              while (Request.m_BodyStream) {
                BodyFragment Fragment =
                    co_await Request.m_BodyStream->m_ReadNext();
                Arrived += Fragment.m_Bytes.size();
                Failed = Fragment.m_Aborted;
                if (Fragment.m_Last || Fragment.m_Aborted)
                  break;
              }
              HttpResponse Response;
              Response.m_BodyStream = std::make_shared<BodyStream>();
              if (!Chunked)
                Response.m_BodyStream->m_ContentLength = 50000;
              Response.m_BodyStream->m_ReadNext =
                  [Sent = 0,
                   ResponseAborts]() mutable -> asio::awaitable<BodyFragment> {
                BodyFragment Fragment;
                Fragment.m_Bytes = std::string(10000, 'r');
                Fragment.m_Last = ++Sent == 5;
                Fragment.m_Aborted = ResponseAborts && Sent == 3;
                co_return Fragment;
              };
              co_return Response;
            });
        auto Port = Server.start("127.0.0.1", 0);
        REQUIRE(Port);
        HttpClientLimits ClientLimits;
        ClientLimits.m_MaxBufferedBodyBytes = 1000;
        HttpClient Client(Fixture.m_Io, Fixture.m_Reach, "127.0.0.1",
                          ClientLimits);
        std::size_t Read = 0;
        bool Complete = false;
        Fixture.run([](HttpClient &Sender, std::uint16_t To, bool InChunks,
                       std::size_t &Out, bool &End) -> asio::awaitable<void> {
          HttpRequest Request;
          Request.m_Method = "POST";
          Request.m_BodyStream = std::make_shared<BodyStream>();
          if (!InChunks)
            Request.m_BodyStream->m_ContentLength = 60000;
          Request.m_BodyStream->m_ReadNext =
              [Sent = 0]() mutable -> asio::awaitable<BodyFragment> {
            BodyFragment Fragment;
            Fragment.m_Bytes = std::string(20000, 'q');
            Fragment.m_Last = ++Sent == 3;
            co_return Fragment;
          };
          HttpResult Reply = co_await Sender.send(
              "127.0.0.1:" + std::to_string(To), Request, now() + 2s);
          Out = Reply.m_Response.m_Body.size();
          while (Reply.m_Response.m_BodyStream) {
            BodyFragment Fragment =
                co_await Reply.m_Response.m_BodyStream->m_ReadNext();
            Out += Fragment.m_Bytes.size();
            End = Fragment.m_Last;
            if (Fragment.m_Last || Fragment.m_Aborted)
              break;
          }
        }(Client, Port.value(), Chunked, Read, Complete));
        CHECK(Arrived == 60000);
        CHECK_FALSE(Failed);
        // A body whose sender failed must not look complete.
        CHECK(Complete == !ResponseAborts);
        CHECK(Read == (ResponseAborts ? 20000 : 50000));
      }
    }
  }
}
