#include "rhubarb/Evacuations.h"

#include <algorithm>

namespace rhubarb {
namespace {

// Operators write again within this time what a restored store has lost.
constexpr Duration RewriteTime = 3s;
// VMs that hear of different evacuations at one position for longer read them
// from the store.
constexpr Duration DifferTime = 500ms;

} // namespace

void EvacuationTable::replace(
    const std::map<std::string, StorePosition> &Listed, StorePosition Position,
    const std::set<std::string> &Known, StorePosition KnownAt, Time EraSeenAt,
    Time Now) {
  bool Restored = !KnownAt.isNone() &&
                  Position.m_Era > std::min(KnownAt.m_Era, m_ReadEra) &&
                  Now < EraSeenAt + RewriteTime;
  m_ReadEra = Position.m_Era;
  if (Restored)
    m_KeptUntil = EraSeenAt + RewriteTime;
  bool Keeps = Restored || (Now < m_KeptUntil && !m_Kept.empty());
  std::map<std::string, bool> Kept;
  std::set<std::string> Domains;
  for (const auto &[Domain, WrittenAt] : Listed) {
    // Such an evacuation was read before, and its end as well.
    bool Ended = Restored && !Known.contains(Domain) &&
                 WrittenAt.m_Revision <= KnownAt.m_Revision;
    bool StillKept = !Restored && Keeps && m_Kept.contains(Domain) &&
                     !m_Domains.contains(Domain) && WrittenAt <= m_LastChange;
    if (Ended || StillKept)
      Kept[Domain] = true;
    else
      Domains.insert(Domain);
  }
  for (const std::string &Domain : Restored ? Known : m_Domains) {
    if (Listed.contains(Domain))
      continue;
    if (Restored || (Keeps && m_Kept.contains(Domain))) {
      Kept[Domain] = false;
      Domains.insert(Domain);
    }
  }
  m_LastChange = std::max(m_LastChange, Position);
  m_Domains = std::move(Domains);
  m_Kept = std::move(Kept);
}

void EvacuationTable::set(const std::string &Domain, bool Evacuated,
                          StorePosition Position) {
  m_Kept.erase(Domain);
  if (Evacuated)
    m_Domains.insert(Domain);
  else
    m_Domains.erase(Domain);
  m_LastChange = std::max(m_LastChange, Position);
}

Duration EvacuationTable::timeUntilKeptIsDue(Time Now, Duration Limit) const {
  if (m_Kept.empty())
    return Limit;
  return std::clamp(m_KeptUntil - Now, Duration{0}, Limit);
}

bool EvacuationTable::tick(Time Now, StorePosition Position,
                           StorePosition Announced) {
  if (!keptIsDue(Now) || Position <= Announced)
    return false;
  for (const auto &[Domain, Evacuated] : m_Kept) {
    if (Evacuated)
      m_Domains.insert(Domain);
    else
      m_Domains.erase(Domain);
  }
  m_Kept.clear();
  m_LastChange = std::max(m_LastChange, Position);
  return true;
}

bool EvacuationsInForce::apply(const std::set<std::string> &Domains,
                               StorePosition Position) {
  if (Position < m_Position)
    return false;
  m_Domains = Domains;
  m_Position = Position;
  m_DifferSince = Time{0};
  return true;
}

bool EvacuationsInForce::observeTold(const std::set<std::string> &Domains,
                                     StorePosition Position, Time Now) {
  if (Position == m_Position) {
    if (Domains == m_Domains)
      m_DifferSince = Time{0};
    else if (m_DifferSince.count() == 0)
      m_DifferSince = Now;
  }
  return Position > m_Position;
}

bool EvacuationsInForce::stayDifferent(Time Now) const {
  return m_DifferSince.count() > 0 && Now - m_DifferSince >= DifferTime;
}

} // namespace rhubarb
