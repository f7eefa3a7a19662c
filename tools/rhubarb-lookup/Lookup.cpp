#include "Lookup.h"

#include "net/Clock.h"
#include "net/Log.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/network_v4.hpp>

#include <algorithm>
#include <fstream>

namespace rhubarb::lookup {
namespace {

constexpr std::int64_t MaxPort = 65535;
constexpr std::size_t MaxResponseEntries = 6;

} // namespace

SettingTable lookupSettings() {
  return {
      {"lookup", "port", SettingKind::Number, "8081", 1, MaxPort, "port",
       "look-ups by callers"},
      {"lookup", "control_port", SettingKind::Number, "8091", 1, MaxPort,
       "port", "snapshots from the agent"},
      {"lookup", "entry_port", SettingKind::Number, "8080", 1, MaxPort, "port",
       "port of the entry processes, returned in look-up responses"},
      {"lookup", "ttl_ms", SettingKind::Number, "2000", 100, 600000, "ms",
       "time for which callers may use a look-up response"},
      {"lookup", "linger_ms", SettingKind::Number, "1000", 0, 600000, "ms",
       "time for which a planned stop still accepts requests"},
      {"lookup", "blocks_file", SettingKind::Text, "", 0, 0, "",
       "file of client address blocks, one PREFIX/LENGTH DOMAIN per line; "
       "empty: none"},
      {"entry", "key_secret", SettingKind::Text, nullptr, 0, 0, "",
       "secret that signs key prefixes; must be the same on all VMs"},
  };
}

Lookup::Lookup(Daemon &Process)
    : m_Daemon(Process), m_Ip(Process.m_Settings.text("vm.ip")),
      m_Domain(Process.m_Settings.text("vm.domain")),
      m_Signer(Process.m_Settings.text("entry.key_secret")),
      m_Server(Process.m_Io, Process.m_Reachability, HttpServerLimits{},
               [this](HttpRequest Request) {
                 return handleRequest(std::move(Request));
               }),
      m_ControlServer(Process.m_Io, Process.m_Reachability,
                      controlServerLimits(), [this](HttpRequest Request) {
                        return handleControlRequest(std::move(Request));
                      }) {
  m_Rpc.addMethod("snapshot.put",
                  [this](const Json::Value &Params, const std::string &Ip) {
                    return applySnapshot(Params, Ip);
                  });
  m_Rpc.addMethod("snapshot.keep",
                  [this](const Json::Value &Params, const std::string &) {
                    Json::Value Response;
                    Response["need"] = Params[0].asString() != m_SnapshotHash;
                    return Response;
                  });
}

Result<int> Lookup::start() {
  const Settings &Values = m_Daemon.m_Settings;
  if (!Values.text("lookup.blocks_file").empty()) {
    Result<int> Loaded = loadClientBlocks(Values.text("lookup.blocks_file"));
    if (!Loaded)
      return Loaded.error();
  }
  for (auto [Server, Key] :
       {std::pair(&m_Server, "lookup.port"),
        std::pair(&m_ControlServer, "lookup.control_port")}) {
    Result<std::uint16_t> Listening =
        Server->start(m_Ip, static_cast<std::uint16_t>(Values.number(Key)));
    if (!Listening)
      return Listening.error();
  }
  spawn(m_Daemon.m_Io, steeringLoop());
  return 0;
}

asio::awaitable<void> Lookup::stop() {
  co_await sleepFor(m_Daemon.m_Settings.millis("lookup.linger_ms"));
  m_Stopped = true;
  m_Server.stopAccepting();
  m_ControlServer.stopAccepting();
  const std::vector<HttpServer *> Servers{&m_Server, &m_ControlServer};
  co_await waitForConnections(Servers, now() + ConnectionEndDuration);
}

Result<int> Lookup::loadClientBlocks(const std::string &File) {
  std::ifstream Stream(File);
  if (!Stream)
    return Error{ErrorKind::BadRequest, File + ": cannot be read"};
  std::vector<ClientBlock> Blocks;
  std::map<std::string, std::uint16_t> SiteIndex;
  std::string Prefix;
  std::string Domain;
  for (int Line = 1; Stream >> Prefix >> Domain; ++Line) {
    boost::system::error_code Error;
    auto Network = boost::asio::ip::make_network_v4(Prefix, Error);
    if (Error)
      return rhubarb::Error{ErrorKind::BadRequest,
                            File + ": line " + std::to_string(Line) + ": '" +
                                Prefix + "' is not PREFIX/LENGTH"};
    auto [SiteEntry, Added] = SiteIndex.emplace(
        Domain, static_cast<std::uint16_t>(m_SiteDomains.size()));
    if (Added)
      m_SiteDomains.push_back(Domain);
    Blocks.push_back({Network.network().to_uint(),
                      static_cast<std::uint8_t>(Network.prefix_length()),
                      SiteEntry->second});
  }
  m_Blocks.build(std::move(Blocks));
  return 0;
}

asio::awaitable<HttpResponse>
Lookup::handleControlRequest(HttpRequest Request) {
  if (Request.m_PeerIp != m_Ip || Request.path() != "/rpc")
    co_return refuse(ErrorKind::PeerNotAllowed);
  co_return jsonResponse(200, m_Rpc.handle(Request.m_Body, Request.m_PeerIp));
}

Json::Value Lookup::applySnapshot(const Json::Value &Params,
                                  const std::string &) {
  Snapshot Received = readSnapshot(Params[0]);
  if (Received.m_SectionsOmitted &&
      Received.m_Revision != m_Config.m_Revision) {
    Json::Value Response;
    Response["need"] = true;
    return Response;
  }
  m_Snapshot = std::move(Received);
  m_SnapshotHash = Params[1].asString();
  if (m_Snapshot.m_ConfigKnown && m_Snapshot.m_Revision > m_Config.m_Revision) {
    ConfigCheck Check =
        checkConfig(m_Snapshot.m_Sections, m_Snapshot.m_Revision);
    if (Check.m_Errors.empty()) {
      m_Config = std::move(Check.m_Configuration);
      m_ConfigKnown = true;
      m_RegionOf.clear();
      for (const FailureDomain &Row : m_Config.m_Domains)
        m_RegionOf[Row.m_Name] = Row.m_Region;
    }
  }
  return Json::Value(Json::objectValue);
}

std::vector<DomainLoad> Lookup::domainLoads() const {
  std::map<std::string, DomainLoad> Loads;
  // Open slots, and running plus queued requests, of each failure domain.
  std::map<std::string, std::pair<int, int>> SlotsAndRequests;
  for (const FailureDomain &Row : m_Config.m_Domains)
    Loads[Row.m_Name] = {Row.m_Name, Row.m_Region, false, 0, 0};
  for (const SnapshotMember &Member : m_Snapshot.m_Members) {
    auto DomainEntry = Loads.find(Member.m_Domain);
    if (DomainEntry == Loads.end() || Member.m_State != MemberState::Live)
      continue;
    DomainEntry->second.m_Reachable |= Member.m_EntryIncarnation != 0;
    for (const PoolSummary &Pool : Member.m_Pools) {
      DomainEntry->second.m_Headroom += Pool.m_FreeSlots;
      SlotsAndRequests[Member.m_Domain].first += Pool.m_OpenSlots;
      SlotsAndRequests[Member.m_Domain].second +=
          Pool.m_OpenSlots - Pool.m_FreeSlots + Pool.m_QueuedRequests;
    }
  }
  std::vector<DomainLoad> Rows;
  for (auto &[Name, Load] : Loads) {
    auto [OpenSlots, Requests] = SlotsAndRequests[Name];
    Load.m_Utilization =
        OpenSlots > 0 ? static_cast<double>(Requests) / OpenSlots : 0;
    Rows.push_back(Load);
  }
  return Rows;
}

asio::awaitable<void> Lookup::steeringLoop() {
  Duration Ttl = m_Daemon.m_Settings.millis("lookup.ttl_ms");
  while (!m_Stopped) {
    m_Steering.step(domainLoads());
    co_await sleepFor(Ttl);
  }
}

HttpResponse Lookup::refuse(ErrorKind Kind, const std::string &Text) {
  m_Daemon.m_Metrics.countRefusal(Kind, "");
  return errorResponse(Kind, Text);
}

asio::awaitable<HttpResponse> Lookup::handleRequest(HttpRequest Request) {
  if (Request.path() != "/v1/lookup")
    co_return refuse(ErrorKind::BadRequest,
                     "takes GET /v1/lookup?service=NAME");
  co_return handleLookup(Request);
}

std::string Lookup::callerDomain(const HttpRequest &Request) const {
  boost::system::error_code Error;
  std::string Text(Request.query("caller"));
  auto Ip = boost::asio::ip::make_address_v4(
      Text.empty() ? Request.m_PeerIp : Text, Error);
  std::uint16_t Site = Error ? NoSite : m_Blocks.find(Ip.to_uint());
  return Site == NoSite ? m_Domain : m_SiteDomains[Site];
}

HttpResponse Lookup::handleLookup(const HttpRequest &Request) {
  if (!m_ConfigKnown)
    return refuse(ErrorKind::NoConfiguration);
  std::string Service(Request.query("service"));
  const rhubarb::Service *Target = m_Config.findService(Service);
  if (Target == nullptr)
    return refuse(ErrorKind::UnknownService, "no service '" + Service + "'");
  const std::string &PoolName =
      m_Config.m_Pools[static_cast<std::size_t>(Target->m_Pool)].m_Name;
  std::vector<EntryCandidate> Entries;
  std::map<std::string, std::uint64_t> Incarnations;
  for (const SnapshotMember &Member : m_Snapshot.m_Members)
    if (Member.m_State == MemberState::Live && Member.m_EntryIncarnation != 0) {
      int OpenSlots = 0;
      for (const PoolSummary &Pool : Member.m_Pools)
        OpenSlots += Pool.m_Pool == PoolName ? Pool.m_OpenSlots : 0;
      Entries.push_back({Member.m_Ip, Member.m_Domain, OpenSlots});
      Incarnations[Member.m_Ip] = Member.m_EntryIncarnation;
    }
  if (Entries.empty())
    return refuse(ErrorKind::NoCapacity, "no entry VM is live");
  std::string CallerDomain = callerDomain(Request);
  std::string Caller(Request.query("caller"));
  std::uint64_t Hash = stableHash(Caller.empty() ? Request.m_PeerIp : Caller);
  std::string Seed(Request.query("spread"));
  if (!Seed.empty())
    Hash = stableHash(Seed, Hash);
  std::vector<EntryCandidate> Ordered =
      orderEntries(Hash, CallerDomain, m_RegionOf[CallerDomain],
                   m_Steering.sharesOf(CallerDomain), Entries, m_RegionOf);
  auto Port = static_cast<std::uint16_t>(
      m_Daemon.m_Settings.number("lookup.entry_port"));
  Json::Value Body;
  for (std::size_t I = 0; I < std::min(Ordered.size(), MaxResponseEntries); ++I)
    Body["entries"].append(Ordered[I].m_Vm + ":" + std::to_string(Port));
  Body["ttl_ms"] =
      static_cast<Json::Int64>(m_Daemon.m_Settings.number("lookup.ttl_ms"));
  Body["revision"] = static_cast<Json::UInt64>(m_Config.m_Revision);
  const Profile &TargetProfile =
      m_Config.m_Profiles[static_cast<std::size_t>(Target->m_Profile)];
  Body["rank"] = std::string(priorityName(TargetProfile.m_Priority));
  Body["needs_key"] = !TargetProfile.m_Idempotent;
  auto HomeIp =
      boost::asio::ip::make_address_v4(Ordered.front().m_Vm).to_uint();
  HomeId Home{HomeIp, Port, Incarnations[Ordered.front().m_Vm]};
  Body["home"] = keyPrefixText(m_Signer.sign(Home, unixMillis()));
  m_Daemon.m_Metrics.count("rhubarb_lookups_total", {{"service", Service}});
  return jsonResponse(200, compactJson(Body) + "\n");
}

Json::Value Lookup::status() const {
  Json::Value Status;
  Status["vm"] = m_Ip;
  Status["revision"] = static_cast<Json::UInt64>(m_Config.m_Revision);
  Status["block_ranges"] = static_cast<Json::UInt64>(m_Blocks.rangeCount());
  for (const FailureDomain &Domain : m_Config.m_Domains)
    for (const auto &[ServingDomain, Share] :
         m_Steering.sharesOf(Domain.m_Name))
      Status["shares"][Domain.m_Name][ServingDomain] = Share;
  return Status;
}

void Lookup::updateGauges() {
  m_Daemon.m_Metrics.set("rhubarb_config_revision", {},
                         static_cast<double>(m_Config.m_Revision));
}

} // namespace rhubarb::lookup
