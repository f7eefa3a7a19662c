// Peers: heartbeats between nodes, and what they fetch from one another while
// the control plane does not answer them.
#include "Node.h"

#include "net/Clock.h"
#include "net/Daemon.h"
#include "net/Log.h"

#include <cmath>

namespace rhubarb::node {
namespace {

constexpr Duration HeartbeatPause = 500ms;
constexpr Duration RelayedHeartbeatPause = 1s; // In fleets that relay them.
constexpr Duration FetchTimeout = 1s;
constexpr std::size_t MaxRepeatedRows = 8; // One datagram.
// A small configuration is fetched from a peer, which saves a call of the
// store.
constexpr std::size_t MaxPeerConfigBytes = 24U << 10U;
// Rows passed on with a heartbeat. In fleets of up to eighty VMs each hears of
// every other well within the time after which it would count as silent
// (unit.members); larger ones would need more than small VMs can read.
constexpr std::size_t WellKnownFleet = 100;
constexpr int RelayedRows = 16;
// Signs of life fill a datagram as well.
constexpr int RelayedRowsOfLargeFleets = 1;
constexpr Duration PeerConfigPause = 500ms;
// With more VMs, heartbeats go to some and are relayed by them.
constexpr std::size_t MaxDirectPeers = 16;
// How often the region hears of places and loads: in larger regions more
// seldom, so that what each VM receives does not grow with the region.
constexpr std::size_t VmsPerPause = 40;
constexpr Duration ServersPause = 200ms;
// Changes are told again for this long, so that a lost datagram does no harm.
constexpr Duration NewsRepeated = 2s;
// News is told at least this often, and again after an answer.
constexpr Duration NewsPause = 400ms;
constexpr Duration NewsAfterAnswer = 100ms;
constexpr Duration NewsRestPause = 200ms; // While changes are left to tell.

} // namespace

void Node::learnVm(const std::string &Ip, const std::string &Domain) {
  if (Ip == m_Settings.m_Ip)
    return;
  auto [Entry, Added] = m_KnownVms.try_emplace(Ip, Domain);
  if (!Added && (Domain.empty() || Entry->second == Domain))
    return;
  if (!Domain.empty())
    Entry->second = Domain;
  std::vector<MemberTable::ListedVm> Rows;
  for (const auto &[Vm, Name] : m_KnownVms)
    Rows.push_back({Vm, Name, false});
  m_Members.setListedVms(Rows, now());
}

int Node::awayPermille(int Pool) const {
  return static_cast<int>(std::lround(m_Dispatcher.spill().share(Pool) * 1000));
}

MemberReport Node::ownReport() {
  MemberReport Report;
  Report.m_Vm = m_Settings.m_Ip;
  Report.m_Domain = m_Settings.m_Domain;
  Report.m_StartTime = m_Boot;
  Report.m_Sequence = ++m_Sequence;
  Report.m_EntryIncarnation = isReady() ? m_Boot : 0;
  Report.m_Leaving = m_Leaving;
  Report.m_Revision = revision();
  Report.m_DirectoryIndex = m_List.revision();
  const auto &Pools = m_Routes.config().m_Pools;
  for (std::size_t I = 0; I < Pools.size(); ++I) {
    PoolSummary Row;
    Row.m_Pool = Pools[I].m_Name;
    Row.m_SpillPermille = awayPermille(static_cast<int>(I));
    Report.m_Pools.push_back(std::move(Row));
  }
  return Report;
}

asio::awaitable<void> Node::heartbeatLoop() {
  while (!m_Stopped) {
    sendHeartbeats();
    m_Members.tick(now());
    co_await sleepFor(m_KnownVms.size() <= MaxDirectPeers
                          ? HeartbeatPause
                          : RelayedHeartbeatPause);
  }
}

void Node::sendHeartbeats() {
  MemberReport Own = ownReport();
  m_Members.setOwnReport(Own, now());
  Heartbeat Message;
  Message.m_Reports.push_back({Own, Duration{0}});
  if (m_KnownVms.size() <= MaxDirectPeers) {
    std::string Text = encodeHeartbeat(Message);
    for (const auto &[Vm, Domain] : m_KnownVms)
      m_Datagrams.send(Vm, m_Settings.m_PeerPort, Text);
    return;
  }
  if (m_KnownVms.size() <= WellKnownFleet)
    m_Members.setRelayCounts(RelayedRows, 0);
  else
    m_Members.setRelayCounts(RelayedRowsOfLargeFleets, MaxCompactHeartbeats);
  for (const std::string &Vm : m_Members.heartbeatTargets(m_Sequence)) {
    Message.m_Reports.resize(1);
    for (RelayedReport &Row : m_Members.reportsToRelay(Vm, now()))
      Message.m_Reports.push_back(std::move(Row));
    Message.m_CompactHeartbeats = m_Members.heartbeatsToRelay(Vm, now());
    m_Datagrams.send(Vm, m_Settings.m_PeerPort, encodeHeartbeat(Message));
  }
}

void Node::takeHeartbeat(const Json::Value &Params, const std::string &PeerIp) {
  Heartbeat Message = readHeartbeat(Params);
  for (const CompactHeartbeat &Sign : Message.m_CompactHeartbeats)
    m_Members.observe(Sign, now());
  for (const RelayedReport &Row : Message.m_Reports) {
    const MemberReport &Report = Row.m_Report;
    if (Report.m_Vm == m_Settings.m_Ip)
      continue;
    learnVm(Report.m_Vm, Report.m_Domain);
    if (!m_Members.observe(Report, Row.m_Age, now()))
      continue;
    if (Report.m_Revision > revision() && Report.m_Vm == PeerIp &&
        !m_FetchingConfig && now() - m_OperatorKnownAt > PeerConfigPause)
      spawn(m_Io, fetchConfig(PeerIp));
    // A VM that starts while the control plane is out takes the list of the
    // first peer that has one.
    if (m_List.knownAt().count() == 0 && Report.m_Vm == PeerIp &&
        Report.m_DirectoryIndex > 0 && !m_FetchingList)
      spawn(m_Io, fetchList(PeerIp));
    const MemberRow *Known = m_Members.find(Report.m_Vm);
    if (Known == nullptr || regionOf(*Known) != m_Settings.m_Region)
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
  if (Request.path() == "/v1/config" && m_Document.m_Revision > 0) {
    Response.m_Headers.push_back(
        {"Rhubarb-Revision", std::to_string(m_Document.m_Revision)});
    Response.m_Body = m_Document.m_Text;
  } else if (Request.path() == "/v1/list") {
    Response.m_Body = compactJson(toJson(ownNews(m_List.rows()), now()));
  }
  if (Response.m_Body.empty())
    Response = jsonResponse(404, "{\"error\":\"not_found\"}\n");
  co_return Response;
}

asio::awaitable<void> Node::fetchConfig(std::string Ip) {
  m_FetchingConfig = true;
  HttpRequest Request;
  Request.m_Target = "/v1/config";
  HttpResult Got = co_await m_PeerClient.send(
      Ip + ":" + std::to_string(m_Settings.m_PeerPort), Request,
      now() + FetchTimeout);
  m_FetchingConfig = false;
  if (Got.m_Failure != HttpFailure::None || Got.m_Response.m_Status != 200) {
    logEvent(Severity::Warning, "config_fetch_failed",
             {{"from", Ip},
              {"failure", std::string(httpFailureName(Got.m_Failure))},
              {"status", std::to_string(Got.m_Response.m_Status)}});
    co_return;
  }
  if (m_Hooks.m_TakeConfig)
    m_Hooks.m_TakeConfig(Got.m_Response.m_Body);
  compareOperatorNews();
}

std::string_view Node::regionOf(const MemberRow &Row) const {
  auto Found = m_Settings.m_RegionOf.find(Row.m_Report.m_Domain);
  if (Found == m_Settings.m_RegionOf.end())
    return {};
  return Found->second;
}

// VMs of the region, this one included, whether or not they live.
std::size_t Node::regionSize() const {
  const std::vector<MemberRow> &Rows = m_Members.rows();
  return static_cast<std::size_t>(
      std::count_if(Rows.begin(), Rows.end(), [&](const MemberRow &Row) {
        return regionOf(Row) == m_Settings.m_Region;
      }));
}

// Right after a start VMs that are listed and not heard of yet count as well,
// so that not all of a fleet that starts at once take themselves for the
// reader.
std::size_t Node::ownReaderRank() const {
  bool Starting = now() - m_StartedAt < m_ListDuty.staleAfter();
  std::vector<std::string> Vms;
  for (const MemberRow &Row : m_Members.rows())
    if ((Row.m_State == MemberState::Live ||
         (Starting && Row.m_State == MemberState::Unheard)) &&
        regionOf(Row) == m_Settings.m_Region)
      Vms.push_back(Row.m_Report.m_Vm);
  return readerRank(m_Settings.m_Ip, Vms);
}

ReadReason Node::reasonToReadList() const {
  return m_ListDuty.reasonToRead(ownReaderRank(), m_List.knownAt(), now());
}

void Node::logRead(const char *What, ReadReason Reason,
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
            {"list", std::to_string(m_List.revision())},
            {"list_age_ms", std::to_string((now() - m_List.knownAt()) / 1ms)}});
}

