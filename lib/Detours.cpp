#include "rhubarb/Detours.h"

#include <algorithm>
#include <array>

namespace rhubarb {
namespace {

constexpr std::array<std::string_view, 4> OutcomeNames{
    "answered", "cannot_reach", "declined", "broken"};

// A VM that could not help is asked again after this time.
constexpr Duration AvoidFor = 1s;
// Time without detours after one that found no VM.
constexpr Duration NoneFor = 500ms;

// Whether a row about requests of the same scope, or of one that covers it, is
// still in force.
bool isHeld(const std::map<DetourScope, Time> &Rows, const DetourScope &Scope,
            Time Now) {
  return std::any_of(Rows.begin(), Rows.end(), [&](const auto &Row) {
    return Now < Row.second && Row.first.covers(Scope);
  });
}

void eraseExpired(std::map<DetourScope, Time> &Rows, Time Now) {
  std::erase_if(Rows, [&](const auto &Row) { return Now >= Row.second; });
}

} // namespace

bool DetourScope::covers(const DetourScope &Other) const {
  auto Contains = [&](const std::string &Region) {
    return std::find(m_Regions.begin(), m_Regions.end(), Region) !=
           m_Regions.end();
  };
  return m_Pool == Other.m_Pool &&
         (m_Regions.empty() || (!Other.m_Regions.empty() &&
                                std::all_of(Other.m_Regions.begin(),
                                            Other.m_Regions.end(), Contains)));
}

std::string_view detourOutcomeName(DetourOutcome Value) {
  return OutcomeNames[static_cast<std::size_t>(Value)];
}

bool DetourTable::isUsable(const DetourScope &Scope, const std::string &Vm,
                           Time Now) const {
  auto Avoided = m_AvoidedUntil.find(Vm);
  return Avoided == m_AvoidedUntil.end() ||
         !isHeld(Avoided->second, Scope, Now);
}

std::string DetourTable::choose(const DetourScope &Scope,
                                const std::vector<DetourVm> &Vms, Time Now) {
  std::vector<const DetourVm *> Near;
  std::vector<const DetourVm *> Far;
  std::size_t NearAvoided = 0;
  for (const DetourVm &Each : Vms) {
    bool IsNear = Each.m_Region == m_Region;
    if (isUsable(Scope, Each.m_Vm, Now))
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

void DetourTable::record(const DetourScope &Scope, const std::string &Vm,
                         DetourOutcome Outcome, Time Now) {
  for (auto &[Avoided, Rows] : m_AvoidedUntil)
    eraseExpired(Rows, Now);
  std::erase_if(m_AvoidedUntil,
                [](const auto &Row) { return Row.second.empty(); });
  if (Outcome != DetourOutcome::Answered)
    m_AvoidedUntil[Vm][Scope] = Now + AvoidFor;
}

void DetourTable::recordNone(const DetourScope &Scope, Time Now) {
  eraseExpired(m_NoneUntil, Now);
  m_NoneUntil[Scope] = Now + NoneFor;
}

bool DetourTable::mayHelp(const DetourScope &Scope, Time Now) const {
  return !isHeld(m_NoneUntil, Scope, Now);
}

} // namespace rhubarb
