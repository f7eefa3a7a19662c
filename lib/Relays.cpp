#include "rhubarb/Relays.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace rhubarb {
namespace {

// Sent at a time, several times a second; a link of 10 Mbit/s, the smallest
// VM's, carries 1,250,000 a second.
constexpr std::size_t NewsBurstBytes = 120'000;
// A socket's buffer takes as much without loss.
constexpr std::size_t MaxNewsBytes = 16U << 10U;

std::size_t groupSize(std::size_t Vms, RelayShape Shape) {
  if (Shape == RelayShape::FewestGroups)
    return MaxRelayFanout;
  auto Size =
      static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(Vms))));
  return std::clamp<std::size_t>(Size, 1, MaxRelayFanout);
}

// Chooses who passes on. In a fleet that has just started hardly a VM has been
// heard of: then any may have to.
void addGroup(const std::vector<RelayTarget> &Members, std::uint64_t Round,
              std::vector<RelayGroup> &Groups) {
  bool Heard = std::any_of(Members.begin(), Members.end(),
                           [](const RelayTarget &Each) { return Each.m_Live; });
  std::vector<std::string> Fit;
  for (const RelayTarget &Member : Members)
    if (Member.m_Live || !Heard)
      Fit.push_back(Member.m_Vm);
  RelayGroup Group;
  Group.m_Relay = Fit[Round % Fit.size()];
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
  std::size_t Most = groupSize(Vms.size(), Shape);
  std::map<std::string, std::vector<RelayTarget>> ByDomain;
  for (RelayTarget &Target : Vms)
    ByDomain[Target.m_Domain].push_back(std::move(Target));
  for (auto &[Domain, Members] : ByDomain) {
    std::sort(Members.begin(), Members.end(),
              [](const RelayTarget &A, const RelayTarget &B) {
                return A.m_Vm < B.m_Vm;
              });
    std::size_t Count = (Members.size() + Most - 1) / Most;
    std::vector<std::vector<RelayTarget>> Parts(Count);
    for (std::size_t I = 0; I < Members.size(); ++I)
      Parts[I % Count].push_back(std::move(Members[I]));
    for (const std::vector<RelayTarget> &Part : Parts)
      addGroup(Part, Round, Groups);
  }
  return Groups;
}

std::size_t updateBytesPerTarget(std::size_t Copies) {
  return std::min(MaxNewsBytes,
                  NewsBurstBytes / std::max<std::size_t>(Copies, 1));
}

} // namespace rhubarb
