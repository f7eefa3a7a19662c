// Failure domains that the operators have evacuated, as one VM reads them from
// the store. Evacuations outlive a restore of the store from an older copy: one
// that the copy lacks goes on, and one that had ended does not begin again,
// until the operators have had time to write again what was lost.
#pragma once

#include "rhubarb/StorePosition.h"
#include "rhubarb/Types.h"

#include <map>
#include <set>
#include <string>

namespace rhubarb {

// Evacuated failure domains and what is kept from before a restore. Other VMs
// take over only what has a higher position than all that they have been told,
// so each change of the domains raises lastChange().
class EvacuationTable {
public:
  // Applies all evacuations of a whole read at Position, with the position of
  // each. Known are those in force on this VM, which knows all changes up to
  // KnownAt, also from other VMs. The first read after a restore keeps what it
  // contradicts, for a limited time from EraSeenAt, when this VM first heard of
  // the era of Position. What is missing from a read has no position of its
  // own, so the last change is the read.
  void replace(const std::map<std::string, StorePosition> &Listed,
               StorePosition Position, const std::set<std::string> &Known,
               StorePosition KnownAt, Time EraSeenAt, Time Now);
  // Applies a write or a removal that a watch has returned.
  void set(const std::string &Domain, bool Evacuated, StorePosition Position);
  // Whether what is kept from before a restore is due to end.
  bool keptIsDue(Time Now) const {
    return !m_Kept.empty() && Now >= m_KeptUntil;
  }
  Time keptUntil() const { return m_KeptUntil; }
  // Returns the time until keptIsDue(), at most Limit.
  Duration timeUntilKeptIsDue(Time Now, Duration Limit) const;
  // Ends what is kept, if it is due, as a change at Position, up to which this
  // VM has all changes. Returns false and does nothing unless Position is above
  // Announced, the last one that other VMs have been told.
  bool tick(Time Now, StorePosition Position, StorePosition Announced);

  const std::set<std::string> &domains() const { return m_Domains; }
  // Position of the last change of the domains.
  StorePosition lastChange() const { return m_LastChange; }

private:
  std::set<std::string> m_Domains;
  // What the store says of domains for which the state before its restore is
  // kept: whether they are evacuated.
  std::map<std::string, bool> m_Kept;
  Time m_KeptUntil{0};
  std::uint64_t m_ReadEra = 0; // Era of the last whole read.
  StorePosition m_LastChange;
};

// The evacuated failure domains that are in force on one VM, by its own reads
// and by what other VMs tell.
class EvacuationsInForce {
public:
  // Takes over the domains at a position. Returns false if they are older than
  // those in force.
  bool apply(const std::set<std::string> &Domains, StorePosition Position);
  // Compares with what another VM tells, and returns whether that is newer.
  bool observeTold(const std::set<std::string> &Domains, StorePosition Position,
                   Time Now);
  // Whether another VM has told of other domains at the same position for some
  // time. Older builds end what they keep from before a restore without a new
  // position; only the store says then what is in force.
  bool stayDifferent(Time Now) const;

  const std::set<std::string> &domains() const { return m_Domains; }
  StorePosition position() const { return m_Position; }

private:
  std::set<std::string> m_Domains;
  StorePosition m_Position;
  Time m_DifferSince{0}; // 0: no VM tells of other domains.
};

} // namespace rhubarb
