#include "Node.h"
#include "Headers.h"

#include "net/Clock.h"
#include "net/Crypto.h"
#include "net/Daemon.h"
#include "net/Log.h"
#include "net/QuotaMessages.h"
#include "net/Text.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rhubarb::node {
namespace {

constexpr Duration TickInterval = 20ms;      // Used while requests are queued.
constexpr Duration IdleTickInterval = 100ms; // Used while no request is queued.
constexpr Duration HealthCheckInterval = 250ms;
constexpr Duration HealthCheckTimeout = 500ms;
// A longer gap between two ticks means that the process was stalled.
constexpr Duration StallThreshold = 1s;
// A VM that is silent for longer is taken for removed.
constexpr Duration SilentVmsCountFor = 30s;
constexpr Duration BackendMaxIdleTime = 8s;
constexpr Duration BackendConnectTimeout = 400ms;
// Allows two retransmissions over the longest path; a third would be too late.
// Opening a connection to a nearby server takes little of a request's time.
constexpr Duration MinPreconnectRoundTrip = 20ms;
constexpr Duration PreconnectInterval = 250ms;
// A pooled connection is replaced when it has less time left.
constexpr Duration PreconnectMargin = 500ms;
// Bounds the connections that a VM opens after a change of many servers.
constexpr std::size_t MaxPreconnects = 16; // In one interval.
constexpr Duration BackendTcpUserTimeout = 700ms;
constexpr std::size_t BufferedBodyBytes = 64U << 10U;
constexpr std::size_t MaxBackendResponseBytes = 256U << 20U;
// Share of the memory of the process that bodies may take. The rest is for
// what each connection holds beside them, and for the state of the node.
constexpr double BufferedMemoryShare = 0.25;
// These factors leave a part of the retry budget unused. It covers windows in
// which the shares of the VMs add up to more than the budget.
constexpr double RetryRatioFactor = 0.6;
constexpr double ExtraTokenFactor = 0.3;
constexpr double RetrySlackFactor = 0.4;
// The idle timeout is longer by this, so that callers close connections first.
constexpr Duration CallerIdleMargin = 2s;

DispatchLimits limitsOf(const NodeSettings &Settings) {
  DispatchLimits Limits;
  Limits.m_Disabled = Settings.m_Disabled;
  return Limits;
}

MemberLimits memberLimits(const NodeSettings &Settings) {
  MemberLimits Limits;
  Limits.m_RelayedSilenceTimeout = Settings.m_RelayedSilenceTimeout;
  return Limits;
}

// Whether the accounting of connections is active: where pipelined requests run
// side by side, see NodeSettings::m_MaxPipelinedRequests.
bool countsConnections(const NodeSettings &Settings) {
  return Settings.m_MaxPipelinedRequests > 1;
}

HttpClientLimits backendLimits(const NodeSettings &Settings,
                               BufferBudgetPtr Budget) {
  HttpClientLimits Limits;
  Limits.m_CountsConnections = countsConnections(Settings);
  Limits.m_Budget = std::move(Budget);
  Limits.m_MaxBodyBytes = MaxBackendResponseBytes;
  Limits.m_MaxBufferedBodyBytes = BufferedBodyBytes;
  Limits.m_MaxIdleTime = BackendMaxIdleTime;
  Limits.m_ConnectTimeout = BackendConnectTimeout;
  Limits.m_TcpUserTimeout = BackendTcpUserTimeout;
  Limits.m_AcceptCloseDelimited = true;
  return Limits;
}

// Every VM frames its responses, so that a lost connection never looks like the
// end of one.
HttpClientLimits detourLimits(const NodeSettings &Settings,
                              BufferBudgetPtr Budget) {
  HttpClientLimits Limits = backendLimits(Settings, std::move(Budget));
  Limits.m_AcceptCloseDelimited = false;
  return Limits;
}

HttpServerLimits callerLimits(const RequestLimits &Requested,
                              const NodeSettings &Settings,
                              BufferBudgetPtr Budget) {
  HttpServerLimits Limits;
  Limits.m_Budget = std::move(Budget);
  Limits.m_MaxHeaderBytes = Requested.m_MaxHeaderBytes;
  Limits.m_MaxBodyBytes = Requested.m_MaxBodyBytes;
  Limits.m_HeaderTimeout = Requested.m_HeaderTimeout;
  Limits.m_IdleTimeout = Requested.m_IdleTimeout + CallerIdleMargin;
  Limits.m_MaxBufferedBodyBytes = BufferedBodyBytes;
  Limits.m_MaxConnections = static_cast<int>(Settings.m_MaxConnections);
  Limits.m_MaxConnectionsPerIp = Limits.m_MaxConnections;
  Limits.m_MaxPipelinedRequests = Settings.m_MaxPipelinedRequests;
  Limits.m_CountsConnections = countsConnections(Settings);
  return Limits;
}

// Returns limits with a budget, for ports whose requests are read whole.
HttpServerLimits withBudget(HttpServerLimits Limits, BufferBudgetPtr Budget) {
  Limits.m_Budget = std::move(Budget);
  return Limits;
}

} // namespace

