// Peers: heartbeats and updates between nodes, and what they fetch from each
// other while the control plane does not answer.
#include "Node.h"

#include "net/Clock.h"
#include "net/Daemon.h"
#include "net/Log.h"

#include <cmath>

namespace rhubarb::node {
namespace {

constexpr Duration HeartbeatInterval = 500ms;
// Fleets whose heartbeats are relayed send them at this interval.
constexpr Duration RelayedHeartbeatInterval = 1s;
constexpr Duration FetchTimeout = 1s;
constexpr std::size_t MaxResentRows = 8; // These rows fit one datagram.
// A configuration up to this size is fetched from a peer, which saves a store
// call.
constexpr std::size_t MaxPeerConfigBytes = 24U << 10U;
// Number of VMs whose compact heartbeats are relayed with each heartbeat, in as
// many datagrams as they need. With these, each VM of a fleet of 300 hears of
// nearly every other within the silence timeout (unit.members).
constexpr std::size_t RelayedHeartbeats = 200;
// Full reports are relayed in what the compact heartbeats leave of a datagram.
constexpr std::size_t CompactHeartbeatTextBytes = 11;
constexpr std::size_t OwnReportBytes = 250;
constexpr std::size_t RelayedReportBytes = 180;
constexpr Duration PeerConfigWait = 500ms;
// With more peers, heartbeats are sent to some VMs, which relay them.
constexpr std::size_t MaxDirectPeers = 16;
// The interval of affinity and load updates grows with the size of the region,
// so that the amount that each VM receives does not.
constexpr std::size_t VmsPerUpdateInterval = 40;
constexpr Duration ServerUpdatesInterval = 200ms;
// Changes are resent for this long, to make up for lost datagrams.
constexpr Duration ResendWindow = 2s;
// List updates are sent at least this often, and after a store response.
constexpr Duration ListUpdateInterval = 400ms;
constexpr Duration ListUpdateMinInterval = 100ms;
// While changes are pending, list updates are sent at this interval.
constexpr Duration PendingListUpdateInterval = 200ms;
// Requests that crash servers are told again for VMs that have started.
constexpr Duration ConvictedRepeatInterval = 1s;
constexpr std::size_t MaxConvictedRepeated = 30; // Two datagrams.
// VMs whose lists differ for longer exchange them: what one of them knows from
// before a restore of the store, the store does not tell the other.
constexpr Duration ListsDifferTime = 1500ms;

} // namespace

void Node::addKnownVm(const std::string &Ip, const std::string &Domain) {
  if (Ip == m_Settings.m_Ip)
    return;
  auto [KnownVm, Added] = m_KnownVms.try_emplace(Ip, Domain);
  if (!Added && (Domain.empty() || KnownVm->second == Domain))
    return;
  if (!Domain.empty())
    KnownVm->second = Domain;
  std::vector<MemberTable::ListedVm> Rows;
  for (const auto &[Vm, Name] : m_KnownVms)
    Rows.push_back({Vm, Name, false});
  m_Members.setListedVms(Rows, now());
}

int Node::spillPermille(int Pool) const {
  return static_cast<int>(std::lround(m_Dispatcher.spill().share(Pool) * 1000));
}

MemberReport Node::ownReport() {
  MemberReport Report;
  Report.m_Vm = m_Settings.m_Ip;
  Report.m_Domain = m_Settings.m_Domain;
  Report.m_StartTime = m_Incarnation;
  Report.m_Sequence = ++m_Sequence;
  Report.m_EntryIncarnation = isReady() ? m_Incarnation : 0;
  Report.m_Leaving = m_Leaving;
  Report.m_Revision = revision();
  Report.m_DirectoryIndex = m_List.position().m_Revision;
  const auto &Pools = m_Routes.config().m_Pools;
  for (std::size_t I = 0; I < Pools.size(); ++I) {
    PoolSummary Row;
    Row.m_Pool = Pools[I].m_Name;
    Row.m_SpillPermille = spillPermille(static_cast<int>(I));
    Report.m_Pools.push_back(std::move(Row));
  }
  return Report;
}

asio::awaitable<void> Node::heartbeatLoop() {
  while (!m_Stopped) {
    sendHeartbeats();
    m_Members.tick(now());
    co_await sleepFor(m_KnownVms.size() <= MaxDirectPeers
                          ? HeartbeatInterval
                          : RelayedHeartbeatInterval);
  }
}

void Node::sendHeartbeats() {
  MemberReport Own = ownReport();
  m_Members.setOwnReport(Own, now());
  m_Members.setAllDirect(m_KnownVms.size() <= MaxDirectPeers);
  Heartbeat Message;
  Message.m_Reports.push_back({Own, Duration{0}});
  if (m_KnownVms.size() <= MaxDirectPeers) {
    std::string Text = encodeHeartbeat(Message);
    for (const auto &[Vm, Domain] : m_KnownVms)
      m_Datagrams.send(Vm, m_Settings.m_PeerPort, Text);
    return;
  }
  std::size_t Heartbeats = std::min(m_KnownVms.size(), RelayedHeartbeats);
  std::size_t Taken =
      OwnReportBytes +
      CompactHeartbeatTextBytes * std::min(Heartbeats, MaxCompactHeartbeats);
  std::size_t Free = MaxDatagramBytes - std::min(MaxDatagramBytes, Taken);
  m_Members.setRelayCounts(
      static_cast<int>(std::max<std::size_t>(1, Free / RelayedReportBytes)),
      static_cast<int>(Heartbeats));
  for (const std::string &Vm : m_Members.heartbeatTargets(m_Sequence)) {
    Message.m_Reports.resize(1);
    for (RelayedReport &Row : m_Members.reportsToRelay(Vm, now()))
      Message.m_Reports.push_back(std::move(Row));
    for (const std::string &Text :
         encodeHeartbeats(Message, m_Members.heartbeatsToRelay(Vm, now())))
      m_Datagrams.send(Vm, m_Settings.m_PeerPort, Text);
  }
}

void Node::handleHeartbeat(const Json::Value &Params,
                           const std::string &PeerIp) {
  Heartbeat Message = readHeartbeat(Params);
  for (const CompactHeartbeat &Compact : Message.m_CompactHeartbeats)
    m_Members.observe(Compact, now());
  for (const RelayedReport &Row : Message.m_Reports) {
    const MemberReport &Report = Row.m_Report;
    if (Report.m_Vm == m_Settings.m_Ip)
      continue;
    addKnownVm(Report.m_Vm, Report.m_Domain);
    if (!m_Members.observe(Report, Row.m_Age, now()))
      continue;
    if (Report.m_Revision > revision() && Report.m_Vm == PeerIp &&
        needsConfigOfPeer())
      spawn(m_Io, fetchConfig(PeerIp));
    // A VM that starts during an outage of the control plane fetches the list
    // from the first peer that has one.
    if (m_List.knownAt().count() == 0 && Report.m_Vm == PeerIp &&
        Report.m_DirectoryIndex > 0 && !m_FetchingList)
      spawn(m_Io, fetchList(PeerIp));
    const MemberRow *Member = m_Members.find(Report.m_Vm);
    if (Member == nullptr || regionOf(*Member) != m_Settings.m_Region)
      continue;
    for (const PoolSummary &Pool : Report.m_Pools) {
      int Index = m_Routes.config().findPool(Pool.m_Pool);
      if (Index >= 0 && Pool.m_SpillPermille >= 0)
        m_Dispatcher.spill().blendNeighbour(Index,
                                            Pool.m_SpillPermille / 1000.0);
    }
  }
  m_Members.tick(now());
}

asio::awaitable<HttpResponse> Node::servePeer(HttpRequest Request) {
  HttpResponse Response;
  if (Request.path() == "/v1/config" && m_ConfigDocument.m_Revision > 0) {
    Response.m_Headers.push_back(
        {"Rhubarb-Revision", std::to_string(m_ConfigDocument.m_Revision)});
    Response.m_Body = m_ConfigDocument.m_Text;
  } else if (Request.path() == "/v1/list") {
    Response.m_Body = compactJson(toJson(makeListUpdate(m_List.rows()), now()));
  }
  if (Response.m_Body.empty())
    Response = jsonResponse(404, "{\"error\":\"not_found\"}\n");
  co_return Response;
}

// A long document takes more than PeerConfigWait on a narrow link. A second
// copy of it would halve the rate of the first.
bool Node::needsConfigOfPeer() const {
  return !m_FetchingConfig && now() - m_OperatorKnownAt > PeerConfigWait &&
         !(m_Hooks.m_ReceivesOperatorChanges &&
           m_Hooks.m_ReceivesOperatorChanges());
}

asio::awaitable<void> Node::fetchConfig(std::string Ip) {
  m_FetchingConfig = true;
  HttpRequest Request;
  Request.m_Target = "/v1/config";
  HttpResult Got = co_await m_PeerClient.send(
      Ip + ":" + std::to_string(m_Settings.m_PeerPort), Request,
      now() + FetchTimeout, longResponseOptions());
  m_FetchingConfig = false;
  if (Got.m_Failure != HttpFailure::None || Got.m_Response.m_Status != 200) {
    logEvent(Severity::Warning, "config_fetch_failed",
             {{"from", Ip},
              {"failure", std::string(httpFailureName(Got.m_Failure))},
              {"status", std::to_string(Got.m_Response.m_Status)}});
    co_return;
  }
  if (m_Hooks.m_ApplyConfig)
    m_Hooks.m_ApplyConfig(Got.m_Response.m_Body);
  updateOperatorCompletePosition();
}

std::string_view Node::regionOf(const MemberRow &Row) const {
  auto Region = m_Settings.m_RegionOf.find(Row.m_Report.m_Domain);
  if (Region == m_Settings.m_RegionOf.end())
    return {};
  return Region->second;
}

// Returns the number of VMs of the region, live or not, including this one.
std::size_t Node::regionSize() const {
  const std::vector<MemberRow> &Rows = m_Members.rows();
  return static_cast<std::size_t>(
      std::count_if(Rows.begin(), Rows.end(), [&](const MemberRow &Row) {
        return regionOf(Row) == m_Settings.m_Region;
      }));
}

// Right after startup, listed VMs from which no report has arrived yet count as
// well. Otherwise every VM of a fleet that starts at once would become the
// reader.
std::size_t Node::ownReaderRank() const {
  bool Starting = now() - m_StartedAt < m_ListReadPolicy.staleAfter();
  std::vector<std::string> Vms;
  for (const MemberRow &Row : m_Members.rows())
    if ((Row.m_State == MemberState::Live ||
         (Starting && Row.m_State == MemberState::Unheard)) &&
        regionOf(Row) == m_Settings.m_Region)
      Vms.push_back(Row.m_Report.m_Vm);
  return readerRank(m_Settings.m_Ip, Vms);
}

ReadReason Node::reasonToReadList() const {
  return m_ListReadPolicy.reasonToRead(ownReaderRank(), m_List.knownAt(),
                                       now());
}

void Node::logReadReason(const char *What, ReadReason Reason,
                         ReadReason Before) const {
  if (Reason == Before)
    return;
  m_Metrics.count(
      "rhubarb_store_read_reasons_total",
      {{"what", What}, {"reason", std::string(readReasonName(Reason))}});
  logEvent(Severity::Info, "store_read",
           {{"what", What},
            {"reason", std::string(readReasonName(Reason))},
            {"before", std::string(readReasonName(Before))},
            {"reader_rank", std::to_string(ownReaderRank())},
            {"list", positionText(m_List.position())},
            {"list_age_ms", std::to_string((now() - m_List.knownAt()) / 1ms)}});
}

// Whether a configuration of this size is fetched from the peer that announced
// it. All VMs of the region may do so at once.
bool Node::fetchesConfigFromPeer(std::uint64_t ConfigBytes) const {
  return ConfigBytes <=
         std::min(MaxPeerConfigBytes, changeBytesPerVm(regionSize()));
}

ReadReason Node::reasonToReadOperator() const {
  bool Behind =
      m_AnnouncedOperatorUpdate.m_OperatorPosition > m_OperatorCompletePosition;
  bool WaitsForPeer =
      fetchesConfigFromPeer(m_AnnouncedOperatorUpdate.m_ConfigBytes) &&
      now() - m_OperatorAnnouncedAt < PeerConfigWait;
  if (Behind && !WaitsForPeer)
    return ReadReason::Behind;
  return m_OperatorReadPolicy.reasonToRead(ownReaderRank(), m_OperatorKnownAt,
                                           now());
}

void Node::confirmListComplete(StorePosition Position, Time KnownAt) {
  m_ListReadPolicy.recordCompletePosition(Position, now());
  m_List.confirmComplete(Position, KnownAt);
}

void Node::recordListRead(ListReadResult Read) {
  m_ReadFailing = Read == ListReadResult::Failed;
  if (m_ReadFailing)
    return;
  m_ListIsCurrent = m_ListIsCurrent || Read == ListReadResult::Current;
  bool Changed = m_List.changeCount() != m_AppliedListChanges;
  if (Changed)
    applyList();
  if (Read == ListReadResult::MayBeStale)
    m_PropagationCursor.markAllSent(m_List); // The other VMs read it as well.
  else if (Changed ||
           m_List.knownAt() - m_SentListKnownAt >= ListUpdateMinInterval)
    sendListUpdate();
}

void Node::recordOperatorRead(bool Read, StorePosition LastChange,
                              StorePosition Complete, Time KnownAt) {
  m_ReadFailing = !Read;
  if (!Read)
    return;
  bool Newer = LastChange > m_OperatorPosition;
  m_OperatorPosition = std::max(m_OperatorPosition, LastChange);
  m_OperatorCompletePosition = std::max(m_OperatorCompletePosition, Complete);
  m_OperatorKnownAt = KnownAt;
  if (Newer || KnownAt - m_SentOperatorKnownAt >= ListUpdateMinInterval)
    sendListUpdate();
}

void Node::announceOperatorChange(StorePosition Position) {
  m_OperatorPosition = std::max(m_OperatorPosition, Position);
  sendListUpdate();
}

// Sends a list update to the region at intervals even without changes, which
// shows that the region's reader is working.
void Node::sendPeriodicListUpdate() {
  Duration Pause = m_PropagationCursor.hasPending(m_List)
                       ? PendingListUpdateInterval
                       : ListUpdateInterval;
  if (now() - m_ListUpdateSentAt < Pause || m_ReadFailing || !m_ListIsCurrent ||
      reasonToReadList() == ReadReason::None ||
      now() - m_List.knownAt() >= m_ListReadPolicy.staleAfter())
    return;
  sendListUpdate();
}

ServerListUpdate Node::makeListUpdate(std::vector<ListingRow> Rows) const {
  ServerListUpdate Update;
  Update.m_Position = m_List.position();
  Update.m_Age = now() - m_List.knownAt();
  Update.m_Digest = m_List.digest();
  Update.m_OperatorPosition = m_OperatorPosition;
  // During an outage of the store, a VM may have been told of all changes by
  // others without any read of its own.
  if (m_OperatorCompletePosition >= m_Evacuated.position())
    Update.m_OperatorPosition =
        std::max(m_OperatorPosition, m_Evacuated.position());
  Update.m_ConfigRevision = revision();
  Update.m_ConfigBytes = m_ConfigDocument.m_Text.size();
  Update.m_OperatorAge = now() - m_OperatorKnownAt;
  Update.m_EvacuatedDomains = m_Evacuated.domains();
  Update.m_Rows = std::move(Rows);
  return Update;
}

// Returns the VMs that receive updates, grouped by the relay that forwards to
// them.
std::vector<RelayGroup> Node::updateRelayGroups(RelayShape Shape,
                                                UpdateScope Scope) {
  std::vector<RelayTarget> Targets;
  for (const MemberRow &Row : m_Members.rows()) {
    if (Row.m_Report.m_Vm == m_Settings.m_Ip ||
        Row.m_State == MemberState::Silent ||
        (Scope == UpdateScope::Region && regionOf(Row) != m_Settings.m_Region))
      continue;
    Targets.push_back({Row.m_Report.m_Vm, Row.m_Report.m_Domain,
                       Row.m_State == MemberState::Live});
  }
  return relayGroups(std::move(Targets), ++m_UpdateRound, Shape);
}

// Sends the changes that are pending, as many as the links can take, and
// resends a few recent ones.
void Node::sendListUpdate() {
  if (!announcesToRegion()) { // Other VMs announce the changes.
    m_PropagationCursor.markAllSent(m_List);
    return;
  }
  Time Now = now();
  std::vector<ListingRow> Rows =
      m_PropagationCursor.pending(m_List, ResendWindow, Now);
  std::vector<ListingRow> Recent = m_List.recentChanges(ResendWindow, Now);
  bool Repeat = Rows.size() <= MaxResentRows && Recent.size() <= MaxResentRows;
  if (Repeat)
    Rows = std::move(Recent);
  std::vector<RelayGroup> Groups =
      updateRelayGroups(RelayShape::Balanced, UpdateScope::Region);
  std::size_t MostReceivers = 0;
  for (const RelayGroup &Group : Groups)
    MostReceivers = std::max(MostReceivers, Group.m_Receivers.size());
  m_ListUpdateSentAt = Now;
  m_SentListKnownAt = m_List.knownAt();
  m_SentOperatorKnownAt = m_OperatorKnownAt;
  ServerListUpdateMessages Update = splitServerListUpdate(
      makeListUpdate(Rows), updateBytesPerTarget(Groups.size()), MostReceivers,
      Now);
  if (!Repeat || Update.m_RowsIncluded == Rows.size())
    m_PropagationCursor.markSent(m_List, Rows, Update.m_RowsIncluded);
  for (const Json::Value &Message : Update.m_Messages) {
    std::string Plain = encodeServerListUpdate(Message);
    for (const RelayGroup &Group : Groups)
      m_Datagrams.send(Group.m_Relay, m_Settings.m_PeerPort,
                       Group.m_Receivers.empty()
                           ? Plain
                           : encodeServerListUpdate(Message, m_Settings.m_Ip,
                                                    Group.m_Receivers));
  }
}

// Announces to the region which servers are warm for which objects, so that no
// other process runs these on a cold server; which servers are full, so that
// not all processes send there at once; and which servers cannot be used.
void Node::sendServerUpdates() {
  const Fleet &Servers = m_Dispatcher.fleet();
  ServerEventUpdates Update;
  for (const auto &[Index, Kind] : m_Dispatcher.fleet().takeServerEvents()) {
    const BackendState &Row = Servers.row(Index);
    if (!Row.m_Listed)
      continue;
    Update[Row.m_Info.m_Id] = {Row.m_Incarnation, Kind};
    logEvent(Severity::Info, "server_news_told",
             {{"server", Row.m_Info.m_Id},
              {"kind", std::string(serverEventName(Kind))}});
  }
  std::vector<std::string> Texts = encodeServerEventUpdates(Update);
  auto Factor =
      static_cast<std::int64_t>(1 + regionSize() / VmsPerUpdateInterval);
  if (now() - m_ServerUpdatesSentAt >= ServerUpdatesInterval * Factor) {
    m_ServerUpdatesSentAt = now();
    for (std::string &Text : encodeAffinityAndLoadUpdates())
      Texts.push_back(std::move(Text));
  }
  if (Texts.empty())
    return;
  sendToGroups(
      Texts, updateRelayGroups(RelayShape::FewestGroups, UpdateScope::Region));
}

void Node::sendToGroups(const std::vector<std::string> &Texts,
                        const std::vector<RelayGroup> &Groups) {
  for (const std::string &Text : Texts)
    for (const RelayGroup &Group : Groups)
      m_Datagrams.send(Group.m_Relay, m_Settings.m_PeerPort,
                       Group.m_Receivers.empty()
                           ? Text
                           : encodeForward(Text, Group.m_Receivers));
}

Duration Node::timeToRateLimitUpdates() {
  Duration Interval = m_Dispatcher.fleet().rateLimitUpdateInterval(now());
  return std::max<Duration>(Duration{0},
                            m_RateLimitUpdatesSentAt + Interval - now());
}

void Node::sendRateLimitUpdates(bool Repeat) {
  if (!Repeat && !m_Dispatcher.fleet().hasNewRateLimitUpdates())
    return;
  if (timeToRateLimitUpdates().count() > 0)
    return;
  RateLimitUpdates Updates;
  Updates.m_Vm = m_Settings.m_Ip;
  Updates.m_Incarnation = m_Incarnation;
  for (const auto &[Incarnation, Update] :
       m_Dispatcher.fleet().takeRateLimitUpdates(Repeat))
    Updates.m_Servers[Update.m_ServerId] = {Incarnation, Update.m_Update};
  if (Updates.m_Servers.empty())
    return;
  m_RateLimitUpdatesSentAt = now();
  sendToGroups(
      encodeRateLimitUpdates(Updates, now()),
      updateRelayGroups(RelayShape::FewestGroups, UpdateScope::AllVms));
}

void Node::sendSuspectUpdates(bool Repeat) {
  bool Reader = !m_Leaving && ownReaderRank() == 0;
  if (Repeat && Reader && m_Suspects.convicted() > 0 &&
      now() - m_ConvictedRepeatedAt >= ConvictedRepeatInterval) {
    m_ConvictedRepeatedAt = now();
    m_Suspects.repeatConvicted(MaxConvictedRepeated, now());
  }
  std::vector<SuspectUpdate> Updates = m_Suspects.takeUpdates(Repeat);
  if (!Updates.empty())
    sendToGroups(
        encodeSuspectUpdates(Updates, now()),
        updateRelayGroups(RelayShape::FewestGroups, UpdateScope::AllVms));
}

void Node::handleSuspectUpdates(const Json::Value &Params) {
  for (const SuspectUpdate &Update : readSuspectUpdates(Params, now())) {
    if (!m_Suspects.apply(Update))
      continue;
    logEvent(Severity::Info, "suspect_told",
             {{"request", std::to_string(Update.m_Request)},
              {"crashes", std::to_string(Update.m_Crashes)},
              {"age_ms", std::to_string((now() - Update.m_At) / 1ms)}});
  }
}

void Node::handleRateLimitUpdates(const Json::Value &Params) {
  RateLimitUpdates Updates = readRateLimitUpdates(Params, now());
  if (Updates.m_Vm == m_Settings.m_Ip)
    return;
  std::uint64_t Peer = stableHash(Updates.m_Vm, Updates.m_Incarnation);
  for (const auto &[Id, Row] : Updates.m_Servers)
    m_Dispatcher.fleet().applyRateLimitUpdate(Row.m_Incarnation, Peer,
                                              {Id, Row.m_Update}, now());
}

std::vector<std::string> Node::encodeAffinityAndLoadUpdates() {
  const Fleet &Servers = m_Dispatcher.fleet();
  AffinityUpdates Affinities;
  for (const AffinityUpdate &Update : m_Dispatcher.takeAffinityUpdates()) {
    const BackendState &Row = Servers.row(Update.m_Server);
    if (Row.m_Listed && Row.m_Incarnation == Update.m_Incarnation)
      Affinities[Row.m_Info.m_Id].push_back(Update.m_Object);
  }
  ServerLoadUpdates Loads;
  for (const auto &[Index, Load] : m_Dispatcher.fleet().takeHighLoads())
    if (Servers.row(Index).m_Listed)
      Loads[Servers.row(Index).m_Info.m_Id] = Load;
  if (m_Settings.m_Disabled.contains(Mechanism::PlacesTold))
    Affinities.clear();
  if (m_Settings.m_Disabled.contains(Mechanism::LoadsTold))
    Loads.clear();
  std::vector<std::string> Texts = encodeAffinityUpdates(Affinities);
  for (std::string &Text : encodeServerLoadUpdates(Loads, now()))
    Texts.push_back(std::move(Text));
  return Texts;
}

void Node::handleServerEvents(const Json::Value &Params) {
  for (const auto &[Id, Update] : readServerEventUpdates(Params)) {
    ServerIndex Index = m_Dispatcher.fleet().find(Id);
    if (Index != NoServer &&
        m_Dispatcher.fleet().row(Index).m_Incarnation == Update.m_Incarnation) {
      m_Dispatcher.fleet().applyServerEvent(Index, Update.m_Event, now());
      if (Update.m_Event == ServerEvent::Replaced)
        cancelAttemptsAt(Index, false);
    }
  }
}

void Node::handleForwardedMessage(const Json::Value &Params,
                                  const std::string &PeerIp) {
  if (m_HandlingForwarded)
    return; // Nested forwards are never sent.
  ForwardedMessage Got = readForwardedMessage(Params);
  forwardTo(Got.m_ForwardTo, Got.m_Text);
  m_HandlingForwarded = true;
  m_Rpc.handle(Got.m_Text, PeerIp); // handle() does not throw.
  m_HandlingForwarded = false;
}

// Forwards to VMs that a peer named, if they are known, and to a limited number
// of them.
void Node::forwardTo(const std::vector<std::string> &Vms,
                     const std::string &Text) {
  std::size_t Left = MaxRelayFanout;
  for (const std::string &Vm : Vms)
    if (m_KnownVms.contains(Vm) && Left-- > 0)
      m_Datagrams.send(Vm, m_Settings.m_PeerPort, Text);
}

void Node::handleLoadUpdates(const Json::Value &Params) {
  for (const auto &[Server, Load] : readServerLoadUpdates(Params, now())) {
    ServerIndex Index = m_Dispatcher.fleet().find(Server);
    if (Index != NoServer)
      m_Dispatcher.fleet().updateLoad(Index, Load.m_Total, Load.m_At);
  }
}

void Node::handleAffinityUpdates(const Json::Value &Params) {
  for (const auto &[Server, Objects] : readAffinityUpdates(Params)) {
    ServerIndex Index = m_Dispatcher.fleet().find(Server);
    if (Index == NoServer)
      continue;
    for (std::uint64_t Object : Objects)
      m_Dispatcher.recordRemoteRun(Object, Index, now());
  }
}

// Whether a VM and this one have had two different lists for some time, without
// any change in between that could explain it.
bool Node::listsStayDifferent(const ServerListUpdate &Update) {
  std::pair<std::uint64_t, std::uint64_t> Digests{m_List.digest(),
                                                  Update.m_Digest};
  if (Update.m_HasMore || Digests.first == Digests.second ||
      Digests != m_DifferentDigests) {
    m_DifferentDigests = Digests;
    m_ListsDifferSince = now();
  }
  if (now() - m_ListsDifferSince < ListsDifferTime)
    return false;
  m_ListsDifferSince = now();
  return true;
}

void Node::handleListUpdate(const Json::Value &Params,
                            const std::string &PeerIp) {
  ServerListUpdate Update =
      readServerListUpdate(Params, now(), m_List.position().m_Era);
  if (!Update.m_ForwardTo.empty())
    forwardTo(Update.m_ForwardTo,
              encodeServerListUpdate(Params, Update.m_Origin));
  const std::string &Origin =
      Update.m_Origin.empty() ? PeerIp : Update.m_Origin;
  bool NothingPending = !m_PropagationCursor.hasPending(m_List);
  applyListUpdate(Update);
  if (NothingPending) // The sender announced this update to all VMs.
    m_PropagationCursor.markAllSent(m_List);
  bool Precedes = precedesAsReader(Origin, m_Settings.m_Ip);
  if (Precedes && Update.m_HasMore)
    m_ListReadPolicy.recordPartialUpdate(Update.m_Age, now());
  else if (Precedes && Update.m_Digest == m_List.digest())
    m_ListReadPolicy.recordUpdate(Update.m_Age, now());
  if (Precedes)
    m_OperatorReadPolicy.recordUpdate(Update.m_OperatorAge, now());
  if (Update.m_ConfigRevision > revision() && !m_FetchingConfig &&
      fetchesConfigFromPeer(Update.m_ConfigBytes))
    spawn(m_Io, fetchConfig(Origin));
  if (!Update.m_HasMore)
    m_ListReadPolicy.recordAnnouncedPosition(Update.m_Position, now());
  if ((listsStayDifferent(Update) ||
       m_ListReadPolicy.shouldFetchFromPeer(now())) &&
      !m_FetchingList) {
    m_ListReadPolicy.recordPeerFetch(now());
    spawn(m_Io, fetchList(Origin));
  }
}

// Once the configuration and the evacuations that a peer announced are applied,
// this VM has all operators' changes that the peer has read.
void Node::updateOperatorCompletePosition() {
  if (m_AnnouncedOperatorUpdate.m_ConfigRevision <= revision() &&
      m_AnnouncedOperatorUpdate.m_OperatorPosition == m_Evacuated.position())
    m_OperatorCompletePosition =
        std::max(m_OperatorCompletePosition,
                 m_AnnouncedOperatorUpdate.m_OperatorPosition);
}

// Applies what is newer at a peer. The list counts as complete only if the
// digests match.
void Node::applyListUpdate(const ServerListUpdate &Update) {
  for (const ListingRow &Row : Update.m_Rows) {
    m_List.merge(Row, now());
  }
  if (Update.m_Digest == m_List.digest())
    confirmListComplete(Update.m_Position, now() - Update.m_Age);
  if (m_List.changeCount() != m_AppliedListChanges)
    applyList();
  if (m_Evacuated.observeTold(Update.m_EvacuatedDomains,
                              Update.m_OperatorPosition, now()))
    applyEvacuated(Update.m_EvacuatedDomains, Update.m_OperatorPosition);
  if (Update.m_ConfigRevision > m_AnnouncedConfigRevision) {
    m_AnnouncedConfigRevision = Update.m_ConfigRevision;
    m_ConfigAnnouncedAt = now();
  }
  if (Update.m_OperatorPosition >=
      m_AnnouncedOperatorUpdate.m_OperatorPosition) {
    if (Update.m_OperatorPosition >
        m_AnnouncedOperatorUpdate.m_OperatorPosition)
      m_OperatorAnnouncedAt = now();
    m_AnnouncedOperatorUpdate = Update;
    m_AnnouncedOperatorUpdate.m_Rows.clear();
  }
  updateOperatorCompletePosition();
  if (Update.m_OperatorPosition <= m_OperatorCompletePosition)
    m_OperatorKnownAt =
        std::max(m_OperatorKnownAt, now() - Update.m_OperatorAge);
}

Duration Node::configBehind() const {
  return m_AnnouncedConfigRevision > revision() ? now() - m_ConfigAnnouncedAt
                                                : Duration{0};
}

// Fetches the whole server list from a peer.
asio::awaitable<void> Node::fetchList(std::string Ip) {
  m_FetchingList = true;
  HttpRequest Request;
  Request.m_Target = "/v1/list";
  HttpResult Got = co_await m_PeerClient.send(
      Ip + ":" + std::to_string(m_Settings.m_PeerPort), Request,
      now() + FetchTimeout, longResponseOptions());
  m_FetchingList = false;
  Result<Json::Value> Read =
      Got.m_Failure == HttpFailure::None && Got.m_Response.m_Status == 200
          ? parseJson(Got.m_Response.m_Body)
          : Result<Json::Value>(
                Error{ErrorKind::HomeUnreachable,
                      std::string(httpFailureName(Got.m_Failure))});
  if (!Read) {
    logEvent(Severity::Warning, "list_fetch_failed",
             {{"from", Ip}, {"error", Read.error().m_Message}});
    co_return;
  }
  try {
    ServerListUpdate Whole =
        readServerListUpdate(Read.value(), now(), m_List.position().m_Era);
    m_List.replace(Whole.m_Rows, Whole.m_Position, now());
    applyListUpdate(Whole);
    logEvent(Severity::Info, "list_from_peer",
             {{"from", Ip},
              {"position", positionText(Whole.m_Position)},
              {"entries", std::to_string(Whole.m_Rows.size())},
              {"complete", Whole.m_Digest == m_List.digest() ? "yes" : "no"}});
  } catch (const std::exception &Thrown) {
    logEvent(Severity::Warning, "list_unreadable",
             {{"from", Ip}, {"error", Thrown.what()}});
  }
}

} // namespace rhubarb::node
