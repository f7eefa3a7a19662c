// Property test over many seeds: each key runs at most once although entry
// processes crash, are suspended and resumed, shut down gracefully and are
// replaced at the same address; messages are lost, delayed and duplicated; and
// backend servers shed load and lose responses.
#include "bench/VirtualTime.h"
#include "rhubarb/Keys.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace rhubarb;
using rhubarb::bench::VirtualTime;

namespace {

constexpr int VmCount = 3;
constexpr int KeyCount = 4;
constexpr Duration Horizon = 8s;

// The process that may run a key.
enum class RunRule {
  HomeIncarnation, // The incarnation that the key names, as in the real system.
  // Baseline: the process that currently runs at the address in the key.
  HashedOwner,
};

struct Vm {
  std::unique_ptr<KeyTable> m_Table;
  std::uint64_t m_Incarnation = 0;
  bool m_Alive = true;
  bool m_Suspended = false;
  // Actions to run when the VM resumes.
  std::vector<std::function<void()>> m_Delayed;
};

struct KeyView {
  IdempotencyKey m_Key;
  int m_Runs = 0;
  int m_Tries = 0;
  bool m_ReportedAnswered = false;
  // The last try did not run and the caller gave up.
  bool m_ReportedNotRun = false;
};

// Models the path from caller to backend server, with the key tables of the
// library.
class Model {
public:
  Model(std::uint64_t Seed, RunRule Rule) : m_Random(Seed), m_Rule(Rule) {
    for (int I = 0; I < VmCount; ++I)
      startVm(I);
  }

  void run() {
    for (int I = 0; I < KeyCount; ++I)
      m_Time.after(Duration(m_Random.below(1000000)),
                   [this, I] { startKey(I); });
    for (int I = 0; I < 6; ++I)
      m_Time.after(Duration(m_Random.below(3000000)),
                   [this] { injectFault(); });
    m_Time.runUntil(Horizon);
  }

  int duplicated() const {
    int Count = 0;
    for (const auto &[Index, View] : m_Keys)
      Count += View.m_Runs > 1 ? 1 : 0;
    return Count;
  }
  int falseReports() const {
    int Count = 0;
    for (const auto &[Index, View] : m_Keys) {
      Count += View.m_ReportedNotRun && View.m_Runs > 0 ? 1 : 0;
      Count += View.m_ReportedAnswered && View.m_Runs == 0 ? 1 : 0;
    }
    return Count;
  }
  int answered() const {
    int Count = 0;
    for (const auto &[Index, View] : m_Keys)
      Count += View.m_ReportedAnswered ? 1 : 0;
    return Count;
  }

private:
  HomeId homeOf(int Index) const {
    return {static_cast<std::uint32_t>(Index + 1), 80,
            m_Vms[static_cast<std::size_t>(Index)].m_Incarnation};
  }
  Vm &vm(int Index) { return m_Vms[static_cast<std::size_t>(Index)]; }

  void startVm(int Index) {
    Vm &Started = vm(Index);
    Started.m_Incarnation = m_NextIncarnation++;
    Started.m_Alive = true;
    Started.m_Suspended = false;
    Started.m_Delayed.clear();
    KeyTableLimits Limits;
    Limits.m_Lifetime = 60s;
    Started.m_Table = std::make_unique<KeyTable>(homeOf(Index), Limits);
  }

  // Runs Action in an incarnation of a VM, now or when the VM resumes, but
  // never in a later incarnation.
  void deliver(int Index, std::uint64_t Incarnation,
               std::function<void()> Action) {
    Vm &Target = vm(Index);
    if (!Target.m_Alive || Target.m_Incarnation != Incarnation)
      return;
    if (Target.m_Suspended)
      Target.m_Delayed.push_back(std::move(Action));
    else
      Action();
  }

  // Sends a message that may be lost, delayed or duplicated.
  void send(const std::function<void()> &Action) {
    if (m_Random.below(100) < 12)
      return;
    int Copies = m_Random.below(100) < 6 ? 2 : 1;
    for (int I = 0; I < Copies; ++I)
      m_Time.after(Duration(500 + m_Random.below(60000)), Action);
  }

  void startKey(int KeyIndex) {
    int Home = static_cast<int>(m_Random.below(VmCount));
    KeyView &View = m_Keys[KeyIndex];
    View.m_Key.m_Prefix = {homeOf(Home), 0, "s"};
    View.m_Key.m_Id = "k" + std::to_string(KeyIndex);
    for (int Try = 0; Try < 6; ++Try)
      m_Time.after(Duration(Try * 300ms) + Duration(m_Random.below(250000)),
                   [this, KeyIndex] { sendTry(KeyIndex); });
  }

