#include "standins/site/KvStore.h"

#include "net/Clock.h"
#include "net/Crypto.h"
#include "net/Daemon.h"
#include "net/Messages.h"
#include "net/Text.h"
#include "platform/Settings.h"
#include "platform/Wire.h"

#include <algorithm>
#include <array>

namespace rhubarb::site {
namespace {

constexpr std::array<std::string_view, 5> FaultNames{"none", "silent", "busy",
                                                     "many", "reset"};
// Longer than any caller waits for a response.
constexpr Duration SilentDuration = 60s;
// Interval at which a watch checks for new events.
constexpr Duration WatchPollInterval = 5ms;
constexpr std::size_t MaxPageItems = 50;
constexpr std::size_t MaxCopies = 60;

std::uint64_t queryNumber(const HttpRequest &Request, std::string_view Name) {
  return static_cast<std::uint64_t>(parseInteger(Request.query(Name), 0));
}

// Decodes the percent-encoding of a query value.
std::string decodePercent(std::string_view Text) {
  std::string Plain;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] != '%' || I + 2 >= Text.size()) {
      Plain += Text[I];
      continue;
    }
    Plain += static_cast<char>(
        std::stoi(std::string(Text.substr(I + 1, 2)), nullptr, 16));
    I += 2;
  }
  return Plain;
}

} // namespace

std::string_view storeFaultName(StoreFault Value) {
  return FaultNames[static_cast<std::size_t>(Value)];
}

KvStore::KvStore(asio::io_context &Io, std::uint64_t Seed)
    : m_Server(Io, m_Reach, controlServerLimits(),
               [this](HttpRequest R) { return serve(std::move(R)); }),
      m_Random(Seed) {}

Result<std::uint16_t> KvStore::start(const std::string &Ip,
                                     std::uint16_t Port) {
  return m_Server.start(Ip, Port);
}

std::uint64_t KvStore::put(const std::string &Key, const std::string &Value,
                           std::uint64_t LeaseId) {
  Item &Stored = m_State.m_Items[Key];
  Stored.m_Revision = ++m_State.m_Revision;
  if (Stored.m_Created == 0)
    Stored.m_Created = m_State.m_Revision;
  Stored.m_Value = Value;
  Stored.m_Lease = LeaseId;
  m_State.m_History.push_back({Key, m_State.m_Revision, false});
  return m_State.m_Revision;
}

std::uint64_t KvStore::remove(const std::string &Key) {
  if (m_State.m_Items.erase(Key) == 0)
    return m_State.m_Revision;
  m_State.m_History.push_back({Key, ++m_State.m_Revision, true});
  return m_State.m_Revision;
}

void KvStore::refresh(const std::string &Key, const std::string &Value) {
  m_State.m_Items[Key].m_Value = Value;
}

std::string KvStore::value(const std::string &Key) const {
  auto Found = m_State.m_Items.find(Key);
  return Found == m_State.m_Items.end() ? std::string() : Found->second.m_Value;
}

void KvStore::saveCopy() {
  m_Copies.emplace_back(now(), m_State);
  while (m_Copies.size() > MaxCopies)
    m_Copies.pop_front();
}

void KvStore::restore(Duration Age) {
  if (m_Copies.empty())
    return;
  auto Newer = std::upper_bound(
      m_Copies.begin(), m_Copies.end(), now() - Age,
      [](Time At, const auto &Copy) { return At < Copy.first; });
  m_State = (Newer == m_Copies.begin() ? Newer : std::prev(Newer))->second;
  m_Copies.clear(); // Copies of the lost history are of no use.
  ++m_Era;
}

void KvStore::forgetHistory() {
  m_State.m_History.clear();
  m_State.m_ForgottenRevision = m_State.m_Revision;
}

void KvStore::expireLeases() {
  std::erase_if(m_State.m_Leases, [&](const auto &Entry) {
    if (now() < Entry.second.m_ExpiresAt)
      return false;
    std::vector<std::string> ExpiredKeys;
    for (const auto &[Key, Stored] : m_State.m_Items)
      if (Stored.m_Lease == Entry.first)
        ExpiredKeys.push_back(Key);
    for (const std::string &Key : ExpiredKeys)
      remove(Key);
    return true;
  });
}

Json::Value KvStore::itemJson(const std::string &Key,
                              const Item &Stored) const {
  Json::Value Json;
  Json["key"] = Key;
  Json["value"] = encodeBase64(Stored.m_Value);
  Json["revision"] = static_cast<Json::UInt64>(Stored.m_Revision);
  Json["created_rev"] = static_cast<Json::UInt64>(Stored.m_Created);
  Json["lease"] = static_cast<Json::UInt64>(Stored.m_Lease);
  return Json;
}

// Every response that was made names the era in which it was made.
asio::awaitable<HttpResponse> KvStore::serve(HttpRequest Request) {
  HttpResponse Response = co_await respond(std::move(Request));
  Response.m_Headers.push_back({platform::EraHeader, std::to_string(m_Era)});
  co_return Response;
}

