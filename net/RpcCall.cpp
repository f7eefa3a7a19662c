#include "net/RpcCall.h"

#include "net/RpcClientCodec.h"

namespace rhubarb::net {

asio::awaitable<Result<Json::Value>>
callRpc(HttpClient &Client, std::string Address, std::string Method,
        Json::Value Params, Time Deadline) {
  SendOptions Options;
  return callRpc(Client, std::move(Address), std::move(Method),
                 std::move(Params), Deadline, std::move(Options));
}

asio::awaitable<Result<Json::Value>>
callRpc(HttpClient &Client, std::string Address, std::string Method,
        Json::Value Params, Time Deadline, SendOptions Options) {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = "/rpc";
  Request.m_Body = encodeRequest(Method, Params);
  HttpResult Reply =
      co_await Client.send(Address, std::move(Request), Deadline, Options);
  if (Reply.m_Failure != HttpFailure::None)
    co_return Error{ErrorKind::HomeUnreachable,
                    Address + " did not respond to " + Method};
  RpcResponse Response = decodeResponse(Reply.m_Response.m_Body);
  if (!Response.m_Ok)
    co_return Error{ErrorKind::BadRequest, Method + ": " + Response.m_Error};
  co_return Response.m_Result;
}

} // namespace rhubarb::net
