// standin-platform: a test double of the platform's key-value store and service
// catalog. It implements a subset of Consul's published HTTP API: /v1/kv (cas,
// index, wait), /v1/session (leases) and /v1/catalog.
// POST /faults?down=&slow_ms=&lose=&lag_ms= sets the injected faults.
#include "net/Clock.h"
#include "net/Crypto.h"
#include "net/Daemon.h"
#include "net/Messages.h"
#include "net/Text.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>
#include <iostream>

namespace rhubarb::standin {

using namespace rhubarb::net;

namespace {

constexpr std::size_t MaxValueBytes = 1U << 20U;
constexpr Duration DefaultWait = 10s;
// Blocking reads of the catalog poll, because with an injected lag the visible
// version changes as time passes, without a write.
constexpr Duration ListPollInterval = 100ms;

const char *const Usage =
    "standin-platform: a test double of the platform's store and catalog.\n\n"
    "Usage:\n"
    "  standin-platform [--ip=IP] [--port=PORT]\n"
    "  standin-platform (-h | --help)\n\n"
    "Options:\n"
    "  --ip=IP      IP address to bind to [default: 127.0.0.1].\n"
    "  --port=PORT  Port to bind to [default: 8500].\n";

struct StoredValue {
  std::string m_Value;
  std::uint64_t m_Created = 0;
  std::uint64_t m_Modified = 0;
  // ID of the session that holds the lock on the key; empty if unlocked.
  std::string m_Session;
};

struct Session {
  Time m_ExpiresAt{0};
  Duration m_Ttl{0};
};

struct Faults {
  bool m_Down = false;
  Duration m_Delay{0};
  // Number of upcoming PUTs that take effect but whose response is replaced by
  // a 500.
  int m_LostWriteResponses = 0;
  Duration m_ListLag{0};
};

// A version of the catalog. Old versions are kept so that reads with an
// injected lag can return them.
struct ListVersion {
  Time m_CreatedAt{0};
  std::uint64_t m_Index = 0;
  // Services by service ID.
  std::map<std::string, Json::Value> m_Services;
};

class Platform {
public:
  Platform() { m_Versions.push_back({}); }

  asio::awaitable<HttpResponse> serve(HttpRequest Request) {
    std::string Path(Request.path());
    if (Path == "/faults")
      co_return setFaults(Request);
    if (Path == "/calls")
      co_return jsonResponse(200, compactJson(calls()) + "\n");
    ++m_Calls[Request.m_Method + " " + Path.substr(0, Path.find('/', 4))];
    if (m_Faults.m_Delay > Duration{0})
      co_await sleepFor(m_Faults.m_Delay);
    if (m_Faults.m_Down)
      co_return jsonResponse(500, "\"down\"");
    expireSessions();
    HttpResponse Response = co_await route(Request, Path);
    if (Request.m_Method == "PUT" && m_Faults.m_LostWriteResponses > 0) {
      --m_Faults.m_LostWriteResponses;
      co_return jsonResponse(500, "\"answer lost\"");
    }
    co_return Response;
  }

private:
  asio::awaitable<HttpResponse> route(const HttpRequest &Request,
                                      std::string Path) {
    if (Path.starts_with("/v1/kv/") && Request.m_Method == "PUT")
      co_return put(Request, Path.substr(7));
    if (Path.starts_with("/v1/kv/"))
      co_return co_await get(Request, Path.substr(7));
    if (Path.starts_with("/v1/catalog/service/"))
      co_return co_await list(Request, Path.substr(20));
    if (Path == "/v1/catalog/register" || Path == "/v1/catalog/deregister")
      co_return registerService(Request, Path.ends_with("/register"));
    if (Path.starts_with("/v1/session/"))
      co_return session(Request, Path.substr(12));
    co_return jsonResponse(404, "");
  }

  HttpResponse setFaults(const HttpRequest &Request) {
    using std::chrono::milliseconds;
    m_Faults.m_Down = Request.query("down") == "1";
    m_Faults.m_Delay = milliseconds(parseInteger(Request.query("slow_ms"), 0));
    m_Faults.m_LostWriteResponses =
        static_cast<int>(parseInteger(Request.query("lose"), 0));
    m_Faults.m_ListLag = milliseconds(parseInteger(Request.query("lag_ms"), 0));
    wakeWaiters();
    return jsonResponse(200, "{}\n");
  }

  Json::Value calls() const {
    Json::Value Json(Json::objectValue);
    for (const auto &[Name, Count] : m_Calls)
      Json[Name] = static_cast<Json::UInt64>(Count);
    return Json;
  }

