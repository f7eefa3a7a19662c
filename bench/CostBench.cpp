#include "bench/CostBench.h"

#include "net/Log.h"

#include "rhubarb/Dispatch.h"
#include "rhubarb/Keys.h"
#include "rhubarb/Lookup.h"
#include "rhubarb/Members.h"
#include "rhubarb/Queue.h"
#include "rhubarb/Servers.h"

#include <benchmark/benchmark.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <fcntl.h>
#include <limits>
#include <map>
#include <new>
#include <unistd.h>

namespace {

std::atomic<std::int64_t> Allocations{0};

} // namespace

// Replaces the global operator new to count the allocations of the program.
void *operator new(std::size_t Size) {
  ++Allocations;
  if (void *Memory = std::malloc(Size)) // NOLINT
    return Memory;
  throw std::bad_alloc();
}
void operator delete(void *Memory) noexcept { std::free(Memory); } // NOLINT
void operator delete(void *Memory, std::size_t) noexcept {
  std::free(Memory);
} // NOLINT

namespace rhubarb::bench {
namespace {

constexpr Time FarDeadline = 1h;
constexpr std::size_t TargetBlocks = 580000;

std::vector<ServerListing> makeListings(int Count) {
  std::vector<ServerListing> Rows;
  Rows.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Rows.push_back(
        {"10.0." + std::to_string(I / 250) + "." + std::to_string(I % 250), 0,
         8, false});
  return Rows;
}

// The queue and server table of an entry process, warmed up with requests.
struct DecisionFixture {
  explicit DecisionFixture(int ServerCount)
      : m_Queue(QueueLimits{}), m_Servers(ServerLimits{}) {
    const QueueProfile Profiles[] = {{Priority::Urgent, 1, 0},
                                     {Priority::Normal, 2, 0.2},
                                     {Priority::Batch, 1, 0.1}};
    m_Queue.setProfiles(Profiles);
    m_Servers.update(makeListings(ServerCount), Time{0});
    for (int I = 0; I < 40; ++I)
      m_Servers.tick(m_Now += 300ms);
    m_Queue.setCapacity(ServerCount * 8);
    for (int I = 0; I < 2000; ++I)
      handleRequest();
  }

  // Handles one request from its arrival to the end of its attempt.
  void handleRequest() {
    m_Now += 10us;
    int Profile = static_cast<int>(m_NextId % 3);
    m_Queue.admit(m_NextId++, Profile, m_Now, FarDeadline);
    std::optional<QueuedRequest> Queued =
        m_Queue.take(m_Servers.freeSlots(0), m_Now);
    ServerIndex Server = m_Servers.acquire(0);
    m_Servers.release(Server, AttemptStatus::Answered, m_Now);
    m_Queue.recordFinished(Queued->m_Priority, 20ms);
  }

