// Routes: which requests the operators allow, how each is handled, and which
// pools of backend servers may run it.
#pragma once

#include "rhubarb/Organisations.h"
#include "rhubarb/Types.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rhubarb {

// A pool of backend servers that receives a share of a route's requests.
struct RouteTarget {
  int m_Pool = 0;      // The pool's index in RoutingConfig::m_Pools.
  double m_Weight = 1; // Share, relative to the sum of the route's weights.
};

// A class of requests, selected by host and path, and how it is handled.
struct Route {
  std::string m_Name;
  std::string m_Host;
  std::string m_Prefix;      // Path prefix; begins and ends with a slash.
  bool m_Idempotent = false; // Requests may run more than once.
  int m_Priority = 0;        // Priority 0 is served first.
  Duration m_Objective{0};   // Latency objective; 0: none stated.
  Duration m_Timeout{0};     // Deadline for the response; 0: none stated.
  // Maximum number of backend servers tried for one request.
  int m_MaxAttempts = 1;
  // Servers are faster for objects that are warm there.
  bool m_Affinity = false;
  bool m_Public = false;                     // Callers need no API key.
  std::vector<std::string> m_AllowedRegions; // Empty: every region is allowed.
  std::vector<RouteTarget> m_Targets;        // Never empty.
};

// A pool of backend servers as configured by operators.
struct PoolSettings {
  std::string m_Name;
  std::string m_HealthPath;
  // Maximum number of connections to one server, from all callers; 0: no limit.
  int m_MaxConnections = 0;
  // A server counts as cold for this long after its start.
  Duration m_ColdDuration{0};
  double m_ColdRequestsPerSecond = 0; // Rate that a cold server tolerates.
};

// Limits on requests from callers.
struct RequestLimits {
  std::size_t m_MaxHeaderBytes = 16U << 10U;
  std::size_t m_MaxBodyBytes = 64U << 20U;
  Duration m_HeaderTimeout = 10s; // Time to receive the complete header.
  Duration m_IdleTimeout = 30s;   // Idle time of a connection between requests.
};

// One accepted revision of the operators' configuration.
struct RoutingConfig {
  std::uint64_t m_Revision = 0; // 0: no configuration is known.
  std::vector<PoolSettings> m_Pools;
  std::vector<Route> m_Routes;
  RequestLimits m_Limits;
  std::vector<Organisation> m_Organisations; // Empty: callers need no key.

  // Returns the index of the pool with that name, or -1.
  int findPool(std::string_view Name) const;
};

// Finds the route of a request: the one with the longest matching path prefix
// among the routes of its host. Cost: linear in the path segments.
class RouteTable {
public:
  // Replaces the configuration. Pool indexes are stable: a pool that is no
  // longer configured stays as an unused entry.
  void apply(RoutingConfig Next);
  // Returns the route, or null. The path must not contain the query; a port in
  // the host is ignored.
  const Route *find(std::string_view Host, std::string_view Path) const;
  const RoutingConfig &config() const { return m_Config; }

private:
  RoutingConfig m_Config;
  // Key: host, a space, prefix. Value: index of the route.
  std::unordered_map<std::string, std::size_t> m_ByHostAndPrefix;
};

// Splits each route's requests over its targets by weight. Requests for one
// object stay on one target as long as the actual shares are close to the
// weights.
class WeightedSplitter {
public:
  // Returns the index into the route's targets for its next request. ObjectHash
  // is 0 for a request without an object.
  std::size_t choose(const Route &Matched, std::uint64_t ObjectHash);

private:
  struct Counts {
    std::vector<double> m_Weights; // Weights for which the counts were made.
    std::vector<double> m_Sent;
    double m_Total = 0;
  };
  std::unordered_map<std::string, Counts> m_ByRoute;
};

} // namespace rhubarb
