// Who reads the control plane, and how old what a region knows may get.
#include "rhubarb/Readers.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>

using namespace rhubarb;

namespace {

constexpr Duration Bound = 2s;
constexpr Duration Step = 10ms;        // Of virtual time.
constexpr Duration AnswerTakes = 40ms; // Of the control plane, there and back.
constexpr Duration Overdue = 500ms;    // After the end of a watch.
constexpr Duration TellPause = 400ms;
constexpr Duration RetryPause = 200ms;
// From 3 s to 14 s, five in four seconds, and what is under way at the start.
constexpr int ReadsOfOne = 15;

// A VM of the region; its index is its rank.
struct Vm {
  StoreReadPolicy m_Duty{Bound};
  Time m_KnownAt{0};
  Time m_AskedAt{0}; // Of the watch under way; 0: none.
  Time m_AnswerBy{0};
  Time m_NotBefore{0};
  Time m_ToldAt{0};
  bool m_Cut = false;  // From the control plane; nobody tells it.
  bool m_Dead = false; // Neither reads nor tells.
  bool m_Failing = false;
};

struct Region {
  std::vector<Vm> m_Vms = std::vector<Vm>(5);
  bool m_Deaf = false; // No datagram arrives.
  int m_Reads = 0;
  Duration m_Oldest{0}; // Of what a VM in touch with the control plane knew.

  void tell(std::size_t From, Time Now) {
    Vm &Teller = m_Vms[From];
    Teller.m_ToldAt = Now;
    if (m_Deaf || From >= MaxReaders)
      return;
    for (std::size_t To = 0; To < m_Vms.size(); ++To) {
      if (From < To)
        m_Vms[To].m_Duty.recordUpdate(Now - Teller.m_KnownAt, Now);
      m_Vms[To].m_KnownAt = std::max(m_Vms[To].m_KnownAt, Teller.m_KnownAt);
    }
  }

  void read(std::size_t Index, Time Now) {
    Vm &Reader = m_Vms[Index];
    bool Should = Reader.m_Duty.shouldRead(Index, Reader.m_KnownAt, Now);
    if (Reader.m_AskedAt.count() == 0) {
      if (!Should || Now < Reader.m_NotBefore)
        return;
      Reader.m_AskedAt = Now;
      Reader.m_AnswerBy =
          Now + Reader.m_Duty.watchTimeout(Reader.m_KnownAt, Now) + AnswerTakes;
      ++m_Reads;
      return;
    }
    if (Reader.m_Cut) {
      if (Now < Reader.m_AnswerBy + Overdue)
        return;
      Reader.m_Failing = true;
      Reader.m_NotBefore = Now + RetryPause;
    } else if (Now >= Reader.m_AnswerBy) {
      Reader.m_Failing = false;
      Reader.m_KnownAt = Now;
      tell(Index, Now);
      Reader.m_NotBefore =
          Now + Reader.m_Duty.pauseAfterChanges(); // As after changes.
    } else {
      return;
    }
    Reader.m_AskedAt = Time{0};
  }

  // Whether a change now would be told at once.
  bool hears(const Vm &Of) const {
    return Of.m_AskedAt.count() > 0 && !Of.m_Cut && !Of.m_Dead;
  }

  void step(Time Now) {
    for (std::size_t I = 0; I < m_Vms.size(); ++I) {
      Vm &Of = m_Vms[I];
      if (Of.m_Dead)
        continue;
      read(I, Now);
      if (Now - Of.m_ToldAt >= TellPause && !Of.m_Failing &&
          Of.m_Duty.shouldRead(I, Of.m_KnownAt, Now) &&
          Now - Of.m_KnownAt < Of.m_Duty.staleAfter())
        tell(I, Now);
    }
    bool Heard = std::any_of(m_Vms.begin(), m_Vms.end(),
                             [&](const Vm &Of) { return hears(Of); });
    for (const Vm &Of : m_Vms)
      if (!Of.m_Cut && !Of.m_Dead && !hears(Of) && !(Heard && !m_Deaf))
        m_Oldest = std::max(m_Oldest, Now - Of.m_KnownAt);
  }
};

} // namespace

