// Deployments that the benches simulate, and figures computed from the results.
#include "bench/FleetModel.h"

#include <algorithm>

namespace rhubarb::bench {

// --- Deployments

const char *policyName(Policy Value) {
  static constexpr const char *Names[] = {"rhubarb", "fifo-random",
                                          "round-robin", "least-reported"};
  return Names[static_cast<std::size_t>(Value)];
}

Deployment drevorez() {
  Deployment Fleet;
  Fleet.m_Name = "drevorez";
  Fleet.m_Servers = 24;
  Fleet.m_Slots = 9;
  Fleet.m_IntraDomainDelay = 500us;
  Fleet.m_InterDomainDelay = 4ms;
  Fleet.m_InterRegionDelay = 55ms;
  Fleet.m_Classes = {{Priority::Urgent, Reach::Global, 0, 0.10, 100ms, 2s},
                     {Priority::Normal, Reach::Global, 0.20, 0.20, 100ms, 2s},
                     {Priority::Batch, Reach::Region, 0.10, 0.25, 200ms, 2s}};
  return Fleet;
}

Deployment kartograf() {
  Deployment Fleet;
  Fleet.m_Name = "kartograf";
  Fleet.m_Servers = 20;
  Fleet.m_Slots = 3;
  Fleet.m_IntraDomainDelay = 500us;
  Fleet.m_InterDomainDelay = 3ms;
  Fleet.m_InterRegionDelay = 12ms;
  Fleet.m_Classes = {
      {Priority::Urgent, Reach::Global, 0, 0.10, 100ms, 2s},
      {Priority::Normal, Reach::Region, 0.25, 0.25, 100ms, 1500ms},
      {Priority::Batch, Reach::Global, 0.10, 0.20, 400ms, 8s}};
  return Fleet;
}

// --- Results

double PriorityResult::inTimeShare() const {
  return m_Offered == 0
             ? 1.0
             : static_cast<double>(m_InTime) / static_cast<double>(m_Offered);
}

double PriorityResult::percentileMs(double Share) const {
  if (m_LatencyMs.empty())
    return 0;
  std::vector<float> Sorted = m_LatencyMs;
  auto Index = static_cast<std::ptrdiff_t>(
      Share * static_cast<double>(Sorted.size() - 1));
  std::nth_element(Sorted.begin(), Sorted.begin() + Index, Sorted.end());
  return Sorted[static_cast<std::size_t>(Index)];
}

double FleetResult::goodputShare() const {
  double Sum = 0;
  for (const PriorityResult &Row : m_ByPriority)
    Sum += Row.m_SlotSeconds;
  return Sum / m_CapacitySlotSeconds;
}

} // namespace rhubarb::bench
