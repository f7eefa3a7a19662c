// Chooses the VM that gets a request on its way to a backend server that this
// VM cannot reach itself. A request makes one such detour at most, and the VM
// that gets it decides and counts as for its own callers.
#pragma once

#include "rhubarb/Types.h"

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace rhubarb {

// A VM that may get requests.
struct DetourVm {
  std::string m_Vm; // IP address.
  std::string m_Region;
};

// Where a request may run: at the servers of a pool in some regions.
struct DetourScope {
  int m_Pool = 0;
  std::vector<std::string> m_Regions; // Empty: every region.

  // Whether all servers of the other scope are in this one.
  bool covers(const DetourScope &Other) const;
  bool operator<(const DetourScope &Other) const {
    return std::tie(m_Pool, m_Regions) <
           std::tie(Other.m_Pool, Other.m_Regions);
  }
};

// What became of a request that was passed to another VM.
enum class DetourOutcome : std::uint8_t {
  Answered,
  CannotReach, // That VM does not reach the servers either.
  Declined,    // That VM took no request: it is gone, leaves or just started.
  Broken,      // The connection broke; the request may have run.
};
std::string_view detourOutcomeName(DetourOutcome Value);

// What this VM has learned about detours.
class DetourTable {
public:
  DetourTable(std::string Region, std::uint64_t Seed)
      : m_Region(std::move(Region)), m_Random(Seed) {}
  // Returns the VM for a request, or an empty string. Callers are in this VM's
  // region, so its VMs come first; the fewer of them reach the servers, the
  // more requests go to other regions.
  std::string choose(const DetourScope &Scope, const std::vector<DetourVm> &Vms,
                     Time Now);
  // Records what a VM did with a request. Scope is where the VM could have run
  // it: its failure says nothing about requests that may run elsewhere.
  void record(const DetourScope &Scope, const std::string &Vm,
              DetourOutcome Outcome, Time Now);
  // Records that no VM took a request.
  void recordNone(const DetourScope &Scope, Time Now);
  // Whether a detour may help a request. After one that did not, requests are
  // refused without another for a while.
  bool mayHelp(const DetourScope &Scope, Time Now) const;

private:
  bool isUsable(const DetourScope &Scope, const std::string &Vm,
                Time Now) const;

  std::string m_Region;
  Random m_Random;
  // Until when a VM gets no requests of a scope.
  std::map<std::string, std::map<DetourScope, Time>> m_AvoidedUntil;
  // Until when requests of a scope make no detour.
  std::map<DetourScope, Time> m_NoneUntil;
};

} // namespace rhubarb
