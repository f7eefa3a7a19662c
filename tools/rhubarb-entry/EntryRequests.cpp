// Requests of callers: checks, keys, admission, answers.
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

// Header fields that belong to one connection, or that this system sets.
constexpr std::array<std::string_view, 10> HiddenHeaders{"connection",
                                                         "keep-alive",
                                                         "transfer-encoding",
                                                         "content-length",
                                                         "te",
                                                         "trailer",
                                                         "upgrade",
                                                         "rhubarb-outcome",
                                                         "rhubarb-reason",
                                                         "rhubarb-attempt"};

bool isHidden(const std::string &Name) {
  std::string Lower = Name;
  for (char &C : Lower)
    C = C >= 'A' && C <= 'Z' ? static_cast<char>(C + 32) : C;
  return std::find(HiddenHeaders.begin(), HiddenHeaders.end(), Lower) !=
         HiddenHeaders.end();
}

// What binds a key to one request.
std::uint64_t fingerprintOf(const HttpRequest &Request,
                            const std::string &Service) {
  std::uint64_t Hash = stableHash(Service);
  Hash = stableHash(Request.m_Method, Hash);
  Hash = stableHash(Request.m_Target, Hash);
  return stableHash(Request.m_Body, Hash);
}

std::string dottedIp(std::uint32_t Ip) {
  return boost::asio::ip::address_v4(Ip).to_string();
}

} // namespace

HttpResponse Entry::issueKeyHome() const {
  KeyPrefix Home = m_Signer.sign(m_Keys.self(), unixMillis());
  Json::Value Json;
  Json["home"] = keyPrefixText(Home);
  Json["use"] =
      "send Rhubarb-Key: home.ID, with an ID of your own for each request";
  return jsonResponse(200, compactJson(Json) + "\n");
}

asio::awaitable<HttpResponse> Entry::serve(HttpRequest Request) {
  if (Request.path() == "/v1/keys" && Request.m_Method == "POST") {
    if (m_Leaving)
      co_return errorResponse(ErrorKind::Leaving);
    co_return issueKeyHome();
  }
  Time Arrived = now();
  std::string Service(Request.header(ServiceHeader));
  HttpResponse Response = co_await serveService(std::move(Request));
  std::string Reason(Response.header(ReasonHeader));
  m_Frame.m_Metrics.count(
      "rhubarb_requests_total",
      {{"service", m_Config.findService(Service) ? Service : ""},
       {"outcome", std::string(Response.header(OutcomeHeader))},
       {"reason", Reason}});
  if (const rhubarb::Service *Known = m_Config.findService(Service)) {
    const Profile &Chosen =
        m_Config.m_Profiles[static_cast<std::size_t>(Known->m_Profile)];
    m_Frame.m_Metrics.observe(
        "rhubarb_latency_seconds",
        {{"rank", std::string(priorityName(Chosen.m_Priority))}},
        now() - Arrived);
  }
  co_return Response;
}

Result<PendingPtr> Entry::makePending(HttpRequest Request) const {
  if (!m_ConfigKnown)
    return Error{ErrorKind::NoConfiguration, ""};
  std::string Name(Request.header(ServiceHeader));
  const Service *Found = m_Config.findService(Name);
  if (Found == nullptr)
    return Error{ErrorKind::UnknownService, "no service '" + Name + "'"};
  const Profile &Chosen =
      m_Config.m_Profiles[static_cast<std::size_t>(Found->m_Profile)];
  Duration Limit = Chosen.m_Deadline;
  std::string_view Stated = Request.header(DeadlineHeader);
  if (!Stated.empty()) {
    std::int64_t Millis = 0;
    auto [Stop, Error] =
        std::from_chars(Stated.data(), Stated.data() + Stated.size(), Millis);
    bool Whole = Error == std::errc() && Stop == Stated.data() + Stated.size();
    Limit = std::chrono::milliseconds(Millis);
    if (!Whole || Limit < MinDeadline || Limit > MaxDeadline)
      return rhubarb::Error{ErrorKind::BadRequest,
                            "Rhubarb-Deadline-Ms takes 10 to 600000"};
  }
  auto Pending = std::make_shared<PendingRequest>();
  Pending->m_Service = static_cast<int>(Found - m_Config.m_Services.data());
  Pending->m_Pool = Found->m_Pool;
  Pending->m_ServiceName = Name;
  Pending->m_Rank = Chosen.m_Priority;
  Pending->m_Idempotent = Chosen.m_Idempotent;
  Pending->m_TraceId = Request.header(TraceHeader);
  if (Pending->m_TraceId.empty())
    Pending->m_TraceId = randomId();
  Pending->m_Key = Request.header(KeyHeader);
  Pending->m_Request = std::move(Request);
  Pending->m_Arrived = now();
  Pending->m_Deadline = Pending->m_Arrived + Limit;
  return Pending;
}

