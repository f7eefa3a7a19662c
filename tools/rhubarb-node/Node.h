// The node: one process that carries callers' requests and answers look-ups.
// It shares its backend servers with the nodes of other VMs. Configuration and
// lists come in from a control plane; all decisions are the library's.
#pragma once

#include "net/Datagrams.h"
#include "net/Http.h"
#include "net/LearnedState.h"
#include "net/Messages.h"
#include "net/Metrics.h"
#include "net/RpcServer.h"
#include "net/ServerListUpdate.h"
#include "net/ServerUpdates.h"

#include "rhubarb/Dispatch.h"
#include "rhubarb/Members.h"
#include "rhubarb/Readers.h"
#include "rhubarb/Relays.h"
#include "rhubarb/Retry.h"
#include "rhubarb/Routes.h"

#include <boost/asio/steady_timer.hpp>

#include <set>
#include <unordered_map>

namespace rhubarb::node {

using namespace rhubarb::net;

// Where this process listens and what it has been told of its surroundings.
struct NodeSettings {
  std::string m_Name;
  std::string m_Ip;
  std::string m_Domain;
  std::string m_Region;
  std::map<std::string, std::string> m_RegionOf; // By failure domain.
  std::uint16_t m_CallerPort = 0;
  std::uint16_t m_ReadyPort = 0;
  std::uint16_t m_LookupPort = 0;
  std::uint16_t m_MetricsPort = 0;  // 0: none.
  std::uint16_t m_PeerPort = 0;     // UDP and TCP, the same on every VM.
  std::vector<std::string> m_Seeds; // IP numbers of other VMs; may be stale.
  Duration m_LookupTtl = 2s;        // For which callers keep an answer.
  Duration m_GracePeriod = 6s;      // From SIGTERM to SIGKILL.
  Duration m_ListPropagationBound = 2s;   // For changes of the servers' list.
  Duration m_ConfigPropagationBound = 2s; // For changes by the operators.
  double m_RetryRatio = 0.2;              // Of a service's requests, all VMs.
  double m_RetrySlack = 0;        // Further retries in a window, all VMs.
  double m_CpuShare = 1;          // Of a core.
  double m_MaxColdRateFactor = 1; // Times what a cold server tolerates.
  std::size_t m_MaxConnections = 3000;
  DisabledMechanisms m_Disabled; // For experiments and emergencies.
};

// Header fields that callers and backend servers use.
struct HeaderNames {
  std::string m_RequestId;
  std::string m_Deadline;       // Milliseconds that are left.
  std::string m_AffinityCookie; // Names the object that a request concerns.
  std::string m_ServerStamp;    // Proof that a backend server made the answer.
  std::string m_ExpectServer;   // Any other backend server must refuse.
  std::string m_ServerId;
  std::string m_ServerLoad;  // Running, waiting, slots.
  std::string m_NotExecuted; // The backend server did not run the request.
  std::string m_Leaving;     // "1": the backend server is about to stop.
  std::string m_RetryAfter;  // Seconds for which it wants no request from here.
  std::string m_ColdMillis;  // In health answers.
};

// A request under way.
struct Exchange {
  DispatchRequest m_Dispatch;
  std::string m_TraceId;
  bool m_Idempotent = false;
  int m_MaxAttempts = 1;
  Time m_CallerDeadline{0};
  Time m_ExecutionDeadline{0}; // A server may work on it until then.
  HttpRequest m_Request;
  std::shared_ptr<Cancellation> m_RequestCancellation; // By the caller's close.
  std::shared_ptr<Cancellation>
      m_AttemptCancellation; // Also by the server's end.
  DispatchDecision m_Decision;
  std::unique_ptr<boost::asio::steady_timer> m_QueueTimer; // While it waits.
  Duration m_QueueTime{0};     // For its turn, in all.
  int m_DeliveredAttempts = 0; // Backend servers that may have got it.
  int m_TotalAttempts = 0;     // With those that could not be reached.
  bool m_MayHaveRun = false;
  bool m_Offered = false;
  std::string m_LastServer;
  std::optional<ReportedLoad> m_ReportedLoad; // With the last answer.
  std::uint64_t m_ConfigRevision = 0;
};
using ExchangePtr = std::shared_ptr<Exchange>;

// What an attempt means for the request.
struct AttemptResult {
  AttemptReport m_Report;
  std::optional<HttpResponse> m_Response; // Goes to the caller.
  std::optional<HttpResponse>
      m_FallbackResponse; // Goes there if no retry follows.
  ErrorKind m_Error = ErrorKind::None;
  std::optional<RetryReason> m_RetryReason;
};

// A configuration as the control plane has it; its text means nothing here.
struct ConfigDocument {
  std::uint64_t m_Revision = 0;
  std::string m_Text;
};

// What a read of the list has given.
enum class ListReadResult : std::uint8_t {
  Failed,     // The control plane gave no answer.
  MayBeStale, // A list that may be seconds old; VMs that know better say so.
  Current,    // All changes up to now.
};

// What the control plane offers to the node.
struct ControlPlaneHooks {
  // Makes the answer to a look-up from addresses, the best first.
  std::function<HttpResponse(const std::vector<std::string> &)>
      m_MakeLookupResponse;
  // Takes a configuration that a peer has sent.
  std::function<void(const std::string &)> m_ApplyConfig;
};

// The process's state. One thread.
class Node {
public:
  Node(asio::io_context &Io, Metrics &Counters, NodeSettings Settings,
       HeaderNames Names);
  Result<int> start();
  // Leaves gracefully: callers are sent elsewhere, requests run to their end.
  asio::awaitable<void> stop();

