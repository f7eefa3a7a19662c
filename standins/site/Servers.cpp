#include "standins/site/Servers.h"

#include "net/Clock.h"
#include "net/Daemon.h"
#include "net/Messages.h"
#include "net/Text.h"

#include <algorithm>

namespace rhubarb::site {
namespace {

constexpr int QueueOverSlots = 3; // Waiting requests, times the slots.
constexpr std::size_t KnownObjects = 64;
constexpr Duration QueuePoll = 2ms;
constexpr Duration SilentFor = 30s;
constexpr std::size_t BodyRepeats = 20;
constexpr double ColdSlowdown = 2;
constexpr Duration PauseWanted = 1500ms;
constexpr Duration PauseGrace = 500ms; // For what is under way already.
// A VM that has been told must not choose the server again; what it chose
// before may still connect.
constexpr Duration LeavingGrace = 800ms;

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
                       std::uint16_t Port, std::uint16_t StatedPort,
                       ServerKind Kind, std::uint64_t Seed)
    : m_Io(Io), m_Store(Store), m_Records(Records), m_Id(std::move(Id)),
      m_Ip(std::move(Ip)), m_Port(Port), m_StatedPort(StatedPort),
      m_Kind(std::move(Kind)), m_Random(Seed) {}

Result<std::uint16_t> SiteServer::start() {
  m_Server = std::make_unique<HttpServer>(
      m_Io, m_Reach, HttpServerLimits{},
      [this](HttpRequest R) { return serve(std::move(R)); });
  Result<std::uint16_t> Bound = m_Server->start(m_Ip, m_Port);
  if (!Bound)
    return Bound;
  m_Running = true;
  m_Born = unixMillis();
  m_StartedAt = now();
  report();
  return Bound;
}

void SiteServer::report() {
  if (!m_Running)
    return;
  Duration ColdLeft =
      std::max(Duration{0}, m_StartedAt + m_Kind.m_ColdFor - now());
  Json::Value Entry;
  Entry["address"] = m_Ip + ":" + std::to_string(m_StatedPort);
  Entry["info"]["service"] = m_Kind.m_Service;
  Entry["info"]["version"] = "v1";
  Entry["info"]["zone"] = m_Kind.m_Domain;
  Entry["info"]["concurrency"] = m_Kind.m_Slots;
  Entry["status"]["state"] = m_Draining ? "draining" : "ready";
  Entry["status"]["sequence"] = static_cast<Json::UInt64>(++m_Sequence);
  Entry["status"]["cold_remaining"] =
      std::to_string(ColdLeft / std::chrono::milliseconds(1)) + "ms";
  Entry["born"] = static_cast<Json::Int64>(m_Born);
  m_Store.put(platform::ServerPrefix + m_Id, compactJson(Entry));
}

void SiteServer::drain() {
  m_Draining = true;
  report();
  m_LeftAt = now();
}

void SiteServer::crash() {
  m_Running = false;
  m_Server->stopAccepting();
  m_Faults.m_LosesAnswer = 1;
}

void SiteServer::expire() {
  m_Store.remove(platform::ServerPrefix + m_Id);
  if (m_LeftAt.count() == 0)
    m_LeftAt = now();
}

std::vector<Time> SiteServer::lateArrivals(Duration Bound) const {
  std::vector<Time> Late;
  for (Time At : m_ArrivalsAfterLeaving)
    if (At - m_LeftAt > Bound)
      Late.push_back(At);
  return Late;
}

void SiteServer::noteArrival(const std::string &Vm) {
  auto Told = m_ToldLeaving.find(Vm);
  if (Told != m_ToldLeaving.end() && now() - Told->second > LeavingGrace)
    m_Unheeded.push_back(now());
  Pause &Wanted = m_PauseOf[Vm];
  if (now() >= Wanted.m_From && now() < Wanted.m_Until)
    m_MostInPause = std::max(m_MostInPause, ++Wanted.m_Arrivals);
}

void SiteServer::addLoad(HttpResponse &Response) const {
  Response.m_Headers.push_back(
      {m_Names.m_Load, std::to_string(m_Busy) + "," +
                           std::to_string(m_Waiting) + "," +
                           std::to_string(m_Kind.m_Slots)});
}

HttpResponse SiteServer::refusal(int Status,
                                 const std::string &RequestId) const {
  HttpResponse Response = jsonResponse(Status, "{}");
  Response.m_Headers.push_back({m_Names.m_NotRun, "1"});
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

asio::awaitable<HttpResponse> SiteServer::serve(HttpRequest Request) {
  if (m_Faults.m_Silent || !m_Running) {
    co_await sleepFor(m_Running ? SilentFor : Duration{0});
    HttpResponse Nothing;
    Nothing.m_AbortConnection = true;
    co_return Nothing;
  }
  if (Request.path() == "/health")
    co_return health();
  std::string RequestId(Request.header(m_Names.m_RequestId));
  std::string Expected(Request.header(m_Names.m_ExpectServer));
  if (!Expected.empty() && Expected != m_Id)
    co_return refusal(421, RequestId);
  if (m_LeftAt.count() > 0)
    m_ArrivalsAfterLeaving.push_back(now());
  noteArrival(Request.m_PeerIp);
  ++m_Records[RequestId].m_Arrivals;
  if (m_Random.uniform() < m_Faults.m_Pauses) {
    HttpResponse Response = refusal(503, RequestId);
    Response.m_Headers.push_back(
        {m_Names.m_RetryAfter,
         std::to_string(std::chrono::duration<double>(PauseWanted).count())});
    m_PauseOf[Request.m_PeerIp] = {now() + PauseGrace, now() + PauseWanted, 0};
    co_return Response;
  }
  if (m_Waiting >= m_Kind.m_Slots * QueueOverSlots ||
      m_Random.uniform() < m_Faults.m_Sheds)
    co_return refusal(503, RequestId);
  co_return co_await run(std::move(Request), RequestId);
}

// Waits for a slot, runs, and answers as the faults have it.
asio::awaitable<HttpResponse> SiteServer::run(HttpRequest Request,
                                              std::string RequestId) {
  Time Deadline = now() + std::chrono::milliseconds(parseInteger(
                              Request.header(m_Names.m_Deadline), 30000));
  ++m_Waiting;
  while (m_Busy >= m_Kind.m_Slots) {
    co_await sleepFor(QueuePoll);
    if (Request.m_Client->m_Closed || now() >= Deadline) {
      --m_Waiting;
      co_return refusal(503, RequestId);
    }
  }
  --m_Waiting;
  ++m_Busy;
  RunRecord &Record = m_Records[RequestId];
  ++Record.m_Runs;
  Record.m_Service = m_Kind.m_Service;
  Record.m_Method = Request.m_Method;
  Record.m_LastRun = now();
  std::string Object(Request.header("Cookie"));
  auto Known = std::find(m_Known.begin(), m_Known.end(), Object);
  double Factor = m_Faults.m_Slow * (0.8 + 0.4 * m_Random.uniform());
  if (Known != m_Known.end())
    Factor *= m_Kind.m_WarmShare;
  if (now() < m_StartedAt + m_Kind.m_ColdFor)
    Factor *= ColdSlowdown;
  Time End = now() + Duration(static_cast<std::int64_t>(
                         static_cast<double>(m_Kind.m_Work.count()) * Factor));
  while (now() < End && now() < Deadline && !Request.m_Client->m_Closed)
    co_await sleepFor(std::min<Duration>(End - now(), QueuePoll));
  m_Known.remove(Object);
  m_Known.push_front(Object);
  if (m_Known.size() > KnownObjects)
    m_Known.pop_back();
  HttpResponse Response;
  Response.m_Headers.push_back({m_Names.m_RequestId, RequestId});
  Response.m_Headers.push_back({m_Names.m_Stamp, stampFor(RequestId)});
  addLoad(Response); // Counts this request.
  --m_Busy;
  if (m_Draining) {
    Response.m_Headers.push_back({m_Names.m_Leaving, "1"});
    m_ToldLeaving.emplace(Request.m_PeerIp, now());
  }
  if (now() >= Deadline)
    Response.m_Status = 504;
  else if (m_Random.uniform() < m_Faults.m_Fails)
    Response.m_Status = 500;
  else
    Response.m_Body = expectedBody(RequestId);
  if (m_Random.uniform() < m_Faults.m_LosesAnswer)
    Response.m_AbortConnection = true;
  if (m_Random.uniform() < m_Faults.m_CutsAnswer)
    Response.m_TruncateAfterBytes = Response.m_Body.size() / 2;
  if (m_Random.uniform() < m_Faults.m_ExtraAnswer)
    Response.m_ExtraBytes = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" +
                            m_Names.m_RequestId + ": other\r\n\r\nother";
  co_return Response;
}

} // namespace rhubarb::site
