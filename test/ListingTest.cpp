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
                   std::int64_t Born = 1) {
  BackendInfo Entry;
  Entry.m_Id = Id;
  Entry.m_Address = "10.0.0.1:80";
  Entry.m_PoolName = "p";
  Entry.m_Domain = "d";
  Entry.m_Slots = 3;
  Entry.m_Leaving = Leaving;
  Entry.m_StartTimeMs = Born;
  return Entry;
}

// The most VMs that a message may be passed on to, with long addresses.
const std::vector<std::string> FullGroup(MaxRelayFanout, "10.200.100.100");

} // namespace

TEST_SUITE("listing") {
  TEST_CASE("of two writes the later one holds, in any order of arrival") {
    // Revision 5 writes the entry, 7 says that it leaves, 9 removes it.
    const std::vector<std::vector<std::uint64_t>> Orders{
        {5, 7, 9}, {9, 7, 5}, {7, 5, 9}, {9, 5}, {5, 9, 7}};
    for (const auto &Order : Orders) {
      ListingTable Book;
      for (std::uint64_t Revision : Order) {
        if (Revision == 9)
          Book.remove("a", 9, 1s);
        else
          Book.put(server("a", Revision == 7), Revision, 1s);
      }
      CHECK(Book.entries().empty());
      CHECK(Book.digest() == 0);
    }
    ListingTable Book;
    Book.put(server("a", true), 7, 1s);
    CHECK_FALSE(Book.put(server("a", false), 5, 2s));
    CHECK(Book.entries().front().m_Leaving);
  }

  TEST_CASE("only what matters counts as a change") {
    struct Row {
      const char *m_Name;
      std::function<void(BackendInfo &)> m_Edit;
      bool m_Matters;
    };
    const Row Rows[] = {
        {"the same again", [](BackendInfo &) {}, false},
        {"leaving", [](BackendInfo &S) { S.m_Leaving = true; }, true},
        {"another incarnation", [](BackendInfo &S) { S.m_StartTimeMs = 2; },
         true},
        {"another address", [](BackendInfo &S) { S.m_Address = "10.0.0.2:80"; },
         true},
        {"more slots", [](BackendInfo &S) { S.m_Slots = 9; }, true},
        {"colder", [](BackendInfo &S) { S.m_ColdUntil = 9s; }, true},
        {"cold for as long, told a little later",
         [](BackendInfo &S) { S.m_ColdUntil = 200ms; }, false},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      ListingTable Book;
      CHECK(Book.put(server("a"), 1, 1s));
      BackendInfo Next = server("a");
      Case.m_Edit(Next);
      CHECK(Book.put(Next, 2, 2s) == Case.m_Matters);
    }
  }

  TEST_CASE("a whole list removes what it lacks, but nothing newer") {
    ListingTable Book;
    Book.put(server("old"), 3, 1s);
    Book.put(server("kept"), 4, 1s);
    Book.put(server("newer"), 12, 1s);
    Book.replace({{server("kept"), 4, false, 0s}}, 10, 2s);
    std::set<std::string> Ids;
    for (const BackendInfo &Entry : Book.entries())
      Ids.insert(Entry.m_Id);
    CHECK(Ids == std::set<std::string>{"kept", "newer"});
    // A server that starts again under its id is back.
    CHECK(Book.put(server("old"), 11, 3s));
  }

  TEST_CASE("books agree on their digest however the news came") {
    for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
      Random Pick(Seed);
      ListingTable Reader;
      ListingTable Follower;
      std::uint64_t Revision = 1;
      Time Now = 1s;
      for (int Step = 0; Step < 60; ++Step) {
        Now += 100ms;
        std::string Id = "s" + std::to_string(Pick.below(8));
        ++Revision;
        if (Pick.below(4) == 0)
          Reader.remove(Id, Revision, Now);
        else
          Reader.put(server(Id, Pick.below(2) == 0), Revision, Now);
        Reader.confirmComplete(Revision, Now);
        if (Pick.below(100) < 40)
          continue; // The datagram is lost.
        ServerListUpdate News;
        News.m_Rows = Reader.recentChanges(2s, Now);
        News.m_Digest = Reader.digest();
        News.m_Revision = Reader.revision();
        Json::Value Sent = toJson(News, Now);
        ServerListUpdate Got = readServerListUpdate(Sent, Now);
        for (const ListingRow &Row : Got.m_Rows) {
          if (Row.m_Removed)
            Follower.remove(Row.m_Listing.m_Id, Row.m_Revision, Now);
          else
            Follower.put(Row.m_Listing, Row.m_Revision, Now);
        }
        if (Got.m_Digest == Follower.digest())
          Follower.confirmComplete(Got.m_Revision, Now);
      }
      // Whatever was lost, a whole list mends it.
      if (Follower.digest() != Reader.digest())
        Follower.replace(Reader.rows(), Reader.revision(), Now);
      CHECK(Follower.digest() == Reader.digest());
      CHECK(Follower.entries().size() == Reader.entries().size());
    }
  }

  TEST_CASE("removed entries are forgotten, and the digest does not care") {
    ListingTable Book;
    Book.put(server("a"), 1, 1s);
    Book.remove("a", 2, 2s);
    Book.tick(100s);
    CHECK(Book.rows().empty());
    CHECK(Book.digest() == 0);
  }

  TEST_CASE("news goes in as many datagrams as it needs, the rest follows") {
    struct Row {
      std::size_t m_Rows;
      std::size_t m_MaxBytes;
      std::size_t m_PassedOnTo;
      bool m_AllSent;
    };
    for (const Row &Case : {Row{0, 16000, 0, true}, Row{1, 16000, 0, true},
                            Row{12, 16000, 0, true}, Row{13, 16000, 9, true},
                            Row{100, 16000, 9, true}, Row{600, 16000, 0, false},
                            Row{12, 1400, 0, true}, Row{30, 1400, 0, false},
                            Row{30, 1400, MaxRelayFanout, false}}) {
      CAPTURE(Case.m_Rows);
      CAPTURE(Case.m_PassedOnTo);
      const std::vector<std::string> Rest(Case.m_PassedOnTo, "10.200.100.100");
      ServerListUpdate News;
      News.m_Revision = 7;
      for (std::size_t I = 0; I < Case.m_Rows; ++I)
        News.m_Rows.push_back(
            {server("i-" + std::to_string(I)), 5, false, Time{0}});
      std::set<std::string> Told;
      std::size_t Bytes = 0;
      ServerListUpdateMessages Made =
          splitServerListUpdate(News, Case.m_MaxBytes, Case.m_PassedOnTo, 1s);
      for (std::size_t I = 0; I < Made.m_Messages.size(); ++I) {
        std::string Text =
            Rest.empty()
                ? encodeServerListUpdate(Made.m_Messages[I])
                : encodeServerListUpdate(Made.m_Messages[I], "10.0.0.1", Rest);
        CHECK(Text.size() <= MaxDatagramBytes);
        Bytes += Text.size();
        Result<Json::Value> Parsed = parseJson(Text);
        REQUIRE(Parsed);
        ServerListUpdate Got =
            readServerListUpdate(Parsed.value()["params"], 1s);
        CHECK(Got.m_ForwardTo == Rest);
        for (const ListingRow &Each : Got.m_Rows)
          Told.insert(Each.m_Listing.m_Id);
        // Only the last of all says that nothing is left.
        bool Last = I + 1 == Made.m_Messages.size() &&
                    Made.m_RowsIncluded == Case.m_Rows;
        CHECK(Got.m_HasMore == !Last);
      }
      CHECK(Told.size() == Made.m_RowsIncluded);
      CHECK((Made.m_RowsIncluded == Case.m_Rows) == Case.m_AllSent);
      CHECK((Case.m_Rows == 0 || Made.m_RowsIncluded > 0));
      CHECK(Bytes <= Case.m_MaxBytes);
    }
  }

  TEST_CASE("news that is passed on reaches its reader unchanged") {
    ServerListUpdate News;
    News.m_Revision = 7;
    News.m_Digest = 99;
    News.m_Rows.push_back({server("i-1"), 5, false, Time{0}});
    Json::Value Message =
        splitServerListUpdate(News, 9000, 2, 1s).m_Messages.at(0);
    Result<Json::Value> First = parseJson(
        encodeServerListUpdate(Message, "10.0.0.1", {"10.0.0.2", "10.0.0.3"}));
    REQUIRE(First);
    ServerListUpdate Passed = readServerListUpdate(First.value()["params"], 1s);
    Result<Json::Value> Second = parseJson(
        encodeServerListUpdate(First.value()["params"], Passed.m_Origin));
    REQUIRE(Second);
    ServerListUpdate Got = readServerListUpdate(Second.value()["params"], 1s);
    CHECK(Got.m_Origin == "10.0.0.1");
    CHECK(Got.m_ForwardTo.empty());
    CHECK(Got.m_Digest == 99);
    CHECK(Got.m_Rows.size() == 1);
  }

  // Pattern: some of a large service's servers come at once. What the reader
  // sends must leave room on the smallest VM's link, 10 Mbit/s, for other news,
  // and all must be told well within the bounds, of 2 s and more.
  TEST_CASE("many changes at once do not fill the reader's link") {
    constexpr std::size_t LinkBytesPerSecond = 1'250'000;
    constexpr int SendsPerSecond = 5;
    struct Row {
      std::size_t m_Vms;
      std::size_t m_Rows;
      int m_MostSends;
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
      std::size_t Rest = 0;
      for (const RelayGroup &Group : Groups)
        Rest = std::max(Rest, Group.m_Receivers.size());
      ListingTable Book;
      for (std::size_t I = 0; I < Case.m_Rows; ++I)
        Book.put(server("i-" + std::to_string(I)), 5, 1s);
      PropagationCursor Telling;
      int Sends = 0;
      while (Telling.hasPending(Book)) {
        ServerListUpdate News;
        News.m_Rows = Telling.pending(Book, 0s, 9s);
        ServerListUpdateMessages Made = splitServerListUpdate(
            News, updateBytesPerTarget(Groups.size()), Rest, 1s);
        std::size_t Bytes = 0;
        for (const Json::Value &Message : Made.m_Messages)
          Bytes += encodeServerListUpdate(Message).size();
        CHECK(Bytes * Groups.size() * SendsPerSecond <= LinkBytesPerSecond / 2);
        CHECK(Bytes * Rest * SendsPerSecond <= LinkBytesPerSecond / 2);
        Telling.markSent(Book, News.m_Rows, Made.m_RowsIncluded);
        ++Sends;
      }
      CHECK(Sends <= Case.m_MostSends);
    }
  }

  TEST_CASE("servers that leave are told before those that come") {
    ListingTable Book;
    for (int I = 0; I < 20; ++I)
      Book.put(server("new-" + std::to_string(I)), 5, 1s);
    PropagationCursor Telling;
    Telling.markSent(Book, Telling.pending(Book, 0s, 9s), 5);
    Book.put(server("leaves", true), 6, 2s);
    Book.remove("new-7", 7, 2s);
    std::vector<ListingRow> Left = Telling.pending(Book, 0s, 9s);
    REQUIRE(Left.size() == 16);
    CHECK(Left[0].m_Listing.m_Id == "leaves");
    CHECK(Left[1].m_Listing.m_Id == "new-7");
    Telling.markSent(Book, Left, 1);
    CHECK(Telling.pending(Book, 0s, 9s).front().m_Listing.m_Id == "new-7");
    Telling.markSent(Book, Telling.pending(Book, 0s, 9s), 2);
    CHECK(Telling.pending(Book, 0s, 9s).front().m_Listing.m_Id == "new-6");
    // Those that left are told again while they are new, before all others.
    Left = Telling.pending(Book, 2s, 3s);
    CHECK(Left[1].m_Listing.m_Id == "new-7");
    CHECK(Left[2].m_Listing.m_Id == "new-6");
    Telling.markSent(Book, Left, 2);
    CHECK(Telling.pending(Book, 0s, 9s).front().m_Listing.m_Id == "new-6");
    CHECK(Telling.hasPending(Book));
    Telling.markSent(Book, Telling.pending(Book, 0s, 9s),
                     Telling.pending(Book, 0s, 9s).size());
    CHECK_FALSE(Telling.hasPending(Book));
    CHECK(Telling.pending(Book, 0s, 9s).empty());
    Book.put(server("late"), 9, 3s);
    CHECK(Telling.pending(Book, 0s, 9s).size() == 1);
    Telling.markAllSent(Book);
    CHECK(Telling.pending(Book, 0s, 9s).empty());
  }

  TEST_CASE("places go in as many datagrams as they need") {
    for (std::size_t Objects : {0U, 1U, 29U, 30U, 31U, 90U, 200U}) {
      CAPTURE(Objects);
      AffinityUpdates Places;
      for (std::size_t I = 0; I < Objects; ++I) // The longest of numbers.
        Places["i-1234567890ab" + std::to_string(I % 7)].push_back(
            ~std::uint64_t{0} - I);
      AffinityUpdates Got;
      for (const std::string &Text : encodeAffinityUpdates(Places)) {
        CHECK(encodeForward(Text, FullGroup).size() <= MaxDatagramBytes);
        Result<Json::Value> Parsed = parseJson(Text);
        REQUIRE(Parsed);
        for (auto &[Server, Hashes] :
             readAffinityUpdates(Parsed.value()["params"]))
          Got[Server].insert(Got[Server].end(), Hashes.begin(), Hashes.end());
      }
      CHECK(Got == Places);
    }
    for (const char *Text : {"{}", "[]", "[1,2]", "[1,[]]", "[1,[2,\"x\"]]"}) {
      CAPTURE(Text);
      Result<Json::Value> Parsed = parseJson(Text);
      REQUIRE(Parsed);
      CHECK_THROWS(readAffinityUpdates(Parsed.value()));
    }
  }

  TEST_CASE("high loads go in as many datagrams as they need") {
    for (int Servers : {0, 1, 50, 51, 120}) {
      CAPTURE(Servers);
      ServerLoadUpdates Loads;
      for (int I = 0; I < Servers; ++I)
        Loads["i-1234567890" + std::to_string(1000 + I)] = {I, 5s};
      ServerLoadUpdates Got;
      for (const std::string &Text : encodeServerLoadUpdates(Loads, 5200ms)) {
        CHECK(encodeForward(Text, FullGroup).size() <= MaxDatagramBytes);
        Result<Json::Value> Parsed = parseJson(Text);
        REQUIRE(Parsed);
        for (auto &[Server, Load] :
             readServerLoadUpdates(Parsed.value()["params"], 9s)) {
          CHECK(Load.m_At == 9s - 200ms);
          Got[Server] = Load;
        }
      }
      CHECK(Got.size() == Loads.size());
      for (const auto &[Server, Load] : Loads)
        CHECK(Got[Server].m_Total == Load.m_Total);
    }
    for (const char *Text : {"{}", "[]", "[1,2]", "[1,[\"x\",2]]"}) {
      CAPTURE(Text);
      Result<Json::Value> Parsed = parseJson(Text);
      REQUIRE(Parsed);
      CHECK_THROWS(readServerLoadUpdates(Parsed.value(), 1s));
    }
  }

  TEST_CASE("what is found out about servers goes in as many datagrams") {
    for (int Servers : {0, 1, 20, 21, 90}) {
      CAPTURE(Servers);
      ServerEventUpdates Told;
      for (int I = 0; I < Servers; ++I)
        Told["i-1234567890" + std::to_string(1000 + I)] = {
            ~std::uint64_t{0} - static_cast<std::uint64_t>(I),
            static_cast<ServerEvent>(I % 4)};
      ServerEventUpdates Got;
      for (const std::string &Text : encodeServerEventUpdates(Told)) {
        std::string Wrapped = encodeForward(Text, FullGroup);
        CHECK(Wrapped.size() <= MaxDatagramBytes);
        Result<Json::Value> Outer = parseJson(Wrapped);
        REQUIRE(Outer);
        ForwardedMessage Passed = readForwardedMessage(Outer.value()["params"]);
        CHECK(Passed.m_ForwardTo == FullGroup);
        CHECK(Passed.m_Text == Text);
        Result<Json::Value> Parsed = parseJson(Text);
        REQUIRE(Parsed);
        for (const auto &[Id, News] :
             readServerEventUpdates(Parsed.value()["params"]))
          Got[Id] = News;
      }
      CHECK(Got.size() == Told.size());
      for (const auto &[Id, News] : Told) {
        CHECK(Got[Id].m_Incarnation == News.m_Incarnation);
        CHECK(Got[Id].m_Kind == News.m_Kind);
      }
    }
    Result<Json::Value> Newer = parseJson("[1,[\"a\",5,99],[\"b\",5,-1]]");
    REQUIRE(Newer);
    CHECK(readServerEventUpdates(Newer.value())
              .empty()); // Kinds of a later version.
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

  TEST_CASE("a message of the wrong shape is refused") {
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
