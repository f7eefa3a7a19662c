#include "rhubarb/Spill.h"

#include <algorithm>

namespace rhubarb {
namespace {

constexpr double LoadWeight = 0.15;      // Of one load measurement.
constexpr double NeighbourWeight = 0.25; // Of another process's share.

} // namespace

SpillTable::Row &SpillTable::rowOf(int Pool) {
  auto Index = static_cast<std::size_t>(Pool);
  if (m_Rows.size() <= Index)
    m_Rows.resize(Index + 1);
  return m_Rows[Index];
}

void SpillTable::update(int Pool, const SpillLoad &Load, Time Now) {
  Row &Entry = rowOf(Pool);
  double Total = Load.m_LocalSlots + Load.m_RemoteSlots;
  if (Total <= 0)
    return;
  bool Idle = Load.m_LocalLoad + Load.m_RemoteLoad + Load.m_QueuedRequests <= 0;
  if (!Entry.m_HasTraffic && !Idle) {
    Entry.m_HasTraffic = true;
    Entry.m_TrafficSince = Now;
  }
  if (!Entry.m_HasTraffic) {
    double Demand =
        m_Limits.m_AssumedLoad * Total / std::max(1, Load.m_Regions);
    Entry.m_Share = std::clamp(
        1 - m_Limits.m_HighLoad * Load.m_LocalSlots / Demand, 0.0, 1.0);
    Entry.m_LocalSlots = Load.m_LocalSlots;
    Entry.m_UpdatedAt = Now;
    return;
  }
  if (Entry.m_LocalSlots > 0)
    Entry.m_Share = std::clamp(1 - (1 - Entry.m_Share) * Load.m_LocalSlots /
                                       Entry.m_LocalSlots,
                               0.0, 1.0);
  Entry.m_LocalSlots = Load.m_LocalSlots;
  if (Now - Entry.m_UpdatedAt < m_Limits.m_UpdateInterval)
    return;
  Entry.m_UpdatedAt = Now;
  if (Load.m_LocalSlots <= 0) {
    Entry.m_Share = 1;
    return;
  }
  double LocalUtilization =
      (Load.m_LocalLoad + Load.m_QueuedRequests) / Load.m_LocalSlots;
  Entry.m_SmoothedLoad +=
      LoadWeight * (LocalUtilization - Entry.m_SmoothedLoad);
  if (Now - Entry.m_TrafficSince < m_Limits.m_SettleTime)
    return;
  double RemoteUtilization =
      Load.m_RemoteSlots > 0 ? Load.m_RemoteLoad / Load.m_RemoteSlots : 1e9;
  if (Entry.m_SmoothedLoad > m_Limits.m_HighLoad &&
      RemoteUtilization < LocalUtilization)
    Entry.m_Share += m_Limits.m_StepUp;
  else if (Entry.m_SmoothedLoad < m_Limits.m_LowLoad)
    Entry.m_Share -= m_Limits.m_StepDown;
  Entry.m_Share =
      std::clamp(Entry.m_Share, 0.0, Load.m_RemoteSlots > 0 ? 1.0 : 0.0);
}

void SpillTable::blendNeighbour(int Pool, double NeighbourShare) {
  Row &Entry = rowOf(Pool);
  if (Entry.m_HasTraffic)
    Entry.m_Share += NeighbourWeight * (NeighbourShare - Entry.m_Share);
}

void SpillTable::restore(int Pool, double SavedShare, Time Now) {
  Row &Entry = rowOf(Pool);
  if (Entry.m_HasTraffic)
    return;
  Entry.m_HasTraffic = true;
  Entry.m_TrafficSince = Now;
  Entry.m_Share = std::clamp(SavedShare, 0.0, 1.0);
}

double SpillTable::share(int Pool) const {
  auto Index = static_cast<std::size_t>(Pool);
  return Index < m_Rows.size() ? m_Rows[Index].m_Share : 0;
}

} // namespace rhubarb
