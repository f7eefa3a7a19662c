#include "rhubarb/Dispatch.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace rhubarb {
namespace {

constexpr double HashSpan = 18446744073709551616.0; // 2 to the 64th.
constexpr double TimesStep = 0.04;       // Of one measured service time.
constexpr double PositionPenalty = 0.01; // Per place in an object's order.
constexpr double ColdWaste = 0.5;    // Weight of slot time lost to a cold run.
constexpr double LeastWeight = 1e-9; // Of a server that should get none.
constexpr Duration PruneEvery = 2s;
constexpr Duration ColdPaceKept = 1s; // VMs come and go more slowly.
constexpr double RetryAfterObjective = 0.25;
constexpr double RetryAfterShareOfLeft = 1.0 / 3; // What callers honour.

double toMicros(Duration Value) { return static_cast<double>(Value.count()); }

Duration fromMicros(double Value) {
  return Duration(static_cast<std::int64_t>(Value));
}

// Returns the part of the time at a server in which the request ran, by the
// load that the server told with its answer. Answers the pattern in which a
// full server is taken for a slow kind of work: then nothing seems late.
Duration runTime(const ReportedLoad &Load, Duration AtServer) {
  double Slots = std::max(1, Load.m_Slots);
  double Total = std::max(1, Load.m_Running + Load.m_Waiting);
  return fromMicros(toMicros(AtServer) * std::min(1.0, Slots / Total));
}

// Returns margins under which the mechanisms that are off have no effect.
DispatchLimits limitsWithout(DispatchLimits Limits) {
  if (Limits.m_Disabled.contains(Mechanism::Candidates))
    Limits.m_Candidates = 1;
  if (Limits.m_Disabled.contains(Mechanism::QueueInside))
    std::fill(std::begin(Limits.m_ServerQueueShare),
              std::end(Limits.m_ServerQueueShare), 0.0);
  if (Limits.m_Disabled.contains(Mechanism::Waiting))
    Limits.m_MaxWaiting = 0;
  return Limits;
}

FleetLimits limitsWithout(FleetLimits Limits, const DisabledMechanisms &Off) {
  if (Off.contains(Mechanism::UsualLoad))
    Limits.m_MaxAverageLoad = 0;
  Limits.m_RoundTripsByRegion = !Off.contains(Mechanism::RoundTrips);
  return Limits;
}

} // namespace

Duration ServiceTimes::expected(const std::string &Route, Duration Objective,
                                bool Warm) const {
  if (Objective.count() == 0)
    Objective = m_Limits.m_DefaultObjective;
  auto Found = m_Rows.find(Route);
  double Known = 0;
  if (Found != m_Rows.end())
    Known = Warm ? Found->second.m_WarmUs : Found->second.m_ColdUs;
  if (Known > 0)
    return fromMicros(Known);
  return fromMicros(toMicros(Objective) * (Warm ? m_Limits.m_DefaultWarmShare
                                                : m_Limits.m_DefaultColdShare));
}

// Follows the median: a few slow servers must not pass for the usual speed.
void ServiceTimes::record(const std::string &Route, bool Warm, Duration Took) {
  Row &Entry = m_Rows[Route];
  double &Known = Warm ? Entry.m_WarmUs : Entry.m_ColdUs;
  double Micros = std::max(1.0, toMicros(Took));
  if (Known == 0)
    Known = Micros;
  else
    Known *= Micros > Known ? 1 + TimesStep : 1 / (1 + TimesStep);
}

Dispatcher::Dispatcher(std::string Region, DispatchLimits Limits,
                       FleetLimits Servers, std::uint64_t Seed)
    : m_Region(std::move(Region)), m_Limits(limitsWithout(Limits)),
      m_Fleet(limitsWithout(Servers, Limits.m_Disabled)), m_Times(m_Limits),
      m_Random(Seed), m_Affinity(m_Limits.m_WarmTtl) {}

