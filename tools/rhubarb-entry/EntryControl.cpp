// Control: snapshots of the agent, grants between entry processes, hand-over
// of keys, periodic work.
#include "Entry.h"

#include "net/BackendProtocol.h"
#include "net/Clock.h"
#include "net/Log.h"
#include "net/RpcCall.h"

namespace rhubarb::entry {
namespace {

constexpr Duration TickInterval = 20ms;
constexpr Duration FreezeGap = 1500ms; // Longer than this between ticks.
constexpr Duration AskTimeout = 1s;
constexpr Duration HandoverTimeout = 3s;
constexpr int HandoverTries = 3;
constexpr std::size_t HandoverPartBytes = 1U << 20U;
constexpr std::size_t HandoverPartRows = 2000;

} // namespace

asio::awaitable<HttpResponse> Entry::serveControl(HttpRequest Request) {
  const SnapshotMember *Member = findMember(Request.m_PeerIp);
  if (Member == nullptr && Request.m_PeerIp != m_Ip) {
    m_Frame.m_Metrics.countRefusal(ErrorKind::PeerNotAllowed, "");
    co_return errorResponse(ErrorKind::PeerNotAllowed);
  }
  if (!Request.header(GrantHeader).empty())
    co_return co_await serveForwarded(std::move(Request));
  if (Request.path() != "/rpc")
    co_return errorResponse(ErrorKind::BadRequest, "takes /rpc");
  co_return jsonResponse(200, m_Rpc.handle(Request.m_Body, Request.m_PeerIp));
}

void Entry::bindMethods() {
  m_Rpc.addMethod(
      "snapshot.put", [this](const Json::Value &Params, const std::string &Ip) {
        if (Ip != m_Ip)
          throw Json::RuntimeError("snapshots come from this VM only");
        Snapshot Taken = readSnapshot(Params[0]);
        if (Taken.m_SectionsOmitted && Taken.m_Revision != m_Config.m_Revision)
          return needWhole();
        takeSnapshot(Taken);
        m_SnapshotHash = Params[1].asString();
        return toJson(report());
      });
  m_Rpc.addMethod("snapshot.keep", [this](const Json::Value &Params,
                                          const std::string &Ip) {
    if (Ip != m_Ip)
      throw Json::RuntimeError("snapshots come from this VM only");
    Json::Value Json = toJson(report());
    Json["need"] = Params[0].asString() != m_SnapshotHash;
    return Json;
  });
  m_Rpc.addMethod("grant.ask",
                  [this](const Json::Value &Params, const std::string &Ip) {
                    return answerAsk(Params, Ip);
                  });
  m_Rpc.addMethod("grant.give",
                  [this](const Json::Value &Params, const std::string &Ip) {
                    Grant Given = readGrant(Params);
                    int Pool = m_Config.findPoolIndex(Params[4].asString());
                    if (Pool >= 0) {
                      m_Wallet.recordPushed(Ip, Pool, Given, now());
                      pump(Pool);
                    }
                    return Json::Value(Json::objectValue);
                  });
  m_Rpc.addMethod("keys.adopt",
                  [this](const Json::Value &Params, const std::string &) {
                    if (m_Leaving)
                      throw Json::RuntimeError("this VM is leaving too");
                    m_Keys.adopt(readKeyHandover(Params[0]));
                    return Json::Value(Json::objectValue);
                  });
}

EntryReport Entry::report() const {
  EntryReport Made;
  Made.m_Incarnation = m_Keys.self().m_Incarnation;
  Made.m_Revision = m_Config.m_Revision;
  Made.m_Leaving = m_Leaving;
  for (std::size_t I = 0; I < m_Pools.size(); ++I) {
    int Pool = static_cast<int>(I);
    int Free = m_Servers.freeSlots(Pool) - m_Desk.reservedSlots(Pool, now());
    Made.m_Pools.push_back({m_Pools[I].m_Name, m_Servers.openSlots(Pool),
                            std::max(Free, 0), m_Pools[I].m_Queue.waiting()});
  }
  for (const HomeId &Home : m_Keys.homes())
    if (!(Home == m_Keys.self()))
      Made.m_AdoptedHomes.push_back(formatHomeId(Home));
  return Made;
}

// Asks the agent for a snapshot with its sections.
Json::Value Entry::needWhole() const {
  Json::Value Json = toJson(report());
  Json["need"] = true;
  return Json;
}

void Entry::takeSnapshot(const Snapshot &Taken) {
  m_Snapshot = Taken;
  if (Taken.m_ConfigKnown && Taken.m_Revision > m_Config.m_Revision)
    applyConfig(Taken);
  // An entry process that serves goes on; one that has just started waits.
  m_ConfigKnown =
      m_ConfigKnown || (Taken.m_ConfigKnown && m_Config.m_Revision > 0);
  applyServers();
  for (std::size_t I = 0; I < m_Pools.size(); ++I)
    pump(static_cast<int>(I));
}

void Entry::applyConfig(const Snapshot &Taken) {
  ConfigCheck Check = checkConfig(Taken.m_Sections, Taken.m_Revision);
  if (!Check.m_Errors.empty()) {
    logEvent(Severity::Error, "config_rejected",
             {{"revision", std::to_string(Taken.m_Revision)}});
    m_Frame.m_Metrics.count("rhubarb_config_rejected_total");
    return;
  }
  Configuration Next = std::move(Check.m_Configuration);
  preserveIndexes(m_Config, Next);
  m_Config = std::move(Next);
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

// Works out which backend servers this process owns.
void Entry::applyServers() {
  std::map<std::string, std::vector<std::string>> Live;
  std::vector<std::string> LiveInRegion;
  std::map<std::string, int> SourcesByRegion;
  for (const SnapshotMember &Member : m_Snapshot.m_Members) {
    std::string Region(m_Config.regionOf(Member.m_Domain));
    ++SourcesByRegion[Region];
    if (Member.m_State != MemberState::Live && Member.m_Ip != m_Ip)
      continue;
    Live[Member.m_Domain].push_back(Member.m_Ip);
    if (Region == m_Region)
      LiveInRegion.push_back(Member.m_Ip);
  }
  std::erase_if(m_Draining, [&](const std::string &Address) {
    return std::none_of(
        m_Snapshot.m_Servers.begin(), m_Snapshot.m_Servers.end(),
        [&](const ListedServer &S) { return S.m_Address == Address; });
  });
  // The servers of each pool and failure domain are shared out by themselves.
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
    const auto &Own = Live[Domain];
    const auto &Members = Own.empty() ? LiveInRegion : Own;
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
                     m_Draining.contains(Address);
      int Slots =
          m_Config.m_Pools[static_cast<std::size_t>(Pool)].m_SlotsPerServer;
      Owned.push_back({Address, Pool, Slots, Leaving});
    }
  }
  m_Servers.update(Owned, now());
  for (const Link &Row : m_Config.m_Links) {
    if (Row.m_From != m_Region && Row.m_To != m_Region)
      continue;
    const std::string &Other = Row.m_From == m_Region ? Row.m_To : Row.m_From;
    auto [Found, Added] = m_Links.try_emplace(Other, LinkLimits{}, now());
    Found->second.setCap(Row.m_CapBytesPerSecond, SourcesByRegion[m_Region],
                         now());
  }
}