  void sendTry(int KeyIndex) {
    KeyView &View = m_Keys[KeyIndex];
    if (View.m_ReportedAnswered || View.m_ReportedNotRun)
      return;
    int Try = ++View.m_Tries;
    int First = static_cast<int>(m_Random.below(VmCount));
    send([this, First, KeyIndex, Try] {
      deliver(First, vm(First).m_Incarnation,
              [this, First, KeyIndex, Try] { arrive(First, KeyIndex, Try); });
    });
  }

  int homeIndex(const IdempotencyKey &Key) {
    for (int I = 0; I < VmCount; ++I) {
      const Vm &Each = vm(I);
      if (Each.m_Alive && Each.m_Table->servesHome(Key.m_Prefix.m_Home) &&
          !Each.m_Table->retired())
        return I;
    }
    return static_cast<int>(Key.m_Prefix.m_Home.m_Ip) - 1;
  }

  void arrive(int VmIndex, int KeyIndex, int Try) {
    IdempotencyKey Key = m_Keys[KeyIndex].m_Key;
    if (m_Rule == RunRule::HashedOwner)
      Key.m_Prefix.m_Home =
          homeOf(static_cast<int>(Key.m_Prefix.m_Home.m_Ip) - 1);
    int Home = homeIndex(Key);
    if (VmIndex == Home) {
      runAtHome(VmIndex, KeyIndex, Key, Try);
      return;
    }
    send([this, Home, KeyIndex, Key, Try] {
      deliver(Home, vm(Home).m_Incarnation, [this, Home, KeyIndex, Key, Try] {
        runAtHome(Home, KeyIndex, Key, Try);
      });
    });
  }

  void runAtHome(int VmIndex, int KeyIndex, const IdempotencyKey &Key,
                 int Try) {
    KeyTable &Table = *vm(VmIndex).m_Table;
    KeyAdmission Admission = Table.admit(Key, 7, millis(), Try);
    if (Admission.m_Action == KeyAction::Replay)
      reportOutcome(KeyIndex, Admission.m_Response->m_Outcome, Try);
    if (Admission.m_Action == KeyAction::Join)
      Table.join(Key.text(), [this, KeyIndex, Try](const ResponsePtr &Final) {
        reportOutcome(KeyIndex, Final->m_Outcome, Try);
      });
    if (Admission.m_Action == KeyAction::Run)
      queue(VmIndex, KeyIndex, Key, Try);
  }

  // Dispatches the request to a server after a random queueing delay.
  void queue(int VmIndex, int KeyIndex, const IdempotencyKey &Key, int Try) {
    std::uint64_t Incarnation = vm(VmIndex).m_Incarnation;
    m_Time.after(Duration(m_Random.below(40000)),
                 [this, VmIndex, KeyIndex, Key, Try, Incarnation] {
                   deliver(VmIndex, Incarnation,
                           [this, VmIndex, KeyIndex, Key, Try, Incarnation] {
                             dispatch(VmIndex, KeyIndex, Key, Try, Incarnation);
                           });
                 });
  }

  void dispatch(int VmIndex, int KeyIndex, const IdempotencyKey &Key, int Try,
                std::uint64_t Incarnation) {
    KeyTable &Table = *vm(VmIndex).m_Table;
    std::string Text = Key.text();
    if (!Table.markSent(Text))
      return;
    std::uint64_t Percent = m_Random.below(100);
    Duration Latency(500 + m_Random.below(20000));
    // Load shedding: the server reports that the request did not run.
    if (Percent < 15) {
      m_Time.after(Latency, [this, VmIndex, KeyIndex, Text, Try, Incarnation] {
        end(VmIndex, KeyIndex, Text, Try, Incarnation,
            makeErrorResponse(ErrorKind::ServerShed));
      });
      return;
    }
    bool ResponseLost = Percent < 35;
    m_Time.after(Latency, [this, KeyIndex] { ++m_Keys[KeyIndex].m_Runs; });
    m_Time.after(Latency * 2, [this, VmIndex, KeyIndex, Text, Try, Incarnation,
                               ResponseLost] {
      ResponsePtr Final = ResponseLost ? makeErrorResponse(ErrorKind::ServerCut)
                                       : std::make_shared<const Response>();
      end(VmIndex, KeyIndex, Text, Try, Incarnation, Final);
    });
  }

