// Requests that go through another VM, as this one cannot reach the servers.
#include "Headers.h"
#include "Node.h"

#include "net/Clock.h"
#include "net/Log.h"
#include "net/Text.h"

#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <limits>

namespace rhubarb::node {
namespace {

// Says how many attempts at servers the VM that gets the request may make.
constexpr const char *DetourHeader = "Rhubarb-Detour";
constexpr int MaxDetourTries = 3; // VMs that are asked to take a request.
constexpr Duration DetourRetryAfter = 100ms;
// A VM that passes on a response needs some time after the server's deadline.
constexpr Duration DetourSlack = 80ms;

// Returns the kind of error that a VM refused a request with, or None if the
// response is not its refusal of a request that has not run.
ErrorKind refusalKind(const HttpResponse &Response) {
  std::string_view Reason = Response.header("Rhubarb-Reason");
  for (std::size_t I = 0; I < static_cast<std::size_t>(ErrorKind::Count); ++I) {
    const ErrorInfo &Row = errorInfo(static_cast<ErrorKind>(I));
    if (Row.m_Name == Reason && Row.m_Outcome == Outcome::NotRun &&
        Row.m_HttpStatus == Response.m_Status)
      return Row.m_Kind;
  }
  return ErrorKind::None;
}

// Whether a VM that refuses a request so reaches no server for it.
bool meansCannotReach(ErrorKind Kind) {
  return Kind == ErrorKind::NoServerLeft ||
         Kind == ErrorKind::ServerUnreachable;
}

DetourScope scopeOf(const Exchange &Work) {
  return {Work.m_Dispatch.m_Pool, Work.m_Dispatch.m_AllowedRegions};
}

// Whether another VM would refuse the request as well.
bool holdsForAllVms(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::QueueFull:
  case ErrorKind::WaitTooLong:
  case ErrorKind::DeadlinePassed:
  case ErrorKind::BudgetSpent:
  case ErrorKind::ServerRefused:
  case ErrorKind::ServersRateLimited:
  case ErrorKind::CrashesServers:
  case ErrorKind::UnknownApiKey:
  case ErrorKind::QuotaExceeded:
  case ErrorKind::CallerGone:
    return true;
  default:
    return false;
  }
}

} // namespace

asio::awaitable<HttpResponse> Node::serveDetour(HttpRequest Request) {
  if (!m_KnownVms.contains(Request.m_PeerIp))
    co_return errorResponse(ErrorKind::PeerNotAllowed);
  std::int64_t Attempts = parseInteger(Request.header(DetourHeader), 0);
  if (Attempts < 1)
    co_return errorResponse(ErrorKind::BadRequest);
  auto Work = std::make_shared<Exchange>();
  removeField(Request.m_Headers, DetourHeader);
  for (const HeaderField &Field : Request.m_Headers) {
    if (lower(Field.m_Name) != lower(CheckedOrganisationHeader))
      continue;
    Work->m_KeyChecked = true;
    Work->m_Organisation = Field.m_Value;
  }
  removeField(Request.m_Headers, CheckedOrganisationHeader);
  Work->m_RegionLimit = takeFields(Request.m_Headers, AllowedRegionHeader);
  Work->m_Request = std::move(Request);
  Work->m_Detoured = true;
  Work->m_AttemptLimit = static_cast<int>(
      std::min<std::int64_t>(Attempts, std::numeric_limits<int>::max()));
  m_Metrics.count("rhubarb_detours_taken_total");
  HttpResponse Response = co_await serveExchange(Work);
  if (meansCannotReach(refusalKind(Response)))
    for (const std::string &Region : regionsHere(*Work))
      Response.m_Headers.push_back({AllowedRegionHeader, Region});
  co_return Response;
}

// A request that may run nowhere gets one region without a name, as no field at
// all stands for every region.
std::vector<std::string> Node::regionsHere(const Exchange &Work) const {
  Result<FoundPolicy> Found = findPolicy(Work);
  return Found ? Found.value().m_Policy.m_AllowedRegions
               : std::vector<std::string>{""};
}

