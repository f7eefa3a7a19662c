// Look-ups: which VMs a caller should use, and the readiness of this VM.
#include "Node.h"

#include "net/Clock.h"
#include "net/Log.h"

#include <algorithm>

namespace rhubarb::node {
namespace {

// Callers read no more addresses of a look-up response.
constexpr std::size_t MaxEntries = 64;

} // namespace

bool Node::isReady() const {
  return revision() > 0 && m_List.knownAt().count() > 0 && !m_Leaving;
}

asio::awaitable<HttpResponse> Node::serveReadiness(HttpRequest) {
  if (!isReady()) {
    HttpResponse Refusal = errorResponse(
        m_Leaving ? ErrorKind::Leaving : ErrorKind::NoConfiguration);
    co_return Refusal;
  }
  co_return jsonResponse(200, "{}");
}

asio::awaitable<HttpResponse> Node::serveMetrics(HttpRequest Request) {
  if (Request.path() != "/metrics")
    co_return jsonResponse(404, "{\"error\":\"not_found\"}\n");
  updateGauges();
  HttpResponse Text{
      200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_Metrics.text()};
  co_return Text;
}

// Sets the gauges to the current state of the process.
void Node::updateGauges() {
  constexpr double MicrosPerSecond = 1e6;
  auto Seconds = [](Duration Value) {
    return static_cast<double>(Value.count()) / MicrosPerSecond;
  };
  m_Metrics.set("rhubarb_config_revision", {}, static_cast<double>(revision()));
  m_Metrics.set("rhubarb_config_behind_seconds", {}, Seconds(configBehind()));
  m_Metrics.set("rhubarb_list_revision", {},
                static_cast<double>(m_List.position().m_Revision));
  m_Metrics.set("rhubarb_crash_suspects", {},
                static_cast<double>(m_Suspects.size()));
  m_Metrics.set("rhubarb_requests_convicted", {},
                static_cast<double>(m_Suspects.convicted()));
  m_Metrics.set("rhubarb_organisations", {},
                static_cast<double>(m_Organisations.size()));
  m_Metrics.set("rhubarb_api_keys", {},
                static_cast<double>(m_Organisations.apiKeys()));
  if (m_List.knownAt().count() > 0) // A list was received, so it has an age.
    m_Metrics.set("rhubarb_list_age_seconds", {},
                  Seconds(now() - m_List.knownAt()));
  if (m_OperatorKnownAt.count() > 0)
    m_Metrics.set("rhubarb_operator_age_seconds", {},
                  Seconds(now() - m_OperatorKnownAt));
  m_Metrics.set("rhubarb_ready", {}, isReady() ? 1 : 0);
  m_Metrics.set("rhubarb_waiting_requests", {},
                static_cast<double>(m_Dispatcher.queueLength()));
  m_Metrics.set("rhubarb_caller_connections", {}, m_CallerServer.connections());
  m_Metrics.set("rhubarb_buffered_bytes", {},
                static_cast<double>(m_BufferBudget->usedBytes()));
  m_Metrics.set("rhubarb_log_lines_dropped", {},
                static_cast<double>(droppedLogLines()));
  std::map<std::string, double> Vms{{"live", 0}, {"silent", 0}, {"leaving", 0}};
  for (const MemberRow &Row : m_Members.rows())
    Vms[std::string(memberStateName(Row.m_State))] += 1;
  for (const auto &[State, Count] : Vms)
    m_Metrics.set("rhubarb_vms", {{"state", State}}, Count);
  const Fleet &Servers = m_Dispatcher.fleet();
  m_Metrics.set("rhubarb_rate_limited_servers", {},
                static_cast<double>(Servers.rateLimitedServers()));
  m_Metrics.set("rhubarb_rate_limit_forgiven_requests", {},
                Servers.forgivenRequests());
  const auto &Pools = m_Routes.config().m_Pools;
  for (int Pool = 0; Pool < Servers.poolCount(); ++Pool) {
    const std::string &Name = Pools[static_cast<std::size_t>(Pool)].m_Name;
    std::map<ExclusionReason, double> Counts{{ExclusionReason::None, 0}};
    for (ServerIndex Index : Servers.serversInPool(Pool))
      Counts[Servers.exclusionReason(Servers.row(Index), now())] += 1;
    for (const auto &[Reason, Count] : Counts)
      m_Metrics.set("rhubarb_servers",
                    {{"pool", Name},
                     {"left_out", std::string(exclusionReasonName(Reason))}},
                    Count);
    m_Metrics.set("rhubarb_away_share", {{"pool", Name}},
                  m_Dispatcher.spill().share(Pool));
  }
}

// Returns VMs for callers in a failure domain. VMs of other regions are used
// only if the caller's region has no live VM: requests restricted to allowed
// regions must not leave it.
std::vector<std::string>
Node::lookupCandidates(const std::string &Region,
                       const std::string &Domain) const {
  std::vector<std::string> Near;
  std::vector<std::string> InRegion;
  std::vector<std::string> Elsewhere;
  for (const MemberRow &Row : m_Members.rows()) {
    const std::string &Vm = Row.m_Report.m_Vm;
    bool Self = Vm == m_Settings.m_Ip;
    bool Usable = Self ? isReady()
                       : Row.m_State == MemberState::Live &&
                             Row.m_Report.m_EntryIncarnation != 0;
    if (!Usable)
      continue;
    auto VmRegion = m_Settings.m_RegionOf.find(Row.m_Report.m_Domain);
    if (Row.m_Report.m_Domain == Domain)
      Near.push_back(Vm);
    if (VmRegion != m_Settings.m_RegionOf.end() && VmRegion->second == Region)
      InRegion.push_back(Vm);
    else
      Elsewhere.push_back(Vm);
  }
  std::vector<std::string> &Chosen = InRegion.empty() ? Elsewhere : InRegion;
  return std::move(Chosen);
}

asio::awaitable<HttpResponse> Node::serveLookup(HttpRequest Request) {
  std::string Region(Request.query("region"));
  std::string Domain(Request.query("zone"));
  if (Region.empty()) {
    auto CallerRegion = m_Settings.m_RegionOf.find(Domain);
    Region = CallerRegion == m_Settings.m_RegionOf.end() ? m_Settings.m_Region
                                                         : CallerRegion->second;
  }
  std::vector<std::string> Vms = lookupCandidates(Region, Domain);
  if (Vms.empty()) {
    HttpResponse Refusal = errorResponse(ErrorKind::NoCapacity);
    co_return Refusal;
  }
  if (Vms.size() > MaxEntries)
    Vms.resize(MaxEntries);
  for (std::string &Vm : Vms) // Every VM listens for callers on the same port.
    Vm += ":" + std::to_string(m_Settings.m_CallerPort);
  HttpResponse Response = m_Hooks.m_MakeLookupResponse(Vms);
  co_return Response;
}

} // namespace rhubarb::node
