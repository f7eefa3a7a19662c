// Answers of a Consul store that take long to arrive, as their length grows
// with the configuration and the fleet.
#include "net/Store.h"
#include "test/LongResponses.h"

#include <doctest/doctest.h>

using namespace rhubarb;
using namespace rhubarb::test;

namespace {

constexpr Duration Timeout = 1s;
constexpr Duration Wait = 800ms; // Of watches.
// A call that has begun to get its answer ends this long after its timeout if
// nothing more of it arrives.
constexpr Duration StallAllowed = 1s;

// A call whose answer can be long.
enum class ConsulCall : std::uint8_t { Get, Watch, Vms, Servers };
constexpr std::string_view CallNames[] = {"get", "watch", "vms", "servers"};
constexpr std::array<ConsulCall, 4> Calls{ConsulCall::Get, ConsulCall::Watch,
                                          ConsulCall::Vms, ConsulCall::Servers};

// Returns an answer with one item and white space up to its length.
std::string makeAnswer(ConsulCall Call, std::size_t Bytes,
                       Framing Kind = Framing::Length) {
  bool IsValue = Call == ConsulCall::Get || Call == ConsulCall::Watch;
  std::string Body =
      IsValue ? R"([{"Key":"k","Value":"eA==","ModifyIndex":4}])"
              : R"([{"Address":"127.0.0.1","ServicePort":1,"ServiceMeta":{}}])";
  Body.insert(1, std::max(Bytes, Body.size()) - Body.size(), ' ');
  return makeResponse(Body, Kind);
}

// A call to a store that answers it slowly.
struct SlowCall {
  const char *m_Name;
  ConsulCall m_Call;
  RawAnswer m_Answer;
  bool m_IsSilent = false; // Noticed as soon as a store that never answers.
  bool m_IsWhole = false;  // The item has arrived.
  Duration m_Took{0};
  std::vector<Time> m_AcceptedAt = {};
};

asio::awaitable<void> makeCall(asio::io_context &Io, SlowCall &Case,
                               std::size_t &Pending) {
  Reachability Reach;
  HttpClient Client(Io, Reach, "127.0.0.1");
  tcp::acceptor Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0});
  RawAnswer Short{makeAnswer(Case.m_Call, 0), ConnectionEnd::Close};
  bool IsSecond = Case.m_Call == ConsulCall::Servers;
  asio::co_spawn(Io,
                 acceptCalls(Acceptor, IsSecond ? Short : Case.m_Answer,
                             IsSecond ? Case.m_Answer : Short,
                             Case.m_AcceptedAt),
                 asio::detached);
  Store Consul = makeConsulStore(Client, {addressOf(Acceptor)}, Timeout);
  Time Began = now();
  if (Case.m_Call == ConsulCall::Vms || Case.m_Call == ConsulCall::Servers) {
    auto Listed = co_await Consul.m_ListDirectory("a", 0, Duration{0});
    Case.m_IsWhole = Listed && Listed.value().m_Vms.size() == 1 &&
                     Listed.value().m_Servers.size() == 1;
  } else {
    bool IsWatch = Case.m_Call == ConsulCall::Watch;
    auto Value = co_await Consul.m_Get("k", IsWatch ? 3 : 0,
                                       IsWatch ? Wait : Duration{0});
    Case.m_IsWhole = Value && Value.value().m_Value == "x";
  }
  Case.m_Took = now() - Began;
  if (--Pending == 0)
    Io.stop();
}

// Makes the calls at the same time.
void makeCalls(std::vector<SlowCall> &Cases) {
  asio::io_context Io{1};
  std::size_t Pending = Cases.size();
  for (SlowCall &Case : Cases)
    spawn(Io, makeCall(Io, Case, Pending));
  Io.run_for(std::chrono::seconds(20));
  CHECK(Pending == 0);
}

} // namespace

TEST_SUITE("consul_transfer_slow") {
  // Guards against calls that give up an answer while it arrives: its bytes are
  // lost, and the next call fails alike.
  TEST_CASE("an answer that arrives slowly is taken whole") {
    struct Row {
      const char *m_Name;
      Duration m_PauseBefore;
      Duration m_Length; // Time from the first byte to the last.
      std::size_t m_Bytes;
      Framing m_Framing;
    };
    const Row Rows[] = {
        {"evenly", 0ms, 3s, 1'200'000, Framing::Length},
        {"in chunks", 0ms, 3s, 1'200'000, Framing::Chunks},
        {"after a wait", 700ms, 2500ms, 1'200'000, Framing::Length},
        {"a small one", 0ms, 3s, 180'000, Framing::Length},
    };
    std::vector<SlowCall> Cases;
    for (const Row &Case : Rows)
      for (ConsulCall Call : Calls) {
        RawAnswer Answer = makeEvenAnswer(
            makeAnswer(Call, Case.m_Bytes, Case.m_Framing), Case.m_Length);
        Answer.m_PauseBefore = Case.m_PauseBefore;
        Cases.push_back({Case.m_Name, Call, Answer});
      }
    makeCalls(Cases);
    for (const SlowCall &Case : Cases) {
      CAPTURE(Case.m_Name);
      CAPTURE(CallNames[static_cast<std::size_t>(Case.m_Call)]);
      CHECK(Case.m_IsWhole);
    }
  }
}

TEST_SUITE("consul_transfer") {
  // Guards against answers that hold a call although nothing comes of them.
  TEST_CASE("a call whose answer does not progress is given up in time") {
    std::vector<SlowCall> Cases;
    for (const StallRow &Row : StallRows)
      for (ConsulCall Call : Calls)
        Cases.push_back(
            {Row.m_Name, Call,
             makeStalledAnswer(Row.m_Stall, makeAnswer(Call, 1'200'000), Wait),
             Row.m_IsSilent});
    makeCalls(Cases);
    for (const SlowCall &Case : Cases) {
      CAPTURE(Case.m_Name);
      CAPTURE(CallNames[static_cast<std::size_t>(Case.m_Call)]);
      CHECK_FALSE(Case.m_IsWhole);
      Duration Silent = Timeout;
      if (Case.m_Call == ConsulCall::Watch)
        Silent += Wait;
      CHECK(Case.m_Took <
            (Case.m_IsSilent ? Silent : Silent + StallAllowed) + BusyMachine);
    }
  }
}
