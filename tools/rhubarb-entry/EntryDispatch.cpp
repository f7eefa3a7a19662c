// Dispatch: from the queue to a backend server or, under a grant, to another
// entry process; what the end of an attempt means; retries.
#include "Entry.h"

#include "net/BackendProtocol.h"
#include "net/Clock.h"
#include "net/Log.h"

#include <charconv>

namespace rhubarb::entry {
namespace {

constexpr int MaxAttempts = 4;
constexpr int PlentyOfSlots = 1 << 20; // The reserve applies to own slots only.
constexpr int MaxDistance = 2;
constexpr Duration CancelTime = 60ms; // Kept of the deadline for a cancel.
constexpr std::int64_t HeaderBytesGuess = 512;

std::int64_t millisLeft(Time Deadline) {
  return std::max<std::int64_t>(
      (Deadline - now()) / std::chrono::milliseconds(1), 1);
}

void setHeader(HttpRequest &Request, const char *Name, std::string Value) {
  std::erase_if(Request.m_Headers,
                [&](const HeaderField &Field) { return Field.m_Name == Name; });
  Request.m_Headers.push_back({Name, std::move(Value)});
}

AttemptResult notRun(ErrorKind Kind, AttemptStatus End, RetryReason Reason) {
  return {makeErrorResponse(Kind), End, Reason};
}

ResponsePtr answerOf(HttpResponse Response) {
  auto Made = std::make_shared<rhubarb::Response>();
  Made->m_Status = Response.m_Status;
  Made->m_Headers = std::move(Response.m_Headers);
  Made->m_Body = std::move(Response.m_Body);
  return Made;
}

// Reads the answer of an entry process that ran the request under a grant.
ResponsePtr forwardedAnswer(HttpResponse Response) {
  std::string Outcome(Response.header(OutcomeHeader));
  if (Outcome == outcomeName(Outcome::Answered))
    return answerOf(std::move(Response));
  std::string Reason(Response.header(ReasonHeader));
  for (int I = 0; I < static_cast<int>(ErrorKind::Count); ++I)
    if (errorInfo(static_cast<ErrorKind>(I)).m_Name == Reason)
      return makeErrorResponse(static_cast<ErrorKind>(I));
  return makeErrorResponse(ErrorKind::ServerCut,
                           "the peer's answer is unreadable");
}

} // namespace

// Slots that came free go to urgent work of others first, unless urgent work
// waits here too.
void Entry::servePending(int Pool) {
  const AdmissionQueue &Queue = m_Pools[static_cast<std::size_t>(Pool)].m_Queue;
  if (Queue.firstWaitingPriority().value_or(Priority::Batch) ==
      Priority::Urgent)
    return;
  for (PushedGrant &Given :
       m_Desk.servePending(Pool, m_Servers.freeSlots(Pool), now()))
    spawn(m_Frame.m_Io, sendGrant(std::move(Given), Pool));
}

void Entry::pump(int Pool) {
  servePending(Pool);
  updateCapacity(Pool);
  while (dispatchLocal(Pool) || dispatchRemote(Pool)) {
  }
}

bool Entry::dispatchLocal(int Pool) {
  AdmissionQueue &Queue = m_Pools[static_cast<std::size_t>(Pool)].m_Queue;
  std::optional<Priority> First = Queue.firstWaitingPriority();
  if (!First)
    return false;
  int Free = m_Servers.freeSlots(Pool) - m_Desk.reservedSlots(Pool, now());
  std::optional<QueuedRequest> Taken = Queue.take(Free, now());
  if (!Taken)
    return false;
  PendingPtr Pending = m_Pending.at(Taken->m_Id);
  ServerIndex Server = m_Servers.acquire(Pool);
  spawn(m_Frame.m_Io, attemptLocal(Pending, Server));
  return true;
}

bool Entry::dispatchRemote(int Pool) {
  AdmissionQueue &Queue = m_Pools[static_cast<std::size_t>(Pool)].m_Queue;
  if (Queue.waiting() == 0)
    return false;
  for (int Distance = 0; Distance <= MaxDistance; ++Distance) {
    GrantHolder::HeldGrant *Held = m_Wallet.acquire(Pool, Distance, now());
    if (Held == nullptr)
      continue;
    std::vector<bool> Allowed;
    for (const Profile &Row : m_Config.m_Profiles)
      Allowed.push_back(static_cast<int>(Row.m_Reach) >= Held->m_Distance &&
                        Row.m_Priority <= Held->m_Priority);
    std::optional<QueuedRequest> Taken =
        Queue.takeAllowed(PlentyOfSlots, now(), Allowed);
    if (!Taken) {
      m_Wallet.release(Held->m_Peer, Pool);
      continue;
    }
    PendingPtr Pending = m_Pending.at(Taken->m_Id);
    const SnapshotMember *Member = findMember(Held->m_Peer);
    std::string Region = Member == nullptr
                             ? ""
                             : std::string(m_Config.regionOf(Member->m_Domain));
    LinkShare *Share = Region == m_Region ? nullptr : linkTo(Region);
    auto Bytes = static_cast<std::int64_t>(Pending->m_Request.m_Body.size()) +
                 HeaderBytesGuess;
    if (Share != nullptr && !Share->charge(Bytes, now())) {
      m_Frame.m_Metrics.countRefusal(ErrorKind::LinkFull,
                                     Pending->m_ServiceName);
      Queue.putBack(*Taken, now(), Pending->m_Deadline);
      m_Wallet.release(Held->m_Peer, Pool);
      return false;
    }
    spawn(m_Frame.m_Io, attemptRemote(Pending, Held->m_Peer, Held->m_Id));
    return true;
  }
  return false;
}

asio::awaitable<void> Entry::attemptLocal(PendingPtr Pending,
                                          ServerIndex Server) {
  Time Began = now();
  bool MaySend = Pending->m_Key.empty() || m_Keys.markSent(Pending->m_Key);
  AttemptResult Ended{
      makeErrorResponse(ErrorKind::Leaving), AttemptStatus::Answered, {}};
  if (MaySend)
    Ended = co_await callServer(Pending, Server);
  m_Servers.release(Server, Ended.m_End, now());
  endAttempt(Pending, std::move(Ended), now() - Began);
}

// Runs one attempt on a server and reads its end truthfully: not run only when
// no byte was sent or the server said so.
asio::awaitable<AttemptResult> Entry::callServer(PendingPtr Pending,
                                                 ServerIndex Server) {
  std::string Address = m_Servers.row(Server).m_Listing.m_Address;
  std::string Attempt = randomId();
  Time Deadline = Pending->m_Deadline - CancelTime;
  if (now() >= Deadline)
    co_return AttemptResult{makeErrorResponse(ErrorKind::DeadlinePassed),
                            AttemptStatus::Answered,
                            {}};
  HttpRequest Request = Pending->m_Request;
  setHeader(Request, AttemptIdHeader, Attempt);
  setHeader(Request, TraceHeader, Pending->m_TraceId);
  setHeader(Request, DeadlineHeader, std::to_string(millisLeft(Deadline)));
  std::erase_if(Request.m_Headers, [](const HeaderField &Field) {
    return Field.m_Name == GrantHeader || Field.m_Name == ForwardedHeader ||
           Field.m_Name == "Connection";
  });
  ++Pending->m_Attempts;
  HttpResult Got = co_await m_Client.send(Address, std::move(Request), Deadline,
                                          !Pending->m_Idempotent);
  std::string NotStarted(Got.m_Response.header(NotStartedHeader));
  switch (Got.m_Failure) {
  case HttpFailure::None:
    if (NotStarted.empty())
      co_return AttemptResult{
          answerOf(std::move(Got.m_Response)), AttemptStatus::Answered, {}};
    if (NotStarted == "draining")
      markDraining(Address);
    co_return notRun(ErrorKind::ServerShed, AttemptStatus::Shed,
                     RetryReason::ServerShed);
  case HttpFailure::Connect:
    co_return notRun(ErrorKind::ServerUnreachable, AttemptStatus::Unreachable,
                     RetryReason::ServerUnreachable);
  case HttpFailure::Incomplete:
  case HttpFailure::Malformed: {
    AttemptResult Cut{
        makeErrorResponse(ErrorKind::ServerCut), AttemptStatus::Failed, {}};
    if (Pending->m_Idempotent)
      Cut.m_Retry = RetryReason::ServerCut;
    co_return Cut;
  }
  case HttpFailure::TooLarge:
    co_return AttemptResult{makeErrorResponse(ErrorKind::AnswerTooLarge),
                            AttemptStatus::Answered,
                            {}};
  case HttpFailure::Timeout:
  case HttpFailure::Cancelled: // This process cancels no attempt.
    break;
  }
  if (co_await cancelledBeforeStart(Address, Attempt))
    co_return AttemptResult{makeErrorResponse(ErrorKind::DeadlinePassed),
                            AttemptStatus::Failed,
                            {}};
  co_return AttemptResult{
      makeErrorResponse(ErrorKind::ServerTimeout), AttemptStatus::Failed, {}};
}

asio::awaitable<bool> Entry::cancelledBeforeStart(std::string Address,
                                                  std::string Attempt) {
  HttpRequest Request;
  Request.m_Method = "DELETE";
  Request.m_Target = CancelPath + Attempt;
  HttpResult Got =
      co_await m_Client.send(Address, std::move(Request), now() + CancelTime);
  co_return Got.m_Failure == HttpFailure::None &&
      !Got.m_Response.header(NotStartedHeader).empty();
}

asio::awaitable<void> Entry::attemptRemote(PendingPtr Pending, std::string Peer,
                                           GrantId Id) {
  Time Began = now();
  bool MaySend = Pending->m_Key.empty() || m_Keys.markSent(Pending->m_Key);
  AttemptResult Ended{
      makeErrorResponse(ErrorKind::Leaving), AttemptStatus::Answered, {}};
  if (MaySend) {
    HttpRequest Request = Pending->m_Request;
    setHeader(Request, GrantHeader, std::to_string(Id));
    setHeader(Request, TraceHeader, Pending->m_TraceId);
    setHeader(Request, DeadlineHeader,
              std::to_string(millisLeft(Pending->m_Deadline)));
    std::erase_if(Request.m_Headers, [](const HeaderField &Field) {
      return Field.m_Name == "Connection";
    });
    ++Pending->m_Attempts;
    HttpResult Got =
        co_await m_Client.send(controlAddress(Peer), std::move(Request),
                               Pending->m_Deadline, !Pending->m_Idempotent);
    if (Got.m_Failure == HttpFailure::None) {
      Ended.m_Answer = forwardedAnswer(std::move(Got.m_Response));
      if (Ended.m_Answer->m_Outcome == Outcome::NotRun) {
        Ended.m_Retry = RetryReason::GrantRefused;
        m_Wallet.invalidate(Peer, Pending->m_Pool);
      }
    } else if (Got.m_Failure == HttpFailure::Connect) {
      Ended = notRun(ErrorKind::ServerUnreachable, AttemptStatus::Failed,
                     RetryReason::PeerUnreachable);
      m_Wallet.invalidate(Peer, Pending->m_Pool);
    } else {
      ErrorKind Kind = Got.m_Failure == HttpFailure::Timeout
                           ? ErrorKind::ServerTimeout
                           : ErrorKind::ServerCut;
      Ended.m_Answer = makeErrorResponse(Kind);
      if (Pending->m_Idempotent && Kind == ErrorKind::ServerCut)
        Ended.m_Retry = RetryReason::ServerCut;
    }
  }
  m_Wallet.release(Peer, Pending->m_Pool);
  endAttempt(Pending, std::move(Ended), now() - Began);
}

// Ends the request, or queues it once more within its deadline and budget.
void Entry::endAttempt(const PendingPtr &Pending, AttemptResult Ended,
                       Duration Held) {
  PoolRuntime &Pool = m_Pools[static_cast<std::size_t>(Pending->m_Pool)];
  if (Ended.m_Answer->m_Outcome == Outcome::Unknown)
    Pending->m_MayHaveRun = true;
  bool Final = !Ended.m_Retry.has_value();
  if (Final) {
    Pool.m_Queue.recordFinished(Pending->m_Rank, Held);
    if (Pending->m_Attempts == 1)
      Pool.m_Budget.recordFirstAttempt();
  }
  Duration Left = Pending->m_Deadline - now();
  bool TimeLeft = Left > Pool.m_Queue.meanServiceTime(Pending->m_Rank);
  if (!Final && (m_Stopped || !TimeLeft || Pending->m_Attempts >= MaxAttempts ||
                 !Pool.m_Budget.tryTakeRetry())) {
    Pool.m_Queue.recordFinished(Pending->m_Rank,
                                Pool.m_Queue.meanServiceTime(Pending->m_Rank));
    Final = true;
  }
  if (Final) {
    finish(Pending, std::move(Ended.m_Answer));
  } else {
    m_Frame.m_Metrics.countRetry(*Ended.m_Retry, Pending->m_ServiceName);
    if (!Pending->m_Key.empty())
      m_Keys.markNotSent(Pending->m_Key);
    const Service &Chosen =
        m_Config.m_Services[static_cast<std::size_t>(Pending->m_Service)];
    QueuedRequest Again{Pending->m_Id, Chosen.m_Profile, Pending->m_Rank,
                        now() - Pending->m_Arrived};
    Pool.m_Queue.putBack(Again, now(), Pending->m_Deadline);
  }
  pump(Pending->m_Pool);
}

void Entry::finish(const PendingPtr &Pending, ResponsePtr Final) {
  if (Pending->m_MayHaveRun && Final->m_Outcome == Outcome::NotRun)
    Final = makeErrorResponse(ErrorKind::ServerCut);
  if (Final->m_Error != ErrorKind::None) {
    m_Frame.m_Metrics.countRefusal(Final->m_Error, Pending->m_ServiceName);
    logEvent(Severity::Debug, "refused",
             {{"trace", Pending->m_TraceId},
              {"service", Pending->m_ServiceName},
              {"reason", std::string(errorInfo(Final->m_Error).m_Name)}});
  }
  Pending->m_Answer = Final;
  m_Pending.erase(Pending->m_Id);
  if (!Pending->m_Key.empty())
    m_Keys.finish(Pending->m_Key, Final);
  Pending->m_Done->cancel();
}

// Runs a request that another entry process sent under a grant. The sender
// holds the key; here it is one attempt, on one server.
asio::awaitable<HttpResponse> Entry::serveForwarded(HttpRequest Request) {
  GrantId Id = 0;
  std::string_view Text = Request.header(GrantHeader);
  std::from_chars(Text.data(), Text.data() + Text.size(), Id);
  std::string Peer = Request.m_PeerIp;
  Result<PendingPtr> Made = makePending(std::move(Request));
  if (!Made)
    co_return errorResponse(Made.error().m_Kind, Made.error().m_Message);
  PendingPtr Pending = Made.value();
  if (!m_Desk.start(Id, now())) {
    m_Frame.m_Metrics.countRefusal(ErrorKind::GrantMissing,
                                   Pending->m_ServiceName);
    co_return errorResponse(ErrorKind::GrantMissing);
  }
  ServerIndex Server = m_Servers.acquire(Pending->m_Pool);
  ResponsePtr Final = makeErrorResponse(ErrorKind::NoCapacity);
  if (Server != NoServer) {
    AttemptResult Ended = co_await callServer(Pending, Server);
    m_Servers.release(Server, Ended.m_End, now());
    Final = Ended.m_Answer;
  }
  m_Desk.finish(Id);
  pump(Pending->m_Pool);
  HttpResponse Response = toResponse(*Final);
  const SnapshotMember *Member = findMember(Peer);
  if (Member != nullptr)
    co_await paceAnswer(std::string(m_Config.regionOf(Member->m_Domain)),
                        Response.m_Body.size(), Pending->m_Deadline);
  co_return Response;
}

// Charges an answer to this process's share of the link, in pieces.
asio::awaitable<void> Entry::paceAnswer(std::string Region, std::size_t Bytes,
                                        Time Deadline) {
  if (Region == m_Region)
    co_return;
  constexpr std::int64_t PieceBytes = 64 << 10;
  auto Left = static_cast<std::int64_t>(Bytes) + HeaderBytesGuess;
  while (Left > 0 && now() < Deadline) {
    LinkShare *Share = linkTo(Region);
    if (Share == nullptr)
      co_return;
    std::int64_t Piece = std::min(Left, PieceBytes);
    Duration Wait = Share->timeUntilAvailable(Piece, now());
    if (Wait == Duration::max()) {
      m_Frame.m_Metrics.countRefusal(ErrorKind::LinkFull, "");
      co_return;
    }
    if (Wait > Duration{0})
      co_await sleepFor(Wait);
    if (Share->charge(Piece, now()))
      Left -= Piece;
  }
}

} // namespace rhubarb::entry
