// The entry process: takes callers' requests, admits, queues, dispatches and
// answers them. All decisions come from the library; this class connects them
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

// One request between admission and answer.
struct PendingRequest {
  RequestId m_Id = 0;
  int m_Service = 0; // Index into the configuration's services.
  int m_Pool = 0;
  std::string m_ServiceName;
  Priority m_Rank = Priority::Normal;
  bool m_Idempotent = false;
  std::string m_Key; // Empty: none.
  HttpRequest m_Request;
  std::string m_TraceId; // From caller to backend server.
  Time m_Arrived{0};
  Time m_Deadline{0};
  int m_Attempts = 0;
  bool m_MayHaveRun = false; // An earlier attempt ended without a whole answer.
  ResponsePtr m_Answer;      // Set once, when final.
  std::unique_ptr<boost::asio::steady_timer> m_Done;
};
using PendingPtr = std::shared_ptr<PendingRequest>;

// Queue and budget of one pool.
struct PoolRuntime {
  explicit PoolRuntime(const Pool &Settings);
  std::string m_Name;
  AdmissionQueue m_Queue;
  RetryBudget m_Budget;
};

// How the end of an attempt reads.
struct AttemptResult {
  ResponsePtr m_Answer;
  AttemptStatus m_End = AttemptStatus::Answered;
  std::optional<RetryReason> m_Retry; // Set: another attempt may follow.
};

// Connects the library's tables to sockets. One thread.
class Entry {
public:
  explicit Entry(Daemon &Frame);
  Result<int> start();
  asio::awaitable<void> stop();
  Json::Value status() const;
  void updateGauges();
  asio::awaitable<HttpResponse> operate(HttpRequest Request);

private:
  // --- Requests from callers and other entry processes (EntryRequests.cpp)
  asio::awaitable<HttpResponse> serve(HttpRequest Request);
  asio::awaitable<HttpResponse> serveService(HttpRequest Request);
  asio::awaitable<ResponsePtr> serveKeyed(PendingPtr Pending,
                                          IdempotencyKey Key);
  asio::awaitable<ResponsePtr> submit(PendingPtr Pending);
  void giveUp(const PendingPtr &Pending);
  asio::awaitable<ResponsePtr> joinKey(std::string Key, Time Deadline);
  asio::awaitable<HttpResponse> passToHome(HttpRequest Request, HomeId Home,
                                           Time Deadline);
  HttpResponse issueKeyHome() const;
  HttpResponse toResponse(const Response &Source) const;
  Result<PendingPtr> makePending(HttpRequest Request) const;

  // --- Dispatch (EntryDispatch.cpp)
  void pump(int Pool);
  void servePending(int Pool);
  bool dispatchLocal(int Pool);
  bool dispatchRemote(int Pool);
  asio::awaitable<void> attemptLocal(PendingPtr Pending, ServerIndex Server);
  asio::awaitable<void> attemptRemote(PendingPtr Pending, std::string Peer,
                                      GrantId Id);
  asio::awaitable<AttemptResult> callServer(PendingPtr Pending,
                                            ServerIndex Server);
  asio::awaitable<bool> cancelledBeforeStart(std::string Address,
                                             std::string Attempt);
  void endAttempt(const PendingPtr &Pending, AttemptResult Ended,
                  Duration Held);
  void finish(const PendingPtr &Pending, ResponsePtr Final);
  asio::awaitable<HttpResponse> serveForwarded(HttpRequest Request);
  void markDraining(const std::string &Address);

  // --- Control messages and periodic work (EntryControl.cpp)
  asio::awaitable<HttpResponse> serveControl(HttpRequest Request);
  void bindMethods();
  void takeSnapshot(const Snapshot &Taken);
  Json::Value needWhole() const;
  void applyConfig(const Snapshot &Taken);
  void applyServers();
  void updateCapacity(int Pool);
  bool peerMayGrant(int Pool) const;
  EntryReport report() const;
  Json::Value answerAsk(const Json::Value &Params, const std::string &PeerIp);
  asio::awaitable<void> tickLoop();
  asio::awaitable<void> pollLoads();
  void planAsks(int Pool);
  asio::awaitable<void> sendAsk(PlannedGrantRequest Ask);
  asio::awaitable<void> sendGrant(PushedGrant Given, int Pool);
  asio::awaitable<bool> handOverKeys();
  asio::awaitable<bool> handOverTo(std::string Vm, KeyHandover Whole);

  const SnapshotMember *findMember(const std::string &Ip) const;
  int distanceTo(const SnapshotMember &Member) const;
  LinkShare *linkTo(const std::string &Region);
  asio::awaitable<void> paceAnswer(std::string Region, std::size_t Bytes,
                                   Time Deadline);
  std::string controlAddress(const std::string &Ip) const;

  Daemon &m_Frame;
  std::string m_Ip;
  std::string m_Domain;
  std::string m_Region;
  std::uint16_t m_Port;
  std::uint16_t m_ControlPort;
  KeySigner m_Signer;
  HttpClient m_Client;
  HttpServer m_Server;
  HttpServer m_Control;
  RpcServer m_Rpc;

  Configuration m_Config;
  bool m_ConfigKnown = false;
  Snapshot m_Snapshot;
  std::string m_SnapshotHash;
  KeyTable m_Keys;
  BackendServerTable m_Servers;
  GrantIssuer m_Desk;
  GrantHolder m_Wallet;
  std::vector<PoolRuntime> m_Pools; // By index of the configuration's pools.
  std::map<std::string, LinkShare> m_Links; // By the other region.
  std::set<std::string> m_Draining;         // By the servers' own reports.
  std::unordered_map<RequestId, PendingPtr> m_Pending;
  RequestId m_NextRequest = 1;
  Time m_LastTick{0};
  bool m_Leaving = false; // Look-ups stop naming this VM.
  bool m_Closed = false;  // New requests go elsewhere.
  bool m_Stopped = false;
};

// Returns the table of settings of this program.
SettingTable entrySettings();

} // namespace rhubarb::entry
