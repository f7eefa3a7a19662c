#include "net/Messages.h"

#include "net/Crypto.h"
#include "net/RpcClientCodec.h"

#include <algorithm>
#include <sstream>

// Sections: JSON text, heartbeats, directory, snapshot, keys, grants,
// configuration.

namespace rhubarb::net {
namespace {

constexpr int MaxJsonDepth = 32;

using Json::ArrayIndex;
using Json::arrayValue;
using Json::Value;

std::int64_t millis(Duration Value) {
  return Value / std::chrono::milliseconds(1);
}

void requireObject(const Value &Json) {
  if (!Json.isObject())
    throw Json::RuntimeError("object expected");
}

Value stringArray(const std::vector<std::string> &Strings) {
  Value Json(arrayValue);
  for (const std::string &Text : Strings)
    Json.append(Text);
  return Json;
}

std::vector<std::string> readStringArray(const Value &Json) {
  requireArray(Json, 0);
  std::vector<std::string> Strings;
  for (const Value &Item : Json)
    Strings.push_back(Item.asString());
  return Strings;
}

Value poolsArray(const std::vector<PoolSummary> &Pools) {
  Value Json(arrayValue);
  for (const PoolSummary &Pool : Pools) {
    Value Row(arrayValue);
    Row.append(Pool.m_Pool);
    Row.append(Pool.m_OpenSlots);
    Row.append(Pool.m_FreeSlots);
    Row.append(Pool.m_QueuedRequests);
    Row.append(Pool.m_SpillPermille);
    Json.append(std::move(Row));
  }
  return Json;
}

std::vector<PoolSummary> readPools(const Value &Json) {
  requireArray(Json, 0);
  std::vector<PoolSummary> Pools;
  for (const Value &Row : Json) {
    requireArray(Row, 4);
    Pools.push_back(
        {Row[0].asString(), Row[1].asInt(), Row[2].asInt(), Row[3].asInt()});
    if (Row.size() > 4) // Older senders omit the spill share.
      Pools.back().m_SpillPermille = Row[4].asInt();
  }
  return Pools;
}

Value reportArray(const RelayedReport &Row) {
  const MemberReport &Report = Row.m_Report;
  Value Json(arrayValue);
  Json.append(Report.m_Vm);
  Json.append(static_cast<Json::Int64>(millis(Row.m_Age)));
  Json.append(static_cast<Json::UInt64>(Report.m_StartTime));
  Json.append(static_cast<Json::UInt64>(Report.m_Sequence));
  if (Report.m_HeartbeatOnly)
    return Json;
  Json.append(static_cast<Json::UInt64>(Report.m_EntryIncarnation));
  Json.append(Report.m_Leaving ? 1 : 0);
  Json.append(static_cast<Json::UInt64>(Report.m_Revision));
  Json.append(static_cast<Json::UInt64>(Report.m_DirectoryIndex));
  Json.append(poolsArray(Report.m_Pools));
  Json.append(stringArray(Report.m_AdoptedHomes));
  Json.append(Report.m_Domain);
  return Json;
}

// Compact heartbeats are encoded in eight bytes each, as base64 text.
constexpr std::size_t CompactHeartbeatBytes = 8;
constexpr Duration HeartbeatAgeUnit = 100ms;
// Largest age that fits into seven bits, in units of HeartbeatAgeUnit. The
// eighth bit holds m_EntryRuns.
constexpr int MaxHeartbeatAge = 127;

std::string
encodeCompactHeartbeats(const std::vector<CompactHeartbeat> &Heartbeats) {
  std::string Bytes;
  for (const CompactHeartbeat &Compact : Heartbeats) {
    for (int Shift : {24, 16, 8, 0})
      Bytes += static_cast<char>(Compact.m_VmHash >> Shift);
    Bytes += static_cast<char>(Compact.m_StartTag);
    Bytes += static_cast<char>(Compact.m_SequenceBits >> 8U);
    Bytes += static_cast<char>(Compact.m_SequenceBits);
    // Rounds the age up, so that relaying a heartbeat never makes it look more
    // recent.
    auto Age = std::clamp<std::int64_t>(
        (Compact.m_Age + HeartbeatAgeUnit - Duration(1)) / HeartbeatAgeUnit, 0,
        MaxHeartbeatAge);
    Bytes += static_cast<char>(Age | (Compact.m_EntryRuns ? 0x80 : 0));
  }
  return encodeBase64(Bytes);
}

std::vector<CompactHeartbeat> readCompactHeartbeats(const std::string &Text) {
  Result<std::string> Bytes = decodeBase64(Text);
  if (!Bytes || Bytes.value().size() % CompactHeartbeatBytes != 0)
    throw Json::RuntimeError("compact heartbeats must be eight bytes each");
  auto ByteAt = [&](std::size_t I) {
    return static_cast<std::uint32_t>(
        static_cast<unsigned char>(Bytes.value()[I]));
  };
  std::vector<CompactHeartbeat> Heartbeats;
  for (std::size_t I = 0; I < Bytes.value().size();
       I += CompactHeartbeatBytes) {
    CompactHeartbeat Compact;
    for (std::size_t J = 0; J < 4; ++J)
      Compact.m_VmHash = Compact.m_VmHash << 8U | ByteAt(I + J);
    Compact.m_StartTag = static_cast<std::uint8_t>(ByteAt(I + 4));
    Compact.m_SequenceBits =
        static_cast<std::uint16_t>(ByteAt(I + 5) << 8U | ByteAt(I + 6));
    Compact.m_EntryRuns = (ByteAt(I + 7) & 0x80U) != 0;
    Compact.m_Age =
        HeartbeatAgeUnit * static_cast<std::int64_t>(ByteAt(I + 7) & 0x7fU);
    Heartbeats.push_back(Compact);
  }
  return Heartbeats;
}

RelayedReport readReport(const Value &Json) {
  requireArray(Json, 4);
  RelayedReport Row;
  Row.m_Report.m_Vm = Json[0].asString();
  Row.m_Age = std::chrono::milliseconds(Json[1].asInt64());
  Row.m_Report.m_StartTime = Json[2].asUInt64();
  Row.m_Report.m_Sequence = Json[3].asUInt64();
  Row.m_Report.m_HeartbeatOnly = Json.size() == 4;
  if (Row.m_Report.m_HeartbeatOnly)
    return Row;
  requireArray(Json, 10);
  Row.m_Report.m_EntryIncarnation = Json[4].asUInt64();
  Row.m_Report.m_Leaving = Json[5].asInt() != 0;
  Row.m_Report.m_Revision = Json[6].asUInt64();
  Row.m_Report.m_DirectoryIndex = Json[7].asUInt64();
  Row.m_Report.m_Pools = readPools(Json[8]);
  Row.m_Report.m_AdoptedHomes = readStringArray(Json[9]);
  if (Json.size() > 10) // Older senders omit the failure domain.
    Row.m_Report.m_Domain = Json[10].asString();
  return Row;
}

Value serversArray(const std::vector<ListedServer> &Servers) {
  Value Json(arrayValue);
  for (const ListedServer &Server : Servers) {
    Value Row(arrayValue);
    Row.append(Server.m_Address);
    Row.append(Server.m_Pool);
    Row.append(Server.m_Domain);
    Row.append(Server.m_Leaving ? 1 : 0);
    Json.append(std::move(Row));
  }
  return Json;
}

std::vector<ListedServer> readServers(const Value &Json) {
  requireArray(Json, 0);
  std::vector<ListedServer> Servers;
  for (const Value &Row : Json) {
    requireArray(Row, 4);
    Servers.push_back({Row[0].asString(), Row[1].asString(), Row[2].asString(),
                       Row[3].asInt() != 0});
  }
  return Servers;
}

Value responseObject(const Response &Source) {
  Value Json;
  Json["status"] = Source.m_Status;
  Json["outcome"] = static_cast<int>(Source.m_Outcome);
  Json["error"] = static_cast<int>(Source.m_Error);
  Json["detail"] = Source.m_Detail;
  Json["body"] = Source.m_Body;
  Value Headers(arrayValue);
  for (const HeaderField &Field : Source.m_Headers) {
    Headers.append(Field.m_Name);
    Headers.append(Field.m_Value);
  }
  Json["headers"] = std::move(Headers);
  return Json;
}

ResponsePtr readResponse(const Value &Json) {
  requireObject(Json);
  auto Decoded = std::make_shared<Response>();
  Decoded->m_Status = Json["status"].asInt();
  Decoded->m_Outcome = static_cast<Outcome>(Json["outcome"].asInt());
  Decoded->m_Error = static_cast<ErrorKind>(Json["error"].asInt());
  Decoded->m_Detail = Json["detail"].asString();
  Decoded->m_Body = Json["body"].asString();
  const Value &Headers = Json["headers"];
  for (ArrayIndex I = 0; I + 1 < Headers.size(); I += 2)
    Decoded->m_Headers.push_back(
        {Headers[I].asString(), Headers[I + 1].asString()});
  return Decoded;
}

} // namespace

void requireArray(const Value &Json, ArrayIndex Fields) {
  if (!Json.isArray() || Json.size() < Fields)
    throw Json::RuntimeError("array of " + std::to_string(Fields) +
                             " fields expected");
}

// --- JSON text

std::string compactJson(const Value &Json) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Json);
}