// Whether a configuration of this size is fetched from the peer that told of
// it. All VMs of the region may do so at once.
bool Node::comesFromPeer(std::uint64_t ConfigBytes) const {
  return ConfigBytes <=
         std::min(MaxPeerConfigBytes, changeBytesPerVm(regionSize()));
}

ReadReason Node::reasonToReadOperator() const {
  bool Behind = m_OperatorTold.m_OperatorRevision > m_OperatorComplete;
  bool Waits = comesFromPeer(m_OperatorTold.m_ConfigBytes) &&
               now() - m_OperatorToldAt < PeerConfigPause;
  if (Behind && !Waits)
    return ReadReason::Behind;
  return m_OperatorDuty.reasonToRead(ownReaderRank(), m_OperatorKnownAt, now());
}

void Node::listComplete(std::uint64_t Revision, Time KnownAt) {
  m_ListDuty.recordCompleteRevision(Revision, now());
  m_List.confirmComplete(Revision, KnownAt);
}

void Node::listRead(ListRead How) {
  m_ReadFailing = How == ListRead::Failed;
  if (m_ReadFailing)
    return;
  m_ListIsCurrent = m_ListIsCurrent || How == ListRead::Current;
  bool Changed = m_List.changeCount() != m_ListApplied;
  if (Changed)
    applyList();
  if (How == ListRead::Lagging)
    m_Telling.markAllSent(m_List); // Others read it as well.
  else if (Changed || m_List.knownAt() - m_ListKnownTold >= NewsAfterAnswer)
    sendNews();
}

