// The agent of a VM: configuration, members, the platform's list. It pushes one
// whole snapshot to the entry and look-up processes beside it.
#pragma once

#include "net/ConfigStore.h"
#include "net/Daemon.h"
#include "net/Datagrams.h"
#include "net/RpcServer.h"

namespace rhubarb::steer {

using namespace rhubarb::net;

// Keeps what all VMs must agree on, and pushes it. One thread.
class Agent {
public:
  explicit Agent(Daemon &Runtime);
  Result<int> start();
  asio::awaitable<void> stop();
  Json::Value status() const;
  void updateGauges();

private:
  // --- Configuration (AgentConfig.cpp)
  asio::awaitable<void> watchConfig();
  asio::awaitable<void> fetchConfigFrom(std::string Vm);
  void applyHead(const LoadedConfig &Loaded);
  void applyConfig(std::uint64_t Revision, ConfigSections Sections);
  bool applyEdits(const std::vector<ConfigEdit> &Edits);
  void recordEdits(const std::vector<ConfigEdit> &Edits);
  bool canServeConfig() const;
  Json::Value configUpdateSince(std::uint64_t Since) const;

  // --- Members and the platform's list (AgentMembers.cpp)
  asio::awaitable<void> watchDirectory();
  asio::awaitable<void> fetchDirectoryFrom(std::string Vm);
  void applyDirectory(const Directory &Received);
  asio::awaitable<void> heartbeatLoop();
  void sendHeartbeats();
  bool mustSendFullReport(const MemberReport &Own);
  void handleHeartbeat(const Json::Value &Params, const std::string &PeerIp);
  void fetchNewerState(const MemberReport &Report);
  MemberReport ownReport();
  bool isMember(const std::string &Ip) const;
  bool isTrustedBeforeList(const std::string &Ip) const;

  // --- Snapshots (AgentSnapshot.cpp)
  struct Consumer {
    std::string m_Name;
    std::string m_Address;
    std::string m_AcceptedHash;           // Of the last snapshot that it took.
    std::uint64_t m_AcceptedRevision = 0; // Its sections need not go again.
    bool m_Up = false;
  };
  Snapshot makeSnapshot() const;
  asio::awaitable<void> pushLoop(Consumer &Target);
  asio::awaitable<void> push(Consumer &Target);
  void handleEntryReport(const Json::Value &Json);

  asio::awaitable<HttpResponse> handleRequest(HttpRequest Request);
  void registerMethods();
  void updateWarnings();
  void setWarning(const std::string &Name, bool Raised,
                  const std::string &Action);

  Daemon &m_Runtime;
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

  ConfigSections m_Sections;       // In force.
  std::uint64_t m_Revision = 0;    // In force.
  ConfigSections m_NewestSections; // Newest, in force or not.
  std::uint64_t m_NewestRevision = 0;
  std::vector<ConfigEdit>
      m_RecentEdits; // Last edits up to m_NewestRevision, in order.
  std::uint64_t m_HighestKnownRevision = 0; // Revision that any neighbour has.
  std::uint64_t m_RejectedRevision = 0;
  bool m_ConfigReadFromStore = false;
  bool m_ConfigKnown = false;
  bool m_FetchingConfig = false;
  bool m_FetchingDirectory = false;
  Time m_LastStoreRead{0};
  Time m_StartedAt{0};

  Directory m_Directory;
  EntryReport m_EntryReport;
  Time m_EntryReportTime{0};
  std::uint64_t m_StartTimeMs = 0;
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_HeartbeatRound = 0;
  std::string
      m_SentUrgentFields; // Fields whose change goes out at once, as sent.
  int m_FullReportRounds = 0;
  bool m_Leaving = false;
  bool m_Stopped = false;
  std::vector<Consumer> m_Consumers;
  std::map<std::string, std::string>
      m_Warnings; // Name to the action it asks for.
};

// Returns the table of settings of this program.
SettingTable agentSettings();

} // namespace rhubarb::steer
