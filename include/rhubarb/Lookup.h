// Look-up: which entry VMs a caller should use. Maps client addresses to sites,
// and shifts callers between failure domains by load.
#pragma once

#include "rhubarb/Types.h"

#include <map>
#include <string>
#include <vector>

namespace rhubarb {

// A block of client addresses (IPv4 prefix) and its nearest site.
struct ClientBlock {
  std::uint32_t m_Address = 0;     // First address, in host byte order.
  std::uint8_t m_PrefixLength = 0; // Number of fixed address bits, 0 to 32.
  std::uint16_t m_Site = 0;        // Index into the embedder's list of sites.
};

inline constexpr std::uint16_t NoSite = UINT16_MAX;

// Longest-prefix match table, read-only after build(). Prefixes are flattened
// into address ranges, with an index over the upper 16 address bits.
class ClientBlockTable {
public:
  // Replaces the table. Of several equal blocks the last one counts.
  void build(std::vector<ClientBlock> Blocks);
  // Returns the site of the longest prefix that matches Address, or NoSite.
  std::uint16_t find(std::uint32_t Address) const;

  std::size_t rangeCount() const { return m_Starts.size(); }
  // Returns the memory that the table holds, in bytes.
  std::size_t memoryBytes() const;

private:
  std::vector<std::uint32_t> m_Starts; // First address of each range.
  std::vector<std::uint16_t> m_Sites;
  // Index of the range that contains the first address of each value of the
  // upper 16 bits.
  std::vector<std::uint32_t> m_Index;
};

// Load and reachability of a failure domain.
struct DomainLoad {
  std::string m_Domain;
  std::string m_Region;
  bool m_Reachable = false; // The domain has a live entry VM.
  double m_Utilization = 0; // Running and queued requests per open slot.
  double m_Headroom = 0;    // Free slots of all pools.
};

// When callers are shifted, and how far in one step.
struct SteeringLimits {
  double m_HighUtilization = 0.9; // A domain above it sheds callers.
  // A domain below it gets its own callers back and may receive others.
  double m_LowUtilization = 0.7;
  double m_MaxStepShare = 0.1; // Maximum share of callers moved per TTL.
  // Maximum share of the receivers' headroom that one step may fill.
  double m_MaxHeadroomShare = 0.5;
};

// Share of a domain's callers for each domain that serves them.
using DomainShares = std::map<std::string, double>;

// Shifts callers between domains in bounded steps. Between the two thresholds
// nothing changes (hysteresis), so that a flapping measurement does not make
// callers flap.
class SteeringTable {
public:
  explicit SteeringTable(SteeringLimits Limits = {}) : m_Limits(Limits) {}

  // Makes at most one step for each domain. Call once per TTL of the answers.
  void step(const std::vector<DomainLoad> &Loads);
  // Returns the shares of the callers in domain Home; empty if it is unknown.
  const DomainShares &sharesOf(const std::string &Home) const;

private:
  // Shifts up to Step of the callers from Home to domains with headroom, those
  // of the same region first. Forced: Home is unreachable; thresholds and step
  // limits do not apply.
  void shiftTraffic(const DomainLoad &Home,
                    const std::vector<DomainLoad> &Loads, DomainShares &Shares,
                    double Step, bool Forced);

  SteeringLimits m_Limits;
  std::map<std::string, DomainShares> m_Shares;
};

// An entry VM as a candidate for a look-up answer.
struct EntryCandidate {
  std::string m_Vm;
  std::string m_Domain;
  int m_Weight = 1; // Number of open slots that the VM can use.
};

// Orders entry VMs for one caller. The domain that the caller's hash selects
// comes first, then the caller's own domain, its region and all others. Within
// each group the order follows weighted rendezvous hashing, so that callers
// spread in proportion to the slots, and the loss of a VM moves only the
// callers of that VM.
std::vector<EntryCandidate>
orderEntries(std::uint64_t CallerHash, const std::string &HomeDomain,
             const std::string &HomeRegion, const DomainShares &Shares,
             const std::vector<EntryCandidate> &Entries,
             const std::map<std::string, std::string> &RegionOf);

} // namespace rhubarb
