// Requests that crash the servers that run them. A VM counts in how many server
// crashes in a row a request was in flight, tells the other VMs, and refuses it
// from the third crash on. Guards against one request that comes again and
// again and takes down server after server, while what ran beside it goes on.
#pragma once

#include "rhubarb/Types.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace rhubarb {

// When requests are suspected and convicted, and for how long.
struct SuspectLimits {
  int m_MaxCrashes = 3; // From this count on a request is refused.
  Duration m_SuspectedFor = 60s;
  // Time from the last crash until a convicted request is tried once more.
  Duration m_ConvictedFor = 600s;
  std::size_t m_MaxRows = 4096;
  // A cleared request is remembered for late messages about its crashes.
  Duration m_ClearedFor = 10s;
};

// What one VM tells the others about a request.
struct SuspectUpdate {
  std::uint64_t m_Request = 0; // Hash of the request, without its attempt's id.
  int m_Crashes = 0;           // 0: a server has run it to its end.
  Time m_At{0};                // Time of the last crash, or of that run's end.
  std::uint64_t m_Server = 0;  // Hash of the server that crashed last.
  Time m_SeenAt{0};            // When a caller last sent the request.
  // The request was in flight at a crash of m_Server that did not raise its
  // count, but explains what happened there.
  bool m_Uncounted = false;
};

enum class SuspectAction : std::uint8_t {
  Allow,
  // An attempt of the request is in flight here, or its outcome is not known
  // yet. Another one may follow once the server has survived it.
  RefuseForNow,
  Refuse, // The request has crashed too many servers.
};

// An attempt whose connection ended without a response.
struct CutAttempt {
  std::uint64_t m_Request = 0;
  Time m_SentAt{0};
};

// Table of suspected and convicted requests, as one VM knows them.
class CrashSuspects {
public:
  explicit CrashSuspects(SuspectLimits Limits = {}) : m_Limits(Limits) {}

  // Decides whether a request may be sent.
  SuspectAction decide(std::uint64_t Request, Time Now);
  // Returns the crashes in a row in which a request was in flight.
  int crashes(std::uint64_t Request) const;
  // Record that an attempt was sent, and that its outcome is known. After a cut
  // connection it is known once the server has been checked.
  void started(std::uint64_t Request) { ++m_InFlight[Request]; }
  void ended(std::uint64_t Request);

  // Records that a server, named with its start, crashed at a time, with the
  // attempts of this VM that it ended. One that was in flight at an earlier
  // crash explains the crash; else all are suspected. Returns the requests
  // whose count has risen.
  std::vector<std::uint64_t> recordCrash(const std::string &Server,
                                         const std::vector<CutAttempt> &Cut,
                                         Time CrashedAt);
  // Records that a server has survived a run of a request, also with an error.
  // Returns whether that ends a suspicion.
  bool recordRun(std::uint64_t Request, Time Now);

  // Applies what another VM has told. Returns whether the count has changed.
  bool apply(const SuspectUpdate &Update);
  // Returns what the other VMs must hear: new updates, and with Repeat also
  // recent ones, to make up for lost messages.
  std::vector<SuspectUpdate> takeUpdates(bool Repeat);
  // Marks some of the convicted requests, other ones each time, to be told
  // again: VMs that start must know them.
  void repeatConvicted(std::size_t MaxRows, Time Now);
  // Forgets what has not been seen for long. Cost: linear in the rows.
  void tick(Time Now);

  std::size_t size() const { return m_Rows.size(); }
  std::size_t convicted() const { return m_Convicted; }

private:
  struct Row {
    int m_Crashes = 0;
    Time m_LastCrashAt{0};
    std::uint64_t m_LastServer = 0;
    int m_CrashesBefore = 0; // Before the last crash.
    // Hashes of servers that crashed while they had the request, counted or
    // not.
    std::set<std::uint64_t> m_Servers;
    Time m_ClearedAt{0};
    Time m_SeenAt{0};
    int m_Untold = 0; // How often the row is still to be told.
    bool m_NewlyUntold = false;
  };
  bool isConvicted(const Row &Suspect) const {
    return Suspect.m_Crashes >= m_Limits.m_MaxCrashes;
  }
  void setCrashes(Row &Suspect, int Crashes);
  void markUntold(Row &Suspect);
  Row &rowFor(std::uint64_t Request, Time Now);
  // Records a request as the cause of a crash, if none with more crashes is
  // known.
  void explainCrash(std::uint64_t Server, std::uint64_t Request, int Crashes,
                    Time CrashedAt);
  void retract(std::uint64_t Server, int Crashes, std::uint64_t Except);
  void addServer(Row &Suspect, std::uint64_t Server) const;
  std::size_t servers(std::uint64_t Request) const;
  // Whether another request with more crashes was in flight at a crash, or it
  // cannot tell which of two is to be convicted.
  bool isExplained(std::uint64_t Server, std::uint64_t Request,
                   int Crashes) const;

  SuspectLimits m_Limits;
  // The likely cause of a recent crash.
  struct CrashCause {
    std::uint64_t m_Request = 0;
    int m_Crashes = 0;
    Time m_CrashedAt{0};
    // Two requests would be convicted by this crash; a later one has to tell
    // which of them caused it.
    bool m_Tied = false;
  };
  std::map<std::uint64_t, Row> m_Rows;
  std::map<std::uint64_t, CrashCause> m_Causes; // By hash of the server.
  std::unordered_map<std::uint64_t, int> m_InFlight;
  // Crashes that did not raise a count and are still to be told, how often.
  std::vector<std::pair<SuspectUpdate, int>> m_Uncounted;
  std::size_t m_Convicted = 0;
  std::uint64_t m_LastRepeated = 0;
};

} // namespace rhubarb
