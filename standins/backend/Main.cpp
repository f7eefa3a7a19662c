// standin-backend: a backend server for tests, with slots, service time, cold
// start, shedding, draining, cancel, deadlines, and a load report that can lag
// or lie. Each run of each request is written to a file, so that a doubled or
// lost run is seen. Faults are switched by POST /faults.
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
    "standin-backend: a backend server of tests.\n\n"
    "Usage:\n"
    "  standin-backend [--ip=IP] [--port=PORT] [--slots=N] [--service-ms=MS]\n"
    "                  [--spread=PERCENT] [--cold-ms=MS] [--runs=FILE]\n"
    "  standin-backend (-h | --help)\n\n"
    "Options:\n"
    "  --ip=IP          IP number to bind to [default: 127.0.0.1].\n"
    "  --port=PORT      Port to bind to [default: 9000].\n"
    "  --slots=N        Requests at a time; more are shed [default: 3].\n"
    "  --service-ms=MS  Time of one request [default: 20].\n"
    "  --spread=PERCENT Times vary by so much up and down [default: 0].\n"
    "  --cold-ms=MS     Time after the start in which requests take threefold\n"
    "                   [default: 0].\n"
    "  --runs=FILE      Where each run is written; empty: nowhere [default: "
    "].\n";

constexpr int ColdFactor = 3;

struct Settings {
  int m_Slots = 3;
  Duration m_Service{0};
  int m_SpreadPercent = 0;
  Duration m_Cold{0};
};

struct Faults {
  int m_Cut = 0;             // Answers to be cut within the body.
  int m_Silent = 0;          // Requests that run but get no answer.
  Duration m_Slow{0};        // Added to the service time.
  Duration m_ReportLag{0};   // The load report is this old.
  bool m_ReportLies = false; // It claims to be idle.
  bool m_Draining = false;
};

class Backend {
public:
  Backend(Settings Values, const std::string &RunsFile) : m_Settings(Values) {
    if (!RunsFile.empty())
      m_Runs.open(RunsFile, std::ios::app);
    m_Started = now();
  }

  asio::awaitable<HttpResponse> serve(HttpRequest Request) {
    std::string Path(Request.path());
    if (Path == "/faults")
      co_return setFaults(Request);
    if (Path == LoadPath)
      co_return report();
    if (Path.starts_with(CancelPath))
      co_return cancel(Path.substr(std::string_view(CancelPath).size()));
    co_return co_await work(std::move(Request));
  }

private:
  static HttpResponse notStarted(const char *Why) {
    HttpResponse Response = jsonResponse(503, "{}");
    Response.m_Headers.push_back({NotStartedHeader, Why});
    return Response;
  }

  HttpResponse setFaults(const HttpRequest &Request) {
    using std::chrono::milliseconds;
    m_Faults.m_Cut = static_cast<int>(parseInteger(Request.query("cut"), 0));
    m_Faults.m_Silent =
        static_cast<int>(parseInteger(Request.query("silent"), 0));
    m_Faults.m_Slow = milliseconds(parseInteger(Request.query("slow_ms"), 0));
    m_Faults.m_ReportLag =
        milliseconds(parseInteger(Request.query("lag_ms"), 0));
    m_Faults.m_ReportLies = Request.query("lie") == "1";
    m_Faults.m_Draining = Request.query("drain") == "1";
    m_DrainSince = now();
    return jsonResponse(200, "{}");
  }

  HttpResponse report() const {
    bool Seen =
        m_Faults.m_Draining && now() - m_DrainSince >= m_Faults.m_ReportLag;
    Json::Value Json;
    Json["slots"] = m_Settings.m_Slots;
    Json["busy"] = m_Faults.m_ReportLies ? 0 : m_Busy;
    Json["draining"] = Seen;
    Json["shed"] = m_Shed;
    Json["runs"] = m_RunCount;
    Json["most_busy"] = m_MostBusy;
    Json["runs_while_draining"] = m_RunsWhileDraining;
    return jsonResponse(200, compactJson(Json));
  }

