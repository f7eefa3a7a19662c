// Planned stops of a node whose callers send further requests before the
// response to an earlier one.
#include "test/NodeFixture.h"
#include "test/RawResponses.h"

#include <boost/asio/read.hpp>

#include <thread>

using namespace rhubarb;
using namespace rhubarb::test;

namespace {

std::string get(const std::string &Target) {
  return "GET " + Target +
         " HTTP/1.1\r\nHost: x.example\r\n"
         "X-Rhubarbstack-Request-Id: r1\r\n"
         "X-Rhubarbstack-Request-Deadline: 3000\r\n\r\n";
}

const std::string ShortUpload =
    "POST /pay/1 HTTP/1.1\r\nHost: x.example\r\n"
    "X-Rhubarbstack-Request-Id: r1\r\nContent-Length: 4\r\n"
    "X-Rhubarbstack-Request-Deadline: 3000\r\n\r\nbody";

std::string upload(std::size_t Bytes, const std::string &Fields) {
  return "POST /pay/1 HTTP/1.1\r\nHost: x.example\r\n"
         "X-Rhubarbstack-Request-Id: r1\r\n" +
         Fields + "Content-Length: " + std::to_string(Bytes) +
         "\r\nX-Rhubarbstack-Request-Deadline: 3000\r\n\r\n" +
         std::string(Bytes - UploadEnd.size(), 'u') + std::string(UploadEnd);
}

// Leaves each server with spare slots for all requests of a row.
constexpr std::size_t AmpleSlots = 32;

// Sends a text at once and reads until the node closes the connection.
asio::awaitable<void> exchangeRaw(tcp::socket &Socket, std::string Text,
                                  std::string &Received) {
  co_await asio::async_write(Socket, asio::buffer(Text), Await);
  std::string Buffer(BodyReadBytes, '\0');
  for (bool IsOpen = true; IsOpen;) {
    auto [Error, Bytes] =
        co_await Socket.async_read_some(asio::buffer(Buffer), Await);
    Received.append(Buffer, 0, Bytes);
    IsOpen = !Error;
  }
}

asio::awaitable<void> stopAfter(node::Node &Stopped, Duration After) {
  co_await sleepFor(After);
  co_await Stopped.stop();
}

// Numbers of responses that a caller has received.
struct AnswerCounts {
  std::size_t m_Successes = 0;
  // Refusals of requests that have not run and may be sent again.
  std::size_t m_Refusals = 0;
  std::size_t m_Others = 0; // Incomplete responses too.
};

AnswerCounts countAnswers(std::string_view Text) {
  AnswerCounts Counts;
  for (const RawResponse &Row : splitResponses(Text)) {
    bool IsRefusal =
        Row.m_IsWhole && Row.m_Head.starts_with("HTTP/1.1 503 ") &&
        Row.m_Head.find("\r\nRetry-After: ") != std::string_view::npos &&
        Row.m_Head.find("\r\nRhubarb-Reason: wait_too_long\r\n") !=
            std::string_view::npos;
    if (Row.m_IsWhole && Row.m_Head.starts_with("HTTP/1.1 200 ") &&
        Row.m_Body == "sound")
      ++Counts.m_Successes;
    else if (IsRefusal)
      ++Counts.m_Refusals;
    else
      ++Counts.m_Others;
  }
  return Counts;
}

} // namespace

