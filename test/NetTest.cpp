// Settings, codecs, and a fuzz test of message decoders.
#include "net/ConfigStore.h"
#include "net/Crypto.h"
#include "net/Ini.h"
#include "net/LearnedState.h"
#include "net/Messages.h"
#include "net/RpcClientCodec.h"
#include "net/RpcServer.h"
#include "net/ServerUpdates.h"
#include "net/Settings.h"
#include "net/Text.h"

#include <doctest/doctest.h>

using namespace rhubarb;
using namespace rhubarb::net;

namespace {

const SettingTable Table{
    {"a", "count", SettingKind::Number, "5", 1, 10, "things", ""},
    {"a", "ip", SettingKind::Ip, nullptr, 0, 0, "", ""},
    {"a", "peers", SettingKind::Address, "", 0, 0, "", ""},
    {"a", "mode", SettingKind::Choice, "x", 0, 0, "x,y", ""},
    {"a", "on", SettingKind::Flag, "no", 0, 0, "", ""},
};

Heartbeat sampleHeartbeat() {
  MemberReport FullReport;
  FullReport.m_Vm = "127.0.0.1";
  FullReport.m_StartTime = 1700000000000;
  FullReport.m_Sequence = 9;
  FullReport.m_EntryIncarnation = 0xfedcba9876543210ULL;
  FullReport.m_Revision = 12;
  FullReport.m_Pools = {{"order", 9, 4, 2}};
  FullReport.m_AdoptedHomes = {"7f000001-1f90-2a"};
  MemberReport HeartbeatOnly = FullReport;
  HeartbeatOnly.m_HeartbeatOnly = true;
  return {{{FullReport, 150ms}, {HeartbeatOnly, 0ms}},
          {{0xfedcba98, 0xff, 0xfffe, true, 300ms}, {1, 0, 2, false, 0ms}}};
}

Snapshot sampleSnapshot() {
  Snapshot Sample;
  Sample.m_ConfigKnown = true;
  Sample.m_Revision = 4;
  Sample.m_Sections = {{"pool p", {{"slots", "3"}}}};
  Sample.m_Members = {
      {"127.0.0.1", "d", MemberState::Live, 5, {"h"}, {{"p", 1, 2, 3}}}};
  Sample.m_Servers = {{"127.0.0.1:9", "p", "d", true}};
  return Sample;
}

KeyHandover sampleHandover() {
  KeyHandover Sample;
  Sample.m_Homes = {{1, 2, 3}};
  Sample.m_Rows = {
      {"k", 7, 8, KeyState::Unknown, makeErrorResponse(ErrorKind::ServerCut)}};
  return Sample;
}

ConfigHead sampleHead() {
  ConfigHead Head;
  Head.m_Revision = 3;
  Head.m_CheckpointKeys = {"a", "b"};
  Head.m_CheckpointHash = 0xffffffffffffffffULL;
  Head.m_Edits = {{"id",
                   3,
                   "me",
                   5,
                   {{"pool p", false, {{"slots", "1"}}}, {"x y", true, {}}}}};
  return Head;
}

// Corrupts a text at one to four random positions.
std::string corrupt(std::string Text, Random &Rng) {
  for (std::uint64_t I = 0, Corruptions = 1 + Rng.below(4);
       I < Corruptions && !Text.empty(); ++I) {
    std::size_t Position = Rng.below(Text.size());
    switch (Rng.below(4)) {
    case 0:
      Text[Position] = static_cast<char>(Rng.below(256));
      break;
    case 1:
      Text.erase(Position, 1 + Rng.below(8));
      break;
    case 2:
      Text.insert(Position,
                  std::string(1 + Rng.below(3), "[]{}\",:-19e"[Rng.below(11)]));
      break;
    default:
      Text.resize(Position);
    }
  }
  return Text;
}

} // namespace

