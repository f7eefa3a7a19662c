// Answers of the platform's store that take long to arrive. A limit on the time
// of the whole answer gave up transfers whose bytes were still arriving, and
// the next call started them anew.
#include "platform/Store.h"
#include "test/LogPipe.h"
#include "test/LongResponses.h"

#include <doctest/doctest.h>

using namespace rhubarb;
using namespace rhubarb::test;
using namespace rhubarb::platform;

namespace {

// Wait time of the watches.
constexpr Duration Wait = 800ms;
// A silent store is noticed this long after the wait time of a watch.
constexpr Duration SilentWatch = Wait + 500ms;
// A silent store is noticed this long after a read was sent.
constexpr Duration SilentRead = 1500ms;
// A configuration must be in force this long after the operator changed it.
constexpr Duration ConfigApply = 4s;
// A link of 10 Mbit/s needs a second for a configuration of 1.2 MB. After a
// call that was given up the pause and a whole transfer must still fit into
// ConfigApply.
constexpr Duration GivenUpInMiddle = ConfigApply - 1s - 200ms;
// Limit on the length of an answer.
constexpr std::size_t AnswerLimit = 8U << 20U;

// A call that gets one item.
enum class StoreCall : std::uint8_t { Watch, Range };
constexpr std::string_view CallNames[] = {"watch", "range"};

// Returns an answer with one item whose value has ValueBytes in base64.
std::string makeAnswer(StoreCall Call, std::size_t ValueBytes,
                       Framing Kind = Framing::Length) {
  std::string List = Call == StoreCall::Watch ? "events" : "items";
  return makeResponse("{\"" + List + R"(":[{"key":"op/config","value":")" +
                          std::string(ValueBytes, 'A') +
                          R"(","revision":4}],"store_revision":5})",
                      Kind);
}

// What a call has returned.
struct CallEnd {
  StoreStatus m_Status = StoreStatus::Conflict;
  std::size_t m_ValueBytes = 0; // Of the item.
  Duration m_Took{0};
  std::vector<Time> m_AcceptedAt; // Of the connections to the store.
};

// Makes a call to a store that gives one answer to it and another to the calls
// after it, of which one is made OtherAfter the first. 0: no other call.
CallEnd callStore(StoreCall Call, const RawAnswer &First,
                  Duration OtherAfter = 0ms,
                  std::size_t MaxWatchBytes = MaxAnswerBytes) {
  asio::io_context Io{1};
  Metrics Counters;
  tcp::acceptor Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0});
  CallEnd End;
  RawAnswer Later{makeAnswer(StoreCall::Range, 4), ConnectionEnd::Close};
  asio::co_spawn(Io, acceptCalls(Acceptor, First, Later, End.m_AcceptedAt),
                 asio::detached);
  PlatformStore Store(Io, Counters, "127.0.0.1", addressOf(Acceptor));
  auto Run = [&]() -> asio::awaitable<void> {
    Time Began = now();
    StoreResponse Got;
    if (Call == StoreCall::Watch)
      Got = co_await Store.watch("op/", {0, 3}, Wait, MaxWatchBytes);
    else
      Got = co_await Store.readRange("op/");
    End.m_Status = Got.m_Status;
    End.m_Took = now() - Began;
    for (const StoreItem &Item : Got.m_Page.m_Items)
      End.m_ValueBytes += Item.m_Value.size();
    Io.stop();
  };
  auto RunOther = [&]() -> asio::awaitable<void> {
    co_await sleepFor(OtherAfter);
    StoreResponse Other = co_await Store.readRange("vms/");
    CHECK(Other.m_Status == StoreStatus::Ok);
  };
  spawn(Io, Run());
  if (OtherAfter.count() > 0)
    spawn(Io, RunOther());
  Io.run_for(std::chrono::seconds(20));
  return End;
}

// Returns the number that follows a text.
std::size_t numberAfter(const std::string &Text, const std::string &Before) {
  std::size_t At = Text.find(Before);
  REQUIRE(At != std::string::npos);
  return std::stoul(Text.substr(At + Before.size()));
}

} // namespace

