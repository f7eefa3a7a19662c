// Backend servers shared by several entry processes: the platform's service
// registry, the state observed by this process, and which servers may receive
// new requests.
#pragma once

#include "rhubarb/RateLimit.h"
#include "rhubarb/Servers.h"
#include "rhubarb/Types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace rhubarb {

// A backend server as registered with the platform.
struct BackendInfo {
  std::string m_Id; // Unique per server; usually new after each restart.
  std::string m_Address;
  std::string m_PoolName;
  int m_Pool = 0; // Index into the configuration's pools.
  std::string m_Domain;
  std::string m_Region;
  int m_Slots = 1;
  bool m_Leaving = false;
  // End of the warm-up period that the server reports.
  Time m_ColdUntil{0};
  // Start time in Unix milliseconds; 0: not stated. Distinguishes incarnations
  // of a server.
  std::int64_t m_StartTimeMs = 0;
  // Number of the server's last write to its entry, counted from its start.
  std::int64_t m_Sequence = 0;
};

// Load that a server reports in a response. It includes the request that the
// response belongs to, unless that request was refused.
struct ReportedLoad {
  int m_Running = 0;
  int m_Waiting = 0;
  int m_Slots = 0;
  // How long work takes on the server's machine at present, in percent of the
  // usual time; 0: not reported.
  int m_RunTimePercent = 0;
};

// Returns the rate, in requests per second, at which one VM may send to a cold
// server so that all VMs together stay below PerSecond without exchanging
// messages. Vms lists the VMs that may send; every VM must have nearly the same
// list.
double coldRequestRate(const std::string &ServerId, const std::string &Self,
                       const std::vector<std::string> &Vms, double PerSecond);

// Result of an attempt on a shared server.
enum class AttemptOutcome : std::uint8_t {
  Served,      // Complete response that counts as success.
  Failed,      // Complete response that reports a server error.
  Refused,     // The server stated that it did not run the request.
  Misdirected, // Another server has the address now.
  Cut,         // The connection was closed, or the response was malformed.
  Unreachable, // No connection could be established.
  Silent,      // No response before the timeout.
  Abandoned,   // The caller disconnected: no evidence about the server.
};

std::string_view attemptOutcomeName(AttemptOutcome Value);

// What a response says about the request rate that the server takes.
enum class RateLimitHint : std::uint8_t {
  Unknown,  // No complete response, or a value that cannot be read.
  NotNamed, // The response names no limit.
  Named,
};

// Where a change of a server's limit was heard.
enum class RateLimitSource : std::uint8_t {
  Response,
  HealthCheck,
  Peer,
  Forgotten, // The limit was dropped; the server has not said so.
};
std::string_view rateLimitSourceName(RateLimitSource Value);

// A server's limit that was heard first, changed or ended.
struct RateLimitChange {
  std::string m_ServerId;
  std::optional<double> m_Before; // Requests per second; none: no limit.
  std::optional<double> m_After;
  RateLimitSource m_Source = RateLimitSource::Response;
  Duration m_Age{0}; // Time since the server named it.
};

// What the other VMs are told about a limited server.
struct ServerRateLimitUpdate {
  std::string m_ServerId;
  RateLimitUpdate m_Update;
};

// What an attempt revealed about the server.
struct AttemptReport {
  AttemptOutcome m_Outcome = AttemptOutcome::Served;
  Duration m_ResponseTime{0}; // Time until the response header arrived.
  Duration m_ExpectedTime{0}; // Estimate made before sending; 0: none.
  bool m_HasLoad = false;
  ReportedLoad m_Load;
  bool m_Leaving = false; // The server announced its shutdown.
  // The server asked this process to send it no requests for this long.
  Duration m_BackoffFor{0};
  RateLimitHint m_RateLimitHint = RateLimitHint::Unknown;
  double m_RateLimit = 0;    // Requests per second, if Named.
  Duration m_ConnectTime{0}; // 0: a connection was reused.
};

