#include "rhubarb/Quota.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace rhubarb {
namespace {

constexpr double MicrosPerSecond = 1e6;
// Largest number of tokens in one ask; more are asked for in turn.
constexpr int MaxTokensPerAsk = 10'000;
// An organisation with fewer recent asks than this is not in demand.
constexpr double MinDemand = 0.05;

double seconds(Duration Value) {
  return static_cast<double>(Value.count()) / MicrosPerSecond;
}

Duration fromSeconds(double Value) {
  return Duration(static_cast<std::int64_t>(Value * MicrosPerSecond));
}

constexpr std::array<std::string_view, 3> StartNames{"first", "returned",
                                                     "added"};

// Returns the VMs that are not silent for longer than a time.
std::vector<std::string> vmsHeardWithin(const std::vector<QuotaVm> &Vms,
                                        Duration MaxSilence) {
  std::vector<std::string> Names;
  for (const QuotaVm &Vm : Vms)
    if (Vm.m_SilentFor < MaxSilence)
      Names.push_back(Vm.m_Vm);
  return Names;
}

// Whether this VM has always heard at least half of the VMs of its region that
// were left. A cut makes many silent together; those that end later are not
// taken for the cause, nor does a long silence turn a minority into all.
bool hasHeardHalf(const std::vector<QuotaVm> &Vms,
                  const QuotaHolderRules &Rules) {
  std::size_t Heard = 0;
  std::vector<Duration> Silent;
  for (const QuotaVm &Vm : Vms)
    if (Vm.m_IsHeard && Vm.m_SilentFor < Rules.m_IsolationTimeout)
      ++Heard;
    else
      Silent.push_back(Vm.m_SilentFor);
  std::sort(Silent.begin(), Silent.end());
  for (std::size_t First = 0; First < Silent.size();) {
    std::size_t End = First + 1;
    while (End < Silent.size() &&
           Silent[End] - Silent[End - 1] < Rules.m_IsolationTimeout)
      ++End;
    // Those that fell silent later were still heard then.
    if (End - First > Heard + First)
      return false;
    First = End;
  }
  return true;
}

} // namespace

std::string_view quotaStartName(QuotaStart Value) {
  return StartNames[static_cast<std::size_t>(Value)];
}

std::vector<std::string> quotaCandidates(const std::vector<QuotaVm> &Vms,
                                         const QuotaHolderRules &Rules) {
  return vmsHeardWithin(Vms, Rules.m_SilentTimeout);
}

std::string chooseQuotaHolder(OrganisationHash Organisation,
                              const std::vector<std::string> &Candidates) {
  std::string Holder;
  std::uint64_t Highest = 0;
  for (const std::string &Vm : Candidates) {
    std::uint64_t Rank = stableHash(Vm, Organisation);
    if (Holder.empty() || Rank > Highest || (Rank == Highest && Vm < Holder)) {
      Holder = Vm;
      Highest = Rank;
    }
  }
  return Holder;
}

QuotaActing quotaActing(const std::vector<QuotaVm> &Vms, Duration OwnAge,
                        QuotaStart Start, Duration SinceIsolated,
                        const QuotaHolderRules &Rules) {
  QuotaActing Acting;
  Acting.m_Rivals =
      vmsHeardWithin(Vms, Rules.m_SilentTimeout + Rules.m_SuccessionDelay);
  Duration MinAge{0};
  if (Start == QuotaStart::First)
    MinAge = Rules.m_FirstActingAge;
  if (Start == QuotaStart::Added)
    MinAge = Rules.m_AddedActingAge;
  bool HeardHalf = hasHeardHalf(Vms, Rules);
  // A process that has not acted yet need not rejoin.
  bool HeardAny = std::any_of(Vms.begin(), Vms.end(),
                              [](const QuotaVm &Vm) { return Vm.m_IsHeard; });
  Acting.m_IsIsolated =
      !HeardHalf && HeardAny && OwnAge >= Rules.m_IsolationTimeout;
  Acting.m_MayAct =
      HeardHalf && OwnAge >= MinAge && SinceIsolated >= Rules.m_RejoinDelay;
  return Acting;
}

