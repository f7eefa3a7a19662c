// Membership of the VMs, as seen by one of them: which are live or leaving,
// which get heartbeats, and which reports are relayed (gossip).
#pragma once

#include "rhubarb/Types.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace rhubarb {

// State of one pool at one VM.
struct PoolSummary {
  std::string m_Pool;
  int m_OpenSlots = 0;      // Slots of the servers that this VM owns.
  int m_FreeSlots = 0;      // Slots that can be granted at present.
  int m_QueuedRequests = 0; // Requests that wait for a slot.
  // Permille of the pool's objects that the VM's region sends to other regions
  // (SpillTable::share()); -1: unknown.
  int m_SpillPermille = -1;
};

// State of a VM as reported by itself. Sent in heartbeats, by the VM itself and
// relayed by others.
struct MemberReport {
  std::string m_Vm;              // IP address; identifies the VM.
  std::string m_Domain;          // Failure domain.
  std::uint64_t m_StartTime = 0; // Start of the agent, Unix milliseconds.
  std::uint64_t m_Sequence = 0;  // Incremented with each heartbeat of the VM.
  // The report proves liveness only: the fields below are not set, as none has
  // changed since the last full report.
  bool m_HeartbeatOnly = false;
  std::uint64_t m_EntryIncarnation = 0; // 0: no entry process runs.
  bool m_Leaving = false;
  // Newest configuration revision that the agent has read, even if it is
  // invalid and therefore not in force.
  std::uint64_t m_Revision = 0;
  std::uint64_t m_DirectoryIndex = 0; // Version of the VM and server list.
  std::vector<PoolSummary> m_Pools;
  // Homes whose requests this VM has taken over, in the form of homeText().
  std::vector<std::string> m_AdoptedHomes;
};

// Timeouts and fan-out of the membership protocol.
struct MemberLimits {
  // A VM without a heartbeat for this long gets no new requests.
  Duration m_SilenceTimeout = 3s;
  // The same for VMs whose heartbeats arrive only through others.
  Duration m_RelayedSilenceTimeout = 9s;
  int m_Fanout = 4;      // Number of heartbeat targets in the VM's own domain.
  int m_RelayedRows = 4; // Reports relayed with each heartbeat.
  // Compact heartbeats relayed with each heartbeat; 0: none are sent, and
  // relayed reports also serve as heartbeats.
  int m_RelayedHeartbeats = 0;
};

// Proof that a VM was alive, in a few bytes. Fleets in which not all VMs send
// to each other relay these, as full reports would take too long to reach every
// VM.
struct CompactHeartbeat {
  std::uint32_t m_VmHash = 0;       // Low bits of a hash of the VM's name.
  std::uint8_t m_StartTag = 0;      // Low bits of a hash of its start time.
  std::uint16_t m_SequenceBits = 0; // Low bits of MemberReport::m_Sequence.
  bool m_EntryRuns = false;         // Whether its entry process runs.
  Duration m_Age{0};                // Time since the VM sent the heartbeat.
};

// Availability of a VM. Only Live ones get new requests; no heartbeat has been
// received yet from Unheard ones.
enum class MemberState : std::uint8_t { Unheard, Live, Silent, Leaving };
std::string_view memberStateName(MemberState Value);

// A listed VM and the last state received from it.
struct MemberRow {
  MemberReport m_Report;
  MemberState m_State = MemberState::Unheard;
  Time m_LastHeard{0}; // Last heartbeat, received directly or relayed.
  Time m_LastRelayed{0};
  // Sequence number of the last full report received, and of the last relayed.
  std::uint64_t m_FullSequence = 0;
  std::uint64_t m_RelayedFullSequence = 0;
  // Number of relays of unchanged reports; every fourth one is a full report.
  std::uint64_t m_RelayCount = 0;
  // Compact heartbeats relayed since the last one was received.
  int m_HeartbeatRelayCount = 0;
  std::uint8_t m_StartTag = 0; // Compared with CompactHeartbeat::m_StartTag.
  // Only compact heartbeats have been received from the VM's process, no full
  // report.
  bool m_ReportMissing = false;
};

// A report to relay and the age of its content.
struct RelayedReport {
  MemberReport m_Report;
  Duration m_Age{0};
};

