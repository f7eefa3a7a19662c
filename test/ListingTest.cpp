#include "rhubarb/Listing.h"
#include "rhubarb/Readers.h"
#include "rhubarb/Relays.h"

#include "net/Messages.h"
#include "net/ServerListUpdate.h"
#include "net/ServerUpdates.h"

#include <doctest/doctest.h>

#include <functional>
#include <set>

using namespace rhubarb;
using namespace rhubarb::net;

namespace {

BackendInfo server(const std::string &Id, bool Leaving = false,
                   std::int64_t StartTimeMs = 1) {
  BackendInfo Info;
  Info.m_Id = Id;
  Info.m_Address = "10.0.0.1:80";
  Info.m_PoolName = "p";
  Info.m_Domain = "d";
  Info.m_Slots = 3;
  Info.m_Leaving = Leaving;
  Info.m_StartTimeMs = StartTimeMs;
  return Info;
}

// A position in the first era.
StorePosition at(std::uint64_t Revision) { return {1, Revision}; }

// Receivers of the largest relay group, with long addresses.
const std::vector<std::string> FullGroup(MaxRelayFanout, "10.200.100.100");

} // namespace

TEST_SUITE("listing") {
  TEST_CASE("the later of two writes wins, in any order of arrival") {
    // Revision 5 adds the server, 7 sets it as leaving, 9 removes it.
    const std::vector<std::vector<std::uint64_t>> Orders{
        {5, 7, 9}, {9, 7, 5}, {7, 5, 9}, {9, 5}, {5, 9, 7}};
    for (const auto &Order : Orders) {
      ListingTable Table;
      for (std::uint64_t Revision : Order) {
        if (Revision == 9)
          Table.remove("a", at(9), 1s);
        else
          Table.put(server("a", Revision == 7), at(Revision), 1s);
      }
      CHECK(Table.entries().empty());
      CHECK(Table.digest() == 0);
    }
    ListingTable Table;
    Table.put(server("a", true), at(7), 1s);
    CHECK_FALSE(Table.put(server("a", false), at(5), 2s));
    CHECK(Table.entries().front().m_Leaving);
  }

  TEST_CASE("only fields that affect the use of a server count as a change") {
    struct Row {
      const char *m_Name;
      std::function<void(BackendInfo &)> m_Edit;
      bool m_Changed;
    };
    const Row Rows[] = {
        {"the same again", [](BackendInfo &) {}, false},
        {"leaving", [](BackendInfo &S) { S.m_Leaving = true; }, true},
        {"another incarnation", [](BackendInfo &S) { S.m_StartTimeMs = 2; },
         true},
        {"another address", [](BackendInfo &S) { S.m_Address = "10.0.0.2:80"; },
         true},
        {"more slots", [](BackendInfo &S) { S.m_Slots = 9; }, true},
        {"cold for longer", [](BackendInfo &S) { S.m_ColdUntil = 9s; }, true},
        {"cold for as long, reported a little later",
         [](BackendInfo &S) { S.m_ColdUntil = 200ms; }, false},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      ListingTable Table;
      CHECK(Table.put(server("a"), at(1), 1s));
      BackendInfo Next = server("a");
      Case.m_Edit(Next);
      CHECK(Table.put(Next, at(2), 2s) == Case.m_Changed);
    }
  }

  TEST_CASE("a whole list removes the rows that it lacks, but no newer ones") {
    ListingTable Table;
    Table.put(server("old"), at(3), 1s);
    Table.put(server("kept"), at(4), 1s);
    Table.put(server("newer"), at(12), 1s);
    Table.replace({{server("kept"), at(4), false, 0s}}, at(10), 2s);
    std::set<std::string> Ids;
    for (const BackendInfo &Info : Table.entries())
      Ids.insert(Info.m_Id);
    CHECK(Ids == std::set<std::string>{"kept", "newer"});
    // A server that restarts under the same ID is listed again.
    CHECK(Table.put(server("old"), at(11), 3s));
  }

  TEST_CASE("tables with the same servers have the same digest, however they "
            "were updated") {
    for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
      Random Draw(Seed);
      ListingTable Reader;
      ListingTable Follower;
      std::uint64_t Revision = 1;
      Time Now = 1s;
      for (int Step = 0; Step < 60; ++Step) {
        Now += 100ms;
        std::string Id = "s" + std::to_string(Draw.below(8));
        ++Revision;
        if (Draw.below(4) == 0)
          Reader.remove(Id, at(Revision), Now);
        else
          Reader.put(server(Id, Draw.below(2) == 0), at(Revision), Now);
        Reader.confirmComplete(at(Revision), Now);
        if (Draw.below(100) < 40)
          continue; // The datagram is lost.
        ServerListUpdate Update;
        Update.m_Rows = Reader.recentChanges(2s, Now);
        Update.m_Digest = Reader.digest();
        Update.m_Position = Reader.position();
        Json::Value Sent = toJson(Update, Now);
        ServerListUpdate Received = readServerListUpdate(Sent, Now);
        for (const ListingRow &Row : Received.m_Rows) {
          Follower.merge(Row, Now);
        }
        if (Received.m_Digest == Follower.digest())
          Follower.confirmComplete(Received.m_Position, Now);
      }
      // After any loss of datagrams, the whole list makes the tables equal.
      if (Follower.digest() != Reader.digest())
        Follower.replace(Reader.rows(), Reader.position(), Now);
      CHECK(Follower.digest() == Reader.digest());
      CHECK(Follower.entries().size() == Reader.entries().size());
    }
  }

  TEST_CASE("tombstones expire without an effect on the digest") {
    ListingTable Table;
    Table.put(server("a"), at(1), 1s);
    Table.remove("a", at(2), 2s);
    Table.tick(100s);
    CHECK(Table.rows().empty());
    CHECK(Table.digest() == 0);
  }

  TEST_CASE("an update is split into datagrams, up to its byte limit") {
    struct Row {
      std::size_t m_Rows;
      std::size_t m_MaxBytes;
      std::size_t m_Receivers;
      bool m_AllSent;
    };
    for (const Row &Case : {Row{0, 16000, 0, true}, Row{1, 16000, 0, true},
                            Row{12, 16000, 0, true}, Row{13, 16000, 9, true},
                            Row{100, 16000, 9, true}, Row{600, 16000, 0, false},
                            Row{12, 1400, 0, true}, Row{30, 1400, 0, false},
                            Row{30, 1400, MaxRelayFanout, false}}) {
      CAPTURE(Case.m_Rows);
      CAPTURE(Case.m_Receivers);
      const std::vector<std::string> Receivers(Case.m_Receivers,
                                               "10.200.100.100");
      ServerListUpdate Update;
      Update.m_Position = {2, 7};
      for (std::size_t I = 0; I < Case.m_Rows; ++I)
        Update.m_Rows.push_back(
            {server("i-" + std::to_string(I)), at(5), false, Time{0}});
      std::set<std::string> ReceivedIds;
      std::size_t Bytes = 0;
      ServerListUpdateMessages Encoded =
          splitServerListUpdate(Update, Case.m_MaxBytes, Case.m_Receivers, 1s);
      for (std::size_t I = 0; I < Encoded.m_Messages.size(); ++I) {
        std::string Text = Receivers.empty()
                               ? encodeServerListUpdate(Encoded.m_Messages[I])
                               : encodeServerListUpdate(Encoded.m_Messages[I],
                                                        "10.0.0.1", Receivers);
        CHECK(Text.size() <= MaxDatagramBytes);
        Bytes += Text.size();
        Result<Json::Value> Parsed = parseJson(Text);
        REQUIRE(Parsed);
        ServerListUpdate Received =
            readServerListUpdate(Parsed.value()["params"], 1s);
        CHECK(Received.m_ForwardTo == Receivers);
        for (const ListingRow &Each : Received.m_Rows)
          ReceivedIds.insert(Each.m_Listing.m_Id);
        // Only the message with the last row states that no more rows follow.
        bool Last = I + 1 == Encoded.m_Messages.size() &&
                    Encoded.m_RowsIncluded == Case.m_Rows;
        CHECK(Received.m_HasMore == !Last);
      }
      CHECK(ReceivedIds.size() == Encoded.m_RowsIncluded);
      CHECK((Encoded.m_RowsIncluded == Case.m_Rows) == Case.m_AllSent);
      CHECK((Case.m_Rows == 0 || Encoded.m_RowsIncluded > 0));
      CHECK(Bytes <= Case.m_MaxBytes);
    }
  }

  TEST_CASE("a relayed update arrives unchanged") {
    ServerListUpdate Update;
    Update.m_Position = {2, 7};
    Update.m_Digest = 99;
    Update.m_Rows.push_back({server("i-1"), at(5), false, Time{0}});
    Json::Value Message =
        splitServerListUpdate(Update, 9000, 2, 1s).m_Messages.at(0);
    Result<Json::Value> First = parseJson(
        encodeServerListUpdate(Message, "10.0.0.1", {"10.0.0.2", "10.0.0.3"}));
    REQUIRE(First);
    ServerListUpdate Relayed =
        readServerListUpdate(First.value()["params"], 1s);
    Result<Json::Value> Second = parseJson(
        encodeServerListUpdate(First.value()["params"], Relayed.m_Origin));
    REQUIRE(Second);
    ServerListUpdate Received =
        readServerListUpdate(Second.value()["params"], 1s);
    CHECK(Received.m_Origin == "10.0.0.1");
    CHECK(Received.m_ForwardTo.empty());
    CHECK(Received.m_Digest == 99);
    CHECK(Received.m_Position == StorePosition{2, 7});
    REQUIRE(Received.m_Rows.size() == 1);
    CHECK(Received.m_Rows[0].m_Position == at(5));
  }

  // VMs of two versions run side by side while an update is rolled out.
  TEST_CASE("positions of senders that name no era belong to the own era") {
    ServerListUpdate Update;
    Update.m_Position = {2, 7};
    Update.m_OperatorPosition = {2, 6};
    Update.m_Rows.push_back({server("i-1"), at(5), false, Time{0}});
    Json::Value Old = toJson(Update, 1s);
    Old.resize(11); // Earlier versions end with the configuration's size.
    ServerListUpdate Received = readServerListUpdate(Old, 1s, 4);
    CHECK(Received.m_Position == StorePosition{4, 7});
    CHECK(Received.m_OperatorPosition == StorePosition{4, 6});
    REQUIRE(Received.m_Rows.size() == 1);
    CHECK(Received.m_Rows[0].m_Position == StorePosition{4, 5});
  }

  // Many servers of a large service are added at once. The reader's updates
  // must leave room for other traffic on the smallest VM's link, of 10 Mbit/s,
  // and all changes must be sent well within the propagation bounds, of 2 s and
  // more.
  TEST_CASE("many changes at once do not saturate the reader's link") {
    constexpr std::size_t LinkBytesPerSecond = 1'250'000;
    constexpr int SendsPerSecond = 5;
    struct Row {
      std::size_t m_Vms;
      std::size_t m_Rows;
      int m_MaxSends;
    };
    for (const Row &Case :
         {Row{5, 300, 5}, Row{16, 300, 10}, Row{98, 12, 1}, Row{98, 450, 10},
          Row{98, 1350, 25}, Row{330, 450, 15}}) {
      CAPTURE(Case.m_Vms);
      CAPTURE(Case.m_Rows);
      std::vector<RelayTarget> Vms;
      for (std::size_t I = 0; I < Case.m_Vms; ++I)
        Vms.push_back(
            {"10.1.0." + std::to_string(I), "d" + std::to_string(I % 3), true});
      std::vector<RelayGroup> Groups =
          relayGroups(Vms, 1, RelayShape::Balanced);
      std::size_t Receivers = 0;
      for (const RelayGroup &Group : Groups)
        Receivers = std::max(Receivers, Group.m_Receivers.size());
      ListingTable Table;
      for (std::size_t I = 0; I < Case.m_Rows; ++I)
        Table.put(server("i-" + std::to_string(I)), at(5), 1s);
      PropagationCursor Cursor;
      int Sends = 0;
      while (Cursor.hasPending(Table)) {
        ServerListUpdate Update;
        Update.m_Rows = Cursor.pending(Table, 0s, 9s);
        ServerListUpdateMessages Encoded = splitServerListUpdate(
            Update, updateBytesPerTarget(Groups.size()), Receivers, 1s);
        std::size_t Bytes = 0;
        for (const Json::Value &Message : Encoded.m_Messages)
          Bytes += encodeServerListUpdate(Message).size();
        CHECK(Bytes * Groups.size() * SendsPerSecond <= LinkBytesPerSecond / 2);
        CHECK(Bytes * Receivers * SendsPerSecond <= LinkBytesPerSecond / 2);
        Cursor.markSent(Table, Update.m_Rows, Encoded.m_RowsIncluded);
        ++Sends;
      }
      CHECK(Sends <= Case.m_MaxSends);
    }
  }

  TEST_CASE("departures are sent before other changes") {
    ListingTable Table;
    for (int I = 0; I < 20; ++I)
      Table.put(server("new-" + std::to_string(I)), at(5), 1s);
    PropagationCursor Cursor;
    Cursor.markSent(Table, Cursor.pending(Table, 0s, 9s), 5);
    Table.put(server("leaves", true), at(6), 2s);
    Table.remove("new-7", at(7), 2s);
    std::vector<ListingRow> Pending = Cursor.pending(Table, 0s, 9s);
    REQUIRE(Pending.size() == 16);
    CHECK(Pending[0].m_Listing.m_Id == "leaves");
    CHECK(Pending[1].m_Listing.m_Id == "new-7");
    Cursor.markSent(Table, Pending, 1);
    CHECK(Cursor.pending(Table, 0s, 9s).front().m_Listing.m_Id == "new-7");
    Cursor.markSent(Table, Cursor.pending(Table, 0s, 9s), 2);
    CHECK(Cursor.pending(Table, 0s, 9s).front().m_Listing.m_Id == "new-6");
    // Recent departures are sent again, before all other changes.
    Pending = Cursor.pending(Table, 2s, 3s);
    CHECK(Pending[1].m_Listing.m_Id == "new-7");
    CHECK(Pending[2].m_Listing.m_Id == "new-6");
    Cursor.markSent(Table, Pending, 2);
    CHECK(Cursor.pending(Table, 0s, 9s).front().m_Listing.m_Id == "new-6");
    CHECK(Cursor.hasPending(Table));
    Cursor.markSent(Table, Cursor.pending(Table, 0s, 9s),
                    Cursor.pending(Table, 0s, 9s).size());
    CHECK_FALSE(Cursor.hasPending(Table));
    CHECK(Cursor.pending(Table, 0s, 9s).empty());
    Table.put(server("late"), at(9), 3s);
    CHECK(Cursor.pending(Table, 0s, 9s).size() == 1);
    Cursor.markAllSent(Table);
    CHECK(Cursor.pending(Table, 0s, 9s).empty());
  }

  TEST_CASE("affinity updates are split into datagrams") {
    for (std::size_t Objects : {0U, 1U, 29U, 30U, 31U, 90U, 200U}) {
      CAPTURE(Objects);
      AffinityUpdates Updates;
      // The hashes are those with the most digits.
      for (std::size_t I = 0; I < Objects; ++I)
        Updates["i-1234567890ab" + std::to_string(I % 7)].push_back(
            ~std::uint64_t{0} - I);
      AffinityUpdates Received;
      for (const std::string &Text : encodeAffinityUpdates(Updates)) {
        CHECK(encodeForward(Text, FullGroup).size() <= MaxDatagramBytes);
        Result<Json::Value> Parsed = parseJson(Text);
        REQUIRE(Parsed);
        for (auto &[Server, Hashes] :
             readAffinityUpdates(Parsed.value()["params"]))
          Received[Server].insert(Received[Server].end(), Hashes.begin(),
                                  Hashes.end());
      }
      CHECK(Received == Updates);
    }
    for (const char *Text : {"{}", "[]", "[1,2]", "[1,[]]", "[1,[2,\"x\"]]"}) {
      CAPTURE(Text);
      Result<Json::Value> Parsed = parseJson(Text);
      REQUIRE(Parsed);
      CHECK_THROWS(readAffinityUpdates(Parsed.value()));
    }
  }

  TEST_CASE("high loads are split into datagrams") {
    for (int Servers : {0, 1, 50, 51, 120}) {
      CAPTURE(Servers);
      ServerLoadUpdates Loads;
      for (int I = 0; I < Servers; ++I)
        Loads["i-1234567890" + std::to_string(1000 + I)] = {I, 5s};
      ServerLoadUpdates Received;
      for (const std::string &Text : encodeServerLoadUpdates(Loads, 5200ms)) {
        CHECK(encodeForward(Text, FullGroup).size() <= MaxDatagramBytes);
        Result<Json::Value> Parsed = parseJson(Text);
        REQUIRE(Parsed);
        for (auto &[Server, Load] :
             readServerLoadUpdates(Parsed.value()["params"], 9s)) {
          CHECK(Load.m_At == 9s - 200ms);
          Received[Server] = Load;
        }
      }
      CHECK(Received.size() == Loads.size());
      for (const auto &[Server, Load] : Loads)
        CHECK(Received[Server].m_Total == Load.m_Total);
    }
    for (const char *Text : {"{}", "[]", "[1,2]", "[1,[\"x\",2]]"}) {
      CAPTURE(Text);
      Result<Json::Value> Parsed = parseJson(Text);
      REQUIRE(Parsed);
      CHECK_THROWS(readServerLoadUpdates(Parsed.value(), 1s));
    }
  }

  TEST_CASE("server events are split into datagrams") {
    for (int Servers : {0, 1, 20, 21, 90}) {
      CAPTURE(Servers);
      ServerEventUpdates Events;
      for (int I = 0; I < Servers; ++I)
        Events["i-1234567890" + std::to_string(1000 + I)] = {
            ~std::uint64_t{0} - static_cast<std::uint64_t>(I),
            static_cast<ServerEvent>(I % 4)};
      ServerEventUpdates Received;
      for (const std::string &Text : encodeServerEventUpdates(Events)) {
        std::string Wrapped = encodeForward(Text, FullGroup);
        CHECK(Wrapped.size() <= MaxDatagramBytes);
        Result<Json::Value> Outer = parseJson(Wrapped);
        REQUIRE(Outer);
        ForwardedMessage Forwarded =
            readForwardedMessage(Outer.value()["params"]);
        CHECK(Forwarded.m_ForwardTo == FullGroup);
        CHECK(Forwarded.m_Text == Text);
        Result<Json::Value> Parsed = parseJson(Text);
        REQUIRE(Parsed);
        for (const auto &[Id, Event] :
             readServerEventUpdates(Parsed.value()["params"]))
          Received[Id] = Event;
      }
      CHECK(Received.size() == Events.size());
      for (const auto &[Id, Event] : Events) {
        CHECK(Received[Id].m_Incarnation == Event.m_Incarnation);
        CHECK(Received[Id].m_Event == Event.m_Event);
      }
    }
    Result<Json::Value> Newer = parseJson("[1,[\"a\",5,99],[\"b\",5,-1]]");
    REQUIRE(Newer);
    // Kinds of events that a later version may add are ignored.
    CHECK(readServerEventUpdates(Newer.value()).empty());
    for (const char *Text : {"{}", "[]", "[1,2]", "[1,[\"x\",2]]"}) {
      CAPTURE(Text);
      Result<Json::Value> Parsed = parseJson(Text);
      REQUIRE(Parsed);
      CHECK_THROWS(readServerEventUpdates(Parsed.value()));
    }
    for (const char *Text : {"{}", "[1,2,3]", "[1,[],[]]", "[1,[[]],\"x\"]"}) {
      CAPTURE(Text);
      Result<Json::Value> Parsed = parseJson(Text);
      REQUIRE(Parsed);
      CHECK_THROWS(readForwardedMessage(Parsed.value()));
    }
  }

  TEST_CASE("a malformed message is rejected") {
    for (const char *Text :
         {"{}", "[]", "[1,2,3]", "[1,2,3,4,5,6,[],[[1]]]",
          "[1,2,3,4,5,6,{},[]]", "[1,2,3,4,5,6,[],[],0,0,0,[],[]]",
          "[1,2,3,4,5,6,[],[],0,0,0,\"x\",7]",
          "[1,2,3,4,5,6,[],[],0,0,0,\"x\",[[]]]"}) {
      CAPTURE(Text);
      Result<Json::Value> Parsed = parseJson(Text);
      REQUIRE(Parsed);
      CHECK_THROWS(readServerListUpdate(Parsed.value(), 1s));
    }
  }
}