void Entry::markDraining(const std::string &Address) {
  if (m_Draining.insert(Address).second) {
    logEvent(Severity::Info, "server_draining", {{"server", Address}});
    applyServers();
  }
}

// Whether a live peer has servers of the pool, or has not said yet.
bool Entry::peerMayGrant(int Pool) const {
  const std::string &Name =
      m_Config.m_Pools[static_cast<std::size_t>(Pool)].m_Name;
  for (const SnapshotMember &Member : m_Snapshot.m_Members) {
    if (Member.m_Ip == m_Ip || Member.m_State != MemberState::Live)
      continue;
    auto Found = std::find_if(
        Member.m_Pools.begin(), Member.m_Pools.end(),
        [&](const PoolSummary &Summary) { return Summary.m_Pool == Name; });
    if (Found == Member.m_Pools.end() || Found->m_OpenSlots > 0)
      return true;
  }
  return false;
}

// Capacity is what the queue can fill: own slots and slots granted by others.
// A process without either counts one while a peer could grant some.
void Entry::updateCapacity(int Pool) {
  int Own = m_Servers.openSlots(Pool) - m_Desk.grantedSlots(Pool, now());
  int Held = 0;
  for (const GrantHolder::HeldGrant &Row : m_Wallet.rows())
    if (Row.m_Pool == Pool && now() < Row.m_ExpiresAt)
      Held += Row.m_Slots;
  int Capacity = std::max(Own, 0) + Held;
  if (Capacity == 0 && peerMayGrant(Pool))
    Capacity = 1;
  m_Pools[static_cast<std::size_t>(Pool)].m_Queue.setCapacity(Capacity);
}