bool Node::mayDetour(const Exchange &Work) const {
  bool BodyIsSent = Work.m_Request.m_BodyStream && Work.m_TotalAttempts > 0;
  return m_Settings.m_DetourPort != 0 && !Work.m_Detoured && !BodyIsSent &&
         (!Work.m_MayHaveRun || Work.m_Idempotent) &&
         Work.m_DeliveredAttempts < Work.m_MaxAttempts &&
         !Work.m_RequestCancellation->cancelled() &&
         now() < Work.m_Dispatch.m_Deadline &&
         m_Dispatcher.endsBeforeStop(Work.m_Dispatch, now()) &&
         m_Detours.mayHelp(scopeOf(Work), now());
}

// The body of a request with allowed regions must not leave them.
std::vector<DetourVm> Node::detourCandidates(const Exchange &Work) const {
  const std::vector<std::string> &Allowed = Work.m_Dispatch.m_AllowedRegions;
  std::vector<DetourVm> Found;
  for (const MemberRow &Row : m_Members.rows()) {
    std::string Region(regionOf(Row));
    if (Row.m_State == MemberState::Live && !Row.m_Report.m_Leaving &&
        Row.m_Report.m_EntryIncarnation != 0 &&
        Row.m_Report.m_Vm != m_Settings.m_Ip &&
        (Allowed.empty() ||
         std::find(Allowed.begin(), Allowed.end(), Region) != Allowed.end()))
      Found.push_back({Row.m_Report.m_Vm, Region});
  }
  return Found;
}

asio::awaitable<HttpResult> Node::sendDetour(ExchangePtr Work, std::string Vm) {
  HttpRequest Request;
  Request.m_Method = Work->m_Request.m_Method;
  Request.m_Target = Work->m_Request.m_Target;
  Request.m_Headers = endToEndHeaders(Work->m_Request.m_Headers);
  std::erase_if(Request.m_Headers, [](const HeaderField &Field) {
    return lower(Field.m_Name) == "expect"; // Answered by this VM.
  });
  std::int64_t LeftMs = (Work->m_ExecutionDeadline - now()) / 1ms;
  setField(Request.m_Headers, m_HeaderNames.m_Deadline,
           std::to_string(std::max<std::int64_t>(LeftMs, 1)));
  setField(Request.m_Headers, DetourHeader,
           std::to_string(Work->m_MaxAttempts - Work->m_DeliveredAttempts));
  if (!m_Organisations.empty()) {
    setOrganisation(*Work, Request.m_Headers);
    setField(Request.m_Headers, CheckedOrganisationHeader,
             Work->m_Organisation);
  }
  // That VM may have an older configuration in force.
  for (const std::string &Region : Work->m_Dispatch.m_AllowedRegions)
    Request.m_Headers.push_back({AllowedRegionHeader, Region});
  Request.m_Body = Work->m_Request.m_Body;
  Request.m_BodyStream = Work->m_Request.m_BodyStream;
  SendOptions Options;
  Work->m_AttemptCancellation = std::make_shared<Cancellation>();
  Options.m_Cancellation = Work->m_AttemptCancellation;
  Options.m_MaySend = [this, Work] { return followsConfig(*Work); };
  Work->m_RequestCancellation->onCancel(
      [Token = Work->m_AttemptCancellation] { Token->cancel(); });
  co_return co_await m_DetourClient.send(
      Vm + ":" + std::to_string(m_Settings.m_DetourPort), std::move(Request),
      Work->m_ExecutionDeadline + DetourSlack, std::move(Options));
}

