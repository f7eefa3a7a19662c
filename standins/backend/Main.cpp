// standin-backend: a backend server for tests, with slots, service times, cold
// start, load shedding, draining, cancellation, deadlines, and a load report
// that can be stale or wrong. Each execution of a request is written to a file,
// so that tests can detect duplicate and lost executions. POST /faults sets the
// injected faults.
#include "net/BackendProtocol.h"
#include "net/Clock.h"
#include "net/Daemon.h"
#include "net/Messages.h"
#include "net/Text.h"

#include <charconv>
#include <fstream>
#include <iostream>

namespace rhubarb::standin {

using namespace rhubarb::net;

namespace {

const char *const Usage =
    "standin-backend: a backend server for tests.\n\n"
    "Usage:\n"
    "  standin-backend [--ip=IP] [--port=PORT] [--slots=N] [--service-ms=MS]\n"
    "                  [--spread=PERCENT] [--cold-ms=MS] [--runs=FILE]\n"
    "  standin-backend (-h | --help)\n\n"
    "Options:\n"
    "  --ip=IP          IP address to bind to [default: 127.0.0.1].\n"
    "  --port=PORT      Port to bind to [default: 9000].\n"
    "  --slots=N        Concurrent requests; any more are shed [default: 3].\n"
    "  --service-ms=MS  Service time of a request [default: 20].\n"
    "  --spread=PERCENT Service times vary by this much, up or down [default: "
    "0].\n"
    "  --cold-ms=MS     Time after the start in which requests take 3 times as "
    "long\n"
    "                   [default: 0].\n"
    "  --runs=FILE      File that each execution is appended to; empty: none\n"
    "                   [default: ].\n";

constexpr int ColdFactor = 3;

struct Settings {
  int m_Slots = 3;
  Duration m_ServiceTime{0};
  int m_SpreadPercent = 0;
  Duration m_ColdDuration{0};
};

struct Faults {
  // Number of upcoming responses to truncate within the body.
  int m_CutResponses = 0;
  // Number of upcoming requests that run but whose response is withheld for
  // 30 s.
  int m_SilentRequests = 0;
  // Added to the service time of each request.
  Duration m_ExtraDelay{0};
  // Delay after which the load report shows that the server is draining.
  Duration m_ReportLag{0};
  // The load report says that no slot is busy.
  bool m_ReportIdle = false;
  bool m_Draining = false;
};

class Backend {
public:
  Backend(Settings ServerSettings, const std::string &RunsPath)
      : m_Settings(ServerSettings) {
    if (!RunsPath.empty())
      m_RunsStream.open(RunsPath, std::ios::app);
    m_StartedAt = now();
  }

  asio::awaitable<HttpResponse> serve(HttpRequest Request) {
    std::string Path(Request.path());
    if (Path == "/faults")
      co_return setFaults(Request);
    if (Path == LoadPath)
      co_return loadReport();
    if (Path.starts_with(CancelPath))
      co_return cancel(Path.substr(std::string_view(CancelPath).size()));
    co_return co_await handleRequest(std::move(Request));
  }

private:
  static HttpResponse notStarted(const char *Reason) {
    HttpResponse Response = jsonResponse(503, "{}");
    Response.m_Headers.push_back({NotStartedHeader, Reason});
    return Response;
  }

  HttpResponse setFaults(const HttpRequest &Request) {
    using std::chrono::milliseconds;
    m_Faults.m_CutResponses =
        static_cast<int>(parseInteger(Request.query("cut"), 0));
    m_Faults.m_SilentRequests =
        static_cast<int>(parseInteger(Request.query("silent"), 0));
    m_Faults.m_ExtraDelay =
        milliseconds(parseInteger(Request.query("slow_ms"), 0));
    m_Faults.m_ReportLag =
        milliseconds(parseInteger(Request.query("lag_ms"), 0));
    m_Faults.m_ReportIdle = Request.query("lie") == "1";
    m_Faults.m_Draining = Request.query("drain") == "1";
    m_DrainStartedAt = now();
    return jsonResponse(200, "{}");
  }

  HttpResponse loadReport() const {
    bool DrainVisible =
        m_Faults.m_Draining && now() - m_DrainStartedAt >= m_Faults.m_ReportLag;
    Json::Value Json;
    Json["slots"] = m_Settings.m_Slots;
    Json["busy"] = m_Faults.m_ReportIdle ? 0 : m_Busy;
    Json["draining"] = DrainVisible;
    Json["shed"] = m_Shed;
    Json["runs"] = m_RunCount;
    Json["most_busy"] = m_MaxBusy;
    Json["runs_while_draining"] = m_RunsWhileDraining;
    return jsonResponse(200, compactJson(Json));
  }

