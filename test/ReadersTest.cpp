// Which VMs read from the store, and how stale a region's data may get.
#include "rhubarb/Readers.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>

using namespace rhubarb;

namespace {

constexpr Duration Bound = 2s;
constexpr Duration Step = 10ms;          // Step of the simulated time.
constexpr Duration AnswerLatency = 40ms; // Round trip to the store.
// Timeout of a store answer, from the end of the watch.
constexpr Duration OverdueTimeout = 500ms;
constexpr Duration UpdateInterval = 400ms;
constexpr Duration RetryPause = 200ms;
// Reads of one reader from 3 s to 14 s: five in four seconds, plus the one in
// progress at the start.
constexpr int ReadsPerReader = 15;

// A VM of the region. Its index is its reader rank.
struct Vm {
  StoreReadPolicy m_Policy{Bound};
  Time m_KnownAt{0};
  Time m_WatchStarted{0}; // Start of the watch in progress; 0: none.
  Time m_AnswerDue{0};
  Time m_NotBefore{0};
  Time m_UpdateSentAt{0};
  bool m_CutOff = false; // Loses the store without an error.
  bool m_Dead = false;   // Sends neither reads nor updates.
  bool m_Failing = false;
};

struct Region {
  std::vector<Vm> m_Vms = std::vector<Vm>(5);
  bool m_DatagramsLost = false; // All datagrams between VMs are lost.
  int m_Reads = 0;
  Duration m_MaxAge{0}; // Highest age of the data of a VM that is not cut off.

  void sendUpdate(std::size_t From, Time Now) {
    Vm &Sender = m_Vms[From];
    Sender.m_UpdateSentAt = Now;
    if (m_DatagramsLost || From >= MaxReaders)
      return;
    for (std::size_t To = 0; To < m_Vms.size(); ++To) {
      if (From < To)
        m_Vms[To].m_Policy.recordUpdate(Now - Sender.m_KnownAt, Now);
      m_Vms[To].m_KnownAt = std::max(m_Vms[To].m_KnownAt, Sender.m_KnownAt);
    }
  }

  void read(std::size_t Index, Time Now) {
    Vm &Reader = m_Vms[Index];
    bool Should = Reader.m_Policy.shouldRead(Index, Reader.m_KnownAt, Now);
    if (Reader.m_WatchStarted.count() == 0) {
      if (!Should || Now < Reader.m_NotBefore)
        return;
      Reader.m_WatchStarted = Now;
      Reader.m_AnswerDue = Now +
                           Reader.m_Policy.watchTimeout(Reader.m_KnownAt, Now) +
                           AnswerLatency;
      ++m_Reads;
      return;
    }
    if (Reader.m_CutOff) {
      if (Now < Reader.m_AnswerDue + OverdueTimeout)
        return;
      Reader.m_Failing = true;
      Reader.m_NotBefore = Now + RetryPause;
    } else if (Now >= Reader.m_AnswerDue) {
      Reader.m_Failing = false;
      Reader.m_KnownAt = Now;
      sendUpdate(Index, Now);
      Reader.m_NotBefore = Now + Reader.m_Policy.pauseAfterChanges();
    } else {
      return;
    }
    Reader.m_WatchStarted = Time{0};
  }

  // Whether the VM would receive a change from the store now and relay it.
  bool seesChanges(const Vm &Member) const {
    return Member.m_WatchStarted.count() > 0 && !Member.m_CutOff &&
           !Member.m_Dead;
  }

  void step(Time Now) {
    for (std::size_t I = 0; I < m_Vms.size(); ++I) {
      Vm &Member = m_Vms[I];
      if (Member.m_Dead)
        continue;
      read(I, Now);
      if (Now - Member.m_UpdateSentAt >= UpdateInterval && !Member.m_Failing &&
          Member.m_Policy.shouldRead(I, Member.m_KnownAt, Now) &&
          Now - Member.m_KnownAt < Member.m_Policy.staleAfter())
        sendUpdate(I, Now);
    }
    bool AnySees =
        std::any_of(m_Vms.begin(), m_Vms.end(),
                    [&](const Vm &Member) { return seesChanges(Member); });
    for (const Vm &Member : m_Vms)
      if (!Member.m_CutOff && !Member.m_Dead && !seesChanges(Member) &&
          !(AnySees && !m_DatagramsLost))
        m_MaxAge = std::max(m_MaxAge, Now - Member.m_KnownAt);
  }
};

} // namespace

