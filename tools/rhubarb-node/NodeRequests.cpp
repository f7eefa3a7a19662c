// The request path from a caller to a backend server and back.
#include "Headers.h"
#include "Node.h"

#include "net/Clock.h"
#include "net/Daemon.h"
#include "net/Log.h"
#include "net/Text.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace rhubarb::node {
namespace {

// Requests that state no deadline get this one.
constexpr Duration DefaultDeadline = 30s;
// Requests that arrive later during shutdown could not finish in time.
constexpr Duration ServeWhileLeaving = 2500ms;
constexpr Duration LeavingRetryAfter = 50ms;
// A retry may succeed on another server or a little later, but not at once.
constexpr Duration AfterAttemptRetryAfter = 100ms;
constexpr int MaxTotalAttempts = 4; // Failed connects count as attempts.
// What cannot be served here is passed to another VM if this VM cannot reach
// more than this share of the servers.
constexpr double MinUnreachableShare = 0.5;
// When to come back with a request that has crashed too many servers.
constexpr Duration ConvictedRetryAfter = 60s;
// A run of a suspected request shows its outcome within this time.
constexpr Duration SuspectRetryAfter = 300ms;
// Connections that one crash cuts end within this time.
constexpr Duration CutGatherTime = 20ms;
// If all servers seem to have crashed, this VM is cut off from them; enough of
// them are found unresponsive within this time.
constexpr Duration CutOffGatherTime = 200ms;
constexpr std::size_t MaxUnknownHeaders = 16; // Names that are logged.
constexpr std::size_t MaxLoggedValueBytes = 60;

bool equalsIgnoringCase(std::string_view A, std::string_view B) {
  auto Lower = [](char C) {
    return C >= 'A' && C <= 'Z' ? static_cast<char>(C + ('a' - 'A')) : C;
  };
  return std::equal(A.begin(), A.end(), B.begin(), B.end(),
                    [&](char X, char Y) { return Lower(X) == Lower(Y); });
}

// Hashes what a request has in common with its repetitions. They come from any
// address; of a streamed body only the first part is known.
std::uint64_t fingerprint(const HttpRequest &Request) {
  std::uint64_t Hash = stableHash(Request.m_Method);
  for (std::string_view Part :
       {Request.header("Host"), std::string_view(Request.m_Target),
        Request.header("Authorization"), std::string_view(Request.m_Body)})
    Hash = stableHash(Part, Hash);
  return Hash;
}

// Formats a load as running requests, waiting requests and slots.
std::string loadText(const ReportedLoad &Load) {
  return std::to_string(Load.m_Running) + "," + std::to_string(Load.m_Waiting) +
         "," + std::to_string(Load.m_Slots) +
         (Load.m_RunTimePercent > 0
              ? "," + std::to_string(Load.m_RunTimePercent)
              : "");
}

std::string millisText(Duration Value) {
  return std::to_string(Value / std::chrono::milliseconds(1));
}

// Formats the regions that a request may run in.
std::string regionsText(const std::vector<std::string> &Allowed) {
  if (Allowed.empty())
    return "any";
  std::string Text;
  for (const std::string &Region : Allowed)
    Text += (Text.empty() ? "" : ",") + Region;
  return Text;
}

// Formats seconds with three decimals, as callers expect.
std::string retryAfterText(Duration Value) {
  std::int64_t Millis = std::max<std::int64_t>(1, Value / 1ms);
  std::string Fraction = std::to_string(1000 + Millis % 1000).substr(1);
  return std::to_string(Millis / 1000) + "." + Fraction;
}

} // namespace

asio::awaitable<HttpResponse> Node::serveRequest(HttpRequest Request) {
  auto Work = std::make_shared<Exchange>();
  removeField(Request.m_Headers, CheckedOrganisationHeader);
  removeField(Request.m_Headers, AllowedRegionHeader);
  Work->m_Request = std::move(Request);
  return serveExchange(std::move(Work));
}