// Result of a health check. The check waits for a slot of the server like any
// other request.
enum class HealthCheckResult : std::uint8_t {
  Healthy,
  Full,     // The server is up but refused the check for lack of capacity.
  Late,     // The connection was accepted, but no response came in time.
  Bad,      // No connection, or an unexpected response.
  Replaced, // Another server responded.
};
std::string_view healthCheckResultName(HealthCheckResult Value);

// When shared servers are ejected, and for how long.
struct FleetLimits {
  // Above this failure rate a server receives single trial requests only.
  double m_MaxFailureRate = 0.3;
  // The failure rate is averaged over about this many requests.
  double m_FailureWindow = 8;
  // Minimum time between two trial requests to a failing server.
  Duration m_TrialInterval = 500ms;
  // Ejection time of a server that cannot be reached. It doubles with each
  // further failure, up to the maximum.
  Duration m_MinEjectionTime = 500ms;
  Duration m_MaxEjectionTime = 4s;
  // A server that other processes could not reach receives nothing for this
  // long. Processes repeat the report while the server stays unreachable.
  Duration m_SuspectFor = 5s;
  // Reports of other processes are ignored for a server that responded to this
  // process within this time.
  Duration m_OwnResponseTrustedFor = 1s;
  // A server with requests in flight counts as stalled once its silence exceeds
  // all of: this time, several times the expected interval between its
  // responses, and a multiple of the longest expected service time.
  Duration m_StallAfter = 400ms;
  double m_StallIntervals = 6;
  double m_StallLongestRatio = 1.6;
  // Loads of at least this share of the slots are shared with other processes.
  double m_HighLoad = 0.8;
  // Half-life of a load report: the estimate decays towards the average load of
  // the pool's servers in the same region.
  Duration m_LoadHalfLife = 500ms;
  // Half-life of the run time that a server reports: it decays to the usual
  // one.
  Duration m_SlowdownHalfLife = 300ms;
  // Weight of one load report in the moving average of its group.
  double m_AverageLoadWeight = 0.05;
  // Upper bound on the average load, as a share of the slots, so that a server
  // without a recent report is never taken for full: it still receives
  // requests, and its responses update the estimate.
  double m_MaxAverageLoad = 0.9;
  // Servers that were not yet contacted are assumed to have the round trip of
  // their region.
  bool m_RoundTripsByRegion = true;
};

// A server and its state as observed by this process.
struct BackendState {
  BackendInfo m_Info;
  bool m_Listed = false;
  bool m_Evacuated = false;
  std::uint64_t m_Incarnation = 0; // Hash of id, address and start time.
  // Index of the group, the servers of the same pool and region.
  std::size_t m_Group = 0;
  Time m_ListedSince{0};
  Time m_ColdUntil{0};

  int m_OwnRequests = 0; // Requests of this process in flight.
  // Requests of other processes at the server, from its last load report.
  double m_OtherRequests = 0;
  Time m_LoadUpdatedAt{0}; // Time of the last load report.
  // Run time on the server's machine, as a multiple of the usual one.
  double m_Slowdown = 1;
  Time m_SlowdownAt{0};
  double m_FailureRate = 0; // Share of recent attempts that failed.
  Time m_SilentSince{0};
  Time m_LastSentAt{0};
  Time m_PausedUntil{0};       // End of the back-off that the server asked for.
  bool m_RateLimited = false;  // The server names a request rate.
  bool m_RateUnusable = false; // The rate is too low to send requests.
  // The server announced its shutdown, to this or another process; valid until
  // it restarts.
  bool m_ReportedLeaving = false;
  // Another server has the address; valid until the server restarts.
  bool m_Replaced = false;
  Time m_SuspectUntil{0};   // Other processes could not reach the server.
  Time m_LastResponseAt{0}; // Last response to this process.
  Time m_EjectedUntil{0};
  Duration m_EjectionTime{0};
  bool m_NeedsHealthCheck = false;  // Set after the server was unreachable.
  std::multiset<Time> m_StartTimes; // Start times of own requests in flight.
  // Expected service times of own requests in flight.
  std::multiset<Duration> m_ExpectedTimes;
  Duration m_ExpectedTotal{0};
  // Time to open a connection to the server; 0: unknown.
  Duration m_RoundTrip{0};
};

