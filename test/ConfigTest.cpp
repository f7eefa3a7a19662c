#include "rhubarb/Config.h"
#include "rhubarb/Retry.h"

#include <doctest/doctest.h>

#include <functional>

using namespace rhubarb;

namespace {

ConfigSections validSections() {
  return {{"profile paid", {{"urgency", "urgent"}, {"reach", "global"}}},
          {"profile slow", {{"urgency", "batch"}, {"floor_percent", "10"}}},
          {"pool p", {{"slots", "3"}}},
          {"service pay", {{"profile", "paid"}, {"pool", "p"}}},
          {"service stamp", {{"profile", "slow"}, {"pool", "p"}}},
          {"domain a-1", {{"region", "a"}}},
          {"domain b-1", {{"region", "b"}}},
          {"link a b", {{"cap_mbit", "100"}}}};
}

} // namespace

TEST_SUITE("config") {
  TEST_CASE("a valid document is accepted") {
    ConfigCheck Check = checkConfig(validSections(), 7);
    CHECK(Check.m_Errors.empty());
    const Configuration &Config = Check.m_Configuration;
    CHECK(Config.m_Revision == 7);
    REQUIRE(Config.findService("pay") != nullptr);
    CHECK(Config.findService("none") == nullptr);
    CHECK(Config.regionOf("b-1") == "b");
    CHECK(Config.m_Links[0].m_CapBytesPerSecond == 12500000);
  }

  TEST_CASE("every error is reported with section, key and value") {
    struct Row {
      const char *m_Section, *m_Key, *m_Value;
    };
    for (const Row &Case :
         {Row{"profile paid", "urgency", "asap"},
          Row{"profile paid", "worth", "0"},
          Row{"profile paid", "floor_percent", "51"},
          Row{"profile paid", "deadline_ms", "1x"},
          Row{"profile paid", "speed", "1"},
          Row{"profile paid", "idempotent", "maybe"},
          Row{"pool p", "slots", "-1"}, Row{"service pay", "profile", "none"},
          Row{"service pay", "pool", "none"}, Row{"link a b", "cap_mbit", ""},
          Row{"queue q", "x", "1"}}) {
      CAPTURE(Case.m_Section);
      CAPTURE(Case.m_Key);
      ConfigSections Sections = validSections();
      Sections[Case.m_Section][Case.m_Key] = Case.m_Value;
      ConfigCheck Check = checkConfig(Sections, 1);
      REQUIRE(Check.m_Errors.size() == 1);
      CHECK(Check.m_Errors[0].m_Section == Case.m_Section);
    }
    ConfigSections WithTwoErrors = validSections();
    WithTwoErrors["pool p"]["slots"] = "x";
    WithTwoErrors["profile paid"]["worth"] = "y";
    CHECK(checkConfig(WithTwoErrors, 1).m_Errors.size() == 2);
  }

  TEST_CASE("floors must leave capacity for urgent requests") {
    ConfigSections Sections = validSections();
    Sections["profile paid"]["floor_percent"] = "50";
    Sections["profile slow"]["floor_percent"] = "50";
    CHECK(checkConfig(Sections, 1).m_Errors.size() == 1);
  }

  TEST_CASE("applying the difference of two documents gives the second one") {
    ConfigSections From = validSections();
    ConfigSections To = From;
    To.erase("service stamp");
    To["pool p"]["slots"] = "4";
    To["drain 10.0.0.1:1"]["since"] = "5";
    auto Changes = diffConfig(From, To);
    CHECK(Changes.size() == 3);
    applyChanges(From, Changes);
    CHECK(From == To);
    CHECK(diffConfig(From, To).empty());
  }

  TEST_CASE("risky changes cause warnings") {
    ConfigSections From = validSections();
    struct Row {
      const char *m_Name;
      std::function<void(ConfigSections &)> m_Edit;
      std::size_t m_Warnings;
    };
    const Row Rows[] = {
        {"worth", [](ConfigSections &S) { S["profile paid"]["worth"] = "3"; },
         0},
        {"reach",
         [](ConfigSections &S) { S["profile paid"]["reach"] = "domain"; }, 1},
        {"service", [](ConfigSections &S) { S.erase("service pay"); }, 1},
        {"one drain", [](ConfigSections &S) { S["drain a"]; }, 0},
        {"four drains",
         [](ConfigSections &S) {
           S["drain a"];
           S["drain b"];
           S["drain c"];
           S["drain d"];
         },
         1},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      ConfigSections To = From;
      Case.m_Edit(To);
      CHECK(riskyChangeWarnings(From, To).size() == Case.m_Warnings);
    }
  }

  TEST_CASE("indexes do not change when sections are added and removed") {
    Configuration Old = checkConfig(validSections(), 1).m_Configuration;
    ConfigSections Sections = validSections();
    Sections.erase("service pay");
    Sections["profile aaa"]["urgency"] = "normal";
    Sections["service aaa"] = {{"profile", "aaa"}, {"pool", "p"}};
    Configuration Next = checkConfig(Sections, 2).m_Configuration;
    preserveIndexes(Old, Next);
    for (std::size_t I = 0; I < Old.m_Profiles.size(); ++I)
      CHECK(Next.m_Profiles[I].m_Name == Old.m_Profiles[I].m_Name);
    for (std::size_t I = 0; I < Old.m_Services.size(); ++I)
      CHECK(Next.m_Services[I].m_Name == Old.m_Services[I].m_Name);
    CHECK(Next.findService("pay") == nullptr);
    const Service *Added = Next.findService("aaa");
    REQUIRE(Added != nullptr);
    CHECK(Next.m_Profiles[static_cast<std::size_t>(Added->m_Profile)].m_Name ==
          "aaa");
  }
}

