// Limits that backend servers name, kept by many VMs together.
#include "standins/site/RateLimitCheck.h"

#include "net/Messages.h"
#include "net/ServerUpdates.h"
#include "net/Text.h"

#include "rhubarb/Fleet.h"

#include <doctest/doctest.h>

#include <cmath>
#include <map>
#include <memory>

using namespace rhubarb;

namespace {

constexpr ServerIndex OnlyServer = 0;
constexpr Duration Step = 5ms;
constexpr Duration ServiceTime = 150ms;
constexpr Duration SilenceTimeout = 3s;

BackendInfo oneServer(std::int64_t StartTimeMs = 1) {
  BackendInfo Info;
  Info.m_Id = "s-0";
  Info.m_Address = "10.0.0.1:80";
  Info.m_Region = "a";
  Info.m_Slots = 8;
  Info.m_StartTimeMs = StartTimeMs;
  return Info;
}

// VMs that send requests to one server and tell each other what they sent.
struct SharedServerModel {
  int m_Vms = 10;
  double m_Demand = 20;         // Requests per second, over all VMs.
  Duration m_Delay = 60ms;      // Time until a VM hears of another's request.
  Duration m_TellInterval = 0s; // A VM sends updates at most this often.
  double m_LostShare = 0;       // Share of the updates that are lost.
  double m_RestartsPerSecond = 0;
  // Limits that the server names, by the time from which on it does.
  std::map<Time, std::optional<double>> m_Limits;
  // The first VMs hear nothing of the others, and the reverse, in this time.
  std::size_t m_CutVms = 0;
  Time m_CutFrom{0};
  Time m_CutUntil{0};
  Duration m_Length = 60s;
  std::uint64_t m_Seed = 1;
  // Whether the VMs choose the interval instead.
  bool m_OwnTellInterval = false;
  // The server is not listed at any VM in this time, and goes on running.
  Time m_UnlistedFrom{0};
  Time m_UnlistedUntil{0};

