// rhubarb-bench: measures the steering policy under load against baselines in
// the same run, in virtual time with fixed seeds, and the CPU and memory cost
// of the components. Prints one table; exits with 1 if a figure misses its
// target.
#include "bench/CostBench.h"
#include "bench/FleetModel.h"

#include <cstring>
#include <fstream>
#include <iomanip>
#include <iostream>

namespace rhubarb::bench {
namespace {

constexpr Time WindowStart = 5s;
constexpr Time WindowEnd = 15s;
constexpr Time RunLength = 20s;
constexpr std::uint64_t SeedCount = 3;

// A row of the result table.
struct Row {
  std::string m_Name;
  std::string m_Target;
  double m_Value = 0;
  // Name and figure of the baseline; empty if there is none.
  std::string m_Baseline;
  bool m_Passed = false;
};

class Table {
public:
  void atLeast(const std::string &Name, double Value, double Bound,
               const std::string &Baseline = {}) {
    // Tolerance for the rounding error of floating-point sums.
    constexpr double Rounding = 1e-9;
    add(Name, ">= ", Value, Bound, Value >= Bound - Rounding, Baseline);
  }
  void atMost(const std::string &Name, double Value, double Bound,
              const std::string &Baseline = {}) {
    add(Name, "<= ", Value, Bound, Value <= Bound, Baseline);
  }

  bool print() const {
    bool AllPassed = true;
    std::cout << std::left << std::setw(58) << "measure" << std::setw(12)
              << "target" << std::setw(12) << "figure" << std::setw(26)
              << "baseline"
              << "verdict\n";
    for (const Row &Each : m_Rows) {
      AllPassed = AllPassed && Each.m_Passed;
      std::cout << std::left << std::setw(58) << Each.m_Name << std::setw(12)
                << Each.m_Target << std::setw(12) << Each.m_Value
                << std::setw(26) << Each.m_Baseline
                << (Each.m_Passed ? "pass" : "FAIL") << "\n";
    }
    return AllPassed;
  }

  void writeJson(const std::string &File) const {
    std::ofstream Stream(File);
    Stream << "[\n";
    for (std::size_t I = 0; I < m_Rows.size(); ++I)
      Stream << "  {\"measure\": \"" << m_Rows[I].m_Name << "\", \"target\": \""
             << m_Rows[I].m_Target << "\", \"figure\": " << m_Rows[I].m_Value
             << ", \"baseline\": \"" << m_Rows[I].m_Baseline
             << "\", \"pass\": " << (m_Rows[I].m_Passed ? "true" : "false")
             << "}" << (I + 1 < m_Rows.size() ? "," : "") << "\n";
    Stream << "]\n";
  }

private:
  void add(const std::string &Name, const char *Comparison, double Value,
           double Bound, bool Passed, const std::string &Baseline) {
    std::ostringstream Target;
    Target << Comparison << Bound;
    m_Rows.push_back({Name, Target.str(), Value, Baseline, Passed});
  }

