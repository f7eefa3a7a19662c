// A small emulated deployment on loopback: store, backend servers, callers and
// operator. The guarantees of the system are checked at the end.
#pragma once

#include "standins/site/Callers.h"
#include "standins/site/Proxy.h"
#include "standins/site/Servers.h"

#include <memory>

namespace rhubarb::site {

// Size and seed of the deployment.
struct SiteSettings {
  // First two octets of every IP address.
  std::string m_AddressPrefix = "127.60";
  std::vector<std::string> m_Domains{"a1", "a2", "b1"};
  std::map<std::string, std::string> m_RegionOf{
      {"a1", "a"}, {"a2", "a"}, {"b1", "b"}};
  int m_NodesPerDomain = 1;
  // Backend servers of each service in each failure domain.
  int m_ServersPerDomain = 2;
  // Mean rate of each class of calls from each failure domain.
  double m_CallsPerSecond = 15;
  // The same for calls that run for some seconds; they must not be repeated.
  double m_LongCallsPerSecond = 0;
  std::uint64_t m_Seed = 1;
  // Organisations with API keys; 0: callers need no key.
  int m_Organisations = 0;
  // Adds the route of changeRegions() and calls for it. Needs organisations.
  bool m_MovesRegions = false;
  // Routes without traffic in every configuration.
  int m_ExtraRoutes = 0;
  // Rate of the store's link to each node; 0: not limited.
  double m_StoreKbps = 0;
  // A configuration must be in force this long after its acknowledgement.
  Duration m_ConfigBound = 2500ms;
};

// Time bounds of the system. DrainBound equals bounds.drain in nodeSettings().
inline constexpr Duration DrainBound = 2500ms;
// Replaces SiteSettings::m_ConfigBound where configurations are long.
inline constexpr Duration LongConfigBound = 4s;
inline constexpr Duration EvacuateBound = 5s;
// Time bounds apply again only after this long without a fault of the store or
// of a node.
inline constexpr Duration StableWindow = 4s;
// Evacuations that a disturbance delays may take longer by this.
inline constexpr Duration StretchMax = 5s;
// Operator and servers write within this time what a restored store has lost.
inline constexpr Duration RewriteTime = 1500ms;

class Site {
public:
  Site(asio::io_context &Io, SiteSettings Settings);
  Result<int> start();
  void startCallers() { m_Callers->start(); }
  void stopCallers() { m_Callers->stop(); }
  int callsInFlight() const { return m_Callers->inFlight(); }

  // Returns the text of a node's settings file, in the platform's format.
  std::string nodeSettings(int Node) const;
  int nodes() const;
  std::string nodeIp(int Node) const;

  KvStore &store() { return m_Store; }
  FaultProxy &storeProxy() { return *m_StoreProxy; }
  FaultProxy &serverProxy(std::size_t Index) { return *m_ServerProxies[Index]; }
  std::vector<std::unique_ptr<SiteServer>> &servers() { return m_Servers; }

  // Publishes a new configuration version as the operator. Each call moves the
  // last route to the other service or back.
  void changeConfig();
  // Publishes a new configuration version with a key withdrawn and one added.
  void changeKeys();
  // Publishes a new configuration version with other allowed regions.
  void changeRegions();
  void setEvacuated(const std::string &Domain, bool Evacuated);
  // Restores the store from a copy. What the copy lacks, or has though it is
  // gone, is written again by operator and servers within RewriteTime.
  void restoreStore(Duration CopyAge, Duration RewrittenAfter = RewriteTime);
  // Writes keys of no meaning until the store has passed a revision.
  void raiseRevision(std::uint64_t Past);
  // Restores the store and makes changes, among them a server that leaves and
  // an evacuation, with revisions that the lost history had given out as well.
  void restoreStoreAndPass(Duration CopyAge, std::size_t LeavingServer,
                           const std::string &EvacuatedDomain);
  // Sends a request from a random failure domain that crashes each server that
  // begins to run it. It is the same one each time.
  void sendDeadlyCall();
  // Cuts nodes off from the servers, or from those of one service if it is not
  // empty, and ends the cut.
  void cutFromServers(const std::vector<std::size_t> &CutNodes, LinkCut Kind,
                      const std::string &Service);
  void endCut(const std::vector<std::size_t> &CutNodes);
  // Returns the nodes of the failure domain of a node.
  std::vector<std::size_t> domainNodes(std::size_t Node) const;
  // Replaces a server. With Gracefully, the old one drains before it stops;
  // otherwise it crashes. The new one starts at once.
  void replaceServer(std::size_t Index, bool Gracefully);
  // Records that the store or nodes had a fault from From until Until. Time
  // bounds are not checked in that span nor in the StableWindow after it.
  void addDisturbance(Time From, Time Until) {
    m_Disturbances.emplace_back(From, Until + StableWindow);
  }
  // Records that a node was restarted, frozen or cut off. The rates that
  // servers name are not checked for its requests from From until the
  // StableWindow after Until.
  void addNodeDisturbance(std::size_t Node, Time From, Time Until) {
    m_NodeDisturbances.emplace(nodeIp(static_cast<int>(Node)),
                               std::pair(From, Until + StableWindow));
  }
  // Records that a node was told to stop, perhaps again.
  void addPlannedStop(std::size_t Node);
  // Records that a node was killed. What that cuts is no loss of a planned
  // stop.
  void addKill(std::size_t Node);
  // Requires each server to get at least this share of the rate that it names.
  void setMinLimitUse(double Share) { m_MinLimitUse = Share; }
  // Expires leases, stops replaced servers once their time is over and renews
  // the entries of the others.
  void tick();

