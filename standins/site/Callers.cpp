#include "standins/site/Callers.h"

#include "net/Clock.h"
#include "net/Crypto.h"
#include "net/Daemon.h"
#include "net/Messages.h"

#include <cmath>

namespace rhubarb::site {
namespace {

constexpr Duration LookupTimeout = 1s;
constexpr int LookupAttempts = 3;
// Share of calls that open a new connection.
constexpr double NewConnectionShare = 0.3;
// Retry-After is honoured up to this share of the time left to the deadline.
constexpr double MaxRetryDelayShare = 0.33;
// Callers that abandon a call give up after this time.
constexpr Duration AbandonDeadline = 20ms;
// Share of calls that their caller abandons.
constexpr double AbandonShare = 0.03;
// The callers of every object of this multiple use their address until it
// fails, whatever a lookup says.
constexpr std::uint64_t KeepsAddressObjects = 3;
// Delays below ten seconds are written like 0.300.
constexpr std::size_t ShortDelayLength = 5;

HttpClientLimits callerLimits() {
  HttpClientLimits Limits;
  Limits.m_MaxIdleTime = 3s;
  Limits.m_ConnectTimeout = 1s;
  return Limits;
}

bool guaranteesNotRun(int Status) {
  return Status == 503 || Status == 429 || Status == 408 || Status == 421 ||
         Status == 401;
}

} // namespace

SiteCallers::SiteCallers(asio::io_context &Io, RunRecords &Records,
                         CallerSettings Settings, std::uint64_t Seed)
    : m_Io(Io), m_Records(Records), m_Settings(std::move(Settings)),
      m_Random(Seed), m_Client(Io, m_Reach, "", callerLimits()) {}

void SiteCallers::start() {
  for (const std::string &Domain : m_Settings.m_Domains)
    for (const CallClass &Class : m_Settings.m_Classes)
      spawn(m_Io, sendCalls(Domain, Class));
}

CallCounts &SiteCallers::countsOf(const CallClass &Class) {
  return Class.m_CallsPerSecond > 0 ? m_Counts : m_SingleCounts;
}

void SiteCallers::sendOnce(const std::string &Domain, const CallClass &Class) {
  spawn(m_Io, callWithRetry(Domain, Class));
}

asio::awaitable<void> SiteCallers::sendCalls(std::string Domain,
                                             CallClass Class) {
  while (!m_Stopped) {
    double Seconds = -std::log(1 - m_Random.uniform()) / Class.m_CallsPerSecond;
    co_await sleepFor(Duration(static_cast<std::int64_t>(Seconds * 1e6)));
    if (!m_Stopped)
      spawn(m_Io, callWithRetry(Domain, Class));
  }
}

// Sends a call and retries it once if a retry is allowed and time is left.
asio::awaitable<void> SiteCallers::callWithRetry(std::string Domain,
                                                 CallClass Class) {
  ++m_InFlight;
  Time Deadline = now() + Class.m_Deadline;
  bool NoRetry = false;
  Duration RetryDelay =
      co_await callOnce(Domain, Class, Class.m_Deadline, true, NoRetry);
  Duration Remaining = Deadline - now();
  auto MaxDelay = Duration(static_cast<std::int64_t>(
      static_cast<double>(Remaining.count()) * MaxRetryDelayShare));
  if (!NoRetry && Remaining > Duration{0}) {
    co_await sleepFor(std::min(RetryDelay, MaxDelay));
    co_await callOnce(Domain, Class, Deadline - now(), false, NoRetry);
  }
  --m_InFlight;
}

asio::awaitable<std::string> SiteCallers::lookUp(std::string Domain) {
  CachedLookup &Cached = m_LookupCache[Domain];
  if (now() >= Cached.m_ExpiresAt) {
    for (int Attempt = 0; Attempt < LookupAttempts; ++Attempt) {
      const auto &Addresses = m_Settings.m_LookupAddresses;
      std::string LookupAddress = Addresses[m_Random.below(Addresses.size())];
      HttpRequest Request;
      Request.m_Target =
          std::string(platform::LookupPath) + "?name=" + m_Settings.m_Host +
          "&region=" + m_Settings.m_RegionOf[Domain] + "&zone=" + Domain;
      HttpResult CallResult = co_await m_Client.send(
          LookupAddress, Request, now() + LookupTimeout, true);
      Result<Json::Value> Body = parseJson(CallResult.m_Response.m_Body);
      if (CallResult.m_Failure != HttpFailure::None || !Body ||
          Body.value()["addresses"].empty())
        continue;
      Cached.m_Addresses.clear();
      for (const Json::Value &Address : Body.value()["addresses"])
        Cached.m_Addresses.push_back(Address.asString());
      Cached.m_ExpiresAt = now() + 2s;
      break;
    }
  }
  if (Cached.m_Addresses.empty())
    co_return std::string();
  co_return Cached.m_Addresses[m_Random.below(Cached.m_Addresses.size())];
}

// Sends an attempt with its own request ID. Sets NoRetry if the call must not
// be retried. Returns the delay before a retry.
asio::awaitable<Duration> SiteCallers::callOnce(std::string Domain,
                                                CallClass Class,
                                                Duration Remaining,
                                                bool IsFirst, bool &NoRetry) {
  std::uint64_t Object =
      m_Random.below(static_cast<std::uint64_t>(Class.m_Objects));
  bool KeepsAddress = Object % KeepsAddressObjects == 0;
  std::string Address;
  if (KeepsAddress)
    Address = m_KeptAddresses[{Domain, Object}];
  if (Address.empty())
    Address = co_await lookUp(Domain);
  if (KeepsAddress)
    m_KeptAddresses[{Domain, Object}] = Address;
  if (Address.empty()) {
    ++countsOf(Class).m_ByOutcome["no address"];
    NoRetry = false;
    co_return Duration(std::chrono::milliseconds(100));
  }
  std::string Id = randomId();
  HttpRequest Request;
  Request.m_Method = Class.m_Method;
  Request.m_Target = Class.m_Prefix + std::to_string(Object);
  Request.m_Headers = {
      {"Host", m_Settings.m_Host},
      {m_Names.m_RequestId, Id},
      {"Cookie", m_Names.m_AffinityCookie + "=" + Domain.substr(0, 2) +
                     std::to_string(Object)},
      {m_Names.m_Deadline,
       std::to_string(Remaining / std::chrono::milliseconds(1))}};
  Request.m_Body = std::string(Class.m_BodyBytes * (Object + 1), 'b');
  std::string VmIp = Address.substr(0, Address.rfind(':'));
  m_Settings.m_Organisations->prepareCall(Request, Id, VmIp, now());
  m_Settings.m_Regions->recordSent(Id, VmIp, now());
  m_CallRecords[Id].m_Idempotent = Class.m_Idempotent;
  ++countsOf(Class).m_Sent;
  bool Abandons = m_Random.uniform() < AbandonShare;
  countsOf(Class).m_Waiting += Abandons ? 0 : 1;
  Time SentAt = now();
  HttpResult CallResult =
      co_await m_Client.send(Address, std::move(Request),
                             now() + (Abandons ? AbandonDeadline : Remaining),
                             m_Random.uniform() < NewConnectionShare);
  check(Id, Class, CallResult);
  bool GuaranteedNotRun = CallResult.m_Failure == HttpFailure::None &&
                          guaranteesNotRun(CallResult.m_Response.m_Status);
  bool Answered = CallResult.m_Failure == HttpFailure::None &&
                  CallResult.m_Response.m_Status == 200;
  countsOf(Class).m_WaitingAnswered += Answered && !Abandons ? 1 : 0;
  const CallTry Try{Id, Class.m_Prefix, VmIp, SentAt, now(), Answered};
  if (IsFirst && !Abandons && Class.m_CallsPerSecond > 0)
    m_FirstTries.push_back(Try);
  if (CallResult.m_Failure == HttpFailure::Incomplete)
    m_BrokenTries.push_back(Try);
  if (KeepsAddress && CallResult.m_Failure != HttpFailure::None && !Abandons)
    m_KeptAddresses.erase({Domain, Object});
  NoRetry = Answered || Abandons ||
            (!Class.m_Idempotent && !GuaranteedNotRun &&
             CallResult.m_Failure != HttpFailure::Connect);
  double Seconds = std::atof(
      std::string(CallResult.m_Response.header("Retry-After")).c_str());
  co_return Duration(static_cast<std::int64_t>(Seconds * 1e6));
}

void SiteCallers::check(const std::string &Id, const CallClass &Class,
                        const HttpResult &CallResult) {
  CallRecord &Record = m_CallRecords[Id];
  Record.m_EndedAt = now();
  const HttpResponse &Response = CallResult.m_Response;
  if (CallResult.m_Failure != HttpFailure::None) {
    ++countsOf(Class).m_Failed;
    ++countsOf(Class)
          .m_ByOutcome[std::string(httpFailureName(CallResult.m_Failure))];
    return;
  }
  m_Settings.m_Organisations->recordResponse(Id, Response, now());
  m_Settings.m_Regions->recordResponse(Id, Class.m_Prefix, Response.m_Status,
                                       now());
  ++countsOf(Class).m_ByOutcome[std::to_string(Response.m_Status) + " " +
                                std::string(Response.header("Rhubarb-Reason"))];
  if (Response.m_Status == 200) {
    ++countsOf(Class).m_Answered;
    if (Response.header(m_Names.m_ServerStamp) != stampFor(Id))
      m_Violations.push_back("mixed: " + Id +
                             " got a 200 without the stamp of its own request");
    else if (Response.m_Body != expectedBody(Id))
      m_Violations.push_back("mixed: " + Id +
                             " got an incomplete or wrong body");
    return;
  }
  bool Convicted = Response.header("Rhubarb-Reason") == "crashes_servers" &&
                   Response.header("Retry-After").size() > ShortDelayLength;
  if (Convicted && Class.m_Prefix.find(DeadlyTarget) == std::string::npos)
    m_Violations.push_back("denied: " + Id + " on " + Class.m_Prefix +
                           " is refused for crashes that it has not caused");
  if (guaranteesNotRun(Response.m_Status)) {
    ++countsOf(Class).m_Refused;
    Record.m_GuaranteedNotRun = true;
    if (!Response.header(m_Names.m_ServerStamp).empty())
      m_Violations.push_back("mixed: " + Id +
                             " was refused with a server's stamp");
    return;
  }
  ++countsOf(Class).m_Failed;
  // The other route is removed at times.
  if (Response.m_Status == 404 && !Class.m_Prefix.starts_with(RegionPrefix))
    m_Violations.push_back("denied: " + Id + " on " + Class.m_Prefix +
                           " got 404 though its route is configured");
}

std::vector<std::string> SiteCallers::verify() const {
  std::vector<std::string> Violations = m_Violations;
  for (const auto &[Id, Call] : m_CallRecords) {
    auto Found = m_Records.find(Id);
    int Runs = Found == m_Records.end() ? 0 : Found->second.m_Runs;
    if (!Call.m_Idempotent && Runs > 1)
      Violations.push_back("twice: " + Id + " ran " + std::to_string(Runs) +
                           " times");
    if (!Call.m_Idempotent && Call.m_GuaranteedNotRun && Runs > 0)
      Violations.push_back("refused: " + Id +
                           " was refused as not run but has run");
  }
  for (const auto &[Id, Record] : m_Records)
    if (Record.m_Runs > 0 && !m_CallRecords.contains(Id))
      Violations.push_back("unasked: " + Id +
                           " ran although no caller sent it");
  return Violations;
}

} // namespace rhubarb::site
