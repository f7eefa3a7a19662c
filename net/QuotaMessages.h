// Messages about quotas between nodes: asks for tokens, and what the holders
// grant. Builds from before quotas ignore them.
#pragma once

#include "rhubarb/Quota.h"

#include <json/json.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace rhubarb::net {

inline constexpr const char *QuotaAskMethod = "quota_ask";
inline constexpr const char *QuotaGrantMethod = "quota_grant";

// What tokens are asked for.
enum class QuotaAskKind : std::uint8_t {
  Requests, // Requests of the asking node.
  Stock,    // The bucket of the asking holder.
};

// Asks one holder for tokens.
struct QuotaAskMessage {
  // The asking node's number of the holder's region. Returned with the answer.
  std::size_t m_Region = 0;
  std::uint64_t m_Sequence = 0; // Returned with the answer.
  std::vector<QuotaAskRow> m_Rows;
  QuotaAskKind m_Kind = QuotaAskKind::Requests; // Returned with the answer.
};

// Answers rows of an ask.
struct QuotaGrantMessage {
  std::size_t m_Region = 0;
  std::uint64_t m_Sequence = 0;
  std::vector<QuotaGrantRow> m_Rows;
  QuotaAskKind m_Kind = QuotaAskKind::Requests;
};

// Encode notifications that each fit into a datagram.
std::vector<std::string> encodeQuotaAsk(const QuotaAskMessage &Message);
std::vector<std::string> encodeQuotaGrant(const QuotaGrantMessage &Message);
// Decode one notification. Throw Json::Exception if it is malformed.
QuotaAskMessage readQuotaAsk(const Json::Value &Json);
QuotaGrantMessage readQuotaGrant(const Json::Value &Json);

} // namespace rhubarb::net