Result<Value> parseJson(const std::string &Text) {
  Json::CharReaderBuilder Builder;
  Builder["stackLimit"] = MaxJsonDepth;
  Value Json;
  std::string Errors;
  std::istringstream Stream(Text);
  try {
    if (Json::parseFromStream(Builder, Stream, &Json, &Errors))
      return Json;
  } catch (const std::exception &Exception) {
    Errors = Exception.what();
  }
  return Error{ErrorKind::BadRequest, Errors};
}

std::string formatHomeId(const HomeId &Home) {
  std::string Payload = signedPayload(Home, 0);
  return Payload.substr(0, Payload.find('.'));
}

// --- Heartbeats

Value toJson(const Heartbeat &Message) {
  Value Json(arrayValue);
  Json.append(SchemaVersion);
  for (const RelayedReport &Row : Message.m_Reports)
    Json.append(reportArray(Row));
  if (!Message.m_CompactHeartbeats.empty())
    Json.append(encodeCompactHeartbeats(Message.m_CompactHeartbeats));
  return Json;
}

std::string encodeHeartbeat(Heartbeat Message) {
  std::string Text = encodeNotification("hb", toJson(Message));
  while (Text.size() > MaxDatagramBytes && Message.m_Reports.size() > 1) {
    Message.m_Reports.pop_back();
    Text = encodeNotification("hb", toJson(Message));
  }
  return Text;
}

