// An instance answers a long upload before it has read the body, keeps the
// connection and reads on later. It must get no other bytes than the client
// sent.
#include "Cases.h"

#include <algorithm>
#include <atomic>
#include <sys/socket.h>
#include <thread>

namespace review {
namespace {

constexpr std::size_t BodyBytes = 4U << 20U;
constexpr std::size_t WordBytes = 8;
constexpr std::size_t ReadBeforeAnswer = 200'000;
constexpr std::size_t ReadBytes = 65536;
constexpr long PauseMs = 200;
constexpr long IdleMs = 1500;
constexpr int Uploads = 4;

// Every 8 bytes of the body tell their position in it.
std::string bodyAt(std::size_t From, std::size_t Length) {
  std::string Bytes;
  for (std::size_t At = From; At < From + Length; At += WordBytes) {
    std::string Word = std::to_string(At / WordBytes);
    Word.insert(0, WordBytes - Word.size(), '0');
    Bytes += Word;
  }
  return Bytes;
}

struct Upload {
  std::atomic<std::size_t> m_Received{0};
  std::atomic<long> m_FirstOther{-1}; // Offset of the first wrong byte.
  std::string m_OtherBytes;
  std::atomic<bool> m_Ended{false};
};

struct Instance {
  bool m_AnswersEarly = false;
  std::string m_Body;
  Upload m_Upload;

  void answer(const Socket &Client, const Message &Request) const {
    Client.send(responseText(
        413, "Content Too Large",
        {{"X-Rhubarbstack-Request-Id",
          Request.header("X-Rhubarbstack-Request-Id")},
         {"X-Rhubarbstack-Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1"},
         {"X-Rhubarbstack-Server-Load", "1,0,9"}},
        "too long"));
  }

  // Reads body bytes up to an offset and compares them with what was sent.
  void readUntil(Reader &From, std::size_t Offset) {
    while (m_Upload.m_Received < Offset) {
      std::size_t At = m_Upload.m_Received;
      std::string More =
          From.readSome(std::min(ReadBytes, Offset - At), IdleMs);
      if (More.empty())
        return;
      for (std::size_t I = 0; I < More.size() && m_Upload.m_FirstOther < 0; ++I)
        if (More[I] != m_Body[At + I]) {
          m_Upload.m_OtherBytes = More.substr(I, 3 * WordBytes);
          m_Upload.m_FirstOther = static_cast<long>(At + I);
        }
      m_Upload.m_Received += More.size();
    }
  }

  void serve(const Socket &Client) {
    Reader Requests(Client);
    while (std::optional<Message> Request = Requests.readHead(IdleMs)) {
      if (Request->method() == "GET") {
        Client.send(responseText(200, "OK",
                                 {{"X-Rhubarbstack-Instance-Id", "i-7f3a91c2"},
                                  {"X-Rhubarbstack-Server-Load", "0,0,9"}},
                                 ""));
        continue;
      }
      Record::line("instance: upload begins, " +
                   Request->header("Content-Length") + " bytes");
      if (m_AnswersEarly) {
        readUntil(Requests, ReadBeforeAnswer);
        answer(Client, *Request);
        Record::line("instance: answered 413 after " +
                     std::to_string(m_Upload.m_Received) + " bytes");
        sleepMs(PauseMs);
        readUntil(Requests, BodyBytes);
      } else {
        readUntil(Requests, BodyBytes);
        answer(Client, *Request);
      }
      m_Upload.m_Ended = true;
      return;
    }
  }
};

} // namespace

int earlyAnswer(Deployment &Site, bool WithTrouble) {
  if (!Site.start({{"r-upload", "/pufi791/", "unsafe", "2500ms"}}, {"katalog"}))
    return 2;
  int Port = Site.m_FrontPort + 20;
  Site.listServer("i-7f3a91c2", "katalog",
                  Site.serverIp(0) + ":" + std::to_string(Port), 9);
  auto Server = std::make_shared<Instance>();
  Server->m_AnswersEarly = WithTrouble;
  Server->m_Body = bodyAt(0, BodyBytes);
  acceptLoop(listenOn(Site.serverIp(0), Port),
             [Server](const Socket &Client) { Server->serve(Client); });
  if (!Site.startNode(0, 1))
    return 2;
  int Broken = 0;
  for (int Number = 1; Number <= Uploads; ++Number) {
    Upload &Now = Server->m_Upload;
    Now.m_Received = 0;
    Now.m_FirstOther = -1;
    Now.m_Ended = false;
    Socket Client =
        connectTo(Site.nodeIp(0), Site.m_FrontPort, Site.clientIp());
    if (!Client)
      return 2;
    Client.send("POST /pufi791/2f HTTP/1.1\r\nHost: moulds.example\r\n"
                "X-Rhubarbstack-Request-Id: 9c41d07be2a35f6" +
                std::to_string(Number) +
                "\r\nX-Rhubarbstack-Request-Deadline: 3000\r\n"
                "Content-Length: " +
                std::to_string(BodyBytes) + "\r\n\r\n");
    std::size_t Sent = 0;
    std::thread Sender([&] { Sent = Client.send(Server->m_Body); });
    std::optional<Message> Answer = Reader(Client).readMessage(IdleMs);
    Record::line("client: answer " +
                 (Answer ? std::to_string(Answer->status()) : "none"));
    for (long End = elapsedMs() + IdleMs; !Now.m_Ended && elapsedMs() < End;)
      sleepMs(20);
    shutdown(Client.descriptor(), SHUT_RDWR);
    Sender.join();
    Record::line("client: sent " + std::to_string(Sent) +
                 " body bytes; instance got " + std::to_string(Now.m_Received));
    if (Now.m_FirstOther >= 0) {
      auto At = static_cast<std::size_t>(Now.m_FirstOther.load());
      Record::line("instance: at offset " + std::to_string(At) + " got \"" +
                   Now.m_OtherBytes + "\", due was \"" +
                   Server->m_Body.substr(At, 3 * WordBytes) + "\"");
      ++Broken;
    } else if (!WithTrouble && Now.m_Received < BodyBytes) {
      Record::line("the undisturbed upload did not arrive whole");
      return 2;
    }
    sleepMs(PauseMs);
  }
  Record::line(std::to_string(Broken) + " of " + std::to_string(Uploads) +
               " uploads got other bytes");
  return Broken > 0 ? 1 : 0;
}

} // namespace review
