#include "rhubarb/Dispatch.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace rhubarb {
namespace {

// Number of 64-bit hash values, 2^64.
constexpr double HashSpan = 18446744073709551616.0;
// Share by which one measurement changes a service time estimate.
constexpr double ServiceTimeStep = 0.04;
// Weight of one run in the mean run time of its pool.
constexpr double PoolMeanWeight = 0.02;
// A run may take this much longer than the longest one that was measured.
constexpr double RunTimeMargin = 1.5;
constexpr Duration LongestTimeWindow = 60s;
// Relative increase of a server's cost per position in the rendezvous order.
constexpr double PositionPenalty = 0.01;
// Cost added to a cold run, as a multiple of the warm service time.
constexpr double ColdRunCost = 0.5;
// Lower bound on rendezvous weights, as scores are divided by them. Servers
// that should receive no requests have this weight.
constexpr double MinWeight = 1e-9;
// Interval between removals of expired entries from the affinity table.
constexpr Duration PruneInterval = 2s;
// Interval between calls of the cold rate hook. Its result depends on the VM
// list, which changes more slowly.
constexpr Duration ColdRateRefresh = 1s;
// Minimum Retry-After time, as a share of the latency objective.
constexpr double RetryAfterObjectiveShare = 0.25;
// Callers honour a Retry-After up to a third of their remaining time.
constexpr double MaxRetryAfterShare = 1.0 / 3;

double toMicros(Duration Value) { return static_cast<double>(Value.count()); }

Duration fromMicros(double Value) {
  return Duration(static_cast<std::int64_t>(Value));
}

// Returns the part of the time at the server during which the request was
// running, estimated from the load reported with the response. Otherwise
// queueing at a full server would be mistaken for a long service time, and no
// request would be predicted to be late.
Duration estimateRunTime(const ReportedLoad &Load, Duration AtServer) {
  double Slots = std::max(1, Load.m_Slots);
  double Total = std::max(1, Load.m_Running + Load.m_Waiting);
  double Slowdown =
      Load.m_RunTimePercent > 0 ? Load.m_RunTimePercent / 100.0 : 1;
  return fromMicros(toMicros(AtServer) * std::min(1.0, Slots / Total) /
                    Slowdown);
}

// Returns limits that disable the given mechanisms.
DispatchLimits withoutDisabled(DispatchLimits Limits) {
  if (Limits.m_Disabled.contains(Mechanism::Candidates))
    Limits.m_Candidates = 1;
  if (Limits.m_Disabled.contains(Mechanism::QueueInside))
    std::fill(std::begin(Limits.m_ServerQueueShare),
              std::end(Limits.m_ServerQueueShare), 0.0);
  if (Limits.m_Disabled.contains(Mechanism::Waiting))
    Limits.m_MaxWaiting = 0;
  return Limits;
}

FleetLimits withoutDisabled(FleetLimits Limits,
                            const DisabledMechanisms &Disabled) {
  if (Disabled.contains(Mechanism::UsualLoad))
    Limits.m_MaxAverageLoad = 0;
  Limits.m_RoundTripsByRegion = !Disabled.contains(Mechanism::RoundTrips);
  return Limits;
}

} // namespace

Duration ServiceTimes::expected(const std::string &Route, Duration Objective,
                                bool Warm) const {
  auto Times = m_Rows.find(Route);
  double Estimate = 0;
  if (Times != m_Rows.end())
    Estimate = Warm ? Times->second.m_WarmUs : Times->second.m_ColdUs;
  if (Estimate > 0)
    return fromMicros(Estimate);
  return assumed(Objective, Warm);
}

Duration ServiceTimes::assumed(Duration Objective, bool Warm) const {
  if (Objective.count() == 0)
    Objective = m_Limits.m_DefaultObjective;
  return fromMicros(toMicros(Objective) * (Warm ? m_Limits.m_DefaultWarmShare
                                                : m_Limits.m_DefaultColdShare));
}

Duration ServiceTimes::longest(const std::string &Route, Duration Objective,
                               Time Now) const {
  Duration Assumed = assumed(Objective, false);
  auto Found = m_LongestRows.find(Route);
  if (Found == m_LongestRows.end())
    return Assumed;
  const LongestRow &Times = Found->second;
  Duration Measured = std::max(Times.m_Longest, Times.m_LongestBefore);
  return Now - Times.m_FirstAt < Assumed ? std::max(Measured, Assumed)
                                         : Measured;
}

void ServiceTimes::recordResponseTime(const std::string &Route,
                                      Duration ResponseTime, Time Now) {
  auto [Position, Added] = m_LongestRows.try_emplace(Route);
  LongestRow &Times = Position->second;
  if (Added)
    Times.m_FirstAt = Times.m_Since = Now;
  if (Now - Times.m_Since >= LongestTimeWindow) {
    Times.m_LongestBefore = Times.m_Longest;
    Times.m_Longest = Duration{0};
    Times.m_Since = Now;
  }
  Times.m_Longest = std::max(Times.m_Longest, ResponseTime);
}

// Moves the estimate towards the median of the run times, so that a few slow
// servers don't raise it.
void ServiceTimes::record(const std::string &Route, bool Warm,
                          Duration RunTime) {
  Row &Times = m_Rows[Route];
  double &Estimate = Warm ? Times.m_WarmUs : Times.m_ColdUs;
  double Micros = std::max(1.0, toMicros(RunTime));
  if (Estimate == 0)
    Estimate = Micros;
  else
    Estimate *=
        Micros > Estimate ? 1 + ServiceTimeStep : 1 / (1 + ServiceTimeStep);
}