DetourOutcome Node::classifyDetour(Exchange &Work, HttpResult &Got,
                                   std::optional<HttpResponse> &Response) {
  if (Got.m_Failure == HttpFailure::Connect)
    return DetourOutcome::Declined;
  if (Got.m_Failure != HttpFailure::None) {
    Work.m_MayHaveRun = true;
    ErrorKind Kind = ErrorKind::ServerCut;
    if (Got.m_Failure == HttpFailure::Cancelled)
      Kind = ErrorKind::CallerGone;
    if (Got.m_Failure == HttpFailure::Timeout)
      Kind = ErrorKind::ServerTimeout;
    Response = makeRefusal(Work, Kind, DetourRetryAfter);
    return DetourOutcome::Broken;
  }
  ErrorKind Refused = refusalKind(Got.m_Response);
  if (Refused == ErrorKind::None || holdsForAllVms(Refused)) {
    Response = std::move(Got.m_Response);
    Response->m_Headers = endToEndHeaders(Response->m_Headers);
    // A promise that the request has not run must hold for this VM's attempts.
    if (Refused != ErrorKind::None && Work.m_MayHaveRun)
      Response = makeRefusal(Work, Refused, DetourRetryAfter);
    return DetourOutcome::Answered;
  }
  return meansCannotReach(Refused) ? DetourOutcome::CannotReach
                                   : DetourOutcome::Declined;
}

asio::awaitable<std::optional<HttpResponse>> Node::detour(ExchangePtr Work) {
  const DetourScope Scope = scopeOf(*Work);
  // Whether what this detour finds holds for all requests of its scope.
  bool IsForScope = true;
  for (int Try = 1; Try <= MaxDetourTries; ++Try) {
    if (!followsConfig(*Work))
      co_return std::nullopt; // The request is decided again.
    std::string Vm = m_Detours.choose(Scope, detourCandidates(*Work), now());
    if (Vm.empty())
      break;
    Time SentAt = now();
    HttpResult Got = co_await sendDetour(Work, Vm);
    if (Got.m_Failure == HttpFailure::Withheld)
      co_return std::nullopt;
    std::optional<HttpResponse> Response;
    int Status = Got.m_Response.m_Status;
    std::string Reason(Got.m_Response.header("Rhubarb-Reason"));
    DetourOutcome Outcome = classifyDetour(*Work, Got, Response);
    DetourScope RefusedScope{Scope.m_Pool, {}};
    if (Outcome == DetourOutcome::CannotReach)
      RefusedScope.m_Regions =
          takeFields(Got.m_Response.m_Headers, AllowedRegionHeader);
    IsForScope = IsForScope && RefusedScope.covers(Scope);
    // The token is spent if a server may have run the request.
    if (Outcome == DetourOutcome::Broken ||
        (Response && refusalKind(*Response) == ErrorKind::None))
      Work->m_QuotaTokenExpiresAt = Time{0};
    // A caller that leaves says nothing about the VM.
    if (Got.m_Failure != HttpFailure::Cancelled)
      m_Detours.record(RefusedScope, Vm, Outcome, now());
    m_Metrics.count("rhubarb_detours_total",
                    {{"outcome", std::string(detourOutcomeName(Outcome))}});
    logEvent(Severity::Info, "detour_sent",
             {{"id", Work->m_TraceId},
              {"route", Work->m_Dispatch.m_RouteName},
              {"to", Vm},
              {"outcome", std::string(detourOutcomeName(Outcome))},
              {"failure", std::string(httpFailureName(Got.m_Failure))},
              {"status",
               std::to_string(Got.m_Failure == HttpFailure::None ? Status : 0)},
              {"reason", Reason},
              {"ms", std::to_string((now() - SentAt) / 1ms)},
              {"try", std::to_string(Try)}});
    if (Response) {
      // Servers that no VM reaches leave the others overloaded.
      if (holdsForAllVms(refusalKind(*Response)) &&
          !m_Dispatcher.fleet().isCutOff(Scope.m_Pool))
        m_Detours.recordNone(Scope, now());
      if (Outcome == DetourOutcome::Answered)
        logRequest(*Work, Response->m_Status, "detoured");
      co_return Response;
    }
    if (Work->m_Request.m_BodyStream && Got.m_Failure != HttpFailure::Connect)
      co_return makeRefusal(*Work, ErrorKind::NoServerLeft, DetourRetryAfter);
    if (now() >= Work->m_Dispatch.m_Deadline)
      break;
  }
  if (IsForScope)
    m_Detours.recordNone(Scope, now());
  co_return std::nullopt;
}

} // namespace rhubarb::node