  // Waits for the next change or the deadline. Any number of calls may wait at
  // the same time.
  asio::awaitable<void> waitForChange(Time Deadline) {
    asio::steady_timer Timer(co_await asio::this_coro::executor,
                             Deadline - now());
    m_Waiters.push_back(&Timer);
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    std::erase(m_Waiters, &Timer);
  }

  void wakeWaiters() {
    for (asio::steady_timer *Waiter : m_Waiters)
      Waiter->cancel();
  }

  Time waitDeadline(const HttpRequest &Request) const {
    std::string_view Wait = Request.query("wait");
    if (Wait.empty())
      return now() + DefaultWait;
    // Consul's API takes a wait with a unit; rhubarbstack always sends
    // milliseconds.
    Wait.remove_suffix(Wait.ends_with("ms") ? 2 : 0);
    return now() + std::chrono::milliseconds(parseInteger(Wait, 0));
  }

  static HttpResponse withIndex(HttpResponse Response, std::uint64_t Index) {
    Response.m_Headers.push_back({"X-Consul-Index", std::to_string(Index)});
    return Response;
  }

  asio::awaitable<HttpResponse> get(HttpRequest Request, std::string Key) {
    auto KnownIndex =
        static_cast<std::uint64_t>(parseInteger(Request.query("index"), 0));
    Time Deadline = waitDeadline(Request);
    auto Version = [&] {
      auto Found = m_Values.find(Key);
      return Found == m_Values.end() ? 1 : Found->second.m_Modified;
    };
    while (KnownIndex != 0 && Version() <= KnownIndex && now() < Deadline &&
           !m_Faults.m_Down)
      co_await waitForChange(Deadline);
    if (m_Faults.m_Down)
      co_return jsonResponse(500, "\"down\"");
    auto Found = m_Values.find(Key);
    if (Found == m_Values.end())
      co_return withIndex(jsonResponse(404, ""), Version());
    Json::Value Row;
    Row["Key"] = Key;
    Row["Value"] = encodeBase64(Found->second.m_Value);
    Row["CreateIndex"] = static_cast<Json::UInt64>(Found->second.m_Created);
    Row["ModifyIndex"] = static_cast<Json::UInt64>(Found->second.m_Modified);
    if (!Found->second.m_Session.empty())
      Row["Session"] = Found->second.m_Session;
    Json::Value Rows(Json::arrayValue);
    Rows.append(Row);
    co_return withIndex(jsonResponse(200, compactJson(Rows)), Version());
  }

  HttpResponse put(const HttpRequest &Request, const std::string &Key) {
    if (Request.m_Body.size() > MaxValueBytes)
      return jsonResponse(413, "\"value is over a megabyte\"");
    auto Found = m_Values.find(Key);
    std::uint64_t Current =
        Found == m_Values.end() ? 0 : Found->second.m_Modified;
    std::string_view Cas = Request.query("cas");
    if (!Cas.empty() &&
        static_cast<std::uint64_t>(parseInteger(Cas, 0)) != Current)
      return jsonResponse(200, "false");
    std::string Acquire(Request.query("acquire"));
    if (!Acquire.empty()) {
      bool Held = Found != m_Values.end() && !Found->second.m_Session.empty() &&
                  Found->second.m_Session != Acquire;
      if (Held || !m_Sessions.contains(Acquire))
        return jsonResponse(200, "false");
    }
    StoredValue &Value = m_Values[Key];
    Value.m_Value = Request.m_Body;
    Value.m_Modified = ++m_Index;
    Value.m_Session = Acquire;
    if (Value.m_Created == 0)
      Value.m_Created = m_Index;
    wakeWaiters();
    return jsonResponse(200, "true");
  }

  // Returns the newest version of the catalog that is at least as old as the
  // injected lag.
  const ListVersion &visibleVersion() const {
    for (auto Version = m_Versions.rbegin(); Version != m_Versions.rend();
         ++Version)
      if (Version->m_CreatedAt + m_Faults.m_ListLag <= now())
        return *Version;
    return m_Versions.front();
  }

  asio::awaitable<HttpResponse> list(HttpRequest Request, std::string Name) {
    auto KnownIndex =
        static_cast<std::uint64_t>(parseInteger(Request.query("index"), 0));
    Time Deadline = waitDeadline(Request);
    while (KnownIndex != 0 && visibleVersion().m_Index <= KnownIndex &&
           now() < Deadline && !m_Faults.m_Down)
      co_await waitForChange(std::min(Deadline, now() + ListPollInterval));
    if (m_Faults.m_Down)
      co_return jsonResponse(500, "\"down\"");
    Json::Value Rows(Json::arrayValue);
    for (const auto &[Id, Service] : visibleVersion().m_Services)
      if (Service["ServiceName"].asString() == Name)
        Rows.append(Service);
    co_return withIndex(jsonResponse(200, compactJson(Rows)),
                        std::max<std::uint64_t>(visibleVersion().m_Index, 1));
  }

