// Requests from callers: validation, keys, admission and responses.
#include "Entry.h"

#include "net/BackendProtocol.h"
#include "net/Clock.h"
#include "net/Log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <charconv>

namespace rhubarb::entry {
namespace {

constexpr Duration MinDeadline = 10ms;
constexpr Duration MaxDeadline = 10min;

// Hop-by-hop header fields, and fields that the entry process sets itself. They
// are removed from requests to another home and from responses, except that
// forwardToHome() keeps the Rhubarb fields of the response.
constexpr std::array<std::string_view, 10> StrippedHeaders{"connection",
                                                           "keep-alive",
                                                           "transfer-encoding",
                                                           "content-length",
                                                           "te",
                                                           "trailer",
                                                           "upgrade",
                                                           "rhubarb-outcome",
                                                           "rhubarb-reason",
                                                           "rhubarb-attempt"};

bool isStrippedHeader(const std::string &Name) {
  std::string Lower = Name;
  for (char &C : Lower)
    C = C >= 'A' && C <= 'Z' ? static_cast<char>(C + 32) : C;
  return std::find(StrippedHeaders.begin(), StrippedHeaders.end(), Lower) !=
         StrippedHeaders.end();
}

// Returns a hash of the request, which detects a key that is reused for another
// request.
std::uint64_t fingerprintOf(const HttpRequest &Request,
                            const std::string &Service) {
  std::uint64_t Hash = stableHash(Service);
  Hash = stableHash(Request.m_Method, Hash);
  Hash = stableHash(Request.m_Target, Hash);
  return stableHash(Request.m_Body, Hash);
}

std::string formatIp(std::uint32_t Ip) {
  return boost::asio::ip::address_v4(Ip).to_string();
}

} // namespace

HttpResponse EntryProcess::issueKeyPrefix() const {
  KeyPrefix Home = m_KeySigner.sign(m_Keys.self(), unixMillis());
  Json::Value Json;
  Json["home"] = keyPrefixText(Home);
  Json["use"] =
      "send Rhubarb-Key: home.ID, with an ID of your own for each request";
  return jsonResponse(200, compactJson(Json) + "\n");
}

asio::awaitable<HttpResponse>
EntryProcess::handleCallerRequest(HttpRequest Request) {
  if (Request.path() == "/v1/keys" && Request.m_Method == "POST") {
    if (m_Leaving)
      co_return errorResponse(ErrorKind::Leaving);
    co_return issueKeyPrefix();
  }
  Time ArrivedAt = now();
  std::string Service(Request.header(ServiceHeader));
  HttpResponse Response = co_await handleServiceRequest(std::move(Request));
  std::string Reason(Response.header(ReasonHeader));
  m_Daemon.m_Metrics.count(
      "rhubarb_requests_total",
      {{"service", m_Config.findService(Service) ? Service : ""},
       {"outcome", std::string(Response.header(OutcomeHeader))},
       {"reason", Reason}});
  if (const rhubarb::Service *ServiceConfig = m_Config.findService(Service)) {
    const Profile &ServiceProfile =
        m_Config.m_Profiles[static_cast<std::size_t>(ServiceConfig->m_Profile)];
    m_Daemon.m_Metrics.observe(
        "rhubarb_latency_seconds",
        {{"rank", std::string(priorityName(ServiceProfile.m_Priority))}},
        now() - ArrivedAt);
  }
  co_return Response;
}

Result<PendingPtr> EntryProcess::makePendingRequest(HttpRequest Request) const {
  if (!m_ConfigKnown)
    return Error{ErrorKind::NoConfiguration, ""};
  std::string ServiceName(Request.header(ServiceHeader));
  const Service *ServiceConfig = m_Config.findService(ServiceName);
  if (ServiceConfig == nullptr)
    return Error{ErrorKind::UnknownService, "no service '" + ServiceName + "'"};
  const Profile &ServiceProfile =
      m_Config.m_Profiles[static_cast<std::size_t>(ServiceConfig->m_Profile)];
  Duration Timeout = ServiceProfile.m_Deadline;
  std::string_view DeadlineText = Request.header(DeadlineHeader);
  if (!DeadlineText.empty()) {
    std::int64_t Millis = 0;
    auto [End, ParseError] = std::from_chars(
        DeadlineText.data(), DeadlineText.data() + DeadlineText.size(), Millis);
    bool IsNumber = ParseError == std::errc() &&
                    End == DeadlineText.data() + DeadlineText.size();
    Timeout = std::chrono::milliseconds(Millis);
    if (!IsNumber || Timeout < MinDeadline || Timeout > MaxDeadline)
      return rhubarb::Error{ErrorKind::BadRequest,
                            "Rhubarb-Deadline-Ms takes 10 to 600000"};
  }
  auto Pending = std::make_shared<PendingRequest>();
  Pending->m_Service =
      static_cast<int>(ServiceConfig - m_Config.m_Services.data());
  Pending->m_Pool = ServiceConfig->m_Pool;
  Pending->m_ServiceName = ServiceName;
  Pending->m_Priority = ServiceProfile.m_Priority;
  Pending->m_Idempotent = ServiceProfile.m_Idempotent;
  Pending->m_TraceId = Request.header(TraceHeader);
  if (Pending->m_TraceId.empty())
    Pending->m_TraceId = randomId();
  Pending->m_Key = Request.header(KeyHeader);
  Pending->m_Request = std::move(Request);
  Pending->m_ArrivedAt = now();
  Pending->m_Deadline = Pending->m_ArrivedAt + Timeout;
  return Pending;
}

asio::awaitable<HttpResponse>
EntryProcess::handleServiceRequest(HttpRequest Request) {
  Result<PendingPtr> Created = makePendingRequest(std::move(Request));
  if (!Created) {
    m_Daemon.m_Metrics.countRefusal(Created.error().m_Kind, "");
    co_return errorResponse(Created.error().m_Kind, Created.error().m_Message);
  }
  PendingPtr Pending = Created.value();
  auto Refuse = [&](ErrorKind Kind, const std::string &Message = {}) {
    m_Daemon.m_Metrics.countRefusal(Kind, Pending->m_ServiceName);
    return errorResponse(Kind, Message);
  };
  if (Pending->m_Key.empty()) {
    if (!Pending->m_Idempotent)
      co_return Refuse(ErrorKind::KeyMissing);
    if (m_RefusesUnkeyedRequests)
      co_return Refuse(ErrorKind::Leaving);
    ResponsePtr FinalResponse = co_await submit(Pending);
    co_return toHttpResponse(*FinalResponse);
  }
  Result<IdempotencyKey> Key = parseKey(Pending->m_Key);
  if (!Key)
    co_return Refuse(Key.error().m_Kind, Key.error().m_Message);
  if (!m_KeySigner.verify(Key.value().m_Prefix))
    co_return Refuse(ErrorKind::KeyForged);
  HomeId Home = Key.value().m_Prefix.m_Home;
  if (!m_Keys.servesHome(Home) || m_Keys.retired())
    co_return co_await forwardToHome(Pending->m_Request, Home,
                                     Pending->m_Deadline);
  ResponsePtr FinalResponse = co_await handleKeyedRequest(Pending, Key.value());
  HttpResponse Response = toHttpResponse(*FinalResponse);
  if (FinalResponse->m_Error == ErrorKind::KeyExpired)
    Response.m_Headers.push_back({AttemptOutcomeHeader, "not-run"});
  co_return Response;
}

asio::awaitable<ResponsePtr>
EntryProcess::handleKeyedRequest(PendingPtr Pending, IdempotencyKey Key) {
  std::uint64_t Fingerprint =
      fingerprintOf(Pending->m_Request, Pending->m_ServiceName);
  int AttemptNumber = 0;
  std::string_view AttemptText = Pending->m_Request.header(AttemptNumberHeader);
  std::from_chars(AttemptText.data(), AttemptText.data() + AttemptText.size(),
                  AttemptNumber);
  KeyAdmission Admission =
      m_Keys.admit(Key, Fingerprint, unixMillis(), AttemptNumber);
  switch (Admission.m_Action) {
  case KeyAction::Run:
    break;
  case KeyAction::Join:
    m_Daemon.m_Metrics.count("rhubarb_key_joins_total");
    co_return co_await joinKey(Pending->m_Key, Pending->m_Deadline);
  case KeyAction::Replay:
    m_Daemon.m_Metrics.count("rhubarb_key_replays_total");
    co_return Admission.m_Response;
  case KeyAction::Refuse:
    m_Daemon.m_Metrics.countRefusal(Admission.m_Error, Pending->m_ServiceName);
    co_return makeErrorResponse(Admission.m_Error);
  }
  co_return co_await submit(Pending);
}

// Waits for the response to an earlier request with the same key that is still
// in progress.
asio::awaitable<ResponsePtr> EntryProcess::joinKey(std::string Key,
                                                   Time Deadline) {
  struct Waiter {
    explicit Waiter(asio::io_context &Io) : m_Timer(Io) {}
    asio::steady_timer m_Timer;
    ResponsePtr m_Response;
  };
  auto KeyWaiter = std::make_shared<Waiter>(m_Daemon.m_Io);
  KeyWaiter->m_Timer.expires_after(Deadline - now());
  m_Keys.join(Key, [KeyWaiter](ResponsePtr FinalResponse) {
    KeyWaiter->m_Response = std::move(FinalResponse);
    KeyWaiter->m_Timer.cancel();
  });
  if (!KeyWaiter->m_Response)
    co_await KeyWaiter->m_Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  if (KeyWaiter->m_Response)
    co_return KeyWaiter->m_Response;
  // The earlier request has a later deadline than this one.
  co_return makeErrorResponse(ErrorKind::ServerTimeout);
}

asio::awaitable<ResponsePtr> EntryProcess::submit(PendingPtr Pending) {
  PoolRuntime &Pool = m_Pools[static_cast<std::size_t>(Pending->m_Pool)];
  const Service &ServiceConfig =
      m_Config.m_Services[static_cast<std::size_t>(Pending->m_Service)];
  Pending->m_Id = m_NextRequestId++;
  Pending->m_FinishedSignal =
      std::make_unique<asio::steady_timer>(m_Daemon.m_Io);
  Pending->m_FinishedSignal->expires_at(asio::steady_timer::time_point::max());
  updateCapacity(Pending->m_Pool);
  QueueAdmission Admission = Pool.m_Queue.admit(
      Pending->m_Id, ServiceConfig.m_Profile, now(), Pending->m_Deadline);
  m_PendingRequests[Pending->m_Id] = Pending;
  if (Admission.m_Error != ErrorKind::None)
    finishRequest(Pending, makeErrorResponse(Admission.m_Error, "",
                                             Admission.m_RetryAfter));
  else
    dispatchWaiting(Pending->m_Pool);
  if (!Pending->m_Response && Pending->m_Key.empty() &&
      Pending->m_Request.m_Client)
    Pending->m_Request.m_Client->m_OnClose = [this, Pending] {
      cancelQueued(Pending);
    };
  if (!Pending->m_Response)
    co_await Pending->m_FinishedSignal->async_wait(
        asio::as_tuple(asio::use_awaitable));
  if (Pending->m_Request.m_Client)
    Pending->m_Request.m_Client->m_OnClose = nullptr;
  co_return Pending->m_Response;
}

// Removes a request from the queue after its caller has disconnected. Requests
// that were already dispatched continue. So do requests with a key, because the
// caller can ask for the response again; submit() does not call this for them.
void EntryProcess::cancelQueued(const PendingPtr &Pending) {
  PoolRuntime &Pool = m_Pools[static_cast<std::size_t>(Pending->m_Pool)];
  if (!Pending->m_Response && Pool.m_Queue.remove(Pending->m_Id))
    finishRequest(Pending, makeErrorResponse(ErrorKind::CallerGone));
}

// Forwards a request to the home of its key, the only process that may run it.
// If the home cannot be reached, it is unknown whether the key ran, but this
// attempt did not. The response states both.
asio::awaitable<HttpResponse>
EntryProcess::forwardToHome(HttpRequest Request, HomeId Home, Time Deadline) {
  auto MakeNotRunRefusal = [&](ErrorKind Kind) {
    m_Daemon.m_Metrics.countRefusal(Kind,
                                    std::string(Request.header(ServiceHeader)));
    HttpResponse Response = errorResponse(Kind);
    Response.m_Headers.push_back({AttemptOutcomeHeader, "not-run"});
    return Response;
  };
  std::string HomeIp = formatIp(Home.m_Ip);
  std::string Address = HomeIp + ":" + std::to_string(Home.m_Port);
  std::string HomeText = formatHomeId(Home);
  const SnapshotMember *Member = findMember(HomeIp);
  bool IsHomeGone = Member != nullptr && Member->m_EntryIncarnation != 0 &&
                    Member->m_EntryIncarnation != Home.m_Incarnation;
  for (const SnapshotMember &Adopter : m_Snapshot.m_Members)
    for (const std::string &AdoptedHome : Adopter.m_AdoptedHomes)
      if (AdoptedHome == HomeText) {
        Address = Adopter.m_Ip + ":" + std::to_string(m_Port);
        IsHomeGone = false;
      }
  bool IsLoop = !Request.header(ForwardedHeader).empty() && !m_Keys.retired();
  if (IsHomeGone || IsLoop)
    co_return MakeNotRunRefusal(ErrorKind::HomeGone);
  // Mark the request as forwarded by the entry process that the caller reached.
  // It is sent on a new connection, because after a failure on a reused one it
  // would be unclear whether the home received the request.
  Request.m_Headers.push_back({ForwardedHeader, "1"});
  std::int64_t RemainingMs = (Deadline - now()) / std::chrono::milliseconds(1);
  std::erase_if(Request.m_Headers, [](const HeaderField &Field) {
    return isStrippedHeader(Field.m_Name) || Field.m_Name == DeadlineHeader;
  });
  Request.m_Headers.push_back(
      {DeadlineHeader,
       std::to_string(std::max<std::int64_t>(RemainingMs, 10))});
  HttpResult HomeResult =
      co_await m_Client.send(Address, Request, Deadline, true);
  if (HomeResult.m_Failure == HttpFailure::Connect)
    co_return MakeNotRunRefusal(ErrorKind::HomeUnreachable);
  if (HomeResult.m_Failure != HttpFailure::None) {
    m_Daemon.m_Metrics.countRefusal(ErrorKind::HomeUnreachable,
                                    std::string(Request.header(ServiceHeader)));
    co_return errorResponse(ErrorKind::HomeUnreachable);
  }
  std::erase_if(HomeResult.m_Response.m_Headers, [](const HeaderField &Field) {
    return isStrippedHeader(Field.m_Name) &&
           !Field.m_Name.starts_with("Rhubarb-");
  });
  co_return HomeResult.m_Response;
}

HttpResponse EntryProcess::toHttpResponse(const Response &Source) const {
  if (Source.m_Error != ErrorKind::None)
    return errorResponse(Source.m_Error, Source.m_Detail, Source.m_RetryAfter);
  HttpResponse Response;
  Response.m_Status = Source.m_Status;
  for (const HeaderField &Field : Source.m_Headers)
    if (!isStrippedHeader(Field.m_Name))
      Response.m_Headers.push_back(Field);
  Response.m_Headers.push_back(
      {OutcomeHeader, std::string(outcomeName(Source.m_Outcome))});
  Response.m_Body = Source.m_Body;
  return Response;
}

} // namespace rhubarb::entry
