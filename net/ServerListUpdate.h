// News of the control plane from one node to another: the list of backend
// servers, and how far operators' changes are known.
#pragma once

#include "rhubarb/Listing.h"

#include <json/json.h>

#include <set>
#include <string>
#include <vector>

namespace rhubarb::net {

// What the sender knows, and the entries that have changed lately (all entries
// in a whole view).
struct ServerListUpdate {
  std::uint64_t m_Revision = 0; // Up to which the sender's list is complete.
  Duration m_Age{0};            // Since that was so.
  std::uint64_t m_Digest = 0;   // Of the sender's entries.
  std::uint64_t m_OperatorRevision = 0; // The same for operators' changes.
  Duration m_OperatorAge{0};
  std::uint64_t m_ConfigRevision = 0;       // Of the configuration in force.
  std::uint64_t m_ConfigBytes = 0;          // Of its text.
  std::set<std::string> m_EvacuatedDomains; // Failure domains, by operators.
  std::vector<ListingRow> m_Rows;
  bool m_HasMore = false; // Further rows follow in another message.
  // Passed on by VMs: who sent it first, and who is to get it from here.
  std::string m_Origin;
  std::vector<std::string> m_ForwardTo;
};

// News in messages that fit into a datagram each.
struct ServerListUpdateMessages {
  std::vector<Json::Value> m_Messages;
  std::size_t m_RowsIncluded = 0; // Of the rows, from the first on.
};

// Returns the JSON form. Times are relative to Now.
Json::Value toJson(const ServerListUpdate &News, Time Now);
// Reads it; throws Json::Exception for a message of the wrong shape.
ServerListUpdate readServerListUpdate(const Json::Value &Json, Time Now);
// Returns the messages, at least one, with as many rows as MaxBytes take. While
// rows are left the last one says so: the receiver lacks nothing yet. Each
// message leaves room for as many VMs that it is to be passed on to.
ServerListUpdateMessages splitServerListUpdate(ServerListUpdate News,
                                               std::size_t MaxBytes,
                                               std::size_t MostPassedOnTo,
                                               Time Now);
// Returns the notification of a message, to be passed on as told.
std::string
encodeServerListUpdate(Json::Value Message, const std::string &Origin = {},
                       const std::vector<std::string> &PassOnTo = {});

} // namespace rhubarb::net
