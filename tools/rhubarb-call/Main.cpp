// rhubarb-call: a command-line client built on the client library. Makes one
// call, sends a mix of calls at constant average rates, or checks the results
// of a mix against the runs that the backend servers recorded.
#include "net/Clock.h"
#include "net/Crypto.h"
#include "net/Daemon.h"
#include "net/ServiceClient.h"
#include "net/Text.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace rhubarb::call {

using namespace rhubarb::net;

namespace {

const char *const Usage =
    "rhubarb-call: command-line client for calling services.\n\n"
    "Usage:\n"
    "  rhubarb-call one SERVICE [--lookup=ADDRS] [--bind=IP] [--body=TEXT]\n"
    "               [--deadline-ms=MS]\n"
    "  rhubarb-call mix --rate=RATE... [--lookup=ADDRS] [--bind=IP]\n"
    "               [--seconds=S] [--deadline-ms=MS] [--results=FILE] "
    "[--seed=N]\n"
    "               [--body-bytes=N]\n"
    "  rhubarb-call verify --runs=DIR FILE...\n"
    "  rhubarb-call (-h | --help)\n"
    "  rhubarb-call --version\n\n"
    "Options:\n"
    "  --lookup=ADDRS    Look-up processes, ip:port, comma-separated\n"
    "                    [default: 127.0.0.1:8081].\n"
    "  --bind=IP         Local IP address to bind to; empty: any [default: ].\n"
    "  --body=TEXT       Body of the request [default: ].\n"
    "  --rate=RATE       SERVICE=CALLS_PER_SECOND; repeat for a mix.\n"
    "  --seconds=S       Duration of the mix [default: 10].\n"
    "  --deadline-ms=MS  Deadline of each call [default: 2000].\n"
    "  --results=FILE    File for the outcome of each call; empty: none\n"
    "                    [default: ].\n"
    "  --seed=N          Seed of the random arrival times [default: 1].\n"
    "  --body-bytes=N    Size of each request body in a mix [default: 100].\n"
    "  --runs=DIR        Directory of files from standin-backend --runs.\n\n"
    "Exit codes: 0 the call was answered, the mix was sent, or verify found\n"
    "no violation; 1 the call was not answered, or verify found a violation\n"
    "or no calls; 2 invalid arguments.\n";

// Outcomes and latencies of the calls of one priority.
struct PriorityStats {
  std::int64_t m_Sent = 0;
  std::int64_t m_Answered = 0;
  std::int64_t m_NotRun = 0;
  std::int64_t m_Unknown = 0;
  std::vector<double> m_LatenciesMs; // Latencies of answered calls.
};

// Average rate at which a mix calls a service.
struct ServiceRate {
  std::string m_Service;
  double m_CallsPerSecond = 0;
};

double percentile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  auto Index = static_cast<std::size_t>(Fraction *
                                        static_cast<double>(Values.size() - 1));
  return Values[Index];
}

ServiceClientOptions clientOptions(const CommandLine &Args) {
  ServiceClientOptions Options;
  Options.m_LookupAddresses = splitCommas(Args.value("--lookup"));
  Options.m_BindIp = Args.value("--bind");
  Options.m_Deadline =
      std::chrono::milliseconds(std::stoll(Args.value("--deadline-ms")));
  return Options;
}

int runOne(const CommandLine &Args) {
  asio::io_context Io{1};
  Reachability Reachable;
  ServiceClient Client(Io, Reachable, clientOptions(Args));
  int ExitCode = ExitFailed;
  spawn(Io,
        [](ServiceClient &Caller, const CommandLine &Arguments,
           int &ExitStatus) -> asio::awaitable<void> {
          Call Request;
          Request.m_Service = Arguments.value("SERVICE");
          Request.m_Body = Arguments.value("--body");
          CallResult Completed = co_await Caller.call(std::move(Request));
          std::cout << outcomeName(Completed.m_Outcome)
                    << " status=" << Completed.m_Status
                    << " reason=" << Completed.m_Reason
                    << " rank=" << Completed.m_Priority
                    << " attempts=" << Completed.m_Attempts << " ms="
                    << Completed.m_Latency / std::chrono::milliseconds(1)
                    << "\n"
                    << Completed.m_Body << "\n";
          ExitStatus =
              Completed.m_Outcome == Outcome::Answered ? ExitOk : ExitFailed;
        }(Client, Args, ExitCode));
  Io.run();
  return ExitCode;
}

