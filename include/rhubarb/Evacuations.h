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

// Evacuated failure domains and what is kept from before a restore.
class EvacuationTable {
public:
  // Applies all evacuations of a whole read at Position, with the position of
  // each. Known are those in force on this VM, which knows all changes up to
  // KnownAt.
  void replace(const std::map<std::string, StorePosition> &Listed,
               StorePosition Position, const std::set<std::string> &Known,
               StorePosition KnownAt, Time Now);
  // Applies a write or a removal that a watch has returned.
  void set(const std::string &Domain, bool Evacuated, StorePosition Position);
  // Ends the time for which the state before a restore is kept. Returns whether
  // the domains have changed by that.
  bool tick(Time Now);

  const std::set<std::string> &domains() const { return m_Domains; }
  // Position of the last change of the domains.
  StorePosition lastChange() const { return m_LastChange; }

private:
  std::set<std::string> m_Domains;
  // What the store says of domains for which the state before its restore is
  // kept: whether they are evacuated.
  std::map<std::string, bool> m_Kept;
  Time m_KeptUntil{0};
  StorePosition m_ReadAt; // Position of the last whole read.
  StorePosition m_LastChange;
};

} // namespace rhubarb
