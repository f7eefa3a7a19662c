#include "standins/site/Site.h"

#include "net/Clock.h"
#include "net/Daemon.h"
#include "net/Messages.h"
#include "net/Text.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>

namespace rhubarb::site {
namespace {

constexpr const char *Host = "site.example";
constexpr const char *Services[] = {"desk", "gate"};
constexpr std::uint16_t StorePort = 8169;
constexpr std::uint16_t StoreProxyPort = 8170;
constexpr std::uint16_t FrontPort = 8161;
constexpr std::uint16_t LookupPort = 8164;
constexpr std::uint16_t ReadyPort = 8167;
constexpr std::uint16_t FirstServerPort = 9000;
constexpr std::uint16_t ServerProxyOffset = 1000;
constexpr Duration ReportInterval = 500ms;
// A draining server goes on serving for this time.
constexpr Duration DrainDuration = 3500ms;
constexpr Duration LongDrainDuration = 10s;
// Equals bounds.grace in nodeSettings().
constexpr Duration GracePeriod = 6s;
constexpr const char *FillerKey = "other/filler";
// Rate of the calls that run for seconds on the route whose allowed regions
// change, as a share of the rate of the other classes.
constexpr double LongRegionShare = 0.2;

std::string storeIp(const SiteSettings &Settings) {
  return Settings.m_AddressPrefix + ".250.1";
}

std::string serverIp(const SiteSettings &Settings) {
  return Settings.m_AddressPrefix + ".251.1";
}

Json::Value makeRoute(const char *Name, const char *Prefix, bool Idempotent,
                      int Priority, const char *Service) {
  Json::Value Row;
  Row["name"] = Name;
  Row["prefix"] = Prefix;
  Row["route_type"] = Idempotent ? "safe" : "unsafe";
  Row["timeout"] = "2000ms";
  Row["target_latency"] = "400ms";
  Row["priority"] = Priority;
  Row["service"] = Service;
  Row["max_attempts"] = 2;
  Row["session_affinity"] = true;
  Row["allowed_regions"] = Json::Value(Json::arrayValue);
  return Row;
}

} // namespace

Site::Site(asio::io_context &Io, SiteSettings Settings)
    : m_Io(Io), m_Settings(std::move(Settings)),
      m_Organisations(m_Settings.m_Organisations, m_Settings.m_Seed + 3),
      m_Regions(m_Settings.m_Seed + 4), m_Store(Io, m_Settings.m_Seed),
      m_Random(m_Settings.m_Seed + 2) {
  CallerSettings Callers;
  Callers.m_Host = Host;
  Callers.m_Domains = m_Settings.m_Domains;
  Callers.m_RegionOf = m_Settings.m_RegionOf;
  for (int Node = 0; Node < nodes(); ++Node)
    Callers.m_LookupAddresses.push_back(nodeIp(Node) + ":" +
                                        std::to_string(LookupPort));
  double Rate = m_Settings.m_CallsPerSecond;
  Callers.m_Classes = {{"/read/", "GET", true, Rate, 3s, 20, 0},
                       {"/pay/", "POST", false, Rate, 3s, 20, 300},
                       {"/book/", "PUT", false, Rate, 2s, 20, 4000}};
  if (m_Settings.m_LongCallsPerSecond > 0)
    Callers.m_Classes.push_back({std::string(LongTarget), "POST", false,
                                 m_Settings.m_LongCallsPerSecond, 8s, 20, 0});
  if (m_Organisations.enabled())
    Callers.m_Classes.push_back(
        {std::string(PublicPrefix), "GET", true, Rate, 3s, 20, 0});
  if (m_Settings.m_MovesRegions) {
    Callers.m_Classes.push_back(
        {std::string(RegionPrefix), "POST", false, Rate, 8s, 20, 300});
    // They run for seconds, so that others wait where few servers are allowed.
    Callers.m_Classes.push_back({std::string(RegionPrefix) + "long/", "POST",
                                 false, Rate * LongRegionShare, 8s, 20, 300});
  }
  Callers.m_Organisations = &m_Organisations;
  Callers.m_Regions = &m_Regions;
  m_Callers = std::make_unique<SiteCallers>(Io, m_Records, std::move(Callers),
                                            m_Settings.m_Seed + 1);
}

int Site::nodes() const {
  return static_cast<int>(m_Settings.m_Domains.size()) *
         m_Settings.m_NodesPerDomain;
}

std::string Site::nodeIp(int Node) const {
  int Domain = Node / m_Settings.m_NodesPerDomain;
  int Index = Node % m_Settings.m_NodesPerDomain;
  return m_Settings.m_AddressPrefix + "." + std::to_string(Domain + 1) + "." +
         std::to_string(Index + 1);
}

Result<int> Site::start() {
  Result<std::uint16_t> Bound = m_Store.start(storeIp(m_Settings), StorePort);
  if (!Bound)
    return Bound.error();
  m_StoreProxy = std::make_unique<FaultProxy>(
      m_Io, storeIp(m_Settings) + ":" + std::to_string(StorePort));
  constexpr double BytesPerKbit = 125;
  m_StoreProxy->setRatePerCaller(m_Settings.m_StoreKbps * BytesPerKbit);
  Bound = m_StoreProxy->start(storeIp(m_Settings), StoreProxyPort);
  if (!Bound)
    return Bound.error();
  for (const std::string &Domain : m_Settings.m_Domains)
    for (const char *Service : Services)
      for (int I = 0; I < m_Settings.m_ServersPerDomain; ++I)
        if (Result<int> Added = addServer(Service, Domain); !Added)
          return Added;
  writeConfig();
  return 0;
}

Result<int> Site::addServer(const std::string &Service,
                            const std::string &Domain) {
  ServerProfile Profile;
  Profile.m_Service = Service;
  Profile.m_Domain = Domain;
  std::size_t Index = m_Servers.size();
  auto ProxyPort = static_cast<std::uint16_t>(FirstServerPort + Index);
  auto Port = static_cast<std::uint16_t>(ProxyPort + ServerProxyOffset);
  std::string Ip = serverIp(m_Settings);
  m_ServerProxies.push_back(
      std::make_unique<FaultProxy>(m_Io, Ip + ":" + std::to_string(Port)));
  Result<std::uint16_t> Bound = m_ServerProxies.back()->start(Ip, ProxyPort);
  if (!Bound)
    return Bound.error();
  m_Servers.push_back(std::make_unique<SiteServer>(
      m_Io, m_Store, m_Records, "i-" + std::to_string(Index), Ip, Port,
      ProxyPort, Profile, m_Settings.m_Seed + Index));
  m_StopAt.push_back(Time{0});
  m_Servers.back()->onDeadlyRun([this, Index] {
    m_DeadlyRuns.push_back(now());
    spawn(m_Io, crashForAWhile(Index));
  });
  if (m_Organisations.enabled())
    m_Servers.back()->onRun([this, Domain](const HttpRequest &Request,
                                           const std::string &Id,
                                           Time ArrivedAt) {
      // The third number of a VM's address is that of its domain, from 1.
      std::string VmIp =
          Request.m_PeerIp.substr(0, Request.m_PeerIp.rfind('.'));
      auto Vm = static_cast<std::size_t>(
          parseInteger(VmIp.substr(VmIp.rfind('.') + 1), 1) - 1);
      const std::string &Region = m_Settings.m_RegionOf.at(Domain);
      const std::string &VmRegion =
          m_Settings.m_RegionOf.at(m_Settings.m_Domains.at(Vm));
      m_Organisations.recordRun(Request, Id, Region, VmRegion, now());
      m_Regions.recordRun(Request, Id, Region, VmRegion, ArrivedAt, now());
    });
  Bound = m_Servers.back()->start();
  if (!Bound)
    return Bound.error();
  return 0;
}

std::string Site::configText() const {
  Json::Value Json;
  char Version[16];
  std::snprintf(Version, sizeof(Version), "%08x",
                static_cast<unsigned>(m_Version));
  Json["version"] = Version;
  for (const char *Service : Services) {
    Json::Value Row;
    Row["name"] = Service;
    Row["health_path"] = "/health";
    Row["max_connections"] = 300;
    Row["cold_start"] = "1s";
    Row["cold_per_s"] = 20.0;
    Json["services"].append(Row);
  }
  Json["limits"]["max_header_bytes"] = 16384;
  Json["limits"]["max_body_bytes"] = 67108864;
  Json["limits"]["header_timeout"] = "3000ms";
  Json["limits"]["idle_timeout"] = "15000ms";
  Json::Value Entry;
  Entry["hostname"] = Host;
  Entry["paths"].append(makeRoute("read", "/read/", true, 1, Services[0]));
  Entry["paths"].append(makeRoute("pay", "/pay/", false, 2, Services[0]));
  Entry["paths"].append(
      makeRoute("book", "/book/", false, 0, Services[m_RouteMoved ? 0 : 1]));
  Json::Value Long =
      makeRoute("long", LongTarget.data(), false, 2, Services[0]);
  Long["timeout"] = "8000ms";
  Long["target_latency"] = "6000ms";
  Entry["paths"].append(Long);
  if (m_Organisations.enabled()) {
    Json::Value Open =
        makeRoute("open", PublicPrefix.data(), true, 1, Services[0]);
    Open["public"] = true;
    Entry["paths"].append(Open);
    Json["tenants"] = m_Organisations.tenants();
  }
  if (m_Settings.m_MovesRegions) {
    Json["tenants"][RegionOrganisation]["allowed_regions"] =
        m_Regions.organisationRegions();
    // Its requests may wait for longer than a version takes to be in force.
    Json::Value Local =
        makeRoute("local", RegionPrefix.data(), false, 4, Services[0]);
    Local["timeout"] = "8000ms";
    Local["target_latency"] = "6000ms";
    Local["allowed_regions"] = m_Regions.routeRegions();
    if (m_Regions.hasRoute())
      Entry["paths"].append(Local);
  }
  Json["virtual_hosts"].append(Entry);
  Json::Value Extra;
  Extra["hostname"] = "extra.example";
  for (int I = 0; I < m_Settings.m_ExtraRoutes; ++I) {
    std::string Name = "extra-" + std::to_string(I);
    Extra["paths"].append(makeRoute(Name.c_str(), ("/" + Name + "/").c_str(),
                                    true, 1, Services[0]));
  }
  if (m_Settings.m_ExtraRoutes > 0)
    Json["virtual_hosts"].append(Extra);
  return compactJson(Json);
}

void Site::changeConfig() {
  m_Version += 2;
  m_RouteMoved = !m_RouteMoved;
  writeConfig();
}

void Site::changeKeys() {
  m_Version += 2;
  m_Organisations.replaceKey(now());
  writeConfig();
}

void Site::changeRegions() {
  m_Version += 2;
  m_Regions.change();
  writeConfig();
}

void Site::writeConfig() {
  m_Store.put(platform::ConfigKey, configText());
  m_ConfigHistory.emplace_back(now(), Services[m_RouteMoved ? 0 : 1]);
  m_Regions.recordVersion(now());
}

void Site::setEvacuated(const std::string &Domain, bool Evacuated) {
  std::string Key = platform::EvacuatePrefix + Domain;
  if (Evacuated) {
    m_Store.put(Key, "{}");
    m_Evacuations.push_back({Domain, now()});
    return;
  }
  m_Store.remove(Key);
  for (Evacuation &Each : m_Evacuations)
    if (Each.m_Domain == Domain && Each.m_Until.count() == 0)
      Each.m_Until = now();
}

std::vector<std::size_t> Site::domainNodes(std::size_t Node) const {
  auto Size = static_cast<std::size_t>(m_Settings.m_NodesPerDomain);
  std::vector<std::size_t> Found(Size);
  std::iota(Found.begin(), Found.end(), Node / Size * Size);
  return Found;
}

void Site::cutFromServers(const std::vector<std::size_t> &CutNodes,
                          LinkCut Kind, const std::string &Service) {
  Cut New;
  New.m_From = now();
  for (std::size_t Node : CutNodes) {
    std::string Ip = nodeIp(static_cast<int>(Node));
    New.m_Ips.insert(Ip);
    for (std::size_t I = 0; I < m_Servers.size(); ++I)
      if (Service.empty() || m_Servers[I]->profile().m_Service == Service)
        m_ServerProxies[I]->setCut(Ip, Kind);
  }
  if (Service.empty())
    m_Cuts.push_back(std::move(New));
}

void Site::endCut(const std::vector<std::size_t> &CutNodes) {
  for (std::size_t Node : CutNodes) {
    std::string Ip = nodeIp(static_cast<int>(Node));
    for (auto &Proxy : m_ServerProxies)
      Proxy->setCut(Ip, LinkCut::None);
    for (Cut &Each : m_Cuts)
      if (Each.m_Ips.contains(Ip) && Each.m_Until.count() == 0)
        Each.m_Until = now();
  }
}

void Site::sendDeadlyCall() {
  const std::string &Domain =
      m_Settings.m_Domains[m_Random.below(m_Settings.m_Domains.size())];
  m_Callers->sendOnce(
      Domain, {"/read" + std::string(DeadlyTarget), "GET", true, 0, 3s, 1, 0});
}

asio::awaitable<void> Site::crashForAWhile(std::size_t Index) {
  constexpr Duration DownTime = 2s;
  m_ServerProxies[Index]->setRefusing(true);
  co_await sleepFor(DownTime);
  m_ServerProxies[Index]->setRefusing(false);
}

void Site::restoreStore(Duration CopyAge, Duration RewrittenAfter) {
  m_Store.restore(CopyAge);
  m_RewriteAt = now() + RewrittenAfter;
}

void Site::raiseRevision(std::uint64_t Past) {
  while (m_Store.revision() <= Past)
    m_Store.put(FillerKey, std::to_string(m_Store.revision()));
}

void Site::restoreStoreAndPass(Duration CopyAge, std::size_t LeavingServer,
                               const std::string &EvacuatedDomain) {
  std::uint64_t Before = m_Store.revision();
  m_Store.restore(CopyAge);
  rewriteLostState();
  changeConfig();
  setEvacuated(EvacuatedDomain, true);
  SiteServer &Leaving = *m_Servers[LeavingServer];
  if (Leaving.running() && !Leaving.draining()) {
    Leaving.setLeavesSilently();
    replaceServer(LeavingServer, true);
    m_StopAt[LeavingServer] = now() + LongDrainDuration;
  }
  raiseRevision(Before);
}

void Site::rewriteLostState() {
  if (m_Store.value(platform::ConfigKey) != configText())
    m_Store.put(platform::ConfigKey, configText());
  std::set<std::string> Evacuated;
  for (const Evacuation &Each : m_Evacuations)
    if (Each.m_Until.count() == 0)
      Evacuated.insert(Each.m_Domain);
  for (const std::string &Domain : m_Settings.m_Domains) {
    std::string Key = platform::EvacuatePrefix + Domain;
    if (!Evacuated.contains(Domain))
      m_Store.remove(Key);
    else if (m_Store.value(Key).empty())
      m_Store.put(Key, "{}");
  }
  for (std::size_t I = 0; I < m_Servers.size(); ++I) {
    if (!m_Servers[I]->running() && m_StopAt[I].count() == 0)
      m_Servers[I]->expire();
    else if (m_Servers[I]->draining())
      m_Servers[I]->drain();
  }
}

void Site::replaceServer(std::size_t Index, bool Gracefully) {
  SiteServer &Old = *m_Servers[Index];
  if (!Old.running() || Old.draining())
    return;
  ServerProfile Profile = Old.profile();
  if (Gracefully) {
    Old.drain();
    m_StopAt[Index] = now() + DrainDuration;
  } else {
    Old.crash();
    // The entry of a crashed server stays in the store until then.
    m_StopAt[Index] = now() + DrainDuration;
  }
  if (Result<int> Added = addServer(Profile.m_Service, Profile.m_Domain);
      !Added)
    std::fprintf(stderr, "%s\n", Added.error().m_Message.c_str());
}

void Site::tick() {
  m_Store.expireLeases();
  for (std::size_t I = 0; I < m_Servers.size(); ++I) {
    if (m_StopAt[I].count() == 0 || now() < m_StopAt[I])
      continue;
    m_StopAt[I] = Time{0};
    m_Servers[I]->expire();
    if (m_Servers[I]->running())
      m_Servers[I]->crash();
  }
  if (now() - m_LastReport < ReportInterval)
    return;
  m_LastReport = now();
  m_Store.saveCopy();
  bool Rewrite = m_RewriteAt.count() > 0 && now() >= m_RewriteAt;
  if (Rewrite) {
    m_RewriteAt = Time{0};
    rewriteLostState();
  }
  // Until then servers that the copy lacks are missing.
  if (m_RewriteAt.count() > 0)
    return;
  for (auto &Server : m_Servers)
    if (!Server->draining())
      Server->publishEntry();
}

std::string Site::nodeSettings(int Node) const {
  std::string Domain = m_Settings.m_Domains[static_cast<std::size_t>(
      Node / m_Settings.m_NodesPerDomain)];
  std::string Ip = nodeIp(Node);
  auto At = [&](std::uint16_t Port) {
    return Ip + ":" + std::to_string(Port) + "\n";
  };
  std::string Text = "node_name=node-" + std::to_string(Node) + "\n";
  Text += "ip=" + Ip + "\nzone=" + Domain + "\n";
  Text += "region=" + m_Settings.m_RegionOf.at(Domain) + "\n";
  for (const auto &[Name, Region] : m_Settings.m_RegionOf)
    Text += "zones." + Name + "=" + Region + "\n";
  Text += "listen.front=" + At(FrontPort) + "listen.ready=" + At(ReadyPort);
  Text += "listen.directory=" + At(LookupPort);
  Text += "port_range=7720,7735\nseeds=" + nodeIp(0) + ":8166\n";
  Text += "limits.max_fds=4100\nbounds.grace=6s\nbounds.drain=2500ms\n";
  Text +=
      "bounds.config_apply=" + std::to_string(m_Settings.m_ConfigBound / 1ms) +
      "ms\n";
  Text += "bounds.retry_budget_ratio=0.2\n";
  Text += "bounds.retry_slack=60\nbounds.cold_over=1.5\nbounds.ttl_max=5s\n";
  Text += "provider.address=" + storeIp(m_Settings) + ":" +
          std::to_string(StoreProxyPort) + "\nprovider.ttl_min=1000ms\n";
  if (m_Organisations.enabled())
    Text += "bounds.quota_slack=" + std::to_string(QuotaSlack) + "\n";
  // Quotas need VMs that act as holders soon after their start.
  if (m_Settings.m_MovesRegions)
    Text += "bootstrap=true\n";
  return Text;
}

bool Site::overlapsDisturbance(Time From, Time Until) const {
  return std::any_of(m_Disturbances.begin(), m_Disturbances.end(),
                     [&](const std::pair<Time, Time> &Span) {
                       return Span.first <= Until && From <= Span.second;
                     });
}

bool Site::overlapsNodeDisturbance(const std::string &Ip, Time At) const {
  auto [First, Last] = m_NodeDisturbances.equal_range(Ip);
  return std::any_of(First, Last, [&](const auto &Row) {
    return Row.second.first <= At && At <= Row.second.second;
  });
}

void Site::verifyRateLimits(std::vector<std::string> &Violations) const {
  auto Excused = [this](const std::string &Ip, Time At) {
    return overlapsNodeDisturbance(Ip, At);
  };
  for (const auto &Server : m_Servers) {
    for (const std::string &Text : Server->rateLimits().violations(Excused))
      Violations.push_back("limit: " + Server->id() + " " + Text);
    double Use = Server->rateLimits().smallestUse(now());
    if (Use < m_MinLimitUse)
      Violations.push_back("limit: " + Server->id() + " got " +
                           std::to_string(Use) + " of the rate that it named");
  }
}

// A request of the last route must not run at a service of older configurations
// only, once the newer one was acknowledged m_ConfigBound before it was sent.
void Site::verifyConfig(std::vector<std::string> &Violations) const {
  constexpr Duration MaxCallTime = 2s;
  for (const auto &[Id, Record] : m_Records) {
    if (Record.m_Runs == 0 || Record.m_Method != "PUT")
      continue;
    Time InForceSince =
        Record.m_LastRun - MaxCallTime - m_Settings.m_ConfigBound;
    bool Allowed = false;
    for (std::size_t I = 0; I < m_ConfigHistory.size(); ++I) {
      bool Ended = I + 1 < m_ConfigHistory.size() &&
                   m_ConfigHistory[I + 1].first < InForceSince;
      if (!Ended && m_ConfigHistory[I].first <= Record.m_LastRun)
        Allowed = Allowed || m_ConfigHistory[I].second == Record.m_Service;
    }
    if (!Allowed && !overlapsDisturbance(InForceSince, Record.m_LastRun))
      Violations.push_back("config: " + Id + " ran at " + Record.m_Service +
                           " as only an older configuration says");
  }
}

void Site::verifyEvacuations(std::vector<std::string> &Violations) const {
  for (const Evacuation &Each : m_Evacuations) {
    Time From = Each.m_From + EvacuateBound;
    if (overlapsDisturbance(Each.m_From, From))
      From += StretchMax;
    for (const auto &Server : m_Servers) {
      if (Server->profile().m_Domain != Each.m_Domain)
        continue;
      for (Time At : Server->arrivals())
        if (At > From && (Each.m_Until.count() == 0 || At < Each.m_Until) &&
            !overlapsDisturbance(At, At))
          Violations.push_back("evacuate: " + Server->id() +
                               " got a request in an evacuated domain");
    }
  }
}

// Of a request that has crashed three servers, three more runs are allowed
// later than the StableWindow after that, from undisturbed VMs.
void Site::verifyDeadlyCalls(std::vector<std::string> &Violations) const {
  constexpr std::size_t AllowedCrashes = 3;
  constexpr std::ptrdiff_t AllowedLater = 3;
  if (m_DeadlyRuns.size() <= AllowedCrashes)
    return;
  Time From = m_DeadlyRuns[AllowedCrashes - 1] + StableWindow;
  auto Later =
      std::count_if(m_DeadlyRuns.begin(), m_DeadlyRuns.end(), [&](Time At) {
        return At > From && !overlapsDisturbance(At, At);
      });
  if (Later > AllowedLater)
    Violations.push_back("budget: a request that had crashed three servers "
                         "crashed " +
                         std::to_string(Later) + " more");
}

// From the StableWindow after a cut began, first tries at the nodes that are
// cut off must be served two thirds as often as those at the others, unless few
// fail.
void Site::verifyCuts(std::vector<std::string> &Violations) const {
  constexpr double MinShare = 2.0 / 3;
  constexpr double AllowedFailures = 10;
  constexpr double AllowedFailureShare = 0.02;
  struct Tries {
    double m_Sent = 0;
    double m_Served = 0;
  };
  for (const Cut &Each : m_Cuts) {
    Tries AtCut;
    Tries Elsewhere;
    for (const CallTry &Try : m_Callers->firstTries()) {
      if (Try.m_SentAt < Each.m_From + StableWindow ||
          (Each.m_Until.count() > 0 && Try.m_SentAt >= Each.m_Until) ||
          overlapsNodeDisturbance(Try.m_VmIp, Try.m_SentAt) ||
          overlapsDisturbance(Try.m_SentAt, Try.m_SentAt))
        continue;
      Tries &Counted = Each.m_Ips.contains(Try.m_VmIp) ? AtCut : Elsewhere;
      Counted.m_Sent += 1;
      Counted.m_Served += Try.m_Served ? 1 : 0;
    }
    double Failed = AtCut.m_Sent - AtCut.m_Served;
    double Allowed = AllowedFailures +
                     (AtCut.m_Sent + Elsewhere.m_Sent) * AllowedFailureShare;
    if (Elsewhere.m_Sent > 0 && Failed > Allowed &&
        AtCut.m_Served * Elsewhere.m_Sent <
            MinShare * Elsewhere.m_Served * AtCut.m_Sent)
      Violations.push_back("recover: nodes cut off from the servers served " +
                           std::to_string(std::lround(AtCut.m_Served)) +
                           " of " + std::to_string(std::lround(AtCut.m_Sent)) +
                           " first tries, the others " +
                           std::to_string(std::lround(Elsewhere.m_Served)) +
                           " of " +
                           std::to_string(std::lround(Elsewhere.m_Sent)));
  }
}

void Site::addPlannedStop(std::size_t Node) {
  m_PlannedStops.emplace(nodeIp(static_cast<int>(Node)), now());
}

void Site::addKill(std::size_t Node) {
  m_Kills.emplace(nodeIp(static_cast<int>(Node)), now());
}

// Whether a node was killed while it had a request.
bool Site::wasCutByKill(const CallTry &Try) const {
  auto [First, Last] = m_Kills.equal_range(Try.m_VmIp);
  return std::any_of(First, Last, [&](const auto &Kill) {
    return Kill.second >= Try.m_SentAt && Kill.second <= Try.m_EndedAt;
  });
}

// Tells when what happened to a request, counted from the stop of its node.
std::string Site::lostText(const CallTry &Try, Time StopAt) const {
  auto After = [StopAt](Time At) {
    return std::to_string((At - StopAt) / 1ms) + " ms";
  };
  std::string Text = "lost: a request sent " + After(Try.m_SentAt) +
                     " after its node was told to stop got no answer (" +
                     Try.m_Id + " on " + Try.m_Prefix + ", cut after " +
                     After(Try.m_EndedAt);
  if (auto Found = m_Records.find(Try.m_Id); Found != m_Records.end()) {
    const RunRecord &Run = Found->second;
    Text += ", at a server after " + After(Run.m_LastArrival);
    if (Run.m_Runs > 0)
      Text += ", run began after " + After(Run.m_LastRun);
  }
  return Text + ")";
}

// A node that takes a request must answer it, if it was told to stop before or
// is told so meanwhile.
void Site::verifyPlannedStops(std::vector<std::string> &Violations) const {
  for (const CallTry &Try : m_Callers->brokenTries()) {
    auto [First, Last] = m_PlannedStops.equal_range(Try.m_VmIp);
    auto Stop = std::find_if(First, Last, [&](const auto &Row) {
      return Row.second < Try.m_EndedAt &&
             Try.m_SentAt < Row.second + GracePeriod;
    });
    if (Stop != Last && !wasCutByKill(Try))
      Violations.push_back(lostText(Try, Stop->second));
  }
}

std::vector<std::string> Site::verify() const {
  std::vector<std::string> Violations = m_Callers->verify();
  verifyPlannedStops(Violations);
  verifyCuts(Violations);
  verifyDeadlyCalls(Violations);
  verifyRateLimits(Violations);
  verifyConfig(Violations);
  verifyEvacuations(Violations);
  for (std::string &Text : m_Organisations.violations())
    Violations.push_back(std::move(Text));
  if (m_Settings.m_MovesRegions)
    for (std::string &Text : m_Regions.violations(
             m_Settings.m_ConfigBound, [this](Time From, Time Until) {
               return overlapsDisturbance(From, Until);
             }))
      Violations.push_back(std::move(Text));
  for (const auto &Server : m_Servers)
    for (Time At : Server->lateArrivals(DrainBound))
      if (!overlapsDisturbance(Server->withdrawnAt(), At))
        Violations.push_back(
            "drain: " + Server->id() + " got a request " +
            std::to_string((At - Server->withdrawnAt()) / 1ms) +
            " ms after it was withdrawn");
  constexpr int MaxArrivalsInPause = 2;
  for (const auto &Server : m_Servers) {
    for (Time At : Server->arrivalsAfterNotice())
      if (!overlapsDisturbance(Server->withdrawnAt(), At))
        Violations.push_back(
            "drain: " + Server->id() +
            " got a request from a VM that it had told that it is leaving");
    if (Server->maxArrivalsInPause() > MaxArrivalsInPause)
      Violations.push_back(
          "budget: " + Server->id() + " asked a VM for a pause and got " +
          std::to_string(Server->maxArrivalsInPause()) + " requests");
  }
  for (const auto &[Id, Record] : m_Records)
    if (Record.m_Runs > 0 && Record.m_Method == "POST" &&
        Record.m_Service != Services[0])
      Violations.push_back("route: " + Id + " ran at " + Record.m_Service);
  return Violations;
}

} // namespace rhubarb::site