void Node::operatorRead(bool Read, std::uint64_t LastChange,
                        std::uint64_t Complete, Time KnownAt) {
  m_ReadFailing = !Read;
  if (!Read)
    return;
  bool Newer = LastChange > m_OperatorRevision;
  m_OperatorRevision = std::max(m_OperatorRevision, LastChange);
  m_OperatorComplete = std::max(m_OperatorComplete, Complete);
  m_OperatorKnownAt = KnownAt;
  if (Newer || KnownAt - m_OperatorKnownTold >= NewsAfterAnswer)
    sendNews();
}

// Tells the region that its reader is at work, whether or not there is news.
void Node::tellRegion() {
  Duration Pause = m_Telling.hasPending(m_List) ? NewsRestPause : NewsPause;
  if (now() - m_NewsSentAt < Pause || m_ReadFailing || !m_ListIsCurrent ||
      reasonToReadList() == ReadReason::None ||
      now() - m_List.knownAt() >= m_ListDuty.staleAfter())
    return;
  sendNews();
}

ServerListUpdate Node::ownNews(std::vector<ListingRow> Rows) const {
  ServerListUpdate News;
  News.m_Revision = m_List.revision();
  News.m_Age = now() - m_List.knownAt();
  News.m_Digest = m_List.digest();
  News.m_OperatorRevision = m_OperatorRevision;
  News.m_ConfigRevision = revision();
  News.m_ConfigBytes = m_Document.m_Text.size();
  News.m_OperatorAge = now() - m_OperatorKnownAt;
  News.m_EvacuatedDomains = m_Evacuated;
  News.m_Rows = std::move(Rows);
  return News;
}

