// How much of a region's work runs in other regions. Answers two patterns: a
// region with few servers and many callers, and waves of load that pass from
// region to region. The share moves slowly, and the processes of a region draw
// together, so that each object keeps its server.
#pragma once

#include "rhubarb/Types.h"

#include <cstdint>
#include <vector>

namespace rhubarb {

// Pace of the moves, and the loads at which they begin.
struct SpillLimits {
  double m_HighLoad = 0.75; // Of the home slots; above it work moves away.
  double m_LowLoad = 0.40;  // Below it work comes back.
  // Load that the fleet is taken to have before anything is measured.
  double m_AssumedLoad = 0.5;
  double m_StepUp = 0.010;   // Share of the objects that one step moves away.
  double m_StepDown = 0.004; // Share that comes back.
  Duration m_UpdateInterval = 250ms;
  // After the first work the load says little: every object runs cold once.
  Duration m_SettleTime = 3s;
};

// Slots and load of a pool, at home and elsewhere.
struct SpillLoad {
  double m_LocalSlots = 0;
  double m_LocalLoad = 0; // Requests under way.
  double m_RemoteSlots = 0;
  double m_RemoteLoad = 0;
  int m_QueuedRequests = 0; // Requests that wait for a slot.
  int m_Regions = 1;        // With callers.
};

// Share of each pool's objects that run away from home.
class SpillTable {
public:
  explicit SpillTable(SpillLimits Limits = {}) : m_Limits(Limits) {}

  // Takes the present loads and moves the share by at most one step. Slots that
  // come or go at home move it at once.
  void update(int Pool, const SpillLoad &Load, Time Now);
  // Draws the share towards what a neighbour of the region uses.
  void blendNeighbour(int Pool, double NeighbourShare);
  // Takes the share that processes of the region used before all of them were
  // started again.
  void restore(int Pool, double KeptShare, Time Now);
  double share(int Pool) const;

private:
  struct Row {
    bool m_HasTraffic = false; // Work has been seen.
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
