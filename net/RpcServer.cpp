#include "net/RpcServer.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/server/abstractserver.h>

#include <map>

namespace rhubarb::net {
namespace {

// Stores the response text in the string that AddInfo points to.
class TextConnector : public jsonrpc::AbstractServerConnector {
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string &Response, void *AddInfo) override {
    *static_cast<std::string *>(AddInfo) = Response;
    return true;
  }
};

} // namespace

class RpcServer::Dispatcher : private TextConnector,
                              public jsonrpc::AbstractServer<Dispatcher> {
public:
  Dispatcher()
      : jsonrpc::AbstractServer<Dispatcher>(
            static_cast<TextConnector &>(*this)) {}

  void add(const std::string &Name, RpcMethod Method, bool Notification) {
    if (Notification)
      bindAndAddNotification(
          jsonrpc::Procedure(Name, jsonrpc::PARAMS_BY_POSITION, nullptr),
          nullptr);
    else
      bindAndAddMethod(jsonrpc::Procedure(Name, jsonrpc::PARAMS_BY_POSITION,
                                          jsonrpc::JSON_OBJECT, nullptr),
                       nullptr);
    m_Methods[Name] = std::move(Method);
  }

  std::string handle(const std::string &Request, const std::string &PeerIp) {
    m_PeerIp = &PeerIp;
    std::string Response;
    OnRequest(Request, &Response);
    return Response;
  }

  void HandleMethodCall( // NOLINT(readability-identifier-naming)
      jsonrpc::Procedure &Method, const Json::Value &Input,
      Json::Value &Output) override {
    Output = m_Methods[Method.GetProcedureName()](Input, *m_PeerIp);
  }

  void HandleNotificationCall( // NOLINT(readability-identifier-naming)
      jsonrpc::Procedure &Method, const Json::Value &Input) override {
    m_Methods[Method.GetProcedureName()](Input, *m_PeerIp);
  }

private:
  std::map<std::string, RpcMethod> m_Methods;
  const std::string *m_PeerIp = nullptr;
};

RpcServer::RpcServer() : m_Dispatcher(std::make_unique<Dispatcher>()) {}
RpcServer::~RpcServer() = default;

void RpcServer::addMethod(const std::string &Name, RpcMethod Method) {
  m_Dispatcher->add(Name, std::move(Method), false);
}

void RpcServer::addNotification(const std::string &Name, RpcMethod Method) {
  m_Dispatcher->add(Name, std::move(Method), true);
}

std::string RpcServer::handle(const std::string &Request,
                              const std::string &PeerIp) {
  try {
    return m_Dispatcher->handle(Request, PeerIp);
  } catch (const std::exception &Thrown) {
    ++m_Malformed;
    Json::Value Response;
    Response["jsonrpc"] = "2.0";
    Response["id"] = Json::Value();
    Response["error"]["code"] = -32602;
    Response["error"]["message"] = Thrown.what();
    return Response.toStyledString();
  }
}

} // namespace rhubarb::net
