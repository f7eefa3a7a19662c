#include "rhubarb/Relays.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace rhubarb {
namespace {

// Maximum bytes of updates to all targets per sending round, with several
// rounds a second. A link of 10 Mbit/s, as the smallest VMs have, carries
// 1,250,000 bytes a second.
constexpr std::size_t MaxUpdateRoundBytes = 120'000;
// Maximum bytes to one target, which fit into a socket buffer without loss.
constexpr std::size_t MaxBytesPerTarget = 16U << 10U;

std::size_t groupSize(std::size_t Vms, RelayShape Shape) {
  if (Shape == RelayShape::FewestGroups)
    return MaxRelayFanout;
  auto Size =
      static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(Vms))));
  return std::clamp<std::size_t>(Size, 1, MaxRelayFanout);
}

// Adds a group of Members and picks its relay among the live ones. In a fleet
// that has just started, few VMs have sent a heartbeat yet: if none is known to
// be live, any of them may be the relay.
void addGroup(const std::vector<RelayTarget> &Members, std::uint64_t Round,
              std::vector<RelayGroup> &Groups) {
  bool AnyLive =
      std::any_of(Members.begin(), Members.end(),
                  [](const RelayTarget &Each) { return Each.m_Live; });
  std::vector<std::string> Candidates;
  for (const RelayTarget &Member : Members)
    if (Member.m_Live || !AnyLive)
      Candidates.push_back(Member.m_Vm);
  RelayGroup Group;
  Group.m_Relay = Candidates[Round % Candidates.size()];
  for (const RelayTarget &Member : Members)
    if (Member.m_Vm != Group.m_Relay)
      Group.m_Receivers.push_back(Member.m_Vm);
  Groups.push_back(std::move(Group));
}

} // namespace

std::vector<RelayGroup> relayGroups(std::vector<RelayTarget> Vms,
                                    std::uint64_t Round, RelayShape Shape) {
  std::vector<RelayGroup> Groups;
  if (Vms.size() <= MaxDirectTargets) {
    for (RelayTarget &Target : Vms)
      Groups.push_back({std::move(Target.m_Vm), {}});
    return Groups;
  }
  std::size_t MaxSize = groupSize(Vms.size(), Shape);
  std::map<std::string, std::vector<RelayTarget>> ByDomain;
  for (RelayTarget &Target : Vms)
    ByDomain[Target.m_Domain].push_back(std::move(Target));
  for (auto &[Domain, Members] : ByDomain) {
    std::sort(Members.begin(), Members.end(),
              [](const RelayTarget &A, const RelayTarget &B) {
                return A.m_Vm < B.m_Vm;
              });
    std::size_t Count = (Members.size() + MaxSize - 1) / MaxSize;
    std::vector<std::vector<RelayTarget>> Parts(Count);
    for (std::size_t I = 0; I < Members.size(); ++I)
      Parts[I % Count].push_back(std::move(Members[I]));
    for (const std::vector<RelayTarget> &Part : Parts)
      addGroup(Part, Round, Groups);
  }
  return Groups;
}

std::size_t updateBytesPerTarget(std::size_t Targets) {
  return std::min(MaxBytesPerTarget,
                  MaxUpdateRoundBytes / std::max<std::size_t>(Targets, 1));
}

} // namespace rhubarb