std::vector<std::string>
encodeHeartbeats(Heartbeat First,
                 const std::vector<CompactHeartbeat> &Heartbeats) {
  std::vector<std::string> Texts;
  auto Rest = Heartbeats.begin();
  do {
    auto Count = std::min<std::ptrdiff_t>(
        Heartbeats.end() - Rest,
        static_cast<std::ptrdiff_t>(MaxCompactHeartbeats));
    First.m_CompactHeartbeats.assign(Rest, Rest + Count);
    Texts.push_back(encodeHeartbeat(First));
    First.m_Reports.clear();
    Rest += Count;
  } while (Rest != Heartbeats.end());
  return Texts;
}

Heartbeat readHeartbeat(const Value &Json) {
  requireArray(Json, 1);
  Heartbeat Message;
  for (ArrayIndex I = 1; I < Json.size(); ++I)
    if (Json[I].isString())
      Message.m_CompactHeartbeats = readCompactHeartbeats(Json[I].asString());
    else
      Message.m_Reports.push_back(readReport(Json[I]));
  return Message;
}

// --- Directory

Value toJson(const Directory &Message) {
  Value Json;
  Json["schema"] = SchemaVersion;
  Json["index"] = static_cast<Json::UInt64>(Message.m_Index);
  Value Vms(arrayValue);
  for (const ListedVm &Vm : Message.m_Vms) {
    Value Row(arrayValue);
    Row.append(Vm.m_Ip);
    Row.append(Vm.m_Domain);
    Row.append(Vm.m_Leaving ? 1 : 0);
    Vms.append(std::move(Row));
  }
  Json["vms"] = std::move(Vms);
  Json["servers"] = serversArray(Message.m_Servers);
  return Json;
}

