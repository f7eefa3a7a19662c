// The node: one process that proxies callers' requests and answers look-ups.
// It shares its backend servers with the nodes of other VMs. Configuration and
// server lists come from a control plane; the library makes all decisions.
#pragma once

#include "net/Datagrams.h"
#include "net/Http.h"
#include "net/LearnedState.h"
#include "net/Messages.h"
#include "net/Metrics.h"
#include "net/RpcServer.h"
#include "net/ServerListUpdate.h"
#include "net/ServerUpdates.h"

#include "rhubarb/Detours.h"
#include "rhubarb/Dispatch.h"
#include "rhubarb/Evacuations.h"
#include "rhubarb/Members.h"
#include "rhubarb/Organisations.h"
#include "rhubarb/Quota.h"
#include "rhubarb/Readers.h"
#include "rhubarb/Relays.h"
#include "rhubarb/RequestPolicy.h"
#include "rhubarb/Retry.h"
#include "rhubarb/Routes.h"
#include "rhubarb/Suspects.h"

#include <boost/asio/steady_timer.hpp>

#include <limits>
#include <set>
#include <unordered_map>

namespace rhubarb::node {

using namespace rhubarb::net;

// Listening addresses, limits and location of this process.
struct NodeSettings {
  std::string m_Name;
  std::string m_Ip;
  std::string m_Domain;
  std::string m_Region;
  // Region of each failure domain.
  std::map<std::string, std::string> m_RegionOf;
  std::uint16_t m_CallerPort = 0;
  std::uint16_t m_ReadyPort = 0;
  std::uint16_t m_LookupPort = 0;
  std::uint16_t m_MetricsPort = 0; // 0 disables the metrics listener.
  std::uint16_t m_PeerPort = 0;    // UDP and TCP port, the same on every VM.
  // TCP port for requests that other VMs pass on, the same on every VM; 0: this
  // VM neither takes nor passes on any.
  std::uint16_t m_DetourPort = 0;
  // IP addresses of other VMs, possibly stale.
  std::vector<std::string> m_Seeds;
  Duration m_LookupTtl = 2s; // How long callers cache a look-up response.
  // Time without heartbeats after which look-ups leave a VM out, in fleets that
  // relay heartbeats.
  Duration m_RelayedSilenceTimeout{6s};
  Duration m_GracePeriod = 6s; // Time from SIGTERM to SIGKILL.
  // Within this time every VM must apply a change of the server list.
  Duration m_ListPropagationBound = 2s;
  // Within this time every VM must apply an operator's change.
  Duration m_ConfigPropagationBound = 2s;
  // Retries allowed per request of a service, summed over all VMs.
  double m_RetryRatio = 0.2;
  // Retries allowed per window beyond that ratio, summed over all VMs.
  double m_RetrySlack = 0;
  // Requests of an organisation that may run beyond its quota in the shortest
  // window in which quotas hold, summed over all VMs.
  double m_QuotaSlack = 0;
  bool m_FirstStart = false; // The whole deployment starts for the first time.
  double m_CpuShare = 1;     // CPU limit of the process in cores.
  // Limit of the request rate at a cold server, as a multiple of the rate that
  // the server tolerates. It is read from the settings, but not used.
  double m_MaxColdRateFactor = 1;
  std::size_t m_MaxConnections = 3000;
  // Requests of one connection that are in progress at once.
  int m_MaxPipelinedRequests = 1;
  std::size_t m_MemoryBytes = 256U << 20U; // Memory limit of the process.
  DisabledMechanisms m_Disabled; // Used in experiments and emergencies.
};

// Names of the header fields shared with callers and backend servers.
struct HeaderNames {
  std::string m_RequestId;
  std::string m_Deadline; // Carries the remaining time in milliseconds.
  // Identifies the object that a request concerns.
  std::string m_AffinityCookie;
  std::string m_ServerStamp; // Proves that a backend server made the response.
  // Names the only backend server that may execute the request.
  std::string m_ExpectServer;
  std::string m_ServerId;
  // Lists running requests, waiting requests and slots.
  std::string m_ServerLoad;
  // Says that the server did not execute the request.
  std::string m_NotExecuted;
  std::string m_Leaving; // Is "1" if the backend server is about to stop.
  // Requests per second that the server takes from all VMs together.
  std::string m_ServerLimit;
  // Names the organisation whose key a request bears. Only nodes set it.
  std::string m_Organisation;
  // Number of seconds during which the server wants no requests from this VM.
  std::string m_RetryAfter;
  std::string m_ColdMillis; // Appears in health check responses.
  // Header names that begin so come from servers.
  std::vector<std::string> m_ServerPrefixes;
};

// A server may respond at the very end of its deadline.
inline constexpr Duration ResponseSlack = 40ms;

// A request in progress.
struct Exchange {
  DispatchRequest m_Dispatch;
  std::string m_TraceId;
  // Hash of what a request has in common with its repetitions: method, host,
  // target, credentials and body.
  std::uint64_t m_Fingerprint = 0;
  bool m_Idempotent = false;
  // By the configuration m_ConfigRevision.
  RequestPolicy m_Policy;
  // Regions that the VM which passed the request on allows; empty: all.
  std::vector<std::string> m_RegionLimit;
  // Name of the organisation whose key the request bears; empty: none.
  std::string m_Organisation;
  // The VM that passed the request on has checked its key.
  bool m_KeyChecked = false;
  // Another VM has passed the request on; it is not passed on again.
  bool m_Detoured = false;
  // Attempts that the VM which passed the request on has left.
  int m_AttemptLimit = std::numeric_limits<int>::max();
  int m_MaxAttempts = 1;
  Time m_CallerDeadline{0};
  Time m_ExecutionDeadline{0}; // A server may execute the request until then.
  HttpRequest m_Request;
  // Triggered when the caller closes its connection.
  std::shared_ptr<Cancellation> m_RequestCancellation;
  // Triggered when the caller closes its connection or the server is gone.
  std::shared_ptr<Cancellation> m_AttemptCancellation;
  DispatchDecision m_Decision;
  // It has a token of the organisation's quota, or needs none.
  bool m_QuotaAdmitted = false;
  // When the token of the organisation's quota expires; 0: none was needed.
  Time m_QuotaTokenExpiresAt{0};
  // Set while the request waits for a token; cancelling it wakes the request.
  std::unique_ptr<boost::asio::steady_timer> m_QuotaTimer;
  QuotaDecision m_QuotaDecision;
  Duration m_QuotaTime{0}; // Time that the request waited for a token.
  // Set while the request is queued; cancelling it wakes the request.
  std::unique_ptr<boost::asio::steady_timer> m_QueueTimer;
  Duration m_QueueTime{0}; // Total time in the queue, over all attempts.
  // Counts the attempts that may have reached a backend server.
  int m_DeliveredAttempts = 0;
  // Counts all attempts, including those that could not connect. Set to the
  // maximum once a streamed body was sent, as it cannot be sent again.
  int m_TotalAttempts = 0;
  bool m_MayHaveRun = false;
  bool m_Offered = false;
  std::string m_LastServer;
  std::string m_LastServerRegion;
  // Load stated in the last response.
  std::optional<ReportedLoad> m_ReportedLoad;
  // Configuration that has decided the request last; 0: none.
  std::uint64_t m_ConfigRevision = 0;
};
using ExchangePtr = std::shared_ptr<Exchange>;

// The route of a request and what follows from the configuration in force.
struct FoundPolicy {
  const Route *m_Route; // Valid until the next configuration is in force.
  RequestPolicy m_Policy;
};

// The outcome of an attempt and its consequences for the request.
struct AttemptResult {
  AttemptReport m_Report;
  // Nothing was sent, as a newer configuration decides the request otherwise.
  bool m_IsWithheld = false;
  std::optional<HttpResponse> m_Response; // Final response to the caller.
  // Response to the caller if the request is not retried.
  std::optional<HttpResponse> m_FallbackResponse;
  ErrorKind m_Error = ErrorKind::None;
  std::optional<RetryReason> m_RetryReason;
};

// A configuration as stored by the control plane. The node passes its text on
// to peers without parsing it.
struct ConfigDocument {
  std::uint64_t m_Revision = 0;
  std::string m_Text;
};

// The result of reading the server list.
enum class ListReadResult : std::uint8_t {
  Failed,     // The control plane did not answer.
  MayBeStale, // The list may be seconds old; VMs with newer data announce it.
  Current,    // The list contains all changes up to now.
};

// The VMs that get an update.
enum class UpdateScope : std::uint8_t { Region, AllVms };

// Formats a limit in requests per second for a log line.
std::string rateText(std::optional<double> PerSecond);

// Callbacks that the control plane integration provides.
struct ControlPlaneHooks {
  // Builds the response to a look-up from addresses, sorted best first.
  std::function<HttpResponse(const std::vector<std::string> &)>
      m_MakeLookupResponse;
  // Parses and applies a configuration fetched from a peer.
  std::function<void(const std::string &)> m_ApplyConfig;
  // Whether an answer of the control plane with operators' changes is arriving.
  std::function<bool()> m_ReceivesOperatorChanges;
};

// The state of the process. Runs on a single thread.
class Node {
public:
  Node(asio::io_context &Io, Metrics &Counters, NodeSettings Settings,
       HeaderNames Names);
  Result<int> start();
  // Shuts down gracefully: callers are moved to other VMs, and running requests
  // complete.
  asio::awaitable<void> stop();

