// Quotas of organisations: tokens for requests, and this VM's part in handing
// them out.
#include "Node.h"

#include "net/Clock.h"
#include "net/Log.h"
#include "net/QuotaMessages.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace rhubarb::node {
namespace {

// A request waits for a token for at most this part of its latency objective.
constexpr int QuotaWaitDivisor = 2;
// Organisations that metrics tell apart: those with the highest rates.
constexpr std::size_t MaxQuotaLabels = 50;
constexpr const char *OtherLabel = "other";

} // namespace

void Node::configureQuotas() {
  std::vector<const Organisation *> Limited;
  std::vector<QuotaRate> Rates;
  for (const Organisation &Row : m_Organisations.rows()) {
    if (Row.m_RatePerSecond <= 0)
      continue;
    Limited.push_back(&Row);
    Rates.push_back({stableHash(Row.m_Name), Row.m_RatePerSecond, Row.m_Burst});
  }
  std::sort(Limited.begin(), Limited.end(),
            [](const Organisation *A, const Organisation *B) {
              return A->m_RatePerSecond > B->m_RatePerSecond;
            });
  m_QuotaLabels.clear();
  for (std::size_t I = 0; I < Limited.size(); ++I)
    m_QuotaLabels[stableHash(Limited[I]->m_Name)] =
        I < MaxQuotaLabels ? Limited[I]->m_Name : OtherLabel;
  std::set<std::string> Regions;
  for (const auto &[Domain, Region] : m_Settings.m_RegionOf)
    if (!Region.empty()) // A listed server's domain may be unknown here.
      Regions.insert(Region);
  Regions.erase(m_Settings.m_Region);
  m_QuotaRegions = {m_Settings.m_Region};
  m_QuotaRegions.insert(m_QuotaRegions.end(), Regions.begin(), Regions.end());
  // Nearest first, as far as round trips are known.
  auto RoundTrip = [&](const std::string &Region) {
    const auto &Known = m_Dispatcher.fleet().roundTrips();
    auto Row = Known.find(Region);
    return Row == Known.end() ? Duration::max() : Row->second;
  };
  std::stable_sort(m_QuotaRegions.begin() + 1, m_QuotaRegions.end(),
                   [&](const std::string &A, const std::string &B) {
                     return RoundTrip(A) < RoundTrip(B);
                   });
  m_QuotaClient.configure(Rates, m_QuotaRegions.size());
  m_QuotaHolder.configure(Rates, m_QuotaRegions.size(), m_Settings.m_QuotaSlack,
                          now());
  m_QuotaCandidates.clear();
  updateQuotaHolders();
  processQuotaWaits();
}

// Returns the VMs of a region other than this one.
std::vector<QuotaVm> Node::quotaVms(const std::string &Region) const {
  std::vector<QuotaVm> Vms;
  for (const MemberRow &Row : m_Members.rows()) {
    if (Row.m_Report.m_Vm == m_Settings.m_Ip || regionOf(Row) != Region)
      continue;
    QuotaVm Vm;
    Vm.m_Vm = Row.m_Report.m_Vm;
    // Before the first heartbeat the time counts from the start of this
    // process.
    Vm.m_IsHeard = Row.m_LastHeard.count() > 0;
    Vm.m_SilentFor = now() - std::max(Row.m_LastHeard, m_StartedAt);
    Vms.push_back(std::move(Vm));
  }
  return Vms;
}

void Node::updateQuotaHolders() {
  if (m_QuotaLabels.empty()) {
    m_QuotaHolders.clear();
    return;
  }
  Duration OwnAge = now() - m_StartedAt;
  std::vector<QuotaVm> Near = quotaVms(m_Settings.m_Region);
  QuotaActing Acting =
      quotaActing(Near, OwnAge, m_QuotaStart, now() - m_QuotaIsolatedAt);
  if (Acting.m_IsIsolated)
    m_QuotaIsolatedAt = now();
  // Without the list of VMs this one may take itself for the only one.
  Acting.m_MayAct = Acting.m_MayAct && m_VmsListed;
  std::vector<std::vector<std::string>> Candidates;
  for (const std::string &Region : m_QuotaRegions) {
    std::vector<QuotaVm> Vms = quotaVms(Region);
    if (Region == m_Settings.m_Region)
      Vms.push_back({m_Settings.m_Ip, true, Duration{0}});
    Candidates.push_back(quotaCandidates(Vms));
  }
  if (Candidates == m_QuotaCandidates &&
      Acting.m_Rivals == m_QuotaActing.m_Rivals &&
      Acting.m_MayAct == m_QuotaActing.m_MayAct)
    return;
  m_QuotaCandidates = std::move(Candidates);
  m_QuotaActing = std::move(Acting);
  m_QuotaHolders.clear();
  std::vector<std::string> Rivals = m_QuotaActing.m_Rivals;
  Rivals.push_back(m_Settings.m_Ip);
  for (const auto &[Hash, Label] : m_QuotaLabels) {
    std::vector<std::string> &Holders = m_QuotaHolders[Hash];
    for (const std::vector<std::string> &Vms : m_QuotaCandidates)
      Holders.push_back(chooseQuotaHolder(Hash, Vms));
    bool Acts = m_QuotaActing.m_MayAct &&
                chooseQuotaHolder(Hash, Rivals) == m_Settings.m_Ip;
    if (Acts != m_QuotaHolder.isActing(Hash))
      logEvent(Severity::Info, "quota_holder",
               {{"organisation", Label},
                {"acting", Acts ? "yes" : "no"},
                {"start", std::string(quotaStartName(m_QuotaStart))}});
    m_QuotaHolder.setActing(Hash, Acts, now());
  }
}