Json::Value Entry::answerAsk(const Json::Value &Params,
                             const std::string &PeerIp) {
  std::string PoolName;
  GrantRequest Ask = readGrantAsk(Params, PoolName);
  Ask.m_Source = PeerIp;
  Ask.m_Pool = m_Config.findPoolIndex(PoolName);
  if (Ask.m_Pool < 0 || m_Leaving)
    return toJson(Grant{});
  const AdmissionQueue &Queue =
      m_Pools[static_cast<std::size_t>(Ask.m_Pool)].m_Queue;
  GrantPoolState Room;
  Room.m_FreeSlots = m_Servers.freeSlots(Ask.m_Pool);
  Room.m_Waiting = Queue.waiting();
  Room.m_FirstWaitingPriority =
      Queue.firstWaitingPriority().value_or(Priority::Batch);
  return toJson(m_Desk.issue(Ask, Room, now()));
}

void Entry::planAsks(int Pool) {
  const PoolRuntime &Runtime = m_Pools[static_cast<std::size_t>(Pool)];
  std::optional<Priority> First = Runtime.m_Queue.firstWaitingPriority();
  for (PlannedGrantRequest &Return : m_Wallet.planReturns(Pool, First, now()))
    spawn(m_Frame.m_Io, sendAsk(std::move(Return)));
  if (!First)
    return;
  int Reach = 0;
  for (const Profile &Row : m_Config.m_Profiles)
    if (Row.m_Priority == *First)
      Reach = std::max(Reach, static_cast<int>(Row.m_Reach));
  std::vector<GrantCandidate> Candidates;
  for (const SnapshotMember &Member : m_Snapshot.m_Members) {
    if (Member.m_Ip == m_Ip || Member.m_State != MemberState::Live ||
        distanceTo(Member) > Reach)
      continue;
    for (const PoolSummary &Summary : Member.m_Pools)
      if (Summary.m_Pool == Runtime.m_Name && Summary.m_OpenSlots > 0)
        Candidates.push_back(
            {Member.m_Ip, distanceTo(Member), Summary.m_FreeSlots});
  }
  int Wanted =
      Runtime.m_Queue.waiting() - m_Wallet.freeSlots(Pool, Reach, now());
  for (PlannedGrantRequest &Ask : m_Wallet.planRequests(
           Pool, *First, Wanted, Runtime.m_Queue.predictWait(*First),
           Candidates, now()))
    spawn(m_Frame.m_Io, sendAsk(std::move(Ask)));
}

asio::awaitable<void> Entry::sendAsk(PlannedGrantRequest Ask) {
  GrantRequest Message;
  Message.m_Source = m_Ip;
  Message.m_Pool = Ask.m_Pool;
  Message.m_Priority = Ask.m_Priority;
  Message.m_Slots = Ask.m_Slots;
  std::string PoolName =
      m_Config.m_Pools[static_cast<std::size_t>(Ask.m_Pool)].m_Name;
  Time AskedAt = now();
  Result<Json::Value> Got =
      co_await callRpc(m_Client, controlAddress(Ask.m_Peer), "grant.ask",
                       toJson(Message, PoolName), AskedAt + AskTimeout);
  try {
    if (Got)
      m_Wallet.recordResponse(Ask.m_Peer, Ask.m_Pool, readGrant(Got.value()),
                              AskedAt, now());
  } catch (const std::exception &Thrown) {
    logEvent(Severity::Warning, "grant_unreadable", {{"error", Thrown.what()}});
  }
  m_Wallet.recordFailure(Ask.m_Peer, Ask.m_Pool);
  m_Frame.m_Metrics.count("rhubarb_grant_asks_total");
  if (static_cast<std::size_t>(Ask.m_Pool) < m_Pools.size())
    pump(Ask.m_Pool);
}

// Sends a grant that the source has claimed. A lost one is spare capacity until
// its term ends.
asio::awaitable<void> Entry::sendGrant(PushedGrant Given, int Pool) {
  Json::Value Params = toJson(Given.m_Grant);
  Params.append(m_Config.m_Pools[static_cast<std::size_t>(Pool)].m_Name);
  Result<Json::Value> Taken =
      co_await callRpc(m_Client, controlAddress(Given.m_Source), "grant.give",
                       Params, now() + AskTimeout);
  if (!Taken)
    m_Frame.m_Metrics.count("rhubarb_grants_lost_total");
}