Directory readDirectory(const Value &Json) {
  requireObject(Json);
  Directory Message;
  Message.m_Index = Json["index"].asUInt64();
  requireArray(Json["vms"], 0);
  for (const Value &Row : Json["vms"]) {
    requireArray(Row, 3);
    Message.m_Vms.push_back(
        {Row[0].asString(), Row[1].asString(), Row[2].asInt() != 0});
  }
  Message.m_Servers = readServers(Json["servers"]);
  return Message;
}

// --- Snapshot

Value toJson(const Snapshot &Message) {
  Value Json;
  Json["schema"] = SchemaVersion;
  Json["known"] = Message.m_ConfigKnown;
  Json["revision"] = static_cast<Json::UInt64>(Message.m_Revision);
  Json["left_out"] = Message.m_SectionsOmitted;
  Json["sections"] = toJson(Message.m_Sections);
  Value Members(arrayValue);
  for (const SnapshotMember &Member : Message.m_Members) {
    Value Row(arrayValue);
    Row.append(Member.m_Ip);
    Row.append(Member.m_Domain);
    Row.append(static_cast<int>(Member.m_State));
    Row.append(static_cast<Json::UInt64>(Member.m_EntryIncarnation));
    Row.append(stringArray(Member.m_AdoptedHomes));
    Row.append(poolsArray(Member.m_Pools));
    Members.append(std::move(Row));
  }
  Json["members"] = std::move(Members);
  Json["servers"] = serversArray(Message.m_Servers);
  return Json;
}

Snapshot readSnapshot(const Value &Json) {
  requireObject(Json);
  Snapshot Message;
  Message.m_ConfigKnown = Json["known"].asBool();
  Message.m_Revision = Json["revision"].asUInt64();
  Message.m_Sections = readSections(Json["sections"]);
  Message.m_SectionsOmitted = Json["left_out"].asBool();
  requireArray(Json["members"], 0);
  for (const Value &Row : Json["members"]) {
    requireArray(Row, 6);
    Message.m_Members.push_back({Row[0].asString(), Row[1].asString(),
                                 static_cast<MemberState>(Row[2].asInt()),
                                 Row[3].asUInt64(), readStringArray(Row[4]),
                                 readPools(Row[5])});
  }
  Message.m_Servers = readServers(Json["servers"]);
  return Message;
}

Value toJson(const EntryReport &Message) {
  Value Json;
  Json["schema"] = SchemaVersion;
  Json["incarnation"] = static_cast<Json::UInt64>(Message.m_Incarnation);
  Json["revision"] = static_cast<Json::UInt64>(Message.m_Revision);
  Json["leaving"] = Message.m_Leaving;
  Json["pools"] = poolsArray(Message.m_Pools);
  Json["adopted"] = stringArray(Message.m_AdoptedHomes);
  return Json;
}

EntryReport readEntryReport(const Value &Json) {
  requireObject(Json);
  EntryReport Message;
  Message.m_Incarnation = Json["incarnation"].asUInt64();
  Message.m_Revision = Json["revision"].asUInt64();
  Message.m_Leaving = Json["leaving"].asBool();
  Message.m_Pools = readPools(Json["pools"]);
  Message.m_AdoptedHomes = readStringArray(Json["adopted"]);
  return Message;
}

// --- Keys

Value toJson(const KeyHandover &Message) {
  Value Json;
  Json["schema"] = SchemaVersion;
  Value Homes(arrayValue);
  for (const HomeId &Home : Message.m_Homes) {
    Value Row(arrayValue);
    Row.append(Home.m_Ip);
    Row.append(Home.m_Port);
    Row.append(static_cast<Json::UInt64>(Home.m_Incarnation));
    Homes.append(std::move(Row));
  }
  Json["homes"] = std::move(Homes);
  Value Rows(arrayValue);
  for (const KeyHandoverRow &Source : Message.m_Rows) {
    Value Row(arrayValue);
    Row.append(Source.m_Key);
    Row.append(static_cast<Json::UInt64>(Source.m_Fingerprint));
    Row.append(static_cast<Json::Int64>(Source.m_ExpiresMs));
    Row.append(static_cast<int>(Source.m_State));
    Row.append(responseObject(*Source.m_Response));
    Row.append(Source.m_LastTry);
    Rows.append(std::move(Row));
  }
  Json["rows"] = std::move(Rows);
  return Json;
}

