// Grants: the receiver's slots are never over-committed, whatever is lost, late
// or repeated.
#include "rhubarb/Grants.h"
#include "bench/VirtualTime.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace rhubarb;
using rhubarb::bench::VirtualTime;

namespace {

constexpr int Slots = 10;
constexpr int Sources = 4;

// A receiver with ten slots and four sources, over a network that loses, delays
// and repeats messages.
class GrantModel {
public:
  explicit GrantModel(std::uint64_t Seed)
      : m_Random(Seed), m_Desk(GrantLimits{}), m_Wallets(Sources) {}

  void run() {
    for (int I = 0; I < Sources; ++I)
      m_Time.after(Duration(I * 1000), [this, I] { sourceTick(I); });
    m_Time.after(10ms, [this] { localWork(); });
    m_Time.runUntil(12s);
  }

  int m_Most = 0;
  int m_Forwarded = 0;
  int m_Refused = 0;

private:
  std::string name(int Source) const { return "s" + std::to_string(Source); }
  int freeSlots() const { return Slots - m_Busy; }

  void send(const std::function<void()> &Action) {
    std::uint64_t Fate = m_Random.below(100);
    if (Fate < 15)
      return;
    for (int I = 0; I < (Fate < 25 ? 2 : 1); ++I)
      m_Time.after(Duration(1000 + m_Random.below(400000)), Action);
  }

  void sourceTick(int Source) {
    GrantHolder &Wallet = m_Wallets[static_cast<std::size_t>(Source)];
    int Wanted = static_cast<int>(m_Random.below(6));
    for (const PlannedGrantRequest &Ask :
         Wallet.planRequests(0, Priority::Normal, Wanted, 1s, {{"r", 2, Slots}},
                             m_Time.now())) {
      Time AskedAt = m_Time.now();
      send([this, Source, Ask, AskedAt] {
        GrantPoolState Room{freeSlots(), 0, Priority::Batch};
        Grant Given = m_Desk.issue(
            {name(Source), 0, Ask.m_Priority, Ask.m_Slots}, Room, m_Time.now());
        send([this, Source, Given, AskedAt] {
          m_Wallets[static_cast<std::size_t>(Source)].recordResponse(
              "r", 0, Given, AskedAt, m_Time.now());
        });
      });
      m_Time.after(1s, [this, Source] {
        m_Wallets[static_cast<std::size_t>(Source)].recordFailure("r", 0);
      });
    }
    while (GrantHolder::HeldGrant *Held = Wallet.acquire(0, 2, m_Time.now()))
      forward(Source, Held->m_Id);
    m_Time.after(20ms, [this, Source] { sourceTick(Source); });
  }

  void forward(int Source, GrantId Id) {
    send([this, Id] {
      if (!m_Desk.start(Id, m_Time.now())) {
        ++m_Refused;
        return;
      }
      ++m_Forwarded;
      occupy();
      m_Time.after(Duration(10000 + m_Random.below(200000)), [this, Id] {
        --m_Busy;
        m_Desk.finish(Id);
      });
    });
    m_Time.after(300ms, [this, Source] {
      m_Wallets[static_cast<std::size_t>(Source)].release("r", 0);
    });
  }

  // The receiver's own work takes what the grants leave.
  void localWork() {
    m_Desk.tick(m_Time.now());
    if (freeSlots() - m_Desk.reservedSlots(0, m_Time.now()) > 0 &&
        m_Random.below(3) == 0) {
      occupy();
      m_Time.after(Duration(50000), [this] { --m_Busy; });
    }
    m_Time.after(10ms, [this] { localWork(); });
  }

  void occupy() {
    ++m_Busy;
    m_Most = std::max(m_Most, m_Busy);
  }

  VirtualTime m_Time;
  Random m_Random;
  GrantIssuer m_Desk;
  std::vector<GrantHolder> m_Wallets;
  int m_Busy = 0;
};

} // namespace

