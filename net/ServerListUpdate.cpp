#include "net/ServerListUpdate.h"

#include "net/Messages.h"
#include "net/RpcClientCodec.h"

namespace rhubarb::net {
namespace {

constexpr std::size_t RowsPerDatagram = 12; // Fewer when they are long.
// Places of the parts that only news on its way over other VMs has.
constexpr Json::ArrayIndex OriginAt = 11;
constexpr Json::ArrayIndex PassOnAt = 12;
constexpr std::size_t BytesPerTarget = 18; // IP number, quotes and a comma.

using Json::Value;

std::int64_t millis(Duration Value) {
  return std::max(Duration{0}, Value) / std::chrono::milliseconds(1);
}

Value rowArray(const ListingRow &Row, Time Now) {
  const BackendInfo &Server = Row.m_Listing;
  Value Json(Json::arrayValue);
  Json.append(Server.m_Id);
  Json.append(static_cast<Json::UInt64>(Row.m_Revision));
  if (Row.m_Removed)
    return Json;
  Json.append(Server.m_Address);
  Json.append(Server.m_PoolName);
  Json.append(Server.m_Domain);
  Json.append(Server.m_Slots);
  Json.append(Server.m_Leaving ? 1 : 0);
  Json.append(static_cast<Json::Int64>(Server.m_StartTimeMs));
  Json.append(static_cast<Json::Int64>(millis(Server.m_ColdUntil - Now)));
  return Json;
}

ListingRow readRow(const Value &Json, Time Now) {
  requireArray(Json, 2);
  ListingRow Row;
  BackendInfo &Server = Row.m_Listing;
  Server.m_Id = Json[0].asString();
  Row.m_Revision = Json[1].asUInt64();
  Row.m_Removed = Json.size() == 2;
  if (Row.m_Removed)
    return Row;
  requireArray(Json, 9);
  Server.m_Address = Json[2].asString();
  Server.m_PoolName = Json[3].asString();
  Server.m_Domain = Json[4].asString();
  Server.m_Slots = Json[5].asInt();
  Server.m_Leaving = Json[6].asInt() != 0;
  Server.m_StartTimeMs = Json[7].asInt64();
  Duration Cold = std::chrono::milliseconds(Json[8].asInt64());
  if (Cold.count() > 0)
    Server.m_ColdUntil = Now + Cold;
  return Row;
}

} // namespace

Value toJson(const ServerListUpdate &News, Time Now) {
  Value Json(Json::arrayValue);
  Json.append(SchemaVersion);
  Json.append(static_cast<Json::UInt64>(News.m_Revision));
  Json.append(static_cast<Json::Int64>(millis(News.m_Age)));
  Json.append(static_cast<Json::UInt64>(News.m_Digest));
  Json.append(static_cast<Json::UInt64>(News.m_OperatorRevision));
  Json.append(static_cast<Json::Int64>(millis(News.m_OperatorAge)));
  Value Evacuated(Json::arrayValue);
  for (const std::string &Domain : News.m_EvacuatedDomains)
    Evacuated.append(Domain);
  Json.append(std::move(Evacuated));
  Value Rows(Json::arrayValue);
  for (const ListingRow &Row : News.m_Rows)
    Rows.append(rowArray(Row, Now));
  Json.append(std::move(Rows));
  Json.append(News.m_HasMore ? 1 : 0);
  Json.append(static_cast<Json::UInt64>(News.m_ConfigRevision));
  Json.append(static_cast<Json::UInt64>(News.m_ConfigBytes));
  return Json;
}

ServerListUpdate readServerListUpdate(const Value &Json, Time Now) {
  requireArray(Json, 8);
  ServerListUpdate News;
  News.m_Revision = Json[1].asUInt64();
  News.m_Age = std::chrono::milliseconds(Json[2].asInt64());
  News.m_Digest = Json[3].asUInt64();
  News.m_OperatorRevision = Json[4].asUInt64();
  News.m_OperatorAge = std::chrono::milliseconds(Json[5].asInt64());
  requireArray(Json[6], 0);
  for (const Value &Domain : Json[6])
    News.m_EvacuatedDomains.insert(Domain.asString());
  requireArray(Json[7], 0);
  for (const Value &Row : Json[7])
    News.m_Rows.push_back(readRow(Row, Now));
  if (Json.size() > 8) // Older senders leave it out.
    News.m_HasMore = Json[8].asInt() != 0;
  if (Json.size() > 10) {
    News.m_ConfigRevision = Json[9].asUInt64();
    News.m_ConfigBytes = Json[10].asUInt64();
  }
  if (Json.size() > PassOnAt) {
    News.m_Origin = Json[OriginAt].asString();
    requireArray(Json[PassOnAt], 0);
    for (const Value &Vm : Json[PassOnAt])
      News.m_ForwardTo.push_back(Vm.asString());
  }
  return News;
}

ServerListUpdateMessages splitServerListUpdate(ServerListUpdate News,
                                               std::size_t MaxBytes,
                                               std::size_t MostPassedOnTo,
                                               Time Now) {
  std::size_t Reserved =
      MostPassedOnTo == 0 ? 0 : (MostPassedOnTo + 2) * BytesPerTarget;
  std::vector<ListingRow> Rows = std::exchange(News.m_Rows, {});
  ServerListUpdateMessages Made;
  std::size_t Bytes = 0;
  do {
    std::size_t Left = Rows.size() - Made.m_RowsIncluded;
    std::size_t Count = std::min(RowsPerDatagram, Left);
    Value Message;
    std::size_t Size = 0;
    for (;; --Count) {
      auto First =
          Rows.begin() + static_cast<std::ptrdiff_t>(Made.m_RowsIncluded);
      News.m_Rows.assign(First, First + static_cast<std::ptrdiff_t>(Count));
      News.m_HasMore = Count < Left;
      Message = toJson(News, Now);
      Size = encodeServerListUpdate(Message).size() + Reserved;
      if (Size <= MaxDatagramBytes || Count <= 1)
        break;
    }
    if (!Made.m_Messages.empty() && Bytes + Size > MaxBytes)
      break;
    Bytes += Size;
    Made.m_Messages.push_back(std::move(Message));
    Made.m_RowsIncluded += Count;
  } while (Made.m_RowsIncluded < Rows.size());
  return Made;
}

std::string encodeServerListUpdate(Json::Value Message,
                                   const std::string &Origin,
                                   const std::vector<std::string> &PassOnTo) {
  if (!Origin.empty()) {
    Message[OriginAt] = Origin;
    Message[PassOnAt] = Value(Json::arrayValue);
    for (const std::string &Vm : PassOnTo)
      Message[PassOnAt].append(Vm);
  }
  return encodeNotification("list", Message);
}

} // namespace rhubarb::net
