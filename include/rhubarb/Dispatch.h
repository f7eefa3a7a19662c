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
  std::string m_RouteName; // Service times are measured per route.
  int m_Pool = 0;
  int m_Priority = 0;                        // Priority 0 is served first.
  std::uint64_t m_ObjectHash = 0;            // 0: the request names no object.
  std::vector<std::string> m_AllowedRegions; // Empty: every region is allowed.
  Time m_ArrivedAt{0};
  Time m_ObjectiveAt{0};   // Latest on-time response (latency objective).
  Time m_Deadline{0};      // End of the caller's timeout.
  Time m_AttemptsEndAt{0}; // Attempts are ended then; 0: never.
  // Servers excluded from further attempts.
  std::vector<ServerIndex> m_TriedServers;
  // Server that the request is queued for; set only while it is queued.
  ServerIndex m_PreferredServer = NoServer;
};

enum class DispatchAction : std::uint8_t { Send, Wait, Refuse };

// The decision for one request.
struct DispatchDecision {
  DispatchAction m_Action = DispatchAction::Wait;
  ServerIndex m_Server = NoServer;
  // Estimated response time, on a server of average speed.
  Duration m_ExpectedTime{0};
  bool m_Warm = false; // The server has processed the object recently.
  bool m_QueuedAtServer = false; // The server probably has no free slot.
  bool m_Remote = false;         // The server is in another region.
  // The server is not the preferred one, mostly because that one is full.
  bool m_Overflowed = false;
  double m_Load = 0;     // Estimated number of requests at the server.
  Duration m_LoadAge{0}; // Age of the server's last load report.
  ErrorKind m_Error = ErrorKind::None;
  Duration m_RetryAfter{0};
  Time m_StartedAt{0}; // Set by Dispatcher::started(), for finished().
  // Set only for refused requests: the preferred server, its load and the
  // predicted wait.
  ServerIndex m_BestServer = NoServer;
  double m_BestServerLoad = 0;
  Duration m_PredictedWait{0};
  // A server that ranks higher, but whose rate limit allows no request now.
  ServerIndex m_RateLimitedServer = NoServer;
  double m_RateLimitTokens = 0; // Negative: requests sent beyond the rate.
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
  // priority. A share above 0 allows at least one request, a negative one keeps
  // slots free. Most requests queue in this process, where priorities are
  // respected. The last priority does not queue inside servers: in a flood of
  // it, other processes would take each freed slot before a request of higher
  // priority in this process could.
  double m_ServerQueueShare[PriorityClasses] = {0.7, 0.34, 0};
  // Where servers report how long work takes on their machines, this replaces
  // m_ServerQueueShare: a request may queue inside a server for this share of
  // the time that it can wait and still be on time.
  double m_QueueTimeShare = 0.7;
  // The same for requests of lower priority, as a share of what requests of a
  // higher priority in the pool can wait.
  double m_UrgentQueueTimeShare = 0.5;
  // Share of the longest queue that servers accept to use: other processes send
  // at the same time.
  double m_FullQueueShare = 0.8;
  // A higher priority counts for this long after its last request.
  Duration m_UrgentSeenFor = 10s;
  // A server below this share of its slots has spare capacity for requests that
  // will miss their objective and for objects that are cold there.
  double m_SpareLoadShare = 0.6;
  // How long an object counts as warm on a server after its last run there.
  Duration m_WarmTtl = 25s;
  // Service time assumed until one is measured, as a share of the objective.
  double m_DefaultWarmShare = 0.4;
  double m_DefaultColdShare = 1.2;
  Duration m_DefaultObjective = 500ms; // Objective of routes without one.
  // A request is queued for at most this share of its objective. After that,
  // or at once if the predicted wait is longer, it is sent to run late on a
  // server with spare slots, or refused.
  double m_MaxWaitShare = 0.7;
  // Minimum time between a cold run on a server and moving another object to
  // it. An object moves from a server where it is warm when its preferred
  // server has changed, because servers were added or shares changed.
  Duration m_RebalanceInterval = 1s;
  // An object moves only if the utilization of the receiving server is lower by
  // at least this much, or if the move brings it to the local region.
  double m_RebalanceMinGap = 0.25;
  std::size_t m_MaxWaiting = 2000; // Maximum number of queued requests.
  // Queued requests examined per call of processQueue(). Late ones are examined
  // in any case.
  std::size_t m_MaxScanned = 32;
  Duration m_MinRetryAfter = 50ms;
  DisabledMechanisms m_Disabled; // Applies to the dispatcher and the fleet.
};

