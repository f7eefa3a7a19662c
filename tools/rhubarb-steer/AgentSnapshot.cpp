// Pushes snapshots to the processes of this VM. A process that already has the
// current snapshot gets only its hash (snapshot.keep), which also serves as a
// heartbeat.
#include "Agent.h"

#include "net/Clock.h"
#include "net/Log.h"
#include "net/RpcCall.h"

namespace rhubarb::steer {
namespace {

constexpr Duration PushTimeout = 1s;

} // namespace

Snapshot Agent::makeSnapshot() const {
  Snapshot Current;
  Current.m_ConfigKnown = canServeConfig();
  Current.m_Revision = m_Revision;
  Current.m_Sections = m_Sections;
  for (const MemberRow &Row : m_Members.rows()) {
    const MemberReport &Report = Row.m_Report;
    Current.m_Members.push_back({Report.m_Vm, Report.m_Domain, Row.m_State,
                                 Report.m_EntryIncarnation,
                                 Report.m_AdoptedHomes, Report.m_Pools});
  }
  Current.m_Servers = m_Directory.m_Servers;
  return Current;
}

asio::awaitable<void> Agent::pushLoop(Consumer &Target) {
  Duration Interval = m_Daemon.m_Settings.millis("steer.push_ms");
  while (!m_Stopped) {
    co_await push(Target);
    co_await sleepFor(Interval);
  }
}

asio::awaitable<void> Agent::push(Consumer &Target) {
  Snapshot Current = makeSnapshot();
  Current.m_SectionsOmitted =
      m_Revision != 0 && Target.m_AcceptedRevision == m_Revision;
  if (Current.m_SectionsOmitted)
    Current.m_Sections.clear();
  Json::Value Encoded = toJson(Current);
  std::string Hash = std::to_string(stableHash(compactJson(Encoded)));
  bool Unchanged = Target.m_AcceptedHash == Hash;
  Json::Value Params(Json::arrayValue);
  if (!Unchanged)
    Params.append(std::move(Encoded));
  Params.append(Hash);
  Result<Json::Value> Response = co_await callRpc(
      m_Client, Target.m_Address, Unchanged ? "snapshot.keep" : "snapshot.put",
      std::move(Params), now() + PushTimeout);
  bool Accepted = Response && Response.value().isObject() &&
                  !Response.value()["need"].asBool();
  Target.m_AcceptedHash = Accepted ? Hash : "";
  Target.m_AcceptedRevision = Accepted ? Current.m_Revision : 0;
  if (Target.m_Up != static_cast<bool>(Response))
    logEvent(Severity::Info, Response ? "process_up" : "process_down",
             {{"process", Target.m_Name}});
  Target.m_Up = static_cast<bool>(Response);
  if (Accepted && Target.m_Name == "entry")
    handleEntryReport(Response.value());
}

void Agent::handleEntryReport(const Json::Value &Json) {
  try {
    bool WasServing = m_EntryReport.m_Revision > 0;
    bool WasLeaving = m_EntryReport.m_Leaving;
    m_EntryReport = readEntryReport(Json);
    m_EntryReportTime = now();
    // Reports at once that look-ups may now return this VM, or no longer may.
    if ((!WasServing && m_EntryReport.m_Revision > 0) ||
        (!WasLeaving && m_EntryReport.m_Leaving))
      sendHeartbeats();
  } catch (const std::exception &Exception) {
    logEvent(Severity::Warning, "entry_report_unreadable",
             {{"error", Exception.what()}});
  }
}

} // namespace rhubarb::steer
