// Dispatches JSON-RPC 2.0 requests to the methods of a process, with
// libjsonrpccpp's server. Independent of the transport: takes and returns text.
#pragma once

#include <json/json.h>

#include <functional>
#include <memory>
#include <string>

namespace rhubarb::net {

// Implements a method: takes the parameters and the sender's IP address and
// returns the result. May throw Json::Exception on invalid parameters.
using RpcMethod = std::function<Json::Value(const Json::Value &Params,
                                            const std::string &PeerIp)>;

class RpcServer {
public:
  RpcServer();
  ~RpcServer();
  RpcServer(const RpcServer &) = delete;
  RpcServer &operator=(const RpcServer &) = delete;

  void addMethod(const std::string &Name, RpcMethod Method);
  void addNotification(const std::string &Name, RpcMethod Method);
  // Handles one request and returns the response text, which is empty for
  // notifications.
  std::string handle(const std::string &Request, const std::string &PeerIp);
  // Returns the number of requests whose handling threw an exception, as for
  // invalid parameters.
  std::uint64_t malformedRequests() const { return m_Malformed; }

private:
  class Dispatcher;
  std::unique_ptr<Dispatcher> m_Dispatcher;
  std::uint64_t m_Malformed = 0;
};

} // namespace rhubarb::net