KeyHandover readKeyHandover(const Value &Json) {
  requireObject(Json);
  KeyHandover Message;
  requireArray(Json["homes"], 0);
  requireArray(Json["rows"], 0);
  for (const Value &Row : Json["homes"]) {
    requireArray(Row, 3);
    Message.m_Homes.push_back({Row[0].asUInt(),
                               static_cast<std::uint16_t>(Row[1].asUInt()),
                               Row[2].asUInt64()});
  }
  for (const Value &Row : Json["rows"]) {
    requireArray(Row, 6);
    Message.m_Rows.push_back({Row[0].asString(), Row[1].asUInt64(),
                              Row[2].asInt64(),
                              static_cast<KeyState>(Row[3].asInt()),
                              readResponse(Row[4]), Row[5].asInt()});
  }
  return Message;
}

// --- Grants

Value toJson(const GrantRequest &Message, const std::string &Pool) {
  Value Json(arrayValue);
  Json.append(SchemaVersion);
  Json.append(Message.m_Source);
  Json.append(Pool);
  Json.append(static_cast<int>(Message.m_Priority));
  Json.append(Message.m_Slots);
  return Json;
}

GrantRequest readGrantAsk(const Value &Json, std::string &Pool) {
  requireArray(Json, 5);
  GrantRequest Message;
  Message.m_Source = Json[1].asString();
  Pool = Json[2].asString();
  int PriorityValue = Json[3].asInt();
  if (PriorityValue < 0 || PriorityValue >= PriorityCount)
    throw Json::RuntimeError("rank is out of range");
  Message.m_Priority = static_cast<Priority>(PriorityValue);
  Message.m_Slots = Json[4].asInt();
  return Message;
}

Value toJson(const Grant &Message) {
  Value Json(arrayValue);
  Json.append(SchemaVersion);
  Json.append(static_cast<Json::UInt64>(Message.m_Id));
  Json.append(Message.m_Slots);
  Json.append(static_cast<Json::Int64>(millis(Message.m_Lifetime)));
  return Json;
}

Grant readGrant(const Value &Json) {
  requireArray(Json, 4);
  return {Json[1].asUInt64(), Json[2].asInt(),
          std::chrono::milliseconds(Json[3].asInt64())};
}

// --- Configuration

Value toJson(const ConfigSections &Sections) {
  Value Json(Json::objectValue);
  for (const auto &[Section, Values] : Sections) {
    Value &Object = Json[Section] = Value(Json::objectValue);
    for (const auto &[Key, Text] : Values)
      Object[Key] = Text;
  }
  return Json;
}

ConfigSections readSections(const Value &Json) {
  requireObject(Json);
  ConfigSections Sections;
  for (const std::string &Section : Json.getMemberNames()) {
    requireObject(Json[Section]);
    SectionValues &Values = Sections[Section];
    for (const std::string &Key : Json[Section].getMemberNames())
      Values[Key] = Json[Section][Key].asString();
  }
  return Sections;
}

Value toJson(const std::vector<SectionChange> &Changes) {
  Value Json(arrayValue);
  for (const SectionChange &Change : Changes) {
    Value Row;
    Row["section"] = Change.m_Section;
    if (Change.m_Removed)
      Row["removed"] = true;
    else
      Row["values"] = toJson(ConfigSections{{"", Change.m_Values}})[""];
    Json.append(std::move(Row));
  }
  return Json;
}

std::vector<SectionChange> readChanges(const Value &Json) {
  requireArray(Json, 0);
  std::vector<SectionChange> Changes;
  for (const Value &Row : Json) {
    requireObject(Row);
    SectionChange Change;
    Change.m_Section = Row["section"].asString();
    Change.m_Removed = Row["removed"].asBool();
    if (!Change.m_Removed) {
      Value Wrapped;
      Wrapped["v"] = Row["values"];
      Change.m_Values = readSections(Wrapped)["v"];
    }
    Changes.push_back(std::move(Change));
  }
  return Changes;
}

} // namespace rhubarb::net
