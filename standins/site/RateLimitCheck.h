// Checks from a server's own records whether callers kept to the request rates
// that the server had named.
#pragma once

#include "rhubarb/Types.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rhubarb::site {

// Returns whether an arrival from a VM at a time does not count, because the
// VM was restarted, frozen or cut off around then.
using ArrivalExcuse = std::function<bool(const std::string &, Time)>;

// The limits that one server named, and the requests that it got meanwhile.
class RateLimitCheck {
public:
  // Names a limit in requests per second, or none, from Now on.
  void name(std::optional<double> PerSecond, Time Now);
  std::optional<double> limit() const;
  // Records that a complete response with the current limit went to a VM.
  void recordTold(const std::string &Vm, Time Now);
  // Records a request or a health request that reached the server.
  void recordArrival(const std::string &Vm, Time Now);
  // Returns a text for each limit that was exceeded: in some 4 s more than one
  // and a half times what the limit allows and 5 requests arrived from VMs that
  // had been told half a second before or earlier.
  std::vector<std::string> violations(const ArrivalExcuse &Excused) const;
  // Returns the smallest share of a limit that was used, over the limits that
  // were named for at least 4 s and exceeded by the demand before; 1 if there
  // are none.
  double smallestUse(Time Now) const;

private:
  struct Arrival {
    std::string m_Vm;
    Time m_At{0};
  };
  // A time during which the server named the same limit.
  struct Span {
    double m_PerSecond = 0;
    double m_Demand = 0; // Arrivals per second before any limit was named.
    Time m_From{0};
    Time m_Until{0}; // 0: it still names the limit.
    std::map<std::string, Time> m_ToldAt;
    std::vector<Arrival> m_Arrivals; // From VMs told or not.
  };
  bool isNaming() const {
    return !m_Spans.empty() && m_Spans.back().m_Until.count() == 0;
  }
  std::vector<Span> m_Spans;
  std::deque<Time> m_UnlimitedArrivals; // Of the last 4 s without a limit.
};

} // namespace rhubarb::site