asio::awaitable<std::optional<HttpResponse>>
Node::admitByQuota(ExchangePtr Work) {
  if (Work->m_Organisation.empty() || Work->m_Detoured ||
      m_QuotaLabels.empty()) {
    Work->m_QuotaAdmitted = true;
    co_return std::nullopt;
  }
  DispatchRequest &Item = Work->m_Dispatch;
  OrganisationHash Hash = stableHash(Work->m_Organisation);
  Duration Objective = Item.m_ObjectiveAt - Item.m_ArrivedAt;
  QuotaDecision &Decision = Work->m_QuotaDecision;
  Decision = m_QuotaClient.submit(Hash, Item.m_Id,
                                  now() + Objective / QuotaWaitDivisor, now());
  if (Decision.m_Action == QuotaAction::Wait) {
    Work->m_QuotaTimer = std::make_unique<asio::steady_timer>(
        m_Io, asio::steady_timer::time_point::max());
    if (m_QuotaWaiting.empty())
      m_TickTimer.cancel(); // This switches to the shorter tick interval.
    m_QuotaWaiting.emplace(Item.m_Id, Work);
  }
  sendQuotaAsks();
  // The holder may be this VM, and have answered already.
  if (m_QuotaWaiting.contains(Item.m_Id)) {
    Time Began = now();
    co_await Work->m_QuotaTimer->async_wait(
        asio::as_tuple(asio::use_awaitable));
    Work->m_QuotaTime += now() - Began;
  }
  if (Work->m_RequestCancellation->cancelled())
    co_return makeRefusal(*Work, ErrorKind::CallerGone, Duration{0});
  // A newer configuration has ended the wait.
  if (Decision.m_Action == QuotaAction::Wait)
    co_return std::nullopt;
  if (Decision.m_Action == QuotaAction::Refuse) {
    logEvent(Severity::Info, "quota_refused",
             {{"id", Work->m_TraceId},
              {"organisation", Work->m_Organisation},
              {"reason", std::string(errorInfo(Decision.m_Error).m_Name)},
              {"waited_ms", std::to_string(Work->m_QuotaTime / 1ms)},
              {"retry_after_ms", std::to_string(Decision.m_RetryAfter / 1ms)}});
    co_return makeRefusal(*Work, Decision.m_Error, Decision.m_RetryAfter);
  }
  Work->m_QuotaTokenExpiresAt = Decision.m_TokenExpiresAt;
  Work->m_QuotaAdmitted = true;
  co_return std::nullopt;
}

// Every run counts against the quota.
bool Node::takeQuotaTokenForRepeat(const Exchange &Work) {
  if (Work.m_QuotaTokenExpiresAt.count() == 0)
    return true;
  return m_QuotaClient.takeToken(stableHash(Work.m_Organisation), now());
}

void Node::giveBackQuotaToken(Exchange &Work) {
  if (Work.m_QuotaTokenExpiresAt.count() == 0 || Work.m_TotalAttempts > 0)
    return;
  m_QuotaClient.giveBack(stableHash(Work.m_Organisation),
                         Work.m_QuotaTokenExpiresAt, now());
  Work.m_QuotaTokenExpiresAt = Time{0};
}

void Node::sendQuotaAsks() {
  for (const QuotaAsk &Ask : m_QuotaClient.takeAsks(now())) {
    std::map<std::string, QuotaAskMessage> ByHolder;
    for (const QuotaAskRow &Row : Ask.m_Rows) {
      auto Holders = m_QuotaHolders.find(Row.m_Organisation);
      std::string Vm;
      if (Holders != m_QuotaHolders.end() &&
          Ask.m_Region < Holders->second.size())
        Vm = Holders->second[Ask.m_Region];
      QuotaAskMessage &Message = ByHolder[Vm];
      Message.m_Region = Ask.m_Region;
      Message.m_Sequence = Ask.m_Sequence;
      Message.m_Rows.push_back(Row);
    }
    for (const auto &[Vm, Message] : ByHolder) {
      if (!Vm.empty() && Vm != m_Settings.m_Ip) {
        for (const std::string &Text : encodeQuotaAsk(Message))
          m_Datagrams.send(Vm, m_Settings.m_PeerPort, Text);
        continue;
      }
      std::vector<QuotaGrantRow> Grants;
      for (const QuotaAskRow &Row : Message.m_Rows)
        Grants.push_back(Vm.empty()
                             ? QuotaGrantRow{Row.m_Organisation, 0, false}
                             : m_QuotaHolder.answer(Row, now()));
      m_QuotaClient.applyGrant(Ask.m_Region, Ask.m_Sequence, Grants, now());
    }
  }
  processQuotaWaits();
}

