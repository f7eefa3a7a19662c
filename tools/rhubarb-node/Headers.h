// Header fields of messages that the node passes on.
#pragma once

#include "net/Http.h"

#include "rhubarb/Fleet.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarb::node {

// Names the organisation of a request that another VM has authorised; empty: it
// has none. Nodes set it when they pass a request on, and on no other request.
inline constexpr const char *CheckedOrganisationHeader = "Rhubarb-Organisation";

// Names a region that a request may run in, one field for each; none: every
// region. Nodes set it when they pass a request on, and on no other request.
inline constexpr const char *AllowedRegionHeader = "Rhubarb-Allowed-Region";

// Removes all fields of a name.
void removeField(std::vector<HeaderField> &Fields, std::string_view Name);
// Removes all fields of a name and returns their values.
std::vector<std::string> takeFields(std::vector<HeaderField> &Fields,
                                    std::string_view Name);
// Reads the load that a server reports: running requests, waiting requests,
// slots and, from servers that share their machine, the run time there in
// percent. Further figures are ignored. Returns none if one of the first three
// is odd; an odd fourth figure counts as not reported.
std::optional<ReportedLoad> readServerLoad(std::string_view Text);
// Returns the text in lower case (ASCII).
std::string lower(std::string_view Text);
// Returns the value of a cookie, or an empty string.
std::string_view cookie(const net::HttpRequest &Request, std::string_view Name);
// Copies the end-to-end header fields: no hop-by-hop fields and none that a
// Connection field names.
std::vector<HeaderField>
endToEndHeaders(const std::vector<HeaderField> &Fields);
// Sets a field to a value, in place of all fields of that name.
void setField(std::vector<HeaderField> &Fields, const std::string &Name,
              std::string Value);

} // namespace rhubarb::node