asio::awaitable<HttpResponse> Node::serveExchange(ExchangePtr Work) {
  DispatchRequest &Item = Work->m_Dispatch;
  Item.m_Id = m_NextRequest++;
  Item.m_ArrivedAt = now();
  Work->m_TraceId = Work->m_Request.header(m_HeaderNames.m_RequestId);
  Work->m_Fingerprint = fingerprint(Work->m_Request);
  if (Work->m_Request.m_Client->m_Closed)
    co_return makeRefusal(*Work, ErrorKind::CallerGone, Duration{0});
  if (revision() == 0)
    co_return makeRefusal(*Work, ErrorKind::NoConfiguration,
                          retryAfterUntilReady());
  if (m_Leaving && now() - m_LeavingSince > ServeWhileLeaving)
    co_return makeRefusal(*Work, ErrorKind::Leaving, LeavingRetryAfter);
  std::int64_t Millis =
      parseInteger(Work->m_Request.header(m_HeaderNames.m_Deadline), -1);
  Work->m_CallerDeadline =
      Item.m_ArrivedAt + (Millis >= 0
                              ? Duration(std::chrono::milliseconds(Millis))
                              : DefaultDeadline);
  if (ErrorKind Kind = applyPolicy(*Work); Kind != ErrorKind::None)
    co_return makeRefusal(*Work, Kind, Duration{0});
  // Another VM can answer what would still be running at the end.
  if (!m_Dispatcher.endsBeforeStop(Item, Item.m_ArrivedAt))
    co_return makeRefusal(*Work, ErrorKind::Leaving, LeavingRetryAfter);
  // A request that was passed on has been recorded by the VM that it came from.
  if (!Work->m_Detoured)
    retryBudget(Item.m_Pool).recordFirstAttempt(Item.m_ArrivedAt);
  else if (m_Dispatcher.fleet().isCutOff(Item.m_Pool))
    co_return makeRefusal(*Work, ErrorKind::NoServerLeft,
                          AfterAttemptRetryAfter);

  Work->m_RequestCancellation = std::make_shared<Cancellation>();
  std::shared_ptr<ClientConnection> Watch = Work->m_Request.m_Client;
  Watch->m_OnClose = [this, Weak = std::weak_ptr<Exchange>(Work)] {
    ExchangePtr Left = Weak.lock();
    if (!Left)
      return;
    Left->m_RequestCancellation->cancel();
    if (m_QuotaWaiting.erase(Left->m_Dispatch.m_Id) > 0) {
      m_QuotaClient.cancel(Left->m_Dispatch.m_Id);
      Left->m_QuotaTimer->cancel();
    }
    if (m_Dispatcher.cancel(Left->m_Dispatch.m_Id)) {
      m_QueuedExchanges.erase(Left->m_Dispatch.m_Id);
      Left->m_Decision.m_Action = DispatchAction::Refuse;
      Left->m_Decision.m_Error = ErrorKind::CallerGone;
      Left->m_QueueTimer->cancel();
    }
  };
  HttpResponse Response = co_await attemptUntilAnswered(Work);
  giveBackQuotaToken(*Work);
  Watch->m_OnClose = nullptr;
  co_return Response;
}

// Makes attempts until there is a response for the caller.
asio::awaitable<HttpResponse> Node::attemptUntilAnswered(ExchangePtr Work) {
  std::optional<AttemptResult> Last;
  for (;;) {
    // A configuration may have come into force in each wait.
    if (Work->m_RequestCancellation->cancelled()) {
      Work->m_Decision.m_Action = DispatchAction::Refuse;
      co_return makeRefusal(*Work, ErrorKind::CallerGone, Duration{0});
    }
    if (!followsConfig(*Work)) {
      ErrorKind Kind = applyPolicy(*Work);
      bool Ends = Kind != ErrorKind::None ? Last && Last->m_FallbackResponse
                                          : Last && !mayRepeat(*Work);
      if (Ends)
        co_return endWithLast(*Work, *Last);
      if (Kind != ErrorKind::None) {
        Work->m_Decision.m_Action = DispatchAction::Refuse;
        co_return makeRefusal(*Work, Kind, Duration{0});
      }
    }
    if (!Work->m_QuotaAdmitted) {
      if (std::optional<HttpResponse> Refusal = co_await admitByQuota(Work))
        co_return std::move(*Refusal);
      continue;
    }
    if (std::optional<HttpResponse> Refusal = refuseSuspect(*Work, false))
      co_return std::move(*Refusal);
    if (m_Suspects.crashes(Work->m_Fingerprint) > 0)
      excludeServersOfSuspects(*Work);
    int Pool = Work->m_Dispatch.m_Pool;
    if (m_Dispatcher.fleet().isCutOff(Pool) && mayDetour(*Work)) {
      if (std::optional<HttpResponse> Response = co_await detour(Work))
        co_return std::move(*Response);
      if (!followsConfig(*Work))
        continue;
    }
    co_await dispatch(Work);
    // A newer configuration has taken the request out of the queue.
    if (Work->m_Decision.m_Action == DispatchAction::Wait)
      continue;
    if (Work->m_Decision.m_Action == DispatchAction::Refuse) {
      ErrorKind Kind = Work->m_Decision.m_Error;
      if (errorInfo(Kind).m_Outcome == Outcome::NotRun && mayDetour(*Work) &&
          m_Dispatcher.fleet().unreachableShare(Pool, now()) >
              MinUnreachableShare) {
        if (std::optional<HttpResponse> Response = co_await detour(Work))
          co_return std::move(*Response);
        if (!followsConfig(*Work))
          continue;
      }
      if (Last && Last->m_FallbackResponse)
        co_return std::move(*Last->m_FallbackResponse);
      if (Work->m_MayHaveRun && errorInfo(Kind).m_Outcome == Outcome::NotRun)
        Kind = Last ? Last->m_Error : ErrorKind::ServerCut;
      co_return makeRefusal(*Work, Kind, Work->m_Decision.m_RetryAfter);
    }
    if (!maySend(*Work)) {
      releaseServer(*Work);
      continue;
    }
    if (std::optional<HttpResponse> Refusal = refuseSuspect(*Work, true))
      co_return std::move(*Refusal);
    AttemptResult Attempt = co_await runAttempt(Work);
    if (Attempt.m_IsWithheld)
      continue;
    if (Attempt.m_Response) {
      logRequest(*Work, Attempt.m_Response->m_Status, "answered");
      co_return std::move(*Attempt.m_Response);
    }
    std::string_view Stop = reasonNotToRetry(*Work, Attempt);
    logAttempt(*Work, Attempt, Stop);
    if (!Stop.empty()) {
      if (Attempt.m_Error == ErrorKind::ServerUnreachable && mayDetour(*Work))
        if (std::optional<HttpResponse> Response = co_await detour(Work))
          co_return std::move(*Response);
      co_return endWithLast(*Work, Attempt);
    }
    Last = std::move(Attempt);
  }
}

