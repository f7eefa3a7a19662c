#include "rhubarb/Lookup.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace rhubarb;

namespace {

std::uint32_t ip(int A, int B, int C, int D) {
  return static_cast<std::uint32_t>((A << 24) | (B << 16) | (C << 8) | D);
}

// Reference implementation of ClientBlockTable::find(): a linear scan.
std::uint16_t scanBlocks(const std::vector<ClientBlock> &Blocks,
                         std::uint32_t Address) {
  std::uint16_t Site = NoSite;
  int Longest = -1;
  for (const ClientBlock &Block : Blocks) {
    std::uint64_t Size = 1ULL << (32U - Block.m_PrefixLength);
    bool Contains = (Address & ~(Size - 1)) == (Block.m_Address & ~(Size - 1));
    if (Contains && Block.m_PrefixLength >= Longest) {
      Longest = Block.m_PrefixLength;
      Site = Block.m_Site;
    }
  }
  return Site;
}

std::vector<DomainLoad> twoRegions(double UtilizationA, double UtilizationB,
                                   bool ReachableA) {
  return {{"a-1", "a", ReachableA, UtilizationA, 10},
          {"a-2", "a", true, UtilizationB, 10},
          {"b-1", "b", true, 0.2, 20}};
}

double sumOf(const DomainShares &Shares) {
  double Sum = 0;
  for (const auto &[Domain, Share] : Shares)
    Sum += Share;
  return Sum;
}

} // namespace

TEST_SUITE("lookup") {
  TEST_CASE("the longest prefix wins") {
    ClientBlockTable Table;
    Table.build({{ip(10, 0, 0, 0), 8, 1},
                 {ip(10, 1, 0, 0), 16, 2},
                 {ip(10, 1, 2, 0), 24, 3},
                 {ip(0, 0, 0, 0), 0, 9},
                 {ip(255, 255, 255, 255), 32, 4}});
    struct Row {
      std::uint32_t m_Address;
      std::uint16_t m_Site;
    };
    for (const Row &Case : {Row{ip(10, 9, 9, 9), 1}, Row{ip(10, 1, 9, 9), 2},
                            Row{ip(10, 1, 2, 200), 3}, Row{ip(10, 1, 3, 0), 2},
                            Row{ip(10, 2, 0, 0), 1}, Row{ip(11, 0, 0, 0), 9},
                            Row{ip(255, 255, 255, 255), 4},
                            Row{ip(255, 255, 255, 254), 9}, Row{0, 9}})
      CHECK(Table.find(Case.m_Address) == Case.m_Site);
    ClientBlockTable Empty;
    CHECK(Empty.find(5) == NoSite);
  }

  TEST_CASE("random tables agree with a linear scan") {
    for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
      Random Generator(Seed);
      std::vector<ClientBlock> Blocks;
      Blocks.reserve(200);
      for (int I = 0; I < 200; ++I)
        Blocks.push_back(
            {static_cast<std::uint32_t>(Generator.next()) & 0x0fffffffU,
             static_cast<std::uint8_t>(4 + Generator.below(29)),
             static_cast<std::uint16_t>(Generator.below(50))});
      ClientBlockTable Table;
      Table.build(Blocks);
      for (int I = 0; I < 500; ++I) {
        std::uint32_t Address =
            static_cast<std::uint32_t>(Generator.next()) & 0x1fffffffU;
        if (I % 2 == 0)
          Address = Blocks[Generator.below(Blocks.size())].m_Address + 1;
        CHECK(Table.find(Address) == scanBlocks(Blocks, Address));
      }
    }
  }

  TEST_CASE("steps are bounded, and nothing shifts between the thresholds") {
    SteeringTable Table;
    Table.step(twoRegions(0.5, 0.5, true));
    CHECK(Table.sharesOf("a-1").at("a-1") == doctest::Approx(1.0));
    double Previous = 1.0;
    for (int I = 0; I < 5; ++I) {
      Table.step(twoRegions(1.2, 0.5, true));
      double Share = Table.sharesOf("a-1").at("a-1");
      CHECK(Previous - Share <= 0.1 + 1e-9);
      CHECK(Previous - Share > 0);
      CHECK(sumOf(Table.sharesOf("a-1")) == doctest::Approx(1.0));
      Previous = Share;
    }
    Table.step(twoRegions(0.8, 0.5, true));
    CHECK(Table.sharesOf("a-1").at("a-1") == doctest::Approx(Previous));
    for (int I = 0; I < 12; ++I)
      Table.step(twoRegions(0.4, 0.5, true));
    CHECK(Table.sharesOf("a-1").at("a-1") == doctest::Approx(1.0));
  }

  TEST_CASE("flapping measurements between the thresholds shift nothing") {
    SteeringTable Table;
    Table.step(twoRegions(0.5, 0.5, true));
    for (int I = 0; I < 50; ++I)
      Table.step(twoRegions(I % 2 == 0 ? 0.72 : 0.88, 0.5, true));
    CHECK(Table.sharesOf("a-1").at("a-1") == doctest::Approx(1.0));
  }

  TEST_CASE("callers of an unreachable domain shift at once, within the region "
            "first") {
    SteeringTable Table;
    Table.step(twoRegions(0.5, 0.5, true));
    Table.step(twoRegions(0.5, 0.5, false));
    CHECK(Table.sharesOf("a-1").at("a-2") == doctest::Approx(1.0));
    for (int I = 0; I < 12; ++I)
      Table.step(twoRegions(0.3, 0.5, true));
    CHECK(Table.sharesOf("a-1").at("a-1") == doctest::Approx(1.0));
  }

  TEST_CASE(
      "entries are ordered by selected domain, own domain, region, rest") {
    std::vector<EntryCandidate> Entries{
        {"1", "a-1"}, {"2", "a-1"}, {"3", "a-2"}, {"4", "b-1"}};
    std::map<std::string, std::string> Regions{
        {"a-1", "a"}, {"a-2", "a"}, {"b-1", "b"}};
    std::map<std::string, int> FirstCount;
    for (std::uint64_t Caller = 0; Caller < 1000; ++Caller) {
      auto Order = orderEntries(stableHash(std::to_string(Caller)), "a-1", "a",
                                {{"a-1", 0.5}, {"b-1", 0.5}}, Entries, Regions);
      REQUIRE(Order.size() == 4);
      ++FirstCount[Order[0].m_Domain];
      CHECK(Order[3].m_Domain != "a-1");
    }
    CHECK(FirstCount["a-1"] > 400);
    CHECK(FirstCount["b-1"] > 400);
    CHECK(FirstCount["a-2"] == 0);
  }
}
