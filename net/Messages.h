// Typed messages between the system's processes, and their JSON form. Each one
// carries a schema version; fields that are not known are left alone.
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
inline constexpr std::size_t MaxDatagramBytes = 1400; // Whole on any link.

// Ports that every VM uses; from the settings.
struct VmPorts {
  std::uint16_t m_Entry = 0;
  std::uint16_t m_Lookup = 0;
  std::uint16_t m_Steer = 0; // JSON-RPC over HTTP, and heartbeats over UDP.
};

// Own report and relayed ones, from agent to agent (UDP notification).
struct Heartbeat {
  std::vector<RelayedReport> m_Reports;
  std::vector<CompactHeartbeat> m_CompactHeartbeats{}; // At most MaxSigns.
};
// Signs of life that leave room for an own report and another in a datagram.
inline constexpr std::size_t MaxCompactHeartbeats = 100;

// A VM of the platform's list.
struct ListedVm {
  std::string m_Ip;
  std::string m_Domain;
  bool m_Leaving = false;
};

// A backend server of the platform's list.
struct ListedServer {
  std::string m_Address;
  std::string m_Pool;
  std::string m_Domain;
  bool m_Leaving = false;
};

// The platform's list as one agent knows it.
struct Directory {
  std::uint64_t m_Index = 0; // Grows with each change.
  std::vector<ListedVm> m_Vms;
  std::vector<ListedServer> m_Servers; // Of the own region.
};

// A member in a snapshot.
struct SnapshotMember {
  std::string m_Ip;
  std::string m_Domain;
  MemberState m_State = MemberState::Unheard;
  std::uint64_t m_EntryIncarnation = 0;
  std::vector<std::string> m_AdoptedHomes;
  std::vector<PoolSummary> m_Pools;
};

// What the agent pushes to the entry and look-up processes of its VM.
struct Snapshot {
  bool m_ConfigKnown = false; // False: answer no_configuration.
  std::uint64_t m_Revision = 0;
  ConfigSections m_Sections;
  bool m_SectionsOmitted = false; // The receiver has this revision already.
  std::vector<SnapshotMember> m_Members;
  std::vector<ListedServer> m_Servers;
};

// What an entry process answers to a snapshot.
struct EntryReport {
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_Revision = 0; // In force.
  bool m_Leaving = false;
  std::vector<PoolSummary> m_Pools;
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

// Each reader throws Json::Exception for a message of the wrong shape.
Heartbeat readHeartbeat(const Json::Value &Json);
Directory readDirectory(const Json::Value &Json);
Snapshot readSnapshot(const Json::Value &Json);
EntryReport readEntryReport(const Json::Value &Json);
KeyHandover readKeyHandover(const Json::Value &Json);
GrantRequest readGrantAsk(const Json::Value &Json, std::string &Pool);
Grant readGrant(const Json::Value &Json);
ConfigSections readSections(const Json::Value &Json);
std::vector<SectionChange> readChanges(const Json::Value &Json);

// Returns a heartbeat as a notification that fits into one datagram. Relayed
// rows that do not fit are left out, the last ones first.
std::string encodeHeartbeat(Heartbeat Message);
// Throws for anything but an array with at least Fields elements.
void requireArray(const Json::Value &Json, Json::ArrayIndex Fields);
// Returns JSON on one line, without blanks.
std::string compactJson(const Json::Value &Json);
// Reads JSON text of bounded depth.
Result<Json::Value> parseJson(const std::string &Text);
// Text form of a home in member reports: ip-port-incarnation in hexadecimal.
std::string formatHomeId(const HomeId &Home);

} // namespace rhubarb::net
