// Allowed regions of a route and of an organisation, as the emulated operator
// changes them, and a check of the regions in which requests run.
#pragma once

#include "net/Http.h"
#include "rhubarb/Types.h"

#include <functional>
#include <json/json.h>
#include <map>

namespace rhubarb::site {

// Prefix of the route whose allowed regions change.
inline constexpr std::string_view RegionPrefix = "/local/";
// Organisation whose allowed regions change; it is also the limited one, so
// that its requests wait for tokens.
inline constexpr int RegionOrganisation = 0;

class RegionCheck {
public:
  // Tells whether bounds are not checked in some part of a span of time.
  using ExcuseFunction = std::function<bool(Time From, Time Until)>;

  explicit RegionCheck(std::uint64_t Seed) : m_Random(Seed) {}
  // Draws other allowed regions for the route or the organisation, or removes
  // the route. A removed route comes back with the next change.
  void change();
  bool hasRoute() const { return m_Next.m_HasRoute; }
  // Return the allowed regions as the configuration has them.
  Json::Value routeRegions() const;
  Json::Value organisationRegions() const;
  // Records that the store has acknowledged what change() has drawn.
  void recordVersion(Time Now);
  void recordSent(const std::string &Id, const std::string &VmIp, Time Now);
  void recordResponse(const std::string &Id, const std::string &Prefix,
                      int Status, Time Now);
  // Records that a server begins to run a request that arrived there earlier,
  // by the regions of the server and of the VM that sent it.
  void recordRun(const net::HttpRequest &Request, const std::string &Id,
                 const std::string &Region, const std::string &VmRegion,
                 Time ArrivedAt, Time Now);
  // Returns what no version allows that may be in force, where a version must
  // be in force within Bound of its acknowledgement.
  std::vector<std::string> violations(Duration Bound,
                                      const ExcuseFunction &Excused) const;

private:
  using Regions = std::vector<std::string>; // Empty: every region is allowed.
  struct Version {
    Time m_At{0};
    bool m_HasRoute = true;
    Regions m_Route;
    Regions m_Organisation;
  };
  struct Call {
    std::string m_VmIp;
    Time m_SentAt{0};
  };
  struct Run {
    std::string m_Id;
    Time m_SentAt{0};
    Time m_ArrivedAt{0}; // At the server.
    Time m_At{0};
    std::string m_Region;
    std::string m_VmRegion;
    bool m_ByChosenVm = false; // The caller chose the VM that sent it.
    bool m_OnRoute = false;
    bool m_OfOrganisation = false;
  };
  static bool allows(const Version &Row, const Run &Each,
                     const std::string &Region);
  // Returns whether a version that was in force in a span meets a condition.
  bool anyVersion(Time From, Time Until,
                  const std::function<bool(const Version &)> &Condition) const;
  std::string describe(const Run &Each) const;
  Regions drawOther(const Regions &Current);

  Random m_Random;
  Version m_Next{Time{0}, true, {"a"}, {}};
  std::vector<Version> m_Versions;
  std::map<std::string, Call> m_Calls; // By request ID.
  std::vector<Run> m_Runs;
  std::vector<Run> m_UnknownRoutes; // Responses with status 404.
};

} // namespace rhubarb::site
