#include "Logs.h"

#include "net/LogReader.h"
#include "net/Text.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <map>

namespace rhubarb::ctl {

using namespace rhubarb::net;

namespace {

int printRequestCounts(const std::vector<LogLine> &Lines) {
  for (const RequestCount &Row : countRequests(Lines))
    std::cout << std::setw(8) << Row.m_Count << "  " << Row.m_Event << "  "
              << Row.m_Reason << "  " << Row.m_Route << "\n";
  std::cout << suppressedLines(Lines)
            << " lines were suppressed by the rate limit\n";
  return ExitOk;
}

int printTimeWindows(const std::vector<LogLine> &Lines,
                     const std::string &WindowText) {
  constexpr std::int64_t MillisPerSecond = 1000;
  std::int64_t WindowSeconds = parseInteger(WindowText, 0);
  if (WindowSeconds <= 0) {
    std::cerr << "--every=" << WindowText
              << " is not a positive number of seconds\n";
    return ExitUsage;
  }
  std::vector<LogWindow> Windows =
      groupByWindow(Lines, WindowSeconds * MillisPerSecond);
  std::cout << "domains: served/refused/failed\n";
  for (const LogWindow &Window : Windows)
    std::cout << describeWindow(Window, Windows.front().m_FromMillis) << "\n";
  std::cout << suppressedLines(Lines)
            << " lines were suppressed by the rate limit\n";
  return ExitOk;
}

// Prints for each priority the causes of late and failed requests, most
// frequent first, with their counts by failure domain.
int printLossCauses(const std::vector<LogLine> &Lines) {
  struct CauseCount {
    int m_Count = 0;
    std::string m_DomainCounts;
  };
  std::map<std::string, std::map<std::string, CauseCount>> CausesByPriority;
  std::map<std::string, int> RequestsByPriority;
  for (const LossCount &Loss : countLosses(Lines)) {
    RequestsByPriority[Loss.m_Priority] += Loss.m_Count;
    if (Loss.m_Cause.empty())
      continue;
    CauseCount &Row = CausesByPriority[Loss.m_Priority][Loss.m_Cause];
    Row.m_Count += Loss.m_Count;
    Row.m_DomainCounts += "  " + (Loss.m_Domain.empty() ? "?" : Loss.m_Domain) +
                          " " + std::to_string(Loss.m_Count);
  }
  for (const auto &[Priority, Total] : RequestsByPriority) {
    std::cout << "rank " << Priority << ": " << Total << " requests\n";
    std::vector<std::pair<std::string, CauseCount>> Rows(
        CausesByPriority[Priority].begin(), CausesByPriority[Priority].end());
    std::stable_sort(Rows.begin(), Rows.end(),
                     [](const auto &A, const auto &B) {
                       return A.second.m_Count > B.second.m_Count;
                     });
    for (const auto &[CauseName, Row] : Rows)
      std::cout << std::setw(8) << Row.m_Count << std::setw(7) << std::fixed
                << std::setprecision(1) << 100.0 * Row.m_Count / Total << "%  "
                << CauseName << Row.m_DomainCounts << "\n";
  }
  std::cout << suppressedLines(Lines)
            << " lines were suppressed by the rate limit\n";
  return ExitOk;
}

int printTimeline(const std::vector<LogLine> &Lines,
                  const std::string &RequestId) {
  std::vector<LogLine> Timeline = requestTimeline(Lines, RequestId);
  if (Timeline.empty()) {
    std::cerr << "no log line has the request ID " << RequestId
              << "; its lines may have been suppressed by the rate limit\n";
    return ExitFailed;
  }
  for (const LogLine &Matching : Timeline)
    std::cout << describeLine(Matching, Timeline.front().m_Millis) << "\n";
  return ExitOk;
}

} // namespace

int runLogsCommand(const CommandLine &Args) {
  std::vector<LogLine> Lines;
  for (const std::string &Path : Args.list("LOG")) {
    Result<std::string> Content = readFile(Path);
    if (!Content) {
      std::cerr << Content.error().m_Message << "\n";
      return ExitUsage;
    }
    std::string FileName = Path.substr(Path.rfind('/') + 1);
    for (LogLine &Parsed : readLogLines(Content.value(), FileName))
      Lines.push_back(std::move(Parsed));
  }
  if (Args.flag("sum"))
    return printRequestCounts(Lines);
  if (Args.flag("losses"))
    return printLossCauses(Lines);
  if (Args.flag("day"))
    return printTimeWindows(Lines, Args.value("--every"));
  return printTimeline(Lines, Args.value("ID"));
}

} // namespace rhubarb::ctl
