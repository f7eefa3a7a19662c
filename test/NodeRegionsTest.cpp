// Configurations that come into force while a request waits in a node.
#include "test/NodeFixture.h"

#include "net/Datagrams.h"
#include "net/QuotaMessages.h"

using namespace rhubarb;
using namespace rhubarb::test;

namespace {

enum class Wait : std::uint8_t { QuotaToken, Queue, Retry, Count };
constexpr std::array<const char *, static_cast<std::size_t>(Wait::Count)>
    WaitNames{"quota token", "queue", "retry"};

// Whose allowed regions a configuration changes.
enum class Holder : std::uint8_t { Route, Organisation, Count };
constexpr std::array<const char *, static_cast<std::size_t>(Holder::Count)>
    HolderNames{"route", "organisation"};

// What a configuration says of the route and the organisation of a request.
struct Version {
  int m_Number = 1;
  bool m_HasRoute = true;
  bool m_HasKey = true;
  std::string m_RouteRegions = "[]";
  std::string m_OrganisationRegions = "[]";
  bool m_HasQuota = false;
};

constexpr const char *ApiKey = "k1";
constexpr const char *OtherRoute =
    R"({"name":"other","prefix":"/other/","route_type":"safe","timeout":"3000ms",
"priority":2,"service":"s1","max_attempts":2,"allowed_regions":[]})";

std::string configText(const Version &Of, const std::string &Organisation) {
  std::string Read =
      R"({"name":"read","prefix":"/read/","route_type":"safe",
"timeout":"3000ms","priority":2,"service":"s1","max_attempts":3,
"allowed_regions":)" +
      Of.m_RouteRegions + "},";
  return R"({"version":"0000000)" + std::to_string(Of.m_Number) +
         R"(","services":[{"name":"s1","health_path":"/h","max_connections":300},
{"name":"s2","health_path":"/h","max_connections":300}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
"header_timeout":"3000ms","idle_timeout":"15000ms"},
"virtual_hosts":[{"hostname":"x.example","paths":[)" +
         (Of.m_HasRoute ? Read : "") + OtherRoute +
         R"(]}],"tenants":[{"name":")" + Organisation + R"(","api_keys":[")" +
         (Of.m_HasKey ? ApiKey : "k2") + R"("],"allowed_regions":)" +
         Of.m_OrganisationRegions +
         (Of.m_HasQuota ? R"(,"rate_per_s":100,"burst":100)" : "") + "}]}";
}

void applyVersion(node::Node &Target, const Version &Of,
                  const std::string &Organisation) {
  std::string Text = configText(Of, Organisation);
  auto Parsed = platform::parseConfig(Text);
  REQUIRE(Parsed);
  std::uint64_t Revision = Parsed.value().m_Revision;
  Target.applyConfig(std::move(Parsed.value()), {Revision, Text});
}

// The address of another VM.
std::string peerIp() { return nodeIp().replace(0, 6, "127.78"); }

// A VM that hands out the tokens of an organisation. Calls a hook before it
// answers an ask, when a request waits for the token.
struct QuotaVm {
  std::string m_Ip = peerIp();
  std::function<void()> m_BeforeAnswer;
  Reachability m_Reach;
  DatagramSocket m_Socket;

  explicit QuotaVm(asio::io_context &Io)
      : m_Socket(Io, m_Reach,
                 [this](const std::string &Text, const std::string &PeerIp) {
                   answer(Text, PeerIp);
                 }) {
    REQUIRE(m_Socket.start(m_Ip, PeerPort));
  }

  void answer(const std::string &Text, const std::string &PeerIp) {
    auto Message = parseJson(Text);
    if (!Message || Message.value()["method"] != QuotaAskMethod)
      return;
    QuotaAskMessage Ask = readQuotaAsk(Message.value()["params"]);
    if (auto Hook = std::exchange(m_BeforeAnswer, nullptr))
      Hook();
    QuotaGrantMessage Grant{Ask.m_Region, Ask.m_Sequence, {}, Ask.m_Kind};
    for (const QuotaAskRow &Row : Ask.m_Rows)
      Grant.m_Rows.push_back({Row.m_Organisation, Row.m_Tokens, true});
    for (const std::string &Answer : encodeQuotaGrant(Grant))
      m_Socket.send(PeerIp, PeerPort, Answer);
  }
};

