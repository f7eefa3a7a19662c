// Interface to the platform's key-value store and its catalog of VMs and
// backend servers. Its operations are functions, so that another platform or a
// test can supply its own.
#pragma once

#include "net/Http.h"
#include "net/Messages.h"

namespace rhubarb::net {

// A stored value and its versions.
struct StoreValue {
  bool m_Exists = false;
  std::string m_Value;
  std::uint64_t m_ModifyIndex = 0; // Version of the value for m_CompareAndSwap.
  std::uint64_t m_WatchIndex = 0;  // Index to pass to the next m_Get.
};

// Result of a compare-and-swap.
enum class SwapStatus : std::uint8_t {
  Swapped,
  Conflict, // Another write changed the value first.
  Unknown,  // No response was received; the write may have taken effect.
};

// Operations that the platform must provide. Every call returns by its
// deadline, and a read later if its response goes on arriving.
struct Store {
  // Reads a value. If WatchIndex is not 0, waits up to Wait for a newer value.
  std::function<asio::awaitable<Result<StoreValue>>(
      std::string Key, std::uint64_t WatchIndex, Duration Wait)>
      m_Get;
  // Writes Value if the stored version is still Index (0: no value yet).
  std::function<asio::awaitable<SwapStatus>(std::string Key, std::string Value,
                                            std::uint64_t Index)>
      m_CompareAndSwap;
  // Lists the VMs, and the backend servers of a region. If WatchIndex is not 0,
  // waits up to Wait for a change of the VM list.
  std::function<asio::awaitable<Result<Directory>>(
      std::string Region, std::uint64_t WatchIndex, Duration Wait)>
      m_ListDirectory;
};

// Returns a store that uses Consul's public HTTP API: /v1/kv with cas and
// index, /v1/catalog/service with blocking queries. A read without
// a response by Timeout after its wait goes to the next address; once its
// response has begun, it has the time of longResponseOptions().
Store makeConsulStore(HttpClient &Client, std::vector<std::string> Addresses,
                      Duration Timeout);

} // namespace rhubarb::net
