// Tests that the receiver of grant requests never overcommits its slots, even
// if messages are lost, delayed or duplicated.
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

// A receiver with ten slots and four sources, connected by a network that
// loses, delays and duplicates messages.
class GrantModel {
public:
  explicit GrantModel(std::uint64_t Seed)
      : m_Random(Seed), m_Issuer(GrantLimits{}), m_Holders(Sources) {}

  void run() {
    for (int I = 0; I < Sources; ++I)
      m_Time.after(Duration(I * 1000), [this, I] { sourceTick(I); });
    m_Time.after(10ms, [this] { runLocalRequests(); });
    m_Time.runUntil(12s);
  }

  int m_MaxBusy = 0;
  int m_Forwarded = 0;
  int m_Refused = 0;

private:
  std::string name(int Source) const { return "s" + std::to_string(Source); }
  int freeSlots() const { return Slots - m_Busy; }

  void send(const std::function<void()> &Action) {
    std::uint64_t Percent = m_Random.below(100);
    if (Percent < 15)
      return;
    for (int I = 0; I < (Percent < 25 ? 2 : 1); ++I)
      m_Time.after(Duration(1000 + m_Random.below(400000)), Action);
  }

  void sourceTick(int Source) {
    GrantHolder &Holder = m_Holders[static_cast<std::size_t>(Source)];
    int Wanted = static_cast<int>(m_Random.below(6));
    for (const PlannedGrantRequest &Request :
         Holder.planRequests(0, Priority::Normal, Wanted, 1s, {{"r", 2, Slots}},
                             m_Time.now())) {
      Time SentAt = m_Time.now();
      send([this, Source, Request, SentAt] {
        GrantPoolState State{freeSlots(), 0, Priority::Batch};
        Grant Granted = m_Issuer.issue(
            {name(Source), 0, Request.m_Priority, Request.m_Slots}, State,
            m_Time.now());
        send([this, Source, Granted, SentAt] {
          m_Holders[static_cast<std::size_t>(Source)].recordResponse(
              "r", 0, Granted, SentAt, m_Time.now());
        });
      });
      m_Time.after(1s, [this, Source] {
        m_Holders[static_cast<std::size_t>(Source)].recordFailure("r", 0);
      });
    }
    while (GrantHolder::HeldGrant *Held = Holder.acquire(0, 2, m_Time.now()))
      forward(Source, Held->m_Id);
    m_Time.after(20ms, [this, Source] { sourceTick(Source); });
  }

  void forward(int Source, GrantId Id) {
    send([this, Id] {
      if (!m_Issuer.start(Id, m_Time.now())) {
        ++m_Refused;
        return;
      }
      ++m_Forwarded;
      occupy();
      m_Time.after(Duration(10000 + m_Random.below(200000)), [this, Id] {
        --m_Busy;
        m_Issuer.finish(Id);
      });
    });
    m_Time.after(300ms, [this, Source] {
      m_Holders[static_cast<std::size_t>(Source)].release("r", 0);
    });
  }

  // Starts local requests on slots that are not granted.
  void runLocalRequests() {
    m_Issuer.tick(m_Time.now());
    if (freeSlots() - m_Issuer.reservedSlots(0, m_Time.now()) > 0 &&
        m_Random.below(3) == 0) {
      occupy();
      m_Time.after(Duration(50000), [this] { --m_Busy; });
    }
    m_Time.after(10ms, [this] { runLocalRequests(); });
  }

  void occupy() {
    ++m_Busy;
    m_MaxBusy = std::max(m_MaxBusy, m_Busy);
  }

  VirtualTime m_Time;
  Random m_Random;
  GrantIssuer m_Issuer;
  std::vector<GrantHolder> m_Holders;
  int m_Busy = 0;
};

} // namespace