HttpResponse Node::endWithLast(const Exchange &Work, AttemptResult &Last) {
  if (!Last.m_FallbackResponse)
    return makeRefusal(Work, Last.m_Error, AfterAttemptRetryAfter);
  logRequest(Work, Last.m_FallbackResponse->m_Status, "server_failed");
  return std::move(*Last.m_FallbackResponse);
}

void Node::excludeServersOfSuspects(Exchange &Work) const {
  for (const auto &[Index, Other] : m_RunningAttempts)
    if (Other->m_Fingerprint != Work.m_Fingerprint &&
        m_Suspects.crashes(Other->m_Fingerprint) > 0)
      Work.m_Dispatch.m_TriedServers.push_back(Index);
}

void Node::releaseServer(const Exchange &Work) {
  AttemptReport NotSent;
  NotSent.m_Outcome = AttemptOutcome::Abandoned;
  m_Dispatcher.finished(Work.m_Dispatch, Work.m_Decision, NotSent,
                        Work.m_Decision.m_StartedAt, now());
  processQueue();
}

// Decides again once a server is assigned, as the request may have been queued.
std::optional<HttpResponse> Node::refuseSuspect(Exchange &Work, bool Assigned) {
  SuspectAction Action = m_Suspects.decide(Work.m_Fingerprint, now());
  if (Action == SuspectAction::Allow)
    return std::nullopt;
  if (Assigned)
    releaseServer(Work);
  Duration RetryAfter =
      Action == SuspectAction::Refuse ? ConvictedRetryAfter : SuspectRetryAfter;
  Work.m_Decision.m_Action = DispatchAction::Refuse;
  Work.m_Decision.m_RetryAfter = RetryAfter;
  return makeRefusal(Work, ErrorKind::CrashesServers, RetryAfter);
}

void Node::recordRunEnd(const Exchange &Work, const AttemptReport &Report,
                        bool ConnectionCut, Time SentAt) {
  ServerIndex Index = Work.m_Decision.m_Server;
  const BackendState &Row = m_Dispatcher.fleet().row(Index);
  bool Leaving = Row.m_Info.m_Leaving || Row.m_ReportedLeaving;
  if (ConnectionCut && Row.m_Listed && !Leaving) {
    CutConnections &Cut = m_CutConnections[Index];
    if (Cut.m_Attempts.empty()) {
      Cut.m_Incarnation = Row.m_Incarnation;
      Cut.m_FirstCutAt = now();
      spawn(m_Io, investigateCut(Index));
    }
    Cut.m_Attempts.push_back({Work.m_Fingerprint, SentAt});
    return; // The attempt ends with the investigation.
  }
  bool Ran = Report.m_Outcome == AttemptOutcome::Served ||
             Report.m_Outcome == AttemptOutcome::Failed;
  if (Ran && m_Suspects.recordRun(Work.m_Fingerprint, now())) {
    logEvent(Severity::Info, "suspect_cleared",
             {{"request", std::to_string(Work.m_Fingerprint)},
              {"server", Row.m_Info.m_Id}});
    sendSuspectUpdates(false);
  }
  m_Suspects.ended(Work.m_Fingerprint);
}

