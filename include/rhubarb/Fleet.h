// Backend servers that several entry processes share: what the platform lists,
// what this process has seen of each, and which of them may get new work.
#pragma once

#include "rhubarb/Servers.h"
#include "rhubarb/Types.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace rhubarb {

// A backend server as the platform lists it.
struct BackendInfo {
  std::string m_Id; // Of one start, mostly; see m_Born.
  std::string m_Address;
  std::string m_PoolName;
  int m_Pool = 0; // Index into the configuration's pools.
  std::string m_Domain;
  std::string m_Region;
  int m_Slots = 1;
  bool m_Leaving = false;
  Time m_ColdUntil{0}; // The server says that it is slow until then.
  std::int64_t m_StartTimeMs =
      0; // Start, Unix milliseconds: another one, another
         // incarnation under the same id. 0: not stated.
};

// Load that a server reports with a response. It counts the request that it
// answers, unless it refuses it.
struct ReportedLoad {
  int m_Running = 0;
  int m_Waiting = 0;
  int m_Slots = 0;
};

// Returns how many requests a second one VM may send to a cold server, so that
// all VMs together stay under PerSecond without a message between them. Vms are
// those that may send; each VM must know about the same ones.
double coldRequestRate(const std::string &ServerId, const std::string &Self,
                       const std::vector<std::string> &Vms, double PerSecond);

// How an attempt on a shared server ended.
enum class AttemptOutcome : std::uint8_t {
  Served,      // A whole answer that counts as success.
  Failed,      // A whole answer that reports a failure of the server.
  Refused,     // The server said that it did not run the request.
  Misdirected, // Another server has the address.
  Cut,         // The connection ended, or brought something else.
  Unreachable, // No connection could be made.
  Silent,      // No answer in the time that there was.
  Abandoned,   // The caller left; says nothing about the server.
};

std::string_view attemptOutcomeName(AttemptOutcome Value);

// What an attempt has shown.
struct AttemptReport {
  AttemptOutcome m_Outcome = AttemptOutcome::Served;
  Duration m_ResponseTime{0}; // From sending to the head of the answer.
  Duration m_ExpectedTime{0}; // What it should have taken; 0: not known.
  bool m_HasLoad = false;
  ReportedLoad m_Load;
  bool m_Leaving = false;    // The server says that it leaves.
  Duration m_BackoffFor{0};  // The server wants nothing for so long.
  Duration m_ConnectTime{0}; // Of a new connection; 0: an old one was used.
};

// How a health request ended. It waits for a slot like any other request.
enum class HealthCheckResult : std::uint8_t {
  Healthy,
  Full,     // The server is alive, and refused it for want of room.
  Late,     // The server took the connection and did not answer in time.
  Bad,      // Not reached, or another answer.
  Replaced, // Another server answered.
};
std::string_view healthCheckResultName(HealthCheckResult Value);

// When a shared server is left alone, and for how long.
struct FleetLimits {
  // A server that fails this share of its recent requests gets trials only.
  double m_MaxFailureRate = 0.3;
  // The failing share forgets a request after about this many others.
  double m_FailureWindow = 8;
  // Trials of a failing server, one at a time, at this pace.
  Duration m_TrialInterval = 500ms;
  // A server that cannot be reached is left alone for this long, then twice as
  // long, up to the next.
  Duration m_MinEjectionTime = 500ms;
  Duration m_MaxEjectionTime = 4s;
  // For so long nothing is sent to a server that others could not reach; they
  // say so again while it goes on.
  Duration m_SuspectFor = 5s;
  // Others are not believed about a server that answered this lately.
  Duration m_OwnResponseTrustedFor = 1s;
  // A server with work under way counts as stalled when it has been silent for
  // all of these: this long, several times the pace at which its answers should
  // come, and somewhat longer than the longest of them should take.
  Duration m_StallAfter = 400ms;
  double m_StallIntervals = 6;
  double m_StallLongestRatio = 1.6;
  // A load from this share of the slots on is told to other processes.
  double m_HighLoad = 0.8;
  // A report of load loses half of its weight in this time, to the usual load
  // of the pool's servers in that region.
  Duration m_LoadHalfLife = 500ms;
  double m_AverageLoadWeight = 0.05; // Of one report, in the usual load.
  // By its usual load alone a server counts as full to this share at most: work
  // goes on reaching it, and its answers tell more.
  double m_MaxAverageLoad = 0.9;
  // Round trips to a region hold for its servers that have not been met yet.
  bool m_RoundTripsByRegion = true;
};

