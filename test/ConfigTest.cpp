#include "rhubarb/Config.h"
#include "rhubarb/Retry.h"

#include <doctest/doctest.h>

#include <functional>

using namespace rhubarb;

namespace {

ConfigSections goodSections() {
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
    ConfigCheck Check = checkConfig(goodSections(), 7);
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
      ConfigSections Sections = goodSections();
      Sections[Case.m_Section][Case.m_Key] = Case.m_Value;
      ConfigCheck Check = checkConfig(Sections, 1);
      REQUIRE(Check.m_Errors.size() == 1);
      CHECK(Check.m_Errors[0].m_Section == Case.m_Section);
    }
    ConfigSections Two = goodSections();
    Two["pool p"]["slots"] = "x";
    Two["profile paid"]["worth"] = "y";
    CHECK(checkConfig(Two, 1).m_Errors.size() == 2);
  }

  TEST_CASE("floors must leave capacity") {
    ConfigSections Sections = goodSections();
    Sections["profile paid"]["floor_percent"] = "50";
    Sections["profile slow"]["floor_percent"] = "50";
    CHECK(checkConfig(Sections, 1).m_Errors.size() == 1);
  }

  TEST_CASE("applying a difference gives the other document") {
    ConfigSections From = goodSections();
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

  TEST_CASE("risky changes are reported") {
    ConfigSections From = goodSections();
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

  TEST_CASE("indexes stay when rows are added and removed") {
    Configuration Old = checkConfig(goodSections(), 1).m_Configuration;
    ConfigSections Sections = goodSections();
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
  // All processes of a fleet start at once and each caller has one try left.
  // VMs with a tenth of a core were ready after 1.5 s.
  TEST_CASE("callers retry when the process is ready") {
    struct Row {
      Duration m_Passed;
      double m_CpuShare;
      Duration m_Least;
      Duration m_Most;
    };
    for (const Row &Case :
         {Row{0s, 0.1, 1500ms, 1950ms}, Row{1s, 0.1, 500ms, 650ms},
          Row{9s, 0.1, 250ms, 325ms}, Row{0s, 0.5, 300ms, 390ms},
          Row{0s, 1, 250ms, 325ms}, Row{0s, 0, 3s, 3900ms}}) {
      CAPTURE(Case.m_CpuShare);
      Random Spread(1);
      Duration First =
          startupRetryAfter(Case.m_Passed, Case.m_CpuShare, Spread);
      bool Differ = false;
      for (int I = 0; I < 50; ++I) {
        Duration Told =
            startupRetryAfter(Case.m_Passed, Case.m_CpuShare, Spread);
        CHECK(Told >= Case.m_Least);
        CHECK(Told <= Case.m_Most);
        Differ = Differ || Told != First;
      }
      CHECK(Differ);
    }
  }

  // A third of the servers fails at once.
  TEST_CASE("saved retries stay within the callers' share") {
    RetryLimits Limits;
    Limits.m_RetryRatio = 0.12;
    Limits.m_ExtraTokenRatio = 0.06;
    Limits.m_MaxTokens = 2;
    RetryBudget Budget(Limits);
    Time Now = 1s;
    for (int I = 0; I < 1000; ++I) // 100 requests per second without failures.
      Budget.recordFirstAttempt(Now += 10ms);
    int Retries = 0;
    int InFirstSecond = 0;
    for (int I = 0; I < 1000; ++I) { // All requests fail during a window.
      Budget.recordFirstAttempt(Now += 10ms);
      Retries += Budget.tryTakeRetry() ? 1 : 0;
      InFirstSecond = I < 100 ? Retries : InFirstSecond;
    }
    CHECK(Retries <= 0.2 * 1000 + Limits.m_MaxTokens);
    // More than m_Share of one second's requests, which is 12.
    CHECK(InFirstSecond >= 40);
  }

  TEST_CASE("retries stay a tenth of first tries, whatever the failures") {
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