TEST_SUITE("grants") {
  TEST_CASE(
      "slots are never over-committed over 1,000 seeds of a bad network") {
    int Over = 0;
    int Forwarded = 0;
    for (std::uint64_t Seed = 1; Seed <= 1000; ++Seed) {
      GrantModel Model(Seed);
      Model.run();
      Over += Model.m_Most > Slots ? 1 : 0;
      Forwarded += Model.m_Forwarded;
    }
    CHECK(Over == 0);
    CHECK(Forwarded > 20000);
  }

  TEST_CASE("grants open slowly and close at once") {
    GrantIssuer Desk(GrantLimits{});
    GrantPoolState Free{100, 0, Priority::Batch};
    GrantPoolState OwnWork{100, 5, Priority::Urgent};
    int Expected[] = {2, 4, 8, 16};
    Time Now = 20s;
    for (int Given : Expected) {
      CHECK(Desk.issue({"s", 0, Priority::Normal, 50}, Free, Now).m_Slots ==
            Given);
      Now += 200ms;
    }
    CHECK(Desk.issue({"s", 0, Priority::Normal, 50}, OwnWork, Now).m_Slots ==
          0);
    CHECK(Desk.reservedSlots(0, Now) == 0);
  }

  TEST_CASE("a grant ends by its term") {
    GrantIssuer Desk(GrantLimits{});
    Grant Given = Desk.issue({"s", 0, Priority::Normal, 2},
                             {10, 0, Priority::Batch}, 20s);
    CHECK(Desk.start(Given.m_Id, 20s + 1s));
    CHECK(!Desk.start(Given.m_Id, 20s + 2s));
    CHECK(!Desk.start(Given.m_Id + 7, 20s));
  }

  TEST_CASE("more urgent work of others gets the next free slots") {
    GrantIssuer Desk(GrantLimits{});
    GrantPoolState Busy{0, 30, Priority::Batch};
    CHECK(Desk.issue({"s", 0, Priority::Urgent, 2}, Busy, 20s).m_Slots == 0);
    CHECK(Desk.issue({"t", 0, Priority::Batch, 2}, Busy, 20s).m_Slots == 0);
    CHECK(Desk.servePending(0, 0, 20s).empty());
    CHECK(Desk.reservedSlots(0, 20s) == 0);
    auto Given = Desk.servePending(0, 1, 20s + 100ms);
    REQUIRE(Given.size() == 1);
    CHECK(Given[0].m_Source == "s");
    CHECK(Given[0].m_Grant.m_Slots == 1);
    CHECK(Desk.reservedSlots(0, 20s + 100ms) == 1);
    CHECK(Desk.start(Given[0].m_Grant.m_Id, 20s + 200ms));
    CHECK(Desk.servePending(0, 3, 20s + 300ms).size() == 1);
    CHECK(Desk.servePending(0, 3, 20s + 400ms).empty());
    // A claim that was not served in time is over.
    Desk.issue({"u", 0, Priority::Urgent, 2}, Busy, 30s);
    CHECK(Desk.servePending(0, 3, 31s).empty());
  }

  TEST_CASE("slots that nothing waits for are given back") {
    GrantHolder Wallet;
    GrantIssuer Desk(GrantLimits{});
    auto Asks =
        Wallet.planRequests(0, Priority::Normal, 2, 1s, {{"r", 1, 10}}, 20s);
    REQUIRE(Asks.size() == 1);
    GrantPoolState Room{10, 0, Priority::Batch};
    Wallet.recordResponse(
        "r", 0,
        Desk.issue({"s", 0, Priority::Normal, Asks[0].m_Slots}, Room, 20s), 20s,
        20s);
    CHECK(Desk.reservedSlots(0, 20s) == 2);
    auto Returns = Wallet.planReturns(0, std::nullopt, 20s);
    REQUIRE(Returns.size() == 1);
    CHECK(Returns[0].m_Slots == 0);
    CHECK(Wallet.freeSlots(0, 2, 20s) == 0);
    Desk.issue({"s", 0, Priority::Batch, 0}, Room, 20s);
    CHECK(Desk.reservedSlots(0, 20s) == 0);
  }

  TEST_CASE("a peer is asked only when the way is shorter than the wait") {
    GrantHolder Wallet;
    Wallet.planRequests(0, Priority::Normal, 2, 1s, {{"far", 2, 10}}, 20s);
    Wallet.recordResponse("far", 0, Grant{}, 20s, 20s + 110ms);
    CHECK(
        Wallet.planRequests(0, Priority::Normal, 2, 50ms, {{"far", 2, 10}}, 21s)
            .empty());
    CHECK(Wallet.planRequests(0, Priority::Normal, 2, 1s, {{"far", 2, 10}}, 21s)
              .size() == 1);
  }
}
