#include "Agent.h"

#include "net/Clock.h"
#include "net/Log.h"
#include "net/RpcCall.h"

namespace rhubarb::steer {
namespace {

constexpr std::int64_t MaxPort = 65535;
constexpr Duration StoreSilentWarningDelay = 15s;

MemberLimits memberLimits(const Settings &Values) {
  MemberLimits Limits;
  Limits.m_SilenceTimeout = Values.millis("steer.silent_ms");
  Limits.m_Fanout = static_cast<int>(Values.number("steer.fanout"));
  Limits.m_RelayedRows = static_cast<int>(Values.number("steer.relayed_rows"));
  return Limits;
}

} // namespace

SettingTable agentSettings() {
  return {
      {"steer", "port", SettingKind::Number, "8082", 1, MaxPort, "port",
       "traffic between agents: JSON-RPC over TCP, heartbeats over UDP"},
      {"steer", "entry_control", SettingKind::Number, "8090", 1, MaxPort,
       "port", "control port of the entry processes"},
      {"steer", "lookup_control", SettingKind::Number, "8091", 1, MaxPort,
       "port", "control port of the look-up processes"},
      {"steer", "heartbeat_ms", SettingKind::Number, "1000", 50, 10000, "ms",
       "time between heartbeats"},
      {"steer", "silent_ms", SettingKind::Number, "3000", 200, 60000, "ms",
       "a VM without a heartbeat for this long gets no new requests"},
      {"steer", "fanout", SettingKind::Number, "4", 1, 64, "VMs",
       "number of VMs in the same failure domain that each heartbeat is "
       "sent to"},
      {"steer", "relayed_rows", SettingKind::Number, "4", 0, 64, "rows",
       "reports of other VMs relayed with each heartbeat"},
      {"steer", "push_ms", SettingKind::Number, "250", 50, 5000, "ms",
       "time between snapshot pushes to the processes of this VM"},
      {"steer", "watchers", SettingKind::Number, "2", 1, 16, "VMs",
       "number of VMs per failure domain that watch the store"},
      {"steer", "store_wait_ms", SettingKind::Number, "10000", 100, 60000, "ms",
       "maximum time that one watch request waits for a change"},
      {"steer", "store_timeout_ms", SettingKind::Number, "2000", 100, 60000,
       "ms", "maximum wait for a response from the store"},
      {"steer", "list_refresh_ms", SettingKind::Number, "2000", 100, 60000,
       "ms",
       "maximum time between reads of the backend server list by watchers"},
      {"steer", "peer_prefixes", SettingKind::Text, "", 0, 0, "",
       "comma-separated IP prefixes (10.1.) of VMs that are trusted to supply "
       "the VM list while this VM has none"},
      {"platform", "address", SettingKind::Address, nullptr, 0, 0, "",
       "address of the platform's HTTP API"},
  };
}

Agent::Agent(Daemon &Process)
    : m_Daemon(Process), m_Ip(Process.m_Settings.text("vm.ip")),
      m_Domain(Process.m_Settings.text("vm.domain")),
      m_Region(Process.m_Settings.text("vm.region")),
      m_Port(
          static_cast<std::uint16_t>(Process.m_Settings.number("steer.port"))),
      m_Client(Process.m_Io, Process.m_Reachability, m_Ip),
      m_Store(
          makeConsulStore(m_Client, Process.m_Settings.list("platform.address"),
                          Process.m_Settings.millis("steer.store_timeout_ms"))),
      m_Server(Process.m_Io, Process.m_Reachability, controlServerLimits(),
               [this](HttpRequest Request) {
                 return handleRequest(std::move(Request));
               }),
      m_Datagrams(Process.m_Io, Process.m_Reachability,
                  [this](const std::string &Text, const std::string &PeerIp) {
                    m_Rpc.handle(Text, PeerIp);
                  }),
      m_Members(m_Ip, m_Domain, memberLimits(Process.m_Settings)) {
  auto ControlAddress = [&](const char *Key) {
    return m_Ip + ":" + std::to_string(Process.m_Settings.number(Key));
  };
  m_Consumers.push_back(
      {"entry", ControlAddress("steer.entry_control"), "", false});
  m_Consumers.push_back(
      {"lookup", ControlAddress("steer.lookup_control"), "", false});
  registerMethods();
}

void Agent::registerMethods() {
  m_Rpc.addNotification(
      "hb", [this](const Json::Value &Params, const std::string &Ip) {
        handleHeartbeat(Params, Ip);
        return Json::Value();
      });
  m_Rpc.addMethod("config.fetch",
                  [this](const Json::Value &Params, const std::string &) {
                    return configUpdateSince(Params[0].asUInt64());
                  });
  m_Rpc.addMethod("directory.fetch",
                  [this](const Json::Value &, const std::string &) {
                    return toJson(m_Directory);
                  });
}

Result<int> Agent::start() {
  m_StartedAt = now();
  m_StartTimeMs = static_cast<std::uint64_t>(unixMillis());
  Result<std::uint16_t> Listening = m_Server.start(m_Ip, m_Port);
  if (!Listening)
    return Listening.error();
  Result<int> Bound = m_Datagrams.start(m_Ip, m_Port);
  if (!Bound)
    return Bound.error();
  spawn(m_Daemon.m_Io, watchConfig());
  spawn(m_Daemon.m_Io, watchDirectory());
  spawn(m_Daemon.m_Io, heartbeatLoop());
  for (Consumer &Target : m_Consumers)
    spawn(m_Daemon.m_Io, pushLoop(Target));
  return 0;
}

asio::awaitable<void> Agent::stop() {
  m_Stopped = true;
  m_Server.stopAccepting();
  const std::vector<HttpServer *> Servers{&m_Server};
  co_await waitForConnections(Servers, now() + ConnectionEndDuration);
}

asio::awaitable<HttpResponse> Agent::handleRequest(HttpRequest Request) {
  if (Request.path() != "/rpc" || !isMember(Request.m_PeerIp)) {
    m_Daemon.m_Metrics.countRefusal(ErrorKind::PeerNotAllowed, "");
    co_return errorResponse(ErrorKind::PeerNotAllowed);
  }
  co_return jsonResponse(200, m_Rpc.handle(Request.m_Body, Request.m_PeerIp));
}

Json::Value Agent::status() const {
  Json::Value Status;
  Status["vm"] = m_Ip;
  Status["domain"] = m_Domain;
  Status["region"] = m_Region;
  Status["revision"] = static_cast<Json::UInt64>(m_Revision);
  Status["revision_at_entry"] =
      static_cast<Json::UInt64>(m_EntryReport.m_Revision);
  Status["entry_up"] = m_Consumers.front().m_Up;
  Status["highest_heard"] = static_cast<Json::UInt64>(m_HighestKnownRevision);
  Status["rejected_revision"] = static_cast<Json::UInt64>(m_RejectedRevision);
  Status["config_known"] = canServeConfig();
  Status["store_silent_ms"] = static_cast<Json::Int64>(
      (now() - m_LastStoreRead) / std::chrono::milliseconds(1));
  Status["directory_index"] = static_cast<Json::UInt64>(m_Directory.m_Index);
  Status["watches_store"] = m_Members.watchesStore(
      static_cast<int>(m_Daemon.m_Settings.number("steer.watchers")));
  Status["sent_bytes"] = static_cast<Json::UInt64>(m_Datagrams.sentBytes());
  Status["received_bytes"] =
      static_cast<Json::UInt64>(m_Datagrams.receivedBytes());
  for (const MemberRow &Row : m_Members.rows()) {
    Json::Value Member;
    Member["vm"] = Row.m_Report.m_Vm;
    Member["domain"] = Row.m_Report.m_Domain;
    Member["state"] = std::string(memberStateName(Row.m_State));
    Member["revision"] = static_cast<Json::UInt64>(Row.m_Report.m_Revision);
    for (const PoolSummary &Pool : Row.m_Report.m_Pools) {
      Json::Value &Summary = Member["pools"][Pool.m_Pool];
      Summary["open"] = Pool.m_OpenSlots;
      Summary["free"] = Pool.m_FreeSlots;
      Summary["waiting"] = Pool.m_QueuedRequests;
    }
    Status["members"].append(Member);
  }
  for (const auto &[Name, Action] : m_Warnings)
    Status["warnings"][Name] = Action;
  return Status;
}

void Agent::updateGauges() {
  Metrics &Values = m_Daemon.m_Metrics;
  Values.set("rhubarb_config_revision", {}, static_cast<double>(m_Revision));
  Values.set("rhubarb_control_sent_bytes", {},
             static_cast<double>(m_Datagrams.sentBytes()));
  Values.set("rhubarb_control_received_bytes", {},
             static_cast<double>(m_Datagrams.receivedBytes()));
  Values.set("rhubarb_rpc_malformed", {},
             static_cast<double>(m_Rpc.malformedRequests()));
  std::map<std::string, int> ByState;
  for (const MemberRow &Row : m_Members.rows())
    ++ByState[std::string(memberStateName(Row.m_State))];
  for (MemberState State : {MemberState::Unheard, MemberState::Live,
                            MemberState::Silent, MemberState::Leaving}) {
    std::string Name(memberStateName(State));
    Values.set("rhubarb_members", {{"state", Name}}, ByState[Name]);
  }
}

void Agent::setWarning(const std::string &Name, bool Raised,
                       const std::string &Action) {
  bool WasRaised = m_Warnings.contains(Name);
  if (Raised == WasRaised)
    return;
  if (Raised) {
    m_Warnings[Name] = Action;
    m_Daemon.m_Metrics.count("rhubarb_warnings_total", {{"warning", Name}});
    logEvent(Severity::Warning, Name, {{"action", Action}});
  } else {
    m_Warnings.erase(Name);
    logEvent(Severity::Info, "cleared", {{"warning", Name}});
  }
  m_Daemon.m_Metrics.set("rhubarb_warning", {{"warning", Name}},
                         Raised ? 1 : 0);
}

void Agent::updateWarnings() {
  setWarning("config_rejected", m_RejectedRevision > m_Revision,
             "the newest revision does not check; apply a corrected one");
  bool WatchesStore = m_Members.watchesStore(
      static_cast<int>(m_Daemon.m_Settings.number("steer.watchers")));
  Time LastReadOrStart = std::max(m_LastStoreRead, m_StartedAt);
  setWarning("store_silent",
             WatchesStore && now() - LastReadOrStart > StoreSilentWarningDelay,
             "the platform's store does not answer; edits are not possible");
}

} // namespace rhubarb::steer
