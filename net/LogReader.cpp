#include "net/LogReader.h"

#include "net/Messages.h"
#include "net/Text.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <set>

namespace rhubarb::net {
namespace {

// State changes logged earlier than this before the request are not shown.
constexpr std::int64_t StateChangeLookbackMillis = 5000;

// Events that concern a process's whole state rather than one server.
constexpr std::array<std::string_view, 15> GlobalEvents{
    "config_in_force", "config_unreadable", "evacuated_domains", "store_lost",
    "store_regained",  "list_from_peer",    "servers_listed",    "started",
    "stopping",        "port_closed",       "drained",           "stopped",
    "stood_still",     "settings_taken",    "vm_state"};

// Statuses that guarantee that the request was not executed.
constexpr std::array<std::string_view, 4> NotExecutedStatuses{"408", "421",
                                                              "429", "503"};

// Parses "2026-08-27T12:39:48.167Z". Returns 0 for anything else.
std::int64_t parseTime(const std::string &Text) {
  std::tm Parts{};
  const char *Rest = strptime(Text.c_str(), "%Y-%m-%dT%H:%M:%S", &Parts);
  if (Rest == nullptr)
    return 0;
  std::int64_t Millis = static_cast<std::int64_t>(timegm(&Parts)) * 1000;
  if (*Rest == '.')
    Millis += parseInteger(std::string_view(Rest + 1, 3), 0);
  return Millis;
}

// Parses key=value pairs. Values may be quoted.
std::map<std::string, std::string> parsePairs(std::string_view Text) {
  std::map<std::string, std::string> Fields;
  std::size_t Position = 0;
  while (Position < Text.size()) {
    std::size_t Equals = Text.find('=', Position);
    if (Equals == std::string_view::npos)
      break;
    std::string Key(Text.substr(Position, Equals - Position));
    std::string Value;
    Position = Equals + 1;
    bool Quoted = Position < Text.size() && Text[Position] == '"';
    for (Position += Quoted ? 1 : 0; Position < Text.size(); ++Position) {
      if (Quoted && Text[Position] == '\\' && Position + 1 < Text.size())
        Value += Text[++Position];
      else if (Text[Position] == (Quoted ? '"' : ' '))
        break;
      else
        Value += Text[Position];
    }
    Fields[Key] = Value;
    Position = std::min(Text.find_first_not_of(' ', Position + 1), Text.size());
  }
  return Fields;
}

std::map<std::string, std::string> parseFields(std::string_view Line) {
  std::size_t Brace = Line.find('{');
  std::size_t Start = Line.find("time=");
  if (Start != std::string_view::npos &&
      (Brace == std::string_view::npos || Start < Brace))
    return parsePairs(Line.substr(Start));
  std::map<std::string, std::string> Fields;
  if (Brace == std::string_view::npos)
    return Fields;
  Result<Json::Value> Json = parseJson(std::string(Line.substr(Brace)));
  if (!Json || !Json.value().isObject())
    return Fields;
  for (const std::string &Name : Json.value().getMemberNames())
    if (Json.value()[Name].isString())
      Fields[Name] = Json.value()[Name].asString();
  return Fields;
}

// Returns the failure domain of each process, read from its "started" line.
std::map<std::string, std::string>
domainsOf(const std::vector<LogLine> &Lines) {
  std::map<std::string, std::string> Domains;
  for (const LogLine &Line : Lines)
    if (Line.field("event") == "started")
      Domains[Line.m_Source] = Line.field("domain");
  return Domains;
}

// Returns whether a reported load, "running,waiting,slots", includes waiting
// requests.
bool hasQueuedRequests(const std::string &Load) {
  std::vector<std::string> Parts = splitCommas(Load);
  return Parts.size() == 3 && parseInteger(Parts[1], 0) > 0;
}

std::string lossCause(const LogLine &Line) {
  if (Line.field("event") != "request_served")
    return Line.field("reason");
  std::int64_t Elapsed = parseInteger(Line.field("ms"), 0);
  std::int64_t Objective = parseInteger(Line.field("objective_ms"), Elapsed);
  if (Elapsed <= Objective)
    return {};
  if (parseInteger(Line.field("tries"), 1) > 1)
    return "retried";
  if (Line.field("warm") == "no")
    return "cold";
  if (parseInteger(Line.field("waited_ms"), 0) * 4 >= Objective)
    return "waited";
  if (hasQueuedRequests(Line.field("told_load")))
    return "queued";
  return Line.field("away") == "yes" ? "away" : "slow";
}

} // namespace

const std::string &LogLine::field(const std::string &Name) const {
  static const std::string Empty;
  auto Field = m_Fields.find(Name);
  return Field == m_Fields.end() ? Empty : Field->second;
}

std::vector<LogLine> readLogLines(std::string_view Text,
                                  const std::string &Source) {
  std::vector<LogLine> Lines;
  while (!Text.empty()) {
    std::size_t End = std::min(Text.find('\n'), Text.size());
    LogLine Line;
    Line.m_Source = Source;
    Line.m_Fields = parseFields(Text.substr(0, End));
    Line.m_Millis = parseTime(Line.field("time"));
    Text.remove_prefix(std::min(End + 1, Text.size()));
    if (Line.m_Millis > 0 && !Line.field("event").empty())
      Lines.push_back(std::move(Line));
  }
  return Lines;
}

std::vector<LogLine> requestTimeline(const std::vector<LogLine> &Lines,
                                     const std::string &RequestId) {
  std::set<std::string> Sources;
  std::set<std::string> Servers;
  std::int64_t FirstMillis = 0;
  std::int64_t LastMillis = 0;
  for (const LogLine &Line : Lines) {
    if (Line.field("id") != RequestId)
      continue;
    Sources.insert(Line.m_Source);
    Servers.insert(Line.field("server"));
    std::int64_t StartMillis =
        Line.m_Millis - parseInteger(Line.field("ms"), 0);
    FirstMillis =
        FirstMillis == 0 ? StartMillis : std::min(FirstMillis, StartMillis);
    LastMillis = std::max(LastMillis, Line.m_Millis);
  }
  std::vector<LogLine> Timeline;
  for (const LogLine &Line : Lines) {
    bool IsRequestLine = Line.field("id") == RequestId;
    bool NearRequest =
        Sources.contains(Line.m_Source) && Line.field("id").empty() &&
        Line.m_Millis >= FirstMillis - StateChangeLookbackMillis &&
        Line.m_Millis <= LastMillis;
    bool IsRequestServer =
        !Line.field("server").empty() && Servers.contains(Line.field("server"));
    bool IsGlobalEvent = std::find(GlobalEvents.begin(), GlobalEvents.end(),
                                   Line.field("event")) != GlobalEvents.end();
    if (IsRequestLine || (NearRequest && (IsRequestServer || IsGlobalEvent)))
      Timeline.push_back(Line);
  }
  std::stable_sort(Timeline.begin(), Timeline.end(),
                   [](const LogLine &A, const LogLine &B) {
                     return A.m_Millis < B.m_Millis;
                   });
  return Timeline;
}

std::vector<RequestCount> countRequests(const std::vector<LogLine> &Lines) {
  std::map<std::array<std::string, 3>, int> Counts;
  for (const LogLine &Line : Lines)
    if (Line.field("event").starts_with("request_"))
      ++Counts[{Line.field("event"), Line.field("reason"),
                Line.field("route")}];
  std::vector<RequestCount> RequestCounts;
  RequestCounts.reserve(Counts.size());
  for (const auto &[Key, Count] : Counts)
    RequestCounts.push_back({Key[0], Key[1], Key[2], Count});
  std::stable_sort(RequestCounts.begin(), RequestCounts.end(),
                   [](const RequestCount &A, const RequestCount &B) {
                     return A.m_Count > B.m_Count;
                   });
  return RequestCounts;
}

std::int64_t suppressedLines(const std::vector<LogLine> &Lines) {
  std::int64_t Sum = 0;
  for (const LogLine &Line : Lines)
    Sum += parseInteger(Line.field("left_out"), 0);
  return Sum;
}

std::vector<LossCount> countLosses(const std::vector<LogLine> &Lines) {
  std::map<std::string, std::string> Domains = domainsOf(Lines);
  std::map<std::array<std::string, 3>, int> Counts;
  for (const LogLine &Line : Lines)
    if (Line.field("event").starts_with("request_"))
      ++Counts[{Line.field("rank"), Domains[Line.m_Source], lossCause(Line)}];
  std::vector<LossCount> Losses;
  Losses.reserve(Counts.size());
  for (const auto &[Key, Count] : Counts)
    Losses.push_back({Key[0], Key[1], Key[2], Count});
  return Losses;
}

std::vector<LogWindow> groupByWindow(const std::vector<LogLine> &Lines,
                                     std::int64_t WindowMillis) {
  std::map<std::string, std::string> Domains = domainsOf(Lines);
  std::map<std::int64_t, LogWindow> Windows;
  for (const LogLine &Line : Lines) {
    std::int64_t From = Line.m_Millis / WindowMillis * WindowMillis;
    LogWindow &Window = Windows[From];
    Window.m_FromMillis = From;
    const std::string &Event = Line.field("event");
    if (!Event.starts_with("request_")) {
      if (Line.field("id").empty())
        ++Window.m_EventCounts[Event];
      continue;
    }
    OutcomeCounts &Counts = Window.m_ByDomain[Domains[Line.m_Source]];
    bool Refused =
        std::find(NotExecutedStatuses.begin(), NotExecutedStatuses.end(),
                  Line.field("status")) != NotExecutedStatuses.end();
    if (Event == "request_served") {
      ++Counts.m_Served;
      Window.m_LatenciesMillis.push_back(parseInteger(Line.field("ms"), 0));
    } else {
      ++(Refused ? Counts.m_Refused : Counts.m_Failed);
    }
  }
  std::vector<LogWindow> SortedWindows;
  SortedWindows.reserve(Windows.size());
  for (auto &[From, Window] : Windows) {
    std::sort(Window.m_LatenciesMillis.begin(), Window.m_LatenciesMillis.end());
    SortedWindows.push_back(std::move(Window));
  }
  return SortedWindows;
}

std::string describeWindow(const LogWindow &Window, std::int64_t StartMillis) {
  OutcomeCounts Total;
  std::string ByDomain;
  for (const auto &[Domain, Counts] : Window.m_ByDomain) {
    Total.m_Served += Counts.m_Served;
    Total.m_Refused += Counts.m_Refused;
    Total.m_Failed += Counts.m_Failed;
    ByDomain += "  " + (Domain.empty() ? "?" : Domain) + " " +
                std::to_string(Counts.m_Served) + "/" +
                std::to_string(Counts.m_Refused) + "/" +
                std::to_string(Counts.m_Failed);
  }
  auto Percentile = [&](std::size_t Percent) {
    const auto &Latencies = Window.m_LatenciesMillis;
    return Latencies.empty()
               ? std::int64_t{0}
               : Latencies[(Latencies.size() - 1) * Percent / 100];
  };
  std::string Text = std::to_string(Window.m_FromMillis - StartMillis) +
                     " ms  served " + std::to_string(Total.m_Served) +
                     " refused " + std::to_string(Total.m_Refused) +
                     " failed " + std::to_string(Total.m_Failed) + "  p50 " +
                     std::to_string(Percentile(50)) + " p99 " +
                     std::to_string(Percentile(99)) + " " + ByDomain;
  for (const auto &[Event, Count] : Window.m_EventCounts)
    Text += "  " + Event + " " + std::to_string(Count);
  return Text;
}

std::string describeLine(const LogLine &Line, std::int64_t StartMillis) {
  std::string Text = std::to_string(Line.m_Millis - StartMillis) + " ms  " +
                     Line.m_Source + "  " + Line.field("event");
  for (const auto &[Key, Value] : Line.m_Fields)
    if (Key != "time" && Key != "level" && Key != "program" && Key != "event")
      Text += " " + Key + "=" + Value;
  return Text;
}

} // namespace rhubarb::net