Duration ServiceTimes::poolMean(int Pool) const {
  auto Mean = m_PoolUs.find(Pool);
  return Mean == m_PoolUs.end() ? Duration{0} : fromMicros(Mean->second);
}

void ServiceTimes::recordPool(int Pool, Duration RunTime) {
  // A response can be faster than the estimated round trip.
  double Micros = std::max(1.0, toMicros(RunTime));
  auto [Mean, Added] = m_PoolUs.try_emplace(Pool, Micros);
  if (!Added)
    Mean->second += PoolMeanWeight * (Micros - Mean->second);
}

Dispatcher::Dispatcher(std::string Region, DispatchLimits Limits,
                       FleetLimits Servers, std::uint64_t Seed)
    : m_Region(std::move(Region)), m_Limits(withoutDisabled(Limits)),
      m_Fleet(withoutDisabled(Servers, Limits.m_Disabled)), m_Times(m_Limits),
      m_Random(Seed), m_Affinity(m_Limits.m_WarmTtl) {}

bool Dispatcher::isRegionAllowed(const DispatchRequest &Request,
                                 const BackendState &Row) {
  if (Request.m_AllowedRegions.empty())
    return true;
  return std::find(Request.m_AllowedRegions.begin(),
                   Request.m_AllowedRegions.end(),
                   Row.m_Info.m_Region) != Request.m_AllowedRegions.end();
}

// Returns whether more than half of a pool's slots belong to failing or suspect
// servers, not counting leaving, evacuated and replaced ones. In that case the
// cause is not a single server, and excluding them would overload the others,
// so they stay eligible.
bool Dispatcher::isPanicMode(int Pool, Time Now) const {
  int Total = 0;
  int Failing = 0;
  for (ServerIndex Index : m_Fleet.serversInPool(Pool)) {
    const BackendState &Row = m_Fleet.row(Index);
    ExclusionReason Reason = m_Fleet.exclusionReason(Row, Now);
    if (Reason == ExclusionReason::Leaving ||
        Reason == ExclusionReason::Evacuated ||
        Reason == ExclusionReason::Replaced)
      continue;
    Total += Row.m_Info.m_Slots;
    bool Unhealthy = Reason == ExclusionReason::Failing ||
                     Reason == ExclusionReason::Suspect;
    Failing += Unhealthy ? Row.m_Info.m_Slots : 0;
  }
  return Failing * 2 > Total;
}

// Returns the servers of a pool that are not excluded, cached until a request
// is sent: evaluating thousands of servers for each queued request is too slow.
const Dispatcher::PoolSnapshot &Dispatcher::poolSnapshot(int Pool, Time Now) {
  auto [Position, Added] = m_PoolSnapshots.try_emplace(Pool);
  PoolSnapshot &Snapshot = Position->second;
  if (!Added)
    return Snapshot;
  bool PanicMode = isPanicMode(Pool, Now);
  for (ServerIndex Index : m_Fleet.serversInPool(Pool)) {
    const BackendState &Row = m_Fleet.row(Index);
    ExclusionReason Reason = m_Fleet.exclusionReason(Row, Now);
    bool Unhealthy = Reason == ExclusionReason::Failing ||
                     Reason == ExclusionReason::Suspect;
    if (Reason != ExclusionReason::None && !(Unhealthy && PanicMode))
      continue;
    bool Local = Row.m_Info.m_Region == m_Region;
    std::vector<Candidate> &Servers = !mayReceive(Index, Now) ? Snapshot.m_Cold
                                      : Row.m_RateLimited
                                          ? Snapshot.m_RateLimited
                                          : Snapshot.m_Ready;
    Servers.push_back({Index, Local, Row.m_Info.m_Slots, 0});
  }
  return Snapshot;
}

// Whether a request was sent to a server, or to another entry for its address:
// a late response to the first attempt would be read as that to the second.
bool Dispatcher::isTried(const DispatchRequest &Request,
                         ServerIndex Index) const {
  const std::string &Address = m_Fleet.row(Index).m_Info.m_Address;
  return std::any_of(Request.m_TriedServers.begin(),
                     Request.m_TriedServers.end(), [&](ServerIndex Tried) {
                       return Tried == Index ||
                              (!Address.empty() &&
                               m_Fleet.row(Tried).m_Info.m_Address == Address);
                     });
}

// Returns the servers that may receive the request. When many servers start at
// once, few processes may send to each while it is cold, and requests that wait
// for a token would be refused while other servers have free slots. Cold
// servers without a token are therefore added only if there are fewer other
// servers than candidates. The same holds for servers whose rate limit allows
// no request now.
std::vector<Dispatcher::Candidate>
Dispatcher::eligibleServers(const DispatchRequest &Request, Time Now) {
  const PoolSnapshot &Snapshot = poolSnapshot(Request.m_Pool, Now);
  std::vector<Candidate> Eligible;
  auto Add = [&](const std::vector<Candidate> &Servers, auto Filter) {
    for (const Candidate &Server : Servers) {
      if (!isTried(Request, Server.m_Server) &&
          isRegionAllowed(Request, m_Fleet.row(Server.m_Server)) &&
          Filter(Server))
        Eligible.push_back(Server);
    }
  };
  auto Any = [](const Candidate &) { return true; };
  auto RateAllows = [&](const Candidate &Server) {
    return rateAllows(Server.m_Server, Request, Now);
  };
  Add(Snapshot.m_Ready, Any);
  Add(Snapshot.m_RateLimited, RateAllows);
  if (Eligible.size() < static_cast<std::size_t>(m_Limits.m_Candidates)) {
    Add(Snapshot.m_Cold, Any);
    Add(Snapshot.m_RateLimited, std::not_fn(RateAllows));
  }
  return Eligible;
}

