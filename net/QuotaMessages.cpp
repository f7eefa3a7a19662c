#include "net/QuotaMessages.h"

#include "net/Messages.h"

#include <algorithm>

namespace rhubarb::net {
namespace {

using Json::Value;

// Schema version, region, sequence number and kind come before the rows.
constexpr Json::ArrayIndex HeaderFields = 4;
constexpr Json::ArrayIndex AskFields = 2;
constexpr Json::ArrayIndex GrantFields = 4;
// A row takes up to 45 bytes, so that these fit into a datagram.
constexpr std::size_t RowsPerDatagram = 28;
constexpr std::int64_t MaxRetryAfterMs = 60'000;

std::string encode(const char *Method, const Value &Params) {
  Value Message;
  Message["jsonrpc"] = "2.0";
  Message["method"] = Method;
  Message["params"] = Params;
  return compactJson(Message);
}

// Encodes rows as notifications with the same header.
template <class Row, class Encoder>
std::vector<std::string>
encodeRows(const char *Method, std::size_t Region, std::uint64_t Sequence,
           QuotaAskKind Kind, const std::vector<Row> &Rows, Encoder EncodeRow) {
  std::vector<std::string> Texts;
  Value Params(Json::arrayValue);
  Params.append(SchemaVersion);
  Params.append(static_cast<Json::UInt64>(Region));
  Params.append(static_cast<Json::UInt64>(Sequence));
  Params.append(static_cast<int>(Kind));
  for (std::size_t I = 0; I < Rows.size(); ++I) {
    Params.append(EncodeRow(Rows[I]));
    if (Params.size() < HeaderFields + RowsPerDatagram && I + 1 < Rows.size())
      continue;
    Texts.push_back(encode(Method, Params));
    Params.resize(HeaderFields);
  }
  return Texts;
}

QuotaAskKind readKind(const Value &Json) {
  return Json.asInt() == static_cast<int>(QuotaAskKind::Stock)
             ? QuotaAskKind::Stock
             : QuotaAskKind::Requests;
}

} // namespace

std::vector<std::string> encodeQuotaAsk(const QuotaAskMessage &Message) {
  return encodeRows(QuotaAskMethod, Message.m_Region, Message.m_Sequence,
                    Message.m_Kind, Message.m_Rows, [](const QuotaAskRow &Row) {
                      Value Fields(Json::arrayValue);
                      Fields.append(
                          static_cast<Json::UInt64>(Row.m_Organisation));
                      Fields.append(Row.m_Tokens);
                      return Fields;
                    });
}

std::vector<std::string> encodeQuotaGrant(const QuotaGrantMessage &Message) {
  return encodeRows(
      QuotaGrantMethod, Message.m_Region, Message.m_Sequence, Message.m_Kind,
      Message.m_Rows, [](const QuotaGrantRow &Row) {
        Value Fields(Json::arrayValue);
        Fields.append(static_cast<Json::UInt64>(Row.m_Organisation));
        Fields.append(Row.m_Tokens);
        Fields.append(Row.m_IsHolder ? 1 : 0);
        Fields.append(static_cast<Json::Int64>(Row.m_RetryAfter / 1ms));
        return Fields;
      });
}

QuotaAskMessage readQuotaAsk(const Value &Json) {
  requireArray(Json, HeaderFields);
  QuotaAskMessage Message;
  Message.m_Region = static_cast<std::size_t>(Json[1].asUInt64());
  Message.m_Sequence = Json[2].asUInt64();
  Message.m_Kind = readKind(Json[3]);
  for (Json::ArrayIndex I = HeaderFields; I < Json.size(); ++I) {
    requireArray(Json[I], AskFields);
    Message.m_Rows.push_back(
        {Json[I][0].asUInt64(), std::max(0, Json[I][1].asInt())});
  }
  return Message;
}

QuotaGrantMessage readQuotaGrant(const Value &Json) {
  requireArray(Json, HeaderFields);
  QuotaGrantMessage Message;
  Message.m_Region = static_cast<std::size_t>(Json[1].asUInt64());
  Message.m_Sequence = Json[2].asUInt64();
  Message.m_Kind = readKind(Json[3]);
  for (Json::ArrayIndex I = HeaderFields; I < Json.size(); ++I) {
    requireArray(Json[I], GrantFields);
    Message.m_Rows.push_back({Json[I][0].asUInt64(),
                              std::max(0, Json[I][1].asInt()),
                              Json[I][2].asInt() != 0,
                              std::chrono::milliseconds(std::clamp<Json::Int64>(
                                  Json[I][3].asInt64(), 0, MaxRetryAfterMs))});
  }
  return Message;
}

} // namespace rhubarb::net