asio::awaitable<HttpResponse> KvStore::respond(HttpRequest Request) {
  ++m_Calls;
  bool Affected = m_Faults.m_ClientIps.empty() ||
                  m_Faults.m_ClientIps.contains(Request.m_PeerIp);
  StoreFaults Faults = Affected ? m_Faults : StoreFaults{};
  if (Faults.m_Delay.count() > 0)
    co_await sleepFor(Faults.m_Delay);
  HttpResponse Response;
  switch (Faults.m_Kind) {
  case StoreFault::Silent:
    co_await sleepFor(SilentDuration);
    Response.m_AbortConnection = true;
    co_return Response;
  case StoreFault::Busy:
    co_return jsonResponse(503, "{}");
  case StoreFault::TooManyRequests:
    co_return jsonResponse(429, "{}");
  case StoreFault::Reset:
    Response.m_AbortConnection = true;
    co_return Response;
  case StoreFault::None:
    break;
  }
  std::string Path(Request.path());
  bool IsWrite = Request.m_Method != "GET";
  if (Path == "/kv-range")
    Response = range(Request);
  else if (Path == "/kv-watch")
    Response = co_await watch(Request);
  else if (Path == "/kv-txn")
    Response = transact(Request);
  else if (Path.starts_with("/kv-lease") || Path.starts_with("/kv-keep"))
    Response = lease(Request);
  else
    Response = jsonResponse(404, "{}");
  if (IsWrite && m_Random.uniform() < Faults.m_LostResponseShare)
    Response.m_AbortConnection = true;
  co_return Response;
}

HttpResponse KvStore::range(const HttpRequest &Request) const {
  std::string Prefix = decodePercent(Request.query("prefix"));
  std::string After = decodePercent(Request.query("after"));
  Json::Value Json;
  Json["items"] = Json::Value(Json::arrayValue);
  Json["has_more"] = false;
  for (const auto &[Key, Stored] : m_State.m_Items) {
    if (!Key.starts_with(Prefix) || (!After.empty() && Key <= After))
      continue;
    if (Json["items"].size() >= MaxPageItems) {
      Json["has_more"] = true;
      break;
    }
    Json["items"].append(itemJson(Key, Stored));
  }
  Json["store_revision"] = static_cast<Json::UInt64>(m_State.m_Revision);
  return jsonResponse(200, compactJson(Json));
}

asio::awaitable<HttpResponse> KvStore::watch(HttpRequest Request) {
  std::string Prefix = decodePercent(Request.query("prefix"));
  std::uint64_t After = queryNumber(Request, "after");
  Time Deadline =
      now() + std::chrono::milliseconds(queryNumber(Request, "wait_ms"));
  for (;;) {
    // A revision that a restore has taken back is not in the history either.
    if (After < m_State.m_ForgottenRevision || After > m_State.m_Revision)
      co_return jsonResponse(410, "{}");
    Json::Value Json;
    Json["events"] = Json::Value(Json::arrayValue);
    for (const Change &Event : m_State.m_History) {
      if (Event.m_Revision <= After || !Event.m_Key.starts_with(Prefix))
        continue;
      auto Found = m_State.m_Items.find(Event.m_Key);
      Json::Value EventJson;
      if (!Event.m_Removed && Found != m_State.m_Items.end()) {
        EventJson = itemJson(Event.m_Key, Found->second);
      } else {
        EventJson["key"] = Event.m_Key;
        EventJson["deleted"] = true;
      }
      EventJson["revision"] = static_cast<Json::UInt64>(Event.m_Revision);
      Json["events"].append(std::move(EventJson));
    }
    Json["store_revision"] = static_cast<Json::UInt64>(m_State.m_Revision);
    if (!Json["events"].empty() || now() >= Deadline)
      co_return jsonResponse(200, compactJson(Json));
    co_await sleepFor(WatchPollInterval);
  }
}

HttpResponse KvStore::transact(const HttpRequest &Request) {
  Result<Json::Value> Body = parseJson(Request.m_Body);
  if (!Body)
    return jsonResponse(400, "{}");
  for (const Json::Value &KeyWrite : Body.value()["set_keys"]) {
    std::string Key = KeyWrite["key"].asString();
    std::uint64_t LeaseId = KeyWrite["lease"].asUInt64();
    if (Key.starts_with("op/") || Key.starts_with("servers/"))
      return jsonResponse(403, "{}");
    if (LeaseId != 0 && !m_State.m_Leases.contains(LeaseId))
      return jsonResponse(404, "{}");
    Result<std::string> Value = decodeBase64(KeyWrite["value"].asString());
    if (!Value)
      return jsonResponse(400, "{}");
    put(Key, Value.value(), LeaseId);
  }
  return jsonResponse(
      200, "{\"revision\":" + std::to_string(m_State.m_Revision) + "}");
}

HttpResponse KvStore::lease(const HttpRequest &Request) {
  std::string Path(Request.path());
  std::string Prefix = "/kv-keep/";
  if (Path.starts_with(Prefix)) {
    auto Found = m_State.m_Leases.find(static_cast<std::uint64_t>(
        parseInteger(Path.substr(Prefix.size()), 0)));
    if (Found == m_State.m_Leases.end())
      return jsonResponse(404, "{}");
    Found->second.m_ExpiresAt = now() + Found->second.m_Ttl;
    return jsonResponse(200, "{}");
  }
  Result<Json::Value> Body = parseJson(Request.m_Body);
  if (!Body)
    return jsonResponse(400, "{}");
  Result<Duration> Ttl =
      platform::parseDuration(Body.value()["ttl_time"].asString());
  if (!Ttl)
    return jsonResponse(400, "{}");
  m_State.m_Leases[++m_State.m_LastLease] = {Ttl.value(), now() + Ttl.value()};
  return jsonResponse(200, "{\"lease\":" + std::to_string(m_State.m_LastLease) +
                               "}");
}

} // namespace rhubarb::site
