// A small deployment of the platform on loopback: store, backend servers,
// callers and the operator, with the promises checked at the end.
#pragma once

#include "standins/site/Callers.h"
#include "standins/site/Proxy.h"
#include "standins/site/Servers.h"

#include <memory>

namespace rhubarb::site {

// Sizes of the deployment.
struct SiteSettings {
  std::string m_AddressPrefix = "127.60"; // First half of every IP number.
  std::vector<std::string> m_Domains{"a1", "a2", "b1"};
  std::map<std::string, std::string> m_RegionOf{
      {"a1", "a"}, {"a2", "a"}, {"b1", "b"}};
  int m_NodesPerDomain = 1;
  int m_ServersPerDomain = 2;   // Of each service.
  double m_CallsPerSecond = 15; // Of each class, from each domain.
  std::uint64_t m_Seed = 1;
};

// Bounds of the platform that are checked, as they stand in the settings.
inline constexpr Duration DrainBound = 2500ms;
inline constexpr Duration ConfigBound = 2500ms;
inline constexpr Duration EvacuateBound = 5s;
// A machine in trouble is bound again only after this long without trouble.
inline constexpr Duration StableWindow = 4s;

class Site {
public:
  Site(asio::io_context &Io, SiteSettings Settings);
  Result<int> start();
  void startCallers() { m_Callers->start(); }
  void stopCallers() { m_Callers->stop(); }
  int callsInFlight() const { return m_Callers->inFlight(); }

  // Settings file of a node, in the platform's form.
  std::string nodeSettings(int Node) const;
  int nodes() const;
  std::string nodeIp(int Node) const;

  KvStore &store() { return m_Store; }
  FaultProxy &storeProxy() { return *m_StoreProxy; }
  FaultProxy &serverProxy(std::size_t Index) { return *m_ServerProxies[Index]; }
  std::vector<std::unique_ptr<SiteServer>> &servers() { return m_Servers; }

  // The operator: a new version. Moves the last route to the other service
  // and back.
  void changeConfig();
  void setEvacuated(const std::string &Domain, bool Evacuated);
  // Replaces a server: the new one starts first, the old one drains and ends.
  void replaceServer(std::size_t Index, bool Gracefully);
  // Records that the store or nodes are in trouble for a span. Bounds in time
  // hold outside of it and of the window after it.
  void addDisturbance(Time From, Time Until) {
    m_Disturbances.emplace_back(From, Until + StableWindow);
  }
  // Ends servers that have drained, renews entries.
  void tick();

  // Returns each broken promise.
  std::vector<std::string> verify() const;
  const CallCounts &counts() const { return m_Callers->counts(); }

private:
  std::string configText() const;
  bool overlapsDisturbance(Time From, Time Until) const;
  Result<int> addServer(const std::string &Service, const std::string &Domain);

  asio::io_context &m_Io;
  SiteSettings m_Settings;
  RunRecords m_Records;
  KvStore m_Store;
  std::unique_ptr<FaultProxy> m_StoreProxy;
  std::vector<std::unique_ptr<FaultProxy>> m_ServerProxies;
  std::vector<std::unique_ptr<SiteServer>> m_Servers;
  std::vector<std::pair<Time, Time>> m_Disturbances;
  std::vector<Time> m_StopAt; // Of draining servers, by index; 0: none.
  std::unique_ptr<SiteCallers> m_Callers;
  int m_Version = 3;
  bool m_RouteMoved = false;
  Time m_LastReport{0};
};

} // namespace rhubarb::site