asio::awaitable<HttpResponse> Entry::serveService(HttpRequest Request) {
  Result<PendingPtr> Made = makePending(std::move(Request));
  if (!Made) {
    m_Frame.m_Metrics.countRefusal(Made.error().m_Kind, "");
    co_return errorResponse(Made.error().m_Kind, Made.error().m_Message);
  }
  PendingPtr Pending = Made.value();
  auto Refuse = [&](ErrorKind Kind, const std::string &Text = {}) {
    m_Frame.m_Metrics.countRefusal(Kind, Pending->m_ServiceName);
    return errorResponse(Kind, Text);
  };
  if (Pending->m_Key.empty()) {
    if (!Pending->m_Idempotent)
      co_return Refuse(ErrorKind::KeyMissing);
    if (m_Closed)
      co_return Refuse(ErrorKind::Leaving);
    ResponsePtr Final = co_await submit(Pending);
    co_return toResponse(*Final);
  }
  Result<IdempotencyKey> Key = parseKey(Pending->m_Key);
  if (!Key)
    co_return Refuse(Key.error().m_Kind, Key.error().m_Message);
  if (!m_Signer.verify(Key.value().m_Prefix))
    co_return Refuse(ErrorKind::KeyForged);
  HomeId Home = Key.value().m_Prefix.m_Home;
  if (!m_Keys.servesHome(Home) || m_Keys.retired())
    co_return co_await passToHome(Pending->m_Request, Home,
                                  Pending->m_Deadline);
  ResponsePtr Final = co_await serveKeyed(Pending, Key.value());
  HttpResponse Response = toResponse(*Final);
  if (Final->m_Error == ErrorKind::KeyExpired)
    Response.m_Headers.push_back({AttemptOutcomeHeader, "not-run"});
  co_return Response;
}

asio::awaitable<ResponsePtr> Entry::serveKeyed(PendingPtr Pending,
                                               IdempotencyKey Key) {
  std::uint64_t Fingerprint =
      fingerprintOf(Pending->m_Request, Pending->m_ServiceName);
  int Try = 0;
  std::string_view Text = Pending->m_Request.header(AttemptNumberHeader);
  std::from_chars(Text.data(), Text.data() + Text.size(), Try);
  KeyAdmission Admission = m_Keys.admit(Key, Fingerprint, unixMillis(), Try);
  switch (Admission.m_Action) {
  case KeyAction::Run:
    break;
  case KeyAction::Join:
    m_Frame.m_Metrics.count("rhubarb_key_joins_total");
    co_return co_await joinKey(Pending->m_Key, Pending->m_Deadline);
  case KeyAction::Replay:
    m_Frame.m_Metrics.count("rhubarb_key_replays_total");
    co_return Admission.m_Response;
  case KeyAction::Refuse:
    m_Frame.m_Metrics.countRefusal(Admission.m_Error, Pending->m_ServiceName);
    co_return makeErrorResponse(Admission.m_Error);
  }
  co_return co_await submit(Pending);
}

// Waits for the attempt that is under way for the same key.
asio::awaitable<ResponsePtr> Entry::joinKey(std::string Key, Time Deadline) {
  struct Waiter {
    explicit Waiter(asio::io_context &Io) : m_Timer(Io) {}
    asio::steady_timer m_Timer;
    ResponsePtr m_Answer;
  };
  auto Waiting = std::make_shared<Waiter>(m_Frame.m_Io);
  Waiting->m_Timer.expires_after(Deadline - now());
  m_Keys.join(Key, [Waiting](ResponsePtr Final) {
    Waiting->m_Answer = std::move(Final);
    Waiting->m_Timer.cancel();
  });
  if (!Waiting->m_Answer)
    co_await Waiting->m_Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  if (Waiting->m_Answer)
    co_return Waiting->m_Answer;
  // The first attempt has a later deadline than this one.
  co_return makeErrorResponse(ErrorKind::ServerTimeout);
}

