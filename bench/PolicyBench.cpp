// rhubarb-bench: the decisions under load, measured against baselines in the
// same run, in virtual time with fixed seeds. Prints one table; exits 1 when a
// figure misses its target.
#include "bench/CostBench.h"
#include "bench/FleetModel.h"

#include <cstring>
#include <fstream>
#include <iomanip>
#include <iostream>

namespace rhubarb::bench {
namespace {

constexpr Time Warm = 5s;
constexpr Time End = 15s;
constexpr Time Stop = 20s;
constexpr std::uint64_t Seeds = 3;

// One line of the table.
struct Row {
  std::string m_Name;
  std::string m_Target;
  double m_Figure = 0;
  std::string m_Baseline; // Of the best baseline; empty: none.
  bool m_Pass = false;
};

class Table {
public:
  void atLeast(const std::string &Name, double Figure, double Bound,
               const std::string &Baseline = {}) {
    constexpr double Rounding = 1e-9; // Of sums of floating-point numbers.
    add(Name, ">= ", Figure, Bound, Figure >= Bound - Rounding, Baseline);
  }
  void atMost(const std::string &Name, double Figure, double Bound,
              const std::string &Baseline = {}) {
    add(Name, "<= ", Figure, Bound, Figure <= Bound, Baseline);
  }

  bool print() const {
    bool AllPass = true;
    std::cout << std::left << std::setw(58) << "measure" << std::setw(12)
              << "target" << std::setw(12) << "figure" << std::setw(26)
              << "baseline"
              << "verdict\n";
    for (const Row &Each : m_Rows) {
      AllPass = AllPass && Each.m_Pass;
      std::cout << std::left << std::setw(58) << Each.m_Name << std::setw(12)
                << Each.m_Target << std::setw(12) << Each.m_Figure
                << std::setw(26) << Each.m_Baseline
                << (Each.m_Pass ? "pass" : "FAIL") << "\n";
    }
    return AllPass;
  }

  void writeJson(const std::string &File) const {
    std::ofstream Stream(File);
    Stream << "[\n";
    for (std::size_t I = 0; I < m_Rows.size(); ++I)
      Stream << "  {\"measure\": \"" << m_Rows[I].m_Name << "\", \"target\": \""
             << m_Rows[I].m_Target << "\", \"figure\": " << m_Rows[I].m_Figure
             << ", \"baseline\": \"" << m_Rows[I].m_Baseline
             << "\", \"pass\": " << (m_Rows[I].m_Pass ? "true" : "false") << "}"
             << (I + 1 < m_Rows.size() ? "," : "") << "\n";
    Stream << "]\n";
  }

private:
  void add(const std::string &Name, const char *Sign, double Figure,
           double Bound, bool Pass, const std::string &Baseline) {
    std::ostringstream Target;
    Target << Sign << Bound;
    m_Rows.push_back({Name, Target.str(), Figure, Baseline, Pass});
  }

