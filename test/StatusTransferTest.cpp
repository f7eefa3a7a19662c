// Reports that rhubarbctl fetches from VMs and that take long to arrive, as
// their length grows with the fleet and all VMs send theirs at the same time.
#include "net/FetchJson.h"
#include "test/LongResponses.h"

#include <doctest/doctest.h>

using namespace rhubarb;
using namespace rhubarb::test;

namespace {

constexpr Duration Timeout = 1s;
// A VM that stalls while its report arrives is noticed this much later.
constexpr Duration StallAllowed = 1s;

std::string makeReport(Framing Kind) {
  return makeResponse(R"({"vm":"a")" + std::string(1'200'000, ' ') + "}", Kind);
}

// What a fetch has returned.
struct FetchEnd {
  bool m_IsWhole = false;
  Duration m_Took{0};
};

FetchEnd fetchReport(const RawAnswer &Answer) {
  asio::io_context Io{1};
  Reachability Reach;
  HttpClient Client(Io, Reach, "127.0.0.1");
  tcp::acceptor Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0});
  asio::co_spawn(Io, acceptRaw(Acceptor, Answer), asio::detached);
  FetchEnd End;
  auto Fetch = [&]() -> asio::awaitable<void> {
    Time Began = now();
    Result<Json::Value> Report = co_await fetchJson(
        Client, addressOf(Acceptor), "/v1/status", Began + Timeout);
    End = {Report && Report.value()["vm"] == "a", now() - Began};
    Io.stop();
  };
  spawn(Io, Fetch());
  Io.run_for(std::chrono::seconds(20));
  return End;
}

} // namespace

TEST_SUITE("status_transfer_slow") {
  // Guards against VMs that count as not reached while their report arrives.
  TEST_CASE("a report that arrives slowly is taken whole") {
    for (Framing Kind : {Framing::Length, Framing::Chunks}) {
      CAPTURE(static_cast<int>(Kind));
      CHECK(fetchReport(makeEvenAnswer(makeReport(Kind), 3s)).m_IsWhole);
    }
  }
}

TEST_SUITE("status_transfer") {
  // Guards against a VM that holds up the reports of all others.
  TEST_CASE("a report that does not progress is given up in time") {
    for (const StallRow &Case : StallRows) {
      CAPTURE(Case.m_Name);
      FetchEnd End = fetchReport(
          makeStalledAnswer(Case.m_Stall, makeReport(Framing::Length), 800ms));
      CHECK_FALSE(End.m_IsWhole);
      CHECK(End.m_Took <
            (Case.m_IsSilent ? Timeout : Timeout + StallAllowed) + BusyMachine);
    }
  }
}