TEST_SUITE("store_transfer_slow") {
  // Guards against calls that give up an answer while it arrives: its bytes are
  // lost, and a VM with a narrow link never gets the configuration.
  TEST_CASE("an answer that arrives slowly is taken whole") {
    struct Row {
      const char *m_Name;
      Duration m_PauseBefore;
      Duration m_Length; // Time from the first byte to the last.
      std::size_t m_ValueBytes;
      Framing m_Framing;
      Duration m_PauseInMiddle;
      Duration m_OtherAfter; // Time until another call is answered. 0: none.
    };
    constexpr std::size_t Large = 1'200'000;
    const Row Rows[] = {
        {"evenly", 0ms, 3s, Large, Framing::Length, 0ms, 0ms},
        {"in chunks", 0ms, 3s, Large, Framing::Chunks, 0ms, 0ms},
        {"after a wait", 700ms, 2500ms, Large, Framing::Length, 0ms, 0ms},
        {"at a tenth of the link", 0ms, 3s, 360'000, Framing::Length, 0ms, 0ms},
        {"a small one", 0ms, 3s, 180'000, Framing::Length, 0ms, 0ms},
        {"with a pause of two retransmissions", 0ms, 2s, Large, Framing::Length,
         600ms, 0ms},
        {"beside a call that is answered", 0ms, 3s, Large, Framing::Length, 0ms,
         600ms},
    };
    for (const Row &Case : Rows)
      for (StoreCall Call : {StoreCall::Watch, StoreCall::Range}) {
        CAPTURE(Case.m_Name);
        CAPTURE(CallNames[static_cast<std::size_t>(Call)]);
        RawAnswer Answer = makeEvenAnswer(
            makeAnswer(Call, Case.m_ValueBytes, Case.m_Framing), Case.m_Length);
        Answer.m_PauseBefore = Case.m_PauseBefore;
        Answer.m_PauseInMiddle = Case.m_PauseInMiddle;
        CallEnd End = callStore(Call, Answer, Case.m_OtherAfter);
        CHECK(storeStatusName(End.m_Status) == "ok");
        CHECK(End.m_ValueBytes == Case.m_ValueBytes / 4 * 3);
        CHECK(End.m_Took < ConfigApply);
        CHECK(End.m_AcceptedAt.size() ==
              (Case.m_OtherAfter.count() > 0 ? 2 : 1));
      }
  }
}

TEST_SUITE("store_transfer") {
  // Guards against answers that hold a call although nothing comes of them.
  TEST_CASE("a call whose answer does not progress is given up in time") {
    for (const StallRow &Case : StallRows)
      for (StoreCall Call : {StoreCall::Watch, StoreCall::Range}) {
        CAPTURE(Case.m_Name);
        CAPTURE(CallNames[static_cast<std::size_t>(Call)]);
        RawAnswer Answer =
            makeStalledAnswer(Case.m_Stall, makeAnswer(Call, 1'200'000), Wait);
        CallEnd End = callStore(Call, Answer);
        CHECK(storeStatusName(End.m_Status) == "lost");
        Duration Silent = Call == StoreCall::Watch ? SilentWatch : SilentRead;
        CHECK(End.m_Took <
              (Case.m_IsSilent ? Silent : GivenUpInMiddle) + BusyMachine);
      }
  }

  // Guards against a log that does not tell a silent store from an answer that
  // was given up while it arrived.
  TEST_CASE("the log says how much of a lost answer had arrived") {
    struct Row {
      const char *m_Name;
      std::size_t m_TextBytes; // That the store sends.
    };
    const std::string Text = makeAnswer(StoreCall::Watch, 300'000);
    const Row Rows[] = {
        {"nothing", 0},
        {"a part of the head", 20},
        {"the head", Text.find("\r\n\r\n") + 4},
        {"a part of the body", Text.size() / 2},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      Pipe Output;
      startLog(settingsFor(Output, 100));
      Output.drain(); // Lines of earlier tests in this process.
      RawAnswer Answer{Text.substr(0, Case.m_TextBytes), ConnectionEnd::Silent};
      CallEnd End = callStore(StoreCall::Watch, Answer);
      std::string Lines = Output.drain();
      CAPTURE(Lines);
      CHECK(storeStatusName(End.m_Status) == "lost");
      CHECK(Lines.find("event=store_lost call=watch") != std::string::npos);
      CHECK(numberAfter(Lines, " received_bytes=") == Case.m_TextBytes);
      Duration Logged = std::chrono::milliseconds(numberAfter(Lines, " ms="));
      CHECK(Logged >= Wait);
      CHECK(Logged <= End.m_Took);
    }
  }

  // Guards against watches that bring long versions which are replaced already,
  // so that a VM with a narrow link falls further behind with each.
  TEST_CASE("a watch that is longer than its caller takes ends at once") {
    struct Row {
      const char *m_Name;
      std::size_t m_ValueBytes;
      std::size_t m_MaxBytes;
      Framing m_Framing;
      const char *m_Status;
      Duration m_EndsBefore;
    };
    constexpr Duration Length = 3s; // Of the whole answer.
    const Row Rows[] = {
        {"shorter", 600'000, 900'000, Framing::Length, "ok", ConfigApply},
        {"shorter, in chunks", 600'000, 900'000, Framing::Chunks, "ok",
         ConfigApply},
        {"longer", 1'200'000, 900'000, Framing::Length, "too_long", 500ms},
        {"longer, in chunks", 1'200'000, 300'000, Framing::Chunks, "too_long",
         1500ms},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      RawAnswer Answer = makeEvenAnswer(
          makeAnswer(StoreCall::Watch, Case.m_ValueBytes, Case.m_Framing),
          Length);
      CallEnd End = callStore(StoreCall::Watch, Answer, 0ms, Case.m_MaxBytes);
      CHECK(storeStatusName(End.m_Status) == Case.m_Status);
      CHECK(End.m_Took < Case.m_EndsBefore);
    }
  }

  // Guards against an answer without end that is read for ever because its
  // bytes never cease.
  TEST_CASE("an answer without end is given up by its length") {
    struct Row {
      const char *m_Name;
      std::size_t m_FragmentBytes;
      Duration m_Pause;
      Duration m_EndsBefore;
    };
    // 8 MB take no time without a pause, and 2.1 s at 4 MB/s.
    const Row Rows[] = {
        {"without a pause", 60'000, 0ms, 3s},
        {"80 KB each 20 ms", 80'000, 20ms, 4s},
    };
    for (const Row &Case : Rows)
      for (Framing Kind : {Framing::Length, Framing::Chunks})
        for (StoreCall Call : {StoreCall::Watch, StoreCall::Range}) {
          CAPTURE(Case.m_Name);
          CAPTURE(static_cast<int>(Kind));
          CAPTURE(CallNames[static_cast<std::size_t>(Call)]);
          RawAnswer Answer;
          Answer.m_End = ConnectionEnd::Close;
          Answer.m_Text = "HTTP/1.1 200 OK\r\nContent-Length: " +
                          std::to_string(AnswerLimit) + "\r\n\r\n";
          Answer.m_RepeatedText = std::string(Case.m_FragmentBytes, ' ');
          if (Kind == Framing::Chunks) {
            Answer.m_Text =
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            Answer.m_RepeatedText = makeChunk(Answer.m_RepeatedText);
          }
          Answer.m_RepeatPause = Case.m_Pause;
          CallEnd End = callStore(Call, Answer);
          bool IsTaken = End.m_Status == StoreStatus::Ok;
          CHECK_FALSE(IsTaken);
          if (Kind == Framing::Chunks)
            CHECK(storeStatusName(End.m_Status) == "too_long");
          CHECK(End.m_Took < Case.m_EndsBefore);
        }
  }
}