  void setHooks(ControlPlaneHooks Hooks) { m_Hooks = std::move(Hooks); }
  // Takes changed settings. Returns the names of those that hold only from the
  // next start on.
  std::vector<std::string> applySettings(const NodeSettings &Next);
  // Puts a configuration in force, unless one as new is in force already.
  void applyConfig(RoutingConfig Next, ConfigDocument Source);
  // The list of backend servers. The control plane writes to it, then calls
  // listComplete() and listRead().
  ListingTable &serverList() { return m_List; }
  // Records that the list was complete up to a revision of the control plane.
  void confirmListComplete(std::uint64_t Revision, Time KnownAt);
  // Puts the list in force, and tells the VMs of the region.
  void recordListRead(ListReadResult How);
  // Tells the revision of the operators' last change, up to which revision of
  // the control plane that is known, and when.
  void recordOperatorRead(bool Read, std::uint64_t LastChange,
                          std::uint64_t Complete, Time KnownAt);
  // Whether this VM should read the list, or operators' changes, itself: it is
  // the reader of its region, or the reader's news fails to come.
  ReadReason reasonToReadList() const;
  // Whether this VM is among those that tell its region what they read. One
  // that leaves hands over to the next, who counts from then on.
  bool announcesToRegion() const {
    return !m_Leaving && ownReaderRank() < MaxReaders;
  }
  const StoreReadPolicy &listReadPolicy() const { return m_ListReadPolicy; }
  const StoreReadPolicy &operatorReadPolicy() const {
    return m_OperatorReadPolicy;
  }
  ReadReason reasonToReadOperator() const;
  // Logs and counts that a kind of read begins for another reason than before.
  void logReadReason(const char *What, ReadReason Reason,
                     ReadReason Before) const;
  void applyEvacuated(const std::set<std::string> &Domains,
                      std::uint64_t Revision);
  // Whether this VM keeps what its region has learnt: its reader does.
  bool savesLearnedState() const;
  // Returns what the region has learnt, as far as this process knows.
  LearnedState learnedState() const;
  // Takes what the region knew before this process. Places at servers that are
  // not listed yet are taken when they are.
  void restoreLearnedState(LearnedState Memory);
  // Adds VMs that the control plane lists.
  void addVms(const std::vector<MemberTable::ListedVm> &Listed);

