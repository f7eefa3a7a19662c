#include "net/Daemon.h"

#include "net/Clock.h"
#include "net/Log.h"
#include "net/Messages.h"
#include "net/Text.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <iostream>

namespace rhubarb::net {
namespace {

constexpr std::int64_t MaxPort = 65535;
constexpr Duration LogFlushInterval = 200ms;
constexpr Duration StopPollInterval = 20ms;

const SettingTable CommonSettings{
    {"vm", "ip", SettingKind::Ip, nullptr, 0, 0, "", "IP address of this VM"},
    {"vm", "domain", SettingKind::Text, nullptr, 0, 0, "",
     "failure domain of this VM"},
    {"vm", "region", SettingKind::Text, nullptr, 0, 0, "", "region of this VM"},
    {"operator", "ip", SettingKind::Ip, "127.0.0.1", 0, 0, "",
     "IP address that the operator port binds to"},
    {"operator", "port", SettingKind::Number, nullptr, 1, MaxPort, "port",
     "operator port: status, metrics, explain"},
    {"log", "level", SettingKind::Choice, "info", 0, 0,
     "debug,info,warning,error", "minimum severity of logged events"},
    {"log", "format", SettingKind::Choice, "text", 0, 0, "text,json",
     "key=value or JSON lines"},
    {"testing", "faults", SettingKind::Flag, "no", 0, 0, "",
     "accept fault injection on the operator port; never in production"},
};

std::string usageText(const ProgramInfo &Info) {
  std::string Name = Info.m_Name;
  return Name + ": " + Info.m_Summary + "\n\nUsage:\n  " + Name +
         " [--config=FILE] [--set=SETTING]... [--check-config]\n  " + Name +
         " --help-config [--markdown]\n  " + Name + " (-h | --help)\n  " +
         Name +
         " --version\n\n"
         "Options:\n"
         "  --config=FILE   Settings file in INI format.\n"
         "  --set=SETTING   One setting as section.key=value; overrides "
         "FILE.\n"
         "  --check-config  Check the settings and exit.\n"
         "  --help-config   List every setting with its range and default.\n"
         "  --markdown      List them as a Markdown table.\n"
         "  -h --help       Show this text.\n"
         "  --version       Show the version.\n\n"
         "Exit codes: 0 stopped on request, 1 failure, 2 invalid arguments "
         "or settings.\n";
}

asio::awaitable<HttpResponse> handleOperatorRequest(Daemon &Program,
                                                    const DaemonHooks &Hooks,
                                                    HttpRequest Request) {
  if (Request.path() == "/metrics") {
    if (Hooks.m_UpdateGauges)
      Hooks.m_UpdateGauges();
    co_return HttpResponse{200,
                           {{"Content-Type", "text/plain; version=0.0.4"}},
                           Program.m_Metrics.text()};
  }
  if (Request.path() == "/v1/status" && Hooks.m_Status)
    co_return jsonResponse(200, compactJson(Hooks.m_Status()) + "\n");
  if (Request.path() == "/v1/faults" && Request.m_Method == "POST" &&
      Program.m_Settings.flag("testing.faults")) {
    Program.m_Reachability.setBlockedPrefixes(
        splitCommas(Request.query("cut")));
    co_return jsonResponse(200, "{}\n");
  }
  if (Hooks.m_HandleOperatorRequest)
    co_return co_await Hooks.m_HandleOperatorRequest(std::move(Request));
  co_return jsonResponse(404, "{\"error\":\"not_found\"}\n");
}

asio::awaitable<void> waitForStop(Daemon &Program, const DaemonHooks &Hooks,
                                  HttpServer &OperatorServer) {
  asio::signal_set Signals(Program.m_Io, SIGTERM, SIGINT);
  co_await Signals.async_wait(asio::as_tuple(asio::use_awaitable));
  Time Start = now();
  logEvent(Severity::Info, "stopping");
  if (Hooks.m_Stop)
    co_await Hooks.m_Stop();
  OperatorServer.stopAccepting();
  const std::vector<HttpServer *> Servers{&OperatorServer};
  co_await waitForConnections(Servers, now() + ConnectionEndDuration);
  std::int64_t Millis = (now() - Start) / std::chrono::milliseconds(1);
  logEvent(Severity::Info, "stopped", {{"drain_ms", std::to_string(Millis)}});
  Program.m_Io.stop();
}

} // namespace

asio::awaitable<void> sleepFor(Duration Length) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Length);
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> waitForConnections(std::vector<HttpServer *> Servers,
                                         Time Until) {
  auto IsOpen = [](const HttpServer *Server) {
    return Server->hasConnections();
  };
  while (now() < Until && std::any_of(Servers.begin(), Servers.end(), IsOpen))
    co_await sleepFor(StopPollInterval);
}