Node::Node(asio::io_context &Io, Metrics &Counters, NodeSettings Settings,
           HeaderNames Names)
    : m_Io(Io), m_Metrics(Counters), m_Settings(std::move(Settings)),
      m_HeaderNames(std::move(Names)),
      m_BufferBudget(std::make_shared<BufferBudget>(static_cast<std::size_t>(
          static_cast<double>(m_Settings.m_MemoryBytes) *
          BufferedMemoryShare))),
      m_BackendClient(Io, m_Reachability, m_Settings.m_Ip,
                      backendLimits(m_Settings, m_BufferBudget)),
      m_PeerClient(Io, m_Reachability, m_Settings.m_Ip),
      m_DetourClient(Io, m_Reachability, m_Settings.m_Ip,
                     detourLimits(m_Settings, m_BufferBudget)),
      m_CallerServer(
          Io, m_Reachability,
          callerLimits(RequestLimits{}, m_Settings, m_BufferBudget),
          [this](HttpRequest R) { return serveRequest(std::move(R)); }),
      m_DetourServer(
          Io, m_Reachability,
          callerLimits(RequestLimits{}, m_Settings, m_BufferBudget),
          [this](HttpRequest R) { return serveDetour(std::move(R)); }),
      m_ReadyServer(
          Io, m_Reachability, withBudget(HttpServerLimits{}, m_BufferBudget),
          [this](HttpRequest R) { return serveReadiness(std::move(R)); }),
      m_LookupServer(
          Io, m_Reachability, withBudget(HttpServerLimits{}, m_BufferBudget),
          [this](HttpRequest R) { return serveLookup(std::move(R)); }),
      m_PeerServer(Io, m_Reachability,
                   withBudget(controlServerLimits(), m_BufferBudget),
                   [this](HttpRequest R) { return servePeer(std::move(R)); }),
      m_MetricsServer(
          Io, m_Reachability, withBudget(HttpServerLimits{}, m_BufferBudget),
          [this](HttpRequest R) { return serveMetrics(std::move(R)); }),
      m_Datagrams(Io, m_Reachability,
                  [this](const std::string &Text, const std::string &PeerIp) {
                    m_Rpc.handle(Text, PeerIp);
                  }),
      m_Random(stableHash(m_Settings.m_Ip)), m_TickTimer(Io),
      m_Organisations(KeyedDigest()),
      m_QuotaClient(QuotaLimits{}, stableHash(m_Settings.m_Ip)),
      m_QuotaStart(m_Settings.m_FirstStart ? QuotaStart::First
                                           : QuotaStart::Added),
      m_Dispatcher(m_Settings.m_Region, limitsOf(m_Settings), {},
                   stableHash(m_Settings.m_Ip)),
      m_Members(m_Settings.m_Ip, m_Settings.m_Domain, memberLimits(m_Settings)),
      m_Detours(m_Settings.m_Region, stableHash(m_Settings.m_Ip)),
      m_ListReadPolicy(m_Settings.m_ListPropagationBound),
      m_OperatorReadPolicy(m_Settings.m_ConfigPropagationBound),
      m_Incarnation(static_cast<std::uint64_t>(unixMillis())) {
  m_Dispatcher.setColdRateHook(
      [this](const BackendInfo &Server) { return coldRateFor(Server); });
  m_Rpc.addNotification(
      "hb", [this](const Json::Value &Params, const std::string &PeerIp) {
        handleHeartbeat(Params, PeerIp);
        return Json::Value();
      });
  m_Rpc.addNotification(
      "list", [this](const Json::Value &Params, const std::string &PeerIp) {
        handleListUpdate(Params, PeerIp);
        return Json::Value();
      });
  m_Rpc.addNotification("places",
                        [this](const Json::Value &Params, const std::string &) {
                          handleAffinityUpdates(Params);
                          return Json::Value();
                        });
  m_Rpc.addNotification("servers",
                        [this](const Json::Value &Params, const std::string &) {
                          handleServerEvents(Params);
                          return Json::Value();
                        });
  m_Rpc.addNotification(
      "pass", [this](const Json::Value &Params, const std::string &PeerIp) {
        handleForwardedMessage(Params, PeerIp);
        return Json::Value();
      });
  m_Dispatcher.fleet().setRateRankHook(
      [this](const BackendInfo &Server) { return rateRankFor(Server); });
  m_Rpc.addNotification("limits",
                        [this](const Json::Value &Params, const std::string &) {
                          handleRateLimitUpdates(Params);
                          return Json::Value();
                        });
  m_Rpc.addNotification("suspects",
                        [this](const Json::Value &Params, const std::string &) {
                          handleSuspectUpdates(Params);
                          return Json::Value();
                        });
  m_Rpc.addNotification(
      QuotaAskMethod, [this](const Json::Value &Params, const std::string &Ip) {
        handleQuotaAsk(Params, Ip);
        return Json::Value();
      });
  m_Rpc.addNotification(QuotaGrantMethod, [this](const Json::Value &Params,
                                                 const std::string &Ip) {
    handleQuotaGrant(Params, Ip);
    return Json::Value();
  });
  m_Rpc.addNotification("loads",
                        [this](const Json::Value &Params, const std::string &) {
                          handleLoadUpdates(Params);
                          return Json::Value();
                        });
}

