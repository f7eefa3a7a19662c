#include "rhubarb/Spill.h"

#include <algorithm>

namespace rhubarb {
namespace {

// Weight of one measurement in the smoothed load.
constexpr double LoadWeight = 0.15;
// Weight of another process's share when two shares are blended.
constexpr double NeighbourWeight = 0.25;

} // namespace

SpillTable::Row &SpillTable::rowOf(int Pool) {
  auto Index = static_cast<std::size_t>(Pool);
  if (m_Rows.size() <= Index)
    m_Rows.resize(Index + 1);
  return m_Rows[Index];
}

void SpillTable::update(int Pool, const SpillLoad &Load, Time Now) {
  Row &PoolRow = rowOf(Pool);
  double Total = Load.m_LocalSlots + Load.m_RemoteSlots;
  if (Total <= 0)
    return;
  bool Idle = Load.m_LocalLoad + Load.m_RemoteLoad + Load.m_QueuedRequests <= 0;
  if (!PoolRow.m_HasTraffic && !Idle) {
    PoolRow.m_HasTraffic = true;
    PoolRow.m_TrafficSince = Now;
  }
  if (!PoolRow.m_HasTraffic) {
    double Demand =
        m_Limits.m_AssumedLoad * Total / std::max(1, Load.m_Regions);
    PoolRow.m_Share = std::clamp(
        1 - m_Limits.m_HighLoad * Load.m_LocalSlots / Demand, 0.0, 1.0);
    PoolRow.m_LocalSlots = Load.m_LocalSlots;
    PoolRow.m_UpdatedAt = Now;
    return;
  }
  if (PoolRow.m_LocalSlots > 0)
    PoolRow.m_Share = std::clamp(1 - (1 - PoolRow.m_Share) * Load.m_LocalSlots /
                                         PoolRow.m_LocalSlots,
                                 0.0, 1.0);
  PoolRow.m_LocalSlots = Load.m_LocalSlots;
  if (Now - PoolRow.m_UpdatedAt < m_Limits.m_UpdateInterval)
    return;
  PoolRow.m_UpdatedAt = Now;
  if (Load.m_LocalSlots <= 0) {
    PoolRow.m_Share = 1;
    return;
  }
  double LocalUtilization =
      (Load.m_LocalLoad + Load.m_QueuedRequests) / Load.m_LocalSlots;
  PoolRow.m_SmoothedLoad +=
      LoadWeight * (LocalUtilization - PoolRow.m_SmoothedLoad);
  if (Now - PoolRow.m_TrafficSince < m_Limits.m_SettleTime)
    return;
  double RemoteUtilization =
      Load.m_RemoteSlots > 0 ? Load.m_RemoteLoad / Load.m_RemoteSlots : 1e9;
  if (PoolRow.m_SmoothedLoad > m_Limits.m_HighLoad &&
      RemoteUtilization < LocalUtilization)
    PoolRow.m_Share += m_Limits.m_StepUp;
  else if (PoolRow.m_SmoothedLoad < m_Limits.m_LowLoad)
    PoolRow.m_Share -= m_Limits.m_StepDown;
  PoolRow.m_Share =
      std::clamp(PoolRow.m_Share, 0.0, Load.m_RemoteSlots > 0 ? 1.0 : 0.0);
}

void SpillTable::blendNeighbour(int Pool, double NeighbourShare) {
  Row &PoolRow = rowOf(Pool);
  if (PoolRow.m_HasTraffic)
    PoolRow.m_Share += NeighbourWeight * (NeighbourShare - PoolRow.m_Share);
}

void SpillTable::restore(int Pool, double SavedShare, Time Now) {
  Row &PoolRow = rowOf(Pool);
  if (PoolRow.m_HasTraffic)
    return;
  PoolRow.m_HasTraffic = true;
  PoolRow.m_TrafficSince = Now;
  PoolRow.m_Share = std::clamp(SavedShare, 0.0, 1.0);
}

double SpillTable::share(int Pool) const {
  auto Index = static_cast<std::size_t>(Pool);
  return Index < m_Rows.size() ? m_Rows[Index].m_Share : 0;
}

} // namespace rhubarb
