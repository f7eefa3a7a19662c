// The lines that a test logs.
#pragma once

#include "net/Log.h"

#include <doctest/doctest.h>

#include <fcntl.h>
#include <unistd.h>

namespace rhubarb::test {

using namespace rhubarb::net;

// Both ends of a pipe, closed at the end of the scope.
struct Pipe {
  Pipe() { REQUIRE(pipe(m_Ends) == 0); }
  ~Pipe() {
    close(m_Ends[0]);
    close(m_Ends[1]);
    startLog({}); // Restores standard output for later tests.
  }
  std::string readAll() const {
    std::string Text;
    char Buffer[4096];
    fcntl(m_Ends[0], F_SETFL, O_NONBLOCK);
    for (ssize_t Size = 0;
         (Size = read(m_Ends[0], Buffer, sizeof(Buffer))) > 0;)
      Text.append(Buffer, static_cast<std::size_t>(Size));
    return Text;
  }
  // Flushes the log, which may hold more than the pipe does, and reads it all.
  std::string drain() const {
    std::string Text;
    std::string Part;
    do {
      flushLog();
      Part = readAll();
      Text += Part;
    } while (!Part.empty());
    return Text;
  }
  int m_Ends[2] = {-1, -1};
};

inline LogSettings settingsFor(const Pipe &Output, int LinesPerSecond) {
  LogSettings Settings;
  Settings.m_Program = "test";
  Settings.m_LinesPerSecond = LinesPerSecond;
  Settings.m_Descriptor = Output.m_Ends[1];
  return Settings;
}

} // namespace rhubarb::test
