// A whole node between stand-ins for its callers and its backend servers.
#pragma once

#include "test/RawExchange.h"

#include "platform/Wire.h"
#include "tools/rhubarb-node/Node.h"

#include <doctest/doctest.h>

#include <unistd.h>

namespace rhubarb::test {

inline constexpr const char *Config = R"({"version":"00000001",
"services":[{"name":"s1","health_path":"/h","max_connections":300},
{"name":"s2","health_path":"/h","max_connections":300}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
"header_timeout":"3000ms","idle_timeout":"15000ms"},
"virtual_hosts":[{"hostname":"x.example","paths":[
{"name":"read","prefix":"/read/","route_type":"safe","timeout":"3000ms",
"priority":1,"service":"s1","max_attempts":2,"session_affinity":false,
"allowed_regions":[]},
{"name":"other","prefix":"/other/","route_type":"safe","timeout":"3000ms",
"priority":1,"service":"s2","max_attempts":2,"session_affinity":false,
"allowed_regions":[]},
{"name":"pay","prefix":"/pay/","route_type":"unsafe","timeout":"3000ms",
"priority":0,"service":"s1","max_attempts":2,"session_affinity":false,
"allowed_regions":[]}]}]})";

inline constexpr std::uint16_t CallerPort = 8161;
inline constexpr std::uint16_t PeerPort = 7720;
inline constexpr std::uint16_t MetricsPort = 9164;
inline constexpr std::uint16_t DetourPort = 7721;
inline constexpr std::uint16_t LookupPort = 8162;
inline constexpr std::uint16_t ReadyPort = 8163;
inline constexpr std::size_t ServerSlots = 2;

// Several test runs may share the machine.
inline std::string nodeIp() {
  int Pid = ::getpid();
  return "127.77." + std::to_string(Pid / 250 % 250) + "." +
         std::to_string(Pid % 250 + 1);
}

inline node::NodeSettings nodeSettings(int PipelinedRequests) {
  node::NodeSettings Settings;
  Settings.m_Name = "node";
  Settings.m_Ip = nodeIp();
  Settings.m_Domain = "a-1";
  Settings.m_Region = "a";
  Settings.m_RegionOf = {{"a-1", "a"}, {"b-1", "b"}};
  Settings.m_CallerPort = CallerPort;
  Settings.m_PeerPort = PeerPort;
  Settings.m_MetricsPort = MetricsPort;
  Settings.m_DetourPort = DetourPort;
  Settings.m_LookupPort = LookupPort;
  Settings.m_ReadyPort = ReadyPort;
  Settings.m_RetrySlack = 60;
  Settings.m_MaxPipelinedRequests = PipelinedRequests;
  return Settings;
}

inline std::string callerAddress() {
  return nodeIp() + ":" + std::to_string(CallerPort);
}

// Limits of callers, who read long responses as they come.
inline HttpClientLimits callerLimits() {
  HttpClientLimits Limits = makeLimits(ClientEnd{});
  Limits.m_AcceptCloseDelimited = false;
  Limits.m_MaxBodyBytes = 64U << 20U;
  return Limits;
}

// Returns a server in the failure domain "REGION-1".
inline BackendInfo serverInfo(const std::string &Id, const std::string &Address,
                              const char *Service, const std::string &Region,
                              std::size_t Slots = ServerSlots) {
  BackendInfo Info;
  Info.m_Id = Id;
  Info.m_Address = Address;
  Info.m_PoolName = Service;
  Info.m_Domain = Region + "-1";
  Info.m_Region = Region;
  Info.m_Slots = static_cast<int>(Slots);
  return Info;
}

// Adds a server to a node's list, as a read of the control plane does.
inline void listServer(node::Node &Target, const BackendInfo &Info) {
  Target.serverList().put(Info, {1, 1}, now());
  Target.confirmListComplete({1, 1}, now());
  Target.recordListRead(node::ListReadResult::Current);
}

