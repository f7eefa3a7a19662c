// The frame that every daemon shares: command line, settings, logs, metrics,
// the operator's port, and a graceful stop.
#pragma once

#include "net/Http.h"
#include "net/Log.h"
#include "net/Metrics.h"
#include "net/Settings.h"

#include <json/json.h>

namespace rhubarb::net {

// Parts that a program uses while it runs.
struct Daemon {
  explicit Daemon(Settings Loaded) : m_Settings(std::move(Loaded)) {}
  asio::io_context m_Io{1};
  Settings m_Settings;
  Metrics m_Metrics;
  Reachability m_Reachability;
};

// What a program supplies. Null hooks are left out.
struct DaemonHooks {
  std::function<Result<int>()> m_Start; // A fault ends the program.
  // Runs on SIGTERM or SIGINT and returns when nothing is under way.
  std::function<asio::awaitable<void>()> m_Stop;
  std::function<Json::Value()> m_Status; // For GET /v1/status.
  std::function<void()> m_UpdateGauges;  // Before GET /metrics.
  // Other requests to the operator's port; status 404 when not known.
  std::function<asio::awaitable<HttpResponse>(HttpRequest)>
      m_HandleOperatorRequest;
};

// Name, summary and own settings of a program.
struct ProgramInfo {
  const char *m_Name;
  const char *m_Summary;
  SettingTable m_SettingTable; // Of the program; the common keys are added.
};

// Exit codes of every program.
inline constexpr int ExitOk = 0;
inline constexpr int ExitFailed = 1;
inline constexpr int ExitUsage = 2;

// Reads the command line and settings, builds the program and runs it until it
// is told to stop. Returns the exit code.
int runDaemon(int Argc, char **Argv, const ProgramInfo &Info,
              const std::function<DaemonHooks(Daemon &)> &Build);

// Reads a command line by docopt. Prints help, version or a fault and ends the
// program where docopt does; unusable words end it with ExitUsage.
struct CommandLine {
  std::map<std::string, std::string> m_Values; // Options and arguments.
  std::map<std::string, std::vector<std::string>> m_Lists;
  std::map<std::string, bool> m_Flags;

  bool flag(const std::string &Name) const;
  std::string value(const std::string &Name) const;
  std::vector<std::string> list(const std::string &Name) const;
};
CommandLine parseCommandLine(const std::string &Usage, int Argc, char **Argv);

// Starts the log, writes its lines at a steady pace while Io runs, and the last
// ones at the end.
class LogSession {
public:
  LogSession(asio::io_context &Io, const LogSettings &Settings);
  ~LogSession();
  LogSession(const LogSession &) = delete;
  LogSession &operator=(const LogSession &) = delete;
};

// Waits without blocking the thread.
asio::awaitable<void> sleepFor(Duration Length);
// Runs a task on Io and forgets it. Exceptions end up in the log.
void spawn(asio::io_context &Io, asio::awaitable<void> Task);

} // namespace rhubarb::net
