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
constexpr Duration MinRetryDelay = 20ms;
// Time for which an address that did not respond is avoided.
constexpr Duration AvoidDuration = 2s;

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

// Returns the look-up processes, nearest first, with those that failed recently
// at the end.
std::vector<std::string> ServiceClient::lookupOrder() const {
  std::vector<std::string> Order = m_Options.m_LookupAddresses;
  std::stable_partition(
      Order.begin(), Order.end(), [&](const std::string &Address) {
        auto Avoided = m_AvoidUntil.find(Address);
        return Avoided == m_AvoidUntil.end() || now() >= Avoided->second;
      });
  return Order;
}

// Looks up a service. A cached result past its TTL stays in use while no
// look-up process can be reached.
asio::awaitable<ServiceClient::CachedLookup *>
ServiceClient::lookUp(const std::string &Service, bool Refresh, Time Deadline) {
  auto [Position, Added] = m_Cache.try_emplace(Service);
  CachedLookup &Cached = Position->second;
  if (Added)
    Cached.m_Budget = RetryBudget(m_Options.m_RetryLimits);
  if (!Refresh && now() < Cached.m_ExpiresAt)
    co_return &Cached;
  for (const std::string &Address : lookupOrder()) {
    HttpRequest Request;
    Request.m_Target = "/v1/lookup?service=" + Service +
                       "&spread=" + std::to_string(m_Random.below(64));
    HttpResult Reply = co_await m_Client.send(
        Address, std::move(Request), std::min(Deadline, now() + LookupTimeout));
    Result<Json::Value> Json = Error{};
    if (Reply.m_Failure == HttpFailure::None &&
        Reply.m_Response.m_Status == 200)
      Json = parseJson(Reply.m_Response.m_Body);
    if (!Json || !Json.value().isObject() ||
        !Json.value()["entries"].isArray()) {
      m_AvoidUntil[Address] = now() + AvoidDuration;
      continue;
    }
    const Json::Value &Fields = Json.value();
    Cached.m_EntryAddresses.clear();
    for (const Json::Value &Vm : Fields["entries"])
      Cached.m_EntryAddresses.push_back(Vm.asString());
    Cached.m_KeyPrefix = Fields["home"].asString();
    Cached.m_Priority = Fields["rank"].asString();
    Cached.m_NeedsKey = Fields["needs_key"].asBool();
    Cached.m_ExpiresAt =
        now() + std::chrono::milliseconds(Fields["ttl_ms"].asInt64());
    break;
  }
  co_return Cached.m_EntryAddresses.empty() ? nullptr : &Cached;
}

std::string ServiceClient::chooseEntry(const CachedLookup &Lookup,
                                       int Attempts) const {
  for (const std::string &Entry : Lookup.m_EntryAddresses) {
    auto Avoided = m_AvoidUntil.find(Entry);
    if (Avoided == m_AvoidUntil.end() || now() >= Avoided->second)
      return Entry;
  }
  return Lookup.m_EntryAddresses[static_cast<std::size_t>(Attempts) %
                                 Lookup.m_EntryAddresses.size()];
}

asio::awaitable<std::string> ServiceClient::requestKeyPrefix(std::string Entry,
                                                             Time Deadline) {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = "/v1/keys";
  HttpResult Reply = co_await m_Client.send(
      Entry, std::move(Request), std::min(Deadline, now() + LookupTimeout));
  if (Reply.m_Failure != HttpFailure::None || Reply.m_Response.m_Status != 200)
    co_return std::string();
  Result<Json::Value> Json = parseJson(Reply.m_Response.m_Body);
  if (!Json || !Json.value().isObject())
    co_return std::string();
  co_return Json.value()["home"].asString();
}

// Classifies the result of one attempt.
ServiceClient::AttemptResult
ServiceClient::classifyAttempt(const HttpResult &Reply, bool NeedsKey,
                               CallResult &Result) const {
  AttemptResult Attempt;
  if (Reply.m_Failure != HttpFailure::None) {
    Attempt.m_MayHaveRun = Reply.m_Failure != HttpFailure::Connect;
    Result.m_Reason = Attempt.m_MayHaveRun ? "entry_lost" : "entry_unreachable";
    Attempt.m_RetryDelay = MinRetryDelay;
    return Attempt;
  }
  const HttpResponse &Response = Reply.m_Response;
  Result.m_Status = Response.m_Status;
  Result.m_Reason = Response.header(ReasonHeader);
  std::string Text(Response.header(OutcomeHeader));
  if (Text == outcomeName(Outcome::Answered)) {
    Result.m_Outcome = Outcome::Answered;
    Result.m_Reason.clear();
    Attempt.m_Final = true;
    return Attempt;
  }
  bool AttemptNotRun = Response.header(AttemptOutcomeHeader) == "not-run";
  Attempt.m_MayHaveRun = Text != outcomeName(Outcome::NotRun) && !AttemptNotRun;
  Attempt.m_RetryDelay = std::max(retryAfter(Response), MinRetryDelay);
  Attempt.m_HomeGone = AttemptNotRun;
  bool CanForwardAgain =
      Result.m_Reason == errorInfo(ErrorKind::HomeUnreachable).m_Name;
  bool HasRetryAfter = !Response.header("Retry-After").empty();
  Attempt.m_Final = Attempt.m_MayHaveRun ? NeedsKey && !CanForwardAgain
                                         : !HasRetryAfter && !AttemptNotRun;
  if (Result.m_Reason == errorInfo(ErrorKind::Leaving).m_Name)
    Attempt.m_RetryDelay = MinRetryDelay;
  return Attempt;
}

