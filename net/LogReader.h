// Reads the processes' own logs: one request's timeline with the beliefs behind
// it, and sums by reason.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarb::net {

// A line of a log, by field. The file tells which process wrote it.
struct LogLine {
  std::string m_Source;      // File.
  std::int64_t m_Millis = 0; // Unix time.
  std::map<std::string, std::string> m_Fields;

  // Returns a field, or an empty text.
  const std::string &field(const std::string &Name) const;
};

// Reads key=value or JSON lines; lines of another form are left out. Text
// before "time=" (a harness may add some) is ignored.
std::vector<LogLine> readLogLines(std::string_view Text,
                                  const std::string &Source);

// Returns the lines of a request by time, with what its processes came to
// believe, shortly before and meanwhile, of the servers that it met, of the
// configuration and of the control plane.
std::vector<LogLine> requestTimeline(const std::vector<LogLine> &Lines,
                                     const std::string &RequestId);

// Count of ended requests by one of their fields.
struct RequestCount {
  std::string m_Event;
  std::string m_Reason;
  std::string m_Route;
  int m_Count = 0;
};

// Returns counts of request lines by event, reason and route, largest first.
// Lines that were left out under load are in no sum.
std::vector<RequestCount> countRequests(const std::vector<LogLine> &Lines);
// Returns how many lines were left out, as the lines after them tell.
std::int64_t suppressedLines(const std::vector<LogLine> &Lines);

// Requests of a rank and failure domain that were late or not served, by what
// cost most of their time, or by the reason of their failure.
struct LossCount {
  std::string m_Priority;
  std::string m_Domain; // "": of a process of no known one.
  std::string m_Cause;  // Empty: served on time.
  int m_Count = 0;
};

// Returns counts by rank, failure domain and cause, in this order. A late
// request counts for the first that holds: retried, cold (the server did not
// know the object), waited (here, a quarter of the objective), queued (inside
// the server, by the load that it told), away (in another region), slow.
std::vector<LossCount> countLosses(const std::vector<LogLine> &Lines);

// How requests ended at the processes of one failure domain.
struct OutcomeCounts {
  int m_Served = 0;
  int m_Refused = 0; // Not run.
  int m_Failed = 0;  // By a server, or without an answer of one.
};

// What the processes did in a span of time, and what they came to believe.
struct LogWindow {
  std::int64_t m_FromMillis = 0;
  std::map<std::string, OutcomeCounts>
      m_ByDomain;                              // "": process of no known one.
  std::vector<std::int64_t> m_LatenciesMillis; // Of the served, in order.
  std::map<std::string, int> m_EventCounts;    // Changes, by event.
};

// Returns the windows that hold lines, by time. A process's failure domain is
// known from the line that tells of its start.
std::vector<LogWindow> groupByWindow(const std::vector<LogLine> &Lines,
                                     std::int64_t WindowMillis);
// Returns a line for a terminal: time since Start, requests over all domains,
// median and ninety-ninth percentile in ms, changes of belief, domains.
std::string describeWindow(const LogWindow &Window, std::int64_t StartMillis);

// Returns a line for a terminal: time since Start, source, event, fields.
std::string describeLine(const LogLine &Line, std::int64_t StartMillis);

} // namespace rhubarb::net