// Requests at a server, running and queued, at the time of its report.
struct ServerLoad {
  int m_Total = 0;
  Time m_At{0};
};

// Change in a server's state that this process observed and shares with the
// other processes.
enum class ServerEvent : std::uint8_t {
  Unreachable, // A connection or a health check failed.
  Back,        // The server responds again after being unreachable.
  Replaced,    // Another server has the address.
  Leaving,     // The server announced its shutdown.
};
std::string_view serverEventName(ServerEvent Value);

// Why a server receives no new requests.
enum class ExclusionReason : std::uint8_t {
  None,
  NotListed,
  Leaving,
  Evacuated,
  Replaced,    // Another server has the address.
  Paused,      // The server asked this process to back off.
  RateLimited, // The server takes hardly any requests from all VMs together.
  Unreachable,
  Suspect, // Other processes could not reach the server.
  Stalled,
  Failing,
};
std::string_view exclusionReasonName(ExclusionReason Value);

// Table of the servers with their load estimates, health and eligibility.
class Fleet {
public:
  explicit Fleet(FleetLimits Limits = {}) : m_Limits(Limits) {}

  // Replaces the registry contents. Rows keep their index for as long as they
  // are registered or have requests in flight.
  void update(const std::vector<BackendInfo> &Listed, Time Now);
  // Applies new and changed entries, and the ids of removed ones. In large
  // fleets servers come and go many times a second, so the cost depends on the
  // number of changes, not on the size of the registry.
  void applyChanges(const std::vector<BackendInfo> &Listed,
                    const std::vector<std::string> &Removed, Time Now);
  // Sets the failure domains that must not receive requests. When a domain is
  // no longer evacuated, its servers count as cold for ColdFor.
  void setEvacuated(const std::set<std::string> &Domains, Duration ColdFor,
                    Time Now);
  // Resets expired ejection times and removes unused rows. Cost: linear in the
  // rows.
  void tick(Time Now);

  // Records that a request was sent, with its expected service time.
  void started(ServerIndex Index, Duration Expected, Time Now);
  void finished(ServerIndex Index, const AttemptReport &Report, Time StartedAt,
                Time Now);
  // Applies hints from a response or a health check: the server is shutting
  // down, or asks this process to back off.
  void applyServerHints(ServerIndex Index, bool Leaving, Duration BackoffFor,
                        Time Now);
  // Records the load of a server, reported to any process at the given time.
  void updateLoad(ServerIndex Index, int Total, Time At);
  // Applies the run time that a server reports with its load.
  void updateSlowdown(ServerIndex Index, int RunTimePercent, Time Now);
  // Estimates how many times longer than usual work takes on a server now.
  double slowdown(const BackendState &Row, Time Now) const;
  // Whether servers of a pool report how long work takes on their machines.
  bool reportsSlowdown(int Pool) const {
    return m_SlowdownPools.contains(Pool);
  }
  // Returns the longest queue that a server of a pool had when it refused a
  // request as full, or none if none has.
  std::optional<int> fullQueueLength(int Pool) const;
  // Returns and clears the high loads reported by servers since the last call,
  // to be shared with the other processes that send there.
  std::map<ServerIndex, ServerLoad> takeHighLoads();
  // Returns and clears the state changes observed since the last call, to be
  // shared with other processes. If many servers of a large fleet fail at once,
  // each process would otherwise discover each failure with requests of its
  // own.
  std::map<ServerIndex, ServerEvent> takeServerEvents();
  // Applies a state change observed by another process.
  void applyServerEvent(ServerIndex Index, ServerEvent Event, Time Now);
  // Records the result of a health check.
  void recordHealthCheck(ServerIndex Index, HealthCheckResult Check,
                         Duration ColdLeft, Time Now);