// Orders the servers by weighted rendezvous hashing of the request's object.
// The total weights of the local region and of all others equal the shares of
// the requests that should run there.
std::vector<Dispatcher::Candidate>
Dispatcher::rankServers(const DispatchRequest &Request, Time Now) {
  std::vector<Candidate> Ranked = eligibleServers(Request, Now);
  double LocalSlots = 0;
  double RemoteSlots = 0;
  for (const Candidate &Server : Ranked)
    (Server.m_Local ? LocalSlots : RemoteSlots) += Server.m_Slots;
  double SpillShare =
      isDisabled(Mechanism::Spill) ? 0 : m_Spill.share(Request.m_Pool);
  double RemoteShare = LocalSlots > 0 ? SpillShare : 1;
  double LocalWeight = (1 - RemoteShare) / LocalSlots;
  double RemoteWeight = RemoteShare / RemoteSlots;
  auto CandidateCount =
      static_cast<std::size_t>(std::max(1, m_Limits.m_Candidates));
  std::vector<double> LowestScores; // Max-heap of the lowest scores so far.
  for (Candidate &Server : Ranked) {
    double Weight =
        std::max(Server.m_Slots * (Server.m_Local ? LocalWeight : RemoteWeight),
                 MinWeight);
    const std::string &Id = m_Fleet.row(Server.m_Server).m_Info.m_Id;
    double Hash =
        (static_cast<double>(stableHash(Id, Request.m_ObjectHash)) + 1) /
        (HashSpan + 2);
    // Most servers are ruled out by the lower bound 1 - x <= -log(x) of their
    // score, without a logarithm.
    Server.m_Score = (1 - Hash) / Weight;
    if (LowestScores.size() == CandidateCount &&
        Server.m_Score >= LowestScores.front())
      continue;
    Server.m_Score = -std::log(Hash) / Weight;
    LowestScores.push_back(Server.m_Score);
    std::push_heap(LowestScores.begin(), LowestScores.end());
    if (LowestScores.size() > CandidateCount) {
      std::pop_heap(LowestScores.begin(), LowestScores.end());
      LowestScores.pop_back();
    }
  }
  auto SortedCount = static_cast<std::ptrdiff_t>(
      std::min(Ranked.size(), static_cast<std::size_t>(m_Limits.m_Candidates)));
  std::partial_sort(Ranked.begin(), Ranked.begin() + SortedCount, Ranked.end(),
                    [](const Candidate &A, const Candidate &B) {
                      return A.m_Score < B.m_Score;
                    });
  // Requests wait for a server that can take them sooner.
  if (!poolSnapshot(Request.m_Pool, Now).m_RateLimited.empty())
    std::stable_partition(Ranked.begin(), Ranked.begin() + SortedCount,
                          [&](const Candidate &Server) {
                            return rateAllows(Server.m_Server, Request, Now);
                          });
  // Beyond the candidates, servers where the object is warm stay eligible.
  const std::vector<WarmServer> &WarmServers =
      m_Affinity.warmServers(Request.m_ObjectHash);
  auto IsWarm = [&](const Candidate &Server) {
    return std::any_of(
        WarmServers.begin(), WarmServers.end(), [&](const auto &Warm) {
          return Warm.m_Server == Server.m_Server &&
                 isWarm(Server.m_Server, Request.m_ObjectHash, Now);
        });
  };
  auto End = std::partition(Ranked.begin() + SortedCount, Ranked.end(), IsWarm);
  Ranked.erase(End, Ranked.end());
  return Ranked;
}

bool Dispatcher::isWarm(ServerIndex Index, std::uint64_t Object,
                        Time Now) const {
  return m_Affinity.isWarm(Object, Index, m_Fleet.row(Index).m_Incarnation,
                           Now);
}

void Dispatcher::recordRemoteRun(std::uint64_t Object, ServerIndex Index,
                                 Time Now) {
  m_Affinity.recordRemoteRun(Object, Index, m_Fleet.row(Index).m_Incarnation,
                             Now);
}

bool Dispatcher::mayReceive(ServerIndex Index, Time Now) {
  return !m_Fleet.isCold(m_Fleet.row(Index), Now) ||
         coldTokens(Index, Now) >= 1;
}

std::vector<ServerIndex> Dispatcher::remoteWarmServers(Time Now) const {
  std::vector<ServerIndex> Remote;
  for (ServerIndex Index : m_Affinity.allWarmServers(Now)) {
    const BackendState &Row = m_Fleet.row(Index);
    if (Row.m_Info.m_Region != m_Region &&
        m_Fleet.exclusionReason(Row, Now) == ExclusionReason::None)
      Remote.push_back(Index);
  }
  return Remote;
}

double Dispatcher::coldTokens(ServerIndex Index, Time Now) {
  ColdBucket &Bucket = m_ColdBuckets[Index];
  if (Bucket.m_RateUpdatedAt.count() == 0 ||
      Now - Bucket.m_RateUpdatedAt >= ColdRateRefresh) {
    Bucket.m_Rate =
        m_ColdRateHook ? m_ColdRateHook(m_Fleet.row(Index).m_Info) : 1.0;
    Bucket.m_RateUpdatedAt = Now;
  }
  double Rate = Bucket.m_Rate;
  // The bucket holds the tokens of half a second, but at least one.
  double Seconds = toMicros(Now - Bucket.m_RefilledAt) / 1e6;
  Bucket.m_Tokens = Rate <= 0 ? 0
                              : std::min(std::max(1.0, Rate / 2),
                                         Bucket.m_Tokens + Rate * Seconds);
  Bucket.m_RefilledAt = Now;
  return Bucket.m_Tokens;
}

