// Built as C++14: libjsonrpccpp's client headers use dynamic exception
// specifications, which C++17 removed.
#include "net/RpcClientCodec.h"

#include <jsonrpccpp/client.h>

namespace rhubarb {
namespace net {
namespace {

// Connector that records the request text and returns a given response.
class TextConnector : public jsonrpc::IClientConnector {
public:
  explicit TextConnector(std::string Response)
      : m_Response(std::move(Response)) {}

  void SendRPCMessage( // NOLINT(readability-identifier-naming)
      const std::string &Message,
      std::string &Result) throw(jsonrpc::JsonRpcException) override {
    m_Request = Message;
    Result = m_Response;
  }

  const std::string &request() const { return m_Request; }

private:
  std::string m_Response;
  std::string m_Request;
};

// Removes trailing newlines, which datagrams and HTTP bodies do not need.
std::string withoutNewline(std::string Text) {
  while (!Text.empty() && Text.back() == '\n')
    Text.pop_back();
  return Text;
}

} // namespace

std::string encodeRequest(const std::string &Method,
                          const Json::Value &Params) {
  TextConnector Connector("{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":null}");
  jsonrpc::Client Client(Connector);
  Json::Value Ignored;
  Client.CallMethod(Method, Params, Ignored);
  return withoutNewline(Connector.request());
}

std::string encodeNotification(const std::string &Method,
                               const Json::Value &Params) {
  TextConnector Connector("");
  jsonrpc::Client Client(Connector);
  Client.CallNotification(Method, Params);
  return withoutNewline(Connector.request());
}

RpcResponse decodeResponse(const std::string &Text) {
  RpcResponse Response;
  TextConnector Connector(Text);
  jsonrpc::Client Client(Connector);
  try {
    Client.CallMethod("answer", Json::Value(Json::arrayValue),
                      Response.m_Result);
    Response.m_Ok = true;
  } catch (const std::exception &Thrown) {
    Response.m_Error = Thrown.what();
  }
  return Response;
}

} // namespace net
} // namespace rhubarb