  std::vector<Row> m_Rows;
};

struct FloodCase {
  const char *m_Name;
  std::array<double, PriorityCount> m_Flood;
};

const FloodCase Floods[] = {{"flood of batch", {0, 0, 10}},
                            {"flood of urgent", {10, 0, 0}},
                            {"flood of both", {10, 0, 10}}};

FleetResult floodRun(const Deployment &Fleet, Policy Used,
                     const std::array<double, PriorityCount> &Flood,
                     std::uint64_t Seed) {
  Disturbance What;
  What.m_Flood = Flood;
  What.m_From = 3s;
  What.m_To = End;
  return runFleet(Fleet, Used, What, Warm, End, Stop, Seed);
}

std::string figureText(const char *Name, double Value) {
  std::ostringstream Text;
  Text << Name << " " << std::setprecision(3) << Value;
  return Text.str();
}

// Slot time that a rank is owed: in each region its floor of the region's
// slots, or all that it offers there when that is less. Servers do not divide
// evenly, and a rank may not be allowed to leave its region.
double owedSlotSeconds(const Deployment &Fleet, const WorkClass &Work,
                       const FleetResult &Result, const RankResult &Row) {
  int Domains = Fleet.m_Regions * Fleet.m_DomainsPerRegion;
  std::vector<double> Share(static_cast<std::size_t>(Fleet.m_Regions), 0);
  for (int S = 0; S < Fleet.m_Servers; ++S)
    Share[static_cast<std::size_t>(S % Domains / Fleet.m_DomainsPerRegion)] +=
        1.0 / Fleet.m_Servers;
  double Owed = 0;
  for (double Each : Share)
    Owed += std::min(Work.m_Floor * Each * Result.m_CapacitySlotSeconds,
                     Row.m_OfferedSlotSeconds / Fleet.m_Regions);
  return Owed;
}

void measureFlood(Table &Out, const Deployment &Fleet, const FloodCase &Case) {
  double UrgentKept = 1;
  double LatencyRatio = 0;
  double Goodput = 1;
  double Overloads = 0;
  std::array<double, PriorityCount> FloorKept{1, 1, 1};
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    FleetResult Calm = floodRun(Fleet, Policy::Rhubarb, {}, Seed);
    FleetResult Flooded = floodRun(Fleet, Policy::Rhubarb, Case.m_Flood, Seed);
    UrgentKept = std::min(UrgentKept, Flooded.m_Ranks[0].goodShare() /
                                          Calm.m_Ranks[0].goodShare());
    LatencyRatio =
        std::max(LatencyRatio, Flooded.m_Ranks[0].percentileMs(0.99) /
                                   Calm.m_Ranks[0].percentileMs(0.99));
    Goodput = std::min(Goodput, Flooded.goodputShare());
    Overloads += static_cast<double>(Flooded.m_Overloads);
    for (std::size_t R = 1; R < PriorityCount; ++R) {
      const WorkClass &Work = Fleet.m_Classes[R];
      double Owed = owedSlotSeconds(Fleet, Work, Flooded, Flooded.m_Ranks[R]);
      FloorKept[R] =
          std::min(FloorKept[R], Flooded.m_Ranks[R].m_GoodSlotSeconds / Owed);
    }
  }
  FleetResult Plain = floodRun(Fleet, Policy::FifoRandom, Case.m_Flood, 1);
  FleetResult Least = floodRun(Fleet, Policy::LeastReported, Case.m_Flood, 1);
  FleetResult Turns = floodRun(Fleet, Policy::RoundRobin, Case.m_Flood, 1);
  double BestGoodput = std::max(
      {Plain.goodputShare(), Least.goodputShare(), Turns.goodputShare()});
  double BestUrgent =
      std::max({Plain.m_Ranks[0].goodShare(), Least.m_Ranks[0].goodShare(),
                Turns.m_Ranks[0].goodShare()});
  std::string Prefix = Fleet.m_Name + ", " + Case.m_Name + ": ";
  if (Case.m_Flood[0] == 0) {
    Out.atLeast(Prefix + "urgent goodput kept", UrgentKept, 0.99,
                figureText("best", BestUrgent));
    Out.atMost(Prefix + "urgent p99 over undisturbed", LatencyRatio, 1.5);
  } else {
    for (std::size_t R = 1; R < PriorityCount; ++R)
      if (Case.m_Flood[R] == 0)
        Out.atLeast(Prefix +
                        std::string(priorityName(static_cast<Priority>(R))) +
                        " over its floor",
                    FloorKept[R], 1.0,
                    figureText("fifo", Plain.m_Ranks[R].goodShare()));
    if (Case.m_Flood[2] > 0)
      Out.atLeast(Prefix + "batch over its floor", FloorKept[2], 1.0);
  }
  Out.atLeast(Prefix + "goodput over capacity", Goodput, 0.95,
              figureText("best", BestGoodput));
  Out.atMost(Prefix + "overloaded servers", Overloads, 0);
}

// A region dies and returns; messages are lost; servers are cold.
void measureRegionLoss(Table &Out, const Deployment &Fleet) {
  double Overloads = 0;
  double Kept = 1;
  double Amplification = 0;
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    Disturbance What;
    What.m_DeadRegion = static_cast<int>(Seed % 3);
    What.m_From = 6s;
    What.m_To = 14s;
    What.m_LossPercent = 20;
    What.m_ColdServers = Seed % 2 == 0;
    What.m_ArrivalSkew = Seed % 4 == 0 ? 0.5 : 0;
    FleetResult Result =
        runFleet(Fleet, Policy::Rhubarb, What, 8s, 14s, 20s, Seed);
    Overloads += static_cast<double>(Result.m_Overloads);
    Kept = std::min(Kept, Result.m_Ranks[0].goodShare());
    Amplification =
        std::max(Amplification, static_cast<double>(Result.m_ServerCalls) /
                                    static_cast<double>(Result.m_FirstTries));
  }
  std::string Prefix = Fleet.m_Name + ", a region lost, 20% loss: ";
  Out.atMost(Prefix + "overloaded servers", Overloads, 0);
  Out.atLeast(Prefix + "urgent answered", Kept, 0.99);
  Out.atMost(Prefix + "calls over first tries", Amplification, 1.1);
}

