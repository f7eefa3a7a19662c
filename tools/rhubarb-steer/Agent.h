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
  explicit Agent(Daemon &Frame);
  Result<int> start();
  asio::awaitable<void> stop();
  Json::Value status() const;
  void updateGauges();

private:
  // --- Configuration (AgentConfig.cpp)
  asio::awaitable<void> watchConfig();
  asio::awaitable<void> fetchConfigFrom(std::string Vm);
  void takeHead(const LoadedConfig &Loaded);
  void putInForce(std::uint64_t Revision, ConfigSections Sections);
  bool applyRecent(const std::vector<ConfigEdit> &Edits);
  void rememberEdits(const std::vector<ConfigEdit> &Edits);
  bool mayServe() const;
  Json::Value serveConfig(std::uint64_t Since) const;

  // --- Members and the platform's list (AgentMembers.cpp)
  asio::awaitable<void> watchDirectory();
  asio::awaitable<void> fetchDirectoryFrom(std::string Vm);
  void takeDirectory(const Directory &Listed);
  asio::awaitable<void> heartbeatLoop();
  void sendHeartbeats();
  bool mustSendWhole(const MemberReport &Own);
  void takeHeartbeat(const Json::Value &Params, const std::string &PeerIp);
  void catchUpWith(const MemberReport &Report);
  MemberReport ownReport();
  bool isMember(const std::string &Ip) const;
  bool believesBeforeList(const std::string &Ip) const;

  // --- Snapshots (AgentSnapshot.cpp)
  struct Consumer {
    std::string m_Name;
    std::string m_Address;
    std::string m_PushedHash;          // Of the last snapshot that it took.
    std::uint64_t m_TakenRevision = 0; // Its sections need not go again.
    bool m_Up = false;
  };
  Snapshot makeSnapshot() const;
  asio::awaitable<void> pushLoop(Consumer &Target);
  asio::awaitable<void> push(Consumer &Target);
  void takeEntryReport(const Json::Value &Json);

  asio::awaitable<HttpResponse> serve(HttpRequest Request);
  void bindMethods();
  void raiseWarnings();
  void setWarning(const std::string &Name, bool Raised,
                  const std::string &Action);

  Daemon &m_Frame;
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

  ConfigSections m_Sections;     // In force.
  std::uint64_t m_Revision = 0;  // In force.
  ConfigSections m_SeenSections; // Newest, in force or not.
  std::uint64_t m_SeenRevision = 0;
  std::vector<ConfigEdit>
      m_Recent; // Last edits up to m_SeenRevision, in order.
  std::uint64_t m_HighestHeard = 0; // Revision that any neighbour has.
  std::uint64_t m_RejectedRevision = 0;
  bool m_StoreAnswered = false;
  bool m_ConfigKnown = false;
  bool m_FetchingConfig = false;
  bool m_FetchingDirectory = false;
  Time m_StoreHeard{0};
  Time m_Started{0};

  Directory m_Directory;
  EntryReport m_Entry;
  Time m_EntryHeard{0};
  std::uint64_t m_Boot = 0;
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_Round = 0;
  std::string m_SentUrgent; // Fields whose change goes out at once, as sent.
  int m_WholeRounds = 0;
  bool m_Leaving = false;
  bool m_Stopped = false;
  std::vector<Consumer> m_Consumers;
  std::map<std::string, std::string>
      m_Warnings; // Name to the action it asks for.
};

// Returns the table of settings of this program.
SettingTable agentSettings();

} // namespace rhubarb::steer
