// A test double of the platform's metadata store: keys with revisions, leases,
// watches, transactions and injected faults.
#pragma once

#include "net/Http.h"

#include <json/json.h>

#include <deque>
#include <map>
#include <set>

namespace rhubarb::site {

using namespace rhubarb::net;

// Injected failure of calls to the store.
enum class StoreFault : std::uint8_t {
  None,
  Silent,
  Busy,
  TooManyRequests,
  Reset
};
std::string_view storeFaultName(StoreFault Value);

// Injected faults. m_ClientIps limits them to some VMs.
struct StoreFaults {
  StoreFault m_Kind = StoreFault::None;
  Duration m_Delay{0};
  // Share of writes that take effect but get no response.
  double m_LostResponseShare = 0;
  // IP addresses of the clients affected; empty means all.
  std::set<std::string> m_ClientIps;
};

// The state of the store and its HTTP server.
class KvStore {
public:
  KvStore(asio::io_context &Io, std::uint64_t Seed);
  Result<std::uint16_t> start(const std::string &Ip, std::uint16_t Port);

  // Writes of the operator and of backend servers, made without HTTP. The
  // returned revision acknowledges them.
  std::uint64_t put(const std::string &Key, const std::string &Value,
                    std::uint64_t LeaseId = 0);
  std::uint64_t remove(const std::string &Key);
  void setFaults(StoreFaults Faults) { m_Faults = std::move(Faults); }
  // Replaces a value without a new revision and without an event.
  void refresh(const std::string &Key, const std::string &Value);
  // Returns a key's value, or an empty string.
  std::string value(const std::string &Key) const;
  // Saves a copy of the whole state, for restore(). Old copies are dropped.
  void saveCopy();
  // Replaces the state by the newest copy that is at least Age old, or else by
  // the oldest one, and starts the next era.
  void restore(Duration Age);
  // Discards the event history. Watches from older revisions get a 410 and must
  // start over.
  void forgetHistory();
  // Ends expired leases and removes their keys.
  void expireLeases();
  int calls() const { return m_Calls; }
  std::uint64_t revision() const { return m_State.m_Revision; }

private:
  struct Item {
    std::string m_Value;
    std::uint64_t m_Revision = 0;
    std::uint64_t m_Created = 0;
    std::uint64_t m_Lease = 0;
  };
  struct Change {
    std::string m_Key;
    std::uint64_t m_Revision = 0;
    bool m_Removed = false;
  };
  struct Lease {
    Duration m_Ttl{0};
    Time m_ExpiresAt{0};
  };
  // What a copy holds, and a restore brings back.
  struct State {
    std::map<std::string, Item> m_Items;
    std::deque<Change> m_History;
    // Events up to this revision have been discarded.
    std::uint64_t m_ForgottenRevision = 0;
    std::map<std::uint64_t, Lease> m_Leases;
    std::uint64_t m_Revision = 1;
    std::uint64_t m_LastLease = 0;
  };

  asio::awaitable<HttpResponse> serve(HttpRequest Request);
  asio::awaitable<HttpResponse> respond(HttpRequest Request);
  asio::awaitable<HttpResponse> watch(HttpRequest Request);
  HttpResponse range(const HttpRequest &Request) const;
  HttpResponse transact(const HttpRequest &Request);
  HttpResponse lease(const HttpRequest &Request);
  Json::Value itemJson(const std::string &Key, const Item &Stored) const;

  Reachability m_Reach;
  HttpServer m_Server;
  Random m_Random;
  StoreFaults m_Faults;
  State m_State;
  std::deque<std::pair<Time, State>> m_Copies; // Oldest first.
  std::uint64_t m_Era = 1;
  int m_Calls = 0;
};

} // namespace rhubarb::site