// Returns how many queued requests a request has to let go first.
int Dispatcher::queuedAhead(ServerIndex Index,
                            const DispatchRequest &Request) const {
  // Queued requests are decided in their order.
  bool Queued = Request.m_PreferredServer != NoServer;
  return Queued ? 0 : queuedFor(Index, Request.m_Priority);
}

bool Dispatcher::rateAllows(ServerIndex Index, const DispatchRequest &Request,
                            Time Now) const {
  return !m_Fleet.row(Index).m_RateLimited ||
         m_Fleet.rateAllows(Index, priorityClass(Request.m_Priority),
                            queuedAhead(Index, Request), Now);
}

// Records the limited server that the request's object prefers to the server
// that was chosen for it, as the reason why it was placed elsewhere.
void Dispatcher::recordRateLimited(const DispatchRequest &Request,
                                   DispatchDecision &Decision, Time Now) const {
  auto Snapshot = m_PoolSnapshots.find(Request.m_Pool);
  if (Snapshot == m_PoolSnapshots.end() || Request.m_ObjectHash == 0)
    return;
  auto Hash = [&](ServerIndex Index) {
    return stableHash(m_Fleet.row(Index).m_Info.m_Id, Request.m_ObjectHash);
  };
  bool Refused = Decision.m_Server == NoServer;
  // The highest hash of equal servers has the lowest score.
  std::uint64_t Highest = Refused ? 0 : Hash(Decision.m_Server);
  for (const Candidate &Server : Snapshot->second.m_RateLimited) {
    if (Server.m_Server == Decision.m_Server || !Server.m_Local ||
        Hash(Server.m_Server) < Highest ||
        rateAllows(Server.m_Server, Request, Now))
      continue;
    Highest = Hash(Server.m_Server);
    Decision.m_RateLimitedServer = Server.m_Server;
    Decision.m_RateLimitTokens =
        m_Fleet.rateLimit(Server.m_Server)->tokens(Now);
  }
}

bool Dispatcher::hasCapacity(ServerIndex Index, const DispatchRequest &Request,
                             Time Now) {
  if (!rateAllows(Index, Request, Now))
    return false;
  const BackendState &Row = m_Fleet.row(Index);
  double Slots = Row.m_Info.m_Slots;
  double Load = m_Fleet.load(Row, Now);
  if (m_Fleet.isCold(Row, Now))
    return Load + 1 <= Slots && coldTokens(Index, Now) >= 1;
  if (m_Fleet.reportsSlowdown(Request.m_Pool) &&
      !isDisabled(Mechanism::QueueInside))
    return Load + 1 <= Slots + queueDepth(Index, Request, Now);
  double QueueShare =
      m_Limits.m_ServerQueueShare[priorityClass(Request.m_Priority)];
  if (QueueShare < 0)
    // Rounds the slots to keep free down, as small servers cannot spare one.
    return Load + 1 <= Slots - std::floor(-QueueShare * Slots);
  return Load + 1 <=
         Slots + (QueueShare > 0 ? std::max(1.0, Slots * QueueShare) : 0);
}

// A slot that is free while the next request is on its way is lost capacity, so
// servers are filled ahead as far as the requests can wait there.
double Dispatcher::queueDepth(ServerIndex Index, const DispatchRequest &Request,
                              Time Now) const {
  const BackendState &Row = m_Fleet.row(Index);
  double Slowdown = m_Fleet.slowdown(Row, Now);
  Duration Objective = Request.m_ObjectiveAt - Request.m_ArrivedAt;
  bool Warm = isWarm(Index, Request.m_ObjectHash, Now);
  double RunTime =
      toMicros(m_Times.expected(Request.m_RouteName, Objective, Warm)) *
      Slowdown;
  double RoundTrip = toMicros(m_Fleet.roundTrip(Row));
  double CanWait = m_Limits.m_QueueTimeShare *
                   (toMicros(std::min({Request.m_ObjectiveAt,
                                       Request.m_Deadline, m_StopAt}) -
                             Now) -
                    RoundTrip - RunTime);
  auto Spare = m_SpareTimes.find(Request.m_Pool);
  if (Spare != m_SpareTimes.end())
    for (std::size_t Class = 0; Class < priorityClass(Request.m_Priority);
         ++Class) {
      const SpareTime &Urgent = Spare->second[Class];
      if (Urgent.m_SeenAt.count() > 0 &&
          Now - Urgent.m_SeenAt < m_Limits.m_UrgentSeenFor)
        CanWait = std::min(CanWait, m_Limits.m_UrgentQueueTimeShare *
                                        toMicros(Urgent.m_Spare));
    }
  double Mean = toMicros(m_Times.poolMean(Request.m_Pool)) * Slowdown;
  // Until a run time of the pool is measured, requests ahead are assumed to
  // take as long as this one.
  if (Mean <= 0)
    Mean = RunTime;
  // A server whose responses are overdue has turned slow.
  if (Row.m_OwnRequests > 0)
    Mean = std::max(Mean, toMicros(Now - Row.m_SilentSince) - RoundTrip);
  if (CanWait <= 0 || Mean <= 0)
    return 0;
  double Depth = CanWait / Mean * Row.m_Info.m_Slots;
  if (auto Full = m_Fleet.fullQueueLength(Request.m_Pool))
    Depth = std::min(Depth, m_Limits.m_FullQueueShare * *Full);
  return Depth;
}

