// Typed messages exchanged between the processes of the system, and their JSON
// encoding. Each message carries a schema version; unknown fields are ignored.
#pragma once

#include "rhubarb/Config.h"
#include "rhubarb/Grants.h"
#include "rhubarb/Keys.h"
#include "rhubarb/Members.h"

#include <json/json.h>

#include <string>
#include <vector>

namespace rhubarb::net {

inline constexpr int SchemaVersion = 1;
// Small enough to cross any link unfragmented.
inline constexpr std::size_t MaxDatagramBytes = 1400;

// Ports that the settings assign to the processes of each VM.
struct VmPorts {
  std::uint16_t m_Entry = 0;
  std::uint16_t m_Lookup = 0;
  // The agent's port: JSON-RPC over HTTP, and heartbeats over UDP.
  std::uint16_t m_Steer = 0;
};

// UDP notification between agents: the sender's own report first, then reports
// relayed for other VMs.
struct Heartbeat {
  std::vector<RelayedReport> m_Reports;
  // No more than MaxCompactHeartbeats.
  std::vector<CompactHeartbeat> m_CompactHeartbeats{};
};
// Leaves room in a datagram for the sender's own report and one relayed report.
inline constexpr std::size_t MaxCompactHeartbeats = 100;

// A VM in the platform's directory.
struct ListedVm {
  std::string m_Ip;
  std::string m_Domain;
  bool m_Leaving = false;
};

// A backend server in the platform's directory.
struct ListedServer {
  std::string m_Address;
  std::string m_Pool;
  std::string m_Domain;
  bool m_Leaving = false;
};

// An agent's copy of the platform's directory.
struct Directory {
  std::uint64_t m_Index = 0; // Version number; increases with each change.
  std::vector<ListedVm> m_Vms;
  std::vector<ListedServer> m_Servers; // Servers in the agent's region.
};

// State of one VM in a snapshot.
struct SnapshotMember {
  std::string m_Ip;
  std::string m_Domain;
  MemberState m_State = MemberState::Unheard;
  std::uint64_t m_EntryIncarnation = 0; // 0: no entry process runs.
  // Homes that the VM has taken over, in the form of formatHomeId().
  std::vector<std::string> m_AdoptedHomes;
  std::vector<PoolSummary> m_Pools;
};

// State that the agent pushes to the entry and look-up processes on its VM.
struct Snapshot {
  // Whether the agent's configuration may be served. A receiver rejects
  // requests with no_configuration until it has received a snapshot where this
  // is true.
  bool m_ConfigKnown = false;
  std::uint64_t m_Revision = 0; // Revision of the configuration.
  ConfigSections m_Sections;
  // Set if m_Sections is empty because the receiver already has m_Revision.
  bool m_SectionsOmitted = false;
  std::vector<SnapshotMember> m_Members;
  std::vector<ListedServer> m_Servers;
};

// An entry process's response to a snapshot.
struct EntryReport {
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_Revision = 0; // Revision of the configuration in force.
  bool m_Leaving = false;
  std::vector<PoolSummary> m_Pools;
  // Homes that the process has taken over, in the form of formatHomeId().
  std::vector<std::string> m_AdoptedHomes;
};

Json::Value toJson(const Heartbeat &Message);
Json::Value toJson(const Directory &Message);
Json::Value toJson(const Snapshot &Message);
Json::Value toJson(const EntryReport &Message);
Json::Value toJson(const KeyHandover &Message);
Json::Value toJson(const GrantRequest &Message, const std::string &Pool);
Json::Value toJson(const Grant &Message);
Json::Value toJson(const ConfigSections &Sections);
Json::Value toJson(const std::vector<SectionChange> &Changes);

// The readers throw Json::Exception if the message is malformed.
Heartbeat readHeartbeat(const Json::Value &Json);
Directory readDirectory(const Json::Value &Json);
Snapshot readSnapshot(const Json::Value &Json);
EntryReport readEntryReport(const Json::Value &Json);
KeyHandover readKeyHandover(const Json::Value &Json);
GrantRequest readGrantAsk(const Json::Value &Json, std::string &Pool);
Grant readGrant(const Json::Value &Json);
ConfigSections readSections(const Json::Value &Json);
std::vector<SectionChange> readChanges(const Json::Value &Json);

// Encodes a heartbeat as a notification that fits into one datagram. Relayed
// reports that do not fit are dropped, starting with the last.
std::string encodeHeartbeat(Heartbeat Message);
// Encodes a heartbeat and any number of compact heartbeats as notifications
// that each fit into a datagram. The first one has the reports.
std::vector<std::string>
encodeHeartbeats(Heartbeat First,
                 const std::vector<CompactHeartbeat> &Heartbeats);
// Throws Json::RuntimeError unless Json is an array of at least Fields
// elements.
void requireArray(const Json::Value &Json, Json::ArrayIndex Fields);
// Serializes JSON on one line without whitespace.
std::string compactJson(const Json::Value &Json);
// Parses JSON text. Fails with BadRequest if it is malformed or nested too
// deeply.
Result<Json::Value> parseJson(const std::string &Text);
// Formats a home as in member reports: ip-port-incarnation, each in
// hexadecimal.
std::string formatHomeId(const HomeId &Home);

} // namespace rhubarb::net
