// What callers' connections hold beside bodies counts against the budget of the
// process; connections and requests that do not fit are refused.
#include "test/RawExchange.h"

#include <doctest/doctest.h>

using namespace rhubarb;
using namespace rhubarb::net;
using asio::ip::tcp;

namespace {

constexpr std::size_t BudgetBytes = 1U << 20U;

// A caller that sends a text, reads nothing for a while and then all there is.
struct Caller {
  std::string m_Text;
  Duration m_ReadAfter{0};
  Duration m_CloseAfter{0}; // Counted from the connect.
  std::string m_Received = {};
};

asio::awaitable<void> runCaller(asio::io_context &Io, std::uint16_t Port,
                                Caller &Self, int &Ended) {
  Time Began = now();
  beast::tcp_stream Stream(Io);
  auto [Refused] = co_await Stream.async_connect(
      tcp::endpoint(asio::ip::make_address("127.0.0.1"), Port), Await);
  Stream.expires_after(Self.m_CloseAfter);
  co_await asio::async_write(Stream, asio::buffer(Self.m_Text), Await);
  co_await sleepFor(Self.m_ReadAfter);
  std::string Buffer(16384, '\0');
  bool Open = !Refused && now() - Began < Self.m_CloseAfter;
  while (Open) {
    Stream.expires_after(
        std::max<Duration>(1ms, Began + Self.m_CloseAfter - now()));
    auto [Error, Bytes] =
        co_await Stream.async_read_some(asio::buffer(Buffer), Await);
    Self.m_Received.append(Buffer, 0, Bytes);
    Open = !Error;
  }
  Stream.close();
  ++Ended;
}

// Makes a fragment of a response as HttpClient does: a small one while the
// budget has no room.
asio::awaitable<BodyFragment> nextFragment(BufferBudgetPtr Budget,
                                           std::size_t &Left) {
  BodyFragment Fragment;
  Fragment.m_Buffered = std::make_shared<BufferedBytes>(
      Budget, Budget->limitBytes() / BudgetKeepDivisor);
  std::size_t Bytes = Fragment.m_Buffered->reserve(BodyReadBytes)
                          ? BodyReadBytes
                          : SmallReadBytes;
  Fragment.m_Buffered->set(Bytes);
  Fragment.m_Bytes.assign(std::min(Bytes, Left), 'a');
  Left -= Fragment.m_Bytes.size();
  Fragment.m_Last = Left == 0;
  co_return Fragment;
}

// A port for callers and one for control messages that share a budget.
struct BudgetFixture {
  asio::io_context m_Io{1};
  Reachability m_Reach;
  BufferBudgetPtr m_Budget = std::make_shared<BufferBudget>(BudgetBytes);
  std::vector<std::string> m_Handled; // Targets.
  std::size_t m_AnswerBytes = 2;
  HttpServer m_Callers;
  HttpServer m_Control;
  std::uint16_t m_CallerPort = 0;
  std::uint16_t m_ControlPort = 0;
  int m_Ended = 0;
  std::size_t m_MostUsed = 0;

