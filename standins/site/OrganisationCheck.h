// API keys of the emulated operator's organisations, what callers send with
// them, and checks of what backend servers and callers get.
#pragma once

#include "net/Http.h"
#include "rhubarb/Types.h"

#include <json/json.h>
#include <map>

namespace rhubarb::site {

inline constexpr std::string_view PublicPrefix = "/open/";
// Equals bounds.quota_slack in Site::nodeSettings().
inline constexpr int QuotaSlack = 20;

std::string organisationName(int Organisation);

class OrganisationCheck {
public:
  // The first organisation has a low rate, the second may use region "a" only.
  OrganisationCheck(int Organisations, std::uint64_t Seed);
  bool enabled() const { return m_Organisations > 0; }
  // Returns the organisations as the configuration has them.
  Json::Value tenants() const;
  // Withdraws a key and adds another one to its organisation. The caller writes
  // the configuration to the store at the same moment.
  void replaceKey(Time Now);
  // VMs may act by an older configuration until then.
  void excuseKeys(Time Until) { m_Excused = std::max(m_Excused, Until); }
  // Adds a key and forged fields to a request that a caller sends to a VM.
  void prepareCall(net::HttpRequest &Request, const std::string &Id,
                   const std::string &VmIp, Time Now);
  void recordResponse(const std::string &Id, const net::HttpResponse &Response,
                      Time Now);
  // Checks a request that a server begins to run, by the regions of the server
  // and of the VM that sent it.
  void recordRun(const net::HttpRequest &Request, const std::string &Id,
                 const std::string &Region, const std::string &VmRegion,
                 Time Now);
  std::vector<std::string> violations() const;
  // Returns the largest number of requests of the limited organisation that
  // were both sent and run in some 5 s. Retries by a VM do not count.
  std::ptrdiff_t mostLimitedRuns() const;

private:
  struct ApiKey {
    std::string m_Text;
    int m_Organisation = 0;
    Time m_AddedAt{0};                // 0: from the start.
    Time m_WithdrawnAt = Time::max(); // max(): in force.
  };
  struct Call {
    int m_Key = -1; // Index into m_Keys; -1: none or unknown.
    bool m_Public = false;
    std::string m_VmIp;
    Time m_SentAt{0};
    Time m_LimitedRunAt = Time::max(); // First run of the first organisation.
  };
  // Whether every VM must have accepted the key until Now, or must refuse it.
  bool mustAccept(const Call &Sent, Time Now) const;
  bool mustRefuse(const Call &Sent) const;

  int m_Organisations;
  Random m_Random;
  std::vector<ApiKey> m_Keys;
  Time m_Excused{0};
  std::map<std::string, Call> m_Calls; // By request ID.
  std::vector<std::string> m_Violations;
};

} // namespace rhubarb::site