void Dispatcher::recordSpareTime(const DispatchRequest &Request, Time Now) {
  Duration Objective = Request.m_ObjectiveAt - Request.m_ArrivedAt;
  SpareTime &Row =
      m_SpareTimes[Request.m_Pool][priorityClass(Request.m_Priority)];
  Row.m_Spare =
      std::max(Duration{0}, Objective - m_Times.expected(Request.m_RouteName,
                                                         Objective, true));
  Row.m_SeenAt = Now;
}

bool Dispatcher::hasSpareSlots(ServerIndex Index, Time Now) const {
  const BackendState &Row = m_Fleet.row(Index);
  return m_Fleet.load(Row, Now) + 1 <=
         Row.m_Info.m_Slots * m_Limits.m_SpareLoadShare;
}

DispatchDecision Dispatcher::makeDecision(const DispatchRequest &Request,
                                          ServerIndex Index, Time Now) const {
  const BackendState &Row = m_Fleet.row(Index);
  DispatchDecision Decision;
  Decision.m_Action = DispatchAction::Send;
  Decision.m_Server = Index;
  Decision.m_Remote = Row.m_Info.m_Region != m_Region;
  Decision.m_Warm = isWarm(Index, Request.m_ObjectHash, Now);
  double Slots = std::max(1, Row.m_Info.m_Slots);
  double RequestsAhead = std::max(0.0, m_Fleet.load(Row, Now) + 1 - Slots);
  Decision.m_QueuedAtServer = RequestsAhead > 0;
  Decision.m_Load = m_Fleet.load(Row, Now);
  Decision.m_LoadAge = Now - Row.m_LoadUpdatedAt;
  Duration Objective = Request.m_ObjectiveAt - Request.m_ArrivedAt;
  double ServiceTime = toMicros(
      m_Times.expected(Request.m_RouteName, Objective, Decision.m_Warm));
  double TimeOfOneAhead = ServiceTime;
  if (m_Fleet.reportsSlowdown(Request.m_Pool)) {
    double Slowdown = m_Fleet.slowdown(Row, Now);
    ServiceTime *= Slowdown;
    double Mean = toMicros(m_Times.poolMean(Request.m_Pool)) * Slowdown;
    TimeOfOneAhead = Mean > 0 ? Mean : ServiceTime;
  }
  Decision.m_ExpectedTime =
      m_Fleet.roundTrip(Row) +
      fromMicros(ServiceTime + TimeOfOneAhead * RequestsAhead / Slots);
  return Decision;
}

// Picks the candidate with the lowest expected time plus the cost of a cold
// run. The first candidate is the object's preferred server, where a cold run
// pays off later. On any other server an object runs cold only on spare slots
// and, unless AllowLate is set, only if it meets its objective. Otherwise,
// under overload, objects would spread over servers where they are cold, and
// the cold runs would add to the overload. A run that would miss its objective
// gets only spare slots on any server.
std::optional<DispatchDecision>
Dispatcher::pickServer(const DispatchRequest &Request,
                       const std::vector<Candidate> &Ranked, bool AllowLate,
                       Time Now) {
  std::optional<DispatchDecision> BestDecision;
  double LowestCost = 0;
  Duration Objective = Request.m_ObjectiveAt - Request.m_ArrivedAt;
  double WarmTime =
      toMicros(m_Times.expected(Request.m_RouteName, Objective, true));
  double ColdTime =
      toMicros(m_Times.expected(Request.m_RouteName, Objective, false));
  auto FirstWarm =
      std::find_if(Ranked.begin(), Ranked.end(), [&](const Candidate &Server) {
        return isWarm(Server.m_Server, Request.m_ObjectHash, Now);
      });
  ServerIndex WarmAt =
      FirstWarm == Ranked.end() ? NoServer : FirstWarm->m_Server;
  for (std::size_t I = 0; I < Ranked.size(); ++I) {
    ServerIndex Index = Ranked[I].m_Server;
    if (!hasCapacity(Index, Request, Now))
      continue;
    DispatchDecision Decision = makeDecision(Request, Index, Now);
    Decision.m_Overflowed = I > 0;
    double Expected = toMicros(Decision.m_ExpectedTime);
    // After a cold run the object is warm on its preferred server, so the run
    // is rated as warm.
    bool Rebalance =
        I == 0 && !Decision.m_Warm && mayRebalance(Index, WarmAt, Now);
    if (Rebalance)
      Expected *= WarmTime / std::max(WarmTime, ColdTime);
    bool Late = Now + fromMicros(Expected) > Request.m_ObjectiveAt;
    bool ColdElsewhere = I > 0 && !Decision.m_Warm;
    bool LimitColdRuns = !isDisabled(Mechanism::Astray);
    if (LimitColdRuns && (Late || ColdElsewhere) && !hasSpareSlots(Index, Now))
      continue;
    if (LimitColdRuns && Late && ColdElsewhere && !AllowLate)
      continue;
    double Cost = Expected;
    if (!Decision.m_Warm && !Rebalance && !isDisabled(Mechanism::ColdWaste))
      Cost += ColdRunCost * WarmTime;
    Cost *= 1 + PositionPenalty * static_cast<double>(I);
    if (!BestDecision || Cost < LowestCost) {
      BestDecision = Decision;
      LowestCost = Cost;
    }
  }
  return BestDecision;
}

