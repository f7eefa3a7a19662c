// Responses whose status does not exist. A server in trouble sends them, and no
// caller must get them as an answer.
#include "net/Clock.h"
#include "net/HttpBody.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

using namespace rhubarb;
using namespace rhubarb::net;
using asio::ip::tcp;

namespace {

// Answers each request on each connection with the same raw text.
asio::awaitable<void> serveRaw(tcp::acceptor &Acceptor, std::string Text,
                               int &Connections) {
  for (;;) {
    auto [Error, Accepted] = co_await Acceptor.async_accept(Await);
    if (Error)
      co_return;
    ++Connections;
    auto Socket = std::make_shared<tcp::socket>(std::move(Accepted));
    asio::co_spawn(
        Acceptor.get_executor(),
        [](std::shared_ptr<tcp::socket> To,
           std::string Answer) -> asio::awaitable<void> {
          char Buffer[4096];
          for (;;) {
            auto [ReadError, Read] =
                co_await To->async_read_some(asio::buffer(Buffer), Await);
            if (ReadError)
              co_return;
            co_await asio::async_write(*To, asio::buffer(Answer), Await);
          }
        }(Socket, Text),
        asio::detached);
  }
}

struct SendOutcome {
  HttpFailure m_Failure = HttpFailure::None;
  int m_Status = 0;
  Duration m_Took{0};
  std::size_t m_IdleConnections = 0;
};

constexpr Duration RequestTimeout = 700ms;

SendOutcome sendTo(const std::string &Answer) {
  asio::io_context Io{1};
  Reachability Reach;
  HttpClient Client(Io, Reach, "127.0.0.1");
  tcp::acceptor Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0});
  std::string Address =
      "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  int Connections = 0;
  asio::co_spawn(Io, serveRaw(Acceptor, Answer, Connections), asio::detached);
  SendOutcome Out;
  asio::co_spawn(
      Io,
      [](HttpClient &From, std::string To,
         SendOutcome &Got) -> asio::awaitable<void> {
        Time Began = now();
        HttpRequest Request;
        HttpResult Result =
            co_await From.send(To, Request, Began + RequestTimeout);
        Got = {Result.m_Failure, Result.m_Response.m_Status, now() - Began,
               From.idleConnections()};
      }(Client, Address, Out),
      [&](const std::exception_ptr &) { Io.stop(); });
  Io.run();
  return Out;
}

} // namespace

TEST_SUITE("http_status") {
  TEST_CASE("a status that does not exist is no answer") {
    const char *const Statuses[] = {"000", "099", "101", "104", "150",
                                    "199", "600", "999", "20",  "2000",
                                    "-20", "2x0", "",    "+20"};
    for (const char *Status : Statuses) {
      CAPTURE(Status);
      SendOutcome Got = sendTo("HTTP/1.1 " + std::string(Status) +
                               " Odd\r\nContent-Length: 2\r\n\r\nok");
      CHECK(Got.m_Failure == HttpFailure::Malformed);
      // The caller must not wait for its timeout.
      CHECK(Got.m_Took < RequestTimeout / 2);
      CHECK(Got.m_IdleConnections == 0);
    }
  }

  TEST_CASE("interim responses precede the answer") {
    for (const char *Interim :
         {"100 Continue", "102 Processing", "103 Early Hints"}) {
      CAPTURE(Interim);
      SendOutcome Got =
          sendTo("HTTP/1.1 " + std::string(Interim) +
                 "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      CHECK(Got.m_Failure == HttpFailure::None);
      CHECK(Got.m_Status == 200);
      CHECK(Got.m_IdleConnections == 1);
    }
  }

  TEST_CASE("unusual statuses that exist are answers") {
    for (const char *Status : {"200", "299", "418", "599"}) {
      CAPTURE(Status);
      SendOutcome Got = sendTo("HTTP/1.1 " + std::string(Status) +
                               " Any\r\nContent-Length: 2\r\n\r\nok");
      CHECK(Got.m_Failure == HttpFailure::None);
      CHECK(Got.m_Status == std::stoi(Status));
    }
  }
}