void Node::sendQuotaTransferAsks() {
  std::vector<QuotaAskRow> Rows =
      m_QuotaHolder.takeTransferAsks(++m_QuotaTransferSequence, now());
  // Messages by region and holder.
  std::map<std::pair<std::size_t, std::string>, QuotaAskMessage> Messages;
  for (const QuotaAskRow &Row : Rows) {
    const std::vector<std::string> &Holders =
        m_QuotaHolders[Row.m_Organisation];
    for (std::size_t Region = 1; Region < Holders.size(); ++Region)
      if (!Holders[Region].empty())
        Messages[{Region, Holders[Region]}].m_Rows.push_back(Row);
  }
  for (auto &[To, Message] : Messages) {
    Message.m_Region = To.first;
    Message.m_Sequence = m_QuotaTransferSequence;
    Message.m_Kind = QuotaAskKind::Stock;
    for (const std::string &Text : encodeQuotaAsk(Message))
      m_Datagrams.send(To.second, m_Settings.m_PeerPort, Text);
  }
}

void Node::processQuotaWaits() {
  for (const QuotaWaitEnd &End : m_QuotaClient.process(now())) {
    auto Found = m_QuotaWaiting.find(End.m_Id);
    if (Found == m_QuotaWaiting.end())
      continue;
    ExchangePtr Work = std::move(Found->second);
    m_QuotaWaiting.erase(Found);
    Work->m_QuotaDecision = End.m_Decision;
    Work->m_QuotaTimer->cancel();
  }
}

void Node::handleQuotaAsk(const Json::Value &Params,
                          const std::string &PeerIp) {
  if (!m_KnownVms.contains(PeerIp))
    return;
  QuotaAskMessage Ask = readQuotaAsk(Params);
  QuotaGrantMessage Grant;
  Grant.m_Region = Ask.m_Region;
  Grant.m_Sequence = Ask.m_Sequence;
  Grant.m_Kind = Ask.m_Kind;
  for (const QuotaAskRow &Row : Ask.m_Rows)
    Grant.m_Rows.push_back(Ask.m_Kind == QuotaAskKind::Stock
                               ? m_QuotaHolder.transfer(Row, now())
                               : m_QuotaHolder.answer(Row, now(),
                                                      stableHash(PeerIp),
                                                      Ask.m_Sequence));
  for (const std::string &Text : encodeQuotaGrant(Grant))
    m_Datagrams.send(PeerIp, m_Settings.m_PeerPort, Text);
}

void Node::handleQuotaGrant(const Json::Value &Params,
                            const std::string &PeerIp) {
  if (!m_KnownVms.contains(PeerIp))
    return;
  QuotaGrantMessage Grant = readQuotaGrant(Params);
  if (Grant.m_Kind == QuotaAskKind::Stock) {
    for (const QuotaGrantRow &Row : Grant.m_Rows)
      m_QuotaHolder.receiveTransfer(Grant.m_Region, Grant.m_Sequence, Row,
                                    now());
    return;
  }
  m_QuotaClient.applyGrant(Grant.m_Region, Grant.m_Sequence, Grant.m_Rows,
                           now());
  processQuotaWaits();
  if (m_QuotaClient.hasWaiting())
    sendQuotaAsks(); // Of the next region.
}

void Node::countQuotas() {
  for (const auto &[Hash, Counts] : m_QuotaClient.takeCounts()) {
    auto Label = m_QuotaLabels.find(Hash);
    if (Label == m_QuotaLabels.end())
      continue;
    auto Count = [&](const char *Name, const char *Outcome,
                     std::uint64_t Value) {
      if (Value > 0)
        m_Metrics.count(Name,
                        {{"organisation", Label->second}, {"outcome", Outcome}},
                        static_cast<double>(Value));
    };
    Count("rhubarb_quota_requests_total", "admitted", Counts.m_Admitted);
    Count("rhubarb_quota_requests_total", "refused", Counts.m_Refused);
    Count("rhubarb_quota_tokens_total", "asked", Counts.m_Asked);
    Count("rhubarb_quota_tokens_total", "granted", Counts.m_Granted);
    Count("rhubarb_quota_tokens_total", "expired", Counts.m_Expired);
  }
}

} // namespace rhubarb::node
