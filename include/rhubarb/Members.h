// The VMs of the system as one of them sees them: who is live, who leaves,
// whom to send heartbeats, and which rows to pass on.
#pragma once

#include "rhubarb/Types.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace rhubarb {

// State of one pool at one VM.
struct PoolSummary {
  std::string m_Pool;
  int m_OpenSlots = 0;      // Open slots of the servers that this VM owns.
  int m_FreeSlots = 0;      // Free for grants at present.
  int m_QueuedRequests = 0; // Requests in the queue.
  int m_SpillPermille = -1; // Work that runs away from home; -1: not known.
};

// What a VM says of itself. Spread by heartbeats, as own and as relayed rows.
struct MemberReport {
  std::string m_Vm;              // IP number of the VM; its identity.
  std::string m_Domain;          // Failure domain.
  std::uint64_t m_StartTime = 0; // Start time of the agent, Unix milliseconds.
  std::uint64_t m_Sequence = 0;  // Grows with each own heartbeat.
  // A sign of life only: nothing below has changed since the last whole report.
  bool m_HeartbeatOnly = false;
  std::uint64_t m_EntryIncarnation = 0; // 0: no entry process runs.
  bool m_Leaving = false;
  std::uint64_t m_Revision = 0;       // Configuration in force.
  std::uint64_t m_DirectoryIndex = 0; // Version of the VM and server list.
  std::vector<PoolSummary> m_Pools;
  std::vector<std::string>
      m_AdoptedHomes; // Homes it answers for (keyHome text).
};

// Pace and reach of the news about members.
struct MemberLimits {
  Duration m_SilenceTimeout = 3s; // No news for this long: no new work.
  int m_RelayedTimeoutFactor = 3; // Times as long for VMs heard through others.
  int m_Fanout = 4;               // Heartbeats to members of the own domain.
  int m_RelayedRows = 4;          // Rows passed on with each heartbeat.
  // Signs of life passed on with each heartbeat; 0: rows serve as such, too.
  int m_RelayedHeartbeats = 0;
};

// That a VM was alive, in a few bytes: in large fleets rows take too long to go
// round.
struct CompactHeartbeat {
  std::uint32_t m_VmHash = 0;  // Low bits of a hash of the VM's name.
  std::uint8_t m_StartTag = 0; // Low bits of its start time.
  std::uint16_t m_SequenceBits =
      0;                    // Low bits of its heartbeat's sequence number.
  bool m_EntryRuns = false; // Its entry process runs.
  Duration m_Age{0};        // Since that heartbeat.
};

// What a VM is good for, as far as is known.
enum class MemberState : std::uint8_t { Unheard, Live, Silent, Leaving };
std::string_view memberStateName(MemberState Value);

// A listed VM and the news of it.
struct MemberRow {
  MemberReport m_Report;
  MemberState m_State = MemberState::Unheard;
  Time m_LastHeard{0}; // Of this VM, directly or through others.
  Time m_LastRelayed{0};
  std::uint64_t m_FullSequence = 0;        // Of the last whole report.
  std::uint64_t m_RelayedFullSequence = 0; // Of the last whole one passed on.
  std::uint64_t m_RelayCount = 0;          // Times that the row was passed on.
  int m_HeartbeatRelayCount = 0; // Signs passed on since it was last heard of.
  std::uint8_t m_StartTag = 0;   // Low bits of the start time, as in signs.
  bool m_ReportMissing = false;  // Known by signs of life, not by a report.
};

// A row to pass on and how old its news is.
struct RelayedReport {
  MemberReport m_Report;
  Duration m_Age{0};
};

// Table of the listed VMs. The list seeds and removes rows; silence alone only
// excludes a VM from new work, and ends with the next heartbeat.
class MemberTable {
public:
  // Sets what is passed on with each heartbeat.
  void setRelayCounts(int Rows, int Signs) {
    m_Limits.m_RelayedRows = Rows;
    m_Limits.m_RelayedHeartbeats = Signs;
  }

  struct ListedVm {
    std::string m_Vm;
    std::string m_Domain;
    bool m_Leaving = false;
  };

  MemberTable(std::string SelfVm, std::string SelfDomain, MemberLimits Limits);

  // Replaces the list. Rows of VMs that are no longer listed are dropped.
  void setListedVms(const std::vector<ListedVm> &Rows, Time Now);
  // Takes in a report that is Age old. Returns false for old news.
  bool observe(const MemberReport &Report, Duration Age, Time Now);
  // Takes in a sign of life. Returns false for old news and unknown VMs.
  bool observe(const CompactHeartbeat &Sign, Time Now);
  // Sets this VM's own report.
  void setOwnReport(const MemberReport &Report, Time Now);
  // Recomputes all states: silence alone changes one without any news.
  void tick(Time Now);

  // VMs that get this VM's next heartbeat: ring successors in its own domain,
  // and one VM of each other domain that this VM speaks to. Cost: rows.
  std::vector<std::string> heartbeatTargets(std::uint64_t Round) const;
  // The rows to pass on to Target next, those that have waited longest first:
  // what it does not hear directly. A row goes whole when it has changed, and
  // every fourth time, for those who have not had it whole yet. Beside signs of
  // life all rows go whole, changed ones first.
  std::vector<RelayedReport> reportsToRelay(const std::string &Target,
                                            Time Now);
  // The signs of life to pass on to Target next, the news that has been passed
  // on least first.
  std::vector<CompactHeartbeat> heartbeatsToRelay(const std::string &Target,
                                                  Time Now);
  // Whether this VM is one of the few of its domain that watch the store.
  bool watchesStore(int Watchers) const;
  // VMs of one domain that can own servers and take new work, sorted.
  std::vector<std::string> liveMembers(std::string_view Domain) const;

  const MemberRow *find(const std::string &Vm) const;
  const std::vector<MemberRow> &rows() const { return m_Rows; }
  const std::string &self() const { return m_Self; }
  const std::string &selfDomain() const { return m_SelfDomain; }

private:
  MemberRow *findMutable(const std::string &Vm);
  MemberState stateOf(const MemberRow &Row, Time Now) const;
  Duration silenceTimeout(const MemberRow &Row) const;
  bool receivesDirectly(const MemberRow &Target, const MemberRow &Row) const;
  // Rows that Target does not hear of directly, with news worth passing on.
  std::vector<MemberRow *> relayCandidates(const MemberRow *Target, Time Now);
  // Returns the first few rows in order of what Key returns.
  template <typename KeyOf>
  static void keepFirst(std::vector<MemberRow *> &Rows, int Count, KeyOf Key);
  std::string gatewayTo(const std::string &OtherDomain) const;

  std::string m_Self;
  std::string m_SelfDomain;
  MemberLimits m_Limits;
  std::vector<MemberRow> m_Rows;                      // This VM first.
  std::unordered_map<std::string, int> m_DomainSizes; // Of the list.
  std::unordered_map<std::uint32_t, std::size_t>
      m_IndexByHash; // Index of the row.
};

} // namespace rhubarb
