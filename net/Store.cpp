#include "net/Store.h"

#include "net/Clock.h"
#include "net/Crypto.h"

#include <charconv>

namespace rhubarb::net {
namespace {

constexpr const char *VmService = "rhubarb-vm";
constexpr const char *ServerServicePrefix = "rhubarb-servers-";

std::uint64_t readIndex(std::string_view Text) {
  std::uint64_t Index = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Index);
  return Index;
}

std::string watchQuery(std::uint64_t WatchIndex, Duration Wait) {
  if (WatchIndex == 0)
    return "";
  std::int64_t Millis = Wait / std::chrono::milliseconds(1);
  return "?index=" + std::to_string(WatchIndex) +
         "&wait=" + std::to_string(Millis) + "ms";
}

// Sends each request to one address after another until one responds.
class ConsulClient {
public:
  ConsulClient(HttpClient &Client, std::vector<std::string> Addresses,
               Duration Timeout)
      : m_Client(Client), m_Addresses(std::move(Addresses)),
        m_Timeout(Timeout) {}

  asio::awaitable<HttpResult> call(HttpRequest Request, Duration Wait) {
    HttpResult Result;
    Result.m_Failure = HttpFailure::Connect;
    SendOptions Options;
    if (Request.m_Method == "GET") // Responses to writes are short.
      Options = longResponseOptions();
    for (std::size_t I = 0; I < m_Addresses.size(); ++I) {
      const std::string &Address =
          m_Addresses[m_NextAddress % m_Addresses.size()];
      Result = co_await m_Client.send(Address, Request,
                                      now() + Wait + m_Timeout, Options);
      if (Result.m_Failure == HttpFailure::None &&
          Result.m_Response.m_Status < 500)
        break;
      ++m_NextAddress;
      // A write that may have reached the store must not be sent again.
      if (Request.m_Method != "GET" && Result.m_Failure != HttpFailure::Connect)
        break;
    }
    co_return Result;
  }