asio::awaitable<void> runLater(Duration After, std::function<void()> Task) {
  co_await sleepFor(After);
  Task();
}

// A node of region "a" whose organisation gets its tokens from another VM.
struct RegionsFixture {
  NodeFixture m_Base{{}};
  QuotaVm m_QuotaVm{m_Base.m_Io};
  std::string m_Organisation;

  RegionsFixture() {
    m_Base.m_ApiKey = ApiKey;
    m_Base.m_Node.addVms({{m_QuotaVm.m_Ip, "a-1"}});
    for (int I = 0; m_Organisation.empty(); ++I) {
      std::string Name = "o" + std::to_string(I);
      if (chooseQuotaHolder(stableHash(Name), {nodeIp(), m_QuotaVm.m_Ip}) ==
          m_QuotaVm.m_Ip)
        m_Organisation = Name;
    }
  }

  void apply(const Version &Of) {
    applyVersion(m_Base.m_Node, Of, m_Organisation);
  }
};

RawAnswer answerWith(const std::string &Body, Duration Pause = Duration{0}) {
  return {head() + "Connection: close\r\nContent-Length: " +
              std::to_string(Body.size()) + "\r\n\r\n" + Body,
          ConnectionEnd::Close, false, Pause};
}

RawAnswer refuseAfter(Duration Pause) {
  return {head("503") + "X-Rhubarbstack-Not-Executed: 1\r\n"
                        "Connection: close\r\nContent-Length: 0\r\n\r\n",
          ConnectionEnd::Close, false, Pause};
}

// A request waits while the configuration in force changes.
struct Change {
  const char *m_Name;
  Version m_After;
  int m_Status = 200;
  std::string m_Body = "a";
};

constexpr Duration ChangeAfter = 60ms;
constexpr Duration RefusalTime = 200ms; // Of the server that is tried first.
constexpr Duration RunTime = 800ms;     // Of the request that fills the server.

void checkChange(Wait Waits, Holder Changed, const Change &Case) {
  RegionsFixture Fixture;
  NodeFixture &Base = Fixture.m_Base;
  auto RequestsInB = std::make_shared<std::size_t>(0);
  RawAnswer InB = answerWith("b", Waits == Wait::Queue ? RunTime : 0ms);
  if (Waits == Wait::Retry)
    InB = refuseAfter(RefusalTime);
  InB.m_Requests = RequestsInB;
  Base.addServer(InB, "s1", "b", 1);
  if (Waits == Wait::Retry)
    Base.addServer(InB, "s1", "b", 1);
  Base.addServer(answerWith("a"), "s1", "a");

  Version Before{2};
  Before.m_HasQuota = Waits == Wait::QuotaToken;
  (Changed == Holder::Route ? Before.m_RouteRegions
                            : Before.m_OrganisationRegions) = R"(["b"])";
  Fixture.apply(Before);
  Version After = Case.m_After;
  After.m_HasQuota = Before.m_HasQuota;
  std::size_t RequestsBefore = 0;
  auto ApplyChange = [&] {
    RequestsBefore = *RequestsInB;
    Fixture.apply(After);
  };
  if (Waits == Wait::QuotaToken)
    Fixture.m_QuotaVm.m_BeforeAnswer = ApplyChange;
  else
    asio::co_spawn(Base.m_Io, runLater(ChangeAfter, ApplyChange),
                   asio::detached);
  std::vector<Received> Got =
      Base.call({}, "/read/1", Waits == Wait::Queue ? 2 : 1);
  // The request that fills the server is the last to end.
  std::sort(Got.begin(), Got.end(), [](const Received &A, const Received &B) {
    return A.m_Took < B.m_Took;
  });
  if (Waits == Wait::Queue)
    CHECK(Got.back().m_Body == "b");
  CHECK(Got.front().m_Status == Case.m_Status);
  if (Case.m_Status == 200)
    CHECK(Got.front().m_Body == Case.m_Body);
  CHECK(*RequestsInB == RequestsBefore);
}