// Statistics of a mix, with the request body and the results file used to send
// it. The statistics are used alone when results are read back from files.
struct MixState {
  std::map<std::string, PriorityStats> m_ByPriority;
  std::map<std::string, std::int64_t> m_ReasonCounts;
  std::ofstream m_ResultsFile;
  std::string m_Body;
};

// Adds a call to the statistics. OutcomeText is the name of an outcome, or
// "crossed" for an answered call whose response body is not the one expected.
void recordCall(MixState &State, const std::string &Priority,
                const std::string &OutcomeText, const std::string &Reason,
                double LatencyMs) {
  PriorityStats &Counts = State.m_ByPriority[Priority];
  ++Counts.m_Sent;
  if (OutcomeText == "answered" || OutcomeText == "crossed") {
    ++Counts.m_Answered;
    Counts.m_LatenciesMs.push_back(LatencyMs);
    return;
  }
  ++(OutcomeText == "not-run" ? Counts.m_NotRun : Counts.m_Unknown);
  ++State.m_ReasonCounts[OutcomeText + " " + Reason];
}

asio::awaitable<void> makeCall(ServiceClient &Client, MixState &State,
                               std::string Service) {
  Call Request;
  Request.m_Service = std::move(Service);
  Request.m_Trace = randomId();
  Request.m_Body = State.m_Body;
  std::string Trace = Request.m_Trace;
  std::string ExpectedBody = "ran " + Trace + "\n" + State.m_Body;
  CallResult Completed = co_await Client.call(std::move(Request));
  std::string OutcomeText(outcomeName(Completed.m_Outcome));
  if (Completed.m_Outcome == Outcome::Answered &&
      Completed.m_Body != ExpectedBody)
    OutcomeText = "crossed";
  constexpr double MicrosPerMilli = 1000.0;
  double LatencyMs =
      static_cast<double>(Completed.m_Latency.count()) / MicrosPerMilli;
  recordCall(State, Completed.m_Priority.empty() ? "?" : Completed.m_Priority,
             OutcomeText, Completed.m_Reason, LatencyMs);
  if (State.m_ResultsFile.is_open())
    State.m_ResultsFile << Trace << ' ' << OutcomeText << ' '
                        << (Completed.m_Reason.empty() ? "-"
                                                       : Completed.m_Reason)
                        << ' '
                        << (Completed.m_Priority.empty() ? "?"
                                                         : Completed.m_Priority)
                        << ' ' << LatencyMs << '\n';
}

// Starts calls at random times (Poisson arrivals) without waiting for earlier
// calls to complete.
asio::awaitable<void> sendCalls(asio::io_context &Io, ServiceClient &Client,
                                MixState &State, ServiceRate Rate,
                                Duration RunTime, std::uint64_t Seed) {
  Random ArrivalRandom(Seed ^ stableHash(Rate.m_Service));
  constexpr double MicrosPerSecond = 1e6;
  Time NextArrival = now();
  Time EndTime = NextArrival + RunTime;
  while (NextArrival < EndTime) {
    double GapMicros = -std::log(1.0 - ArrivalRandom.uniform()) /
                       Rate.m_CallsPerSecond * MicrosPerSecond;
    NextArrival += Duration(static_cast<std::int64_t>(GapMicros));
    if (NextArrival > now())
      co_await sleepFor(NextArrival - now());
    spawn(Io, makeCall(Client, State, Rate.m_Service));
  }
}

void printSummary(const MixState &State) {
  std::cout << std::left << std::setw(8) << "rank" << std::right << std::setw(8)
            << "sent" << std::setw(10) << "answered" << std::setw(9)
            << "not-run" << std::setw(9) << "unknown" << std::setw(9)
            << "p50 ms" << std::setw(9) << "p99 ms"
            << "\n";
  for (const auto &[Priority, Counts] : State.m_ByPriority)
    std::cout << std::left << std::setw(8) << Priority << std::right
              << std::setw(8) << Counts.m_Sent << std::setw(10)
              << Counts.m_Answered << std::setw(9) << Counts.m_NotRun
              << std::setw(9) << Counts.m_Unknown << std::setw(9) << std::fixed
              << std::setprecision(1) << percentile(Counts.m_LatenciesMs, 0.5)
              << std::setw(9) << percentile(Counts.m_LatenciesMs, 0.99) << "\n";
  for (const auto &[Reason, Count] : State.m_ReasonCounts)
    std::cout << "  " << Reason << ": " << Count << "\n";
}

