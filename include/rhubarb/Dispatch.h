// Server selection, queueing and load shedding in an entry process that shares
// its backend servers with other entry processes.
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

// Input of the dispatch decisions for one request.
struct DispatchRequest {
  RequestId m_Id = 0;
  std::string m_RouteName; // Key of the measured service times.
  int m_Pool = 0;
  int m_Priority = 0;                        // 0 is served first.
  std::uint64_t m_ObjectHash = 0;            // 0: no object.
  std::vector<std::string> m_AllowedRegions; // Empty: any region.
  Time m_ArrivedAt{0};
  Time m_ObjectiveAt{0};                    // Latency objective.
  Time m_Deadline{0};                       // The caller's timeout.
  std::vector<ServerIndex> m_TriedServers;  // Excluded from further attempts.
  ServerIndex m_PreferredServer = NoServer; // While it is queued.
};

enum class DispatchAction : std::uint8_t { Send, Wait, Refuse };

// The decision for one request.
struct DispatchDecision {
  DispatchAction m_Action = DispatchAction::Wait;
  ServerIndex m_Server = NoServer;
  Duration m_ExpectedTime{0}; // At a server of average speed.
  bool m_Warm = false;        // The server has processed the object recently.
  bool m_QueuedAtServer = false; // No free slot is expected.
  bool m_Remote = false;         // The server is in another region.
  // Not the preferred server, mostly as that is full.
  bool m_Overflowed = false;
  double m_Load = 0;     // Estimated load of the server.
  Duration m_LoadAge{0}; // Age of the last load report.
  ErrorKind m_Error = ErrorKind::None;
  Duration m_RetryAfter{0};
  // Set when the request is refused: the preferred server, its load and the
  // predicted wait.
  ServerIndex m_BestServer = NoServer;
  double m_BestServerLoad = 0;
  Duration m_PredictedWait{0};
};

// The decision for a queued request: send or refuse.
struct QueueDecision {
  RequestId m_Id = 0;
  DispatchDecision m_Decision;
};

// Tuning parameters of the dispatcher.
struct DispatchLimits {
  int m_Candidates = 3; // Number of servers considered for one object.
  // Requests that may queue inside a server, as a share of its slots, by
  // priority; at least one for a share above 0. Most requests queue in this
  // process, where priorities are respected. The last priority does not queue
  // there, and a negative share would keep slots free: in a flood of that
  // priority, other processes would otherwise take each freed slot before a
  // request of higher priority here could.
  double m_ServerQueueShare[PriorityClasses] = {0.7, 0.34, 0};
  // A server below this share of its slots has spare capacity for requests that
  // will miss their objective and for objects that are cold there.
  double m_SpareLoadShare = 0.6;
  // How long an object counts as warm on a server after its last run there.
  Duration m_WarmTtl = 25s;
  // Shares of the objective assumed as service time until one is measured.
  double m_DefaultWarmShare = 0.4;
  double m_DefaultColdShare = 1.2;
  Duration m_DefaultObjective = 500ms; // For routes without an objective.
  // A request is queued for at most this share of its objective and then
  // refused. With a longer predicted wait it is refused at once.
  double m_MaxWaitShare = 0.7;
  // An object moves from a server where it is warm to its preferred server if
  // that has changed, because servers were added or shares changed. Minimum
  // time since the last cold run on the receiving server.
  Duration m_RebalanceInterval = 1s;
  // An object moves only if the receiving server is less loaded by this share
  // of its slots, or is local while the other one is not.
  double m_RebalanceMinGap = 0.25;
  std::size_t m_MaxWaiting = 2000;
  std::size_t m_MaxScanned = 32; // Per call of processQueue().
  Duration m_MinRetryAfter = 50ms;
  DisabledMechanisms m_Disabled; // Also applied to the fleet.
};

// Time from sending a request to its response, by route and by whether the
// object was warm on the server.
class ServiceTimes {
public:
  explicit ServiceTimes(const DispatchLimits &Limits) : m_Limits(Limits) {}
  Duration expected(const std::string &Route, Duration Objective,
                    bool Warm) const;
  void record(const std::string &Route, bool Warm, Duration RunTime);

private:
  struct Row {
    double m_WarmUs = 0;
    double m_ColdUs = 0;
  };
  const DispatchLimits &m_Limits;
  std::unordered_map<std::string, Row> m_Rows;
};

// Assigns requests to servers. The embedder passes in times and results.
class Dispatcher {
public:
  Dispatcher(std::string Region, DispatchLimits Limits = {},
             FleetLimits Servers = {}, std::uint64_t Seed = 1);