bool Dispatcher::isRegionAllowed(const DispatchRequest &Request,
                                 const BackendState &Row) const {
  if (Request.m_AllowedRegions.empty())
    return true;
  return std::find(Request.m_AllowedRegions.begin(),
                   Request.m_AllowedRegions.end(),
                   Row.m_Info.m_Region) != Request.m_AllowedRegions.end();
}

// Whether failures, or what others say, leave out more than half of a pool:
// then the cause is not in single servers, and leaving them out would only
// overload the rest.
bool Dispatcher::isPanicMode(int Pool, Time Now) const {
  int Total = 0;
  int Failing = 0;
  for (ServerIndex Index : m_Fleet.serversInPool(Pool)) {
    const BackendState &Row = m_Fleet.row(Index);
    ExclusionReason Why = m_Fleet.exclusionReason(Row, Now);
    if (Why == ExclusionReason::Leaving || Why == ExclusionReason::Evacuated ||
        Why == ExclusionReason::Replaced)
      continue;
    Total += Row.m_Info.m_Slots;
    bool Weak =
        Why == ExclusionReason::Failing || Why == ExclusionReason::Suspect;
    Failing += Weak ? Row.m_Info.m_Slots : 0;
  }
  return Failing * 2 > Total;
}

// Answers the pattern in which many requests wait in a fleet of thousands of
// servers: each look at them is for all that wait.
const Dispatcher::PoolSnapshot &Dispatcher::poolSnapshot(int Pool, Time Now) {
  auto [Entry, Added] = m_PoolSnapshots.try_emplace(Pool);
  PoolSnapshot &View = Entry->second;
  if (!Added)
    return View;
  bool TakeFailing = isPanicMode(Pool, Now);
  for (ServerIndex Index : m_Fleet.serversInPool(Pool)) {
    const BackendState &Row = m_Fleet.row(Index);
    ExclusionReason Why = m_Fleet.exclusionReason(Row, Now);
    bool Weak =
        Why == ExclusionReason::Failing || Why == ExclusionReason::Suspect;
    if (Why != ExclusionReason::None && !(Weak && TakeFailing))
      continue;
    bool Home = Row.m_Info.m_Region == m_Region;
    (mayReceive(Index, Now) ? View.m_Ready : View.m_Cold)
        .push_back({Index, Home, Row.m_Info.m_Slots, 0});
  }
  return View;
}

// Returns the servers that may get the request. Answers the pattern in which
// many servers come at once: while they are cold few processes may send to one,
// and what waits for the others' turn would be refused beside free slots. Their
// objects run elsewhere meanwhile, unless hardly another server is left.
std::vector<Dispatcher::Candidate>
Dispatcher::eligibleServers(const DispatchRequest &Request, Time Now) {
  const PoolSnapshot &View = poolSnapshot(Request.m_Pool, Now);
  std::vector<Candidate> Found;
  auto Add = [&](const std::vector<Candidate> &Servers) {
    for (const Candidate &Entry : Servers) {
      bool Tried = std::find(Request.m_TriedServers.begin(),
                             Request.m_TriedServers.end(),
                             Entry.m_Server) != Request.m_TriedServers.end();
      if (!Tried && isRegionAllowed(Request, m_Fleet.row(Entry.m_Server)))
        Found.push_back(Entry);
    }
  };
  Add(View.m_Ready);
  if (Found.size() < static_cast<std::size_t>(m_Limits.m_Candidates))
    Add(View.m_Cold);
  return Found;
}

