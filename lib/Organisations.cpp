#include "rhubarb/Organisations.h"

#include <algorithm>

namespace rhubarb {
namespace {

constexpr std::string_view BearerScheme = "bearer";
constexpr std::string_view Blanks = " \t";

std::string_view trimmed(std::string_view Text) {
  std::size_t First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

char toLower(char C) {
  return C >= 'A' && C <= 'Z' ? static_cast<char>(C + ('a' - 'A')) : C;
}

} // namespace

void OrganisationTable::apply(std::vector<Organisation> Next) {
  m_Rows = std::move(Next);
  m_ByDigest.clear();
  m_ByName.clear();
  for (std::size_t I = 0; I < m_Rows.size(); ++I) {
    m_ByName.emplace(m_Rows[I].m_Name, I);
    for (const std::string &Key : m_Rows[I].m_ApiKeys)
      m_ByDigest.emplace(m_Digest(Key), I);
    m_Rows[I].m_ApiKeys.clear();
  }
}

const Organisation *OrganisationTable::findByKey(std::string_view Key) const {
  auto Row = m_ByDigest.find(m_Digest(Key));
  return Row == m_ByDigest.end() ? nullptr : &m_Rows[Row->second];
}

const Organisation *OrganisationTable::findByName(std::string_view Name) const {
  auto Row = m_ByName.find(std::string(Name));
  return Row == m_ByName.end() ? nullptr : &m_Rows[Row->second];
}

RegionRestriction
intersectRegions(const std::vector<std::string> &OfRoute,
                 const std::vector<std::string> &OfOrganisation) {
  if (OfRoute.empty())
    return {OfOrganisation, false};
  if (OfOrganisation.empty())
    return {OfRoute, false};
  RegionRestriction Both;
  std::copy_if(OfRoute.begin(), OfRoute.end(),
               std::back_inserter(Both.m_Regions),
               [&](const std::string &Region) {
                 return std::find(OfOrganisation.begin(), OfOrganisation.end(),
                                  Region) != OfOrganisation.end();
               });
  Both.m_None = Both.m_Regions.empty();
  return Both;
}

std::optional<std::string_view> bearerToken(std::string_view Field) {
  Field = trimmed(Field);
  std::size_t SchemeEnd = Field.find_first_of(Blanks);
  if (SchemeEnd != BearerScheme.size() ||
      !std::equal(BearerScheme.begin(), BearerScheme.end(), Field.begin(),
                  [](char A, char B) { return A == toLower(B); }))
    return std::nullopt;
  std::string_view Token = trimmed(Field.substr(SchemeEnd));
  if (Token.empty() || Token.find_first_of(Blanks) != std::string_view::npos)
    return std::nullopt;
  return Token;
}

} // namespace rhubarb