  std::vector<Row> m_Rows;
};

struct FloodCase {
  const char *m_Name;
  std::array<double, PriorityCount> m_FloodLoad;
};

const FloodCase Floods[] = {{"flood of batch", {0, 0, 10}},
                            {"flood of urgent", {10, 0, 0}},
                            {"flood of both", {10, 0, 10}}};

FleetResult runFlood(const Deployment &Fleet, Policy SelectedPolicy,
                     const std::array<double, PriorityCount> &Flood,
                     std::uint64_t Seed) {
  Disturbance Injected;
  Injected.m_FloodLoad = Flood;
  Injected.m_From = 3s;
  Injected.m_To = WindowEnd;
  return runFleet(Fleet, SelectedPolicy, Injected, WindowStart, WindowEnd,
                  RunLength, Seed);
}

std::string formatBaseline(const char *Name, double Value) {
  std::ostringstream Text;
  Text << Name << " " << std::setprecision(3) << Value;
  return Text.str();
}

// Returns the slot time that a class is guaranteed: in each region its floor
// share of the region's slots, or the load that it offers there if that is
// less. The sum is by region because the servers don't divide evenly among
// regions and a class may not be allowed to leave its region.
double guaranteedSlotSeconds(const Deployment &Fleet, const WorkClass &Work,
                             const FleetResult &Result,
                             const PriorityResult &Row) {
  int Domains = Fleet.m_Regions * Fleet.m_DomainsPerRegion;
  std::vector<double> RegionShare(static_cast<std::size_t>(Fleet.m_Regions), 0);
  for (int S = 0; S < Fleet.m_Servers; ++S)
    RegionShare[static_cast<std::size_t>(
        S % Domains / Fleet.m_DomainsPerRegion)] += 1.0 / Fleet.m_Servers;
  double Guaranteed = 0;
  for (double Each : RegionShare)
    Guaranteed +=
        std::min(Work.m_FloorShare * Each * Result.m_CapacitySlotSeconds,
                 Row.m_OfferedSlotSeconds / Fleet.m_Regions);
  return Guaranteed;
}

void measureFlood(Table &Results, const Deployment &Fleet,
                  const FloodCase &Case) {
  double UrgentRatio = 1;
  double LatencyRatio = 0;
  double Goodput = 1;
  double Overloads = 0;
  std::array<double, PriorityCount> FloorRatio{1, 1, 1};
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    FleetResult Undisturbed = runFlood(Fleet, Policy::Rhubarb, {}, Seed);
    FleetResult Flooded =
        runFlood(Fleet, Policy::Rhubarb, Case.m_FloodLoad, Seed);
    UrgentRatio =
        std::min(UrgentRatio, Flooded.m_ByPriority[0].inTimeShare() /
                                  Undisturbed.m_ByPriority[0].inTimeShare());
    LatencyRatio = std::max(LatencyRatio,
                            Flooded.m_ByPriority[0].percentileMs(0.99) /
                                Undisturbed.m_ByPriority[0].percentileMs(0.99));
    Goodput = std::min(Goodput, Flooded.goodputShare());
    Overloads += static_cast<double>(Flooded.m_Overloads);
    for (std::size_t R = 1; R < PriorityCount; ++R) {
      const WorkClass &Work = Fleet.m_Classes[R];
      double Guaranteed =
          guaranteedSlotSeconds(Fleet, Work, Flooded, Flooded.m_ByPriority[R]);
      FloorRatio[R] =
          std::min(FloorRatio[R],
                   Flooded.m_ByPriority[R].m_InTimeSlotSeconds / Guaranteed);
    }
  }
  FleetResult FifoRandom =
      runFlood(Fleet, Policy::FifoRandom, Case.m_FloodLoad, 1);
  FleetResult LeastReported =
      runFlood(Fleet, Policy::LeastReported, Case.m_FloodLoad, 1);
  FleetResult RoundRobin =
      runFlood(Fleet, Policy::RoundRobin, Case.m_FloodLoad, 1);
  double BestGoodput =
      std::max({FifoRandom.goodputShare(), LeastReported.goodputShare(),
                RoundRobin.goodputShare()});
  double BestUrgent = std::max({FifoRandom.m_ByPriority[0].inTimeShare(),
                                LeastReported.m_ByPriority[0].inTimeShare(),
                                RoundRobin.m_ByPriority[0].inTimeShare()});
  std::string Prefix = Fleet.m_Name + ", " + Case.m_Name + ": ";
  if (Case.m_FloodLoad[0] == 0) {
    Results.atLeast(Prefix + "urgent goodput kept", UrgentRatio, 0.99,
                    formatBaseline("best", BestUrgent));
    Results.atMost(Prefix + "urgent p99 over undisturbed", LatencyRatio, 1.5);
  } else {
    for (std::size_t R = 1; R < PriorityCount; ++R)
      if (Case.m_FloodLoad[R] == 0)
        Results.atLeast(
            Prefix + std::string(priorityName(static_cast<Priority>(R))) +
                " over its floor",
            FloorRatio[R], 1.0,
            formatBaseline("fifo", FifoRandom.m_ByPriority[R].inTimeShare()));
    if (Case.m_FloodLoad[2] > 0)
      Results.atLeast(Prefix + "batch over its floor", FloorRatio[2], 1.0);
  }
  Results.atLeast(Prefix + "goodput over capacity", Goodput, 0.95,
                  formatBaseline("best", BestGoodput));
  Results.atMost(Prefix + "overloaded servers", Overloads, 0);
}

// Measures the failure and return of a region with 20% message loss, and in
// some of the runs with cold servers and skewed arrivals.
void measureRegionLoss(Table &Results, const Deployment &Fleet) {
  double Overloads = 0;
  double InTimeShare = 1;
  double Amplification = 0;
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    Disturbance Injected;
    Injected.m_FailedRegion = static_cast<int>(Seed % 3);
    Injected.m_From = 6s;
    Injected.m_To = 14s;
    Injected.m_MessageLossPercent = 20;
    Injected.m_ColdServers = Seed % 2 == 0;
    Injected.m_ArrivalSkew = Seed % 4 == 0 ? 0.5 : 0;
    FleetResult Result =
        runFleet(Fleet, Policy::Rhubarb, Injected, 8s, 14s, 20s, Seed);
    Overloads += static_cast<double>(Result.m_Overloads);
    InTimeShare = std::min(InTimeShare, Result.m_ByPriority[0].inTimeShare());
    Amplification =
        std::max(Amplification, static_cast<double>(Result.m_ServerCalls) /
                                    static_cast<double>(Result.m_FirstTries));
  }
  std::string Prefix = Fleet.m_Name + ", a region lost, 20% loss: ";
  Results.atMost(Prefix + "overloaded servers", Overloads, 0);
  Results.atLeast(Prefix + "urgent answered", InTimeShare, 0.99);
  Results.atMost(Prefix + "calls over first tries", Amplification, 1.1);
}