  // Applies what a health check says about the server's request rate.
  void applyRateLimitHint(ServerIndex Index, RateLimitHint Hint,
                          double PerSecond, Time Now);
  // Records that a health check was sent, which counts as a request.
  void healthCheckStarted(ServerIndex Index, Time Now) {
    countAgainstRateLimit(Index, Now);
  }
  // Applies what a peer process has heard from and sent to a limited server,
  // by its incarnation. The server need not be listed here.
  void applyRateLimitUpdate(std::uint64_t Incarnation, std::uint64_t Peer,
                            const ServerRateLimitUpdate &Update, Time Now);
  // Returns what the other VMs must hear about limited servers: new updates,
  // and with Repeat also recent ones, to make up for lost messages. Keys are
  // the servers' incarnations.
  std::map<std::uint64_t, ServerRateLimitUpdate>
  takeRateLimitUpdates(bool Repeat);
  // Returns how long this VM pauses between updates. It grows with the number
  // of VMs that send them, which bounds what a VM receives.
  Duration rateLimitUpdateInterval(Time Now);
  bool hasNewRateLimitUpdates() const { return m_HasNewRateLimitUpdates; }
  // Returns and clears the changes of limits since the last call.
  std::vector<RateLimitChange> takeRateLimitChanges();
  // Returns a server's limit, or nullptr if it has never named one.
  const SharedRateLimit *rateLimit(ServerIndex Index) const;
  std::size_t rateLimitedServers() const;
  // Requests beyond the limits of servers that later ones do not make up for.
  double forgivenRequests() const;
  // Whether a server's limit allows a request of a priority class, behind a
  // number of others that wait here for the server.
  bool rateAllows(ServerIndex Index, std::size_t PriorityClass, int Ahead,
                  Time Now) const;
  // Sets the share of the known VMs that this VM hears, from 0 to 1.
  void setHeardShare(double Share, Time Now);
  // Sets the number of the other VMs that may send to the servers.
  void setPeerCount(std::size_t Peers) { m_PeerCount = Peers; }
  // Sets the function that returns this VM's rank among those that send to a
  // limited server, or check whether it takes requests again.
  void setRateRankHook(std::function<std::size_t(const BackendInfo &)> Hook) {
    m_RateRankHook = std::move(Hook);
  }

  // Returns why a server is excluded, or None.
  ExclusionReason exclusionReason(const BackendState &Row, Time Now) const;
  // Estimates the requests in flight at a server, from all processes. When many
  // processes share many servers, each process rarely gets a report of a given
  // server. With stale reports alone all servers would look free and be
  // overloaded until every response is late.
  double load(const BackendState &Row, Time Now) const;
  bool isCold(const BackendState &Row, Time Now) const {
    return Now < Row.m_ColdUntil;
  }
  // Returns how many servers of a pool gave no response since the last response
  // of any of them.
  std::size_t unresponsiveServers(int Pool) const;
  // Whether this VM seems to be cut off from all servers of a pool: several of
  // them in a row gave no response, and no other one has.
  bool isCutOff(int Pool) const;
  // Returns the share of a pool's servers in service that this VM cannot reach.
  double unreachableShare(int Pool, Time Now) const;
  // Returns the stalled servers and the unreachable ones whose ejection time is
  // over. A health check with the result Healthy or Full makes them eligible.
  // Servers with hardly any rate are checked for whether that has changed, and
  // unresponsive ones for whether this VM is still cut off.
  std::vector<ServerIndex> dueHealthChecks(Time Now) const;

