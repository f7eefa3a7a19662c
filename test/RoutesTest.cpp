#include "rhubarb/Routes.h"

#include <doctest/doctest.h>

#include <cmath>

using namespace rhubarb;

namespace {

PoolSettings pool(const std::string &Name) {
  PoolSettings Settings;
  Settings.m_Name = Name;
  return Settings;
}

Route route(const std::string &Name, const std::string &Host,
            const std::string &Prefix, int Pool = 0) {
  Route Row;
  Row.m_Name = Name;
  Row.m_Host = Host;
  Row.m_Prefix = Prefix;
  Row.m_Targets = {{Pool, 1}};
  return Row;
}

RoutingConfig config(std::uint64_t Revision, std::vector<PoolSettings> Pools,
                     std::vector<Route> Routes) {
  RoutingConfig Config;
  Config.m_Revision = Revision;
  Config.m_Pools = std::move(Pools);
  Config.m_Routes = std::move(Routes);
  return Config;
}

} // namespace

TEST_SUITE("routes") {
  TEST_CASE("the longest prefix of the host's routes is chosen") {
    RouteTable Table;
    Table.apply(
        config(1, {pool("p")},
               {route("root", "a.example", "/"), route("x", "a.example", "/x/"),
                route("xy", "a.example", "/x/y/"),
                route("other", "b.example", "/x/")}));
    struct Row {
      const char *m_Host;
      const char *m_Path;
      const char *m_Expected; // Empty: no route matches.
    };
    const Row Rows[] = {
        {"a.example", "/", "root"},      {"a.example", "/x", "root"},
        {"a.example", "/x/", "x"},       {"a.example", "/x/z", "x"},
        {"a.example", "/x/y", "x"},      {"a.example", "/x/y/z/", "xy"},
        {"a.example", "/xx/y/", "root"}, {"A.Example", "/x/z", "x"},
        {"a.example:8080", "/x/z", "x"}, {"b.example", "/x/y/z", "other"},
        {"b.example", "/y", ""},         {"c.example", "/x/", ""},
        {"a.example", "", ""},           {"", "/", ""},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Host);
      CAPTURE(Case.m_Path);
      const Route *Matched = Table.find(Case.m_Host, Case.m_Path);
      CHECK((Matched ? Matched->m_Name : "") == Case.m_Expected);
    }
  }

  TEST_CASE("pool indexes are stable across configurations") {
    RouteTable Table;
    Table.apply(config(1, {pool("a"), pool("b")},
                       {route("r", "h", "/", 0), route("s", "h", "/s/", 1)}));
    Table.apply(config(2, {pool("b"), pool("c")},
                       {route("r", "h", "/", 0), route("s", "h", "/s/", 1)}));
    CHECK(Table.config().findPool("a") == 0);
    CHECK(Table.config().findPool("b") == 1);
    CHECK(Table.config().findPool("c") == 2);
    CHECK(Table.find("h", "/")->m_Targets[0].m_Pool == 1);
    CHECK(Table.find("h", "/s/")->m_Targets[0].m_Pool == 2);
    CHECK(Table.config().m_Revision == 2);
  }

  TEST_CASE("targets get their weights, and objects stay on one of them") {
    struct Row {
      const char *m_Name;
      std::vector<double> m_Weights;
      int m_Objects; // 0: requests without an object.
    };
    const Row Rows[] = {
        {"even, no objects", {1, 1}, 0},
        {"90 to 10, no objects", {90, 10}, 0},
        {"90 to 10, 32 objects", {90, 10}, 32},
        {"three ways, 100 objects", {50, 30, 20}, 100},
        {"one object only", {70, 30}, 1},
        {"a weight of zero", {100, 0}, 32},
    };
    // Deviation from the weights: the platform allows 0.1, the target is half
    // of it.
    constexpr double MaxError = 0.05;
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      Route Split = route("r", "h", "/");
      Split.m_Targets.clear();
      double Sum = 0;
      for (double Weight : Case.m_Weights) {
        Split.m_Targets.push_back({0, Weight});
        Sum += Weight;
      }
      WeightedSplitter Splitter;
      Random Pick(7);
      std::vector<double> Counts(Case.m_Weights.size());
      constexpr int Requests = 1000;
      for (int I = 0; I < Requests; ++I) {
        std::uint64_t Object =
            Case.m_Objects == 0
                ? 0
                : stableHash("o", Pick.below(static_cast<std::uint64_t>(
                                      Case.m_Objects))) |
                      1U;
        Counts[Splitter.choose(Split, Object)] += 1;
      }
      for (std::size_t I = 0; I < Counts.size(); ++I)
        CHECK(std::abs(Counts[I] / Requests - Case.m_Weights[I] / Sum) <
              MaxError);
    }
  }

  TEST_CASE("a change of weights takes effect with the next requests") {
    Route Split = route("r", "h", "/");
    Split.m_Targets = {{0, 100}, {1, 0}};
    WeightedSplitter Splitter;
    for (int I = 0; I < 500; ++I)
      CHECK(Splitter.choose(Split, 0) == 0);
    Split.m_Targets = {{0, 0}, {1, 100}};
    for (int I = 0; I < 10; ++I)
      CHECK(Splitter.choose(Split, 0) == 1);
  }
}
