// Quotas of organisations, kept by many VMs together.
#include "test/QuotaModel.h"

#include "net/Messages.h"
#include "net/QuotaMessages.h"

#include <doctest/doctest.h>

#include <limits>

using namespace rhubarb;
using namespace rhubarb::test;

namespace {

QuotaModel::Demand demand(double Rate, double Burst, double PerSecond) {
  return {{0, Rate, Burst},
          [=](std::size_t, Time) { return PerSecond / Regions; },
          PerSecond / Regions};
}

double bound(const QuotaRate &Rate) {
  return (Rate.m_PerSecond * 5 + Rate.m_Burst) * 1.1 + Slack;
}

} // namespace

TEST_SUITE("quota") {
  // Guards against tokens lost to delay, loss and waste below the rate, and
  // against more than the rate above it.
  TEST_CASE("demand below and above the rate") {
    struct Case {
      std::size_t m_Vms;
      double m_Rate, m_Burst, m_Factor, m_Loss;
    };
    for (const Case &Each : std::vector<Case>{{10, 100, 20, 0.625, 0},
                                              {10, 100, 20, 2.5, 0.1},
                                              {73, 200, 40, 0.625, 0.02},
                                              {73, 200, 40, 0.9, 0},
                                              {73, 200, 40, 2.5, 0.02},
                                              {73, 1000, 100, 2.5, 0},
                                              {300, 400, 50, 0.625, 0.1},
                                              {300, 400, 50, 2.5, 0.1},
                                              {300, 400, 50, 2.5, 0},
                                              {300, 400, 50, 2.5, 0.05},
                                              {300, 4, 2, 0.625, 0}}) {
      QuotaModel::Options Chosen;
      Chosen.m_Vms = Each.m_Vms;
      Chosen.m_Loss = Each.m_Loss;
      Chosen.m_Demands = {
          demand(Each.m_Rate, Each.m_Burst, Each.m_Rate * Each.m_Factor)};
      // Light demand first, so that the buckets are full.
      Chosen.m_Demands[0].m_PerSecond = [Each](std::size_t, Time Now) {
        return Each.m_Rate / Regions *
               (Now < 10s ? std::min(0.3, Each.m_Factor) : Each.m_Factor);
      };
      QuotaModel Model(Chosen);
      Model.run(40s);
      CAPTURE(Each.m_Vms);
      CAPTURE(Each.m_Rate);
      CAPTURE(Each.m_Factor);
      CAPTURE(Each.m_Loss);
      double May =
          std::min(Model.arrived(0, 10s, 40s), Each.m_Rate * 30 + Each.m_Burst);
      MESSAGE("admitted share ", Model.admitted(0, 10s, 40s) / May,
              ", datagrams per second and VM ",
              static_cast<double>(Model.m_Messages) / 40 /
                  static_cast<double>(Each.m_Vms));
      CHECK(Model.admitted(0, 10s, 40s) >= 0.95 * May);
      CHECK(Model.highest(0) <= bound(Chosen.m_Demands[0].m_Rate));
      CHECK(Model.m_DoubleActing == 0);
      CHECK(Model.m_LongestWait <= WaitLimit + 10ms);
    }
  }

  // Guards against a region's share that callers elsewhere cannot use.
  TEST_CASE("all callers in one region, then in another") {
    for (double Factor : {0.625, 2.5}) {
      QuotaModel::Options Chosen;
      Chosen.m_Vms = 73;
      Chosen.m_Loss = 0.01;
      Chosen.m_Demands = {demand(200, 20, 200 * Factor)};
      Chosen.m_Demands[0].m_Highest = 200 * Factor;
      Chosen.m_Demands[0].m_PerSecond = [=](std::size_t Region, Time Now) {
        return Region == (Now < 25s ? 0U : 1U) ? 200 * Factor : 0;
      };
      QuotaModel Model(Chosen);
      Model.run(45s);
      CAPTURE(Factor);
      for (Duration From : {5s, 25s}) {
        double May = std::min(200.0 * 20, Model.arrived(0, From, From + 20s));
        MESSAGE("admitted share ", Model.admitted(0, From, From + 20s) / May);
        CHECK(Model.admitted(0, From, From + 20s) >= 0.95 * May);
      }
      CHECK(Model.highest(0) <= bound(Chosen.m_Demands[0].m_Rate));
    }
  }

  // Guards against small organisations that are refused, or wait, for a large
  // one far beyond its rate.
  TEST_CASE("a hot organisation beside small ones") {
    QuotaModel::Options Chosen;
    Chosen.m_Vms = 73;
    Chosen.m_Demands = {demand(200, 20, 1500)};
    for (int I = 0; I < 20; ++I)
      Chosen.m_Demands.push_back(demand(4, 8, 2.5));
    QuotaModel Model(Chosen);
    Model.run(40s);
    double Arrived = 0;
    double Admitted = 0;
    for (std::size_t Of = 1; Of <= 20; ++Of) {
      Arrived += Model.arrived(Of, 10s, 39s);
      Admitted += Model.admitted(Of, 10s, 39s);
      CHECK(Model.highest(Of) <= bound({0, 4, 8}));
    }
    CHECK(Admitted >= 0.99 * Arrived);
    CHECK(Model.highest(0) <= bound({0, 200, 20}));
    CHECK(Model.m_LongestWait <= WaitLimit + 10ms);
    CHECK(Model.m_Refusals[ErrorKind::QuotaUnavailable] == 0);
  }

  // Guards against two VMs that act for the same organisation and region, which
  // would release its share twice, and against shares that stay lost.
  TEST_CASE("failures") {
    struct Case {
      std::string m_Name;
      std::size_t m_Vms;
      bool m_Fresh;
      std::function<bool(std::size_t A, std::size_t B)> m_IsCut; // 20 to 90 s.
      std::function<void(QuotaModel &Model)> m_Script;
      double m_ShareMeanwhile; // Lowest admitted share from 20 to 90 s.
    };
    auto Region = [](std::size_t I) { return I % Regions; };
    const std::vector<Case> Cases{
        {"fresh start", 73, true, nullptr, nullptr, 0.95},
        {"half of the VMs killed and started again", 73, false, nullptr,
         [](QuotaModel &Model) {
           for (std::size_t I = 0; I < 73; I += 2) {
             Model.at(20s, [&Model, I] { Model.kill(I); });
             Model.at(22s, [&Model, I] { Model.start(I, 82s); });
           }
         },
         0.85},
        {"holders of all regions killed for good", 30, false, nullptr,
         [](QuotaModel &Model) {
           Model.at(20s, [&Model] {
             for (std::size_t R = 0; R < Regions; ++R)
               Model.kill(Model.holderIn(R, 0));
           });
         },
         0.35}, // No region has a holder for 40 s.
        {"holder of one region started again", 30, false, nullptr,
         [](QuotaModel &Model) {
           Model.at(20s, [&Model] {
             std::size_t I = Model.holderIn(1, 0);
             Model.kill(I);
             Model.at(21s, [&Model, I] { Model.start(I, 81s); });
           });
         },
         0.9},
        {"three VMs cut off from all others", 30, false,
         [](std::size_t A, std::size_t B) { return A < 3 || B < 3; }, nullptr,
         0},
        {"a third of each region cut off", 30, false,
         [](std::size_t A, std::size_t B) { return (A < 9) != (B < 9); },
         nullptr, 0},
        {"regions cut in half", 30, false,
         [](std::size_t A, std::size_t B) { return (A < 15) != (B < 15); },
         nullptr, 0},
        {"regions cut off from each other", 30, false,
         [=](std::size_t A, std::size_t B) { return Region(A) != Region(B); },
         nullptr, 0.95}};
    for (const Case &Each : Cases) {
      QuotaModel::Options Chosen;
      Chosen.m_Vms = Each.m_Vms;
      Chosen.m_Fresh = Each.m_Fresh;
      if (Each.m_IsCut)
        Chosen.m_IsCut = [&](std::size_t A, std::size_t B, Time Now) {
          return 20s <= Now && Now < 90s && Each.m_IsCut(A, B);
        };
      Chosen.m_Demands = {demand(100, 20, 250)};
      QuotaModel Model(Chosen);
      if (Each.m_Script)
        Each.m_Script(Model);
      Model.run(130s);
      CAPTURE(Each.m_Name);
      MESSAGE("admitted share meanwhile ",
              Model.admitted(0, 20s, 90s) / (100 * 70));
      CHECK(Model.m_DoubleActing == 0);
      CHECK(Model.highest(0) <= bound(Chosen.m_Demands[0].m_Rate));
      CHECK(Model.admitted(0, 20s, 90s) >= Each.m_ShareMeanwhile * 100 * 70);
      CHECK(Model.admitted(0, 105s, 130s) >= 0.95 * 100 * 25);
    }
  }

  TEST_CASE("a lowered rate binds within 4 s") {
    QuotaModel::Options Chosen;
    Chosen.m_Vms = 73;
    Chosen.m_Demands = {demand(300, 20, 750)};
    QuotaModel Model(Chosen);
    Model.at(20s, [&] { Model.setRate(0, 100); });
    Model.run(40s);
    CHECK(Model.highest(0) <= bound({0, 300, 20}));
    CHECK(Model.highest(0, 24s) <= bound({0, 100, 20}));
    CHECK(Model.admitted(0, 25s, 40s) >= 0.95 * 100 * 15);
  }

  TEST_CASE("choice of the holder") {
    const std::vector<std::string> Vms{"10.0.0.1", "10.0.0.2", "10.0.0.3"};
    CHECK(chooseQuotaHolder(1, {}).empty());
    std::map<std::string, int> Chosen;
    for (OrganisationHash Of = 0; Of < 300; ++Of) {
      std::string Holder = chooseQuotaHolder(Of, Vms);
      ++Chosen[Holder];
      CHECK(chooseQuotaHolder(Of, {Vms[2], Vms[0], Vms[1]}) == Holder);
      if (Holder != Vms[0]) // Others keep theirs when a VM leaves.
        CHECK(chooseQuotaHolder(Of, {Vms[1], Vms[2]}) == Holder);
    }
    for (const std::string &Vm : Vms)
      CHECK(Chosen[Vm] > 60);
  }

  // Ages and silences are in seconds.
  TEST_CASE("candidates and acting VMs") {
    using enum QuotaStart;
    struct Seen {
      bool m_IsHeard;
      double m_Silent;
    };
    struct Case {
      std::string m_Name;
      QuotaStart m_Start;
      double m_OwnAge;
      std::vector<Seen> m_Vms;
      std::string m_Candidates; // Of the other VMs.
      std::string m_Rivals;
      bool m_MayAct;
    };
    auto Seconds = [](double Value) {
      return Duration(static_cast<std::int64_t>(Value * 1e6));
    };
    auto Join = [](const std::vector<std::string> &Names) {
      std::string Text;
      for (const std::string &Name : Names)
        Text += Name;
      return Text;
    };
    const Seen Now{true, 0};
    for (const Case &Each : std::vector<Case>{
             {"alone in its region", Returned, 2, {}, "", "", true},
             {"first start, young", First, 6.9, {Now, Now}, "ab", "ab", false},
             {"first start", First, 7.1, {Now, Now}, "ab", "ab", true},
             {"first start, most unheard",
              First,
              8,
              {Now, {false, 8}, {false, 8}},
              "abc",
              "abc",
              false},
             {"returned", Returned, 0.5, {Now, Now}, "ab", "ab", true},
             // Others may have replaced this VM while it was away.
             {"returned, none heard",
              Returned,
              0.5,
              {{false, 0.5}, {false, 0.5}},
              "ab",
              "ab",
              false},
             {"returned, half heard",
              Returned,
              0.5,
              {Now, {false, 0.5}},
              "ab",
              "ab",
              true},
             {"added", Added, 29, {Now, Now}, "ab", "ab", false},
             {"added", Added, 31, {Now, Now}, "ab", "ab", true},
             {"unheard for long",
              Returned,
              41,
              {Now, {false, 41}},
              "a",
              "a",
              true},
             {"silent", Returned, 60, {Now, {true, 29}}, "ab", "ab", true},
             {"not asked any more",
              Returned,
              60,
              {Now, {true, 31}},
              "a",
              "ab",
              true},
             {"replaced", Returned, 60, {Now, {true, 41}}, "a", "a", true},
             {"cut off",
              Returned,
              99,
              {{true, 19}, {true, 19}},
              "ab",
              "ab",
              true},
             {"cut off",
              Returned,
              99,
              {{true, 21}, {true, 21}},
              "ab",
              "ab",
              false},
             {"cut off for long",
              Returned,
              99,
              {{true, 50}, {true, 50}},
              "",
              "",
              false},
             {"minority for long",
              Returned,
              99,
              {Now, {true, 50}, {true, 51}},
              "a",
              "a",
              false},
             {"ended in turn",
              Returned,
              200,
              {Now, {true, 50}, {true, 90}, {true, 130}},
              "a",
              "a",
              true}}) {
      std::vector<QuotaVm> Vms;
      for (const Seen &Other : Each.m_Vms)
        Vms.push_back({std::string(1, static_cast<char>('a' + Vms.size())),
                       Other.m_IsHeard, Seconds(Other.m_Silent)});
      CAPTURE(Each.m_Name);
      QuotaActing Acting =
          quotaActing(Vms, Seconds(Each.m_OwnAge), Each.m_Start, 1h);
      CHECK(Join(quotaCandidates(Vms)) == Each.m_Candidates);
      CHECK(Join(Acting.m_Rivals) == Each.m_Rivals);
      CHECK(Acting.m_MayAct == Each.m_MayAct);
      CHECK(
          !quotaActing(Vms, Seconds(Each.m_OwnAge), Each.m_Start, 4s).m_MayAct);
    }
  }

  // Guards against a request that waits behind one with a later limit.
  TEST_CASE("waiting requests end at their limits") {
    QuotaClient Client;
    Client.configure({{1, 100, 10}}, Regions);
    CHECK(Client.submit(2, 1, 1s, 0s).m_Action == QuotaAction::Admit);
    CHECK(Client.submit(1, 1, 1s, 0s).m_Action == QuotaAction::Wait);
    CHECK(Client.submit(1, 2, 50ms, 0s).m_Action == QuotaAction::Wait);
    CHECK(Client.submit(1, 3, 1s, 0s).m_Action == QuotaAction::Wait);
    CHECK(Client.process(49ms).empty());
    std::vector<QuotaWaitEnd> Ends = Client.process(50ms);
    REQUIRE(Ends.size() == 1);
    CHECK(Ends[0].m_Id == 2);
    CHECK(Ends[0].m_Decision.m_Error == ErrorKind::QuotaUnavailable);
    Client.cancel(3);
    CHECK(Client.process(299ms).empty());
    REQUIRE(Client.process(300ms).size() == 1);
    CHECK(!Client.hasWaiting());
  }

  // Holders of three regions that are empty (E), silent (S) or not holders (N).
  TEST_CASE("kinds of refusals") {
    struct Case {
      std::string m_Holders;
      ErrorKind m_Error;
      Duration m_MinRetryAfter, m_MaxRetryAfter;
    };
    for (const Case &Each :
         std::vector<Case>{{"EEE", ErrorKind::QuotaExceeded, 400ms, 800ms},
                           {"ESS", ErrorKind::QuotaExceeded, 400ms, 800ms},
                           {"NSE", ErrorKind::QuotaExceeded, 400ms, 800ms},
                           {"SSS", ErrorKind::QuotaUnavailable, 1s, 2s},
                           {"NNN", ErrorKind::QuotaUnavailable, 1s, 2s}}) {
      QuotaClient Client;
      Client.configure({{1, 100, 10}}, Regions);
      CHECK(Client.submit(1, 1, 2s, 1s).m_Action == QuotaAction::Wait);
      std::vector<QuotaWaitEnd> Ends;
      Time Now = 1s;
      for (; Ends.empty() && Now <= 2s; Now += 10ms) {
        for (const QuotaAsk &Ask : Client.takeAsks(Now))
          if (char Kind = Each.m_Holders[Ask.m_Region]; Kind != 'S')
            Client.applyGrant(Ask.m_Region, Ask.m_Sequence,
                              {{1, 0, Kind == 'E', 400ms}}, Now);
        Ends = Client.process(Now);
      }
      CAPTURE(Each.m_Holders);
      REQUIRE(Ends.size() == 1);
      CHECK(Now <= 1s + WaitLimit + 10ms);
      const QuotaDecision &Refused = Ends[0].m_Decision;
      CHECK(Refused.m_Error == Each.m_Error);
      CHECK(Refused.m_RetryAfter >= Each.m_MinRetryAfter);
      CHECK(Refused.m_RetryAfter <= Each.m_MaxRetryAfter);
    }
  }

  // Guards against asks of farther holders for what the nearest one is asked.
  TEST_CASE("an outstanding ask delays the next one") {
    QuotaClient Client;
    Client.configure({{1, 100, 10}}, Regions);
    Client.submit(1, 1, 2s, 1s);
    REQUIRE(Client.takeAsks(1s).size() == 1);
    Client.submit(1, 2, 2s, 1s);
    CHECK(Client.takeAsks(1001ms).empty());
  }

  TEST_CASE("tokens expire, go back to the stock and are not doubled") {
    QuotaClient Client;
    Client.configure({{1, 100, 10}}, Regions);
    Client.submit(1, 1, 2s, 1s);
    QuotaAsk Ask = Client.takeAsks(1s).at(0);
    const std::vector<QuotaGrantRow> Grant{{1, 5, true, 0ms}};
    Client.applyGrant(0, Ask.m_Sequence, Grant, 1010ms); // Asked for 1.
    Client.applyGrant(0, Ask.m_Sequence, Grant, 1011ms);
    std::vector<QuotaWaitEnd> Ends = Client.process(1012ms);
    REQUIRE(Ends.size() == 1);
    Time ExpiresAt = Ends[0].m_Decision.m_TokenExpiresAt;
    CHECK(ExpiresAt == 1400ms);
    CHECK(Client.submit(1, 2, 2s, 1020ms).m_Action == QuotaAction::Wait);
    Client.cancel(2);
    Client.giveBack(1, ExpiresAt, 1030ms);
    CHECK(Client.submit(1, 3, 2s, 1040ms).m_Action == QuotaAction::Admit);
    Client.giveBack(1, ExpiresAt, 1400ms);
    CHECK(Client.submit(1, 4, 2s, 1400ms).m_Action == QuotaAction::Wait);
  }

  TEST_CASE("a repeated ask gets the same tokens") {
    QuotaHolder Holder;
    Holder.configure({{1, 30, 30}}, Regions, Slack, 0s);
    CHECK(!Holder.answer({1, 5}, 1s).m_IsHolder);
    Holder.setActing(1, true, 0s);
    CHECK(Holder.answer({1, 6}, 1s, 7, 1).m_Tokens == 6);
    CHECK(Holder.answer({1, 6}, 1100ms, 7, 1).m_Tokens == 6);
    CHECK(Holder.answer({1, 3}, 1100ms, 8, 1).m_Tokens == 3);
    CHECK(Holder.answer({1, 9}, 1100ms, 7, 2).m_Tokens == 2);
    CHECK(Holder.answer({1, 6}, 1400ms, 7, 1).m_Tokens == 3); // A new ask.
    Holder.setActing(1, false, 2s);
    Holder.setActing(1, true, 2s);
    CHECK(Holder.answer({1, 6}, 2s, 7, 3).m_Tokens == 0);
  }

  TEST_CASE("messages") {
    net::QuotaAskMessage Ask{2, std::numeric_limits<std::uint64_t>::max(), {}};
    net::QuotaGrantMessage Grant{2, Ask.m_Sequence, {}};
    for (std::uint64_t I = 0; I < 1000; ++I) {
      OrganisationHash Of = std::numeric_limits<std::uint64_t>::max() - I;
      Ask.m_Rows.push_back({Of, 10'000});
      Grant.m_Rows.push_back({Of, 10'000, I % 2 == 0, 60s});
    }
    auto Params = [](const std::string &Text) {
      Json::Value Parsed;
      CHECK(Text.size() <= net::MaxDatagramBytes);
      REQUIRE(Json::Reader().parse(Text, Parsed));
      return Parsed["params"];
    };
    std::size_t Rows = 0;
    for (const std::string &Text : net::encodeQuotaAsk(Ask)) {
      net::QuotaAskMessage Read = net::readQuotaAsk(Params(Text));
      CHECK(Read.m_Region == 2);
      CHECK(Read.m_Sequence == Ask.m_Sequence);
      for (const QuotaAskRow &Row : Read.m_Rows) {
        CHECK(Row.m_Organisation == Ask.m_Rows.at(Rows).m_Organisation);
        CHECK(Row.m_Tokens == Ask.m_Rows.at(Rows++).m_Tokens);
      }
    }
    CHECK(Rows == 1000);
    Rows = 0;
    for (const std::string &Text : net::encodeQuotaGrant(Grant))
      for (const QuotaGrantRow &Row :
           net::readQuotaGrant(Params(Text)).m_Rows) {
        CHECK(Row.m_Organisation == Grant.m_Rows.at(Rows).m_Organisation);
        CHECK(Row.m_IsHolder == Grant.m_Rows.at(Rows).m_IsHolder);
        CHECK(Row.m_RetryAfter == Grant.m_Rows.at(Rows++).m_RetryAfter);
      }
    CHECK(Rows == 1000);
    for (const char *Text :
         {"{}", "[1]", "[1,0]", "[1,0,1]", "[1,-1,1,0]", "[1,0,1,[5]]",
          "[1,0,1,0,[5]]", "[1,0,1,0,5]", "[1,0,1,0,[5,\"x\"]]",
          "[1,0,1,0,[5,99999999999]]", "[1,0,1,0,[-5,1,1,1]]",
          "[1,\"a\",1,0,[5,1,1,1]]", "[1,0,1,\"x\",[5,1,1,1]]"}) {
      Json::Value Parsed;
      REQUIRE(Json::Reader().parse(Text, Parsed));
      CAPTURE(Text);
      CHECK_THROWS_AS(net::readQuotaAsk(Parsed), Json::Exception);
      CHECK_THROWS_AS(net::readQuotaGrant(Parsed), Json::Exception);
    }
  }
}