  // Decides for a new request or for a retry. If the result is Wait, the
  // request is queued until processQueue() decides.
  DispatchDecision submit(const DispatchRequest &Request, Time Now);
  // Sends or refuses queued requests. Call after each finished() and at a
  // regular interval.
  std::vector<QueueDecision> processQueue(Time Now);
  // Removes a queued request whose caller has disconnected.
  bool cancel(RequestId Id);
  // Records that a request was sent as decided.
  void started(const DispatchDecision &Decision, Time Now);
  // Records the result of an attempt.
  void finished(const DispatchRequest &Request,
                const DispatchDecision &Decision, const AttemptReport &Report,
                Time StartedAt, Time Now);
  void tick(Time Now);
  // Records that another process has run an object on a server.
  void recordRemoteRun(std::uint64_t Object, ServerIndex Index, Time Now);
  // Save and restore warm objects across a restart of the processes.
  std::vector<SavedAffinity> affinitySnapshot(std::size_t MaxCount,
                                              Time Now) const {
    return m_Affinity.snapshot(MaxCount, Now);
  }
  void restoreAffinity(const SavedAffinity &Saved, Time Now) {
    m_Affinity.restore(Saved, Now);
  }
  // Returns the runs that other processes should learn about.
  std::vector<AffinityUpdate> takeAffinityUpdates() {
    return m_Affinity.takeUpdates();
  }
  // Sets the function that returns this process's share of requests per second
  // to a cold server. The sum over all processes must not exceed what the
  // server tolerates.
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
  // Servers of a pool that may receive requests at one moment.
  struct PoolSnapshot {
    std::vector<Candidate> m_Ready;
    std::vector<Candidate> m_Cold; // Cold, without a token of this process.
  };
  bool isPanicMode(int Pool, Time Now) const;
  const PoolSnapshot &poolSnapshot(int Pool, Time Now);
  std::vector<Candidate> rankServers(const DispatchRequest &Request, Time Now);
  std::vector<Candidate> eligibleServers(const DispatchRequest &Request,
                                         Time Now);
  bool mayRebalance(ServerIndex Target, ServerIndex WarmAt, Time Now) const;
  std::optional<DispatchDecision>
  pickServer(const DispatchRequest &Request,
             const std::vector<Candidate> &Ranked, bool AllowLate, Time Now);
  DispatchDecision makeDecision(const DispatchRequest &Request,
                                ServerIndex Index, Time Now) const;
  std::vector<Candidate> rankedCandidates(const DispatchRequest &Request,
                                          Time Now);
  bool hasCapacity(ServerIndex Index, int Priority, Time Now);
  bool hasSpareSlots(ServerIndex Index, Time Now) const;
  double coldTokens(ServerIndex Index, Time Now);
  bool mayReceive(ServerIndex Index, Time Now);
  bool isWarm(ServerIndex Index, std::uint64_t Object, Time Now) const;
  Duration predictedWait(const DispatchRequest &Request,
                         const std::vector<Candidate> &Ranked, Time Now) const;
  DispatchDecision refuse(const DispatchRequest &Request, ErrorKind Kind,
                          const std::vector<Candidate> &Ranked, Time Now);
  Time latestStart(const DispatchRequest &Request) const;
  void enqueue(const DispatchRequest &Request, ServerIndex PreferredServer);
  int queuedFor(ServerIndex Index, int Priority) const;
  void recordDequeued(const DispatchRequest &Request);
  void updateSpill(Time Now);

  std::string m_Region;
  DispatchLimits m_Limits;
  Fleet m_Fleet;
  SpillTable m_Spill;
  ServiceTimes m_Times;
  Random m_Random;
  std::deque<DispatchRequest> m_Queue; // By priority, then by arrival.
  WaitEstimator m_WaitEstimator;
  // Queue lengths by preferred server and priority.
  std::unordered_map<ServerIndex, std::array<int, PriorityClasses>> m_QueuedFor;
  std::unordered_map<ServerIndex, Time> m_LastColdRunAt;
  AffinityTable m_Affinity;
  struct ColdBucket {
    double m_Tokens = 1;
    Time m_RefilledAt{0};
    double m_Rate = 0;
    Time m_RateUpdatedAt{0}; // Last call of the hook.
  };
  std::unordered_map<ServerIndex, ColdBucket> m_ColdBuckets;
  // By pool; cleared when a request is sent and at the start of each decision.
  std::unordered_map<int, PoolSnapshot> m_PoolSnapshots;
  std::function<double(const BackendInfo &)> m_ColdRateHook;
  Time m_AffinityPrunedAt{0};
};

} // namespace rhubarb
