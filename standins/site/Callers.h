// Simulated callers for tests. They look up entry addresses, send requests over
// reused and new connections, retry, and check the guarantees that each
// response has to meet.
#pragma once

#include "standins/site/OrganisationCheck.h"
#include "standins/site/RegionCheck.h"
#include "standins/site/Servers.h"

#include <vector>

namespace rhubarb::site {

// Parameters of a class of calls.
struct CallClass {
  std::string m_Prefix;
  std::string m_Method;
  bool m_Idempotent = true;
  // Mean call rate from each failure domain.
  double m_CallsPerSecond = 20;
  Duration m_Deadline = 3s;
  int m_Objects = 20;
  // Body size of object 0. That of object N is N + 1 times as large.
  std::size_t m_BodyBytes = 0;
};

// Locations of the callers, the lookup servers they ask and the calls they
// send.
struct CallerSettings {
  std::string m_Host;
  // Failure domains that have callers.
  std::vector<std::string> m_Domains;
  std::map<std::string, std::string> m_RegionOf;
  // Address (ip:port) of the lookup service of every node.
  std::vector<std::string> m_LookupAddresses;
  std::vector<CallClass> m_Classes;
  // Adds API keys to the calls; never null.
  OrganisationCheck *m_Organisations = nullptr;
  RegionCheck *m_Regions = nullptr; // Never null.
};

// Numbers of calls by outcome.
struct CallCounts {
  int m_Sent = 0;
  int m_Answered = 0;
  // Calls refused with a status that guarantees that the request has not run.
  int m_Refused = 0;
  int m_Failed = 0;
  // Calls whose callers wait for the response, and those of them that were
  // answered. The other callers give up after a few milliseconds.
  int m_Waiting = 0;
  int m_WaitingAnswered = 0;
  // Calls by HTTP status with reason, or by connection failure.
  std::map<std::string, int> m_ByOutcome;
};

// An attempt of a call.
struct CallTry {
  std::string m_Id;
  std::string m_Prefix;
  std::string m_VmIp;
  Time m_SentAt{0};
  Time m_EndedAt{0};
  bool m_Served = false;
};

// Sends calls and checks the responses.
class SiteCallers {
public:
  SiteCallers(asio::io_context &Io, RunRecords &Records,
              CallerSettings Settings, std::uint64_t Seed);
  void start();
  // Sends one call, with a retry if it may be retried. It is not counted.
  void sendOnce(const std::string &Domain, const CallClass &Class);
  // Stops sending new calls. Calls in flight continue.
  void stop() { m_Stopped = true; }
  int inFlight() const { return m_InFlight; }
  const CallCounts &counts() const { return m_Counts; }
  // First attempts of the calls that their callers did not abandon.
  const std::vector<CallTry> &firstTries() const { return m_FirstTries; }
  // Attempts, retries too, whose connection ended without a whole response to
  // a request that was sent.
  const std::vector<CallTry> &brokenTries() const { return m_BrokenTries; }
  // Runs the checks that need the records of the whole run. Returns every
  // violation, including those found while calls were in flight.
  std::vector<std::string> verify() const;

private:
  struct CallRecord {
    bool m_Idempotent = true;
    bool m_GuaranteedNotRun = false;
    Time m_EndedAt{0};
  };
  asio::awaitable<void> sendCalls(std::string Domain, CallClass Class);
  asio::awaitable<void> callWithRetry(std::string Domain, CallClass Class);
  asio::awaitable<Duration> callOnce(std::string Domain, CallClass Class,
                                     Duration Remaining, bool IsFirst,
                                     bool &NoRetry);
  CallCounts &countsOf(const CallClass &Class);
  asio::awaitable<std::string> lookUp(std::string Domain);
  void check(const std::string &Id, const CallClass &Class,
             const HttpResult &CallResult);

  asio::io_context &m_Io;
  RunRecords &m_Records;
  CallerSettings m_Settings;
  node::HeaderNames m_Names = platform::headerNames();
  Random m_Random;
  Reachability m_Reach;
  HttpClient m_Client;
  struct CachedLookup {
    std::vector<std::string> m_Addresses;
    Time m_ExpiresAt{0};
  };
  // Lookup responses by failure domain.
  std::map<std::string, CachedLookup> m_LookupCache;
  std::map<std::string, CallRecord> m_CallRecords;
  std::vector<std::string> m_Violations;
  // Address of the callers that change it only after a failure, by failure
  // domain and object.
  std::map<std::pair<std::string, std::uint64_t>, std::string> m_KeptAddresses;
  std::vector<CallTry> m_FirstTries;
  std::vector<CallTry> m_BrokenTries;
  CallCounts m_Counts;
  CallCounts m_SingleCounts; // Of the calls of sendOnce().
  int m_InFlight = 0;
  bool m_Stopped = false;
};

} // namespace rhubarb::site