// Returns whether an object may move to its preferred server from one where it
// is warm, because that brings it to the local region or evens out the load.
// Moves are rate-limited, as each one costs a cold run.
bool Dispatcher::mayRebalance(ServerIndex Target, ServerIndex WarmAt,
                              Time Now) const {
  if (WarmAt == NoServer)
    return true;
  if (isDisabled(Mechanism::Adoption))
    return false;
  auto LastColdRun = m_LastColdRunAt.find(Target);
  if (LastColdRun != m_LastColdRunAt.end() &&
      Now - LastColdRun->second < m_Limits.m_RebalanceInterval)
    return false;
  const BackendState &To = m_Fleet.row(Target);
  const BackendState &From = m_Fleet.row(WarmAt);
  bool MovesToLocal =
      To.m_Info.m_Region == m_Region && From.m_Info.m_Region != m_Region;
  auto Utilization = [&](const BackendState &Row) {
    return m_Fleet.load(Row, Now) / std::max(1, Row.m_Info.m_Slots);
  };
  return MovesToLocal ||
         Utilization(To) + m_Limits.m_RebalanceMinGap < Utilization(From);
}

std::vector<Dispatcher::Candidate>
Dispatcher::rankedCandidates(const DispatchRequest &Request, Time Now) {
  if (Request.m_ObjectHash != 0)
    return rankServers(Request, Now);
  // A request without an object is ordered by a random one, which spreads such
  // requests over the servers by weight.
  DispatchRequest RandomObject = Request;
  RandomObject.m_ObjectHash = m_Random.next() | 1U;
  return rankServers(RandomObject, Now);
}

// Predicts when the preferred server will have a free slot for one more
// request, from its load and from the rate at which the queue drains.
Duration Dispatcher::predictedWait(const DispatchRequest &Request,
                                   const std::vector<Candidate> &Ranked,
                                   Time Now) const {
  if (Ranked.empty())
    return Duration{0};
  ServerIndex Index = Ranked.front().m_Server;
  const BackendState &Row = m_Fleet.row(Index);
  double Slots = std::max(1, Row.m_Info.m_Slots);
  double Load = m_Fleet.load(Row, Now);
  // Assumes that other processes queue as many requests for the server as this
  // one, in proportion to their share of its load.
  double OwnShare = std::max(1, Row.m_OwnRequests) / std::max(1.0, Load);
  double RequestsAhead =
      std::max(0.0, Load + 1 - Slots) +
      queuedFor(Index, Request.m_Priority) / std::min(1.0, OwnShare);
  Duration Objective = Request.m_ObjectiveAt - Request.m_ArrivedAt;
  double ServiceTime =
      toMicros(m_Times.expected(Request.m_RouteName, Objective, true));
  Duration Wait = fromMicros(RequestsAhead * ServiceTime / Slots);
  if (const SharedRateLimit *Limit = m_Fleet.rateLimit(Index))
    Wait = std::max(Wait, Limit->wait(priorityClass(Request.m_Priority),
                                      queuedAhead(Index, Request), Now));
  if (isDisabled(Mechanism::Lines))
    return Wait;
  return std::max(
      Wait, m_WaitEstimator.estimate(Request.m_Pool, Request.m_Priority, Now));
}

// Returns the latest time at which a request can start and be on time.
Time Dispatcher::latestStart(const DispatchRequest &Request) const {
  Duration Objective = Request.m_ObjectiveAt - Request.m_ArrivedAt;
  Duration ServiceTime = m_Times.expected(Request.m_RouteName, Objective, true);
  Time OnTime = Request.m_ObjectiveAt - ServiceTime;
  Time QueueLimit = Request.m_ArrivedAt +
                    fromMicros(toMicros(Objective) * m_Limits.m_MaxWaitShare);
  return std::min({OnTime, QueueLimit,
                   std::min(Request.m_Deadline, m_StopAt) - ServiceTime});
}

DispatchDecision Dispatcher::refuse(const DispatchRequest &Request,
                                    ErrorKind Kind,
                                    const std::vector<Candidate> &Ranked,
                                    Time Now) {
  DispatchDecision Decision;
  Decision.m_Action = DispatchAction::Refuse;
  Decision.m_Error = Kind;
  if (Kind == ErrorKind::Leaving) {
    // Another process can take it at once.
    Decision.m_RetryAfter = m_Limits.m_MinRetryAfter;
    return Decision;
  }
  Duration Wait = Ranked.empty() ? m_Fleet.earliestResume(Request.m_Pool, Now)
                                 : predictedWait(Request, Ranked, Now);
  Decision.m_PredictedWait = Wait;
  if (Kind != ErrorKind::DeadlinePassed)
    recordRateLimited(Request, Decision, Now);
  if (!Ranked.empty()) {
    Decision.m_BestServer = Ranked.front().m_Server;
    Decision.m_BestServerLoad =
        m_Fleet.load(m_Fleet.row(Decision.m_BestServer), Now);
  }
  Duration Objective = Request.m_ObjectiveAt - Request.m_ArrivedAt;
  double MinWait = toMicros(Objective) * RetryAfterObjectiveShare;
  double JitteredWait =
      std::max(toMicros(Wait), MinWait) * (1 + m_Random.uniform());
  double Remaining = std::max(0.0, toMicros(Request.m_Deadline - Now));
  Decision.m_RetryAfter = std::max(
      m_Limits.m_MinRetryAfter,
      fromMicros(std::min(JitteredWait, Remaining * MaxRetryAfterShare)));
  return Decision;
}

