#include "Entry.h"

#include "net/Clock.h"
#include "net/Log.h"

#include <boost/asio/ip/address_v4.hpp>

namespace rhubarb::entry {
namespace {

constexpr std::int64_t MaxPort = 65535;
constexpr Duration StopPollInterval = 20ms;

HttpServerLimits requestServerLimits(const Settings &Values) {
  HttpServerLimits Limits;
  Limits.m_MaxBodyBytes =
      static_cast<std::size_t>(Values.number("entry.max_body_bytes"));
  Limits.m_MaxConnections =
      static_cast<int>(Values.number("entry.max_connections"));
  Limits.m_MaxConnectionsPerIp =
      static_cast<int>(Values.number("entry.max_connections_per_ip"));
  return Limits;
}

HttpClientLimits clientLimits(const Settings &Values) {
  HttpClientLimits Limits;
  Limits.m_MaxBodyBytes =
      static_cast<std::size_t>(Values.number("entry.max_body_bytes"));
  return Limits;
}

HomeId makeHomeId(const Settings &Values) {
  auto Ip = boost::asio::ip::make_address_v4(Values.text("vm.ip")).to_uint();
  return {Ip, static_cast<std::uint16_t>(Values.number("entry.port")),
          randomBits() | 1U};
}

KeyTableLimits keyLimits(const Settings &Values) {
  KeyTableLimits Limits;
  Limits.m_Lifetime = Values.millis("entry.key_lifetime_ms");
  Limits.m_MaxKeys = static_cast<std::size_t>(Values.number("entry.max_keys"));
  Limits.m_MaxResponseBytes =
      static_cast<std::size_t>(Values.number("entry.max_answer_bytes"));
  return Limits;
}

} // namespace

SettingTable entrySettings() {
  return {
      {"entry", "port", SettingKind::Number, "8080", 1, MaxPort, "port",
       "port for requests from callers"},
      {"entry", "control_port", SettingKind::Number, "8090", 1, MaxPort, "port",
       "port for control messages and for requests forwarded by other VMs"},
      {"entry", "key_secret", SettingKind::Text, nullptr, 0, 0, "",
       "secret that signs key prefixes; must be the same on all VMs"},
      {"entry", "key_lifetime_ms", SettingKind::Number, "600000", 1000,
       86400000, "ms",
       "time after its issue in which a key can run or be replayed"},
      {"entry", "max_keys", SettingKind::Number, "200000", 100, 10000000,
       "keys", "limit on keys in the key table; new keys above it are refused"},
      {"entry", "max_answer_bytes", SettingKind::Number, "67108864", 65536,
       4294967296, "bytes",
       "limit on stored responses; new keys above it are refused"},
      {"entry", "max_body_bytes", SettingKind::Number, "1048576", 1024,
       67108864, "bytes", "limit on the body of a request and of a response"},
      {"entry", "max_connections", SettingKind::Number, "4000", 10, 100000,
       "connections", "limit on connections from all callers"},
      {"entry", "max_connections_per_ip", SettingKind::Number, "1000", 1,
       100000, "connections", "limit on connections from one IP address"},
      {"entry", "linger_ms", SettingKind::Number, "3000", 0, 600000, "ms",
       "time for which a graceful shutdown keeps accepting requests until "
       "look-ups no longer return this VM"},
      {"entry", "drain_ms", SettingKind::Number, "30000", 0, 600000, "ms",
       "limit on the time a graceful shutdown waits for requests in progress"},
      {"entry", "load_poll_ms", SettingKind::Number, "500", 50, 60000, "ms",
       "interval for polling the load report of each backend server"},
  };
}

PoolRuntime::PoolRuntime(const Pool &Settings)
    : m_Name(Settings.m_Name),
      m_Queue(
          [&] {
            QueueLimits Limits;
            Limits.m_InitialServiceTime = Settings.m_ServiceTime;
            return Limits;
          }(),
          randomBits()) {}

EntryProcess::EntryProcess(Daemon &Process)
    : m_Daemon(Process), m_Ip(Process.m_Settings.text("vm.ip")),
      m_Domain(Process.m_Settings.text("vm.domain")),
      m_Region(Process.m_Settings.text("vm.region")),
      m_Port(
          static_cast<std::uint16_t>(Process.m_Settings.number("entry.port"))),
      m_ControlPort(static_cast<std::uint16_t>(
          Process.m_Settings.number("entry.control_port"))),
      m_KeySigner(Process.m_Settings.text("entry.key_secret")),
      m_Client(Process.m_Io, Process.m_Reachability, m_Ip,
               clientLimits(Process.m_Settings)),
      m_RequestServer(Process.m_Io, Process.m_Reachability,
                      requestServerLimits(Process.m_Settings),
                      [this](HttpRequest Request) {
                        return handleCallerRequest(std::move(Request));
                      }),
      m_ControlServer(Process.m_Io, Process.m_Reachability,
                      controlServerLimits(),
                      [this](HttpRequest Request) {
                        return handleControlRequest(std::move(Request));
                      }),
      m_Keys(makeHomeId(Process.m_Settings), keyLimits(Process.m_Settings)),
      m_Servers(ServerLimits{}, randomBits()),
      m_GrantIssuer(GrantLimits{}, (randomBits() >> 12U) + 1) {
  m_RequestServer.onRefusal(
      [this](ErrorKind Kind) { m_Daemon.m_Metrics.countRefusal(Kind, ""); });
  registerRpcMethods();
}

Result<int> EntryProcess::start() {
  m_LastTickAt = now();
  for (auto [Server, Port] : {std::pair(&m_RequestServer, m_Port),
                              std::pair(&m_ControlServer, m_ControlPort)}) {
    Result<std::uint16_t> Listening = Server->start(m_Ip, Port);
    if (!Listening)
      return Listening.error();
  }
  spawn(m_Daemon.m_Io, tickLoop());
  spawn(m_Daemon.m_Io, pollServers());
  return 0;
}

// Shuts down gracefully: gives look-ups time to stop returning this VM, waits
// for the requests in progress, then hands the keys over to a live peer, which
// answers requests with these keys from then on.
asio::awaitable<void> EntryProcess::stop() {
  const Settings &Values = m_Daemon.m_Settings;
  m_Leaving = true;
  co_await sleepFor(Values.millis("entry.linger_ms"));
  m_RefusesUnkeyedRequests = true;
  m_Keys.refuseNewKeys();
  Time DrainDeadline = now() + Values.millis("entry.drain_ms");
  while (!m_PendingRequests.empty() && now() < DrainDeadline)
    co_await sleepFor(StopPollInterval);
  bool HandedOver = co_await handOverKeys();
  logEvent(Severity::Info, "keys_handed_over",
           {{"done", HandedOver ? "yes" : "no"},
            {"keys", std::to_string(m_Keys.size())}});
  // The peer answers requests with these keys now. Forward such requests to it
  // until the other VMs have learned of the handover.
  if (HandedOver)
    co_await sleepFor(Values.millis("entry.linger_ms"));
  m_RequestServer.stopAccepting();
  const std::vector<HttpServer *> ForCallers{&m_RequestServer};
  co_await waitForConnections(ForCallers, DrainDeadline);
  m_ControlServer.stopAccepting();
  const std::vector<HttpServer *> ForControl{&m_ControlServer};
  co_await waitForConnections(ForControl, DrainDeadline);
  m_Stopped = true;
}

Json::Value EntryProcess::status() const {
  Json::Value Json;
  Json["vm"] = m_Ip;
  Json["domain"] = m_Domain;
  Json["revision"] = static_cast<Json::UInt64>(m_Config.m_Revision);
  Json["config_known"] = m_ConfigKnown;
  Json["leaving"] = m_Leaving;
  Json["keys"] = static_cast<Json::UInt64>(m_Keys.size());
  Json["key_answer_bytes"] = static_cast<Json::UInt64>(m_Keys.responseBytes());
  Json["pending"] = static_cast<Json::UInt64>(m_PendingRequests.size());
  for (std::size_t I = 0; I < m_Pools.size(); ++I) {
    int Pool = static_cast<int>(I);
    Json::Value &PoolJson = Json["pools"][m_Pools[I].m_Name];
    const AdmissionQueue &Queue = m_Pools[I].m_Queue;
    PoolJson["open"] = m_Servers.openSlots(Pool);
    PoolJson["busy"] = m_Servers.busySlots(Pool);
    PoolJson["granted_to_others"] = m_GrantIssuer.grantedSlots(Pool, now());
    PoolJson["urgent_reserve"] = Queue.urgentReserve();
    for (Priority Value :
         {Priority::Urgent, Priority::Normal, Priority::Batch}) {
      Json::Value &PriorityJson =
          PoolJson["ranks"][std::string(priorityName(Value))];
      PriorityJson["waiting"] = Queue.waiting(Value);
      PriorityJson["running"] = Queue.running(Value);
      PriorityJson["mean_service_ms"] = static_cast<Json::Int64>(
          Queue.meanServiceTime(Value) / std::chrono::milliseconds(1));
    }
  }
  for (const GrantHolder::HeldGrant &Row : m_GrantHolder.rows())
    if (Row.m_Slots > 0 && now() < Row.m_ExpiresAt) {
      Json::Value GrantJson;
      GrantJson["peer"] = Row.m_Peer;
      GrantJson["slots"] = Row.m_Slots;
      GrantJson["busy"] = Row.m_BusySlots;
      Json["grants_held"].append(GrantJson);
    }
  for (const BackendServer &Row : m_Servers.rows())
    if (Row.m_Owned) {
      Json::Value ServerJson;
      ServerJson["address"] = Row.m_Listing.m_Address;
      ServerJson["open"] = Row.m_OpenSlots;
      ServerJson["busy"] = Row.m_BusySlots;
      ServerJson["slots"] = Row.m_Listing.m_Slots;
      ServerJson["ejected"] = Row.m_EjectedUntil != Time{0};
      Json["servers"].append(ServerJson);
    }
  return Json;
}

void EntryProcess::updateGauges() {
  Metrics &Gauges = m_Daemon.m_Metrics;
  Gauges.set("rhubarb_config_revision", {},
             static_cast<double>(m_Config.m_Revision));
  Gauges.set("rhubarb_keys", {}, static_cast<double>(m_Keys.size()));
  for (std::size_t I = 0; I < m_Pools.size(); ++I) {
    int Pool = static_cast<int>(I);
    Labels PoolLabels{{"pool", m_Pools[I].m_Name}};
    Gauges.set("rhubarb_slots_open", PoolLabels, m_Servers.openSlots(Pool));
    Gauges.set("rhubarb_slots_busy", PoolLabels, m_Servers.busySlots(Pool));
    Gauges.set("rhubarb_headroom_slots", PoolLabels, m_Servers.freeSlots(Pool));
    Gauges.set("rhubarb_waiting", PoolLabels, m_Pools[I].m_Queue.waiting());
  }
  for (const auto &[Region, Share] : m_LinkShares)
    Gauges.set("rhubarb_link_sent_bytes", {{"to", Region}},
               static_cast<double>(Share.chargedBytes()));
}

// Handles GET /v1/explain?service=S, which returns how a request for that
// service would be admitted and dispatched now.
asio::awaitable<HttpResponse>
EntryProcess::handleOperatorRequest(HttpRequest Request) {
  if (Request.path() != "/v1/explain")
    co_return jsonResponse(404, "{\"error\":\"not_found\"}\n");
  const Service *ServiceConfig = m_Config.findService(Request.query("service"));
  if (ServiceConfig == nullptr)
    co_return errorResponse(ErrorKind::UnknownService);
  const Profile &ServiceProfile =
      m_Config.m_Profiles[static_cast<std::size_t>(ServiceConfig->m_Profile)];
  const PoolRuntime &Pool =
      m_Pools[static_cast<std::size_t>(ServiceConfig->m_Pool)];
  Json::Value Json;
  Json["service"] = ServiceConfig->m_Name;
  Json["profile"] = ServiceProfile.m_Name;
  Json["rank"] = std::string(priorityName(ServiceProfile.m_Priority));
  Json["reach"] = std::string(reachName(ServiceProfile.m_Reach));
  Json["needs_key"] = !ServiceProfile.m_Idempotent;
  Json["pool"] = Pool.m_Name;
  Json["open_slots"] = m_Servers.openSlots(ServiceConfig->m_Pool);
  Json["free_slots"] = m_Servers.freeSlots(ServiceConfig->m_Pool);
  Json["reserved_for_others"] =
      m_GrantIssuer.reservedSlots(ServiceConfig->m_Pool, now());
  Json["waiting_same_rank"] = Pool.m_Queue.waiting(ServiceProfile.m_Priority);
  Duration Wait = Pool.m_Queue.predictWait(ServiceProfile.m_Priority);
  Json["predicted_wait_ms"] = static_cast<Json::Int64>(
      std::min<Duration>(Wait, 1h) / std::chrono::milliseconds(1));
  Json["deadline_ms"] = static_cast<Json::Int64>(ServiceProfile.m_Deadline /
                                                 std::chrono::milliseconds(1));
  Json["grant_slots_held"] = m_GrantHolder.freeSlots(
      ServiceConfig->m_Pool, static_cast<int>(ServiceProfile.m_Reach), now());
  co_return jsonResponse(200, compactJson(Json) + "\n");
}

const SnapshotMember *EntryProcess::findMember(const std::string &Ip) const {
  for (const SnapshotMember &Member : m_Snapshot.m_Members)
    if (Member.m_Ip == Ip)
      return &Member;
  return nullptr;
}

int EntryProcess::distanceTo(const SnapshotMember &Member) const {
  if (Member.m_Domain == m_Domain)
    return 0;
  return m_Config.regionOf(Member.m_Domain) == m_Region ? 1 : 2;
}

std::string EntryProcess::controlAddress(const std::string &Ip) const {
  return Ip + ":" + std::to_string(m_ControlPort);
}

LinkShare *EntryProcess::findLink(const std::string &Region) {
  auto Position = m_LinkShares.find(Region);
  return Position == m_LinkShares.end() ? nullptr : &Position->second;
}

} // namespace rhubarb::entry