TEST_SUITE("grants") {
  TEST_CASE(
      "slots are never over-committed over 1,000 seeds of a bad network") {
    int Overcommitted = 0;
    int Forwarded = 0;
    for (std::uint64_t Seed = 1; Seed <= 1000; ++Seed) {
      GrantModel Model(Seed);
      Model.run();
      Overcommitted += Model.m_MaxBusy > Slots ? 1 : 0;
      Forwarded += Model.m_Forwarded;
    }
    CHECK(Overcommitted == 0);
    CHECK(Forwarded > 20000);
  }

  TEST_CASE("grants grow slowly and end at once for local requests") {
    GrantIssuer Issuer(GrantLimits{});
    GrantPoolState Free{100, 0, Priority::Batch};
    GrantPoolState LocalUrgent{100, 5, Priority::Urgent};
    int Expected[] = {2, 4, 8, 16};
    Time Now = 20s;
    for (int Granted : Expected) {
      CHECK(Issuer.issue({"s", 0, Priority::Normal, 50}, Free, Now).m_Slots ==
            Granted);
      Now += 200ms;
    }
    CHECK(Issuer.issue({"s", 0, Priority::Normal, 50}, LocalUrgent, Now)
              .m_Slots == 0);
    CHECK(Issuer.reservedSlots(0, Now) == 0);
  }

  TEST_CASE("a grant ends after its lifetime") {
    GrantIssuer Issuer(GrantLimits{});
    Grant Granted = Issuer.issue({"s", 0, Priority::Normal, 2},
                                 {10, 0, Priority::Batch}, 20s);
    CHECK(Issuer.start(Granted.m_Id, 20s + 1s));
    CHECK(!Issuer.start(Granted.m_Id, 20s + 2s));
    CHECK(!Issuer.start(Granted.m_Id + 7, 20s));
  }

  TEST_CASE(
      "a pending request above the local priority gets the next free slots") {
    GrantIssuer Issuer(GrantLimits{});
    GrantPoolState Busy{0, 30, Priority::Batch};
    CHECK(Issuer.issue({"s", 0, Priority::Urgent, 2}, Busy, 20s).m_Slots == 0);
    CHECK(Issuer.issue({"t", 0, Priority::Batch, 2}, Busy, 20s).m_Slots == 0);
    CHECK(Issuer.servePending(0, 0, 20s).empty());
    CHECK(Issuer.reservedSlots(0, 20s) == 0);
    auto Granted = Issuer.servePending(0, 1, 20s + 100ms);
    REQUIRE(Granted.size() == 1);
    CHECK(Granted[0].m_Source == "s");
    CHECK(Granted[0].m_Grant.m_Slots == 1);
    CHECK(Issuer.reservedSlots(0, 20s + 100ms) == 1);
    CHECK(Issuer.start(Granted[0].m_Grant.m_Id, 20s + 200ms));
    CHECK(Issuer.servePending(0, 3, 20s + 300ms).size() == 1);
    CHECK(Issuer.servePending(0, 3, 20s + 400ms).empty());
    // A pending request expires if no slot becomes free in time.
    Issuer.issue({"u", 0, Priority::Urgent, 2}, Busy, 30s);
    CHECK(Issuer.servePending(0, 3, 31s).empty());
  }

  TEST_CASE("slots that no request waits for are returned") {
    GrantHolder Holder;
    GrantIssuer Issuer(GrantLimits{});
    auto Requests =
        Holder.planRequests(0, Priority::Normal, 2, 1s, {{"r", 1, 10}}, 20s);
    REQUIRE(Requests.size() == 1);
    GrantPoolState State{10, 0, Priority::Batch};
    Holder.recordResponse(
        "r", 0,
        Issuer.issue({"s", 0, Priority::Normal, Requests[0].m_Slots}, State,
                     20s),
        20s, 20s);
    CHECK(Issuer.reservedSlots(0, 20s) == 2);
    auto Returns = Holder.planReturns(0, std::nullopt, 20s);
    REQUIRE(Returns.size() == 1);
    CHECK(Returns[0].m_Slots == 0);
    CHECK(Holder.freeSlots(0, 2, 20s) == 0);
    Issuer.issue({"s", 0, Priority::Batch, 0}, State, 20s);
    CHECK(Issuer.reservedSlots(0, 20s) == 0);
  }

  TEST_CASE(
      "a peer gets a request only if the wait is many times the round trip") {
    GrantHolder Holder;
    Holder.planRequests(0, Priority::Normal, 2, 1s, {{"far", 2, 10}}, 20s);
    Holder.recordResponse("far", 0, Grant{}, 20s, 20s + 110ms);
    CHECK(
        Holder.planRequests(0, Priority::Normal, 2, 50ms, {{"far", 2, 10}}, 21s)
            .empty());
    CHECK(Holder.planRequests(0, Priority::Normal, 2, 1s, {{"far", 2, 10}}, 21s)
              .size() == 1);
  }
}
