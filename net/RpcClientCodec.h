// JSON-RPC 2.0 text of calls and answers, by libjsonrpccpp's client. The
// library's own connectors block; this codec leaves the sending to the caller.
#pragma once

#include <json/json.h>

#include <string>

namespace rhubarb {
namespace net {

// Result of reading an answer.
struct RpcResponse {
  bool m_Ok = false;
  Json::Value m_Result;
  std::string m_Error;
};

// Returns the request text of a method call.
std::string encodeRequest(const std::string &Method, const Json::Value &Params);
// Returns the request text of a notification.
std::string encodeNotification(const std::string &Method,
                               const Json::Value &Params);
// Reads the answer text of a method call.
RpcResponse decodeResponse(const std::string &Text);

} // namespace net
} // namespace rhubarb