// A server and what this process knows of it.
struct BackendState {
  BackendInfo m_Info;
  bool m_Listed = false;
  bool m_Evacuated = false;
  std::uint64_t m_Incarnation = 0; // Hash of id and start.
  std::size_t m_Group = 0;         // Servers of the same pool and region.
  Time m_ListedSince{0};
  Time m_ColdUntil{0};

  int m_OwnRequests = 0;      // Requests of this process under way.
  double m_OtherRequests = 0; // Requests of others, as last reported.
  Time m_LoadUpdatedAt{0};    // Of that report.
  double m_FailureRate = 0;   // Share of recent requests that failed.
  Time m_SilentSince{0};
  Time m_LastSentAt{0};
  Time m_PausedUntil{0};          // Its own wish.
  bool m_ReportedLeaving = false; // In an answer; holds until another start.
  bool m_Replaced = false;        // The same.
  Time m_SuspectUntil{0};         // Others say that it cannot be reached.
  Time m_LastResponseAt{0};       // To this process.
  Time m_EjectedUntil{0};
  Duration m_EjectionTime{0};
  bool m_NeedsHealthCheck =
      false; // Was out of reach: a health answer comes first.
  std::multiset<Time> m_StartTimes;        // Of own requests under way.
  std::multiset<Duration> m_ExpectedTimes; // The times that they should take.
  Duration m_ExpectedTotal{0};
  Duration m_RoundTrip{0}; // Of a new connection; 0: not known.
};

// All requests at a server, running and waiting, and when it told of them.
struct ServerLoad {
  int m_Total = 0;
  Time m_At{0};
};

// What one process has found out about a server and others should know.
enum class ServerEvent : std::uint8_t {
  Unreachable, // No connection can be made, or its health request failed.
  Back,        // It answers again.
  Replaced,    // Another server has its address.
  Leaving,     // It said so.
};
std::string_view serverEventName(ServerEvent Value);

// Why a server gets no new work at present.
enum class ExclusionReason : std::uint8_t {
  None,
  NotListed,
  Leaving,
  Evacuated,
  Replaced, // Another server has its address.
  Paused,   // It has asked this process to wait.
  Unreachable,
  Suspect, // Others could not reach it.
  Stalled,
  Failing,
};
std::string_view exclusionReasonName(ExclusionReason Value);

// Table of the servers, and the systems that run over it.
class Fleet {
public:
  explicit Fleet(FleetLimits Limits = {}) : m_Limits(Limits) {}

  // Takes the whole list. Rows keep their index for as long as they are listed
  // or have work under way.
  void update(const std::vector<BackendInfo> &Listed, Time Now);
  // Takes entries that are new or have changed, and the ids of those that are
  // gone. Answers the pattern in which servers of a large fleet come and go
  // many times a second: the cost is that of the changes, not of the list.
  void applyChanges(const std::vector<BackendInfo> &Listed,
                    const std::vector<std::string> &Gone, Time Now);
  // Sets the failure domains that must get no work. Servers of one that comes
  // back count as cold for ColdFor.
  void setEvacuated(const std::set<std::string> &Domains, Duration ColdFor,
                    Time Now);
  // Ends trials and pauses that are over, forgets rows. Cost: rows.
  void tick(Time Now);

