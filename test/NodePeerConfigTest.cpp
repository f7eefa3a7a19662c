// Configurations that a node fetches from another VM.
#include "test/NodeFixture.h"

#include "net/Datagrams.h"
#include "net/Messages.h"

using namespace rhubarb;
using namespace rhubarb::test;

namespace {

// Longer than a node waits for the control plane before it asks a peer.
constexpr Duration HeartbeatsFor = 1s;
constexpr Duration HeartbeatInterval = 100ms;

asio::awaitable<void> sendHeartbeats(DatagramSocket &From, std::string Ip) {
  Heartbeat Message;
  RelayedReport Row;
  Row.m_Report.m_Vm = Ip;
  Row.m_Report.m_Domain = "a-1";
  Row.m_Report.m_StartTime = 1;
  Row.m_Report.m_Revision = 9; // Newer than the node's.
  for (Time End = now() + HeartbeatsFor; now() < End;) {
    ++Row.m_Report.m_Sequence;
    Message.m_Reports = {Row};
    From.send(nodeIp(), PeerPort, encodeHeartbeat(Message));
    co_await sleepFor(HeartbeatInterval);
  }
}

} // namespace

TEST_SUITE("node_peer_config") {
  // Guards against a second copy of a long configuration over the same narrow
  // link, which delays both.
  TEST_CASE("a peer is asked only while the control plane sends nothing") {
    struct Row {
      const char *m_Name;
      bool m_Receives; // An answer of the control plane is arriving.
      bool m_Asks;
    };
    const Row Rows[] = {
        {"silent control plane", false, true},
        {"an answer is arriving", true, false},
    };
    for (const Row &Case : Rows) {
      CAPTURE(std::string(Case.m_Name));
      NodeFixture Fixture({});
      std::string Ip = nodeIp().replace(0, 6, "127.78");
      Fixture.m_Node.addVms({{Ip, "a-1"}});
      node::ControlPlaneHooks Hooks;
      Hooks.m_ReceivesOperatorChanges = [&] { return Case.m_Receives; };
      Fixture.m_Node.setHooks(std::move(Hooks));
      RawAnswer NotFound{"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"};
      NotFound.m_Requests = std::make_shared<std::size_t>(0);
      tcp::acceptor Acceptor(Fixture.m_Io,
                             {asio::ip::make_address(Ip), PeerPort});
      asio::co_spawn(Fixture.m_Io, acceptRaw(Acceptor, NotFound),
                     asio::detached);
      DatagramSocket Socket(Fixture.m_Io, Fixture.m_Reach,
                            [](const std::string &, const std::string &) {});
      REQUIRE(Socket.start(Ip, PeerPort));
      asio::co_spawn(Fixture.m_Io, sendHeartbeats(Socket, Ip),
                     [&](const std::exception_ptr &) { Fixture.m_Io.stop(); });
      Fixture.finish();
      CHECK((*NotFound.m_Requests > 0) == Case.m_Asks);
    }
  }
}