asio::awaitable<void> Entry::tickLoop() {
  while (!m_Stopped) {
    co_await sleepFor(TickInterval);
    Time Now = now();
    if (Now - m_LastTick > FreezeGap) {
      // Another process may own these servers by now: start over with one slot
      // each, as a new owner does.
      logEvent(Severity::Warning, "woke_after_freeze",
               {{"ms", std::to_string((Now - m_LastTick) /
                                      std::chrono::milliseconds(1))}});
      m_Servers.restartSlowStart(Now);
    }
    m_LastTick = Now;
    m_Servers.tick(Now);
    m_Desk.tick(Now);
    m_Client.closeExpiredConnections(Now);
    m_Keys.expire(unixMillis());
    for (std::size_t I = 0; I < m_Pools.size(); ++I) {
      int Pool = static_cast<int>(I);
      m_Pools[I].m_Queue.tick(Now);
      std::vector<RequestId> Late;
      m_Pools[I].m_Queue.expire(Now, [&](RequestId Id) { Late.push_back(Id); });
      for (RequestId Id : Late)
        finish(m_Pending.at(Id), makeErrorResponse(ErrorKind::DeadlinePassed));
      pump(Pool);
      planAsks(Pool);
    }
  }
}

// Reads the owned servers' own reports. Of these only the leaving is believed:
// load is known exactly, from the slots in use here. A reading that finds no
// listener tells of a dead server before a request does.
asio::awaitable<void> Entry::pollLoads() {
  Duration Interval = m_Frame.m_Settings.millis("entry.load_poll_ms");
  while (!m_Stopped) {
    co_await sleepFor(Interval);
    for (const BackendServer &Row : m_Servers.rows()) {
      if (!Row.m_Owned)
        continue;
      spawn(m_Frame.m_Io,
            [](Entry *Self, std::string Address,
               Duration Limit) -> asio::awaitable<void> {
              HttpRequest Request;
              Request.m_Target = LoadPath;
              HttpResult Got = co_await Self->m_Client.send(
                  Address, std::move(Request), now() + Limit);
              if (Got.m_Failure == HttpFailure::Connect ||
                  Got.m_Failure == HttpFailure::None)
                Self->m_Servers.setReachable(
                    Address, Got.m_Failure == HttpFailure::None, now());
              if (Got.m_Failure != HttpFailure::None)
                co_return;
              Result<Json::Value> Json = parseJson(Got.m_Response.m_Body);
              if (!Json || !Json.value().isObject() ||
                  !Json.value()["draining"].isBool())
                co_return;
              if (Json.value()["draining"].asBool())
                Self->markDraining(Address);
              else if (Self->m_Draining.erase(Address) > 0)
                Self->applyServers();
            }(this, Row.m_Listing.m_Address, Interval));
    }
  }
}

// Gives up the keys for good and hands them to one neighbour. Only that one is
// tried again: a second one could come to hold the right to run as well.
asio::awaitable<bool> Entry::handOverKeys() {
  std::string Chosen;
  int BestDistance = 3;
  for (const SnapshotMember &Member : m_Snapshot.m_Members)
    if (Member.m_Ip != m_Ip && Member.m_State == MemberState::Live &&
        Member.m_EntryIncarnation != 0 && distanceTo(Member) < BestDistance) {
      Chosen = Member.m_Ip;
      BestDistance = distanceTo(Member);
    }
  if (Chosen.empty())
    co_return false;
  co_return co_await handOverTo(Chosen, m_Keys.retire());
}

asio::awaitable<bool> Entry::handOverTo(std::string Vm, KeyHandover Whole) {
  std::size_t At = 0;
  bool Last = false;
  while (!Last) {
    KeyHandover Part;
    std::size_t Bytes = 0;
    while (At < Whole.m_Rows.size() && Bytes < HandoverPartBytes &&
           Part.m_Rows.size() < HandoverPartRows) {
      Bytes += Whole.m_Rows[At].m_Response->sizeInBytes();
      Part.m_Rows.push_back(Whole.m_Rows[At++]);
    }
    Last = At == Whole.m_Rows.size();
    if (Last)
      Part.m_Homes = Whole.m_Homes;
    Json::Value Params(Json::arrayValue);
    Params.append(toJson(Part));
    bool Taken = false;
    for (int Try = 0; Try < HandoverTries && !Taken; ++Try)
      Taken = static_cast<bool>(co_await callRpc(m_Client, controlAddress(Vm),
                                                 "keys.adopt", Params,
                                                 now() + HandoverTimeout));
    if (!Taken)
      co_return false;
  }
  // From now on this process passes keyed requests to the neighbour.
  for (SnapshotMember &Member : m_Snapshot.m_Members)
    if (Member.m_Ip == Vm)
      for (const HomeId &Home : Whole.m_Homes)
        Member.m_AdoptedHomes.push_back(formatHomeId(Home));
  co_return true;
}

} // namespace rhubarb::entry
