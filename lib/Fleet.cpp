#include "rhubarb/Fleet.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <utility>

namespace rhubarb {
namespace {

constexpr std::array<std::string_view, 11> ExclusionReasonNames{
    "no",           "not_listed",  "leaving", "evacuated", "replaced", "paused",
    "rate_limited", "unreachable", "suspect", "stalled",   "failing"};

constexpr std::array<std::string_view, 4> RateLimitSourceNames{
    "response", "health_check", "peer", "forgotten"};

constexpr std::array<std::string_view, 8> OutcomeNames{
    "served", "failed",      "refused", "misdirected",
    "cut",    "unreachable", "silent",  "abandoned"};

// Weight of one attempt in the moving average of attempts that could not reach
// their server.
constexpr double UnreachableRateWeight = 0.05;
// From this rate of unreachable attempts on, this process itself is probably
// partitioned.
constexpr double MaxUnreachableRate = 0.5;
// Upper bound on the pause that a server can ask for; after it, the server is
// sent requests again.
constexpr Duration MaxPause = 60s;
// Health checks go to a limited server like requests of the lowest priority.
constexpr std::size_t LowestPriorityClass = 2;
// How often each update about a limited server is told.
// Servers without a response from which on this VM counts as cut off.
constexpr std::size_t MinUnresponsive = 3;
constexpr int RateLimitTells = 3;
constexpr Duration RateLimitUpdateIntervalPerVm = 5ms;
constexpr Duration RateLimitPeerActiveFor = 1s;
// Time for which the limit of a server that is not listed is kept.
constexpr Duration RateLimitKeptFor = 60s;
// Number of VMs that send to one cold server.
constexpr std::size_t ColdSenders = 2;
// Part of a cold server's tolerated rate that its senders use in total. The
// rest is a reserve for a VM with a different list of VMs, which may send as
// well.
constexpr double ColdRateUsed = 0.8;

double toMicros(Duration Value) { return static_cast<double>(Value.count()); }

// Lowers Minimum to Measured if that is less. A Minimum of 0 means that there
// is no measurement yet.
void keepMinimum(Duration &Minimum, Duration Measured) {
  Minimum = Minimum.count() == 0 ? Measured : std::min(Minimum, Measured);
}

// Updates the longest queue that servers of a pool accept. A shorter one at a
// refusal moves it down step by step: servers may have been replaced, but a
// single server that refuses early must not close the others. What a server has
// accepted raises it again, so that an early refusal has no lasting effect.
void updateFullQueue(std::map<int, int> &Lengths, const BackendState &Row,
                     const AttemptReport &Report, bool Ran) {
  constexpr int StepShare = 4;
  int Waiting = Report.m_Load.m_Waiting;
  // A server that leaves or limits its rate refuses with room left.
  bool IsFull = Report.m_Outcome == AttemptOutcome::Refused &&
                Report.m_Load.m_Running >= Row.m_Info.m_Slots &&
                !Report.m_Leaving && !Row.m_RateLimited;
  auto Known = Lengths.find(Row.m_Info.m_Pool);
  if (Known == Lengths.end()) {
    if (IsFull)
      Lengths.emplace(Row.m_Info.m_Pool, Waiting);
    return;
  }
  int &Length = Known->second;
  if ((IsFull || Ran) && Waiting >= Length)
    Length = Waiting;
  else if (IsFull)
    Length -= std::max(1, (Length - Waiting) / StepShare);
}

} // namespace

double coldRequestRate(const std::string &ServerId, const std::string &Self,
                       const std::vector<std::string> &Vms, double PerSecond) {
  std::uint64_t Seed = stableHash(ServerId);
  std::uint64_t OwnHash = stableHash(Self, Seed);
  std::size_t RankedBefore = 0;
  bool SelfListed = false;
  for (const std::string &Vm : Vms) {
    SelfListed = SelfListed || Vm == Self;
    RankedBefore += stableHash(Vm, Seed) > OwnHash ? 1 : 0;
  }
  std::size_t Senders = std::min(ColdSenders, Vms.size());
  if (!SelfListed || RankedBefore >= Senders)
    return 0;
  return PerSecond * ColdRateUsed / static_cast<double>(Senders);
}

std::string_view attemptOutcomeName(AttemptOutcome Value) {
  return OutcomeNames[static_cast<std::size_t>(Value)];
}

std::string_view healthCheckResultName(HealthCheckResult Value) {
  static constexpr std::array<std::string_view, 5> Names{
      "healthy", "full", "late", "bad", "replaced"};
  return Names[static_cast<std::size_t>(Value)];
}

std::string_view serverEventName(ServerEvent Value) {
  static constexpr std::array<std::string_view, 4> Names{"unreachable", "back",
                                                         "replaced", "leaving"};
  return Names[static_cast<std::size_t>(Value)];
}

std::string_view rateLimitSourceName(RateLimitSource Value) {
  return RateLimitSourceNames[static_cast<std::size_t>(Value)];
}

std::string_view exclusionReasonName(ExclusionReason Value) {
  return ExclusionReasonNames[static_cast<std::size_t>(Value)];
}

ServerIndex Fleet::find(const std::string &Id) const {
  auto Position = m_ById.find(Id);
  return Position == m_ById.end() ? NoServer : Position->second;
}

ServerIndex Fleet::rowFor(const std::string &Id) {
  auto [Position, Added] = m_ById.try_emplace(Id, NoServer);
  if (!Added)
    return Position->second;
  if (m_FreeRows.empty()) {
    Position->second = static_cast<ServerIndex>(m_Rows.size());
    m_Rows.emplace_back();
  } else {
    Position->second = m_FreeRows.back();
    m_FreeRows.pop_back();
    mutableRow(Position->second) = BackendState{};
  }
  return Position->second;
}

void Fleet::update(const std::vector<BackendInfo> &Listed, Time Now) {
  std::set<std::string> ListedBefore;
  for (BackendState &Row : m_Rows)
    if (std::exchange(Row.m_Listed, false))
      ListedBefore.insert(Row.m_Info.m_Id);
  for (const BackendInfo &Info : Listed)
    applyInfo(Info, ListedBefore.contains(Info.m_Id), Now);
  rebuildPools();
}

void Fleet::applyChanges(const std::vector<BackendInfo> &Listed,
                         const std::vector<std::string> &Removed, Time Now) {
  ++m_Generation;
  auto Remove = [&](ServerIndex Index) {
    if (Index == NoServer || !row(Index).m_Listed)
      return;
    m_Pools[static_cast<std::size_t>(row(Index).m_Info.m_Pool)].erase(
        poolPosition(Index));
    mutableRow(Index).m_Listed = false;
  };
  for (const std::string &Id : Removed)
    Remove(find(Id));
  for (const BackendInfo &Info : Listed) {
    ServerIndex Known = find(Info.m_Id);
    bool ListedBefore = Known != NoServer && row(Known).m_Listed;
    Remove(Known);
    applyInfo(Info, ListedBefore, Now);
    auto Pool = static_cast<std::size_t>(Info.m_Pool);
    if (m_Pools.size() <= Pool)
      m_Pools.resize(Pool + 1);
    ServerIndex Index = find(Info.m_Id);
    m_Pools[Pool].insert(poolPosition(Index), Index);
  }
}

// Returns the position of a row in its pool's sorted list, or where to insert
// it.
std::vector<ServerIndex>::iterator Fleet::poolPosition(ServerIndex Index) {
  auto &PoolServers =
      m_Pools[static_cast<std::size_t>(row(Index).m_Info.m_Pool)];
  return std::lower_bound(PoolServers.begin(), PoolServers.end(), Index,
                          [&](ServerIndex A, ServerIndex B) {
                            return row(A).m_Info.m_Id < row(B).m_Info.m_Id;
                          });
}

void Fleet::applyInfo(const BackendInfo &Info, bool ListedBefore, Time Now) {
  BackendState &Row = mutableRow(rowFor(Info.m_Id));
  bool Restarted = Row.m_Info.m_StartTimeMs != 0 && Info.m_StartTimeMs != 0 &&
                   Row.m_Info.m_StartTimeMs != Info.m_StartTimeMs;
  bool Moved = Row.m_Info.m_Address != Info.m_Address;
  if (Restarted || Moved) {
    // Attempts in progress are kept, as finished() is still called for them.
    BackendState Reset;
    Reset.m_OwnRequests = Row.m_OwnRequests;
    Reset.m_StartTimes = Row.m_StartTimes;
    Reset.m_ExpectedTimes = Row.m_ExpectedTimes;
    Reset.m_ExpectedTotal = Row.m_ExpectedTotal;
    Row = std::move(Reset);
  }
  if (Row.m_ListedSince == Time{0}) {
    Row.m_ListedSince = Now;
    Row.m_SilentSince = Now;
  }
  Row.m_Info = Info;
  Row.m_Group =
      m_Groups.try_emplace({Info.m_Pool, Info.m_Region}, m_Groups.size())
          .first->second;
  m_AverageLoads.resize(m_Groups.size(), 0);
  Row.m_Incarnation =
      stableHash(Info.m_Id + Info.m_Address,
                 static_cast<std::uint64_t>(Info.m_StartTimeMs));
  applyKnownRateLimit(Row);
  if (!ListedBefore)
    dropSavedTokens(Row, Now);
  Row.m_Listed = true;
  Row.m_Evacuated = m_EvacuatedDomains.contains(Info.m_Domain);
  Row.m_ColdUntil = std::max(Row.m_ColdUntil, Info.m_ColdUntil);
}

void Fleet::rebuildPools() {
  ++m_Generation;
  for (auto &PoolServers : m_Pools)
    PoolServers.clear();
  for (const auto &[Id, Index] : m_ById) {
    const BackendState &Row = row(Index);
    if (!Row.m_Listed)
      continue;
    auto Pool = static_cast<std::size_t>(Row.m_Info.m_Pool);
    if (m_Pools.size() <= Pool)
      m_Pools.resize(Pool + 1);
    m_Pools[Pool].push_back(Index);
  }
  for (auto &PoolServers : m_Pools)
    std::sort(PoolServers.begin(), PoolServers.end(),
              [&](ServerIndex A, ServerIndex B) {
                return row(A).m_Info.m_Id < row(B).m_Info.m_Id;
              });
}

void Fleet::setEvacuated(const std::set<std::string> &Domains, Duration ColdFor,
                         Time Now) {
  for (BackendState &Row : m_Rows) {
    bool Evacuated = Domains.contains(Row.m_Info.m_Domain);
    if (Row.m_Evacuated && !Evacuated) {
      Row.m_ColdUntil = std::max(Row.m_ColdUntil, Now + ColdFor);
      dropSavedTokens(Row, Now);
    }
    Row.m_Evacuated = Evacuated;
  }
  m_EvacuatedDomains = Domains;
  ++m_Generation;
}

void Fleet::tick(Time Now) {
  for (auto Position = m_ById.begin(); Position != m_ById.end();) {
    const BackendState &Row = row(Position->second);
    if (!Row.m_Listed && Row.m_OwnRequests == 0) {
      for (auto &[Pool, Servers] : m_Unresponsive)
        Servers.erase(Position->second);
      m_FreeRows.push_back(Position->second);
      Position = m_ById.erase(Position);
      continue;
    }
    ++Position;
  }
  forgetUnusedRateLimits(Now);
  for (auto &[Incarnation, Known] : m_RateLimits)
    updateRateRank(Known);
  for (BackendState &Row : m_Rows)
    if (Row.m_EjectionTime.count() > 0 && !Row.m_NeedsHealthCheck &&
        Now > Row.m_EjectedUntil + m_Limits.m_MaxEjectionTime)
      // The next ejection starts again from the minimum time.
      Row.m_EjectionTime = Duration{0};
}

void Fleet::started(ServerIndex Index, Duration Expected, Time Now) {
  BackendState &Row = mutableRow(Index);
  if (Row.m_OwnRequests == 0)
    // An idle server is not silent: isStalled() measures from here.
    Row.m_SilentSince = Now;
  ++Row.m_OwnRequests;
  Row.m_StartTimes.insert(Now);
  Row.m_ExpectedTimes.insert(Expected);
  Row.m_ExpectedTotal += Expected;
  Row.m_LastSentAt = Now;
  countAgainstRateLimit(Index, Now);
}

void Fleet::updateLoad(ServerIndex Index, int Total, Time At) {
  BackendState &Row = mutableRow(Index);
  if (At < Row.m_LoadUpdatedAt)
    return;
  Row.m_OtherRequests =
      std::max(0.0, static_cast<double>(Total - Row.m_OwnRequests));
  Row.m_LoadUpdatedAt = At;
}

void Fleet::updateSlowdown(ServerIndex Index, int RunTimePercent, Time Now) {
  if (RunTimePercent <= 0)
    return;
  constexpr double Percent = 100;
  BackendState &Row = mutableRow(Index);
  Row.m_Slowdown = RunTimePercent / Percent;
  Row.m_SlowdownAt = Now;
  m_SlowdownPools.insert(Row.m_Info.m_Pool);
}

double Fleet::slowdown(const BackendState &Row, Time Now) const {
  double Age = toMicros(Now - Row.m_SlowdownAt);
  double Weight = std::exp2(-Age / toMicros(m_Limits.m_SlowdownHalfLife));
  return 1 + (Row.m_Slowdown - 1) * Weight;
}

std::optional<int> Fleet::fullQueueLength(int Pool) const {
  auto Length = m_FullQueues.find(Pool);
  if (Length == m_FullQueues.end())
    return std::nullopt;
  return Length->second;
}

void Fleet::applyServerHints(ServerIndex Index, bool Leaving,
                             Duration BackoffFor, Time Now) {
  BackendState &Row = mutableRow(Index);
  if (Leaving && !Row.m_ReportedLeaving && !Row.m_Info.m_Leaving)
    m_PendingEvents[Index] = ServerEvent::Leaving;
  Row.m_ReportedLeaving = Row.m_ReportedLeaving || Leaving;
  if (BackoffFor.count() > 0)
    Row.m_PausedUntil = std::max(
        Row.m_PausedUntil, Now + std::min<Duration>(BackoffFor, MaxPause));
}

BackendState *Fleet::findIncarnation(const std::string &ServerId,
                                     std::uint64_t Incarnation) {
  ServerIndex Index = find(ServerId);
  if (Index == NoServer || row(Index).m_Incarnation != Incarnation)
    return nullptr;
  return &mutableRow(Index);
}

// Only limits are kept of servers that have named one: the answer of a server
// that never has is not recorded.
void Fleet::observeRateLimit(std::uint64_t Incarnation,
                             const std::string &ServerId,
                             std::optional<double> PerSecond, Time HeardAt,
                             RateLimitSource Source, Time Now) {
  if (!PerSecond && !m_RateLimits.contains(Incarnation))
    return;
  KnownRateLimit &Known = m_RateLimits[Incarnation];
  Known.m_ServerId = ServerId;
  Known.m_UsedAt = Now;
  std::optional<double> Before = Known.m_Limit.perSecond();
  if (!Known.m_Limit.observe(PerSecond, HeardAt, Now))
    return;
  Known.m_Limit.setShare(m_HeardShare, Now);
  updateRateRank(Known);
  if (BackendState *Row = findIncarnation(ServerId, Incarnation))
    applyKnownRateLimit(*Row);
  m_RateLimitChanges.push_back(
      {ServerId, Before, Known.m_Limit.perSecond(), Source, Now - HeardAt});
  if (Source != RateLimitSource::Peer)
    markUntold(Known);
}

void Fleet::applyKnownRateLimit(BackendState &Row) const {
  auto Known = m_RateLimits.find(Row.m_Incarnation);
  bool IsKnown = Known != m_RateLimits.end();
  Row.m_RateLimited = IsKnown && Known->second.m_Limit.isLimited();
  Row.m_RateUnusable = IsKnown && Known->second.m_Limit.isUnusable();
}

// A server that all VMs may use again at the same moment has a full bucket,
// from which each of them would send.
void Fleet::dropSavedTokens(const BackendState &Row, Time Now) {
  auto Known = m_RateLimits.find(Row.m_Incarnation);
  if (Known != m_RateLimits.end())
    Known->second.m_Limit.dropSavedTokens(Now);
}

void Fleet::applyRateLimitHint(ServerIndex Index, RateLimitHint Hint,
                               double PerSecond, Time Now) {
  const BackendState &Row = row(Index);
  if (Hint == RateLimitHint::Named)
    observeRateLimit(Row.m_Incarnation, Row.m_Info.m_Id, PerSecond, Now,
                     RateLimitSource::HealthCheck, Now);
  // The servers without requests have no other way to end their limit.
  else if (Hint == RateLimitHint::NotNamed && Row.m_RateUnusable)
    observeRateLimit(Row.m_Incarnation, Row.m_Info.m_Id, std::nullopt, Now,
                     RateLimitSource::HealthCheck, Now);
}

void Fleet::updateRateRank(KnownRateLimit &Known) const {
  ServerIndex Index = find(Known.m_ServerId);
  if (Index == NoServer)
    return;
  Known.m_Limit.setRank(m_RateRankHook ? m_RateRankHook(row(Index).m_Info) : 0,
                        m_PeerCount);
}

void Fleet::forgetUnusedRateLimits(Time Now) {
  for (auto Position = m_RateLimits.begin(); Position != m_RateLimits.end();) {
    KnownRateLimit &Known = Position->second;
    if (findIncarnation(Known.m_ServerId, Position->first) != nullptr)
      Known.m_UsedAt = Now;
    if (Now - Known.m_UsedAt < RateLimitKeptFor) {
      ++Position;
      continue;
    }
    if (Known.m_Limit.isLimited())
      m_RateLimitChanges.push_back({Known.m_ServerId, Known.m_Limit.perSecond(),
                                    std::nullopt, RateLimitSource::Forgotten,
                                    Now - Known.m_Limit.heardAt()});
    m_ForgivenRequests += Known.m_Limit.forgiven();
    Position = m_RateLimits.erase(Position);
  }
}

double Fleet::forgivenRequests() const {
  return std::accumulate(m_RateLimits.begin(), m_RateLimits.end(),
                         m_ForgivenRequests, [](double Sum, const auto &Row) {
                           return Sum + Row.second.m_Limit.forgiven();
                         });
}

void Fleet::markUntold(KnownRateLimit &Known) {
  Known.m_Tells = RateLimitTells;
  m_HasNewRateLimitUpdates = true;
}

void Fleet::countAgainstRateLimit(ServerIndex Index, Time Now) {
  if (!row(Index).m_RateLimited)
    return;
  KnownRateLimit &Known = m_RateLimits.at(row(Index).m_Incarnation);
  Known.m_Limit.recordSent(Now);
  markUntold(Known);
}

void Fleet::applyRateLimitUpdate(std::uint64_t Incarnation, std::uint64_t Peer,
                                 const ServerRateLimitUpdate &Update,
                                 Time Now) {
  observeRateLimit(Incarnation, Update.m_ServerId, Update.m_Update.m_PerSecond,
                   Update.m_Update.m_HeardAt, RateLimitSource::Peer, Now);
  m_RateLimitPeers[Peer] = Now;
  auto Known = m_RateLimits.find(Incarnation);
  if (Known != m_RateLimits.end())
    Known->second.m_Limit.recordPeer(Peer, Update.m_Update.m_Sent, Now);
}

Duration Fleet::rateLimitUpdateInterval(Time Now) {
  std::erase_if(m_RateLimitPeers, [&](const auto &Peer) {
    return Now - Peer.second > RateLimitPeerActiveFor;
  });
  return RateLimitUpdateIntervalPerVm *
         static_cast<std::int64_t>(m_RateLimitPeers.size() + 1);
}

std::map<std::uint64_t, ServerRateLimitUpdate>
Fleet::takeRateLimitUpdates(bool Repeat) {
  std::map<std::uint64_t, ServerRateLimitUpdate> Updates;
  for (auto &[Incarnation, Known] : m_RateLimits) {
    bool IsNew = Known.m_Tells == RateLimitTells;
    if (!IsNew && (!Repeat || Known.m_Tells == 0))
      continue;
    Updates[Incarnation] = {Known.m_ServerId, Known.m_Limit.update()};
    --Known.m_Tells;
  }
  m_HasNewRateLimitUpdates = false;
  return Updates;
}

std::vector<RateLimitChange> Fleet::takeRateLimitChanges() {
  return std::exchange(m_RateLimitChanges, {});
}

const SharedRateLimit *Fleet::rateLimit(ServerIndex Index) const {
  auto Known = m_RateLimits.find(row(Index).m_Incarnation);
  return Known == m_RateLimits.end() ? nullptr : &Known->second.m_Limit;
}

std::size_t Fleet::rateLimitedServers() const {
  return static_cast<std::size_t>(
      std::count_if(m_ById.begin(), m_ById.end(), [&](const auto &Entry) {
        const BackendState &Row = row(Entry.second);
        return Row.m_Listed && Row.m_RateLimited;
      }));
}

bool Fleet::rateAllows(ServerIndex Index, std::size_t PriorityClass, int Ahead,
                       Time Now) const {
  const BackendState &Row = row(Index);
  return !Row.m_RateLimited || m_RateLimits.at(Row.m_Incarnation)
                                   .m_Limit.allows(PriorityClass, Ahead, Now);
}

void Fleet::setHeardShare(double Share, Time Now) {
  if (Share == m_HeardShare)
    return;
  m_HeardShare = Share;
  for (auto &[Incarnation, Known] : m_RateLimits)
    Known.m_Limit.setShare(Share, Now);
}

std::map<ServerIndex, ServerLoad> Fleet::takeHighLoads() {
  return std::exchange(m_HighLoads, {});
}

std::map<ServerIndex, ServerEvent> Fleet::takeServerEvents() {
  return std::exchange(m_PendingEvents, {});
}

void Fleet::applyServerEvent(ServerIndex Index, ServerEvent Event, Time Now) {
  BackendState &Row = mutableRow(Index);
  switch (Event) {
  case ServerEvent::Unreachable:
    if (Row.m_LastResponseAt.count() == 0 ||
        Now - Row.m_LastResponseAt >= m_Limits.m_OwnResponseTrustedFor)
      Row.m_SuspectUntil = Now + m_Limits.m_SuspectFor;
    break;
  case ServerEvent::Back:
    Row.m_SuspectUntil = Time{0};
    break;
  case ServerEvent::Replaced:
    Row.m_Replaced = true;
    break;
  case ServerEvent::Leaving:
    Row.m_ReportedLeaving = true;
    break;
  }
}

// Ejects a server. Shares that with other processes unless most recent attempts
// could not reach their server, as this process itself is then probably
// partitioned.
void Fleet::setUnreachable(ServerIndex Index, Time Now) {
  m_UnreachableRate += UnreachableRateWeight * (1 - m_UnreachableRate);
  recordNoResponse(Index);
  eject(mutableRow(Index), Now);
  if (m_UnreachableRate < MaxUnreachableRate)
    m_PendingEvents[Index] = ServerEvent::Unreachable;
}

void Fleet::recordResponse(BackendState &Row, Time Now) {
  m_UnreachableRate -= UnreachableRateWeight * m_UnreachableRate;
  Row.m_SilentSince = Now;
  Row.m_LastResponseAt = Now;
}

void Fleet::recordNoResponse(ServerIndex Index) {
  m_Unresponsive[row(Index).m_Info.m_Pool].insert(Index);
}

std::size_t Fleet::unresponsiveServers(int Pool) const {
  auto Unresponsive = m_Unresponsive.find(Pool);
  if (Unresponsive == m_Unresponsive.end())
    return 0;
  return static_cast<std::size_t>(
      std::count_if(Unresponsive->second.begin(), Unresponsive->second.end(),
                    [&](ServerIndex Index) { return row(Index).m_Listed; }));
}

bool Fleet::isCutOff(int Pool) const {
  std::size_t Unresponsive = unresponsiveServers(Pool);
  return Unresponsive > 0 &&
         Unresponsive >= std::min(MinUnresponsive, serversInPool(Pool).size());
}

double Fleet::unreachableShare(int Pool, Time Now) const {
  double InService = 0;
  double Unreachable = 0;
  for (ServerIndex Index : serversInPool(Pool)) {
    ExclusionReason Reason = exclusionReason(row(Index), Now);
    if (Reason == ExclusionReason::Leaving ||
        Reason == ExclusionReason::Evacuated ||
        Reason == ExclusionReason::Replaced)
      continue;
    InService += 1;
    if (Reason == ExclusionReason::Unreachable ||
        Reason == ExclusionReason::Stalled)
      Unreachable += 1;
  }
  return InService > 0 ? Unreachable / InService : 0;
}

// Excludes a server whose address now belongs to another server, until it is
// listed with a new start time or address. An address is reassigned only after
// its former server has terminated.
void Fleet::setReplaced(ServerIndex Index) {
  BackendState &Row = mutableRow(Index);
  if (!Row.m_Replaced)
    m_PendingEvents[Index] = ServerEvent::Replaced;
  Row.m_Replaced = true;
}

void Fleet::eject(BackendState &Row, Time Now) const {
  if (Now < Row.m_EjectedUntil)
    return;
  Row.m_NeedsHealthCheck = true;
  Row.m_EjectionTime =
      std::clamp(Row.m_EjectionTime * 2, m_Limits.m_MinEjectionTime,
                 m_Limits.m_MaxEjectionTime);
  Row.m_EjectedUntil = Now + Row.m_EjectionTime;
}

// Applies what a server says of itself in a response.
void Fleet::applyResponse(ServerIndex Index, const AttemptReport &Report,
                          Time StartedAt, Time Now) {
  BackendState &Row = mutableRow(Index);
  bool Ran = Report.m_Outcome == AttemptOutcome::Served ||
             Report.m_Outcome == AttemptOutcome::Failed;
  if (Report.m_HasLoad) {
    // The reported load includes this request if it has run.
    int Total = std::max(0, Report.m_Load.m_Running + Report.m_Load.m_Waiting -
                                (Ran ? 1 : 0));
    updateLoad(Index, Total, Now);
    updateSlowdown(Index, Report.m_Load.m_RunTimePercent, Now);
    updateFullQueue(m_FullQueues, Row, Report, Ran);
    double &Average = m_AverageLoads[Row.m_Group];
    Average +=
        m_Limits.m_AverageLoadWeight *
        (Row.m_OtherRequests / std::max(1, Row.m_Info.m_Slots) - Average);
    if (Total >= Row.m_Info.m_Slots * m_Limits.m_HighLoad)
      m_HighLoads[Index] = {Total, Now};
    else
      m_HighLoads.erase(Index);
  }
  applyServerHints(Index, Report.m_Leaving, Report.m_BackoffFor, Now);
  if (Report.m_RateLimitHint == RateLimitHint::Named)
    observeRateLimit(Row.m_Incarnation, Row.m_Info.m_Id, Report.m_RateLimit,
                     Now, RateLimitSource::Response, Now);
  // A server that refuses a request may leave out its limit, and a response
  // may have left the server before another that names one.
  else if (Report.m_RateLimitHint == RateLimitHint::NotNamed && Ran)
    observeRateLimit(Row.m_Incarnation, Row.m_Info.m_Id, std::nullopt,
                     StartedAt, RateLimitSource::Response, Now);
}

void Fleet::finished(ServerIndex Index, const AttemptReport &Report,
                     Time StartedAt, Time Now) {
  BackendState &Row = mutableRow(Index);
  --Row.m_OwnRequests;
  if (auto Position = Row.m_StartTimes.find(StartedAt);
      Position != Row.m_StartTimes.end())
    Row.m_StartTimes.erase(Position);
  if (auto Position = Row.m_ExpectedTimes.find(Report.m_ExpectedTime);
      Position != Row.m_ExpectedTimes.end()) {
    Row.m_ExpectedTotal -= *Position;
    Row.m_ExpectedTimes.erase(Position);
  }
  if (Report.m_ConnectTime.count() > 0 &&
      Report.m_Outcome != AttemptOutcome::Unreachable) {
    keepMinimum(Row.m_RoundTrip, Report.m_ConnectTime);
    keepMinimum(m_RoundTrips[Row.m_Info.m_Region], Report.m_ConnectTime);
  }
  // A response of another server, or of this one before it restarted, says
  // nothing about it.
  if (Report.m_Outcome != AttemptOutcome::Misdirected &&
      Report.m_Outcome != AttemptOutcome::Abandoned)
    applyResponse(Index, Report, StartedAt, Now);
  double Failure = 0;
  switch (Report.m_Outcome) {
  case AttemptOutcome::Abandoned:
    return;
  case AttemptOutcome::Unreachable:
    setUnreachable(Index, Now);
    return;
  case AttemptOutcome::Silent:
    // A server that has responded since the start of the attempt is only slow.
    if (Row.m_SilentSince <= StartedAt) {
      eject(Row, Now);
      recordNoResponse(Index);
    }
    Failure = 1;
    break;
  case AttemptOutcome::Cut:
    Failure = 1;
    recordResponse(Row, Now);
    break;
  case AttemptOutcome::Failed:
    Failure = 1;
    recordResponse(Row, Now);
    m_Unresponsive.erase(Row.m_Info.m_Pool);
    break;
  case AttemptOutcome::Refused:
    // A refusal by a full or a limited server is legitimate; otherwise it is a
    // failure.
    Failure =
        Row.m_RateLimited || (Report.m_HasLoad &&
                              Report.m_Load.m_Running >= Report.m_Load.m_Slots)
            ? 0
            : 1;
    recordResponse(Row, Now);
    m_Unresponsive.erase(Row.m_Info.m_Pool);
    break;
  case AttemptOutcome::Misdirected:
    setReplaced(Index);
    return;
  case AttemptOutcome::Served:
    recordResponse(Row, Now);
    m_Unresponsive.erase(Row.m_Info.m_Pool);
    Row.m_EjectionTime = Duration{0};
    Row.m_EjectedUntil = Time{0};
    Row.m_NeedsHealthCheck = false;
    Row.m_SuspectUntil = Time{0};
    break;
  }
  Row.m_FailureRate += (Failure - Row.m_FailureRate) / m_Limits.m_FailureWindow;
}

// A late response does not lengthen the ejection. Under overload servers
// respond late, and healthy ones would be ejected for longer and longer when
// their capacity is needed.
void Fleet::recordHealthCheck(ServerIndex Index, HealthCheckResult Check,
                              Duration ColdLeft, Time Now) {
  BackendState &Row = mutableRow(Index);
  Row.m_EjectedUntil = Time{0};
  if (Check == HealthCheckResult::Replaced) {
    setReplaced(Index);
    return;
  }
  if (Check == HealthCheckResult::Bad) {
    setUnreachable(Index, Now);
    return;
  }
  if (Check == HealthCheckResult::Late) {
    Row.m_EjectionTime = Duration{0};
    eject(Row, Now);
    recordNoResponse(Index);
    return;
  }
  if (Row.m_NeedsHealthCheck)
    m_PendingEvents[Index] = ServerEvent::Back;
  recordResponse(Row, Now);
  m_Unresponsive.erase(Row.m_Info.m_Pool);
  Row.m_EjectionTime = Duration{0};
  Row.m_NeedsHealthCheck = false;
  Row.m_SuspectUntil = Time{0};
  if (ColdLeft.count() > 0)
    Row.m_ColdUntil = std::max(Row.m_ColdUntil, Now + ColdLeft);
}

bool Fleet::isStalled(const BackendState &Row, Time Now) const {
  if (Row.m_StartTimes.empty())
    return false;
  Duration Silence =
      Now - std::max(Row.m_SilentSince, *Row.m_StartTimes.begin());
  if (Silence < m_Limits.m_StallAfter)
    return false;
  // With Count requests running, responses are expected at intervals of
  // Mean / Count.
  auto Count = static_cast<double>(Row.m_ExpectedTimes.size());
  double Mean = toMicros(Row.m_ExpectedTotal) / Count;
  double Longest = toMicros(*Row.m_ExpectedTimes.rbegin());
  return toMicros(Silence) > Mean / Count * m_Limits.m_StallIntervals &&
         toMicros(Silence) > Longest * m_Limits.m_StallLongestRatio;
}

ExclusionReason Fleet::exclusionReason(const BackendState &Row,
                                       Time Now) const {
  if (!Row.m_Listed)
    return ExclusionReason::NotListed;
  if (Row.m_Info.m_Leaving || Row.m_ReportedLeaving)
    return ExclusionReason::Leaving;
  if (Row.m_Evacuated)
    return ExclusionReason::Evacuated;
  if (Row.m_Replaced)
    return ExclusionReason::Replaced;
  if (Now < Row.m_PausedUntil)
    return ExclusionReason::Paused;
  if (Row.m_RateUnusable)
    return ExclusionReason::RateLimited;
  if (Row.m_NeedsHealthCheck)
    return ExclusionReason::Unreachable;
  if (Now < Row.m_SuspectUntil)
    return ExclusionReason::Suspect;
  if (isStalled(Row, Now))
    return ExclusionReason::Stalled;
  // A failing server gets one trial request at a time.
  if (Row.m_FailureRate > m_Limits.m_MaxFailureRate &&
      (Row.m_OwnRequests > 0 ||
       Now - Row.m_LastSentAt < m_Limits.m_TrialInterval))
    return ExclusionReason::Failing;
  return ExclusionReason::None;
}

// As the last report ages, the estimate of other processes' requests moves from
// it to the average load of the servers in the same pool and region.
double Fleet::load(const BackendState &Row, Time Now) const {
  double Age = toMicros(Now - Row.m_LoadUpdatedAt);
  double Weight = std::exp2(-Age / toMicros(m_Limits.m_LoadHalfLife));
  double Average = 0;
  if (Row.m_Group < m_AverageLoads.size())
    Average = std::min(m_AverageLoads[Row.m_Group], m_Limits.m_MaxAverageLoad) *
              Row.m_Info.m_Slots;
  return Row.m_OwnRequests + Average + (Row.m_OtherRequests - Average) * Weight;
}

std::vector<ServerIndex> Fleet::dueHealthChecks(Time Now) const {
  std::vector<ServerIndex> DueServers;
  for (const auto &[Id, Index] : m_ById) {
    const BackendState &Row = row(Index);
    ExclusionReason Reason = exclusionReason(Row, Now);
    if (Reason == ExclusionReason::RateLimited) {
      if (rateLimit(Index)->allowsTrial(Now))
        DueServers.push_back(Index);
      continue;
    }
    if (!rateAllows(Index, LowestPriorityClass, 0, Now))
      continue;
    auto Unresponsive = m_Unresponsive.find(Row.m_Info.m_Pool);
    bool ShowsCut = Reason == ExclusionReason::None &&
                    Unresponsive != m_Unresponsive.end() &&
                    Unresponsive->second.contains(Index) &&
                    isCutOff(Row.m_Info.m_Pool);
    if (Reason == ExclusionReason::Stalled || ShowsCut ||
        (Reason == ExclusionReason::Unreachable && Now >= Row.m_EjectedUntil))
      DueServers.push_back(Index);
  }
  return DueServers;
}

Duration Fleet::earliestResume(int Pool, Time Now) const {
  Duration Earliest{0};
  for (ServerIndex Index : serversInPool(Pool)) {
    const BackendState &Row = row(Index);
    if (exclusionReason(Row, Now) != ExclusionReason::Paused)
      continue;
    Duration Remaining = Row.m_PausedUntil - Now;
    Earliest =
        Earliest.count() == 0 ? Remaining : std::min(Earliest, Remaining);
  }
  return Earliest;
}

Duration Fleet::roundTrip(const BackendState &Row) const {
  if (Row.m_RoundTrip.count() > 0 || !m_Limits.m_RoundTripsByRegion)
    return Row.m_RoundTrip;
  auto RegionMinimum = m_RoundTrips.find(Row.m_Info.m_Region);
  return RegionMinimum == m_RoundTrips.end() ? Duration{0}
                                             : RegionMinimum->second;
}

void Fleet::restoreRoundTrip(const std::string &Region, Duration RoundTrip) {
  if (RoundTrip.count() > 0)
    keepMinimum(m_RoundTrips[Region], RoundTrip);
}

const std::vector<ServerIndex> &Fleet::serversInPool(int Pool) const {
  static const std::vector<ServerIndex> None;
  auto Index = static_cast<std::size_t>(Pool);
  return Index < m_Pools.size() ? m_Pools[Index] : None;
}

} // namespace rhubarb
