// Routes: which requests the operators allow, how each is to be treated, and
// which pools of backend servers may run it.
#pragma once

#include "rhubarb/Types.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rhubarb {

// A pool of backend servers that shares a route's requests.
struct RouteTarget {
  int m_Pool = 0;      // Index into RoutingConfig::m_Pools.
  double m_Weight = 1; // Share of the route's requests, over the sum.
};

// A class of requests, by host and path, and how it is treated.
struct Route {
  std::string m_Name;
  std::string m_Host;
  std::string m_Prefix;      // Begins and ends with a slash.
  bool m_Idempotent = false; // May run more than once.
  int m_Priority = 0;        // 0 is served first.
  Duration m_Objective{0};   // Full worth until then; 0: none stated.
  Duration m_Timeout{0};     // Must have an answer by then; 0: none stated.
  int m_MaxAttempts = 1;     // Backend servers that one request may reach.
  bool m_Affinity = false;   // Servers are faster for objects they know.
  std::vector<std::string>
      m_AllowedRegions;               // May run only there; empty: anywhere.
  std::vector<RouteTarget> m_Targets; // At least one.
};

// Backend servers of one kind, as operators describe them.
struct PoolSettings {
  std::string m_Name;
  std::string m_HealthPath;
  int m_MaxConnections = 0;   // Of one server, from all callers; 0: no limit.
  Duration m_ColdDuration{0}; // A server is cold that long after its start.
  double m_ColdRequestsPerSecond = 0; // Requests that a cold server tolerates.
};

// Bounds on what callers may send.
struct RequestLimits {
  std::size_t m_MaxHeaderBytes = 16U << 10U;
  std::size_t m_MaxBodyBytes = 64U << 20U;
  Duration m_HeaderTimeout = 10s; // For the whole header.
  Duration m_IdleTimeout = 30s;   // Of a connection between two requests.
};

// One accepted version of the operators' configuration.
struct RoutingConfig {
  std::uint64_t m_Revision = 0; // 0: none is known.
  std::vector<PoolSettings> m_Pools;
  std::vector<Route> m_Routes;
  RequestLimits m_Limits;

  // Returns the index of the pool of that name, or -1.
  int findPool(std::string_view Name) const;
};

// Finds the route of a request: of its host's routes the one with the longest
// prefix of the path. Cost: the path's segments.
class RouteTable {
public:
  // Takes a configuration in place of the one before. Pool indexes are kept:
  // a pool that is no longer configured stays as an unused row.
  void apply(RoutingConfig Next);
  // Returns the route, or null. The path is without its query; a port behind
  // the host is ignored.
  const Route *find(std::string_view Host, std::string_view Path) const;
  const RoutingConfig &config() const { return m_Config; }

private:
  RoutingConfig m_Config;
  // Host, a blank, prefix; to the route.
  std::unordered_map<std::string, std::size_t> m_ByHostAndPrefix;
};

// Spreads each route's requests over its targets by weight. Requests for one
// object keep to one target as long as the shares stay close to the weights.
class WeightedSplitter {
public:
  // Returns the index into the route's targets for its next request.
  // ObjectHash is 0 for a request without an object.
  std::size_t choose(const Route &For, std::uint64_t ObjectHash);

private:
  struct Counts {
    std::vector<double> m_Weights; // Of the targets that were counted.
    std::vector<double> m_Sent;
    double m_Total = 0;
  };
  std::unordered_map<std::string, Counts> m_ByRoute;
};

} // namespace rhubarb
