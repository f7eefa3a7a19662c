// Analysis of the processes' logs: the timeline of a request with the state
// changes that affected it, and request counts by reason, cause and time.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarb::net {

// A parsed log line. The file identifies the process that wrote it.
struct LogLine {
  std::string m_Source;      // Name of the log file.
  std::int64_t m_Millis = 0; // Time of the line, Unix milliseconds.
  std::map<std::string, std::string> m_Fields;

  // Returns the value of a field, or an empty string.
  const std::string &field(const std::string &Name) const;
};

// Parses key=value or JSON lines and skips all others. A prefix before "time="
// or "{", as a test harness may add, is ignored.
std::vector<LogLine> readLogLines(std::string_view Text,
                                  const std::string &Source);

// Returns the log lines of a request in order of time, with the state changes
// that the same processes logged shortly before it and during it about its
// servers, the configuration, the control plane and the processes themselves.
std::vector<LogLine> requestTimeline(const std::vector<LogLine> &Lines,
                                     const std::string &RequestId);

// Number of completed requests with the same event, reason and route.
struct RequestCount {
  std::string m_Event;
  std::string m_Reason;
  std::string m_Route;
  int m_Count = 0;
};

// Counts request lines by event, reason and route, largest count first. Lines
// suppressed by the rate limit are not counted.
std::vector<RequestCount> countRequests(const std::vector<LogLine> &Lines);
// Returns the number of suppressed lines: the sum of the left_out fields.
std::int64_t suppressedLines(const std::vector<LogLine> &Lines);

// Number of requests of a priority and failure domain with the same cause: what
// delayed a late request most, or the reason why one failed.
struct LossCount {
  std::string m_Priority;
  std::string m_Domain; // Empty if the process's "started" line is missing.
  std::string m_Cause;  // Empty if served on time, or no objective was logged.
  int m_Count = 0;
};

// Counts requests by priority, failure domain and cause, sorted in this order.
// A late request is attributed to the first cause that applies: retried, cold
// (the server had not run the object before), waited (at the logging process,
// for a quarter of the objective or longer), queued (inside the server,
// according to its reported load), away (served in another region), slow (any
// other).
std::vector<LossCount> countLosses(const std::vector<LogLine> &Lines);

// Outcomes of the requests that the processes of one failure domain handled.
struct OutcomeCounts {
  int m_Served = 0;
  int m_Refused = 0; // Not executed, according to the response status.
  int m_Failed = 0;  // Possibly executed: a server failed, or none responded.
};

// Requests and state changes logged in one time window.
struct LogWindow {
  std::int64_t m_FromMillis = 0;
  // Outcomes by failure domain; "" if it is unknown.
  std::map<std::string, OutcomeCounts> m_ByDomain;
  // Latencies of served requests, ascending.
  std::vector<std::int64_t> m_LatenciesMillis;
  std::map<std::string, int> m_EventCounts; // State changes by event name.
};

// Groups lines into time windows and returns the windows that contain any, in
// order of time. The failure domain of a process is read from its "started"
// line.
std::vector<LogWindow> groupByWindow(const std::vector<LogLine> &Lines,
                                     std::int64_t WindowMillis);
// Formats one line for a terminal: time since StartMillis, request counts over
// all domains, 50th and 99th percentile latency in ms, request counts by
// domain, state changes.
std::string describeWindow(const LogWindow &Window, std::int64_t StartMillis);

// Formats one line for a terminal: time since StartMillis, source, event,
// fields.
std::string describeLine(const LogLine &Line, std::int64_t StartMillis);

} // namespace rhubarb::net