LogSession::LogSession(asio::io_context &Io, const LogSettings &Settings) {
  startLog(Settings);
  spawn(Io, []() -> asio::awaitable<void> {
    for (;;) {
      flushLog();
      co_await sleepFor(LogFlushInterval);
    }
  }());
}

LogSession::~LogSession() { flushLog(); }

void spawn(asio::io_context &Io, asio::awaitable<void> Task) {
  asio::co_spawn(Io, std::move(Task), [](const std::exception_ptr &Thrown) {
    if (!Thrown)
      return;
    try {
      std::rethrow_exception(Thrown);
    } catch (const std::exception &Error) {
      logEvent(Severity::Error, "task_failed", {{"error", Error.what()}});
    }
  });
}

int runDaemon(int Argc, char **Argv, const ProgramInfo &Info,
              const std::function<DaemonHooks(Daemon &)> &Build) {
  SettingTable Table = CommonSettings;
  Table.insert(Table.end(), Info.m_SettingTable.begin(),
               Info.m_SettingTable.end());
  CommandLine Arguments = parseCommandLine(usageText(Info), Argc, Argv);
  if (Arguments.flag("--help-config")) {
    std::cout << describeSettings(Table, Arguments.flag("--markdown"));
    return ExitOk;
  }
  Result<Settings> Loaded = Settings::load(Table, Arguments.value("--config"),
                                           Arguments.list("--set"));
  if (!Loaded) {
    std::cerr << Loaded.error().m_Message;
    return ExitUsage;
  }
  if (Arguments.flag("--check-config")) {
    std::cout << "settings are valid\n";
    return ExitOk;
  }
  Daemon Program(Loaded.value());
  const Settings &Values = Program.m_Settings;
  LogSettings Log;
  Log.m_Program = Info.m_Name;
  Log.m_Level = Values.text("log.level");
  Log.m_Json = Values.text("log.format") == "json";
  LogSession Session(Program.m_Io, Log);
  DaemonHooks Hooks = Build(Program);
  HttpServer OperatorServer(Program.m_Io, Program.m_Reachability,
                            HttpServerLimits{}, [&](HttpRequest Request) {
                              return handleOperatorRequest(Program, Hooks,
                                                           std::move(Request));
                            });
  Result<std::uint16_t> Port = OperatorServer.start(
      Values.text("operator.ip"),
      static_cast<std::uint16_t>(Values.number("operator.port")));
  Result<int> Started = Port ? Hooks.m_Start() : Result<int>(Port.error());
  if (!Started) {
    logEvent(Severity::Error, "start_failed",
             {{"error", Started.error().m_Message}});
    return ExitFailed;
  }
  logEvent(Severity::Info, "started",
           {{"vm", Values.text("vm.ip")}, {"version", RHUBARB_VERSION}});
  spawn(Program.m_Io, waitForStop(Program, Hooks, OperatorServer));
  Program.m_Io.run();
  return ExitOk;
}

} // namespace rhubarb::net