Result<int> Node::start() {
  struct Port {
    HttpServer &m_Server;
    std::uint16_t m_Port;
  };
  for (const Port &Row : {Port{m_CallerServer, m_Settings.m_CallerPort},
                          Port{m_ReadyServer, m_Settings.m_ReadyPort},
                          Port{m_LookupServer, m_Settings.m_LookupPort},
                          Port{m_PeerServer, m_Settings.m_PeerPort},
                          Port{m_DetourServer, m_Settings.m_DetourPort},
                          Port{m_MetricsServer, m_Settings.m_MetricsPort}}) {
    if (Row.m_Port == 0)
      continue;
    Result<std::uint16_t> Bound =
        Row.m_Server.start(m_Settings.m_Ip, Row.m_Port);
    if (!Bound)
      return Bound.error();
  }
  Result<int> Bound = m_Datagrams.start(m_Settings.m_Ip, m_Settings.m_PeerPort);
  if (!Bound)
    return Bound.error();
  m_CallerServer.onRefusal(
      [this](ErrorKind Kind) { m_Metrics.countRefusal(Kind, ""); });
  for (const std::string &Seed : m_Settings.m_Seeds)
    addKnownVm(Seed, "");
  m_LastTick = now();
  m_StartedAt = now();
  m_ListReadPolicy.recordStart(now());
  m_OperatorReadPolicy.recordStart(now());
  spawn(m_Io, tickLoop());
  spawn(m_Io, healthCheckLoop());
  spawn(m_Io, heartbeatLoop());
  spawn(m_Io, preconnectLoop());
  return 0;
}

Time Node::stopTime() const {
  constexpr Duration Reserve = 300ms; // Leaves time to exit before SIGKILL.
  return m_LeavingSince + m_Settings.m_GracePeriod - Reserve;
}

