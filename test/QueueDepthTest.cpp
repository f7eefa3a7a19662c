// How far servers that report the run time on their machine are filled.
#include "SharedFleetModel.h"

#include <doctest/doctest.h>

using namespace rhubarb;
using namespace rhubarb::model;

namespace {

constexpr int Slots = 3;
constexpr std::uint64_t Object = 5;

BackendInfo server(const std::string &Id) {
  BackendInfo Info;
  Info.m_Id = Id;
  Info.m_Region = "home";
  Info.m_Domain = "home";
  Info.m_Slots = Slots;
  return Info;
}

// One process with a few servers, driven by hand.
class Driver {
public:
  explicit Driver(const std::vector<std::string> &Servers,
                  DispatchLimits Limits = {})
      : m_Dispatcher("home", Limits) {
    std::vector<BackendInfo> Rows;
    Rows.reserve(Servers.size());
    for (const std::string &Id : Servers)
      Rows.push_back(server(Id));
    m_Dispatcher.fleet().update(Rows, m_Now);
    for (const std::string &Id : Servers)
      m_Dispatcher.recordRemoteRun(Object, m_Dispatcher.fleet().find(Id),
                                   m_Now);
  }

  DispatchRequest request(int Priority, Duration Objective, Duration Waited) {
    DispatchRequest Request;
    Request.m_Id = ++m_LastId;
    Request.m_RouteName = "route";
    Request.m_Priority = Priority;
    Request.m_ObjectHash = Object;
    Request.m_ArrivedAt = m_Now - Waited;
    Request.m_ObjectiveAt = Request.m_ArrivedAt + Objective;
    Request.m_Deadline = Request.m_ArrivedAt + m_Deadline;
    return Request;
  }

  // Runs one request and ends it with the given report.
  void runOne(const DispatchRequest &Request, const AttemptReport &Report) {
    reportIdle();
    DispatchDecision Decision = m_Dispatcher.submit(Request, m_Now);
    REQUIRE(Decision.m_Action == DispatchAction::Send);
    m_Dispatcher.started(Decision, m_Now);
    Time StartedAt = m_Now;
    m_Now += Report.m_ResponseTime;
    m_Dispatcher.finished(Request, Decision, Report, StartedAt, m_Now);
  }

  // Measures run times; the last one leaves the estimate at RunTime.
  void measure(Duration RunTime, int Percent, Duration RoundTrip = 0ms) {
    for (int I = 0; I < 21; ++I) {
      AttemptReport Report;
      Report.m_ResponseTime = RoundTrip + RunTime * std::max(Percent, 1) / 100;
      if (Percent == 0)
        Report.m_ResponseTime = RoundTrip + RunTime;
      Report.m_HasLoad = true;
      Report.m_Load = {1, 0, Slots, Percent};
      Report.m_ConnectTime = RoundTrip;
      runOne(request(2, 4s, 0ms), Report);
    }
  }

  // Ends a request with a refusal by a server with this queue.
  void refuseOne(int Waiting, int Percent = 100) {
    AttemptReport Report;
    Report.m_Outcome = AttemptOutcome::Refused;
    Report.m_ResponseTime = 1ms;
    Report.m_HasLoad = true;
    Report.m_Load = {Slots, Waiting, Slots, Percent};
    runOne(request(0, 4s, 0ms), Report);
  }

  // Removes the effect of earlier load reports, averages of them included.
  void reportIdle() {
    for (ServerIndex Index : m_Dispatcher.fleet().serversInPool(0))
      m_Dispatcher.fleet().updateLoad(
          Index, m_Dispatcher.fleet().row(Index).m_OwnRequests, m_Now);
  }

  // Sends requests until one is not sent. Returns how many were.
  int fill(int Priority, Duration Objective, Duration Waited = 0ms) {
    reportIdle();
    for (int Sent = 0; Sent < 1000; ++Sent) {
      DispatchDecision Decision =
          m_Dispatcher.submit(request(Priority, Objective, Waited), m_Now);
      if (Decision.m_Action != DispatchAction::Send)
        return Sent;
      m_Dispatcher.started(Decision, m_Now);
    }
    return 1000;
  }