  void setHooks(ControlPlaneHooks Hooks) { m_Hooks = std::move(Hooks); }
  // Applies changed settings. Returns the names of those that take effect only
  // after a restart.
  std::vector<std::string> applySettings(const NodeSettings &Next);
  // Applies a configuration unless the active one is at least as new.
  void applyConfig(RoutingConfig Next, ConfigDocument Document);
  // The list of backend servers. The control plane writes to it, then calls
  // listComplete() and listRead().
  ListingTable &serverList() { return m_List; }
  const Fleet &fleet() const { return m_Dispatcher.fleet(); }
  // Records that the list was complete up to a position of the control plane.
  void confirmListComplete(StorePosition Position, Time KnownAt);
  // Applies the list and announces it to the VMs of the region.
  void recordListRead(ListReadResult Read);
  // Records the position of the operators' last change, the control plane's
  // position up to which changes are known, and when they were read.
  void recordOperatorRead(bool Read, StorePosition LastChange,
                          StorePosition Complete, Time KnownAt);
  // Tells the region of a change that took effect without a new read.
  void announceOperatorChange(StorePosition Position);
  // Returns why this VM should read the list or the operators' changes itself:
  // it is the reader of its region, or the reader's updates are missing.
  ReadReason reasonToReadList() const;
  // Whether this VM is among those that announce what they read to the region.
  // A VM that is shutting down leaves this to the next one in rank.
  bool announcesToRegion() const {
    return !m_Leaving && ownReaderRank() < MaxReaders;
  }
  const StoreReadPolicy &listReadPolicy() const { return m_ListReadPolicy; }
  const StoreReadPolicy &operatorReadPolicy() const {
    return m_OperatorReadPolicy;
  }
  ReadReason reasonToReadOperator() const;
  // Logs and counts a change of the reason for a kind of read.
  void logReadReason(const char *What, ReadReason Reason,
                     ReadReason Before) const;
  void applyEvacuated(const std::set<std::string> &Domains,
                      StorePosition Position);
  const EvacuationsInForce &evacuated() const { return m_Evacuated; }
  // All operators' changes up to this position are known here.
  StorePosition operatorCompletePosition() const {
    return m_OperatorCompletePosition;
  }
  // Whether this VM saves the learned state of its region; the reader does.
  bool savesLearnedState() const;
  // Returns the learned state of the region as known to this process.
  LearnedState learnedState() const;
  // Restores the region's learned state from before this process started.
  // Affinity to servers that are not listed yet is restored once they are.
  void restoreLearnedState(LearnedState State);
  // Records that the control plane listed this VM before this process started.
  void recordReturned() { m_QuotaStart = QuotaStart::Returned; }
  // Adds VMs that the control plane lists.
  void addVms(const std::vector<MemberTable::ListedVm> &Listed);

