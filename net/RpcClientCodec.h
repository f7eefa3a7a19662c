// Encodes JSON-RPC 2.0 requests and decodes responses with libjsonrpccpp's
// client. The library's own connectors block, so this codec leaves the
// transport to the caller.
#pragma once

#include <json/json.h>

#include <string>

namespace rhubarb {
namespace net {

// A decoded response.
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
// Decodes the response to a method call.
RpcResponse decodeResponse(const std::string &Text);

} // namespace net
} // namespace rhubarb
