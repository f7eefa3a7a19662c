// Client library: cached look-ups, idempotency keys and safe retries.
#pragma once

#include "net/Http.h"
#include "net/Messages.h"
#include "rhubarb/Retry.h"

namespace rhubarb::net {

// Look-up addresses, deadline and retry limits of a client.
struct ServiceClientOptions {
  // "ip:port" of the look-up processes, nearest first.
  std::vector<std::string> m_LookupAddresses;
  std::string m_BindIp;     // Local IP address to bind to; empty: any.
  Duration m_Deadline = 2s; // Limit on one call with all of its attempts.
  int m_MaxAttempts = 6;
  RetryLimits m_RetryLimits = {0.2, 20.0, 5.0};
};

// A request to a service.
struct Call {
  std::string m_Service;
  std::string m_Method = "POST";
  std::string m_Target = "/";
  std::string m_Body;
  std::string m_Trace; // Trace id for the backend server; empty: random.
};

// Result of a call after all of its attempts.
struct CallResult {
  Outcome m_Outcome = Outcome::NotRun;
  std::string m_Reason;   // Name of the error kind; empty if Answered.
  std::string m_Priority; // Priority of the service.
  int m_Status = 0;
  int m_Attempts = 0;
  Duration m_Latency{0};
  std::string m_Body;
};

// Calls services. Not thread-safe; use one for each thread.
class ServiceClient {
public:
  ServiceClient(asio::io_context &Io, const Reachability &Reach,
                ServiceClientOptions Options);
  // Makes one call. Retries only when that is safe: the request is idempotent,
  // carries the same key, or is known not to have run.
  asio::awaitable<CallResult> call(Call Request);

private:
  struct CachedLookup {
    std::vector<std::string> m_EntryAddresses;
    std::string m_KeyPrefix;
    std::string m_Priority;
    bool m_NeedsKey = true;
    Time m_ExpiresAt{0};
    RetryBudget m_Budget;
  };
  struct AttemptResult {
    bool m_MayHaveRun = false; // A backend server may have run the request.
    bool m_Final = false;
    Duration m_RetryDelay{0};
    bool m_HomeGone = false; // The home of the key no longer exists.
  };

  asio::awaitable<CachedLookup *> lookUp(const std::string &Service,
                                         bool Refresh, Time Deadline);
  std::vector<std::string> lookupOrder() const;
  // Returns the first entry VM, in the order of the look-up, that has not
  // failed recently. If all have, Attempts selects one.
  std::string chooseEntry(const CachedLookup &Lookup, int Attempts) const;
  // Requests a key prefix from an entry VM. Returns an empty string on failure.
  asio::awaitable<std::string> requestKeyPrefix(std::string Entry,
                                                Time Deadline);
  AttemptResult classifyAttempt(const HttpResult &Reply, bool NeedsKey,
                                CallResult &Result) const;

  HttpClient m_Client;
  ServiceClientOptions m_Options;
  std::map<std::string, CachedLookup> m_Cache;
  // End of the time for which an address that did not respond is avoided.
  std::map<std::string, Time> m_AvoidUntil;
  Random m_Random;
};

} // namespace rhubarb::net