  const RoutingConfig &config() const { return m_Routes.config(); }
  std::uint64_t revision() const { return m_Routes.config().m_Revision; }
  bool leaving() const { return m_Leaving; }

private:
  // --- Requests (NodeRequests.cpp)
  asio::awaitable<HttpResponse> serveRequest(HttpRequest Request);
  asio::awaitable<HttpResponse> attemptUntilAnswered(ExchangePtr Work);
  asio::awaitable<void> dispatch(ExchangePtr Work);
  Duration retryAfterUntilReady();
  asio::awaitable<AttemptResult> runAttempt(ExchangePtr Work);
  // Ends the attempts at a server that has gone: idempotent requests go
  // elsewhere, the others are answered.
  void cancelAttemptsAt(ServerIndex Index, bool IdempotentOnly);
  void recordServerHints(const BackendInfo &Server,
                         const AttemptReport &Report) const;
  void classifyResult(Exchange &Work, HttpResult &Got,
                      AttemptResult &Verdict) const;
  void classifyResponse(Exchange &Work, HttpResponse &Response,
                        AttemptResult &Verdict) const;
  std::string_view reasonNotToRetry(Exchange &Work,
                                    const AttemptResult &Verdict);
  void logAttempt(const Exchange &Work, const AttemptResult &Verdict,
                  std::string_view Stop) const;
  HttpRequest makeServerRequest(const Exchange &Work) const;
  HttpResponse makeRefusal(const Exchange &Work, ErrorKind Kind,
                           Duration RetryAfter) const;
  void processQueue();
  void logRequest(const Exchange &Work, int Status,
                  std::string_view Reason) const;

  // --- What the region has learnt (NodeMemory.cpp)
  // Takes what of the recalled memory concerns known pools and servers.
  void applyPendingRestore();

  // --- Periodic work and health (Node.cpp)
  asio::awaitable<void> tickLoop();
  asio::awaitable<void> healthCheckLoop();
  asio::awaitable<void> checkHealth(ServerIndex Index);
  HealthCheckResult classifyHealthResponse(const HttpResult &Got,
                                           const BackendInfo &Server) const;
  double coldRateFor(const BackendInfo &Server) const;
  RetryBudget &retryBudget(int Pool);
  // Logs what is believed of servers and VMs where it has changed.
  void logStateChanges();

  // --- Look-ups (NodeLookup.cpp)
  asio::awaitable<HttpResponse> serveReadiness(HttpRequest Request);
  asio::awaitable<HttpResponse> serveLookup(HttpRequest Request);
  asio::awaitable<HttpResponse> serveMetrics(HttpRequest Request);
  void updateGauges();
  std::vector<std::string> lookupCandidates(const std::string &Region,
                                            const std::string &Domain) const;
  bool isReady() const;

  // --- Peers (NodePeers.cpp)
  asio::awaitable<void> heartbeatLoop();
  void sendHeartbeats();
  void handleHeartbeat(const Json::Value &Params, const std::string &PeerIp);
  asio::awaitable<HttpResponse> servePeer(HttpRequest Request);
  asio::awaitable<void> fetchConfig(std::string Ip);
  asio::awaitable<void> fetchList(std::string Ip);
  void handleListUpdate(const Json::Value &Params, const std::string &PeerIp);
  void applyListUpdate(const ServerListUpdate &News);
  void updateOperatorCompleteRevision();
  ServerListUpdate makeListUpdate(std::vector<ListingRow> Rows) const;
  void sendListUpdate();
  std::vector<RelayGroup> updateRelayGroups(RelayShape Shape);
  void sendPeriodicListUpdate();
  void sendServerUpdates();
  std::vector<std::string> encodeAffinityAndLoadUpdates();
  void forwardTo(const std::vector<std::string> &Vms, const std::string &Text);
  void handleServerEvents(const Json::Value &Params);
  void handleForwardedMessage(const Json::Value &Params,
                              const std::string &PeerIp);
  void handleAffinityUpdates(const Json::Value &Params);
  void handleLoadUpdates(const Json::Value &Params);
  void applyList();
  std::size_t regionSize() const;
  std::size_t ownReaderRank() const;
  bool fetchesConfigFromPeer(std::uint64_t ConfigBytes) const;
  // Returns the region of a VM; empty when it is not known.
  std::string_view regionOf(const MemberRow &Row) const;
  MemberReport ownReport();
  // Returns the share of a pool's objects that run away from home.
  int spillPermille(int Pool) const;
  void addKnownVm(const std::string &Ip, const std::string &Domain);

