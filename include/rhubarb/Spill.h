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
  double m_HighLoad = 0.75; // Of the local slots; above it the share grows.
  double m_LowLoad = 0.40;  // Below it the share shrinks.
  // Load assumed for the whole fleet before any traffic.
  double m_AssumedLoad = 0.5;
  double m_StepUp = 0.010;   // Per update, as a share of the objects.
  double m_StepDown = 0.004; // Per update.
  Duration m_UpdateInterval = 250ms;
  // Thresholds are not applied for this long after the first traffic: every
  // object runs cold once, so the load is not representative.
  Duration m_SettleTime = 3s;
};

// Slots and load of a pool, in the local region and in others.
struct SpillLoad {
  double m_LocalSlots = 0;
  double m_LocalLoad = 0; // Requests in flight.
  double m_RemoteSlots = 0;
  double m_RemoteLoad = 0;
  int m_QueuedRequests = 0; // Waiting for a slot.
  int m_Regions = 1;        // Regions with callers.
};

// Share of each pool's objects that is sent to other regions.
class SpillTable {
public:
  explicit SpillTable(SpillLimits Limits = {}) : m_Limits(Limits) {}

  // Adjusts the share to the current loads by at most one step. Slots added or
  // removed locally change the share immediately.
  void update(int Pool, const SpillLoad &Load, Time Now);
  // Moves the share towards that of another process in the region.
  void blendNeighbour(int Pool, double NeighbourShare);
  // Restores the share that the region's processes used before they were all
  // restarted.
  void restore(int Pool, double SavedShare, Time Now);
  double share(int Pool) const;

private:
  struct Row {
    bool m_HasTraffic = false; // Traffic has been seen.
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
