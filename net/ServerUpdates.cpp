#include "net/ServerUpdates.h"

#include "net/Messages.h"
#include "net/RpcClientCodec.h"

#include <algorithm>

namespace rhubarb::net {
namespace {

using Json::Value;

// Entries that fit into a datagram together with the VMs to forward it to. A
// hash takes up to 20 digits and a comma, an id about 12 characters.
constexpr std::size_t ObjectsPerDatagram = 18;
constexpr std::size_t LoadsPerDatagram = 27;
constexpr std::size_t ServersPerDatagram = 17;
constexpr std::size_t RateLimitsPerDatagram = 10;
constexpr Json::Int64 MaxAgeMs = 3'600'000; // Older limits are as good as new.
// Header of a notification about limits: schema, VM and its incarnation.
constexpr Json::ArrayIndex RateLimitHeaderFields = 3;
constexpr int ServerEventCount = 4;

} // namespace

std::vector<std::string> encodeAffinityUpdates(const AffinityUpdates &Updates) {
  std::vector<std::string> Texts;
  Value Message(Json::arrayValue);
  std::size_t Objects = 0;
  auto Finish = [&] {
    if (Objects > 0)
      Texts.push_back(encodeNotification("places", Message));
    Message = Value(Json::arrayValue);
    Message.append(SchemaVersion);
    Objects = 0;
  };
  Finish();
  for (const auto &[Server, Hashes] : Updates) {
    Value Row(Json::arrayValue);
    Row.append(Server);
    for (std::uint64_t Hash : Hashes) {
      Row.append(static_cast<Json::UInt64>(Hash));
      if (++Objects < ObjectsPerDatagram)
        continue;
      Message.append(std::move(Row));
      Finish();
      Row = Value(Json::arrayValue);
      Row.append(Server);
    }
    if (Row.size() > 1)
      Message.append(std::move(Row));
  }
  Finish();
  return Texts;
}

AffinityUpdates readAffinityUpdates(const Value &Json) {
  requireArray(Json, 1);
  AffinityUpdates Updates;
  for (Json::ArrayIndex I = 1; I < Json.size(); ++I) {
    requireArray(Json[I], 1);
    std::vector<std::uint64_t> &Hashes = Updates[Json[I][0].asString()];
    for (Json::ArrayIndex J = 1; J < Json[I].size(); ++J)
      Hashes.push_back(Json[I][J].asUInt64());
  }
  return Updates;
}

std::vector<std::string>
encodeServerLoadUpdates(const ServerLoadUpdates &Updates, Time Now) {
  std::vector<std::string> Texts;
  Value Message(Json::arrayValue);
  for (const auto &[Server, Load] : Updates) {
    if (Message.empty())
      Message.append(SchemaVersion);
    Value Row(Json::arrayValue);
    Row.append(Server);
    Row.append(Load.m_Total);
    Row.append(static_cast<Json::Int64>((Now - Load.m_At) / 1ms));
    Message.append(std::move(Row));
    if (Message.size() <= LoadsPerDatagram)
      continue;
    Texts.push_back(encodeNotification("loads", Message));
    Message = Value(Json::arrayValue);
  }
  if (!Message.empty())
    Texts.push_back(encodeNotification("loads", Message));
  return Texts;
}

ServerLoadUpdates readServerLoadUpdates(const Value &Json, Time Now) {
  requireArray(Json, 1);
  ServerLoadUpdates Updates;
  for (Json::ArrayIndex I = 1; I < Json.size(); ++I) {
    requireArray(Json[I], 3);
    Updates[Json[I][0].asString()] = {
        Json[I][1].asInt(),
        Now - std::chrono::milliseconds(Json[I][2].asInt64())};
  }
  return Updates;
}

std::vector<std::string>
encodeServerEventUpdates(const ServerEventUpdates &Updates) {
  std::vector<std::string> Texts;
  Value Message(Json::arrayValue);
  for (const auto &[Id, Update] : Updates) {
    if (Message.empty())
      Message.append(SchemaVersion);
    Value Row(Json::arrayValue);
    Row.append(Id);
    Row.append(static_cast<Json::UInt64>(Update.m_Incarnation));
    Row.append(static_cast<int>(Update.m_Event));
    Message.append(std::move(Row));
    if (Message.size() <= ServersPerDatagram)
      continue;
    Texts.push_back(encodeNotification("servers", Message));
    Message = Value(Json::arrayValue);
  }
  if (!Message.empty())
    Texts.push_back(encodeNotification("servers", Message));
  return Texts;
}

ServerEventUpdates readServerEventUpdates(const Value &Json) {
  requireArray(Json, 1);
  ServerEventUpdates Updates;
  for (Json::ArrayIndex I = 1; I < Json.size(); ++I) {
    requireArray(Json[I], 3);
    int Event = Json[I][2].asInt();
    if (Event >= 0 && Event < ServerEventCount)
      Updates[Json[I][0].asString()] = {Json[I][1].asUInt64(),
                                        static_cast<ServerEvent>(Event)};
  }
  return Updates;
}

std::vector<std::string> encodeRateLimitUpdates(const RateLimitUpdates &Updates,
                                                Time Now) {
  std::vector<std::string> Texts;
  Value Message(Json::arrayValue);
  auto Finish = [&] {
    if (Message.size() > RateLimitHeaderFields)
      Texts.push_back(encodeNotification("limits", Message));
    Message = Value(Json::arrayValue);
    Message.append(SchemaVersion);
    Message.append(Updates.m_Vm);
    Message.append(static_cast<Json::UInt64>(Updates.m_Incarnation));
  };
  Finish();
  for (const auto &[Id, Row] : Updates.m_Servers) {
    Value Fields(Json::arrayValue);
    Fields.append(Id);
    Fields.append(static_cast<Json::UInt64>(Row.m_Incarnation));
    Fields.append(Row.m_Update.m_PerSecond ? Value(*Row.m_Update.m_PerSecond)
                                           : Value());
    Fields.append(
        static_cast<Json::Int64>((Now - Row.m_Update.m_HeardAt) / 1ms));
    Fields.append(static_cast<Json::UInt64>(Row.m_Update.m_Sent));
    Message.append(std::move(Fields));
    if (Message.size() >= RateLimitHeaderFields + RateLimitsPerDatagram)
      Finish();
  }
  Finish();
  return Texts;
}

std::vector<std::string>
encodeSuspectUpdates(const std::vector<SuspectUpdate> &Updates, Time Now) {
  constexpr Json::ArrayIndex SuspectsPerDatagram = 15;
  std::vector<std::string> Texts;
  Value Message(Json::arrayValue);
  Message.append(SchemaVersion);
  for (std::size_t I = 0; I < Updates.size(); ++I) {
    const SuspectUpdate &Update = Updates[I];
    Value Fields(Json::arrayValue);
    Fields.append(static_cast<Json::UInt64>(Update.m_Request));
    Fields.append(Update.m_Crashes);
    Fields.append(static_cast<Json::Int64>((Now - Update.m_At) / 1ms));
    Fields.append(static_cast<Json::UInt64>(Update.m_Server));
    Fields.append(static_cast<Json::Int64>((Now - Update.m_SeenAt) / 1ms));
    Fields.append(Update.m_Uncounted ? 1 : 0);
    Message.append(std::move(Fields));
    if (Message.size() > SuspectsPerDatagram || I + 1 == Updates.size()) {
      Texts.push_back(encodeNotification("suspects", Message));
      Message.resize(1);
    }
  }
  return Texts;
}

std::vector<SuspectUpdate> readSuspectUpdates(const Value &Json, Time Now) {
  constexpr Json::ArrayIndex SuspectFields = 6;
  constexpr std::int64_t MaxSuspectAgeMs = 3'600'000;
  requireArray(Json, 1);
  std::vector<SuspectUpdate> Updates;
  for (Json::ArrayIndex I = 1; I < Json.size(); ++I) {
    requireArray(Json[I], SuspectFields);
    auto At = [&](Json::ArrayIndex Field) {
      return Now - std::chrono::milliseconds(std::clamp<std::int64_t>(
                       Json[I][Field].asInt64(), 0, MaxSuspectAgeMs));
    };
    Updates.push_back({Json[I][0].asUInt64(), std::max(0, Json[I][1].asInt()),
                       At(2), Json[I][3].asUInt64(), At(4),
                       Json[I][5].asInt() != 0});
  }
  return Updates;
}

RateLimitUpdates readRateLimitUpdates(const Value &Json, Time Now) {
  requireArray(Json, RateLimitHeaderFields);
  RateLimitUpdates Updates;
  Updates.m_Vm = Json[1].asString();
  Updates.m_Incarnation = Json[2].asUInt64();
  for (Json::ArrayIndex I = RateLimitHeaderFields; I < Json.size(); ++I) {
    constexpr Json::ArrayIndex RowFields = 5;
    requireArray(Json[I], RowFields);
    RateLimitUpdates::Row &Row = Updates.m_Servers[Json[I][0].asString()];
    Row.m_Incarnation = Json[I][1].asUInt64();
    if (!Json[I][2].isNull())
      Row.m_Update.m_PerSecond = Json[I][2].asDouble();
    // A time ahead of ours would outlast what the server says next.
    Row.m_Update.m_HeardAt =
        Now - std::chrono::milliseconds(
                  std::clamp<Json::Int64>(Json[I][3].asInt64(), 0, MaxAgeMs));
    Row.m_Update.m_Sent = Json[I][4].asUInt64();
  }
  return Updates;
}

std::string encodeForward(const std::string &Text,
                          const std::vector<std::string> &ForwardTo) {
  Value Message(Json::arrayValue);
  Message.append(SchemaVersion);
  Value Targets(Json::arrayValue);
  for (const std::string &Vm : ForwardTo)
    Targets.append(Vm);
  Message.append(std::move(Targets));
  Message.append(Text);
  return encodeNotification("pass", Message);
}

ForwardedMessage readForwardedMessage(const Value &Json) {
  requireArray(Json, 3);
  requireArray(Json[1], 0);
  ForwardedMessage Message;
  for (const Value &Vm : Json[1])
    Message.m_ForwardTo.push_back(Vm.asString());
  Message.m_Text = Json[2].asString();
  return Message;
}

} // namespace rhubarb::net
