#include "rhubarb/Servers.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace rhubarb;

namespace {

std::vector<ServerListing> listings(int Count, int Slots) {
  std::vector<ServerListing> Rows;
  Rows.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Rows.push_back({"10.0.0." + std::to_string(I) + ":1", 0, Slots, false});
  return Rows;
}

// Ticks until slow start has opened all slots.
Time openAll(BackendServerTable &Table, Time Now) {
  for (int I = 0; I < 40; ++I) {
    Now += 250ms;
    Table.tick(Now);
  }
  return Now;
}

} // namespace

TEST_SUITE("servers") {
  TEST_CASE(
      "owners are consistent and even, and a lost member moves few servers") {
    std::vector<std::string> Members{"a", "b", "c", "d"};
    std::vector<std::string> Fewer{"a", "b", "d"};
    std::vector<std::string> Servers;
    for (int I = 0; I < 200; ++I)
      Servers.push_back("s" + std::to_string(I)); // NOLINT
    std::vector<int> Owners = assignOwners(Servers, Members);
    std::vector<int> After = assignOwners(Servers, Fewer);
    std::map<int, int> Count;
    int Moved = 0;
    for (std::size_t I = 0; I < Servers.size(); ++I) {
      ++Count[Owners[I]];
      const std::string &Name = Members[static_cast<std::size_t>(Owners[I])];
      bool Same = Fewer[static_cast<std::size_t>(After[I])] == Name;
      Moved += Name != "c" && !Same ? 1 : 0;
    }
    for (const auto &[Owner, Owned] : Count)
      CHECK(Owned == 50);
    CHECK(Moved <= 20);
    std::reverse(Servers.begin(), Servers.end());
    std::vector<int> Reversed = assignOwners(Servers, Members);
    std::reverse(Reversed.begin(), Reversed.end());
    CHECK(Reversed == Owners);
    CHECK(assignOwners(Servers, {}) == std::vector<int>(200, -1));
    std::vector<std::string> ThreeServers{"x", "y", "z"};
    std::vector<int> Split =
        assignOwners(ThreeServers, std::vector<std::string>{"a", "b"});
    CHECK(std::count(Split.begin(), Split.end(), 0) >= 1);
    CHECK(std::count(Split.begin(), Split.end(), 1) >= 1);
  }

  TEST_CASE("a new owner starts with one slot and opens more after the delay") {
    BackendServerTable Table(ServerLimits{});
    Table.update(listings(1, 8), Time{0});
    CHECK(Table.openSlots(0) == 1);
    Table.tick(1900ms);
    CHECK(Table.openSlots(0) == 1);
    Table.tick(2100ms);
    CHECK(Table.openSlots(0) == 2);
    Table.tick(2400ms);
    CHECK(Table.openSlots(0) == 4);
  }

  TEST_CASE(
      "slots are never exceeded and a leaving server gets no new requests") {
    BackendServerTable Table(ServerLimits{});
    auto Rows = listings(3, 4);
    Table.update(Rows, Time{0});
    Time Now = openAll(Table, Time{0});
    CHECK(Table.openSlots(0) == 12);
    std::vector<ServerIndex> Taken;
    for (ServerIndex Index; (Index = Table.acquire(0)) != NoServer;)
      Taken.push_back(Index);
    CHECK(Taken.size() == 12);
    for (const BackendServer &Row : Table.rows())
      CHECK(Row.m_BusySlots == 4);
    Rows[0].m_Leaving = true;
    Table.update(Rows, Now);
    for (ServerIndex Index : Taken)
      Table.release(Index, AttemptStatus::Answered, Now);
    CHECK(Table.freeSlots(0) == 8);
    for (int I = 0; I < 8; ++I)
      CHECK(Table.row(Table.acquire(0)).m_Listing.m_Address !=
            Rows[0].m_Address);
    CHECK(Table.acquire(0) == NoServer);
  }

  TEST_CASE("ejection keeps a minimum of servers and ends after its duration") {
    BackendServerTable Table(ServerLimits{});
    Table.update(listings(6, 1), Time{0});
    Time Now = openAll(Table, Time{0});
    for (int Round = 0; Round < 30; ++Round) {
      ServerIndex Index = Table.acquire(0);
      if (Index == NoServer)
        break;
      Table.release(Index, AttemptStatus::Failed, Now);
    }
    CHECK(Table.openSlots(0) >= 4);
    CHECK(Table.openSlots(0) < 6);
    Table.tick(Now + 20s);
    CHECK(Table.openSlots(0) == 6);
  }

  TEST_CASE(
      "of two servers a failing one is ejected, an unreachable one unused") {
    BackendServerTable Table(ServerLimits{});
    auto Rows = listings(2, 4);
    Table.update(Rows, Time{0});
    Time Now = openAll(Table, Time{0});
    for (int Round = 0; Round < 40; ++Round) {
      ServerIndex Index = Table.acquire(0);
      bool Failing = Table.row(Index).m_Listing.m_Address == Rows[0].m_Address;
      Table.release(Index,
                    Failing ? AttemptStatus::Failed : AttemptStatus::Answered,
                    Now);
    }
    CHECK(Table.openSlots(0) == 4);
    // The last server is never ejected, but an unreachable one gets no
    // requests.
    Table.setReachable(Rows[1].m_Address, false, Now);
    Table.setReachable(Rows[0].m_Address, false, Now);
    CHECK(Table.acquire(0) == NoServer);
    Table.setReachable(Rows[1].m_Address, true, Now);
    CHECK(Table.freeSlots(0) == 1);
    openAll(Table, Now);
    CHECK(Table.openSlots(0) == 4);
  }

  TEST_CASE("replaced servers do not make the table grow") {
    BackendServerTable Table(ServerLimits{});
    for (int Round = 0; Round < 50; ++Round) {
      std::vector<ServerListing> Rows;
      Rows.reserve(4);
      for (int I = 0; I < 4; ++I)
        Rows.push_back({std::to_string(Round * 4 + I), 0, 2, false});
      Table.update(Rows, Time{0});
      CHECK(Table.openSlots(0) == 4);
    }
    CHECK(Table.rows().size() <= 8);
  }

  TEST_CASE("after a suspension every server goes through slow start") {
    BackendServerTable Table(ServerLimits{});
    Table.update(listings(2, 8), Time{0});
    Time Now = openAll(Table, Time{0});
    CHECK(Table.openSlots(0) == 16);
    Table.restartSlowStart(Now);
    CHECK(Table.openSlots(0) == 2);
  }
}