TEST_SUITE("readers") {
  TEST_CASE("one VM of a region reads, whatever the order of the names") {
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

  TEST_CASE("a region's data never gets older than the bound") {
    struct Row {
      const char *m_Name;
      // Injected at various moments of a watch.
      std::function<void(Region &)> m_Fault;
      Duration m_MaxAge; // Below the bound, to leave time for queued updates.
      int m_MaxReaders;  // VMs that read, or try to, at the rate of answers.
    };
    const Row Rows[] = {
        {"nothing", [](Region &) {}, 500ms, 1},
        {"the reader loses the store unnoticed",
         [](Region &State) { State.m_Vms[0].m_CutOff = true; }, Bound * 3 / 4,
         2},
        {"the reader and the first to take over lose it",
         [](Region &State) {
           State.m_Vms[0].m_CutOff = State.m_Vms[1].m_CutOff = true;
         },
         Bound * 17 / 20, 3},
        {"three of five lose it",
         [](Region &State) {
           for (std::size_t I = 0; I < 3; ++I)
             State.m_Vms[I].m_CutOff = true;
         },
         Bound * 19 / 20, 4},
        {"the reader dies", [](Region &State) { State.m_Vms[0].m_Dead = true; },
         Bound * 3 / 4, 1},
        {"no VM receives updates from another",
         [](Region &State) { State.m_DatagramsLost = true; }, Bound, 5},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      for (Time At = 3s; At < 4500ms; At += 50ms) {
        CAPTURE(At);
        Region Simulated;
        for (Time Now = 1s; Now < 14s; Now += Step) {
          if (Now == At)
            Case.m_Fault(Simulated);
          if (Now == 3s) // All VMs have received updates by now.
            Simulated.m_Reads = 0, Simulated.m_MaxAge = Duration{0};
          Simulated.step(Now);
        }
        CHECK(Simulated.m_MaxAge <= Case.m_MaxAge);
        CHECK(Simulated.m_Reads <= Case.m_MaxReaders * ReadsPerReader);
      }
    }
  }

  // Guards against a read storm when a whole fleet starts at once: until the
  // first heartbeats each VM has no other live VM in its table and would
  // consider itself the reader.
  TEST_CASE("a VM that has just started waits for the reader's updates") {
    struct Row {
      const char *m_Name;
      Time m_UpdateAt; // 0: no update arrives.
      ReadReason m_At300ms;
      ReadReason m_At700ms;
    };
    for (const Row &Case : {Row{"it gets updates from the reader", 200ms,
                                ReadReason::None, ReadReason::None},
                            Row{"it gets no updates", 0s, ReadReason::None,
                                ReadReason::Reader}}) {
      CAPTURE(Case.m_Name);
      constexpr Time Start = 10s;
      StoreReadPolicy Policy(Bound);
      Policy.recordStart(Start);
      if (Case.m_UpdateAt.count() > 0)
        Policy.recordUpdate(100ms, Start + Case.m_UpdateAt);
      CHECK(Policy.reasonToRead(0, Start, Start + 300ms) == Case.m_At300ms);
      CHECK(Policy.reasonToRead(0, Start, Start + 700ms) == Case.m_At700ms);
    }
  }

  TEST_CASE("each reason to read is returned in its case") {
    StoreReadPolicy Policy(Bound);
    CHECK(Policy.reasonToRead(0, 10s, 10s) == ReadReason::Reader);
    CHECK(Policy.reasonToRead(5, 10s, 10s) == ReadReason::None);
    CHECK(Policy.reasonToRead(5, 10s, 12s) == ReadReason::TooOld);
    Policy.recordUpdate(0ms, 10s);
    CHECK(Policy.reasonToRead(0, 10s, 10s) == ReadReason::None);
    Policy.recordCompletePosition({1, 3}, 10s);
    Policy.recordAnnouncedPosition({1, 9}, 10s);
    CHECK(Policy.reasonToRead(5, 11s, 11s) == ReadReason::Behind);
    // A VM waits a little longer while changes arrive in parts.
    StoreReadPolicy Waiting(Bound);
    Waiting.recordPartialUpdate(0ms, 12800ms);
    CHECK(Waiting.reasonToRead(5, 10s, 12900ms) == ReadReason::None);
    CHECK(Waiting.reasonToRead(5, 10s, 13100ms) == ReadReason::TooOld);
    CHECK(Waiting.reasonToRead(5, 11500ms, 13400ms) == ReadReason::TooOld);
  }

  // Many servers are added at once, more than the reader relays: each VM must
  // read the rest itself, or fetch it from a peer if the store does not answer.
  TEST_CASE("a VM that lacks changes reads them within half a bound") {
    constexpr Time AnnouncedAt = 3s;
    for (std::size_t Rank : {1U, 5U, 40U, 99U}) {
      CAPTURE(Rank);
      StoreReadPolicy Policy(Bound);
      auto KnownAt = [](Time Now) { return Now - 100ms; };
      Policy.recordUpdate(100ms, AnnouncedAt);
      CHECK(!Policy.shouldRead(Rank, KnownAt(AnnouncedAt), AnnouncedAt));
      Policy.recordCompletePosition({1, 7}, AnnouncedAt);
      Policy.recordAnnouncedPosition({1, 20}, AnnouncedAt);
      Time ReadAt{0};
      Time FetchedAt{0};
      for (Time Now = AnnouncedAt; Now < 7s; Now += Step) {
        Policy.recordUpdate(100ms, Now); // The reader keeps sending updates.
        if (ReadAt.count() == 0 && Policy.shouldRead(Rank, KnownAt(Now), Now))
          ReadAt = Now;
        if (FetchedAt.count() == 0 && Policy.shouldFetchFromPeer(Now))
          FetchedAt = Now;
      }
      // The read leaves time for lost datagrams to be repeated.
      CHECK(ReadAt - AnnouncedAt >= UpdateInterval);
      CHECK(ReadAt - AnnouncedAt <= Bound / 2);
      CHECK(FetchedAt > ReadAt);
      CHECK(FetchedAt - AnnouncedAt <= Bound * 3 / 4);
      // After an answer with part of the changes the rest is read at once.
      Policy.recordCompletePosition({1, 12}, 7s);
      CHECK(Policy.isBehind());
      CHECK(Policy.shouldRead(Rank, KnownAt(7s), 7s));
      CHECK(!Policy.shouldFetchFromPeer(7s)); // The store has just answered.
      Policy.recordCompletePosition({1, 20}, 7s);
      CHECK(!Policy.isBehind());
      CHECK(!Policy.shouldRead(Rank, KnownAt(7s), 7s));
      CHECK(!Policy.shouldFetchFromPeer(7s));
      Policy.recordAnnouncedPosition({1, 19},
                                     8s); // Announced by a delayed update.
      CHECK(!Policy.isBehind());
    }
  }
}
