// Protocol between callers, entry processes and backend servers: HTTP/1.1 with
// the header fields below. To support another kind of backend server, replace
// this module.
#pragma once

namespace rhubarb::net {

// Header fields of requests to a backend server.
inline constexpr const char *AttemptIdHeader = "Rhubarb-Attempt-Id";
inline constexpr const char *DeadlineHeader = "Rhubarb-Deadline-Ms";
inline constexpr const char *KeyHeader = "Rhubarb-Key";
inline constexpr const char *TraceHeader = "Rhubarb-Trace";

// Header field of a response: the backend server did not start the request. The
// value is the reason: shed, draining, deadline or cancelled.
inline constexpr const char *NotStartedHeader = "Rhubarb-Not-Started";

// A DELETE of this path plus the attempt id cancels the attempt. The response
// is 200 with NotStartedHeader if the attempt will never start.
inline constexpr const char *CancelPath = "/rhubarb/attempts/";
// A GET of this path returns {"slots":n,"busy":n,"draining":bool}.
inline constexpr const char *LoadPath = "/rhubarb/load";

// Header fields between callers and entry processes, and between entry
// processes.
inline constexpr const char *ServiceHeader = "Rhubarb-Service";
inline constexpr const char *GrantHeader = "Rhubarb-Grant";
inline constexpr const char *ForwardedHeader = "Rhubarb-Passed";
// Number of the caller's attempt with the key, starting at 1.
inline constexpr const char *AttemptNumberHeader = "Rhubarb-Try";
inline constexpr const char *OutcomeHeader = "Rhubarb-Outcome";
inline constexpr const char *ReasonHeader = "Rhubarb-Reason";
// Header field of a response with outcome unknown: this attempt did not run,
// although an earlier one may have. If the responses to all attempts of a
// caller contain it, the key never ran.
inline constexpr const char *AttemptOutcomeHeader = "Rhubarb-Attempt";

} // namespace rhubarb::net
