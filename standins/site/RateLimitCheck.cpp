#include "standins/site/RateLimitCheck.h"

#include <algorithm>

namespace rhubarb::site {
namespace {

constexpr Duration Window = 4s;
constexpr double AllowedFactor = 1.5;
constexpr double AllowedExtra = 5;
// Requests that were sent before the limit was heard may arrive until then.
constexpr Duration ToldGrace = 500ms;
// Senders need some time to learn a limit before its use is measured.
constexpr Duration LearningTime = 1s;
// Only limits that the demand exceeds by this factor must be used.
constexpr double MinDemandFactor = 1.25;

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

} // namespace

void RateLimitCheck::name(std::optional<double> PerSecond, Time Now) {
  double Demand =
      static_cast<double>(m_UnlimitedArrivals.size()) / toSeconds(Window);
  if (isNaming()) {
    m_Spans.back().m_Until = Now;
    Demand = m_Spans.back().m_Demand;
  }
  m_UnlimitedArrivals.clear();
  if (PerSecond)
    m_Spans.push_back({*PerSecond, Demand, Now, Time{0}, {}, {}});
}

std::optional<double> RateLimitCheck::limit() const {
  return isNaming() ? std::optional(m_Spans.back().m_PerSecond) : std::nullopt;
}

void RateLimitCheck::recordTold(const std::string &Vm, Time Now) {
  if (isNaming())
    m_Spans.back().m_ToldAt.emplace(Vm, Now);
}

void RateLimitCheck::recordArrival(const std::string &Vm, Time Now) {
  if (isNaming()) {
    m_Spans.back().m_Arrivals.push_back({Vm, Now});
    return;
  }
  m_UnlimitedArrivals.push_back(Now);
  while (Now - m_UnlimitedArrivals.front() > Window)
    m_UnlimitedArrivals.pop_front();
}

std::vector<std::string>
RateLimitCheck::violations(const ArrivalExcuse &Excused) const {
  std::vector<std::string> Found;
  for (const Span &Named : m_Spans) {
    std::vector<Time> Counted;
    for (const Arrival &Row : Named.m_Arrivals) {
      auto Told = Named.m_ToldAt.find(Row.m_Vm);
      if (Told != Named.m_ToldAt.end() && Row.m_At - Told->second > ToldGrace &&
          !Excused(Row.m_Vm, Row.m_At))
        Counted.push_back(Row.m_At);
    }
    double Allowed =
        AllowedFactor * Named.m_PerSecond * toSeconds(Window) + AllowedExtra;
    std::size_t Most = 0;
    std::size_t First = 0;
    for (std::size_t I = 0; I < Counted.size(); ++I) {
      while (Counted[I] - Counted[First] >= Window)
        ++First;
      Most = std::max(Most, I + 1 - First);
    }
    if (static_cast<double>(Most) > Allowed)
      Found.push_back("named a limit of " + std::to_string(Named.m_PerSecond) +
                      " requests per second and got " + std::to_string(Most) +
                      " in 4 s from VMs that it had told; allowed " +
                      std::to_string(Allowed));
  }
  return Found;
}

double RateLimitCheck::smallestUse(Time Now) const {
  double Smallest = 1;
  for (const Span &Named : m_Spans) {
    Time Until = Named.m_Until.count() == 0 ? Now : Named.m_Until;
    Time From = Named.m_From + LearningTime;
    double Expected = Named.m_PerSecond * toSeconds(Until - From);
    if (Until - Named.m_From < Window || Expected <= 0 ||
        Named.m_Demand < Named.m_PerSecond * MinDemandFactor)
      continue;
    auto Count =
        std::count_if(Named.m_Arrivals.begin(), Named.m_Arrivals.end(),
                      [&](const Arrival &Row) { return Row.m_At >= From; });
    Smallest = std::min(Smallest, static_cast<double>(Count) / Expected);
  }
  return Smallest;
}

} // namespace rhubarb::site
