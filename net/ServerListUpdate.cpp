#include "net/ServerListUpdate.h"

#include "net/Messages.h"
#include "net/RpcClientCodec.h"

namespace rhubarb::net {
namespace {

// Upper limit; long rows fill a datagram earlier.
constexpr std::size_t MaxRowsPerDatagram = 12;
// Array positions of the fields that only relayed messages have.
constexpr Json::ArrayIndex OriginIndex = 11;
constexpr Json::ArrayIndex ForwardToIndex = 12;
// Array positions of the fields that tell eras of the store apart; senders of
// earlier versions omit them.
constexpr Json::ArrayIndex ListEraIndex = 13;
constexpr Json::ArrayIndex OperatorEraIndex = 14;
constexpr Json::ArrayIndex RowOrderIndex = 15;
// An IP address takes up to 15 characters, two quotes and a comma.
constexpr std::size_t BytesPerForwardTarget = 18;

using Json::Value;

std::int64_t millis(Duration Value) {
  return std::max(Duration{0}, Value) / std::chrono::milliseconds(1);
}

Value rowArray(const ListingRow &Row, Time Now) {
  const BackendInfo &Server = Row.m_Listing;
  Value Json(Json::arrayValue);
  Json.append(Server.m_Id);
  Json.append(static_cast<Json::UInt64>(Row.m_Position.m_Revision));
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

// Encodes what orders a row beside its revision.
Value rowOrder(const ListingRow &Row) {
  Value Json(Json::arrayValue);
  Json.append(static_cast<Json::UInt64>(Row.m_Position.m_Era));
  Json.append(static_cast<Json::Int64>(Row.m_Listing.m_StartTimeMs));
  Json.append(static_cast<Json::Int64>(Row.m_Listing.m_Sequence));
  Json.append(Row.m_MayBeCopy ? 1 : 0);
  return Json;
}

void readRowOrder(const Value &Json, ListingRow &Row) {
  requireArray(Json, 4);
  Row.m_Position.m_Era = Json[0].asUInt64();
  Row.m_Listing.m_StartTimeMs = Json[1].asInt64();
  Row.m_Listing.m_Sequence = Json[2].asInt64();
  Row.m_MayBeCopy = Json[3].asInt() != 0;
}

ListingRow readRow(const Value &Json, Time Now) {
  requireArray(Json, 2);
  ListingRow Row;
  BackendInfo &Server = Row.m_Listing;
  Server.m_Id = Json[0].asString();
  Row.m_Position.m_Revision = Json[1].asUInt64();
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
  Duration ColdFor = std::chrono::milliseconds(Json[8].asInt64());
  if (ColdFor.count() > 0)
    Server.m_ColdUntil = Now + ColdFor;
  return Row;
}

} // namespace

Value toJson(const ServerListUpdate &Update, Time Now) {
  Value Json(Json::arrayValue);
  Json.append(SchemaVersion);
  Json.append(static_cast<Json::UInt64>(Update.m_Position.m_Revision));
  Json.append(static_cast<Json::Int64>(millis(Update.m_Age)));
  Json.append(static_cast<Json::UInt64>(Update.m_Digest));
  Json.append(static_cast<Json::UInt64>(Update.m_OperatorPosition.m_Revision));
  Json.append(static_cast<Json::Int64>(millis(Update.m_OperatorAge)));
  Value Evacuated(Json::arrayValue);
  for (const std::string &Domain : Update.m_EvacuatedDomains)
    Evacuated.append(Domain);
  Json.append(std::move(Evacuated));
  Value Rows(Json::arrayValue);
  for (const ListingRow &Row : Update.m_Rows)
    Rows.append(rowArray(Row, Now));
  Json.append(std::move(Rows));
  Json.append(Update.m_HasMore ? 1 : 0);
  Json.append(static_cast<Json::UInt64>(Update.m_ConfigRevision));
  Json.append(static_cast<Json::UInt64>(Update.m_ConfigBytes));
  Json[OriginIndex] = Update.m_Origin;
  Json[ForwardToIndex] = Value(Json::arrayValue);
  Json[ListEraIndex] = static_cast<Json::UInt64>(Update.m_Position.m_Era);
  Json[OperatorEraIndex] =
      static_cast<Json::UInt64>(Update.m_OperatorPosition.m_Era);
  Value Orders(Json::arrayValue);
  for (const ListingRow &Row : Update.m_Rows)
    Orders.append(rowOrder(Row));
  Json[RowOrderIndex] = std::move(Orders);
  return Json;
}

ServerListUpdate readServerListUpdate(const Value &Json, Time Now,
                                      std::uint64_t OwnEra) {
  requireArray(Json, 8);
  ServerListUpdate Update;
  bool NamesEras = Json.size() > RowOrderIndex;
  Update.m_Position = {NamesEras ? Json[ListEraIndex].asUInt64() : OwnEra,
                       Json[1].asUInt64()};
  Update.m_Age = std::chrono::milliseconds(Json[2].asInt64());
  Update.m_Digest = Json[3].asUInt64();
  Update.m_OperatorPosition = {NamesEras ? Json[OperatorEraIndex].asUInt64()
                                         : OwnEra,
                               Json[4].asUInt64()};
  Update.m_OperatorAge = std::chrono::milliseconds(Json[5].asInt64());
  requireArray(Json[6], 0);
  for (const Value &Domain : Json[6])
    Update.m_EvacuatedDomains.insert(Domain.asString());
  requireArray(Json[7], 0);
  for (const Value &Row : Json[7])
    Update.m_Rows.push_back(readRow(Row, Now));
  for (Json::ArrayIndex I = 0; I < Json[7].size(); ++I) {
    if (NamesEras)
      readRowOrder(Json[RowOrderIndex][I], Update.m_Rows[I]);
    else
      Update.m_Rows[I].m_Position.m_Era = OwnEra;
  }
  if (Json.size() > 8) // Older senders omit m_HasMore.
    Update.m_HasMore = Json[8].asInt() != 0;
  if (Json.size() > 10) {
    Update.m_ConfigRevision = Json[9].asUInt64();
    Update.m_ConfigBytes = Json[10].asUInt64();
  }
  if (Json.size() > ForwardToIndex) {
    Update.m_Origin = Json[OriginIndex].asString();
    requireArray(Json[ForwardToIndex], 0);
    for (const Value &Vm : Json[ForwardToIndex])
      Update.m_ForwardTo.push_back(Vm.asString());
  }
  return Update;
}

ServerListUpdateMessages splitServerListUpdate(ServerListUpdate Update,
                                               std::size_t MaxBytes,
                                               std::size_t MaxForwardTo,
                                               Time Now) {
  std::size_t ReservedBytes =
      MaxForwardTo == 0 ? 0 : (MaxForwardTo + 2) * BytesPerForwardTarget;
  std::vector<ListingRow> Rows = std::exchange(Update.m_Rows, {});
  ServerListUpdateMessages Split;
  std::size_t Bytes = 0;
  do {
    std::size_t Remaining = Rows.size() - Split.m_RowsIncluded;
    std::size_t Count = std::min(MaxRowsPerDatagram, Remaining);
    Value Message;
    std::size_t Size = 0;
    for (;; --Count) {
      auto First =
          Rows.begin() + static_cast<std::ptrdiff_t>(Split.m_RowsIncluded);
      Update.m_Rows.assign(First, First + static_cast<std::ptrdiff_t>(Count));
      Update.m_HasMore = Count < Remaining;
      Message = toJson(Update, Now);
      Size = encodeServerListUpdate(Message).size() + ReservedBytes;
      if (Size <= MaxDatagramBytes || Count <= 1)
        break;
    }
    if (!Split.m_Messages.empty() && Bytes + Size > MaxBytes)
      break;
    Bytes += Size;
    Split.m_Messages.push_back(std::move(Message));
    Split.m_RowsIncluded += Count;
  } while (Split.m_RowsIncluded < Rows.size());
  return Split;
}

std::string encodeServerListUpdate(Json::Value Message,
                                   const std::string &Origin,
                                   const std::vector<std::string> &ForwardTo) {
  if (!Origin.empty()) {
    Message[OriginIndex] = Origin;
    Message[ForwardToIndex] = Value(Json::arrayValue);
    for (const std::string &Vm : ForwardTo)
      Message[ForwardToIndex].append(Vm);
  }
  return encodeNotification("list", Message);
}

} // namespace rhubarb::net
