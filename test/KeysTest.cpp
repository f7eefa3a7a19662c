#include "rhubarb/Keys.h"

#include <doctest/doctest.h>

using namespace rhubarb;

namespace {

constexpr std::int64_t IssuedMs = 1000000;
constexpr HomeId Self{0x7f010101, 8080, 42};

IdempotencyKey keyOf(const std::string &Id, HomeId Home = Self) {
  return {{Home, IssuedMs, "0123456789abcdef"}, Id};
}

KeyTableLimits smallLimits() {
  KeyTableLimits Limits;
  Limits.m_Lifetime = 10s;
  Limits.m_MaxKeys = 3;
  return Limits;
}

ResponsePtr okResponse() {
  auto Built = std::make_shared<Response>();
  Built->m_Body = "done";
  return Built;
}

} // namespace

TEST_SUITE("keys") {
  TEST_CASE("a key survives the round trip through its text form") {
    IdempotencyKey Key = keyOf("abc-1");
    Result<IdempotencyKey> Parsed = parseKey(Key.text());
    REQUIRE(Parsed);
    CHECK(Parsed.value().text() == Key.text());
    CHECK(Parsed.value().m_Prefix.m_Home == Self);
    CHECK(Parsed.value().m_Prefix.m_IssuedMs == IssuedMs);
  }

  TEST_CASE("malformed keys are refused") {
    const std::string Valid = keyOf("a").text();
    const std::string Cases[] = {"",
                                 ".",
                                 "a.b",
                                 "a.b.c.d",
                                 Valid + " ",
                                 Valid + ".x y",
                                 Valid.substr(1) + "!",
                                 "zz-1f90-2a.1.sig.id",
                                 "7f-1f90.1.sig.id",
                                 "7f010101-1ffff-2a.1.sig.id",
                                 "7f010101-1f90-2a..sig.id",
                                 std::string(300, 'a'),
                                 "7f010101-1f90-2a.1.sig." +
                                     std::string(65, 'a')};
    for (const std::string &Text : Cases) {
      CAPTURE(Text);
      Result<IdempotencyKey> Parsed = parseKey(Text);
      REQUIRE(!Parsed);
      CHECK(Parsed.error().m_Kind == ErrorKind::KeyMalformed);
    }
  }

  TEST_CASE("the action for a request depends on the state of its key") {
    struct Row {
      const char *m_Name;
      ResponsePtr m_Result; // Null while the attempt is in flight.
      KeyAction m_Expected;
    };
    const Row Rows[] = {
        {"in flight", nullptr, KeyAction::Join},
        {"answered", okResponse(), KeyAction::Replay},
        {"not run", makeErrorResponse(ErrorKind::ServerShed), KeyAction::Run},
        {"unknown", makeErrorResponse(ErrorKind::ServerCut), KeyAction::Replay},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      KeyTable Table(Self, smallLimits());
      IdempotencyKey Key = keyOf("k");
      CHECK(Table.admit(Key, 1, IssuedMs).m_Action == KeyAction::Run);
      CHECK(Table.markSent(Key.text()));
      CHECK(!Table.markSent(Key.text()));
      if (Case.m_Result)
        Table.finish(Key.text(), Case.m_Result);
      CHECK(Table.admit(Key, 1, IssuedMs + 1).m_Action == Case.m_Expected);
    }
  }

  TEST_CASE("a delayed try does not run a key that was reported as not run") {
    KeyTable Table(Self, smallLimits());
    IdempotencyKey Key = keyOf("k");
    Table.admit(Key, 1, IssuedMs, 2);
    Table.finish(Key.text(), makeErrorResponse(ErrorKind::WaitTooLong));
    CHECK(Table.admit(Key, 1, IssuedMs, 1).m_Action == KeyAction::Replay);
    CHECK(Table.admit(Key, 1, IssuedMs, 2).m_Action == KeyAction::Replay);
    CHECK(Table.admit(Key, 1, IssuedMs, 3).m_Action == KeyAction::Run);
  }

  TEST_CASE("a key is refused with the error kind of the reason") {
    KeyTable Table(Self, smallLimits());
    HomeId Other = Self;
    Other.m_Incarnation = 43;
    struct Row {
      const char *m_Name;
      IdempotencyKey m_Key;
      std::uint64_t m_Fingerprint;
      std::int64_t m_NowMs;
      ErrorKind m_Expected;
    };
    IdempotencyKey Admitted = keyOf("known");
    CHECK(Table.admit(Admitted, 1, IssuedMs).m_Action == KeyAction::Run);
    const Row Rows[] = {
        {"key of another request", Admitted, 2, IssuedMs, ErrorKind::KeyReused},
        {"expired key", keyOf("old"), 1, IssuedMs + 10000,
         ErrorKind::KeyExpired},
        {"key issued in the future", keyOf("new"), 1, IssuedMs - 6000,
         ErrorKind::KeyForged},
        {"key of another incarnation", keyOf("x", Other), 1, IssuedMs,
         ErrorKind::HomeGone},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      KeyAdmission Admission =
          Table.admit(Case.m_Key, Case.m_Fingerprint, Case.m_NowMs);
      CHECK(Admission.m_Action == KeyAction::Refuse);
      CHECK(Admission.m_Error == Case.m_Expected);
    }
  }

  TEST_CASE(
      "a full table refuses new keys and keeps old ones until they expire") {
    KeyTable Table(Self, smallLimits());
    for (const char *Id : {"a", "b", "c"})
      CHECK(Table.admit(keyOf(Id), 1, IssuedMs).m_Action == KeyAction::Run);
    CHECK(Table.admit(keyOf("d"), 1, IssuedMs).m_Error ==
          ErrorKind::KeyTableFull);
    CHECK(Table.admit(keyOf("a"), 1, IssuedMs).m_Action == KeyAction::Join);
    Table.expire(IssuedMs + 10000);
    CHECK(Table.size() == 0);
    CHECK(Table.responseBytes() == 0);
    IdempotencyKey Late = keyOf("d");
    Late.m_Prefix.m_IssuedMs = IssuedMs + 9000;
    CHECK(Table.admit(Late, 1, IssuedMs + 10000).m_Action == KeyAction::Run);
  }

  TEST_CASE("joined requests get the same response") {
    KeyTable Table(Self, smallLimits());
    IdempotencyKey Key = keyOf("k");
    Table.admit(Key, 1, IssuedMs);
    int Calls = 0;
    for (int I = 0; I < 3; ++I)
      Table.join(Key.text(), [&](const ResponsePtr &Final) {
        ++Calls;
        CHECK(Final->m_Body == "done");
      });
    Table.finish(Key.text(), okResponse());
    CHECK(Calls == 3);
  }

  TEST_CASE("a handover moves responses and the right to run keys, only once") {
    KeyTable Old(Self, smallLimits());
    HomeId NextHome{0x7f010102, 8080, 77};
    KeyTable Next(NextHome, smallLimits());
    Old.admit(keyOf("done"), 1, IssuedMs);
    Old.markSent(keyOf("done").text());
    Old.finish(keyOf("done").text(), okResponse());
    Old.admit(keyOf("cut"), 1, IssuedMs);
    Old.markSent(keyOf("cut").text());
    KeyHandover Handover = Old.retire();
    CHECK(!Old.markSent(keyOf("cut").text()));
    CHECK(Old.admit(keyOf("new"), 1, IssuedMs).m_Error == ErrorKind::Leaving);
    Next.adopt(Handover);
    CHECK(Next.admit(keyOf("done"), 1, IssuedMs).m_Response->m_Body == "done");
    CHECK(Next.admit(keyOf("cut"), 1, IssuedMs).m_Response->m_Outcome ==
          Outcome::Unknown);
    CHECK(Next.admit(keyOf("new"), 1, IssuedMs).m_Action == KeyAction::Run);
    CHECK(Next.homes().size() == 2);
    CHECK(Old.retire().m_Homes.empty());
  }
}
