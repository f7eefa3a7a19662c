// The look-up process: tells callers which entry VMs to use, and which of them
// is the home of new keys.
#pragma once

#include "net/Crypto.h"
#include "net/Daemon.h"
#include "net/Messages.h"
#include "net/RpcServer.h"

#include "rhubarb/Lookup.h"

namespace rhubarb::lookup {

using namespace rhubarb::net;

// Answers look-ups from the last snapshot. One thread.
class Lookup {
public:
  explicit Lookup(Daemon &Runtime);
  Result<int> start();
  asio::awaitable<void> stop();
  Json::Value status() const;
  void updateGauges();

private:
  asio::awaitable<HttpResponse> handleRequest(HttpRequest Request);
  asio::awaitable<HttpResponse> handleControlRequest(HttpRequest Request);
  HttpResponse handleLookup(const HttpRequest &Request);
  HttpResponse refuse(ErrorKind Kind, const std::string &Text = {});
  Json::Value applySnapshot(const Json::Value &Params, const std::string &Ip);
  asio::awaitable<void> steeringLoop();
  std::vector<DomainLoad> domainLoads() const;
  std::string callerDomain(const HttpRequest &Request) const;
  Result<int> loadClientBlocks(const std::string &File);

  Daemon &m_Runtime;
  std::string m_Ip;
  std::string m_Domain;
  KeySigner m_Signer;
  HttpServer m_Server;
  HttpServer m_ControlServer;
  RpcServer m_Rpc;
  Snapshot m_Snapshot;
  std::string m_SnapshotHash;
  Configuration m_Config;
  bool m_ConfigKnown = false;
  SteeringTable m_Steering;
  ClientBlockTable m_Blocks;
  std::vector<std::string> m_SiteDomains; // Failure domain of each site index.
  std::map<std::string, std::string> m_RegionOf;
  bool m_Stopped = false;
};

SettingTable lookupSettings();

} // namespace rhubarb::lookup
