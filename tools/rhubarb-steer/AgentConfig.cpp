// Configuration: from the store by a few VMs of each failure domain, from
// neighbours by the others. The newest revision wins; never back.
#include "Agent.h"

#include "net/Clock.h"
#include "net/Log.h"
#include "net/RpcCall.h"

namespace rhubarb::steer {
namespace {

constexpr Duration RetryPause = 500ms;
constexpr Duration RetryPauseSpread = 500ms;
constexpr Duration StandbyPoll = 1s; // How often a non-watcher checks its role.
constexpr Duration FetchTimeout = 2s;
constexpr std::size_t MaxRecentEdits = 64;
constexpr Duration OutageGrace = 3s; // Then neighbours alone suffice.

std::string faultText(const ConfigError &Found) {
  return "[" + Found.m_Section + "] " + Found.m_Key + " = '" + Found.m_Value +
         "' " + Found.m_Message;
}

} // namespace

asio::awaitable<void> Agent::watchConfig() {
  const Settings &Values = m_Frame.m_Settings;
  int Watchers = static_cast<int>(Values.number("steer.watchers"));
  Random Jitter(stableHash(m_Ip));
  std::uint64_t WatchIndex = 0;
  while (!m_Stopped) {
    // Every VM reads once at its start; then only the watchers do.
    if (m_StoreAnswered && !m_Members.watchesStore(Watchers)) {
      WatchIndex = 0;
      co_await sleepFor(StandbyPoll);
      continue;
    }
    Result<LoadedConfig> Head = co_await loadHead(
        m_Store, WatchIndex, Values.millis("steer.store_wait_ms"));
    bool Loaded = static_cast<bool>(Head);
    if (Loaded && Head.value().m_Head.m_Revision > m_SeenRevision) {
      Head = co_await loadSections(m_Store, Head.value());
      Loaded = static_cast<bool>(Head);
    }
    if (!Loaded) {
      WatchIndex = 0;
      m_Frame.m_Metrics.count("rhubarb_store_failures_total");
      logEvent(Severity::Info, "store_failed",
               {{"error", Head.error().m_Message}});
      co_await sleepFor(RetryPause +
                        RetryPauseSpread * Jitter.below(100) / 100);
      continue;
    }
    m_StoreHeard = now();
    WatchIndex = Head.value().m_WatchIndex;
    if (Head.value().m_Head.m_Revision < m_SeenRevision) {
      logEvent(Severity::Warning, "store_went_back",
               {{"stored", std::to_string(Head.value().m_Head.m_Revision)},
                {"kept", std::to_string(m_SeenRevision)}});
      co_await sleepFor(RetryPause);
    }
    takeHead(Head.value());
    m_StoreAnswered = true;
  }
}

void Agent::takeHead(const LoadedConfig &Loaded) {
  if (Loaded.m_Head.m_Revision <= m_SeenRevision)
    return;
  putInForce(Loaded.m_Head.m_Revision, Loaded.m_Sections);
  m_Recent.clear();
  rememberEdits(Loaded.m_Head.m_Edits);
}

// Keeps edits in order, so that neighbours can be served with what they lack.
void Agent::rememberEdits(const std::vector<ConfigEdit> &Edits) {
  for (const ConfigEdit &Edit : Edits) {
    bool Follows =
        m_Recent.empty() || Edit.m_Revision == m_Recent.back().m_Revision + 1;
    // An edit whose changes only stand in a checkpoint ends the chain.
    if (Edit.m_Changes.empty() || !Follows)
      m_Recent.clear();
    if (!Edit.m_Changes.empty() && Edit.m_Revision <= m_SeenRevision)
      m_Recent.push_back(Edit);
  }
  while (m_Recent.size() > MaxRecentEdits)
    m_Recent.erase(m_Recent.begin());
}

// Applies edits that follow the newest revision known here, without a gap.
bool Agent::applyRecent(const std::vector<ConfigEdit> &Edits) {
  if (Edits.empty() || Edits.front().m_Revision != m_SeenRevision + 1)
    return false;
  ConfigSections Next = m_SeenSections;
  std::uint64_t Revision = m_SeenRevision;
  for (const ConfigEdit &Edit : Edits) {
    if (Edit.m_Revision != Revision + 1)
      return false;
    applyChanges(Next, Edit.m_Changes);
    Revision = Edit.m_Revision;
  }
  putInForce(Revision, std::move(Next));
  rememberEdits(Edits);
  return true;
}

// Takes the newest document. One that does not check is skipped: the last good
// one stays in force, and the next edit is applied on top of the newest.
void Agent::putInForce(std::uint64_t Revision, ConfigSections Sections) {
  if (Revision <= m_SeenRevision)
    return;
  m_SeenRevision = Revision;
  m_SeenSections = std::move(Sections);
  m_HighestHeard = std::max(m_HighestHeard, Revision);
  ConfigCheck Check = checkConfig(m_SeenSections, Revision);
  if (!Check.m_Errors.empty()) {
    m_RejectedRevision = Revision;
    m_Frame.m_Metrics.count("rhubarb_config_rejected_total");
    for (const ConfigError &Found : Check.m_Errors)
      logEvent(Severity::Error, "config_rejected",
               {{"revision", std::to_string(Revision)},
                {"fault", faultText(Found)}});
    return;
  }
  m_Revision = Revision;
  m_Sections = m_SeenSections;
  m_ConfigKnown = true;
  sendHeartbeats(); // Neighbours fetch it now, not in the next round.
  logEvent(Severity::Info, "config_in_force",
           {{"revision", std::to_string(Revision)}});
}

// A VM serves once it has the highest revision that it could see: from the
// store, or during an outage from its neighbours.
bool Agent::mayServe() const {
  if (!m_ConfigKnown)
    return false;
  bool Sure = m_StoreAnswered || now() - m_Started >= OutageGrace;
  return Sure && m_SeenRevision >= m_HighestHeard;
}

// Answers with the edits after Since when all of them are kept, else with the
// whole document.
Json::Value Agent::serveConfig(std::uint64_t Since) const {
  Json::Value Json;
  Json["schema"] = SchemaVersion;
  Json["revision"] = static_cast<Json::UInt64>(m_SeenRevision);
  if (m_SeenRevision <= Since)
    return Json;
  std::vector<ConfigEdit> Lacking;
  for (const ConfigEdit &Edit : m_Recent)
    if (Edit.m_Revision > Since)
      Lacking.push_back(Edit);
  bool Complete = !Lacking.empty() && Lacking.front().m_Revision == Since + 1 &&
                  Lacking.back().m_Revision == m_SeenRevision;
  if (Complete)
    Json["edits"] = toJson(Lacking);
  else
    Json["sections"] = toJson(m_SeenSections);
  return Json;
}

asio::awaitable<void> Agent::fetchConfigFrom(std::string Vm) {
  m_FetchingConfig = true;
  Json::Value Params(Json::arrayValue);
  Params.append(static_cast<Json::UInt64>(m_SeenRevision));
  Result<Json::Value> Got =
      co_await callRpc(m_Client, Vm + ":" + std::to_string(m_Port),
                       "config.fetch", Params, now() + FetchTimeout);
  m_FetchingConfig = false;
  if (!Got) {
    logEvent(Severity::Info, "config_fetch_failed", {{"from", Vm}});
    co_return;
  }
  try {
    const Json::Value &Json = Got.value();
    if (!Json.isObject())
      co_return;
    if (Json.isMember("edits"))
      applyRecent(readEdits(Json["edits"]));
    else if (Json.isMember("sections"))
      putInForce(Json["revision"].asUInt64(), readSections(Json["sections"]));
  } catch (const std::exception &Thrown) {
    logEvent(Severity::Warning, "config_fetch_unreadable",
             {{"from", Vm}, {"error", Thrown.what()}});
  }
}

} // namespace rhubarb::steer