// Table of the listed VMs. Only the list adds and removes rows. A VM without
// heartbeats is only excluded from new requests, until its next heartbeat.
class MemberTable {
public:
  // Sets how many reports and compact heartbeats go with each heartbeat.
  void setRelayCounts(int Rows, int Heartbeats) {
    m_Limits.m_RelayedRows = Rows;
    m_Limits.m_RelayedHeartbeats = Heartbeats;
  }

  // Sets whether every VM sends its heartbeats to all others.
  void setAllDirect(bool Value) { m_AllDirect = Value; }

  struct ListedVm {
    std::string m_Vm;
    std::string m_Domain;
    bool m_Leaving = false;
  };

  MemberTable(std::string SelfVm, std::string SelfDomain, MemberLimits Limits);

  // Replaces the list. Rows of VMs that are no longer listed are dropped.
  void setListedVms(const std::vector<ListedVm> &Rows, Time Now);
  // Applies a report that is Age old. Returns false if it is outdated or its VM
  // is not listed.
  bool observe(const MemberReport &Report, Duration Age, Time Now);
  // Applies a compact heartbeat. Returns false if it is outdated or its VM is
  // not listed.
  bool observe(const CompactHeartbeat &Heartbeat, Time Now);
  // Sets this VM's own report.
  void setOwnReport(const MemberReport &Report, Time Now);
  // Recomputes all states: a VM can time out without any message.
  void tick(Time Now);

  // Returns the VMs that get this VM's next heartbeat: ring successors in its
  // own domain, and one VM of each other domain for which it is the gateway.
  // Cost: rows times failure domains.
  std::vector<std::string> heartbeatTargets(std::uint64_t Round) const;
  // Returns the reports to relay to Target next: those that it does not receive
  // directly, least recently relayed first. A full report is sent when it has
  // changed and every fourth time, for receivers that have missed it. With
  // compact heartbeats enabled all reports are full, changed ones first.
  std::vector<RelayedReport> reportsToRelay(const std::string &Target,
                                            Time Now);
  // Returns the compact heartbeats to relay to Target next, least often relayed
  // first.
  std::vector<CompactHeartbeat> heartbeatsToRelay(const std::string &Target,
                                                  Time Now);
  // Whether this VM is one of the Watchers of its domain that watch the store.
  bool watchesStore(int Watchers) const;
  // Returns the live VMs of a domain, which can own servers and get new
  // requests, sorted.
  std::vector<std::string> liveMembers(std::string_view Domain) const;

  // Returns the share of the VMs that this VM hears. VMs not heard for longer
  // than CountedFor do not count, as they may be gone for good.
  double heardShare(Duration CountedFor, Time Now) const;

  const MemberRow *find(const std::string &Vm) const;
  const std::vector<MemberRow> &rows() const { return m_Rows; }
  const std::string &self() const { return m_Self; }
  const std::string &selfDomain() const { return m_SelfDomain; }

private:
  MemberRow *findMutable(const std::string &Vm);
  MemberState stateOf(const MemberRow &Row, Time Now) const;
  Duration silenceTimeout(const MemberRow &Row) const;
  bool receivesDirectly(const MemberRow &Target, const MemberRow &Row) const;
  // Returns the live rows that Target does not receive directly.
  std::vector<MemberRow *> relayCandidates(const MemberRow *Target, Time Now);
  // Reduces Rows to the first Count in the order of Key, and sorts them.
  template <typename KeyOf>
  static void keepFirst(std::vector<MemberRow *> &Rows, int Count, KeyOf Key);
  // Returns the VM of the own domain that sends heartbeats to OtherDomain.
  std::string gatewayTo(const std::string &OtherDomain) const;

  std::string m_Self;
  std::string m_SelfDomain;
  MemberLimits m_Limits;
  bool m_AllDirect = false;
  std::vector<MemberRow> m_Rows; // The first row is this VM.
  // Number of listed VMs in each failure domain.
  std::unordered_map<std::string, int> m_DomainSizes;
  // Index into m_Rows, by hash of the VM's name.
  std::unordered_map<std::uint32_t, std::size_t> m_IndexByHash;
};

} // namespace rhubarb
