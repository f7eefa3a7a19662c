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
  Duration m_Grace = 6s;            // From SIGTERM to SIGKILL.
  Duration m_ListBound = 2s;        // For changes of the servers' list.
  Duration m_ConfigBound = 2s;      // For changes by the operators.
  double m_RetryShare = 0.2;        // Of a service's requests, all VMs.
  double m_RetrySlack = 0;          // Further retries in a window, all VMs.
  double m_CpuShare = 1;            // Of a core.
  double m_ColdOver = 1;            // Times what a cold server tolerates.
  std::size_t m_MaxConnections = 3000;
  DisabledMechanisms m_Without; // For experiments and emergencies.
};

// Header fields that callers and backend servers use.
struct HeaderNames {
  std::string m_RequestId;
  std::string m_Deadline;     // Milliseconds that are left.
  std::string m_ObjectCookie; // Names the object that a request concerns.
  std::string m_Stamp;        // Proof that a backend server made the answer.
  std::string m_ExpectServer; // Any other backend server must refuse.
  std::string m_ServerId;
  std::string m_Load;       // Running, waiting, slots.
  std::string m_NotRun;     // The backend server did not run the request.
  std::string m_Leaving;    // "1": the backend server is about to stop.
  std::string m_RetryAfter; // Seconds for which it wants no request from here.
  std::string m_ColdMillis; // In health answers.
};

// A request under way.
struct Exchange {
  DispatchRequest m_Dispatch;
  std::string m_TraceId;
  bool m_Idempotent = false;
  int m_MaxAttempts = 1;
  Time m_CallerDeadline{0};
  Time m_RunUntil{0}; // A server may work on it until then.
  HttpRequest m_Request;
  std::shared_ptr<Cancellation> m_Cancel;        // By the caller's close.
  std::shared_ptr<Cancellation> m_CancelAttempt; // Also by the server's end.
  DispatchDecision m_Placed;
  std::unique_ptr<boost::asio::steady_timer> m_Turn; // While it waits.
  Duration m_Waited{0};                              // For its turn, in all.
  int m_Sent = 0;  // Backend servers that may have got it.
  int m_Tries = 0; // With those that could not be reached.
  bool m_MayHaveRun = false;
  bool m_Offered = false;
  std::string m_LastServer;
  std::optional<ReportedLoad> m_ToldLoad; // With the last answer.
  std::uint64_t m_ConfigRevision = 0;
};
using ExchangePtr = std::shared_ptr<Exchange>;

// What an attempt means for the request.
struct AttemptVerdict {
  AttemptReport m_Report;
  std::optional<HttpResponse> m_Final;    // Goes to the caller.
  std::optional<HttpResponse> m_Fallback; // Goes there if no retry follows.
  ErrorKind m_Error = ErrorKind::None;
  std::optional<RetryReason> m_Retry;
};

// A configuration as the control plane has it; its text means nothing here.
struct ConfigDocument {
  std::uint64_t m_Revision = 0;
  std::string m_Text;
};

// What a read of the list has given.
enum class ListRead : std::uint8_t {
  Failed,  // The control plane gave no answer.
  Lagging, // A list that may be seconds old; VMs that know better say so.
  Current, // All changes up to now.
};

// What the control plane offers to the node.
struct ControlHooks {
  // Makes the answer to a look-up from addresses, the best first.
  std::function<HttpResponse(const std::vector<std::string> &)> m_LookupAnswer;
  // Takes a configuration that a peer has sent.
  std::function<void(const std::string &)> m_TakeConfig;
};

// The process's state. One thread.
class Node {
public:
  Node(asio::io_context &Io, Metrics &Counters, NodeSettings Settings,
       HeaderNames Names);
  Result<int> start();
  // Leaves gracefully: callers are sent elsewhere, requests run to their end.
  asio::awaitable<void> stop();

