// Dispatch of queued requests to a backend server or, under a grant, to another
// entry process; classification of the result of each attempt; retries.
#include "Entry.h"

#include "net/BackendProtocol.h"
#include "net/Clock.h"
#include "net/Log.h"

#include <charconv>

namespace rhubarb::entry {
namespace {

constexpr int MaxAttempts = 4;
// Number of free slots passed to the queue for requests to a peer. It is large
// because the urgent reserve applies to own slots only.
constexpr int UnlimitedSlots = 1 << 20;
constexpr int MaxDistance = 2;
// Timeout of a cancel request. An attempt ends this long before the deadline,
// so that it can still be cancelled in time.
constexpr Duration CancelTimeout = 60ms;
constexpr std::int64_t HeaderBytesEstimate = 512;

std::int64_t remainingMillis(Time Deadline) {
  return std::max<std::int64_t>(
      (Deadline - now()) / std::chrono::milliseconds(1), 1);
}

void setHeader(HttpRequest &Request, const char *Name, std::string Value) {
  std::erase_if(Request.m_Headers,
                [&](const HeaderField &Field) { return Field.m_Name == Name; });
  Request.m_Headers.push_back({Name, std::move(Value)});
}

AttemptResult makeNotRunResult(ErrorKind Kind, AttemptStatus Status,
                               RetryReason Reason) {
  return {makeErrorResponse(Kind), Status, Reason};
}

ResponsePtr makeResponse(HttpResponse Response) {
  auto Converted = std::make_shared<rhubarb::Response>();
  Converted->m_Status = Response.m_Status;
  Converted->m_Headers = std::move(Response.m_Headers);
  Converted->m_Body = std::move(Response.m_Body);
  return Converted;
}

// Reads the response of an entry process that ran the request under a grant.
ResponsePtr readForwardedResponse(HttpResponse Response) {
  std::string Outcome(Response.header(OutcomeHeader));
  if (Outcome == outcomeName(Outcome::Answered))
    return makeResponse(std::move(Response));
  std::string Reason(Response.header(ReasonHeader));
  for (int I = 0; I < static_cast<int>(ErrorKind::Count); ++I)
    if (errorInfo(static_cast<ErrorKind>(I)).m_Name == Reason)
      return makeErrorResponse(static_cast<ErrorKind>(I));
  return makeErrorResponse(ErrorKind::ServerCut,
                           "the peer's answer is unreadable");
}

} // namespace

// Grants free slots to the pending requests of peers, which had a higher
// priority than all requests waiting here, before local requests take the
// slots. Does nothing while an urgent request is waiting here.
void EntryProcess::pushPendingGrants(int Pool) {
  const AdmissionQueue &Queue = m_Pools[static_cast<std::size_t>(Pool)].m_Queue;
  if (Queue.firstWaitingPriority().value_or(Priority::Batch) ==
      Priority::Urgent)
    return;
  for (PushedGrant &Pushed :
       m_GrantIssuer.servePending(Pool, m_Servers.freeSlots(Pool), now()))
    spawn(m_Daemon.m_Io, pushGrant(std::move(Pushed), Pool));
}

void EntryProcess::dispatchWaiting(int Pool) {
  pushPendingGrants(Pool);
  updateCapacity(Pool);
  while (dispatchLocal(Pool) || dispatchRemote(Pool)) {
  }
}

bool EntryProcess::dispatchLocal(int Pool) {
  AdmissionQueue &Queue = m_Pools[static_cast<std::size_t>(Pool)].m_Queue;
  std::optional<Priority> FirstPriority = Queue.firstWaitingPriority();
  if (!FirstPriority)
    return false;
  int FreeSlots =
      m_Servers.freeSlots(Pool) - m_GrantIssuer.reservedSlots(Pool, now());
  std::optional<QueuedRequest> Queued = Queue.take(FreeSlots, now());
  if (!Queued)
    return false;
  PendingPtr Pending = m_PendingRequests.at(Queued->m_Id);
  ServerIndex Server = m_Servers.acquire(Pool);
  spawn(m_Daemon.m_Io, attemptLocal(Pending, Server));
  return true;
}

bool EntryProcess::dispatchRemote(int Pool) {
  AdmissionQueue &Queue = m_Pools[static_cast<std::size_t>(Pool)].m_Queue;
  if (Queue.waiting() == 0)
    return false;
  for (int Distance = 0; Distance <= MaxDistance; ++Distance) {
    GrantHolder::HeldGrant *UsedGrant =
        m_GrantHolder.acquire(Pool, Distance, now());
    if (UsedGrant == nullptr)
      continue;
    std::vector<bool> AllowedProfiles;
    for (const Profile &Row : m_Config.m_Profiles)
      AllowedProfiles.push_back(static_cast<int>(Row.m_Reach) >=
                                    UsedGrant->m_Distance &&
                                Row.m_Priority <= UsedGrant->m_Priority);
    std::optional<QueuedRequest> Queued =
        Queue.takeAllowed(UnlimitedSlots, now(), AllowedProfiles);
    if (!Queued) {
      m_GrantHolder.release(UsedGrant->m_Peer, Pool);
      continue;
    }
    PendingPtr Pending = m_PendingRequests.at(Queued->m_Id);
    const SnapshotMember *Member = findMember(UsedGrant->m_Peer);
    std::string PeerRegion =
        Member == nullptr ? ""
                          : std::string(m_Config.regionOf(Member->m_Domain));
    LinkShare *Share = PeerRegion == m_Region ? nullptr : findLink(PeerRegion);
    auto RequestBytes =
        static_cast<std::int64_t>(Pending->m_Request.m_Body.size()) +
        HeaderBytesEstimate;
    if (Share != nullptr && !Share->charge(RequestBytes, now())) {
      m_Daemon.m_Metrics.countRefusal(ErrorKind::LinkFull,
                                      Pending->m_ServiceName);
      Queue.putBack(*Queued, now(), Pending->m_Deadline);
      m_GrantHolder.release(UsedGrant->m_Peer, Pool);
      return false;
    }
    spawn(m_Daemon.m_Io,
          attemptRemote(Pending, UsedGrant->m_Peer, UsedGrant->m_Id));
    return true;
  }
  return false;
}

asio::awaitable<void> EntryProcess::attemptLocal(PendingPtr Pending,
                                                 ServerIndex Server) {
  Time StartedAt = now();
  bool MaySend = Pending->m_Key.empty() || m_Keys.markSent(Pending->m_Key);
  AttemptResult Attempt{
      makeErrorResponse(ErrorKind::Leaving), AttemptStatus::Answered, {}};
  if (MaySend)
    Attempt = co_await callServer(Pending, Server);
  m_Servers.release(Server, Attempt.m_Status, now());
  endAttempt(Pending, std::move(Attempt), now() - StartedAt);
}

// Runs one attempt on a backend server. The outcome is "not run" only if no
// byte was sent or the server reported that it did not start the request.
asio::awaitable<AttemptResult> EntryProcess::callServer(PendingPtr Pending,
                                                        ServerIndex Server) {
  std::string Address = m_Servers.row(Server).m_Listing.m_Address;
  std::string AttemptId = randomId();
  Time Deadline = Pending->m_Deadline - CancelTimeout;
  if (now() >= Deadline)
    co_return AttemptResult{makeErrorResponse(ErrorKind::DeadlinePassed),
                            AttemptStatus::Answered,
                            {}};
  HttpRequest Request = Pending->m_Request;
  setHeader(Request, AttemptIdHeader, AttemptId);
  setHeader(Request, TraceHeader, Pending->m_TraceId);
  setHeader(Request, DeadlineHeader, std::to_string(remainingMillis(Deadline)));
  std::erase_if(Request.m_Headers, [](const HeaderField &Field) {
    return Field.m_Name == GrantHeader || Field.m_Name == ForwardedHeader ||
           Field.m_Name == "Connection";
  });
  ++Pending->m_Attempts;
  HttpResult ServerResult = co_await m_Client.send(
      Address, std::move(Request), Deadline, !Pending->m_Idempotent);
  std::string NotStarted(ServerResult.m_Response.header(NotStartedHeader));
  switch (ServerResult.m_Failure) {
  case HttpFailure::None:
    if (NotStarted.empty())
      co_return AttemptResult{makeResponse(std::move(ServerResult.m_Response)),
                              AttemptStatus::Answered,
                              {}};
    if (NotStarted == "draining")
      markDraining(Address);
    co_return makeNotRunResult(ErrorKind::ServerShed, AttemptStatus::Shed,
                               RetryReason::ServerShed);
  case HttpFailure::Connect:
    co_return makeNotRunResult(ErrorKind::ServerUnreachable,
                               AttemptStatus::Unreachable,
                               RetryReason::ServerUnreachable);
  case HttpFailure::Incomplete:
  case HttpFailure::Malformed: {
    AttemptResult CutResult{
        makeErrorResponse(ErrorKind::ServerCut), AttemptStatus::Failed, {}};
    if (Pending->m_Idempotent)
      CutResult.m_RetryReason = RetryReason::ServerCut;
    co_return CutResult;
  }
  case HttpFailure::TooLarge:
    co_return AttemptResult{makeErrorResponse(ErrorKind::AnswerTooLarge),
                            AttemptStatus::Answered,
                            {}};
  case HttpFailure::Timeout:
  case HttpFailure::Withheld:
  case HttpFailure::Cancelled: // Does not occur; no call here is cancelled.
    break;
  }
  if (co_await cancelAttempt(Address, AttemptId))
    co_return AttemptResult{makeErrorResponse(ErrorKind::DeadlinePassed),
                            AttemptStatus::Failed,
                            {}};
  co_return AttemptResult{
      makeErrorResponse(ErrorKind::ServerTimeout), AttemptStatus::Failed, {}};
}

asio::awaitable<bool> EntryProcess::cancelAttempt(std::string Address,
                                                  std::string AttemptId) {
  HttpRequest Request;
  Request.m_Method = "DELETE";
  Request.m_Target = CancelPath + AttemptId;
  HttpResult CancelResult = co_await m_Client.send(Address, std::move(Request),
                                                   now() + CancelTimeout);
  co_return CancelResult.m_Failure == HttpFailure::None &&
      !CancelResult.m_Response.header(NotStartedHeader).empty();
}

asio::awaitable<void>
EntryProcess::attemptRemote(PendingPtr Pending, std::string Peer, GrantId Id) {
  Time StartedAt = now();
  bool MaySend = Pending->m_Key.empty() || m_Keys.markSent(Pending->m_Key);
  AttemptResult Attempt{
      makeErrorResponse(ErrorKind::Leaving), AttemptStatus::Answered, {}};
  if (MaySend) {
    HttpRequest Request = Pending->m_Request;
    setHeader(Request, GrantHeader, std::to_string(Id));
    setHeader(Request, TraceHeader, Pending->m_TraceId);
    setHeader(Request, DeadlineHeader,
              std::to_string(remainingMillis(Pending->m_Deadline)));
    std::erase_if(Request.m_Headers, [](const HeaderField &Field) {
      return Field.m_Name == "Connection";
    });
    ++Pending->m_Attempts;
    HttpResult PeerResult =
        co_await m_Client.send(controlAddress(Peer), std::move(Request),
                               Pending->m_Deadline, !Pending->m_Idempotent);
    if (PeerResult.m_Failure == HttpFailure::None) {
      Attempt.m_Response =
          readForwardedResponse(std::move(PeerResult.m_Response));
      if (Attempt.m_Response->m_Outcome == Outcome::NotRun) {
        Attempt.m_RetryReason = RetryReason::GrantRefused;
        m_GrantHolder.invalidate(Peer, Pending->m_Pool);
      }
    } else if (PeerResult.m_Failure == HttpFailure::Connect) {
      Attempt =
          makeNotRunResult(ErrorKind::ServerUnreachable, AttemptStatus::Failed,
                           RetryReason::PeerUnreachable);
      m_GrantHolder.invalidate(Peer, Pending->m_Pool);
    } else {
      ErrorKind Kind = PeerResult.m_Failure == HttpFailure::Timeout
                           ? ErrorKind::ServerTimeout
                           : ErrorKind::ServerCut;
      Attempt.m_Response = makeErrorResponse(Kind);
      if (Pending->m_Idempotent && Kind == ErrorKind::ServerCut)
        Attempt.m_RetryReason = RetryReason::ServerCut;
    }
  }
  m_GrantHolder.release(Peer, Pending->m_Pool);
  endAttempt(Pending, std::move(Attempt), now() - StartedAt);
}

// Finishes the request, or queues it again if the attempt can be retried within
// the deadline, MaxAttempts and the retry budget.
void EntryProcess::endAttempt(const PendingPtr &Pending, AttemptResult Attempt,
                              Duration SlotTime) {
  PoolRuntime &Pool = m_Pools[static_cast<std::size_t>(Pending->m_Pool)];
  if (Attempt.m_Response->m_Outcome == Outcome::Unknown)
    Pending->m_MayHaveRun = true;
  bool IsFinal = !Attempt.m_RetryReason.has_value();
  if (IsFinal) {
    Pool.m_Queue.recordFinished(Pending->m_Priority, SlotTime);
    if (Pending->m_Attempts == 1)
      Pool.m_RetryBudget.recordFirstAttempt();
  }
  Duration RemainingTime = Pending->m_Deadline - now();
  bool HasTimeLeft =
      RemainingTime > Pool.m_Queue.meanServiceTime(Pending->m_Priority);
  if (!IsFinal &&
      (m_Stopped || !HasTimeLeft || Pending->m_Attempts >= MaxAttempts ||
       !Pool.m_RetryBudget.tryTakeRetry())) {
    Pool.m_Queue.recordFinished(
        Pending->m_Priority, Pool.m_Queue.meanServiceTime(Pending->m_Priority));
    IsFinal = true;
  }
  if (IsFinal) {
    finishRequest(Pending, std::move(Attempt.m_Response));
  } else {
    m_Daemon.m_Metrics.countRetry(*Attempt.m_RetryReason,
                                  Pending->m_ServiceName);
    if (!Pending->m_Key.empty())
      m_Keys.markNotSent(Pending->m_Key);
    const Service &ServiceConfig =
        m_Config.m_Services[static_cast<std::size_t>(Pending->m_Service)];
    QueuedRequest Requeued{Pending->m_Id, ServiceConfig.m_Profile,
                           Pending->m_Priority, now() - Pending->m_ArrivedAt};
    Pool.m_Queue.putBack(Requeued, now(), Pending->m_Deadline);
  }
  dispatchWaiting(Pending->m_Pool);
}

void EntryProcess::finishRequest(const PendingPtr &Pending,
                                 ResponsePtr FinalResponse) {
  if (Pending->m_MayHaveRun && FinalResponse->m_Outcome == Outcome::NotRun)
    FinalResponse = makeErrorResponse(ErrorKind::ServerCut);
  if (FinalResponse->m_Error != ErrorKind::None) {
    m_Daemon.m_Metrics.countRefusal(FinalResponse->m_Error,
                                    Pending->m_ServiceName);
    logEvent(
        Severity::Debug, "refused",
        {{"trace", Pending->m_TraceId},
         {"service", Pending->m_ServiceName},
         {"reason", std::string(errorInfo(FinalResponse->m_Error).m_Name)}});
  }
  Pending->m_Response = FinalResponse;
  m_PendingRequests.erase(Pending->m_Id);
  if (!Pending->m_Key.empty())
    m_Keys.finish(Pending->m_Key, FinalResponse);
  Pending->m_FinishedSignal->cancel();
}

// Runs a request that another entry process forwarded under a grant. Only the
// sender tracks the key and retries; this process makes one attempt on one
// server.
asio::awaitable<HttpResponse>
EntryProcess::handleForwardedRequest(HttpRequest Request) {
  GrantId Id = 0;
  std::string_view GrantText = Request.header(GrantHeader);
  std::from_chars(GrantText.data(), GrantText.data() + GrantText.size(), Id);
  std::string Peer = Request.m_PeerIp;
  Result<PendingPtr> Created = makePendingRequest(std::move(Request));
  if (!Created)
    co_return errorResponse(Created.error().m_Kind, Created.error().m_Message);
  PendingPtr Pending = Created.value();
  if (!m_GrantIssuer.start(Id, now())) {
    m_Daemon.m_Metrics.countRefusal(ErrorKind::GrantMissing,
                                    Pending->m_ServiceName);
    co_return errorResponse(ErrorKind::GrantMissing);
  }
  ServerIndex Server = m_Servers.acquire(Pending->m_Pool);
  ResponsePtr FinalResponse = makeErrorResponse(ErrorKind::NoCapacity);
  if (Server != NoServer) {
    AttemptResult Attempt = co_await callServer(Pending, Server);
    m_Servers.release(Server, Attempt.m_Status, now());
    FinalResponse = Attempt.m_Response;
  }
  m_GrantIssuer.finish(Id);
  dispatchWaiting(Pending->m_Pool);
  HttpResponse Response = toHttpResponse(*FinalResponse);
  const SnapshotMember *Member = findMember(Peer);
  if (Member != nullptr)
    co_await paceResponse(std::string(m_Config.regionOf(Member->m_Domain)),
                          Response.m_Body.size(), Pending->m_Deadline);
  co_return Response;
}

// Delays a response to a remote region until this process's share of the link
// allows it. The bytes are charged in chunks.
asio::awaitable<void> EntryProcess::paceResponse(std::string Region,
                                                 std::size_t Bytes,
                                                 Time Deadline) {
  if (Region == m_Region)
    co_return;
  constexpr std::int64_t MaxChunkBytes = 64 << 10;
  auto RemainingBytes = static_cast<std::int64_t>(Bytes) + HeaderBytesEstimate;
  while (RemainingBytes > 0 && now() < Deadline) {
    LinkShare *Share = findLink(Region);
    if (Share == nullptr)
      co_return;
    std::int64_t ChunkBytes = std::min(RemainingBytes, MaxChunkBytes);
    Duration Wait = Share->timeUntilAvailable(ChunkBytes, now());
    if (Wait == Duration::max()) {
      m_Daemon.m_Metrics.countRefusal(ErrorKind::LinkFull, "");
      co_return;
    }
    if (Wait > Duration{0})
      co_await sleepFor(Wait);
    if (Share->charge(ChunkBytes, now()))
      RemainingBytes -= ChunkBytes;
  }
}

} // namespace rhubarb::entry
