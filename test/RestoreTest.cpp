// What VMs know when their store is restored from a copy: its revisions go back
// and are given out again, and later writes are lost.
#include "rhubarb/Evacuations.h"
#include "rhubarb/Listing.h"

#include <doctest/doctest.h>

#include <functional>
#include <optional>

using namespace rhubarb;

namespace {

BackendInfo entry(const std::string &Id, std::int64_t Sequence,
                  bool Leaving = false, std::int64_t StartTimeMs = 1) {
  BackendInfo Info;
  Info.m_Id = Id;
  Info.m_Address = "10.0.0.1:80";
  Info.m_PoolName = "p";
  Info.m_Domain = "d";
  Info.m_Sequence = Sequence;
  Info.m_Leaving = Leaving;
  Info.m_StartTimeMs = StartTimeMs;
  return Info;
}

enum class ServerState : std::uint8_t { Ready, Leaving, Absent };

ServerState stateOf(const ListingTable &Table, const std::string &Id) {
  const ListingRow *Row = Table.find(Id);
  if (Row == nullptr || Row->m_Removed)
    return ServerState::Absent;
  return Row->m_Listing.m_Leaving ? ServerState::Leaving : ServerState::Ready;
}

// A store with servers that write their entries, restored from a copy.
struct ModelStore {
  std::map<std::string, ListingRow> m_Items;
  std::vector<ListingRow> m_History;
  StorePosition m_Position{1, 1};

  void write(const BackendInfo &Info, bool Removed) {
    ++m_Position.m_Revision;
    ListingRow Row{Info, m_Position, Removed, 0s};
    if (Removed)
      m_Items.erase(Info.m_Id);
    else
      m_Items[Info.m_Id] = Row;
    m_History.push_back(Row);
  }
  // Returns to a copy; its items get positions of the new era.
  void restore(const ModelStore &Copy) {
    std::uint64_t Era = m_Position.m_Era + 1;
    *this = Copy;
    m_Position.m_Era = Era;
    for (auto &[Id, Row] : m_Items)
      Row.m_Position.m_Era = Era;
    m_History.clear();
  }
  // Brings a table up to date, as a reader does: by a watch from a position of
  // the same era, by a whole read otherwise.
  void read(ListingTable &Table, Time Now) const {
    if (Table.position().m_Era == m_Position.m_Era &&
        !Table.needsWholeList(Now)) {
      for (const ListingRow &Row : m_History)
        if (Row.m_Position > Table.position())
          Table.merge(Row, Now);
    } else {
      std::vector<ListingRow> Rows;
      for (const auto &[Id, Row] : m_Items) {
        Rows.push_back(Row);
        Rows.back().m_MayBeCopy = true;
      }
      Table.replace(Rows, m_Position, Now);
    }
    Table.confirmComplete(m_Position, Now);
  }
};

} // namespace

