// Chooses the VM that gets a request on its way to a backend server that this
// VM cannot reach itself. A request makes one such detour at most, and the VM
// that gets it decides and counts as for its own callers.
#pragma once

#include "rhubarb/Types.h"

#include <map>
#include <string>
#include <vector>

namespace rhubarb {

// A VM that may get requests.
struct DetourVm {
  std::string m_Vm; // IP address.
  std::string m_Region;
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
  // Returns the VM for a request to a pool, or an empty string. Callers are in
  // this VM's region, so its VMs come first; the fewer of them reach the
  // servers, the more requests go to other regions.
  std::string choose(int Pool, const std::vector<DetourVm> &Vms, Time Now);
  void record(int Pool, const std::string &Vm, DetourOutcome Outcome, Time Now);
  // Records that no VM took a request to a pool.
  void recordNone(int Pool, Time Now) { m_NoneSince[Pool] = Now; }
  // Whether a detour to a pool may help. After one that did not, requests are
  // refused without another for a while.
  bool mayHelp(int Pool, Time Now) const;

private:
  bool isUsable(int Pool, const std::string &Vm, Time Now) const;

  std::string m_Region;
  Random m_Random;
  // Until when a VM gets no requests, by pool and VM.
  std::map<std::pair<int, std::string>, Time> m_AvoidedUntil;
  std::map<int, Time> m_NoneSince;
};

} // namespace rhubarb