TEST_SUITE("settings") {
  TEST_CASE("valid settings load, with defaults") {
    Result<Settings> Loaded = Settings::load(
        Table, "", {"a.ip=127.0.0.1", "a.peers=127.0.0.1:1,127.0.0.2:2"});
    REQUIRE(Loaded);
    CHECK(Loaded.value().number("a.count") == 5);
    CHECK(Loaded.value().list("a.peers").size() == 2);
    CHECK(!Loaded.value().flag("a.on"));
  }

  TEST_CASE("parsing of seconds in a server's response") {
    struct Row {
      const char *m_Text;
      Duration m_Expected;
    };
    for (const Row &Case :
         {Row{"2", 2s}, Row{"0.5", 500ms}, Row{"1.25", 1250ms}, Row{"0", 0s},
          Row{"", 0s}, Row{"-3", 0s}, Row{"soon", 0s}, Row{"1 s", 0s},
          Row{" 1", 0s}, Row{"nan", 0s}, Row{"inf", 0s}, Row{"1e3", 0s},
          Row{"Fri, 04 Dec 2026 10:00:00 GMT", 0s}, Row{"999999999999", 24h},
          Row{"99999999999999999999999999999999999999999", 24h}}) {
      CAPTURE(Case.m_Text);
      CHECK(parseSeconds(Case.m_Text) == Case.m_Expected);
    }
  }

  TEST_CASE("errors name key, value and allowed values") {
    struct Row {
      std::vector<std::string> m_Overrides;
      std::string m_Expected;
    };
    const std::string Ip = "a.ip=127.0.0.1";
    for (const Row &Case :
         {Row{{}, "a.ip = '': is missing; takes an IPv4 number"},
          Row{{Ip, "a.count=11"}, "a.count = '11': takes 1 to 10 things"},
          Row{{Ip, "a.count=x"}, "a.count = 'x': takes 1 to 10 things"},
          Row{{Ip, "a.mode=z"}, "a.mode = 'z': takes one of x,y"},
          Row{{Ip, "a.on=1"}, "a.on = '1': takes yes or no"},
          Row{{Ip, "a.peers=host:1"}, "takes IPv4:port"},
          Row{{Ip, "b.c=1"}, "b.c = '1': is not a setting"},
          Row{{Ip, "nonsense"}, "takes section.key=value"}}) {
      Result<Settings> Loaded = Settings::load(Table, "", Case.m_Overrides);
      REQUIRE(!Loaded);
      CAPTURE(Loaded.error().m_Message);
      CHECK(Loaded.error().m_Message.find(Case.m_Expected) !=
            std::string::npos);
    }
  }

  TEST_CASE("INI text round trip") {
    Result<ConfigSections> Parsed =
        parseIni("; note\n[pool p]\nslots = 3\n\n[x y]\n");
    REQUIRE(Parsed);
    CHECK(Parsed.value().at("pool p").at("slots") == "3");
    CHECK(parseIni(formatIni(Parsed.value())).value() == Parsed.value());
    for (const char *Malformed :
         {"[open", "novalue\n", "[a]\nx=1\nx=2\n", "x = 1\n"}) {
      CAPTURE(Malformed);
      CHECK(!parseIni(Malformed));
    }
  }
}