  const RoutingConfig &config() const { return m_Routes.config(); }
  std::uint64_t revision() const { return m_Routes.config().m_Revision; }
  bool leaving() const { return m_Leaving; }

private:
  // --- Requests (NodeRequests.cpp)
  asio::awaitable<HttpResponse> serveRequest(HttpRequest Request);
  asio::awaitable<HttpResponse> serveExchange(ExchangePtr Work);
  asio::awaitable<HttpResponse> attemptUntilAnswered(ExchangePtr Work);

  // --- What the configuration says about a request (NodePolicy.cpp)
  // Errors: UnknownRoute, UnknownApiKey, NoConfiguration, NoServerLeft.
  Result<FoundPolicy> findPolicy(const Exchange &Work) const;
  // Whether the configuration in force decides as the one that has decided the
  // request last.
  bool followsConfig(Exchange &Work) const;
  // Whether the request may be sent to the server that was chosen for it.
  bool maySend(Exchange &Work) const;
  // Decides a request by the configuration in force. Returns why it is refused,
  // or None.
  ErrorKind applyPolicy(Exchange &Work);
  // Whether a request may be sent to a server once more.
  static bool mayRepeat(const Exchange &Work);
  // Sets what the dispatcher decides by. The pool of a request that is decided
  // again stays if its route still uses it.
  void setDispatch(Exchange &Work, const Route &Matched);
  // Decides waiting requests again. Queued ones keep their place; those that
  // are refused now, or belong to another organisation, are woken.
  void recheckWaiting();