asio::awaitable<void> Node::stop() {
  // Callers cache look-up answers for up to three times their TTL.
  constexpr Duration AcceptDuration = 3800ms;
  m_Leaving = true;
  m_LeavingSince = now();
  m_Dispatcher.stopAt(stopTime());
  m_CallerServer.disableKeepAlive();
  m_DetourServer.disableKeepAlive();
  sendHeartbeats();
  Time End = stopTime();
  Time Close = m_LeavingSince +
               std::min<Duration>(AcceptDuration, m_Settings.m_GracePeriod / 2);
  while (now() < Close)
    co_await sleepFor(TickInterval);
  m_CallerServer.stopAccepting();
  m_DetourServer.stopAccepting();
  logOpenRequests("port_closed");
  const std::vector<HttpServer *> Carrying{&m_CallerServer, &m_DetourServer};
  co_await waitForConnections(Carrying, End);
  logOpenRequests("drained");
  // Until here look-ups and readiness have told callers to leave, and peers
  // have been served.
  const std::vector<HttpServer *> Others{&m_LookupServer, &m_ReadyServer,
                                         &m_PeerServer, &m_MetricsServer};
  for (HttpServer *Server : Others)
    Server->stopAccepting();
  co_await waitForConnections(Others, End);
  logCutRequests();
  m_Stopped = true;
}

void Node::logCutRequests() const {
  struct Row {
    const HttpServer &m_Server;
    const char *m_Port;
  };
  for (const Row &Each :
       {Row{m_CallerServer, "callers"}, Row{m_DetourServer, "detours"},
        Row{m_LookupServer, "look-ups"}, Row{m_ReadyServer, "readiness"},
        Row{m_PeerServer, "peers"}, Row{m_MetricsServer, "metrics"}})
    for (const OpenRequest &Cut : Each.m_Server.openRequests())
      logEvent(Severity::Warning, "request_cut",
               {{"id", std::string(findHeader(Cut.m_Headers,
                                              m_HeaderNames.m_RequestId))},
                {"port", Each.m_Port},
                {"peer", Cut.m_PeerIp},
                {"target", Cut.m_Target},
                {"stage", std::string(requestStageName(Cut.m_Stage))},
                {"ms", std::to_string(Cut.m_Age / 1ms)}});
}

void Node::logOpenRequests(std::string_view Event) const {
  std::map<RequestStage, int> Stages;
  int UnderWay = 0;
  int Connections = 0;
  int Unread = 0;
  for (const HttpServer *Server : {&m_CallerServer, &m_DetourServer}) {
    for (const OpenRequest &Open : Server->openRequests()) {
      ++Stages[Open.m_Stage];
      ++UnderWay;
    }
    Connections += Server->connections();
    Unread += Server->unreadConnections();
  }
  std::string Text;
  for (auto [Stage, Count] : Stages)
    Text += (Text.empty() ? "" : ",") + std::string(requestStageName(Stage)) +
            ":" + std::to_string(Count);
  logEvent(Severity::Info, Event,
           {{"under_way", std::to_string(UnderWay)},
            {"stages", Text},
            {"connections", std::to_string(Connections)},
            {"unread", std::to_string(Unread)},
            {"after_ms", std::to_string((now() - m_LeavingSince) / 1ms)}});
}

std::vector<std::string> Node::applySettings(const NodeSettings &Next) {
  std::vector<std::string> NeedRestart;
  if (Next.m_Ip != m_Settings.m_Ip || Next.m_Domain != m_Settings.m_Domain ||
      Next.m_Region != m_Settings.m_Region)
    NeedRestart.emplace_back("place");
  if (Next.m_CallerPort != m_Settings.m_CallerPort ||
      Next.m_ReadyPort != m_Settings.m_ReadyPort ||
      Next.m_LookupPort != m_Settings.m_LookupPort ||
      Next.m_PeerPort != m_Settings.m_PeerPort ||
      Next.m_DetourPort != m_Settings.m_DetourPort)
    NeedRestart.emplace_back("ports");
  m_Settings.m_RegionOf = Next.m_RegionOf;
  m_Settings.m_LookupTtl = Next.m_LookupTtl;
  m_Settings.m_GracePeriod = Next.m_GracePeriod;
  m_Settings.m_CpuShare = Next.m_CpuShare;
  m_Settings.m_MaxConnections = Next.m_MaxConnections;
  if (Next.m_RetryRatio != m_Settings.m_RetryRatio ||
      Next.m_RetrySlack != m_Settings.m_RetrySlack)
    m_RetryBudgets.clear(); // Budgets are recreated with the new limits.
  m_ListReadPolicy.setPropagationBound(Next.m_ListPropagationBound);
  m_OperatorReadPolicy.setPropagationBound(Next.m_ConfigPropagationBound);
  m_Settings.m_RetryRatio = Next.m_RetryRatio;
  m_Settings.m_RetrySlack = Next.m_RetrySlack;
  m_Settings.m_QuotaSlack = Next.m_QuotaSlack;
  configureQuotas(); // The regions may have changed as well.
  for (const std::string &Seed : Next.m_Seeds)
    addKnownVm(Seed, "");
  m_AppliedListChanges = 0; // Regions of servers may have changed.
  applyList();
  return NeedRestart;
}

