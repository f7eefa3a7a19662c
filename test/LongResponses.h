// Stand-ins that send long responses slowly or never to their end.
#pragma once

#include "test/RawExchange.h"

#include "net/Messages.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <sstream>

namespace rhubarb::test {

// Allowance for a machine that is busy with other tests.
inline constexpr Duration BusyMachine = 300ms;

// How the end of a response is told.
enum class Framing : std::uint8_t { Length, Chunks };

inline std::string makeChunk(const std::string &Bytes) {
  std::ostringstream Size;
  Size << std::hex << Bytes.size();
  return Size.str() + "\r\n" + Bytes + "\r\n";
}

// Returns a response with a JSON document.
inline std::string makeResponse(const std::string &Body,
                                Framing Kind = Framing::Length) {
  constexpr std::size_t ChunkBytes = 10'000;
  std::string Head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                     "Connection: close\r\n";
  if (Kind == Framing::Length)
    return Head + "Content-Length: " + std::to_string(Body.size()) +
           "\r\n\r\n" + Body;
  std::string Text = Head + "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t At = 0; At < Body.size(); At += ChunkBytes)
    Text += makeChunk(Body.substr(At, ChunkBytes));
  return Text + "0\r\n\r\n";
}

// Returns an answer that arrives evenly over a time.
inline RawAnswer makeEvenAnswer(std::string Text, Duration Length) {
  constexpr Duration Interval = 50ms;
  RawAnswer Answer;
  Answer.m_Text = std::move(Text);
  Answer.m_End = ConnectionEnd::Close;
  Answer.m_FragmentInterval = Interval;
  Answer.m_FragmentBytes =
      Answer.m_Text.size() / static_cast<std::size_t>(Length / Interval) + 1;
  return Answer;
}

// How a response that never ends arrives.
enum class Stall : std::uint8_t {
  Nothing,
  HeadOnly,
  HeadLate,
  HalfThenSilent,
  HalfLateThenSilent,
  ByteNowAndThen,
  FewBytesSteadily,
  HalfThenTrickle,
};

struct StallRow {
  const char *m_Name;
  Stall m_Stall;
  bool m_IsSilent; // Noticed as soon as a server that never answers.
};

inline constexpr std::array<StallRow, 8> StallRows{{
    {"never answers", Stall::Nothing, true},
    {"the head, then nothing", Stall::HeadOnly, true},
    {"the head late, then nothing", Stall::HeadLate, true},
    {"stalls in the middle", Stall::HalfThenSilent, false},
    {"begins late, stalls in the middle", Stall::HalfLateThenSilent, false},
    {"a byte now and then", Stall::ByteNowAndThen, false},
    {"a few bytes steadily", Stall::FewBytesSteadily, false},
    {"half of it, then bytewise", Stall::HalfThenTrickle, false},
}};

// Returns an answer that begins like a response and never ends. Late ones begin
// after a pause.
inline RawAnswer makeStalledAnswer(Stall Shape, const std::string &Text,
                                   Duration Late) {
  std::string Head = Text.substr(0, Text.find("\r\n\r\n") + 4);
  RawAnswer Answer{{}, ConnectionEnd::Silent};
  switch (Shape) {
  case Stall::Nothing:
    break;
  case Stall::HeadLate:
    Answer.m_PauseBefore = Late;
    [[fallthrough]];
  case Stall::HeadOnly:
    Answer.m_Text = Head;
    break;
  case Stall::HalfLateThenSilent:
    Answer.m_PauseBefore = Late;
    [[fallthrough]];
  case Stall::HalfThenSilent:
    Answer.m_Text = Text.substr(0, Text.size() / 2);
    break;
  case Stall::ByteNowAndThen:
    Answer.m_Text = Head;
    Answer.m_RepeatedText = " ";
    Answer.m_RepeatPause = 300ms;
    break;
  case Stall::FewBytesSteadily:
    Answer.m_Text = Head;
    Answer.m_RepeatedText = std::string(100, ' ');
    Answer.m_RepeatPause = 20ms;
    break;
  case Stall::HalfThenTrickle:
    Answer.m_Text = Text.substr(0, Text.size() / 2);
    Answer.m_RepeatedText = " ";
    Answer.m_RepeatPause = 20ms;
    break;
  }
  return Answer;
}

// Accepts connections, of which the first gets an answer of its own, and keeps
// the times at which they came.
inline asio::awaitable<void> acceptCalls(tcp::acceptor &Acceptor,
                                         RawAnswer First, RawAnswer Later,
                                         std::vector<Time> &AcceptedAt) {
  for (;;) {
    auto [Error, Accepted] = co_await Acceptor.async_accept(Await);
    if (Error)
      co_return;
    AcceptedAt.push_back(now());
    asio::co_spawn(Acceptor.get_executor(),
                   answerRaw(std::make_shared<tcp::socket>(std::move(Accepted)),
                             AcceptedAt.size() == 1 ? First : Later),
                   asio::detached);
  }
}

// Sends a report from its VM to another again and again, as a live VM does.
inline asio::awaitable<void> announce(asio::io_context &Io, MemberReport Report,
                                      asio::ip::udp::endpoint To) {
  asio::ip::udp::socket Socket(Io, {asio::ip::make_address(Report.m_Vm), 0});
  for (;;) {
    ++Report.m_Sequence;
    Heartbeat Message;
    Message.m_Reports.push_back({Report, Duration{0}});
    std::string Text = encodeHeartbeat(Message);
    co_await Socket.async_send_to(asio::buffer(Text), To, Await);
    co_await sleepFor(100ms);
  }
}

} // namespace rhubarb::test
