#include "rhubarb/Lookup.h"

#include <algorithm>
#include <cmath>

namespace rhubarb {
namespace {

constexpr std::uint32_t IndexShift = 16;
constexpr std::size_t IndexSize = 1U << IndexShift;
// Smallest weight of a receiver in a forced shift. Shares below a hundredth of
// it are dropped.
constexpr double MinShare = 0.001;

std::uint64_t lastAddress(const ClientBlock &Block) {
  std::uint64_t Size = 1ULL << (32U - Block.m_PrefixLength);
  return (Block.m_Address & ~(Size - 1)) + Size - 1;
}

std::uint32_t firstAddress(const ClientBlock &Block) {
  std::uint64_t Size = 1ULL << (32U - Block.m_PrefixLength);
  return static_cast<std::uint32_t>(Block.m_Address & ~(Size - 1));
}

// Score for weighted rendezvous hashing. Each candidate has the highest score
// for a part of the callers in proportion to its weight.
double weightedScore(const EntryCandidate &Candidate,
                     std::uint64_t CallerHash) {
  constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
  std::uint64_t Hash = stableHash(Candidate.m_Vm, CallerHash);
  double Uniform = (static_cast<double>(Hash >> 11U) + 0.5) * Scale;
  return -std::max(Candidate.m_Weight, 1) / std::log(Uniform);
}

// A block that contains the current address of the sweep in build().
struct EnclosingBlock {
  std::uint64_t m_Last;
  std::uint16_t m_Site;
};

} // namespace

void ClientBlockTable::build(std::vector<ClientBlock> Blocks) {
  std::stable_sort(Blocks.begin(), Blocks.end(),
                   [](const ClientBlock &A, const ClientBlock &B) {
                     if (firstAddress(A) != firstAddress(B))
                       return firstAddress(A) < firstAddress(B);
                     return A.m_PrefixLength < B.m_PrefixLength;
                   });
  m_Starts.assign(1, 0);
  m_Sites.assign(1, NoSite);
  auto StartRange = [&](std::uint64_t At, std::uint16_t Site) {
    if (At > UINT32_MAX)
      return;
    if (m_Starts.back() == At) {
      m_Sites.back() = Site;
    } else if (m_Sites.back() != Site) {
      m_Starts.push_back(static_cast<std::uint32_t>(At));
      m_Sites.push_back(Site);
    }
  };
  std::vector<EnclosingBlock> Enclosing;
  auto CloseUpTo = [&](std::uint64_t Before) {
    while (!Enclosing.empty() && Enclosing.back().m_Last < Before) {
      std::uint64_t Next = Enclosing.back().m_Last + 1;
      Enclosing.pop_back();
      StartRange(Next, Enclosing.empty() ? NoSite : Enclosing.back().m_Site);
    }
  };
  for (const ClientBlock &Block : Blocks) {
    CloseUpTo(firstAddress(Block));
    StartRange(firstAddress(Block), Block.m_Site);
    Enclosing.push_back({lastAddress(Block), Block.m_Site});
  }
  CloseUpTo(UINT64_MAX);
  m_Starts.shrink_to_fit();
  m_Sites.shrink_to_fit();
  m_Index.assign(IndexSize + 1, 0);
  std::size_t Range = 0;
  for (std::size_t Upper = 0; Upper < IndexSize; ++Upper) {
    auto Address = static_cast<std::uint32_t>(Upper << IndexShift);
    while (Range + 1 < m_Starts.size() && m_Starts[Range + 1] <= Address)
      ++Range;
    m_Index[Upper] = static_cast<std::uint32_t>(Range);
  }
  m_Index[IndexSize] = static_cast<std::uint32_t>(m_Starts.size() - 1);
}

std::uint16_t ClientBlockTable::find(std::uint32_t Address) const {
  if (m_Starts.empty())
    return NoSite;
  std::size_t Upper = Address >> IndexShift;
  auto Begin = m_Starts.begin() + m_Index[Upper];
  auto End = m_Starts.begin() + m_Index[Upper + 1] + 1;
  auto After = std::upper_bound(Begin, End, Address);
  return m_Sites[static_cast<std::size_t>(After - m_Starts.begin() - 1)];
}

std::size_t ClientBlockTable::memoryBytes() const {
  return m_Starts.capacity() * sizeof(m_Starts[0]) +
         m_Sites.capacity() * sizeof(m_Sites[0]) +
         m_Index.capacity() * sizeof(m_Index[0]);
}

// With Forced, domains without headroom and above the threshold receive callers
// too: any of them is better than an unreachable domain.
void SteeringTable::shiftTraffic(const DomainLoad &Home,
                                 const std::vector<DomainLoad> &Loads,
                                 DomainShares &Shares, double Step,
                                 bool Forced) {
  double Left = std::min(Step, Shares[Home.m_Domain]);
  for (bool SameRegion : {true, false}) {
    double Headroom = 0;
    for (const DomainLoad &Other : Loads)
      if (Other.m_Domain != Home.m_Domain && Other.m_Reachable &&
          (Other.m_Region == Home.m_Region) == SameRegion &&
          (Forced || Other.m_Utilization < m_Limits.m_LowUtilization))
        Headroom += Other.m_Headroom + (Forced ? MinShare : 0);
    if (Headroom <= 0)
      continue;
    // A step may fill only part of the headroom. One free slot is assumed to
    // serve 1 % of the callers; the next step uses the measured load.
    double Cap = Forced ? Left : Headroom * m_Limits.m_MaxHeadroomShare * 0.01;
    double Moved = std::min(Left, Cap);
    for (const DomainLoad &Other : Loads)
      if (Other.m_Domain != Home.m_Domain && Other.m_Reachable &&
          (Other.m_Region == Home.m_Region) == SameRegion &&
          (Forced || Other.m_Utilization < m_Limits.m_LowUtilization)) {
        double Weight = (Other.m_Headroom + (Forced ? MinShare : 0)) / Headroom;
        Shares[Other.m_Domain] += Moved * Weight;
      }
    Shares[Home.m_Domain] -= Moved;
    Left -= Moved;
    if (Left <= 0)
      return;
  }
}

void SteeringTable::step(const std::vector<DomainLoad> &Loads) {
  for (const DomainLoad &Home : Loads) {
    DomainShares &Shares = m_Shares[Home.m_Domain];
    if (Shares.empty())
      Shares[Home.m_Domain] = 1.0;
    // Callers that were shifted to a domain that is now unreachable return at
    // once, without a step limit, as their requests would fail.
    for (const DomainLoad &Other : Loads) {
      auto OtherShare = Shares.find(Other.m_Domain);
      if (Other.m_Reachable || OtherShare == Shares.end() ||
          OtherShare->second <= 0 || Other.m_Domain == Home.m_Domain)
        continue;
      Shares[Home.m_Domain] += OtherShare->second;
      Shares.erase(OtherShare);
    }
    if (!Home.m_Reachable) {
      shiftTraffic(Home, Loads, Shares, 1.0, true);
    } else if (Home.m_Utilization > m_Limits.m_HighUtilization) {
      shiftTraffic(Home, Loads, Shares, m_Limits.m_MaxStepShare, false);
    } else if (Home.m_Utilization < m_Limits.m_LowUtilization &&
               Shares[Home.m_Domain] < 1.0) {
      double Away = 1.0 - Shares[Home.m_Domain];
      double Back = std::min(Away, m_Limits.m_MaxStepShare);
      for (auto &[Domain, Share] : Shares)
        if (Domain != Home.m_Domain)
          Share -= Share / Away * Back;
      Shares[Home.m_Domain] += Back;
    }
    std::erase_if(Shares, [&](const auto &Item) {
      return Item.first != Home.m_Domain && Item.second < MinShare / 100;
    });
  }
}

const DomainShares &SteeringTable::sharesOf(const std::string &Home) const {
  static const DomainShares Empty;
  auto Shares = m_Shares.find(Home);
  return Shares == m_Shares.end() ? Empty : Shares->second;
}

std::vector<EntryCandidate>
orderEntries(std::uint64_t CallerHash, const std::string &HomeDomain,
             const std::string &HomeRegion, const DomainShares &Shares,
             const std::vector<EntryCandidate> &Entries,
             const std::map<std::string, std::string> &RegionOf) {
  // The caller's position in [0, 1) selects its domain. The home domain covers
  // the interval from 0, so a step moves only the callers at its upper end.
  double Position = static_cast<double>(CallerHash >> 11U) / 9007199254740992.0;
  std::string First = HomeDomain;
  auto Own = Shares.find(HomeDomain);
  double Sum = Own == Shares.end() ? 0 : Own->second;
  if (Position >= Sum)
    for (const auto &[Domain, Share] : Shares) {
      if (Domain == HomeDomain)
        continue;
      Sum += Share;
      First = Domain;
      if (Position < Sum)
        break;
    }
  auto Group = [&](const EntryCandidate &Candidate) {
    if (Candidate.m_Domain == First)
      return 0;
    if (Candidate.m_Domain == HomeDomain)
      return 1;
    auto Region = RegionOf.find(Candidate.m_Domain);
    return Region != RegionOf.end() && Region->second == HomeRegion ? 2 : 3;
  };
  struct RankedEntry {
    int m_Group;
    double m_Score;
    const EntryCandidate *m_Entry;
  };
  std::vector<RankedEntry> Order;
  Order.reserve(Entries.size());
  for (const EntryCandidate &Candidate : Entries)
    Order.push_back(
        {Group(Candidate), weightedScore(Candidate, CallerHash), &Candidate});
  std::sort(Order.begin(), Order.end(),
            [](const RankedEntry &A, const RankedEntry &B) {
              if (A.m_Group != B.m_Group)
                return A.m_Group < B.m_Group;
              return A.m_Score > B.m_Score;
            });
  std::vector<EntryCandidate> Result;
  Result.reserve(Order.size());
  for (const RankedEntry &Row : Order)
    Result.push_back(*Row.m_Entry);
  return Result;
}

} // namespace rhubarb