  HttpResponse cancel(const std::string &Attempt) {
    if (m_RunningAttempts.contains(Attempt) ||
        m_FinishedAttempts.contains(Attempt))
      return jsonResponse(200, "{\"started\":true}");
    // The attempt has not started. Recording it here rejects it if it arrives
    // later.
    m_CancelledAttempts.insert(Attempt);
    HttpResponse Response = jsonResponse(200, "{\"started\":false}");
    Response.m_Headers.push_back({NotStartedHeader, "cancelled"});
    return Response;
  }

  Duration addSpread(Duration Mean) {
    double Share =
        m_Settings.m_SpreadPercent / 100.0 * (2 * m_Random.uniform() - 1);
    return Mean + Duration(static_cast<std::int64_t>(
                      static_cast<double>(Mean.count()) * Share));
  }

  asio::awaitable<HttpResponse> handleRequest(HttpRequest Request) {
    std::string Attempt(Request.header(AttemptIdHeader));
    std::int64_t RemainingMs =
        parseInteger(Request.header(DeadlineHeader), 60000);
    if (m_CancelledAttempts.contains(Attempt))
      co_return notStarted("cancelled");
    if (RemainingMs <= 0)
      co_return notStarted("deadline");
    if (m_Busy >= m_Settings.m_Slots) {
      ++m_Shed;
      co_return notStarted("shed");
    }
    // A draining server still runs the requests that reach it and counts them,
    // so that a test can detect them.
    if (m_Faults.m_Draining)
      ++m_RunsWhileDraining;
    ++m_Busy;
    ++m_RunCount;
    m_MaxBusy = std::max(m_MaxBusy, m_Busy);
    m_RunningAttempts.insert(Attempt);
    if (m_RunsStream.is_open())
      m_RunsStream << Request.header(TraceHeader) << ' '
                   << (Request.header(KeyHeader).empty() ? "-" : "keyed")
                   << std::endl;
    Duration ServiceTime =
        addSpread(m_Settings.m_ServiceTime) + m_Faults.m_ExtraDelay;
    if (now() - m_StartedAt < m_Settings.m_ColdDuration)
      ServiceTime *= ColdFactor;
    co_await sleepFor(ServiceTime);
    m_RunningAttempts.erase(Attempt);
    m_FinishedAttempts.insert(Attempt);
    --m_Busy;
    if (m_Faults.m_SilentRequests > 0) {
      --m_Faults.m_SilentRequests;
      co_await sleepFor(30s);
    }
    HttpResponse Response{200, {{"Content-Type", "text/plain"}}, {}, {}};
    Response.m_Body = "ran " + std::string(Request.header(TraceHeader)) + "\n" +
                      Request.m_Body;
    if (m_Faults.m_CutResponses > 0) {
      --m_Faults.m_CutResponses;
      Response.m_TruncateAfterBytes = Response.m_Body.size() / 2;
    }
    co_return Response;
  }

  Settings m_Settings;
  Random m_Random{1};
  Faults m_Faults;
  std::ofstream m_RunsStream;
  Time m_StartedAt{0};
  Time m_DrainStartedAt{0};
  int m_Busy = 0;
  int m_MaxBusy = 0;
  int m_Shed = 0;
  int m_RunCount = 0;
  int m_RunsWhileDraining = 0;
  std::set<std::string> m_RunningAttempts;
  std::set<std::string> m_FinishedAttempts;
  std::set<std::string> m_CancelledAttempts;
};

int run(int Argc, char **Argv) {
  using std::chrono::milliseconds;
  CommandLine Arguments = parseCommandLine(Usage, Argc, Argv);
  auto Number = [&](const char *Name) {
    return parseInteger(Arguments.value(Name), 0);
  };
  asio::io_context Io{1};
  Reachability Reach;
  Settings ServerSettings{
      static_cast<int>(Number("--slots")), milliseconds(Number("--service-ms")),
      static_cast<int>(Number("--spread")), milliseconds(Number("--cold-ms"))};
  Backend BackendServer(ServerSettings, Arguments.value("--runs"));
  HttpServerLimits Limits;
  Limits.m_MaxBodyBytes = 4U << 20U;
  HttpServer Server(Io, Reach, Limits, [&](HttpRequest Request) {
    return BackendServer.serve(std::move(Request));
  });
  Result<std::uint16_t> Listening = Server.start(
      Arguments.value("--ip"), static_cast<std::uint16_t>(Number("--port")));
  if (!Listening) {
    std::cerr << Listening.error().m_Message << "\n";
    return ExitFailed;
  }
  Io.run();
  return ExitOk;
}

} // namespace
} // namespace rhubarb::standin

int main(int Argc, char **Argv) { return rhubarb::standin::run(Argc, Argv); }
