#include "standins/site/Callers.h"

#include "net/Clock.h"
#include "net/Crypto.h"
#include "net/Daemon.h"
#include "net/Messages.h"

#include <cmath>

namespace rhubarb::site {
namespace {

constexpr Duration LookupTimeout = 1s;
constexpr int LookupTries = 3;
constexpr double FreshShare = 0.3;        // Of calls on a new connection.
constexpr double RetryShareOfLeft = 0.33; // Retry-After is honoured up to it.
constexpr Duration GoneAfter = 20ms;      // Deadline of callers that leave.
constexpr double GoneShare = 0.03;

HttpClientLimits callerLimits() {
  HttpClientLimits Limits;
  Limits.m_MaxIdleTime = 3s;
  Limits.m_ConnectTimeout = 1s;
  return Limits;
}

bool promisesNotRun(int Status) {
  return Status == 503 || Status == 429 || Status == 408 || Status == 421;
}

} // namespace

SiteCallers::SiteCallers(asio::io_context &Io, RunRecords &Records,
                         CallerSettings Settings, std::uint64_t Seed)
    : m_Io(Io), m_Records(Records), m_Settings(std::move(Settings)),
      m_Random(Seed), m_Client(Io, m_Reach, "", callerLimits()) {}

void SiteCallers::start() {
  for (const std::string &Domain : m_Settings.m_Domains)
    for (const CallKind &Kind : m_Settings.m_Kinds)
      spawn(m_Io, sendAll(Domain, Kind));
}

asio::awaitable<void> SiteCallers::sendAll(std::string Domain, CallKind Kind) {
  while (!m_Stopped) {
    double Seconds = -std::log(1 - m_Random.uniform()) / Kind.m_PerSecond;
    co_await sleepFor(Duration(static_cast<std::int64_t>(Seconds * 1e6)));
    if (!m_Stopped)
      spawn(m_Io, callWithRetry(Domain, Kind));
  }
}

// One call, and one retry where that is allowed.
asio::awaitable<void> SiteCallers::callWithRetry(std::string Domain,
                                                 CallKind Kind) {
  ++m_UnderWay;
  Time Deadline = now() + Kind.m_Deadline;
  bool Done = false;
  Duration Pause = co_await callOnce(Domain, Kind, Kind.m_Deadline, Done);
  Duration Left = Deadline - now();
  auto Most = Duration(static_cast<std::int64_t>(
      static_cast<double>(Left.count()) * RetryShareOfLeft));
  if (!Done && Left > Duration{0}) {
    co_await sleepFor(std::min(Pause, Most));
    co_await callOnce(Domain, Kind, Deadline - now(), Done);
  }
  --m_UnderWay;
}

asio::awaitable<std::string> SiteCallers::lookUp(std::string Domain) {
  Known &Row = m_Known[Domain];
  if (now() >= Row.m_Until) {
    for (int Try = 0; Try < LookupTries; ++Try) {
      const auto &All = m_Settings.m_Lookups;
      std::string From = All[m_Random.below(All.size())];
      HttpRequest Request;
      Request.m_Target =
          std::string(platform::LookupPath) + "?name=" + m_Settings.m_Host +
          "&region=" + m_Settings.m_RegionOf[Domain] + "&zone=" + Domain;
      HttpResult Got =
          co_await m_Client.send(From, Request, now() + LookupTimeout, true);
      Result<Json::Value> Body = parseJson(Got.m_Response.m_Body);
      if (Got.m_Failure != HttpFailure::None || !Body ||
          Body.value()["addresses"].empty())
        continue;
      Row.m_Addresses.clear();
      for (const Json::Value &Address : Body.value()["addresses"])
        Row.m_Addresses.push_back(Address.asString());
      Row.m_Until = now() + 2s;
      break;
    }
  }
  if (Row.m_Addresses.empty())
    co_return std::string();
  co_return Row.m_Addresses[m_Random.below(Row.m_Addresses.size())];
}

// Sends one attempt with an id of its own. Done: no retry is due. Returns when
// to come back.
asio::awaitable<Duration> SiteCallers::callOnce(std::string Domain,
                                                CallKind Kind, Duration Left,
                                                bool &Done) {
  std::string Address = co_await lookUp(Domain);
  if (Address.empty()) {
    ++m_Counts.m_ByEnd["no address"];
    Done = false;
    co_return Duration(std::chrono::milliseconds(100));
  }
  std::string Id = randomId();
  std::uint64_t Object =
      m_Random.below(static_cast<std::uint64_t>(Kind.m_Objects));
  HttpRequest Request;
  Request.m_Method = Kind.m_Method;
  Request.m_Target = Kind.m_Prefix + std::to_string(Object);
  Request.m_Headers = {{"Host", m_Settings.m_Host},
                       {m_Names.m_RequestId, Id},
                       {"Cookie", m_Names.m_ObjectCookie + "=" +
                                      Domain.substr(0, 2) +
                                      std::to_string(Object)},
                       {m_Names.m_Deadline,
                        std::to_string(Left / std::chrono::milliseconds(1))}};
  Request.m_Body = std::string(Kind.m_BodyBytes, 'b');
  m_Outcomes[Id].m_Idempotent = Kind.m_Idempotent;
  ++m_Counts.m_Sent;
  bool Leaves = m_Random.uniform() < GoneShare;
  HttpResult Got = co_await m_Client.send(Address, std::move(Request),
                                          now() + (Leaves ? GoneAfter : Left),
                                          m_Random.uniform() < FreshShare);
  check(Id, Kind, Got);
  bool Promised = Got.m_Failure == HttpFailure::None &&
                  promisesNotRun(Got.m_Response.m_Status);
  bool Answered =
      Got.m_Failure == HttpFailure::None && Got.m_Response.m_Status == 200;
  Done = Answered || Leaves ||
         (!Kind.m_Idempotent && !Promised &&
          Got.m_Failure != HttpFailure::Connect);
  double Seconds =
      std::atof(std::string(Got.m_Response.header("Retry-After")).c_str());
  co_return Duration(static_cast<std::int64_t>(Seconds * 1e6));
}

void SiteCallers::check(const std::string &Id, const CallKind &Kind,
                        const HttpResult &Got) {
  Outcome &Row = m_Outcomes[Id];
  Row.m_EndedAt = now();
  const HttpResponse &Answer = Got.m_Response;
  if (Got.m_Failure != HttpFailure::None) {
    ++m_Counts.m_Failed;
    ++m_Counts.m_ByEnd[std::string(httpFailureName(Got.m_Failure))];
    return;
  }
  ++m_Counts.m_ByEnd[std::to_string(Answer.m_Status) + " " +
                     std::string(Answer.header("Rhubarb-Reason"))];
  if (Answer.m_Status == 200) {
    ++m_Counts.m_Answered;
    if (Answer.header(m_Names.m_Stamp) != stampFor(Id))
      m_Broken.push_back("mixed: " + Id + " got a success that is not its own");
    else if (Answer.m_Body != expectedBody(Id))
      m_Broken.push_back("mixed: " + Id + " got a body that is not whole");
    return;
  }
  if (promisesNotRun(Answer.m_Status)) {
    ++m_Counts.m_Refused;
    Row.m_PromisedNotRun = true;
    if (!Answer.header(m_Names.m_Stamp).empty())
      m_Broken.push_back("mixed: " + Id + " was refused with a server's stamp");
    return;
  }
  ++m_Counts.m_Failed;
  if (Answer.m_Status == 404)
    m_Broken.push_back("denied: " + Id + " on " + Kind.m_Prefix +
                       " got 404 though its route is configured");
}

std::vector<std::string> SiteCallers::verify() const {
  std::vector<std::string> Broken = m_Broken;
  for (const auto &[Id, Row] : m_Outcomes) {
    auto Found = m_Records.find(Id);
    int Runs = Found == m_Records.end() ? 0 : Found->second.m_Runs;
    if (!Row.m_Idempotent && Runs > 1)
      Broken.push_back("twice: " + Id + " ran " + std::to_string(Runs) +
                       " times");
    if (!Row.m_Idempotent && Row.m_PromisedNotRun && Runs > 0)
      Broken.push_back("refused: " + Id +
                       " was refused as not run, and has run");
  }
  for (const auto &[Id, Record] : m_Records)
    if (Record.m_Runs > 0 && !m_Outcomes.contains(Id))
      Broken.push_back("unasked: " + Id + " ran, and nobody sent it");
  return Broken;
}

} // namespace rhubarb::site
