// Simulates a whole fleet in virtual time: failure domains with entry processes
// and backend servers, network delays, outdated reports and lost messages. The
// decisions are made by the library's code, or by a baseline policy for
// comparison. Runs with the same seed give the same result.
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

// How a backend server is chosen for a request.
enum class Policy : std::uint8_t {
  // The library's queue, server table and grants.
  Rhubarb,
  // A random server of the entry process's domain. The server queues requests
  // first in, first out, as it does with the other baselines.
  FifoRandom,
  // The servers of the entry process's domain in turn.
  RoundRobin,
  // The server with the lowest reported load in the entry process's domain.
  // Reports are up to one report interval old.
  LeastReported,
};
const char *policyName(Policy Value);

// Requests to the pool that share a priority, a reach and a deadline.
struct WorkClass {
  Priority m_Priority = Priority::Normal;
  Reach m_Reach = Reach::Global;
  double m_FloorShare = 0;
  // Offered load without a disturbance, as a share of the fleet's slots.
  double m_OfferedLoad = 0;
  // Mean service time. Each request's own is uniform from 0.5 to 1.5 times it.
  Duration m_ServiceTime{0};
  // Time limit from a request's arrival to the end of its response.
  Duration m_Deadline{0};
};

// Size, network delays and request classes of a deployment.
struct Deployment {
  std::string m_Name;
  int m_Regions = 3;
  int m_DomainsPerRegion = 2;
  // Entry processes in the first domain of each region. The region's other
  // domains have one less.
  int m_EntriesPerDomain = 2;
  // Number of backend servers in the whole fleet.
  int m_Servers = 0;
  // Number of slots of each backend server.
  int m_Slots = 0;
  // The delays are one way, before jitter.
  Duration m_IntraDomainDelay{0};
  Duration m_InterDomainDelay{0};
  Duration m_InterRegionDelay{0};
  std::vector<WorkClass> m_Classes;
};

// The two organisations that use the system, each with its larger pool and
// requests of all three priorities.
Deployment drevorez();
Deployment kartograf();

// The faults and extra load of a run. They apply from m_From to m_To, except
// for message loss, which lasts for the whole run.
struct Disturbance {
  // Offered load of each priority as a multiple of the fleet's capacity. 0
  // leaves the load of the class as it is.
  std::array<double, PriorityCount> m_FloodLoad{};
  Time m_From{0};
  Time m_To{0};
  // Region whose entry processes and servers stop, and restart at the end. -1
  // means none.
  int m_FailedRegion = -1;
  // Share of the servers that send no response before the deadline.
  double m_UnresponsiveShare = 0;
  // Percentage of summaries and grant messages between entry processes that are
  // lost. Forwarded requests are never lost.
  int m_MessageLossPercent = 0;
  // Whether all servers count as just started at both the start and the end of
  // the disturbance. A server takes three times as long for 2 s after a start.
  bool m_ColdServers = false;
  // Share of the load that arrives in domain 0. The rest is spread evenly over
  // all domains, which include domain 0.
  double m_ArrivalSkew = 0;
};

// Outcomes of the requests of one priority.
struct PriorityResult {
  // Number of requests that arrived in the measured window, without retries.
  std::int64_t m_Offered = 0;
  // How many of the offered requests got a whole response within the deadline.
  std::int64_t m_InTime = 0;
  std::int64_t m_Refused = 0;
  // How many of the offered requests got their response after the deadline, or
  // were given up.
  std::int64_t m_Late = 0;
  // Service time of responses that ended within the window and the deadline,
  // whenever their requests arrived.
  double m_SlotSeconds = 0;
  // Service time of all offered requests.
  double m_OfferedSlotSeconds = 0;
  // Service time of the offered requests with a response within the deadline.
  double m_InTimeSlotSeconds = 0;
  std::vector<float> m_LatencyMs;

  double inTimeShare() const;
  double percentileMs(double Share) const;
};

// Results of a run of the model.
struct FleetResult {
  // Outcomes by priority in the measured window.
  std::array<PriorityResult, PriorityCount> m_ByPriority;
  // Slot time that the whole fleet has in the measured window.
  double m_CapacitySlotSeconds = 0;
  // How often a request started on a server whose slots were all in use.
  std::int64_t m_Overloads = 0;
  std::int64_t m_FirstTries = 0;
  std::int64_t m_ServerCalls = 0;
  std::int64_t m_Forwarded = 0;
  // Time from the end of the disturbance until goodput is back to normal;
  // Duration::max() if it never was, and 0 if the run has too little time
  // before or after the disturbance to measure it.
  Duration m_RecoveryTime{0};

  // Slot time of the responses within the deadline, as a share of the capacity.
  double goodputShare() const;
};

// Runs the model for Length of virtual time and measures the window [From, To).
FleetResult runFleet(const Deployment &Fleet, Policy SelectedPolicy,
                     const Disturbance &Injected, Time From, Time To,
                     Time Length, std::uint64_t Seed);

} // namespace rhubarb::bench