// --- Holder

void QuotaHolder::configure(const std::vector<QuotaRate> &Rates,
                            std::size_t Regions, double Slack, Time Now) {
  auto Parts = static_cast<double>(std::max<std::size_t>(1, Regions));
  for (auto &[Organisation, Row] : m_Buckets)
    if (auto Old = m_Shares.find(Organisation); Old != m_Shares.end())
      refill(Row, Old->second, Now); // Up to now the old rate holds.
  m_Shares.clear();
  for (const QuotaRate &Rate : Rates)
    if (Rate.m_PerSecond > 0)
      m_Shares[Rate.m_Organisation] = {
          Rate.m_PerSecond / Parts,
          std::max(1.0,
                   (Rate.m_Burst + Slack * m_Limits.m_SlackShare) / Parts)};
  std::erase_if(m_Buckets, [&](const auto &Entry) {
    return !m_Shares.contains(Entry.first);
  });
  for (auto &[Organisation, Row] : m_Buckets) {
    Row.m_Tokens = std::min(Row.m_Tokens, m_Shares[Organisation].m_Size);
    Row.m_ServedUntil = Now;
  }
}

void QuotaHolder::setActing(OrganisationHash Organisation, bool Acting,
                            Time Now) {
  if (!Acting || !m_Shares.contains(Organisation))
    m_Buckets.erase(Organisation);
  else
    m_Buckets.try_emplace(Organisation,
                          Bucket{0, Now, Now, 0, Now, 0, {}, {}, Now});
}

void QuotaHolder::refill(Bucket &Row, const Share &Of, Time Now) const {
  if (Now <= Row.m_RefilledAt)
    return;
  Row.m_Tokens =
      std::min(Of.m_Size,
               Row.m_Tokens + Of.m_PerSecond * seconds(Now - Row.m_RefilledAt));
  Row.m_RefilledAt = Now;
}

QuotaGrantRow QuotaHolder::answer(const QuotaAskRow &Ask, Time Now,
                                  std::uint64_t Asker, std::uint64_t Sequence) {
  auto Found = m_Buckets.find(Ask.m_Organisation);
  if (Found == m_Buckets.end())
    return {Ask.m_Organisation, 0, false};
  Bucket &Row = Found->second;
  const Share &Of = m_Shares.at(Ask.m_Organisation);
  if (Sequence == 0)
    return take(Row, Of, Ask, Now);
  if (Now - Row.m_AnswersEvictedAt >= m_Limits.m_TokenLifetime) {
    std::erase_if(Row.m_Answers, [&](const auto &Entry) {
      return Now - Entry.second.m_At >= m_Limits.m_TokenLifetime;
    });
    Row.m_AnswersEvictedAt = Now;
  }
  Answered &Last = Row.m_Answers[Asker];
  if (Last.m_Sequence == Sequence && Now - Last.m_At < m_Limits.m_TokenLifetime)
    return Last.m_Grant;
  Last = {Sequence, Now, take(Row, Of, Ask, Now)};
  return Last.m_Grant;
}

QuotaGrantRow QuotaHolder::take(Bucket &Row, const Share &Of,
                                const QuotaAskRow &Ask, Time Now) const {
  QuotaGrantRow Grant;
  Grant.m_Organisation = Ask.m_Organisation;
  refill(Row, Of, Now);
  int Wanted = std::clamp(Ask.m_Tokens, 0, MaxTokensPerAsk);
  Row.m_Demand = decayed(Row.m_Demand, Now - Row.m_DemandAt) + Wanted;
  Row.m_DemandAt = Now;
  Grant.m_Tokens = std::min(Wanted, static_cast<int>(Row.m_Tokens));
  Row.m_Tokens -= Grant.m_Tokens;
  int Missing = Wanted - Grant.m_Tokens;
  if (Missing == 0)
    return Grant;
  // Those that were refused before are expected to come back first.
  Duration FirstToken = fromSeconds((1 - Row.m_Tokens) / Of.m_PerSecond);
  Grant.m_RetryAfter = std::max<Duration>(FirstToken, Row.m_ServedUntil - Now);
  Row.m_ServedUntil = std::min<Time>(Now + m_Limits.m_MaxRetryAfter,
                                     std::max(Now, Row.m_ServedUntil) +
                                         fromSeconds(Missing / Of.m_PerSecond));
  return Grant;
}