  // --- Organisations and API keys (NodeOrganisations.cpp)
  // Finds the organisation of a request; null: it has none and needs none.
  // Errors: UnknownApiKey, NoConfiguration.
  Result<const Organisation *> findOrganisation(const Exchange &Work,
                                                const Route &Matched) const;
  // Replaces the credentials of a request with the name of its organisation.
  void setOrganisation(const Exchange &Work,
                       std::vector<HeaderField> &Fields) const;
  asio::awaitable<void> dispatch(ExchangePtr Work);
  Duration retryAfterUntilReady();
  asio::awaitable<AttemptResult> runAttempt(ExchangePtr Work);
  // Cancels the attempts at a server that is gone: idempotent requests are
  // retried on another server, the others are answered with an error.
  void cancelAttemptsAt(ServerIndex Index, bool IdempotentOnly);
  // Keeps a request from servers at which other suspects run, so that a crash
  // tells which of them caused it.
  void excludeServersOfSuspects(Exchange &Work) const;
  // Ends a request with the result of its last attempt.
  HttpResponse endWithLast(const Exchange &Work, AttemptResult &Last);
  // Gives back the server that a request was assigned but not sent to.
  void releaseServer(const Exchange &Work);
  // Returns the refusal of a request that may crash servers, if it must not be
  // sent now.
  std::optional<HttpResponse> refuseSuspect(Exchange &Work, bool Assigned);
  // Ends an attempt for the suspicion of requests. If its connection was cut,
  // finds out whether the server has crashed.
  void recordRunEnd(const Exchange &Work, const AttemptReport &Report,
                    bool ConnectionCut, Time SentAt);
  asio::awaitable<void> investigateCut(ServerIndex Index);
  void recordServerHints(const BackendInfo &Server,
                         const AttemptReport &Report) const;
  void classifyResult(Exchange &Work, HttpResult &Got, AttemptResult &Attempt);
  void classifyResponse(Exchange &Work, HttpResponse &Response,
                        AttemptResult &Attempt);
  std::string_view reasonNotToRetry(Exchange &Work,
                                    const AttemptResult &Attempt);
  void logAttempt(const Exchange &Work, const AttemptResult &Attempt,
                  std::string_view Stop) const;
  HttpRequest makeServerRequest(const Exchange &Work) const;
  HttpResponse makeRefusal(const Exchange &Work, ErrorKind Kind,
                           Duration RetryAfter) const;
  // Reads the request rate that a response names.
  RateLimitHint readRateLimit(const HttpResponse &Response,
                              double &PerSecond) const;
  // Counts and logs headers of servers that the node does not know.
  void recordUnknownHeaders(const HttpResponse &Response);
  void processQueue();
  void logRateLimitedPlacement(const Exchange &Work) const;
  void logRequest(const Exchange &Work, int Status,
                  std::string_view Reason) const;

