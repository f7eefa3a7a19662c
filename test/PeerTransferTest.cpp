// Documents that a node fetches from a peer and that take long to arrive, as
// their length grows with the configuration and the list of servers.
#include "test/LongResponses.h"
#include "test/NodeFixture.h"

#include "net/ServerListUpdate.h"

using namespace rhubarb;
using namespace rhubarb::test;

namespace {

// A configuration must be in force this long after the operator changed it.
constexpr Duration ConfigApply = 4s;
constexpr std::size_t DocumentBytes = 900'000;
constexpr std::uint64_t NextRevision = 2;

// What a node fetches from a peer.
enum class Document : std::uint8_t { Config, List };

std::string peerIp() {
  std::string Ip = nodeIp();
  return Ip.replace(0, std::string("127.77").size(), "127.78");
}

// Returns a document with white space up to its length.
std::string makeDocument(Document Kind) {
  std::string Text = Config;
  if (Kind == Document::Config) {
    Text.replace(Text.find("00000001"), 8, "00000002");
  } else {
    ServerListUpdate Update;
    Update.m_Position = {1, 5};
    BackendInfo Info;
    Info.m_Id = "i-9";
    Info.m_Address = "127.0.0.1:1";
    Info.m_PoolName = "s1";
    Info.m_Domain = "a-1";
    Update.m_Rows.push_back({Info, {1, 4}, false, now(), false});
    Text = compactJson(toJson(Update, now()));
  }
  Text.insert(1, DocumentBytes - Text.size(), ' ');
  return Text;
}

// Returns the report of a peer with a newer configuration or list.
MemberReport makeReport(Document Kind) {
  MemberReport Report;
  Report.m_Vm = peerIp();
  Report.m_Domain = "a-1";
  Report.m_StartTime = 1;
  if (Kind == Document::Config)
    Report.m_Revision = NextRevision;
  else
    Report.m_DirectoryIndex = 5;
  return Report;
}

} // namespace

TEST_SUITE("peer_transfer") {
  // Guards against fetches that are given up while the document arrives: its
  // bytes are lost, and the next fetch fails alike.
  TEST_CASE("a document of a peer that arrives slowly is taken whole") {
    for (Document Kind : {Document::Config, Document::List}) {
      CAPTURE(static_cast<int>(Kind));
      NodeFixture Fixture(std::vector<RawAnswer>{});
      bool IsTaken = false;
      node::ControlPlaneHooks Hooks;
      Hooks.m_ApplyConfig = [&](const std::string &Text) {
        auto Parsed = platform::parseConfig(Text);
        REQUIRE(Parsed);
        Fixture.m_Node.applyConfig(std::move(Parsed.value()),
                                   {NextRevision, Text});
      };
      Fixture.m_Node.setHooks(std::move(Hooks));
      RawAnswer Answer =
          makeEvenAnswer(makeResponse(makeDocument(Kind)), 2500ms);
      tcp::acceptor Peer(Fixture.m_Io,
                         {asio::ip::make_address(peerIp()), PeerPort});
      asio::co_spawn(Fixture.m_Io, acceptRaw(Peer, Answer), asio::detached);
      asio::co_spawn(Fixture.m_Io,
                     announce(Fixture.m_Io, makeReport(Kind),
                              {asio::ip::make_address(nodeIp()), PeerPort}),
                     asio::detached);
      Time Began = now();
      while (!IsTaken && now() - Began < ConfigApply) {
        Fixture.runFor(50ms);
        IsTaken = Kind == Document::Config
                      ? Fixture.m_Node.revision() == NextRevision
                      : Fixture.m_Node.serverList().find("i-9") != nullptr;
      }
      CHECK(IsTaken);
    }
  }
}
