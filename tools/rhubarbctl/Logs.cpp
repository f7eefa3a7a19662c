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

int printSums(const std::vector<LogLine> &Lines) {
  for (const RequestCount &Sum : countRequests(Lines))
    std::cout << std::setw(8) << Sum.m_Count << "  " << Sum.m_Event << "  "
              << Sum.m_Reason << "  " << Sum.m_Route << "\n";
  std::cout << suppressedLines(Lines) << " lines were left out under load\n";
  return ExitOk;
}

int printDay(const std::vector<LogLine> &Lines, const std::string &Every) {
  constexpr std::int64_t MillisPerSecond = 1000;
  std::int64_t Seconds = parseInteger(Every, 0);
  if (Seconds <= 0) {
    std::cerr << "--every=" << Every << " is not a number of seconds\n";
    return ExitUsage;
  }
  std::vector<LogWindow> Windows =
      groupByWindow(Lines, Seconds * MillisPerSecond);
  std::cout << "domains: served/refused/failed\n";
  for (const LogWindow &Window : Windows)
    std::cout << describeWindow(Window, Windows.front().m_FromMillis) << "\n";
  std::cout << suppressedLines(Lines) << " lines were left out under load\n";
  return ExitOk;
}

// A table for each rank: causes by count, with the failure domains.
int printLosses(const std::vector<LogLine> &Lines) {
  struct Cause {
    int m_Count = 0;
    std::string m_Domains;
  };
  std::map<std::string, std::map<std::string, Cause>> Ranks;
  std::map<std::string, int> Asked;
  for (const LossCount &Loss : countLosses(Lines)) {
    Asked[Loss.m_Priority] += Loss.m_Count;
    if (Loss.m_Cause.empty())
      continue;
    Cause &Row = Ranks[Loss.m_Priority][Loss.m_Cause];
    Row.m_Count += Loss.m_Count;
    Row.m_Domains += "  " + (Loss.m_Domain.empty() ? "?" : Loss.m_Domain) +
                     " " + std::to_string(Loss.m_Count);
  }
  for (const auto &[Rank, Total] : Asked) {
    std::cout << "rank " << Rank << ": " << Total << " requests\n";
    std::vector<std::pair<std::string, Cause>> Rows(Ranks[Rank].begin(),
                                                    Ranks[Rank].end());
    std::stable_sort(Rows.begin(), Rows.end(),
                     [](const auto &A, const auto &B) {
                       return A.second.m_Count > B.second.m_Count;
                     });
    for (const auto &[Name, Row] : Rows)
      std::cout << std::setw(8) << Row.m_Count << std::setw(7) << std::fixed
                << std::setprecision(1) << 100.0 * Row.m_Count / Total << "%  "
                << Name << Row.m_Domains << "\n";
  }
  std::cout << suppressedLines(Lines) << " lines were left out under load\n";
  return ExitOk;
}

int printTimeline(const std::vector<LogLine> &Lines, const std::string &Id) {
  std::vector<LogLine> Timeline = requestTimeline(Lines, Id);
  if (Timeline.empty()) {
    std::cerr << "no line has the id " << Id
              << "; it may have been left out under load\n";
    return ExitFailed;
  }
  for (const LogLine &Read : Timeline)
    std::cout << describeLine(Read, Timeline.front().m_Millis) << "\n";
  return ExitOk;
}

} // namespace

int readLogs(const CommandLine &Line) {
  std::vector<LogLine> Lines;
  for (const std::string &Name : Line.list("LOG")) {
    Result<std::string> Text = readFile(Name);
    if (!Text) {
      std::cerr << Text.error().m_Message << "\n";
      return ExitUsage;
    }
    std::string Short = Name.substr(Name.rfind('/') + 1);
    for (LogLine &Read : readLogLines(Text.value(), Short))
      Lines.push_back(std::move(Read));
  }
  if (Line.flag("sum"))
    return printSums(Lines);
  if (Line.flag("losses"))
    return printLosses(Lines);
  if (Line.flag("day"))
    return printDay(Lines, Line.value("--every"));
  return printTimeline(Lines, Line.value("ID"));
}

} // namespace rhubarb::ctl
