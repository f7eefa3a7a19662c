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
  BackendInfo Info;
  Info.m_Id = Id;
  Info.m_Address = "10.0.0.1:80";
  Info.m_Domain = "d";
  Info.m_Region = "r";
  Info.m_Slots = Slots;
  Info.m_StartTimeMs = 1;
  return Info;
}

AttemptReport report(AttemptOutcome Outcome, Duration ResponseTime = 100ms,
                     Duration Expected = 100ms) {
  AttemptReport Report;
  Report.m_Outcome = Outcome;
  Report.m_ResponseTime = ResponseTime;
  Report.m_ExpectedTime = Expected;
  return Report;
}

} // namespace

TEST_SUITE("fleet") {
  TEST_CASE("a state change is announced once") {
    struct Row {
      const char *m_Name;
      std::function<void(Fleet &, Time)> m_Events;
      std::vector<ServerEvent> m_Announced;
    };
    const Row Rows[] = {
        {"nothing", [](Fleet &, Time) {}, {}},
        {"the connection fails",
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
      Case.m_Events(Servers, 5s);
      std::vector<ServerEvent> Announced;
      for (const auto &[Index, Kind] : Servers.takeServerEvents())
        Announced.push_back(Kind);
      CHECK(Announced == Case.m_Announced);
      CHECK(Servers.takeServerEvents().empty());
    }
  }

  // Guards against a VM that is partitioned from all servers but not from other
  // VMs: it would report healthy servers as unreachable.
  TEST_CASE("a process that reaches hardly any server announces nothing") {
    Fleet Servers;
    std::vector<BackendInfo> Listed;
    Listed.reserve(100);
    for (int I = 0; I < 100; ++I)
      Listed.push_back(server("s" + std::to_string(I)));
    Servers.update(Listed, 1s);
    std::size_t Announced = 0;
    for (ServerIndex I = 0; I < 100; ++I) {
      Servers.started(I, 100ms, 5s);
      Servers.finished(I, report(AttemptOutcome::Unreachable), 5s, 5s);
      Announced += Servers.takeServerEvents().size();
    }
    CHECK(Announced <= 15);
    // If a third of the servers is unreachable, each of them is reported.
    Fleet Others;
    Others.update(Listed, 1s);
    Announced = 0;
    for (ServerIndex I = 0; I < 99; ++I) {
      Others.started(I, 100ms, 5s);
      Others.finished(I,
                      report(I % 3 == 0 ? AttemptOutcome::Unreachable
                                        : AttemptOutcome::Served),
                      5s, 5s);
      Announced += Others.takeServerEvents().size();
    }
    CHECK(Announced == 33);
  }

  TEST_CASE("why a server gets no new requests") {
    struct Row {
      const char *m_Name;
      std::function<void(Fleet &, Time)> m_Events;
      ExclusionReason m_Expected;
    };
    const Row Rows[] = {
        {"nothing", [](Fleet &, Time) {}, ExclusionReason::None},
        {"it is shutting down",
         [](Fleet &Servers, Time Now) {
           BackendInfo Info = server("a");
           Info.m_Leaving = true;
           Servers.update({Info}, Now);
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
           AttemptReport Report = report(AttemptOutcome::Served);
           Report.m_Leaving = true;
           Servers.started(0, 100ms, Now);
           Servers.finished(0, Report, Now, Now);
           // The platform's registry does not show the shutdown yet.
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
           AttemptReport Report = report(AttemptOutcome::Refused);
           Report.m_BackoffFor = 700ms;
           Servers.started(0, 100ms, Now);
           Servers.finished(0, Report, Now, Now);
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
        {"every second request fails",
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
      Case.m_Events(Servers, 10s);
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

  // A full server queues or refuses health checks, so their result is Late or
  // Full.
  TEST_CASE("the ejection time of a full server does not grow") {
    struct Row {
      HealthCheckResult m_Result;
      ExclusionReason m_Expected; // Reason after three such results.
      Duration m_Within;          // Time until the next health check is due.
    };
    const Row Rows[] = {
        {HealthCheckResult::Healthy, ExclusionReason::None, 0s},
        {HealthCheckResult::Full, ExclusionReason::None, 0s},
        {HealthCheckResult::Late, ExclusionReason::Unreachable, 500ms},
        {HealthCheckResult::Bad, ExclusionReason::Unreachable, 4s},
    };
    for (const Row &Case : Rows) {
      CAPTURE(healthCheckResultName(Case.m_Result));
      Fleet Servers;
      Servers.update({server("a")}, 1s);
      Servers.started(0, 100ms, 10s);
      Servers.finished(0, report(AttemptOutcome::Unreachable), 10s, 10s);
      Time Now = 10s;
      for (int I = 0; I < 3; ++I)
        Servers.recordHealthCheck(0, Case.m_Result, Duration{0}, Now += 5s);
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
      Time m_OwnReportAt;
      Time m_RemoteReportAt;
      double m_Load; // Estimate at 10 s, including own requests.
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
      AttemptReport OwnReport = report(AttemptOutcome::Served);
      OwnReport.m_HasLoad = true;
      // A reported load includes the request being answered.
      OwnReport.m_Load = {5, 0, 9};
      if (Case.m_OwnReportAt < Case.m_RemoteReportAt)
        Servers.finished(0, OwnReport, 9s, Case.m_OwnReportAt);
      Servers.updateLoad(0, 9, Case.m_RemoteReportAt);
      if (Case.m_OwnReportAt > Case.m_RemoteReportAt)
        Servers.finished(0, OwnReport, 9s, Case.m_OwnReportAt);
      Servers.updateLoad(0, 9, Case.m_RemoteReportAt);
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
    BackendInfo Restarted = server("a");
    Restarted.m_StartTimeMs = 2;
    Restarted.m_ColdUntil = 6s;
    Servers.update({Restarted}, 3s);
    CHECK(Servers.exclusionReason(Servers.row(0), 3s) == ExclusionReason::None);
    CHECK(Servers.isCold(Servers.row(0), 5s));
    // One request is still in flight at the old incarnation.
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
    AttemptReport Report = report(AttemptOutcome::Served);
    Report.m_HasLoad = true;
    // A reported load includes the request being answered.
    Report.m_Load = {7, 1, 9};
    Servers.finished(0, Report, 2s, 3s);
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
      int m_OtherRequests; // Load of the reporting server, with nine slots.
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
      BackendInfo Reporting = server("reporting");
      Reporting.m_Region = "r";
      BackendInfo NotContacted = server("not-contacted");
      NotContacted.m_Region = Case.m_Region;
      NotContacted.m_Pool = Case.m_Pool;
      Servers.update({Reporting, NotContacted}, 1s);
      AttemptReport Report = report(AttemptOutcome::Served);
      Report.m_HasLoad = true;
      // A reported load includes the request being answered.
      Report.m_Load = {Case.m_OtherRequests + 1, 0, 9};
      for (int Run = 0; Run < 200; ++Run) {
        Servers.started(Servers.find("reporting"), 100ms, 2s);
        Servers.finished(Servers.find("reporting"), Report, 2s, 3s);
      }
      CHECK(Servers.load(Servers.row(Servers.find("not-contacted")), 4s) ==
            doctest::Approx(Case.m_Load).epsilon(0.01));
    }
  }

  TEST_CASE("a reported load includes the answered request") {
    struct Row {
      AttemptOutcome m_Outcome;
      ReportedLoad m_Reported;
      double m_Load; // Estimate without own requests in flight.
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
      AttemptReport Report = report(Case.m_Outcome);
      Report.m_HasLoad = true;
      Report.m_Load = Case.m_Reported;
      Servers.finished(0, Report, 2s, 3s);
      CHECK(Servers.load(Servers.row(0), 3s) == doctest::Approx(Case.m_Load));
    }
  }

  TEST_CASE("what another server or an earlier start says does not count") {
    for (AttemptOutcome Outcome :
         {AttemptOutcome::Misdirected, AttemptOutcome::Abandoned}) {
      CAPTURE(attemptOutcomeName(Outcome));
      Fleet Servers;
      Servers.update({server("s")}, 1s);
      Servers.started(0, 100ms, 2s);
      AttemptReport Report = report(Outcome);
      Report.m_Leaving = true;
      Report.m_BackoffFor = 10s;
      Report.m_HasLoad = true;
      Report.m_Load = {9, 20, 9};
      Report.m_RateLimitHint = RateLimitHint::Named;
      Report.m_RateLimit = 1;
      Servers.finished(0, Report, 2s, 2s);
      const BackendState &Row = Servers.row(0);
      CHECK_FALSE(Row.m_ReportedLeaving);
      CHECK(Row.m_PausedUntil == Time{0});
      CHECK(Row.m_LoadUpdatedAt == Time{0});
      CHECK(Servers.rateLimit(0) == nullptr);
    }
  }

  TEST_CASE("servers not contacted yet have their region's round trip") {
    Fleet Servers;
    BackendInfo Contacted;
    Contacted.m_Id = "contacted";
    Contacted.m_Region = "far";
    BackendInfo Other = Contacted;
    Other.m_Id = "other";
    BackendInfo Near = Contacted;
    Near.m_Id = "near";
    Near.m_Region = "near";
    Servers.update({Contacted, Other, Near}, 1s);
    ServerIndex Index = Servers.find("contacted");
    Servers.started(Index, 100ms, 1s);
    AttemptReport Report;
    Report.m_ConnectTime = 110ms;
    Servers.finished(Index, Report, 1s, 2s);
    CHECK(Servers.roundTrip(Servers.row(Index)) == 110ms);
    CHECK(Servers.roundTrip(Servers.row(Servers.find("other"))) == 110ms);
    CHECK(Servers.roundTrip(Servers.row(Servers.find("near"))) == 0ms);
    Servers.restoreRoundTrip("near", 1ms);
    Servers.restoreRoundTrip("far", 0ms); // 0 stands for unknown.
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
        std::vector<BackendInfo> Changed;
        std::vector<std::string> Removed;
        for (std::uint64_t N = 0; N < 1 + Draw.below(3); ++N) {
          std::string Id = "s" + std::to_string(Draw.below(Servers));
          if (Draw.below(3) == 0) {
            Removed.push_back(Id);
            std::erase_if(Changed,
                          [&](const auto &Row) { return Row.m_Id == Id; });
            Listed.erase(Id);
            continue;
          }
          BackendInfo Info = server(Id);
          Info.m_Pool = static_cast<int>(Draw.below(3));
          Info.m_Leaving = Draw.below(4) == 0;
          Info.m_StartTimeMs = static_cast<std::int64_t>(1 + Draw.below(2));
          std::erase(Removed, Id);
          std::erase_if(Changed,
                        [&](const auto &Row) { return Row.m_Id == Id; });
          Changed.push_back(Info);
          Listed[Id] = Info;
        }
        std::vector<BackendInfo> Whole;
        Whole.reserve(Listed.size());
        for (const auto &[Id, Info] : Listed)
          Whole.push_back(Info);
        ByList.update(Whole, Now);
        ByChanges.applyChanges(Changed, Removed, Now);
        if (Draw.below(5) == 0) {
          ByList.tick(Now);
          ByChanges.tick(Now);
        }
        for (int Pool = 0; Pool < 3; ++Pool) {
          const auto &Expected = ByList.serversInPool(Pool);
          const auto &Actual = ByChanges.serversInPool(Pool);
          REQUIRE(Actual.size() == Expected.size());
          for (std::size_t K = 0; K < Actual.size(); ++K) {
            const BackendState &A = ByList.row(Expected[K]);
            const BackendState &B = ByChanges.row(Actual[K]);
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
      int m_Parts; // Groups of VMs that list only each other.
    };
    const Row Rows[] = {
        {"one VM", 1, 1},
        {"three VMs", 3, 1},
        {"twenty VMs", 20, 1},
        {"three VMs, partitioned in two", 3, 2},
        {"twenty VMs, partitioned in two", 20, 2},
    };
    // The platform's bound is 1.5 times the rate that a cold server tolerates,
    // plus a few requests. Two partitioned groups together must not exceed it.
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
      double m_LocalSlots, m_RemoteSlots;
      double m_MinShare, m_MaxShare;
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
      Load.m_LocalSlots = Case.m_LocalSlots;
      Load.m_RemoteSlots = Case.m_RemoteSlots;
      Load.m_Regions = 3;
      Spill.update(0, Load, 1s);
      CHECK(Spill.share(0) >= Case.m_MinShare);
      CHECK(Spill.share(0) <= Case.m_MaxShare);
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
    Fresh.restore(0, 0.2, 2s); // A share that another process saved later.
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
