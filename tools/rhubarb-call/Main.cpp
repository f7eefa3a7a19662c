// rhubarb-call: a small caller with the client library inside. Makes one call,
// or sends a steady mix, or checks the results of a mix against the backend
// servers' records of runs.
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
    "rhubarb-call: a caller.\n\n"
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
    "  --lookup=ADDRS    Look-up processes, ip:port by commas\n"
    "                    [default: 127.0.0.1:8081].\n"
    "  --bind=IP         Own IP number; empty: any [default: ].\n"
    "  --body=TEXT       Body of the request [default: ].\n"
    "  --rate=RATE       SERVICE=CALLS_A_SECOND; repeat for a mix.\n"
    "  --seconds=S       Length of the mix [default: 10].\n"
    "  --deadline-ms=MS  Of each call [default: 2000].\n"
    "  --results=FILE    Where each call's end is written; empty: nowhere\n"
    "                    [default: ].\n"
    "  --seed=N          Of the arrival times [default: 1].\n"
    "  --body-bytes=N    Size of the bodies of a mix [default: 100].\n"
    "  --runs=DIR        Files written by standin-backend --runs.\n\n"
    "Exit codes: 0 answered, or nothing wrong found; 1 not; 2 unusable "
    "words.\n";

// Counts of the calls of one rank.
struct RankRow {
  std::int64_t m_Sent = 0;
  std::int64_t m_Answered = 0;
  std::int64_t m_NotRun = 0;
  std::int64_t m_Unknown = 0;
  std::vector<double> m_LatencyMs; // Of answered calls.
};

struct ServiceRate {
  std::string m_Service;
  double m_PerSecond = 0;
};

double percentile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  auto Index =
      static_cast<std::size_t>(Share * static_cast<double>(Values.size() - 1));
  return Values[Index];
}

ServiceClientOptions callerOptions(const CommandLine &Line) {
  ServiceClientOptions Options;
  Options.m_LookupAddresses = splitCommas(Line.value("--lookup"));
  Options.m_BindIp = Line.value("--bind");
  Options.m_Deadline =
      std::chrono::milliseconds(std::stoll(Line.value("--deadline-ms")));
  return Options;
}

int runOne(const CommandLine &Line) {
  asio::io_context Io{1};
  Reachability Reach;
  ServiceClient Client(Io, Reach, callerOptions(Line));
  int Exit = ExitFailed;
  spawn(Io,
        [](ServiceClient &Used, const CommandLine &Words,
           int &Code) -> asio::awaitable<void> {
          Call Request;
          Request.m_Service = Words.value("SERVICE");
          Request.m_Body = Words.value("--body");
          CallResult End = co_await Used.call(std::move(Request));
          std::cout << outcomeName(End.m_Outcome) << " status=" << End.m_Status
                    << " reason=" << End.m_Reason << " rank=" << End.m_Priority
                    << " attempts=" << End.m_Attempts
                    << " ms=" << End.m_Latency / std::chrono::milliseconds(1)
                    << "\n"
                    << End.m_Body << "\n";
          Code = End.m_Outcome == Outcome::Answered ? ExitOk : ExitFailed;
        }(Client, Line, Exit));
  Io.run();
  return Exit;
}

// State of a mix while it runs.
struct Mix {
  std::map<std::string, RankRow> m_Ranks;
  std::map<std::string, std::int64_t> m_Reasons;
  std::ofstream m_Results;
  std::string m_Body;
};

void addToTable(Mix &State, const std::string &RankText,
                const std::string &Outcome, const std::string &Reason,
                double LatencyMs) {
  RankRow &Row = State.m_Ranks[RankText];
  ++Row.m_Sent;
  if (Outcome == "answered" || Outcome == "crossed") {
    ++Row.m_Answered;
    Row.m_LatencyMs.push_back(LatencyMs);
    return;
  }
  ++(Outcome == "not-run" ? Row.m_NotRun : Row.m_Unknown);
  ++State.m_Reasons[Outcome + " " + Reason];
}

asio::awaitable<void> callOnce(ServiceClient &Client, Mix &State,
                               std::string Service) {
  Call Request;
  Request.m_Service = std::move(Service);
  Request.m_Trace = randomId();
  Request.m_Body = State.m_Body;
  std::string Trace = Request.m_Trace;
  std::string Expected = "ran " + Trace + "\n" + State.m_Body;
  CallResult End = co_await Client.call(std::move(Request));
  std::string Text(outcomeName(End.m_Outcome));
  if (End.m_Outcome == Outcome::Answered && End.m_Body != Expected)
    Text = "crossed";
  constexpr double MicrosPerMilli = 1000.0;
  double LatencyMs =
      static_cast<double>(End.m_Latency.count()) / MicrosPerMilli;
  addToTable(State, End.m_Priority.empty() ? "?" : End.m_Priority, Text,
             End.m_Reason, LatencyMs);
  if (State.m_Results.is_open())
    State.m_Results << Trace << ' ' << Text << ' '
                    << (End.m_Reason.empty() ? "-" : End.m_Reason) << ' '
                    << (End.m_Priority.empty() ? "?" : End.m_Priority) << ' '
                    << LatencyMs << '\n';
}

