// Organisations: whose key a request bears, and what follows from that.
#include "Headers.h"
#include "Node.h"

#include "net/Text.h"

namespace rhubarb::node {
namespace {

// Returns the credentials of a request with exactly one Authorization field of
// the Bearer scheme. Of several fields it is unclear which one counts.
std::optional<std::string_view> apiKey(const HttpRequest &Request) {
  const HeaderField *Found = nullptr;
  for (const HeaderField &Field : Request.m_Headers) {
    if (lower(Field.m_Name) != "authorization")
      continue;
    if (Found != nullptr)
      return std::nullopt;
    Found = &Field;
  }
  return Found == nullptr ? std::nullopt : bearerToken(Found->m_Value);
}

} // namespace

std::optional<HttpResponse> Node::authorise(Exchange &Work) {
  const Organisation *Holder = nullptr;
  if (Work.m_KeyChecked) {
    Holder = m_Organisations.findByName(Work.m_Organisation);
    // Without its row the organisation's allowed regions are not known.
    if (Holder == nullptr && !Work.m_Organisation.empty())
      return makeRefusal(Work, ErrorKind::NoConfiguration, Duration{0});
  } else if (!m_Organisations.empty()) {
    if (auto Key = apiKey(Work.m_Request))
      Holder = m_Organisations.findByKey(*Key);
    if (Holder == nullptr && !Work.m_Public)
      return makeRefusal(Work, ErrorKind::UnknownApiKey, Duration{0});
    Work.m_Organisation = Holder == nullptr ? std::string() : Holder->m_Name;
  }
  DispatchRequest &Item = Work.m_Dispatch;
  Item.m_Priority = Work.m_RoutePriority;
  Item.m_AllowedRegions = Work.m_RouteRegions;
  if (Holder == nullptr)
    return std::nullopt;
  Item.m_Priority = Holder->m_Priority.value_or(Work.m_RoutePriority);
  RegionRestriction Allowed =
      intersectRegions(Work.m_RouteRegions, Holder->m_AllowedRegions);
  if (Allowed.m_None)
    return makeRefusal(Work, ErrorKind::NoServerLeft, Duration{0});
  Item.m_AllowedRegions = std::move(Allowed.m_Regions);
  return std::nullopt;
}

bool Node::keepsOrganisation(const Exchange &Work) const {
  if (Work.m_KeyChecked || m_Organisations.empty() ||
      (Work.m_Public && Work.m_Organisation.empty()))
    return true;
  const Organisation *Holder = nullptr;
  if (auto Key = apiKey(Work.m_Request))
    Holder = m_Organisations.findByKey(*Key);
  return Holder != nullptr && Holder->m_Name == Work.m_Organisation;
}

void Node::refuseWithdrawnKeys() {
  for (auto Queued = m_QueuedExchanges.begin();
       Queued != m_QueuedExchanges.end();) {
    ExchangePtr Work = Queued->second;
    if (keepsOrganisation(*Work)) {
      ++Queued;
      continue;
    }
    m_Dispatcher.cancel(Work->m_Dispatch.m_Id);
    Work->m_Decision.m_Action = DispatchAction::Refuse;
    Work->m_Decision.m_Error = ErrorKind::UnknownApiKey;
    Work->m_Decision.m_RetryAfter = Duration{0};
    Work->m_QueueTimer->cancel();
    Queued = m_QueuedExchanges.erase(Queued);
  }
}

void Node::setOrganisation(const Exchange &Work,
                           std::vector<HeaderField> &Fields) const {
  if (m_Organisations.empty() && !Work.m_KeyChecked)
    return;
  std::string OrganisationField = lower(m_HeaderNames.m_Organisation);
  std::erase_if(Fields, [&](const HeaderField &Field) {
    std::string Name = lower(Field.m_Name);
    return Name == "authorization" || Name == OrganisationField;
  });
  if (!Work.m_Organisation.empty())
    Fields.push_back({m_HeaderNames.m_Organisation, Work.m_Organisation});
}

} // namespace rhubarb::node
