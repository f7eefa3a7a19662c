#include "rhubarb/Relays.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace rhubarb {
namespace {

// Sent at a time, several times a second; a link of 10 Mbit/s, the smallest
// VM's, carries 1,250,000 a second.
constexpr std::size_t NewsBurstBytes = 100'000;
// A socket's buffer takes as much without loss.
constexpr std::size_t MaxNewsBytes = 16U << 10U;

std::size_t groupSize(std::size_t Vms) {
  auto Size = static_cast<std::size_t>(
      std::ceil(std::sqrt(static_cast<double>(Vms))));
  return std::clamp<std::size_t>(Size, 1, MaxPassedOnTo);
}

// Chooses who passes on; without a live VM all are told directly.
void addGroup(const std::vector<RelayTarget> &Members, std::uint64_t Round,
              std::vector<RelayGroup> &Groups) {
  std::vector<std::string> Live;
  for (const RelayTarget &Member : Members)
    if (Member.m_Live)
      Live.push_back(Member.m_Vm);
  if (Live.empty()) {
    for (const RelayTarget &Member : Members)
      Groups.push_back({Member.m_Vm, {}});
    return;
  }
  RelayGroup Group;
  Group.m_First = Live[Round % Live.size()];
  for (const RelayTarget &Member : Members)
    if (Member.m_Vm != Group.m_First)
      Group.m_Rest.push_back(Member.m_Vm);
  Groups.push_back(std::move(Group));
}

} // namespace

std::vector<RelayGroup> relayGroups(std::vector<RelayTarget> Vms,
                                    std::uint64_t Round) {
  std::vector<RelayGroup> Groups;
  if (Vms.size() <= MaxToldDirectly) {
    for (RelayTarget &Target : Vms)
      Groups.push_back({std::move(Target.m_Vm), {}});
    return Groups;
  }
  std::size_t Most = groupSize(Vms.size());
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

std::size_t newsBytes(std::size_t Copies) {
  return std::min(MaxNewsBytes,
                  NewsBurstBytes / std::max<std::size_t>(Copies, 1));
}

} // namespace rhubarb
