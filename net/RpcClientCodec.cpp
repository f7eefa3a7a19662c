// Built as C++14: libjsonrpccpp's client headers use dynamic exception
// specifications, which C++17 removed.
#include "net/RpcClientCodec.h"

#include <jsonrpccpp/client.h>

namespace rhubarb {
namespace net {
namespace {

// Keeps the request text, and plays back a given answer.
class TextConnector : public jsonrpc::IClientConnector {
public:
  explicit TextConnector(std::string Answer) : m_Answer(std::move(Answer)) {}

  void SendRPCMessage( // NOLINT(readability-identifier-naming)
      const std::string &Message,
      std::string &Result) throw(jsonrpc::JsonRpcException) override {
    m_Sent = Message;
    Result = m_Answer;
  }

  const std::string &sent() const { return m_Sent; }

private:
  std::string m_Answer;
  std::string m_Sent;
};

// Ends the text the way a datagram or body needs it: without a newline.
std::string trimmed(std::string Text) {
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
  return trimmed(Connector.sent());
}

std::string encodeNotification(const std::string &Method,
                               const Json::Value &Params) {
  TextConnector Connector("");
  jsonrpc::Client Client(Connector);
  Client.CallNotification(Method, Params);
  return trimmed(Connector.sent());
}

RpcResponse decodeResponse(const std::string &Text) {
  RpcResponse Answer;
  TextConnector Connector(Text);
  jsonrpc::Client Client(Connector);
  try {
    Client.CallMethod("answer", Json::Value(Json::arrayValue), Answer.m_Result);
    Answer.m_Ok = true;
  } catch (const std::exception &Thrown) {
    Answer.m_Error = Thrown.what();
  }
  return Answer;
}

} // namespace net
} // namespace rhubarb
