// Reads JSON documents of other processes over HTTP.
#pragma once

#include "net/Http.h"

#include <json/json.h>

namespace rhubarb::net {

// Returns the JSON object that "ip:port" has at Target. Once the response has
// begun, it has the time of longResponseOptions().
asio::awaitable<Result<Json::Value>> fetchJson(HttpClient &Client,
                                               std::string Address,
                                               std::string Target,
                                               Time Deadline);

} // namespace rhubarb::net
