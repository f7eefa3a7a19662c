// Link shares: all sources together stay under the cap in every window of 100
// ms, also with loans and lost loan messages.
#include "rhubarb/Links.h"
#include "bench/VirtualTime.h"

#include <doctest/doctest.h>

#include <deque>

using namespace rhubarb;
using rhubarb::bench::VirtualTime;

namespace {

constexpr std::int64_t Cap = 10000000; // Cap in bytes per second.
constexpr Duration Window = 100ms;

// Counts the bytes sent in the last window, and the maximum over all windows.
class WindowMeter {
public:
  void add(std::int64_t Bytes, Time Now) {
    m_Sent.push_back({Now, Bytes});
    m_Sum += Bytes;
    m_Total += Bytes;
    while (m_Sent.front().m_At <= Now - Window) {
      m_Sum -= m_Sent.front().m_Bytes;
      m_Sent.pop_front();
    }
    m_MaxSum = std::max(m_MaxSum, m_Sum);
  }
  std::int64_t maxSum() const { return m_MaxSum; }
  std::int64_t total() const { return m_Total; }

private:
  struct Row {
    Time m_At;
    std::int64_t m_Bytes;
  };
  std::deque<Row> m_Sent;
  std::int64_t m_Sum = 0;
  std::int64_t m_MaxSum = 0;
  std::int64_t m_Total = 0;
};

class LinkModel {
public:
  LinkModel(std::uint64_t Seed, int Sources, bool Lend)
      : m_Random(Seed), m_Lend(Lend) {
    for (int I = 0; I < Sources; ++I) {
      m_Shares.emplace_back(LinkLimits{}, Time{0});
      m_Shares.back().setCap(Cap, Sources, Time{0});
    }
  }

  void run(Duration Length, bool OneBusy) {
    for (std::size_t I = 0; I < m_Shares.size(); ++I)
      if (!OneBusy || I == 0)
        m_Time.after(Duration(m_Random.below(1000)),
                     [this, I] { sendNext(I); });
    if (m_Lend)
      m_Time.after(200ms, [this] { lendRound(); });
    m_Time.runUntil(Length);
  }

  const WindowMeter &meter() const { return m_Meter; }

private:
  void sendNext(std::size_t Source) {
    auto Bytes = static_cast<std::int64_t>(200 + m_Random.below(4000));
    if (m_Shares[Source].charge(Bytes, m_Time.now()))
      m_Meter.add(Bytes, m_Time.now());
    m_Time.after(Duration(20 + m_Random.below(160)),
                 [this, Source] { sendNext(Source); });
  }

  // Idle sources lend most of their spare rate to the first one. If the message
  // about a loan is lost, nobody uses that rate.
  void lendRound() {
    for (std::size_t I = 1; I < m_Shares.size(); ++I) {
      std::int64_t Spare = m_Shares[I].spareRate(m_Time.now());
      std::int64_t LentRate =
          m_Shares[I].lend(Spare / 10 * 9, 1s, m_Time.now());
      Time Until = m_Time.now() + 900ms;
      if (LentRate > 0 && m_Random.below(100) >= 20)
        m_Time.after(Duration(1000 + m_Random.below(80000)),
                     [this, LentRate, Until] {
                       m_Shares[0].borrow({LentRate, Until}, m_Time.now());
                     });
    }
    m_Time.after(250ms, [this] { lendRound(); });
  }

  VirtualTime m_Time;
  Random m_Random;
  bool m_Lend;
  std::vector<LinkShare> m_Shares;
  WindowMeter m_Meter;
};

constexpr std::int64_t WindowCap = Cap / 10;

} // namespace

TEST_SUITE("links") {
  TEST_CASE("the cap holds in every window of 100 ms") {
    struct Row {
      const char *m_Name;
      int m_Sources;
      bool m_Lend;
      bool m_OneBusy;
      double m_MinUsedShare; // Minimum share of the cap in use.
    };
    const Row Rows[] = {
        {"one source", 1, false, false, 0.85},
        {"five busy sources", 5, false, false, 0.85},
        {"five sources, one busy, no loans", 5, false, true, 0.15},
        {"five sources, one busy, loans", 5, true, true, 0.55},
        {"five busy sources that lend", 5, true, false, 0.8},
    };
    for (const Row &Case : Rows)
      for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
        CAPTURE(Case.m_Name);
        CAPTURE(Seed);
        LinkModel Model(Seed, Case.m_Sources, Case.m_Lend);
        Model.run(5s, Case.m_OneBusy);
        CHECK(Model.meter().maxSum() <= WindowCap);
        double UsedShare =
            static_cast<double>(Model.meter().total()) / (5.0 * Cap);
        CHECK(UsedShare >= Case.m_MinUsedShare);
      }
  }

  TEST_CASE("other traffic and the age of its measurement reduce the rate") {
    LinkShare Share(LinkLimits{}, Time{0});
    Share.setCap(Cap, 1, Time{0});
    std::int64_t FullRate = Share.rate(Time{0});
    Share.setOtherTraffic(Cap / 2, Time{0});
    std::int64_t HalfRate = Share.rate(Time{0});
    CHECK(HalfRate < FullRate * 6 / 10);
    CHECK(Share.rate(3s) < HalfRate);
    CHECK(Share.rate(11s) == 0);
  }

  TEST_CASE("a charge larger than the burst never succeeds") {
    LinkShare Share(LinkLimits{}, Time{0});
    Share.setCap(Cap, 10, Time{0});
    CHECK(Share.timeUntilAvailable(Cap, Time{0}) == Duration::max());
    CHECK(Share.timeUntilAvailable(100, 1s) == Duration{0});
  }
}
