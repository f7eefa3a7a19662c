// Planned stops of a node whose callers send further requests before the
// response to an earlier one.
#include "test/NodeFixture.h"

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

// Returns the number of complete responses that are successes, or refusals of
// requests that have not run and may be sent again.
std::size_t countAnswers(const std::string &Received) {
  std::size_t Count = 0;
  for (std::size_t At = Received.find("HTTP/1.1 "); At != std::string::npos;) {
    std::size_t Next = Received.find("HTTP/1.1 ", At + 1);
    std::string One = Received.substr(At, Next - At);
    bool IsRefusal = One.starts_with("HTTP/1.1 503") &&
                     One.find("Retry-After: ") != std::string::npos &&
                     One.ends_with("}\n");
    Count += One.ends_with("sound") || IsRefusal ? 1 : 0;
    At = Next;
  }
  return Count;
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
    };
    const Row Rows[] = {
        {"as many as run at once", 8, false, 8, 50ms},
        {"one more than run at once", 8, false, 9, 50ms},
        {"twice as many", 8, false, 16, 150ms},
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
      NodeFixture Fixture(std::vector<RawAnswer>(4, Sound),
                          Case.m_PipelinedRequests);
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
      CHECK(countAnswers(Received) == Case.m_Gets + (Case.m_HasUpload ? 1 : 0));
    }
  }
}
