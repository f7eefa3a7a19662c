// Broken responses of backend servers on their way through a node: to callers
// that are still sending, to retries, and from the store.
#include "test/RawExchange.h"

#include "platform/Store.h"
#include "platform/Wire.h"
#include "tools/rhubarb-node/Node.h"

#include <doctest/doctest.h>

#include <unistd.h>

using namespace rhubarb;
using namespace rhubarb::test;

namespace {

constexpr const char *Config = R"({"version":"00000001",
"services":[{"name":"s1","health_path":"/h","max_connections":300}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
"header_timeout":"3000ms","idle_timeout":"15000ms"},
"virtual_hosts":[{"hostname":"x.example","paths":[
{"name":"read","prefix":"/read/","route_type":"safe","timeout":"3000ms",
"priority":1,"service":"s1","max_attempts":2,"session_affinity":false,
"allowed_regions":[]},
{"name":"pay","prefix":"/pay/","route_type":"unsafe","timeout":"3000ms",
"priority":0,"service":"s1","max_attempts":2,"session_affinity":false,
"allowed_regions":[]}]}]})";

constexpr std::uint16_t CallerPort = 8161;
constexpr std::uint16_t PeerPort = 7720;
constexpr std::size_t ServerSlots = 2;

// Several test runs may share the machine.
std::string nodeIp() {
  int Pid = ::getpid();
  return "127.77." + std::to_string(Pid / 250 % 250) + "." +
         std::to_string(Pid % 250 + 1);
}

node::NodeSettings nodeSettings(int PipelinedRequests) {
  node::NodeSettings Settings;
  Settings.m_Name = "node";
  Settings.m_Ip = nodeIp();
  Settings.m_Domain = "a-1";
  Settings.m_Region = "a";
  Settings.m_RegionOf = {{"a-1", "a"}};
  Settings.m_CallerPort = CallerPort;
  Settings.m_PeerPort = PeerPort;
  Settings.m_RetrySlack = 60;
  Settings.m_MaxPipelinedRequests = PipelinedRequests;
  return Settings;
}

// A node, its backend servers and a caller.
struct NodeFixture {
  asio::io_context m_Io{1};
  Reachability m_Reach;
  Metrics m_Counters;
  node::Node m_Node;
  HttpClient m_Caller{m_Io, m_Reach, "127.0.0.1"};
  std::deque<tcp::acceptor> m_Acceptors;

  explicit NodeFixture(const std::vector<RawAnswer> &Servers,
                       int PipelinedRequests = 1)
      : m_Node(m_Io, m_Counters, nodeSettings(PipelinedRequests),
               platform::headerNames()) {
    REQUIRE(m_Node.start());
    auto Parsed = platform::parseConfig(Config);
    REQUIRE(Parsed);
    m_Node.applyConfig(std::move(Parsed.value()), {1, Config});
    for (const RawAnswer &Answer : Servers) {
      tcp::acceptor &Acceptor = m_Acceptors.emplace_back(
          m_Io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
      asio::co_spawn(m_Io, acceptRaw(Acceptor, Answer), asio::detached);
      BackendInfo Info;
      Info.m_Id = "i-" + std::to_string(m_Acceptors.size());
      Info.m_Address = addressOf(Acceptor);
      Info.m_PoolName = "s1";
      Info.m_Domain = "a-1";
      Info.m_Region = "a";
      Info.m_Slots = static_cast<int>(ServerSlots);
      m_Node.serverList().put(Info, {1, 1}, now());
    }
    m_Node.confirmListComplete({1, 1}, now());
    m_Node.recordListRead(node::ListReadResult::Current);
  }

  // Sends the same request several times at once.
  std::vector<Received> call(HttpRequest Request, const char *Target,
                             std::size_t Count = 1) {
    Request.m_Target = Target;
    Request.m_Headers = {{"Host", "x.example"},
                         {"X-Rhubarbstack-Request-Id", "r1"},
                         {"X-Rhubarbstack-Request-Deadline", "3000"}};
    std::vector<Received> Out(Count);
    std::size_t Running = Count;
    for (Received &One : Out)
      asio::co_spawn(m_Io,
                     exchange(m_Caller,
                              nodeIp() + ":" + std::to_string(CallerPort),
                              Request, ClientEnd{}, One),
                     [&](const std::exception_ptr &) {
                       if (--Running == 0)
                         m_Io.stop();
                     });
    m_Io.restart();
    m_Io.run();
    return Out;
  }
};

// Returns the first lines of a response to the request that call() sends.
std::string head(const std::string &Status = "200") {
  return "HTTP/1.1 " + Status +
         " Any\r\nX-Rhubarbstack-Request-Id: r1\r\n"
         "X-Rhubarbstack-Server-Stamp: stamp\r\n";
}

struct BrokenResponse {
  const char *m_Name;
  std::string m_Head;
  // How its connection ends; without a length only a reset makes it broken.
  ConnectionEnd m_End = ConnectionEnd::Close;
};

const BrokenResponse BrokenResponses[] = {
    {"no length", head() + "\r\n", ConnectionEnd::Reset},
    {"status 000", head("000") + "\r\n"},
    {"blank in a name", head() + "X-Fi eld: 1\r\n\r\n"},
    {"control byte in a name", head() + "X-Fi\001eld: 1\r\n\r\n"},
    {"blank before the colon", head() + "X-Field : 1\r\n\r\n"},
    {"folded line", head() + " t\r\n\r\n"},
};

bool isWholeSuccess(const Received &Got) {
  return Got.m_IsWhole && Got.m_Status < 400;
}

struct UploadCase {
  std::size_t m_Bytes;
  Duration m_Pause; // Between the response and its end.
  int m_PipelinedRequests;
};

// Sends uploads to servers that respond to them with each broken response.
void checkUploads(const std::vector<UploadCase> &Cases) {
  for (const BrokenResponse &Broken : BrokenResponses)
    for (const UploadCase &Case : Cases)
      for (Upload Kind : {Upload::WithLength, Upload::InChunks}) {
        CAPTURE(Broken.m_Name);
        CAPTURE(Case.m_Bytes);
        CAPTURE(Case.m_Pause.count());
        CAPTURE(Case.m_PipelinedRequests);
        CAPTURE(static_cast<int>(Kind));
        NodeFixture Fixture({{Broken.m_Head + std::string(Case.m_Bytes, 'a'),
                              ConnectionEnd::Reset, false, 0ms, Case.m_Pause}},
                            Case.m_PipelinedRequests);
        Received Got = Fixture.call(makeUpload(Kind), "/pay/1")[0];
        CHECK_FALSE(isWholeSuccess(Got));
        CHECK(Got.m_Took < RequestTimeout / 2);
      }
}

} // namespace