  // --- Quotas of organisations (NodeQuota.cpp)
  // Gets a token for a request; waits for it if necessary. Returns the refusal
  // of a request beyond its organisation's quota.
  asio::awaitable<std::optional<HttpResponse>> admitByQuota(ExchangePtr Work);
  // Takes a token for sending a request once more that may have run. Returns
  // whether there is one; a repeat does not wait.
  bool takeQuotaTokenForRepeat(const Exchange &Work);
  // Gives back the token of a request that no server has seen.
  void giveBackQuotaToken(Exchange &Work);
  void configureQuotas();
  // Decides which VM holds the quotas of each region.
  void updateQuotaHolders();
  std::vector<QuotaVm> quotaVms(const std::string &Region) const;
  void sendQuotaAsks();
  // Asks the other regions' holders for tokens that this VM's buckets lack.
  void sendQuotaTransferAsks();
  // Wakes requests whose wait for a token has ended.
  void processQuotaWaits();
  void handleQuotaAsk(const Json::Value &Params, const std::string &PeerIp);
  void handleQuotaGrant(const Json::Value &Params, const std::string &PeerIp);
  void countQuotas();

  // --- Requests through other VMs (NodeDetours.cpp)
  // Serves a request that another VM could not bring to a server.
  asio::awaitable<HttpResponse> serveDetour(HttpRequest Request);
  // Returns the regions that a request may run in by this VM's configuration.
  std::vector<std::string> regionsHere(const Exchange &Work) const;
  // Whether the request may be passed to another VM.
  bool mayDetour(const Exchange &Work) const;
  // Passes the request to other VMs until one has taken it. Returns its
  // response, or none if the request has reached no server and may be tried
  // here.
  asio::awaitable<std::optional<HttpResponse>> detour(ExchangePtr Work);
  asio::awaitable<HttpResult> sendDetour(ExchangePtr Work, std::string Vm);
  // Classifies what another VM returned. Sets Response if it is final.
  DetourOutcome classifyDetour(Exchange &Work, HttpResult &Got,
                               std::optional<HttpResponse> &Response);
  std::vector<DetourVm> detourCandidates(const Exchange &Work) const;

  // --- Learned state of the region (NodeMemory.cpp)
  // Applies the pending restored state of known pools and servers.
  void applyPendingRestore();