  Time m_Now{0};
  RequestId m_NextId = 1;
  AdmissionQueue m_Queue;
  BackendServerTable m_Servers;
};

std::vector<ClientBlock> makeClientBlocks(std::size_t Count) {
  Random Generator(7);
  std::vector<ClientBlock> Rows;
  Rows.reserve(Count);
  for (std::size_t I = 0; I < Count; ++I)
    Rows.push_back({static_cast<std::uint32_t>(Generator.next()),
                    static_cast<std::uint8_t>(16 + Generator.below(9)),
                    static_cast<std::uint16_t>(Generator.below(530))});
  return Rows;
}

void decision(benchmark::State &State) {
  DecisionFixture Fixture(static_cast<int>(State.range(0)));
  for (auto Step : State) {
    (void)Step;
    Fixture.handleRequest();
  }
}

void serverTick(benchmark::State &State) {
  DecisionFixture Fixture(static_cast<int>(State.range(0)));
  for (auto Step : State) {
    (void)Step;
    Fixture.m_Servers.tick(Fixture.m_Now);
  }
}

// Makes servers of one pool, which many entry processes share.
std::vector<BackendInfo> makeBackends(std::int64_t Count) {
  std::vector<BackendInfo> Rows;
  for (std::int64_t I = 0; I < Count; ++I) {
    BackendInfo Backend;
    Backend.m_Id = "i-" + std::to_string(I);
    Backend.m_Address = "10.0.0.1:" + std::to_string(I);
    Backend.m_Domain = "d";
    Backend.m_Region = "r";
    Backend.m_Slots = 9;
    Rows.push_back(std::move(Backend));
  }
  return Rows;
}

// Applies a change of one server in a large fleet.
void fleetUpdate(benchmark::State &State) {
  std::vector<BackendInfo> Listed = makeBackends(State.range(0));
  Fleet Servers;
  Servers.update(Listed, 1s);
  std::size_t Next = 0;
  for (auto Step : State) {
    (void)Step;
    BackendInfo &Backend = Listed[++Next % Listed.size()];
    Backend.m_Leaving = !Backend.m_Leaving;
    Servers.applyChanges({Backend}, {}, 1s);
  }
}

// Processes a queue of waiting requests while all servers are full, as an entry
// process does after each response.
void dispatchQueue(benchmark::State &State) {
  constexpr RequestId Offered = 100;
  constexpr std::size_t Scanned = 32;
  Dispatcher EntryDispatcher("r");
  EntryDispatcher.fleet().update(makeBackends(State.range(0)), 1s);
  for (ServerIndex I = 0; I < State.range(0); ++I)
    EntryDispatcher.fleet().updateLoad(I, 16, 2s);
  for (RequestId Id = 1; Id <= Offered; ++Id) {
    DispatchRequest Request;
    Request.m_Id = Id;
    Request.m_ObjectHash = Id;
    Request.m_ArrivedAt = 2s;
    Request.m_ObjectiveAt = FarDeadline;
    Request.m_Deadline = FarDeadline;
    EntryDispatcher.submit(Request, 2s);
  }
  if (EntryDispatcher.queueLength() < Scanned) {
    State.SkipWithError("too few requests wait");
    return;
  }
  for (auto Step : State) {
    (void)Step;
    benchmark::DoNotOptimize(EntryDispatcher.processQueue(2s));
  }
}

void clientBlockLookup(benchmark::State &State) {
  static ClientBlockTable Table;
  if (Table.rangeCount() == 0)
    Table.build(makeClientBlocks(TargetBlocks));
  Random Generator(9);
  for (auto Step : State) {
    (void)Step;
    benchmark::DoNotOptimize(
        Table.find(static_cast<std::uint32_t>(Generator.next())));
  }
}

void memberTick(benchmark::State &State) {
  MemberTable Table("10.0.0.0", "d0", MemberLimits{});
  std::vector<MemberTable::ListedVm> Rows;
  for (std::int64_t I = 0; I < State.range(0); ++I)
    Rows.push_back(
        {"10.0." + std::to_string(I / 40) + "." + std::to_string(I % 40),
         "d" + std::to_string(I / 40), false});
  Table.setListedVms(Rows, 10s);
  for (auto Step : State) {
    (void)Step;
    Table.tick(10s);
  }
}

void keyAdmit(benchmark::State &State) {
  HomeId Self{1, 2, 3};
  KeyTableLimits Limits;
  Limits.m_MaxKeys = 100000000;
  KeyTable Table(Self, Limits);
  IdempotencyKey Key{{Self, 0, "0123456789abcdef"}, ""};
  auto EmptyResponse = std::make_shared<const Response>();
  std::int64_t Next = 0;
  for (auto Step : State) {
    (void)Step;
    Key.m_Id = std::to_string(Next++);
    Table.admit(Key, 1, 0);
    std::string Text = Key.text();
    Table.markSent(Text);
    Table.finish(Text, EmptyResponse);
  }
}

// Owns a file descriptor and closes it on destruction.
class UniqueFd {
public:
  explicit UniqueFd(int Fd) : m_Fd(Fd) {}
  UniqueFd(const UniqueFd &) = delete;
  UniqueFd &operator=(const UniqueFd &) = delete;
  ~UniqueFd() { close(m_Fd); }
  int get() const { return m_Fd; }

private:
  int m_Fd;
};

// Logs a failed request with as many fields as a node does.
void logFailedRequest(std::int64_t Id) {
  net::logEvent(net::Severity::Info, "request_failed",
                {{"id", std::to_string(Id)},
                 {"route", "pattern-browse"},
                 {"rank", std::to_string(1)},
                 {"status", std::to_string(503)},
                 {"reason", "queue_full"},
                 {"ms", std::to_string(Id % 1000)},
                 {"waited_ms", std::to_string(Id % 100)},
                 {"server", "katalog-17"},
                 {"server_load", std::to_string(Id % 9)},
                 {"list_age_ms", std::to_string(Id % 700)}});
}

// Logs lines that are all written, to a sink that accepts everything. The log
// is flushed after as many lines as a node logs between two ticks.
void logWritten(benchmark::State &State) {
  constexpr std::int64_t LinesPerFlush = 20;
  UniqueFd Sink(open("/dev/null", O_WRONLY | O_CLOEXEC));
  net::LogSettings Settings;
  Settings.m_LinesPerSecond = std::numeric_limits<int>::max() / 2;
  Settings.m_Descriptor = Sink.get();
  net::startLog(Settings);
  std::int64_t Next = 0;
  for (auto Step : State) {
    (void)Step;
    logFailedRequest(++Next);
    if (Next % LinesPerFlush == 0)
      net::flushLog();
  }
}

// Logs a flood of lines, of which the rate limit leaves out all but the first
// in each second.
void logRateLimited(benchmark::State &State) {
  UniqueFd Sink(open("/dev/null", O_WRONLY | O_CLOEXEC));
  net::LogSettings Settings;
  Settings.m_Descriptor = Sink.get();
  net::startLog(Settings);
  std::int64_t Next = 0;
  for (auto Step : State) {
    (void)Step;
    logFailedRequest(++Next);
  }
  net::flushLog();
}

// Logs to a pipe that nobody reads. The pipe and the log's buffer are full, so
// that every line is dropped.
void logBlockedPipe(benchmark::State &State) {
  int PipeFds[2];
  if (pipe2(PipeFds, O_CLOEXEC) != 0) {
    State.SkipWithError("no pipe");
    return;
  }
  UniqueFd ReadEnd(PipeFds[0]);
  UniqueFd WriteEnd(PipeFds[1]);
  net::LogSettings Settings;
  Settings.m_LinesPerSecond = std::numeric_limits<int>::max() / 2;
  Settings.m_Descriptor = WriteEnd.get();
  net::startLog(Settings);
  std::int64_t Next = 0;
  while (net::droppedLogLines() == 0) {
    logFailedRequest(++Next);
    net::flushLog();
  }
  for (auto Step : State) {
    (void)Step;
    logFailedRequest(++Next);
    net::flushLog();
  }
}

// Collects the median CPU time of each benchmark instead of printing it.
class MedianCollector : public benchmark::BenchmarkReporter {
public:
  bool ReportContext(const Context &) override { return true; } // NOLINT
  void ReportRuns(const std::vector<Run> &Runs) override {      // NOLINT
    for (const Run &Each : Runs)
      if (Each.aggregate_name == "median")
        m_Nanoseconds[Each.run_name.str()] = Each.GetAdjustedCPUTime();
  }
  double median(const std::string &Name) const {
    return m_Nanoseconds.at(Name);
  }

private:
  std::map<std::string, double> m_Nanoseconds;
};

double allocationsPerDecision() {
  DecisionFixture Fixture(1000);
  constexpr int Decisions = 10000;
  std::int64_t Before = Allocations;
  for (int I = 0; I < Decisions; ++I)
    Fixture.handleRequest();
  return static_cast<double>(Allocations - Before) / Decisions;
}

void addBlockTableCosts(std::vector<CostFigure> &Figures) {
  std::vector<ClientBlock> Rows = makeClientBlocks(TargetBlocks);
  ClientBlockTable Table;
  auto StartedAt = std::chrono::steady_clock::now();
  Table.build(Rows);
  std::chrono::duration<double> Elapsed =
      std::chrono::steady_clock::now() - StartedAt;
  double PerBlock = static_cast<double>(Table.memoryBytes()) / TargetBlocks;
  // The memory budget for control is 256 MB in all; the table may take an
  // eighth.
  constexpr double TableBudgetBytes = 32e6;
  Figures.push_back({"block table of 580,000: bytes a block", PerBlock,
                     TableBudgetBytes / TargetBlocks, false});
  Figures.push_back(
      {"block table of 580,000: seconds to load", Elapsed.count(), 12, false});
}

} // namespace

std::vector<CostFigure> measureCosts() {
  for (int Servers : {10, 100, 1000}) {
    std::string Suffix = "/" + std::to_string(Servers);
    benchmark::RegisterBenchmark("decision", decision)
        ->Arg(Servers)
        ->Repetitions(5);
    benchmark::RegisterBenchmark("serverTick", serverTick)
        ->Arg(Servers)
        ->Repetitions(5);
    benchmark::RegisterBenchmark("memberTick", memberTick)
        ->Arg(std::int64_t{Servers} * 2)
        ->Repetitions(5);
  }
  benchmark::RegisterBenchmark("fleetChange", fleetUpdate)
      ->Arg(1000)
      ->Repetitions(5);
  benchmark::RegisterBenchmark("dispatchPump", dispatchQueue)
      ->Arg(1000)
      ->Repetitions(5);
  benchmark::RegisterBenchmark("blockFind", clientBlockLookup)->Repetitions(5);
  benchmark::RegisterBenchmark("keyAdmit", keyAdmit)
      ->Iterations(200000)
      ->Repetitions(3);
  // logBlockedPipe must be the last of these: the lines that it buffers stay in
  // memory.
  benchmark::RegisterBenchmark("logWritten", logWritten)->Repetitions(5);
  benchmark::RegisterBenchmark("logLeftOut", logRateLimited)->Repetitions(5);
  benchmark::RegisterBenchmark("logUnread", logBlockedPipe)->Repetitions(5);
  char Name[] = "bench";
  char MinTime[] = "--benchmark_min_time=0.05";
  char *Args[] = {Name, MinTime};
  int Count = 2;
  benchmark::Initialize(&Count, Args);
  MedianCollector Times;
  benchmark::RunSpecifiedBenchmarks(&Times);
  std::vector<CostFigure> Figures;
  constexpr double NanosPerMicro = 1000;
  auto Add = [&](const char *Text, const char *Key, double Divisor,
                 double Bound) {
    Figures.push_back({Text, Times.median(Key) / Divisor, Bound, false});
  };
  Add("decision at 10 servers, microseconds", "decision/10/repeats:5",
      NanosPerMicro, 2);
  Add("decision at 100 servers, microseconds", "decision/100/repeats:5",
      NanosPerMicro, 2);
  Add("decision at 1,000 servers, microseconds", "decision/1000/repeats:5",
      NanosPerMicro, 2);
  Add("server tick at 100 servers, ns a server", "serverTick/100/repeats:5",
      100, 100);
  Add("server tick at 1,000 servers, ns a server", "serverTick/1000/repeats:5",
      1000, 100);
  // With this bound, 1,000 changes a second take 2% of a core.
  Add("news of a server among 1,000, microseconds",
      "fleetChange/1000/repeats:5", NanosPerMicro, 20);
  // The bound is a tenth of the interval at which the queue is processed.
  Add("look at waiting requests at 1,000 servers, microseconds",
      "dispatchPump/1000/repeats:5", NanosPerMicro, 2000);
  Add("member tick at 200 VMs, ns a VM", "memberTick/200/repeats:5", 200, 1000);
  Add("member tick at 2,000 VMs, ns a VM", "memberTick/2000/repeats:5", 2000,
      1000);
  Add("key admitted, sent and ended, microseconds",
      "keyAdmit/iterations:200000/repeats:3", NanosPerMicro, 10);
  // Logging may take a twentieth of the smallest VM, which has 0.1 cores: 5 ms
  // of CPU time a second. That must cover 200 lines written (20 of each of ten
  // events), or 1,000 lines left out in a flood.
  constexpr double LogBudgetMicros = 5000;
  Add("log line written, microseconds", "logWritten/repeats:5", NanosPerMicro,
      LogBudgetMicros / 200);
  Add("log line left out in a flood, microseconds", "logLeftOut/repeats:5",
      NanosPerMicro, LogBudgetMicros / 1000);
  Add("log line that nobody reads, microseconds", "logUnread/repeats:5",
      NanosPerMicro, LogBudgetMicros / 200);
  constexpr double NanosPerSecond = 1e9;
  // 810,000 look-ups a second over 2,000 daemons are 405 for each. The bound is
  // a thousand times that.
  Figures.push_back({"block look-ups a second on one core",
                     NanosPerSecond / Times.median("blockFind/repeats:5"),
                     405000, true});
  Figures.push_back(
      {"allocations a decision, warm", allocationsPerDecision(), 0, false});
  addBlockTableCosts(Figures);
  return Figures;
}

} // namespace rhubarb::bench