// Returns why a request would wait too long for the server that can take it
// first.
ErrorKind Dispatcher::waitError(const DispatchRequest &Request,
                                const std::vector<Candidate> &Ranked,
                                Time Now) const {
  return rateAllows(Ranked.front().m_Server, Request, Now)
             ? ErrorKind::WaitTooLong
             : ErrorKind::ServersRateLimited;
}

DispatchDecision Dispatcher::submit(const DispatchRequest &Request, Time Now) {
  m_PoolSnapshots.clear();
  if (m_Fleet.reportsSlowdown(Request.m_Pool))
    recordSpareTime(Request, Now);
  if (Now >= Request.m_Deadline)
    return refuse(Request, ErrorKind::DeadlinePassed, {}, Now);
  if (!endsBeforeStop(Request, Now))
    return refuse(Request, ErrorKind::Leaving, {}, Now);
  std::vector<Candidate> Ranked = rankedCandidates(Request, Now);
  if (Ranked.empty())
    return refuse(Request, ErrorKind::NoServerLeft, Ranked, Now);
  if (auto Decision = pickServer(Request, Ranked, false, Now)) {
    m_WaitEstimator.recordSent(Request.m_Pool, Request.m_Priority, Now);
    recordRateLimited(Request, *Decision, Now);
    return *Decision;
  }
  Duration Wait = predictedWait(Request, Ranked, Now);
  bool TooLong = Now + Wait > latestStart(Request);
  if (TooLong || m_Queue.size() >= m_Limits.m_MaxWaiting) {
    if (auto Decision = pickServer(Request, Ranked, true, Now))
      return *Decision;
    return refuse(Request,
                  TooLong ? waitError(Request, Ranked, Now)
                          : ErrorKind::QueueFull,
                  Ranked, Now);
  }
  enqueue(Request, Ranked.front().m_Server);
  return DispatchDecision{};
}

void Dispatcher::enqueue(const DispatchRequest &Request,
                         ServerIndex PreferredServer) {
  auto Position = std::find_if(m_Queue.begin(), m_Queue.end(),
                               [&](const DispatchRequest &Other) {
                                 return Other.m_Priority > Request.m_Priority;
                               });
  m_Queue.insert(Position, Request)->m_PreferredServer = PreferredServer;
  ++m_QueuedFor[PreferredServer][priorityClass(Request.m_Priority)];
  m_WaitEstimator.recordQueued(Request.m_Pool, Request.m_Priority);
}

// Returns how many requests of the given or a higher priority are queued for a
// server.
int Dispatcher::queuedFor(ServerIndex Index, int Priority) const {
  auto Counts = m_QueuedFor.find(Index);
  if (Counts == m_QueuedFor.end())
    return 0;
  auto End =
      Counts->second.begin() + static_cast<long>(priorityClass(Priority)) + 1;
  return std::accumulate(Counts->second.begin(), End, 0);
}

void Dispatcher::recordDequeued(const DispatchRequest &Request) {
  --m_QueuedFor[Request.m_PreferredServer][priorityClass(Request.m_Priority)];
  m_WaitEstimator.recordDequeued(Request.m_Pool, Request.m_Priority);
}

std::vector<QueueDecision> Dispatcher::processQueue(Time Now) {
  m_PoolSnapshots.clear();
  std::vector<QueueDecision> Decisions;
  std::size_t Scanned = 0;
  for (std::size_t I = 0; I < m_Queue.size();) {
    const DispatchRequest &Request = m_Queue[I];
    bool Outlasts = !endsBeforeStop(Request, Now);
    bool Late = Outlasts || Now > latestStart(Request);
    // Requests that can no longer be on time are resolved even beyond the
    // limit.
    if (!Late && Scanned >= m_Limits.m_MaxScanned) {
      ++I;
      continue;
    }
    ++Scanned;
    std::vector<Candidate> Ranked = rankedCandidates(Request, Now);
    std::optional<DispatchDecision> Decision;
    if (!Outlasts)
      Decision = pickServer(Request, Ranked, Late, Now);
    if (!Decision && !Late && !Ranked.empty()) {
      ++I;
      continue;
    }
    QueueDecision Resolved;
    Resolved.m_Id = Request.m_Id;
    if (Decision) {
      Resolved.m_Decision = *Decision;
      recordRateLimited(Request, Resolved.m_Decision, Now);
      m_WaitEstimator.recordSent(Request.m_Pool, Request.m_Priority, Now);
      started(Resolved.m_Decision, Now);
    } else {
      ErrorKind Kind = ErrorKind::Leaving;
      if (!Outlasts)
        Kind = Ranked.empty() ? ErrorKind::NoServerLeft
                              : waitError(Request, Ranked, Now);
      Resolved.m_Decision = refuse(Request, Kind, Ranked, Now);
    }
    recordDequeued(Request);
    m_Queue.erase(m_Queue.begin() + static_cast<std::ptrdiff_t>(I));
    Decisions.push_back(Resolved);
  }
  return Decisions;
}

bool Dispatcher::endsBy(const DispatchRequest &Request, Time End,
                        Time Now) const {
  if (Request.m_AttemptsEndAt.count() > 0 && Request.m_AttemptsEndAt <= End)
    return true;
  Duration Objective = Request.m_ObjectiveAt - Request.m_ArrivedAt;
  // The expected times are medians, and a route may have a few long runs.
  Duration Longest =
      std::max({m_Times.expected(Request.m_RouteName, Objective, true),
                m_Times.expected(Request.m_RouteName, Objective, false),
                m_Times.longest(Request.m_RouteName, Objective, Now)});
  return Now + fromMicros(toMicros(Longest) * RunTimeMargin) <= End;
}