  // --- Periodic work and health (Node.cpp)
  // Returns when a process that is shutting down ends.
  Time stopTime() const;
  // Logs how far the requests on the ports for callers and detours have come.
  void logOpenRequests(std::string_view Event) const;
  // Logs each request on any port that the end of the process cuts.
  void logCutRequests() const;
  asio::awaitable<void> tickLoop();
  asio::awaitable<void> healthCheckLoop();
  // Keeps connections open to the servers of other regions that the region's
  // objects are warm on.
  asio::awaitable<void> preconnectLoop();
  bool preconnects(int Pool) const;
  // Returns whether the server refused the connection: no process listens.
  asio::awaitable<bool> checkHealth(ServerIndex Index);
  HealthCheckResult classifyHealthResponse(const HttpResult &Got,
                                           const BackendInfo &Server) const;
  double coldRateFor(const BackendInfo &Server) const;
  // Returns this VM's rank among those that check a server without requests.
  std::size_t rateRankFor(const BackendInfo &Server) const;
  // Returns the share of the known VMs that this VM hears.
  double heardShare() const;
  void logRateLimitChanges();
  RetryBudget &retryBudget(int Pool);
  // Logs changes in the state of servers and VMs.
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
  // Whether to fetch a configuration from a peer that has a newer one: the
  // control plane seems not to answer.
  bool needsConfigOfPeer() const;
  asio::awaitable<void> fetchConfig(std::string Ip);
  asio::awaitable<void> fetchList(std::string Ip);
  bool listsStayDifferent(const ServerListUpdate &Update);
  void handleListUpdate(const Json::Value &Params, const std::string &PeerIp);
  void applyListUpdate(const ServerListUpdate &Update);
  void updateOperatorCompletePosition();
  ServerListUpdate makeListUpdate(std::vector<ListingRow> Rows) const;
  void sendListUpdate();
  std::vector<RelayGroup> updateRelayGroups(RelayShape Shape,
                                            UpdateScope Scope);
  void sendPeriodicListUpdate();
  void sendServerUpdates();
  // Tells all VMs the limits of servers and what was sent under them, at once
  // or, if that was done just before, with the next tick.
  void sendRateLimitUpdates(bool Repeat);
  // Returns the time until updates about limits may be sent again.
  Duration timeToRateLimitUpdates();
  void handleRateLimitUpdates(const Json::Value &Params);
  // Tells all VMs which requests have crashed servers.
  void sendSuspectUpdates(bool Repeat);
  void handleSuspectUpdates(const Json::Value &Params);
  // Sends messages to the relays of groups of VMs.
  void sendToGroups(const std::vector<std::string> &Texts,
                    const std::vector<RelayGroup> &Groups);
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
  // Returns for how long a peer has announced a newer configuration than the
  // one in force; 0: none is announced.
  Duration configBehind() const;
  bool fetchesConfigFromPeer(std::uint64_t ConfigBytes) const;
  // Returns the region of a VM, or an empty string if it is unknown.
  std::string_view regionOf(const MemberRow &Row) const;
  MemberReport ownReport();
  // Returns the share of a pool's objects that run in a remote region.
  int spillPermille(int Pool) const;
  void addKnownVm(const std::string &Ip, const std::string &Domain);

  asio::io_context &m_Io;
  Metrics &m_Metrics;
  NodeSettings m_Settings;
  HeaderNames m_HeaderNames;
  ControlPlaneHooks m_Hooks;
  Reachability m_Reachability;
  BufferBudgetPtr m_BufferBudget; // For all bodies of requests and responses.
  HttpClient m_BackendClient;
  HttpClient m_PeerClient;
  HttpClient m_DetourClient;
  HttpServer m_CallerServer;
  HttpServer m_DetourServer;
  HttpServer m_ReadyServer;
  HttpServer m_LookupServer;
  HttpServer m_PeerServer;
  HttpServer m_MetricsServer;
  RpcServer m_Rpc;
  DatagramSocket m_Datagrams;
  Random m_Random; // Source of the jitter of Retry-After.
  asio::steady_timer m_TickTimer;

