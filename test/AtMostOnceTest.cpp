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
  // Baseline: the process that currently has the address that the key hashes
  // to.
  HashedOwner,
};

struct Vm {
  std::unique_ptr<KeyTable> m_Table;
  std::uint64_t m_Incarnation = 0;
  bool m_Alive = true;
  bool m_Frozen = false;
  // Actions that wait while the VM is suspended.
  std::vector<std::function<void()>> m_Delayed;
};

struct KeyView {
  IdempotencyKey m_Key;
  int m_Runs = 0;
  int m_Tries = 0;
  bool m_ReportedAnswered = false;
  bool m_ReportedNotRun =
      false; // The last try was refused and the caller gave up.
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
    Vm &Fresh = vm(Index);
    Fresh.m_Incarnation = m_NextIncarnation++;
    Fresh.m_Alive = true;
    Fresh.m_Frozen = false;
    Fresh.m_Delayed.clear();
    KeyTableLimits Limits;
    Limits.m_Lifetime = 60s;
    Fresh.m_Table = std::make_unique<KeyTable>(homeOf(Index), Limits);
  }

  // Delivers to a VM's process, now or when it resumes, but never to the
  // process that replaces it.
  void deliver(int Index, std::uint64_t Incarnation,
               std::function<void()> Action) {
    Vm &Target = vm(Index);
    if (!Target.m_Alive || Target.m_Incarnation != Incarnation)
      return;
    if (Target.m_Frozen)
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

  void startKey(int Index) {
    int Home = static_cast<int>(m_Random.below(VmCount));
    KeyView &View = m_Keys[Index];
    View.m_Key.m_Prefix = {homeOf(Home), 0, "s"};
    View.m_Key.m_Id = "k" + std::to_string(Index);
    for (int Try = 0; Try < 6; ++Try)
      m_Time.after(Duration(Try * 300ms) + Duration(m_Random.below(250000)),
                   [this, Index] { sendTry(Index); });
  }

  void sendTry(int Index) {
    KeyView &View = m_Keys[Index];
    if (View.m_ReportedAnswered || View.m_ReportedNotRun)
      return;
    int Try = ++View.m_Tries;
    int First = static_cast<int>(m_Random.below(VmCount));
    send([this, First, Index, Try] {
      deliver(First, vm(First).m_Incarnation,
              [this, First, Index, Try] { arrive(First, Index, Try); });
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

  void arrive(int At, int Index, int Try) {
    IdempotencyKey Key = m_Keys[Index].m_Key;
    if (m_Rule == RunRule::HashedOwner)
      Key.m_Prefix.m_Home =
          homeOf(static_cast<int>(Key.m_Prefix.m_Home.m_Ip) - 1);
    int Home = homeIndex(Key);
    if (At == Home) {
      runAtHome(At, Index, Key, Try);
      return;
    }
    send([this, Home, Index, Key, Try] {
      deliver(Home, vm(Home).m_Incarnation, [this, Home, Index, Key, Try] {
        runAtHome(Home, Index, Key, Try);
      });
    });
  }

  void runAtHome(int At, int Index, const IdempotencyKey &Key, int Try) {
    KeyTable &Table = *vm(At).m_Table;
    KeyAdmission Admission = Table.admit(Key, 7, millis(), Try);
    if (Admission.m_Action == KeyAction::Replay)
      reportOutcome(Index, Admission.m_Response->m_Outcome, Try);
    if (Admission.m_Action == KeyAction::Join)
      Table.join(Key.text(), [this, Index, Try](const ResponsePtr &Final) {
        reportOutcome(Index, Final->m_Outcome, Try);
      });
    if (Admission.m_Action == KeyAction::Run)
      queue(At, Index, Key, Try);
  }

  // Dispatches the request to a server after a random queueing delay.
  void queue(int At, int Index, const IdempotencyKey &Key, int Try) {
    std::uint64_t Incarnation = vm(At).m_Incarnation;
    m_Time.after(Duration(m_Random.below(40000)), [this, At, Index, Key, Try,
                                                   Incarnation] {
      deliver(At, Incarnation, [this, At, Index, Key, Try, Incarnation] {
        dispatch(At, Index, Key, Try, Incarnation);
      });
    });
  }

  void dispatch(int At, int Index, const IdempotencyKey &Key, int Try,
                std::uint64_t Incarnation) {
    KeyTable &Table = *vm(At).m_Table;
    std::string Text = Key.text();
    if (!Table.markSent(Text))
      return;
    std::uint64_t Fate = m_Random.below(100);
    Duration There(500 + m_Random.below(20000));
    // Load shedding: the server reports that the request did not run.
    if (Fate < 15) {
      m_Time.after(There, [this, At, Index, Text, Try, Incarnation] {
        end(At, Index, Text, Try, Incarnation,
            makeErrorResponse(ErrorKind::ServerShed));
      });
      return;
    }
    bool Lost = Fate < 35;
    m_Time.after(There, [this, Index] { ++m_Keys[Index].m_Runs; });
    m_Time.after(There * 2, [this, At, Index, Text, Try, Incarnation, Lost] {
      ResponsePtr Final = Lost ? makeErrorResponse(ErrorKind::ServerCut)
                               : std::make_shared<const Response>();
      end(At, Index, Text, Try, Incarnation, Final);
    });
  }

  void end(int At, int Index, const std::string &Text, int Try,
           std::uint64_t Incarnation, const ResponsePtr &Final) {
    deliver(At, Incarnation, [this, At, Index, Text, Try, Final] {
      vm(At).m_Table->finish(Text, Final);
      reportOutcome(Index, Final->m_Outcome, Try);
    });
  }

  // Delivers the response to one try, unless it is lost. A caller whose latest
  // try is refused may give up on the key.
  void reportOutcome(int Index, Outcome Reported, int Try) {
    if (m_Random.below(100) < 15)
      return;
    KeyView &View = m_Keys[Index];
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
    if (Kind == 0) { // Killed and replaced at the same address.
      Target.m_Alive = false;
      m_Time.after(Duration(m_Random.below(500000)),
                   [this, Index] { startVm(Index); });
    } else if (Kind == 1) {
      freeze(Index);
    } else {
      shutDown(Index);
    }
  }

  void freeze(int Index) {
    vm(Index).m_Frozen = true;
    std::uint64_t Incarnation = vm(Index).m_Incarnation;
    m_Time.after(Duration(m_Random.below(2000000)), [this, Index, Incarnation] {
      Vm &Resumed = vm(Index);
      if (!Resumed.m_Alive || Resumed.m_Incarnation != Incarnation)
        return;
      Resumed.m_Frozen = false;
      auto Delayed = std::move(Resumed.m_Delayed);
      Resumed.m_Delayed.clear();
      for (auto &Action : Delayed)
        Action();
    });
  }

  // Retires the key table, hands it over to one peer and is replaced. The
  // acknowledgement may be lost, in which case only the same peer is tried
  // again.
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
  Totals Sum;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    Model Run(Seed, Rule);
    Run.run();
    Sum.m_Duplicated += Run.duplicated();
    Sum.m_FalseReports += Run.falseReports();
    Sum.m_Answered += Run.answered();
  }
  return Sum;
}

} // namespace

TEST_SUITE("at_most_once") {
  TEST_CASE("no key runs twice over 20,000 seeds") {
    Totals Sum = runSeeds(RunRule::HomeIncarnation, 20000);
    CHECK(Sum.m_Duplicated == 0);
    CHECK(Sum.m_FalseReports == 0);
    CHECK(Sum.m_Answered > 20000); // Most keys are answered.
    MESSAGE("answered " << Sum.m_Answered << " of " << 20000 * KeyCount);
  }

  // Shows that the model detects duplicate execution: the refused design causes
  // it.
  TEST_CASE("a hashed owner runs keys twice in the same model") {
    Totals Sum = runSeeds(RunRule::HashedOwner, 2000);
    CHECK(Sum.m_Duplicated > 0);
    MESSAGE("duplicated " << Sum.m_Duplicated << " of " << 2000 * KeyCount);
  }
}
