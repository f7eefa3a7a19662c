// Responses that begin before the upload of their request has ended, and the
// watch for the close of a connection while its handler runs.
#include "net/Clock.h"
#include "net/Daemon.h"
#include "net/HttpBody.h"
#include "test/RawResponses.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

#include <thread>

using namespace rhubarb;
using namespace rhubarb::net;
using namespace rhubarb::test;
using asio::ip::tcp;

namespace {

constexpr std::size_t BufferedBodyBytes = 64U << 10U;
constexpr std::size_t PartBytes = 16U << 10U;
constexpr std::size_t UploadBytes = 600000;

// What the handler does with a request, by its target.
enum class Behaviour : std::uint8_t {
  Early,  // Responds early; the body is read on meanwhile.
  Breaks, // Responds early, and breaks the response off.
  Reads,  // Responds when it has read the whole body.
  Slow,   // Takes 2 s.
};
constexpr const char *Targets[] = {"/early", "/breaks", "/reads", "/slow"};

const char *target(Behaviour Value) {
  return Targets[static_cast<std::size_t>(Value)];
}

// The reading of an upload that goes on behind its handler.
struct Upload {
  std::size_t m_Bytes = 0;
  bool m_Aborted = false;
  bool m_Ended = false;
};

asio::awaitable<void> readUpload(BodyReader Reader, Upload &Into) {
  while (!Into.m_Ended) {
    BodyFragment Fragment = co_await Reader.readNext();
    Into.m_Bytes += Fragment.m_Bytes.size();
    Into.m_Aborted = Fragment.m_Aborted;
    Into.m_Ended = Fragment.m_Last || Fragment.m_Aborted;
  }
}

struct EarlyFixture {
  asio::io_context m_Io{1};
  Reachability m_Reach;
  HttpServer m_Server;
  std::uint16_t m_Port = 0;
  std::size_t m_ResponseBytes = 10;
  Upload m_Upload;
  std::vector<std::string> m_Closed; // Targets whose client was gone.

  explicit EarlyFixture(int Depth)
      : m_Server(m_Io, m_Reach, limits(Depth), [this](HttpRequest Request) {
          return handle(std::move(Request));
        }) {
    auto Started = m_Server.start("127.0.0.1", 0);
    REQUIRE(Started);
    m_Port = Started.value();
  }
  static HttpServerLimits limits(int Depth) {
    HttpServerLimits Limits;
    Limits.m_MaxPipelinedRequests = Depth;
    Limits.m_MaxBufferedBodyBytes = BufferedBodyBytes;
    return Limits;
  }

  asio::awaitable<HttpResponse> handle(HttpRequest Request) {
    std::string Target = Request.m_Target;
    std::shared_ptr<ClientConnection> Client = Request.m_Client;
    Client->m_OnClose = [this, Target] { m_Closed.push_back(Target); };
    bool Reads = Target == target(Behaviour::Reads);
    bool Breaks = Target == target(Behaviour::Breaks);
    if (Request.m_BodyStream) {
      m_Upload.m_Bytes += Request.m_Body.size();
      BodyReader Reader(Request.m_BodyStream);
      if (Reads)
        co_await readUpload(std::move(Reader), m_Upload);
      else
        asio::co_spawn(m_Io, readUpload(std::move(Reader), m_Upload),
                       asio::detached);
    }
    // A reader of the upload waits for its next bytes when the handler ends.
    bool IsSlow = Target == target(Behaviour::Slow);
    co_await sleepFor(IsSlow ? 2s : 20ms);
    Client->m_OnClose = nullptr;
    HttpResponse Response;
    std::size_t First = std::min(m_ResponseBytes, PartBytes);
    Response.m_Body.append(First, 'r');
    if (First < m_ResponseBytes || Breaks)
      Response.m_BodyStream = responseStream(First, Breaks);
    co_return Response;
  }

