// Structured logging through Boost.Log: one event per line on standard output,
// as key=value pairs or JSON. Logging is rate-limited and never blocks.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace rhubarb::net {

enum class Severity : std::uint8_t { Debug, Info, Warning, Error };

struct LogField {
  std::string_view m_Key; // Empty: the field is left out.
  std::string m_Value;
};

// Format and rate limit of the log.
struct LogSettings {
  std::string m_Program = "rhubarb";
  // Lowest severity that is logged: debug, info, warning or error.
  std::string m_Level = "info";
  bool m_Json = false;
  // Rate limit per event name; doubled for warnings and errors.
  int m_LinesPerSecond = 20;
  int m_Descriptor = 1; // File descriptor of the output; 1 is stdout.
};

// Initializes logging. Lines are buffered in memory until the descriptor
// accepts them; lines that exceed the buffer are dropped and counted.
void startLog(const LogSettings &Settings);

// Logs one event. The rate is limited per event name; the next line of that
// name reports the number of suppressed lines as left_out.
void logEvent(Severity Level, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

// Writes as much of the buffer as the descriptor accepts without blocking.
// Call it periodically, and before the process exits.
void flushLog();

// Returns the number of lines dropped because the buffer was full.
std::uint64_t droppedLogLines();

} // namespace rhubarb::net
