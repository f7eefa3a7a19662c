// Control plane of the entry process: snapshots from rhubarb-steer, grants
// between entry processes, handover of keys, and periodic work.
#include "Entry.h"

#include "net/BackendProtocol.h"
#include "net/Clock.h"
#include "net/Log.h"
#include "net/RpcCall.h"

namespace rhubarb::entry {
namespace {

constexpr Duration TickInterval = 20ms;
// A longer gap between two ticks means that the process was suspended.
constexpr Duration FreezeThreshold = 1500ms;
constexpr Duration GrantRequestTimeout = 1s;
constexpr Duration HandoverTimeout = 3s;
constexpr int MaxHandoverAttempts = 3;
constexpr std::size_t MaxHandoverPartBytes = 1U << 20U;
constexpr std::size_t MaxHandoverPartRows = 2000;

} // namespace

asio::awaitable<HttpResponse>
EntryProcess::handleControlRequest(HttpRequest Request) {
  const SnapshotMember *Member = findMember(Request.m_PeerIp);
  if (Member == nullptr && Request.m_PeerIp != m_Ip) {
    m_Daemon.m_Metrics.countRefusal(ErrorKind::PeerNotAllowed, "");
    co_return errorResponse(ErrorKind::PeerNotAllowed);
  }
  if (!Request.header(GrantHeader).empty())
    co_return co_await handleForwardedRequest(std::move(Request));
  if (Request.path() != "/rpc")
    co_return errorResponse(ErrorKind::BadRequest, "takes /rpc");
  co_return jsonResponse(200,
                         m_RpcServer.handle(Request.m_Body, Request.m_PeerIp));
}

void EntryProcess::registerRpcMethods() {
  m_RpcServer.addMethod(
      "snapshot.put", [this](const Json::Value &Params, const std::string &Ip) {
        if (Ip != m_Ip)
          throw Json::RuntimeError("snapshots come from this VM only");
        Snapshot NewSnapshot = readSnapshot(Params[0]);
        if (NewSnapshot.m_SectionsOmitted &&
            NewSnapshot.m_Revision != m_Config.m_Revision)
          return makeFullSnapshotRequest();
        applySnapshot(NewSnapshot);
        m_SnapshotHash = Params[1].asString();
        return toJson(makeReport());
      });
  m_RpcServer.addMethod("snapshot.keep", [this](const Json::Value &Params,
                                                const std::string &Ip) {
    if (Ip != m_Ip)
      throw Json::RuntimeError("snapshots come from this VM only");
    Json::Value Json = toJson(makeReport());
    Json["need"] = Params[0].asString() != m_SnapshotHash;
    return Json;
  });
  m_RpcServer.addMethod(
      "grant.ask", [this](const Json::Value &Params, const std::string &Ip) {
        return handleGrantRequest(Params, Ip);
      });
  m_RpcServer.addMethod(
      "grant.give", [this](const Json::Value &Params, const std::string &Ip) {
        Grant PushedGrant = readGrant(Params);
        int Pool = m_Config.findPoolIndex(Params[4].asString());
        if (Pool >= 0) {
          m_GrantHolder.recordPushed(Ip, Pool, PushedGrant, now());
          dispatchWaiting(Pool);
        }
        return Json::Value(Json::objectValue);
      });
  m_RpcServer.addMethod("keys.adopt",
                        [this](const Json::Value &Params, const std::string &) {
                          if (m_Leaving)
                            throw Json::RuntimeError("this VM is leaving too");
                          m_Keys.adopt(readKeyHandover(Params[0]));
                          return Json::Value(Json::objectValue);
                        });
}

EntryReport EntryProcess::makeReport() const {
  EntryReport Report;
  Report.m_Incarnation = m_Keys.self().m_Incarnation;
  Report.m_Revision = m_Config.m_Revision;
  Report.m_Leaving = m_Leaving;
  for (std::size_t I = 0; I < m_Pools.size(); ++I) {
    int Pool = static_cast<int>(I);
    int FreeSlots =
        m_Servers.freeSlots(Pool) - m_GrantIssuer.reservedSlots(Pool, now());
    Report.m_Pools.push_back({m_Pools[I].m_Name, m_Servers.openSlots(Pool),
                              std::max(FreeSlots, 0),
                              m_Pools[I].m_Queue.waiting()});
  }
  for (const HomeId &Home : m_Keys.homes())
    if (!(Home == m_Keys.self()))
      Report.m_AdoptedHomes.push_back(formatHomeId(Home));
  return Report;
}

// Returns a report that asks rhubarb-steer for a snapshot with all
// configuration sections.
Json::Value EntryProcess::makeFullSnapshotRequest() const {
  Json::Value Json = toJson(makeReport());
  Json["need"] = true;
  return Json;
}

void EntryProcess::applySnapshot(const Snapshot &NewSnapshot) {
  m_Snapshot = NewSnapshot;
  if (NewSnapshot.m_ConfigKnown && NewSnapshot.m_Revision > m_Config.m_Revision)
    applyConfig(NewSnapshot);
  // A process that has a configuration keeps serving with it; one that has just
  // started refuses requests until it receives a configuration.
  m_ConfigKnown =
      m_ConfigKnown || (NewSnapshot.m_ConfigKnown && m_Config.m_Revision > 0);
  updateOwnedServers();
  for (std::size_t I = 0; I < m_Pools.size(); ++I)
    dispatchWaiting(static_cast<int>(I));
}

void EntryProcess::applyConfig(const Snapshot &NewSnapshot) {
  ConfigCheck Check =
      checkConfig(NewSnapshot.m_Sections, NewSnapshot.m_Revision);
  if (!Check.m_Errors.empty()) {
    logEvent(Severity::Error, "config_rejected",
             {{"revision", std::to_string(NewSnapshot.m_Revision)}});
    m_Daemon.m_Metrics.count("rhubarb_config_rejected_total");
    return;
  }
  Configuration NewConfig = std::move(Check.m_Configuration);
  preserveIndexes(m_Config, NewConfig);
  m_Config = std::move(NewConfig);
  for (std::size_t I = m_Pools.size(); I < m_Config.m_Pools.size(); ++I)
    m_Pools.emplace_back(m_Config.m_Pools[I]);
  std::vector<QueueProfile> Profiles;
  constexpr double PercentToShare = 0.01;
  for (const Profile &Row : m_Config.m_Profiles)
    Profiles.push_back(
        {Row.m_Priority, Row.m_Worth,
         Row.m_Removed ? 0.0 : Row.m_FloorPercent * PercentToShare});
  for (PoolRuntime &Pool : m_Pools)
    Pool.m_Queue.setProfiles(Profiles);
  logEvent(Severity::Info, "config_in_force",
           {{"revision", std::to_string(m_Config.m_Revision)}});
}

// Determines which backend servers this process owns, and updates its shares of
// the links between regions.
void EntryProcess::updateOwnedServers() {
  std::map<std::string, std::vector<std::string>> LiveByDomain;
  std::vector<std::string> LiveInRegion;
  std::map<std::string, int> SourcesByRegion;
  for (const SnapshotMember &Member : m_Snapshot.m_Members) {
    std::string Region(m_Config.regionOf(Member.m_Domain));
    ++SourcesByRegion[Region];
    if (Member.m_State != MemberState::Live && Member.m_Ip != m_Ip)
      continue;
    LiveByDomain[Member.m_Domain].push_back(Member.m_Ip);
    if (Region == m_Region)
      LiveInRegion.push_back(Member.m_Ip);
  }
  std::erase_if(m_DrainingServers, [&](const std::string &Address) {
    return std::none_of(m_Snapshot.m_Servers.begin(),
                        m_Snapshot.m_Servers.end(),
                        [&](const ListedServer &Listed) {
                          return Listed.m_Address == Address;
                        });
  });
  // Owners are assigned separately for each pool and failure domain.
  std::map<std::pair<int, std::string>, std::vector<const ListedServer *>>
      Groups;
  for (const ListedServer &Server : m_Snapshot.m_Servers) {
    int Pool = m_Config.findPoolIndex(Server.m_Pool);
    if (Pool >= 0)
      Groups[{Pool, Server.m_Domain}].push_back(&Server);
  }
  std::vector<ServerListing> Owned;
  for (const auto &[Key, Servers] : Groups) {
    const auto &[Pool, Domain] = Key;
    const auto &LiveInDomain = LiveByDomain[Domain];
    const auto &Members = LiveInDomain.empty() ? LiveInRegion : LiveInDomain;
    std::vector<std::string> Addresses;
    Addresses.reserve(Servers.size());
    for (const ListedServer *Server : Servers)
      Addresses.push_back(Server->m_Address);
    std::vector<int> Owners = assignOwners(Addresses, Members);
    for (std::size_t I = 0; I < Servers.size(); ++I) {
      if (Owners[I] < 0 || Members[static_cast<std::size_t>(Owners[I])] != m_Ip)
        continue;
      const std::string &Address = Servers[I]->m_Address;
      bool Leaving = Servers[I]->m_Leaving || m_Config.isDrained(Address) ||
                     m_DrainingServers.contains(Address);
      int Slots =
          m_Config.m_Pools[static_cast<std::size_t>(Pool)].m_SlotsPerServer;
      Owned.push_back({Address, Pool, Slots, Leaving});
    }
  }
  m_Servers.update(Owned, now());
  for (const Link &ConfiguredLink : m_Config.m_Links) {
    if (ConfiguredLink.m_From != m_Region && ConfiguredLink.m_To != m_Region)
      continue;
    const std::string &OtherRegion = ConfiguredLink.m_From == m_Region
                                         ? ConfiguredLink.m_To
                                         : ConfiguredLink.m_From;
    auto [Position, Added] =
        m_LinkShares.try_emplace(OtherRegion, LinkLimits{}, now());
    Position->second.setCap(ConfiguredLink.m_CapBytesPerSecond,
                            SourcesByRegion[m_Region], now());
  }
}

void EntryProcess::markDraining(const std::string &Address) {
  if (m_DrainingServers.insert(Address).second) {
    logEvent(Severity::Info, "server_draining", {{"server", Address}});
    updateOwnedServers();
  }
}

// Returns whether a live peer has open slots in the pool or has not reported
// the pool yet.
bool EntryProcess::peerMayGrant(int Pool) const {
  const std::string &Name =
      m_Config.m_Pools[static_cast<std::size_t>(Pool)].m_Name;
  for (const SnapshotMember &Member : m_Snapshot.m_Members) {
    if (Member.m_Ip == m_Ip || Member.m_State != MemberState::Live)
      continue;
    auto FoundSummary = std::find_if(
        Member.m_Pools.begin(), Member.m_Pools.end(),
        [&](const PoolSummary &Summary) { return Summary.m_Pool == Name; });
    if (FoundSummary == Member.m_Pools.end() || FoundSummary->m_OpenSlots > 0)
      return true;
  }
  return false;
}

// Sets the capacity of the queue: own slots that are not granted to others,
// plus slots granted by peers. If there are none, the capacity is 1 while a
// peer may still grant slots.
void EntryProcess::updateCapacity(int Pool) {
  int OwnSlots =
      m_Servers.openSlots(Pool) - m_GrantIssuer.grantedSlots(Pool, now());
  int HeldSlots = 0;
  for (const GrantHolder::HeldGrant &Row : m_GrantHolder.rows())
    if (Row.m_Pool == Pool && now() < Row.m_ExpiresAt)
      HeldSlots += Row.m_Slots;
  int Capacity = std::max(OwnSlots, 0) + HeldSlots;
  if (Capacity == 0 && peerMayGrant(Pool))
    Capacity = 1;
  m_Pools[static_cast<std::size_t>(Pool)].m_Queue.setCapacity(Capacity);
}

Json::Value EntryProcess::handleGrantRequest(const Json::Value &Params,
                                             const std::string &PeerIp) {
  std::string PoolName;
  GrantRequest Request = readGrantAsk(Params, PoolName);
  Request.m_Source = PeerIp;
  Request.m_Pool = m_Config.findPoolIndex(PoolName);
  if (Request.m_Pool < 0 || m_Leaving)
    return toJson(Grant{});
  const AdmissionQueue &Queue =
      m_Pools[static_cast<std::size_t>(Request.m_Pool)].m_Queue;
  GrantPoolState PoolState;
  PoolState.m_FreeSlots = m_Servers.freeSlots(Request.m_Pool);
  PoolState.m_Waiting = Queue.waiting();
  PoolState.m_FirstWaitingPriority =
      Queue.firstWaitingPriority().value_or(Priority::Batch);
  return toJson(m_GrantIssuer.issue(Request, PoolState, now()));
}

void EntryProcess::planGrantRequests(int Pool) {
  const PoolRuntime &Runtime = m_Pools[static_cast<std::size_t>(Pool)];
  std::optional<Priority> FirstPriority =
      Runtime.m_Queue.firstWaitingPriority();
  for (PlannedGrantRequest &ReturnRequest :
       m_GrantHolder.planReturns(Pool, FirstPriority, now()))
    spawn(m_Daemon.m_Io, sendGrantRequest(std::move(ReturnRequest)));
  if (!FirstPriority)
    return;
  int MaxReach = 0;
  for (const Profile &Row : m_Config.m_Profiles)
    if (Row.m_Priority == *FirstPriority)
      MaxReach = std::max(MaxReach, static_cast<int>(Row.m_Reach));
  std::vector<GrantCandidate> Candidates;
  for (const SnapshotMember &Member : m_Snapshot.m_Members) {
    if (Member.m_Ip == m_Ip || Member.m_State != MemberState::Live ||
        distanceTo(Member) > MaxReach)
      continue;
    for (const PoolSummary &Summary : Member.m_Pools)
      if (Summary.m_Pool == Runtime.m_Name && Summary.m_OpenSlots > 0)
        Candidates.push_back(
            {Member.m_Ip, distanceTo(Member), Summary.m_FreeSlots});
  }
  int WantedSlots = Runtime.m_Queue.waiting() -
                    m_GrantHolder.freeSlots(Pool, MaxReach, now());
  for (PlannedGrantRequest &Request : m_GrantHolder.planRequests(
           Pool, *FirstPriority, WantedSlots,
           Runtime.m_Queue.predictWait(*FirstPriority), Candidates, now()))
    spawn(m_Daemon.m_Io, sendGrantRequest(std::move(Request)));
}

asio::awaitable<void>
EntryProcess::sendGrantRequest(PlannedGrantRequest Planned) {
  GrantRequest Message;
  Message.m_Source = m_Ip;
  Message.m_Pool = Planned.m_Pool;
  Message.m_Priority = Planned.m_Priority;
  Message.m_Slots = Planned.m_Slots;
  std::string PoolName =
      m_Config.m_Pools[static_cast<std::size_t>(Planned.m_Pool)].m_Name;
  Time SentAt = now();
  Result<Json::Value> RpcResult =
      co_await callRpc(m_Client, controlAddress(Planned.m_Peer), "grant.ask",
                       toJson(Message, PoolName), SentAt + GrantRequestTimeout);
  try {
    if (RpcResult)
      m_GrantHolder.recordResponse(Planned.m_Peer, Planned.m_Pool,
                                   readGrant(RpcResult.value()), SentAt, now());
  } catch (const std::exception &Exception) {
    logEvent(Severity::Warning, "grant_unreadable",
             {{"error", Exception.what()}});
  }
  m_GrantHolder.recordFailure(Planned.m_Peer, Planned.m_Pool);
  m_Daemon.m_Metrics.count("rhubarb_grant_asks_total");
  if (static_cast<std::size_t>(Planned.m_Pool) < m_Pools.size())
    dispatchWaiting(Planned.m_Pool);
}

// Sends a grant for a pending request of the source. If the message is lost,
// the granted slots stay unused until the grant expires.
asio::awaitable<void> EntryProcess::pushGrant(PushedGrant Pushed, int Pool) {
  Json::Value Params = toJson(Pushed.m_Grant);
  Params.append(m_Config.m_Pools[static_cast<std::size_t>(Pool)].m_Name);
  Result<Json::Value> RpcResult =
      co_await callRpc(m_Client, controlAddress(Pushed.m_Source), "grant.give",
                       Params, now() + GrantRequestTimeout);
  if (!RpcResult)
    m_Daemon.m_Metrics.count("rhubarb_grants_lost_total");
}

asio::awaitable<void> EntryProcess::tickLoop() {
  while (!m_Stopped) {
    co_await sleepFor(TickInterval);
    Time Now = now();
    if (Now - m_LastTickAt > FreezeThreshold) {
      // Another process may have taken these servers over while this one was
      // suspended, so restart with one slot each, like a new owner.
      logEvent(Severity::Warning, "woke_after_freeze",
               {{"ms", std::to_string((Now - m_LastTickAt) /
                                      std::chrono::milliseconds(1))}});
      m_Servers.restartSlowStart(Now);
    }
    m_LastTickAt = Now;
    m_Servers.tick(Now);
    m_GrantIssuer.tick(Now);
    m_Client.closeExpiredConnections(Now);
    m_Keys.expire(unixMillis());
    for (std::size_t I = 0; I < m_Pools.size(); ++I) {
      int Pool = static_cast<int>(I);
      m_Pools[I].m_Queue.tick(Now);
      std::vector<RequestId> ExpiredIds;
      m_Pools[I].m_Queue.expire(
          Now, [&](RequestId Id) { ExpiredIds.push_back(Id); });
      for (RequestId Id : ExpiredIds)
        finishRequest(m_PendingRequests.at(Id),
                      makeErrorResponse(ErrorKind::DeadlinePassed));
      dispatchWaiting(Pool);
      planGrantRequests(Pool);
    }
  }
}

// Polls the load reports of the owned servers. Only the draining flag is used,
// because the load is known exactly from the slots in use here. A failed
// connection reveals a dead server before a request is sent to it.
asio::awaitable<void> EntryProcess::pollServers() {
  Duration Interval = m_Daemon.m_Settings.millis("entry.load_poll_ms");
  while (!m_Stopped) {
    co_await sleepFor(Interval);
    for (const BackendServer &Row : m_Servers.rows()) {
      if (!Row.m_Owned)
        continue;
      spawn(m_Daemon.m_Io,
            [](EntryProcess *Process, std::string Address,
               Duration Timeout) -> asio::awaitable<void> {
              HttpRequest Request;
              Request.m_Target = LoadPath;
              HttpResult LoadResult = co_await Process->m_Client.send(
                  Address, std::move(Request), now() + Timeout);
              if (LoadResult.m_Failure == HttpFailure::Connect ||
                  LoadResult.m_Failure == HttpFailure::None)
                Process->m_Servers.setReachable(
                    Address, LoadResult.m_Failure == HttpFailure::None, now());
              if (LoadResult.m_Failure != HttpFailure::None)
                co_return;
              Result<Json::Value> Json =
                  parseJson(LoadResult.m_Response.m_Body);
              if (!Json || !Json.value().isObject() ||
                  !Json.value()["draining"].isBool())
                co_return;
              if (Json.value()["draining"].asBool())
                Process->markDraining(Address);
              else if (Process->m_DrainingServers.erase(Address) > 0)
                Process->updateOwnedServers();
            }(this, Row.m_Listing.m_Address, Interval));
    }
  }
}

// Retires this home permanently and hands its keys over to the nearest live
// peer. Failed calls are retried with that peer only: with a second one, both
// could end up with the right to run the keys.
asio::awaitable<bool> EntryProcess::handOverKeys() {
  std::string NearestVm;
  int BestDistance = 3;
  for (const SnapshotMember &Member : m_Snapshot.m_Members)
    if (Member.m_Ip != m_Ip && Member.m_State == MemberState::Live &&
        Member.m_EntryIncarnation != 0 && distanceTo(Member) < BestDistance) {
      NearestVm = Member.m_Ip;
      BestDistance = distanceTo(Member);
    }
  if (NearestVm.empty())
    co_return false;
  co_return co_await handOverKeysTo(NearestVm, m_Keys.retire());
}

asio::awaitable<bool> EntryProcess::handOverKeysTo(std::string Vm,
                                                   KeyHandover Handover) {
  std::size_t NextRow = 0;
  bool IsLastPart = false;
  while (!IsLastPart) {
    KeyHandover Part;
    std::size_t Bytes = 0;
    while (NextRow < Handover.m_Rows.size() && Bytes < MaxHandoverPartBytes &&
           Part.m_Rows.size() < MaxHandoverPartRows) {
      Bytes += Handover.m_Rows[NextRow].m_Response->sizeInBytes();
      Part.m_Rows.push_back(Handover.m_Rows[NextRow++]);
    }
    IsLastPart = NextRow == Handover.m_Rows.size();
    if (IsLastPart)
      Part.m_Homes = Handover.m_Homes;
    Json::Value Params(Json::arrayValue);
    Params.append(toJson(Part));
    bool IsAccepted = false;
    for (int Attempt = 0; Attempt < MaxHandoverAttempts && !IsAccepted;
         ++Attempt)
      IsAccepted = static_cast<bool>(
          co_await callRpc(m_Client, controlAddress(Vm), "keys.adopt", Params,
                           now() + HandoverTimeout));
    if (!IsAccepted)
      co_return false;
  }
  // Record the adoption so that this process forwards keyed requests to the
  // peer from now on.
  for (SnapshotMember &Member : m_Snapshot.m_Members)
    if (Member.m_Ip == Vm)
      for (const HomeId &Home : Handover.m_Homes)
        Member.m_AdoptedHomes.push_back(formatHomeId(Home));
  co_return true;
}

} // namespace rhubarb::entry