  void setHooks(ControlHooks Hooks) { m_Hooks = std::move(Hooks); }
  // Takes changed settings. Returns the names of those that hold only from the
  // next start on.
  std::vector<std::string> applySettings(const NodeSettings &Next);
  // Puts a configuration in force, unless one as new is in force already.
  void applyConfig(RoutingConfig Next, ConfigDocument Source);
  // The list of backend servers. The control plane writes to it, then calls
  // listComplete() and listRead().
  ListingTable &list() { return m_List; }
  // Records that the list was complete up to a revision of the control plane.
  void listComplete(std::uint64_t Revision, Time KnownAt);
  // Puts the list in force, and tells the VMs of the region.
  void listRead(ListRead How);
  // Tells the revision of the operators' last change, up to which revision of
  // the control plane that is known, and when.
  void operatorRead(bool Read, std::uint64_t LastChange, std::uint64_t Complete,
                    Time KnownAt);
  // Whether this VM should read the list, or operators' changes, itself: it is
  // the reader of its region, or the reader's news fails to come.
  ReadReason reasonToReadList() const;
  // Whether this VM is among those that tell its region what they read. One
  // that leaves hands over to the next, who counts from then on.
  bool tellsRegion() const {
    return !m_Leaving && ownReaderRank() < MaxReaders;
  }
  const StoreReadPolicy &listDuty() const { return m_ListDuty; }
  const StoreReadPolicy &operatorDuty() const { return m_OperatorDuty; }
  ReadReason reasonToReadOperator() const;
  // Logs and counts that a kind of read begins for another reason than before.
  void logRead(const char *What, ReadReason Reason, ReadReason Before) const;
  void applyEvacuated(const std::set<std::string> &Domains,
                      std::uint64_t Revision);
  // Whether this VM keeps what its region has learnt: its reader does.
  bool keepsMemory() const;
  // Returns what the region has learnt, as far as this process knows.
  LearnedState ownMemory() const;
  // Takes what the region knew before this process. Places at servers that are
  // not listed yet are taken when they are.
  void recall(LearnedState Memory);
  // Adds VMs that the control plane lists.
  void addVms(const std::vector<MemberTable::ListedVm> &Listed);

  const RoutingConfig &config() const { return m_Routes.config(); }
  std::uint64_t revision() const { return m_Routes.config().m_Revision; }
  bool leaving() const { return m_Leaving; }

private:
  // --- Requests (NodeRequests.cpp)
  asio::awaitable<HttpResponse> serve(HttpRequest Request);
  asio::awaitable<HttpResponse> run(ExchangePtr Work);
  asio::awaitable<void> place(ExchangePtr Work);
  Duration untilReady();
  asio::awaitable<AttemptVerdict> attempt(ExchangePtr Work);
  // Ends the attempts at a server that has gone: idempotent requests go
  // elsewhere, the others are answered.
  void endAttemptsAt(ServerIndex Index, bool IdempotentOnly);
  void countWishes(const BackendInfo &Server,
                   const AttemptReport &Report) const;
  void judge(Exchange &Work, HttpResult &Got, AttemptVerdict &Verdict) const;
  void judgeAnswer(Exchange &Work, HttpResponse &Response,
                   AttemptVerdict &Verdict) const;
  std::string_view reasonToStop(Exchange &Work, const AttemptVerdict &Verdict);
  void logAttempt(const Exchange &Work, const AttemptVerdict &Verdict,
                  std::string_view Stop) const;
  HttpRequest forServer(const Exchange &Work) const;
  HttpResponse refusal(const Exchange &Work, ErrorKind Kind,
                       Duration RetryAfter) const;
  void pump();
  void logRequest(const Exchange &Work, int Status,
                  std::string_view Reason) const;

  // --- What the region has learnt (NodeMemory.cpp)
  // Takes what of the recalled memory concerns known pools and servers.
  void applyRecalled();

  // --- Periodic work and health (Node.cpp)
  asio::awaitable<void> tickLoop();
  asio::awaitable<void> probeLoop();
  asio::awaitable<void> probe(ServerIndex Index);
  HealthCheckResult healthAnswer(const HttpResult &Got,
                                 const BackendInfo &Server) const;
  double coldPace(const BackendInfo &Server) const;
  RetryBudget &budget(int Pool);
  // Logs what is believed of servers and VMs where it has changed.
  void logBeliefs();

  // --- Look-ups (NodeLookup.cpp)
  asio::awaitable<HttpResponse> serveReady(HttpRequest Request);
  asio::awaitable<HttpResponse> serveLookup(HttpRequest Request);
  asio::awaitable<HttpResponse> serveMetrics(HttpRequest Request);
  void updateGauges();
  std::vector<std::string> entriesFor(const std::string &Region,
                                      const std::string &Domain) const;
  bool isReady() const;

