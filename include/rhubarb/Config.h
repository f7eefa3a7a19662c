// Operator configuration: profiles, services that refer to them, pools of
// backend servers, failure domains, inter-region links and drains. A document
// consists of sections of keys and values, which operators edit as INI.
// Configuration is its validated form.
#pragma once

#include "rhubarb/Errors.h"
#include "rhubarb/Types.h"

#include <map>
#include <string>
#include <vector>

namespace rhubarb {

using SectionValues = std::map<std::string, std::string>;
// Maps a section name ("profile paid") to its keys and values.
using ConfigSections = std::map<std::string, SectionValues>;

// A section that differs between two documents.
struct SectionChange {
  std::string m_Section;
  bool m_Removed = false;
  SectionValues m_Values; // Complete new section; empty if m_Removed.
};

// A validation error: its location in the document and the accepted values.
struct ConfigError {
  std::string m_Section;
  std::string m_Key;
  std::string m_Value;
  std::string m_Message;
};

// Scheduling and retry policy of a class of requests.
struct Profile {
  std::string m_Name;
  Priority m_Priority = Priority::Normal;
  Reach m_Reach = Reach::Region;
  int m_Worth = 1; // Weight among profiles of the same priority, 1 to 1000.
  // Share of capacity guaranteed under overload by higher priorities.
  int m_FloorPercent = 0;
  Duration m_Deadline = 2s;  // For requests without a deadline.
  bool m_Idempotent = false; // If false, requests need an idempotency key.
  // Placeholder that keeps later indexes valid; see preserveIndexes().
  bool m_Removed = false;
};

// A pool of interchangeable backend servers.
struct Pool {
  std::string m_Name;
  int m_SlotsPerServer = 1;
  Duration m_ServiceTime = 50ms; // Initial estimate; replaced by measurements.
  bool m_Removed = false;
};

// The target that a caller names. Several services can share one pool.
struct Service {
  std::string m_Name;
  int m_Profile = 0; // Index into Configuration::m_Profiles.
  int m_Pool = 0;    // Index into Configuration::m_Pools.
  bool m_Removed = false;
};

// A failure domain and its region.
struct FailureDomain {
  std::string m_Name;
  std::string m_Region;
};

// Link between two regions. The capacity holds in each direction.
struct Link {
  std::string m_From;
  std::string m_To;
  std::int64_t m_CapBytesPerSecond = 0;
};

// The validated form of a document.
struct Configuration {
  std::uint64_t m_Revision = 0;
  std::vector<Profile> m_Profiles;
  std::vector<Pool> m_Pools;
  std::vector<Service> m_Services;
  std::vector<FailureDomain> m_Domains;
  std::vector<Link> m_Links;
  std::vector<std::string> m_Drains; // Addresses that receive no new requests.

  // Returns the service, or nullptr if it does not exist or was removed.
  const Service *findService(std::string_view Name) const;
  // Returns the index of the pool, or -1 if it does not exist or was removed.
  int findPoolIndex(std::string_view Name) const;
  // Returns the region of a failure domain, or an empty string if the domain is
  // not configured.
  std::string_view regionOf(std::string_view Domain) const;
  // Returns whether an operator has drained the address.
  bool isDrained(std::string_view Address) const;
};

// Result of validating a document. The configuration is usable only if there
// are no errors.
struct ConfigCheck {
  Configuration m_Configuration;
  std::vector<ConfigError> m_Errors;
};

// Validates the whole document and reports every error, not just the first.
ConfigCheck checkConfig(const ConfigSections &Sections, std::uint64_t Revision);
// Reorders Next so that every profile, pool and service of Old keeps its index.
// Entries that are missing from Next stay, marked as removed, because requests
// in flight still refer to them by index.
void preserveIndexes(const Configuration &Old, Configuration &Next);
// Returns the section changes that turn From into To.
std::vector<SectionChange> diffConfig(const ConfigSections &From,
                                      const ConfigSections &To);
// Returns a warning for each change that an operator should confirm because it
// can remove capacity or move much of a pool's load: a removed section other
// than a drain, a profile with another urgency, reach or idempotency, and more
// than three new drains at once.
std::vector<std::string> riskyChangeWarnings(const ConfigSections &From,
                                             const ConfigSections &To);
void applyChanges(ConfigSections &Sections,
                  const std::vector<SectionChange> &Changes);

} // namespace rhubarb