asio::awaitable<ResponsePtr> Entry::submit(PendingPtr Pending) {
  PoolRuntime &Pool = m_Pools[static_cast<std::size_t>(Pending->m_Pool)];
  const Service &Chosen =
      m_Config.m_Services[static_cast<std::size_t>(Pending->m_Service)];
  Pending->m_Id = m_NextRequest++;
  Pending->m_Done = std::make_unique<asio::steady_timer>(m_Frame.m_Io);
  Pending->m_Done->expires_at(asio::steady_timer::time_point::max());
  updateCapacity(Pending->m_Pool);
  QueueAdmission Verdict = Pool.m_Queue.admit(Pending->m_Id, Chosen.m_Profile,
                                              now(), Pending->m_Deadline);
  m_Pending[Pending->m_Id] = Pending;
  if (Verdict.m_Error != ErrorKind::None)
    finish(Pending,
           makeErrorResponse(Verdict.m_Error, "", Verdict.m_RetryAfter));
  else
    pump(Pending->m_Pool);
  if (!Pending->m_Answer && Pending->m_Key.empty() &&
      Pending->m_Request.m_Client)
    Pending->m_Request.m_Client->m_OnClose = [this, Pending] {
      giveUp(Pending);
    };
  if (!Pending->m_Answer)
    co_await Pending->m_Done->async_wait(asio::as_tuple(asio::use_awaitable));
  if (Pending->m_Request.m_Client)
    Pending->m_Request.m_Client->m_OnClose = nullptr;
  co_return Pending->m_Answer;
}

// Takes a request whose caller has gone out of the queue. One that has been
// sent, or that carries a key, goes on: its answer may be asked for again.
void Entry::giveUp(const PendingPtr &Pending) {
  PoolRuntime &Pool = m_Pools[static_cast<std::size_t>(Pending->m_Pool)];
  if (!Pending->m_Answer && Pool.m_Queue.remove(Pending->m_Id))
    finish(Pending, makeErrorResponse(ErrorKind::CallerGone));
}

// Only the home of a key may run it. When it cannot be reached nobody can tell
// whether it ran; but this attempt did not, and the caller is told both.
asio::awaitable<HttpResponse> Entry::passToHome(HttpRequest Request,
                                                HomeId Home, Time Deadline) {
  auto Unreached = [&](ErrorKind Kind) {
    m_Frame.m_Metrics.countRefusal(Kind,
                                   std::string(Request.header(ServiceHeader)));
    HttpResponse Response = errorResponse(Kind);
    Response.m_Headers.push_back({AttemptOutcomeHeader, "not-run"});
    return Response;
  };
  std::string HomeIp = dottedIp(Home.m_Ip);
  std::string Address = HomeIp + ":" + std::to_string(Home.m_Port);
  std::string Text = formatHomeId(Home);
  const SnapshotMember *Member = findMember(HomeIp);
  bool Gone = Member != nullptr && Member->m_EntryIncarnation != 0 &&
              Member->m_EntryIncarnation != Home.m_Incarnation;
  for (const SnapshotMember &Other : m_Snapshot.m_Members)
    for (const std::string &Adopted : Other.m_AdoptedHomes)
      if (Adopted == Text) {
        Address = Other.m_Ip + ":" + std::to_string(m_Port);
        Gone = false;
      }
  bool Looped = !Request.header(ForwardedHeader).empty() && !m_Keys.retired();
  if (Gone || Looped)
    co_return Unreached(ErrorKind::HomeGone);
  // The sender of a passed request is the caller's first entry process; a
  // reused connection could make the end of a failed send ambiguous.
  Request.m_Headers.push_back({ForwardedHeader, "1"});
  std::int64_t LeftMs = (Deadline - now()) / std::chrono::milliseconds(1);
  std::erase_if(Request.m_Headers, [](const HeaderField &Field) {
    return isHidden(Field.m_Name) || Field.m_Name == DeadlineHeader;
  });
  Request.m_Headers.push_back(
      {DeadlineHeader, std::to_string(std::max<std::int64_t>(LeftMs, 10))});
  HttpResult Got = co_await m_Client.send(Address, Request, Deadline, true);
  if (Got.m_Failure == HttpFailure::Connect)
    co_return Unreached(ErrorKind::HomeUnreachable);
  if (Got.m_Failure != HttpFailure::None) {
    m_Frame.m_Metrics.countRefusal(ErrorKind::HomeUnreachable,
                                   std::string(Request.header(ServiceHeader)));
    co_return errorResponse(ErrorKind::HomeUnreachable);
  }
  std::erase_if(Got.m_Response.m_Headers, [](const HeaderField &Field) {
    return isHidden(Field.m_Name) && !Field.m_Name.starts_with("Rhubarb-");
  });
  co_return Got.m_Response;
}

HttpResponse Entry::toResponse(const Response &Source) const {
  if (Source.m_Error != ErrorKind::None)
    return errorResponse(Source.m_Error, Source.m_Detail, Source.m_RetryAfter);
  HttpResponse Response;
  Response.m_Status = Source.m_Status;
  for (const HeaderField &Field : Source.m_Headers)
    if (!isHidden(Field.m_Name))
      Response.m_Headers.push_back(Field);
  Response.m_Headers.push_back(
      {OutcomeHeader, std::string(outcomeName(Source.m_Outcome))});
  Response.m_Body = Source.m_Body;
  return Response;
}

} // namespace rhubarb::entry