// A node, its backend servers and a caller.
struct NodeFixture {
  asio::io_context m_Io{1};
  Reachability m_Reach;
  Metrics m_Counters;
  node::Node m_Node;
  HttpClient m_Caller{m_Io, m_Reach, "127.0.0.1", callerLimits()};
  std::deque<tcp::acceptor> m_Acceptors;
  std::string m_Deadline = "3000"; // Of each request, in milliseconds.
  std::string m_ApiKey;            // Of each request; empty: none.

  explicit NodeFixture(const std::vector<RawAnswer> &Servers,
                       int PipelinedRequests = 1,
                       std::size_t Slots = ServerSlots)
      : m_Node(m_Io, m_Counters, nodeSettings(PipelinedRequests),
               platform::headerNames()) {
    REQUIRE(m_Node.start());
    auto Parsed = platform::parseConfig(Config);
    REQUIRE(Parsed);
    m_Node.applyConfig(std::move(Parsed.value()), {1, Config});
    for (const RawAnswer &Answer : Servers)
      addServer(Answer, "s1", "a", Slots);
  }

  void addServer(const RawAnswer &Answer, const char *Service,
                 const std::string &Region = "a",
                 std::size_t Slots = ServerSlots) {
    tcp::acceptor &Acceptor = m_Acceptors.emplace_back(
        m_Io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    asio::co_spawn(m_Io, acceptRaw(Acceptor, Answer), asio::detached);
    listServer(m_Node, serverInfo("i-" + std::to_string(m_Acceptors.size()),
                                  addressOf(Acceptor), Service, Region, Slots));
  }

  void closeCallers() { m_Caller.closeIdleConnections(callerAddress()); }

  // Sends a request, and adds what is received to Out at its end.
  void start(HttpRequest Request, const char *Target, const ClientEnd &End,
             Received &Out) {
    Request.m_Target = Target;
    Request.m_Headers = {{"Host", "x.example"},
                         {"X-Rhubarbstack-Request-Id", "r1"},
                         {"X-Rhubarbstack-Request-Deadline", m_Deadline}};
    if (!m_ApiKey.empty())
      Request.m_Headers.push_back({"Authorization", "Bearer " + m_ApiKey});
    ++m_Running;
    asio::co_spawn(
        m_Io, exchange(m_Caller, callerAddress(), std::move(Request), End, Out),
        [this](const std::exception_ptr &) {
          if (--m_Running == 0)
            m_Io.stop();
        });
  }

  // Runs until all requests that were started have ended.
  void finish() {
    m_Io.restart();
    m_Io.run();
  }

  // Sends the same request several times at once.
  std::vector<Received> call(const HttpRequest &Request, const char *Target,
                             std::size_t Count = 1) {
    std::vector<Received> Out(Count);
    for (Received &One : Out)
      start(Request, Target, ClientEnd{}, One);
    finish();
    return Out;
  }

  void runFor(Duration Length) {
    asio::co_spawn(m_Io, sleepFor(Length),
                   [this](const std::exception_ptr &) { m_Io.stop(); });
    finish();
  }

  // Returns a gauge or counter without labels as the metrics port shows it.
  double metric(const std::string &Name) {
    HttpClient Reader(m_Io, m_Reach, "127.0.0.1");
    HttpRequest Request;
    Request.m_Target = "/metrics";
    Received Page;
    asio::co_spawn(m_Io,
                   exchange(Reader,
                            nodeIp() + ":" + std::to_string(MetricsPort),
                            Request, ClientEnd{}, Page),
                   [this](const std::exception_ptr &) { m_Io.stop(); });
    finish();
    std::string Line = "\n" + Name + " ";
    std::size_t At = Page.m_Body.find(Line);
    REQUIRE(At != std::string::npos);
    return std::stod(Page.m_Body.substr(At + Line.size()));
  }

private:
  std::size_t m_Running = 0;
};

// Returns the first lines of a response to the request that call() sends.
inline std::string head(const std::string &Status = "200") {
  return "HTTP/1.1 " + Status +
         " Any\r\nX-Rhubarbstack-Request-Id: r1\r\n"
         "X-Rhubarbstack-Server-Stamp: stamp\r\n";
}

} // namespace rhubarb::test
