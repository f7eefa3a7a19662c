#include "rhubarb/Listing.h"
#include "rhubarb/Readers.h"

#include "net/ListNews.h"
#include "net/Messages.h"
#include "net/PlaceTold.h"

#include <doctest/doctest.h>

#include <functional>
#include <set>

using namespace rhubarb;
using namespace rhubarb::net;

namespace {

BackendListing server(const std::string &Id, bool Leaving = false,
                      std::int64_t Born = 1) {
  BackendListing Entry;
  Entry.m_Id = Id;
  Entry.m_Address = "10.0.0.1:80";
  Entry.m_PoolName = "p";
  Entry.m_Domain = "d";
  Entry.m_Slots = 3;
  Entry.m_Leaving = Leaving;
  Entry.m_Born = Born;
  return Entry;
}

} // namespace

TEST_SUITE("listing") {
  TEST_CASE("of two writes the later one holds, in any order of arrival") {
    // Revision 5 writes the entry, 7 says that it leaves, 9 removes it.
    const std::vector<std::vector<std::uint64_t>> Orders{
        {5, 7, 9}, {9, 7, 5}, {7, 5, 9}, {9, 5}, {5, 9, 7}};
    for (const auto &Order : Orders) {
      ListingBook Book;
      for (std::uint64_t Revision : Order) {
        if (Revision == 9)
          Book.remove("a", 9, 1s);
        else
          Book.put(server("a", Revision == 7), Revision, 1s);
      }
      CHECK(Book.entries().empty());
      CHECK(Book.digest() == 0);
    }
    ListingBook Book;
    Book.put(server("a", true), 7, 1s);
    CHECK_FALSE(Book.put(server("a", false), 5, 2s));
    CHECK(Book.entries().front().m_Leaving);
  }

  TEST_CASE("only what matters counts as a change") {
    struct Row {
      const char *m_Name;
      std::function<void(BackendListing &)> m_Edit;
      bool m_Matters;
    };
    const Row Rows[] = {
        {"the same again", [](BackendListing &) {}, false},
        {"leaving", [](BackendListing &S) { S.m_Leaving = true; }, true},
        {"another incarnation", [](BackendListing &S) { S.m_Born = 2; }, true},
        {"another address",
         [](BackendListing &S) { S.m_Address = "10.0.0.2:80"; }, true},
        {"more slots", [](BackendListing &S) { S.m_Slots = 9; }, true},
        {"colder", [](BackendListing &S) { S.m_ColdUntil = 9s; }, true},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      ListingBook Book;
      CHECK(Book.put(server("a"), 1, 1s));
      BackendListing Next = server("a");
      Case.m_Edit(Next);
      CHECK(Book.put(Next, 2, 2s) == Case.m_Matters);
    }
  }

  TEST_CASE("a whole list removes what it lacks, but nothing newer") {
    ListingBook Book;
    Book.put(server("old"), 3, 1s);
    Book.put(server("kept"), 4, 1s);
    Book.put(server("newer"), 12, 1s);
    Book.replace({{server("kept"), 4, false, 0s}}, 10, 2s);
    std::set<std::string> Ids;
    for (const BackendListing &Entry : Book.entries())
      Ids.insert(Entry.m_Id);
    CHECK(Ids == std::set<std::string>{"kept", "newer"});
    // A server that starts again under its id is back.
    CHECK(Book.put(server("old"), 11, 3s));
  }

  TEST_CASE("books agree on their digest however the news came") {
    for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
      Random Pick(Seed);
      ListingBook Reader;
      ListingBook Follower;
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
        Reader.confirm(Revision, Now);
        if (Pick.below(100) < 40)
          continue; // The datagram is lost.
        ListNews News;
        News.m_Rows = Reader.recent(2s, Now);
        News.m_Digest = Reader.digest();
        News.m_Revision = Reader.revision();
        Json::Value Sent = toJson(News, Now);
        ListNews Got = readListNews(Sent, Now);
        for (const ListedRow &Row : Got.m_Rows) {
          if (Row.m_Removed)
            Follower.remove(Row.m_Listing.m_Id, Row.m_Revision, Now);
          else
            Follower.put(Row.m_Listing, Row.m_Revision, Now);
        }
        if (Got.m_Digest == Follower.digest())
          Follower.confirm(Got.m_Revision, Now);
      }
      // Whatever was lost, a whole list mends it.
      if (Follower.digest() != Reader.digest())
        Follower.replace(Reader.all(), Reader.revision(), Now);
      CHECK(Follower.digest() == Reader.digest());
      CHECK(Follower.entries().size() == Reader.entries().size());
    }
  }

  TEST_CASE("removed entries are forgotten, and the digest does not care") {
    ListingBook Book;
    Book.put(server("a"), 1, 1s);
    Book.remove("a", 2, 2s);
    Book.tick(100s);
    CHECK(Book.all().empty());
    CHECK(Book.digest() == 0);
  }

  TEST_CASE("news goes in as many datagrams as it needs, or without rows") {
    struct Row {
      std::size_t m_Rows;
      std::size_t m_MaxBytes;
      bool m_AllSent;
    };
    for (const Row &Case :
         {Row{0, 16000, true}, Row{1, 16000, true}, Row{12, 16000, true},
          Row{13, 16000, true}, Row{120, 16000, true}, Row{600, 16000, false},
          Row{12, 1400, true}, Row{30, 1400, false}}) {
      CAPTURE(Case.m_Rows);
      ListNews News;
      News.m_Revision = 7;
      for (std::size_t I = 0; I < Case.m_Rows; ++I)
        News.m_Rows.push_back(
            {server("i-" + std::to_string(I)), 5, false, Time{0}});
      std::size_t Sent = 0;
      std::size_t Bytes = 0;
      std::vector<std::string> Texts = listNewsTexts(News, Case.m_MaxBytes, 1s);
      for (std::size_t I = 0; I < Texts.size(); ++I) {
        CHECK(Texts[I].size() <= MaxDatagramBytes);
        Bytes += Texts[I].size();
        Result<Json::Value> Parsed = parseJson(Texts[I]);
        REQUIRE(Parsed);
        ListNews Got = readListNews(Parsed.value()["params"], 1s);
        Sent += Got.m_Rows.size();
        CHECK(Got.m_More == (I + 1 < Texts.size()));
      }
      CHECK(Sent == (Case.m_AllSent ? Case.m_Rows : 0));
      CHECK(Bytes <= Case.m_MaxBytes);
      CHECK((Case.m_AllSent || Texts.size() == 1));
    }
  }

  // Pattern: some of a large service's servers come at once. What the reader
  // sends must leave room on the smallest VM's link, 10 Mbit/s, for other news.
  TEST_CASE("many changes at once do not fill the reader's link") {
    constexpr std::size_t LinkBytesPerSecond = 1'250'000;
    for (std::size_t Vms : {5U, 20U, 100U, 330U})
      for (std::size_t Rows : {1U, 12U, 120U, 300U, 3000U}) {
        CAPTURE(Vms);
        CAPTURE(Rows);
        ListNews News;
        for (std::size_t I = 0; I < Rows; ++I)
          News.m_Rows.push_back(
              {server("i-" + std::to_string(I)), 5, false, Time{0}});
        std::size_t Bytes = 0;
        for (const std::string &Text :
             listNewsTexts(News, bytesToTell(Vms), 1s))
          Bytes += Text.size();
        CHECK(Bytes * Vms <= LinkBytesPerSecond / 2);
      }
  }

  TEST_CASE("places go in as many datagrams as they need") {
    for (std::size_t Objects : {0U, 1U, 29U, 30U, 31U, 90U, 200U}) {
      CAPTURE(Objects);
      PlacesTold Places;
      for (std::size_t I = 0; I < Objects; ++I) // The longest of numbers.
        Places["i-1234567890ab" + std::to_string(I % 7)].push_back(
            ~std::uint64_t{0} - I);
      PlacesTold Got;
      for (const std::string &Text : placesTexts(Places)) {
        CHECK(Text.size() <= MaxDatagramBytes);
        Result<Json::Value> Parsed = parseJson(Text);
        REQUIRE(Parsed);
        for (auto &[Server, Hashes] : readPlaces(Parsed.value()["params"]))
          Got[Server].insert(Got[Server].end(), Hashes.begin(), Hashes.end());
      }
      CHECK(Got == Places);
    }
    for (const char *Text : {"{}", "[]", "[1,2]", "[1,[]]", "[1,[2,\"x\"]]"}) {
      CAPTURE(Text);
      Result<Json::Value> Parsed = parseJson(Text);
      REQUIRE(Parsed);
      CHECK_THROWS(readPlaces(Parsed.value()));
    }
  }

  TEST_CASE("high loads go in as many datagrams as they need") {
    for (int Servers : {0, 1, 50, 51, 120}) {
      CAPTURE(Servers);
      LoadsTold Loads;
      for (int I = 0; I < Servers; ++I)
        Loads["i-1234567890" + std::to_string(1000 + I)] = {I, 5s};
      LoadsTold Got;
      for (const std::string &Text : loadsTexts(Loads, 5200ms)) {
        CHECK(Text.size() <= MaxDatagramBytes);
        Result<Json::Value> Parsed = parseJson(Text);
        REQUIRE(Parsed);
        for (auto &[Server, Load] : readLoads(Parsed.value()["params"], 9s)) {
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
      CHECK_THROWS(readLoads(Parsed.value(), 1s));
    }
  }

  TEST_CASE("a message of the wrong shape is refused") {
    for (const char *Text : {"{}", "[]", "[1,2,3]", "[1,2,3,4,5,6,[],[[1]]]",
                             "[1,2,3,4,5,6,{},[]]"}) {
      CAPTURE(Text);
      Result<Json::Value> Parsed = parseJson(Text);
      REQUIRE(Parsed);
      CHECK_THROWS(readListNews(Parsed.value(), 1s));
    }
  }
}