// The VMs of the region that are to hear news, and who passes it on to whom.
std::vector<RelayGroup> Node::newsGroups(RelayShape Shape) {
  std::vector<RelayTarget> Targets;
  for (const MemberRow &Row : m_Members.rows()) {
    if (Row.m_Report.m_Vm == m_Settings.m_Ip ||
        Row.m_State == MemberState::Silent ||
        regionOf(Row) != m_Settings.m_Region)
      continue;
    Targets.push_back({Row.m_Report.m_Vm, Row.m_Report.m_Domain,
                       Row.m_State == MemberState::Live});
  }
  return relayGroups(std::move(Targets), ++m_NewsRound, Shape);
}

// Sends the changes that have not been told, as many as the links take, and a
// few once more that are recent.
void Node::sendNews() {
  if (!tellsRegion()) { // Others of the region tell it.
    m_Telling.markAllSent(m_List);
    return;
  }
  Time Now = now();
  std::vector<ListingRow> Rows = m_Telling.pending(m_List, NewsRepeated, Now);
  std::vector<ListingRow> Recent = m_List.recentChanges(NewsRepeated, Now);
  bool Repeat =
      Rows.size() <= MaxRepeatedRows && Recent.size() <= MaxRepeatedRows;
  if (Repeat)
    Rows = std::move(Recent);
  std::vector<RelayGroup> Groups = newsGroups(RelayShape::Balanced);
  std::size_t LargestRest = 0;
  for (const RelayGroup &Group : Groups)
    LargestRest = std::max(LargestRest, Group.m_Receivers.size());
  m_NewsSentAt = Now;
  m_ListKnownTold = m_List.knownAt();
  m_OperatorKnownTold = m_OperatorKnownAt;
  ServerListUpdateMessages News = splitServerListUpdate(
      ownNews(Rows), updateBytesPerTarget(Groups.size()), LargestRest, Now);
  if (!Repeat || News.m_RowsIncluded == Rows.size())
    m_Telling.markSent(m_List, Rows, News.m_RowsIncluded);
  for (const Json::Value &Message : News.m_Messages) {
    std::string Plain = encodeServerListUpdate(Message);
    for (const RelayGroup &Group : Groups)
      m_Datagrams.send(Group.m_Relay, m_Settings.m_PeerPort,
                       Group.m_Receivers.empty()
                           ? Plain
                           : encodeServerListUpdate(Message, m_Settings.m_Ip,
                                                    Group.m_Receivers));
  }
}

// Tells the region which servers have run which objects, so that no other
// process runs them cold elsewhere, which are full, so that not all of them
// send there at once, and which cannot be used.
void Node::tellServers() {
  const Fleet &Servers = m_Dispatcher.fleet();
  ServerEventUpdates News;
  for (const auto &[Index, Kind] : m_Dispatcher.fleet().takeServerEvents()) {
    const BackendState &Row = Servers.row(Index);
    if (!Row.m_Listed)
      continue;
    News[Row.m_Info.m_Id] = {Row.m_Incarnation, Kind};
    logEvent(Severity::Info, "server_news_told",
             {{"server", Row.m_Info.m_Id},
              {"kind", std::string(serverEventName(Kind))}});
  }
  std::vector<std::string> Texts = encodeServerEventUpdates(News);
  auto Times = static_cast<std::int64_t>(1 + regionSize() / VmsPerPause);
  if (now() - m_ServersToldAt >= ServersPause * Times) {
    m_ServersToldAt = now();
    for (std::string &Text : placesAndLoads())
      Texts.push_back(std::move(Text));
  }
  if (Texts.empty())
    return;
  std::vector<RelayGroup> Groups = newsGroups(RelayShape::FewestGroups);
  for (const std::string &Text : Texts)
    for (const RelayGroup &Group : Groups)
      m_Datagrams.send(Group.m_Relay, m_Settings.m_PeerPort,
                       Group.m_Receivers.empty()
                           ? Text
                           : encodeForward(Text, Group.m_Receivers));
}