  asio::io_context &m_Io;
  Metrics &m_Metrics;
  NodeSettings m_Settings;
  HeaderNames m_HeaderNames;
  ControlPlaneHooks m_Hooks;
  Reachability m_Reachability;
  HttpClient m_BackendClient;
  HttpClient m_PeerClient;
  HttpServer m_CallerServer;
  HttpServer m_ReadyServer;
  HttpServer m_LookupServer;
  HttpServer m_PeerServer;
  HttpServer m_MetricsServer;
  RpcServer m_Rpc;
  DatagramSocket m_Datagrams;
  Random m_Random; // Spreads the returns of callers.
  asio::steady_timer m_TickTimer;

  RouteTable m_Routes;
  WeightedSplitter m_Splitter;
  ConfigDocument m_ConfigDocument;
  Dispatcher m_Dispatcher;
  MemberTable m_Members;
  std::map<std::string, std::string> m_KnownVms; // IP number to domain.
  ListingTable m_List;
  LearnedState m_PendingRestore; // Not yet taken.
  std::uint64_t m_AppliedListChanges =
      0; // Changes of the list that are in force.
  std::uint64_t m_OperatorRevision = 0; // Of the last change.
  std::uint64_t m_OperatorCompleteRevision =
      0; // Up to here no change is missing.
  Time m_OperatorKnownAt{0};
  ServerListUpdate
      m_AnnouncedOperatorUpdate; // Latest that a peer has told, without rows.
  Time m_OperatorAnnouncedAt{0}; // When its last change was new here.
  StoreReadPolicy m_ListReadPolicy;
  StoreReadPolicy m_OperatorReadPolicy;
  Time m_ListUpdateSentAt{0};
  // Up to when what the last news told was known: the store answers for list
  // and operators' changes at the same pace, and each answer is to be told.
  Time m_SentListKnownAt{0};
  Time m_SentOperatorKnownAt{0};
  std::uint64_t m_UpdateRound = 0;
  PropagationCursor
      m_PropagationCursor;      // Which changes of the list have been told.
  bool m_ListIsCurrent = false; // The control plane has told all, once.
  Time m_ServerUpdatesSentAt{0};
  bool m_ReadFailing = false; // The control plane does not answer this VM.
  std::set<std::string> m_EvacuatedDomains;
  std::uint64_t m_EvacuatedRevision = 0;
  std::unordered_map<RequestId, ExchangePtr> m_QueuedExchanges;
  std::unordered_multimap<ServerIndex, ExchangePtr> m_RunningAttempts;
  std::unordered_map<int, RetryBudget> m_RetryBudgets; // By pool.
  std::set<ServerIndex> m_RunningHealthChecks;
  struct LoggedServer {
    std::string m_Id;
    ExclusionReason m_Reason = ExclusionReason::None;
  };
  std::vector<LoggedServer> m_LoggedServers;      // By index in the fleet.
  std::map<std::string, MemberState> m_LoggedVms; // By IP number.
  RequestId m_NextRequest = 1;
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_Sequence = 0;
  Time m_StartedAt{0};
  Time m_LastTick{0};
  Time m_LeavingSince{0};
  bool m_VmsListed = false; // The control plane has named the other VMs.
  bool m_HandlingForwarded = false;
  bool m_Leaving = false;
  bool m_Stopped = false;
  bool m_FetchingConfig = false;
  bool m_FetchingList = false;
};

} // namespace rhubarb::node
