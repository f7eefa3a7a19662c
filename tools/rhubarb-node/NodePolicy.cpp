// What the configuration in force says about a request: at its arrival, and
// again after each wait.
#include "Headers.h"
#include "Node.h"

#include "net/Clock.h"
#include "net/Log.h"
#include "net/Text.h"

#include <algorithm>

namespace rhubarb::node {
namespace {

// An attempt that started in time may end this much after its route's timeout:
// a late response is worth more to the caller than none.
constexpr Duration TimeoutGrace = 200ms;

} // namespace

Result<FoundPolicy> Node::findPolicy(const Exchange &Work) const {
  const Route *Matched =
      m_Routes.find(Work.m_Request.header("Host"), Work.m_Request.path());
  if (Matched == nullptr)
    return Error{ErrorKind::UnknownRoute, "no route matches host and path"};
  Result<const Organisation *> Holder = findOrganisation(Work, *Matched);
  if (!Holder)
    return Holder.error();
  Result<RequestPolicy> Policy =
      makePolicy(*Matched, Holder.value(), Work.m_RegionLimit);
  if (!Policy)
    return Policy.error();
  return FoundPolicy{Matched, std::move(Policy.value())};
}

bool Node::followsConfig(Exchange &Work) const {
  if (Work.m_ConfigRevision == revision())
    return true;
  Result<FoundPolicy> Found = findPolicy(Work);
  if (!Found || Found.value().m_Policy != Work.m_Policy ||
      !usesPool(*Found.value().m_Route, Work.m_Dispatch.m_Pool))
    return false;
  Work.m_ConfigRevision = revision();
  return true;
}

// Settings may have moved the server to another region.
bool Node::maySend(Exchange &Work) const {
  return followsConfig(Work) &&
         Dispatcher::isRegionAllowed(
             Work.m_Dispatch,
             m_Dispatcher.fleet().row(Work.m_Decision.m_Server));
}

ErrorKind Node::applyPolicy(Exchange &Work) {
  bool IsNew = Work.m_ConfigRevision == 0;
  std::uint64_t Before = Work.m_ConfigRevision;
  Result<FoundPolicy> Found = findPolicy(Work);
  ErrorKind Kind = Found ? ErrorKind::None : Found.error().m_Kind;
  Work.m_ConfigRevision = revision();
  if (!IsNew) {
    std::string Outcome(errorInfo(Kind).m_Name);
    m_Metrics.count("rhubarb_requests_redecided_total", {{"outcome", Outcome}});
    logEvent(Severity::Info, "request_redecided",
             {{"id", Work.m_TraceId},
              {"before", std::to_string(Before)},
              {"config", std::to_string(Work.m_ConfigRevision)},
              {"outcome", Outcome}});
  }
  if (!Found)
    return Kind;
  RequestPolicy &Next = Found.value().m_Policy;
  if (!IsNew && Next.m_Organisation != Work.m_Organisation) {
    giveBackQuotaToken(Work);
    Work.m_QuotaTokenExpiresAt = Time{0};
    Work.m_QuotaAdmitted = false;
  }
  // What may have run while it was not idempotent must not be repeated.
  Work.m_Idempotent =
      Next.m_Idempotent && (IsNew || Work.m_Idempotent || !Work.m_MayHaveRun);
  Work.m_Organisation = Next.m_Organisation;
  Work.m_MaxAttempts = std::min(Work.m_AttemptLimit, Next.m_MaxAttempts);
  Work.m_Policy = std::move(Next);
  setDispatch(Work, *Found.value().m_Route);
  return ErrorKind::None;
}

bool Node::mayRepeat(const Exchange &Work) {
  return (!Work.m_MayHaveRun || Work.m_Idempotent) &&
         Work.m_DeliveredAttempts < Work.m_MaxAttempts;
}

void Node::setDispatch(Exchange &Work, const Route &Matched) {
  const RequestPolicy &Policy = Work.m_Policy;
  DispatchRequest &Item = Work.m_Dispatch;
  bool HasPool = Item.m_ObjectiveAt.count() > 0;
  Item.m_RouteName = Policy.m_RouteName;
  Item.m_Priority = Policy.m_Priority;
  Item.m_AllowedRegions = Policy.m_AllowedRegions;
  Item.m_Deadline = Work.m_CallerDeadline;
  if (Policy.m_Timeout.count() > 0)
    Item.m_Deadline =
        std::min(Item.m_Deadline, Item.m_ArrivedAt + Policy.m_Timeout);
  Work.m_ExecutionDeadline = std::min(
      Work.m_CallerDeadline, Item.m_Deadline + TimeoutGrace - ResponseSlack);
  Item.m_AttemptsEndAt = Work.m_ExecutionDeadline + ResponseSlack;
  Item.m_ObjectiveAt = Policy.m_Objective.count() > 0
                           ? Item.m_ArrivedAt + Policy.m_Objective
                           : Item.m_Deadline;
  Item.m_ObjectHash = 0;
  if (Policy.m_Affinity) {
    std::string_view Object =
        cookie(Work.m_Request, m_HeaderNames.m_AffinityCookie);
    if (!Object.empty())
      Item.m_ObjectHash =
          stableHash(Object, stableHash(Policy.m_RouteName)) | 1U;
  }
  if (!HasPool || !usesPool(Matched, Item.m_Pool))
    Item.m_Pool =
        Matched.m_Targets[m_Splitter.choose(Matched, Item.m_ObjectHash)].m_Pool;
}

void Node::recheckWaiting() {
  auto IsRefused = [this](const Exchange &Work) {
    Result<FoundPolicy> Found = findPolicy(Work);
    return !Found ||
           Found.value().m_Policy.m_Organisation != Work.m_Organisation;
  };
  m_Dispatcher.updateQueued(
      [&](RequestId Id) -> std::optional<DispatchRequest> {
        auto Queued = m_QueuedExchanges.find(Id);
        if (Queued == m_QueuedExchanges.end() ||
            followsConfig(*Queued->second) || IsRefused(*Queued->second))
          return std::nullopt;
        applyPolicy(*Queued->second);
        return Queued->second->m_Dispatch;
      },
      now());
  for (auto Queued = m_QueuedExchanges.begin();
       Queued != m_QueuedExchanges.end();) {
    ExchangePtr Work = Queued->second;
    if (Work->m_ConfigRevision == revision()) {
      ++Queued;
      continue;
    }
    m_Dispatcher.cancel(Work->m_Dispatch.m_Id);
    Work->m_Decision = DispatchDecision{};
    Work->m_QueueTimer->cancel();
    Queued = m_QueuedExchanges.erase(Queued);
  }
  for (auto Waiting = m_QuotaWaiting.begin();
       Waiting != m_QuotaWaiting.end();) {
    ExchangePtr Work = Waiting->second;
    if (!IsRefused(*Work)) {
      ++Waiting;
      continue;
    }
    m_QuotaClient.cancel(Work->m_Dispatch.m_Id);
    Work->m_QuotaTimer->cancel();
    Waiting = m_QuotaWaiting.erase(Waiting);
  }
  processQueue();
}

} // namespace rhubarb::node
