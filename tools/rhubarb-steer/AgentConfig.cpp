// Distribution of the configuration. A few VMs of each failure domain
// (watchers) read it from the store, the others fetch it from neighbours. The
// highest revision wins, and a VM never goes back to a lower one.
#include "Agent.h"

#include "net/Clock.h"
#include "net/Log.h"
#include "net/RpcCall.h"

namespace rhubarb::steer {
namespace {

constexpr Duration RetryDelay = 500ms;
constexpr Duration RetryJitter = 500ms;
// Interval at which a VM that is not a watcher checks if it has become one.
constexpr Duration StandbyPollInterval = 1s;
constexpr Duration FetchTimeout = 2s;
constexpr std::size_t MaxRecentEdits = 64;
// A configuration from neighbours alone may be served this long after the
// start.
constexpr Duration OutageGrace = 3s;

std::string formatConfigError(const ConfigError &Error) {
  return "[" + Error.m_Section + "] " + Error.m_Key + " = '" + Error.m_Value +
         "' " + Error.m_Message;
}

} // namespace

asio::awaitable<void> Agent::watchConfig() {
  const Settings &Values = m_Daemon.m_Settings;
  int Watchers = static_cast<int>(Values.number("steer.watchers"));
  Random Generator(stableHash(m_Ip));
  std::uint64_t WatchIndex = 0;
  while (!m_Stopped) {
    // Every VM reads the configuration once after its start; from then on only
    // watchers do.
    if (m_ConfigReadFromStore && !m_Members.watchesStore(Watchers)) {
      WatchIndex = 0;
      co_await sleepFor(StandbyPollInterval);
      continue;
    }
    Result<LoadedConfig> Head = co_await loadHead(
        m_Store, WatchIndex, Values.millis("steer.store_wait_ms"));
    bool Loaded = static_cast<bool>(Head);
    if (Loaded && Head.value().m_Head.m_Revision > m_NewestRevision) {
      Head = co_await loadSections(m_Store, Head.value());
      Loaded = static_cast<bool>(Head);
    }
    if (!Loaded) {
      WatchIndex = 0;
      m_Daemon.m_Metrics.count("rhubarb_store_failures_total");
      logEvent(Severity::Info, "store_failed",
               {{"error", Head.error().m_Message}});
      co_await sleepFor(RetryDelay + RetryJitter * Generator.below(100) / 100);
      continue;
    }
    m_LastStoreRead = now();
    WatchIndex = Head.value().m_WatchIndex;
    if (Head.value().m_Head.m_Revision < m_NewestRevision) {
      logEvent(Severity::Warning, "store_went_back",
               {{"stored", std::to_string(Head.value().m_Head.m_Revision)},
                {"kept", std::to_string(m_NewestRevision)}});
      co_await sleepFor(RetryDelay);
    }
    applyHead(Head.value());
    m_ConfigReadFromStore = true;
  }
}

void Agent::applyHead(const LoadedConfig &Loaded) {
  if (Loaded.m_Head.m_Revision <= m_NewestRevision)
    return;
  applyConfig(Loaded.m_Head.m_Revision, Loaded.m_Sections);
  m_RecentEdits.clear();
  recordEdits(Loaded.m_Head.m_Edits);
}

void Agent::recordEdits(const std::vector<ConfigEdit> &Edits) {
  for (const ConfigEdit &Edit : Edits) {
    bool Follows = m_RecentEdits.empty() ||
                   Edit.m_Revision == m_RecentEdits.back().m_Revision + 1;
    // An edit without changes has them only in a checkpoint. It and all earlier
    // edits cannot be part of a complete sequence.
    if (Edit.m_Changes.empty() || !Follows)
      m_RecentEdits.clear();
    if (!Edit.m_Changes.empty() && Edit.m_Revision <= m_NewestRevision)
      m_RecentEdits.push_back(Edit);
  }
  while (m_RecentEdits.size() > MaxRecentEdits)
    m_RecentEdits.erase(m_RecentEdits.begin());
}

bool Agent::applyEdits(const std::vector<ConfigEdit> &Edits) {
  if (Edits.empty() || Edits.front().m_Revision != m_NewestRevision + 1)
    return false;
  ConfigSections Next = m_NewestSections;
  std::uint64_t Revision = m_NewestRevision;
  for (const ConfigEdit &Edit : Edits) {
    if (Edit.m_Revision != Revision + 1)
      return false;
    applyChanges(Next, Edit.m_Changes);
    Revision = Edit.m_Revision;
  }
  applyConfig(Revision, std::move(Next));
  recordEdits(Edits);
  return true;
}

void Agent::applyConfig(std::uint64_t Revision, ConfigSections Sections) {
  if (Revision <= m_NewestRevision)
    return;
  m_NewestRevision = Revision;
  m_NewestSections = std::move(Sections);
  m_HighestKnownRevision = std::max(m_HighestKnownRevision, Revision);
  ConfigCheck Check = checkConfig(m_NewestSections, Revision);
  if (!Check.m_Errors.empty()) {
    m_RejectedRevision = Revision;
    m_Daemon.m_Metrics.count("rhubarb_config_rejected_total");
    for (const ConfigError &Error : Check.m_Errors)
      logEvent(Severity::Error, "config_rejected",
               {{"revision", std::to_string(Revision)},
                {"fault", formatConfigError(Error)}});
    return;
  }
  m_Revision = Revision;
  m_Sections = m_NewestSections;
  m_ConfigKnown = true;
  // Neighbours learn of the revision now instead of in the next round.
  sendHeartbeats();
  logEvent(Severity::Info, "config_in_force",
           {{"revision", std::to_string(Revision)}});
}

bool Agent::canServeConfig() const {
  if (!m_ConfigKnown)
    return false;
  bool SourcesChecked =
      m_ConfigReadFromStore || now() - m_StartedAt >= OutageGrace;
  return SourcesChecked && m_NewestRevision >= m_HighestKnownRevision;
}

Json::Value Agent::configUpdateSince(std::uint64_t Since) const {
  Json::Value Update;
  Update["schema"] = SchemaVersion;
  Update["revision"] = static_cast<Json::UInt64>(m_NewestRevision);
  if (m_NewestRevision <= Since)
    return Update;
  std::vector<ConfigEdit> MissingEdits;
  for (const ConfigEdit &Edit : m_RecentEdits)
    if (Edit.m_Revision > Since)
      MissingEdits.push_back(Edit);
  bool Complete = !MissingEdits.empty() &&
                  MissingEdits.front().m_Revision == Since + 1 &&
                  MissingEdits.back().m_Revision == m_NewestRevision;
  if (Complete)
    Update["edits"] = toJson(MissingEdits);
  else
    Update["sections"] = toJson(m_NewestSections);
  return Update;
}

asio::awaitable<void> Agent::fetchConfigFrom(std::string Vm) {
  m_FetchingConfig = true;
  Json::Value Params(Json::arrayValue);
  Params.append(static_cast<Json::UInt64>(m_NewestRevision));
  Result<Json::Value> Response = co_await callRpc(
      m_Client, Vm + ":" + std::to_string(m_Port), "config.fetch", Params,
      now() + FetchTimeout, longResponseOptions());
  m_FetchingConfig = false;
  if (!Response) {
    logEvent(Severity::Info, "config_fetch_failed", {{"from", Vm}});
    co_return;
  }
  try {
    const Json::Value &Update = Response.value();
    if (!Update.isObject())
      co_return;
    if (Update.isMember("edits"))
      applyEdits(readEdits(Update["edits"]));
    else if (Update.isMember("sections"))
      applyConfig(Update["revision"].asUInt64(),
                  readSections(Update["sections"]));
  } catch (const std::exception &Exception) {
    logEvent(Severity::Warning, "config_fetch_unreadable",
             {{"from", Vm}, {"error", Exception.what()}});
  }
}

} // namespace rhubarb::steer