double QuotaHolder::wantedStock(const Bucket &Row, const Share &Of,
                                Time Now) const {
  double PerSecond = decayed(Row.m_Demand, Now - Row.m_DemandAt) /
                     seconds(m_Limits.m_DemandDecay);
  return std::min(Of.m_Size, m_Limits.m_MinStock +
                                 PerSecond * seconds(m_Limits.m_StockFor));
}

double QuotaHolder::decayed(double Demand, Duration Age) const {
  return Demand * std::exp(-seconds(Age) / seconds(m_Limits.m_DemandDecay));
}

std::vector<QuotaAskRow> QuotaHolder::takeTransferAsks(std::uint64_t Sequence,
                                                       Time Now) {
  std::vector<QuotaAskRow> Rows;
  for (auto &[Organisation, Row] : m_Buckets) {
    const Share &Of = m_Shares.at(Organisation);
    refill(Row, Of, Now);
    // Without demand the tokens of this region are enough.
    bool InDemand = decayed(Row.m_Demand, Now - Row.m_DemandAt) > MinDemand;
    int Missing =
        static_cast<int>(std::floor(wantedStock(Row, Of, Now) - Row.m_Tokens));
    if (!InDemand || Missing < 1)
      continue;
    Row.m_TransferSequence = Sequence;
    Row.m_Answered.clear();
    Rows.push_back({Organisation, std::min(Missing, MaxTokensPerAsk)});
  }
  return Rows;
}

QuotaGrantRow QuotaHolder::transfer(const QuotaAskRow &Ask, Time Now) {
  QuotaGrantRow Grant;
  Grant.m_Organisation = Ask.m_Organisation;
  auto Found = m_Buckets.find(Ask.m_Organisation);
  Grant.m_IsHolder = Found != m_Buckets.end();
  if (!Grant.m_IsHolder)
    return Grant;
  Bucket &Row = Found->second;
  const Share &Of = m_Shares.at(Ask.m_Organisation);
  refill(Row, Of, Now);
  bool InDemand = decayed(Row.m_Demand, Now - Row.m_DemandAt) > MinDemand;
  double Kept = InDemand ? wantedStock(Row, Of, Now) : 0;
  int Spare = static_cast<int>(std::max(0.0, Row.m_Tokens - Kept));
  Grant.m_Tokens = std::clamp(Ask.m_Tokens, 0, Spare);
  Row.m_Tokens -= Grant.m_Tokens;
  return Grant;
}

void QuotaHolder::receiveTransfer(std::size_t Region, std::uint64_t Sequence,
                                  const QuotaGrantRow &Grant, Time Now) {
  auto Found = m_Buckets.find(Grant.m_Organisation);
  if (Found == m_Buckets.end() || Sequence == 0 ||
      Found->second.m_TransferSequence != Sequence ||
      !Found->second.m_Answered.insert(Region).second)
    return;
  Bucket &Row = Found->second;
  const Share &Of = m_Shares.at(Grant.m_Organisation);
  refill(Row, Of, Now);
  int Tokens = std::clamp(Grant.m_Tokens, 0, MaxTokensPerAsk);
  Row.m_Tokens = std::min(Of.m_Size, Row.m_Tokens + Tokens);
}

// --- Client

