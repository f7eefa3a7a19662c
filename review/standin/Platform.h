// A stand-in for the platform: its store, and the settings of a small
// deployment.
#pragma once

#include "Support.h"

#include <condition_variable>
#include <deque>
#include <memory>

namespace review {

// The store: keys with revisions, leases without an end, watches and writes.
class Store {
public:
  void start(const std::string &Ip, int Port);
  void put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);

private:
  struct Item {
    std::string m_Value;
    std::uint64_t m_Revision = 0;
    bool m_Removed = false;
  };
  void serve(const Socket &Client);
  std::string answer(const Message &Request);
  std::string range(const std::string &Prefix, const std::string &After);
  std::string watch(const std::string &Prefix, std::uint64_t After,
                    long WaitMs);
  void write(const std::string &Body);
  static std::string itemJson(const std::string &Key, const Item &Row);

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::map<std::string, Item> m_Items;
  std::uint64_t m_Revision = 100;
  std::uint64_t m_Leases = 0;
};

// A route of the configuration that a case writes.
struct RouteText {
  std::string m_Name;
  std::string m_Prefix;
  std::string m_Type = "unsafe";
  std::string m_Timeout = "1200ms";
  std::string m_Service = "katalog";
  int m_MaxAttempts = 2;
};

// Addresses and ports of a deployment. All machines use the same ports.
struct Deployment {
  std::string m_Net;       // First two octets: 127.N.
  std::string m_Directory; // For settings and logs.
  std::string m_Program;   // Path of rhubarb-node.
  int m_FrontPort = 0;
  Store m_Store;
  std::vector<std::unique_ptr<Process>> m_Nodes;

  int readyPort() const { return m_FrontPort + 1; }
  int controlPort() const { return m_FrontPort + 2; }
  int directoryPort() const { return m_FrontPort + 3; }
  int peerPort() const { return m_FrontPort + 4; }
  int storePort() const { return m_FrontPort + 10; }
  int metricsPort() const { return m_FrontPort + 11; }
  std::string nodeIp(int Node) const {
    return m_Net + ".1." + std::to_string(Node + 1);
  }
  std::string storeIp() const { return m_Net + ".9.1"; }
  std::string clientIp() const { return m_Net + ".5.1"; }
  std::string serverIp(int Server) const {
    return m_Net + ".2." + std::to_string(Server + 1);
  }

  // Chooses free addresses, starts the store and writes the configuration.
  bool start(const std::vector<RouteText> &Routes,
             const std::vector<std::string> &Services);
  void writeConfig(int Version, const std::vector<RouteText> &Routes,
                   const std::vector<std::string> &Services);
  // Lists a ready instance in the store.
  void listServer(const std::string &Id, const std::string &Service,
                  const std::string &Address, int Slots,
                  const std::string &State = "ready");
  // Starts a node and waits until it is ready.
  bool startNode(int Node, int Nodes);
  bool waitUntilReady(int Node, long TimeoutMs) const;
};

} // namespace review
