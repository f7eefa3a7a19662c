#include "net/ServiceClient.h"

#include "net/BackendProtocol.h"
#include "net/Clock.h"
#include "net/Crypto.h"
#include "net/Daemon.h"

#include <algorithm>
#include <charconv>

namespace rhubarb::net {
namespace {

constexpr Duration LookupTimeout = 500ms;
constexpr Duration ShortPause = 20ms; // Before another entry VM is tried.
constexpr Duration AvoidTime = 2s;    // For an entry VM that did not answer.

Duration retryAfter(const HttpResponse &Response) {
  std::string_view Text = Response.header("Rhubarb-Retry-After-Ms");
  std::int64_t Millis = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Millis);
  return std::chrono::milliseconds(Millis);
}

} // namespace

ServiceClient::ServiceClient(asio::io_context &Io, const Reachability &Reach,
                             ServiceClientOptions Options)
    : m_Client(Io, Reach, Options.m_BindIp), m_Options(std::move(Options)),
      m_Random(randomBits()) {}

// The look-up processes, nearest first; those that have just failed come last.
std::vector<std::string> ServiceClient::lookupOrder() const {
  std::vector<std::string> Order = m_Options.m_LookupAddresses;
  std::stable_partition(
      Order.begin(), Order.end(), [&](const std::string &Address) {
        auto Avoided = m_AvoidUntil.find(Address);
        return Avoided == m_AvoidUntil.end() || now() >= Avoided->second;
      });
  return Order;
}

// An answer past its TTL is used on when no look-up process can be reached.
asio::awaitable<ServiceClient::Cached *>
ServiceClient::lookUp(const std::string &Service, bool Refresh, Time Deadline) {
  auto [Place, Added] = m_Cache.try_emplace(Service);
  Cached &Entry = Place->second;
  if (Added)
    Entry.m_Budget = RetryBudget(m_Options.m_RetryLimits);
  if (!Refresh && now() < Entry.m_Until)
    co_return &Entry;
  for (const std::string &Address : lookupOrder()) {
    HttpRequest Request;
    Request.m_Target = "/v1/lookup?service=" + Service +
                       "&spread=" + std::to_string(m_Random.below(64));
    HttpResult Got = co_await m_Client.send(
        Address, std::move(Request), std::min(Deadline, now() + LookupTimeout));
    Result<Json::Value> Json = Error{};
    if (Got.m_Failure == HttpFailure::None && Got.m_Response.m_Status == 200)
      Json = parseJson(Got.m_Response.m_Body);
    if (!Json || !Json.value().isObject() ||
        !Json.value()["entries"].isArray()) {
      m_AvoidUntil[Address] = now() + AvoidTime;
      continue;
    }
    const Json::Value &Answer = Json.value();
    Entry.m_Entries.clear();
    for (const Json::Value &Vm : Answer["entries"])
      Entry.m_Entries.push_back(Vm.asString());
    Entry.m_Home = Answer["home"].asString();
    Entry.m_Priority = Answer["rank"].asString();
    Entry.m_NeedsKey = Answer["needs_key"].asBool();
    Entry.m_Until =
        now() + std::chrono::milliseconds(Answer["ttl_ms"].asInt64());
    break;
  }
  co_return Entry.m_Entries.empty() ? nullptr : &Entry;
}

std::string ServiceClient::chooseEntry(const Cached &Known, int Tries) const {
  for (const std::string &Entry : Known.m_Entries) {
    auto Avoided = m_AvoidUntil.find(Entry);
    if (Avoided == m_AvoidUntil.end() || now() >= Avoided->second)
      return Entry;
  }
  return Known
      .m_Entries[static_cast<std::size_t>(Tries) % Known.m_Entries.size()];
}

asio::awaitable<std::string> ServiceClient::keyHomeFrom(std::string Entry,
                                                        Time Deadline) {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = "/v1/keys";
  HttpResult Got = co_await m_Client.send(
      Entry, std::move(Request), std::min(Deadline, now() + LookupTimeout));
  if (Got.m_Failure != HttpFailure::None || Got.m_Response.m_Status != 200)
    co_return std::string();
  Result<Json::Value> Json = parseJson(Got.m_Response.m_Body);
  if (!Json || !Json.value().isObject())
    co_return std::string();
  co_return Json.value()["home"].asString();
}

