// Requests that a client sends before the response to an earlier one: they run
// side by side, and responses keep their order.
#include "net/Clock.h"
#include "net/Daemon.h"
#include "net/HttpBody.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

using namespace rhubarb;
using namespace rhubarb::net;
using asio::ip::tcp;

namespace {

// What the handler has seen. A request's target names how long it takes:
// /MILLISECONDS/LABEL.
struct Observed {
  std::vector<std::string> m_Started;
  std::vector<std::string> m_Ended;
  std::vector<std::string> m_Closed; // The client was gone.
  int m_Running = 0;
  int m_MostRunning = 0;
};

asio::awaitable<HttpResponse> handleTimed(HttpRequest Request, Observed &Seen,
                                          std::size_t BodyBytes) {
  std::string Target = Request.m_Target;
  std::string Label = Target.substr(Target.rfind('/') + 1);
  Seen.m_Started.push_back(Label);
  Seen.m_MostRunning = std::max(Seen.m_MostRunning, ++Seen.m_Running);
  std::shared_ptr<ClientConnection> Client = Request.m_Client;
  Client->m_OnClose = [&Seen, Label] { Seen.m_Closed.push_back(Label); };
  co_await sleepFor(std::chrono::milliseconds(std::stoi(Target.substr(1))));
  Client->m_OnClose = nullptr;
  --Seen.m_Running;
  Seen.m_Ended.push_back(Label);
  HttpResponse Response{200, {}, Label + ";"};
  Response.m_Body.append(BodyBytes, ' ');
  Response.m_CloseConnection = Label == "close";
  co_return Response;
}

std::string get(const std::string &Target) {
  return "GET " + Target + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

struct Exchanged {
  std::string m_Received;
  Duration m_Took{0};
};

// Sends texts with pauses between them and reads until the server closes the
// connection, or until a time after which this client closes it.
asio::awaitable<void> exchange(asio::io_context &Io, std::uint16_t Port,
                               std::vector<std::string> Texts, Duration Pause,
                               Duration CloseAfter, Exchanged &Out) {
  Time Began = now();
  beast::tcp_stream Stream(Io);
  auto [Refused] = co_await Stream.async_connect(
      tcp::endpoint(asio::ip::make_address("127.0.0.1"), Port), Await);
  CHECK_FALSE(Refused);
  for (const std::string &Text : Texts) {
    co_await asio::async_write(Stream, asio::buffer(Text), Await);
    co_await sleepFor(Pause);
  }
  char Buffer[4096];
  for (;;) {
    Stream.expires_after(std::max<Duration>(1ms, Began + CloseAfter - now()));
    auto [Error, Bytes] =
        co_await Stream.async_read_some(asio::buffer(Buffer), Await);
    Out.m_Received.append(Buffer, Bytes);
    if (Error)
      break;
  }
  Out.m_Took = now() - Began;
  Stream.close();
  co_await sleepFor(100ms); // The server notices the close.
}

struct PipelineFixture {
  asio::io_context m_Io{1};
  Reachability m_Reach;
  Observed m_Seen;
  HttpServer m_Server;
  std::uint16_t m_Port = 0;
  std::size_t m_BodyBytes = 0; // Added to each response.

  explicit PipelineFixture(int Depth, BufferBudgetPtr Budget = nullptr)
      : PipelineFixture(limits(Depth, std::move(Budget))) {}
  explicit PipelineFixture(const HttpServerLimits &Limits)
      : m_Server(m_Io, m_Reach, Limits, [this](HttpRequest Request) {
          return handleTimed(std::move(Request), m_Seen, m_BodyBytes);
        }) {
    auto Started = m_Server.start("127.0.0.1", 0);
    REQUIRE(Started);
    m_Port = Started.value();
  }
  void wait(Duration Length) {
    asio::co_spawn(m_Io, sleepFor(Length),
                   [this](const std::exception_ptr &) { m_Io.stop(); });
    m_Io.restart();
    m_Io.run();
  }
  static HttpServerLimits limits(int Depth, BufferBudgetPtr Budget) {
    HttpServerLimits Limits;
    Limits.m_MaxPipelinedRequests = Depth;
    Limits.m_Budget = std::move(Budget);
    return Limits;
  }
  Exchanged run(std::vector<std::string> Texts, Duration CloseAfter,
                Duration Pause = 0ms, const std::function<void()> &After = {},
                Duration AfterTime = 0ms) {
    Exchanged Out;
    if (After)
      asio::co_spawn(
          m_Io,
          [](std::function<void()> Call, Duration At) -> asio::awaitable<void> {
            co_await sleepFor(At);
            Call();
          }(After, AfterTime),
          asio::detached);
    asio::co_spawn(
        m_Io, exchange(m_Io, m_Port, std::move(Texts), Pause, CloseAfter, Out),
        [this](const std::exception_ptr &) { m_Io.stop(); });
    m_Io.restart();
    m_Io.run();
    return Out;
  }
};

// Returns the bodies of the responses received, each of which ends with ";".
std::string bodies(const std::string &Received) {
  std::string Found;
  for (std::size_t At = Received.find("\r\n\r\n"); At != std::string::npos;
       At = Received.find("\r\n\r\n", At + 4)) {
    std::size_t End = Received.find(';', At);
    if (End != std::string::npos)
      Found += Received.substr(At + 4, End + 1 - At - 4);
  }
  return Found;
}

const std::string Upload =
    "POST /50/post HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";

} // namespace

TEST_SUITE("http_pipeline") {
  // Guards against responses in the order in which they are ready, and against
  // a slow request that holds up the ones behind it.
  TEST_CASE("pipelined requests run side by side and are answered in order") {
    struct Row {
      const char *m_Name;
      int m_Depth;
      std::vector<std::string> m_Texts;
      int m_MostRunning;
      const char *m_Bodies;
    };
    const std::string Three = get("/300/a") + get("/10/b") + get("/100/close");
    const Row Rows[] = {
        {"off", 1, {Three}, 1, "a;b;close;"},
        {"side by side", 8, {Three}, 3, "a;b;close;"},
        {"one by one",
         8,
         {get("/150/a"), get("/20/b"), get("/20/close")},
         3,
         "a;b;close;"},
        {"at most two", 2, {Three}, 2, "a;b;close;"},
        {"a body waits for those before it",
         8,
         {get("/100/a") + get("/100/b") + Upload + get("/10/close")},
         2,
         "a;b;post;close;"},
        {"a body first",
         8,
         {Upload + get("/50/b") + get("/50/close")},
         2,
         "post;b;close;"},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      PipelineFixture Fixture(Case.m_Depth);
      Exchanged Got = Fixture.run(Case.m_Texts, 3s, 5ms);
      CHECK(bodies(Got.m_Received) == Case.m_Bodies);
      CHECK(Fixture.m_Seen.m_MostRunning == Case.m_MostRunning);
      CHECK(Fixture.m_Seen.m_Closed.empty());
      CHECK(Fixture.m_Server.connections() == 0);
      CHECK(Fixture.m_Server.openRequests().empty());
    }
  }

  // Guards against servers that work on for a caller that has left.
  TEST_CASE("a client that disconnects cancels all its requests") {
    PipelineFixture Fixture(8);
    Fixture.run({get("/2000/a") + get("/2000/b") + get("/2000/c")}, 100ms);
    CHECK(Fixture.m_Seen.m_Closed == std::vector<std::string>{"a", "b", "c"});
    CHECK(Fixture.m_Server.connections() == 0);
  }

  // Guards against a second response behind one that closes the connection.
  TEST_CASE("a response that closes the connection ends those behind it") {
    PipelineFixture Fixture(8);
    Exchanged Got = Fixture.run(
        {get("/100/a") + get("/100/close") + get("/2000/c") + get("/10/d")},
        3s);
    CHECK(bodies(Got.m_Received) == "a;close;");
    CHECK(Got.m_Received.find("Connection: close") != std::string::npos);
    CHECK(Fixture.m_Seen.m_Closed == std::vector<std::string>{"c"});
    CHECK(Got.m_Took < 1500ms);
  }

  // Guards against requests of a planned stop that servers run in vain.
  TEST_CASE("a planned stop answers what has been read") {
    PipelineFixture Fixture(8);
    Exchanged Got = Fixture.run(
        {get("/300/a") + get("/100/b") + get("/300/c")}, 3s, 0ms,
        [&] {
          Fixture.m_Server.disableKeepAlive();
          Fixture.m_Server.stopAccepting();
        },
        100ms);
    CHECK(bodies(Got.m_Received) == "a;b;c;");
    CHECK(Got.m_Received.find("Connection: close") != std::string::npos);
    CHECK(Fixture.m_Seen.m_Closed.empty());
    CHECK(Got.m_Took < 1s);
  }

  // Guards against requests that are dropped unanswered, in the buffer or in
  // the socket, as a planned stop answers the last one in progress.
  TEST_CASE("a planned stop answers what has arrived, also what waits") {
    struct Row {
      const char *m_Name;
      int m_Depth;
      std::string m_First; // Sent before the others.
      int m_Gets;
      Duration m_StopAfter;
      bool m_Accepts; // The server still accepts connections.
    };
    const Row Rows[] = {
        {"as many as run at once", 8, "", 8, 50ms, true},
        {"one more than run at once", 8, "", 9, 50ms, true},
        {"four more", 8, "", 12, 50ms, false},
        {"twice as many", 8, "", 16, 50ms, true},
        {"twice as many, nothing accepted", 8, "", 16, 150ms, false},
        {"behind a body", 8, Upload, 3, 20ms, true},
        {"behind a body, nothing accepted", 8, Upload, 3, 20ms, false},
        {"behind a request and a body", 8, get("/100/a") + Upload, 3, 50ms,
         false},
        {"one by one", 1, "", 5, 50ms, true},
        {"one by one, nothing accepted", 1, "", 5, 50ms, false},
        {"one by one behind a body", 1, Upload, 3, 20ms, false},
    };
    for (const Row &Case : Rows) {
      CAPTURE(std::string(Case.m_Name));
      PipelineFixture Fixture(Case.m_Depth);
      std::string Text = Case.m_First;
      for (int I = 0; I < Case.m_Gets; ++I)
        Text += get("/100/" + std::to_string(I));
      Exchanged Got = Fixture.run(
          {Text}, 3s, 0ms,
          [&] {
            Fixture.m_Server.disableKeepAlive();
            if (!Case.m_Accepts)
              Fixture.m_Server.stopAccepting();
          },
          Case.m_StopAfter);
      std::string Answered = bodies(Got.m_Received);
      int Requests = Case.m_Gets + (Case.m_First.empty() ? 0 : 1) +
                     (Case.m_First.starts_with("GET") ? 1 : 0);
      CHECK(std::count(Answered.begin(), Answered.end(), ';') == Requests);
      // Only the last response says that the connection ends.
      std::size_t Closes = Got.m_Received.find("Connection: close");
      CHECK(Closes != std::string::npos);
      CHECK(Got.m_Received.find("HTTP/1.1 ", Closes) == std::string::npos);
      CHECK(Fixture.m_Seen.m_Closed.empty());
      CHECK(Got.m_Took < 2s);
      CHECK(Fixture.m_Server.connections() == 0);
    }
  }

  // Guards against a connection that is not read while it can still be
  // answered.
  TEST_CASE("a planned stop answers requests that come amid others") {
    for (bool Accepts : {true, false}) {
      CAPTURE(Accepts);
      PipelineFixture Fixture(8);
      Exchanged Got = Fixture.run(
          {get("/100/a") + get("/400/b"), get("/10/c")}, 3s, 200ms,
          [&] {
            Fixture.m_Server.disableKeepAlive();
            if (!Accepts)
              Fixture.m_Server.stopAccepting();
          },
          50ms);
      CHECK(bodies(Got.m_Received) == "a;b;c;");
      CHECK(Got.m_Received.find("Connection: close") != std::string::npos);
      CHECK(Got.m_Took < 2s);
    }
  }

  // Guards against requests that arrive in the moment in which a planned stop
  // ends the read of an idle connection, or whose connection is not accepted
  // yet.
  TEST_CASE("a planned stop answers a request that arrives with it") {
    struct Row {
      const char *m_Name;
      int m_Depth;
      bool m_ConnectsBefore; // The connection is accepted before the stop.
      std::string m_Before;  // Sent before the stop, and answered.
    };
    const Row Rows[] = {
        {"an idle connection", 8, true, ""},
        {"a connection that was used", 8, true, get("/1/a")},
        {"a connection in the listen queue", 8, false, ""},
        {"an idle connection, one by one", 1, true, ""},
        {"a used connection, one by one", 1, true, get("/1/a")},
        {"in the listen queue, one by one", 1, false, ""},
    };
    for (const Row &Case : Rows)
      for (bool ReadFirst : {false, true}) {
        CAPTURE(std::string(Case.m_Name));
        CAPTURE(ReadFirst);
        PipelineFixture Fixture(Case.m_Depth);
        tcp::socket Socket(Fixture.m_Io);
        tcp::endpoint Server(asio::ip::make_address("127.0.0.1"),
                             Fixture.m_Port);
        Socket.connect(Server);
        boost::system::error_code Error;
        if (Case.m_ConnectsBefore) {
          asio::write(Socket, asio::buffer(Case.m_Before), Error);
          Fixture.wait(50ms);
        }
        asio::write(Socket, asio::buffer(get("/50/late")), Error);
        Fixture.m_Io.restart();
        if (ReadFirst)
          Fixture.m_Io.poll_one();
        Fixture.m_Server.disableKeepAlive();
        Fixture.m_Server.stopAccepting();
        Fixture.wait(200ms);
        std::string Received(4096, '\0');
        Socket.non_blocking(true);
        Received.resize(Socket.read_some(asio::buffer(Received), Error));
        CHECK(bodies(Received).ends_with("late;"));
        CHECK(Received.find("Connection: close") != std::string::npos);
        Socket.close();
        Fixture.wait(50ms);
        CHECK(Fixture.m_Server.connections() == 0);
      }
  }

  // Guards against a malformed request that hides the responses before it.
  TEST_CASE("an invalid request is refused after those before it") {
    PipelineFixture Fixture(8);
    Exchanged Got =
        Fixture.run({get("/100/a") + "GET \x01 nothing\r\n\r\n"}, 3s);
    CHECK(bodies(Got.m_Received).starts_with("a;"));
    CHECK(Got.m_Received.find("400 Bad Request") != std::string::npos);
    CHECK(Got.m_Received.find("a;") < Got.m_Received.find("400 Bad Request"));
  }

  // Guards against servers that work on for a caller that has left while the
  // connection was not read, as no more requests may be in progress.
  TEST_CASE("a disconnect is noticed while no request is read") {
    struct Row {
      const char *m_Name;
      std::string m_Text;
      std::size_t m_Closed;
    };
    std::string Eight;
    for (int I = 0; I < 8; ++I)
      Eight += get("/1500/r");
    const Row Rows[] = {
        {"as many as allowed", Eight, 8},
        {"more than allowed", Eight + get("/1500/r") + get("/1500/r"), 8},
        {"a body waits", get("/1500/a") + Upload, 1},
        {"a request that ends the connection",
         "GET /1500/a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      PipelineFixture Fixture(8);
      Fixture.run({Case.m_Text}, 100ms, 0ms);
      Fixture.wait(400ms);
      CHECK(Fixture.m_Seen.m_Closed.size() == Case.m_Closed);
      CHECK(Fixture.m_Seen.m_Started.size() == Case.m_Closed);
      CHECK(Fixture.m_Server.connections() == 0);
    }
  }

  // Guards against connections that stay open for ever once a request was
  // served, and against a slow request head that ends the requests before it.
  TEST_CASE(
      "idle connections and slow heads end, requests in progress do not") {
    struct Row {
      const char *m_Name;
      std::string m_Text;
      const char *m_Bodies;
      Duration m_AtLeast;
    };
    const Row Rows[] = {
        {"nothing sent", "", "", 200ms},
        {"idle after a request", get("/50/a"), "a;", 250ms},
        {"a slow head", "GET /50/a HTTP/1.1\r\n", "", 100ms},
        {"a slow head behind a request", get("/500/a") + "GET /50/b HTT", "a;",
         500ms},
        {"a slow head after a request", get("/10/a") + "GET /50/b HTT", "a;",
         100ms},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      HttpServerLimits Limits = PipelineFixture::limits(8, nullptr);
      Limits.m_IdleTimeout = 200ms;
      Limits.m_HeaderTimeout = 100ms;
      PipelineFixture Fixture(Limits);
      Exchanged Got = Fixture.run({Case.m_Text}, 3s);
      CHECK(bodies(Got.m_Received) == Case.m_Bodies);
      CHECK(Fixture.m_Seen.m_Closed.empty());
      CHECK(Got.m_Took >= Case.m_AtLeast - 10ms);
      CHECK(Got.m_Took < Case.m_AtLeast + 700ms);
      CHECK(Fixture.m_Server.connections() == 0);
    }
  }

  // Guards against requests that run although the client has said that an
  // earlier one is its last.
  TEST_CASE("nothing is run behind a request that ends the connection") {
    PipelineFixture Fixture(8);
    Exchanged Got = Fixture.run(
        {get("/50/a") +
         "GET /100/b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" +
         get("/10/c")},
        3s);
    CHECK(bodies(Got.m_Received) == "a;b;");
    CHECK(Fixture.m_Seen.m_Started == std::vector<std::string>{"a", "b"});
    CHECK(Got.m_Took < 1s);
  }

  // Guards against requests that run for a client that does not read.
  TEST_CASE("while a response cannot be written no request is read") {
    PipelineFixture Fixture(8);
    Fixture.m_BodyBytes = 16U << 20U;
    std::string Later = get("/10/b") + get("/10/c");
    std::vector<std::string> StartedUnread;
    Exchanged Got = Fixture.run(
        {get("/0/a"), Later}, 2s, 300ms,
        [&] { StartedUnread = Fixture.m_Seen.m_Started; }, 500ms);
    CHECK(StartedUnread == std::vector<std::string>{"a"});
    CHECK(bodies(Got.m_Received) == "a;b;c;");
  }

  // Guards against memory that grows with what clients pipeline.
  TEST_CASE("without memory to spare requests are read one at a time") {
    PipelineFixture Fixture(8,
                            std::make_shared<BufferBudget>(MaxUnparsedBytes));
    Exchanged Got =
        Fixture.run({get("/50/a") + get("/50/b") + get("/50/close")}, 3s);
    CHECK(bodies(Got.m_Received) == "a;b;close;");
    CHECK(Fixture.m_Seen.m_MostRunning == 1);
  }
}
