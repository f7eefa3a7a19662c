// The agent of a VM. It maintains the configuration, the membership table and
// the platform's directory, and pushes snapshots of them to the entry and
// look-up processes on the same VM.
#pragma once

#include "net/ConfigStore.h"
#include "net/Daemon.h"
#include "net/Datagrams.h"
#include "net/RpcServer.h"

namespace rhubarb::steer {

using namespace rhubarb::net;

// Replicates the state that all VMs must agree on and pushes it to the
// processes of this VM. Single-threaded.
class Agent {
public:
  explicit Agent(Daemon &Process);
  Result<int> start();
  // The entry and look-up processes continue with their last snapshot.
  asio::awaitable<void> stop();
  Json::Value status() const;
  void updateGauges();

private:
  // --- Configuration (AgentConfig.cpp)
  // Reads the configuration from the store, repeatedly if this VM is a watcher.
  asio::awaitable<void> watchConfig();
  asio::awaitable<void> fetchConfigFrom(std::string Vm);
  void applyHead(const LoadedConfig &Loaded);
  // Records the newest document. An invalid one does not come into force: the
  // last valid one stays, and the next edit is applied on top of the newest.
  void applyConfig(std::uint64_t Revision, ConfigSections Sections);
  // Applies edits that follow the newest known revision without a gap. Returns
  // false if they do not.
  bool applyEdits(const std::vector<ConfigEdit> &Edits);
  // Adds edits to m_RecentEdits, from which neighbours get those they lack.
  void recordEdits(const std::vector<ConfigEdit> &Edits);
  // Whether this VM has the highest revision that it could learn of: from the
  // store, or from its neighbours during a store outage.
  bool canServeConfig() const;
  // Returns the edits after revision Since if all of them are in m_RecentEdits,
  // otherwise the whole document.
  Json::Value configUpdateSince(std::uint64_t Since) const;

  // --- Members and the platform's directory (AgentMembers.cpp)
  asio::awaitable<void> watchDirectory();
  asio::awaitable<void> fetchDirectoryFrom(std::string Vm);
  void applyDirectory(const Directory &Received);
  asio::awaitable<void> heartbeatLoop();
  void sendHeartbeats();
  // Whether the own report must go in full to all targets, because an urgent
  // field has changed in the last rounds. Call once per round.
  bool mustSendFullReport(const MemberReport &Own);
  void handleHeartbeat(const Json::Value &Params, const std::string &PeerIp);
  // Starts to fetch the configuration and the directory from a neighbour if its
  // versions are newer than the local ones.
  void fetchNewerState(const MemberReport &Report);
  // Builds the next report of this VM and increments its sequence number.
  MemberReport ownReport();
  bool isMember(const std::string &Ip) const;
  // Whether a VM's heartbeats may start a fetch of the directory from it while
  // this VM has no directory yet.
  bool isTrustedBeforeList(const std::string &Ip) const;

  // --- Snapshots (AgentSnapshot.cpp)
  // A process on this VM that receives snapshots.
  struct Consumer {
    std::string m_Name;
    std::string m_Address;
    // Hash of the snapshot that the process has; empty: unknown.
    std::string m_AcceptedHash;
    // Configuration revision that the process has. Snapshots at this revision
    // omit the sections.
    std::uint64_t m_AcceptedRevision = 0;
    bool m_Up = false; // The process responded to the last push.
  };
  Snapshot makeSnapshot() const;
  asio::awaitable<void> pushLoop(Consumer &Target);
  asio::awaitable<void> push(Consumer &Target);
  void handleEntryReport(const Json::Value &Json);

  asio::awaitable<HttpResponse> handleRequest(HttpRequest Request);
  void registerMethods();
  void updateWarnings();
  // Raises or clears a warning. Logs and counts only transitions.
  void setWarning(const std::string &Name, bool Raised,
                  const std::string &Action);

  Daemon &m_Daemon;
  std::string m_Ip;
  std::string m_Domain;
  std::string m_Region;
  std::uint16_t m_Port;
  HttpClient m_Client;
  Store m_Store;
  RpcServer m_Rpc;
  HttpServer m_Server;
  DatagramSocket m_Datagrams;
  MemberTable m_Members;

  // The configuration in force.
  ConfigSections m_Sections;
  std::uint64_t m_Revision = 0;
  // The newest configuration, which is not in force if it is invalid.
  ConfigSections m_NewestSections;
  std::uint64_t m_NewestRevision = 0;
  // Consecutive edits up to m_NewestRevision, oldest first.
  std::vector<ConfigEdit> m_RecentEdits;
  // Highest revision that this VM has or a neighbour has reported.
  std::uint64_t m_HighestKnownRevision = 0;
  std::uint64_t m_RejectedRevision = 0; // Last invalid revision.
  bool m_ConfigReadFromStore = false;
  bool m_ConfigKnown = false; // A valid configuration is in force.
  bool m_FetchingConfig = false;
  bool m_FetchingDirectory = false;
  Time m_LastStoreRead{0}; // Last successful read of the configuration.
  Time m_StartedAt{0};

  Directory m_Directory;
  EntryReport m_EntryReport;
  Time m_EntryReportTime{0};
  std::uint64_t m_StartTimeMs = 0; // Start of the agent, Unix milliseconds.
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_HeartbeatRound = 0;
  // Last sent values of the report fields whose changes are sent to all targets
  // at once.
  std::string m_SentUrgentFields;
  // Remaining rounds in which the own report is sent in full to all targets.
  int m_FullReportRounds = 0;
  bool m_Leaving = false;
  bool m_Stopped = false;
  std::vector<Consumer> m_Consumers;
  // Raised warnings: the name and the action that operators should take.
  std::map<std::string, std::string> m_Warnings;
};

SettingTable agentSettings();

} // namespace rhubarb::steer
