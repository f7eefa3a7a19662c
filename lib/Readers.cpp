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

bool readsBefore(const std::string &First, const std::string &Second) {
  static const std::uint64_t Seed = stableHash(ReaderKey);
  return stableHash(First, Seed) > stableHash(Second, Seed);
}

std::size_t readerRank(const std::string &Self,
                       const std::vector<std::string> &LiveVms) {
  return static_cast<std::size_t>(
      std::count_if(LiveVms.begin(), LiveVms.end(), [&](const std::string &Vm) {
        return Vm != Self && readsBefore(Vm, Self);
      }));
}

std::size_t bytesToTell(std::size_t Vms) {
  return ReaderBurstBytes / std::max<std::size_t>(Vms, 1);
}

void ReaderDuty::heard(Duration Age, Time Now) {
  if (Age < tooOld())
    m_HeardAt = Now;
}

void ReaderDuty::heardPart(Duration Age, Time Now) {
  heard(Age, Now);
  m_PartAt = Now;
}

void ReaderDuty::told(std::uint64_t Revision, Time Now) {
  if (!lacks()) {
    m_LacksSince = Now;
    m_ReadsOn = false;
  }
  m_Told = std::max(m_Told, Revision);
}

void ReaderDuty::complete(std::uint64_t Revision, Time Now) {
  if (Revision <= m_Complete)
    return;
  m_ReadsOn = lacks();
  m_Complete = Revision;
  m_LacksSince = Now;
}

bool ReaderDuty::shouldAskPeer(Time Now) const {
  return lacks() && Now - m_LacksSince >= 2 * CatchUpPause;
}

ReadReason ReaderDuty::reasonToRead(std::size_t OwnRank, Time KnownAt,
                                    Time Now) const {
  Duration CatchUp = CatchUpPause + CatchUpSlot * static_cast<std::int64_t>(
                                                      OwnRank % CatchUpSlots);
  if (lacks() && (m_ReadsOn || Now - m_LacksSince >= CatchUp))
    return ReadReason::Behind;
  bool Heard = m_HeardAt.count() > 0;
  bool Settled = Now - m_StartedAt >= scaled(m_Bound, SettleShare);
  if (OwnRank == 0 && Settled && (!Heard || Now - m_HeardAt >= tooOld()))
    return ReadReason::Reader;
  auto Place = std::min(std::max<std::size_t>(OwnRank, 1), MaxReaders) - 1;
  Duration After = tooOld() + StepInPause * static_cast<std::int64_t>(Place);
  bool PartsCome = m_PartAt.count() > 0 && Now - m_PartAt < CatchUpPause;
  Duration KnownAfter =
      PartsCome ? std::max(After, scaled(m_Bound, PartsShare)) : After;
  if ((Heard && Now - m_HeardAt >= After) || Now - KnownAt >= KnownAfter)
    return ReadReason::TooOld;
  return ReadReason::None;
}

Duration ReaderDuty::tooOld() const { return scaled(m_Bound, StepInShare); }

Duration ReaderDuty::watchFor(Time KnownAt, Time Now) const {
  return std::clamp(KnownAt + scaled(m_Bound, AnswerShare) - Now,
                    scaled(m_Bound, LeastWatchShare),
                    scaled(m_Bound, AnswerShare));
}

Duration ReaderDuty::pause() const { return scaled(m_Bound, PauseShare); }

} // namespace rhubarb