  ServerIndex index(const std::string &Id) {
    return m_Dispatcher.fleet().find(Id);
  }

  Time m_Now{100s};
  Duration m_Deadline = 10s; // From arrival.
  Dispatcher m_Dispatcher;

private:
  RequestId m_LastId = 0;
};

constexpr std::uint64_t Seeds[] = {1, 2};
// The servers are cold before.
constexpr Time From = 4s;
constexpr Time Until = 14s;

// Many processes share servers of three slots that slow down at random, near
// their capacity.
ModelSettings sharedMachines() {
  ModelSettings Settings;
  Settings.m_ServersByRegion = {20, 20, 20};
  Settings.m_Slots = Slots;
  Settings.m_ServerQueueLimit = 9;
  Settings.m_EntriesPerRegion = 40;
  Settings.m_CacheCapacity = 40;
  Settings.m_Duration = Until;
  Settings.m_SlowFactor = 2.5;
  Settings.m_Classes = {
      {"view", 0, 132, 333ms, 500ms, 1500ms, 100},
      {"claim", 1, 66, 433ms, 800ms, 2s, 60},
      {"archive", 2, 33.6, 1s, 2500ms, 4s, 60},
  };
  return Settings;
}

int onTime(const ModelResult &Result) {
  int Sum = 0;
  for (std::size_t Class = 0; Class < Result.m_ByClass.size(); ++Class)
    Sum += Result.counts(Class, From, Until).m_OnTime;
  return Sum;
}

std::string text(const ModelResult &Result) {
  std::string Text = std::to_string(onTime(Result)) + " on time, by class";
  for (std::size_t Class = 0; Class < Result.m_ByClass.size(); ++Class)
    Text += " " + std::to_string(Result.onTime(Class, From, Until));
  return Text;
}

} // namespace