TEST_SUITE("restore") {
  TEST_CASE("positions of different eras are ordered by era") {
    CHECK(StorePosition{2, 5} > StorePosition{1, 62});
    CHECK(StorePosition{2, 5} < StorePosition{2, 6});
    CHECK(StorePosition{}.isNone());
    CHECK(positionText({2, 57}) == "2.57");
  }

  TEST_CASE("a copy does not undo what servers have said since") {
    struct Row {
      const char *m_Name;
      std::optional<ListingRow> m_Known; // Before the restore.
      std::optional<ListingRow> m_Copy;  // What the restored store lists.
      std::optional<ListingRow> m_Later; // A write after the restore.
      ServerState m_AtOnce;
      ServerState m_After3s;
    };
    auto Ready = [](std::uint64_t Era, std::uint64_t Revision,
                    std::int64_t Sequence, std::int64_t Start = 1) {
      return ListingRow{entry("a", Sequence, false, Start), {Era, Revision}};
    };
    auto Leaving = [](std::uint64_t Era, std::uint64_t Revision,
                      std::int64_t Sequence) {
      return ListingRow{entry("a", Sequence, true), {Era, Revision}};
    };
    auto Gone = [](std::uint64_t Era, std::uint64_t Revision,
                   std::int64_t Sequence) {
      return ListingRow{entry("a", Sequence), {Era, Revision}, true};
    };
    using S = ServerState;
    const Row Rows[] = {
        {"nothing was known", {}, Ready(2, 40, 9), {}, S::Ready, S::Ready},
        {"the same entry",
         Ready(1, 40, 9),
         Ready(2, 40, 9),
         {},
         S::Ready,
         S::Ready},
        {"leaving, but ready in the copy",
         Leaving(1, 60, 12),
         Ready(2, 40, 9),
         {},
         S::Leaving,
         S::Leaving},
        {"leaving, and says so again", Leaving(1, 60, 12), Ready(2, 40, 9),
         Leaving(2, 58, 13), S::Leaving, S::Leaving},
        {"gone, but ready in the copy",
         Gone(1, 60, 12),
         Ready(2, 40, 9),
         {},
         S::Absent,
         S::Absent},
        {"gone without a word, with a later sequence in the copy",
         Gone(1, 60, 3),
         Ready(2, 40, 9),
         {},
         S::Absent,
         S::Absent},
        {"gone, but lives and writes again", Gone(1, 60, 12), Ready(2, 40, 9),
         Ready(2, 58, 14), S::Ready, S::Ready},
        {"gone, and started anew",
         Gone(1, 60, 12),
         Ready(2, 40, 1, 5),
         {},
         S::Ready,
         S::Ready},
        {"the copy lacks it, and it lives",
         Ready(1, 60, 2),
         {},
         Ready(2, 57, 4),
         S::Ready,
         S::Ready},
        {"the copy lacks it, and it is gone",
         Ready(1, 60, 2),
         {},
         {},
         S::Ready,
         S::Absent},
        {"started anew before the copy's entry",
         Ready(1, 60, 1, 5),
         Ready(2, 40, 9, 1),
         {},
         S::Ready,
         S::Ready},
        {"leaves with a revision that was given out before", Ready(1, 30, 5),
         Ready(2, 30, 5), Leaving(2, 58, 7), S::Leaving, S::Leaving},
        {"two restores",
         Leaving(1, 60, 12),
         Ready(3, 40, 9),
         {},
         S::Leaving,
         S::Leaving},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      ListingTable Table;
      if (Case.m_Known)
        Table.merge({Case.m_Known->m_Listing, {1, 1}}, 9s);
      if (Case.m_Known)
        Table.merge(*Case.m_Known, 10s);
      Table.confirmComplete({1, 62}, 10s);
      std::vector<ListingRow> Listed;
      if (Case.m_Copy)
        Listed.push_back(*Case.m_Copy);
      for (ListingRow &Each : Listed)
        Each.m_MayBeCopy = true;
      std::uint64_t Era = Case.m_Copy ? Case.m_Copy->m_Position.m_Era : 2;
      Table.replace(Listed, {Era, 57}, 12s);
      Table.confirmComplete({Era, 57}, 12s);
      if (Case.m_Later)
        Table.merge(*Case.m_Later, 12100ms);
      CHECK(stateOf(Table, "a") == Case.m_AtOnce);
      Table.tick(12200ms);
      CHECK(stateOf(Table, "a") == Case.m_AtOnce);
      // Another whole list follows, with what was written again.
      CHECK(Table.needsWholeList(15s) == (Table.unconfirmed() > 0));
      if (Case.m_Later)
        Listed = {*Case.m_Later};
      Table.replace(Listed, {Era, 58}, 15s);
      Table.tick(15s);
      CHECK(stateOf(Table, "a") == Case.m_After3s);
      // What the store goes on saying holds in the end.
      Table.tick(60s);
      if (Case.m_Copy && !Case.m_Later)
        CHECK(stateOf(Table, "a") != ServerState::Absent);
    }
  }

  TEST_CASE("a server that is gone stays gone through two restores") {
    ListingTable Table;
    Table.merge({entry("a", 1), {1, 40}}, 9s);
    Table.remove("a", {1, 60}, 10s);
    for (std::uint64_t Era : {2, 3, 4}) {
      Time Now = 10s + std::chrono::seconds(Era);
      Table.replace({{entry("a", 1), {Era, 40}, false, 0s, true}}, {Era, 50},
                    Now);
      Table.confirmComplete({Era, 50}, Now);
      CHECK(stateOf(Table, "a") == ServerState::Absent);
    }
  }

  TEST_CASE("rows of two eras merge to the same, in any order") {
    for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
      CAPTURE(Seed);
      Random Draw(Seed);
      // A server says three things, of which the copy has the first or none.
      std::vector<ListingRow> Rows;
      std::int64_t Sequence = 1;
      for (std::uint64_t Revision : {20, 40, 60}) {
        Sequence += static_cast<std::int64_t>(Draw.below(3)) + 1;
        Rows.push_back(
            {entry("a", Sequence, Revision > 20 && Draw.below(2) == 0),
             {1, Revision}});
      }
      Rows.back().m_Removed = Draw.below(3) == 0;
      if (Draw.below(2) == 0) {
        Rows.push_back(Rows[0]);
        Rows.back().m_Position.m_Era = 2;
        Rows.back().m_MayBeCopy = true;
      }
      std::vector<std::uint64_t> Digests;
      for (int Order = 0; Order < 4; ++Order) {
        ListingTable Table;
        std::vector<ListingRow> Shuffled = Rows;
        // Writes of one era arrive in their order, those of the copy anywhere.
        if (Rows.size() > 3)
          std::swap(Shuffled[static_cast<std::size_t>(Order)], Shuffled[3]);
        std::sort(Shuffled.begin(), Shuffled.end(),
                  [](const ListingRow &A, const ListingRow &B) {
                    return A.m_Position.m_Era == 1 && B.m_Position.m_Era == 1 &&
                           A.m_Position < B.m_Position;
                  });
        for (const ListingRow &Row : Shuffled)
          Table.merge(Row, 1s);
        Digests.push_back(Table.digest());
      }
      CHECK(std::set<std::uint64_t>(Digests.begin(), Digests.end()).size() ==
            1);
    }
  }

  // A region's reader, VMs that lose updates, some that start after the restore
  // with the copy only, and VMs that exchange lists that stay different.
  TEST_CASE("all VMs of a region agree after a restore") {
    for (std::size_t Vms : {3, 12, 82, 295}) {
      for (std::uint64_t Seed = 1; Seed <= (Vms > 50 ? 4U : 20U); ++Seed) {
        CAPTURE(Vms);
        CAPTURE(Seed);
        Random Draw(Seed);
        ModelStore Store;
        ModelStore Copy;
        std::map<std::string, ServerState> Truth;
        std::map<std::string, std::int64_t> Sequences;
        std::vector<ListingTable> Tables(Vms);
        auto Write = [&](const std::string &Id, ServerState State) {
          Truth[Id] = State;
          Store.write(entry(Id, ++Sequences[Id], State == ServerState::Leaving),
                      State == ServerState::Absent);
        };
        auto Update = [&](Time Now) {
          Store.read(Tables[0], Now);
          for (std::size_t Vm = 1; Vm < Vms; ++Vm) {
            if (Draw.below(4) == 0)
              continue; // Lost.
            for (const ListingRow &Row : Tables[0].recentChanges(2s, Now))
              Tables[Vm].merge(Row, Now);
            if (Tables[Vm].digest() == Tables[0].digest())
              Tables[Vm].confirmComplete(Tables[0].position(), Now);
            else if (Draw.below(4) == 0)
              Tables[Vm].replace(Tables[0].rows(), Tables[0].position(), Now);
          }
          for (ListingTable &Table : Tables)
            Table.tick(Now);
        };
        for (int Id = 0; Id < 40; ++Id)
          Write("s" + std::to_string(Id), ServerState::Ready);
        Time Now = 10s;
        for (int Step = 0; Step < 40; ++Step, Now += 200ms) {
          if (Step == 10)
            Copy = Store;
          if (Step > 10 && Draw.below(3) == 0) {
            std::string Id = "s" + std::to_string(Draw.below(60));
            ServerState State =
                Truth.contains(Id) ? Truth[Id] : ServerState::Absent;
            if (State == ServerState::Ready)
              Write(Id, Draw.below(2) == 0 ? ServerState::Leaving
                                           : ServerState::Absent);
            else if (!Truth.contains(Id))
              Write(Id, ServerState::Ready);
          }
          Update(Now);
        }
        std::map<std::string, ServerState> Before = Truth;
        Store.restore(Copy);
        if (Vms > 3)
          Tables[Vms - 1] = ListingTable(); // Starts with the copy only.
        Store.read(Tables[Vms - 1], Now);
        for (int Step = 0; Step < 40; ++Step, Now += 200ms) {
          if (Step == 8) { // Servers write again what was lost.
            for (const auto &[Id, State] : Before) {
              auto Found = Store.m_Items.find(Id);
              ServerState Stored =
                  Found == Store.m_Items.end()        ? ServerState::Absent
                  : Found->second.m_Listing.m_Leaving ? ServerState::Leaving
                                                      : ServerState::Ready;
              if (Stored != State)
                Write(Id, State);
            }
          }
          Update(Now);
          for (const auto &[Id, State] : Before)
            if (State != ServerState::Ready)
              CHECK(stateOf(Tables[0], Id) != ServerState::Ready);
            else
              CHECK(stateOf(Tables[0], Id) == ServerState::Ready);
        }
        for (const ListingTable &Table : Tables)
          for (const auto &[Id, State] : Truth)
            CHECK(stateOf(Table, Id) == State);
      }
    }
  }

  TEST_CASE("evacuations outlive a restore until they are written again") {
    using Domains = std::set<std::string>;
    struct Row {
      const char *m_Name;
      Domains m_Known; // Up to position 1.60.
      std::map<std::string, StorePosition> m_Copy;
      std::function<void(EvacuationTable &)> m_Later;
      Domains m_AtOnce;
      Domains m_After4s;
    };
    auto Nothing = [](EvacuationTable &) {};
    const Row Rows[] = {
        {"begun, and not in the copy", {"z"}, {}, Nothing, {"z"}, {}},
        {"begun, and written again",
         {"z"},
         {},
         [](EvacuationTable &T) {
           T.set("z", true, {2, 58});
         },
         {"z"},
         {"z"}},
        {"ended, and still in the copy",
         {},
         {{"z", {2, 40}}},
         Nothing,
         {},
         {"z"}},
        {"ended, and ended again",
         {},
         {{"z", {2, 40}}},
         [](EvacuationTable &T) {
           T.set("z", false, {2, 58});
         },
         {},
         {}},
        {"written since, with a higher revision",
         {},
         {{"z", {2, 61}}},
         Nothing,
         {"z"},
         {"z"}},
        {"the same", {"z"}, {{"z", {2, 40}}}, Nothing, {"z"}, {"z"}},
        {"ended, and begun again before a whole read",
         {},
         {{"z", {2, 40}}},
         [](EvacuationTable &T) {
           T.replace({{"z", {2, 58}}}, {2, 60}, T.domains(), {2, 57}, 10s, 11s);
         },
         {"z"},
         {"z"}},
        {"a whole read follows",
         {"z"},
         {},
         [](EvacuationTable &T) {
           T.replace({{"y", {2, 59}}}, {2, 60}, T.domains(), {2, 58}, 10s, 11s);
         },
         {"y", "z"},
         {"y"}},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      EvacuationTable Table;
      Table.replace(Case.m_Copy, {2, 57}, Case.m_Known, {1, 60}, 10s, 10s);
      Case.m_Later(Table);
      Table.tick(11s, {2, 62}, Table.lastChange());
      CHECK(Table.domains() == Case.m_AtOnce);
      // Other VMs take over only what has a higher position than what they
      // know.
      CHECK(Table.lastChange() > StorePosition{1, 60});
      Table.tick(14s, {2, 63}, Table.lastChange());
      CHECK(Table.domains() == Case.m_After4s);
    }
  }

  // Guards against an evacuation that never reaches the VMs that do not read
  // the store: what a reader had held back after a restore was announced at a
  // position that they already had.
  TEST_CASE("every change of the evacuated domains raises their position") {
    using Domains = std::set<std::string>;
    using Table = EvacuationTable;
    struct Row {
      const char *m_Name;
      Domains m_Known; // In force at the reader, up to position 1.60.
      std::map<std::string, StorePosition> m_Copy;
      // Later steps, a second apart; each is told to the other VMs.
      std::vector<std::function<void(Table &, StorePosition, Time)>> m_Steps;
      Domains m_Expected;
    };
    auto Tick = [](std::uint64_t Revision) {
      return [Revision](Table &T, StorePosition Told, Time Now) {
        T.tick(Now, {2, Revision}, Told);
      };
    };
    auto Set = [](const char *Domain, bool Evacuated, std::uint64_t Revision) {
      return [=](Table &T, StorePosition Told, Time Now) {
        T.set(Domain, Evacuated, {2, Revision});
        T.tick(Now, {2, Revision}, Told);
      };
    };
    auto Read = [](const std::map<std::string, StorePosition> &Listed,
                   std::uint64_t Revision) {
      return [=](Table &T, StorePosition, Time Now) {
        T.replace(Listed, {2, Revision}, T.domains(), {2, 57}, 10s, Now);
      };
    };
    const Row Rows[] = {
        {"held back, the store moves on",
         {},
         {{"z", {2, 56}}},
         {Tick(57), Tick(58), Tick(59), Tick(60), Tick(61)},
         {"z"}},
        {"held back, the store stands still until it is due",
         {},
         {{"z", {2, 56}}},
         {Tick(57), Tick(57), Tick(57), Tick(57), Tick(58)},
         {"z"}},
        {"kept, and not written again",
         {"z"},
         {},
         {Tick(57), Tick(57), Tick(58), Tick(59), Tick(60)},
         {}},
        {"held back beside another change when it is due",
         {},
         {{"z", {2, 56}}},
         {Tick(57), Tick(57), Tick(57), Set("y", true, 58)},
         {"y", "z"}},
        {"held back behind a later change",
         {},
         {{"z", {2, 56}}},
         {Set("y", true, 58), Tick(58), Tick(58), Tick(58), Tick(59)},
         {"y", "z"}},
        {"taken back where only a whole read shows it",
         {"z"},
         {{"z", {2, 50}}},
         {Read({}, 58)},
         {}},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      Table Reader;
      Time Now = 10s;
      Reader.replace(Case.m_Copy, {2, 57}, Case.m_Known, {1, 60}, Now, Now);
      StorePosition Told; // Another VM, which takes only higher positions.
      Domains Taken = Case.m_Known;
      auto Tell = [&] {
        if (Reader.lastChange() > Told)
          Taken = Reader.domains();
        Told = std::max(Told, Reader.lastChange());
        CHECK(Taken == Reader.domains());
      };
      Tell();
      for (const auto &Step : Case.m_Steps) {
        Now += 1s;
        Step(Reader, Told, Now);
        Tell();
      }
      CHECK(Taken == Case.m_Expected);
    }
  }

  // The first VM to read after a restore tells the others, which then know of
  // the new era before they read themselves.
  TEST_CASE("a VM that was told of a restore keeps evacuations as well") {
    struct Row {
      const char *m_Name;
      std::set<std::string> m_Known; // Told at position 2.55.
      std::map<std::string, StorePosition> m_Listed;
      std::set<std::string> m_AtOnce;
      std::set<std::string> m_After4s;
    };
    for (std::uint64_t FirstReadEra : {0U, 1U}) {
      for (const Row &Case :
           {Row{"begun, and not in the copy", {"z"}, {}, {"z"}, {}},
            Row{"held back by the teller", {}, {{"z", {2, 53}}}, {}, {"z"}},
            Row{"begun since", {}, {{"z", {2, 56}}}, {"z"}, {"z"}}}) {
        CAPTURE(Case.m_Name);
        CAPTURE(FirstReadEra);
        EvacuationTable Table;
        if (FirstReadEra > 0)
          Table.replace({}, {FirstReadEra, 50}, {}, {}, 5s, 5s);
        Table.replace(Case.m_Listed, {2, 57}, Case.m_Known, {2, 55}, 10s, 10s);
        CHECK(Table.domains() == Case.m_AtOnce);
        CHECK_FALSE(Table.keptIsDue(12s));
        Table.tick(14s, {2, 58}, Table.lastChange());
        CHECK(Table.domains() == Case.m_After4s);
      }
    }
  }

  // Guards against an evacuation that a reader of an older build announces at a
  // position that this VM already has: such a VM reads the store itself.
  TEST_CASE("different evacuations at one position are noticed") {
    using Domains = std::set<std::string>;
    struct Told {
      Time m_At;
      Domains m_Domains;
      StorePosition m_Position;
    };
    struct Row {
      const char *m_Name;
      std::vector<Told> m_Updates;
      Domains m_Expected;
      bool m_Different;
    };
    const Row Rows[] = {
        {"the same", {{2s, {}, {2, 55}}, {3s, {}, {2, 55}}}, {}, false},
        {"others at the same position",
         {{2s, {"z"}, {2, 55}}, {2400ms, {"z"}, {2, 55}}},
         {},
         true},
        {"others for a moment only",
         {{2s, {"z"}, {2, 55}}, {2400ms, {}, {2, 55}}},
         {},
         false},
        {"others, and then a new position",
         {{2s, {"z"}, {2, 55}}, {2400ms, {"y"}, {2, 56}}},
         {"y"},
         false},
        {"others at an older position", {{2s, {"z"}, {1, 90}}}, {}, false},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      EvacuationsInForce InForce;
      InForce.apply({}, {2, 55});
      for (const Told &Update : Case.m_Updates)
        if (InForce.observeTold(Update.m_Domains, Update.m_Position,
                                Update.m_At))
          CHECK(InForce.apply(Update.m_Domains, Update.m_Position));
      CHECK_FALSE(InForce.stayDifferent(2100ms));
      CHECK(InForce.stayDifferent(4s) == Case.m_Different);
      CHECK(InForce.domains() == Case.m_Expected);
      CHECK_FALSE(InForce.apply({"x"}, {2, 54}));
      CHECK(InForce.apply({"x"}, {2, 57}));
      CHECK_FALSE(InForce.stayDifferent(9s));
    }
  }

  // Guards against an evacuation that begins late at a VM that reads late: the
  // time for which evacuations are kept runs from the restore.
  TEST_CASE(
      "a late read after a restore keeps evacuations for a shorter time") {
    struct Row {
      Time m_ReadAt;
      std::set<std::string> m_AtOnce;
      Time m_DueAt; // 0: nothing is kept.
    };
    for (const Row &Case : {Row{10s, {}, 13s}, Row{12s, {}, 13s},
                            Row{13s, {"z"}, 0s}, Row{20s, {"z"}, 0s}}) {
      CAPTURE(Case.m_ReadAt.count());
      EvacuationTable Table;
      Table.replace({{"z", {2, 53}}}, {2, 57}, {}, {1, 60}, 10s, Case.m_ReadAt);
      CHECK(Table.domains() == Case.m_AtOnce);
      CHECK(Table.keptIsDue(30s) == (Case.m_DueAt.count() > 0));
      if (Case.m_DueAt.count() > 0) {
        CHECK_FALSE(Table.keptIsDue(Case.m_DueAt - 1ms));
        CHECK(Table.keptIsDue(Case.m_DueAt));
      }
    }
  }

  // Guards against an evacuation that stays in force after its end: a reader
  // that was told of it, and read neither its begin nor its end, announced no
  // change.
  TEST_CASE("a whole read is a change at its own position") {
    EvacuationTable Table;
    Table.replace({}, {1, 50}, {}, {}, 5s, 5s);
    Table.replace({}, {1, 80}, {"z"}, {1, 60}, 5s, 10s);
    CHECK(Table.domains().empty());
    CHECK(Table.lastChange() == StorePosition{1, 80});
  }
}