  bool isCut(std::size_t A, std::size_t B, Time Now) const {
    return (A < m_CutVms) != (B < m_CutVms) && m_CutFrom <= Now &&
           Now < m_CutUntil;
  }
  site::RateLimitCheck run() const;
};

struct ModelVm {
  Fleet m_Fleet;
  std::uint64_t m_Process = 0;
  Time m_ToldAt{0};
  Time m_ExcusedUntil{0};
};

site::RateLimitCheck SharedServerModel::run() const {
  Random Randomness(m_Seed);
  std::vector<std::unique_ptr<ModelVm>> Vms;
  std::uint64_t Processes = 0;
  auto StartVm = [&](std::size_t Index) {
    Vms[Index] = std::make_unique<ModelVm>();
    Vms[Index]->m_Process = ++Processes;
    Vms[Index]->m_Fleet.setPeerCount(static_cast<std::size_t>(m_Vms) - 1);
    Vms[Index]->m_Fleet.setRateRankHook(
        [Index](const BackendInfo &) { return Index; });
    Vms[Index]->m_Fleet.update({oneServer()}, Time{0});
  };
  Vms.resize(static_cast<std::size_t>(m_Vms));
  for (std::size_t I = 0; I < Vms.size(); ++I)
    StartVm(I);
  std::multimap<Time, std::function<void(Time)>> Events;
  site::RateLimitCheck Server;
  auto Answer = [&](std::size_t Index, std::uint64_t Process, Time StartedAt,
                    Time At) {
    ModelVm &Vm = *Vms[Index];
    if (Vm.m_Process != Process)
      return; // The process was restarted meanwhile.
    AttemptReport Report;
    Report.m_RateLimitHint =
        Server.limit() ? RateLimitHint::Named : RateLimitHint::NotNamed;
    Report.m_RateLimit = Server.limit().value_or(0);
    Vm.m_Fleet.finished(OnlyServer, Report, StartedAt, At);
    Server.recordTold(std::to_string(Process), At);
  };
  auto Check = [&](std::size_t Index, std::uint64_t Process, Time At) {
    if (Vms[Index]->m_Process == Process)
      Vms[Index]->m_Fleet.applyRateLimitHint(
          OnlyServer,
          Server.limit() ? RateLimitHint::Named : RateLimitHint::NotNamed,
          Server.limit().value_or(0), At);
  };
  auto Tell = [&](std::size_t From, bool Repeat, Time Now) {
    ModelVm &Vm = *Vms[From];
    Duration Interval = m_OwnTellInterval
                            ? Vm.m_Fleet.rateLimitUpdateInterval(Now)
                            : m_TellInterval;
    if (Now - Vm.m_ToldAt < Interval)
      return;
    auto Updates = Vm.m_Fleet.takeRateLimitUpdates(Repeat);
    if (Updates.empty())
      return;
    Vm.m_ToldAt = Now;
    for (std::size_t To = 0; To < Vms.size(); ++To)
      if (To != From && !isCut(From, To, Now) &&
          Randomness.uniform() >= m_LostShare)
        Events.emplace(Now + m_Delay,
                       [&, To, Peer = Vm.m_Process, Updates](Time At) {
                         for (const auto &[Incarnation, Update] : Updates)
                           Vms[To]->m_Fleet.applyRateLimitUpdate(
                               Incarnation, Peer, Update, At);
                       });
  };
  double StepSeconds = std::chrono::duration<double>(Step).count();
  for (Time Now = 1s; Now < 1s + m_Length; Now += Step) {
    if (auto Limit = m_Limits.find(Now - 1s); Limit != m_Limits.end())
      Server.name(Limit->second, Now);
    while (!Events.empty() && Events.begin()->first <= Now) {
      auto Event = Events.extract(Events.begin());
      Event.mapped()(Event.key());
    }
    if (Randomness.uniform() < m_RestartsPerSecond * StepSeconds)
      StartVm(Randomness.below(Vms.size()));
    for (double Left = m_Demand * StepSeconds; Left > 0; Left -= 1) {
      if (Randomness.uniform() >= std::min(Left, 1.0))
        continue;
      std::size_t Index = Randomness.below(Vms.size());
      ModelVm &Vm = *Vms[Index];
      if (Vm.m_Fleet.find("s-0") == NoServer)
        continue;
      if (Vm.m_Fleet.exclusionReason(Vm.m_Fleet.row(OnlyServer), Now) !=
              ExclusionReason::None ||
          !Vm.m_Fleet.rateAllows(OnlyServer, 1, 0, Now))
        continue;
      Vm.m_Fleet.started(OnlyServer, ServiceTime, Now);
      Server.recordArrival(std::to_string(Vm.m_Process), Now);
      Events.emplace(Now + ServiceTime,
                     [&, Index, Process = Vm.m_Process, Now](Time At) {
                       Answer(Index, Process, Now, At);
                     });
    }
    for (std::size_t I = 0; I < Vms.size() && m_CutVms > 0; ++I) {
      // The membership finds out about the cut after a while.
      bool Cut = m_CutFrom + SilenceTimeout <= Now && Now < m_CutUntil;
      std::size_t Side = I < m_CutVms ? m_CutVms : Vms.size() - m_CutVms;
      Vms[I]->m_Fleet.setHeardShare(
          Cut ? double(Side) / static_cast<double>(Vms.size()) : 1, Now);
    }
    if (m_UnlistedUntil.count() > 0)
      for (const std::unique_ptr<ModelVm> &Vm : Vms) {
        if (Now == m_UnlistedFrom)
          Vm->m_Fleet.update({}, Now);
        if (Now == m_UnlistedUntil)
          Vm->m_Fleet.update({oneServer()}, Now);
      }
    bool HealthRound = Now % 250ms == Time{0};
    bool RepeatRound = Now % 200ms == Time{0};
    for (std::size_t I = 0; I < Vms.size(); ++I) {
      ModelVm &Vm = *Vms[I];
      if (RepeatRound)
        Vm.m_Fleet.tick(Now);
      if (HealthRound && !Vm.m_Fleet.dueHealthChecks(Now).empty()) {
        Vm.m_Fleet.healthCheckStarted(OnlyServer, Now);
        Server.recordArrival(std::to_string(Vm.m_Process), Now);
        Events.emplace(
            Now + ServiceTime,
            [&, I, Process = Vm.m_Process](Time At) { Check(I, Process, At); });
      }
      Tell(I, RepeatRound, Now);
    }
  }
  return Server;
}

} // namespace