TEST_SUITE("queue_depth") {
  TEST_CASE("a reported run time decays to the usual one") {
    // Guards against servers that are passed over long after they have
    // recovered.
    Driver Tested({"a"});
    Fleet &Servers = Tested.m_Dispatcher.fleet();
    CHECK_FALSE(Servers.reportsSlowdown(0));
    Servers.updateSlowdown(Tested.index("a"), 0, 100s);
    CHECK_FALSE(Servers.reportsSlowdown(0));
    CHECK(Servers.slowdown(Servers.row(Tested.index("a")), 100s) == 1);
    Servers.updateSlowdown(Tested.index("a"), 300, 100s);
    CHECK(Servers.reportsSlowdown(0));
    CHECK_FALSE(Servers.reportsSlowdown(1));
    struct Row {
      Duration m_Age;
      double m_Slowdown;
    };
    const Row Rows[] = {{0ms, 3}, {300ms, 2}, {600ms, 1.5}, {6s, 1}};
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Age / 1ms);
      CHECK(
          Servers.slowdown(Servers.row(Tested.index("a")), 100s + Case.m_Age) ==
          doctest::Approx(Case.m_Slowdown).epsilon(0.01));
    }
  }

  TEST_CASE("a slow server is passed over, not excluded") {
    Driver Tested({"a", "b"});
    Tested.measure(100ms, 100);
    Fleet &Servers = Tested.m_Dispatcher.fleet();
    ServerIndex Usual =
        Tested.m_Dispatcher.submit(Tested.request(0, 1s, 0ms), Tested.m_Now)
            .m_Server;
    Servers.updateSlowdown(Usual, 250, Tested.m_Now);
    auto Chosen = [&] {
      return Tested.m_Dispatcher
          .submit(Tested.request(0, 1s, 0ms), Tested.m_Now)
          .m_Server;
    };
    CHECK(Chosen() != Usual);
    CHECK(Chosen() != NoServer);
    CHECK(Servers.exclusionReason(Servers.row(Usual), Tested.m_Now) ==
          ExclusionReason::None);
    CHECK(Servers.row(Usual).m_FailureRate == 0);
    Tested.m_Now += 5s;
    CHECK(Chosen() == Usual);
  }

  TEST_CASE("run times are divided by the reported figure") {
    for (int Percent : {50, 100, 250, 1000}) {
      CAPTURE(Percent);
      Driver Tested({"a"});
      Tested.measure(100ms, Percent);
      Tested.m_Now += 10s;
      DispatchDecision Next =
          Tested.m_Dispatcher.submit(Tested.request(0, 1s, 0ms), Tested.m_Now);
      CHECK(Next.m_ExpectedTime > 95ms);
      CHECK(Next.m_ExpectedTime < 105ms);
    }
  }

  TEST_CASE("the depth follows what is known of server and request") {
    struct Row {
      std::string m_Name;
      Duration m_RunTime;
      Duration m_RoundTrip;
      Duration m_Objective;
      Duration m_Waited;
      int m_Percent;      // Reported just now.
      Duration m_Silence; // Since a request was sent that has no response yet.
      int m_Depth;        // Within one request.
    };
    // (objective - waited - round trip - run time) * 0.7 / run time * 3 slots.
    const Row Rows[] = {
        {"usual", 100ms, 0ms, 1s, 0ms, 100, 0ms, 19},
        {"longer run time", 200ms, 0ms, 1s, 0ms, 100, 0ms, 8},
        {"longer round trip", 100ms, 110ms, 1s, 0ms, 100, 0ms, 16},
        {"has waited", 100ms, 0ms, 1s, 500ms, 100, 0ms, 8},
        {"shorter objective", 100ms, 0ms, 400ms, 0ms, 100, 0ms, 6},
        {"slow machine", 100ms, 0ms, 1s, 0ms, 250, 0ms, 6},
        {"fast machine", 100ms, 0ms, 1s, 0ms, 50, 0ms, 40},
        {"response not yet due", 100ms, 0ms, 1s, 0ms, 100, 90ms, 19},
        {"response overdue", 100ms, 0ms, 1s, 0ms, 100, 350ms, 5},
        {"response under way", 100ms, 110ms, 1s, 0ms, 100, 200ms, 16},
        {"objective nearly missed", 100ms, 0ms, 1s, 890ms, 100, 0ms, 0},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      Driver Tested({"a"});
      Tested.measure(Case.m_RunTime, 100, Case.m_RoundTrip);
      Tested.m_Now += 10s;
      int Sent = 0;
      if (Case.m_Silence > 0ms) {
        DispatchDecision First = Tested.m_Dispatcher.submit(
            Tested.request(0, Case.m_Objective, 0ms), Tested.m_Now);
        Tested.m_Dispatcher.started(First, Tested.m_Now);
        Tested.m_Now += Case.m_Silence;
        Sent = 1;
      }
      Tested.m_Dispatcher.fleet().updateSlowdown(Tested.index("a"),
                                                 Case.m_Percent, Tested.m_Now);
      Sent += Tested.fill(0, Case.m_Objective, Case.m_Waited);
      CHECK(std::abs(Sent - Slots - Case.m_Depth) <= 1);
    }
  }

  TEST_CASE("a request whose objective is missed gets spare slots only") {
    Driver Tested({"a"});
    Tested.measure(100ms, 100);
    CHECK(Tested.fill(0, 1s, 1500ms) == 1);
  }

  TEST_CASE("a request that must end before its objective waits no longer") {
    // Guards against requests that time out in the queue of a server, where the
    // deadline is earlier than the objective.
    Driver Tested({"a"});
    Tested.measure(100ms, 100);
    Tested.m_Deadline = 1s;
    int Depth = Tested.fill(0, 4s) - Slots;
    CHECK(Depth >= 18);
    CHECK(Depth <= 20);
  }

  TEST_CASE("lower priorities leave room for higher ones") {
    struct Row {
      std::string m_Name;
      bool m_UrgentSeen; // One request with an objective of 400 ms.
      Duration m_SeenBefore;
      int m_MinDepth;
      int m_MaxDepth;
    };
    const Row Rows[] = {
        {"alone", false, 0ms, 60, 100},
        // 0.5 of the 300 ms that the urgent class can wait, at 100 ms each.
        {"beside urgent requests", true, 0ms, 3, 5},
        {"long after the last urgent request", true, 11s, 60, 100},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      Driver Tested({"a"});
      Tested.measure(100ms, 100);
      if (Case.m_UrgentSeen)
        Tested.m_Dispatcher.submit(Tested.request(0, 400ms, 0ms), Tested.m_Now);
      Tested.m_Now += Case.m_SeenBefore;
      int Depth = Tested.fill(2, 4s) - Slots;
      CHECK(Depth >= Case.m_MinDepth);
      CHECK(Depth <= Case.m_MaxDepth);
      // The urgent class can still queue behind it.
      if (Case.m_UrgentSeen && Case.m_SeenBefore == 0ms)
        CHECK(Tested.fill(0, 400ms) >= 1);
    }
  }

  TEST_CASE(
      "an urgent class without time to spare leaves the slots to others") {
    // Guards against requests of the lowest priority that starve.
    Driver Tested({"a"});
    Tested.measure(100ms, 100);
    Tested.m_Dispatcher.submit(Tested.request(0, 50ms, 0ms), Tested.m_Now);
    CHECK(Tested.fill(2, 4s) == Slots);
  }

  TEST_CASE("before a run time is measured the queue stays short") {
    // Guards against a depth computed from the few microseconds since the last
    // request, where a health check has reported a figure and no run has ended.
    Driver Tested({"a"});
    Tested.m_Dispatcher.fleet().updateSlowdown(Tested.index("a"), 100,
                                               Tested.m_Now);
    DispatchDecision First =
        Tested.m_Dispatcher.submit(Tested.request(0, 1s, 0ms), Tested.m_Now);
    REQUIRE(First.m_Action == DispatchAction::Send);
    Tested.m_Dispatcher.started(First, Tested.m_Now);
    Tested.m_Now += 1ms;
    // A run is assumed to take 0.4 of the objective: 0.7 * 600 / 400 * 3 = 3.
    CHECK(1 + Tested.fill(0, 1s) <= Slots + 4);
  }

  TEST_CASE("a run shorter than the round trip leaves the mean positive") {
    // Guards against a mean below zero, with which requests ahead would shorten
    // the expected time.
    DispatchLimits Limits;
    ServiceTimes Times(Limits);
    Times.recordPool(0, -5ms);
    CHECK(Times.poolMean(0) >= 0ms);
  }

  TEST_CASE("the depth stays within the queue that servers accept") {
    struct Row {
      std::string m_Name;
      std::vector<int> m_Refusals; // Waiting requests, in order.
      int m_Accepted; // Waiting requests in a later response; 0: none.
      int m_MinDepth;
      int m_MaxDepth;
    };
    const Row Rows[] = {
        {"never refused", {}, 0, 18, 20},
        {"refused at 9", {9}, 0, 7, 7},
        {"no queue", {0}, 0, 0, 0},
        {"a longer queue is accepted elsewhere", {0}, 9, 7, 7},
        {"a longer queue was refused later", {4, 9}, 0, 7, 7},
        {"one server refuses early once", {9, 0}, 0, 4, 7},
        {"replaced by servers with a shorter queue",
         {27, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3},
         0,
         2,
         3},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      Driver Tested({"a"});
      Tested.measure(100ms, 100);
      for (int Waiting : Case.m_Refusals)
        Tested.refuseOne(Waiting);
      if (Case.m_Accepted > 0) {
        AttemptReport Report;
        Report.m_ResponseTime = 400ms;
        Report.m_HasLoad = true;
        Report.m_Load = {Slots, Case.m_Accepted, Slots, 100};
        Tested.runOne(Tested.request(0, 4s, 0ms), Report);
      }
      int Depth = Tested.fill(0, 1s) - Slots;
      CHECK(Depth >= Case.m_MinDepth);
      CHECK(Depth <= Case.m_MaxDepth);
    }
  }

  TEST_CASE("pools without the figure are filled by the constant shares") {
    // Guards against a change for all other deployments.
    struct Row {
      int m_Priority;
      int m_Sent; // Slots of 3, plus shares of 0.7, 0.34 (at least 1) and 0.
    };
    for (const Row &Case : {Row{0, 5}, Row{1, 4}, Row{2, 3}, Row{7, 3}}) {
      CAPTURE(Case.m_Priority);
      Driver Tested({"a"});
      Tested.measure(100ms, 0);
      Tested.refuseOne(9, 0);
      CHECK(Tested.fill(Case.m_Priority, 1s) == Case.m_Sent);
      // Neither the mean of a pool nor the longest queue counts.
      CHECK_FALSE(Tested.m_Dispatcher.fleet().reportsSlowdown(0));
    }
  }

  TEST_CASE("without the figure, no limit of the depth by time counts") {
    // Guards against decisions that change in all other deployments.
    ModelSettings Settings = sharedMachines();
    ModelResult Usual = runModel(Settings, Policy::Dispatch, 1);
    Settings.m_Limits.m_QueueTimeShare = 0.1;
    Settings.m_Limits.m_UrgentQueueTimeShare = 0.1;
    Settings.m_Limits.m_FullQueueShare = 0.1;
    Settings.m_Limits.m_UrgentSeenFor = 1s;
    ModelResult Other = runModel(Settings, Policy::Dispatch, 1);
    CHECK(Usual.m_ColdRuns == Other.m_ColdRuns);
    CHECK(Usual.m_WarmRuns == Other.m_WarmRuns);
    for (std::size_t Class = 0; Class < Usual.m_ByClass.size(); ++Class) {
      CHECK(Usual.m_ByClass[Class].m_OnTime == Other.m_ByClass[Class].m_OnTime);
      CHECK(Usual.m_ByClass[Class].m_Late == Other.m_ByClass[Class].m_Late);
      CHECK(Usual.m_ByClass[Class].m_Queued == Other.m_ByClass[Class].m_Queued);
    }
  }

  TEST_CASE("near capacity, a queue inside servers serves more on time") {
    for (std::uint64_t Seed : Seeds) {
      CAPTURE(Seed);
      ModelSettings Settings = sharedMachines();
      Settings.m_ReportsRunTime = true;
      ModelResult ByTime = runModel(Settings, Policy::Dispatch, Seed);
      Settings.m_Limits.m_Disabled.add(Mechanism::QueueInside);
      ModelResult NoQueue = runModel(Settings, Policy::Dispatch, Seed);
      MESSAGE("by time: " << text(ByTime)
                          << "; no queue inside: " << text(NoQueue));
      CHECK(onTime(ByTime) > onTime(NoQueue));
      for (std::size_t Class = 0; Class < 3; ++Class)
        CHECK(ByTime.onTime(Class, From, Until) >=
              NoQueue.onTime(Class, From, Until));
    }
  }

  TEST_CASE("near capacity, filling by time serves more than by shares") {
    for (std::uint64_t Seed : Seeds) {
      CAPTURE(Seed);
      ModelSettings Settings = sharedMachines();
      ModelResult ByShare = runModel(Settings, Policy::Dispatch, Seed);
      Settings.m_ReportsRunTime = true;
      ModelResult ByTime = runModel(Settings, Policy::Dispatch, Seed);
      MESSAGE("by time: " << text(ByTime)
                          << "; constant shares: " << text(ByShare));
      CHECK(onTime(ByTime) > onTime(ByShare));
      // Guards against a least urgent class that starves near capacity.
      CHECK(ByTime.onTime(2, From, Until) > ByShare.onTime(2, From, Until));
    }
  }
}

// A suite of its own, as it is known to fail (KNOWN-RED.txt).
TEST_SUITE("queue_depth_urgent") {
  TEST_CASE("filling by time takes nothing from the most urgent class") {
    for (std::uint64_t Seed : Seeds) {
      CAPTURE(Seed);
      ModelSettings Settings = sharedMachines();
      ModelResult ByShare = runModel(Settings, Policy::Dispatch, Seed);
      Settings.m_ReportsRunTime = true;
      ModelResult ByTime = runModel(Settings, Policy::Dispatch, Seed);
      CHECK(ByTime.onTime(0, From, Until) >= ByShare.onTime(0, From, Until));
    }
  }
}
