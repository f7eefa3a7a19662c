// What a request may still do that a newer configuration has decided again.
#include "test/NodeFixture.h"

using namespace rhubarb;
using namespace rhubarb::test;

namespace {

// The route of the request, as one version of the configuration has it.
struct ReadRoute {
  const char *m_Type = "safe";
  int m_MaxAttempts = 3;
  const char *m_Timeout = "3000ms";
  const char *m_Service = "s1";
};

void applyVersion(node::Node &Target, int Number, const ReadRoute &Of) {
  std::string Text =
      R"({"version":"0000000)" + std::to_string(Number) +
      R"(","services":[{"name":"s1","health_path":"/h","max_connections":300},
{"name":"s2","health_path":"/h","max_connections":300}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
"header_timeout":"3000ms","idle_timeout":"15000ms"},
"virtual_hosts":[{"hostname":"x.example","paths":[
{"name":"read","prefix":"/read/","route_type":")" +
      Of.m_Type + R"(","timeout":")" + Of.m_Timeout +
      R"(","priority":2,"service":")" + Of.m_Service + R"(","max_attempts":)" +
      std::to_string(Of.m_MaxAttempts) + R"(,"allowed_regions":[]}]}]})";
  auto Parsed = platform::parseConfig(Text);
  REQUIRE(Parsed);
  std::uint64_t Revision = Parsed.value().m_Revision;
  Target.applyConfig(std::move(Parsed.value()), {Revision, Text});
}

asio::awaitable<void> runLater(Duration After, std::function<void()> Task) {
  co_await sleepFor(After);
  Task();
}

// Calls a hook when the first request has arrived at a server: the request is
// then under way, whatever the load of the machine.
asio::awaitable<void> runAtFirst(std::shared_ptr<std::size_t> Requests,
                                 std::function<void()> Task) {
  while (*Requests == 0)
    co_await sleepFor(2ms);
  Task();
}

constexpr Duration AnswerTime = 300ms;

// Sends a request to two servers that break off each run or refuse each
// request, and applies After while the first one has it. Returns how many
// requests arrived.
std::size_t arrivals(const RawAnswer &Each, const ReadRoute &After,
                     Received &Got) {
  NodeFixture Base({});
  auto Requests = std::make_shared<std::size_t>(0);
  RawAnswer Answer = Each;
  Answer.m_PauseBefore = AnswerTime;
  Answer.m_Requests = Requests;
  Base.addServer(Answer, "s1");
  Base.addServer(Answer, "s1");
  applyVersion(Base.m_Node, 2, ReadRoute{});
  asio::co_spawn(
      Base.m_Io,
      runAtFirst(Requests, [&] { applyVersion(Base.m_Node, 3, After); }),
      asio::detached);
  Got = Base.call({}, "/read/1").front();
  return *Requests;
}

RawAnswer failedRun() {
  return {head("500") + "Connection: close\r\nContent-Length: 0\r\n\r\n",
          ConnectionEnd::Close};
}

RawAnswer refusal() {
  return {head("503") + "X-Rhubarbstack-Not-Executed: 1\r\n"
                        "Connection: close\r\nContent-Length: 0\r\n\r\n",
          ConnectionEnd::Close};
}

} // namespace

TEST_SUITE("node_redecision") {
  // Without a change both servers are asked: the cases below would pass
  // without a meaning otherwise.
  TEST_CASE("a request is repeated by a configuration that allows it") {
    Received Got;
    CHECK(arrivals(failedRun(), ReadRoute{}, Got) == 2);
    CHECK(Got.m_Status == 500);
    CHECK(arrivals(refusal(), ReadRoute{}, Got) == 2);
    CHECK(Got.m_Status == 503);
  }

  // Guards against a second run of a request whose route became unsafe while
  // it ran for the first time.
  TEST_CASE("what has run is not repeated once its route is unsafe") {
    Received Got;
    ReadRoute Unsafe;
    Unsafe.m_Type = "unsafe";
    CHECK(arrivals(failedRun(), Unsafe, Got) == 1);
    CHECK(Got.m_Status == 500);
  }

  // Guards against more attempts than the configuration in force allows.
  TEST_CASE("attempts made count against the new maximum of the route") {
    Received Got;
    ReadRoute Once;
    Once.m_MaxAttempts = 1;
    CHECK(arrivals(refusal(), Once, Got) == 1);
    CHECK(Got.m_Status == 503);
  }

  // Guards against refusals of requests that have waited for most of their
  // time, when a version changes nothing that keeps them from running.
  TEST_CASE("a queued request outlasts a version with another timeout") {
    constexpr Duration RunTime = 1200ms;
    for (const char *Timeout : {"3000ms", "2900ms"}) {
      CAPTURE(std::string(Timeout));
      NodeFixture Base({});
      auto Requests = std::make_shared<std::size_t>(0);
      RawAnswer Answer{head() + "Connection: close\r\nContent-Length: 1\r\n\r\n"
                                "b",
                       ConnectionEnd::Close};
      Answer.m_PauseBefore = RunTime;
      Answer.m_Requests = Requests;
      Base.addServer(Answer, "s1", "a", 1);
      applyVersion(Base.m_Node, 2, ReadRoute{});
      ReadRoute After;
      After.m_Timeout = Timeout;
      asio::co_spawn(Base.m_Io,
                     runLater(1000ms,
                              [&] {
                                CHECK(*Requests ==
                                      1); // The other request is queued.
                                applyVersion(Base.m_Node, 3, After);
                              }),
                     asio::detached);
      std::vector<Received> Got = Base.call({}, "/read/1", 2);
      CHECK(Got[0].m_Status == 200);
      CHECK(Got[1].m_Status == 200);
    }
  }
}