void QuotaClient::configure(const std::vector<QuotaRate> &Rates,
                            std::size_t Regions) {
  m_Regions = std::max<std::size_t>(1, Regions);
  std::unordered_map<OrganisationHash, Row> Next;
  for (const QuotaRate &Rate : Rates) {
    if (Rate.m_PerSecond <= 0)
      continue;
    auto Known = m_Rows.find(Rate.m_Organisation);
    Row &Of = Next[Rate.m_Organisation];
    if (Known != m_Rows.end())
      Of = std::move(Known->second);
    Of.m_Holders.resize(m_Regions);
  }
  // Requests of organisations without a quota need no token any more.
  for (auto &[Organisation, Of] : m_Rows)
    if (!Next.contains(Organisation) && !Of.m_Waiting.empty())
      Next[Organisation].m_Waiting = std::move(Of.m_Waiting);
  m_Rows = std::move(Next);
}

void QuotaClient::recordArrival(Row &Of, Time Now) const {
  Of.m_Demand *=
      std::exp(-seconds(Now - Of.m_DemandAt) / seconds(m_Limits.m_DemandDecay));
  Of.m_Demand += 1;
  Of.m_DemandAt = Now;
}

double QuotaClient::demandPerSecond(const Row &Of, Time Now) const {
  double Decay = seconds(m_Limits.m_DemandDecay);
  return Of.m_Demand * std::exp(-seconds(Now - Of.m_DemandAt) / Decay) / Decay;
}

// Returns the number of tokens that remain.
int QuotaClient::dropExpired(Row &Of, Time Now) const {
  while (!Of.m_Stock.empty() && Of.m_Stock.front().m_ExpiresAt <= Now) {
    Of.m_Counts.m_Expired +=
        static_cast<std::uint64_t>(Of.m_Stock.front().m_Tokens);
    Of.m_Stock.pop_front();
  }
  int Left = 0;
  for (const Stock &Tokens : Of.m_Stock)
    Left += Tokens.m_Tokens;
  return Left;
}

// Returns when the token that was taken expires.
std::optional<Time> QuotaClient::takeToken(Row &Of, Time Now) const {
  if (dropExpired(Of, Now) == 0)
    return std::nullopt;
  Stock &First = Of.m_Stock.front();
  Time ExpiresAt = First.m_ExpiresAt;
  if (--First.m_Tokens == 0)
    Of.m_Stock.pop_front();
  return ExpiresAt;
}

// Returns how many tokens to ask for: those of requests that wait, and of the
// requests expected soon.
int QuotaClient::missingTokens(Row &Of, Time Now) const {
  double Ahead = demandPerSecond(Of, Now) * seconds(m_Limits.m_AskAhead);
  // While tokens are short, those asked for ahead would often expire here as
  // others wait for them.
  for (const HolderState &Holder : Of.m_Holders)
    if (Now < Holder.m_EmptyUntil)
      Ahead = 0;
  int Wanted = static_cast<int>(Of.m_Waiting.size()) +
               static_cast<int>(std::floor(Ahead));
  int Coming = 0;
  for (const HolderState &Holder : Of.m_Holders)
    Coming += Holder.m_Asked.m_Sequence != 0 ? Holder.m_Asked.m_Tokens : 0;
  return std::min(Wanted - dropExpired(Of, Now) - Coming, MaxTokensPerAsk);
}

Duration QuotaClient::answerTimeout(std::size_t Region) const {
  return Region == 0 ? m_Limits.m_AnswerTimeout
                     : m_Limits.m_RemoteAnswerTimeout;
}

void QuotaClient::expireAsks(Row &Of, Time Now) const {
  for (std::size_t Region = 0; Region < Of.m_Holders.size(); ++Region) {
    HolderState &Holder = Of.m_Holders[Region];
    if (Holder.m_Asked.m_Sequence == 0 ||
        Now - Holder.m_Asked.m_At < answerTimeout(Region))
      continue;
    Holder.m_Late = std::exchange(Holder.m_Asked, {});
    Holder.m_Late.m_RepeatDue = true;
    Holder.m_SilentUntil = Now + m_Limits.m_SilentFor;
  }
}