// A server whose process has ended refuses connections. A cut alone may also be
// a reset or a lost response.
asio::awaitable<void> Node::investigateCut(ServerIndex Index) {
  co_await sleepFor(CutGatherTime);
  auto IsSameServer = [&] {
    const BackendState &Row = m_Dispatcher.fleet().row(Index);
    return Row.m_Listed &&
           Row.m_Incarnation == m_CutConnections[Index].m_Incarnation;
  };
  bool Crashed = IsSameServer() && co_await checkHealth(Index);
  const Fleet &Servers = m_Dispatcher.fleet();
  int Pool = Servers.row(Index).m_Info.m_Pool;
  if (Crashed && Servers.unresponsiveServers(Pool) > 1)
    co_await sleepFor(CutOffGatherTime);
  Crashed = Crashed && IsSameServer() && !Servers.isCutOff(Pool);
  CutConnections Cut = std::move(m_CutConnections[Index]);
  m_CutConnections.erase(Index);
  if (Crashed) {
    const std::string Server = m_Dispatcher.fleet().row(Index).m_Info.m_Id;
    std::vector<std::uint64_t> Risen =
        m_Suspects.recordCrash(Server + "/" + std::to_string(Cut.m_Incarnation),
                               Cut.m_Attempts, Cut.m_FirstCutAt);
    m_Metrics.count("rhubarb_server_crashes_total");
    for (std::uint64_t Request : Risen)
      logEvent(Severity::Warning, "crash_suspected",
               {{"request", std::to_string(Request)},
                {"server", Server},
                {"crashes", std::to_string(m_Suspects.crashes(Request))},
                {"beside", std::to_string(Cut.m_Attempts.size() - 1)}});
  }
  for (const CutAttempt &Attempt : Cut.m_Attempts)
    m_Suspects.ended(Attempt.m_Request);
  sendSuspectUpdates(false);
}

Duration Node::retryAfterUntilReady() {
  return startupRetryAfter(now() - m_StartedAt, m_Settings.m_CpuShare,
                           m_Random);
}

// Selects a server for the request; waits in the queue if necessary.
asio::awaitable<void> Node::dispatch(ExchangePtr Work) {
  Work->m_Decision = m_Dispatcher.submit(Work->m_Dispatch, now());
  if (Work->m_Decision.m_Action == DispatchAction::Refuse &&
      m_List.knownAt().count() == 0)
    Work->m_Decision.m_RetryAfter = retryAfterUntilReady();
  if (Work->m_Decision.m_Action == DispatchAction::Send)
    m_Dispatcher.started(Work->m_Decision, now());
  sendRateLimitUpdates(false);
  if (Work->m_Decision.m_Action != DispatchAction::Wait)
    co_return;
  Work->m_QueueTimer = std::make_unique<asio::steady_timer>(
      m_Io, asio::steady_timer::time_point::max());
  if (m_QueuedExchanges.empty())
    m_TickTimer.cancel(); // This switches to the shorter tick interval.
  m_QueuedExchanges.emplace(Work->m_Dispatch.m_Id, Work);
  Time Began = now();
  co_await Work->m_QueueTimer->async_wait(asio::as_tuple(asio::use_awaitable));
  Work->m_QueueTime += now() - Began;
}

void Node::processQueue() {
  for (QueueDecision &Made : m_Dispatcher.processQueue(now())) {
    auto Found = m_QueuedExchanges.find(Made.m_Id);
    if (Found == m_QueuedExchanges.end())
      continue;
    ExchangePtr Work = std::move(Found->second);
    m_QueuedExchanges.erase(Found);
    Work->m_Decision = Made.m_Decision;
    Work->m_QueueTimer->cancel();
  }
  sendRateLimitUpdates(false);
}

HttpRequest Node::makeServerRequest(const Exchange &Work) const {
  const BackendInfo &Server =
      m_Dispatcher.fleet().row(Work.m_Decision.m_Server).m_Info;
  HttpRequest Request;
  Request.m_Method = Work.m_Request.m_Method;
  Request.m_Target = Work.m_Request.m_Target;
  Request.m_Headers = endToEndHeaders(Work.m_Request.m_Headers);
  std::erase_if(Request.m_Headers, [](const HeaderField &Field) {
    // The node has answered the Expect field itself.
    return lower(Field.m_Name) == "expect";
  });
  Duration Left = Work.m_ExecutionDeadline - now();
  setField(Request.m_Headers, m_HeaderNames.m_Deadline,
           millisText(std::max(Left, Duration(1ms))));
  setField(Request.m_Headers, m_HeaderNames.m_ExpectServer, Server.m_Id);
  setOrganisation(Work, Request.m_Headers);
  Request.m_Body = Work.m_Request.m_Body;
  Request.m_BodyStream = Work.m_Request.m_BodyStream;
  return Request;
}

