// Protocol with backend servers: HTTP/1.1 with these header fields. To support
// another kind of server, replace this module.
#pragma once

namespace rhubarb::net {

// In requests to a backend server.
inline constexpr const char *AttemptIdHeader = "Rhubarb-Attempt-Id";
inline constexpr const char *DeadlineHeader = "Rhubarb-Deadline-Ms";
inline constexpr const char *KeyHeader = "Rhubarb-Key";
inline constexpr const char *TraceHeader = "Rhubarb-Trace";

// In responses: the server did not start the request. The value is the reason:
// shed, draining, deadline or cancelled.
inline constexpr const char *NotStartedHeader = "Rhubarb-Not-Started";

// DELETE on this path plus the attempt id cancels the attempt; 200 with
// NotStartedHeader if it will never start.
inline constexpr const char *CancelPath = "/rhubarb/attempts/";
// GET: {"slots":n,"busy":n,"draining":bool}.
inline constexpr const char *LoadPath = "/rhubarb/load";

// Between callers and entry processes, and between entry processes.
inline constexpr const char *ServiceHeader = "Rhubarb-Service";
inline constexpr const char *GrantHeader = "Rhubarb-Grant";
inline constexpr const char *ForwardedHeader = "Rhubarb-Passed";
// Number of the caller's attempt with this key, from 1.
inline constexpr const char *AttemptNumberHeader = "Rhubarb-Try";
inline constexpr const char *OutcomeHeader = "Rhubarb-Outcome";
inline constexpr const char *ReasonHeader = "Rhubarb-Reason";
// In responses with outcome unknown: this attempt itself did not run. If all
// attempts of a caller say so, its key never ran.
inline constexpr const char *AttemptOutcomeHeader = "Rhubarb-Attempt";

} // namespace rhubarb::net
