// JSON-RPC calls over HTTP to other processes of the system.
#pragma once

#include "net/Http.h"

#include <json/json.h>

namespace rhubarb::net {

// Calls Method at "ip:port" and returns its result. Results whose length grows
// with the configuration or the fleet need longResponseOptions().
asio::awaitable<Result<Json::Value>> callRpc(HttpClient &Client,
                                             std::string Address,
                                             std::string Method,
                                             Json::Value Params, Time Deadline);
asio::awaitable<Result<Json::Value>>
callRpc(HttpClient &Client, std::string Address, std::string Method,
        Json::Value Params, Time Deadline, SendOptions Options);

} // namespace rhubarb::net