  explicit BudgetFixture(int PipelinedRequests, bool Counts = true)
      : m_Callers(
            m_Io, m_Reach, callerLimits(PipelinedRequests, Counts, m_Budget),
            [this](HttpRequest Request) { return handle(std::move(Request)); }),
        m_Control(m_Io, m_Reach, controlLimits(m_Budget),
                  [](HttpRequest Request) -> asio::awaitable<HttpResponse> {
                    co_return jsonResponse(
                        200, std::to_string(Request.m_Body.size()));
                  }) {
    auto Port = m_Callers.start("127.0.0.1", 0);
    auto Control = m_Control.start("127.0.0.1", 0);
    REQUIRE(Port);
    REQUIRE(Control);
    m_CallerPort = Port.value();
    m_ControlPort = Control.value();
  }
  static HttpServerLimits callerLimits(int PipelinedRequests, bool Counts,
                                       BufferBudgetPtr Budget) {
    HttpServerLimits Limits;
    Limits.m_MaxPipelinedRequests = PipelinedRequests;
    Limits.m_CountsConnections = Counts;
    Limits.m_MaxBufferedBodyBytes = 64U << 10U;
    Limits.m_Budget = std::move(Budget);
    return Limits;
  }
  static HttpServerLimits controlLimits(BufferBudgetPtr Budget) {
    HttpServerLimits Limits = controlServerLimits();
    Limits.m_Budget = std::move(Budget);
    return Limits;
  }
  // Reads a body to its end, then answers.
  asio::awaitable<HttpResponse> handle(HttpRequest Request) {
    m_Handled.push_back(Request.m_Target);
    bool Reads = Request.m_BodyStream != nullptr;
    while (Reads) {
      BodyFragment Fragment = co_await Request.m_BodyStream->m_ReadNext();
      Reads = !Fragment.m_Last && !Fragment.m_Aborted;
    }
    HttpResponse Response;
    if (m_AnswerBytes <= BodyReadBytes) {
      Response.m_Body.assign(m_AnswerBytes, 'a');
      co_return Response;
    }
    Response.m_BodyStream = std::make_shared<BodyStream>();
    Response.m_BodyStream->m_ContentLength = m_AnswerBytes;
    Response.m_BodyStream->m_ReadNext =
        [Budget = m_Budget,
         Left = m_AnswerBytes]() mutable -> asio::awaitable<BodyFragment> {
      return nextFragment(Budget, Left);
    };
    co_return Response;
  }
  void start(Caller &Started, std::uint16_t Port) {
    asio::co_spawn(m_Io, runCaller(m_Io, Port, Started, m_Ended),
                   asio::detached);
  }
  // Runs until so many callers have ended, and records the use of the budget.
  void runUntilEnded(int Callers) {
    asio::co_spawn(m_Io, watch(Callers),
                   [this](const std::exception_ptr &) { m_Io.stop(); });
    m_Io.restart();
    m_Io.run();
  }
  void runFor(Duration Length) {
    asio::co_spawn(m_Io, sleepFor(Length),
                   [this](const std::exception_ptr &) { m_Io.stop(); });
    m_Io.restart();
    m_Io.run();
  }
  asio::awaitable<void> watch(int Callers) {
    for (Time End = now() + 8s; m_Ended < Callers && now() < End;) {
      m_MostUsed = std::max(m_MostUsed, m_Budget->usedBytes());
      co_await sleepFor(1ms);
    }
    co_await sleepFor(300ms); // The server notices what has closed.
  }
};

bool isTrueRefusal(const std::string &Received) {
  return Received.starts_with("HTTP/1.1 503") &&
         Received.find("buffers_full") != std::string::npos &&
         Received.find("Rhubarb-Outcome: not-run") != std::string::npos &&
         Received.find("Retry-After: ") != std::string::npos &&
         Received.find("Connection: close") != std::string::npos;
}

std::string get(const std::string &Target) {
  return "GET " + Target + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

} // namespace

TEST_SUITE("memory_budget") {
  // Guards against memory that grows with the number of slow callers, and
  // against bytes that stay counted after their connections have closed.
  TEST_CASE("slow callers together hold no more than the budget") {
    constexpr int Callers = 400;
    const std::string Chunks =
        "POST /TARGET HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
        "chunked\r\n\r\n5;";
    struct Row {
      const char *m_Name;
      std::string m_Text; // TARGET is replaced by the caller's number.
      Duration m_ReadAfter;
      std::size_t m_AnswerBytes;
    };
    const Row Rows[] = {
        {"silent", "", 0ms, 2},
        {"half a head", "GET /TARGET HTTP/1.1\r\nHost: x\r\nX: ", 0ms, 2},
        {"a long head without end",
         "GET /TARGET HTTP/1.1\r\nX: " + std::string(15000, 'x'), 0ms, 2},
        {"a chunk extension without end", Chunks + std::string(30000, 'x'), 0ms,
         2},
        {"most of a body",
         "POST /TARGET HTTP/1.1\r\nHost: x\r\nContent-Length: "
         "1000000\r\n\r\n" +
             std::string(62000, 'b'),
         0ms, 2},
        {"a slow reader", get("/TARGET"), 600ms, 8U << 20U},
        {"a slow reader that pipelines",
         get("/TARGET") + get("/TARGET") + get("/TARGET"), 600ms, 50000},
    };
    for (const Row &Case : Rows)
      for (int PipelinedRequests : {1, 8}) {
        CAPTURE(Case.m_Name);
        CAPTURE(PipelinedRequests);
        BudgetFixture Fixture(PipelinedRequests);
        Fixture.m_AnswerBytes = Case.m_AnswerBytes;
        std::vector<Caller> All(Callers);
        for (int I = 0; I < Callers; ++I) {
          All[I].m_Text = Case.m_Text;
          std::string Target = std::to_string(I);
          for (auto At = All[I].m_Text.find("TARGET"); At != std::string::npos;
               At = All[I].m_Text.find("TARGET"))
            All[I].m_Text.replace(At, 6, Target);
          All[I].m_ReadAfter = Case.m_ReadAfter;
          All[I].m_CloseAfter = Case.m_ReadAfter + 1000ms;
          Fixture.start(All[I], Fixture.m_CallerPort);
        }
        Caller Control{"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: "
                       "20000\r\nConnection: close\r\n\r\n" +
                           std::string(20000, 'c'),
                       0ms, 1000ms};
        Fixture.runFor(500ms);
        Fixture.start(Control, Fixture.m_ControlPort);
        Fixture.runUntilEnded(Callers + 1);
        CHECK(Fixture.m_Ended == Callers + 1);
        CHECK(Fixture.m_MostUsed <= BudgetBytes);
        CHECK(Control.m_Received.starts_with("HTTP/1.1 200"));
        int Refused = 0;
        for (int I = 0; I < Callers; ++I) {
          if (!All[I].m_Received.starts_with("HTTP/1.1 503"))
            continue;
          ++Refused;
          CHECK(isTrueRefusal(All[I].m_Received));
          CHECK(std::count(Fixture.m_Handled.begin(), Fixture.m_Handled.end(),
                           "/" + std::to_string(I)) == 0);
        }
        CHECK(Refused > 0);
        CHECK(Fixture.m_Callers.connections() == 0);
        CHECK(Fixture.m_Budget->usedBytes() == 0);
        // The budget is free again.
        Caller Later{get("/later"), 0ms, 300ms};
        Fixture.start(Later, Fixture.m_CallerPort);
        Fixture.runUntilEnded(Callers + 2);
        CHECK(Later.m_Received.starts_with("HTTP/1.1 200"));
        CHECK(Fixture.m_Budget->usedBytes() == 0);
      }
  }

  // Guards against refusals of work that fits, and against work that is taken
  // while nothing is left.
  TEST_CASE("connections and requests are refused by what is left") {
    struct Row {
      const char *m_Name;
      bool m_Counts;
      std::size_t m_LeftBytes;     // When the caller connects.
      std::size_t m_LeftAtRequest; // When it sends its request.
      bool m_IsAnswered;
    };
    const Row Rows[] = {
        {"all is left", true, BudgetBytes, BudgetBytes, true},
        {"a third is left", true, BudgetBytes / 3, BudgetBytes / 3, true},
        {"no room for a connection", true, BudgetBytes / 5, BudgetBytes / 5,
         false},
        {"room for a request only", true, BudgetBytes / 3, BudgetBytes / 5,
         true},
        {"no room for a request", true, BudgetBytes / 3, BudgetBytes / 9,
         false},
        {"connections are not counted", false, 0, 0, true},
    };
    for (const Row &Case : Rows)
      for (int PipelinedRequests : {1, 8}) {
        CAPTURE(Case.m_Name);
        CAPTURE(PipelinedRequests);
        BudgetFixture Fixture(PipelinedRequests, Case.m_Counts);
        BufferedBytes Others(Fixture.m_Budget);
        Others.set(BudgetBytes - Case.m_LeftBytes);
        tcp::socket Socket(Fixture.m_Io);
        Socket.connect(
            {asio::ip::make_address("127.0.0.1"), Fixture.m_CallerPort});
        Fixture.runFor(30ms);
        Others.set(BudgetBytes - Case.m_LeftAtRequest);
        boost::system::error_code Error;
        asio::write(Socket, asio::buffer(get("/a")), Error);
        Fixture.runFor(50ms);
        std::string Received(4096, '\0');
        Socket.non_blocking(true);
        Received.resize(Socket.read_some(asio::buffer(Received), Error));
        CHECK(Received.starts_with(Case.m_IsAnswered ? "HTTP/1.1 200"
                                                     : "HTTP/1.1 503"));
        CHECK(isTrueRefusal(Received) == !Case.m_IsAnswered);
        CHECK(Fixture.m_Handled.size() == (Case.m_IsAnswered ? 1 : 0));
        Socket.close();
        Fixture.runFor(50ms);
        Others.set(0);
        CHECK(Fixture.m_Budget->usedBytes() == 0);
        CHECK(Fixture.m_Callers.connections() == 0);
      }
  }

  // Guards against a budget that is released once too often for each fragment
  // of a streamed response, and freed while it is in use (review/6).
  TEST_CASE("a streamed response leaves the budget as it was") {
    // Other owners keep the budget alive where the client releases too much.
    const std::vector<BufferBudgetPtr> Others(
        100'000, std::make_shared<BufferBudget>(BudgetBytes));
    const BufferBudgetPtr &Budget = Others.front();
    struct Row {
      const char *m_Name;
      const char *m_Head;
      std::size_t m_Bytes;
      test::ConnectionEnd m_End;
      std::size_t m_LeaveAfterBytes;
      bool m_IsWhole;
    };
    const char *WithLength = "Content-Length: 150000\r\n";
    const Row Rows[] = {
        {"whole", WithLength, 150'000, test::ConnectionEnd::Close, 0, true},
        {"without a length", "", 150'000, test::ConnectionEnd::Close, 0, true},
        {"cut short", WithLength, 100'000, test::ConnectionEnd::Close, 0,
         false},
        {"reset", WithLength, 100'000, test::ConnectionEnd::Reset, 0, false},
        {"its client leaves", WithLength, 150'000, test::ConnectionEnd::Close,
         70'000, false},
    };
    for (const Row &Case : Rows)
      for (test::Upload Kind : {test::Upload::None, test::Upload::InChunks}) {
        CAPTURE(std::string(Case.m_Name));
        CAPTURE(static_cast<int>(Kind));
        test::RawAnswer Answer{"HTTP/1.1 200 OK\r\n" +
                                   std::string(Case.m_Head) + "\r\n" +
                                   std::string(Case.m_Bytes, 'a'),
                               Case.m_End};
        Answer.m_ReadsUpload = Kind != test::Upload::None;
        test::ClientEnd End;
        End.m_LeaveAfterBytes = Case.m_LeaveAfterBytes;
        End.m_CountingBudget = Budget;
        const long Owners = Budget.use_count();
        test::Received Got = test::send(Answer, Kind, End);
        CHECK(Got.m_IsWhole == Case.m_IsWhole);
        CHECK(Budget.use_count() == Owners);
        CHECK(Budget->usedBytes() == 0);
      }
  }
}