asio::awaitable<AttemptResult> Node::runAttempt(ExchangePtr Work) {
  AttemptResult Attempt;
  ServerIndex Index = Work->m_Decision.m_Server;
  BackendInfo Server = m_Dispatcher.fleet().row(Index).m_Info;
  std::uint64_t Incarnation = m_Dispatcher.fleet().row(Index).m_Incarnation;
  Work->m_LastServer = Server.m_Id;
  Work->m_LastServerRegion = Server.m_Region;
  Time StartedAt = now();
  SendOptions Options;
  Work->m_AttemptCancellation = std::make_shared<Cancellation>();
  Options.m_Cancellation = Work->m_AttemptCancellation;
  Work->m_RequestCancellation->onCancel(
      [Token = Work->m_AttemptCancellation] { Token->cancel(); });
  std::string Id = Work->m_TraceId;
  std::string IdName = m_HeaderNames.m_RequestId;
  Options.m_MatchesRequest = [Id, IdName](const HttpResponse &Response) {
    return Response.header(IdName) == Id;
  };
  Options.m_MaySend = [this, Work] { return maySend(*Work); };
  HttpRequest Request = makeServerRequest(*Work);
  bool Streaming = Request.m_BodyStream != nullptr;
  ++Work->m_TotalAttempts;
  auto Listed = m_RunningAttempts.emplace(Index, Work);
  m_Suspects.started(Work->m_Fingerprint);
  HttpResult Got = co_await m_BackendClient.send(
      Server.m_Address, std::move(Request),
      Work->m_ExecutionDeadline + ResponseSlack, std::move(Options));
  m_RunningAttempts.erase(Listed);
  if (Got.m_Failure == HttpFailure::Withheld) {
    --Work->m_TotalAttempts;
    m_Suspects.ended(Work->m_Fingerprint);
    releaseServer(*Work);
    Attempt.m_IsWithheld = true;
    co_return Attempt;
  }
  bool ConnectionCut = Got.m_Failure == HttpFailure::Incomplete;
  if (Got.m_Failure == HttpFailure::Cancelled &&
      !Work->m_RequestCancellation->cancelled())
    Got.m_Failure = HttpFailure::Incomplete; // The server is gone.
  // A streamed body cannot be sent again.
  if (Streaming && Got.m_Failure != HttpFailure::Connect)
    Work->m_TotalAttempts = MaxTotalAttempts;
  if (Got.m_Failure != HttpFailure::Connect)
    ++Work->m_DeliveredAttempts;
  Attempt.m_Report.m_ResponseTime = now() - StartedAt;
  Attempt.m_Report.m_ConnectTime =
      Got.m_ReusedConnection ? Duration{0} : Got.m_ConnectTime;
  classifyResult(*Work, Got, Attempt);
  recordRunEnd(*Work, Attempt.m_Report, ConnectionCut, StartedAt);
  // If the server moved or restarted meanwhile, the result says nothing about
  // its new incarnation.
  if (m_Dispatcher.fleet().row(Index).m_Incarnation != Incarnation)
    Attempt.m_Report.m_Outcome = AttemptOutcome::Abandoned;
  m_Dispatcher.finished(Work->m_Dispatch, Work->m_Decision, Attempt.m_Report,
                        Work->m_Decision.m_StartedAt, now());
  recordServerHints(Server, Attempt.m_Report);
  if (Attempt.m_Report.m_Outcome == AttemptOutcome::Misdirected)
    cancelAttemptsAt(Index, false);
  if (Attempt.m_Report.m_Outcome == AttemptOutcome::Unreachable)
    m_BackendClient.closeIdleConnections(Server.m_Address);
  Work->m_Dispatch.m_TriedServers.push_back(Index);
  processQueue();
  co_return Attempt;
}

void Node::cancelAttemptsAt(ServerIndex Index, bool IdempotentOnly) {
  std::vector<ExchangePtr> Ended;
  auto [First, Last] = m_RunningAttempts.equal_range(Index);
  for (auto Attempt = First; Attempt != Last; ++Attempt)
    if (!IdempotentOnly || Attempt->second->m_Idempotent)
      Ended.push_back(Attempt->second);
  for (const ExchangePtr &Work : Ended) {
    logEvent(Severity::Info, "attempt_ended",
             {{"id", Work->m_TraceId},
              {"server", Work->m_LastServer},
              {"cause", IdempotentOnly ? "unreachable" : "replaced"}});
    Work->m_AttemptCancellation->cancel();
  }
}

// Counts and logs a server's request to pause or to send no more.
void Node::recordServerHints(const BackendInfo &Server,
                             const AttemptReport &Report) const {
  if (!Report.m_Leaving && Report.m_BackoffFor.count() == 0)
    return;
  m_Metrics.count("rhubarb_server_wishes_total",
                  {{"wish", Report.m_Leaving ? "leaving" : "pause"}});
  logEvent(Severity::Info, "server_wish",
           {{"server", Server.m_Id},
            {"leaving", Report.m_Leaving ? "yes" : "no"},
            {"pause_ms", millisText(Report.m_BackoffFor)}});
}

// Of several values the lowest counts. Values that cannot be read neither set
// nor end a limit.
RateLimitHint Node::readRateLimit(const HttpResponse &Response,
                                  double &PerSecond) const {
  RateLimitHint Hint = RateLimitHint::NotNamed;
  for (const HeaderField &Field : Response.m_Headers) {
    if (!equalsIgnoringCase(Field.m_Name, m_HeaderNames.m_ServerLimit))
      continue;
    std::optional<double> Rate = parseRate(Field.m_Value);
    if (!Rate) {
      m_Metrics.count("rhubarb_unreadable_rate_limits_total");
      logEvent(Severity::Warning, "rate_limit_unreadable",
               {{"value", Field.m_Value.substr(0, MaxLoggedValueBytes)}});
      if (Hint == RateLimitHint::NotNamed)
        Hint = RateLimitHint::Unknown;
      continue;
    }
    PerSecond =
        Hint == RateLimitHint::Named ? std::min(PerSecond, *Rate) : *Rate;
    Hint = RateLimitHint::Named;
  }
  return Hint;
}