TEST_SUITE("retry") {
  // Guards against a Retry-After that ends before the process is ready, when
  // all processes of a fleet start at once and each caller has one attempt
  // left. VMs with a tenth of a core were ready after 1.5 s.
  TEST_CASE("Retry-After at startup ends when the process is ready") {
    struct Row {
      Duration m_Elapsed;
      double m_CpuShare;
      Duration m_Min;
      Duration m_Max;
    };
    for (const Row &Case :
         {Row{0s, 0.1, 1500ms, 1950ms}, Row{1s, 0.1, 500ms, 650ms},
          Row{9s, 0.1, 250ms, 325ms}, Row{0s, 0.5, 300ms, 390ms},
          Row{0s, 1, 250ms, 325ms}, Row{0s, 0, 3s, 3900ms}}) {
      CAPTURE(Case.m_CpuShare);
      Random Jitter(1);
      Duration First =
          startupRetryAfter(Case.m_Elapsed, Case.m_CpuShare, Jitter);
      bool Varies = false;
      for (int I = 0; I < 50; ++I) {
        Duration RetryAfter =
            startupRetryAfter(Case.m_Elapsed, Case.m_CpuShare, Jitter);
        CHECK(RetryAfter >= Case.m_Min);
        CHECK(RetryAfter <= Case.m_Max);
        Varies = Varies || RetryAfter != First;
      }
      CHECK(Varies);
    }
  }

  // Guards against a lack of retries when a third of the servers fails at once:
  // tokens that were saved before may be spent then.
  TEST_CASE("saved retry tokens are spent within the retry ratio") {
    RetryLimits Limits;
    Limits.m_RetryRatio = 0.12;
    Limits.m_ExtraTokenRatio = 0.06;
    Limits.m_MaxTokens = 2;
    RetryBudget Budget(Limits);
    Time Now = 1s;
    for (int I = 0; I < 1000; ++I) // 100 requests per second succeed.
      Budget.recordFirstAttempt(Now += 10ms);
    int Retries = 0;
    int InFirstSecond = 0;
    for (int I = 0; I < 1000; ++I) { // All requests fail for 10 s.
      Budget.recordFirstAttempt(Now += 10ms);
      Retries += Budget.tryTakeRetry() ? 1 : 0;
      InFirstSecond = I < 100 ? Retries : InFirstSecond;
    }
    CHECK(Retries <= 0.2 * 1000 + Limits.m_MaxTokens);
    // m_RetryRatio alone would allow 12 retries for 100 requests.
    CHECK(InFirstSecond >= 40);
  }

  TEST_CASE("retries stay at a tenth of first attempts at any failure rate") {
    RetryBudget Budget;
    int Retries = 0;
    for (int I = 0; I < 10000; ++I) {
      Budget.recordFirstAttempt();
      for (int Try = 0; Try < 3; ++Try)
        Retries += Budget.tryTakeRetry() ? 1 : 0;
    }
    CHECK(Retries <= 1003);
    CHECK(Retries >= 990);
  }
}
