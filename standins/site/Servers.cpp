#include "standins/site/Servers.h"

#include "net/Clock.h"
#include "net/Daemon.h"
#include "net/Messages.h"
#include "net/Text.h"

#include <algorithm>

namespace rhubarb::site {
namespace {

// Largest number of waiting requests for each slot.
constexpr int MaxQueuePerSlot = 3;
constexpr std::size_t MaxWarmObjects = 64;
constexpr Duration QueuePollInterval = 2ms;
constexpr Duration SilentDuration = 30s;
constexpr std::size_t BodyRepeats = 20;
constexpr double ColdFactor = 2;
constexpr Duration PauseDuration = 1500ms;
// Requests in flight when the pause is requested may still arrive in this time.
constexpr Duration PauseGrace = 500ms;
// A VM must not choose the server again after a leave notice, but requests that
// it assigned before may still connect in this time.
constexpr Duration LeaveNoticeGrace = 800ms;

} // namespace

std::string expectedBody(const std::string &RequestId) {
  std::string Body;
  for (std::size_t I = 0; I < BodyRepeats; ++I)
    Body += RequestId + ";";
  return Body;
}

std::string stampFor(const std::string &RequestId) {
  return std::to_string(stableHash(RequestId, 1));
}

SiteServer::SiteServer(asio::io_context &Io, KvStore &Store,
                       RunRecords &Records, std::string Id, std::string Ip,
                       std::uint16_t Port, std::uint16_t AdvertisedPort,
                       ServerProfile Profile, std::uint64_t Seed)
    : m_Io(Io), m_Store(Store), m_Records(Records), m_Id(std::move(Id)),
      m_Ip(std::move(Ip)), m_Port(Port), m_AdvertisedPort(AdvertisedPort),
      m_Profile(std::move(Profile)), m_Random(Seed) {}

Result<std::uint16_t> SiteServer::start() {
  m_Server = std::make_unique<HttpServer>(
      m_Io, m_Reach, HttpServerLimits{},
      [this](HttpRequest R) { return serve(std::move(R)); });
  Result<std::uint16_t> Bound = m_Server->start(m_Ip, m_Port);
  if (!Bound)
    return Bound;
  m_Running = true;
  m_StartedUnixMs = unixMillis();
  m_StartedAt = now();
  publishEntry();
  return Bound;
}

void SiteServer::publishEntry() {
  if (!m_Running)
    return;
  Duration ColdLeft =
      std::max(Duration{0}, m_StartedAt + m_Profile.m_ColdDuration - now());
  Json::Value Entry;
  Entry["address"] = m_Ip + ":" + std::to_string(m_AdvertisedPort);
  Entry["info"]["service"] = m_Profile.m_Service;
  Entry["info"]["version"] = "v1";
  Entry["info"]["zone"] = m_Profile.m_Domain;
  Entry["info"]["concurrency"] = m_Profile.m_Slots;
  Entry["status"]["state"] = m_Draining ? "draining" : "ready";
  Entry["status"]["sequence"] = static_cast<Json::UInt64>(++m_Sequence);
  Entry["status"]["cold_remaining"] =
      std::to_string(ColdLeft / std::chrono::milliseconds(1)) + "ms";
  Entry["born"] = static_cast<Json::Int64>(m_StartedUnixMs);
  writeEntry(Entry);
}

// An entry changes only if more than its sequence and its cold time do.
void SiteServer::writeEntry(const Json::Value &Entry) {
  std::string Key = platform::ServerPrefix + m_Id;
  auto WithoutCounters = [](Json::Value Json) {
    Json["status"].removeMember("sequence");
    Json["status"].removeMember("cold_remaining");
    return Json;
  };
  Result<Json::Value> Stored = parseJson(m_Store.value(Key));
  if (Stored && WithoutCounters(Stored.value()) == WithoutCounters(Entry))
    m_Store.refresh(Key, compactJson(Entry));
  else
    m_Store.put(Key, compactJson(Entry));
}

void SiteServer::drain() {
  m_Draining = true;
  publishEntry();
  if (m_WithdrawnAt.count() == 0)
    m_WithdrawnAt = now();
}

void SiteServer::crash() {
  m_Running = false;
  m_Server->stopAccepting();
  m_Faults.m_LostResponseShare = 1;
}

void SiteServer::expire() {
  m_Store.remove(platform::ServerPrefix + m_Id);
  if (m_WithdrawnAt.count() == 0)
    m_WithdrawnAt = now();
}

std::vector<Time> SiteServer::lateArrivals(Duration Bound) const {
  std::vector<Time> Late;
  for (Time At : m_ArrivalsAfterWithdrawal)
    if (At - m_WithdrawnAt > Bound)
      Late.push_back(At);
  return Late;
}

void SiteServer::recordArrival(const std::string &Vm) {
  auto NoticeSent = m_NoticeSentAt.find(Vm);
  if (NoticeSent != m_NoticeSentAt.end() &&
      now() - NoticeSent->second > LeaveNoticeGrace)
    m_ArrivalsAfterNotice.push_back(now());
  Pause &VmPause = m_PauseByVm[Vm];
  if (now() >= VmPause.m_From && now() < VmPause.m_Until)
    m_MaxArrivalsInPause = std::max(m_MaxArrivalsInPause, ++VmPause.m_Arrivals);
}

void SiteServer::addLoad(HttpResponse &Response) const {
  Response.m_Headers.push_back(
      {m_Names.m_ServerLoad, std::to_string(m_Busy) + "," +
                                 std::to_string(m_Waiting) + "," +
                                 std::to_string(m_Profile.m_Slots)});
}

HttpResponse SiteServer::refusal(int Status,
                                 const std::string &RequestId) const {
  HttpResponse Response = jsonResponse(Status, "{}");
  Response.m_Headers.push_back({m_Names.m_NotExecuted, "1"});
  Response.m_Headers.push_back({m_Names.m_RequestId, RequestId});
  Response.m_Headers.push_back({m_Names.m_ServerId, m_Id});
  addLoad(Response);
  return Response;
}

HttpResponse SiteServer::health() const {
  HttpResponse Response = jsonResponse(m_Draining ? 503 : 200, "{}");
  Response.m_Headers.push_back({m_Names.m_ServerId, m_Id});
  addLoad(Response);
  return Response;
}

void SiteServer::setRateLimit(std::optional<double> PerSecond) {
  m_RateLimits.name(PerSecond, now());
}

void SiteServer::addRateLimit(HttpResponse &Response, const std::string &Vm) {
  std::optional<double> Limit = m_RateLimits.limit();
  constexpr int MisdirectedStatus = 421;
  if (!Limit || Response.m_AbortConnection ||
      Response.m_Status == MisdirectedStatus)
    return;
  Response.m_Headers.push_back({m_Names.m_ServerLimit, std::to_string(*Limit)});
  if (!Response.m_TruncateAfterBytes)
    m_RateLimits.recordTold(Vm, now());
}

asio::awaitable<HttpResponse> SiteServer::serve(HttpRequest Request) {
  std::string Vm = Request.m_PeerIp;
  HttpResponse Response = co_await respond(std::move(Request));
  addRateLimit(Response, Vm);
  co_return Response;
}

asio::awaitable<HttpResponse> SiteServer::respond(HttpRequest Request) {
  if (m_Faults.m_Silent || !m_Running) {
    co_await sleepFor(m_Running ? SilentDuration : Duration{0});
    HttpResponse Aborted;
    Aborted.m_AbortConnection = true;
    co_return Aborted;
  }
  if (Request.path() == "/health") {
    m_RateLimits.recordArrival(Request.m_PeerIp, now());
    co_return health();
  }
  std::string RequestId(Request.header(m_Names.m_RequestId));
  std::string Expected(Request.header(m_Names.m_ExpectServer));
  if (!Expected.empty() && Expected != m_Id)
    co_return refusal(421, RequestId);
  m_Arrivals.push_back(now());
  if (m_WithdrawnAt.count() > 0)
    m_ArrivalsAfterWithdrawal.push_back(now());
  recordArrival(Request.m_PeerIp);
  m_RateLimits.recordArrival(Request.m_PeerIp, now());
  RunRecord &Record = m_Records[RequestId];
  ++Record.m_Arrivals;
  Record.m_LastArrival = now();
  if (m_Random.uniform() < m_Faults.m_RetryAfterShare) {
    HttpResponse Response = refusal(503, RequestId);
    Response.m_Headers.push_back(
        {m_Names.m_RetryAfter,
         std::to_string(std::chrono::duration<double>(PauseDuration).count())});
    m_PauseByVm[Request.m_PeerIp] = {now() + PauseGrace, now() + PauseDuration,
                                     0};
    co_return Response;
  }
  if (m_Waiting >= m_Profile.m_Slots * MaxQueuePerSlot ||
      m_Random.uniform() < m_Faults.m_ShedShare)
    co_return refusal(503, RequestId);
  co_return co_await run(std::move(Request), RequestId);
}

// Waits for a slot, runs the request and applies the injected faults to the
// response.
asio::awaitable<HttpResponse> SiteServer::run(HttpRequest Request,
                                              std::string RequestId) {
  Time ArrivedAt = now();
  Time Deadline = ArrivedAt + std::chrono::milliseconds(parseInteger(
                                  Request.header(m_Names.m_Deadline), 30000));
  ++m_Waiting;
  while (m_Busy >= m_Profile.m_Slots) {
    co_await sleepFor(QueuePollInterval);
    if (Request.m_Client->m_Closed || now() >= Deadline) {
      --m_Waiting;
      co_return refusal(503, RequestId);
    }
  }
  --m_Waiting;
  ++m_Busy;
  RunRecord &Record = m_Records[RequestId];
  ++Record.m_Runs;
  Record.m_Service = m_Profile.m_Service;
  Record.m_Method = Request.m_Method;
  Record.m_LastRun = now();
  if (m_OnRun)
    m_OnRun(Request, RequestId, ArrivedAt);
  if (m_OnDeadlyRun && Request.m_Target.find(DeadlyTarget) != std::string::npos)
    m_OnDeadlyRun();
  std::string Object(Request.header("Cookie"));
  auto Warm = std::find(m_WarmObjects.begin(), m_WarmObjects.end(), Object);
  double Factor =
      m_Faults.m_ServiceTimeFactor * (0.8 + 0.4 * m_Random.uniform());
  bool IsLong = Request.m_Target.find(LongTarget) != std::string::npos;
  Duration ServiceTime =
      IsLong ? m_Profile.m_LongServiceTime : m_Profile.m_ServiceTime;
  if (Warm != m_WarmObjects.end() && !IsLong)
    Factor *= m_Profile.m_WarmFactor;
  if (now() < m_StartedAt + m_Profile.m_ColdDuration)
    Factor *= ColdFactor;
  Time End = now() + Duration(static_cast<std::int64_t>(
                         static_cast<double>(ServiceTime.count()) * Factor));
  while (now() < End && now() < Deadline && !Request.m_Client->m_Closed)
    co_await sleepFor(std::min<Duration>(End - now(), QueuePollInterval));
  m_WarmObjects.remove(Object);
  m_WarmObjects.push_front(Object);
  if (m_WarmObjects.size() > MaxWarmObjects)
    m_WarmObjects.pop_back();
  HttpResponse Response;
  Response.m_Headers.push_back({m_Names.m_RequestId, RequestId});
  Response.m_Headers.push_back({m_Names.m_ServerStamp, stampFor(RequestId)});
  // The reported load includes this request, since m_Busy is decremented below.
  addLoad(Response);
  --m_Busy;
  if (m_Draining && !m_LeavesSilently) {
    Response.m_Headers.push_back({m_Names.m_Leaving, "1"});
    m_NoticeSentAt.emplace(Request.m_PeerIp, now());
  }
  if (now() >= Deadline)
    Response.m_Status = 504;
  else if (m_Random.uniform() < m_Faults.m_ErrorShare)
    Response.m_Status = 500;
  else
    Response.m_Body = expectedBody(RequestId);
  if (m_Random.uniform() < m_Faults.m_LostResponseShare)
    Response.m_AbortConnection = true;
  if (m_Random.uniform() < m_Faults.m_CutResponseShare)
    Response.m_TruncateAfterBytes = Response.m_Body.size() / 2;
  if (m_Random.uniform() < m_Faults.m_ExtraResponseShare)
    Response.m_ExtraBytes = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" +
                            m_Names.m_RequestId + ": other\r\n\r\nother";
  Time HoldUntil = std::max(m_HoldUntil[""], m_HoldUntil[Request.m_PeerIp]);
  if (now() < HoldUntil) {
    co_await sleepFor(HoldUntil - now());
    Response.m_AbortConnection = Response.m_AbortConnection || !m_Running;
  }
  co_return Response;
}

} // namespace rhubarb::site
