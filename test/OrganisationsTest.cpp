// Organisations: which API key belongs to whom, and which regions are left.
#include "rhubarb/RequestPolicy.h"

#include "net/Crypto.h"

#include <doctest/doctest.h>

using namespace rhubarb;

namespace {

Organisation organisation(std::string Name, std::vector<std::string> Keys) {
  Organisation Row;
  Row.m_Name = std::move(Name);
  Row.m_ApiKeys = std::move(Keys);
  return Row;
}

} // namespace

TEST_SUITE("organisations") {
  // Guards against a withdrawn key that still opens the system, and against a
  // key that names the organisation that held it before.
  TEST_CASE("keys follow the configuration in force") {
    OrganisationTable Table((net::KeyedDigest()));
    CHECK(Table.empty());
    CHECK(Table.findByKey("k1") == nullptr);
    Table.apply(
        {organisation("first", {"k1", "k2"}), organisation("second", {"k3"})});
    CHECK(Table.size() == 2);
    CHECK(Table.apiKeys() == 3);
    REQUIRE(Table.findByKey("k2") != nullptr);
    CHECK(Table.findByKey("k2")->m_Name == "first");
    CHECK(Table.findByKey("") == nullptr);
    CHECK(Table.findByKey("K1") == nullptr);
    CHECK(Table.findByKey("k") == nullptr);
    CHECK(Table.findByName("second")->m_Name == "second");
    CHECK(Table.findByName("third") == nullptr);
    Table.apply(
        {organisation("first", {"k1"}), organisation("second", {"k2"})});
    CHECK(Table.findByKey("k1")->m_Name == "first");
    CHECK(Table.findByKey("k2")->m_Name == "second");
    CHECK(Table.findByKey("k3") == nullptr);
  }

  // Guards against keys that stay readable in the table's rows, from where they
  // could reach a log line.
  TEST_CASE("the table keeps no key") {
    OrganisationTable Table((net::KeyedDigest()));
    Table.apply({organisation("first", {"k1", "k2"})});
    CHECK(Table.rows().front().m_ApiKeys.empty());
  }

  TEST_CASE("digests need the secret of their process") {
    net::KeyedDigest One;
    net::KeyedDigest Other;
    CHECK(One("key") == One("key"));
    CHECK(One("key") != One("kez"));
    CHECK(One("key") != Other("key"));
    CHECK(One("key").size() == 32);
  }

  TEST_CASE("bearer tokens are read from Authorization fields") {
    struct Row {
      const char *m_Field;
      std::optional<std::string_view> m_Token;
    };
    const Row Rows[] = {
        {"Bearer abc", "abc"},       {"bearer abc", "abc"},
        {"BEARER   abc  ", "abc"},   {" Bearer\tabc", "abc"},
        {"Bearer", std::nullopt},    {"Bearer ", std::nullopt},
        {"", std::nullopt},          {"Bearerabc", std::nullopt},
        {"Basic abc", std::nullopt}, {"Bearer a b", std::nullopt},
        {"abc", std::nullopt},       {"Bearers abc", std::nullopt},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Field);
      CHECK(bearerToken(Case.m_Field) == Case.m_Token);
    }
  }

  // Guards against a request that leaves the regions of its route or of its
  // organisation, and against "none left" being read as "all allowed".
  TEST_CASE("regions of route and organisation both bind") {
    using Regions = std::vector<std::string>;
    struct Row {
      Regions m_OfRoute;
      Regions m_OfOrganisation;
      Regions m_Both;
      bool m_None;
    };
    const Row Rows[] = {
        {{}, {}, {}, false},
        {{"a"}, {}, {"a"}, false},
        {{}, {"b", "c"}, {"b", "c"}, false},
        {{"a", "b"}, {"c", "b"}, {"b"}, false},
        {{"a"}, {"b"}, {}, true},
    };
    for (const Row &Case : Rows) {
      RegionRestriction Both =
          intersectRegions(Case.m_OfRoute, Case.m_OfOrganisation);
      CHECK(Both.m_Regions == Case.m_Both);
      CHECK(Both.m_None == Case.m_None);
    }
  }

  TEST_CASE("a policy combines route, organisation and the limit passed on") {
    using Regions = std::vector<std::string>;
    struct Row {
      const char *m_Name;
      bool m_HasOrganisation;
      std::optional<int> m_Priority;
      Regions m_OfRoute, m_OfOrganisation, m_Limit;
      int m_ExpectedPriority;
      std::optional<Regions> m_Expected; // None: the request is refused.
    };
    const Row Rows[] = {
        {"route alone", false, {}, {"a"}, {}, {}, 2, Regions{"a"}},
        {"own priority", true, 0, {}, {}, {}, 0, Regions{}},
        {"all three", true, {}, {"a", "b"}, {"b", "c"}, {"b"}, 2, Regions{"b"}},
        {"limit alone", true, {}, {}, {}, {"c"}, 2, Regions{"c"}},
        {"limit against route", false, {}, {"a"}, {}, {"b"}, 2, {}},
        {"limit against organisation", true, {}, {}, {"a"}, {"b"}, 2, {}},
        {"route against organisation", true, {}, {"a"}, {"b"}, {}, 2, {}},
    };
    for (const Row &Case : Rows) {
      CAPTURE(std::string(Case.m_Name));
      Route Matched;
      Matched.m_Name = "read";
      Matched.m_Priority = 2;
      Matched.m_AllowedRegions = Case.m_OfRoute;
      Organisation Holder = organisation("o1", {});
      Holder.m_Priority = Case.m_Priority;
      Holder.m_AllowedRegions = Case.m_OfOrganisation;
      Result<RequestPolicy> Policy = makePolicy(
          Matched, Case.m_HasOrganisation ? &Holder : nullptr, Case.m_Limit);
      REQUIRE(Policy.has_value() == Case.m_Expected.has_value());
      if (!Policy) {
        CHECK(Policy.error().m_Kind == ErrorKind::NoServerLeft);
        continue;
      }
      CHECK(Policy.value().m_Priority == Case.m_ExpectedPriority);
      CHECK(Policy.value().m_AllowedRegions == *Case.m_Expected);
      CHECK(Policy.value().m_Organisation ==
            (Case.m_HasOrganisation ? "o1" : ""));
    }
  }
}
