// Calls of the platform's store when it does not answer.
#include "platform/Store.h"

#include "net/Clock.h"
#include "net/Daemon.h"

#include <doctest/doctest.h>

using namespace rhubarb;
using namespace rhubarb::platform;

namespace {

// How a store answers one call.
struct StoreAnswer {
  Duration m_Delay{0};
  Duration m_BodyDelay{0}; // Time from the response's header to its body.
  int m_Status = 200;
  std::uint64_t m_Era = 0; // 0: the response names none.
  bool m_HasMore = false;
  std::size_t m_ValueBytes = 0; // Of the item, in base64; a multiple of four.
};

// A store that answers the calls in the order in which they arrive.
struct ScriptedStore {
  asio::io_context m_Io{1};
  Reachability m_Reach;
  std::vector<StoreAnswer> m_Answers;
  StoreAnswer m_LaterAnswers; // Of the calls after these.
  std::size_t m_Calls = 0;
  HttpServer m_Server{m_Io, m_Reach, HttpServerLimits{},
                      [this](const HttpRequest &) { return answer(); }};
  Metrics m_Counters;

  asio::awaitable<HttpResponse> answer() {
    StoreAnswer Next =
        m_Calls < m_Answers.size() ? m_Answers[m_Calls] : m_LaterAnswers;
    ++m_Calls;
    co_await sleepFor(Next.m_Delay);
    HttpResponse Response = jsonResponse(
        Next.m_Status, R"({"items":[{"key":"k","value":")" +
                           std::string(Next.m_ValueBytes, 'A') +
                           R"(","revision":4}],"has_more":)" +
                           std::string(Next.m_HasMore ? "true" : "false") +
                           R"(,"store_revision":5,"lease":7})");
    if (Next.m_Era > 0)
      Response.m_Headers.push_back({EraHeader, std::to_string(Next.m_Era)});
    if (Next.m_BodyDelay.count() > 0) {
      Response.m_BodyStream = std::make_shared<BodyStream>();
      Response.m_BodyStream->m_ReadNext =
          [Text = std::exchange(Response.m_Body, {}),
           Next]() -> asio::awaitable<BodyFragment> {
        co_await sleepFor(Next.m_BodyDelay);
        BodyFragment Body{Text, true, false, nullptr};
        co_return Body;
      };
    }
    co_return Response;
  }
};

} // namespace

