// Membership: heartbeats between agents, and the platform's directory of VMs
// and backend servers.
#include "Agent.h"

#include "net/Clock.h"
#include "net/Log.h"
#include "net/RpcCall.h"

namespace rhubarb::steer {
namespace {

constexpr Duration DirectoryRetryDelay = 1s;
constexpr Duration FetchTimeout = 2s;
constexpr Duration StandbyPollInterval = 500ms;
// Interval, in rounds, of full reports to a target when nothing changes.
constexpr std::uint64_t FullReportIntervalRounds = 3;
// Rounds in which a full report is sent to all targets after a change.
constexpr int FullReportRepeatRounds = 3;
// After this time without a report from the entry process, the VM is no longer
// offered to callers.
constexpr Duration EntryReportTimeout = 2s;

} // namespace

asio::awaitable<void> Agent::watchDirectory() {
  const Settings &Values = m_Daemon.m_Settings;
  int Watchers = static_cast<int>(Values.number("steer.watchers"));
  Duration Refresh = Values.millis("steer.list_refresh_ms");
  std::uint64_t WatchIndex = 0;
  bool DirectoryRead = false;
  while (!m_Stopped) {
    if (DirectoryRead && !m_Members.watchesStore(Watchers)) {
      WatchIndex = 0;
      co_await sleepFor(StandbyPollInterval);
      continue;
    }
    Result<Directory> Loaded =
        co_await m_Store.m_ListDirectory(m_Region, WatchIndex, Refresh);
    if (!Loaded) {
      WatchIndex = 0;
      m_Daemon.m_Metrics.count("rhubarb_store_failures_total");
      co_await sleepFor(DirectoryRetryDelay);
      continue;
    }
    DirectoryRead = true;
    WatchIndex = Loaded.value().m_Index;
    applyDirectory(Loaded.value());
    co_await sleepFor(Refresh / 4);
  }
}

void Agent::applyDirectory(const Directory &Received) {
  if (Received.m_Index <= m_Directory.m_Index)
    return;
  m_Directory = Received;
  std::vector<MemberTable::ListedVm> Rows;
  for (const ListedVm &Vm : Received.m_Vms)
    Rows.push_back({Vm.m_Ip, Vm.m_Domain, Vm.m_Leaving});
  m_Members.setListedVms(Rows, now());
}

asio::awaitable<void> Agent::fetchDirectoryFrom(std::string Vm) {
  m_FetchingDirectory = true;
  Result<Json::Value> Response =
      co_await callRpc(m_Client, Vm + ":" + std::to_string(m_Port),
                       "directory.fetch", Json::Value(Json::arrayValue),
                       now() + FetchTimeout, longResponseOptions());
  m_FetchingDirectory = false;
  if (!Response)
    co_return;
  try {
    applyDirectory(readDirectory(Response.value()));
  } catch (const std::exception &Exception) {
    logEvent(Severity::Warning, "directory_unreadable",
             {{"from", Vm}, {"error", Exception.what()}});
  }
}

bool Agent::isMember(const std::string &Ip) const {
  return m_Members.find(Ip) != nullptr;
}

// A VM that starts during an outage of the platform knows no other VM. It
// fetches the directory from the first neighbour within the configured prefixes
// that sends it a heartbeat.
bool Agent::isTrustedBeforeList(const std::string &Ip) const {
  if (m_Directory.m_Index != 0)
    return false;
  for (const std::string &Prefix :
       m_Daemon.m_Settings.list("steer.peer_prefixes"))
    if (Ip.starts_with(Prefix))
      return true;
  return false;
}

MemberReport Agent::ownReport() {
  MemberReport Report;
  Report.m_Vm = m_Ip;
  Report.m_Domain = m_Domain;
  Report.m_StartTime = m_StartTimeMs;
  Report.m_Sequence = ++m_Sequence;
  Report.m_Revision = m_NewestRevision;
  Report.m_DirectoryIndex = m_Directory.m_Index;
  // An entry process without a configuration is not reported as running, as it
  // would refuse all requests.
  bool EntryUp = m_EntryReport.m_Incarnation != 0 &&
                 m_EntryReport.m_Revision > 0 &&
                 now() - m_EntryReportTime < EntryReportTimeout;
  Report.m_EntryIncarnation = EntryUp ? m_EntryReport.m_Incarnation : 0;
  Report.m_Leaving = m_Leaving || m_EntryReport.m_Leaving;
  if (EntryUp) {
    Report.m_Pools = m_EntryReport.m_Pools;
    Report.m_AdoptedHomes = m_EntryReport.m_AdoptedHomes;
  }
  return Report;
}

asio::awaitable<void> Agent::heartbeatLoop() {
  Duration Interval = m_Daemon.m_Settings.millis("steer.heartbeat_ms");
  while (!m_Stopped) {
    sendHeartbeats();
    m_Members.tick(now());
    m_Client.closeExpiredConnections(now());
    updateWarnings();
    co_await sleepFor(Interval);
  }
}

bool Agent::mustSendFullReport(const MemberReport &Own) {
  std::string UrgentFields = std::to_string(Own.m_Revision) + " " +
                             std::to_string(Own.m_DirectoryIndex) + " " +
                             std::to_string(Own.m_EntryIncarnation) + " " +
                             std::to_string(Own.m_AdoptedHomes.size()) +
                             (Own.m_Leaving ? " leaving" : "");
  bool Changed = UrgentFields != m_SentUrgentFields;
  m_SentUrgentFields = UrgentFields;
  if (Changed)
    m_FullReportRounds = FullReportRepeatRounds;
  bool SendFull = m_FullReportRounds > 0;
  m_FullReportRounds -= SendFull ? 1 : 0;
  return SendFull;
}

void Agent::sendHeartbeats() {
  m_Members.setOwnReport(ownReport(), now());
  MemberReport Own = m_Members.find(m_Ip)->m_Report;
  bool SendFull = mustSendFullReport(Own);
  for (const std::string &Vm : m_Members.heartbeatTargets(m_HeartbeatRound)) {
    // Each target also gets a full report every few rounds, in case it missed a
    // change.
    Own.m_HeartbeatOnly =
        !SendFull &&
        (m_HeartbeatRound + stableHash(Vm)) % FullReportIntervalRounds != 0;
    Heartbeat Message;
    Message.m_Reports.push_back({Own, Duration{0}});
    for (RelayedReport &Row : m_Members.reportsToRelay(Vm, now()))
      Message.m_Reports.push_back(std::move(Row));
    m_Datagrams.send(Vm, m_Port, encodeHeartbeat(std::move(Message)));
  }
  ++m_HeartbeatRound;
}

void Agent::handleHeartbeat(const Json::Value &Params,
                            const std::string &PeerIp) {
  if (!isMember(PeerIp) && isTrustedBeforeList(PeerIp) && !m_FetchingDirectory)
    spawn(m_Daemon.m_Io, fetchDirectoryFrom(PeerIp));
  if (!isMember(PeerIp)) {
    m_Daemon.m_Metrics.countRefusal(ErrorKind::PeerNotAllowed, "");
    return;
  }
  bool NewlyLeaving = false;
  for (RelayedReport &Row : readHeartbeat(Params).m_Reports) {
    const MemberRow *Member = m_Members.find(Row.m_Report.m_Vm);
    if (Member == nullptr)
      continue;
    // The failure domain in the directory counts, not the reported one.
    Row.m_Report.m_Domain = Member->m_Report.m_Domain;
    bool WasLeaving = Member->m_Report.m_Leaving;
    if (!m_Members.observe(Row.m_Report, Row.m_Age, now()))
      continue;
    if (Row.m_Report.m_Vm == PeerIp && !Row.m_Report.m_HeartbeatOnly)
      fetchNewerState(Row.m_Report);
    // A VM that starts to leave is reported at once, so that callers are not
    // sent to it for another round.
    NewlyLeaving = NewlyLeaving || (!WasLeaving && Row.m_Report.m_Leaving);
  }
  if (NewlyLeaving)
    sendHeartbeats();
}

void Agent::fetchNewerState(const MemberReport &Report) {
  m_HighestKnownRevision = std::max(m_HighestKnownRevision, Report.m_Revision);
  if (Report.m_Revision > m_NewestRevision && !m_FetchingConfig)
    spawn(m_Daemon.m_Io, fetchConfigFrom(Report.m_Vm));
  const MemberRow *Row = m_Members.find(Report.m_Vm);
  bool SameDomain = Row != nullptr && Row->m_Report.m_Domain == m_Domain;
  if (Report.m_DirectoryIndex > m_Directory.m_Index && SameDomain &&
      !m_FetchingDirectory)
    spawn(m_Daemon.m_Io, fetchDirectoryFrom(Report.m_Vm));
}

} // namespace rhubarb::steer