void Node::recordUnknownHeaders(const HttpResponse &Response) {
  const HeaderNames &Names = m_HeaderNames;
  for (const HeaderField &Field : Response.m_Headers) {
    auto Is = [&](const std::string &Name) {
      return equalsIgnoringCase(Field.m_Name, Name);
    };
    auto HasPrefix = [&](const std::string &Prefix) {
      return equalsIgnoringCase(
          std::string_view(Field.m_Name).substr(0, Prefix.size()), Prefix);
    };
    if (std::none_of(Names.m_ServerPrefixes.begin(),
                     Names.m_ServerPrefixes.end(), HasPrefix))
      continue;
    const std::array Known{&Names.m_RequestId,   &Names.m_ServerStamp,
                           &Names.m_ServerId,    &Names.m_ServerLoad,
                           &Names.m_NotExecuted, &Names.m_Leaving,
                           &Names.m_ServerLimit, &Names.m_ColdMillis};
    if (std::any_of(Known.begin(), Known.end(),
                    [&](const std::string *Name) { return Is(*Name); }))
      continue;
    m_Metrics.count("rhubarb_unknown_server_headers_total");
    if (m_UnknownHeaders.size() < MaxUnknownHeaders &&
        m_UnknownHeaders.insert(lower(Field.m_Name)).second)
      logEvent(Severity::Warning, "unknown_server_header",
               {{"name", Field.m_Name.substr(0, MaxLoggedValueBytes)},
                {"value", Field.m_Value.substr(0, MaxLoggedValueBytes)}});
  }
}

// Classifies the result of an attempt.
void Node::classifyResult(Exchange &Work, HttpResult &Got,
                          AttemptResult &Attempt) {
  switch (Got.m_Failure) {
  case HttpFailure::None:
    classifyResponse(Work, Got.m_Response, Attempt);
    return;
  case HttpFailure::Connect:
    Attempt.m_Report.m_Outcome = AttemptOutcome::Unreachable;
    Attempt.m_Error = ErrorKind::ServerUnreachable;
    Attempt.m_RetryReason = RetryReason::ServerUnreachable;
    return;
  case HttpFailure::Withheld: // Handled in runAttempt().
  case HttpFailure::Cancelled:
    Attempt.m_Report.m_Outcome = AttemptOutcome::Abandoned;
    Attempt.m_Error = ErrorKind::CallerGone;
    Work.m_MayHaveRun = true;
    return;
  case HttpFailure::Timeout:
    Attempt.m_Report.m_Outcome = AttemptOutcome::Silent;
    Attempt.m_Error = ErrorKind::ServerTimeout;
    Work.m_MayHaveRun = true;
    return;
  case HttpFailure::Incomplete:
  case HttpFailure::Malformed:
  case HttpFailure::TooLarge:
    Attempt.m_Report.m_Outcome = AttemptOutcome::Cut;
    Attempt.m_Error = Got.m_Failure == HttpFailure::Incomplete
                          ? ErrorKind::ServerCut
                          : ErrorKind::ServerGarbled;
    Attempt.m_RetryReason = RetryReason::ServerCut;
    Work.m_MayHaveRun = true;
    return;
  }
}

void Node::classifyResponse(Exchange &Work, HttpResponse &Response,
                            AttemptResult &Attempt) {
  AttemptReport &Report = Attempt.m_Report;
  Report.m_RateLimitHint = readRateLimit(Response, Report.m_RateLimit);
  recordUnknownHeaders(Response);
  if (auto Load = readServerLoad(Response.header(m_HeaderNames.m_ServerLoad))) {
    Work.m_ReportedLoad = *Load;
    Report.m_HasLoad = true;
    Report.m_Load = *Load;
  }
  int Status = Response.m_Status;
  Report.m_Leaving = Response.header(m_HeaderNames.m_Leaving) == "1";
  if (Status == 503)
    Report.m_BackoffFor =
        parseSeconds(Response.header(m_HeaderNames.m_RetryAfter));
  if (Status == 421 || !Response.header(m_HeaderNames.m_NotExecuted).empty()) {
    Report.m_Outcome =
        Status == 421 ? AttemptOutcome::Misdirected : AttemptOutcome::Refused;
    Attempt.m_Error = ErrorKind::ServerRefused;
    Attempt.m_RetryReason = RetryReason::ServerShed;
    return;
  }
  bool Success = Status >= 200 && Status < 300;
  bool Promise = Status == 503 || Status == 429 || Status == 408;
  bool Garbled = !Response.header("Content-Encoding").empty() ||
                 Response.header(m_HeaderNames.m_ServerStamp).empty();
  if ((Success && Garbled) || Promise) {
    // Callers read these statuses as "not executed", so they are passed on only
    // if the server has confirmed it.
    Report.m_Outcome = AttemptOutcome::Cut;
    Attempt.m_Error = ErrorKind::ServerGarbled;
    Attempt.m_RetryReason = RetryReason::ServerCut;
    Work.m_MayHaveRun = true;
    return;
  }
  bool Failed = Status >= 500;
  Report.m_Outcome = Failed ? AttemptOutcome::Failed : AttemptOutcome::Served;
  Response.m_Headers = endToEndHeaders(Response.m_Headers);
  if (!Failed || !Work.m_Idempotent || Response.m_BodyStream) {
    Attempt.m_Response = std::move(Response);
    return;
  }
  Work.m_MayHaveRun = true;
  Attempt.m_Error = ErrorKind::ServerFailed;
  Attempt.m_RetryReason = RetryReason::ServerFailed;
  Attempt.m_FallbackResponse = std::move(Response);
}