void Dispatcher::updateQueued(
    const std::function<std::optional<DispatchRequest>(RequestId)> &Hook,
    Time Now) {
  m_PoolSnapshots.clear();
  for (DispatchRequest &Queued : m_Queue) {
    std::optional<DispatchRequest> Next = Hook(Queued.m_Id);
    if (!Next)
      continue;
    recordDequeued(Queued);
    Next->m_PreferredServer = Queued.m_PreferredServer;
    std::vector<Candidate> Ranked = rankedCandidates(*Next, Now);
    if (!Ranked.empty())
      Next->m_PreferredServer = Ranked.front().m_Server;
    Queued = std::move(*Next);
    ++m_QueuedFor[Queued.m_PreferredServer][priorityClass(Queued.m_Priority)];
    m_WaitEstimator.recordQueued(Queued.m_Pool, Queued.m_Priority);
  }
  std::stable_sort(m_Queue.begin(), m_Queue.end(),
                   [](const DispatchRequest &A, const DispatchRequest &B) {
                     return A.m_Priority < B.m_Priority;
                   });
}

bool Dispatcher::cancel(RequestId Id) {
  return std::erase_if(m_Queue, [&](const DispatchRequest &Queued) {
           if (Queued.m_Id != Id)
             return false;
           recordDequeued(Queued);
           return true;
         }) > 0;
}

void Dispatcher::started(DispatchDecision &Decision, Time Now) {
  Decision.m_StartedAt = Now;
  m_PoolSnapshots.clear();
  m_Fleet.started(Decision.m_Server, Decision.m_ExpectedTime, Now);
  if (!Decision.m_Warm)
    m_LastColdRunAt[Decision.m_Server] = Now;
  if (m_Fleet.isCold(m_Fleet.row(Decision.m_Server), Now))
    m_ColdBuckets[Decision.m_Server].m_Tokens -= 1;
}

void Dispatcher::finished(const DispatchRequest &Request,
                          const DispatchDecision &Decision,
                          const AttemptReport &Report, Time StartedAt,
                          Time Now) {
  AttemptReport WithEstimate = Report;
  WithEstimate.m_ExpectedTime = Decision.m_ExpectedTime;
  m_Fleet.finished(Decision.m_Server, WithEstimate, StartedAt, Now);
  bool Served = Report.m_Outcome == AttemptOutcome::Served;
  // An object is warm also after a failed run.
  bool Ran = Served || Report.m_Outcome == AttemptOutcome::Failed;
  if (Ran && Request.m_ObjectHash != 0)
    m_Affinity.recordRun(Request.m_ObjectHash, Decision.m_Server,
                         m_Fleet.row(Decision.m_Server).m_Incarnation, Now);
  if (Ran)
    m_Times.recordResponseTime(Request.m_RouteName, Report.m_ResponseTime, Now);
  if (!Served)
    return;
  Duration AtServer =
      Report.m_ResponseTime - m_Fleet.roundTrip(m_Fleet.row(Decision.m_Server));
  if (Report.m_HasLoad && !isDisabled(Mechanism::RunTimes)) {
    Duration RunTime = estimateRunTime(Report.m_Load, AtServer);
    m_Times.record(Request.m_RouteName, Decision.m_Warm, RunTime);
    if (Report.m_Load.m_RunTimePercent > 0)
      m_Times.recordPool(Request.m_Pool, RunTime);
  } else if (!Decision.m_QueuedAtServer)
    // Without an estimate of the run time, requests that queued at the server
    // are not measured, as their queueing would count as service time.
    m_Times.record(Request.m_RouteName, Decision.m_Warm, AtServer);
}

void Dispatcher::tick(Time Now) {
  m_Fleet.tick(Now);
  updateSpill(Now);
  if (Now - m_AffinityPrunedAt >= PruneInterval) {
    m_Affinity.prune(Now);
    m_AffinityPrunedAt = Now;
  }
}

// Updates the shares of requests that are sent to other regions.
void Dispatcher::updateSpill(Time Now) {
  for (int Pool = 0; Pool < m_Fleet.poolCount(); ++Pool) {
    SpillLoad Load;
    std::set<std::string> Regions;
    for (ServerIndex Index : m_Fleet.serversInPool(Pool)) {
      const BackendState &Row = m_Fleet.row(Index);
      Regions.insert(Row.m_Info.m_Region);
      ExclusionReason Reason = m_Fleet.exclusionReason(Row, Now);
      if (Reason == ExclusionReason::Leaving ||
          Reason == ExclusionReason::Evacuated ||
          Reason == ExclusionReason::Replaced ||
          Reason == ExclusionReason::Unreachable ||
          Reason == ExclusionReason::Suspect)
        continue;
      bool Local = Row.m_Info.m_Region == m_Region;
      (Local ? Load.m_LocalSlots : Load.m_RemoteSlots) += Row.m_Info.m_Slots;
      // A server that has reached its rate limit has no free slots.
      double RowLoad = m_Fleet.load(Row, Now);
      if (!m_Fleet.rateAllows(Index, PriorityClasses - 1, 0, Now))
        RowLoad = std::max<double>(RowLoad, Row.m_Info.m_Slots);
      (Local ? Load.m_LocalLoad : Load.m_RemoteLoad) += RowLoad;
    }
    for (const DispatchRequest &Request : m_Queue)
      Load.m_QueuedRequests += Request.m_Pool == Pool ? 1 : 0;
    Regions.insert(m_Region);
    Load.m_Regions = static_cast<int>(Regions.size());
    m_Spill.update(Pool, Load, Now);
  }
}

} // namespace rhubarb
