// An instance in trouble answers some requests with a body without end. Counts
// how often the processes of the system end by themselves.
#include "../standins-2/Standin.h"

#include <array>

using namespace standin;

namespace {

const std::string StoreIp = "127.91.0.1";
const std::string InstanceIp = "127.91.1.1";
constexpr int StorePort = 8169;
constexpr int FirstPort = 9001;
constexpr int Instances = 4;
// Instances 0 and 1 are in trouble: half of them.
constexpr int Troubled = 2;
// One in so many of their answers has no end: a fiftieth.
constexpr int SpoiltInterval = 50;
constexpr int Clients = 24;
constexpr int DeadlineMs = 2500;
constexpr double RestartDelay = 1;

const std::vector<std::array<std::string, 3>> Machines{
    {"127.91.2.1", "a1", "a"},
    {"127.91.2.2", "a2", "a"},
    {"127.91.2.3", "b1", "b"}};

std::atomic<bool> Trouble{false}; // A trouble lasts at this moment.
std::atomic<bool> Stopping{false};
std::atomic<int> SpoiltAnswers{0};
std::atomic<int> Sent{0};
std::atomic<int> Served{0};
std::atomic<int> Unanswered{0};

// Sends bytes until the caller closes.
void sendWithoutEnd(int Fd, const std::string &Id, Record &Log) {
  ++SpoiltAnswers;
  Log.line("run " + Id + ", its answer has no end");
  size_t Bytes = 0;
  std::string Head = "HTTP/1.1 200 OK\r\nX-Rhubarbstack-Request-Id: " + Id +
                     "\r\nX-Rhubarbstack-Server-Stamp: stamp." + Id +
                     "\r\n\r\n";
  const std::string Piece(4096, 'x');
  if (sendAll(Fd, Head))
    while (!Stopping && sendAll(Fd, Piece))
      Bytes += Piece.size();
  Log.line("instance: body without end to " + Id + ", " +
           std::to_string(Bytes) + " bytes until the caller closed");
}

void serveInstance(int Fd, int Index, Record &Log) {
  const std::string Own = "i-" + std::to_string(Index);
  Reader From(Fd);
  Head Request;
  while (From.readHead(Request)) {
    std::string Id = Request.field("x-rhubarbstack-request-id");
    std::string Body;
    if (!From.readBody(Request, Body))
      break;
    if (Request.word(1) == "/health") {
      if (!sendAll(Fd, "HTTP/1.1 200 OK\r\nX-Rhubarbstack-Instance-Id: " + Own +
                           "\r\nContent-Length: 0\r\n\r\n"))
        break;
      continue;
    }
    if (Request.field("x-rhubarbstack-expect-instance") != Own) {
      sendAll(Fd, response(421, Id, "X-Rhubarbstack-Not-Executed: 1\r\n", ""));
      continue;
    }
    pause(0.02);
    static std::atomic<int> Answers{0};
    bool Spoils = Trouble && Index < Troubled;
    if (Spoils && ++Answers % SpoiltInterval == 0) {
      sendWithoutEnd(Fd, Id, Log);
      break;
    }
    if (!sendAll(Fd,
                 response(200, Id,
                          "X-Rhubarbstack-Server-Stamp: stamp." + Id + "\r\n",
                          std::string(400, 'a'))))
      break;
  }
  close(Fd);
}

// Sends one request on a new connection. Reads no more than a sound answer has
// once the deadline has passed.
void call(const std::string &Ip, bool Safe, Record &Log) {
  std::string Id = "q" + std::to_string(Sent++);
  int Fd = connectTo(Ip, FrontPort);
  if (Fd < 0) {
    ++Unanswered;
    Log.line("not sent " + Id + ": no connection to " + Ip);
    return;
  }
  std::string Key = std::string("Authorization: Bearer ") + TenantKey + "\r\n";
  sendAll(Fd, Safe ? requestText("GET", "/status/1", Id, DeadlineMs, Key)
                   : requestText("POST", "/book/1", Id, DeadlineMs, Key,
                                 "one parcel"));
  double End = seconds() + DeadlineMs / 1000.0;
  Reader From(Fd);
  Head Answer;
  std::string Body;
  bool Whole = From.readHead(Answer, DeadlineMs / 1000.0);
  bool HasLength = !Answer.field("content-length").empty();
  if (Whole && HasLength)
    Whole = From.readBody(Answer, Body, 1);
  while (!HasLength && seconds() < End && From.more(End - seconds()))
    From.m_Buffer.clear();
  if (Whole && HasLength && Answer.status() == 200)
    ++Served;
  if (!Whole && !From.m_TimedOut)
    ++Unanswered;
  std::string Outcome =
      From.m_TimedOut ? "no answer in time" : "closed, no answer";
  if (Whole)
    Outcome =
        std::to_string(Answer.status()) + (HasLength ? "" : ", no length");
  Log.line(std::string("sent ") + (Safe ? "safe " : "unsafe ") + Id + " to " +
           Ip + ": " + Outcome);
  close(Fd);
}

void runClient(size_t Number, Record &Log) {
  for (size_t I = Number; !Stopping; ++I) {
    call(Machines[I % Machines.size()][0], I % 4 != 0, Log);
    pause(0.08);
  }
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 3)
    return 2;
  const std::string Folder = Argv[2]; // For settings and logs.
  const char *Wanted = getenv("TROUBLE");
  const bool WithTrouble = Wanted == nullptr || std::string(Wanted) != "0";
  Record Log(std::string(Argv[1]) + "/record.txt");
  static Store Platform;
  Platform.start(StoreIp, StorePort);
  Platform.put("op/config",
               config("00000007", {"statusdesk", "manifestor"},
                      {{"status", "/status/", "safe", "statusdesk", 2000},
                       {"book", "/book/", "unsafe", "manifestor", 2500}},
                      std::string("\"tenants\":[{\"name\":\"cuka620\","
                                  "\"api_keys\":[\"") +
                          TenantKey +
                          "\"],\"priority\":1,\"rate_per_s\":959,\"burst\":959,"
                          "\"allowed_regions\":[]}],"));
  for (int I = 0; I < Instances; ++I) {
    serve(InstanceIp, FirstPort + I, [I, &Log](int Fd, const std::string &) {
      serveInstance(Fd, I, Log);
    });
    Platform.put("servers/i-" + std::to_string(I),
                 entry(InstanceIp + ":" + std::to_string(FirstPort + I),
                       I % 2 == 0 ? "statusdesk" : "manifestor",
                       I < 2 ? "a1" : "a2", 9));
  }
  Nodes Processes("target/bin/rhubarb-node", Folder);
  for (const auto &[Ip, Zone, Region] : Machines)
    Processes.start(Ip, Zone, Region, StoreIp + ":" + std::to_string(StorePort),
                    LakbayTerms);
  for (const auto &Machine : Machines)
    if (!Processes.waitReady(Machine[0])) {
      Log.line("not ready: " + Machine[0]);
      Processes.stopAll();
      _exit(2);
    }
  pause(8); // Traffic starts 10 s after the machines.
  for (size_t I = 0; I < Clients; ++I)
    std::thread(runClient, I, std::ref(Log)).detach();