std::optional<std::size_t> QuotaClient::nextRegion(const Row &Of,
                                                   Time Now) const {
  for (std::size_t Region = 0; Region < Of.m_Holders.size(); ++Region) {
    const HolderState &Holder = Of.m_Holders[Region];
    if (Now < Holder.m_EmptyUntil || Now < Holder.m_SilentUntil)
      continue;
    // A nearer holder that may yet answer comes before those behind it.
    if (Holder.m_Asked.m_Sequence != 0)
      return std::nullopt;
    return Region;
  }
  return std::nullopt;
}

bool QuotaClient::isExhausted(const Row &Of, Time Now) const {
  for (std::size_t Region = 0; Region < Of.m_Holders.size(); ++Region) {
    const HolderState &Holder = Of.m_Holders[Region];
    // A repeated ask takes as long again to be answered.
    bool IsRepeated = Holder.m_Late.m_Sequence != 0 &&
                      Now - Holder.m_Late.m_At < 2 * answerTimeout(Region);
    if (IsRepeated || Holder.m_Asked.m_Sequence != 0 ||
        (Now >= Holder.m_EmptyUntil && Now >= Holder.m_SilentUntil))
      return false;
  }
  return true;
}

// If any holder was without tokens of late the quota is used up. Otherwise no
// holder could be reached.
QuotaDecision QuotaClient::refuse(Row &Of, Time Now) {
  bool AnyEmpty = false;
  Duration Shortest = m_Limits.m_MaxRetryAfter;
  for (const HolderState &Holder : Of.m_Holders) {
    if (Holder.m_SaidEmptyAt.count() == 0 ||
        Now - Holder.m_SaidEmptyAt >= m_Limits.m_SilentFor)
      continue;
    AnyEmpty = true;
    Shortest = std::min(Shortest, Holder.m_RetryAfter);
  }
  ++Of.m_Counts.m_Refused;
  QuotaDecision Refused;
  Refused.m_Action = QuotaAction::Refuse;
  Refused.m_Error =
      AnyEmpty ? ErrorKind::QuotaExceeded : ErrorKind::QuotaUnavailable;
  if (!AnyEmpty)
    Shortest = m_Limits.m_SilentFor;
  Refused.m_RetryAfter =
      std::max(m_Limits.m_MinRetryAfter,
               fromSeconds(seconds(Shortest) * (1 + m_Random.uniform())));
  return Refused;
}

QuotaDecision QuotaClient::submit(OrganisationHash Organisation, RequestId Id,
                                  Time WaitUntil, Time Now) {
  auto Found = m_Rows.find(Organisation);
  if (Found == m_Rows.end() || Found->second.m_Holders.empty())
    return {};
  Row &Of = Found->second;
  recordArrival(Of, Now);
  QuotaDecision Decision;
  // Requests that have waited longer come first.
  if (Of.m_Waiting.empty())
    if (auto ExpiresAt = takeToken(Of, Now)) {
      ++Of.m_Counts.m_Admitted;
      Decision.m_TokenExpiresAt = *ExpiresAt;
      return Decision;
    }
  expireAsks(Of, Now);
  if (isExhausted(Of, Now) || WaitUntil <= Now ||
      Of.m_Waiting.size() >= m_Limits.m_MaxWaiting)
    return refuse(Of, Now);
  Of.m_Waiting.push_back({Id, std::min(WaitUntil, Now + m_Limits.m_MaxWait)});
  m_WaitingIds[Id] = Organisation;
  Decision.m_Action = QuotaAction::Wait;
  return Decision;
}

bool QuotaClient::takeToken(OrganisationHash Organisation, Time Now) {
  auto Found = m_Rows.find(Organisation);
  if (Found == m_Rows.end() || Found->second.m_Holders.empty())
    return true;
  Row &Of = Found->second;
  recordArrival(Of, Now);
  if (!Of.m_Waiting.empty() || !takeToken(Of, Now))
    return false;
  ++Of.m_Counts.m_Admitted;
  return true;
}