TEST_SUITE("node_stop") {
  // Guards against whole requests that a planned stop leaves without an answer,
  // because they wait behind those in progress.
  TEST_CASE("a planned stop answers all pipelined requests") {
    struct Row {
      const char *m_Name;
      int m_PipelinedRequests;
      bool m_HasUpload; // Sent before the others.
      std::size_t m_Gets;
      Duration m_StopAfter;
      // The requests need more slots than there are, so some are refused, as
      // they are without a stop.
      bool m_ServersFull = false;
    };
    const Row Rows[] = {
        {"as many as run at once", 8, false, 8, 50ms},
        {"one more than run at once", 8, false, 9, 50ms},
        {"twice as many", 8, false, 16, 150ms},
        {"more than the servers take", 8, false, 8, 50ms, true},
        {"twice as many, and full servers", 8, false, 16, 150ms, true},
        {"behind an upload", 8, true, 3, 50ms},
        {"behind an upload, one by one", 1, true, 3, 50ms},
        {"one by one", 1, false, 5, 150ms},
        {"with the stop", 8, false, 2, 0ms},
        {"with the stop, one by one", 1, false, 2, 0ms},
    };
    for (const Row &Case : Rows) {
      CAPTURE(std::string(Case.m_Name));
      const RawAnswer Sound{head() + "Connection: close\r\n"
                                     "Content-Length: 5\r\n\r\nsound",
                            ConnectionEnd::Close, false, 200ms};
      std::size_t Servers = Case.m_ServersFull ? 1 : 4;
      std::size_t Slots = Case.m_ServersFull ? ServerSlots : AmpleSlots;
      NodeFixture Fixture(std::vector<RawAnswer>(Servers, Sound),
                          Case.m_PipelinedRequests, Slots);
      std::string Text = Case.m_HasUpload ? ShortUpload : "";
      for (std::size_t I = 0; I < Case.m_Gets; ++I)
        Text += get("/read/" + std::to_string(I));
      tcp::socket Socket(Fixture.m_Io);
      Socket.connect({asio::ip::make_address(nodeIp()), CallerPort});
      std::string Received;
      asio::co_spawn(Fixture.m_Io, exchangeRaw(Socket, Text, Received),
                     asio::detached);
      asio::co_spawn(Fixture.m_Io, stopAfter(Fixture.m_Node, Case.m_StopAfter),
                     [&](const std::exception_ptr &) { Fixture.m_Io.stop(); });
      Fixture.finish();
      Fixture.runFor(20ms); // Reads what the node has written.
      CAPTURE(Received);
      AnswerCounts Counts = countAnswers(Received);
      CHECK(Counts.m_Successes + Counts.m_Refusals ==
            Case.m_Gets + (Case.m_HasUpload ? 1 : 0));
      CHECK(Counts.m_Others == 0);
      CHECK((Counts.m_Refusals > 0) == Case.m_ServersFull);
      CHECK(Counts.m_Successes > 0);
    }
  }
}

TEST_SUITE("node_stop_ready") {
  // Guards against responses that are ready when the process of a planned stop
  // ends, and are never written.
  TEST_CASE("a planned stop writes the responses that become ready together") {
    struct Row {
      const char *m_Name;
      int m_PipelinedRequests;
      std::string m_Text;
      std::size_t m_Callers;
      bool m_IsUpload = true;
    };
    const Row Rows[] = {
        {"requests without a body", 8, get("/read/1"), 20, false},
        {"short uploads", 8, upload(1000, ""), 20},
        {"uploads", 8, upload(60000, ""), 20},
        {"the last request of each connection", 8,
         upload(60000, "Connection: close\r\n"), 20},
        {"streamed uploads", 8, upload(200000, ""), 20},
        {"one upload", 8, upload(1000, ""), 1},
        {"short uploads, one by one", 1, upload(1000, ""), 20},
    };
    for (const Row &Case : Rows) {
      CAPTURE(std::string(Case.m_Name));
      std::size_t Answered = 0;
      RawAnswer Sound{head() + "Content-Length: 5\r\n\r\nsound",
                      ConnectionEnd::Close, Case.m_IsUpload, 1700ms};
      // The process gets no processor time while all responses arrive.
      Sound.m_OnAnswered = [&] {
        if (++Answered == Case.m_Callers)
          std::this_thread::sleep_for(50ms);
      };
      NodeFixture Fixture({Sound}, Case.m_PipelinedRequests, 2 * AmpleSlots);
      std::vector<std::string> Received(Case.m_Callers);
      std::deque<tcp::socket> Sockets;
      asio::co_spawn(Fixture.m_Io, stopAfter(Fixture.m_Node, 0ms),
                     [&](const std::exception_ptr &) { Fixture.m_Io.stop(); });
      // Ends after the port has closed, so that nothing else keeps the process.
      asio::co_spawn(
          Fixture.m_Io,
          [&]() -> asio::awaitable<void> {
            co_await sleepFor(1500ms);
            for (std::string &One : Received) {
              tcp::socket &Socket = Sockets.emplace_back(Fixture.m_Io);
              Socket.connect({asio::ip::make_address(nodeIp()), CallerPort});
              asio::co_spawn(Fixture.m_Io,
                             exchangeRaw(Socket, Case.m_Text, One),
                             asio::detached);
            }
          },
          asio::detached);
      Fixture.finish();
      Fixture.m_Io.restart();
      std::size_t Whole = 0;
      for (std::size_t I = 0; I < Case.m_Callers; ++I) {
        boost::system::error_code Error;
        std::string Rest(4096, '\0');
        Sockets[I].non_blocking(true);
        Rest.resize(Sockets[I].read_some(asio::buffer(Rest), Error));
        Whole += countAnswers(Received[I] + Rest).m_Successes;
      }
      CHECK(Answered == Case.m_Callers);
      CHECK(Whole == Case.m_Callers);
    }
  }
}

