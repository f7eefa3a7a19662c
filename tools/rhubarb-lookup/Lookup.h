// The look-up process: tells callers which entry VMs to use, and which of these
// is the home of new keys.
#pragma once

#include "net/Crypto.h"
#include "net/Daemon.h"
#include "net/Messages.h"
#include "net/RpcServer.h"

#include "rhubarb/Lookup.h"

namespace rhubarb::lookup {

using namespace rhubarb::net;

// Serves look-ups from the last snapshot that the agent on this VM has pushed.
// Single-threaded.
class Lookup {
public:
  explicit Lookup(Daemon &Process);
  Result<int> start();
  // Accepts requests for lookup.linger_ms more, then waits until none is in
  // progress.
  asio::awaitable<void> stop();
  Json::Value status() const;
  void updateGauges();

private:
  asio::awaitable<HttpResponse> handleRequest(HttpRequest Request);
  // Handles JSON-RPC calls, which only processes on this VM may make.
  asio::awaitable<HttpResponse> handleControlRequest(HttpRequest Request);
  HttpResponse handleLookup(const HttpRequest &Request);
  // Counts a refusal and returns its response.
  HttpResponse refuse(ErrorKind Kind, const std::string &Text = {});
  // Replaces the snapshot. The result has "need" set if the snapshot omits
  // configuration sections that this process does not have.
  Json::Value applySnapshot(const Json::Value &Params, const std::string &Ip);
  // Shifts callers between failure domains by at most one step per TTL of the
  // responses.
  asio::awaitable<void> steeringLoop();
  std::vector<DomainLoad> domainLoads() const;
  // Returns the failure domain of the client block that the caller's address is
  // in, or this VM's own domain if there is none.
  std::string callerDomain(const HttpRequest &Request) const;
  // Reads lookup.blocks_file.
  Result<int> loadClientBlocks(const std::string &File);

  Daemon &m_Daemon;
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
  std::vector<std::string> m_SiteDomains; // Failure domains, by site index.
  // Region of each configured failure domain.
  std::map<std::string, std::string> m_RegionOf;
  bool m_Stopped = false;
};

SettingTable lookupSettings();

} // namespace rhubarb::lookup
