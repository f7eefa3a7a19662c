// Where a request runs, whether it waits first, and when it is refused: the
// decisions of an entry process whose backend servers are shared with others.
#pragma once

#include "rhubarb/Affinity.h"
#include "rhubarb/Errors.h"
#include "rhubarb/Fleet.h"
#include "rhubarb/Mechanisms.h"
#include "rhubarb/Spill.h"
#include "rhubarb/WaitEstimator.h"

#include <array>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>

namespace rhubarb {

// What the decisions need to know of a request.
struct DispatchRequest {
  RequestId m_Id = 0;
  std::string m_RouteName; // For measured service times.
  int m_Pool = 0;
  int m_Priority = 0;             // 0 is served first.
  std::uint64_t m_ObjectHash = 0; // Hash of the object it concerns; 0: none.
  std::vector<std::string>
      m_AllowedRegions; // May run only there; empty: anywhere.
  Time m_ArrivedAt{0};
  Time m_ObjectiveAt{0}; // Full worth until then.
  Time m_Deadline{0};    // The caller waits no longer.
  std::vector<ServerIndex>
      m_TriedServers; // Servers that it must not go to again.
  ServerIndex m_PreferredServer = NoServer; // Its best server, while it waits.
};

enum class DispatchAction : std::uint8_t { Send, Wait, Refuse };

// What happens to a request now.
struct DispatchDecision {
  DispatchAction m_Action = DispatchAction::Wait;
  ServerIndex m_Server = NoServer;
  Duration m_ExpectedTime{0}; // Until the answer, at a server of usual speed.
  bool m_Warm = false;        // The server has handled the object lately.
  bool m_QueuedAtServer = false; // All slots of the server seemed to be in use.
  bool m_Remote = false;         // The server is in another region.
  bool m_Overflowed = false;     // It left its place because that was full.
  double m_Load = 0;             // Of the server, as believed.
  Duration m_LoadAge{0};         // Of what others do there.
  ErrorKind m_Error = ErrorKind::None;
  Duration m_RetryAfter{0};
  // Of a refusal: the best server, its load, and the wait predicted for it.
  ServerIndex m_BestServer = NoServer;
  double m_BestServerLoad = 0;
  Duration m_PredictedWait{0};
};

// A waiting request whose turn has come, one way or the other.
struct QueueDecision {
  RequestId m_Id = 0;
  DispatchDecision m_Decision;
};

// Margins of the decisions.
struct DispatchLimits {
  int m_Candidates = 3; // Servers that one object may go to.
  // Requests that may wait inside a server, as a share of its slots, by rank;
  // at least one of the higher ranks. Most work waits here, where rank counts.
  // The last rank leaves slots free instead: in a flood of it, other processes
  // would take each slot that comes free before a higher rank here could.
  double m_ServerQueueShare[PriorityClasses] = {0.7, 0.34, 0};
  // A server this far from full has slots to spare: for work that will be late,
  // and for objects that it does not know.
  double m_SpareLoadShare = 0.6;
  // A server is remembered to know an object for this long.
  Duration m_WarmTtl = 25s;
  // Until the first measurement: shares of the objective that a run takes.
  double m_DefaultWarmShare = 0.4;
  double m_DefaultColdShare = 1.2;
  Duration m_DefaultObjective = 500ms; // For routes that state none.
  // A request waits for at most this share of its objective before it is
  // refused, and is refused at once when it is sure to wait longer.
  double m_MaxWaitShare = 0.7;
  // An object leaves a server that knows it for one where it belongs since
  // servers came or shares moved, at this pace for each server.
  Duration m_RebalanceInterval = 1s;
  // It does so only to a server that is emptier by this share of its slots, or
  // nearer.
  double m_RebalanceMinGap = 0.25;
  std::size_t m_MaxWaiting = 2000;
  std::size_t m_MaxScanned = 32; // Of these, how many are tried at a time.
  Duration m_MinRetryAfter = 50ms;
  DisabledMechanisms m_Disabled; // Holds for the fleet's beliefs as well.
};

// Measured time from sending to answer, by route and by whether the server
// knew the object.
class ServiceTimes {
public:
  explicit ServiceTimes(const DispatchLimits &Limits) : m_Limits(Limits) {}
  Duration expected(const std::string &Route, Duration Objective,
                    bool Warm) const;
  void record(const std::string &Route, bool Warm, Duration Took);

private:
  struct Row {
    double m_WarmUs = 0;
    double m_ColdUs = 0;
  };
  const DispatchLimits &m_Limits;
  std::unordered_map<std::string, Row> m_Rows;
};

// Puts requests to servers. Time and outcomes are passed in.
class Dispatcher {
public:
  Dispatcher(std::string Region, DispatchLimits Limits = {},
             FleetLimits Servers = {}, std::uint64_t Seed = 1);

