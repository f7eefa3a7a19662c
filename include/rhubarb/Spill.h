// Spillover: the share of a region's requests that is sent to other regions. It
// serves regions with few servers and many callers, and load peaks that move
// from region to region. The share changes slowly, and the processes of a
// region converge on one value, so that each object stays on its server.
#pragma once

#include "rhubarb/Types.h"

#include <cstdint>
#include <vector>

namespace rhubarb {

// Step sizes of the share, and the load thresholds.
struct SpillLimits {
  // Loads as a share of the local slots: the share of requests sent to other
  // regions grows above m_HighLoad and shrinks below m_LowLoad.
  double m_HighLoad = 0.75;
  double m_LowLoad = 0.40;
  // Load assumed for the whole fleet before any traffic.
  double m_AssumedLoad = 0.5;
  // Largest change per update, as a share of the objects.
  double m_StepUp = 0.010;
  double m_StepDown = 0.004;
  Duration m_UpdateInterval = 250ms;
  // Thresholds are not applied for this long after the first traffic: every
  // object runs cold once, so the load is not representative.
  Duration m_SettleTime = 3s;
};

// Slots and load of a pool, in the local region and in others.
struct SpillLoad {
  double m_LocalSlots = 0;
  double m_LocalLoad = 0; // Requests in flight at local servers.
  double m_RemoteSlots = 0;
  double m_RemoteLoad = 0;  // Requests in flight at servers of other regions.
  int m_QueuedRequests = 0; // Requests waiting for a slot.
  // Number of regions with servers of the pool, the local region included.
  int m_Regions = 1;
};

// Share of each pool's objects that is sent to other regions.
class SpillTable {
public:
  explicit SpillTable(SpillLimits Limits = {}) : m_Limits(Limits) {}

  // Adjusts the share to the current loads by at most one step. Slots added or
  // removed locally change it immediately; without local slots it is 1. Before
  // any traffic it is derived from the assumed load.
  void update(int Pool, const SpillLoad &Load, Time Now);
  // Moves the share towards that of another process in the region.
  void blendNeighbour(int Pool, double NeighbourShare);
  // Restores the share that the region's processes used before they were all
  // restarted.
  void restore(int Pool, double SavedShare, Time Now);
  double share(int Pool) const;

private:
  struct Row {
    bool m_HasTraffic = false; // Set by the first traffic and by restore().
    double m_Share = 0;
    double m_LocalSlots = 0;
    Time m_TrafficSince{0};
    Time m_UpdatedAt{0};
    double m_SmoothedLoad = 0;
  };
  Row &rowOf(int Pool);

  SpillLimits m_Limits;
  std::vector<Row> m_Rows;
};

} // namespace rhubarb
