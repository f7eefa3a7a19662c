// State of shared backend servers: load estimates, health, eligibility and
// spillover.
#include "rhubarb/Fleet.h"
#include "rhubarb/Spill.h"

#include <doctest/doctest.h>

#include <cmath>
#include <functional>
#include <map>

using namespace rhubarb;

namespace {

BackendInfo server(const std::string &Id, int Slots = 9) {
  BackendInfo Entry;
  Entry.m_Id = Id;
  Entry.m_Address = "10.0.0.1:80";
  Entry.m_Domain = "d";
  Entry.m_Region = "r";
  Entry.m_Slots = Slots;
  Entry.m_StartTimeMs = 1;
  return Entry;
}

AttemptReport report(AttemptOutcome Outcome, Duration Took = 100ms,
                     Duration Expected = 100ms) {
  AttemptReport Made;
  Made.m_Outcome = Outcome;
  Made.m_ResponseTime = Took;
  Made.m_ExpectedTime = Expected;
  return Made;
}

} // namespace

TEST_SUITE("fleet") {
  TEST_CASE("a state change is announced once") {
    struct Row {
      const char *m_Name;
      std::function<void(Fleet &, Time)> m_Happens;
      std::vector<ServerEvent> m_Told;
    };
    const Row Rows[] = {
        {"nothing", [](Fleet &, Time) {}, {}},
        {"no connection",
         [](Fleet &Servers, Time Now) {
           Servers.started(0, 100ms, Now);
           Servers.finished(0, report(AttemptOutcome::Unreachable), Now, Now);
         },
         {ServerEvent::Unreachable}},
        {"a health check failed, a later one did not",
         [](Fleet &Servers, Time Now) {
           Servers.recordHealthCheck(0, HealthCheckResult::Bad, 0ms, Now);
           Servers.recordHealthCheck(0, HealthCheckResult::Healthy, 0ms, Now);
         },
         {ServerEvent::Back}},
        {"it responds late",
         [](Fleet &Servers, Time Now) {
           Servers.recordHealthCheck(0, HealthCheckResult::Late, 0ms, Now);
         },
         {}},
        {"replaced, detected twice",
         [](Fleet &Servers, Time Now) {
           Servers.recordHealthCheck(0, HealthCheckResult::Replaced, 0ms, Now);
           Servers.takeServerEvents();
           Servers.recordHealthCheck(0, HealthCheckResult::Replaced, 0ms, Now);
         },
         {}},
        {"it announces its shutdown",
         [](Fleet &Servers, Time Now) {
           Servers.applyServerHints(0, true, 0ms, Now);
         },
         {ServerEvent::Leaving}},
        {"another process announced it before",
         [](Fleet &Servers, Time Now) {
           Servers.applyServerEvent(0, ServerEvent::Leaving, Now);
           Servers.applyServerHints(0, true, 0ms, Now);
         },
         {}},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      Fleet Servers;
      Servers.update({server("a")}, 1s);
      Case.m_Happens(Servers, 5s);
      std::vector<ServerEvent> Told;
      for (const auto &[Index, Kind] : Servers.takeServerEvents())
        Told.push_back(Kind);
      CHECK(Told == Case.m_Told);
      CHECK(Servers.takeServerEvents().empty());
    }
  }

  // A VM is partitioned from all servers, but not from other VMs.
  TEST_CASE("a process that reaches hardly any server announces nothing") {
    Fleet Servers;
    std::vector<BackendInfo> Listed;
    Listed.reserve(100);
    for (int I = 0; I < 100; ++I)
      Listed.push_back(server("s" + std::to_string(I)));
    Servers.update(Listed, 1s);
    std::size_t Told = 0;
    for (ServerIndex I = 0; I < 100; ++I) {
      Servers.started(I, 100ms, 5s);
      Servers.finished(I, report(AttemptOutcome::Unreachable), 5s, 5s);
      Told += Servers.takeServerEvents().size();
    }
    CHECK(Told <= 15);
    // With a third of them unreachable, each one is reported.
    Fleet Others;
    Others.update(Listed, 1s);
    Told = 0;
    for (ServerIndex I = 0; I < 99; ++I) {
      Others.started(I, 100ms, 5s);
      Others.finished(I,
                      report(I % 3 == 0 ? AttemptOutcome::Unreachable
                                        : AttemptOutcome::Served),
                      5s, 5s);
      Told += Others.takeServerEvents().size();
    }
    CHECK(Told == 33);
  }

  TEST_CASE("why a server gets no new requests") {
    struct Row {
      const char *m_Name;
      std::function<void(Fleet &, Time)> m_Happens;
      ExclusionReason m_Expected;
    };
    const Row Rows[] = {
        {"nothing", [](Fleet &, Time) {}, ExclusionReason::None},
        {"it is shutting down",
         [](Fleet &Servers, Time Now) {
           BackendInfo Entry = server("a");
           Entry.m_Leaving = true;
           Servers.update({Entry}, Now);
         },
         ExclusionReason::Leaving},
        {"it is no longer listed",
         [](Fleet &Servers, Time Now) { Servers.update({}, Now); },
         ExclusionReason::NotListed},
        {"its failure domain is evacuated",
         [](Fleet &Servers, Time Now) { Servers.setEvacuated({"d"}, 3s, Now); },
         ExclusionReason::Evacuated},
        {"it cannot be reached",
         [](Fleet &Servers, Time Now) {
           Servers.started(0, 100ms, Now);
           Servers.finished(0, report(AttemptOutcome::Unreachable), Now, Now);
         },
         ExclusionReason::Unreachable},
        {"it announces its shutdown in a response",
         [](Fleet &Servers, Time Now) {
           AttemptReport Made = report(AttemptOutcome::Served);
           Made.m_Leaving = true;
           Servers.started(0, 100ms, Now);
           Servers.finished(0, Made, Now, Now);
           // The registry is not updated yet.
           Servers.update({server("a")}, Now);
         },
         ExclusionReason::Leaving},
        {"it announced its shutdown before a restart",
         [](Fleet &Servers, Time Now) {
           Servers.applyServerHints(0, true, 0ms, Now);
           BackendInfo Next = server("a");
           Next.m_StartTimeMs = 2;
           Servers.update({Next}, Now);
         },
         ExclusionReason::None},
        {"it asks for a pause",
         [](Fleet &Servers, Time Now) {
           AttemptReport Made = report(AttemptOutcome::Refused);
           Made.m_BackoffFor = 700ms;
           Servers.started(0, 100ms, Now);
           Servers.finished(0, Made, Now, Now);
         },
         ExclusionReason::Paused},
        {"it asked for a pause that has ended",
         [](Fleet &Servers, Time Now) {
           Servers.applyServerHints(0, false, 700ms, Now - 700ms);
         },
         ExclusionReason::None},
        {"it asks for a pause above the maximum",
         [](Fleet &Servers, Time Now) {
           Servers.applyServerHints(0, false, 86400s, Now - 61s);
         },
         ExclusionReason::None},
        {"it asks for a shorter pause than before",
         [](Fleet &Servers, Time Now) {
           Servers.applyServerHints(0, false, 3s, Now - 1s);
           Servers.applyServerHints(0, false, 1ms, Now - 500ms);
         },
         ExclusionReason::Paused},
        {"another server has its address",
         [](Fleet &Servers, Time Now) {
           Servers.started(0, 100ms, Now);
           Servers.finished(0, report(AttemptOutcome::Misdirected), Now, Now);
         },
         ExclusionReason::Replaced},
        {"another server answers its health check",
         [](Fleet &Servers, Time Now) {
           Servers.recordHealthCheck(0, HealthCheckResult::Replaced, 0ms,
                                     Now - 100s);
         },
         ExclusionReason::Replaced},
        {"it got another address afterwards",
         [](Fleet &Servers, Time Now) {
           Servers.recordHealthCheck(0, HealthCheckResult::Replaced, 0ms, Now);
           BackendInfo Moved = server("a");
           Moved.m_Address = "10.0.0.2:80";
           Servers.update({Moved}, Now);
         },
         ExclusionReason::None},
        {"another process could not reach it",
         [](Fleet &Servers, Time Now) {
           Servers.applyServerEvent(0, ServerEvent::Unreachable, Now - 1s);
         },
         ExclusionReason::Suspect},
        {"another process could not reach it, but it has just responded here",
         [](Fleet &Servers, Time Now) {
           Servers.started(0, 100ms, Now - 800ms);
           Servers.finished(0, report(AttemptOutcome::Served), Now - 800ms,
                            Now - 700ms);
           Servers.applyServerEvent(0, ServerEvent::Unreachable, Now - 500ms);
         },
         ExclusionReason::None},
        {"another process could not reach it long ago",
         [](Fleet &Servers, Time Now) {
           Servers.applyServerEvent(0, ServerEvent::Unreachable, Now - 6s);
         },
         ExclusionReason::None},
        {"another process reaches it again",
         [](Fleet &Servers, Time Now) {
           Servers.applyServerEvent(0, ServerEvent::Unreachable, Now - 1s);
           Servers.applyServerEvent(0, ServerEvent::Back, Now);
         },
         ExclusionReason::None},
        {"another process could not reach it, but this one does",
         [](Fleet &Servers, Time Now) {
           Servers.started(0, 100ms, Now - 1s);
           Servers.applyServerEvent(0, ServerEvent::Unreachable, Now - 500ms);
           Servers.finished(0, report(AttemptOutcome::Served), Now - 1s, Now);
         },
         ExclusionReason::None},
        {"it announced its shutdown to another process",
         [](Fleet &Servers, Time Now) {
           Servers.applyServerEvent(0, ServerEvent::Leaving, Now);
         },
         ExclusionReason::Leaving},
        {"another process reports another server at its address",
         [](Fleet &Servers, Time Now) {
           Servers.applyServerEvent(0, ServerEvent::Replaced, Now);
         },
         ExclusionReason::Replaced},
        {"one request timed out, and no other had a response",
         [](Fleet &Servers, Time Now) {
           Servers.started(0, 100ms, Now - 1s);
           Servers.finished(0, report(AttemptOutcome::Silent), Now - 1s, Now);
         },
         ExclusionReason::Unreachable},
        {"one request timed out, and another had a response meanwhile",
         [](Fleet &Servers, Time Now) {
           Servers.started(0, 100ms, Now - 1s);
           Servers.started(0, 100ms, Now - 600ms);
           Servers.finished(0, report(AttemptOutcome::Served), Now - 600ms,
                            Now - 500ms);
           Servers.finished(0, report(AttemptOutcome::Silent), Now - 1s, Now);
         },
         ExclusionReason::None},
        {"none of five requests has had a response for long",
         [](Fleet &Servers, Time Now) {
           for (int I = 0; I < 5; ++I)
             Servers.started(0, 150ms, Now - 450ms);
         },
         ExclusionReason::Stalled},
        {"it is busy with one long request",
         [](Fleet &Servers, Time Now) {
           Servers.started(0, 480ms, Now - 450ms);
         },
         ExclusionReason::None},
        {"it fails every second request",
         [](Fleet &Servers, Time Now) {
           for (int I = 0; I < 20; ++I) {
             Servers.started(0, 100ms, Now);
             Servers.finished(0,
                              report(I % 2 == 0 ? AttemptOutcome::Failed
                                                : AttemptOutcome::Served),
                              Now, Now);
           }
         },
         ExclusionReason::Failing},
        {"its callers disconnect",
         [](Fleet &Servers, Time Now) {
           for (int I = 0; I < 20; ++I) {
             Servers.started(0, 100ms, Now);
             Servers.finished(0, report(AttemptOutcome::Abandoned), Now, Now);
           }
         },
         ExclusionReason::None},
        {"it refuses requests and reports that it is full",
         [](Fleet &Servers, Time Now) {
           for (int I = 0; I < 20; ++I) {
             AttemptReport Full = report(AttemptOutcome::Refused);
             Full.m_HasLoad = true;
             Full.m_Load = {9, 27, 9};
             Servers.started(0, 100ms, Now);
             Servers.finished(0, Full, Now, Now);
           }
         },
         ExclusionReason::None},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      Fleet Servers;
      Servers.update({server("a")}, 1s);
      Case.m_Happens(Servers, 10s);
      CHECK(exclusionReasonName(Servers.exclusionReason(Servers.row(0), 10s)) ==
            exclusionReasonName(Case.m_Expected));
    }
  }

  TEST_CASE("an unreachable server becomes eligible by a health check") {
    Fleet Servers;
    Servers.update({server("a")}, 1s);
    Servers.started(0, 100ms, 10s);
    Servers.finished(0, report(AttemptOutcome::Unreachable), 10s, 10s);
    CHECK(Servers.dueHealthChecks(10s + 100ms).empty());
    CHECK(Servers.dueHealthChecks(11s).size() == 1);
    Servers.recordHealthCheck(0, HealthCheckResult::Bad, Duration{0}, 11s);
    CHECK(Servers.exclusionReason(Servers.row(0), 60s) ==
          ExclusionReason::Unreachable);
    Servers.recordHealthCheck(0, HealthCheckResult::Healthy, 2s, 60s);
    CHECK(Servers.exclusionReason(Servers.row(0), 60s) ==
          ExclusionReason::None);
    CHECK(Servers.isCold(Servers.row(0), 61s));
    CHECK_FALSE(Servers.isCold(Servers.row(0), 62s));
  }

  // On a full server, health checks are queued or refused.
  TEST_CASE("the ejection time of a full server does not grow") {
    struct Row {
      HealthCheckResult m_Answer;
      ExclusionReason m_Expected; // After three such results.
      Duration m_Within;          // The next health check is due by then.
    };
    const Row Rows[] = {
        {HealthCheckResult::Healthy, ExclusionReason::None, 0s},
        {HealthCheckResult::Full, ExclusionReason::None, 0s},
        {HealthCheckResult::Late, ExclusionReason::Unreachable, 500ms},
        {HealthCheckResult::Bad, ExclusionReason::Unreachable, 4s},
    };
    for (const Row &Case : Rows) {
      CAPTURE(healthCheckResultName(Case.m_Answer));
      Fleet Servers;
      Servers.update({server("a")}, 1s);
      Servers.started(0, 100ms, 10s);
      Servers.finished(0, report(AttemptOutcome::Unreachable), 10s, 10s);
      Time Now = 10s;
      for (int I = 0; I < 3; ++I)
        Servers.recordHealthCheck(0, Case.m_Answer, Duration{0}, Now += 5s);
      CHECK(exclusionReasonName(Servers.exclusionReason(Servers.row(0), Now)) ==
            exclusionReasonName(Case.m_Expected));
      if (Case.m_Expected != ExclusionReason::None) {
        CHECK(Servers.dueHealthChecks(Now).empty());
        CHECK(Servers.dueHealthChecks(Now + Case.m_Within).size() == 1);
      }
    }
  }

  TEST_CASE("of two load reports the later one is used") {
    struct Row {
      const char *m_Name;
      Time m_OwnAt;
      Time m_HeardAt;
      double m_Load; // At 10 s, including own requests.
    };
    const Row Rows[] = {
        {"remote report later", 9800ms, 10s, 9},
        {"remote report earlier, received late", 10s, 9800ms, 4},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      Fleet Servers;
      Servers.update({server("a")}, 1s);
      Servers.started(0, 100ms, 9s);
      Servers.started(0, 100ms, 9s);
      AttemptReport Told = report(AttemptOutcome::Served);
      Told.m_HasLoad = true;
      Told.m_Load = {5, 0, 9}; // Includes the one being answered.
      if (Case.m_OwnAt < Case.m_HeardAt)
        Servers.finished(0, Told, 9s, Case.m_OwnAt);
      Servers.updateLoad(0, 9, Case.m_HeardAt);
      if (Case.m_OwnAt > Case.m_HeardAt)
        Servers.finished(0, Told, 9s, Case.m_OwnAt);
      Servers.updateLoad(0, 9, Case.m_HeardAt);
      CHECK(Servers.load(Servers.row(0), 10s) == doctest::Approx(Case.m_Load));
      CHECK(Servers.takeHighLoads().empty());
    }
  }

  TEST_CASE("another incarnation under the same id starts with no history") {
    Fleet Servers;
    Servers.update({server("a")}, 1s);
    Servers.started(0, 100ms, 2s);
    Servers.started(0, 100ms, 2s);
    Servers.finished(0, report(AttemptOutcome::Unreachable), 2s, 2s);
    BackendInfo Next = server("a");
    Next.m_StartTimeMs = 2;
    Next.m_ColdUntil = 6s;
    Servers.update({Next}, 3s);
    CHECK(Servers.exclusionReason(Servers.row(0), 3s) == ExclusionReason::None);
    CHECK(Servers.isCold(Servers.row(0), 5s));
    // Still in flight at the old one.
    CHECK(Servers.row(0).m_OwnRequests == 1);
  }

  TEST_CASE("servers of a domain no longer evacuated count as cold") {
    Fleet Servers;
    Servers.update({server("a")}, 1s);
    Servers.setEvacuated({"d"}, 3s, 2s);
    Servers.setEvacuated({}, 3s, 10s);
    CHECK(Servers.isCold(Servers.row(0), 12s));
    CHECK_FALSE(Servers.isCold(Servers.row(0), 13s));
  }

  TEST_CASE("load is own requests plus the reported ones of others") {
    Fleet Servers;
    Servers.update({server("a")}, 1s);
    for (int I = 0; I < 3; ++I)
      Servers.started(0, 100ms, 2s);
    AttemptReport Seen = report(AttemptOutcome::Served);
    Seen.m_HasLoad = true;
    Seen.m_Load = {7, 1, 9}; // Includes the one being answered.
    Servers.finished(0, Seen, 2s, 3s);
    // One report of 5 requests from other processes contributes a twentieth to
    // the average load: 0.25.
    CHECK(Servers.load(Servers.row(0), 3s) == doctest::Approx(7));
    CHECK(Servers.load(Servers.row(0), 3s + 500ms) == doctest::Approx(4.625));
    CHECK(Servers.load(Servers.row(0), 60s) == doctest::Approx(2.25));
  }

  TEST_CASE("a server without reports has the average load") {
    struct Row {
      const char *m_Name;
      const char *m_Region;
      int m_Pool;
      int m_Others; // At the one server that reports, which has nine slots.
      double m_Load;
    };
    const Row Rows[] = {
        {"no report from the region", "other", 0, 6, 0},
        {"no report from the pool", "r", 1, 6, 0},
        {"half full", "r", 0, 4, 4},
        {"overloaded: the estimate stays below full", "r", 0, 18, 8.1},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      Fleet Servers;
      BackendInfo Told = server("told");
      Told.m_Region = "r";
      BackendInfo Unmet = server("unmet");
      Unmet.m_Region = Case.m_Region;
      Unmet.m_Pool = Case.m_Pool;
      Servers.update({Told, Unmet}, 1s);
      AttemptReport Seen = report(AttemptOutcome::Served);
      Seen.m_HasLoad = true;
      // Includes the one being answered.
      Seen.m_Load = {Case.m_Others + 1, 0, 9};
      for (int Run = 0; Run < 200; ++Run) {
        Servers.started(Servers.find("told"), 100ms, 2s);
        Servers.finished(Servers.find("told"), Seen, 2s, 3s);
      }
      CHECK(Servers.load(Servers.row(Servers.find("unmet")), 4s) ==
            doctest::Approx(Case.m_Load).epsilon(0.01));
    }
  }

  TEST_CASE("a reported load includes the answered request") {
    struct Row {
      AttemptOutcome m_Outcome;
      ReportedLoad m_Told;
      double m_Load; // Without own requests in flight.
    };
    const Row Rows[] = {
        {AttemptOutcome::Served, {1, 0, 9}, 0},
        {AttemptOutcome::Served, {4, 0, 9}, 3},
        {AttemptOutcome::Failed, {9, 2, 9}, 10},
        {AttemptOutcome::Refused, {9, 2, 9}, 11},
        {AttemptOutcome::Served, {0, 0, 9}, 0},
    };
    for (const Row &Case : Rows) {
      CAPTURE(attemptOutcomeName(Case.m_Outcome));
      CAPTURE(Case.m_Load);
      Fleet Servers;
      Servers.update({server("a")}, 1s);
      Servers.started(0, 100ms, 2s);
      AttemptReport Seen = report(Case.m_Outcome);
      Seen.m_HasLoad = true;
      Seen.m_Load = Case.m_Told;
      Servers.finished(0, Seen, 2s, 3s);
      CHECK(Servers.load(Servers.row(0), 3s) == doctest::Approx(Case.m_Load));
    }
  }

  TEST_CASE("servers not contacted yet have their region's round trip") {
    Fleet Servers;
    BackendInfo Met;
    Met.m_Id = "met";
    Met.m_Region = "far";
    BackendInfo Other = Met;
    Other.m_Id = "other";
    BackendInfo Near = Met;
    Near.m_Id = "near";
    Near.m_Region = "near";
    Servers.update({Met, Other, Near}, 1s);
    ServerIndex Index = Servers.find("met");
    Servers.started(Index, 100ms, 1s);
    AttemptReport Report;
    Report.m_ConnectTime = 110ms;
    Servers.finished(Index, Report, 1s, 2s);
    CHECK(Servers.roundTrip(Servers.row(Index)) == 110ms);
    CHECK(Servers.roundTrip(Servers.row(Servers.find("other"))) == 110ms);
    CHECK(Servers.roundTrip(Servers.row(Servers.find("near"))) == 0ms);
    Servers.restoreRoundTrip("near", 1ms);
    Servers.restoreRoundTrip("far", 0ms); // 0 means unknown.
    CHECK(Servers.roundTrip(Servers.row(Servers.find("near"))) == 1ms);
    CHECK(Servers.roundTrip(Servers.row(Servers.find("other"))) == 110ms);
  }

  TEST_CASE("changes give the same fleet as the whole list") {
    constexpr int Seeds = 50;
    constexpr int Changes = 200;
    constexpr int Servers = 30;
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      CAPTURE(Seed);
      Random Draw(Seed);
      std::map<std::string, BackendInfo> Listed;
      Fleet ByList;
      Fleet ByChanges;
      for (int I = 0; I < Changes; ++I) {
        Time Now = 1s + 10ms * I;
        std::vector<BackendInfo> Put;
        std::vector<std::string> Gone;
        for (std::uint64_t N = 0; N < 1 + Draw.below(3); ++N) {
          std::string Id = "s" + std::to_string(Draw.below(Servers));
          if (Draw.below(3) == 0) {
            Gone.push_back(Id);
            std::erase_if(Put, [&](const auto &Row) { return Row.m_Id == Id; });
            Listed.erase(Id);
            continue;
          }
          BackendInfo Entry = server(Id);
          Entry.m_Pool = static_cast<int>(Draw.below(3));
          Entry.m_Leaving = Draw.below(4) == 0;
          Entry.m_StartTimeMs = static_cast<std::int64_t>(1 + Draw.below(2));
          std::erase(Gone, Id);
          std::erase_if(Put, [&](const auto &Row) { return Row.m_Id == Id; });
          Put.push_back(Entry);
          Listed[Id] = Entry;
        }
        std::vector<BackendInfo> Whole;
        Whole.reserve(Listed.size());
        for (const auto &[Id, Entry] : Listed)
          Whole.push_back(Entry);
        ByList.update(Whole, Now);
        ByChanges.applyChanges(Put, Gone, Now);
        if (Draw.below(5) == 0) {
          ByList.tick(Now);
          ByChanges.tick(Now);
        }
        for (int Pool = 0; Pool < 3; ++Pool) {
          const auto &Expected = ByList.serversInPool(Pool);
          const auto &Found = ByChanges.serversInPool(Pool);
          REQUIRE(Found.size() == Expected.size());
          for (std::size_t K = 0; K < Found.size(); ++K) {
            const BackendState &A = ByList.row(Expected[K]);
            const BackendState &B = ByChanges.row(Found[K]);
            CHECK(A.m_Info.m_Id == B.m_Info.m_Id);
            CHECK(A.m_Info.m_Leaving == B.m_Info.m_Leaving);
            CHECK(A.m_Incarnation == B.m_Incarnation);
            CHECK(A.m_ListedSince == B.m_ListedSince);
          }
        }
      }
    }
  }

  TEST_CASE("rows are removed once unlisted and without requests in flight") {
    Fleet Servers;
    Servers.update({server("a"), server("b")}, 1s);
    Servers.started(0, 100ms, 2s);
    Servers.update({server("b")}, 3s);
    Servers.tick(4s);
    CHECK(Servers.size() == 2);
    Servers.finished(0, report(AttemptOutcome::Served), 2s, 5s);
    Servers.tick(6s);
    CHECK(Servers.size() == 1);
    CHECK(Servers.find("a") == NoServer);
  }

  TEST_CASE("senders to a cold server stay under its bound without messages") {
    struct Row {
      const char *m_Name;
      int m_Vms;
      int m_Parts; // Groups of VMs that know only each other.
    };
    const Row Rows[] = {
        {"one VM", 1, 1},
        {"three VMs", 3, 1},
        {"twenty VMs", 20, 1},
        {"three VMs, partitioned in two", 3, 2},
        {"twenty VMs, partitioned in two", 20, 2},
    };
    // The platform's bound is 1.5 times the rate that a cold server tolerates,
    // plus a few requests. Two groups together must not exceed it.
    constexpr double PerSecond = 10;
    constexpr double Bound = 1.6;
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      for (int Server = 0; Server < 50; ++Server) {
        double Sum = 0;
        for (int Part = 0; Part < Case.m_Parts; ++Part) {
          std::vector<std::string> Vms;
          for (int I = Part; I < Case.m_Vms; I += Case.m_Parts)
            Vms.push_back("10.0.0." + std::to_string(I));
          for (const std::string &Vm : Vms)
            Sum += coldRequestRate("i-" + std::to_string(Server), Vm, Vms,
                                   PerSecond);
        }
        CHECK(Sum > 0);
        CHECK(Sum <= PerSecond * Bound + 1e-9);
      }
    }
    CHECK(coldRequestRate("i-1", "10.0.0.1", {}, PerSecond) == 0);
  }
}

