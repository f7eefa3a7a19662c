// How this system talks to a backend server: plain HTTP/1.1, and these header
// fields. Another kind of server is fitted by replacing this module.
#pragma once

namespace rhubarb::net {

// On requests to a backend server.
inline constexpr const char *AttemptIdHeader = "Rhubarb-Attempt-Id";
inline constexpr const char *DeadlineHeader = "Rhubarb-Deadline-Ms";
inline constexpr const char *KeyHeader = "Rhubarb-Key";
inline constexpr const char *TraceHeader = "Rhubarb-Trace";

// On answers: the server states that it did not start the request. Its value
// tells why: shed, draining, deadline or cancelled.
inline constexpr const char *NotStartedHeader = "Rhubarb-Not-Started";

// DELETE on this path plus the attempt id cancels; 200 with NotStartedHeader
// when the attempt will never start.
inline constexpr const char *CancelPath = "/rhubarb/attempts/";
// GET: {"slots":n,"busy":n,"draining":bool}.
inline constexpr const char *LoadPath = "/rhubarb/load";

// Between callers and entry processes, and between entry processes.
inline constexpr const char *ServiceHeader = "Rhubarb-Service";
inline constexpr const char *GrantHeader = "Rhubarb-Grant";
inline constexpr const char *ForwardedHeader = "Rhubarb-Passed";
// Counts a caller's sendings of one key, from 1.
inline constexpr const char *AttemptNumberHeader = "Rhubarb-Try";
inline constexpr const char *OutcomeHeader = "Rhubarb-Outcome";
inline constexpr const char *ReasonHeader = "Rhubarb-Reason";
// On answers with outcome unknown: this attempt itself did not run. A caller
// all of whose attempts say so knows that its key never ran.
inline constexpr const char *AttemptOutcomeHeader = "Rhubarb-Attempt";

} // namespace rhubarb::net
