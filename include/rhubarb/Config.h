// What operators edit: profiles, the services that choose one, pools of backend
// servers, failure domains, links and drains. A document is sections of keys
// and values (INI on the operators' side); a Configuration is the checked form.
#pragma once

#include "rhubarb/Errors.h"
#include "rhubarb/Types.h"

#include <map>
#include <string>
#include <vector>

namespace rhubarb {

using SectionValues = std::map<std::string, std::string>;
// Section name ("profile paid") to its keys and values.
using ConfigSections = std::map<std::string, SectionValues>;

// One section that differs between two documents.
struct SectionChange {
  std::string m_Section;
  bool m_Removed = false;
  SectionValues m_Values; // The whole new section; empty when removed.
};

// One fault of a document: where it stands and what would be accepted.
struct ConfigError {
  std::string m_Section;
  std::string m_Key;
  std::string m_Value;
  std::string m_Message;
};

// How a class of work is treated.
struct Profile {
  std::string m_Name;
  Priority m_Priority = Priority::Normal;
  Reach m_Reach = Reach::Region;
  int m_Worth = 1;        // Weight among profiles of one rank, 1 to 1000.
  int m_FloorPercent = 0; // Share of capacity kept in a flood of higher ranks.
  Duration m_Deadline = 2s;  // Used when the caller states none.
  bool m_Idempotent = false; // Without it a request needs a key.
  bool m_Removed = false;    // Kept for its index only; see keepIndexes().
};

// Backend servers of one kind.
struct Pool {
  std::string m_Name;
  int m_SlotsPerServer = 1;
  Duration m_ServiceTime = 50ms; // First guess; measured from then on.
  bool m_Removed = false;
};

// What callers name. Several services can share one pool.
struct Service {
  std::string m_Name;
  int m_Profile = 0; // Index into m_Profiles.
  int m_Pool = 0;    // Index into m_Pools.
  bool m_Removed = false;
};

// A failure domain and the region that it belongs to.
struct FailureDomain {
  std::string m_Name;
  std::string m_Region;
};

// Capacity of the link between two regions, each way.
struct Link {
  std::string m_From;
  std::string m_To;
  std::int64_t m_CapBytesPerSecond = 0;
};

// The checked form of a document.
struct Configuration {
  std::uint64_t m_Revision = 0;
  std::vector<Profile> m_Profiles;
  std::vector<Pool> m_Pools;
  std::vector<Service> m_Services;
  std::vector<FailureDomain> m_Domains;
  std::vector<Link> m_Links;
  std::vector<std::string> m_Drains; // Addresses that get no new work.

  // Returns the service of that name, or null.
  const Service *findService(std::string_view Name) const;
  // Returns the index of the pool of that name, or -1.
  int findPoolIndex(std::string_view Name) const;
  // Returns the region of a failure domain; empty when it is not configured.
  std::string_view regionOf(std::string_view Domain) const;
  // Returns whether an address is drained by an operator.
  bool isDrained(std::string_view Address) const;
};

// Result of checking a document: a configuration, or every fault in it.
struct ConfigCheck {
  Configuration m_Configuration;
  std::vector<ConfigError> m_Errors;
};

// Checks a whole document and reports every fault, not just the first.
ConfigCheck checkConfig(const ConfigSections &Sections, std::uint64_t Revision);
// Rearranges Next so that every profile, pool and service of Old keeps its
// index. Rows that Next no longer has stay as removed ones, so that requests
// under way can go on using the indexes that they hold.
void preserveIndexes(const Configuration &Old, Configuration &Next);
// Returns the sections that must change to turn From into To.
std::vector<SectionChange> diffConfig(const ConfigSections &From,
                                      const ConfigSections &To);
// Returns what an operator should confirm before turning From into To: changes
// that take work away or shift it beyond a third of a pool.
std::vector<std::string> riskyChangeWarnings(const ConfigSections &From,
                                             const ConfigSections &To);
// Applies changes in place.
void applyChanges(ConfigSections &Sections,
                  const std::vector<SectionChange> &Changes);

} // namespace rhubarb