void Node::applyConfig(RoutingConfig Next, ConfigDocument Document) {
  if (Next.m_Revision <= revision())
    return;
  logEvent(Severity::Info, "config_in_force",
           {{"revision", std::to_string(Next.m_Revision)},
            {"before", std::to_string(revision())},
            {"routes", std::to_string(Next.m_Routes.size())},
            {"bytes", std::to_string(Document.m_Text.size())},
            {"announced_ms_ago", std::to_string(configBehind() / 1ms)}});
  m_Organisations.apply(std::move(Next.m_Organisations));
  m_Routes.apply(std::move(Next));
  m_ConfigDocument = std::move(Document);
  HttpServerLimits Limits =
      callerLimits(m_Routes.config().m_Limits, m_Settings, m_BufferBudget);
  m_CallerServer.setLimits(Limits);
  m_DetourServer.setLimits(Limits);
  m_AppliedListChanges = 0; // Pools of servers may have changed.
  configureQuotas();
  applyList();
  recheckWaiting();
}

void Node::applyList() {
  std::vector<BackendInfo> Usable;
  std::vector<std::string> Gone;
  for (const ListingRow *Row : m_List.rowsAfter(m_AppliedListChanges)) {
    int Pool = m_Routes.config().findPool(Row->m_Listing.m_PoolName);
    // The configuration may not contain the pool of a listed server yet.
    if (Row->m_Removed || Pool < 0) {
      Gone.push_back(Row->m_Listing.m_Id);
      continue;
    }
    Usable.push_back(Row->m_Listing);
    Usable.back().m_Pool = Pool;
    Usable.back().m_Region = m_Settings.m_RegionOf[Row->m_Listing.m_Domain];
  }
  m_AppliedListChanges = m_List.changeCount();
  m_Dispatcher.fleet().applyChanges(Usable, Gone, now());
  applyPendingRestore();
  processQueue();
}

void Node::applyEvacuated(const std::set<std::string> &Domains,
                          StorePosition Position) {
  const std::set<std::string> Before = m_Evacuated.domains();
  if (!m_Evacuated.apply(Domains, Position) || Domains == Before)
    return;
  logEvent(Severity::Info, "evacuated_domains",
           {{"count", std::to_string(Domains.size())},
            {"first", Domains.empty() ? "" : *Domains.begin()},
            {"store_position", positionText(Position)}});
  Duration ColdDuration{0};
  for (const PoolSettings &Pool : m_Routes.config().m_Pools)
    ColdDuration = std::max(ColdDuration, Pool.m_ColdDuration);
  m_Dispatcher.fleet().setEvacuated(Domains, ColdDuration, now());
  processQueue();
}

void Node::addVms(const std::vector<MemberTable::ListedVm> &Listed) {
  m_VmsListed = true;
  for (const MemberTable::ListedVm &Row : Listed)
    addKnownVm(Row.m_Vm, Row.m_Domain);
}

