// Control-plane update that one node sends to another: changes of the backend
// server list, and the latest operators' changes known to the sender.
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
  std::uint64_t m_Revision = 0; // The sender's list is complete up to it.
  Duration m_Age{0};            // Since that was last confirmed.
  std::uint64_t m_Digest = 0;   // Of the sender's rows.
  // The same for operators' changes.
  std::uint64_t m_OperatorRevision = 0;
  Duration m_OperatorAge{0};
  std::uint64_t m_ConfigRevision = 0;       // Of the configuration in force.
  std::uint64_t m_ConfigBytes = 0;          // Size of its text.
  std::set<std::string> m_EvacuatedDomains; // By operators.
  std::vector<ListingRow> m_Rows;
  bool m_HasMore = false; // More rows follow in another message.
  // Set only in relayed messages: the VM that sent it first, and the VMs that
  // the receiver forwards it to.
  std::string m_Origin;
  std::vector<std::string> m_ForwardTo;
};

// An update split into messages that each fit into a datagram.
struct ServerListUpdateMessages {
  std::vector<Json::Value> m_Messages;
  std::size_t m_RowsIncluded = 0; // Counted from the first.
};

// Times are encoded relative to Now.
Json::Value toJson(const ServerListUpdate &Update, Time Now);
// Throws Json::Exception if the message is malformed.
ServerListUpdate readServerListUpdate(const Json::Value &Json, Time Now);
// Returns at least one message, and as many rows as fit into MaxBytes. If rows
// remain, the last message says so, and the receiver does not take them for
// lost. Each message leaves room for the addresses of MaxForwardTo VMs.
ServerListUpdateMessages splitServerListUpdate(ServerListUpdate Update,
                                               std::size_t MaxBytes,
                                               std::size_t MaxForwardTo,
                                               Time Now);
// Encodes a message as a notification. With an Origin, it also tells the
// receiver which VMs to forward it to.
std::string
encodeServerListUpdate(Json::Value Message, const std::string &Origin = {},
                       const std::vector<std::string> &ForwardTo = {});

} // namespace rhubarb::net