  // Like the response of a server whose connection is closed when the upload
  // breaks off.
  BodyStreamPtr responseStream(std::size_t Sent, bool Breaks) {
    auto Stream = std::make_shared<BodyStream>();
    Stream->m_ContentLength = std::max(m_ResponseBytes, Sent + 1);
    Stream->m_ReadNext = [this, Breaks,
                          Sent]() mutable -> asio::awaitable<BodyFragment> {
      co_await sleepFor(1ms);
      BodyFragment Fragment;
      Fragment.m_Aborted = Breaks || m_Upload.m_Aborted;
      std::size_t Bytes = std::min(PartBytes, m_ResponseBytes - Sent);
      Fragment.m_Bytes.append(Bytes, 'r');
      Sent += Bytes;
      Fragment.m_Last = Sent == m_ResponseBytes;
      co_return Fragment;
    };
    return Stream;
  }

  // Runs a caller until it has ended.
  void run(asio::awaitable<void> Caller) {
    asio::co_spawn(m_Io, std::move(Caller),
                   [this](const std::exception_ptr &) { m_Io.stop(); });
    m_Io.restart();
    m_Io.run();
  }
  void wait(Duration Length) { run(sleepFor(Length)); }
};

std::string uploadText(Behaviour What, bool Chunked) {
  std::string Text =
      std::string("POST ") + target(What) + " HTTP/1.1\r\nHost: x\r\n";
  if (!Chunked)
    return Text + "Content-Length: " + std::to_string(UploadBytes) +
           "\r\n\r\n" + std::string(UploadBytes, 'u');
  Text += "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t Sent = 0; Sent < UploadBytes; Sent += 1000)
    Text += "3e8\r\n" + std::string(1000, 'u') + "\r\n";
  return Text + "0\r\n\r\n";
}

std::string getText(Behaviour What) {
  return std::string("GET ") + target(What) + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

std::string postText(Behaviour What) {
  return std::string("POST ") + target(What) +
         " HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";
}

// A caller that reads until the server ends the connection or a time has
// passed.
struct Caller {
  beast::tcp_stream m_Stream;
  std::string m_Received;
  bool m_Ended = false; // By the server.

  explicit Caller(EarlyFixture &Fixture) : m_Stream(Fixture.m_Io) {
    m_Stream.socket().connect(
        {asio::ip::make_address("127.0.0.1"), Fixture.m_Port});
  }
  asio::awaitable<void> send(std::string Text) {
    m_Stream.expires_after(3s);
    co_await asio::async_write(m_Stream, asio::buffer(Text), Await);
  }
  // Reads until there are MinBytes more.
  asio::awaitable<void> read(std::size_t MinBytes) {
    std::size_t Enough = m_Received.size() + MinBytes;
    std::string Part(PartBytes, '\0');
    m_Stream.expires_after(4s);
    while (m_Received.size() < Enough) {
      auto [Error, Bytes] =
          co_await m_Stream.async_read_some(asio::buffer(Part), Await);
      m_Received.append(Part, 0, Bytes);
      m_Ended = Error == asio::error::eof;
      if (Error)
        break;
    }
  }
  // Sends half of an upload, and the rest when the response has begun.
  asio::awaitable<void> upload(std::string Text) {
    co_await send(Text.substr(0, Text.size() / 2));
    co_await read(1);
    co_await send(Text.substr(Text.size() / 2));
    co_await read(std::string::npos / 2);
  }
  // Whether the server has not only ended its side, but closed the socket.
  bool isClosed() {
    boost::system::error_code Error;
    m_Stream.socket().write_some(asio::buffer("x", 1), Error);
    std::this_thread::sleep_for(20ms);
    if (!Error)
      m_Stream.socket().write_some(asio::buffer("x", 1), Error);
    return bool(Error);
  }
};

} // namespace

TEST_SUITE("http_early_response") {
  // Guards against an upload that breaks off when its handler ends, and a
  // response that is cut with it.
  TEST_CASE("a response that begins before its upload has ended is whole") {
    struct Row {
      const char *m_Name;
      std::size_t m_ResponseBytes;
    };
    const Row Rows[] = {{"short", 10}, {"200 KB", 200000}, {"1 MB", 1000000}};
    for (const Row &Case : Rows)
      for (bool Chunked : {false, true})
        for (int Depth : {8, 1}) {
          CAPTURE(std::string(Case.m_Name));
          CAPTURE(Chunked);
          CAPTURE(Depth);
          EarlyFixture Fixture(Depth);
          Fixture.m_ResponseBytes = Case.m_ResponseBytes;
          {
            Caller One(Fixture);
            Fixture.run(One.upload(uploadText(Behaviour::Early, Chunked)));
            auto Responses = splitResponses(One.m_Received);
            REQUIRE(Responses.size() == 1);
            CHECK(Responses[0].m_IsWhole);
            CHECK(One.m_Ended);
          }
          Fixture.wait(50ms);
          CHECK(Fixture.m_Upload.m_Bytes == UploadBytes);
          CHECK_FALSE(Fixture.m_Upload.m_Aborted);
          CHECK(Fixture.m_Upload.m_Ended);
          CHECK(Fixture.m_Closed.empty());
          CHECK(Fixture.m_Server.connections() == 0);
        }
  }

  // Guards against sockets that nobody closes, as a watch or a reader of the
  // upload is left behind.
  TEST_CASE("a connection ends after an early response") {
    for (Behaviour What : {Behaviour::Early, Behaviour::Breaks})
      for (int Depth : {8, 1}) {
        CAPTURE(std::string(target(What)));
        CAPTURE(Depth);
        EarlyFixture Fixture(Depth);
        Caller One(Fixture);
        bool Breaks = What == Behaviour::Breaks;
        std::string Text = uploadText(What, false);
        // A broken response ends the connection under an incomplete upload.
        if (Breaks)
          Fixture.run(One.send(Text.substr(0, Text.size() / 2)));
        else
          Fixture.run(One.upload(Text));
        Fixture.wait(1300ms);
        CHECK(Fixture.m_Server.connections() == 0);
        CHECK(Fixture.m_Upload.m_Ended);
        CHECK(Fixture.m_Upload.m_Aborted == Breaks);
        CHECK(One.isClosed());
      }
  }

  // Guards against a watch that outlives its request: the next request on the
  // connection is not told of its client's close, an earlier one is, or an idle
  // connection doesn't end.
  TEST_CASE("a watch for the client's close ends with its request") {
    struct Row {
      const char *m_Name;
      std::string m_First;
    };
    const Row Rows[] = {
        {"a request", getText(Behaviour::Reads)},
        {"a short upload", postText(Behaviour::Reads)},
        {"a streamed upload", uploadText(Behaviour::Reads, false)},
        {"a streamed upload in chunks", uploadText(Behaviour::Reads, true)},
    };
    for (const Row &Case : Rows)
      for (int Depth : {8, 1})
        for (bool Stops : {false, true}) {
          CAPTURE(std::string(Case.m_Name));
          CAPTURE(Depth);
          CAPTURE(Stops);
          EarlyFixture Fixture(Depth);
          Caller One(Fixture);
          Fixture.run(One.send(Case.m_First));
          Fixture.run(One.read(1));
          CHECK(splitResponses(One.m_Received).back().m_IsWhole);
          if (Stops) {
            Fixture.m_Server.stopAccepting();
            Fixture.wait(50ms);
            CHECK(Fixture.m_Server.connections() == 0);
            continue;
          }
          // Has the watch see bytes of the next request first.
          Fixture.run(One.send(postText(Behaviour::Slow)));
          Fixture.wait(100ms);
          CHECK(Fixture.m_Closed.empty());
          One.m_Stream.close();
          Fixture.wait(300ms);
          CHECK(Fixture.m_Closed ==
                std::vector<std::string>{target(Behaviour::Slow)});
        }
  }
}