  RouteTable m_Routes;
  OrganisationTable m_Organisations;
  QuotaHolder m_QuotaHolder;
  QuotaClient m_QuotaClient;
  QuotaStart m_QuotaStart;
  // Names of the organisations with a quota, and their labels in metrics.
  std::map<OrganisationHash, std::string> m_QuotaLabels;
  std::vector<std::string> m_QuotaRegions; // The own region first.
  std::uint64_t m_QuotaTransferSequence = 0;
  // Candidates for holders by region, as in m_QuotaRegions, and the holders
  // that follow from them.
  std::vector<std::vector<std::string>> m_QuotaCandidates;
  std::map<OrganisationHash, std::vector<std::string>> m_QuotaHolders;
  QuotaActing m_QuotaActing;
  // When this VM last heard less than half of its region.
  Time m_QuotaIsolatedAt{-24h};
  std::unordered_map<RequestId, ExchangePtr> m_QuotaWaiting;
  WeightedSplitter m_Splitter;
  ConfigDocument m_ConfigDocument;
  Dispatcher m_Dispatcher;
  MemberTable m_Members;
  DetourTable m_Detours;
  // Maps the IP address of each known VM to its failure domain.
  std::map<std::string, std::string> m_KnownVms;
  ListingTable m_List;
  LearnedState m_PendingRestore; // Restored state that is not applied yet.
  // Change count of the server list that was applied last.
  std::uint64_t m_AppliedListChanges = 0;
  StorePosition m_OperatorPosition; // Position of the operators' last change.
  // All operators' changes up to this position are known here.
  StorePosition m_OperatorCompletePosition;
  // Time up to which the operators' changes are known.
  Time m_OperatorKnownAt{0};
  // The latest update from a peer, without its server rows.
  ServerListUpdate m_AnnouncedOperatorUpdate;
  // Newest configuration that a peer has announced, and since when.
  std::uint64_t m_AnnouncedConfigRevision = 0;
  Time m_ConfigAnnouncedAt{0};
  // When a peer first announced the operators' last change to this VM.
  Time m_OperatorAnnouncedAt{0};
  StoreReadPolicy m_ListReadPolicy;
  StoreReadPolicy m_OperatorReadPolicy;
  Time m_ListUpdateSentAt{0};
  // Times up to which the state in the last sent list update was known. The
  // store answers for the list and for operators' changes at the same rate, and
  // each response must be announced.
  Time m_SentListKnownAt{0};
  Time m_SentOperatorKnownAt{0};
  std::uint64_t m_UpdateRound = 0;
  // Tracks which changes of the server list have been announced.
  PropagationCursor m_PropagationCursor;
  // Digests of the own list and a peer's when they were last seen to change or
  // to be equal, and when that was.
  std::pair<std::uint64_t, std::uint64_t> m_DifferentDigests{0, 0};
  Time m_ListsDifferSince{0};
  bool m_ListIsCurrent = false; // A current full list has been read once.
  Time m_ServerUpdatesSentAt{0};
  Time m_RateLimitUpdatesSentAt{0};
  std::set<std::string> m_UnknownHeaders; // Header names that were logged.
  bool m_ReadFailing = false; // The last read of the control plane failed.
  EvacuationsInForce m_Evacuated;
  std::unordered_map<RequestId, ExchangePtr> m_QueuedExchanges;
  std::unordered_multimap<ServerIndex, ExchangePtr> m_RunningAttempts;
  std::unordered_map<int, RetryBudget> m_RetryBudgets; // Keyed by pool.
  std::set<ServerIndex> m_RunningHealthChecks;
  std::set<std::string> m_OpeningConnections; // Addresses.
  CrashSuspects m_Suspects;
  // Attempts with a cut connection, by server; whether the server has crashed
  // is being found out.
  struct CutConnections {
    std::uint64_t m_Incarnation = 0;
    Time m_FirstCutAt{0};
    std::vector<CutAttempt> m_Attempts;
  };
  std::map<ServerIndex, CutConnections> m_CutConnections;
  Time m_ConvictedRepeatedAt{0};
  struct LoggedServer {
    std::string m_Id;
    ExclusionReason m_Reason = ExclusionReason::None;
  };
  // Indexed like the servers of the fleet.
  std::vector<LoggedServer> m_LoggedServers;
  std::map<std::string, MemberState> m_LoggedVms; // Keyed by IP address.
  RequestId m_NextRequest = 1;
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_Sequence = 0;
  Time m_StartedAt{0};
  Time m_LastTick{0};
  Time m_LeavingSince{0};
  bool m_VmsListed = false; // The control plane has listed the other VMs.
  bool m_HandlingForwarded = false;
  bool m_Leaving = false;
  bool m_Stopped = false;
  bool m_FetchingConfig = false;
  bool m_FetchingList = false;
};

} // namespace rhubarb::node