std::vector<OrganisationHash> QuotaClient::waitingOrganisations() const {
  std::vector<OrganisationHash> Organisations;
  Organisations.reserve(m_WaitingIds.size());
  for (const auto &[Id, Organisation] : m_WaitingIds)
    Organisations.push_back(Organisation);
  std::sort(Organisations.begin(), Organisations.end());
  Organisations.erase(std::unique(Organisations.begin(), Organisations.end()),
                      Organisations.end());
  return Organisations;
}

std::vector<QuotaWaitEnd> QuotaClient::process(Time Now) {
  std::vector<QuotaWaitEnd> Ends;
  for (OrganisationHash Organisation : waitingOrganisations()) {
    Row &Of = m_Rows[Organisation];
    bool Limited = !Of.m_Holders.empty();
    expireAsks(Of, Now);
    while (!Of.m_Waiting.empty()) {
      const Waiter First = Of.m_Waiting.front();
      QuotaDecision Decision;
      std::optional<Time> ExpiresAt = Limited ? takeToken(Of, Now) : Time{0};
      if (ExpiresAt) {
        Decision.m_TokenExpiresAt = *ExpiresAt;
        ++Of.m_Counts.m_Admitted;
      } else {
        if (!isExhausted(Of, Now) && Now < First.m_Until)
          break;
        Decision = refuse(Of, Now);
      }
      m_WaitingIds.erase(First.m_Id);
      Of.m_Waiting.pop_front();
      Ends.push_back({First.m_Id, Decision});
    }
    // Those behind the first may have shorter limits.
    std::erase_if(Of.m_Waiting, [&](const Waiter &Each) {
      if (Now < Each.m_Until)
        return false;
      m_WaitingIds.erase(Each.m_Id);
      Ends.push_back({Each.m_Id, refuse(Of, Now)});
      return true;
    });
    if (!Limited)
      m_Rows.erase(Organisation);
  }
  return Ends;
}

void QuotaClient::cancel(RequestId Id) {
  auto Waiting = m_WaitingIds.find(Id);
  if (Waiting == m_WaitingIds.end())
    return;
  std::erase_if(m_Rows[Waiting->second].m_Waiting,
                [&](const Waiter &Each) { return Each.m_Id == Id; });
  m_WaitingIds.erase(Waiting);
}

void QuotaClient::giveBack(OrganisationHash Organisation, Time TokenExpiresAt,
                           Time Now) {
  auto Found = m_Rows.find(Organisation);
  if (Found == m_Rows.end() || TokenExpiresAt <= Now)
    return;
  addTokens(Found->second, {1, TokenExpiresAt});
}

// Keeps the stock in the order of expiry: answers may overtake each other.
void QuotaClient::addTokens(Row &Of, Stock Tokens) {
  auto Position = std::find_if(
      Of.m_Stock.begin(), Of.m_Stock.end(),
      [&](const Stock &Each) { return Each.m_ExpiresAt > Tokens.m_ExpiresAt; });
  Of.m_Stock.insert(Position, Tokens);
}

