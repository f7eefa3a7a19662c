// Organisations: who may call, with which API keys, how urgently, how often and
// in which regions.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rhubarb {

// An organisation as configured by operators.
struct Organisation {
  std::string m_Name;
  std::vector<std::string> m_ApiKeys; // Secrets; never logged.
  // Replaces the priority of the routes. 0 is served first.
  std::optional<int> m_Priority;
  double m_RatePerSecond = 0; // Requests over all VMs; 0: no limit.
  double m_Burst = 0;         // Requests allowed beyond the rate at once.
  std::vector<std::string> m_AllowedRegions; // Empty: every region is allowed.
};

// The organisations of the configuration in force, found by API key or by name.
// Keys are compared as digests under a secret of this process, so that the time
// of a look-up tells nothing about the keys. Cost of a look-up: one digest.
class OrganisationTable {
public:
  // Returns a digest of a key; it must be keyed and collision-resistant.
  using DigestHook = std::function<std::string(std::string_view)>;

  explicit OrganisationTable(DigestHook Digest) : m_Digest(std::move(Digest)) {}
  // Replaces all organisations and withdraws the keys that are not listed.
  void apply(std::vector<Organisation> Next);
  // Whether callers need no key.
  bool empty() const { return m_Rows.empty(); }
  std::size_t size() const { return m_Rows.size(); }
  std::size_t apiKeys() const { return m_ByDigest.size(); }
  const std::vector<Organisation> &rows() const { return m_Rows; }
  // Returns the organisation that holds a key, or nullptr. The pointer is valid
  // until the next apply().
  const Organisation *findByKey(std::string_view Key) const;
  const Organisation *findByName(std::string_view Name) const;

private:
  DigestHook m_Digest;
  std::vector<Organisation> m_Rows; // Without the keys themselves.
  std::unordered_map<std::string, std::size_t> m_ByDigest; // Index into m_Rows.
  std::unordered_map<std::string, std::size_t> m_ByName;
};

// The regions that a request of an organisation may use.
struct RegionRestriction {
  std::vector<std::string> m_Regions; // Empty: every region, unless m_None.
  bool m_None = false;                // No region is allowed by both.
};
// Returns the regions that a route and an organisation both allow. An empty
// list allows every region.
RegionRestriction
intersectRegions(const std::vector<std::string> &OfRoute,
                 const std::vector<std::string> &OfOrganisation);

// Returns the credentials of an Authorization field of the Bearer scheme, or
// none if the field has another form.
std::optional<std::string_view> bearerToken(std::string_view Field);

} // namespace rhubarb