// Half of the servers answer nothing for a minute.
void measureMinuteFault(Table &Out, const Deployment &Fleet) {
  Disturbance What;
  What.m_SickServers = 0.5;
  What.m_From = 10s;
  What.m_To = 70s;
  auto Run = [&](Policy Used) {
    return runFleet(Fleet, Used, What, 10s, 70s, 100s, 1);
  };
  FleetResult Result = Run(Policy::Rhubarb);
  FleetResult Plain = Run(Policy::FifoRandom);
  auto Amplification = [](const FleetResult &R) {
    return static_cast<double>(R.m_ServerCalls) /
           static_cast<double>(R.m_FirstTries);
  };
  auto Seconds = [](const FleetResult &R) {
    return R.m_BackToNormal == Duration::max()
               ? 1e9
               : static_cast<double>(R.m_BackToNormal.count()) / 1e6;
  };
  std::string Prefix = Fleet.m_Name + ", half sick for a minute: ";
  Out.atMost(Prefix + "calls over first tries", Amplification(Result), 1.1,
             figureText("fifo", Amplification(Plain)));
  Out.atMost(Prefix + "seconds to normal goodput after", Seconds(Result), 12,
             figureText("fifo", Seconds(Plain)));
}

int run(int Argc, char **Argv) {
  Table Out;
  bool Cost = true;
  bool Policies = true;
  std::string JsonFile;
  for (int I = 1; I < Argc; ++I) {
    if (std::strcmp(Argv[I], "--policy") == 0)
      Cost = false;
    else if (std::strcmp(Argv[I], "--cost") == 0)
      Policies = false;
    else
      JsonFile = Argv[I];
  }
  if (Policies)
    for (const Deployment &Fleet : {drevorez(), kartograf()}) {
      for (const FloodCase &Case : Floods)
        measureFlood(Out, Fleet, Case);
      measureRegionLoss(Out, Fleet);
      measureMinuteFault(Out, Fleet);
    }
  if (Cost)
    for (const CostFigure &Figure : measureCosts()) {
      if (Figure.m_AtLeast)
        Out.atLeast(Figure.m_Name, Figure.m_Value, Figure.m_Bound);
      else
        Out.atMost(Figure.m_Name, Figure.m_Value, Figure.m_Bound);
    }
  bool AllPass = Out.print();
  if (!JsonFile.empty())
    Out.writeJson(JsonFile);
  return AllPass ? 0 : 1;
}

} // namespace
} // namespace rhubarb::bench

int main(int Argc, char **Argv) { return rhubarb::bench::run(Argc, Argv); }
