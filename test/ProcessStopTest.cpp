// Stops of rhubarb-entry, rhubarb-lookup and rhubarb-steer, and of the operator
// port that every daemon has.
#include "test/RawExchange.h"
#include "test/RawResponses.h"
#include "tools/rhubarb-entry/Entry.h"
#include "tools/rhubarb-lookup/Lookup.h"
#include "tools/rhubarb-steer/Agent.h"

#include <doctest/doctest.h>

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <set>

using namespace rhubarb;
using namespace rhubarb::test;

namespace {

constexpr std::uint16_t CallerPort = 7740;
constexpr std::uint16_t ControlPort = 7741;

// Several test runs may share the machine.
std::string processIp() {
  int Pid = ::getpid();
  return "127.81." + std::to_string(Pid / 250 % 250) + "." +
         std::to_string(Pid % 250 + 1);
}

std::string port(std::uint16_t Value) { return std::to_string(Value); }

Settings load(SettingTable Table, std::vector<std::string> Lines) {
  for (const char *Key : {"ip", "domain", "region"})
    Table.push_back({"vm", Key, SettingKind::Text, nullptr, 0, 0, "", ""});
  for (const std::string &Line :
       {"vm.ip=" + processIp(), std::string("vm.domain=a-1"),
        std::string("vm.region=a")})
    Lines.push_back(Line);
  Result<Settings> Loaded = Settings::load(Table, "", Lines);
  REQUIRE(Loaded);
  return Loaded.value();
}

Settings entrySettings() {
  return load(entry::entrySettings(),
              {"entry.key_secret=s", "entry.linger_ms=0", "entry.drain_ms=3000",
               "entry.port=" + port(CallerPort),
               "entry.control_port=" + port(ControlPort)});
}

Settings lookupSettings() {
  return load(lookup::lookupSettings(),
              {"entry.key_secret=s", "lookup.linger_ms=0",
               "lookup.port=" + port(CallerPort),
               "lookup.control_port=" + port(ControlPort)});
}

Settings steerSettings() {
  return load(steer::agentSettings(), {"platform.address=" + processIp() + ":1",
                                       "steer.port=" + port(ControlPort)});
}

// A process that is stopped, without what runs it.
class Stoppable {
public:
  Stoppable() = default;
  Stoppable(const Stoppable &) = delete;
  Stoppable &operator=(const Stoppable &) = delete;
  virtual ~Stoppable() = default;
  virtual asio::io_context &io() = 0;
  virtual asio::awaitable<void> stop() = 0;
};

template <typename Program> class Process final : public Stoppable {
public:
  explicit Process(Settings Values) : m_Daemon(std::move(Values)) {
    REQUIRE(m_Program.start());
  }
  asio::io_context &io() override { return m_Daemon.m_Io; }
  asio::awaitable<void> stop() override { return m_Program.stop(); }

private:
  Daemon m_Daemon;
  Program m_Program{m_Daemon};
};

template <typename Program>
std::unique_ptr<Stoppable> make(Settings (*Values)()) {
  return std::make_unique<Process<Program>>(Values());
}

struct StopRow {
  const char *m_Name;
  std::function<std::unique_ptr<Stoppable>()> m_Make;
  std::uint16_t m_Port;
  const char *m_Target;
};

const StopRow Rows[] = {
    {"callers of an entry",
     [] { return make<entry::EntryProcess>(entrySettings); }, CallerPort, "/r"},
    {"control of an entry",
     [] { return make<entry::EntryProcess>(entrySettings); }, ControlPort,
     "/rpc"},
    {"look-ups", [] { return make<lookup::Lookup>(lookupSettings); },
     CallerPort, "/v1/lookup"},
    {"control of the look-up",
     [] { return make<lookup::Lookup>(lookupSettings); }, ControlPort, "/rpc"},
    {"agents", [] { return make<steer::Agent>(steerSettings); }, ControlPort,
     "/rpc"},
};

std::string get(const std::string &Target) {
  return "GET " + Target + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

// A caller in an event loop of its own that blocks nobody.
class Caller {
public:
  explicit Caller(std::uint16_t Port) {
    m_Socket.connect({asio::ip::make_address(processIp()), Port});
    m_Socket.non_blocking(true);
  }
  void send(const std::string &Text) {
    m_Socket.write_some(asio::buffer(Text));
  }
  bool hasWholeResponse() {
    boost::system::error_code Error;
    std::string Part(64U << 10U, '\0');
    while (!Error)
      m_Received.append(Part, 0, m_Socket.read_some(asio::buffer(Part), Error));
    std::vector<RawResponse> All = splitResponses(m_Received);
    return All.size() == 1 && All[0].m_IsWhole;
  }
  void close() { m_Socket.close(); }

private:
  asio::io_context m_Io{1};
  tcp::socket m_Socket{m_Io};
  std::string m_Received;
};

// Runs a process until its stop has ended, and returns how long that took.
Duration runStop(Stoppable &Stopped, Duration Limit,
                 const std::function<void()> &EachTime = {}) {
  bool HasEnded = false;
  asio::co_spawn(Stopped.io(), Stopped.stop(),
                 [&](const std::exception_ptr &) { HasEnded = true; });
  Time Start = now();
  while (!HasEnded && now() - Start < Limit) {
    Stopped.io().run_one_for(std::chrono::milliseconds(1));
    if (EachTime && !HasEnded)
      EachTime();
  }
  CHECK(HasEnded);
  return now() - Start;
}

} // namespace

TEST_SUITE("process_stop") {
  // Guards against a process that ends while requests that have arrived wait
  // in its listen queue or its sockets.
  TEST_CASE("a stopping process answers what has arrived") {
    constexpr std::size_t CallerCount = 20;
    for (const StopRow &Case : Rows) {
      CAPTURE(std::string(Case.m_Name));
      std::unique_ptr<Stoppable> Stopped = Case.m_Make();
      std::deque<Caller> Callers;
      for (std::size_t I = 0; I < CallerCount; ++I)
        Callers.emplace_back(Case.m_Port).send(get(Case.m_Target));
      std::size_t Answered = 0;
      std::set<Caller *> Waiting;
      for (Caller &One : Callers)
        Waiting.insert(&One);
      auto ReadAll = [&] {
        Answered += std::erase_if(Waiting, [](Caller *One) {
          bool IsWhole = One->hasWholeResponse();
          if (IsWhole)
            One->close();
          return IsWhole;
        });
      };
      runStop(*Stopped, 4s, ReadAll);
      Stopped.reset(); // The process ends.
      ReadAll();
      CHECK(Answered == CallerCount);
    }
  }

  // Guards against a client that holds a stopping process for as long as it
  // likes: it takes its response and leaves the connection open, or stops in
  // the middle of a request.
  TEST_CASE("a client can't hold a stopping process for long") {
    for (const StopRow &Case : Rows)
      for (bool IsWhole : {true, false}) {
        CAPTURE(std::string(Case.m_Name));
        CAPTURE(IsWhole);
        std::unique_ptr<Stoppable> Stopped = Case.m_Make();
        Caller Holder(Case.m_Port);
        std::string Text = get(Case.m_Target);
        Holder.send(Text.substr(0, IsWhole ? Text.size() : 12));
        CHECK(runStop(*Stopped, 10s) < 4s);
      }
  }
}

namespace {

constexpr std::uint16_t OperatorPort = 7742;
constexpr std::size_t StatusBytes = 16U << 20U;

// Runs a daemon whose status is a long document, until it is stopped.
int runTestDaemon(const std::string &Ip) {
  std::vector<std::string> Texts{"daemon",
                                 "--set=vm.ip=" + Ip,
                                 "--set=vm.domain=a-1",
                                 "--set=vm.region=a",
                                 "--set=operator.ip=" + Ip,
                                 "--set=operator.port=" + port(OperatorPort)};
  std::vector<char *> Arguments;
  Arguments.reserve(Texts.size());
  for (std::string &Text : Texts)
    Arguments.push_back(Text.data());
  ProgramInfo Info{"daemon", "a daemon of a test", {}};
  return runDaemon(static_cast<int>(Arguments.size()), Arguments.data(), Info,
                   [](Daemon &) {
                     DaemonHooks Hooks;
                     Hooks.m_Start = [] { return Result<int>(0); };
                     Hooks.m_Status = [] {
                       return Json::Value(std::string(StatusBytes, 'd'));
                     };
                     return Hooks;
                   });
}

// A daemon in a process of its own, as it ends by a signal.
class DaemonProcess {
public:
  explicit DaemonProcess(const std::string &Ip) : m_Pid(::fork()) {
    REQUIRE(m_Pid >= 0);
    if (m_Pid == 0)
      ::_exit(runTestDaemon(Ip));
  }
  DaemonProcess(const DaemonProcess &) = delete;
  DaemonProcess &operator=(const DaemonProcess &) = delete;
  ~DaemonProcess() {
    if (!m_HasEnded)
      ::kill(m_Pid, SIGKILL);
    waitForEnd();
  }
  void terminate() const { ::kill(m_Pid, SIGTERM); }
  // Returns the exit code, or -1 after a signal.
  int waitForEnd() {
    if (!std::exchange(m_HasEnded, true))
      ::waitpid(m_Pid, &m_Status, 0);
    return WIFEXITED(m_Status) ? WEXITSTATUS(m_Status) : -1;
  }

private:
  int m_Pid;
  int m_Status = 0;
  bool m_HasEnded = false;
};

// Connects with a small window once the port listens.
bool connectTo(tcp::socket &Socket, const std::string &Ip, int WindowBytes) {
  for (Time End = now() + 10s; now() < End;) {
    boost::system::error_code Error;
    Socket.open(tcp::v4());
    Socket.set_option(asio::socket_base::receive_buffer_size(WindowBytes));
    Socket.connect({asio::ip::make_address(Ip), OperatorPort}, Error);
    if (!Error)
      return true;
    Socket.close();
    ::usleep(20'000);
  }
  return false;
}

} // namespace

TEST_SUITE("process_stop") {
  // Guards against an operator's document, such as the status of a large fleet,
  // that the end of a stop cuts.
  TEST_CASE("a stopping daemon completes what its operator port sends") {
    constexpr int WindowBytes = 256 << 10;
    std::string Ip = processIp();
    DaemonProcess Running(Ip);
    asio::io_context Io{1};
    tcp::socket Socket(Io);
    REQUIRE(connectTo(Socket, Ip, WindowBytes));
    std::string Request = get("/v1/status");
    asio::write(Socket, asio::buffer(Request));
    std::string Received;
    std::string Part(WindowBytes, '\0');
    boost::system::error_code Error;
    Received.append(Part, 0, Socket.read_some(asio::buffer(Part), Error));
    Running.terminate();
    ::usleep(300'000);
    while (!Error)
      Received.append(Part, 0, Socket.read_some(asio::buffer(Part), Error));
    Socket.close();
    std::vector<RawResponse> All = splitResponses(Received);
    REQUIRE(All.size() == 1);
    CHECK(All[0].m_IsWhole);
    CHECK(All[0].m_Body.size() > StatusBytes);
    CHECK(Running.waitForEnd() == ExitOk);
  }
}
