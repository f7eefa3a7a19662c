// Heads that are not HTTP. A server in trouble sends them, and no caller must
// get them as an answer, with a line changed or with another body.
#include "test/RawExchange.h"

#include <doctest/doctest.h>

using namespace rhubarb;
using namespace rhubarb::test;

namespace {

constexpr const char *Sound = "HTTP/1.1 200 OK\r\n";

std::vector<std::string> brokenHeads() {
  std::vector<std::string> Heads;
  for (const char *Status : {"000", "099", "199", "600", "2000", "-01", "2x0"})
    Heads.push_back("HTTP/1.1 " + std::string(Status) + " Odd\r\n");
  for (char Byte : {' ', '\t', '\0', '\x01', '\n', '\r', '\v', '\f', '\x1f',
                    '\x7f', '\x80', '\xff'})
    for (const std::string &Name :
         {std::string("X-Fi") + Byte + "eld", std::string("X-Field") + Byte,
          Byte + std::string("X-Field"),
          std::string("Content-Length") + Byte}) {
      Heads.push_back(Sound + Name + ": 1\r\n");
      Heads.push_back(Sound + std::string("X-Stamp: s\r\n") + Name +
                      ": 1\r\nX-Last: z\r\n");
    }
  for (const char *Line : {": 1", "X-Field 1", "X-Field", "X-F(ield: 1"})
    Heads.push_back(Sound + std::string(Line) + "\r\n");
  for (const char *Lines :
       {"X-Stamp: s\r\n t", "X-Stamp: s\r\n\tt", "X-Stamp: s\r\n ",
        "X-Stamp:\r\n s", "X-Stamp: s\r\n \r\n t", "X-Stamp: s \r\n  X-Last: z",
        "Content-Type: text/plain\r\n Content-Length: 1"})
    for (const char *Last : {"\r\n", "\r\nX-Last: z\r\n"})
      Heads.push_back(Sound + std::string(Lines) + Last);
  Heads.push_back("HTTP/1.1 103 Early Hints\r\nX-Stamp: s\r\n t\r\n\r\n" +
                  std::string(Sound));
  return Heads;
}

} // namespace

TEST_SUITE("http_response_head") {
  TEST_CASE("a response whose head is not HTTP is no answer") {
    struct Row {
      const char *m_Name;
      std::string m_Rest; // Follows the lines of the head.
      bool m_SendsBytewise;
    };
    const Row Rows[] = {
        {"short", "Content-Length: 2\r\n\r\nok", false},
        {"without a length", "\r\nok", false},
        {"bytewise", "Content-Length: 2\r\n\r\nok", true},
        {"long", "\r\n" + std::string(90000, 'a'), false},
    };
    for (const std::string &Head : brokenHeads())
      for (const Row &Case : Rows) {
        CAPTURE(Head);
        CAPTURE(Case.m_Name);
        Received Got = send({Head + Case.m_Rest, ConnectionEnd::Close, false,
                             0ms, 0ms, Case.m_SendsBytewise},
                            Upload::None);
        CHECK(Got.m_Failure == HttpFailure::Malformed);
        CHECK(Got.m_Took < RequestTimeout / 2);
      }
  }

  TEST_CASE("a response whose head is not HTTP is no answer to an upload") {
    for (const std::string &Head : brokenHeads())
      for (Upload Kind : {Upload::WithLength, Upload::InChunks})
        for (std::size_t Bytes : {2, 90000})
          for (ConnectionEnd End :
               {ConnectionEnd::Reset, ConnectionEnd::Silent})
            for (Duration Pause : {0ms, 20ms}) {
              CAPTURE(Head);
              CAPTURE(Bytes);
              CAPTURE(static_cast<int>(Kind));
              CAPTURE(static_cast<int>(End));
              CAPTURE(Pause.count());
              Received Got = send({Head + "\r\n" + std::string(Bytes, 'a'), End,
                                   false, Pause, 0ms},
                                  Kind);
              CHECK_FALSE(Got.m_IsWhole);
              CHECK(Got.m_Took < RequestTimeout / 2);
            }
  }

  TEST_CASE("a response whose trailer is not HTTP is not whole") {
    for (const char *Field : {"X-Fi eld: 1", "X-Field\t: 1", "X-Fi\001eld: 1",
                              " X-Field: 1", ": 1", "X-Field"}) {
      CAPTURE(Field);
      Received Got = send({std::string(Sound) +
                               "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
                               "0\r\n" +
                               Field + "\r\n\r\n",
                           ConnectionEnd::Close},
                          Upload::None);
      CHECK_FALSE(Got.m_IsWhole);
    }
  }

  TEST_CASE("unusual heads that are HTTP are answers") {
    const char *const Heads[] = {
        "",
        "X-Empty:\r\n",
        "X-Blank: \t \r\n",
        "X-Blanks: \t a \t b \t\r\n",
        "X-Text: \xff\x80\r\n",
        "!#$%&'*+-.^_`|~9: token\r\n",
    };
    // Lines of the body are none of the head.
    const std::string Body = " a\r\n b\r\n\tc\r\n\r\n d";
    for (const char *Head : Heads)
      for (const char *Interim : {"", "HTTP/1.1 100 Continue\r\n\r\n"})
        for (bool SendsBytewise : {false, true}) {
          CAPTURE(Head);
          CAPTURE(Interim);
          CAPTURE(SendsBytewise);
          Received Got =
              send({std::string(Interim) + Sound + Head + "Content-Length: " +
                        std::to_string(Body.size()) + "\r\n\r\n" + Body,
                    ConnectionEnd::Close, false, 0ms, 0ms, SendsBytewise},
                   Upload::None);
          CHECK(Got.m_IsWhole);
          CHECK(Got.m_Body == Body);
        }
  }
}
