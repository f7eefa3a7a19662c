// Documents that an agent fetches from a neighbour and that take long to
// arrive, as their length grows with the configuration and the fleet.
#include "test/LongResponses.h"
#include "tools/rhubarb-steer/Agent.h"

#include <doctest/doctest.h>

#include <unistd.h>

using namespace rhubarb;
using namespace rhubarb::test;

namespace {

constexpr std::uint16_t Port = 7730;
constexpr std::size_t DocumentBytes = 1'200'000;
constexpr std::uint64_t Revision = 2;
constexpr std::uint64_t DirectoryIndex = 5;
// A configuration must be in force this long after the operator changed it.
constexpr Duration ConfigApply = 4s;
// A silent neighbour is noticed this long after a fetch began.
constexpr Duration FetchTimeout = 2s;
// One that stalls while a document arrives is noticed this much later.
constexpr Duration StallAllowed = 1s;
constexpr Duration HeartbeatInterval = 100ms;

// What an agent fetches from a neighbour. It needs the directory first.
enum class Document : std::uint8_t { Directory, Config };

// Several test runs may share the machine.
std::string ipIn(const std::string &Network) {
  int Pid = ::getpid();
  return Network + std::to_string(Pid / 250 % 250) + "." +
         std::to_string(Pid % 250 + 1);
}
std::string agentIp() { return ipIn("127.79."); }
std::string neighbourIp() { return ipIn("127.80."); }

Settings settings() {
  SettingTable Table = steer::agentSettings();
  for (const char *Key : {"ip", "domain", "region"})
    Table.push_back({"vm", Key, SettingKind::Text, nullptr, 0, 0, "", ""});
  Result<Settings> Loaded =
      Settings::load(Table, "",
                     {"vm.ip=" + agentIp(), "vm.domain=a-1", "vm.region=a",
                      "platform.address=" + agentIp() + ":1",
                      "steer.port=" + std::to_string(Port),
                      "steer.peer_prefixes=" + neighbourIp()});
  REQUIRE(Loaded);
  return Loaded.value();
}

// Returns a response with a document and white space up to a length.
std::string makeDocument(Document Kind, std::size_t Bytes,
                         Framing Framed = Framing::Length) {
  Json::Value Result;
  if (Kind == Document::Directory) {
    Directory Listed;
    Listed.m_Index = DirectoryIndex;
    Listed.m_Vms = {{neighbourIp(), "a-1", false}};
    Result = toJson(Listed);
  } else {
    Result["revision"] = static_cast<Json::UInt64>(Revision);
    Result["sections"] =
        toJson(ConfigSections{{"domain a-1", {{"region", "a"}}}});
  }
  std::string Body =
      R"({"jsonrpc":"2.0","id":1,"result":)" + compactJson(Result) + "}";
  Body.insert(1, std::max(Bytes, Body.size()) - Body.size(), ' ');
  return makeResponse(Body, Framed);
}

// An agent without a platform, and a neighbour that announces newer documents.
struct AgentFixture {
  // The answer is the one to the fetch of the given document.
  AgentFixture(Document Kind, const RawAnswer &Answer) {
    RawAnswer Listed{makeDocument(Document::Directory, 0),
                     ConnectionEnd::Close};
    bool IsFirst = Kind == Document::Directory;
    asio::co_spawn(m_Process.m_Io,
                   acceptCalls(m_Acceptor, IsFirst ? Answer : Listed, Answer,
                               m_AcceptedAt),
                   asio::detached);
    REQUIRE(m_Agent.start());
    MemberReport Report;
    Report.m_Vm = neighbourIp();
    Report.m_Domain = "a-1";
    Report.m_StartTime = 1;
    Report.m_Revision = IsFirst ? 0 : Revision;
    Report.m_DirectoryIndex = DirectoryIndex;
    asio::co_spawn(m_Process.m_Io,
                   announce(m_Process.m_Io, Report,
                            {asio::ip::make_address(agentIp()), Port}),
                   asio::detached);
  }
  bool has(Document Kind) const {
    Json::Value Status = m_Agent.status();
    return Kind == Document::Directory
               ? Status["directory_index"].asUInt64() == DirectoryIndex
               : Status["revision"].asUInt64() == Revision;
  }
  // Runs until the condition holds, and returns whether it does in time.
  template <typename Condition> bool runUntil(Condition Holds, Duration Limit) {
    for (Time End = now() + Limit; !Holds() && now() < End;)
      m_Process.m_Io.run_for(std::chrono::milliseconds(20));
    return Holds();
  }

  Daemon m_Process{settings()};
  tcp::acceptor m_Acceptor{m_Process.m_Io,
                           {asio::ip::make_address(neighbourIp()), Port}};
  std::vector<Time> m_AcceptedAt; // Of the agent's fetches.
  steer::Agent m_Agent{m_Process};
};

} // namespace

TEST_SUITE("agent_transfer_slow") {
  // Guards against fetches that are given up while the document arrives: its
  // bytes are lost, and the next fetch fails alike.
  TEST_CASE("a document that arrives slowly is taken whole") {
    for (Document Kind : {Document::Directory, Document::Config})
      for (Framing Framed : {Framing::Length, Framing::Chunks}) {
        CAPTURE(static_cast<int>(Kind));
        CAPTURE(static_cast<int>(Framed));
        AgentFixture Fixture(
            Kind,
            makeEvenAnswer(makeDocument(Kind, DocumentBytes, Framed), 3s));
        CHECK(Fixture.runUntil([&] { return Fixture.has(Kind); }, ConfigApply));
      }
  }
}

TEST_SUITE("agent_transfer") {
  // Guards against documents that hold up the next fetch although nothing comes
  // of them.
  TEST_CASE("a document that does not progress is given up in time") {
    for (const StallRow &Case : StallRows)
      for (Document Kind : {Document::Directory, Document::Config}) {
        CAPTURE(Case.m_Name);
        CAPTURE(static_cast<int>(Kind));
        AgentFixture Fixture(
            Kind, makeStalledAnswer(Case.m_Stall,
                                    makeDocument(Kind, DocumentBytes), 800ms));
        std::vector<Time> &Fetches = Fixture.m_AcceptedAt;
        std::size_t First = Kind == Document::Directory ? 0 : 1;
        REQUIRE(Fixture.runUntil([&] { return Fetches.size() > First + 1; },
                                 ConfigApply + StallAllowed));
        CHECK_FALSE(Fixture.has(Kind));
        CHECK(Fetches[First + 1] - Fetches[First] <
              (Case.m_IsSilent ? FetchTimeout : FetchTimeout + StallAllowed) +
                  HeartbeatInterval + BusyMachine);
      }
  }
}