// Reads how one attempt ended.
ServiceClient::Attempt ServiceClient::judge(const HttpResult &Got,
                                            bool NeedsKey,
                                            CallResult &End) const {
  Attempt Ended;
  if (Got.m_Failure != HttpFailure::None) {
    Ended.m_MayHaveRun = Got.m_Failure != HttpFailure::Connect;
    End.m_Reason = Ended.m_MayHaveRun ? "entry_lost" : "entry_unreachable";
    Ended.m_ComeBack = ShortPause;
    return Ended;
  }
  const HttpResponse &Response = Got.m_Response;
  End.m_Status = Response.m_Status;
  End.m_Reason = Response.header(ReasonHeader);
  std::string Text(Response.header(OutcomeHeader));
  if (Text == outcomeName(Outcome::Answered)) {
    End.m_Outcome = Outcome::Answered;
    End.m_Reason.clear();
    Ended.m_Final = true;
    return Ended;
  }
  bool AttemptNotRun = Response.header(AttemptOutcomeHeader) == "not-run";
  Ended.m_MayHaveRun = Text != outcomeName(Outcome::NotRun) && !AttemptNotRun;
  Ended.m_ComeBack = std::max(retryAfter(Response), ShortPause);
  Ended.m_NewHome = AttemptNotRun;
  bool CanPassAgain =
      End.m_Reason == errorInfo(ErrorKind::HomeUnreachable).m_Name;
  bool HasRetryAfter = !Response.header("Retry-After").empty();
  Ended.m_Final = Ended.m_MayHaveRun ? NeedsKey && !CanPassAgain
                                     : !HasRetryAfter && !AttemptNotRun;
  if (End.m_Reason == errorInfo(ErrorKind::Leaving).m_Name)
    Ended.m_ComeBack = ShortPause;
  return Ended;
}

asio::awaitable<CallResult> ServiceClient::call(Call Request) {
  CallResult End;
  Time Began = now();
  Time Deadline = Began + m_Options.m_Deadline;
  bool MayHaveRun = false;
  bool Refresh = false;
  bool HomeGone = false;
  std::string Key;
  if (Request.m_Trace.empty())
    Request.m_Trace = randomId();
  End.m_Reason = "no_lookup";
  while (End.m_Attempts < m_Options.m_MaxAttempts && now() < Deadline) {
    Cached *Known = co_await lookUp(Request.m_Service, Refresh, Deadline);
    if (Known == nullptr) {
      ++End.m_Attempts;
      co_await sleepFor(ShortPause);
      continue;
    }
    End.m_Priority = Known->m_Priority;
    bool NeedsKey = Known->m_NeedsKey;
    if (End.m_Attempts == 0)
      Known->m_Budget.recordFirstAttempt();
    std::string Entry = chooseEntry(*Known, End.m_Attempts);
    std::string Home = Known->m_Home;
    if (NeedsKey && HomeGone)
      Home = co_await keyHomeFrom(Entry, Deadline);
    HomeGone = false;
    if (NeedsKey && Key.empty() && !Home.empty())
      Key = Home + "." + randomId();
    HttpRequest Sent;
    Sent.m_Method = Request.m_Method;
    Sent.m_Target = Request.m_Target;
    Sent.m_Body = Request.m_Body;
    Sent.m_Headers = {{ServiceHeader, Request.m_Service},
                      {TraceHeader, Request.m_Trace}};
    std::int64_t LeftMs = (Deadline - now()) / std::chrono::milliseconds(1);
    constexpr std::int64_t LeastMs = 10;
    Sent.m_Headers.push_back(
        {DeadlineHeader, std::to_string(std::max(LeftMs, LeastMs))});
    ++End.m_Attempts;
    if (NeedsKey) {
      Sent.m_Headers.push_back({KeyHeader, Key});
      Sent.m_Headers.push_back(
          {AttemptNumberHeader, std::to_string(End.m_Attempts)});
    }
    HttpResult Got = co_await m_Client.send(Entry, std::move(Sent), Deadline);
    Attempt Ended = judge(Got, NeedsKey, End);
    MayHaveRun = MayHaveRun || Ended.m_MayHaveRun;
    if (End.m_Outcome == Outcome::Answered) {
      End.m_Body = std::move(Got.m_Response.m_Body);
      break;
    }
    if (Got.m_Failure != HttpFailure::None)
      m_AvoidUntil[Entry] = now() + AvoidTime;
    // The home of the key has gone. When no attempt may have run, neither has
    // the key, and a new one is safe.
    if (Ended.m_NewHome && MayHaveRun)
      break;
    HomeGone = Ended.m_NewHome;
    if (HomeGone)
      Key.clear();
    Refresh = Got.m_Failure != HttpFailure::None ||
              End.m_Reason == errorInfo(ErrorKind::Leaving).m_Name;
    if (Ended.m_Final || now() + Ended.m_ComeBack >= Deadline)
      break;
    // Trying another VM than a dead one adds no load; all else is budgeted.
    bool Free = Got.m_Failure == HttpFailure::Connect || HomeGone;
    if (!Free && !m_Cache[Request.m_Service].m_Budget.tryTakeRetry())
      break;
    co_await sleepFor(Ended.m_ComeBack);
  }
  if (End.m_Outcome != Outcome::Answered)
    End.m_Outcome = MayHaveRun ? Outcome::Unknown : Outcome::NotRun;
  End.m_Latency = now() - Began;
  co_return End;
}

} // namespace rhubarb::net
