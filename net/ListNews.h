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
struct ListNews {
  std::uint64_t m_Revision = 0; // Up to which the sender's list is complete.
  Duration m_Age{0};            // Since that was so.
  std::uint64_t m_Digest = 0;   // Of the sender's entries.
  std::uint64_t m_OperatorRevision = 0; // The same for operators' changes.
  Duration m_OperatorAge{0};
  std::uint64_t m_ConfigRevision = 0; // Of the configuration in force.
  std::uint64_t m_ConfigBytes = 0;    // Of its text.
  std::set<std::string> m_Evacuated;  // Failure domains, by operators.
  std::vector<ListedRow> m_Rows;
  bool m_More = false; // Further rows follow in another message.
};

// Returns the JSON form. Times are relative to Now.
Json::Value toJson(const ListNews &News, Time Now);
// Reads it; throws Json::Exception for a message of the wrong shape.
ListNews readListNews(const Json::Value &Json, Time Now);
// Returns notifications that fit into a datagram each. If they would be longer
// than MaxBytes in all, it is one without rows: the receiver sees by the digest
// that it lacks some.
std::vector<std::string> listNewsTexts(ListNews News, std::size_t MaxBytes,
                                       Time Now);

} // namespace rhubarb::net
