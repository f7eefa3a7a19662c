#include "rhubarb/Suspects.h"

#include <algorithm>
#include <utility>

namespace rhubarb {
namespace {

constexpr int TimesTold = 3; // Messages may get lost.
// A message's age does not include the time that it has taken.
constexpr Duration MaxMessageDelay = 60ms;
constexpr std::size_t MaxServersKept = 16;

} // namespace

SuspectAction CrashSuspects::decide(std::uint64_t Request, Time Now) {
  auto Found = m_Rows.find(Request);
  if (Found == m_Rows.end() || Found->second.m_Crashes == 0)
    return SuspectAction::Allow;
  Found->second.m_SeenAt = Now;
  if (isConvicted(Found->second))
    return SuspectAction::Refuse;
  return m_InFlight.contains(Request) ? SuspectAction::RefuseForNow
                                      : SuspectAction::Allow;
}

int CrashSuspects::crashes(std::uint64_t Request) const {
  auto Found = m_Rows.find(Request);
  return Found == m_Rows.end() ? 0 : Found->second.m_Crashes;
}

void CrashSuspects::ended(std::uint64_t Request) {
  auto Found = m_InFlight.find(Request);
  if (Found != m_InFlight.end() && --Found->second <= 0)
    m_InFlight.erase(Found);
}

void CrashSuspects::setCrashes(Row &Suspect, int Crashes) {
  bool Before = isConvicted(Suspect);
  Suspect.m_Crashes = Crashes;
  bool After = isConvicted(Suspect);
  if (After && !Before)
    ++m_Convicted;
  else if (Before && !After)
    --m_Convicted;
}

void CrashSuspects::markUntold(Row &Suspect) {
  // After many servers have crashed at once, most requests are suspected once
  // and cleared by their next run.
  Suspect.m_Untold = Suspect.m_Crashes > 1 ? TimesTold : 1;
  Suspect.m_NewlyUntold = true;
}

// A full table drops the row that was seen longest ago, convicted ones last.
CrashSuspects::Row &CrashSuspects::rowFor(std::uint64_t Request, Time SeenAt) {
  auto Found = m_Rows.find(Request);
  if (Found == m_Rows.end()) {
    if (m_Rows.size() >= m_Limits.m_MaxRows) {
      auto Oldest = std::min_element(
          m_Rows.begin(), m_Rows.end(), [&](const auto &A, const auto &B) {
            return std::pair(isConvicted(A.second), A.second.m_SeenAt) <
                   std::pair(isConvicted(B.second), B.second.m_SeenAt);
          });
      setCrashes(Oldest->second, 0);
      m_Rows.erase(Oldest);
    }
    Found = m_Rows.try_emplace(Request).first;
  }
  Found->second.m_SeenAt = std::max(Found->second.m_SeenAt, SeenAt);
  return Found->second;
}

void CrashSuspects::addServer(Row &Suspect, std::uint64_t Server) const {
  if (Server != 0 && Suspect.m_Servers.size() < MaxServersKept)
    Suspect.m_Servers.insert(Server);
}

std::size_t CrashSuspects::servers(std::uint64_t Request) const {
  auto Found = m_Rows.find(Request);
  return Found == m_Rows.end() ? 0 : Found->second.m_Servers.size();
}

// Of two requests that a crash would convict, the one that was in flight at
// more crashes caused it.
void CrashSuspects::explainCrash(std::uint64_t Server, std::uint64_t Request,
                                 int Crashes, Time CrashedAt) {
  CrashCause &Cause = m_Causes[Server];
  bool Tied = Cause.m_Crashes == Crashes && Cause.m_Request != Request &&
              Crashes >= m_Limits.m_MaxCrashes;
  if (Tied) {
    std::size_t FirstServers = servers(Cause.m_Request);
    std::size_t SecondServers = servers(Request);
    Cause.m_Tied = FirstServers == SecondServers;
    if (SecondServers > FirstServers)
      Cause.m_Request = Request;
    retract(Server, Crashes + 1, Cause.m_Tied ? 0 : Cause.m_Request);
    return;
  }
  if (Cause.m_Crashes >= Crashes)
    return;
  Cause = {Request, Crashes, CrashedAt};
  retract(Server, Crashes, Request);
}

// Takes back what other requests were charged with for a crash, if their count
// is lower.
void CrashSuspects::retract(std::uint64_t Server, int Crashes,
                            std::uint64_t Except) {
  for (auto &[Other, Suspect] : m_Rows)
    if (Other != Except && Suspect.m_LastServer == Server &&
        Suspect.m_Crashes > 0 && Suspect.m_Crashes < Crashes) {
      setCrashes(Suspect, Suspect.m_CrashesBefore);
      Suspect.m_LastServer = 0;
    }
}

bool CrashSuspects::isExplained(std::uint64_t Server, std::uint64_t Request,
                                int Crashes) const {
  auto Cause = m_Causes.find(Server);
  if (Cause == m_Causes.end())
    return false;
  if (Cause->second.m_Tied && Cause->second.m_Crashes == Crashes)
    return true;
  return Cause->second.m_Request != Request &&
         Cause->second.m_Crashes > Crashes;
}

std::vector<std::uint64_t>
CrashSuspects::recordCrash(const std::string &Server,
                           const std::vector<CutAttempt> &Cut, Time CrashedAt) {
  std::uint64_t ServerHash = stableHash(Server);
  int MostCrashes = 0;
  for (const CutAttempt &Each : Cut)
    MostCrashes = std::max(MostCrashes, crashes(Each.m_Request));
  std::vector<std::uint64_t> Risen;
  for (const CutAttempt &Each : Cut) {
    int Before = crashes(Each.m_Request);
    if (Before < MostCrashes ||
        isExplained(ServerHash, Each.m_Request, Before + 1))
      continue;
    Row &Suspect = rowFor(Each.m_Request, CrashedAt);
    addServer(Suspect, ServerHash);
    // Attempts that were in flight at the same time count once: a request
    // that many callers send may be in flight at all servers that fail at once.
    if (Before > 0 && Each.m_SentAt < Suspect.m_LastCrashAt) {
      explainCrash(ServerHash, Each.m_Request, Before + 1, CrashedAt);
      m_Uncounted.push_back(
          {{Each.m_Request, Before, CrashedAt, ServerHash, CrashedAt, true},
           TimesTold});
      continue;
    }
    Suspect.m_CrashesBefore = Before;
    setCrashes(Suspect, Before + 1);
    Suspect.m_LastCrashAt = CrashedAt;
    Suspect.m_LastServer = ServerHash;
    markUntold(Suspect);
    Risen.push_back(Each.m_Request);
  }
  for (std::uint64_t Request : Risen)
    explainCrash(ServerHash, Request, MostCrashes + 1, CrashedAt);
  std::erase_if(Risen, [&](std::uint64_t Request) {
    return crashes(Request) <= MostCrashes;
  });
  return Risen;
}

bool CrashSuspects::recordRun(std::uint64_t Request, Time Now) {
  auto Found = m_Rows.find(Request);
  if (Found == m_Rows.end() || Found->second.m_Crashes == 0)
    return false;
  setCrashes(Found->second, 0);
  Found->second.m_Servers.clear();
  Found->second.m_ClearedAt = Now;
  markUntold(Found->second);
  return true;
}

bool CrashSuspects::apply(const SuspectUpdate &Update) {
  if (Update.m_Crashes == 0) {
    auto Found = m_Rows.find(Update.m_Request);
    if (Found == m_Rows.end() || Found->second.m_LastCrashAt > Update.m_At)
      return false;
    Found->second.m_ClearedAt = Update.m_At;
    bool Changed = Found->second.m_Crashes > 0;
    setCrashes(Found->second, 0);
    Found->second.m_Servers.clear();
    return Changed;
  }
  int Before = crashes(Update.m_Request);
  Row &Suspect = rowFor(Update.m_Request, Update.m_SeenAt);
  if (Update.m_At <= Suspect.m_ClearedAt ||
      isExplained(Update.m_Server, Update.m_Request, Update.m_Crashes))
    return false;
  if (Update.m_Crashes > Before) {
    Suspect.m_CrashesBefore = Update.m_Crashes - 1;
    Suspect.m_LastServer = Update.m_Uncounted ? 0 : Update.m_Server;
    setCrashes(Suspect, Update.m_Crashes);
  }
  addServer(Suspect, Update.m_Server);
  explainCrash(Update.m_Server, Update.m_Request,
               Update.m_Crashes + (Update.m_Uncounted ? 1 : 0), Update.m_At);
  Suspect.m_LastCrashAt =
      std::max(Suspect.m_LastCrashAt, Update.m_At - MaxMessageDelay);
  return Update.m_Crashes > Before;
}

std::vector<SuspectUpdate> CrashSuspects::takeUpdates(bool Repeat) {
  std::vector<SuspectUpdate> Updates;
  for (auto &[Request, Suspect] : m_Rows) {
    bool New = std::exchange(Suspect.m_NewlyUntold, false);
    if (Suspect.m_Untold == 0 || (!Repeat && !New))
      continue;
    --Suspect.m_Untold;
    Updates.push_back(
        {Request, Suspect.m_Crashes,
         Suspect.m_Crashes > 0 ? Suspect.m_LastCrashAt : Suspect.m_ClearedAt,
         Suspect.m_LastServer, Suspect.m_SeenAt});
  }
  for (auto &[Update, Untold] : m_Uncounted)
    if (Repeat || Untold == TimesTold) {
      --Untold;
      Updates.push_back(Update);
    }
  std::erase_if(m_Uncounted, [](const auto &Item) { return Item.second == 0; });
  return Updates;
}

void CrashSuspects::repeatConvicted(std::size_t MaxRows, Time Now) {
  if (m_Convicted == 0)
    return;
  // What ends soon is not told any more, so that it ends at all VMs.
  Duration ToldFor = m_Limits.m_ConvictedFor - m_Limits.m_ClearedFor;
  auto Next = m_Rows.upper_bound(m_LastRepeated);
  for (std::size_t Seen = 0; Seen < m_Rows.size() && MaxRows > 0; ++Seen) {
    if (Next == m_Rows.end())
      Next = m_Rows.begin();
    if (isConvicted(Next->second) &&
        Now - Next->second.m_LastCrashAt < ToldFor) {
      Next->second.m_Untold = std::max(Next->second.m_Untold, 1);
      --MaxRows;
    }
    m_LastRepeated = Next->first;
    ++Next;
  }
}

void CrashSuspects::tick(Time Now) {
  std::erase_if(m_Causes, [&](const auto &Item) {
    return Now - Item.second.m_CrashedAt > m_Limits.m_SuspectedFor;
  });
  for (auto Each = m_Rows.begin(); Each != m_Rows.end();) {
    Row &Suspect = Each->second;
    if (isConvicted(Suspect)) {
      if (Now - Suspect.m_LastCrashAt > m_Limits.m_ConvictedFor)
        setCrashes(Suspect, m_Limits.m_MaxCrashes - 1);
      ++Each;
      continue;
    }
    Duration Kept =
        Suspect.m_Crashes > 0 ? m_Limits.m_SuspectedFor : m_Limits.m_ClearedFor;
    if (Now - Suspect.m_SeenAt > Kept)
      Each = m_Rows.erase(Each);
    else
      ++Each;
  }
}

} // namespace rhubarb
