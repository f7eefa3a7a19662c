// JSON-RPC 2.0 methods of one process, dispatched by libjsonrpccpp's server.
// The transport stays outside: text in, text out.
#pragma once

#include <json/json.h>

#include <functional>
#include <memory>
#include <string>

namespace rhubarb::net {

// Gets the parameters and the sender's IP number, returns the result. May throw
// Json::Exception for parameters of the wrong shape.
using RpcMethod = std::function<Json::Value(const Json::Value &Params,
                                            const std::string &PeerIp)>;

// Methods by name.
class RpcServer {
public:
  RpcServer();
  ~RpcServer();
  RpcServer(const RpcServer &) = delete;
  RpcServer &operator=(const RpcServer &) = delete;

  void addMethod(const std::string &Name, RpcMethod Method);
  void addNotification(const std::string &Name, RpcMethod Method);
  // Handles one request text. Returns the answer text; empty for notifications
  // and for what cannot be read at all.
  std::string handle(const std::string &Request, const std::string &PeerIp);
  // Requests that could not be read or were of the wrong shape.
  std::uint64_t malformedRequests() const { return m_Malformed; }

private:
  class Dispatcher;
  std::unique_ptr<Dispatcher> m_Dispatcher;
  std::uint64_t m_Malformed = 0;
};

} // namespace rhubarb::net
