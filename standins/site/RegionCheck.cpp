#include "standins/site/RegionCheck.h"

#include "platform/Wire.h"
#include "standins/site/OrganisationCheck.h"

#include <algorithm>

namespace rhubarb::site {
namespace {

// One in so many changes removes the route.
constexpr std::uint64_t RemovalDivisor = 5;

Json::Value jsonArray(const std::vector<std::string> &Rows) {
  Json::Value Json(Json::arrayValue);
  for (const std::string &Row : Rows)
    Json.append(Row);
  return Json;
}

bool contains(const std::vector<std::string> &Regions,
              const std::string &Region) {
  return Regions.empty() ||
         std::find(Regions.begin(), Regions.end(), Region) != Regions.end();
}

// Formats a time like the list of injected faults.
std::string timeText(Time At) { return std::to_string(At / 1ms % 1000000); }

} // namespace

RegionCheck::Regions RegionCheck::drawOther(const Regions &Current) {
  // Only a move leaves no region that a replaced version allows too.
  static const std::vector<Regions> Choices{{"a"}, {"b"},      {"a"},
                                            {"b"}, {"a", "b"}, {}};
  for (;;)
    if (const Regions &Drawn = Choices[m_Random.below(Choices.size())];
        Drawn != Current)
      return Drawn;
}

void RegionCheck::change() {
  if (!m_Next.m_HasRoute || m_Random.below(RemovalDivisor) == 0) {
    m_Next.m_HasRoute = !m_Next.m_HasRoute;
    m_Next.m_Route = drawOther(m_Next.m_Route);
    return;
  }
  Regions &Changed =
      m_Random.below(2) == 0 ? m_Next.m_Route : m_Next.m_Organisation;
  Changed = drawOther(Changed);
}

Json::Value RegionCheck::routeRegions() const {
  return jsonArray(m_Next.m_Route);
}

Json::Value RegionCheck::organisationRegions() const {
  return jsonArray(m_Next.m_Organisation);
}

void RegionCheck::recordVersion(Time Now) {
  m_Next.m_At = Now;
  m_Versions.push_back(m_Next);
}

void RegionCheck::recordSent(const std::string &Id, const std::string &VmIp,
                             Time Now) {
  m_Calls[Id] = {VmIp, Now};
}

void RegionCheck::recordResponse(const std::string &Id,
                                 const std::string &Prefix, int Status,
                                 Time Now) {
  constexpr int UnknownRouteStatus = 404;
  if (Status == UnknownRouteStatus && Prefix == RegionPrefix)
    m_UnknownRoutes.push_back({Id, m_Calls[Id].m_SentAt, Now, Now, {}, {}});
}

void RegionCheck::recordRun(const net::HttpRequest &Request,
                            const std::string &Id, const std::string &Region,
                            const std::string &VmRegion, Time ArrivedAt,
                            Time Now) {
  const Call &Sent = m_Calls[Id];
  m_Runs.push_back({Id, Sent.m_SentAt, ArrivedAt, Now, Region, VmRegion,
                    Request.m_PeerIp == Sent.m_VmIp,
                    Request.m_Target.starts_with(RegionPrefix),
                    Request.header(platform::headerNames().m_Organisation) ==
                        organisationName(RegionOrganisation)});
}

bool RegionCheck::allows(const Version &Row, const Run &Each,
                         const std::string &Region) {
  return (!Each.m_OnRoute ||
          (Row.m_HasRoute && contains(Row.m_Route, Region))) &&
         (!Each.m_OfOrganisation || contains(Row.m_Organisation, Region));
}

bool RegionCheck::anyVersion(
    Time From, Time Until,
    const std::function<bool(const Version &)> &Condition) const {
  for (std::size_t I = 0; I < m_Versions.size(); ++I) {
    bool Replaced = I + 1 < m_Versions.size() && m_Versions[I + 1].m_At < From;
    if (!Replaced && m_Versions[I].m_At <= Until && Condition(m_Versions[I]))
      return true;
  }
  return false;
}

// Describes a run and since when which regions are allowed for it.
std::string RegionCheck::describe(const Run &Each) const {
  auto AllowedBy = [&](const Version &Row) {
    std::string Text;
    for (const char *Region : {"a", "b"})
      Text += allows(Row, Each, Region) ? std::string(" ") + Region : "";
    return Text.empty() ? std::string(" none") : Text;
  };
  std::string Since;
  std::string Allowed;
  for (const Version &Row : m_Versions)
    if (Row.m_At <= Each.m_At && AllowedBy(Row) != Allowed) {
      Since = timeText(Row.m_At);
      Allowed = AllowedBy(Row);
    }
  return Each.m_Id + " sent at " + timeText(Each.m_SentAt) + " arrived at " +
         timeText(Each.m_ArrivedAt) + " and ran at " + timeText(Each.m_At) +
         " in " + Each.m_Region + " by a VM of " + Each.m_VmRegion +
         ", allowed since " + Since + ":" + Allowed;
}

std::vector<std::string>
RegionCheck::violations(Duration Bound, const ExcuseFunction &Excused) const {
  std::vector<std::string> Found;
  for (const Run &Each : m_Runs) {
    auto Allowed = [&](Time From, const std::string &Region) {
      return anyVersion(From, Each.m_At, [&](const Version &Row) {
        return allows(Row, Each, Region);
      });
    };
    Time SentBound = Each.m_SentAt - Bound;
    Time ArrivalBound = Each.m_ArrivedAt - Bound;
    if (!Allowed(SentBound, Each.m_Region) && !Excused(SentBound, Each.m_At))
      Found.push_back("region: " + describe(Each));
    // A request must not wait at a VM and be sent as a replaced version says.
    else if (!Allowed(ArrivalBound, Each.m_Region) &&
             !Excused(ArrivalBound, Each.m_At))
      Found.push_back("region after a wait: " + describe(Each));
    // The caller may choose a VM of any region.
    if (!Each.m_ByChosenVm && !Allowed(SentBound, Each.m_VmRegion) &&
        !Excused(SentBound, Each.m_At))
      Found.push_back("region of a VM: " + describe(Each));
  }
  for (const Run &Each : m_UnknownRoutes) {
    Time From = Each.m_SentAt - Bound;
    if (!anyVersion(From, Each.m_At,
                    [](const Version &Row) { return !Row.m_HasRoute; }) &&
        !Excused(From, Each.m_At))
      Found.push_back("denied: " + Each.m_Id + " on " +
                      std::string(RegionPrefix) +
                      " got 404 though its route is configured");
  }
  return Found;
}

} // namespace rhubarb::site