// Time from sending a request to its response, by route and by whether the
// object was warm on the server.
class ServiceTimes {
public:
  explicit ServiceTimes(const DispatchLimits &Limits) : m_Limits(Limits) {}
  Duration expected(const std::string &Route, Duration Objective,
                    bool Warm) const;
  void record(const std::string &Route, bool Warm, Duration RunTime);
  // Longest response time of the last one to two minutes. A route that has been
  // in use for less than the time assumed for it may take as long as that.
  Duration longest(const std::string &Route, Duration Objective,
                   Time Now) const;
  void recordResponseTime(const std::string &Route, Duration ResponseTime,
                          Time Now);
  // Mean run time of a pool's requests, of all routes; 0: none measured.
  Duration poolMean(int Pool) const;
  void recordPool(int Pool, Duration RunTime);

private:
  struct Row {
    double m_WarmUs = 0;
    double m_ColdUs = 0;
  };
  // Response times of a route in this window and in the one before.
  struct LongestRow {
    Duration m_Longest{0};
    Duration m_LongestBefore{0};
    Time m_Since{0};
    Time m_FirstAt{0};
  };
  Duration assumed(Duration Objective, bool Warm) const;
  const DispatchLimits &m_Limits;
  std::unordered_map<std::string, LongestRow> m_LongestRows;
  std::unordered_map<std::string, Row> m_Rows;
  std::unordered_map<int, double> m_PoolUs;
};

