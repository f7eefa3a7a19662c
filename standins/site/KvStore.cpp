#include "standins/site/KvStore.h"

#include "net/Clock.h"
#include "net/Crypto.h"
#include "net/Daemon.h"
#include "net/Messages.h"
#include "net/Text.h"
#include "platform/Settings.h"

#include <array>

namespace rhubarb::site {
namespace {

constexpr std::array<std::string_view, 5> FaultNames{"none", "silent", "busy",
                                                     "many", "reset"};
constexpr Duration SilentFor = 60s; // Longer than any caller waits.
constexpr Duration WatchPoll = 5ms; // Between two looks for an event.
constexpr std::size_t PageItems = 50;

std::uint64_t numberOf(const HttpRequest &Request, std::string_view Name) {
  return static_cast<std::uint64_t>(parseInteger(Request.query(Name), 0));
}

// Undoes the encoding of a query's value.
std::string unescape(std::string_view Text) {
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
                           std::uint64_t Holder) {
  Item &Row = m_Items[Key];
  Row.m_Revision = ++m_Revision;
  if (Row.m_Created == 0)
    Row.m_Created = m_Revision;
  Row.m_Value = Value;
  Row.m_Lease = Holder;
  m_History.push_back({Key, m_Revision, false});
  return m_Revision;
}

std::uint64_t KvStore::remove(const std::string &Key) {
  if (m_Items.erase(Key) == 0)
    return m_Revision;
  m_History.push_back({Key, ++m_Revision, true});
  return m_Revision;
}

void KvStore::forgetHistory() {
  m_History.clear();
  m_FirstKnown = m_Revision;
}

void KvStore::tick() {
  std::erase_if(m_Leases, [&](const auto &Entry) {
    if (now() < Entry.second.m_Until)
      return false;
    std::vector<std::string> Gone;
    for (const auto &[Key, Row] : m_Items)
      if (Row.m_Lease == Entry.first)
        Gone.push_back(Key);
    for (const std::string &Key : Gone)
      remove(Key);
    return true;
  });
}

Json::Value KvStore::itemJson(const std::string &Key, const Item &Row) const {
  Json::Value Json;
  Json["key"] = Key;
  Json["value"] = encodeBase64(Row.m_Value);
  Json["revision"] = static_cast<Json::UInt64>(Row.m_Revision);
  Json["created_rev"] = static_cast<Json::UInt64>(Row.m_Created);
  Json["lease"] = static_cast<Json::UInt64>(Row.m_Lease);
  return Json;
}

asio::awaitable<HttpResponse> KvStore::serve(HttpRequest Request) {
  ++m_Calls;
  bool Hit = m_Faults.m_OnlyFor.empty() ||
             m_Faults.m_OnlyFor.contains(Request.m_PeerIp);
  StoreFaults Faults = Hit ? m_Faults : StoreFaults{};
  if (Faults.m_Slow.count() > 0)
    co_await sleepFor(Faults.m_Slow);
  HttpResponse Response;
  switch (Faults.m_Kind) {
  case StoreFault::Silent:
    co_await sleepFor(SilentFor);
    Response.m_AbortConnection = true;
    co_return Response;
  case StoreFault::Busy:
    co_return jsonResponse(503, "{}");
  case StoreFault::Many:
    co_return jsonResponse(429, "{}");
  case StoreFault::Reset:
    Response.m_AbortConnection = true;
    co_return Response;
  case StoreFault::None:
    break;
  }
  std::string Path(Request.path());
  bool Writes = Request.m_Method != "GET";
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
  if (Writes && m_Random.uniform() < Faults.m_LostAnswers)
    Response.m_AbortConnection = true;
  co_return Response;
}

HttpResponse KvStore::range(const HttpRequest &Request) const {
  std::string Prefix = unescape(Request.query("prefix"));
  std::string After = unescape(Request.query("after"));
  Json::Value Json;
  Json["items"] = Json::Value(Json::arrayValue);
  Json["has_more"] = false;
  for (const auto &[Key, Row] : m_Items) {
    if (!Key.starts_with(Prefix) || (!After.empty() && Key <= After))
      continue;
    if (Json["items"].size() >= PageItems) {
      Json["has_more"] = true;
      break;
    }
    Json["items"].append(itemJson(Key, Row));
  }
  Json["store_revision"] = static_cast<Json::UInt64>(m_Revision);
  return jsonResponse(200, compactJson(Json));
}

asio::awaitable<HttpResponse> KvStore::watch(HttpRequest Request) {
  std::string Prefix = unescape(Request.query("prefix"));
  std::uint64_t After = numberOf(Request, "after");
  Time Until = now() + std::chrono::milliseconds(numberOf(Request, "wait_ms"));
  for (;;) {
    if (After < m_FirstKnown)
      co_return jsonResponse(410, "{}");
    Json::Value Json;
    Json["events"] = Json::Value(Json::arrayValue);
    for (const Change &Event : m_History) {
      if (Event.m_Revision <= After || !Event.m_Key.starts_with(Prefix))
        continue;
      auto Found = m_Items.find(Event.m_Key);
      Json::Value Row;
      if (!Event.m_Removed && Found != m_Items.end()) {
        Row = itemJson(Event.m_Key, Found->second);
      } else {
        Row["key"] = Event.m_Key;
        Row["deleted"] = true;
      }
      Row["revision"] = static_cast<Json::UInt64>(Event.m_Revision);
      Json["events"].append(std::move(Row));
    }
    Json["store_revision"] = static_cast<Json::UInt64>(m_Revision);
    if (!Json["events"].empty() || now() >= Until)
      co_return jsonResponse(200, compactJson(Json));
    co_await sleepFor(WatchPoll);
  }
}

HttpResponse KvStore::transact(const HttpRequest &Request) {
  Result<Json::Value> Body = parseJson(Request.m_Body);
  if (!Body)
    return jsonResponse(400, "{}");
  for (const Json::Value &Row : Body.value()["set_keys"]) {
    std::string Key = Row["key"].asString();
    std::uint64_t Held = Row["lease"].asUInt64();
    if (Key.starts_with("op/") || Key.starts_with("servers/"))
      return jsonResponse(403, "{}");
    if (Held != 0 && !m_Leases.contains(Held))
      return jsonResponse(404, "{}");
    Result<std::string> Value = decodeBase64(Row["value"].asString());
    if (!Value)
      return jsonResponse(400, "{}");
    put(Key, Value.value(), Held);
  }
  return jsonResponse(200, "{\"revision\":" + std::to_string(m_Revision) + "}");
}

HttpResponse KvStore::lease(const HttpRequest &Request) {
  std::string Path(Request.path());
  std::string Prefix = "/kv-keep/";
  if (Path.starts_with(Prefix)) {
    auto Found = m_Leases.find(static_cast<std::uint64_t>(
        parseInteger(Path.substr(Prefix.size()), 0)));
    if (Found == m_Leases.end())
      return jsonResponse(404, "{}");
    Found->second.m_Until = now() + Found->second.m_Ttl;
    return jsonResponse(200, "{}");
  }
  Result<Json::Value> Body = parseJson(Request.m_Body);
  if (!Body)
    return jsonResponse(400, "{}");
  Result<Duration> Ttl =
      platform::parseDuration(Body.value()["ttl_time"].asString());
  if (!Ttl)
    return jsonResponse(400, "{}");
  m_Leases[++m_LastLease] = {Ttl.value(), now() + Ttl.value()};
  return jsonResponse(200, "{\"lease\":" + std::to_string(m_LastLease) + "}");
}

} // namespace rhubarb::site
