// The platform: its key-value store and its list of VMs and backend servers,
// behind hooks, so that another platform or a test can supply its own.
#pragma once

#include "net/Http.h"
#include "net/Messages.h"

namespace rhubarb::net {

// A stored value and its versions.
struct StoreValue {
  bool m_Exists = false;
  std::string m_Value;
  std::uint64_t m_ModifyIndex =
      0;                          // Version of the value, for compare-and-swap.
  std::uint64_t m_WatchIndex = 0; // Pass to the next watch.
};

// How a compare-and-swap ended.
enum class SwapStatus : std::uint8_t {
  Swapped,
  Conflict, // Another write came first.
  Unknown,  // No answer: the write may have taken effect.
};

// What the platform must offer. Every call ends by its deadline.
struct Store {
  // Reads a value. With a WatchIndex it waits up to Wait for a newer one.
  std::function<asio::awaitable<Result<StoreValue>>(
      std::string Key, std::uint64_t WatchIndex, Duration Wait)>
      m_Get;
  // Writes Value if the stored version is still Index (0: no value yet).
  std::function<asio::awaitable<SwapStatus>(std::string Key, std::string Value,
                                            std::uint64_t Index)>
      m_CompareAndSwap;
  // Lists the VMs, and the backend servers of a region. With a WatchIndex it
  // waits up to Wait for a change of the VM list.
  std::function<asio::awaitable<Result<Directory>>(
      std::string Region, std::uint64_t WatchIndex, Duration Wait)>
      m_ListDirectory;
};

// A store that speaks Consul's published HTTP API: /v1/kv with cas and index,
// /v1/catalog/service with blocking queries.
Store makeConsulStore(HttpClient &Client, std::vector<std::string> Addresses,
                      Duration Timeout);

} // namespace rhubarb::net