std::vector<std::string> Node::placesAndLoads() {
  const Fleet &Servers = m_Dispatcher.fleet();
  AffinityUpdates Places;
  for (const AffinityUpdate &News : m_Dispatcher.takeAffinityUpdates()) {
    const BackendState &Row = Servers.row(News.m_Server);
    if (Row.m_Listed && Row.m_Incarnation == News.m_Incarnation)
      Places[Row.m_Info.m_Id].push_back(News.m_Object);
  }
  ServerLoadUpdates Loads;
  for (const auto &[Index, Load] : m_Dispatcher.fleet().takeHighLoads())
    if (Servers.row(Index).m_Listed)
      Loads[Servers.row(Index).m_Info.m_Id] = Load;
  if (m_Settings.m_Without.contains(Mechanism::PlacesTold))
    Places.clear();
  if (m_Settings.m_Without.contains(Mechanism::LoadsTold))
    Loads.clear();
  std::vector<std::string> Texts = encodeAffinityUpdates(Places);
  for (std::string &Text : encodeServerLoadUpdates(Loads, now()))
    Texts.push_back(std::move(Text));
  return Texts;
}

void Node::takeServers(const Json::Value &Params) {
  for (const auto &[Id, News] : readServerEventUpdates(Params)) {
    ServerIndex Index = m_Dispatcher.fleet().find(Id);
    if (Index != NoServer &&
        m_Dispatcher.fleet().row(Index).m_Incarnation == News.m_Incarnation) {
      m_Dispatcher.fleet().applyServerEvent(Index, News.m_Event, now());
      if (News.m_Event == ServerEvent::Replaced)
        endAttemptsAt(Index, false);
    }
  }
}

void Node::takePassedOn(const Json::Value &Params, const std::string &PeerIp) {
  if (m_TakingPassedOn)
    return; // No node wraps a message that is wrapped already.
  ForwardedMessage Got = readForwardedMessage(Params);
  sendToAll(Got.m_ForwardTo, Got.m_Text);
  m_TakingPassedOn = true;
  m_Rpc.handle(Got.m_Text, PeerIp); // Does not throw.
  m_TakingPassedOn = false;
}

// Sends to VMs that a peer has named: only to known ones, and not to many.
void Node::sendToAll(const std::vector<std::string> &Vms,
                     const std::string &Text) {
  std::size_t Left = MaxRelayFanout;
  for (const std::string &Vm : Vms)
    if (m_KnownVms.contains(Vm) && Left-- > 0)
      m_Datagrams.send(Vm, m_Settings.m_PeerPort, Text);
}

void Node::takeLoads(const Json::Value &Params) {
  for (const auto &[Server, Load] : readServerLoadUpdates(Params, now())) {
    ServerIndex Index = m_Dispatcher.fleet().find(Server);
    if (Index != NoServer)
      m_Dispatcher.fleet().updateLoad(Index, Load.m_Total, Load.m_At);
  }
}

void Node::takePlaces(const Json::Value &Params) {
  for (const auto &[Server, Objects] : readAffinityUpdates(Params)) {
    ServerIndex Index = m_Dispatcher.fleet().find(Server);
    if (Index == NoServer)
      continue;
    for (std::uint64_t Object : Objects)
      m_Dispatcher.recordRemoteRun(Object, Index, now());
  }
}