TEST_SUITE("node_responses_pressed") {
  // Responses over 64 KB are streamed, with a budget that counts connections.
  TEST_CASE("a long broken response is no answer among pipelined requests") {
    checkUploads({{90000, 0ms, 8}, {90000, 100ms, 8}});
  }
}

TEST_SUITE("node_responses") {
  TEST_CASE("a broken response is no answer to an upload") {
    checkUploads({{300, 0ms, 1},
                  {300, 100ms, 1},
                  {90000, 0ms, 1},
                  {90000, 100ms, 1},
                  {300, 0ms, 8},
                  {300, 100ms, 8}});
  }

  TEST_CASE("a whole response without a length answers an upload") {
    for (std::size_t Bytes : {300, 90000})
      for (Upload Kind : {Upload::WithLength, Upload::InChunks}) {
        CAPTURE(Bytes);
        CAPTURE(static_cast<int>(Kind));
        NodeFixture Fixture({{head() + "\r\n" + std::string(Bytes, 'a'),
                              ConnectionEnd::Close, true}});
        Received Got = Fixture.call(makeUpload(Kind), "/pay/1")[0];
        CHECK(isWholeSuccess(Got));
        CHECK(Got.m_Body == std::string(Bytes, 'a'));
      }
  }

  TEST_CASE("a request whose response is broken is retried elsewhere") {
    for (const BrokenResponse &Broken : BrokenResponses) {
      CAPTURE(Broken.m_Name);
      // The sound server is slow and full, so the other one gets requests too.
      NodeFixture Fixture({{Broken.m_Head + "part", Broken.m_End},
                           {head() + "Content-Length: 5\r\n\r\nsound",
                            ConnectionEnd::Close, false, 50ms}});
      for (const Received &Got : Fixture.call({}, "/read/1", 2 * ServerSlots)) {
        CHECK(isWholeSuccess(Got));
        CHECK(Got.m_Body == "sound");
      }
      CHECK(Fixture.m_Counters.text().find("rhubarb_retries_total") !=
            std::string::npos);
    }
  }

  // An answer of the store that is not HTTP must not change its era.
  TEST_CASE("a broken response of the store counts as none") {
    for (const char *Lines :
         {"Store-Era: 7\r\n 8\r\n", "Store-Era : 7\r\n", "Store-E ra: 7\r\n",
          "Store-Era: 7\r\nX-Fi\001eld: 1\r\n"}) {
      CAPTURE(Lines);
      asio::io_context Io{1};
      Metrics Counters;
      tcp::acceptor Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0});
      asio::co_spawn(
          Io,
          acceptRaw(Acceptor, {std::string("HTTP/1.1 200 OK\r\n") + Lines +
                                   "Content-Length: 29\r\n\r\n"
                                   R"({"items":[],"has_more":false})",
                               ConnectionEnd::Close}),
          asio::detached);
      platform::PlatformStore Store(Io, Counters, "127.0.0.1",
                                    addressOf(Acceptor));
      platform::StoreResponse Got;
      asio::co_spawn(
          Io,
          [](platform::PlatformStore &From,
             platform::StoreResponse &Out) -> asio::awaitable<void> {
            Out = co_await From.readRange("op/");
          }(Store, Got),
          [&](const std::exception_ptr &) { Io.stop(); });
      Io.run();
      CHECK(Got.m_Status == platform::StoreStatus::Lost);
      CHECK(Store.era() == 0);
    }
  }
}
