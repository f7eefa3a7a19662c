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

Result<const Organisation *>
Node::findOrganisation(const Exchange &Work, const Route &Matched) const {
  if (Work.m_KeyChecked) {
    const Organisation *Holder =
        m_Organisations.findByName(Work.m_Organisation);
    // Without its row the organisation's allowed regions are not known.
    if (Holder == nullptr && !Work.m_Organisation.empty())
      return Error{ErrorKind::NoConfiguration, "organisation \"" +
                                                   Work.m_Organisation +
                                                   "\" is not known here"};
    return Holder;
  }
  if (m_Organisations.empty())
    return static_cast<const Organisation *>(nullptr);
  const Organisation *Holder = nullptr;
  if (auto Key = apiKey(Work.m_Request))
    Holder = m_Organisations.findByKey(*Key);
  if (Holder == nullptr && !Matched.m_Public)
    return Error{ErrorKind::UnknownApiKey, "no organisation holds the key"};
  return Holder;
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
