// Snapshots to the processes of this VM. A consumer that already has the newest
// one gets a short sign of life instead.
#include "Agent.h"

#include "net/Clock.h"
#include "net/Log.h"
#include "net/RpcCall.h"

namespace rhubarb::steer {
namespace {

constexpr Duration PushTimeout = 1s;

} // namespace

Snapshot Agent::makeSnapshot() const {
  Snapshot Made;
  Made.m_ConfigKnown = mayServe();
  Made.m_Revision = m_Revision;
  Made.m_Sections = m_Sections;
  for (const MemberRow &Row : m_Members.rows()) {
    const MemberReport &Report = Row.m_Report;
    Made.m_Members.push_back({Report.m_Vm, Report.m_Domain, Row.m_State,
                              Report.m_EntryIncarnation, Report.m_AdoptedHomes,
                              Report.m_Pools});
  }
  Made.m_Servers = m_Directory.m_Servers;
  return Made;
}

asio::awaitable<void> Agent::pushLoop(Consumer &Target) {
  Duration Interval = m_Frame.m_Settings.millis("steer.push_ms");
  while (!m_Stopped) {
    co_await push(Target);
    co_await sleepFor(Interval);
  }
}

asio::awaitable<void> Agent::push(Consumer &Target) {
  Snapshot Made = makeSnapshot();
  Made.m_SectionsOmitted =
      m_Revision != 0 && Target.m_TakenRevision == m_Revision;
  if (Made.m_SectionsOmitted)
    Made.m_Sections.clear();
  Json::Value Whole = toJson(Made);
  std::string Hash = std::to_string(stableHash(compactJson(Whole)));
  bool Known = Target.m_PushedHash == Hash;
  Json::Value Params(Json::arrayValue);
  if (!Known)
    Params.append(std::move(Whole));
  Params.append(Hash);
  Result<Json::Value> Got = co_await callRpc(
      m_Client, Target.m_Address, Known ? "snapshot.keep" : "snapshot.put",
      std::move(Params), now() + PushTimeout);
  bool Taken = Got && Got.value().isObject() && !Got.value()["need"].asBool();
  Target.m_PushedHash = Taken ? Hash : "";
  Target.m_TakenRevision = Taken ? Made.m_Revision : 0;
  if (Target.m_Up != static_cast<bool>(Got))
    logEvent(Severity::Info, Got ? "process_up" : "process_down",
             {{"process", Target.m_Name}});
  Target.m_Up = static_cast<bool>(Got);
  if (Taken && Target.m_Name == "entry")
    takeEntryReport(Got.value());
}

void Agent::takeEntryReport(const Json::Value &Json) {
  try {
    bool Served = m_Entry.m_Revision > 0;
    bool Left = m_Entry.m_Leaving;
    m_Entry = readEntryReport(Json);
    m_EntryHeard = now();
    // Look-ups everywhere may name this VM, or no longer: say so at once.
    if ((!Served && m_Entry.m_Revision > 0) || (!Left && m_Entry.m_Leaving))
      sendHeartbeats();
  } catch (const std::exception &Thrown) {
    logEvent(Severity::Warning, "entry_report_unreadable",
             {{"error", Thrown.what()}});
  }
}

} // namespace rhubarb::steer