// Assigns requests to servers, with times and results from the embedder.
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
  // Whether a request that is sent now can be expected to end by a time. Run
  // times vary, so one that barely would does not count.
  bool endsBy(const DispatchRequest &Request, Time End, Time Now) const;
  // Sets when this process ends. From now on, requests that cannot be expected
  // to end by then are refused, also after a wait.
  void stopAt(Time End) { m_StopAt = End; }
  bool endsBeforeStop(const DispatchRequest &Request, Time Now) const {
    return m_StopAt == Time::max() || endsBy(Request, m_StopAt, Now);
  }
  // Replaces queued requests that the hook returns, and keeps the others. Those
  // that are replaced keep their time of arrival and are not admitted again.
  void updateQueued(
      const std::function<std::optional<DispatchRequest>(RequestId)> &Hook,
      Time Now);
  // Removes a queued request whose caller has disconnected.
  bool cancel(RequestId Id);
  // Records that a request was sent as decided.
  void started(DispatchDecision &Decision, Time Now);
  // Records the result of an attempt.
  void finished(const DispatchRequest &Request,
                const DispatchDecision &Decision, const AttemptReport &Report,
                Time StartedAt, Time Now);
  void tick(Time Now);
  // Records that another process has run an object on a server.
  void recordRemoteRun(std::uint64_t Object, ServerIndex Index, Time Now);
  // Returns warm objects to be restored after a restart of the processes.
  std::vector<SavedAffinity> affinitySnapshot(std::size_t MaxCount,
                                              Time Now) const {
    return m_Affinity.snapshot(MaxCount, Now);
  }
  // Restores a warm object saved by an earlier process.
  void restoreAffinity(const SavedAffinity &Saved, Time Now) {
    m_Affinity.restore(Saved, Now);
  }
  // Returns and clears the completed runs to share with other processes.
  std::vector<AffinityUpdate> takeAffinityUpdates() {
    return m_Affinity.takeUpdates();
  }
  // Returns the servers of other regions that objects of this region are warm
  // on, and that may receive requests. Connections to them are worth keeping
  // open.
  std::vector<ServerIndex> remoteWarmServers(Time Now) const;
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
  // Whether a request may run in the region of a server.
  static bool isRegionAllowed(const DispatchRequest &Request,
                              const BackendState &Row);

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
  // Servers of a pool that are not excluded at one moment.
  struct PoolSnapshot {
    std::vector<Candidate> m_Ready;
    // Cold servers for which this process has no token.
    std::vector<Candidate> m_Cold;
    // Servers that name a request rate, with or without tokens.
    std::vector<Candidate> m_RateLimited;
  };
  bool isPanicMode(int Pool, Time Now) const;
  const PoolSnapshot &poolSnapshot(int Pool, Time Now);
  std::vector<Candidate> rankServers(const DispatchRequest &Request, Time Now);
  // Whether the request has been sent to a server or its address.
  bool isTried(const DispatchRequest &Request, ServerIndex Index) const;
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
  bool hasCapacity(ServerIndex Index, const DispatchRequest &Request, Time Now);
  // Returns how many requests may queue inside a server that reports how long
  // work takes on its machine.
  double queueDepth(ServerIndex Index, const DispatchRequest &Request,
                    Time Now) const;
  void recordSpareTime(const DispatchRequest &Request, Time Now);
  int queuedAhead(ServerIndex Index, const DispatchRequest &Request) const;
  bool rateAllows(ServerIndex Index, const DispatchRequest &Request,
                  Time Now) const;
  void recordRateLimited(const DispatchRequest &Request,
                         DispatchDecision &Decision, Time Now) const;
  bool hasSpareSlots(ServerIndex Index, Time Now) const;
  double coldTokens(ServerIndex Index, Time Now);
  bool mayReceive(ServerIndex Index, Time Now);
  bool isWarm(ServerIndex Index, std::uint64_t Object, Time Now) const;
  Duration predictedWait(const DispatchRequest &Request,
                         const std::vector<Candidate> &Ranked, Time Now) const;
  DispatchDecision refuse(const DispatchRequest &Request, ErrorKind Kind,
                          const std::vector<Candidate> &Ranked, Time Now);
  ErrorKind waitError(const DispatchRequest &Request,
                      const std::vector<Candidate> &Ranked, Time Now) const;
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
  Time m_StopAt = Time::max(); // The end of this process, once it is stopping.
  Random m_Random;
  std::deque<DispatchRequest> m_Queue; // Sorted by priority, then by arrival.
  WaitEstimator m_WaitEstimator;
  // Queue lengths by preferred server and priority.
  std::unordered_map<ServerIndex, std::array<int, PriorityClasses>> m_QueuedFor;
  std::unordered_map<ServerIndex, Time> m_LastColdRunAt;
  AffinityTable m_Affinity;
  struct ColdBucket {
    double m_Tokens = 1;
    Time m_RefilledAt{0};
    double m_Rate = 0;
    Time m_RateUpdatedAt{0}; // Time of the last call of m_ColdRateHook.
  };
  std::unordered_map<ServerIndex, ColdBucket> m_ColdBuckets;
  // Cached snapshot of each pool; cleared when a request is sent, and before
  // new and queued requests are decided.
  std::unordered_map<int, PoolSnapshot> m_PoolSnapshots;
  // Time that requests of a pool and priority can wait and still be on time, on
  // a server where their object is warm.
  struct SpareTime {
    Duration m_Spare{0};
    Time m_SeenAt{0}; // 0: no request of the priority was seen.
  };
  std::unordered_map<int, std::array<SpareTime, PriorityClasses>> m_SpareTimes;
  std::function<double(const BackendInfo &)> m_ColdRateHook;
  Time m_AffinityPrunedAt{0};
};

} // namespace rhubarb