// Returns why a failed attempt must not be retried; empty if it may be.
std::string_view Node::reasonNotToRetry(Exchange &Work,
                                        const AttemptResult &Attempt) {
  if (Work.m_RequestCancellation->cancelled())
    return "caller_gone";
  if (!Attempt.m_RetryReason)
    return "no_retry_for_this_end";
  if (Work.m_MayHaveRun && !Work.m_Idempotent)
    return "may_have_run";
  // What may just have ended a second server is not tried on a third at once.
  if (Attempt.m_Report.m_Outcome == AttemptOutcome::Cut &&
      m_Suspects.crashes(Work.m_Fingerprint) > 0)
    return "crash_suspected";
  if (Work.m_DeliveredAttempts >= Work.m_MaxAttempts ||
      Work.m_TotalAttempts >= MaxTotalAttempts)
    return "attempts_used";
  if (now() >= Work.m_Dispatch.m_Deadline)
    return "no_time_left";
  if (!m_Dispatcher.endsBeforeStop(Work.m_Dispatch, now()))
    return "leaving";
  if (Work.m_MayHaveRun && !takeQuotaTokenForRepeat(Work))
    return "no_quota_token";
  bool Arrived = Attempt.m_Report.m_Outcome != AttemptOutcome::Unreachable;
  if (Arrived && !retryBudget(Work.m_Dispatch.m_Pool).tryTakeRetry()) {
    m_Metrics.countRefusal(ErrorKind::BudgetSpent, Work.m_Dispatch.m_RouteName);
    return "retry_budget_spent";
  }
  m_Metrics.countRetry(*Attempt.m_RetryReason, Work.m_Dispatch.m_RouteName);
  return {};
}

void Node::logAttempt(const Exchange &Work, const AttemptResult &Attempt,
                      std::string_view Stop) const {
  const AttemptReport &Report = Attempt.m_Report;
  logEvent(Severity::Info, "attempt_failed",
           {{"id", Work.m_TraceId},
            {"route", Work.m_Dispatch.m_RouteName},
            {"server", Work.m_LastServer},
            {"regions", regionsText(Work.m_Dispatch.m_AllowedRegions)},
            {"server_region", Work.m_LastServerRegion},
            {"request", std::to_string(Work.m_Fingerprint)},
            {"end", std::string(attemptOutcomeName(Report.m_Outcome))},
            {"error", std::string(errorInfo(Attempt.m_Error).m_Name)},
            {"took_ms", millisText(Report.m_ResponseTime)},
            {"expected_ms", millisText(Work.m_Decision.m_ExpectedTime)},
            {"try", std::to_string(Work.m_TotalAttempts)},
            {"may_have_run", Work.m_MayHaveRun ? "yes" : "no"},
            {"next", Stop.empty() ? "retry" : std::string(Stop)}});
}

HttpResponse Node::makeRefusal(const Exchange &Work, ErrorKind Kind,
                               Duration RetryAfter) const {
  const ErrorInfo &Row = errorInfo(Kind);
  HttpResponse Response;
  Response.m_Status = Row.m_HttpStatus;
  // A status that promises "not executed" must hold for all attempts.
  if (Work.m_MayHaveRun && Row.m_Outcome == Outcome::NotRun)
    Response.m_Status = 502;
  Response.m_Headers.push_back({m_HeaderNames.m_RequestId, Work.m_TraceId});
  Response.m_Headers.push_back({"Rhubarb-Reason", std::string(Row.m_Name)});
  if (Row.m_Retryable && RetryAfter.count() > 0)
    Response.m_Headers.push_back({"Retry-After", retryAfterText(RetryAfter)});
  m_Metrics.countRefusal(Kind, Work.m_Dispatch.m_RouteName);
  logRequest(Work, Response.m_Status, Row.m_Name);
  return Response;
}

