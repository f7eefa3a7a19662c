// What the configuration in force says about one request. A request that waits
// is decided again when a newer configuration comes into force.
#pragma once

#include "rhubarb/Errors.h"
#include "rhubarb/Routes.h"

#include <string>
#include <vector>

namespace rhubarb {

// How a request is handled and where it may run, by its route and organisation.
struct RequestPolicy {
  std::string m_RouteName;
  std::string m_Organisation; // Empty: none.
  bool m_Idempotent = false;
  bool m_Affinity = false;
  int m_Priority = 0;
  int m_MaxAttempts = 1;
  Duration m_Objective{0};
  Duration m_Timeout{0};
  std::vector<std::string> m_AllowedRegions; // Empty: every region is allowed.

  bool operator==(const RequestPolicy &) const = default;
};

// Combines a route with the organisation of a request, which is null if it has
// none. RegionLimit lists the regions that the VM which passed the request on
// allows; an empty list allows every region. Error: NoServerLeft, if no region
// is allowed by all.
Result<RequestPolicy> makePolicy(const Route &Matched,
                                 const Organisation *Holder,
                                 const std::vector<std::string> &RegionLimit);

// Whether a route sends requests to a pool.
bool usesPool(const Route &Matched, int Pool);

} // namespace rhubarb