void Node::takeListNews(const Json::Value &Params, const std::string &PeerIp) {
  ServerListUpdate News = readServerListUpdate(Params, now());
  if (!News.m_ForwardTo.empty())
    sendToAll(News.m_ForwardTo, encodeServerListUpdate(Params, News.m_Origin));
  const std::string &Origin = News.m_Origin.empty() ? PeerIp : News.m_Origin;
  bool ToldAll = !m_Telling.hasPending(m_List);
  applyListNews(News);
  if (ToldAll) // Its sender has told it to all.
    m_Telling.markAllSent(m_List);
  bool Before = precedesAsReader(Origin, m_Settings.m_Ip);
  if (Before && News.m_HasMore)
    m_ListDuty.recordPartialUpdate(News.m_Age, now());
  else if (Before && News.m_Digest == m_List.digest())
    m_ListDuty.recordUpdate(News.m_Age, now());
  if (Before)
    m_OperatorDuty.recordUpdate(News.m_OperatorAge, now());
  if (News.m_ConfigRevision > revision() && !m_FetchingConfig &&
      comesFromPeer(News.m_ConfigBytes))
    spawn(m_Io, fetchConfig(Origin));
  if (!News.m_HasMore)
    m_ListDuty.recordAnnouncedRevision(News.m_Revision, now());
  if (m_ListDuty.shouldFetchFromPeer(now()) && !m_FetchingList) {
    m_ListDuty.recordPeerFetch(now());
    spawn(m_Io, fetchList(Origin));
  }
}

// With the configuration and the evacuations that a peer has told of, nothing
// of what it knows can be missing.
void Node::compareOperatorNews() {
  if (m_OperatorTold.m_ConfigRevision == revision() &&
      m_OperatorTold.m_OperatorRevision == m_EvacuatedRevision)
    m_OperatorComplete =
        std::max(m_OperatorComplete, m_OperatorTold.m_OperatorRevision);
}

// Takes what a peer knows better. The list counts as complete only when the
// digests agree.
void Node::applyListNews(const ServerListUpdate &News) {
  for (const ListingRow &Row : News.m_Rows) {
    if (Row.m_Removed)
      m_List.remove(Row.m_Listing.m_Id, Row.m_Revision, now());
    else
      m_List.put(Row.m_Listing, Row.m_Revision, now());
  }
  if (News.m_Digest == m_List.digest())
    listComplete(News.m_Revision, now() - News.m_Age);
  if (m_List.changeCount() != m_ListApplied)
    applyList();
  if (News.m_OperatorRevision > m_EvacuatedRevision)
    applyEvacuated(News.m_EvacuatedDomains, News.m_OperatorRevision);
  if (News.m_OperatorRevision >= m_OperatorTold.m_OperatorRevision) {
    if (News.m_OperatorRevision > m_OperatorTold.m_OperatorRevision)
      m_OperatorToldAt = now();
    m_OperatorTold = News;
    m_OperatorTold.m_Rows.clear();
  }
  compareOperatorNews();
  if (News.m_OperatorRevision <= m_OperatorComplete)
    m_OperatorKnownAt = std::max(m_OperatorKnownAt, now() - News.m_OperatorAge);
}

// Fetches the whole list.
asio::awaitable<void> Node::fetchList(std::string Ip) {
  m_FetchingList = true;
  HttpRequest Request;
  Request.m_Target = "/v1/list";
  HttpResult Got = co_await m_PeerClient.send(
      Ip + ":" + std::to_string(m_Settings.m_PeerPort), Request,
      now() + FetchTimeout);
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
    ServerListUpdate Whole = readServerListUpdate(Read.value(), now());
    m_List.replace(Whole.m_Rows, Whole.m_Revision, now());
    applyListNews(Whole);
    logEvent(Severity::Info, "list_from_peer",
             {{"from", Ip},
              {"revision", std::to_string(Whole.m_Revision)},
              {"entries", std::to_string(Whole.m_Rows.size())},
              {"complete", Whole.m_Digest == m_List.digest() ? "yes" : "no"}});
  } catch (const std::exception &Thrown) {
    logEvent(Severity::Warning, "list_unreadable",
             {{"from", Ip}, {"error", Thrown.what()}});
  }
}

} // namespace rhubarb::node