TEST_SUITE("rate_limit") {
  TEST_CASE("VMs keep to a server's rate together, and use it") {
    struct Row {
      const char *m_Name;
      SharedServerModel m_Model;
      double m_MinUse;
    };
    const std::map<Time, std::optional<double>> Steady{{8s, 4.0}};
    const Row Rows[] = {
        {"3 VMs", {3, 20, 60ms, 15ms, 0, 0, Steady}, 0.8},
        {"12 VMs", {12, 25, 60ms, 60ms, 0, 0, Steady}, 0.8},
        {"82 VMs", {82, 15, 80ms, 410ms, 0, 0, Steady}, 0.8},
        {"295 VMs", {295, 4, 100ms, 1475ms, 0, 0, {{8s, 1.2}}}, 0.8},
        {"a flood", {12, 120, 60ms, 60ms, 0, 0, Steady}, 0.8},
        {"low limit", {12, 25, 60ms, 60ms, 0, 0, {{8s, 0.5}}}, 0.8},
        {"high limit", {12, 400, 60ms, 60ms, 0, 0, {{8s, 100.0}}}, 0.8},
        {"lossy links", {12, 25, 60ms, 60ms, 0.05, 0, Steady}, 0.8},
        {"half of all updates lost", {12, 25, 60ms, 60ms, 0.5, 0, Steady}, 0.8},
        {"restarts", {12, 25, 60ms, 60ms, 0, 0.5, Steady}, 0.8},
        {"restarts of 295 VMs",
         {295, 4, 100ms, 1475ms, 0.03, 3, {{8s, 1.2}}},
         0.8},
        {"a limit that changes",
         {12,
          25,
          60ms,
          60ms,
          0,
          0,
          {{8s, 8.0}, {16s, 2.0}, {26s, std::nullopt}, {32s, 5.0}, {42s, 9.0}}},
         0.8},
        {"no requests for a while",
         {12, 25, 60ms, 60ms, 0, 0, {{8s, 0.0}, {25s, 6.0}}},
         0},
        {"no requests for a while, 295 VMs",
         {295, 4, 100ms, 1475ms, 0, 0, {{8s, 0.0}, {25s, 1.2}}},
         0},
    };
    for (const Row &Case : Rows) {
      for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
        CAPTURE(Case.m_Name);
        CAPTURE(Seed);
        SharedServerModel Model = Case.m_Model;
        Model.m_Seed = Seed;
        site::RateLimitCheck Server = Model.run();
        std::vector<std::string> Found =
            Server.violations([](const std::string &, Time) { return false; });
        CHECK_MESSAGE(Found.empty(), (Found.empty() ? "" : Found.front()));
        CHECK(Server.smallestUse(1s + Model.m_Length) >= Case.m_MinUse);
      }
    }
  }

  TEST_CASE("VMs that are cut off do not make the others exceed a rate") {
    for (int Vms : {12, 82}) {
      for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
        CAPTURE(Vms);
        CAPTURE(Seed);
        SharedServerModel Model;
        Model.m_Vms = Vms;
        Model.m_Demand = 25;
        Model.m_Limits = {{8s, 4.0}};
        Model.m_CutVms = 2;
        Model.m_CutFrom = 21s;
        Model.m_CutUntil = 31s;
        Model.m_Seed = Seed;
        site::RateLimitCheck Server = Model.run();
        auto Excused = [&](const std::string &Process, Time At) {
          return std::stoul(Process) <= Model.m_CutVms &&
                 Model.m_CutFrom <= At && At < Model.m_CutUntil + 4s;
        };
        CHECK(Server.violations(Excused).empty());
        CHECK(Server.smallestUse(1s + Model.m_Length) >= 0.8);
      }
    }
  }

  TEST_CASE("a server that took no requests gets some after its limit ended") {
    for (int Vms : {3, 12, 295}) {
      CAPTURE(Vms);
      SharedServerModel Model;
      Model.m_Vms = Vms;
      Model.m_Limits = {{8s, 0.0}, {20s, std::nullopt}, {40s, 20.0}};
      Model.m_Length = 50s;
      // The limit of 20 is reached only by requests, not by health checks.
      CHECK(Model.run().smallestUse(51s) >= 0.8);
    }
  }

  TEST_CASE("what responses say of the rate") {
    struct Row {
      const char *m_Name;
      AttemptOutcome m_Outcome;
      RateLimitHint m_Hint;
      double m_Value;
      std::optional<double> m_Expected; // After a limit of 5 was known.
    };
    const Row Rows[] = {
        {"another limit", AttemptOutcome::Served, RateLimitHint::Named, 3, 3.0},
        {"a limit of 0", AttemptOutcome::Served, RateLimitHint::Named, 0, 0.0},
        {"a huge limit", AttemptOutcome::Served, RateLimitHint::Named, 1e300,
         MaxRateLimit},
        {"no limit", AttemptOutcome::Served, RateLimitHint::NotNamed, 0,
         std::nullopt},
        {"no limit in a failure", AttemptOutcome::Failed,
         RateLimitHint::NotNamed, 0, std::nullopt},
        {"no limit in a refusal", AttemptOutcome::Refused,
         RateLimitHint::NotNamed, 0, 5.0},
        {"a limit in a refusal", AttemptOutcome::Refused, RateLimitHint::Named,
         2, 2.0},
        {"an unreadable limit", AttemptOutcome::Served, RateLimitHint::Unknown,
         0, 5.0},
        {"no response", AttemptOutcome::Silent, RateLimitHint::Unknown, 0, 5.0},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      Fleet Servers;
      Servers.update({oneServer()}, 1s);
      auto Respond = [&](AttemptOutcome Outcome, RateLimitHint Hint,
                         double Value, Time At) {
        Servers.started(OnlyServer, ServiceTime, At);
        AttemptReport Report;
        Report.m_Outcome = Outcome;
        Report.m_RateLimitHint = Hint;
        Report.m_RateLimit = Value;
        Servers.finished(OnlyServer, Report, At, At);
      };
      Respond(AttemptOutcome::Served, RateLimitHint::Named, 5, 2s);
      Respond(Case.m_Outcome, Case.m_Hint, Case.m_Value, 3s);
      CHECK(Servers.rateLimit(OnlyServer)->perSecond() == Case.m_Expected);
    }
  }

  TEST_CASE("a response on its way when a limit was named does not end it") {
    for (Duration SentAt : {Duration{1500ms}, Duration{2500ms}}) {
      CAPTURE(SentAt.count());
      Fleet Servers;
      Servers.update({oneServer()}, 1s);
      Servers.started(OnlyServer, ServiceTime, SentAt);
      Servers.applyRateLimitUpdate(Servers.row(OnlyServer).m_Incarnation, 1,
                                   {"s-0", {5.0, 2s, 1}}, 2s);
      AttemptReport Report;
      Report.m_RateLimitHint = RateLimitHint::NotNamed;
      Servers.finished(OnlyServer, Report, SentAt, 3s);
      CHECK(Servers.rateLimit(OnlyServer)->isLimited() == (SentAt < 2s));
    }
  }

  TEST_CASE("a refusal by a limited server is no failure") {
    for (bool Limited : {false, true}) {
      CAPTURE(Limited);
      Fleet Servers;
      Servers.update({oneServer()}, 1s);
      AttemptReport Report;
      Report.m_Outcome = AttemptOutcome::Refused;
      if (Limited)
        Report.m_RateLimitHint = RateLimitHint::Named;
      Report.m_RateLimit = 5;
      Servers.started(OnlyServer, ServiceTime, 2s);
      Servers.finished(OnlyServer, Report, 2s, 2s);
      CHECK((Servers.row(OnlyServer).m_FailureRate == 0) == Limited);
    }
  }

  TEST_CASE("a VM that missed the end of a limit of 0 finds out") {
    // The ranks of a fleet of 295 VMs, whose others know that it has ended.
    for (std::size_t Rank : {0, 10, 294}) {
      CAPTURE(Rank);
      SharedRateLimit Limit;
      Limit.setRank(Rank, 294);
      Limit.observe(0.0, 1s, 1s);
      CHECK(Limit.allowsTrial(1s) == (Rank == 0));
      CHECK(Limit.allowsTrial(200s));
    }
  }

  TEST_CASE("what peers heard counts if it is later, and for the same start") {
    Fleet Servers;
    Servers.update({oneServer()}, 1s);
    std::uint64_t Incarnation = Servers.row(OnlyServer).m_Incarnation;
    Servers.applyRateLimitUpdate(Incarnation, 1, {"s-0", {4.0, 10s, 1}}, 10s);
    Servers.applyRateLimitUpdate(Incarnation, 2, {"s-0", {9.0, 9s, 1}}, 11s);
    CHECK(Servers.rateLimit(OnlyServer)->perSecond() == 4.0);
    Servers.applyRateLimitUpdate(Incarnation, 2,
                                 {"s-0", {std::nullopt, 12s, 1}}, 12s);
    CHECK_FALSE(Servers.rateLimit(OnlyServer)->isLimited());
    Servers.applyRateLimitUpdate(Incarnation, 2, {"s-0", {2.0, 13s, 1}}, 13s);
    Servers.update({oneServer(2)}, 14s);
    CHECK(Servers.rateLimit(OnlyServer) == nullptr);
    CHECK(Servers.rateAllows(OnlyServer, 2, 100, 14s));
  }

  TEST_CASE("a bucket") {
    SharedRateLimit Limit;
    Limit.observe(4.0, 1s, 1s);
    SUBCASE("saves up no idle minute") {
      CHECK(Limit.tokens(61s) == doctest::Approx(2));
    }
    SUBCASE("counts each request of a peer once") {
      Limit.recordPeer(7, 1, 10s);
      Limit.recordPeer(7, 1, 10s);
      Limit.recordPeer(7, 4, 10s);
      CHECK(Limit.tokens(10s) == doctest::Approx(2 - 4));
    }
    SUBCASE("forgives debt beyond four seconds") {
      Limit.recordPeer(7, 1, 10s);
      Limit.recordPeer(7, 1000, 10s);
      CHECK(Limit.tokens(10s) == doctest::Approx(-16));
    }
    SUBCASE("fills slowly while peers are not heard") {
      Limit.setShare(0.5, 1s);
      CHECK(Limit.tokens(1500ms) == doctest::Approx(1));
    }
    SUBCASE("gives the highest priority the last token") {
      CHECK(Limit.allows(0, 0, 1s));
      CHECK_FALSE(Limit.allows(1, 0, 1s));
      CHECK_FALSE(Limit.allows(2, 0, 1s));
      CHECK(Limit.wait(2, 0, 1s) == 250ms);
    }
  }

  TEST_CASE("rates in headers") {
    struct Row {
      const char *m_Text;
      std::optional<double> m_Expected;
    };
    const Row Rows[] = {
        {"6.1", 6.1},           {"0", 0.0},
        {"12", 12.0},           {"", std::nullopt},
        {"-1", std::nullopt},   {"-0", std::nullopt},
        {"nan", std::nullopt},  {"inf", std::nullopt},
        {"1e3", std::nullopt},  {"1e300", std::nullopt},
        {"5 /s", std::nullopt}, {" 5", std::nullopt},
        {"5,5", std::nullopt},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Text);
      CHECK(net::parseRate(Case.m_Text) == Case.m_Expected);
    }
  }

  TEST_CASE("updates survive encoding, in datagrams") {
    net::RateLimitUpdates Updates;
    Updates.m_Vm = "10.0.0.1";
    Updates.m_Incarnation = 5;
    for (int I = 0; I < 25; ++I)
      Updates.m_Servers["i-" + std::to_string(I)] = {
          ~std::uint64_t{0},
          {I % 2 == 0 ? std::optional(I + 0.5) : std::nullopt, 8s,
           static_cast<std::uint64_t>(I)}};
    std::size_t Rows = 0;
    for (const std::string &Text : net::encodeRateLimitUpdates(Updates, 10s)) {
      CHECK(Text.size() + 400 < net::MaxDatagramBytes);
      net::RateLimitUpdates Got = net::readRateLimitUpdates(
          net::parseJson(Text).value()["params"], 20s);
      CHECK(Got.m_Vm == "10.0.0.1");
      CHECK(Got.m_Incarnation == 5);
      for (const auto &[Id, Row] : Got.m_Servers) {
        ++Rows;
        CHECK(Row.m_Incarnation == ~std::uint64_t{0});
        CHECK(Row.m_Update.m_PerSecond ==
              Updates.m_Servers[Id].m_Update.m_PerSecond);
        CHECK(Row.m_Update.m_HeardAt == 18s);
        CHECK(Row.m_Update.m_Sent == Updates.m_Servers[Id].m_Update.m_Sent);
      }
    }
    CHECK(Rows == 25);
  }
}