  // Records a request that goes out and the time that it should take.
  void started(ServerIndex Index, Duration Expected, Time Now);
  void finished(ServerIndex Index, const AttemptReport &Report, Time StartedAt,
                Time Now);
  // Takes what a server says of itself in an answer, to a request or a health
  // request: that it leaves, or wants nothing from this process for a while.
  void applyServerHints(ServerIndex Index, bool Leaving, Duration LeaveAloneFor,
                        Time Now);
  // Takes the load of a server as a process was told it at that moment.
  void updateLoad(ServerIndex Index, int Total, Time At);
  // Returns the high loads that servers have told since the last call: other
  // processes, which send there too, should know.
  std::map<ServerIndex, ServerLoad> takeHighLoads();
  // Returns what this process has found out since the last call. Answers the
  // pattern in which many servers of a large fleet go at once: each process
  // would find out about each of them by requests of its own.
  std::map<ServerIndex, ServerEvent> takeServerEvents();
  // Takes what another process has found out.
  void applyServerEvent(ServerIndex Index, ServerEvent Kind, Time Now);
  // Takes the answer to a health request.
  void recordHealthCheck(ServerIndex Index, HealthCheckResult Answer,
                         Duration ColdLeft, Time Now);

  // Whether and why a server is left out.
  ExclusionReason exclusionReason(const BackendState &Row, Time Now) const;
  // Requests that are probably under way at a server, from all processes.
  // Answers the pattern in which many processes share many servers and each
  // hears of one server seldom: by old reports alone all of them seem free, and
  // get so much work that nothing is on time.
  double load(const BackendState &Row, Time Now) const;
  bool isCold(const BackendState &Row, Time Now) const {
    return Now < Row.m_ColdUntil;
  }
  // Servers that nothing is known against but silence or failures: a health
  // request can bring them back.
  std::vector<ServerIndex> dueHealthChecks(Time Now) const;

  int poolCount() const { return static_cast<int>(m_Pools.size()); }
  // Rows of a pool that are listed, in a fixed order.
  const std::vector<ServerIndex> &serversInPool(int Pool) const;
  // Returns the time that a new connection to a server takes: measured there,
  // else the least at servers of its region; 0 when none is known.
  Duration roundTrip(const BackendState &Row) const;
  // Takes the least round trip to a region, as a process before this one
  // measured it.
  void restoreRoundTrip(const std::string &Region, Duration Least);
  const std::map<std::string, Duration> &roundTrips() const {
    return m_RoundTrips;
  }
  const BackendState &row(ServerIndex Index) const {
    return m_Rows[static_cast<std::size_t>(Index)];
  }
  // Returns when the first paused server of a pool takes work again; 0 when
  // none is paused.
  Duration earliestResume(int Pool, Time Now) const;
  ServerIndex find(const std::string &Id) const;
  std::size_t size() const { return m_ById.size(); }
  // Grows with each change of what is listed.
  std::uint64_t generation() const { return m_Generation; }

private:
  BackendState &mutableRow(ServerIndex Index) {
    return m_Rows[static_cast<std::size_t>(Index)];
  }
  ServerIndex rowFor(const std::string &Id);
  void applyInfo(const BackendInfo &Entry, Time Now);
  std::vector<ServerIndex>::iterator poolPosition(ServerIndex Index);
  void eject(BackendState &Row, Time Now) const;
  void setReplaced(ServerIndex Index);
  void setUnreachable(ServerIndex Index, Time Now);
  void recordResponse(BackendState &Row, Time Now);
  bool isStalled(const BackendState &Row, Time Now) const;
  void rebuildPools();

  FleetLimits m_Limits;
  std::vector<BackendState> m_Rows;
  std::vector<ServerIndex> m_FreeRows;
  std::map<std::pair<int, std::string>, std::size_t> m_Groups;
  std::vector<double> m_AverageLoads; // By group: requests of others, per slot.
  std::unordered_map<std::string, ServerIndex> m_ById;
  std::vector<std::vector<ServerIndex>> m_Pools;
  std::set<std::string> m_EvacuatedDomains;
  std::map<ServerIndex, ServerLoad> m_HighLoads;      // Not yet told to others.
  std::map<ServerIndex, ServerEvent> m_PendingEvents; // Not yet told to others.
  // Of the latest attempts, the share at which servers could not be reached:
  // from one half on this process may be the one that is cut off.
  double m_UnreachableRate = 0;
  std::uint64_t m_Generation = 0;
  std::map<std::string, Duration> m_RoundTrips; // Least, by region.
};

} // namespace rhubarb