  std::map<std::string, int> Ends;
  std::map<std::string, double> RestartAt;
  const double Start = seconds();
  // Three troubles of 5.5 s, with 4 s between them.
  constexpr double TroubleLength = 5.5;
  constexpr double Period = 9.5;
  constexpr double Length = 4 + 3 * Period;
  while (seconds() - Start < Length) {
    double At = seconds() - Start - 4;
    bool Lasts = WithTrouble && At >= 0 &&
                 At - Period * static_cast<int>(At / Period) < TroubleLength;
    if (Trouble.exchange(Lasts) != Lasts)
      Log.line(Lasts ? "trouble begins" : "trouble ends");
    for (const auto &Machine : Machines) {
      const std::string &Ip = Machine[0];
      int Status = 0;
      if (RestartAt[Ip] == 0 && Processes.ended(Ip, Status)) {
        ++Ends[Ip];
        RestartAt[Ip] = seconds() + RestartDelay;
        Log.line("process on " + Ip + " ended by itself, " +
                 (WIFSIGNALED(Status)
                      ? "signal " + std::to_string(WTERMSIG(Status))
                      : "exit code " + std::to_string(WEXITSTATUS(Status))));
      }
      if (RestartAt[Ip] > 0 && seconds() >= RestartAt[Ip]) {
        RestartAt[Ip] = 0;
        Processes.launch(Ip);
        Log.line("process on " + Ip + " starts again");
      }
    }
    pause(0.02);
  }
  Stopping = true;
  Processes.stopAll();
  int Broken = 0;
  for (const auto &Machine : Machines) {
    Log.line("machine " + Machine[0] + ": its process ended by itself " +
             std::to_string(Ends[Machine[0]]) + " times");
    Broken += Ends[Machine[0]] >= 3 ? 1 : 0;
  }
  Log.line("requests " + std::to_string(Sent) + ", served " +
           std::to_string(Served) + ", without an answer " +
           std::to_string(Unanswered) + ", answers without end " +
           std::to_string(SpoiltAnswers));
  if (Served == 0) {
    Log.line("nothing was served: the case could not run");
    _exit(2);
  }
  // Fault: on a tenth of the machines, two at least, processes end by
  // themselves three times.
  Log.line(Broken >= 2 ? "Fault: BROKEN" : "Fault: held");
  _exit(Broken >= 2 ? 1 : 0);
}
