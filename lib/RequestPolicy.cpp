#include "rhubarb/RequestPolicy.h"

#include <algorithm>

namespace rhubarb {

Result<RequestPolicy> makePolicy(const Route &Matched,
                                 const Organisation *Holder,
                                 const std::vector<std::string> &RegionLimit) {
  RequestPolicy Policy;
  Policy.m_RouteName = Matched.m_Name;
  Policy.m_Idempotent = Matched.m_Idempotent;
  Policy.m_Affinity = Matched.m_Affinity;
  Policy.m_Priority = Matched.m_Priority;
  Policy.m_MaxAttempts = Matched.m_MaxAttempts;
  Policy.m_Objective = Matched.m_Objective;
  Policy.m_Timeout = Matched.m_Timeout;
  RegionRestriction Allowed =
      intersectRegions(Matched.m_AllowedRegions, RegionLimit);
  if (Holder != nullptr) {
    Policy.m_Organisation = Holder->m_Name;
    Policy.m_Priority = Holder->m_Priority.value_or(Matched.m_Priority);
    if (!Allowed.m_None)
      Allowed = intersectRegions(Allowed.m_Regions, Holder->m_AllowedRegions);
  }
  if (Allowed.m_None)
    return Error{ErrorKind::NoServerLeft,
                 "route \"" + Matched.m_Name + "\" and organisation \"" +
                     Policy.m_Organisation + "\" allow no region in common"};
  Policy.m_AllowedRegions = std::move(Allowed.m_Regions);
  return Policy;
}

bool usesPool(const Route &Matched, int Pool) {
  return std::any_of(Matched.m_Targets.begin(), Matched.m_Targets.end(),
                     [&](const RouteTarget &Target) {
                       return Target.m_Pool == Pool && Target.m_Weight > 0;
                     });
}

} // namespace rhubarb
