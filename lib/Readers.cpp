#include "rhubarb/Readers.h"

#include <algorithm>
#include <array>

namespace rhubarb {
namespace {

constexpr std::string_view ReaderKey = "list-reader";
// Shares of the bound. From answer to answer it takes less than the age at
// which others step in; after that a first read and the work that is already
// queued still have to fit.
constexpr double AnswerShare = 0.4;
constexpr double LeastWatchShare = 0.2;
constexpr double PauseShare = 0.15;
constexpr double StepInShare = 0.5;
// While changes come in parts: those of servers that leave come first, and are
// told several times.
constexpr double PartsShare = 1.5;
// After a start, until others have made themselves known.
constexpr double SettleShare = 0.3;
// Between one VM that steps in and the next: longer than a read takes.
constexpr Duration StepInPause = 150ms;
// News is repeated within this time: a lost datagram costs no read.
constexpr Duration CatchUpPause = 500ms;
// VMs that lack the same read one after the other, over half a second.
constexpr std::size_t CatchUpSlots = 16;
constexpr Duration CatchUpSlot = 30ms;
// A third of a second of a link of 10 Mbit/s, the smallest VM's.
constexpr std::size_t ReaderBurstBytes = 400'000;

Duration scaled(Duration Whole, double Share) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(Whole.count()) * Share));
}

} // namespace

std::string_view readReasonName(ReadReason Value) {
  static constexpr std::array<std::string_view, 4> Names{"none", "reader",
                                                         "behind", "too_old"};
  return Names[static_cast<std::size_t>(Value)];
}

bool precedesAsReader(const std::string &First, const std::string &Second) {
  static const std::uint64_t Seed = stableHash(ReaderKey);
  return stableHash(First, Seed) > stableHash(Second, Seed);
}

std::size_t readerRank(const std::string &Self,
                       const std::vector<std::string> &LiveVms) {
  return static_cast<std::size_t>(
      std::count_if(LiveVms.begin(), LiveVms.end(), [&](const std::string &Vm) {
        return Vm != Self && precedesAsReader(Vm, Self);
      }));
}

std::size_t changeBytesPerVm(std::size_t Vms) {
  return ReaderBurstBytes / std::max<std::size_t>(Vms, 1);
}

void StoreReadPolicy::recordUpdate(Duration Age, Time Now) {
  if (Age < staleAfter())
    m_LastUpdate = Now;
}

void StoreReadPolicy::recordPartialUpdate(Duration Age, Time Now) {
  recordUpdate(Age, Now);
  m_LastPartialUpdate = Now;
}

void StoreReadPolicy::recordAnnouncedRevision(std::uint64_t Revision,
                                              Time Now) {
  if (!isBehind()) {
    m_BehindSince = Now;
    m_CatchingUp = false;
  }
  m_AnnouncedRevision = std::max(m_AnnouncedRevision, Revision);
}

void StoreReadPolicy::recordCompleteRevision(std::uint64_t Revision, Time Now) {
  if (Revision <= m_CompleteRevision)
    return;
  m_CatchingUp = isBehind();
  m_CompleteRevision = Revision;
  m_BehindSince = Now;
}

bool StoreReadPolicy::shouldFetchFromPeer(Time Now) const {
  return isBehind() && Now - m_BehindSince >= 2 * CatchUpPause;
}

ReadReason StoreReadPolicy::reasonToRead(std::size_t OwnRank, Time KnownAt,
                                         Time Now) const {
  Duration CatchUp = CatchUpPause + CatchUpSlot * static_cast<std::int64_t>(
                                                      OwnRank % CatchUpSlots);
  if (isBehind() && (m_CatchingUp || Now - m_BehindSince >= CatchUp))
    return ReadReason::Behind;
  bool Heard = m_LastUpdate.count() > 0;
  bool Settled = Now - m_StartedAt >= scaled(m_PropagationBound, SettleShare);
  if (OwnRank == 0 && Settled && (!Heard || Now - m_LastUpdate >= staleAfter()))
    return ReadReason::Reader;
  auto Place = std::min(std::max<std::size_t>(OwnRank, 1), MaxReaders) - 1;
  Duration After =
      staleAfter() + StepInPause * static_cast<std::int64_t>(Place);
  bool PartsCome = m_LastPartialUpdate.count() > 0 &&
                   Now - m_LastPartialUpdate < CatchUpPause;
  Duration KnownAfter =
      PartsCome ? std::max(After, scaled(m_PropagationBound, PartsShare))
                : After;
  if ((Heard && Now - m_LastUpdate >= After) || Now - KnownAt >= KnownAfter)
    return ReadReason::TooOld;
  return ReadReason::None;
}

Duration StoreReadPolicy::staleAfter() const {
  return scaled(m_PropagationBound, StepInShare);
}

Duration StoreReadPolicy::watchTimeout(Time KnownAt, Time Now) const {
  return std::clamp(KnownAt + scaled(m_PropagationBound, AnswerShare) - Now,
                    scaled(m_PropagationBound, LeastWatchShare),
                    scaled(m_PropagationBound, AnswerShare));
}

Duration StoreReadPolicy::pauseAfterChanges() const {
  return scaled(m_PropagationBound, PauseShare);
}

} // namespace rhubarb
