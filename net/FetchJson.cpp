#include "net/FetchJson.h"

#include "net/Messages.h"

namespace rhubarb::net {

asio::awaitable<Result<Json::Value>> fetchJson(HttpClient &Client,
                                               std::string Address,
                                               std::string Target,
                                               Time Deadline) {
  HttpRequest Request;
  Request.m_Target = std::move(Target);
  HttpResult Received = co_await Client.send(Address, std::move(Request),
                                             Deadline, longResponseOptions());
  if (Received.m_Failure != HttpFailure::None)
    co_return Error{ErrorKind::HomeUnreachable, "no response"};
  Result<Json::Value> Body = parseJson(Received.m_Response.m_Body);
  if (Body && !Body.value().isObject())
    co_return Error{ErrorKind::Internal, "unreadable"};
  co_return Body;
}

} // namespace rhubarb::net
