// Which entry VMs a caller should use: the table of client blocks, and the
// shares by which the callers of a failure domain are steered.
#pragma once

#include "rhubarb/Types.h"

#include <map>
#include <string>
#include <vector>

namespace rhubarb {

// A block of client addresses (IPv4 prefix) and the site it is nearest to.
struct ClientBlock {
  std::uint32_t m_Address = 0;     // Host byte order.
  std::uint8_t m_PrefixLength = 0; // Prefix length, 0 to 32.
  std::uint16_t m_Site = 0;        // Index into the embedder's list of sites.
};

inline constexpr std::uint16_t NoSite = UINT16_MAX;

// Longest-prefix table, built whole and then read only. Prefixes are flattened
// into ranges behind an index over the upper 16 address bits.
class ClientBlockTable {
public:
  // Replaces the table. Of equal blocks the last one counts.
  void build(std::vector<ClientBlock> Blocks);
  // Returns the site of the longest block that holds Address, or NoSite.
  std::uint16_t find(std::uint32_t Address) const;

  std::size_t rangeCount() const { return m_Starts.size(); }
  // Memory that the table holds.
  std::size_t memoryBytes() const;

private:
  std::vector<std::uint32_t> m_Starts; // First address of each range.
  std::vector<std::uint16_t> m_Sites;
  std::vector<std::uint32_t>
      m_Index; // Range of each upper half's first address.
};

// Health of a failure domain as far as steering is concerned.
struct DomainLoad {
  std::string m_Domain;
  std::string m_Region;
  bool m_Reachable = false; // At least one live entry VM.
  double m_Utilization = 0; // Busy and waiting work over open slots.
  double m_Headroom = 0;    // Free slots, of all pools.
};

// When callers are moved, and how far in one step.
struct SteeringLimits {
  double m_HighUtilization = 0.9; // Above it a domain sheds callers.
  double m_LowUtilization = 0.7;  // Below it callers come back.
  double m_MaxStepShare = 0.1;    // Largest move of a domain's callers per TTL.
  double m_MaxHeadroomShare =
      0.5; // Part of the far headroom that one step may fill.
};

// Share of a domain's callers for each domain that serves them.
using DomainShares = std::map<std::string, double>;

// Moves callers between domains in bounded steps. Between the two thresholds
// nothing moves, so flapping measurements do not flap the callers.
class SteeringTable {
public:
  explicit SteeringTable(SteeringLimits Limits = {}) : m_Limits(Limits) {}

  // Makes at most one step for each domain. Call once per TTL of the answers.
  void step(const std::vector<DomainLoad> &Loads);
  // Shares of the callers whose own domain is Home; empty when unknown.
  const DomainShares &sharesOf(const std::string &Home) const;

private:
  void shiftTraffic(const DomainLoad &Home,
                    const std::vector<DomainLoad> &Loads, DomainShares &Shares,
                    double Step, bool Forced);

  SteeringLimits m_Limits;
  std::map<std::string, DomainShares> m_Shares;
};

// An entry VM in a look-up answer's order.
struct EntryCandidate {
  std::string m_Vm;
  std::string m_Domain;
  int m_Weight = 1; // Open slots behind it; callers spread in proportion.
};

// Orders entry VMs for one caller: the domain that the caller's hash falls
// into first, then the caller's region, then the rest; within a domain by
// weighted rendezvous, so that callers spread in proportion to the slots and a
// lost VM moves only its own.
std::vector<EntryCandidate>
orderEntries(std::uint64_t CallerHash, const std::string &HomeDomain,
             const std::string &HomeRegion, const DomainShares &Shares,
             const std::vector<EntryCandidate> &Entries,
             const std::map<std::string, std::string> &RegionOf);

} // namespace rhubarb
