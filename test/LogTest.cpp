// Logging: rate limit, non-blocking output, and analysis of the lines.
#include "net/LogReader.h"
#include "test/LogPipe.h"

using namespace rhubarb::net;
using namespace rhubarb::test;

namespace {

const char *const SampleLog =
    "time=2026-03-01T00:00:01.000Z event=config_in_force revision=7\n"
    "no log line at all\n"
    "time=2026-03-01T00:00:02.000Z event=server_state server=i-1 "
    "left_out=stalled\n"
    "time=2026-03-01T00:00:02.100Z event=server_state server=i-9 "
    "left_out=stalled\n"
    "  1.5 node time=2026-03-01T00:00:03.000Z event=attempt_failed id=x "
    "server=i-1 next=retry\n"
    "{\"time\":\"2026-03-01T00:00:03.250Z\",\"event\":\"request_served\","
    "\"id\":\"x\",\"server\":\"i-2\",\"ms\":\"400\",\"reason\":\"answered\","
    "\"route\":\"r\"}\n"
    "time=2026-03-01T00:00:04.000Z event=request_failed id=y reason=no_server "
    "route=\"a b\" left_out=3\n";

} // namespace

TEST_SUITE("log") {
  TEST_CASE("the rate is limited per event name") {
    Pipe Output;
    startLog(settingsFor(Output, 5));
    for (int I = 0; I < 1000; ++I)
      logEvent(Severity::Info, "flood", {{"i", std::to_string(I)}});
    logEvent(Severity::Info, "other");
    flushLog();
    auto Lines = readLogLines(Output.readAll(), "test");
    // The loop may span two seconds, and the limit applies to each second.
    CHECK(Lines.size() >= 6);
    CHECK(Lines.size() <= 11);
    CHECK(Lines.back().field("event") == "other");
  }

  TEST_CASE("a stalled reader does not block the writer") {
    Pipe Output;
    startLog(settingsFor(Output, 1 << 30));
    std::uint64_t DroppedBefore = droppedLogLines();
    std::string LongText(1000, 'x');
    for (int I = 0; I < 2000; ++I) {
      logEvent(Severity::Info, "line", {{"text", LongText}});
      flushLog();
    }
    CHECK(droppedLogLines() > DroppedBefore);
    auto LinesInPipe = readLogLines(Output.readAll(), "test");
    CHECK_FALSE(LinesInPipe.empty());
    // After the pipe and the buffer have been drained, new lines arrive.
    for (int I = 0; I < 20; ++I) {
      flushLog();
      Output.readAll();
    }
    logEvent(Severity::Info, "after");
    flushLog();
    auto Lines = readLogLines(Output.readAll(), "test");
    REQUIRE_FALSE(Lines.empty());
    CHECK(Lines.back().field("event") == "after");
  }

  TEST_CASE(
      "written lines parse to the same values, special characters included") {
    for (bool Json : {false, true}) {
      for (const char *Value :
           {"plain", "", "with blanks", "a=b", "quote\"quote", "back\\slash"}) {
        CAPTURE(Json);
        CAPTURE(Value);
        Pipe Output;
        LogSettings Settings = settingsFor(Output, 1000);
        Settings.m_Json = Json;
        startLog(Settings);
        logEvent(Severity::Warning, "event", {{"value", Value}, {"z", "1"}});
        flushLog();
        auto Lines = readLogLines(Output.readAll(), "test");
        REQUIRE(Lines.size() == 1);
        CHECK(Lines[0].field("value") == Value);
        CHECK(Lines[0].field("z") == "1");
        CHECK(Lines[0].field("level") == "warning");
        CHECK(Lines[0].m_Millis > 0);
      }
    }
  }

  TEST_CASE("a request's timeline includes related state changes") {
    auto Lines = readLogLines(SampleLog, "node");
    REQUIRE(Lines.size() == 6);
    std::vector<std::string> Events;
    for (const LogLine &Line : requestTimeline(Lines, "x"))
      Events.push_back(Line.field("event"));
    // The state change of i-9 is not included, as the request was not sent to
    // that server.
    CHECK(Events == std::vector<std::string>{"config_in_force", "server_state",
                                             "attempt_failed",
                                             "request_served"});
    CHECK(requestTimeline(Lines, "z").empty());
  }

  TEST_CASE("time windows count requests by failure domain") {
    std::string LogText;
    auto AddLine = [&](int Second, const std::string &Fields) {
      LogText += "time=2026-03-01T00:00:0" + std::to_string(Second) + ".500Z " +
                 Fields + "\n";
    };
    AddLine(0, "event=started domain=r1-a vm=10.0.0.1");
    AddLine(1, "event=request_served id=a status=200 ms=30");
    AddLine(1, "event=request_served id=b status=404 ms=10");
    AddLine(1, "event=request_failed id=c status=503 reason=wait_too_long");
    AddLine(4, "event=request_failed id=d status=504 reason=server_timeout");
    AddLine(4, "event=attempt_failed id=d end=silent");
    AddLine(5, "event=store_lost call=watch");
    // The VM that passed the request on counts it.
    AddLine(4, "event=detour_served id=e ms=900");
    auto Lines = readLogLines(LogText, "node");
    auto Windows = groupByWindow(Lines, 2000);
    REQUIRE(Windows.size() == 2);
    CHECK(describeWindow(Windows[0], Windows[0].m_FromMillis) ==
          "0 ms  served 2 refused 1 failed 0  p50 10 p99 10   r1-a 2/1/0  "
          "started 1");
    CHECK(describeWindow(Windows[1], Windows[0].m_FromMillis) ==
          "4000 ms  served 0 refused 0 failed 1  p50 0 p99 0   r1-a 0/0/1  "
          "store_lost 1");
  }

  TEST_CASE("cause of a late or failed request") {
    struct Row {
      const char *m_Fields;
      const char *m_Cause;
    };
    const Row Rows[] = {
        {"event=request_served objective_ms=400 ms=400", ""},
        // Older processes log no objective, so no request counts as late.
        {"event=request_served ms=900", ""},
        {"event=request_served objective_ms=400 ms=401 tries=2 warm=no",
         "retried"},
        {"event=request_served objective_ms=400 ms=401 tries=1 warm=no",
         "cold"},
        {"event=request_served objective_ms=400 ms=401 warm=yes waited_ms=100",
         "waited"},
        {"event=request_served objective_ms=400 ms=401 warm=yes waited_ms=99 "
         "told_load=6,1,6 away=yes",
         "queued"},
        {"event=request_served objective_ms=400 ms=401 warm=yes "
         "told_load=6,0,6 away=yes",
         "away"},
        {"event=request_served objective_ms=400 ms=401 told_load=x", "slow"},
        {"event=request_failed reason=wait_too_long ms=3", "wait_too_long"},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Fields);
      std::string StartedLine = "time=2026-03-01T00:00:00.000Z event=started "
                                "domain=r1-a\n";
      auto Losses = countLosses(
          readLogLines(StartedLine + "time=2026-03-01T00:00:01.000Z rank=1 " +
                           Case.m_Fields + "\n",
                       "node"));
      REQUIRE(Losses.size() == 1);
      CHECK(Losses[0].m_Cause == Case.m_Cause);
      CHECK(Losses[0].m_Domain == "r1-a");
      CHECK(Losses[0].m_Priority == "1");
    }
  }

  TEST_CASE("request counts, and the number of suppressed lines") {
    auto Lines = readLogLines(SampleLog, "node");
    auto Counts = countRequests(Lines);
    REQUIRE(Counts.size() == 2);
    CHECK(Counts[0].m_Count == 1);
    CHECK(suppressedLines(Lines) == 3);
  }
}
