// Structured logs through Boost.Log: one event a line, key=value or JSON.
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

// Sets level (debug, info, warning, error), form (text, json) and program name.
// Lines go to the standard error stream.
void startLog(std::string_view Program, std::string_view Level,
              std::string_view Form);

// Writes one event. Events of one name are limited to a few a second; the next
// line of that name tells how many were left out.
void logEvent(Severity Level, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

} // namespace rhubarb::net