asio::awaitable<void> sendMix(asio::io_context &Io, ServiceClient &Client,
                              Mix &State, ServiceRate Rate, Duration Length,
                              std::uint64_t Seed) {
  Random Arrivals(Seed ^ stableHash(Rate.m_Service));
  constexpr double MicrosPerSecond = 1e6;
  Time Next = now();
  Time End = Next + Length;
  while (Next < End) {
    double Gap = -std::log(1.0 - Arrivals.uniform()) / Rate.m_PerSecond *
                 MicrosPerSecond;
    Next += Duration(static_cast<std::int64_t>(Gap));
    if (Next > now())
      co_await sleepFor(Next - now());
    spawn(Io, callOnce(Client, State, Rate.m_Service));
  }
}

void printTable(const Mix &State) {
  std::cout << std::left << std::setw(8) << "rank" << std::right << std::setw(8)
            << "sent" << std::setw(10) << "answered" << std::setw(9)
            << "not-run" << std::setw(9) << "unknown" << std::setw(9)
            << "p50 ms" << std::setw(9) << "p99 ms"
            << "\n";
  for (const auto &[Rank, Row] : State.m_Ranks)
    std::cout << std::left << std::setw(8) << Rank << std::right << std::setw(8)
              << Row.m_Sent << std::setw(10) << Row.m_Answered << std::setw(9)
              << Row.m_NotRun << std::setw(9) << Row.m_Unknown << std::setw(9)
              << std::fixed << std::setprecision(1)
              << percentile(Row.m_LatencyMs, 0.5) << std::setw(9)
              << percentile(Row.m_LatencyMs, 0.99) << "\n";
  for (const auto &[Reason, Count] : State.m_Reasons)
    std::cout << "  " << Reason << ": " << Count << "\n";
}

int runMix(const CommandLine &Line) {
  asio::io_context Io{1};
  Reachability Reach;
  ServiceClient Client(Io, Reach, callerOptions(Line));
  Mix State;
  State.m_Body.assign(std::stoul(Line.value("--body-bytes")), 'x');
  if (!Line.value("--results").empty())
    State.m_Results.open(Line.value("--results"));
  for (const std::string &Text : Line.list("--rate")) {
    std::size_t Equals = Text.find('=');
    if (Equals == std::string::npos) {
      std::cerr << "--rate takes SERVICE=CALLS_A_SECOND, not '" << Text
                << "'\n";
      return ExitUsage;
    }
    ServiceRate Rate{Text.substr(0, Equals),
                     std::stod(Text.substr(Equals + 1))};
    spawn(Io, sendMix(Io, Client, State, Rate,
                      std::chrono::seconds(std::stoll(Line.value("--seconds"))),
                      std::stoull(Line.value("--seed"))));
  }
  Io.run();
  printTable(State);
  return ExitOk;
}

// Compares the ends that callers saw with the runs that servers recorded.
int verify(const CommandLine &Line) {
  std::map<std::string, int> Runs;
  std::map<std::string, bool> Keyed;
  for (const auto &File :
       std::filesystem::directory_iterator(Line.value("--runs"))) {
    std::ifstream Stream(File.path());
    std::string Trace;
    std::string Kind;
    while (Stream >> Trace >> Kind) {
      ++Runs[Trace];
      Keyed[Trace] = Kind == "keyed";
    }
  }
  std::int64_t Calls = 0;
  std::int64_t Doubled = 0;
  std::int64_t Lost = 0;
  std::int64_t FalselyRefused = 0;
  std::int64_t Crossed = 0;
  for (const auto &[Trace, Count] : Runs)
    if (Keyed[Trace] && Count > 1) {
      ++Doubled;
      std::cout << "doubled " << Trace << " " << Count << "\n";
    }
  Mix Together;
  for (const std::string &Name : Line.list("FILE")) {
    std::ifstream Stream(Name);
    std::string Trace;
    std::string Outcome;
    std::string Reason;
    std::string RankText;
    double LatencyMs = 0;
    while (Stream >> Trace >> Outcome >> Reason >> RankText >> LatencyMs) {
      ++Calls;
      addToTable(Together, RankText, Outcome, Reason, LatencyMs);
      bool Ran = Runs.contains(Trace);
      Lost += Outcome == "answered" && !Ran ? 1 : 0;
      FalselyRefused += Outcome == "not-run" && Ran ? 1 : 0;
      Crossed += Outcome == "crossed" ? 1 : 0;
      if (Outcome == "not-run" && Ran)
        std::cout << "falsely refused " << Trace << " " << Reason << "\n";
    }
  }
  printTable(Together);
  std::cout << "calls " << Calls << ", doubled " << Doubled << ", lost " << Lost
            << ", falsely refused " << FalselyRefused << ", crossed or cut "
            << Crossed << "\n";
  bool Good = Calls > 0 && Doubled + Lost + FalselyRefused + Crossed == 0;
  return Good ? ExitOk : ExitFailed;
}

int run(int Argc, char **Argv) {
  CommandLine Line = parseCommandLine(Usage, Argc, Argv);
  try {
    if (Line.flag("one"))
      return runOne(Line);
    if (Line.flag("mix"))
      return runMix(Line);
    return verify(Line);
  } catch (const std::exception &Thrown) {
    std::cerr << "unusable value: " << Thrown.what() << "\n";
    return ExitUsage;
  }
}

} // namespace
} // namespace rhubarb::call

int main(int Argc, char **Argv) { return rhubarb::call::run(Argc, Argv); }