// Returns the node's settings with failure domain "b-1" in another region.
node::NodeSettings settingsWithMovedDomain() {
  node::NodeSettings Settings = nodeSettings(1);
  Settings.m_RegionOf["b-1"] = "c";
  return Settings;
}

std::vector<Change> changesOf(Holder Changed) {
  Version Moved{3};
  Version Widened{3};
  Version Nowhere{3};
  Version Removed{3};
  if (Changed == Holder::Route) {
    Moved.m_RouteRegions = R"(["a"])";
    Nowhere.m_RouteRegions = R"(["c"])";
    Removed.m_HasRoute = false;
  } else {
    Moved.m_OrganisationRegions = R"(["a"])";
    Nowhere.m_OrganisationRegions = R"(["c"])";
    Removed.m_HasKey = false;
  }
  return {{"moved", Moved},
          {"widened", Widened},
          {"without a server", Nowhere, 503},
          {"removed", Removed, Changed == Holder::Route ? 404 : 401}};
}

} // namespace

TEST_SUITE("node_regions") {
  // Guards against requests that run in a region that the configuration in
  // force does not allow, because it came into force while they waited.
  TEST_CASE("a waiting request follows the configuration in force") {
    for (std::size_t W = 0; W < WaitNames.size(); ++W)
      for (std::size_t H = 0; H < HolderNames.size(); ++H)
        for (const Change &Case : changesOf(static_cast<Holder>(H))) {
          CAPTURE(std::string(WaitNames[W]));
          CAPTURE(std::string(HolderNames[H]));
          CAPTURE(std::string(Case.m_Name));
          checkChange(static_cast<Wait>(W), static_cast<Holder>(H), Case);
        }
  }

  // Guards against a VM with an older configuration that runs what another VM
  // passes on outside the regions that the newer one allows.
  TEST_CASE("a request that was passed on keeps to the regions of both VMs") {
    struct Row {
      const char *m_Name;
      std::vector<std::string> m_Passed; // Regions that the other VM allows.
      std::string m_RouteRegions;        // At this VM.
      int m_Status;
    };
    const Row Rows[] = {
        {"no limit", {}, "[]", 200},
        {"the region of the server", {"b"}, "[]", 200},
        {"two regions", {"a", "b"}, "[]", 200},
        {"another region", {"a"}, "[]", 503},
        {"no region in common", {"a"}, R"(["b"])", 503},
        {"one in common", {"a", "b"}, R"(["b"])", 200},
        {"only the other one in common", {"a", "b"}, R"(["a"])", 503},
    };
    for (const Row &Case : Rows) {
      CAPTURE(std::string(Case.m_Name));
      NodeFixture Fixture({});
      Fixture.m_Node.addVms({{peerIp(), "a-1"}});
      Fixture.addServer(answerWith("b"), "s1", "b");
      Version Own{2};
      Own.m_RouteRegions = Case.m_RouteRegions;
      applyVersion(Fixture.m_Node, Own, "o1");
      HttpRequest Request;
      Request.m_Target = "/read/1";
      Request.m_Headers = {{"Host", "x.example"},
                           {"X-Rhubarbstack-Request-Id", "r1"},
                           {"Rhubarb-Organisation", "o1"},
                           {"Rhubarb-Detour", "1"}};
      for (const std::string &Region : Case.m_Passed)
        Request.m_Headers.push_back({"Rhubarb-Allowed-Region", Region});
      HttpClient Peer(Fixture.m_Io, Fixture.m_Reach, peerIp());
      Received Got;
      asio::co_spawn(Fixture.m_Io,
                     exchange(Peer, nodeIp() + ":" + std::to_string(DetourPort),
                              Request, ClientEnd{}, Got),
                     [&](const std::exception_ptr &) { Fixture.m_Io.stop(); });
      Fixture.finish();
      CHECK(Got.m_Status == Case.m_Status);
    }
  }

  // Guards against a VM that gets no requests for its refusal of one that it
  // must not run, although it reaches servers for the others.
  TEST_CASE("a detour that is refused for its regions leaves others their VM") {
    struct Row {
      const char *m_Name;
      std::string m_Regions; // Of the route at the VM that passes it on.
      std::string m_RegionsAtPeer;
    };
    const Row Rows[] = {
        {"both VMs restrict it", R"(["b"])", R"(["b"])"},
        {"only the other VM restricts it", "[]", R"(["b"])"},
        {"no region in common", R"(["b"])", R"(["a"])"},
    };
    for (const Row &Case : Rows) {
      CAPTURE(std::string(Case.m_Name));
      NodeFixture Base({});
      Base.m_ApiKey = ApiKey;
      node::NodeSettings PeerSettings = nodeSettings(1);
      PeerSettings.m_Ip = peerIp();
      PeerSettings.m_Domain = "b-1";
      PeerSettings.m_Region = "b";
      Metrics PeerCounters;
      node::Node Peer(Base.m_Io, PeerCounters, PeerSettings,
                      platform::headerNames());
      REQUIRE(Peer.start());
      Version Own{2};
      Own.m_RouteRegions = Case.m_Regions;
      applyVersion(Base.m_Node, Own, "o1");
      Version OfPeer{2};
      OfPeer.m_RouteRegions = Case.m_RegionsAtPeer;
      applyVersion(Peer, OfPeer, "o1");
      // No process listens at the address by which the first VM knows the only
      // server, so that it takes itself for cut off.
      Base.addServer(answerWith("a"), "s2", "a");
      listServer(Peer, serverInfo("i-2", addressOf(Base.m_Acceptors.front()),
                                  "s1", "a"));
      listServer(Base.m_Node, serverInfo("i-2", "127.0.0.1:1", "s1", "a"));
      Base.m_Node.addVms({{peerIp(), "b-1"}});
      Peer.addVms({{nodeIp(), "a-1"}});
      // Until each has heard the other.
      Time Latest = now() + 20s;
      while (Base.call({}, "/other/1").front().m_Status != 200) {
        REQUIRE(now() < Latest);
        Base.runFor(100ms);
      }
      CHECK(Base.call({}, "/read/1").front().m_Status == 503);
      CHECK(Base.call({}, "/other/1").front().m_Status == 200);
    }
  }

  // Guards against requests that run outside their allowed regions because a
  // server still counts for the region that the replaced settings name.
  TEST_CASE("settings move the listed servers to other regions at once") {
    struct Row {
      const char *m_Name;
      std::string m_RouteRegions;
      int m_Before;
      int m_After;
    };
    const Row Rows[] = {
        {"out of the allowed regions", R"(["b"])", 200, 503},
        {"into the allowed regions", R"(["c"])", 503, 200},
        {"no restriction", "[]", 200, 200},
    };
    for (const Row &Case : Rows) {
      CAPTURE(std::string(Case.m_Name));
      RegionsFixture Fixture;
      NodeFixture &Base = Fixture.m_Base;
      Base.addServer(answerWith("b"), "s1", "b");
      Version Own{2};
      Own.m_RouteRegions = Case.m_RouteRegions;
      Fixture.apply(Own);
      CHECK(Base.call({}, "/read/1").front().m_Status == Case.m_Before);
      Base.m_Node.applySettings(settingsWithMovedDomain());
      CHECK(Base.call({}, "/read/1").front().m_Status == Case.m_After);
    }
  }

  // Guards against a request that is sent to the server that was chosen by the
  // replaced settings, while the connection to it was being opened.
  TEST_CASE("a request is withheld from a server that has left its regions") {
    RegionsFixture Fixture;
    NodeFixture &Base = Fixture.m_Base;
    tcp::acceptor Server(Base.m_Io,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    Server.non_blocking(true);
    listServer(Base.m_Node, serverInfo("i-1", addressOf(Server), "s1", "b"));
    Version Own{2};
    Own.m_RouteRegions = R"(["b"])";
    Fixture.apply(Own);
    Received Got;
    Base.start({}, "/read/1", ClientEnd{}, Got);
    tcp::socket Accepted(Base.m_Io);
    boost::system::error_code Error = asio::error::would_block;
    Base.m_Io.restart();
    while (Error) {
      REQUIRE(Base.m_Io.run_one() == 1);
      Server.accept(Accepted, Error);
    }
    REQUIRE(Accepted.available() == 0);
    Base.m_Node.applySettings(settingsWithMovedDomain());
    Base.finish();
    CHECK(Got.m_Status == 503);
    CHECK(Accepted.available() == 0);
  }
}
