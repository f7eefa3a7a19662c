// Control-plane update that one node sends to another: changes of the backend
// server list, and the latest operators' changes that the sender has.
#pragma once

#include "rhubarb/Listing.h"

#include <json/json.h>

#include <set>
#include <string>
#include <vector>

namespace rhubarb::net {

// State of the sender's list and its recently changed rows (all rows in a full
// list).
struct ServerListUpdate {
  // Position up to which the sender's list is complete.
  StorePosition m_Position;
  // Time since the sender's list was last confirmed as complete.
  Duration m_Age{0};
  std::uint64_t m_Digest = 0; // Digest of all rows of the sender's list.
  // Position of the latest operators' change that the sender has.
  StorePosition m_OperatorPosition;
  // Time since the operators' changes were last confirmed as complete.
  Duration m_OperatorAge{0};
  // Revision of the sender's configuration in force.
  std::uint64_t m_ConfigRevision = 0;
  std::uint64_t m_ConfigBytes = 0; // Size of the configuration text.
  // Failure domains that operators have evacuated.
  std::set<std::string> m_EvacuatedDomains;
  std::vector<ListingRow> m_Rows;
  bool m_HasMore = false; // More rows follow in another message.
  // VM that sent the update first. Empty unless the message is relayed.
  std::string m_Origin;
  // VMs that the receiver forwards the update to.
  std::vector<std::string> m_ForwardTo;
};

// An update split into messages that each fit into a datagram.
struct ServerListUpdateMessages {
  std::vector<Json::Value> m_Messages;
  std::size_t m_RowsIncluded = 0; // Length of the included prefix of rows.
};

// Encodes an update. Its times are encoded relative to Now.
Json::Value toJson(const ServerListUpdate &Update, Time Now);
// Decodes an update. Positions of senders that name no era belong to OwnEra.
// Throws Json::Exception if the message is malformed.
ServerListUpdate readServerListUpdate(const Json::Value &Json, Time Now,
                                      std::uint64_t OwnEra = 0);
// Splits an update into at least one message, with as many rows as fit into
// MaxBytes altogether. If rows remain, the last message has m_HasMore set, so
// that the receiver does not treat them as lost. Each message leaves room for
// the addresses of MaxForwardTo VMs.
ServerListUpdateMessages splitServerListUpdate(ServerListUpdate Update,
                                               std::size_t MaxBytes,
                                               std::size_t MaxForwardTo,
                                               Time Now);
// Encodes a message as a notification. If Origin is not empty, adds it and the
// VMs that the receiver forwards the message to.
std::string
encodeServerListUpdate(Json::Value Message, const std::string &Origin = {},
                       const std::vector<std::string> &ForwardTo = {});

} // namespace rhubarb::net
