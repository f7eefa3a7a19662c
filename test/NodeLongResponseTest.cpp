// Long responses of backend servers on their way through a node: what it holds
// for them is free again, however they end.
#include "test/NodeFixture.h"

using namespace rhubarb;
using namespace rhubarb::test;

namespace {

constexpr const char *BufferedBytesGauge = "rhubarb_buffered_bytes";
constexpr std::size_t ChunkBytes = 1000;
// The node notices within this time that a connection was closed.
constexpr Duration NoticesClose = 300ms;

// How a response says where its body ends.
enum class Framing : std::uint8_t { Length, Chunked, None };

std::string chunk() {
  return "3e8\r\n" + std::string(ChunkBytes, 'b') + "\r\n";
}

// Returns a whole response after which nothing stays counted for its
// connection. In chunks, Bytes is a multiple of ChunkBytes.
std::string response(Framing Kind, std::size_t Bytes) {
  const std::string Head = head() + "Connection: close\r\n";
  switch (Kind) {
  case Framing::Length:
    return Head + "Content-Length: " + std::to_string(Bytes) + "\r\n\r\n" +
           std::string(Bytes, 'b');
  case Framing::None:
    return Head + "\r\n" + std::string(Bytes, 'b');
  case Framing::Chunked:
    break;
  }
  std::string Text = Head + "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t At = 0; At < Bytes; At += ChunkBytes)
    Text += chunk();
  return Text + "0\r\n\r\n";
}

// A response that is broken off before its end.
std::string brokenOff(Framing Kind, std::size_t Bytes) {
  std::string Whole = response(Kind, 2 * Bytes);
  return Whole.substr(0, Whole.size() - Bytes);
}

RawAnswer endless(Framing Kind) {
  RawAnswer Answer{response(Kind, ChunkBytes), ConnectionEnd::Close};
  Answer.m_RepeatedText = std::string(64U << 10U, 'b');
  if (Kind == Framing::Chunked) {
    Answer.m_Text.resize(Answer.m_Text.size() - 5); // Without the last chunk.
    Answer.m_RepeatedText = chunk();
  }
  return Answer;
}

struct LongResponse {
  const char *m_Name;
  RawAnswer m_Answer;
  std::size_t m_WholeBytes;          // 0: the response has no proper end.
  std::size_t m_LeaveAfterBytes = 0; // See ClientEnd.
};

std::vector<LongResponse> longResponses() {
  constexpr std::size_t Leaves = 8U << 20U;
  std::vector<LongResponse> Rows = {
      {"endless", endless(Framing::None), 0, Leaves},
      {"endless, in chunks", endless(Framing::Chunked), 0, Leaves},
  };
  for (std::size_t Bytes : {70'000, 150'000, 1'000'000})
    for (Framing Kind : {Framing::Length, Framing::Chunked, Framing::None}) {
      Rows.push_back(
          {"whole", {response(Kind, Bytes), ConnectionEnd::Close}, Bytes});
      Rows.push_back(
          {"reset", {brokenOff(Kind, Bytes), ConnectionEnd::Reset}, 0});
      Rows.push_back({"its caller leaves",
                      {response(Kind, Bytes), ConnectionEnd::Close},
                      0,
                      1});
      // Without a framing, the end of the connection ends the response.
      if (Kind != Framing::None)
        Rows.push_back(
            {"cut short", {brokenOff(Kind, Bytes), ConnectionEnd::Close}, 0});
    }
  return Rows;
}

} // namespace

TEST_SUITE("node_long_responses") {
  // Guards against a node that ends by itself, or refuses all requests with
  // buffers_full, after long responses (review/6).
  TEST_CASE("a node outlives long responses and serves others beside them") {
    constexpr std::size_t Count = 3; // Of each kind of request.
    for (const LongResponse &Case : longResponses())
      for (int PipelinedRequests : {1, 8}) {
        CAPTURE(std::string(Case.m_Name));
        CAPTURE(Case.m_Answer.m_Text.size());
        CAPTURE(PipelinedRequests);
        const std::string SoundResponse =
            head() + "Connection: close\r\nContent-Length: 5\r\n\r\nsound";
        NodeFixture Fixture({Case.m_Answer, Case.m_Answer}, PipelinedRequests);
        Fixture.addServer({SoundResponse, ConnectionEnd::Close}, "s2");
        double Idle = Fixture.metric(BufferedBytesGauge);
        std::vector<Received> Long(Count);
        std::vector<Received> Others(Count);
        ClientEnd End;
        End.m_LeaveAfterBytes = Case.m_LeaveAfterBytes;
        for (std::size_t I = 0; I < Count; ++I) {
          Fixture.start({}, "/read/1", End, Long[I]);
          Fixture.start({}, "/other/1", ClientEnd{}, Others[I]);
        }
        Fixture.finish();
        for (const Received &Got : Long) {
          CHECK(Got.m_IsWhole == (Case.m_WholeBytes > 0));
          if (Case.m_WholeBytes > 0)
            CHECK(Got.m_Body == std::string(Case.m_WholeBytes, 'b'));
        }
        for (const Received &Got : Others)
          CHECK(Got.m_Body == "sound");
        CHECK(Fixture.call({}, "/other/1")[0].m_Body == "sound");
        Fixture.closeCallers();
        Fixture.runFor(NoticesClose);
        CHECK(Fixture.metric(BufferedBytesGauge) == Idle);
      }
  }

  // Guards against connections, slots and memory that a response without an end
  // holds for ever.
  TEST_CASE("a response without an end is ended at its request's deadline") {
    for (Framing Kind : {Framing::Chunked, Framing::None})
      for (int PipelinedRequests : {1, 8}) {
        CAPTURE(static_cast<int>(Kind));
        CAPTURE(PipelinedRequests);
        RawAnswer Answer = endless(Kind);
        Answer.m_RepeatPause = 1ms;
        NodeFixture Fixture({Answer}, PipelinedRequests);
        Fixture.m_Deadline = "400";
        double Idle = Fixture.metric(BufferedBytesGauge);
        Received Got = Fixture.call({}, "/read/1")[0];
        CHECK(Got.m_Status == 200);
        CHECK_FALSE(Got.m_IsWhole);
        CHECK(Got.m_Took >= 300ms);
        CHECK(Got.m_Took < 1s);
        Fixture.closeCallers();
        Fixture.runFor(NoticesClose);
        CHECK(Fixture.metric(BufferedBytesGauge) == Idle);
      }
  }
}