TEST_SUITE("readers") {
  TEST_CASE("one VM of a region reads, whatever the order of their names") {
    std::vector<std::string> Vms;
    Vms.reserve(20);
    for (int I = 0; I < 20; ++I)
      Vms.push_back("10.0.0." + std::to_string(I));
    std::vector<std::size_t> Ranks;
    Ranks.reserve(Vms.size());
    for (const std::string &Vm : Vms)
      Ranks.push_back(readerRank(Vm, Vms));
    std::sort(Ranks.begin(), Ranks.end());
    for (std::size_t I = 0; I < Ranks.size(); ++I)
      CHECK(Ranks[I] == I);
    CHECK(readerRank("10.9.9.9", {}) == 0);
  }

  TEST_CASE("what a region knows never gets older than the bound") {
    struct Row {
      const char *m_Name;
      std::function<void(Region &)> m_Breaks; // At any moment of a watch.
      Duration m_Oldest;                      // A part is left for the work.
      int m_MostReaders; // Each reads at the pace of answers, or tries to.
    };
    const Row Rows[] = {
        {"nothing", [](Region &) {}, 500ms, 1},
        {"the reader loses the control plane unnoticed",
         [](Region &Now) { Now.m_Vms[0].m_Cut = true; }, Bound * 3 / 4, 2},
        {"the reader and the first to step in lose it",
         [](Region &Now) { Now.m_Vms[0].m_Cut = Now.m_Vms[1].m_Cut = true; },
         Bound * 17 / 20, 3},
        {"three of five lose it",
         [](Region &Now) {
           for (std::size_t I = 0; I < 3; ++I)
             Now.m_Vms[I].m_Cut = true;
         },
         Bound * 19 / 20, 4},
        {"the reader dies", [](Region &Now) { Now.m_Vms[0].m_Dead = true; },
         Bound * 3 / 4, 1},
        {"no VM hears another", [](Region &Now) { Now.m_Deaf = true; }, Bound,
         5},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      for (Time At = 3s; At < 4500ms; At += 50ms) {
        CAPTURE(At);
        Region Replayed;
        for (Time Now = 1s; Now < 14s; Now += Step) {
          if (Now == At)
            Case.m_Breaks(Replayed);
          if (Now == 3s) // All have heard of the reader.
            Replayed.m_Reads = 0, Replayed.m_Oldest = Duration{0};
          Replayed.step(Now);
        }
        CHECK(Replayed.m_Oldest <= Case.m_Oldest);
        CHECK(Replayed.m_Reads <= Case.m_MostReaders * ReadsOfOne);
      }
    }
  }

  // Pattern: a fleet starts at once. For a moment each VM knows no other, and
  // would take itself for the reader.
  TEST_CASE("a VM that has just started waits for the reader's news") {
    struct Row {
      const char *m_Name;
      Time m_HearsAt; // 0: never.
      ReadReason m_At300ms;
      ReadReason m_At700ms;
    };
    for (const Row &Case :
         {Row{"it hears the reader", 200ms, ReadReason::None, ReadReason::None},
          Row{"it hears nobody", 0s, ReadReason::None, ReadReason::Reader}}) {
      CAPTURE(Case.m_Name);
      constexpr Time Start = 10s;
      StoreReadPolicy Duty(Bound);
      Duty.recordStart(Start);
      if (Case.m_HearsAt.count() > 0)
        Duty.recordUpdate(100ms, Start + Case.m_HearsAt);
      CHECK(Duty.reasonToRead(0, Start, Start + 300ms) == Case.m_At300ms);
      CHECK(Duty.reasonToRead(0, Start, Start + 700ms) == Case.m_At700ms);
    }
  }

  TEST_CASE("each reason to read has its case") {
    StoreReadPolicy Duty(Bound);
    CHECK(Duty.reasonToRead(0, 10s, 10s) == ReadReason::Reader);
    CHECK(Duty.reasonToRead(5, 10s, 10s) == ReadReason::None);
    CHECK(Duty.reasonToRead(5, 10s, 12s) == ReadReason::TooOld);
    Duty.recordUpdate(0ms, 10s);
    CHECK(Duty.reasonToRead(0, 10s, 10s) == ReadReason::None);
    Duty.recordCompleteRevision(3, 10s);
    Duty.recordAnnouncedRevision(9, 10s);
    CHECK(Duty.reasonToRead(5, 11s, 11s) == ReadReason::Behind);
    // Changes that come in parts are waited for a little longer.
    StoreReadPolicy Waits(Bound);
    Waits.recordPartialUpdate(0ms, 12800ms);
    CHECK(Waits.reasonToRead(5, 10s, 12900ms) == ReadReason::None);
    CHECK(Waits.reasonToRead(5, 10s, 13100ms) == ReadReason::TooOld);
    CHECK(Waits.reasonToRead(5, 11500ms, 13400ms) == ReadReason::TooOld);
  }

  // Pattern: many servers come at once, more than the reader tells. Without the
  // control plane a peer is asked.
  TEST_CASE("a VM that lacks changes reads them within half a bound") {
    constexpr Time TellsAt = 3s;
    for (std::size_t Rank : {1U, 5U, 40U, 99U}) {
      CAPTURE(Rank);
      StoreReadPolicy Duty(Bound);
      auto KnownAt = [](Time Now) { return Now - 100ms; };
      Duty.recordUpdate(100ms, TellsAt);
      CHECK(!Duty.shouldRead(Rank, KnownAt(TellsAt), TellsAt));
      Duty.recordCompleteRevision(7, TellsAt);
      Duty.recordAnnouncedRevision(20, TellsAt);
      Time ReadAt{0};
      Time AskedAt{0};
      for (Time Now = TellsAt; Now < 7s; Now += Step) {
        Duty.recordUpdate(100ms, Now); // The reader goes on telling.
        if (ReadAt.count() == 0 && Duty.shouldRead(Rank, KnownAt(Now), Now))
          ReadAt = Now;
        if (AskedAt.count() == 0 && Duty.shouldFetchFromPeer(Now))
          AskedAt = Now;
      }
      CHECK(ReadAt - TellsAt >= TellPause); // What got lost is told again.
      CHECK(ReadAt - TellsAt <= Bound / 2);
      CHECK(AskedAt > ReadAt);
      CHECK(AskedAt - TellsAt <= Bound * 3 / 4);
      Duty.recordCompleteRevision(12, 7s); // A part: the rest follows at once.
      CHECK(Duty.isBehind());
      CHECK(Duty.shouldRead(Rank, KnownAt(7s), 7s));
      CHECK(!Duty.shouldFetchFromPeer(7s)); // The control plane answers.
      Duty.recordCompleteRevision(20, 7s);
      CHECK(!Duty.isBehind());
      CHECK(!Duty.shouldRead(Rank, KnownAt(7s), 7s));
      CHECK(!Duty.shouldFetchFromPeer(7s));
      Duty.recordAnnouncedRevision(19, 8s); // Late news.
      CHECK(!Duty.isBehind());
    }
  }
}