TEST_SUITE("node_stop_ports") {
  // Guards against a process that ends as soon as nothing is left on its ports
  // for callers and detours, and cuts what its other ports are answering.
  TEST_CASE("a planned stop answers the requests on all ports") {
    struct Row {
      const char *m_Name;
      std::uint16_t m_Port;
      const char *m_Target;
    };
    const Row Rows[] = {
        {"look-ups", LookupPort, "/v1/lookup"},
        {"readiness", ReadyPort, "/ready"},
        {"a peer", PeerPort, "/v1/list"},
        {"metrics", MetricsPort, "/metrics"},
    };
    constexpr std::size_t CallersPerPort = 10;
    for (const Row &Case : Rows) {
      CAPTURE(std::string(Case.m_Name));
      NodeFixture Fixture({});
      std::vector<std::string> Received(CallersPerPort);
      std::deque<tcp::socket> Sockets;
      asio::co_spawn(Fixture.m_Io, stopAfter(Fixture.m_Node, 0ms),
                     [&](const std::exception_ptr &) { Fixture.m_Io.stop(); });
      // The process gets no processor time while the requests arrive and the
      // port for callers is due to close.
      asio::co_spawn(
          Fixture.m_Io,
          [&]() -> asio::awaitable<void> {
            co_await sleepFor(2900ms);
            for (std::string &One : Received) {
              tcp::socket &Socket = Sockets.emplace_back(Fixture.m_Io);
              Socket.connect({asio::ip::make_address(nodeIp()), Case.m_Port});
              asio::co_spawn(Fixture.m_Io,
                             exchangeRaw(Socket, get(Case.m_Target), One),
                             asio::detached);
            }
            co_await sleepFor(0ms); // The requests are written meanwhile.
            std::this_thread::sleep_for(150ms);
          },
          asio::detached);
      Fixture.finish();
      std::size_t Whole = 0;
      for (std::size_t I = 0; I < CallersPerPort; ++I) {
        // What the node has written before its end.
        boost::system::error_code Error;
        std::string Rest(64U << 10U, '\0');
        Sockets[I].non_blocking(true);
        Rest.resize(Sockets[I].read_some(asio::buffer(Rest), Error));
        std::string Text = Received[I] + Rest;
        std::vector<RawResponse> All = splitResponses(Text);
        Whole += All.size() == 1 && All[0].m_IsWhole ? 1 : 0;
      }
      CHECK(Whole == CallersPerPort);
    }
  }

  // Guards against a long document that a peer loses as a VM stops, so that the
  // peer acts by an older configuration until it has it from elsewhere.
  TEST_CASE("a planned stop completes a configuration that a peer reads") {
    constexpr std::size_t DocumentBytes = 16U << 20U;
    NodeFixture Fixture({});
    auto Parsed = platform::parseConfig(Config);
    REQUIRE(Parsed);
    Parsed.value().m_Revision = 2;
    Fixture.m_Node.applyConfig(std::move(Parsed.value()),
                               {2, std::string(DocumentBytes, ' ')});
    std::string Received;
    asio::co_spawn(Fixture.m_Io, stopAfter(Fixture.m_Node, 0ms),
                   [&](const std::exception_ptr &) { Fixture.m_Io.stop(); });
    // Reads slowly through a small window, from before the port for callers
    // closes until after that.
    tcp::socket Socket(Fixture.m_Io, tcp::v4());
    constexpr std::size_t WindowBytes = 256U << 10U;
    std::string Buffer(WindowBytes, '\0');
    asio::co_spawn(
        Fixture.m_Io,
        [&]() -> asio::awaitable<void> {
          co_await sleepFor(2500ms);
          Socket.set_option(asio::socket_base::receive_buffer_size(
              static_cast<int>(WindowBytes)));
          Socket.connect({asio::ip::make_address(nodeIp()), PeerPort});
          std::string Request = get("/v1/config");
          co_await asio::async_write(Socket, asio::buffer(Request), Await);
          for (bool IsOpen = true; IsOpen;) {
            auto [Error, Bytes] =
                co_await asio::async_read(Socket, asio::buffer(Buffer), Await);
            Received.append(Buffer, 0, Bytes);
            IsOpen = !Error;
            co_await sleepFor(20ms);
          }
        },
        asio::detached);
    Fixture.finish();
    // What the node has written is sent after the end of its process, too.
    Socket.non_blocking(true);
    boost::system::error_code Error;
    for (Time End = now() + 2s; now() < End && Error != asio::error::eof;)
      Received.append(Buffer, 0, Socket.read_some(asio::buffer(Buffer), Error));
    std::vector<RawResponse> All = splitResponses(Received);
    REQUIRE(All.size() == 1);
    CHECK(All[0].m_Body.size() == DocumentBytes);
  }
}
