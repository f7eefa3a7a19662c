// Which VM gets a request that this VM cannot bring to a server, and when this
// VM takes itself for cut off.
#include "rhubarb/Detours.h"
#include "rhubarb/Fleet.h"

#include <doctest/doctest.h>

using namespace rhubarb;

namespace {

constexpr int Pool = 0;
const DetourScope Any{Pool, {}};
const DetourScope AnyOfOther{Pool + 1, {}};

const std::vector<DetourVm> Vms{
    {"a-1", "a"}, {"a-2", "a"}, {"b-1", "b"}, {"b-2", "b"}};

BackendInfo server(const std::string &Id, int PoolIndex = Pool) {
  BackendInfo Info;
  Info.m_Id = Id;
  Info.m_Address = Id + ":80";
  Info.m_Region = "a";
  Info.m_Slots = 4;
  Info.m_Pool = PoolIndex;
  return Info;
}

} // namespace

TEST_SUITE("detours") {
  TEST_CASE("VMs of the own region come first, then those of others") {
    struct Row {
      const char *m_Name;
      std::vector<std::string> m_CannotReach;
      double m_MinNear; // Share of the detours that stay in the region.
      double m_MaxNear;
    };
    const Row Rows[] = {
        {"all reach the servers", {}, 1, 1},
        {"one of the region does not", {"a-1"}, 0.4, 0.6},
        {"none of the region does", {"a-1", "a-2"}, 0, 0},
        {"only the region does", {"b-1", "b-2"}, 1, 1},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      DetourTable Table("a", 1);
      for (const std::string &Vm : Case.m_CannotReach)
        Table.record(Any, Vm, DetourOutcome::CannotReach, 1s);
      constexpr int Count = 1000;
      int Near = 0;
      for (int I = 0; I < Count; ++I) {
        std::string Vm = Table.choose(Any, Vms, 1500ms);
        CHECK(std::find(Case.m_CannotReach.begin(), Case.m_CannotReach.end(),
                        Vm) == Case.m_CannotReach.end());
        Near += Vm.starts_with("a") ? 1 : 0;
      }
      CHECK(Near >= Case.m_MinNear * Count);
      CHECK(Near <= Case.m_MaxNear * Count);
    }
  }

  TEST_CASE("a VM that could not help is asked again, for each pool apart") {
    const std::vector<DetourVm> One{{"a-1", "a"}};
    for (DetourOutcome Outcome :
         {DetourOutcome::CannotReach, DetourOutcome::Declined,
          DetourOutcome::Broken}) {
      DetourTable Table("a", 1);
      Table.record(Any, "a-1", Outcome, 1s);
      CHECK(Table.choose(Any, One, 1s).empty());
      CHECK(Table.choose(AnyOfOther, One, 1s) == "a-1");
      CHECK(Table.choose(Any, One, 3s) == "a-1");
    }
  }

  // Guards against a VM, or all VMs, that get no requests because one was
  // refused that may run in few regions.
  TEST_CASE("a refusal holds for requests that may run nowhere else") {
    struct Row {
      const char *m_Name;
      std::vector<std::string> m_Refused; // Regions; empty: every region.
      std::vector<std::string> m_Next;    // Of the next request.
      bool m_Avoided;
    };
    const Row Rows[] = {
        {"no restriction", {}, {}, true},
        {"any region includes one", {}, {"a"}, true},
        {"the same region", {"a"}, {"a"}, true},
        {"one of two", {"a", "b"}, {"b"}, true},
        {"two in another order", {"a", "b"}, {"b", "a"}, true},
        {"every region", {"a"}, {}, false},
        {"another region", {"a"}, {"b"}, false},
        {"one more region", {"a"}, {"a", "b"}, false},
        {"a request that may run nowhere", {""}, {"a"}, false},
    };
    const std::vector<DetourVm> One{{"a-1", "a"}};
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      DetourTable Table("a", 1);
      DetourScope Refused{Pool, Case.m_Refused};
      Table.record(Refused, "a-1", DetourOutcome::CannotReach, 1s);
      Table.recordNone(Refused, 1s);
      DetourScope Next{Pool, Case.m_Next};
      CHECK(Table.choose(Next, One, 1s).empty() == Case.m_Avoided);
      CHECK(Table.mayHelp(Next, 1s) == !Case.m_Avoided);
      CHECK(Table.choose({Pool + 1, Case.m_Next}, One, 1s) == "a-1");
    }
  }

  TEST_CASE("after a detour that found no VM there is a pause") {
    DetourTable Table("a", 1);
    CHECK(Table.mayHelp(Any, 1s));
    Table.recordNone(Any, 1s);
    CHECK_FALSE(Table.mayHelp(Any, 1100ms));
    CHECK(Table.mayHelp(AnyOfOther, 1100ms));
    CHECK(Table.mayHelp(Any, 2s));
  }

  TEST_CASE("a VM is cut off if servers give no response and none does") {
    struct Row {
      const char *m_Name;
      int m_Servers;
      std::vector<std::pair<int, AttemptOutcome>> m_Ends; // Server, outcome.
      bool m_CutOff;
    };
    using enum AttemptOutcome;
    const Row Rows[] = {
        {"nothing was sent", 5, {}, false},
        {"two servers", 5, {{0, Unreachable}, {1, Unreachable}}, false},
        {"three servers",
         5,
         {{0, Unreachable}, {1, Unreachable}, {2, Unreachable}},
         true},
        {"silent servers", 5, {{0, Silent}, {1, Silent}, {2, Silent}}, true},
        {"one server again and again",
         5,
         {{0, Unreachable}, {0, Unreachable}, {0, Unreachable}},
         false},
        {"all of two servers", 2, {{0, Unreachable}, {1, Unreachable}}, true},
        {"a response between",
         5,
         {{0, Unreachable}, {1, Unreachable}, {3, Served}, {2, Unreachable}},
         false},
        {"a failure is a response",
         5,
         {{0, Unreachable}, {1, Unreachable}, {2, Unreachable}, {3, Failed}},
         false},
        {"the caller left",
         5,
         {{0, Abandoned}, {1, Abandoned}, {2, Abandoned}},
         false},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      Fleet Servers;
      std::vector<BackendInfo> Listed{server("other", Pool + 1)};
      for (int I = 0; I < Case.m_Servers; ++I)
        Listed.push_back(server("s-" + std::to_string(I)));
      Servers.update(Listed, 1s);
      for (const auto &[Number, Outcome] : Case.m_Ends) {
        ServerIndex Index = Servers.find("s-" + std::to_string(Number));
        Servers.started(Index, 100ms, 2s);
        AttemptReport Report;
        Report.m_Outcome = Outcome;
        Servers.finished(Index, Report, 2s, 3s);
      }
      CHECK(Servers.isCutOff(Pool) == Case.m_CutOff);
      CHECK_FALSE(Servers.isCutOff(Pool + 1));
      if (!Case.m_CutOff)
        continue;
      // Health checks go on, and one that succeeds shows the end of the cut.
      std::vector<ServerIndex> Due = Servers.dueHealthChecks(60s);
      REQUIRE_FALSE(Due.empty());
      Servers.recordHealthCheck(Due.front(), HealthCheckResult::Healthy,
                                Duration{0}, 60s);
      CHECK_FALSE(Servers.isCutOff(Pool));
    }
  }

  TEST_CASE("the share of the servers that cannot be reached") {
    Fleet Servers;
    Servers.update({server("s-0"), server("s-1"), server("s-2")}, 1s);
    CHECK(Servers.unreachableShare(Pool, 2s) == 0);
    for (const char *Id : {"s-0", "s-1"}) {
      ServerIndex Index = Servers.find(Id);
      Servers.started(Index, 100ms, 2s);
      AttemptReport Report;
      Report.m_Outcome = AttemptOutcome::Unreachable;
      Servers.finished(Index, Report, 2s, 2s);
    }
    CHECK(Servers.unreachableShare(Pool, 2s) == doctest::Approx(2.0 / 3));
    CHECK(Servers.unreachableShare(Pool + 1, 2s) == 0);
  }
}