  // Decides for a new request, or for one that has to go on after an attempt.
  // With Wait the request is kept until pump() decides.
  DispatchDecision submit(const DispatchRequest &Request, Time Now);
  // Decides for waiting requests: those that can be sent and those that must be
  // refused. Call after each finished() and at a steady pace.
  std::vector<QueueDecision> processQueue(Time Now);
  // Removes a waiting request whose caller has gone.
  bool cancel(RequestId Id);
  // Records a request that goes out as decided.
  void started(const DispatchDecision &Placed, Time Now);
  // Records how it ended.
  void finished(const DispatchRequest &Request, const DispatchDecision &Placed,
                const AttemptReport &Report, Time StartedAt, Time Now);
  void tick(Time Now);
  // Takes what another process has told: a server that has run an object.
  void recordRemoteRun(std::uint64_t Object, ServerIndex Index, Time Now);
  // Returns what processes that come later should know, and takes it there.
  std::vector<SavedAffinity> affinitySnapshot(std::size_t Most,
                                              Time Now) const {
    return m_Affinity.snapshot(Most, Now);
  }
  void restoreAffinity(const SavedAffinity &Kept, Time Now) {
    m_Affinity.restore(Kept, Now);
  }
  // Returns what other processes should be told of this one's runs.
  std::vector<AffinityUpdate> takeAffinityUpdates() {
    return m_Affinity.takeUpdates();
  }
  // Says how many requests a second this process may send to a cold server.
  // All processes together must stay within what the server tolerates.
  void setColdRateHook(std::function<double(const BackendInfo &)> Hook) {
    m_ColdRateHook = std::move(Hook);
  }

  Fleet &fleet() { return m_Fleet; }
  const Fleet &fleet() const { return m_Fleet; }
  SpillTable &spill() { return m_Spill; }
  const SpillTable &spill() const { return m_Spill; }
  std::size_t queueLength() const { return m_Queue.size(); }
  const std::string &region() const { return m_Region; }

private:
  struct Candidate {
    ServerIndex m_Server = NoServer;
    bool m_Local = false;
    int m_Slots = 1;
    double m_Score = 0;
  };
  bool isDisabled(Mechanism Value) const {
    return m_Limits.m_Disabled.contains(Value);
  }
  bool isRegionAllowed(const DispatchRequest &Request,
                       const BackendState &Row) const;
  // Servers of a pool that may get work at one moment.
  struct PoolSnapshot {
    std::vector<Candidate> m_Ready;
    std::vector<Candidate> m_Cold; // Others warm them up at present.
  };
  bool isPanicMode(int Pool, Time Now) const;
  const PoolSnapshot &poolSnapshot(int Pool, Time Now);
  std::vector<Candidate> rankServers(const DispatchRequest &Request, Time Now);
  std::vector<Candidate> eligibleServers(const DispatchRequest &Request,
                                         Time Now);
  bool mayRebalance(ServerIndex Index, ServerIndex KnownAt, Time Now) const;
  std::optional<DispatchDecision>
  pickServer(const DispatchRequest &Request,
             const std::vector<Candidate> &Ranked, bool LateToo, Time Now);
  DispatchDecision makeDecision(const DispatchRequest &Request,
                                ServerIndex Index, Time Now) const;
  std::vector<Candidate> rankedCandidates(const DispatchRequest &Request,
                                          Time Now);
  bool hasCapacity(ServerIndex Index, int Rank, Time Now);
  bool hasSpareSlots(ServerIndex Index, Time Now) const;
  double coldTokens(ServerIndex Index, Time Now);
  bool mayReceive(ServerIndex Index, Time Now);
  bool isWarm(ServerIndex Index, std::uint64_t Object, Time Now) const;
  Duration predictedWait(const DispatchRequest &Request,
                         const std::vector<Candidate> &Ranked, Time Now) const;
  DispatchDecision refuse(const DispatchRequest &Request, ErrorKind Kind,
                          const std::vector<Candidate> &Ranked, Time Now);
  Time latestStart(const DispatchRequest &Request) const;
  void enqueue(const DispatchRequest &Request, ServerIndex WaitsFor);
  int queuedFor(ServerIndex Index, int Rank) const;
  void recordDequeued(const DispatchRequest &Request);
  void updateSpill(Time Now);

  std::string m_Region;
  DispatchLimits m_Limits;
  Fleet m_Fleet;
  SpillTable m_Spill;
  ServiceTimes m_Times;
  Random m_Random;
  std::deque<DispatchRequest> m_Queue; // By rank, then by arrival.
  WaitEstimator m_WaitEstimator;
  // By best server and rank.
  std::unordered_map<ServerIndex, std::array<int, PriorityClasses>> m_QueuedFor;
  std::unordered_map<ServerIndex, Time> m_LastColdRunAt; // Last one.
  AffinityTable m_Affinity;
  struct ColdBucket {
    double m_Tokens = 1;
    Time m_RefilledAt{0};
    double m_Rate = 0;
    Time m_RateUpdatedAt{0}; // When the pace was asked for.
  };
  std::unordered_map<ServerIndex, ColdBucket> m_ColdBuckets;
  // By pool, of this moment: until a request goes out, or another call.
  std::unordered_map<int, PoolSnapshot> m_PoolSnapshots;
  std::function<double(const BackendInfo &)> m_ColdRateHook;
  Time m_AffinityPrunedAt{0};
};

} // namespace rhubarb
