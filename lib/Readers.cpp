#include "rhubarb/Readers.h"

#include <algorithm>
#include <array>

namespace rhubarb {
namespace {

constexpr std::string_view ReaderKey = "list-reader";
// Shares of the propagation bound. The time between two answers must stay below
// the age at which other VMs take over (StaleShare). A first read after that
// age, and updates that are already queued, must still fit into the bound.
constexpr double AnswerIntervalShare = 0.4;
constexpr double MinWatchShare = 0.2;
constexpr double PauseShare = 0.15;
constexpr double StaleShare = 0.5;
// Age of the data at which a VM reads although changes arrive in parts, as a
// share of the propagation bound. The longer wait is safe: departing servers
// are sent first, and several times.
constexpr double PartialUpdateShare = 1.5;
// Time after a start until the heartbeats of other VMs have arrived, as a share
// of the propagation bound.
constexpr double SettleShare = 0.3;
// Time between the takeovers of one VM and the next; longer than a read.
constexpr Duration TakeoverInterval = 150ms;
// Time before missing changes are read. Updates are repeated within it, so that
// a lost datagram causes no read.
constexpr Duration CatchUpDelay = 500ms;
// VMs that lack the same changes read one after the other, spread over half a
// second.
constexpr std::size_t CatchUpSlots = 16;
constexpr Duration CatchUpSlotLength = 30ms;
// Bytes of changes to all VMs of a region: a third of a second on a link of
// 10 Mbit/s, as the smallest VMs have.
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

void StoreReadPolicy::recordAnnouncedPosition(StorePosition Position,
                                              Time Now) {
  if (!isBehind()) {
    m_BehindSince = Now;
    m_CatchingUp = false;
  }
  m_AnnouncedPosition = std::max(m_AnnouncedPosition, Position);
}

void StoreReadPolicy::recordCompletePosition(StorePosition Position, Time Now) {
  if (Position <= m_CompletePosition)
    return;
  m_CatchingUp = isBehind();
  m_CompletePosition = Position;
  m_BehindSince = Now;
}

bool StoreReadPolicy::shouldFetchFromPeer(Time Now) const {
  return isBehind() && Now - m_BehindSince >= 2 * CatchUpDelay;
}

ReadReason StoreReadPolicy::reasonToRead(std::size_t OwnRank, Time KnownAt,
                                         Time Now) const {
  Duration CatchUp =
      CatchUpDelay +
      CatchUpSlotLength * static_cast<std::int64_t>(OwnRank % CatchUpSlots);
  if (isBehind() && (m_CatchingUp || Now - m_BehindSince >= CatchUp))
    return ReadReason::Behind;
  bool HadUpdate = m_LastUpdate.count() > 0;
  bool Settled = Now - m_StartedAt >= scaled(m_PropagationBound, SettleShare);
  if (OwnRank == 0 && Settled &&
      (!HadUpdate || Now - m_LastUpdate >= staleAfter()))
    return ReadReason::Reader;
  auto TakeoverPosition =
      std::min(std::max<std::size_t>(OwnRank, 1), MaxReaders) - 1;
  Duration UpdateTimeout =
      staleAfter() +
      TakeoverInterval * static_cast<std::int64_t>(TakeoverPosition);
  bool PartsArriving = m_LastPartialUpdate.count() > 0 &&
                       Now - m_LastPartialUpdate < CatchUpDelay;
  Duration DataTimeout =
      PartsArriving ? std::max(UpdateTimeout,
                               scaled(m_PropagationBound, PartialUpdateShare))
                    : UpdateTimeout;
  if ((HadUpdate && Now - m_LastUpdate >= UpdateTimeout) ||
      Now - KnownAt >= DataTimeout)
    return ReadReason::TooOld;
  return ReadReason::None;
}

Duration StoreReadPolicy::staleAfter() const {
  return scaled(m_PropagationBound, StaleShare);
}

Duration StoreReadPolicy::watchTimeout(Time KnownAt, Time Now) const {
  return std::clamp(KnownAt + scaled(m_PropagationBound, AnswerIntervalShare) -
                        Now,
                    scaled(m_PropagationBound, MinWatchShare),
                    scaled(m_PropagationBound, AnswerIntervalShare));
}

Duration StoreReadPolicy::pauseAfterChanges() const {
  return scaled(m_PropagationBound, PauseShare);
}

} // namespace rhubarb