TEST_SUITE("messages") {
  TEST_CASE("messages survive a JSON round trip") {
    Heartbeat Full = sampleHeartbeat();
    Full.m_Reports.resize(1); // The sender's own report; it is never dropped.
    Full.m_CompactHeartbeats.resize(MaxCompactHeartbeats,
                                    {0xffffffff, 0xff, 0xffff, true, 12s});
    std::string FullText = encodeHeartbeat(Full);
    CHECK(FullText.size() <= MaxDatagramBytes);
    Heartbeat FullRead = readHeartbeat(parseJson(FullText).value()["params"]);
    CHECK(FullRead.m_Reports.size() == 1);
    CHECK(FullRead.m_CompactHeartbeats.size() == MaxCompactHeartbeats);
    // More compact heartbeats go into further datagrams.
    std::vector<CompactHeartbeat> Many(2 * MaxCompactHeartbeats + 1,
                                       Full.m_CompactHeartbeats[0]);
    std::size_t Arrived = 0;
    std::size_t Reports = 0;
    for (const std::string &Text : encodeHeartbeats(Full, Many)) {
      CHECK(Text.size() <= MaxDatagramBytes);
      Heartbeat Part = readHeartbeat(parseJson(Text).value()["params"]);
      Arrived += Part.m_CompactHeartbeats.size();
      Reports += Part.m_Reports.size();
    }
    CHECK(Arrived == Many.size());
    CHECK(Reports == FullRead.m_Reports.size());
    CHECK(encodeHeartbeats(Full, {}).size() == 1);
    CHECK_THROWS_AS(readHeartbeat(parseJson("[1,\"AAAA\"]").value()),
                    Json::Exception);
    CHECK(compactJson(toJson(readHeartbeat(toJson(sampleHeartbeat())))) ==
          compactJson(toJson(sampleHeartbeat())));
    CHECK(compactJson(toJson(readSnapshot(toJson(sampleSnapshot())))) ==
          compactJson(toJson(sampleSnapshot())));
    CHECK(compactJson(toJson(readKeyHandover(toJson(sampleHandover())))) ==
          compactJson(toJson(sampleHandover())));
    CHECK(encodeHead(decodeHead(encodeHead(sampleHead())).value()) ==
          encodeHead(sampleHead()));
  }

  TEST_CASE("learned state survives a JSON round trip") {
    LearnedState State;
    State.m_WrittenAt = 1754000000123;
    State.m_SpillPermille["desk"] = 440;
    State.m_MinRoundTrips["south"] = 110ms;
    State.m_Servers["i-1"] = {18446744073709551615U, {{7, 300ms}, {9, 24s}}};
    State.m_Servers["i-2"] = {5, {}};
    std::string Text = encodeLearnedState(State);
    Result<LearnedState> Decoded = readLearnedState(Text);
    REQUIRE(Decoded.has_value());
    CHECK(encodeLearnedState(Decoded.value()) == Text);
    CHECK(Decoded.value().m_Servers["i-1"].m_Objects[1].m_Age == 24s);
  }

  TEST_CASE("malformed learned state is rejected") {
    const char *MalformedTexts[] = {
        "",
        "[]",
        "7",
        "{\"servers\":7}",
        "{\"servers\":[[]]}",
        "{\"servers\":[[\"i-1\",-1]]}",
        "{\"servers\":[[\"i-1\",1,2,-3]]}",
        "{\"servers\":[],\"away_permille\":{\"desk\":\"x\"}}",
        "{\"servers\":[],\"away_permille\":[1]}",
        "{\"servers\":[],\"written_at\":[]}",
    };
    for (const char *Text : MalformedTexts) {
      CAPTURE(Text);
      CHECK_FALSE(readLearnedState(Text).has_value());
    }
  }

  TEST_CASE("unknown fields are ignored") {
    Json::Value Json = toJson(sampleSnapshot());
    Json["later"] = "x";
    Json["members"][0].append("later");
    CHECK(readSnapshot(Json).m_Members.size() == 1);
    Json::Value HeartbeatJson = toJson(sampleHeartbeat());
    HeartbeatJson[1].append("later");
    CHECK(readHeartbeat(HeartbeatJson).m_Reports.size() == 2);
  }

  TEST_CASE("base64 and signatures") {
    for (const std::string &Text :
         {std::string(), std::string("a"), std::string("ab"),
          std::string("abc"), std::string("\0x", 2)})
      CHECK(decodeBase64(encodeBase64(Text)).value() == Text);
    CHECK(!decodeBase64("!!!!"));
    KeySigner Signer("secret");
    KeyPrefix Home = Signer.sign({1, 2, 3}, 5);
    CHECK(Signer.verify(Home));
    KeyPrefix Forged = Home;
    Forged.m_IssuedMs = 6;
    CHECK(!Signer.verify(Forged));
    CHECK(!KeySigner("other").verify(Home));
  }

  TEST_CASE("JSON-RPC calls, responses and errors") {
    RpcServer Server;
    Server.addMethod("twice",
                     [](const Json::Value &Params, const std::string &Ip) {
                       Json::Value Output;
                       Output["value"] = Params[0].asInt() * 2;
                       Output["from"] = Ip;
                       return Output;
                     });
    int NotificationCount = 0;
    Server.addNotification("note",
                           [&](const Json::Value &, const std::string &) {
                             ++NotificationCount;
                             return Json::Value();
                           });
    Json::Value Params(Json::arrayValue);
    Params.append(21);
    RpcResponse Response = decodeResponse(
        Server.handle(encodeRequest("twice", Params), "1.2.3.4"));
    REQUIRE(Response.m_Ok);
    CHECK(Response.m_Result["value"].asInt() == 42);
    CHECK(Response.m_Result["from"].asString() == "1.2.3.4");
    Server.handle(encodeNotification("note", Params), "1.2.3.4");
    CHECK(NotificationCount == 1);
    CHECK(
        !decodeResponse(Server.handle(encodeRequest("none", Params), "")).m_Ok);
    Params[0] = "text";
    CHECK(!decodeResponse(Server.handle(encodeRequest("twice", Params), ""))
               .m_Ok);
    CHECK(!decodeResponse(Server.handle("{", "")).m_Ok);
  }
}