  asio::awaitable<Result<Json::Value>> list(std::string Service,
                                            std::uint64_t WatchIndex,
                                            Duration Wait,
                                            std::uint64_t *Index) {
    HttpRequest Request;
    Request.m_Target =
        "/v1/catalog/service/" + Service + watchQuery(WatchIndex, Wait);
    HttpResult Reply = co_await call(Request, Wait);
    if (Reply.m_Failure != HttpFailure::None ||
        Reply.m_Response.m_Status != 200)
      co_return Error{ErrorKind::Internal,
                      "the platform's service catalog does not respond"};
    *Index = readIndex(Reply.m_Response.header("X-Consul-Index"));
    co_return parseJson(Reply.m_Response.m_Body);
  }

private:
  HttpClient &m_Client;
  std::vector<std::string> m_Addresses;
  Duration m_Timeout;
  std::size_t m_NextAddress = 0;
};

Result<StoreValue> readValue(const HttpResponse &Response) {
  StoreValue Value;
  Value.m_WatchIndex = readIndex(Response.header("X-Consul-Index"));
  if (Response.m_Status == 404)
    return Value;
  Result<Json::Value> Json = parseJson(Response.m_Body);
  if (!Json || !Json.value().isArray() || Json.value().empty() ||
      !Json.value()[0].isObject())
    return Error{ErrorKind::Internal,
                 "the store's response is not a valid value"};
  const Json::Value &Row = Json.value()[0];
  Result<std::string> Bytes = decodeBase64(Row["Value"].asString());
  if (!Bytes)
    return Bytes.error();
  Value.m_Exists = true;
  Value.m_Value = Bytes.value();
  Value.m_ModifyIndex = Row["ModifyIndex"].asUInt64();
  return Value;
}

Directory readCatalog(const Json::Value &Vms, const Json::Value &Servers) {
  Directory Listed;
  for (const Json::Value &Row : Vms) {
    const Json::Value &Meta = Row["ServiceMeta"];
    Listed.m_Vms.push_back({Row["Address"].asString(),
                            Meta["domain"].asString(),
                            Meta["state"].asString() == "leaving"});
  }
  for (const Json::Value &Row : Servers) {
    const Json::Value &Meta = Row["ServiceMeta"];
    std::string Address = Row["Address"].asString() + ":" +
                          std::to_string(Row["ServicePort"].asUInt());
    Listed.m_Servers.push_back({Address, Meta["pool"].asString(),
                                Meta["domain"].asString(),
                                Meta["state"].asString() == "leaving"});
  }
  return Listed;
}

asio::awaitable<Result<StoreValue>> get(std::shared_ptr<ConsulClient> Consul,
                                        std::string Key,
                                        std::uint64_t WatchIndex,
                                        Duration Wait) {
  HttpRequest Request;
  Request.m_Target = "/v1/kv/" + Key + watchQuery(WatchIndex, Wait);
  HttpResult Reply = co_await Consul->call(Request, Wait);
  bool Responded =
      Reply.m_Failure == HttpFailure::None &&
      (Reply.m_Response.m_Status == 200 || Reply.m_Response.m_Status == 404);
  if (!Responded)
    co_return Error{ErrorKind::Internal,
                    "the platform's store does not respond"};
  try {
    co_return readValue(Reply.m_Response);
  } catch (const std::exception &Thrown) {
    co_return Error{ErrorKind::Internal, Thrown.what()};
  }
}

asio::awaitable<SwapStatus> swap(std::shared_ptr<ConsulClient> Consul,
                                 std::string Key, std::string Value,
                                 std::uint64_t Index) {
  HttpRequest Request;
  Request.m_Method = "PUT";
  Request.m_Target = "/v1/kv/" + Key + "?cas=" + std::to_string(Index);
  Request.m_Body = std::move(Value);
  HttpResult Reply = co_await Consul->call(Request, Duration{0});
  if (Reply.m_Failure != HttpFailure::None || Reply.m_Response.m_Status != 200)
    co_return SwapStatus::Unknown;
  co_return Reply.m_Response.m_Body.starts_with("true") ? SwapStatus::Swapped
                                                        : SwapStatus::Conflict;
}

asio::awaitable<Result<Directory>> list(std::shared_ptr<ConsulClient> Consul,
                                        std::string Region,
                                        std::uint64_t WatchIndex,
                                        Duration Wait) {
  std::uint64_t VmIndex = 0;
  std::uint64_t ServerIndex = 0;
  Result<Json::Value> Vms =
      co_await Consul->list(VmService, WatchIndex, Wait, &VmIndex);
  if (!Vms)
    co_return Vms.error();
  Result<Json::Value> Servers = co_await Consul->list(
      ServerServicePrefix + Region, 0, Duration{0}, &ServerIndex);
  if (!Servers)
    co_return Servers.error();
  try {
    Directory Listed = readCatalog(Vms.value(), Servers.value());
    Listed.m_Index = std::max(VmIndex, ServerIndex);
    co_return Listed;
  } catch (const std::exception &Thrown) {
    co_return Error{ErrorKind::Internal, Thrown.what()};
  }
}

} // namespace

Store makeConsulStore(HttpClient &Client, std::vector<std::string> Addresses,
                      Duration Timeout) {
  auto Consul =
      std::make_shared<ConsulClient>(Client, std::move(Addresses), Timeout);
  Store Created;
  Created.m_Get = [Consul](std::string Key, std::uint64_t WatchIndex,
                           Duration Wait) {
    return get(Consul, std::move(Key), WatchIndex, Wait);
  };
  Created.m_CompareAndSwap = [Consul](std::string Key, std::string Value,
                                      std::uint64_t Index) {
    return swap(Consul, std::move(Key), std::move(Value), Index);
  };
  Created.m_ListDirectory = [Consul](std::string Region,
                                     std::uint64_t WatchIndex, Duration Wait) {
    return list(Consul, std::move(Region), WatchIndex, Wait);
  };
  return Created;
}

} // namespace rhubarb::net