asio::awaitable<CallResult> ServiceClient::call(Call Request) {
  CallResult Result;
  Time Start = now();
  Time Deadline = Start + m_Options.m_Deadline;
  bool MayHaveRun = false;
  bool Refresh = false;
  bool HomeGone = false;
  std::string Key;
  if (Request.m_Trace.empty())
    Request.m_Trace = randomId();
  Result.m_Reason = "no_lookup";
  while (Result.m_Attempts < m_Options.m_MaxAttempts && now() < Deadline) {
    CachedLookup *Lookup =
        co_await lookUp(Request.m_Service, Refresh, Deadline);
    if (Lookup == nullptr) {
      ++Result.m_Attempts;
      co_await sleepFor(MinRetryDelay);
      continue;
    }
    Result.m_Priority = Lookup->m_Priority;
    bool NeedsKey = Lookup->m_NeedsKey;
    if (Result.m_Attempts == 0)
      Lookup->m_Budget.recordFirstAttempt();
    std::string Entry = chooseEntry(*Lookup, Result.m_Attempts);
    std::string Prefix = Lookup->m_KeyPrefix;
    if (NeedsKey && HomeGone)
      Prefix = co_await requestKeyPrefix(Entry, Deadline);
    HomeGone = false;
    if (NeedsKey && Key.empty() && !Prefix.empty())
      Key = Prefix + "." + randomId();
    HttpRequest Outgoing;
    Outgoing.m_Method = Request.m_Method;
    Outgoing.m_Target = Request.m_Target;
    Outgoing.m_Body = Request.m_Body;
    Outgoing.m_Headers = {{ServiceHeader, Request.m_Service},
                          {TraceHeader, Request.m_Trace}};
    std::int64_t RemainingMs =
        (Deadline - now()) / std::chrono::milliseconds(1);
    constexpr std::int64_t MinDeadlineMs = 10;
    Outgoing.m_Headers.push_back(
        {DeadlineHeader, std::to_string(std::max(RemainingMs, MinDeadlineMs))});
    ++Result.m_Attempts;
    if (NeedsKey) {
      Outgoing.m_Headers.push_back({KeyHeader, Key});
      Outgoing.m_Headers.push_back(
          {AttemptNumberHeader, std::to_string(Result.m_Attempts)});
    }
    HttpResult Reply =
        co_await m_Client.send(Entry, std::move(Outgoing), Deadline);
    AttemptResult Attempt = classifyAttempt(Reply, NeedsKey, Result);
    MayHaveRun = MayHaveRun || Attempt.m_MayHaveRun;
    if (Result.m_Outcome == Outcome::Answered) {
      Result.m_Body = std::move(Reply.m_Response.m_Body);
      break;
    }
    if (Reply.m_Failure != HttpFailure::None)
      m_AvoidUntil[Entry] = now() + AvoidDuration;
    // If the home of the key no longer exists and no attempt can have run, the
    // key has not run either, so a new key is safe.
    if (Attempt.m_HomeGone && MayHaveRun)
      break;
    HomeGone = Attempt.m_HomeGone;
    if (HomeGone)
      Key.clear();
    Refresh = Reply.m_Failure != HttpFailure::None ||
              Result.m_Reason == errorInfo(ErrorKind::Leaving).m_Name;
    if (Attempt.m_Final || now() + Attempt.m_RetryDelay >= Deadline)
      break;
    // Trying another VM after a failure to connect adds no load; all other
    // retries count against the budget.
    bool Unbudgeted = Reply.m_Failure == HttpFailure::Connect || HomeGone;
    if (!Unbudgeted && !m_Cache[Request.m_Service].m_Budget.tryTakeRetry())
      break;
    co_await sleepFor(Attempt.m_RetryDelay);
  }
  if (Result.m_Outcome != Outcome::Answered)
    Result.m_Outcome = MayHaveRun ? Outcome::Unknown : Outcome::NotRun;
  Result.m_Latency = now() - Start;
  co_return Result;
}

} // namespace rhubarb::net
