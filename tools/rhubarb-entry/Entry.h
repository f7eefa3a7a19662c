// The entry process: admits, queues, dispatches and answers requests from
// callers. All decisions are made by the library; the classes here connect it
// to sockets.
#pragma once

#include "net/Crypto.h"
#include "net/Daemon.h"
#include "net/Messages.h"
#include "net/RpcServer.h"

#include "rhubarb/Links.h"
#include "rhubarb/Queue.h"
#include "rhubarb/Retry.h"
#include "rhubarb/Servers.h"

#include <boost/asio/steady_timer.hpp>

#include <unordered_map>

namespace rhubarb::entry {

using namespace rhubarb::net;

// A request from its arrival until its final response.
struct PendingRequest {
  RequestId m_Id = 0;
  int m_Service = 0; // Index in Configuration::m_Services.
  int m_Pool = 0;
  std::string m_ServiceName;
  Priority m_Priority = Priority::Normal;
  bool m_Idempotent = false;
  std::string m_Key; // Idempotency key; empty if the request has none.
  HttpRequest m_Request;
  // Identifies the request on its way from the caller to the backend server.
  std::string m_TraceId;
  Time m_ArrivedAt{0};
  Time m_Deadline{0};
  int m_Attempts = 0;
  bool m_MayHaveRun = false; // An attempt ended with an unknown outcome.
  ResponsePtr m_Response;    // Final response; null until then.
  // Timer that never expires; it is cancelled to signal the final response.
  std::unique_ptr<boost::asio::steady_timer> m_FinishedSignal;
};
using PendingPtr = std::shared_ptr<PendingRequest>;

// Admission queue and retry budget of a pool.
struct PoolRuntime {
  explicit PoolRuntime(const Pool &Settings);
  std::string m_Name;
  AdmissionQueue m_Queue;
  RetryBudget m_RetryBudget;
};

// Result of an attempt to run a request.
struct AttemptResult {
  ResponsePtr m_Response;
  AttemptStatus m_Status = AttemptStatus::Answered;
  // Reason for another attempt; empty if the response is final.
  std::optional<RetryReason> m_RetryReason;
};

// Connects the tables of the library to sockets. Runs in a single thread.
class EntryProcess {
public:
  explicit EntryProcess(Daemon &Process);
  Result<int> start();
  asio::awaitable<void> stop();
  Json::Value status() const;
  void updateGauges();
  asio::awaitable<HttpResponse> handleOperatorRequest(HttpRequest Request);

private:
  // Requests from callers and from other entry processes (EntryRequests.cpp).
  asio::awaitable<HttpResponse> handleCallerRequest(HttpRequest Request);
  asio::awaitable<HttpResponse> handleServiceRequest(HttpRequest Request);
  asio::awaitable<ResponsePtr> handleKeyedRequest(PendingPtr Pending,
                                                  IdempotencyKey Key);
  asio::awaitable<ResponsePtr> submit(PendingPtr Pending);
  void cancelQueued(const PendingPtr &Pending);
  asio::awaitable<ResponsePtr> joinKey(std::string Key, Time Deadline);
  asio::awaitable<HttpResponse> forwardToHome(HttpRequest Request, HomeId Home,
                                              Time Deadline);
  HttpResponse issueKeyPrefix() const;
  HttpResponse toHttpResponse(const Response &Source) const;
  Result<PendingPtr> makePendingRequest(HttpRequest Request) const;

  // Dispatch to backend servers and peers (EntryDispatch.cpp).
  void dispatchWaiting(int Pool);
  void pushPendingGrants(int Pool);
  bool dispatchLocal(int Pool);
  bool dispatchRemote(int Pool);
  asio::awaitable<void> attemptLocal(PendingPtr Pending, ServerIndex Server);
  asio::awaitable<void> attemptRemote(PendingPtr Pending, std::string Peer,
                                      GrantId Id);
  asio::awaitable<AttemptResult> callServer(PendingPtr Pending,
                                            ServerIndex Server);
  asio::awaitable<bool> cancelAttempt(std::string Address, std::string Attempt);
  void endAttempt(const PendingPtr &Pending, AttemptResult Attempt,
                  Duration SlotTime);
  void finishRequest(const PendingPtr &Pending, ResponsePtr FinalResponse);
  asio::awaitable<HttpResponse> handleForwardedRequest(HttpRequest Request);
  void markDraining(const std::string &Address);

  // Control messages and periodic work (EntryControl.cpp).
  asio::awaitable<HttpResponse> handleControlRequest(HttpRequest Request);
  void registerRpcMethods();
  void applySnapshot(const Snapshot &NewSnapshot);
  Json::Value makeFullSnapshotRequest() const;
  void applyConfig(const Snapshot &NewSnapshot);
  void updateOwnedServers();
  void updateCapacity(int Pool);
  bool peerMayGrant(int Pool) const;
  EntryReport makeReport() const;
  Json::Value handleGrantRequest(const Json::Value &Params,
                                 const std::string &PeerIp);
  asio::awaitable<void> tickLoop();
  asio::awaitable<void> pollServers();
  void planGrantRequests(int Pool);
  asio::awaitable<void> sendGrantRequest(PlannedGrantRequest Planned);
  asio::awaitable<void> pushGrant(PushedGrant Pushed, int Pool);
  asio::awaitable<bool> handOverKeys();
  asio::awaitable<bool> handOverKeysTo(std::string Vm, KeyHandover Handover);

  const SnapshotMember *findMember(const std::string &Ip) const;
  int distanceTo(const SnapshotMember &Member) const;
  LinkShare *findLink(const std::string &Region);
  asio::awaitable<void> paceResponse(std::string Region, std::size_t Bytes,
                                     Time Deadline);
  std::string controlAddress(const std::string &Ip) const;

  Daemon &m_Daemon;
  std::string m_Ip;
  std::string m_Domain;
  std::string m_Region;
  std::uint16_t m_Port;
  std::uint16_t m_ControlPort;
  KeySigner m_KeySigner;
  HttpClient m_Client;
  HttpServer m_RequestServer;
  HttpServer m_ControlServer;
  RpcServer m_RpcServer;

  Configuration m_Config;
  bool m_ConfigKnown = false;
  Snapshot m_Snapshot;
  std::string m_SnapshotHash;
  KeyTable m_Keys;
  BackendServerTable m_Servers;
  GrantIssuer m_GrantIssuer;
  GrantHolder m_GrantHolder;
  // Pools in the order of Configuration::m_Pools.
  std::vector<PoolRuntime> m_Pools;
  // Shares of the links between regions, by the name of the remote region.
  std::map<std::string, LinkShare> m_LinkShares;
  // Addresses of the servers that report that they are draining.
  std::set<std::string> m_DrainingServers;
  std::unordered_map<RequestId, PendingPtr> m_PendingRequests;
  RequestId m_NextRequestId = 1;
  Time m_LastTickAt{0};
  // Shutdown has begun; reported so that look-ups no longer return this VM.
  bool m_Leaving = false;
  // New requests without a key are refused, so that callers send them to
  // another VM. The key table refuses those with a new key.
  bool m_RefusesUnkeyedRequests = false;
  bool m_Stopped = false;
};

// Returns the settings of rhubarb-entry in addition to the common ones.
SettingTable entrySettings();

} // namespace rhubarb::entry