TEST_SUITE("fuzz") {
  TEST_CASE(
      "decoders accept or reject corrupted messages and throw nothing else") {
    const std::string Seeds[] = {
        compactJson(toJson(sampleHeartbeat())),
        compactJson(toJson(sampleSnapshot())),
        compactJson(toJson(sampleHandover())),
        encodeHead(sampleHead()),
        encodeRequest("grant.ask",
                      toJson(GrantRequest{"s", 0, Priority::Normal, 3}, "p")),
        R"([1,"10.0.0.1",7,["i-1",9,4.5,20,3],["i-2",9,null,20,3]])"};
    RpcServer Server;
    Server.addMethod("grant.ask",
                     [](const Json::Value &Params, const std::string &) {
                       std::string Pool;
                       readGrantAsk(Params, Pool);
                       return Json::Value(Json::objectValue);
                     });
    Random Rng(20261204);
    int DecodedCount = 0;
    for (int Round = 0; Round < 20000; ++Round) {
      std::string Text = corrupt(Seeds[Rng.below(std::size(Seeds))], Rng);
      Server.handle(Text, "127.0.0.1");
      decodeResponse(Text);
      DecodedCount += decodeHead(Text).has_value() ? 1 : 0;
      DecodedCount += parseKey(Text).has_value() ? 1 : 0;
      DecodedCount += parseIni(Text).has_value() ? 1 : 0;
      Result<Json::Value> Json = parseJson(Text);
      if (!Json)
        continue;
      auto Decode = [&](auto Decoder) {
        try {
          Decoder(Json.value());
          ++DecodedCount;
        } catch (const Json::Exception &) {
        }
      };
      Decode(readHeartbeat);
      Decode(readSnapshot);
      Decode(readDirectory);
      Decode(readEntryReport);
      Decode(readKeyHandover);
      Decode(readGrant);
      Decode(readChanges);
      Decode(
          [](const Json::Value &Update) { readRateLimitUpdates(Update, 1s); });
    }
    CHECK(DecodedCount > 0);
  }

  TEST_CASE("deeply nested JSON is rejected") {
    CHECK(!parseJson(std::string(100000, '[')));
    RpcServer Server;
    CHECK(!decodeResponse(Server.handle(std::string(900, '['), "")).m_Ok);
  }
}