TEST_SUITE("store") {
  // Guards against a store whose answers have no end and exhaust the memory.
  TEST_CASE("a range or a page that never ends is not taken") {
    struct Row {
      const char *m_Name;
      StoreAnswer m_Answers;
      StoreStatus m_Expected;
      std::size_t m_MaxCalls;
    };
    for (const Row &Case : {Row{"one page",
                                {0ms, 0ms, 200, 0, false, 1U << 20U},
                                StoreStatus::Ok,
                                1},
                            Row{"pages without end",
                                {0ms, 0ms, 200, 0, true, 1U << 20U},
                                StoreStatus::TooLong,
                                33},
                            Row{"a page over its limit",
                                {0ms, 0ms, 200, 0, false, 9U << 20U},
                                StoreStatus::TooLong,
                                1}}) {
      CAPTURE(Case.m_Name);
      ScriptedStore Script;
      Script.m_LaterAnswers = Case.m_Answers;
      auto Port = Script.m_Server.start("127.0.0.1", 0);
      REQUIRE(Port);
      PlatformStore Store(Script.m_Io, Script.m_Counters, "127.0.0.1",
                          "127.0.0.1:" + std::to_string(Port.value()));
      StoreStatus Status = StoreStatus::Conflict;
      auto Read = [&]() -> asio::awaitable<void> {
        StoreResponse Response = co_await Store.readRange("op/");
        Status = Response.m_Status;
        Script.m_Io.stop();
      };
      spawn(Script.m_Io, Read());
      Script.m_Io.run_for(std::chrono::seconds(20));
      CHECK(storeStatusName(Status) == storeStatusName(Case.m_Expected));
      CHECK(Script.m_Calls <= Case.m_MaxCalls);
    }
  }

  // A VM that started during an outage of the store waited for the timeout of
  // its reads, although the store already answered other calls.
  TEST_CASE("a read that the store has forgotten is sent again") {
    struct Row {
      const char *m_Name;
      StoreAnswer m_First;
      StoreAnswer m_Second;
      Duration m_SecondAt; // Time from the first call to the second; 0: none.
      std::size_t m_Calls;
      Duration m_FirstEndsBefore;
    };
    constexpr Duration Silent = 5s;
    const Row Rows[] = {
        {"a later call is answered", {Silent}, {}, 600ms, 3, 1000ms},
        {"the first has a response soon", {200ms}, {}, 50ms, 2, 500ms},
        {"its response has begun", {0ms, 900ms}, {}, 600ms, 2, 1400ms},
        {"later calls are refused", {Silent}, {0ms, 0ms, 503}, 600ms, 2, 2s},
        {"no later call", {Silent}, {Silent}, 600ms, 2, 2s},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      ScriptedStore Script;
      Script.m_Answers = {Case.m_First, Case.m_Second};
      auto Port = Script.m_Server.start("127.0.0.1", 0);
      REQUIRE(Port);
      PlatformStore Store(Script.m_Io, Script.m_Counters, "127.0.0.1",
                          "127.0.0.1:" + std::to_string(Port.value()));
      Time StartedAt = now();
      Time FirstEndedAt{0};
      StoreStatus FirstStatus = StoreStatus::Malformed;
      auto ReadFirst = [&]() -> asio::awaitable<void> {
        StoreResponse Response = co_await Store.readRange("op/");
        FirstStatus = Response.m_Status;
        FirstEndedAt = now();
        Script.m_Io.stop();
      };
      auto ReadSecond = [&]() -> asio::awaitable<void> {
        co_await sleepFor(Case.m_SecondAt);
        co_await Store.readRange("vms/");
      };
      spawn(Script.m_Io, ReadFirst());
      spawn(Script.m_Io, ReadSecond());
      Script.m_Io.run_for(std::chrono::seconds(3));
      CHECK(Script.m_Calls == Case.m_Calls);
      CHECK(FirstEndedAt - StartedAt < Case.m_FirstEndsBefore);
      bool Answered = Case.m_First.m_Delay < Silent || Case.m_Calls > 2;
      CHECK(FirstStatus == (Answered ? StoreStatus::Ok : StoreStatus::Lost));
    }
  }

  // After an outage of the store, all reads of a VM that had just started hung
  // until their timeout, and nothing told it that the store was back.
  TEST_CASE("a process that needs the store notices soon that it is back") {
    struct Row {
      const char *m_Name;
      int m_SilentCalls; // The store answers calls after these.
      bool m_Needed;
      Duration m_EndsBefore;
      std::size_t m_MaxCalls;
    };
    constexpr Duration Silent = 5s;
    const Row Rows[] = {
        {"the store answers the first call", 0, true, 200ms, 1},
        {"it is silent for a moment", 1, true, 700ms, 4},
        {"it is silent for longer", 3, true, 1400ms, 7},
        {"it stays silent", 100, true, 2s, 8},
        {"the process needs nothing", 1, false, 2s, 1},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      ScriptedStore Script;
      Script.m_Answers.assign(static_cast<std::size_t>(Case.m_SilentCalls),
                              {Silent});
      auto Port = Script.m_Server.start("127.0.0.1", 0);
      REQUIRE(Port);
      PlatformStore Store(Script.m_Io, Script.m_Counters, "127.0.0.1",
                          "127.0.0.1:" + std::to_string(Port.value()));
      Time StartedAt = now();
      auto Read = [&]() -> asio::awaitable<void> {
        co_await Store.readRange("op/");
        Script.m_Io.stop();
      };
      spawn(Script.m_Io, Read());
      spawn(Script.m_Io, Store.probeWhile([&] { return Case.m_Needed; }));
      Script.m_Io.run_for(std::chrono::seconds(3));
      CHECK(now() - StartedAt < Case.m_EndsBefore);
      CHECK(Script.m_Calls <= Case.m_MaxCalls);
    }
  }

  // A restored store gives out revisions again, so that changes were missed.
  TEST_CASE("responses of two eras are not mixed") {
    constexpr auto Answer = [](std::uint64_t Era, bool More = false) {
      return StoreAnswer{0ms, 0ms, 200, Era, More};
    };
    struct Row {
      const char *m_Name;
      std::vector<StoreAnswer> m_Answers; // The first sets the known era.
      std::function<asio::awaitable<StoreStatus>(PlatformStore &)> m_Call;
      StoreStatus m_Status;
      std::size_t m_Calls;
    };
    auto Watch = [](PlatformStore &Store) -> asio::awaitable<StoreStatus> {
      co_return (co_await Store.watch("op/", {2, 5}, 10ms)).m_Status;
    };
    auto Range = [](PlatformStore &Store) -> asio::awaitable<StoreStatus> {
      StoreResponse Got = co_await Store.readRange("op/");
      CHECK((Got.m_Status != StoreStatus::Ok ||
             Got.m_Page.m_Position.m_Era == Store.era()));
      co_return Got.m_Status;
    };
    auto Renew = [](PlatformStore &Store) -> asio::awaitable<StoreStatus> {
      co_return co_await Store.renewLease({7, 2});
    };
    auto Write = [](PlatformStore &Store) -> asio::awaitable<StoreStatus> {
      co_return co_await Store.writeKey("k", "v", {7, 2});
    };
    const Row Rows[] = {
        {"a watch in the same era",
         {Answer(2), Answer(2)},
         Watch,
         StoreStatus::Ok,
         2},
        {"a watch that ends in the next era",
         {Answer(2), Answer(3)},
         Watch,
         StoreStatus::HistoryGone,
         2},
        {"a watch after two restores",
         {Answer(2), Answer(4)},
         Watch,
         StoreStatus::HistoryGone,
         2},
        {"a late response of the era before",
         {Answer(3), Answer(2)},
         Range,
         StoreStatus::OldEra,
         2},
        {"a response that names no era",
         {Answer(2), Answer(0)},
         Watch,
         StoreStatus::Ok,
         2},
        {"a refusal that names no era",
         {Answer(2), StoreAnswer{0ms, 0ms, 503, 0}},
         Watch,
         StoreStatus::Refused,
         2},
        {"a store without eras",
         {Answer(0), Answer(0)},
         Range,
         StoreStatus::Ok,
         2},
        {"pages of two eras are read again",
         {Answer(2), Answer(2, true), Answer(3), Answer(3)},
         Range,
         StoreStatus::Ok,
         4},
        {"a lease of the same era",
         {Answer(2), Answer(2)},
         Renew,
         StoreStatus::Ok,
         2},
        {"a lease of the era before is not renewed",
         {Answer(3)},
         Renew,
         StoreStatus::NotFound,
         1},
        {"a renewal that ends in the next era",
         {Answer(2), Answer(3)},
         Renew,
         StoreStatus::NotFound,
         2},
        {"a write with a lease of the era before",
         {Answer(2), Answer(3)},
         Write,
         StoreStatus::NotFound,
         2},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      ScriptedStore Script;
      Script.m_Answers = Case.m_Answers;
      auto Port = Script.m_Server.start("127.0.0.1", 0);
      REQUIRE(Port);
      PlatformStore Store(Script.m_Io, Script.m_Counters, "127.0.0.1",
                          "127.0.0.1:" + std::to_string(Port.value()));
      StoreStatus Status = StoreStatus::Lost;
      auto Run = [&]() -> asio::awaitable<void> {
        co_await Store.readRange("other/");
        Status = co_await Case.m_Call(Store);
        Script.m_Io.stop();
      };
      spawn(Script.m_Io, Run());
      Script.m_Io.run_for(std::chrono::seconds(3));
      CHECK(storeStatusName(Status) == storeStatusName(Case.m_Status));
      CHECK(Script.m_Calls == Case.m_Calls);
    }
  }
}