  HttpResponse registerService(const HttpRequest &Request, bool Add) {
    Result<Json::Value> Parsed = parseJson(Request.m_Body);
    if (!Parsed || !Parsed.value().isObject())
      return jsonResponse(400, "\"unreadable\"");
    const Json::Value &Json = Parsed.value();
    ListVersion Next = m_Versions.back();
    Next.m_CreatedAt = now();
    Next.m_Index = ++m_Index;
    if (Add) {
      const Json::Value &Service = Json["Service"];
      Json::Value Row;
      Row["ServiceID"] = Service["ID"];
      Row["ServiceName"] = Service["Service"];
      Row["Address"] = Json["Address"];
      Row["ServicePort"] = Service["Port"];
      Row["ServiceMeta"] = Service["Meta"];
      Next.m_Services[Service["ID"].asString()] = Row;
    } else {
      Next.m_Services.erase(Json["ServiceID"].asString());
    }
    m_Versions.push_back(std::move(Next));
    while (m_Versions.size() > 2 &&
           m_Versions[1].m_CreatedAt + m_Faults.m_ListLag < now())
      m_Versions.pop_front();
    wakeWaiters();
    return jsonResponse(200, "true");
  }

  HttpResponse session(const HttpRequest &Request, const std::string &Action) {
    if (Action == "create") {
      Result<Json::Value> Parsed = parseJson(Request.m_Body);
      std::string Ttl = Parsed && Parsed.value().isObject()
                            ? Parsed.value()["TTL"].asString()
                            : "";
      std::string Id = randomId();
      Ttl.resize(Ttl.ends_with("s") ? Ttl.size() - 1 : Ttl.size());
      constexpr std::int64_t DefaultTtlSeconds = 15;
      Duration Lifetime =
          std::chrono::seconds(parseInteger(Ttl, DefaultTtlSeconds));
      m_Sessions[Id] = {now() + Lifetime, Lifetime};
      return jsonResponse(200, "{\"ID\":\"" + Id + "\"}");
    }
    if (Action.starts_with("renew/")) {
      auto Found = m_Sessions.find(Action.substr(6));
      if (Found == m_Sessions.end())
        return jsonResponse(404, "");
      Found->second.m_ExpiresAt = now() + Found->second.m_Ttl;
      return jsonResponse(200, "[]");
    }
    return jsonResponse(404, "");
  }

  void expireSessions() {
    for (auto Entry = m_Sessions.begin(); Entry != m_Sessions.end();) {
      if (Entry->second.m_ExpiresAt > now()) {
        ++Entry;
        continue;
      }
      for (auto &[Key, Value] : m_Values)
        if (Value.m_Session == Entry->first) {
          Value.m_Session.clear();
          Value.m_Modified = ++m_Index;
        }
      Entry = m_Sessions.erase(Entry);
    }
  }

  std::vector<asio::steady_timer *> m_Waiters;
  std::map<std::string, StoredValue> m_Values;
  std::map<std::string, Session> m_Sessions;
  std::deque<ListVersion> m_Versions;
  std::map<std::string, std::uint64_t> m_Calls;
  std::uint64_t m_Index = 1;
  Faults m_Faults;
};

int run(int Argc, char **Argv) {
  CommandLine Arguments = parseCommandLine(Usage, Argc, Argv);
  asio::io_context Io{1};
  Reachability Reach;
  Platform PlatformApi;
  HttpServerLimits Limits;
  Limits.m_MaxBodyBytes = 2 * MaxValueBytes;
  HttpServer Server(Io, Reach, Limits, [&](HttpRequest Request) {
    return PlatformApi.serve(std::move(Request));
  });
  Result<std::uint16_t> Listening =
      Server.start(Arguments.value("--ip"),
                   static_cast<std::uint16_t>(
                       parseInteger(Arguments.value("--port"), 8500)));
  if (!Listening) {
    std::cerr << Listening.error().m_Message << "\n";
    return ExitFailed;
  }
  Io.run();
  return ExitOk;
}

} // namespace
} // namespace rhubarb::standin

int main(int Argc, char **Argv) { return rhubarb::standin::run(Argc, Argv); }