asio::awaitable<void> Node::tickLoop() {
  Time LastPeriodic{0};
  while (!m_Stopped) {
    Time Now = now();
    if (Now - m_LastTick > StallThreshold)
      logEvent(Severity::Warning, "stood_still",
               {{"ms", std::to_string((Now - m_LastTick) / 1ms)}});
    m_LastTick = Now;
    processQueue();
    sendQuotaAsks();
    if (Now - LastPeriodic >= 200ms) {
      LastPeriodic = Now;
      m_Dispatcher.fleet().setHeardShare(heardShare(), Now);
      m_Dispatcher.fleet().setPeerCount(m_KnownVms.size());
      m_Dispatcher.tick(Now);
      m_List.tick(Now);
      sendPeriodicListUpdate();
      sendServerUpdates();
      sendRateLimitUpdates(true);
      updateQuotaHolders();
      sendQuotaTransferAsks();
      countQuotas();
      m_Suspects.tick(Now);
      sendSuspectUpdates(true);
      logRateLimitChanges();
      logStateChanges();
      m_BackendClient.closeExpiredConnections(Now);
      m_PeerClient.closeExpiredConnections(Now);
      m_DetourClient.closeExpiredConnections(Now);
    }
    Duration Pause = m_QueuedExchanges.empty() && m_QuotaWaiting.empty()
                         ? IdleTickInterval
                         : TickInterval;
    if (m_Dispatcher.fleet().hasNewRateLimitUpdates())
      Pause = std::clamp(timeToRateLimitUpdates(), TickInterval, Pause);
    m_TickTimer.expires_after(Pause);
    co_await m_TickTimer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

void Node::logStateChanges() {
  Time Now = now();
  const Fleet &Servers = m_Dispatcher.fleet();
  for (int Pool = 0; Pool < Servers.poolCount(); ++Pool) {
    for (ServerIndex Index : Servers.serversInPool(Pool)) {
      const BackendState &Row = Servers.row(Index);
      ExclusionReason Reason = Servers.exclusionReason(Row, Now);
      auto Position = static_cast<std::size_t>(Index);
      if (m_LoggedServers.size() <= Position)
        m_LoggedServers.resize(Position + 1);
      LoggedServer &Logged = m_LoggedServers[Position];
      bool Added = Logged.m_Id != Row.m_Info.m_Id;
      if (Added)
        Logged = {Row.m_Info.m_Id, Reason};
      if (Added || Logged.m_Reason == Reason)
        continue;
      logEvent(
          Severity::Info, "server_state",
          {{"server", Row.m_Info.m_Id},
           {"left_out", std::string(exclusionReasonName(Reason))},
           {"before", std::string(exclusionReasonName(Logged.m_Reason))},
           {"own", std::to_string(Row.m_OwnRequests)},
           {"failing_percent",
            std::to_string(static_cast<int>(Row.m_FailureRate * 100))},
           {"silent_ms", std::to_string((Now - Row.m_SilentSince) / 1ms)}});
      Logged.m_Reason = Reason;
    }
  }
  for (const MemberRow &Row : m_Members.rows()) {
    if (Row.m_Report.m_Vm == m_Settings.m_Ip)
      continue;
    MemberState &Logged = m_LoggedVms[Row.m_Report.m_Vm];
    if (Logged == Row.m_State)
      continue;
    logEvent(Severity::Info, "vm_state",
             {{"vm", Row.m_Report.m_Vm},
              {"domain", Row.m_Report.m_Domain},
              {"state", std::string(memberStateName(Row.m_State))},
              {"before", std::string(memberStateName(Logged))},
              {"heard_ms_ago", std::to_string((Now - Row.m_LastHeard) / 1ms)}});
    Logged = Row.m_State;
  }
}

// Checks servers that went silent or could not be reached, so that they get
// requests again.
asio::awaitable<void> Node::healthCheckLoop() {
  while (!m_Stopped) {
    for (ServerIndex Index : m_Dispatcher.fleet().dueHealthChecks(now()))
      if (m_RunningHealthChecks.insert(Index).second)
        spawn(m_Io,
              [](Node *Self, ServerIndex Server) -> asio::awaitable<void> {
                co_await Self->checkHealth(Server);
              }(this, Index));
    co_await sleepFor(HealthCheckInterval);
  }
}

bool Node::preconnects(int Pool) const {
  return m_Settings.m_MaxPipelinedRequests > 1 ||
         m_Dispatcher.fleet().reportsSlowdown(Pool);
}

// A request to another region would otherwise pay for a round trip of its own
// to open a connection: with many VMs and servers each pair is used too seldom
// for a pooled connection to survive.
asio::awaitable<void> Node::preconnectLoop() {
  while (!m_Stopped) {
    std::size_t Opened = 0;
    for (ServerIndex Index : m_Dispatcher.remoteWarmServers(now())) {
      const Fleet &Servers = m_Dispatcher.fleet();
      const BackendState &Row = Servers.row(Index);
      const std::string &Address = Row.m_Info.m_Address;
      if (m_Leaving || Opened >= MaxPreconnects ||
          !preconnects(Row.m_Info.m_Pool) ||
          Servers.roundTrip(Row) < MinPreconnectRoundTrip ||
          m_OpeningConnections.contains(Address) ||
          m_BackendClient.hasIdleConnection(Address, PreconnectMargin))
        continue;
      ++Opened;
      m_OpeningConnections.insert(Address);
      m_Metrics.count("rhubarb_preconnects_total");
      spawn(m_Io, [](Node *Self, std::string To) -> asio::awaitable<void> {
        co_await Self->m_BackendClient.openIdleConnection(
            To, now() + BackendConnectTimeout);
        Self->m_OpeningConnections.erase(To);
      }(this, Address));
    }
    co_await sleepFor(PreconnectInterval);
  }
}

HealthCheckResult
Node::classifyHealthResponse(const HttpResult &Got,
                             const BackendInfo &Server) const {
  if (Got.m_Failure == HttpFailure::Timeout)
    return HealthCheckResult::Late;
  if (Got.m_Failure != HttpFailure::None ||
      Got.m_Response.m_BodyStream) // The response may have no end.
    return HealthCheckResult::Bad;
  std::string_view Id = Got.m_Response.header(m_HeaderNames.m_ServerId);
  if (Id != Server.m_Id)
    return Id.empty() ? HealthCheckResult::Bad : HealthCheckResult::Replaced;
  if (Got.m_Response.m_Status == 200)
    return HealthCheckResult::Healthy;
  bool Full = Got.m_Response.m_Status == 503 &&
              !Got.m_Response.header(m_HeaderNames.m_NotExecuted).empty();
  return Full ? HealthCheckResult::Full : HealthCheckResult::Bad;
}

asio::awaitable<bool> Node::checkHealth(ServerIndex Index) {
  const BackendInfo Server = m_Dispatcher.fleet().row(Index).m_Info;
  const std::uint64_t Incarnation =
      m_Dispatcher.fleet().row(Index).m_Incarnation;
  const auto &Pools = m_Routes.config().m_Pools;
  HttpRequest Request;
  Request.m_Target =
      Pools[static_cast<std::size_t>(Server.m_Pool)].m_HealthPath;
  m_Dispatcher.fleet().healthCheckStarted(Index, now());
  sendRateLimitUpdates(false);
  HttpResult Got = co_await m_BackendClient.send(
      Server.m_Address, Request, now() + HealthCheckTimeout, true);
  m_RunningHealthChecks.erase(Index);
  if (m_Dispatcher.fleet().row(Index).m_Incarnation != Incarnation)
    co_return false;
  HealthCheckResult Answer = classifyHealthResponse(Got, Server);
  std::int64_t ColdMillis =
      parseInteger(Got.m_Response.header(m_HeaderNames.m_ColdMillis), 0);
  m_Metrics.count("rhubarb_health_requests_total",
                  {{"result", std::string(healthCheckResultName(Answer))}});
  logEvent(Severity::Info, "health",
           {{"server", Server.m_Id},
            {"answer", std::string(healthCheckResultName(Answer))},
            {"failure", std::string(httpFailureName(Got.m_Failure))},
            {"status", std::to_string(Got.m_Response.m_Status)}});
  if (Got.m_Failure == HttpFailure::None &&
      Got.m_Response.header(m_HeaderNames.m_ServerId) == Server.m_Id) {
    AttemptReport Hints;
    Hints.m_Leaving = Got.m_Response.header(m_HeaderNames.m_Leaving) == "1";
    if (Got.m_Response.m_Status == 503)
      Hints.m_BackoffFor =
          parseSeconds(Got.m_Response.header(m_HeaderNames.m_RetryAfter));
    recordServerHints(Server, Hints);
    m_Dispatcher.fleet().applyServerHints(Index, Hints.m_Leaving,
                                          Hints.m_BackoffFor, now());
    // Servers that share their machine answer health checks without a slot, and
    // tell their load.
    auto Load =
        readServerLoad(Got.m_Response.header(m_HeaderNames.m_ServerLoad));
    if (Load && Load->m_RunTimePercent > 0) {
      m_Dispatcher.fleet().updateLoad(Index, Load->m_Running + Load->m_Waiting,
                                      now());
      m_Dispatcher.fleet().updateSlowdown(Index, Load->m_RunTimePercent, now());
    }
    double PerSecond = 0;
    RateLimitHint Hint = readRateLimit(Got.m_Response, PerSecond);
    m_Dispatcher.fleet().applyRateLimitHint(Index, Hint, PerSecond, now());
  }
  // A connection that is neither established nor refused means that the
  // server's host is gone; requests there would wait until their timeout.
  bool HostGone = Got.m_Failure == HttpFailure::Connect &&
                  Got.m_ConnectTime >= BackendConnectTimeout;
  if (HostGone || Answer == HealthCheckResult::Replaced)
    cancelAttemptsAt(Index, HostGone);
  m_Dispatcher.fleet().recordHealthCheck(
      Index, Answer, std::chrono::milliseconds(ColdMillis), now());
  co_return Got.m_Failure == HttpFailure::Connect && !HostGone;
}

// Cold servers get requests from a few VMs of their region only. These VMs are
// chosen from all known VMs, live or not: a choice by liveness would differ
// between VMs that cannot reach each other or that have all just started.
double Node::coldRateFor(const BackendInfo &Server) const {
  const auto &Pools = m_Routes.config().m_Pools;
  auto Pool = static_cast<std::size_t>(Server.m_Pool);
  if (Pool >= Pools.size() || !m_VmsListed ||
      Server.m_Region != m_Settings.m_Region)
    return 0;
  std::vector<std::string> Near;
  for (const MemberRow &Row : m_Members.rows())
    if (regionOf(Row) == Server.m_Region)
      Near.push_back(Row.m_Report.m_Vm);
  return coldRequestRate(Server.m_Id, m_Settings.m_Ip, Near,
                         Pools[Pool].m_ColdRequestsPerSecond);
}

// VMs of the server's region come first, as their checks are the cheapest.
std::size_t Node::rateRankFor(const BackendInfo &Server) const {
  std::uint64_t Seed = stableHash(Server.m_Id);
  auto Order = [&](const std::string &Vm, std::string_view Region) {
    return std::pair(Region == Server.m_Region, stableHash(Vm, Seed));
  };
  auto Own = Order(m_Settings.m_Ip, m_Settings.m_Region);
  const std::vector<MemberRow> &Rows = m_Members.rows();
  return static_cast<std::size_t>(
      std::count_if(Rows.begin(), Rows.end(), [&](const MemberRow &Row) {
        return Row.m_State == MemberState::Live &&
               Order(Row.m_Report.m_Vm, regionOf(Row)) > Own;
      }));
}

// Without the list of VMs others may send that this VM does not know.
double Node::heardShare() const {
  return m_VmsListed ? m_Members.heardShare(SilentVmsCountFor, now()) : 0;
}

std::string rateText(std::optional<double> PerSecond) {
  return PerSecond ? std::to_string(*PerSecond) : std::string("none");
}

void Node::logRateLimitChanges() {
  for (const RateLimitChange &Change :
       m_Dispatcher.fleet().takeRateLimitChanges()) {
    m_Metrics.count(
        "rhubarb_rate_limit_changes_total",
        {{"source", std::string(rateLimitSourceName(Change.m_Source))}});
    logEvent(Severity::Info, "server_rate_limit",
             {{"server", Change.m_ServerId},
              {"limit", rateText(Change.m_After)},
              {"before", rateText(Change.m_Before)},
              {"source", std::string(rateLimitSourceName(Change.m_Source))},
              {"age_ms", std::to_string(Change.m_Age / 1ms)},
              {"heard_share", std::to_string(heardShare())}});
  }
}

RetryBudget &Node::retryBudget(int Pool) {
  auto Budget = m_RetryBudgets.find(Pool);
  if (Budget != m_RetryBudgets.end())
    return Budget->second;
  RetryLimits Limits;
  Limits.m_RetryRatio = m_Settings.m_RetryRatio * RetryRatioFactor;
  Limits.m_ExtraTokenRatio = m_Settings.m_RetryRatio * ExtraTokenFactor;
  double Vms = std::max<double>(4, static_cast<double>(m_KnownVms.size()) + 1);
  Limits.m_MaxTokens =
      std::max(2.0, m_Settings.m_RetrySlack * RetrySlackFactor / Vms);
  Limits.m_InitialTokens = Limits.m_MaxTokens;
  return m_RetryBudgets.emplace(Pool, RetryBudget(Limits)).first->second;
}

} // namespace rhubarb::node