TEST_SUITE("spill") {
  TEST_CASE("a region with few servers spills from the start") {
    struct Row {
      const char *m_Name;
      double m_HomeSlots, m_AwaySlots;
      double m_Least, m_Most;
    };
    const Row Rows[] = {
        {"an even third", 72, 144, 0, 0},
        {"a twelfth of the slots", 18, 198, 0.4, 0.8},
        {"no local servers", 0, 100, 1, 1},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      SpillTable Spill;
      SpillLoad Load;
      Load.m_LocalSlots = Case.m_HomeSlots;
      Load.m_RemoteSlots = Case.m_AwaySlots;
      Load.m_Regions = 3;
      Spill.update(0, Load, 1s);
      CHECK(Spill.share(0) >= Case.m_Least);
      CHECK(Spill.share(0) <= Case.m_Most);
    }
  }

  TEST_CASE("the share follows a load peak slowly, and returns") {
    SpillTable Spill;
    SpillLoad Load;
    Load.m_LocalSlots = 72;
    Load.m_RemoteSlots = 144;
    Load.m_RemoteLoad = 50;
    Load.m_Regions = 3;
    Time Now = 1s;
    double Before = 0;
    // The platform's bound: at most 0.15 of a region's requests may change
    // their region between 2 s windows.
    constexpr double MaxMove = 0.15;
    double Peak = 0;
    for (int Window = 0; Window < 40; ++Window) {
      Load.m_LocalLoad = Window < 10 ? 90 : 10;
      for (int Step = 0; Step < 20; ++Step) {
        Now += 100ms;
        Spill.update(0, Load, Now);
      }
      CHECK(std::abs(Spill.share(0) - Before) <= MaxMove);
      Before = Spill.share(0);
      Peak = std::max(Peak, Before);
    }
    CHECK(Peak > 0.5);
    CHECK(Before < 0.2);
  }

  TEST_CASE("removed local slots raise the share at once") {
    SpillTable Spill;
    SpillLoad Load;
    Load.m_LocalSlots = 100;
    Load.m_RemoteSlots = 100;
    Load.m_LocalLoad = 50;
    Load.m_Regions = 2;
    Spill.update(0, Load, 1s);
    CHECK(Spill.share(0) == 0);
    Load.m_LocalSlots = 50;
    Spill.update(0, Load, 2s);
    CHECK(Spill.share(0) == doctest::Approx(0.5).epsilon(0.02));
    Load.m_LocalSlots = 100;
    Spill.update(0, Load, 2s + 10ms);
    CHECK(Spill.share(0) < 0.02);
  }

  TEST_CASE("a share is restored until there is traffic") {
    SpillTable Fresh;
    Fresh.restore(0, 0.7, 1s);
    CHECK(Fresh.share(0) == 0.7);
    Fresh.restore(0, 0.2, 2s); // Written later by another process.
    CHECK(Fresh.share(0) == 0.7);
    Fresh.restore(1, 7, 1s);
    CHECK(Fresh.share(1) == 1);
  }

  TEST_CASE("neighbours converge") {
    SpillTable A;
    SpillTable B;
    SpillLoad Load;
    Load.m_LocalSlots = 10;
    Load.m_RemoteSlots = 100;
    Load.m_LocalLoad = 5;
    Load.m_Regions = 2;
    A.update(0, Load, 1s);
    Load.m_LocalSlots = 20;
    B.update(0, Load, 1s);
    double Apart = std::abs(A.share(0) - B.share(0));
    Load.m_LocalSlots = 10;
    for (int I = 0; I < 20; ++I) {
      double ShareA = A.share(0);
      A.blendNeighbour(0, B.share(0));
      B.blendNeighbour(0, ShareA);
    }
    CHECK(std::abs(A.share(0) - B.share(0)) <= Apart);
    CHECK(std::abs(A.share(0) - B.share(0)) < 0.01);
  }
}