// Logs which limited server a request was kept from.
void Node::logRateLimitedPlacement(const Exchange &Work) const {
  const DispatchDecision &Placed = Work.m_Decision;
  ServerIndex Index = Placed.m_RateLimitedServer;
  const SharedRateLimit *Limit = m_Dispatcher.fleet().rateLimit(Index);
  if (Limit == nullptr)
    return;
  m_Metrics.count(
      "rhubarb_rate_limited_placements_total",
      {{"outcome",
        Placed.m_Action == DispatchAction::Refuse ? "refused" : "elsewhere"}});
  logEvent(Severity::Info, "placement_rate_limited",
           {{"id", Work.m_TraceId},
            {"server", m_Dispatcher.fleet().row(Index).m_Info.m_Id},
            {"limit", rateText(Limit->perSecond())},
            {"limit_age_ms", millisText(now() - Limit->heardAt())},
            {"tokens", std::to_string(Placed.m_RateLimitTokens)}});
}

void Node::logRequest(const Exchange &Work, int Status,
                      std::string_view Reason) const {
  const DispatchRequest &Item = Work.m_Dispatch;
  Duration Took = now() - Item.m_ArrivedAt;
  // The VM that took the request from its caller counts it.
  std::string Prefix = Work.m_Detoured ? "detour_" : "request_";
  if (!Work.m_Detoured)
    m_Metrics.observe("rhubarb_request_seconds",
                      {{"rank", std::to_string(Item.m_Priority)}}, Took);
  std::string ListAge = m_List.knownAt().count() == 0
                            ? std::string("never_known")
                            : millisText(now() - m_List.knownAt());
  const DispatchDecision &Placed = Work.m_Decision;
  if (Placed.m_RateLimitedServer != NoServer)
    logRateLimitedPlacement(Work);
  if (Placed.m_Action == DispatchAction::Refuse) {
    std::string Considered =
        Placed.m_BestServer == NoServer
            ? std::string()
            : m_Dispatcher.fleet().row(Placed.m_BestServer).m_Info.m_Id;
    logEvent(Severity::Info, Prefix + "failed",
             {{"id", Work.m_TraceId},
              {"route", Item.m_RouteName},
              {"rank", std::to_string(Item.m_Priority)},
              {Work.m_Organisation.empty() ? "" : "organisation",
               Work.m_Organisation},
              {"status", std::to_string(Status)},
              {"reason", std::string(Reason)},
              {"request", std::to_string(Work.m_Fingerprint)},
              {"ms", millisText(Took)},
              {"waited_ms", millisText(Work.m_QueueTime)},
              {"server", Considered},
              {"server_load", std::to_string(static_cast<int>(
                                  std::lround(Placed.m_BestServerLoad)))},
              {"predicted_wait_ms", millisText(Placed.m_PredictedWait)},
              {"regions", regionsText(Item.m_AllowedRegions)},
              {"retry_after_ms", millisText(Placed.m_RetryAfter)},
              {"tries", std::to_string(Work.m_TotalAttempts)},
              {"config", std::to_string(Work.m_ConfigRevision)},
              {"list", positionText(m_List.position())},
              {"list_age_ms", ListAge}});
    return;
  }
  logEvent(
      Severity::Info, Prefix + (Status < 500 ? "served" : "failed"),
      {{"id", Work.m_TraceId},
       {"route", Item.m_RouteName},
       {"rank", std::to_string(Item.m_Priority)},
       {Work.m_Organisation.empty() ? "" : "organisation", Work.m_Organisation},
       {"status", std::to_string(Status)},
       {"reason", std::string(Reason)},
       {"ms", millisText(Took)},
       {Work.m_Organisation.empty() ? "" : "quota_ms",
        millisText(Work.m_QuotaTime)},
       {"objective_ms", millisText(Item.m_ObjectiveAt - Item.m_ArrivedAt)},
       {"waited_ms", millisText(Work.m_QueueTime)},
       {"server", Work.m_LastServer},
       {"regions", regionsText(Item.m_AllowedRegions)},
       {"server_region", Work.m_LastServerRegion},
       {"expected_ms", millisText(Placed.m_ExpectedTime)},
       {"tries", std::to_string(Work.m_TotalAttempts)},
       {"object", std::to_string(Item.m_ObjectHash)},
       {"warm", Placed.m_Warm ? "yes" : "no"},
       {"away", Placed.m_Remote ? "yes" : "no"},
       {"queued", Placed.m_QueuedAtServer ? "yes" : "no"},
       {"overflowed", Placed.m_Overflowed ? "yes" : "no"},
       {"server_load", std::to_string(std::lround(Placed.m_Load))},
       {"load_age_ms", millisText(Placed.m_LoadAge)},
       {"told_load", Work.m_ReportedLoad ? loadText(*Work.m_ReportedLoad) : ""},
       {"config", std::to_string(Work.m_ConfigRevision)},
       {"list", positionText(m_List.position())},
       {"list_age_ms", ListAge}});
}

} // namespace rhubarb::node