  void end(int VmIndex, int KeyIndex, const std::string &Text, int Try,
           std::uint64_t Incarnation, const ResponsePtr &Final) {
    deliver(VmIndex, Incarnation, [this, VmIndex, KeyIndex, Text, Try, Final] {
      vm(VmIndex).m_Table->finish(Text, Final);
      reportOutcome(KeyIndex, Final->m_Outcome, Try);
    });
  }

  // Delivers the response to a try, unless it is lost. A caller whose latest
  // try did not run may give up on the key.
  void reportOutcome(int KeyIndex, Outcome Reported, int Try) {
    if (m_Random.below(100) < 15)
      return;
    KeyView &View = m_Keys[KeyIndex];
    View.m_ReportedAnswered |= Reported == Outcome::Answered;
    if (Reported == Outcome::NotRun && Try == View.m_Tries &&
        m_Random.below(2) == 0)
      View.m_ReportedNotRun = true;
  }

  void injectFault() {
    int Index = static_cast<int>(m_Random.below(VmCount));
    std::uint64_t Kind = m_Random.below(4);
    Vm &Target = vm(Index);
    if (!Target.m_Alive)
      return;
    if (Kind == 0) { // The process is killed and replaced at the same address.
      Target.m_Alive = false;
      m_Time.after(Duration(m_Random.below(500000)),
                   [this, Index] { startVm(Index); });
    } else if (Kind == 1) {
      suspend(Index);
    } else {
      shutDown(Index);
    }
  }

  void suspend(int Index) {
    vm(Index).m_Suspended = true;
    std::uint64_t Incarnation = vm(Index).m_Incarnation;
    m_Time.after(Duration(m_Random.below(2000000)), [this, Index, Incarnation] {
      Vm &Resumed = vm(Index);
      if (!Resumed.m_Alive || Resumed.m_Incarnation != Incarnation)
        return;
      Resumed.m_Suspended = false;
      auto Delayed = std::move(Resumed.m_Delayed);
      Resumed.m_Delayed.clear();
      for (auto &Action : Delayed)
        Action();
    });
  }

  // Retires the key table of a VM, hands it over to one peer and replaces the
  // VM. The acknowledgement may be lost, in which case only the same peer is
  // tried again.
  void shutDown(int Index) {
    std::uint64_t Incarnation = vm(Index).m_Incarnation;
    deliver(Index, Incarnation, [this, Index] {
      int Peer =
          (Index + 1 + static_cast<int>(m_Random.below(VmCount - 1))) % VmCount;
      std::uint64_t Expected = vm(Peer).m_Incarnation;
      KeyHandover Handover = vm(Index).m_Table->retire();
      for (int Try = 0; Try < 2; ++Try)
        send([this, Peer, Expected, Handover] {
          deliver(Peer, Expected, [this, Peer, Handover] {
            if (!vm(Peer).m_Table->retired())
              vm(Peer).m_Table->adopt(Handover);
          });
        });
      m_Time.after(Duration(200000 + m_Random.below(400000)), [this, Index] {
        vm(Index).m_Alive = false;
        startVm(Index);
      });
    });
  }

  std::int64_t millis() const {
    return m_Time.now() / std::chrono::milliseconds(1);
  }

  VirtualTime m_Time;
  Random m_Random;
  RunRule m_Rule;
  std::uint64_t m_NextIncarnation = 1;
  std::array<Vm, VmCount> m_Vms;
  std::map<int, KeyView> m_Keys;
};

struct Totals {
  int m_Duplicated = 0;
  int m_FalseReports = 0;
  int m_Answered = 0;
};

Totals runSeeds(RunRule Rule, std::uint64_t Seeds) {
  Totals Result;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    Model Run(Seed, Rule);
    Run.run();
    Result.m_Duplicated += Run.duplicated();
    Result.m_FalseReports += Run.falseReports();
    Result.m_Answered += Run.answered();
  }
  return Result;
}

} // namespace

TEST_SUITE("at_most_once") {
  TEST_CASE("no key runs twice over 20,000 seeds") {
    Totals Result = runSeeds(RunRule::HomeIncarnation, 20000);
    CHECK(Result.m_Duplicated == 0);
    CHECK(Result.m_FalseReports == 0);
    CHECK(Result.m_Answered > 20000); // More than a quarter of the keys.
    MESSAGE("answered " << Result.m_Answered << " of " << 20000 * KeyCount);
  }

  // Shows that the model detects duplicate execution, which this rejected
  // design causes.
  TEST_CASE("a hashed owner runs keys twice in the same model") {
    Totals Result = runSeeds(RunRule::HashedOwner, 2000);
    CHECK(Result.m_Duplicated > 0);
    MESSAGE("duplicated " << Result.m_Duplicated << " of " << 2000 * KeyCount);
  }
}
