#include "net/RpcCall.h"

#include "net/RpcClientCodec.h"

namespace rhubarb::net {

asio::awaitable<Result<Json::Value>>
callRpc(HttpClient &Client, std::string Address, std::string Method,
        Json::Value Params, Time Deadline) {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = "/rpc";
  Request.m_Body = encodeRequest(Method, Params);
  HttpResult Got = co_await Client.send(Address, std::move(Request), Deadline);
  if (Got.m_Failure != HttpFailure::None)
    co_return Error{ErrorKind::HomeUnreachable,
                    Address + " does not answer " + Method};
  RpcResponse Answer = decodeResponse(Got.m_Response.m_Body);
  if (!Answer.m_Ok)
    co_return Error{ErrorKind::BadRequest, Method + ": " + Answer.m_Error};
  co_return Answer.m_Result;
}

} // namespace rhubarb::net
