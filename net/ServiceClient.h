// The client library: cached look-ups, keys, truthful retries.
#pragma once

#include "net/Http.h"
#include "net/Messages.h"
#include "rhubarb/Retry.h"

namespace rhubarb::net {

// Where a caller looks up, and how long it tries.
struct ServiceClientOptions {
  std::vector<std::string>
      m_LookupAddresses;    // "ip:port" of look-up processes, in order.
  std::string m_BindIp;     // Own IP number; empty: any.
  Duration m_Deadline = 2s; // Of one call, with all of its attempts.
  int m_MaxAttempts = 6;
  RetryLimits m_RetryLimits = {0.2, 20.0, 5.0};
};

// One call to make.
struct Call {
  std::string m_Service;
  std::string m_Method = "POST";
  std::string m_Target = "/";
  std::string m_Body;
  std::string m_Trace; // Reaches the backend server; empty: made up.
};

// How a call ended, after all of its attempts.
struct CallResult {
  Outcome m_Outcome = Outcome::NotRun;
  std::string m_Reason;   // Name of the error kind; empty with Answered.
  std::string m_Priority; // Of the service.
  int m_Status = 0;
  int m_Attempts = 0;
  Duration m_Latency{0};
  std::string m_Body;
};

// Makes calls; one for each thread.
class ServiceClient {
public:
  ServiceClient(asio::io_context &Io, const Reachability &Reach,
                ServiceClientOptions Options);
  // Makes one call. Sends it again only when that is safe: the request is
  // idempotent, or it carries the same key, or it is known not to have run.
  asio::awaitable<CallResult> call(Call Request);

private:
  struct Cached {
    std::vector<std::string> m_Entries;
    std::string m_Home;
    std::string m_Priority;
    bool m_NeedsKey = true;
    Time m_Until{0};
    RetryBudget m_Budget;
  };
  struct Attempt {
    bool m_MayHaveRun = false; // This attempt may have run.
    bool m_Final = false;
    Duration m_ComeBack{0};
    bool m_NewHome = false; // The key's home is gone.
  };

  asio::awaitable<Cached *> lookUp(const std::string &Service, bool Refresh,
                                   Time Deadline);
  std::vector<std::string> lookupOrder() const;
  // Picks the first entry VM of the look-up's order that has not just failed.
  std::string chooseEntry(const Cached &Known, int Tries) const;
  // Gets a key home from an entry VM that is known to answer.
  asio::awaitable<std::string> keyHomeFrom(std::string Entry, Time Deadline);
  Attempt judge(const HttpResult &Got, bool NeedsKey, CallResult &End) const;

  HttpClient m_Client;
  ServiceClientOptions m_Options;
  std::map<std::string, Cached> m_Cache;
  std::map<std::string, Time> m_AvoidUntil; // Addresses that did not answer.
  Random m_Random;
};

} // namespace rhubarb::net