int runMix(const CommandLine &Args) {
  asio::io_context Io{1};
  Reachability Reachable;
  ServiceClient Client(Io, Reachable, clientOptions(Args));
  MixState State;
  State.m_Body.assign(std::stoul(Args.value("--body-bytes")), 'x');
  if (!Args.value("--results").empty())
    State.m_ResultsFile.open(Args.value("--results"));
  for (const std::string &RateText : Args.list("--rate")) {
    std::size_t Equals = RateText.find('=');
    if (Equals == std::string::npos) {
      std::cerr << "--rate takes SERVICE=CALLS_PER_SECOND, not '" << RateText
                << "'\n";
      return ExitUsage;
    }
    ServiceRate Rate{RateText.substr(0, Equals),
                     std::stod(RateText.substr(Equals + 1))};
    spawn(Io,
          sendCalls(Io, Client, State, Rate,
                    std::chrono::seconds(std::stoll(Args.value("--seconds"))),
                    std::stoull(Args.value("--seed"))));
  }
  Io.run();
  printSummary(State);
  return ExitOk;
}

// Compares the outcomes that callers recorded with the runs that backend
// servers recorded. Fails if there are no calls, if a keyed request ran more
// than once, if an answered call never ran (lost), if a call reported as not
// run did run (falsely refused), or if a response body was wrong (crossed or
// cut).
int verify(const CommandLine &Args) {
  std::map<std::string, int> RunCounts;
  std::map<std::string, bool> IsKeyed;
  for (const auto &RunsFile :
       std::filesystem::directory_iterator(Args.value("--runs"))) {
    std::ifstream Records(RunsFile.path());
    std::string Trace;
    std::string Kind;
    while (Records >> Trace >> Kind) {
      ++RunCounts[Trace];
      IsKeyed[Trace] = Kind == "keyed";
    }
  }
  std::int64_t Calls = 0;
  std::int64_t Duplicated = 0;
  std::int64_t Lost = 0;
  std::int64_t FalselyRefused = 0;
  std::int64_t Mismatched = 0;
  for (const auto &[Trace, Count] : RunCounts)
    if (IsKeyed[Trace] && Count > 1) {
      ++Duplicated;
      std::cout << "doubled " << Trace << " " << Count << "\n";
    }
  MixState Combined;
  for (const std::string &ResultsPath : Args.list("FILE")) {
    std::ifstream Records(ResultsPath);
    std::string Trace;
    std::string OutcomeText;
    std::string Reason;
    std::string Priority;
    double LatencyMs = 0;
    while (Records >> Trace >> OutcomeText >> Reason >> Priority >> LatencyMs) {
      ++Calls;
      recordCall(Combined, Priority, OutcomeText, Reason, LatencyMs);
      bool Ran = RunCounts.contains(Trace);
      Lost += OutcomeText == "answered" && !Ran ? 1 : 0;
      FalselyRefused += OutcomeText == "not-run" && Ran ? 1 : 0;
      Mismatched += OutcomeText == "crossed" ? 1 : 0;
      if (OutcomeText == "not-run" && Ran)
        std::cout << "falsely refused " << Trace << " " << Reason << "\n";
    }
  }
  printSummary(Combined);
  std::cout << "calls " << Calls << ", doubled " << Duplicated << ", lost "
            << Lost << ", falsely refused " << FalselyRefused
            << ", crossed or cut " << Mismatched << "\n";
  bool Passed =
      Calls > 0 && Duplicated + Lost + FalselyRefused + Mismatched == 0;
  return Passed ? ExitOk : ExitFailed;
}

int run(int Argc, char **Argv) {
  CommandLine Args = parseCommandLine(Usage, Argc, Argv);
  try {
    if (Args.flag("one"))
      return runOne(Args);
    if (Args.flag("mix"))
      return runMix(Args);
    return verify(Args);
  } catch (const std::exception &Exception) {
    std::cerr << "invalid option value: " << Exception.what() << "\n";
    return ExitUsage;
  }
}

} // namespace
} // namespace rhubarb::call

int main(int Argc, char **Argv) { return rhubarb::call::run(Argc, Argv); }
