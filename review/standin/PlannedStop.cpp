// A node gets SIGTERM while an instance is at work on an upload, of which it
// reads the rest only after some time of work. The node must not break the
// request off and answer it itself.
#include "Cases.h"

#include <algorithm>
#include <csignal>
#include <thread>

namespace review {
namespace {

constexpr std::size_t UploadBytes = 300'000;
constexpr std::size_t PieceBytes = 65536;
constexpr long WorkMs = 1500; // Work of the instance before it reads the rest.
constexpr long StopAfterMs = 200;
constexpr long IdleMs = 4000;
constexpr long StableWindowMs = 5000; // A second more than the bound.
constexpr long GraceMs = 6000;
constexpr int Rounds = 3;
constexpr const char *Stamp = "3e1b.07.5a2.600.0.c9f2a4d1";

// Returns the number of bytes read; fewer than asked for at the end.
std::size_t readBytes(Reader &From, std::size_t Bytes) {
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

void serve(const Socket &Client, bool ReadsLate) {
  Reader Requests(Client);
  while (std::optional<Message> Request = Requests.readHead(10 * IdleMs)) {
    if (Request->method() == "GET") {
      Client.send(responseText(200, "OK",
                               {{"X-Rhubarbstack-Instance-Id", "i-7f3a91c2"},
                                {"X-Rhubarbstack-Server-Load", "0,0,9"}},
                               ""));
      continue;
    }
    Record::line("instance: begins to work on the upload");
    std::size_t Got = 0;
    if (!ReadsLate)
      Got = readBytes(Requests, UploadBytes);
    sleepMs(WorkMs);
    Got += readBytes(Requests, UploadBytes - Got);
    Record::line("instance: got " + std::to_string(Got) + " of " +
                 std::to_string(UploadBytes) + " bytes of the body" +
                 (Got < UploadBytes ? ", the node has broken off" : ""));
    if (Got < UploadBytes)
      return;
    Client.send(responseText(200, "OK",
                             {{"X-Rhubarbstack-Request-Id",
                               Request->header("X-Rhubarbstack-Request-Id")},
                              {"X-Rhubarbstack-Server-Stamp", Stamp},
                              {"X-Rhubarbstack-Server-Load", "1,0,9"}},
                             "stored"));
  }
}

// Sends an upload and stops the node while it runs. Returns whether the
// instance's answer arrived, or none if the round could not run.
std::optional<bool> runRound(Deployment &Site, int Number) {
  if (!Site.startNode(0, 1))
    return std::nullopt;
  sleepMs(StableWindowMs); // From now on nothing has disturbed the machine.
  Socket Client = connectTo(Site.nodeIp(0), Site.m_FrontPort, Site.clientIp());
  if (!Client)
    return std::nullopt;
  long SentAt = elapsedMs();
  Client.send("POST /pufi791/2f HTTP/1.1\r\nHost: moulds.example\r\n"
              "X-Rhubarbstack-Request-Id: 9c41d07be2a35f6" +
              std::to_string(Number) +
              "\r\nX-Rhubarbstack-Request-Deadline: 3000\r\nContent-Length: " +
              std::to_string(UploadBytes) + "\r\n\r\n");
  std::size_t Sent = Client.send(std::string(UploadBytes, 'b'));
  Record::line("client: sent " + std::to_string(Sent) + " body bytes after " +
               std::to_string(elapsedMs() - SentAt) + " ms");
  sleepMs(StopAfterMs);
  Site.m_Nodes.back()->signal(SIGTERM);
  Record::line("platform: SIGTERM to the node");
  std::optional<Message> Answer = Reader(Client).readMessage(IdleMs);
  bool Arrived =
      Answer && Answer->header("X-Rhubarbstack-Server-Stamp") == Stamp;
  Record::line(
      "client: after " + std::to_string(elapsedMs() - SentAt) + " ms " +
      (Answer
           ? std::to_string(Answer->status()) + ", stamp " +
                 (Arrived ? "of the instance"
                          : "none, reason " + Answer->header("Rhubarb-Reason"))
           : std::string("the connection ended without an answer")));
  for (long End = elapsedMs() + GraceMs;
       !Site.m_Nodes.back()->ended() && elapsedMs() < End;)
    sleepMs(20);
  Site.m_Nodes.pop_back();
  return Arrived;
}

} // namespace

int plannedStop(Deployment &Site, bool WithTrouble) {
  if (!Site.start({{"r-upload", "/pufi791/", "unsafe", "2500ms"}}, {"katalog"}))
    return 2;
  int Port = Site.m_FrontPort + 20;
  Site.listServer("i-7f3a91c2", "katalog",
                  Site.serverIp(0) + ":" + std::to_string(Port), 9);
  acceptLoop(
      listenOn(Site.serverIp(0), Port),
      [WithTrouble](const Socket &Client) { serve(Client, WithTrouble); });
  int Lost = 0;
  for (int Number = 1; Number <= Rounds; ++Number) {
    std::optional<bool> Arrived = runRound(Site, Number);
    if (!Arrived)
      return 2;
    Lost += *Arrived ? 0 : 1;
  }
  Record::line(std::to_string(Lost) + " of " + std::to_string(Rounds) +
               " requests were broken off during the planned stop");
  return Lost > 0 ? 1 : 0;
}

} // namespace review
