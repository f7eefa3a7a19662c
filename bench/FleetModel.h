// A model of the whole fleet in virtual time: failure domains with entry
// processes and backend servers, distances, lags and losses. The decisions are
// the library's own; baselines stand beside them. Same seed, same result.
#pragma once

#include "bench/VirtualTime.h"
#include "rhubarb/Grants.h"
#include "rhubarb/Queue.h"
#include "rhubarb/Retry.h"
#include "rhubarb/Servers.h"

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rhubarb::bench {

// How requests find a backend server.
enum class Policy : std::uint8_t {
  Rhubarb,       // The library.
  FifoRandom,    // Any server of the own domain; first in, first out there.
  RoundRobin,    // The servers of the own domain in turn.
  LeastReported, // The least reported load of the own domain; reports lag.
};
const char *policyName(Policy Value);

// A class of work on the pool.
struct WorkClass {
  Priority m_Priority = Priority::Normal;
  Reach m_Reach = Reach::Global;
  double m_FloorShare = 0;
  double m_OfferedLoad =
      0; // Offered slot time over the fleet's slots, undisturbed.
  Duration m_ServiceTime{0}; // Mean; drawn from 0.5 to 1.5 of it.
  Duration m_Deadline{0};    // From arrival to whole answer.
};

// Sizes, distances and classes of a deployment.
struct Deployment {
  std::string m_Name;
  int m_Regions = 3;
  int m_DomainsPerRegion = 2;
  int m_EntriesPerDomain =
      2;             // In the first domain of a region; others one less.
  int m_Servers = 0; // In all.
  int m_Slots = 0;   // Of each.
  Duration m_IntraDomainDelay{0}; // One way.
  Duration m_InterDomainDelay{0};
  Duration m_InterRegionDelay{0};
  std::vector<WorkClass> m_Classes;
};

// The two users of the brief, with all three ranks on their larger pool.
Deployment drevorez();
Deployment kartograf();

// What happens to an undisturbed fleet.
struct Disturbance {
  std::array<double, PriorityCount>
      m_FloodLoad{}; // Offered by a rank, over capacity.
  Time m_From{0};
  Time m_To{0};
  int m_FailedRegion = -1; // Its entry processes and servers die, then return.
  double m_UnresponsiveShare =
      0;                        // Share of servers that answer nothing in time.
  int m_MessageLossPercent = 0; // Of messages between entry processes.
  bool m_ColdServers = false;   // Servers take threefold for 2 s after a start.
  double m_ArrivalSkew = 0; // Extra share of all work that arrives in domain 0.
};

// What became of the requests of one rank.
struct PriorityResult {
  std::int64_t m_Offered = 0; // First tries that arrived in the window.
  std::int64_t m_InTime = 0;  // Answered whole within the deadline.
  std::int64_t m_Refused = 0;
  std::int64_t m_Late = 0;         // Answered after the deadline, or given up.
  double m_SlotSeconds = 0;        // Of good answers that ended in the window.
  double m_OfferedSlotSeconds = 0; // Of first tries that arrived in the window.
  double m_InTimeSlotSeconds = 0;  // Of these, answered within the deadline.
  std::vector<float> m_LatencyMs;

  double inTimeShare() const;
  double percentileMs(double Share) const;
};

// What a run of the model counted.
struct FleetResult {
  std::array<PriorityResult, PriorityCount>
      m_ByPriority;                 // Of the measured window.
  double m_CapacitySlotSeconds = 0; // Of the window.
  std::int64_t m_Overloads = 0;     // A server held more than its slots.
  std::int64_t m_FirstTries = 0;
  std::int64_t m_ServerCalls = 0;
  std::int64_t m_Forwarded = 0;
  Duration m_RecoveryTime{0}; // After the disturbance, until goodput is back.

  double goodputShare() const; // Slot time of good answers over capacity.
};

// Runs the model for Length and measures the window [From, To).
FleetResult runFleet(const Deployment &Fleet, Policy SelectedPolicy,
                     const Disturbance &Injected, Time From, Time To,
                     Time Length, std::uint64_t Seed);

} // namespace rhubarb::bench
