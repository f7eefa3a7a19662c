// Common runtime of all daemons: command line, settings, logs, metrics, the
// operator port and graceful shutdown.
#pragma once

#include "net/Http.h"
#include "net/Log.h"
#include "net/Metrics.h"
#include "net/Settings.h"

#include <json/json.h>

namespace rhubarb::net {

// State shared by the components of a running program.
struct Daemon {
  explicit Daemon(Settings Loaded) : m_Settings(std::move(Loaded)) {}
  asio::io_context m_Io{1};
  Settings m_Settings;
  Metrics m_Metrics;
  Reachability m_Reachability;
};

// Hooks that a program supplies. All but m_Start may be null.
struct DaemonHooks {
  std::function<Result<int>()> m_Start; // An error ends the program.
  // Runs on SIGTERM or SIGINT and returns when no request is in progress.
  std::function<asio::awaitable<void>()> m_Stop;
  std::function<Json::Value()> m_Status; // Body of GET /v1/status.
  std::function<void()> m_UpdateGauges;  // Runs before each GET /metrics.
  // Handles all other requests to the operator port, with 404 for unknown ones.
  std::function<asio::awaitable<HttpResponse>(HttpRequest)>
      m_HandleOperatorRequest;
};

// Name, summary and settings of a program.
struct ProgramInfo {
  const char *m_Name;
  const char *m_Summary;
  SettingTable m_SettingTable; // Settings in addition to the common ones.
};

// Exit codes of all programs.
inline constexpr int ExitOk = 0;
inline constexpr int ExitFailed = 1;
inline constexpr int ExitUsage = 2;

// Reads the command line and settings, builds the program and runs it until
// SIGTERM or SIGINT. Returns the exit code.
int runDaemon(int Argc, char **Argv, const ProgramInfo &Info,
              const std::function<DaemonHooks(Daemon &)> &Build);

// A parsed command line.
struct CommandLine {
  std::map<std::string, std::string> m_Values;
  // Values of options and arguments that can be repeated.
  std::map<std::string, std::vector<std::string>> m_Lists;
  std::map<std::string, bool> m_Flags;

  bool flag(const std::string &Name) const;
  std::string value(const std::string &Name) const;
  std::vector<std::string> list(const std::string &Name) const;
};
// Parses a command line with docopt. Prints help, the version or an error and
// exits where docopt asks for it; invalid arguments exit with ExitUsage.
CommandLine parseCommandLine(const std::string &Usage, int Argc, char **Argv);

// Starts the log, flushes it periodically while Io runs, and once more when
// destroyed.
class LogSession {
public:
  LogSession(asio::io_context &Io, const LogSettings &Settings);
  ~LogSession();
  LogSession(const LogSession &) = delete;
  LogSession &operator=(const LogSession &) = delete;
};

// Suspends the coroutine without blocking the thread.
asio::awaitable<void> sleepFor(Duration Length);
// Time for which a stop waits for connections where no setting limits it.
inline constexpr Duration ConnectionEndDuration = 5s;
// Waits until servers that have stopped accepting have no connections left, at
// most until a time: a client can hold its connection for long.
asio::awaitable<void> waitForConnections(std::vector<HttpServer *> Servers,
                                         Time Until);
// Runs a detached task on Io. Exceptions are logged.
void spawn(asio::io_context &Io, asio::awaitable<void> Task);

} // namespace rhubarb::net