  HttpResponse cancel(const std::string &Attempt) {
    if (m_Under.contains(Attempt) || m_Ended.contains(Attempt))
      return jsonResponse(200, "{\"started\":true}");
    // It has not started, and from now on it never will.
    m_Cancelled.insert(Attempt);
    HttpResponse Response = jsonResponse(200, "{\"started\":false}");
    Response.m_Headers.push_back({NotStartedHeader, "cancelled"});
    return Response;
  }

  Duration varied(Duration Mean) {
    double Share =
        m_Settings.m_SpreadPercent / 100.0 * (2 * m_Random.uniform() - 1);
    return Mean + Duration(static_cast<std::int64_t>(
                      static_cast<double>(Mean.count()) * Share));
  }

  asio::awaitable<HttpResponse> work(HttpRequest Request) {
    std::string Attempt(Request.header(AttemptIdHeader));
    std::int64_t LeftMs = parseInteger(Request.header(DeadlineHeader), 60000);
    if (m_Cancelled.contains(Attempt))
      co_return notStarted("cancelled");
    if (LeftMs <= 0)
      co_return notStarted("deadline");
    if (m_Busy >= m_Settings.m_Slots) {
      ++m_Shed;
      co_return notStarted("shed");
    }
    // A draining server still runs what reaches it, so that a test sees it.
    if (m_Faults.m_Draining)
      ++m_RunsWhileDraining;
    ++m_Busy;
    ++m_RunCount;
    m_MostBusy = std::max(m_MostBusy, m_Busy);
    m_Under.insert(Attempt);
    if (m_Runs.is_open())
      m_Runs << Request.header(TraceHeader) << ' '
             << (Request.header(KeyHeader).empty() ? "-" : "keyed")
             << std::endl;
    Duration Length = varied(m_Settings.m_Service) + m_Faults.m_Slow;
    if (now() - m_Started < m_Settings.m_Cold)
      Length *= ColdFactor;
    co_await sleepFor(Length);
    m_Under.erase(Attempt);
    m_Ended.insert(Attempt);
    --m_Busy;
    if (m_Faults.m_Silent > 0) {
      --m_Faults.m_Silent;
      co_await sleepFor(30s);
    }
    HttpResponse Response{200, {{"Content-Type", "text/plain"}}, {}, {}};
    Response.m_Body = "ran " + std::string(Request.header(TraceHeader)) + "\n" +
                      Request.m_Body;
    if (m_Faults.m_Cut > 0) {
      --m_Faults.m_Cut;
      Response.m_TruncateAfterBytes = Response.m_Body.size() / 2;
    }
    co_return Response;
  }

  Settings m_Settings;
  Random m_Random{1};
  Faults m_Faults;
  std::ofstream m_Runs;
  Time m_Started{0};
  Time m_DrainSince{0};
  int m_Busy = 0;
  int m_MostBusy = 0;
  int m_Shed = 0;
  int m_RunCount = 0;
  int m_RunsWhileDraining = 0;
  std::set<std::string> m_Under;
  std::set<std::string> m_Ended;
  std::set<std::string> m_Cancelled;
};

int run(int Argc, char **Argv) {
  using std::chrono::milliseconds;
  CommandLine Line = parseCommandLine(Usage, Argc, Argv);
  auto Number = [&](const char *Name) {
    return parseInteger(Line.value(Name), 0);
  };
  asio::io_context Io{1};
  Reachability Reach;
  Settings Values{
      static_cast<int>(Number("--slots")), milliseconds(Number("--service-ms")),
      static_cast<int>(Number("--spread")), milliseconds(Number("--cold-ms"))};
  Backend Served(Values, Line.value("--runs"));
  HttpServerLimits Limits;
  Limits.m_MaxBodyBytes = 4U << 20U;
  HttpServer Server(Io, Reach, Limits, [&](HttpRequest Request) {
    return Served.serve(std::move(Request));
  });
  Result<std::uint16_t> Listening = Server.start(
      Line.value("--ip"), static_cast<std::uint16_t>(Number("--port")));
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
