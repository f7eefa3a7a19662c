#include "standins/site/OrganisationCheck.h"

#include "platform/Wire.h"
#include "tools/rhubarb-node/Headers.h"

#include <algorithm>

namespace rhubarb::site {
namespace {

constexpr int KeysPerOrganisation = 3;
constexpr Duration KeyBound = 4s;
constexpr Duration QuotaWindow = 5s;
constexpr double LimitedRate = 6; // Callers send several times as many.
constexpr double LimitedBurst = 4;
constexpr double AllowedRuns = // In a window.
    (LimitedRate * (QuotaWindow / 1s) + LimitedBurst) * 1.1 + QuotaSlack;
constexpr const char *AllowedRegion = "a";
constexpr double UnknownKeyShare = 0.05;
constexpr double TwoKeysShare = 0.02;
constexpr double NoKeyShare = 0.03;
constexpr double NoKeyPublicShare = 0.3;
constexpr double SkipWithdrawnShare = 0.85;

} // namespace

std::string organisationName(int Organisation) {
  return "org-" + std::to_string(Organisation);
}

OrganisationCheck::OrganisationCheck(int Organisations, std::uint64_t Seed)
    : m_Organisations(Organisations), m_Random(Seed) {
  for (int I = 0; I < Organisations * KeysPerOrganisation; ++I)
    m_Keys.push_back({"key-" + std::to_string(I), I % Organisations});
}

Json::Value OrganisationCheck::tenants() const {
  Json::Value Rows(Json::arrayValue);
  for (int I = 0; I < m_Organisations; ++I)
    Rows.append(Json::Value())["name"] = organisationName(I);
  for (const ApiKey &Key : m_Keys)
    if (Key.m_WithdrawnAt == Time::max())
      Rows[Key.m_Organisation]["api_keys"].append(Key.m_Text);
  Rows[0]["rate_per_s"] = LimitedRate;
  Rows[0]["burst"] = LimitedBurst;
  if (m_Organisations > 1)
    Rows[1]["allowed_regions"].append(AllowedRegion);
  return Rows;
}

void OrganisationCheck::replaceKey(Time Now) {
  std::size_t Old = 0;
  do
    Old = m_Random.below(m_Keys.size());
  while (m_Keys[Old].m_WithdrawnAt != Time::max());
  m_Keys[Old].m_WithdrawnAt = Now;
  m_Keys.push_back({"key-" + std::to_string(m_Keys.size()),
                    m_Keys[Old].m_Organisation, Now});
}

void OrganisationCheck::prepareCall(net::HttpRequest &Request,
                                    const std::string &Id,
                                    const std::string &VmIp, Time Now) {
  if (!enabled())
    return;
  bool Public = Request.m_Target.starts_with(PublicPrefix);
  auto AddKey = [&](const std::string &Text) {
    const char *Scheme = m_Random.below(2) == 0 ? "Bearer " : "bEARER ";
    Request.m_Headers.push_back({"Authorization", Scheme + Text});
  };
  std::size_t Index = 0;
  do
    Index = m_Random.below(m_Keys.size());
  while (m_Keys[Index].m_WithdrawnAt != Time::max() &&
         m_Random.uniform() < SkipWithdrawnShare);
  double Pick = m_Random.uniform();
  auto Falls = [&](double Share) { return (Pick -= Share) < 0; };
  bool Known = false;
  if (Falls(UnknownKeyShare)) {
    AddKey("unknown");
  } else if (Falls(TwoKeysShare)) {
    AddKey(m_Keys[Index].m_Text);
    AddKey(m_Keys[Index].m_Text);
  } else if (!Falls(Public ? NoKeyPublicShare : NoKeyShare)) {
    AddKey(m_Keys[Index].m_Text);
    Known = true;
  }
  m_Calls[Id] = {Known ? static_cast<int>(Index) : -1, Public, VmIp, Now};
  if (m_Random.below(3) > 0)
    return;
  std::string Forged = organisationName(static_cast<int>(m_Random.below(2)));
  std::string Field = platform::headerNames().m_Organisation;
  for (const std::string &Name : {Field, node::lower(Field),
                                  std::string(node::CheckedOrganisationHeader)})
    Request.m_Headers.push_back({Name, Forged});
}

void OrganisationCheck::recordResponse(const std::string &Id,
                                       const net::HttpResponse &Response,
                                       Time Now) {
  if (!enabled())
    return;
  const Call &Sent = m_Calls[Id];
  std::string Outcome = std::to_string(Response.m_Status) + " " +
                        std::string(Response.header("Rhubarb-Reason"));
  // These reasons come before the check of the key.
  bool Earlier = Outcome == "503 no_configuration" ||
                 Outcome == "503 leaving" || Outcome == "404 unknown_route";
  bool Denied = Outcome == "401 unknown_api_key" &&
                (mustAccept(Sent, Now) || (Sent.m_Public && Sent.m_Key < 0));
  bool Admitted = Outcome != "401 unknown_api_key" && !Earlier &&
                  !Sent.m_Public && mustRefuse(Sent);
  if (Denied || Admitted)
    m_Violations.push_back("organisation: " + Id + " got " + Outcome +
                           (Denied ? " with" : " without") + " a right to run");
}

void OrganisationCheck::recordRun(const net::HttpRequest &Request,
                                  const std::string &Id,
                                  const std::string &Region,
                                  const std::string &VmRegion, Time Now) {
  Call &Sent = m_Calls[Id];
  std::vector<std::string> Names;
  bool Leaked = false;
  for (const auto &Field : Request.m_Headers) {
    std::string Name = node::lower(Field.m_Name);
    if (Name == node::lower(platform::headerNames().m_Organisation))
      Names.push_back(Field.m_Value);
    Leaked |= Name == "authorization" ||
              Name == node::lower(node::CheckedOrganisationHeader);
  }
  int Organisation =
      Sent.m_Key < 0
          ? -1
          : m_Keys[static_cast<std::size_t>(Sent.m_Key)].m_Organisation;
  bool RightName = Names.empty()
                       ? Sent.m_Public && !mustAccept(Sent, Now)
                       : Names.size() == 1 && !mustRefuse(Sent) &&
                             Names[0] == organisationName(Organisation);
  // Only the VM that the caller has chosen may be in another region.
  bool RightRegion =
      Names.empty() || Organisation != 1 ||
      (Region == AllowedRegion &&
       (VmRegion == AllowedRegion || Request.m_PeerIp == Sent.m_VmIp));
  if (!Names.empty() && Names[0] == organisationName(0))
    Sent.m_LimitedRunAt = std::min(Sent.m_LimitedRunAt, Now);
  if (Leaked || !RightName || !RightRegion)
    m_Violations.push_back(
        "organisation: " + Id + " ran as \"" + (Names.empty() ? "" : Names[0]) +
        "\" of " + std::to_string(Names.size()) +
        (Leaked ? ", with a field too many" : "") +
        (RightName ? ""
                   : ", key of \"" + organisationName(Organisation) + "\"") +
        (RightRegion ? "" : ", in or through a region not allowed"));
}

bool OrganisationCheck::mustAccept(const Call &Sent, Time Now) const {
  if (Sent.m_Key < 0)
    return false;
  const ApiKey &Key = m_Keys[static_cast<std::size_t>(Sent.m_Key)];
  return Now < Key.m_WithdrawnAt &&
         (Key.m_AddedAt.count() == 0 ||
          Sent.m_SentAt >= std::max(Key.m_AddedAt + KeyBound, m_Excused));
}

bool OrganisationCheck::mustRefuse(const Call &Sent) const {
  if (Sent.m_Key < 0)
    return true;
  Time At = m_Keys[static_cast<std::size_t>(Sent.m_Key)].m_WithdrawnAt;
  return At != Time::max() &&
         Sent.m_SentAt >= std::max(At + KeyBound, m_Excused);
}

std::ptrdiff_t OrganisationCheck::mostLimitedRuns() const {
  std::ptrdiff_t Most = 0;
  for (const auto &[Id, First] : m_Calls) {
    auto InWindow = [From = First.m_SentAt](const auto &Row) {
      return Row.second.m_SentAt >= From &&
             Row.second.m_LimitedRunAt < From + QuotaWindow;
    };
    Most =
        std::max(Most, std::count_if(m_Calls.begin(), m_Calls.end(), InWindow));
  }
  return Most;
}

std::vector<std::string> OrganisationCheck::violations() const {
  std::vector<std::string> Found = m_Violations;
  std::ptrdiff_t Most = mostLimitedRuns();
  if (static_cast<double>(Most) > AllowedRuns)
    Found.push_back("quota: " + std::to_string(Most) +
                    " requests of an organisation ran in 5 s, allowed " +
                    std::to_string(AllowedRuns));
  return Found;
}

} // namespace rhubarb::site
