// What a node reads of the platform's store, and how often.
#include "platform/StoreSync.h"
#include "test/NodeFixture.h"

#include "net/Crypto.h"
#include "net/Datagrams.h"
#include "net/Messages.h"

using namespace rhubarb;
using namespace rhubarb::test;
using namespace rhubarb::platform;

namespace {

// Returns the fixture's configuration as a later version, and longer.
std::string makeVersion(std::uint64_t Revision, std::size_t PadBytes) {
  std::string Text = Config;
  std::string Digits = std::to_string(Revision);
  std::size_t At = Text.find("00000001") + 8 - Digits.size();
  return Text.replace(At, Digits.size(), Digits) + std::string(PadBytes, ' ');
}

// A store with all versions of the configuration, and nothing else.
struct VersionedStore {
  asio::io_context &m_Io;
  Reachability m_Reach;
  std::vector<std::string> m_Versions; // The first one has revision 1.
  Duration m_RangeDelay{0};
  int m_OperatorRanges = 0;
  HttpServer m_Server{
      m_Io, m_Reach, HttpServerLimits{},
      [this](const HttpRequest &Request) { return answer(Request); }};

  std::string item(std::size_t Version) const {
    return R"({"key":"op/config","value":")" +
           encodeBase64(m_Versions[Version]) + R"(","revision":)" +
           std::to_string(Version + 1) + "}";
  }

  HttpResponse respond(const char *List, const std::string &Items) const {
    return jsonResponse(200, std::string("{\"") + List + "\":[" + Items +
                                 R"(],"store_revision":)" +
                                 std::to_string(m_Versions.size()) +
                                 R"(,"lease":7})");
  }

  asio::awaitable<HttpResponse> answer(HttpRequest Request) {
    bool IsOperator = Request.query("prefix").starts_with("op");
    if (Request.path() == "/kv-range") {
      if (IsOperator) {
        ++m_OperatorRanges;
        co_await sleepFor(m_RangeDelay);
      }
      co_return respond("items", IsOperator ? item(m_Versions.size() - 1) : "");
    }
    if (Request.path() != "/kv-watch")
      co_return respond("items", "");
    std::size_t After = std::stoul(std::string(Request.query("after")));
    Time Deadline = now() + std::chrono::milliseconds(std::stoul(
                                std::string(Request.query("wait_ms"))));
    while (now() < Deadline && (!IsOperator || m_Versions.size() <= After))
      co_await sleepFor(5ms);
    std::string Items;
    for (std::size_t Version = After; IsOperator && Version < m_Versions.size();
         ++Version)
      Items += (Items.empty() ? "" : ",") + item(Version);
    co_return respond("events", Items);
  }
};

// A node that reads its store.
struct SyncedNode {
  NodeFixture m_Fixture{{}};
  VersionedStore m_Store{m_Fixture.m_Io, {}, {}};
  std::optional<StoreSync> m_Sync;

  explicit SyncedNode(std::size_t PadBytes) {
    m_Store.m_Versions = {makeVersion(1, PadBytes)};
    auto Port = m_Store.m_Server.start("127.0.0.1", 0);
    REQUIRE(Port);
    PlatformSettings Settings;
    Settings.m_Node = nodeSettings(1);
    Settings.m_StoreAddress = "127.0.0.1:" + std::to_string(Port.value());
    m_Sync.emplace(m_Fixture.m_Io, m_Fixture.m_Counters, m_Fixture.m_Node,
                   Settings);
    m_Sync->start();
    m_Fixture.runFor(1s);
    REQUIRE(m_Store.m_OperatorRanges == 1);
  }

  void write(std::size_t Versions, std::size_t PadBytes) {
    for (std::size_t Added = 0; Added < Versions; ++Added)
      m_Store.m_Versions.push_back(
          makeVersion(m_Store.m_Versions.size() + 1, PadBytes));
  }
};

} // namespace

TEST_SUITE("store_sync") {
  // Guards against VMs that read each version of a long configuration, although
  // the next ones follow faster than a version arrives.
  TEST_CASE("several long versions are read as a range, at once") {
    struct Row {
      const char *m_Name;
      std::size_t m_PadBytes;
      std::size_t m_Versions; // Written at once.
      int m_Ranges;
    };
    const Row Rows[] = {
        {"one long version", 300'000, 1, 1},
        {"two long versions", 300'000, 2, 2},
        {"four long versions", 300'000, 4, 2},
        {"four short versions", 1'000, 4, 1},
    };
    for (const Row &Case : Rows) {
      CAPTURE(std::string(Case.m_Name));
      SyncedNode Synced(Case.m_PadBytes);
      Synced.write(Case.m_Versions, Case.m_PadBytes);
      Synced.m_Fixture.runFor(600ms);
      CHECK(Synced.m_Fixture.m_Node.revision() == Case.m_Versions + 1);
      CHECK(Synced.m_Store.m_OperatorRanges == Case.m_Ranges);
    }
  }
}