// Measures retries and recovery when half of the servers are unresponsive for a
// minute.
void measureUnresponsiveServers(Table &Results, const Deployment &Fleet) {
  Disturbance Injected;
  Injected.m_UnresponsiveShare = 0.5;
  Injected.m_From = 10s;
  Injected.m_To = 70s;
  auto Run = [&](Policy SelectedPolicy) {
    return runFleet(Fleet, SelectedPolicy, Injected, 10s, 70s, 100s, 1);
  };
  FleetResult Result = Run(Policy::Rhubarb);
  FleetResult FifoRandom = Run(Policy::FifoRandom);
  auto Amplification = [](const FleetResult &R) {
    return static_cast<double>(R.m_ServerCalls) /
           static_cast<double>(R.m_FirstTries);
  };
  auto Seconds = [](const FleetResult &R) {
    return R.m_RecoveryTime == Duration::max()
               ? 1e9
               : static_cast<double>(R.m_RecoveryTime.count()) / 1e6;
  };
  std::string Prefix = Fleet.m_Name + ", half sick for a minute: ";
  Results.atMost(Prefix + "calls over first tries", Amplification(Result), 1.1,
                 formatBaseline("fifo", Amplification(FifoRandom)));
  Results.atMost(Prefix + "seconds to normal goodput after", Seconds(Result),
                 12, formatBaseline("fifo", Seconds(FifoRandom)));
}

int run(int Argc, char **Argv) {
  Table Results;
  bool RunCosts = true;
  bool RunPolicies = true;
  std::string JsonFile;
  for (int I = 1; I < Argc; ++I) {
    if (std::strcmp(Argv[I], "--policy") == 0)
      RunCosts = false;
    else if (std::strcmp(Argv[I], "--cost") == 0)
      RunPolicies = false;
    else
      JsonFile = Argv[I];
  }
  if (RunPolicies)
    for (const Deployment &Fleet : {drevorez(), kartograf()}) {
      for (const FloodCase &Case : Floods)
        measureFlood(Results, Fleet, Case);
      measureRegionLoss(Results, Fleet);
      measureUnresponsiveServers(Results, Fleet);
    }
  if (RunCosts)
    for (const CostFigure &Value : measureCosts()) {
      if (Value.m_IsLowerBound)
        Results.atLeast(Value.m_Name, Value.m_Value, Value.m_Bound);
      else
        Results.atMost(Value.m_Name, Value.m_Value, Value.m_Bound);
    }
  bool AllPassed = Results.print();
  if (!JsonFile.empty())
    Results.writeJson(JsonFile);
  return AllPassed ? 0 : 1;
}

} // namespace
} // namespace rhubarb::bench

int main(int Argc, char **Argv) { return rhubarb::bench::run(Argc, Argv); }
