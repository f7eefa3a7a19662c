// Callers of the platform for tests: look-ups, kept and new connections,
// retries, and the promises that each answer has to keep.
#pragma once

#include "standins/site/Servers.h"

#include <vector>

namespace rhubarb::site {

// A class of calls.
struct CallClass {
  std::string m_Prefix;
  std::string m_Method;
  bool m_Idempotent = true;
  double m_CallsPerSecond = 20; // From each failure domain.
  Duration m_Deadline = 3s;
  int m_Objects = 20;
  std::size_t m_BodyBytes = 0;
};

// Where callers are and whom they ask.
struct CallerSettings {
  std::string m_Host;
  std::vector<std::string> m_Domains; // Of callers.
  std::map<std::string, std::string> m_RegionOf;
  std::vector<std::string>
      m_LookupAddresses; // ip:port of every node's look-up.
  std::vector<CallClass> m_Classes;
};

// What became of the calls.
struct CallCounts {
  int m_Sent = 0;
  int m_Answered = 0;
  int m_Refused = 0; // With a promise that it has not run.
  int m_Failed = 0;
  std::map<std::string, int> m_ByOutcome; // Status or failure.
};

// Sends calls and checks the answers.
class SiteCallers {
public:
  SiteCallers(asio::io_context &Io, RunRecords &Records,
              CallerSettings Settings, std::uint64_t Seed);
  void start();
  // Stops sending; calls under way go on.
  void stop() { m_Stopped = true; }
  int inFlight() const { return m_InFlight; }
  const CallCounts &counts() const { return m_Counts; }
  // Checks what can only be said at the end. Returns each broken promise.
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
                                     Duration Remaining, bool &NoRetry);
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
    Time m_Until{0};
  };
  std::map<std::string, CachedLookup>
      m_LookupCache; // Look-up answers by domain.
  std::map<std::string, CallRecord> m_CallRecords;
  std::vector<std::string> m_Violations;
  CallCounts m_Counts;
  int m_InFlight = 0;
  bool m_Stopped = false;
};

} // namespace rhubarb::site