namespace {

SharedServerModel pressedServer(int Vms, double Demand, double Limit,
                                std::uint64_t Seed) {
  SharedServerModel Model;
  Model.m_Vms = Vms;
  Model.m_Demand = Demand;
  Model.m_Delay = 80ms;
  Model.m_OwnTellInterval = true;
  Model.m_Limits = {{8s, Limit}};
  Model.m_Length = 30s;
  Model.m_Seed = Seed;
  return Model;
}

} // namespace

TEST_SUITE("rate_limit_pressed") {
  TEST_CASE("a limited server that many VMs have requests for keeps its rate") {
    for (int Vms : {3, 10, 61, 82, 295})
      for (double Demand : {60.0, 150.0, 300.0, 1000.0})
        for (double Limit : {1.0, 2.0, 4.0, 12.0})
          for (std::uint64_t Seed = 1; Seed <= 4; ++Seed) {
            CAPTURE(Vms);
            CAPTURE(Demand);
            CAPTURE(Limit);
            CAPTURE(Seed);
            SharedServerModel Model = pressedServer(Vms, Demand, Limit, Seed);
            site::RateLimitCheck Server = Model.run();
            std::vector<std::string> Found = Server.violations(
                [](const std::string &, Time) { return false; });
            CHECK_MESSAGE(Found.empty(), (Found.empty() ? "" : Found.front()));
            CHECK(Server.smallestUse(1s + Model.m_Length) >= 0.8);
          }
  }
}

TEST_SUITE("rate_limit_unlisted") {
  TEST_CASE("a limited server that is not listed for a while keeps its rate") {
    for (int Vms : {3, 10, 61, 82, 295})
      for (double Demand : {15.0, 150.0, 300.0})
        for (double Limit : {2.0, 4.0, 12.0})
          for (Duration Away : {Duration{600ms}, Duration{2s}, Duration{15s}}) {
            CAPTURE(Vms);
            CAPTURE(Demand);
            CAPTURE(Limit);
            CAPTURE(Away.count());
            SharedServerModel Model = pressedServer(Vms, Demand, Limit, 1);
            Model.m_UnlistedFrom = 12s;
            Model.m_UnlistedUntil = 12s + Away;
            std::vector<std::string> Found = Model.run().violations(
                [](const std::string &, Time) { return false; });
            CHECK_MESSAGE(Found.empty(), (Found.empty() ? "" : Found.front()));
          }
  }
}
