#include "rhubarb/Routes.h"

#include <algorithm>

namespace rhubarb {
namespace {

// Maximum deviation of a target from its share at which objects still stay on
// their targets. The platform allows 0.1.
constexpr double MaxShareError = 0.03;
// Counts are halved above this many requests, so that the shares follow recent
// traffic.
constexpr double CountWindow = 400;

std::string indexKey(std::string_view Host, std::string_view Prefix) {
  std::string Key;
  Key.reserve(Host.size() + 1 + Prefix.size());
  for (char C : Host)
    Key += C >= 'A' && C <= 'Z' ? static_cast<char>(C + ('a' - 'A')) : C;
  Key += ' ';
  Key += Prefix;
  return Key;
}

std::string_view withoutPort(std::string_view Host) {
  return Host.substr(0, Host.find(':'));
}

} // namespace

int RoutingConfig::findPool(std::string_view Name) const {
  for (std::size_t I = 0; I < m_Pools.size(); ++I)
    if (m_Pools[I].m_Name == Name)
      return static_cast<int>(I);
  return -1;
}

void RouteTable::apply(RoutingConfig Next) {
  std::vector<PoolSettings> Pools = m_Config.m_Pools;
  std::vector<int> PoolIndexes;
  for (PoolSettings &Pool : Next.m_Pools) {
    int Index = m_Config.findPool(Pool.m_Name);
    if (Index < 0) {
      Index = static_cast<int>(Pools.size());
      Pools.push_back(std::move(Pool));
    } else {
      Pools[static_cast<std::size_t>(Index)] = std::move(Pool);
    }
    PoolIndexes.push_back(Index);
  }
  for (Route &Row : Next.m_Routes)
    for (RouteTarget &Target : Row.m_Targets)
      Target.m_Pool = PoolIndexes[static_cast<std::size_t>(Target.m_Pool)];
  Next.m_Pools = std::move(Pools);
  m_Config = std::move(Next);
  m_ByHostAndPrefix.clear();
  for (std::size_t I = 0; I < m_Config.m_Routes.size(); ++I) {
    const Route &Row = m_Config.m_Routes[I];
    m_ByHostAndPrefix.emplace(indexKey(Row.m_Host, Row.m_Prefix), I);
  }
}

const Route *RouteTable::find(std::string_view Host,
                              std::string_view Path) const {
  Host = withoutPort(Host);
  for (std::size_t End = Path.rfind('/'); End != std::string_view::npos;) {
    auto Position =
        m_ByHostAndPrefix.find(indexKey(Host, Path.substr(0, End + 1)));
    if (Position != m_ByHostAndPrefix.end())
      return &m_Config.m_Routes[Position->second];
    if (End == 0)
      break;
    End = Path.rfind('/', End - 1);
  }
  return nullptr;
}

std::size_t WeightedSplitter::choose(const Route &Matched,
                                     std::uint64_t ObjectHash) {
  const auto &Targets = Matched.m_Targets;
  if (Targets.size() < 2)
    return 0;
  Counts &Row = m_ByRoute[Matched.m_Name];
  std::vector<double> Weights;
  double Sum = 0;
  for (const RouteTarget &Target : Targets) {
    Weights.push_back(Target.m_Weight);
    Sum += Target.m_Weight;
  }
  if (Weights != Row.m_Weights) {
    Row.m_Sent.assign(Targets.size(), 0);
    Row.m_Total = 0;
    Row.m_Weights = Weights;
  }
  if (Row.m_Total > CountWindow) {
    for (double &Sent : Row.m_Sent)
      Sent /= 2;
    Row.m_Total /= 2;
  }
  Row.m_Total += 1;
  // Selects the target that lacks the most requests for its share.
  std::size_t Chosen = 0;
  double MaxDeficit = -CountWindow;
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    double Deficit = Weights[I] / Sum * Row.m_Total - Row.m_Sent[I];
    if (Deficit > MaxDeficit) {
      MaxDeficit = Deficit;
      Chosen = I;
    }
  }
  if (ObjectHash != 0) {
    // Prefers the target whose part of the hash space contains the object.
    // Number of 64-bit hash values, 2^64.
    constexpr double HashSpan = 18446744073709551616.0;
    double Position = static_cast<double>(ObjectHash) / HashSpan * Sum;
    std::size_t Preferred = 0;
    while (Preferred + 1 < Targets.size() && Position >= Weights[Preferred])
      Position -= Weights[Preferred++];
    double Slack = 1 + MaxShareError * Row.m_Total;
    if (Row.m_Sent[Preferred] + 1 - Weights[Preferred] / Sum * Row.m_Total <=
            Slack &&
        MaxDeficit <= Slack)
      Chosen = Preferred;
  }
  Row.m_Sent[Chosen] += 1;
  return Chosen;
}

} // namespace rhubarb
