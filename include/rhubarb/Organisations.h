// Organisations: who may call, with which API keys, how urgently, how often and
// in which regions.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace rhubarb {

// An organisation as configured by operators.
struct Organisation {
  std::string m_Name;
  std::vector<std::string> m_ApiKeys; // Secrets; never logged.
  // Replaces the priority of the routes. 0 is served first.
  std::optional<int> m_Priority;
  double m_RatePerSecond = 0; // Requests over all VMs; 0: no limit.
  double m_Burst = 0;         // Requests allowed beyond the rate at once.
  std::vector<std::string> m_AllowedRegions; // Empty: every region is allowed.
};

} // namespace rhubarb
