#include "net/Log.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>

#include <cerrno>
#include <chrono>
#include <ctime>
#include <fcntl.h>
#include <map>
#include <poll.h>
#include <unistd.h>

namespace rhubarb::net {
namespace {

namespace logging = boost::log;

constexpr std::string_view LevelNames[] = {"debug", "info", "warning", "error"};
constexpr std::size_t MaxPendingBytes = 256U << 10U;
// A pipe accepts a write of up to this size whole or not at all (PIPE_BUF).
constexpr std::size_t MaxWriteBytes = 4096;

struct EventRate {
  std::int64_t m_Second = 0;
  int m_Lines = 0;
  int m_Suppressed = 0;
};

LogSettings Settings;
Severity MinimumLevel = Severity::Info;
std::string PendingLines; // Formatted lines that are not yet written.
std::uint64_t DroppedLines = 0;

// Buffers lines in memory until flushLog() writes them.
class BufferingBackend : public logging::sinks::basic_formatted_sink_backend<
                             char, logging::sinks::concurrent_feeding> {
public:
  void consume(const logging::record_view &, const string_type &Line) {
    if (PendingLines.size() + Line.size() + 1 > MaxPendingBytes) {
      ++DroppedLines;
      return;
    }
    PendingLines += Line;
    PendingLines += '\n';
  }
};

std::string quoteJson(std::string_view Text) {
  std::string Quoted = "\"";
  for (char C : Text) {
    if (C == '"' || C == '\\')
      Quoted += '\\';
    Quoted += static_cast<unsigned char>(C) < ' ' ? ' ' : C;
  }
  return Quoted + "\"";
}

std::string quoteText(std::string_view Text) {
  bool Plain = Text.find_first_of(" \"=\n\t") == std::string_view::npos;
  return Plain && !Text.empty() ? std::string(Text) : quoteJson(Text);
}

std::string timeText() {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  auto Millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now).count();
  std::time_t Seconds = static_cast<std::time_t>(Millis / 1000);
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  char Buffer[40];
  std::size_t Length = std::strftime(Buffer, sizeof(Buffer), "%FT%T", &Parts);
  std::string Fraction = std::to_string(1000 + Millis % 1000).substr(1);
  return std::string(Buffer, Length) + "." + Fraction + "Z";
}

void appendField(std::string &Line, std::string_view Key,
                 std::string_view Value) {
  if (Settings.m_Json) {
    Line += Line.empty() ? "{" : ",";
    Line += quoteJson(Key) + ":" + quoteJson(Value);
  } else {
    Line += Line.empty() ? "" : " ";
    Line += Key;
    Line += '=';
    Line += quoteText(Value);
  }
}

// Applies the rate limit of an event. Returns false if the line is suppressed.
bool admitLine(EventRate &Rate, Severity Level) {
  std::int64_t Second = std::time(nullptr);
  if (Rate.m_Second != Second) {
    Rate.m_Second = Second;
    Rate.m_Lines = 0;
  }
  int Limit = Settings.m_LinesPerSecond * (Level >= Severity::Warning ? 2 : 1);
  if (++Rate.m_Lines <= Limit)
    return true;
  ++Rate.m_Suppressed;
  return false;
}

bool isWritable(int Descriptor) {
  pollfd Poll{Descriptor, POLLOUT, 0};
  return poll(&Poll, 1, 0) == 1 && (Poll.revents & POLLOUT) != 0;
}

} // namespace

void startLog(const LogSettings &NewSettings) {
  Settings = NewSettings;
  for (std::size_t I = 0; I < std::size(LevelNames); ++I)
    if (LevelNames[I] == Settings.m_Level)
      MinimumLevel = static_cast<Severity>(I);
  using Sink = logging::sinks::unlocked_sink<BufferingBackend>;
  auto NewSink =
      boost::make_shared<Sink>(boost::make_shared<BufferingBackend>());
  NewSink->set_formatter(logging::expressions::stream
                         << logging::expressions::smessage);
  logging::core::get()->remove_all_sinks();
  logging::core::get()->add_sink(NewSink);
}

void logEvent(Severity Level, std::string_view Event,
              std::initializer_list<LogField> Fields) {
  if (Level < MinimumLevel)
    return;
  static std::map<std::string, EventRate, std::less<>> Rates;
  auto Rate = Rates.find(Event);
  if (Rate == Rates.end())
    Rate = Rates.emplace(std::string(Event), EventRate{}).first;
  if (!admitLine(Rate->second, Level))
    return;
  std::string Line;
  appendField(Line, "time", timeText());
  appendField(Line, "level", LevelNames[static_cast<std::size_t>(Level)]);
  appendField(Line, "program", Settings.m_Program);
  appendField(Line, "event", Event);
  for (const LogField &Field : Fields)
    if (!Field.m_Key.empty())
      appendField(Line, Field.m_Key, Field.m_Value);
  if (Rate->second.m_Suppressed > 0)
    appendField(Line, "left_out",
                std::to_string(std::exchange(Rate->second.m_Suppressed, 0)));
  if (Settings.m_Json)
    Line += "}";
  static logging::sources::logger Logger;
  BOOST_LOG(Logger) << Line;
}

// Other processes share the descriptor, so it must not be made non-blocking.
// Instead, poll() checks whether it is writable, and each write is small enough
// for a pipe to accept it whole.
void flushLog() {
  std::size_t Written = 0;
  while (Written < PendingLines.size() && isWritable(Settings.m_Descriptor)) {
    std::size_t Size = std::min(MaxWriteBytes, PendingLines.size() - Written);
    ssize_t Count =
        write(Settings.m_Descriptor, PendingLines.data() + Written, Size);
    if (Count <= 0 && errno != EINTR)
      break;
    Written += static_cast<std::size_t>(std::max<ssize_t>(Count, 0));
  }
  PendingLines.erase(0, Written);
}

std::uint64_t droppedLogLines() { return DroppedLines; }

} // namespace rhubarb::net