  int poolCount() const { return static_cast<int>(m_Pools.size()); }
  // Registered servers of a pool, in a fixed order.
  const std::vector<ServerIndex> &serversInPool(int Pool) const;
  // Returns the time to open a connection to a server: measured at the server
  // itself, otherwise the minimum for its region; 0 if unknown.
  Duration roundTrip(const BackendState &Row) const;
  // Restores the minimum round trip to a region, measured by an earlier
  // process.
  void restoreRoundTrip(const std::string &Region, Duration RoundTrip);
  const std::map<std::string, Duration> &roundTrips() const {
    return m_RoundTrips;
  }
  const BackendState &row(ServerIndex Index) const {
    return m_Rows[static_cast<std::size_t>(Index)];
  }
  // Returns the time until the first paused server of a pool accepts requests
  // again; 0 if none is paused.
  Duration earliestResume(int Pool, Time Now) const;
  ServerIndex find(const std::string &Id) const;
  std::size_t size() const { return m_ById.size(); }
  // Incremented with each change of the registered servers.
  std::uint64_t generation() const { return m_Generation; }

private:
  BackendState &mutableRow(ServerIndex Index) {
    return m_Rows[static_cast<std::size_t>(Index)];
  }
  ServerIndex rowFor(const std::string &Id);
  void applyInfo(const BackendInfo &Info, bool ListedBefore, Time Now);
  std::vector<ServerIndex>::iterator poolPosition(ServerIndex Index);
  void eject(BackendState &Row, Time Now) const;
  void setReplaced(ServerIndex Index);
  void setUnreachable(ServerIndex Index, Time Now);
  void recordResponse(BackendState &Row, Time Now);
  void recordNoResponse(ServerIndex Index);
  bool isStalled(const BackendState &Row, Time Now) const;
  void rebuildPools();
  void applyResponse(ServerIndex Index, const AttemptReport &Report,
                     Time StartedAt, Time Now);
  // A server's limit and requests outlive its row: a server that is not listed
  // for a while, or listed later at this VM, still counts its requests.
  struct KnownRateLimit {
    SharedRateLimit m_Limit;
    std::string m_ServerId;
    int m_Tells = 0; // How often its update is still to be told.
    Time m_UsedAt{0};
  };
  void observeRateLimit(std::uint64_t Incarnation, const std::string &ServerId,
                        std::optional<double> PerSecond, Time HeardAt,
                        RateLimitSource Source, Time Now);
  void applyKnownRateLimit(BackendState &Row) const;
  void dropSavedTokens(const BackendState &Row, Time Now);
  void countAgainstRateLimit(ServerIndex Index, Time Now);
  void markUntold(KnownRateLimit &Known);
  void forgetUnusedRateLimits(Time Now);
  void updateRateRank(KnownRateLimit &Known) const;
  // Returns the row with an incarnation, or nullptr.
  BackendState *findIncarnation(const std::string &ServerId,
                                std::uint64_t Incarnation);

  FleetLimits m_Limits;
  std::vector<BackendState> m_Rows;
  std::vector<ServerIndex> m_FreeRows;
  std::map<std::pair<int, std::string>, std::size_t> m_Groups;
  // Average requests of other processes per slot, by group.
  std::vector<double> m_AverageLoads;
  std::unordered_map<std::string, ServerIndex> m_ById;
  std::vector<std::vector<ServerIndex>> m_Pools;
  std::set<std::string> m_EvacuatedDomains;
  // High loads not yet shared with other processes.
  std::map<ServerIndex, ServerLoad> m_HighLoads;
  // State changes not yet shared with other processes.
  std::map<ServerIndex, ServerEvent> m_PendingEvents;
  // Limits of the servers that have named one, by incarnation.
  std::unordered_map<std::uint64_t, KnownRateLimit> m_RateLimits;
  bool m_HasNewRateLimitUpdates = false;
  std::vector<RateLimitChange> m_RateLimitChanges;
  double m_ForgivenRequests = 0; // Of limits that are no longer kept.
  double m_HeardShare = 1;
  std::function<std::size_t(const BackendInfo &)> m_RateRankHook;
  std::size_t m_PeerCount = 0;
  // Peer processes that sent updates about limits of late.
  std::map<std::uint64_t, Time> m_RateLimitPeers;
  std::set<int> m_SlowdownPools;   // Pools whose servers report run times.
  std::map<int, int> m_FullQueues; // See fullQueueLength(), by pool.
  // Servers that gave no response since the last one of any server, by pool.
  std::map<int, std::set<ServerIndex>> m_Unresponsive;
  // Share of recent attempts that could not reach their server. From one half
  // on, this process itself may be the one that is partitioned.
  double m_UnreachableRate = 0;
  std::uint64_t m_Generation = 0;
  std::map<std::string, Duration> m_RoundTrips; // Minimum of each region.
};

} // namespace rhubarb
