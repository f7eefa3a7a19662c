#include "rhubarb/Members.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <tuple>

namespace rhubarb {
namespace {

constexpr std::array<std::string_view, 4> StateNames{"unheard", "live",
                                                     "silent", "leaving"};

// Picks one name by rendezvous hashing; returns an empty one if there are none.
std::string rendezvous(const std::vector<std::string> &Names,
                       std::string_view Key) {
  std::string Best;
  std::uint64_t BestScore = 0;
  std::uint64_t Seed = stableHash(Key);
  for (const std::string &Name : Names) {
    std::uint64_t Score = stableHash(Name, Seed);
    if (Best.empty() || Score > BestScore) {
      Best = Name;
      BestScore = Score;
    }
  }
  return Best;
}

// Every fourth relay of an unchanged report is full.
constexpr std::uint64_t FullReportInterval = 4;

// Ages of relayed heartbeats are rounded up at each VM on the way.
constexpr Duration HeartbeatAgeError = 300ms;
// Stands for the incarnation of an entry process of which only compact
// heartbeats have been received.
constexpr std::uint64_t UnknownEntryIncarnation = 1;

std::uint32_t vmHash(const std::string &Vm) {
  return static_cast<std::uint32_t>(stableHash(Vm));
}

std::uint8_t startTag(std::uint64_t StartTime) {
  return static_cast<std::uint8_t>(stableHash("", StartTime));
}

} // namespace

std::string_view memberStateName(MemberState Value) {
  return StateNames[static_cast<std::size_t>(Value)];
}

MemberTable::MemberTable(std::string SelfVm, std::string SelfDomain,
                         MemberLimits Limits)
    : m_Self(std::move(SelfVm)), m_SelfDomain(std::move(SelfDomain)),
      m_Limits(Limits) {
  MemberRow Own;
  Own.m_Report.m_Vm = m_Self;
  Own.m_Report.m_Domain = m_SelfDomain;
  Own.m_State = MemberState::Live;
  m_Rows.push_back(std::move(Own));
}

MemberRow *MemberTable::findMutable(const std::string &Vm) {
  for (MemberRow &Row : m_Rows)
    if (Row.m_Report.m_Vm == Vm)
      return &Row;
  return nullptr;
}

const MemberRow *MemberTable::find(const std::string &Vm) const {
  for (const MemberRow &Row : m_Rows)
    if (Row.m_Report.m_Vm == Vm)
      return &Row;
  return nullptr;
}

double MemberTable::heardShare(Duration CountedFor, Time Now) const {
  double Heard = 0;
  double Missing = 0;
  for (const MemberRow &Row : m_Rows) {
    if (Row.m_Report.m_Vm == m_Self || Row.m_State == MemberState::Live ||
        Row.m_State == MemberState::Leaving)
      ++Heard;
    else if (Now - Row.m_LastHeard <= CountedFor)
      ++Missing;
  }
  return Heard / (Heard + Missing);
}

void MemberTable::setListedVms(const std::vector<ListedVm> &Rows, Time Now) {
  std::set<std::string> Listed{m_Self};
  for (const ListedVm &Vm : Rows) {
    Listed.insert(Vm.m_Vm);
    MemberRow *Row = findMutable(Vm.m_Vm);
    if (Row == nullptr) {
      MemberRow Added;
      Added.m_Report.m_Vm = Vm.m_Vm;
      Added.m_LastHeard = Now - m_Limits.m_RelayedSilenceTimeout;
      m_Rows.push_back(std::move(Added));
      Row = &m_Rows.back();
    }
    Row->m_Report.m_Domain = Vm.m_Domain;
    if (Vm.m_Leaving && Vm.m_Vm != m_Self) {
      Row->m_Report.m_Leaving = true;
      Row->m_State = MemberState::Leaving;
    }
  }
  std::erase_if(m_Rows, [&](const MemberRow &Row) {
    return !Listed.contains(Row.m_Report.m_Vm);
  });
  m_DomainSizes.clear();
  m_IndexByHash.clear();
  for (std::size_t I = 0; I < m_Rows.size(); ++I) {
    ++m_DomainSizes[m_Rows[I].m_Report.m_Domain];
    m_IndexByHash[vmHash(m_Rows[I].m_Report.m_Vm)] = I;
  }
}

bool MemberTable::observe(const MemberReport &Report, Duration Age, Time Now) {
  MemberRow *Row = findMutable(Report.m_Vm);
  if (Row == nullptr || Report.m_Vm == m_Self ||
      Report.m_StartTime < Row->m_Report.m_StartTime)
    return false;
  bool Restarted = Report.m_StartTime > Row->m_Report.m_StartTime;
  std::uint64_t LastSequence = Restarted ? 0 : Row->m_Report.m_Sequence;
  if (Report.m_HeartbeatOnly) {
    // A heartbeat confirms the last full report, so it is ignored after a
    // restart until the new process has sent one.
    if (Restarted || Report.m_Sequence <= LastSequence)
      return false;
    Row->m_Report.m_Sequence = Report.m_Sequence;
  } else {
    // A heartbeat with a higher sequence number may have overtaken a full
    // report, so full reports are compared with each other only.
    if (!Restarted && Report.m_Sequence <= Row->m_FullSequence)
      return false;
    std::string ListedDomain = std::move(Row->m_Report.m_Domain);
    Row->m_Report = Report;
    if (Row->m_Report.m_Domain.empty())
      Row->m_Report.m_Domain = std::move(ListedDomain);
    Row->m_FullSequence = Report.m_Sequence;
    Row->m_StartTag = startTag(Report.m_StartTime);
    Row->m_Report.m_Sequence = std::max(LastSequence, Report.m_Sequence);
    Row->m_ReportMissing = false;
  }
  Row->m_LastHeard = std::max(Row->m_LastHeard, Now - Age);
  Row->m_HeartbeatRelayCount = 0;
  Row->m_State = stateOf(*Row, Now);
  return true;
}

bool MemberTable::observe(const CompactHeartbeat &Heartbeat, Time Now) {
  auto Position = m_IndexByHash.find(Heartbeat.m_VmHash);
  if (Position == m_IndexByHash.end())
    return false;
  MemberRow &Row = m_Rows[Position->second];
  MemberReport &Report = Row.m_Report;
  if (Report.m_Vm == m_Self)
    return false;
  Time SentAt = Now - Heartbeat.m_Age;
  bool Restarted = Heartbeat.m_StartTag != Row.m_StartTag &&
                   SentAt > Row.m_LastHeard + HeartbeatAgeError;
  if (Restarted) {
    Report.m_Leaving = false;
    ++Report.m_StartTime; // Late reports of the process before are ignored.
    Row.m_FullSequence = 0;
  }
  // The first heartbeat of a process is always newer.
  if (Report.m_Sequence == 0 || Restarted) {
    Row.m_ReportMissing = true;
    Row.m_StartTag = Heartbeat.m_StartTag;
    Report.m_Sequence = Heartbeat.m_SequenceBits - 1U;
  }
  auto Ahead = static_cast<std::uint16_t>(
      Heartbeat.m_SequenceBits - static_cast<std::uint16_t>(Report.m_Sequence));
  bool Older = Ahead == 0 || Ahead > UINT16_MAX / 2;
  if (Older || Heartbeat.m_StartTag != Row.m_StartTag)
    return false;
  Report.m_Sequence += Ahead;
  if (!Heartbeat.m_EntryRuns)
    Report.m_EntryIncarnation = 0;
  else if (Report.m_EntryIncarnation == 0)
    Report.m_EntryIncarnation = UnknownEntryIncarnation;
  Row.m_LastHeard = std::max(Row.m_LastHeard, SentAt);
  Row.m_HeartbeatRelayCount = 0;
  return true;
}

void MemberTable::setOwnReport(const MemberReport &Report, Time Now) {
  MemberRow *Row = findMutable(m_Self);
  Row->m_Report = Report;
  Row->m_LastHeard = Now;
  Row->m_State = stateOf(*Row, Now);
}

Duration MemberTable::silenceTimeout(const MemberRow &Row) const {
  bool Direct = m_AllDirect || receivesDirectly(m_Rows.front(), Row);
  return Direct ? m_Limits.m_SilenceTimeout : m_Limits.m_RelayedSilenceTimeout;
}

MemberState MemberTable::stateOf(const MemberRow &Row, Time Now) const {
  if (Row.m_Report.m_Leaving)
    return MemberState::Leaving;
  if (Row.m_Report.m_Vm == m_Self ||
      Now - Row.m_LastHeard < silenceTimeout(Row))
    return MemberState::Live;
  return Row.m_Report.m_Sequence == 0 ? MemberState::Unheard
                                      : MemberState::Silent;
}

void MemberTable::tick(Time Now) {
  for (MemberRow &Row : m_Rows)
    Row.m_State = stateOf(Row, Now);
}

std::vector<std::string>
MemberTable::liveMembers(std::string_view Domain) const {
  std::vector<std::string> Names;
  for (const MemberRow &Row : m_Rows)
    if (Row.m_Report.m_Domain == Domain && Row.m_State == MemberState::Live)
      Names.push_back(Row.m_Report.m_Vm);
  std::sort(Names.begin(), Names.end());
  return Names;
}

std::string MemberTable::gatewayTo(const std::string &OtherDomain) const {
  return rendezvous(liveMembers(m_SelfDomain), OtherDomain);
}

std::vector<std::string>
MemberTable::heartbeatTargets(std::uint64_t Round) const {
  std::map<std::string, std::vector<std::string>> ByDomain;
  for (const MemberRow &Row : m_Rows)
    if (Row.m_Report.m_Vm != m_Self)
      ByDomain[Row.m_Report.m_Domain].push_back(Row.m_Report.m_Vm);
  std::vector<std::string> Chosen;
  for (auto &[Domain, Names] : ByDomain) {
    std::sort(Names.begin(), Names.end());
    if (Domain != m_SelfDomain) {
      // The target rotates within the other domain, so that a dead VM there
      // costs only single rounds.
      if (gatewayTo(Domain) == m_Self)
        Chosen.push_back(Names[Round % Names.size()]);
      continue;
    }
    auto Next = std::upper_bound(Names.begin(), Names.end(), m_Self);
    auto Start = static_cast<std::size_t>(Next - Names.begin());
    auto Count = std::min<std::size_t>(
        static_cast<std::size_t>(m_Limits.m_Fanout), Names.size());
    // The start rotates, which spreads a change through a large domain in a few
    // rounds.
    if (Names.size() > Count)
      Start += static_cast<std::size_t>(Round) * Count;
    for (std::size_t I = 0; I < Count; ++I)
      Chosen.push_back(Names[(Start + I) % Names.size()]);
  }
  return Chosen;
}

// Whether Target gets heartbeats from Row's VM directly: in a failure domain
// where each VM has at most as many peers as the fan-out, all send to each
// other.
bool MemberTable::receivesDirectly(const MemberRow &Target,
                                   const MemberRow &Row) const {
  const std::string &Domain = Row.m_Report.m_Domain;
  if (Target.m_Report.m_Domain != Domain)
    return false;
  auto Size = m_DomainSizes.find(Domain);
  return Size != m_DomainSizes.end() && Size->second - 1 <= m_Limits.m_Fanout;
}

std::vector<MemberRow *> MemberTable::relayCandidates(const MemberRow *Target,
                                                      Time Now) {
  std::vector<MemberRow *> Candidates;
  for (MemberRow &Row : m_Rows)
    if (Row.m_Report.m_Vm != m_Self && &Row != Target &&
        Row.m_Report.m_Sequence > 0 &&
        Now - Row.m_LastHeard < silenceTimeout(Row) &&
        (Target == nullptr || !receivesDirectly(*Target, Row)))
      Candidates.push_back(&Row);
  return Candidates;
}

template <typename KeyOf>
void MemberTable::keepFirst(std::vector<MemberRow *> &Rows, int Count,
                            KeyOf Key) {
  auto Kept =
      std::min<std::size_t>(static_cast<std::size_t>(Count), Rows.size());
  std::partial_sort(Rows.begin(),
                    Rows.begin() + static_cast<std::ptrdiff_t>(Kept),
                    Rows.end(), [&](const MemberRow *A, const MemberRow *B) {
                      return Key(*A) < Key(*B);
                    });
  Rows.resize(Kept);
}

std::vector<RelayedReport>
MemberTable::reportsToRelay(const std::string &Target, Time Now) {
  const MemberRow *TargetRow = find(Target);
  std::vector<MemberRow *> Candidates = relayCandidates(TargetRow, Now);
  std::erase_if(Candidates,
                [](const MemberRow *Row) { return Row->m_ReportMissing; });
  // VMs of another failure domain get reports of this domain only through its
  // gateway, so rows of this domain go first.
  bool ToOtherDomain =
      TargetRow != nullptr && TargetRow->m_Report.m_Domain != m_SelfDomain;
  bool SendsHeartbeats = m_Limits.m_RelayedHeartbeats > 0;
  keepFirst(Candidates, m_Limits.m_RelayedRows, [&](const MemberRow &Row) {
    bool FromOtherDomain =
        ToOtherDomain && Row.m_Report.m_Domain != m_SelfDomain;
    bool AlreadyRelayed =
        SendsHeartbeats && Row.m_RelayedFullSequence == Row.m_FullSequence;
    return std::tuple(FromOtherDomain, AlreadyRelayed, Row.m_LastRelayed);
  });
  std::vector<RelayedReport> Chosen;
  for (MemberRow *Candidate : Candidates) {
    MemberRow &Row = *Candidate;
    Row.m_LastRelayed = Now;
    RelayedReport Relayed{Row.m_Report, Now - Row.m_LastHeard};
    bool Unchanged = Row.m_RelayedFullSequence == Row.m_FullSequence;
    Relayed.m_Report.m_HeartbeatOnly =
        !SendsHeartbeats && Unchanged &&
        ++Row.m_RelayCount % FullReportInterval != 0;
    // A full report carries the sequence number that its content was sent with.
    if (!Relayed.m_Report.m_HeartbeatOnly)
      Relayed.m_Report.m_Sequence = Row.m_FullSequence;
    Row.m_RelayedFullSequence = Row.m_FullSequence;
    Chosen.push_back(std::move(Relayed));
  }
  return Chosen;
}

std::vector<CompactHeartbeat>
MemberTable::heartbeatsToRelay(const std::string &Target, Time Now) {
  const MemberRow *TargetRow = find(Target);
  std::vector<MemberRow *> Candidates = relayCandidates(TargetRow, Now);
  bool ToOtherDomain =
      TargetRow != nullptr && TargetRow->m_Report.m_Domain != m_SelfDomain;
  keepFirst(Candidates, m_Limits.m_RelayedHeartbeats,
            [&](const MemberRow &Row) {
              bool FromOtherDomain =
                  ToOtherDomain && Row.m_Report.m_Domain != m_SelfDomain;
              return std::tuple(FromOtherDomain, Row.m_HeartbeatRelayCount,
                                -Row.m_LastHeard.count());
            });
  std::vector<CompactHeartbeat> Heartbeats;
  for (MemberRow *Row : Candidates) {
    ++Row->m_HeartbeatRelayCount;
    const MemberReport &Report = Row->m_Report;
    Heartbeats.push_back({vmHash(Report.m_Vm), Row->m_StartTag,
                          static_cast<std::uint16_t>(Report.m_Sequence),
                          Report.m_EntryIncarnation != 0,
                          Now - Row->m_LastHeard});
  }
  return Heartbeats;
}

bool MemberTable::watchesStore(int Watchers) const {
  std::uint64_t Own = stableHash(m_Self);
  int Before = 0;
  for (const std::string &Name : liveMembers(m_SelfDomain))
    if (stableHash(Name) > Own)
      ++Before;
  return Before < Watchers;
}

} // namespace rhubarb
