#include "rhubarb/Evacuations.h"

#include <algorithm>

namespace rhubarb {
namespace {

// Operators write again within this time what a restored store has lost.
constexpr Duration RewriteTime = 3s;

} // namespace

void EvacuationTable::replace(
    const std::map<std::string, StorePosition> &Listed, StorePosition Position,
    const std::set<std::string> &Known, StorePosition KnownAt, Time Now) {
  bool Restored = !KnownAt.isNone() && Position.m_Era > KnownAt.m_Era;
  if (Restored)
    m_KeptUntil = Now + RewriteTime;
  bool Keeps = Restored || (Now < m_KeptUntil && !m_Kept.empty());
  std::map<std::string, bool> Kept;
  std::set<std::string> Domains;
  for (const auto &[Domain, WrittenAt] : Listed) {
    // Such an evacuation was read before, and its end as well.
    bool Ended = Restored && !Known.contains(Domain) &&
                 WrittenAt.m_Revision <= KnownAt.m_Revision;
    bool StillKept = !Restored && Keeps && m_Kept.contains(Domain) &&
                     !m_Domains.contains(Domain);
    if (Ended || StillKept)
      Kept[Domain] = true;
    else
      Domains.insert(Domain);
    m_LastChange = std::max(m_LastChange, WrittenAt);
  }
  for (const std::string &Domain : Restored ? Known : m_Domains) {
    if (Listed.contains(Domain))
      continue;
    if (Restored || (Keeps && m_Kept.contains(Domain))) {
      Kept[Domain] = false;
      Domains.insert(Domain);
    }
  }
  // A whole read shows removals only by what is missing from it. Other VMs take
  // over only what has changed later than what they know.
  if (Restored || (!m_ReadAt.isNone() && Domains != m_Domains))
    m_LastChange = std::max(m_LastChange, Position);
  m_Domains = std::move(Domains);
  m_Kept = std::move(Kept);
  m_ReadAt = std::max(m_ReadAt, Position);
}

void EvacuationTable::set(const std::string &Domain, bool Evacuated,
                          StorePosition Position) {
  m_Kept.erase(Domain);
  if (Evacuated)
    m_Domains.insert(Domain);
  else
    m_Domains.erase(Domain);
  m_LastChange = std::max(m_LastChange, Position);
  m_ReadAt = std::max(m_ReadAt, Position);
}

bool EvacuationTable::tick(Time Now) {
  if (m_Kept.empty() || Now < m_KeptUntil)
    return false;
  for (const auto &[Domain, Evacuated] : m_Kept) {
    if (Evacuated)
      m_Domains.insert(Domain);
    else
      m_Domains.erase(Domain);
  }
  m_Kept.clear();
  m_LastChange = std::max(m_LastChange, m_ReadAt);
  return true;
}

} // namespace rhubarb
