// An instance answers a long upload before it has read the body, with an answer
// of some hundred kilobytes, while the client goes on sending. The client, on a
// kept connection, must get the whole answer.
#include "Cases.h"

#include <algorithm>
#include <atomic>
#include <sys/socket.h>
#include <thread>

namespace review {
namespace {

constexpr std::size_t UploadBytes = 4U << 20U;
constexpr std::size_t AnswerBytes = 200'000;
constexpr std::size_t PieceBytes = 65536;
constexpr std::size_t ReadBeforeAnswer = 200'000;
constexpr long PieceMs = 5; // The client sends some 13 MB a second.
constexpr long IdleMs = 2000;
constexpr int Uploads = 8;
constexpr long StableWindowMs = 5000; // A second more than the bound.
constexpr int AllowedLosses = 3;      // "more than three times"

Headers serverHeaders(const Message &Request) {
  return {{"X-Rhubarbstack-Request-Id",
           Request.header("X-Rhubarbstack-Request-Id")},
          {"X-Rhubarbstack-Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1"},
          {"X-Rhubarbstack-Server-Load", "1,0,9"}};
}

// Returns the number of bytes read; fewer than asked for at the end.
std::size_t discard(Reader &From, std::size_t Bytes) {
  std::size_t Read = 0;
  while (Read < Bytes) {
    std::string More =
        From.readSome(std::min(PieceBytes, Bytes - Read), IdleMs);
    if (More.empty())
      break;
    Read += More.size();
  }
  return Read;
}

void serve(const Socket &Client, bool AnswersEarly) {
  Reader Requests(Client);
  while (std::optional<Message> Request = Requests.readHead(10 * IdleMs)) {
    if (Request->target() == "/health") {
      Client.send(responseText(200, "OK",
                               {{"X-Rhubarbstack-Instance-Id", "i-7f3a91c2"},
                                {"X-Rhubarbstack-Server-Load", "0,0,9"}},
                               ""));
      continue;
    }
    if (Request->method() == "GET") {
      Client.send(responseText(200, "OK", serverHeaders(*Request), "small"));
      continue;
    }
    std::size_t Before = AnswersEarly ? ReadBeforeAnswer : UploadBytes;
    std::size_t Got = discard(Requests, Before);
    // Reads on while it answers.
    std::thread Rest([&] { Got += discard(Requests, UploadBytes - Before); });
    std::string Answer = responseText(200, "OK", serverHeaders(*Request),
                                      std::string(AnswerBytes, 'a'));
    std::size_t Sent = Client.send(Answer);
    Rest.join();
    Record::line("instance: sent " + std::to_string(Sent) + " of " +
                 std::to_string(Answer.size()) + " bytes of its answer, got " +
                 std::to_string(Got) + " of " + std::to_string(UploadBytes) +
                 " bytes of the body");
    if (Got < UploadBytes)
      return;
  }
}

std::string requestHead(const std::string &Start, int Number,
                        std::size_t Length) {
  return Start +
         " HTTP/1.1\r\nHost: moulds.example\r\n"
         "X-Rhubarbstack-Request-Id: 9c41d07be2a3" +
         std::to_string(1000 + Number) +
         "\r\nX-Rhubarbstack-Request-Deadline: 3000\r\nContent-Length: " +
         std::to_string(Length) + "\r\n\r\n";
}

} // namespace

int longAnswer(Deployment &Site, bool WithTrouble) {
  if (!Site.start({{"r-upload", "/pufi791/", "unsafe", "2500ms"},
                   {"r-browse", "/lohu930/", "safe", "2500ms"}},
                  {"katalog"}))
    return 2;
  int Port = Site.m_FrontPort + 20;
  Site.listServer("i-7f3a91c2", "katalog",
                  Site.serverIp(0) + ":" + std::to_string(Port), 9);
  acceptLoop(
      listenOn(Site.serverIp(0), Port),
      [WithTrouble](const Socket &Client) { serve(Client, WithTrouble); });
  if (!Site.startNode(0, 1))
    return 2;
  sleepMs(StableWindowMs); // From now on the machine is in touch.
  int Lost = 0;
  for (int Number = 0; Number < Uploads; ++Number) {
    Socket Client =
        connectTo(Site.nodeIp(0), Site.m_FrontPort, Site.clientIp());
    Reader Answers(Client);
    Client.send(requestHead("GET /lohu930/2f", 2 * Number, 0));
    std::optional<Message> First = Answers.readMessage(IdleMs);
    if (!First || First->status() != 200)
      return 2;
    // The connection is kept now.
    std::atomic<bool> Stop{false};
    std::thread Sender([&] {
      Client.send(requestHead("POST /pufi791/2f", 2 * Number + 1, UploadBytes));
      std::string Piece(PieceBytes, 'b');
      for (std::size_t Sent = 0; Sent < UploadBytes && !Stop;
           Sent += PieceBytes) {
        if (Client.send(Piece) < PieceBytes)
          return;
        sleepMs(PieceMs);
      }
    });
    std::optional<Message> Answer = Answers.readHead(IdleMs);
    bool Whole = Answer && Answers.readBody(*Answer, IdleMs);
    Record::line("client: upload " + std::to_string(Number + 1) +
                 " on a kept "
                 "connection: " +
                 (Answer ? std::to_string(Answer->status()) + ", " +
                               std::to_string(Answer->m_Body.size()) + " of " +
                               Answer->header("Content-Length") + " body bytes"
                         : std::string("no answer")) +
                 (Whole ? "" : ", then the connection was closed"));
    Lost += Whole ? 0 : 1;
    if (!Whole || WithTrouble)
      Stop = true;
    Sender.join();
    sleepMs(100);
  }
  Record::line(std::to_string(Lost) + " of " + std::to_string(Uploads) +
               " connections were closed without the whole answer");
  return Lost > AllowedLosses ? 1 : 0;
}

} // namespace review
