#include "rhubarb/Detours.h"

#include <array>

namespace rhubarb {
namespace {

constexpr std::array<std::string_view, 4> OutcomeNames{
    "answered", "cannot_reach", "declined", "broken"};

// A VM that could not help is asked again after this time.
constexpr Duration AvoidFor = 1s;
// Time without detours after one that found no VM.
constexpr Duration NoneFor = 500ms;

} // namespace

std::string_view detourOutcomeName(DetourOutcome Value) {
  return OutcomeNames[static_cast<std::size_t>(Value)];
}

bool DetourTable::isUsable(int Pool, const std::string &Vm, Time Now) const {
  auto Avoided = m_AvoidedUntil.find({Pool, Vm});
  return Avoided == m_AvoidedUntil.end() || Now >= Avoided->second;
}

std::string DetourTable::choose(int Pool, const std::vector<DetourVm> &Vms,
                                Time Now) {
  std::vector<const DetourVm *> Near;
  std::vector<const DetourVm *> Far;
  std::size_t NearAvoided = 0;
  for (const DetourVm &Each : Vms) {
    bool IsNear = Each.m_Region == m_Region;
    if (isUsable(Pool, Each.m_Vm, Now))
      (IsNear ? Near : Far).push_back(&Each);
    else
      NearAvoided += IsNear ? 1 : 0;
  }
  // The requests of this VM and of those that could not help share the others.
  bool GoesNear = m_Random.uniform() * static_cast<double>(NearAvoided + 1) <
                  static_cast<double>(Near.size());
  const auto &Chosen = Near.empty() || (!GoesNear && !Far.empty()) ? Far : Near;
  return Chosen.empty() ? std::string()
                        : Chosen[m_Random.below(Chosen.size())]->m_Vm;
}

void DetourTable::record(int Pool, const std::string &Vm, DetourOutcome Outcome,
                         Time Now) {
  std::erase_if(m_AvoidedUntil,
                [&](const auto &Row) { return Now >= Row.second; });
  if (Outcome != DetourOutcome::Answered)
    m_AvoidedUntil[{Pool, Vm}] = Now + AvoidFor;
}

bool DetourTable::mayHelp(int Pool, Time Now) const {
  auto None = m_NoneSince.find(Pool);
  return None == m_NoneSince.end() || Now - None->second >= NoneFor;
}

} // namespace rhubarb
