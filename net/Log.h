// Structured logs through Boost.Log: one event a line on the standard output,
// key=value or JSON. Bounded in volume, and never blocking.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace rhubarb::net {

// How much an event matters.
enum class Severity : std::uint8_t { Debug, Info, Warning, Error };

// One field of an event.
struct LogField {
  std::string_view m_Key;
  std::string m_Value;
};

// Form and volume of the log.
struct LogSettings {
  std::string m_Program = "rhubarb";
  std::string m_Level = "info"; // debug, info, warning, error.
  bool m_Json = false;
  int m_LinesPerSecond = 20; // Of one event name; warnings get twice that.
  int m_Descriptor = 1;      // The standard output.
};

// Starts the log. Lines are kept in memory and written when the reader takes
// them; beyond a bound they are dropped and counted.
void startLog(const LogSettings &Settings);

// Writes one event. Events of one name are limited to a few a second; the next
// line of that name tells how many were left out.
void logEvent(Severity Level, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

// Hands kept lines to the descriptor, as many as it takes at once. Call at a
// steady pace, and before the process ends.
void flushLog();

// Lines that were lost because nobody read them.
std::uint64_t droppedLogLines();

} // namespace rhubarb::net