  // Returns every violated guarantee.
  std::vector<std::string> verify() const;
  const CallCounts &counts() const { return m_Callers->counts(); }
  OrganisationCheck &organisations() { return m_Organisations; }
  const OrganisationCheck &organisations() const { return m_Organisations; }

private:
  std::string configText() const;
  void writeConfig();
  bool overlapsDisturbance(Time From, Time Until) const;
  bool overlapsNodeDisturbance(const std::string &Ip, Time At) const;
  void verifyRateLimits(std::vector<std::string> &Violations) const;
  void verifyConfig(std::vector<std::string> &Violations) const;
  void verifyEvacuations(std::vector<std::string> &Violations) const;
  std::string lostText(const CallTry &Try, Time StopAt) const;
  bool wasCutByKill(const CallTry &Try) const;
  void verifyPlannedStops(std::vector<std::string> &Violations) const;
  void verifyCuts(std::vector<std::string> &Violations) const;
  void verifyDeadlyCalls(std::vector<std::string> &Violations) const;
  asio::awaitable<void> crashForAWhile(std::size_t Index);
  void rewriteLostState();
  Result<int> addServer(const std::string &Service, const std::string &Domain);

  asio::io_context &m_Io;
  SiteSettings m_Settings;
  RunRecords m_Records;
  OrganisationCheck m_Organisations;
  RegionCheck m_Regions;
  KvStore m_Store;
  std::unique_ptr<FaultProxy> m_StoreProxy;
  std::vector<std::unique_ptr<FaultProxy>> m_ServerProxies;
  std::vector<std::unique_ptr<SiteServer>> m_Servers;
  std::vector<std::pair<Time, Time>> m_Disturbances;
  // Keyed by the node's IP address.
  std::multimap<std::string, std::pair<Time, Time>> m_NodeDisturbances;
  std::multimap<std::string, Time> m_PlannedStops;
  std::multimap<std::string, Time> m_Kills;
  double m_MinLimitUse = 0;
  // Time at which a replaced server stops, by server index; 0 if it is not
  // being replaced.
  std::vector<Time> m_StopAt;
  std::unique_ptr<SiteCallers> m_Callers;
  int m_Version = 3;
  bool m_RouteMoved = false;
  // Acknowledged configurations: when, and the service of the last route.
  std::vector<std::pair<Time, std::string>> m_ConfigHistory;
  // Acknowledged evacuations of a failure domain, and when they ended; 0 if
  // they have not.
  struct Evacuation {
    std::string m_Domain;
    Time m_From{0};
    Time m_Until{0};
  };
  std::vector<Evacuation> m_Evacuations;
  std::vector<Time> m_DeadlyRuns;
  // Nodes that are cut off from all servers.
  struct Cut {
    std::set<std::string> m_Ips;
    Time m_From{0};
    Time m_Until{0}; // 0: not ended.
  };
  std::vector<Cut> m_Cuts;
  Random m_Random;
  Time m_RewriteAt{0}; // When lost state is written again; 0: nothing is lost.
  Time m_LastReport{0};
};

} // namespace rhubarb::site