  // --- Peers (NodePeers.cpp)
  asio::awaitable<void> heartbeatLoop();
  void sendHeartbeats();
  void takeHeartbeat(const Json::Value &Params, const std::string &PeerIp);
  asio::awaitable<HttpResponse> servePeer(HttpRequest Request);
  asio::awaitable<void> fetchConfig(std::string Ip);
  asio::awaitable<void> fetchList(std::string Ip);
  void takeListNews(const Json::Value &Params, const std::string &PeerIp);
  void applyListNews(const ServerListUpdate &News);
  void compareOperatorNews();
  ServerListUpdate ownNews(std::vector<ListingRow> Rows) const;
  void sendNews();
  std::vector<RelayGroup> newsGroups(RelayShape Shape);
  void tellRegion();
  void tellServers();
  std::vector<std::string> placesAndLoads();
  void sendToAll(const std::vector<std::string> &Vms, const std::string &Text);
  void takeServers(const Json::Value &Params);
  void takePassedOn(const Json::Value &Params, const std::string &PeerIp);
  void takePlaces(const Json::Value &Params);
  void takeLoads(const Json::Value &Params);
  void applyList();
  std::size_t regionSize() const;
  std::size_t ownReaderRank() const;
  bool comesFromPeer(std::uint64_t ConfigBytes) const;
  // Returns the region of a VM; empty when it is not known.
  std::string_view regionOf(const MemberRow &Row) const;
  MemberReport ownReport();
  // Returns the share of a pool's objects that run away from home.
  int awayPermille(int Pool) const;
  void learnVm(const std::string &Ip, const std::string &Domain);

  asio::io_context &m_Io;
  Metrics &m_Metrics;
  NodeSettings m_Settings;
  HeaderNames m_Names;
  ControlHooks m_Hooks;
  Reachability m_Reach;
  HttpClient m_Backends;
  HttpClient m_PeerClient;
  HttpServer m_Callers;
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
  ConfigDocument m_Document;
  Dispatcher m_Dispatcher;
  MemberTable m_Members;
  std::map<std::string, std::string> m_KnownVms; // IP number to domain.
  ListingTable m_List;
  LearnedState m_Recalled;         // Not yet taken.
  std::uint64_t m_ListApplied = 0; // Changes of the list that are in force.
  std::uint64_t m_OperatorRevision = 0; // Of the last change.
  std::uint64_t m_OperatorComplete = 0; // Up to here no change is missing.
  Time m_OperatorKnownAt{0};
  ServerListUpdate m_OperatorTold; // Latest that a peer has told, without rows.
  Time m_OperatorToldAt{0};        // When its last change was new here.
  StoreReadPolicy m_ListDuty;
  StoreReadPolicy m_OperatorDuty;
  Time m_NewsSentAt{0};
  // Up to when what the last news told was known: the store answers for list
  // and operators' changes at the same pace, and each answer is to be told.
  Time m_ListKnownTold{0};
  Time m_OperatorKnownTold{0};
  std::uint64_t m_NewsRound = 0;
  PropagationCursor m_Telling;  // Which changes of the list have been told.
  bool m_ListIsCurrent = false; // The control plane has told all, once.
  Time m_ServersToldAt{0};
  bool m_ReadFailing = false; // The control plane does not answer this VM.
  std::set<std::string> m_Evacuated;
  std::uint64_t m_EvacuatedRevision = 0;
  std::unordered_map<RequestId, ExchangePtr> m_WaitingWork;
  std::unordered_multimap<ServerIndex, ExchangePtr> m_Attempts;
  std::unordered_map<int, RetryBudget> m_Budgets; // By pool.
  std::set<ServerIndex> m_Probing;
  struct LoggedServer {
    std::string m_Id;
    ExclusionReason m_Why = ExclusionReason::None;
  };
  std::vector<LoggedServer> m_LoggedServers;      // By index in the fleet.
  std::map<std::string, MemberState> m_LoggedVms; // By IP number.
  RequestId m_NextRequest = 1;
  std::uint64_t m_Boot = 0;
  std::uint64_t m_Sequence = 0;
  Time m_StartedAt{0};
  Time m_LastTick{0};
  Time m_LeavingSince{0};
  bool m_VmsListed = false; // The control plane has named the other VMs.
  bool m_TakingPassedOn = false;
  bool m_Leaving = false;
  bool m_Stopped = false;
  bool m_FetchingConfig = false;
  bool m_FetchingList = false;
};

} // namespace rhubarb::node