// Orders the servers by weighted rendezvous hashing for the request's object.
// The weights of the home region and of all others add up to the shares of the
// work that are to run there.
std::vector<Dispatcher::Candidate>
Dispatcher::rankServers(const DispatchRequest &Request, Time Now) {
  std::vector<Candidate> Ranked = eligibleServers(Request, Now);
  double HomeSlots = 0;
  double AwaySlots = 0;
  for (const Candidate &Entry : Ranked)
    (Entry.m_Local ? HomeSlots : AwaySlots) += Entry.m_Slots;
  double Share =
      isDisabled(Mechanism::Spill) ? 0 : m_Spill.share(Request.m_Pool);
  double Away = HomeSlots > 0 ? Share : 1;
  double HomeWeight = (1 - Away) / HomeSlots;
  double AwayWeight = Away / AwaySlots;
  auto Wanted = static_cast<std::size_t>(std::max(1, m_Limits.m_Candidates));
  std::vector<double> Least; // A heap of the best scores, the worst on top.
  for (Candidate &Entry : Ranked) {
    double Weight = std::max(
        Entry.m_Slots * (Entry.m_Local ? HomeWeight : AwayWeight), LeastWeight);
    const std::string &Id = m_Fleet.row(Entry.m_Server).m_Info.m_Id;
    double Place =
        (static_cast<double>(stableHash(Id, Request.m_ObjectHash)) + 1) /
        (HashSpan + 2);
    // Of most servers a bound of the score, 1 - x <= -log(x), tells that they
    // are none of the best.
    Entry.m_Score = (1 - Place) / Weight;
    if (Least.size() == Wanted && Entry.m_Score >= Least.front())
      continue;
    Entry.m_Score = -std::log(Place) / Weight;
    Least.push_back(Entry.m_Score);
    std::push_heap(Least.begin(), Least.end());
    if (Least.size() > Wanted) {
      std::pop_heap(Least.begin(), Least.end());
      Least.pop_back();
    }
  }
  auto Most = static_cast<std::ptrdiff_t>(
      std::min(Ranked.size(), static_cast<std::size_t>(m_Limits.m_Candidates)));
  std::partial_sort(Ranked.begin(), Ranked.begin() + Most, Ranked.end(),
                    [](const Candidate &A, const Candidate &B) {
                      return A.m_Score < B.m_Score;
                    });
  // A server that knows the object serves it as well as one where it belongs.
  const std::vector<WarmServer> &Places =
      m_Affinity.warmServers(Request.m_ObjectHash);
  auto Knows = [&](const Candidate &Entry) {
    return std::any_of(Places.begin(), Places.end(), [&](const auto &Place) {
      return Place.m_Server == Entry.m_Server &&
             isWarm(Entry.m_Server, Request.m_ObjectHash, Now);
    });
  };
  auto End = std::partition(Ranked.begin() + Most, Ranked.end(), Knows);
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

double Dispatcher::coldTokens(ServerIndex Index, Time Now) {
  ColdBucket &Bucket = m_ColdBuckets[Index];
  if (Bucket.m_RateUpdatedAt.count() == 0 ||
      Now - Bucket.m_RateUpdatedAt >= ColdPaceKept) {
    Bucket.m_Rate =
        m_ColdRateHook ? m_ColdRateHook(m_Fleet.row(Index).m_Info) : 1.0;
    Bucket.m_RateUpdatedAt = Now;
  }
  double Pace = Bucket.m_Rate;
  double Seconds = toMicros(Now - Bucket.m_RefilledAt) / 1e6;
  Bucket.m_Tokens = Pace <= 0 ? 0
                              : std::min(std::max(1.0, Pace / 2),
                                         Bucket.m_Tokens + Pace * Seconds);
  Bucket.m_RefilledAt = Now;
  return Bucket.m_Tokens;
}

bool Dispatcher::hasCapacity(ServerIndex Index, int Rank, Time Now) {
  const BackendState &Row = m_Fleet.row(Index);
  double Slots = Row.m_Info.m_Slots;
  double Load = m_Fleet.load(Row, Now);
  if (m_Fleet.isCold(Row, Now))
    return Load + 1 <= Slots && coldTokens(Index, Now) >= 1;
  double Inside = m_Limits.m_ServerQueueShare[priorityClass(Rank)];
  if (Inside < 0) // Whole slots only: small servers cannot spare one.
    return Load + 1 <= Slots - std::floor(-Inside * Slots);
  return Load + 1 <= Slots + (Inside > 0 ? std::max(1.0, Slots * Inside) : 0);
}

bool Dispatcher::hasSpareSlots(ServerIndex Index, Time Now) const {
  const BackendState &Row = m_Fleet.row(Index);
  return m_Fleet.load(Row, Now) + 1 <=
         Row.m_Info.m_Slots * m_Limits.m_SpareLoadShare;
}

DispatchDecision Dispatcher::makeDecision(const DispatchRequest &Request,
                                          ServerIndex Index, Time Now) const {
  const BackendState &Row = m_Fleet.row(Index);
  DispatchDecision Placed;
  Placed.m_Action = DispatchAction::Send;
  Placed.m_Server = Index;
  Placed.m_Remote = Row.m_Info.m_Region != m_Region;
  Placed.m_Warm = isWarm(Index, Request.m_ObjectHash, Now);
  double Slots = std::max(1, Row.m_Info.m_Slots);
  double Ahead = std::max(0.0, m_Fleet.load(Row, Now) + 1 - Slots);
  Placed.m_QueuedAtServer = Ahead > 0;
  Placed.m_Load = m_Fleet.load(Row, Now);
  Placed.m_LoadAge = Now - Row.m_LoadUpdatedAt;
  Duration Objective = Request.m_ObjectiveAt - Request.m_ArrivedAt;
  double Service =
      toMicros(m_Times.expected(Request.m_RouteName, Objective, Placed.m_Warm));
  Placed.m_ExpectedTime =
      m_Fleet.roundTrip(Row) + fromMicros(Service * (1 + Ahead / Slots));
  return Placed;
}

// Picks the candidate with the least expected time and lost slot time. The
// first one is where the object belongs, so its cold run is worth its price.
// Answers the pattern in which overload spreads objects over servers that do
// not know them, and their cold runs feed the overload: an object runs astray
// only on spare slots, and, unless LateToo, only when that is on time.
std::optional<DispatchDecision>
Dispatcher::pickServer(const DispatchRequest &Request,
                       const std::vector<Candidate> &Ranked, bool LateToo,
                       Time Now) {
  std::optional<DispatchDecision> Best;
  double Least = 0;
  Duration Objective = Request.m_ObjectiveAt - Request.m_ArrivedAt;
  double Warm =
      toMicros(m_Times.expected(Request.m_RouteName, Objective, true));
  double Cold =
      toMicros(m_Times.expected(Request.m_RouteName, Objective, false));
  auto Known =
      std::find_if(Ranked.begin(), Ranked.end(), [&](const Candidate &Entry) {
        return isWarm(Entry.m_Server, Request.m_ObjectHash, Now);
      });
  ServerIndex KnownAt = Known == Ranked.end() ? NoServer : Known->m_Server;
  for (std::size_t I = 0; I < Ranked.size(); ++I) {
    ServerIndex Index = Ranked[I].m_Server;
    if (!hasCapacity(Index, Request.m_Priority, Now))
      continue;
    DispatchDecision Placed = makeDecision(Request, Index, Now);
    Placed.m_Overflowed = I > 0;
    double Run = toMicros(Placed.m_ExpectedTime);
    // An object's cold run where it belongs is paid once, and never again.
    bool Adopt = I == 0 && !Placed.m_Warm && mayRebalance(Index, KnownAt, Now);
    if (Adopt)
      Run *= Warm / std::max(Warm, Cold);
    bool Late = Now + fromMicros(Run) > Request.m_ObjectiveAt;
    bool Astray = I > 0 && !Placed.m_Warm;
    bool Bounded = !isDisabled(Mechanism::Astray);
    if (Bounded && (Late || Astray) && !hasSpareSlots(Index, Now))
      continue;
    if (Bounded && Late && Astray && !LateToo)
      continue;
    double Cost = Run;
    if (!Placed.m_Warm && !Adopt && !isDisabled(Mechanism::ColdWaste))
      Cost += ColdWaste * Warm;
    Cost *= 1 + PositionPenalty * static_cast<double>(I);
    if (!Best || Cost < Least) {
      Best = Placed;
      Least = Cost;
    }
  }
  return Best;
}

// Whether an object may move to where it belongs from a server that knows it:
// when that brings it home or evens out the load. Moves are spread out, since
// each one costs a cold run.
bool Dispatcher::mayRebalance(ServerIndex Index, ServerIndex KnownAt,
                              Time Now) const {
  if (KnownAt == NoServer)
    return true;
  if (isDisabled(Mechanism::Adoption))
    return false;
  auto Last = m_LastColdRunAt.find(Index);
  if (Last != m_LastColdRunAt.end() &&
      Now - Last->second < m_Limits.m_RebalanceInterval)
    return false;
  const BackendState &To = m_Fleet.row(Index);
  const BackendState &From = m_Fleet.row(KnownAt);
  bool Homewards =
      To.m_Info.m_Region == m_Region && From.m_Info.m_Region != m_Region;
  auto Fullness = [&](const BackendState &Row) {
    return m_Fleet.load(Row, Now) / std::max(1, Row.m_Info.m_Slots);
  };
  return Homewards ||
         Fullness(To) + m_Limits.m_RebalanceMinGap < Fullness(From);
}

std::vector<Dispatcher::Candidate>
Dispatcher::rankedCandidates(const DispatchRequest &Request, Time Now) {
  if (Request.m_ObjectHash != 0)
    return rankServers(Request, Now);
  DispatchRequest Spread = Request;
  Spread.m_ObjectHash = m_Random.next() | 1U;
  return rankServers(Spread, Now);
}

// Predicts when the best server will have a slot for one more request: by its
// load, and by the pace at which requests like this one get their turn.
Duration Dispatcher::predictedWait(const DispatchRequest &Request,
                                   const std::vector<Candidate> &Ranked,
                                   Time Now) const {
  if (Ranked.empty())
    return Duration{0};
  ServerIndex Index = Ranked.front().m_Server;
  const BackendState &Row = m_Fleet.row(Index);
  double Slots = std::max(1, Row.m_Info.m_Slots);
  double Load = m_Fleet.load(Row, Now);
  // Other processes hold back as much as this one, by their share of the load.
  double Own = std::max(1, Row.m_OwnRequests) / std::max(1.0, Load);
  double Ahead = std::max(0.0, Load + 1 - Slots) +
                 queuedFor(Index, Request.m_Priority) / std::min(1.0, Own);
  Duration Objective = Request.m_ObjectiveAt - Request.m_ArrivedAt;
  double Service =
      toMicros(m_Times.expected(Request.m_RouteName, Objective, true));
  Duration Wait = fromMicros(Ahead * Service / Slots);
  if (isDisabled(Mechanism::Lines))
    return Wait;
  return std::max(
      Wait, m_WaitEstimator.estimate(Request.m_Pool, Request.m_Priority, Now));
}

// Returns the time until which a request may wait and still be on time.
Time Dispatcher::latestStart(const DispatchRequest &Request) const {
  Duration Objective = Request.m_ObjectiveAt - Request.m_ArrivedAt;
  Duration Service = m_Times.expected(Request.m_RouteName, Objective, true);
  Time OnTime = Request.m_ObjectiveAt - Service;
  Time Latest = Request.m_ArrivedAt +
                fromMicros(toMicros(Objective) * m_Limits.m_MaxWaitShare);
  return std::min({OnTime, Latest, Request.m_Deadline - Service});
}

DispatchDecision Dispatcher::refuse(const DispatchRequest &Request,
                                    ErrorKind Kind,
                                    const std::vector<Candidate> &Ranked,
                                    Time Now) {
  DispatchDecision Placed;
  Placed.m_Action = DispatchAction::Refuse;
  Placed.m_Error = Kind;
  Duration Wait = Ranked.empty() ? m_Fleet.earliestResume(Request.m_Pool, Now)
                                 : predictedWait(Request, Ranked, Now);
  Placed.m_PredictedWait = Wait;
  if (!Ranked.empty()) {
    Placed.m_BestServer = Ranked.front().m_Server;
    Placed.m_BestServerLoad =
        m_Fleet.load(m_Fleet.row(Placed.m_BestServer), Now);
  }
  Duration Objective = Request.m_ObjectiveAt - Request.m_ArrivedAt;
  double Least = toMicros(Objective) * RetryAfterObjective;
  double Spread = std::max(toMicros(Wait), Least) * (1 + m_Random.uniform());
  double Left = std::max(0.0, toMicros(Request.m_Deadline - Now));
  Placed.m_RetryAfter =
      std::max(m_Limits.m_MinRetryAfter,
               fromMicros(std::min(Spread, Left * RetryAfterShareOfLeft)));
  return Placed;
}

DispatchDecision Dispatcher::submit(const DispatchRequest &Request, Time Now) {
  m_PoolSnapshots.clear();
  if (Now >= Request.m_Deadline)
    return refuse(Request, ErrorKind::DeadlinePassed, {}, Now);
  std::vector<Candidate> Ranked = rankedCandidates(Request, Now);
  if (Ranked.empty())
    return refuse(Request, ErrorKind::NoServerLeft, Ranked, Now);
  if (auto Placed = pickServer(Request, Ranked, false, Now)) {
    m_WaitEstimator.recordSent(Request.m_Pool, Request.m_Priority, Now);
    return *Placed;
  }
  Duration Wait = predictedWait(Request, Ranked, Now);
  bool TooLong = Now + Wait > latestStart(Request);
  if (TooLong || m_Queue.size() >= m_Limits.m_MaxWaiting) {
    if (auto Placed = pickServer(Request, Ranked, true, Now))
      return *Placed;
    return refuse(Request,
                  TooLong ? ErrorKind::WaitTooLong : ErrorKind::QueueFull,
                  Ranked, Now);
  }
  enqueue(Request, Ranked.front().m_Server);
  return DispatchDecision{};
}

void Dispatcher::enqueue(const DispatchRequest &Request, ServerIndex WaitsFor) {
  auto Behind = std::find_if(m_Queue.begin(), m_Queue.end(),
                             [&](const DispatchRequest &Other) {
                               return Other.m_Priority > Request.m_Priority;
                             });
  m_Queue.insert(Behind, Request)->m_PreferredServer = WaitsFor;
  ++m_QueuedFor[WaitsFor][priorityClass(Request.m_Priority)];
  m_WaitEstimator.recordQueued(Request.m_Pool, Request.m_Priority);
}

// Requests that wait for a server and are not behind the given rank.
int Dispatcher::queuedFor(ServerIndex Index, int Rank) const {
  auto Found = m_QueuedFor.find(Index);
  if (Found == m_QueuedFor.end())
    return 0;
  auto End = Found->second.begin() + static_cast<long>(priorityClass(Rank)) + 1;
  return std::accumulate(Found->second.begin(), End, 0);
}

void Dispatcher::recordDequeued(const DispatchRequest &Request) {
  --m_QueuedFor[Request.m_PreferredServer][priorityClass(Request.m_Priority)];
  m_WaitEstimator.recordDequeued(Request.m_Pool, Request.m_Priority);
}

std::vector<QueueDecision> Dispatcher::processQueue(Time Now) {
  m_PoolSnapshots.clear();
  std::vector<QueueDecision> Out;
  std::size_t Tried = 0;
  for (std::size_t I = 0; I < m_Queue.size();) {
    const DispatchRequest &Next = m_Queue[I];
    bool Late = Now > latestStart(Next);
    if (!Late && Tried >= m_Limits.m_MaxScanned) {
      ++I;
      continue;
    }
    ++Tried;
    std::vector<Candidate> Ranked = rankedCandidates(Next, Now);
    std::optional<DispatchDecision> Placed =
        pickServer(Next, Ranked, Late, Now);
    if (!Placed && !Late && !Ranked.empty()) {
      ++I;
      continue;
    }
    QueueDecision Made;
    Made.m_Id = Next.m_Id;
    if (Placed) {
      Made.m_Decision = *Placed;
      m_WaitEstimator.recordSent(Next.m_Pool, Next.m_Priority, Now);
      started(Made.m_Decision, Now);
    } else {
      Made.m_Decision = refuse(Next,
                               Ranked.empty() ? ErrorKind::NoServerLeft
                                              : ErrorKind::WaitTooLong,
                               Ranked, Now);
    }
    recordDequeued(Next);
    m_Queue.erase(m_Queue.begin() + static_cast<std::ptrdiff_t>(I));
    Out.push_back(Made);
  }
  return Out;
}

bool Dispatcher::cancel(RequestId Id) {
  return std::erase_if(m_Queue, [&](const DispatchRequest &Row) {
           if (Row.m_Id != Id)
             return false;
           recordDequeued(Row);
           return true;
         }) > 0;
}

void Dispatcher::started(const DispatchDecision &Placed, Time Now) {
  m_PoolSnapshots.clear();
  m_Fleet.started(Placed.m_Server, Placed.m_ExpectedTime, Now);
  if (!Placed.m_Warm)
    m_LastColdRunAt[Placed.m_Server] = Now;
  if (m_Fleet.isCold(m_Fleet.row(Placed.m_Server), Now))
    m_ColdBuckets[Placed.m_Server].m_Tokens -= 1;
}

void Dispatcher::finished(const DispatchRequest &Request,
                          const DispatchDecision &Placed,
                          const AttemptReport &Report, Time StartedAt,
                          Time Now) {
  AttemptReport Known = Report;
  Known.m_ExpectedTime = Placed.m_ExpectedTime;
  m_Fleet.finished(Placed.m_Server, Known, StartedAt, Now);
  bool Served = Report.m_Outcome == AttemptOutcome::Served;
  // A run that failed has met the object all the same.
  bool Ran = Served || Report.m_Outcome == AttemptOutcome::Failed;
  if (Ran && Request.m_ObjectHash != 0)
    m_Affinity.recordRun(Request.m_ObjectHash, Placed.m_Server,
                         m_Fleet.row(Placed.m_Server).m_Incarnation, Now);
  if (!Served)
    return;
  Duration AtServer =
      Report.m_ResponseTime - m_Fleet.roundTrip(m_Fleet.row(Placed.m_Server));
  if (Report.m_HasLoad && !isDisabled(Mechanism::RunTimes))
    m_Times.record(Request.m_RouteName, Placed.m_Warm,
                   runTime(Report.m_Load, AtServer));
  else if (!Placed.m_QueuedAtServer)
    m_Times.record(Request.m_RouteName, Placed.m_Warm, AtServer);
}

void Dispatcher::tick(Time Now) {
  m_Fleet.tick(Now);
  updateSpill(Now);
  if (Now - m_AffinityPrunedAt >= PruneEvery) {
    m_Affinity.prune(Now);
    m_AffinityPrunedAt = Now;
  }
}

// Moves the shares of work that runs away from home.
void Dispatcher::updateSpill(Time Now) {
  for (int Pool = 0; Pool < m_Fleet.poolCount(); ++Pool) {
    SpillLoad Load;
    std::set<std::string> Seen;
    for (ServerIndex Index : m_Fleet.serversInPool(Pool)) {
      const BackendState &Row = m_Fleet.row(Index);
      Seen.insert(Row.m_Info.m_Region);
      ExclusionReason Why = m_Fleet.exclusionReason(Row, Now);
      if (Why == ExclusionReason::Leaving ||
          Why == ExclusionReason::Evacuated ||
          Why == ExclusionReason::Replaced ||
          Why == ExclusionReason::Unreachable ||
          Why == ExclusionReason::Suspect)
        continue;
      bool Home = Row.m_Info.m_Region == m_Region;
      (Home ? Load.m_LocalSlots : Load.m_RemoteSlots) += Row.m_Info.m_Slots;
      (Home ? Load.m_LocalLoad : Load.m_RemoteLoad) += m_Fleet.load(Row, Now);
    }
    for (const DispatchRequest &Request : m_Queue)
      Load.m_QueuedRequests += Request.m_Pool == Pool ? 1 : 0;
    Seen.insert(m_Region);
    Load.m_Regions = static_cast<int>(Seen.size());
    m_Spill.update(Pool, Load, Now);
  }
}

} // namespace rhubarb