std::vector<QuotaAsk> QuotaClient::takeAsks(Time Now) {
  bool MayAskAhead = Now - m_AskedAt >= m_Limits.m_MinAskInterval;
  std::map<std::size_t, QuotaAsk> ByRegion;
  std::map<std::pair<std::uint64_t, std::size_t>, QuotaAsk> Repeated;
  auto AskFor = [&](OrganisationHash Organisation, Row &Of) {
    expireAsks(Of, Now);
    for (std::size_t I = 0; I < Of.m_Holders.size(); ++I)
      for (HolderState::Asked *Last :
           {&Of.m_Holders[I].m_Late, &Of.m_Holders[I].m_Asked}) {
        // In the own region a repeated ask is answered within the timeout.
        bool Due = Last->m_RepeatDue &&
                   (I > 0 || Now - Last->m_At >= answerTimeout(I) / 2);
        if (!Due || Last->m_Sequence == 0)
          continue;
        Last->m_RepeatDue = false;
        QuotaAsk &Ask = Repeated[{Last->m_Sequence, I}];
        Ask.m_Region = I;
        Ask.m_Sequence = Last->m_Sequence;
        Ask.m_Rows.push_back({Organisation, Last->m_Tokens});
      }
    int Missing = missingTokens(Of, Now);
    std::optional<std::size_t> Region = nextRegion(Of, Now);
    if (Missing <= 0 || !Region)
      return;
    QuotaAsk &Ask = ByRegion[*Region];
    Ask.m_Region = *Region;
    Ask.m_Rows.push_back({Organisation, Missing});
    Of.m_Holders[*Region].m_Asked = {0, Now, Missing, *Region == 0};
    Of.m_Counts.m_Asked += static_cast<std::uint64_t>(Missing);
  };
  if (MayAskAhead) {
    m_AskedAt = Now;
    for (auto &[Organisation, Of] : m_Rows)
      AskFor(Organisation, Of);
  } else {
    // Called for each request, so only the rows that wait are visited.
    for (OrganisationHash Organisation : waitingOrganisations())
      AskFor(Organisation, m_Rows[Organisation]);
  }
  // A holder may still remember answers to the process before this one, so that
  // processes begin with different numbers.
  if (m_Sequence == 0)
    m_Sequence =
        static_cast<std::uint64_t>(std::max<Time>(Now, Time{0}).count());
  std::vector<QuotaAsk> Asks;
  Asks.reserve(Repeated.size() + ByRegion.size());
  for (auto &[Key, Ask] : Repeated)
    Asks.push_back(std::move(Ask));
  for (auto &[Region, Ask] : ByRegion) {
    Ask.m_Sequence = ++m_Sequence;
    for (const QuotaAskRow &Each : Ask.m_Rows)
      m_Rows[Each.m_Organisation].m_Holders[Region].m_Asked.m_Sequence =
          Ask.m_Sequence;
    Asks.push_back(std::move(Ask));
  }
  return Asks;
}

void QuotaClient::applyGrant(std::size_t Region, std::uint64_t Sequence,
                             const std::vector<QuotaGrantRow> &Rows, Time Now) {
  for (const QuotaGrantRow &Grant : Rows) {
    auto Found = m_Rows.find(Grant.m_Organisation);
    if (Found == m_Rows.end() || Region >= Found->second.m_Holders.size())
      continue;
    Row &Of = Found->second;
    HolderState &Holder = Of.m_Holders[Region];
    bool IsLate = Holder.m_Late.m_Sequence == Sequence;
    if (Sequence == 0 || (!IsLate && Holder.m_Asked.m_Sequence != Sequence))
      continue;
    HolderState::Asked Asked =
        std::exchange(IsLate ? Holder.m_Late : Holder.m_Asked, {});
    if (!Grant.m_IsHolder) {
      Holder.m_SilentUntil = Now + m_Limits.m_SilentFor;
      continue;
    }
    Holder.m_SilentUntil = Time{0};
    int Tokens = std::clamp(Grant.m_Tokens, 0, Asked.m_Tokens);
    Of.m_Counts.m_Granted += static_cast<std::uint64_t>(Tokens);
    if (Tokens > 0)
      addTokens(Of, {Tokens, Asked.m_At + m_Limits.m_TokenLifetime});
    if (Tokens < Asked.m_Tokens) {
      Holder.m_RetryAfter = Grant.m_RetryAfter;
      Holder.m_SaidEmptyAt = Now;
      Holder.m_EmptyUntil = Now + std::clamp(Grant.m_RetryAfter, Duration(1ms),
                                             Duration(m_Limits.m_MaxEmptyFor));
    }
  }
}

std::map<OrganisationHash, QuotaCounts> QuotaClient::takeCounts() {
  std::map<OrganisationHash, QuotaCounts> Counts;
  for (auto &[Organisation, Of] : m_Rows)
    Counts[Organisation] = std::exchange(Of.m_Counts, {});
  return Counts;
}

} // namespace rhubarb
