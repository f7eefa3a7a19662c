#include "net/LearnedState.h"

#include "net/Messages.h"

namespace rhubarb::net {
namespace {

using Json::Value;

constexpr Duration AgeUnit = 100ms;
// A server's row starts with its id and incarnation.
constexpr Json::ArrayIndex ServerFields = 2;
// Each object in a server's row has a hash and an age.
constexpr Json::ArrayIndex ObjectFields = 2;

Value serverRow(const std::string &Id, const ServerObjects &Server) {
  Value Row(Json::arrayValue);
  Row.append(Id);
  Row.append(static_cast<Json::UInt64>(Server.m_Incarnation));
  for (const RecentObject &Object : Server.m_Objects) {
    Row.append(static_cast<Json::UInt64>(Object.m_Hash));
    Row.append(static_cast<Json::Int64>(Object.m_Age / AgeUnit));
  }
  return Row;
}

ServerObjects readServer(const Value &Row) {
  ServerObjects Server;
  Server.m_Incarnation = Row[1].asUInt64();
  for (Json::ArrayIndex I = ServerFields; I + 1 < Row.size(); I += ObjectFields)
    Server.m_Objects.push_back(
        {Row[I].asUInt64(), AgeUnit * Row[I + 1].asUInt()});
  return Server;
}

} // namespace

std::string encodeLearnedState(const LearnedState &State) {
  Value Json(Json::objectValue);
  Json["schema"] = SchemaVersion;
  Json["written_at"] = static_cast<Json::Int64>(State.m_WrittenAt);
  Json["away_permille"] = Value(Json::objectValue);
  for (const auto &[Pool, Permille] : State.m_SpillPermille)
    Json["away_permille"][Pool] = Permille;
  Json["round_trip_us"] = Value(Json::objectValue);
  for (const auto &[Region, RoundTrip] : State.m_MinRoundTrips)
    Json["round_trip_us"][Region] = static_cast<Json::Int64>(RoundTrip.count());
  Json["servers"] = Value(Json::arrayValue);
  for (const auto &[Id, Server] : State.m_Servers)
    Json["servers"].append(serverRow(Id, Server));
  return compactJson(Json);
}

Result<LearnedState> readLearnedState(const std::string &Text) {
  Result<Value> Parsed = parseJson(Text);
  if (!Parsed)
    return Parsed.error();
  const Value &Json = Parsed.value();
  LearnedState State;
  try {
    if (!Json.isObject())
      return Error{ErrorKind::BadRequest, "JSON object expected"};
    State.m_WrittenAt = Json["written_at"].asInt64();
    const Value &Permilles = Json["away_permille"];
    for (const std::string &Pool : Permilles.getMemberNames())
      State.m_SpillPermille[Pool] = Permilles[Pool].asInt();
    const Value &RoundTrips = Json["round_trip_us"];
    for (const std::string &Region : RoundTrips.getMemberNames())
      State.m_MinRoundTrips[Region] = Duration(RoundTrips[Region].asInt64());
    const Value &Servers = Json["servers"];
    requireArray(Servers, 0);
    for (const Value &Row : Servers) {
      requireArray(Row, ServerFields);
      State.m_Servers[Row[0].asString()] = readServer(Row);
    }
  } catch (const std::exception &Exception) {
    return Error{ErrorKind::BadRequest, Exception.what()};
  }
  return State;
}

} // namespace rhubarb::net
