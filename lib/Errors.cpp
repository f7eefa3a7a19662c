#include "rhubarb/Errors.h"

#include <array>

namespace rhubarb {
namespace {

constexpr std::size_t KindCount = static_cast<std::size_t>(ErrorKind::Count);

constexpr std::array<ErrorInfo, KindCount> ErrorTable{{
    {ErrorKind::None, "none", 200, Outcome::Answered, false, ""},
    {ErrorKind::BadRequest, "bad_request", 400, Outcome::NotRun, false,
     "correct the request"},
    {ErrorKind::BodyTooLarge, "body_too_large", 413, Outcome::NotRun, false,
     "send a smaller body"},
    {ErrorKind::UnknownService, "unknown_service", 404, Outcome::NotRun, false,
     "name a configured service in Rhubarb-Service"},
    {ErrorKind::NoConfiguration, "no_configuration", 503, Outcome::NotRun, true,
     "this entry VM has no configuration yet; use another"},
    {ErrorKind::KeyMissing, "key_missing", 428, Outcome::NotRun, false,
     "get a key home from GET /v1/lookup or POST /v1/keys"},
    {ErrorKind::KeyMalformed, "key_malformed", 400, Outcome::NotRun, false,
     "get a key home from GET /v1/lookup or POST /v1/keys"},
    {ErrorKind::KeyForged, "key_forged", 403, Outcome::NotRun, false,
     "get a key home from GET /v1/lookup or POST /v1/keys"},
    {ErrorKind::KeyExpired, "key_expired", 410, Outcome::Unknown, false,
     "this key will not run any more; check before you use a new one"},
    {ErrorKind::KeyReused, "key_reused", 422, Outcome::NotRun, false,
     "one key belongs to one request; use a new key"},
    {ErrorKind::KeyTableFull, "key_table_full", 503, Outcome::NotRun, true,
     "use another entry VM"},
    {ErrorKind::QueueFull, "queue_full", 503, Outcome::NotRun, true,
     "come back after Retry-After"},
    {ErrorKind::WaitTooLong, "wait_too_long", 503, Outcome::NotRun, true,
     "come back after Retry-After"},
    {ErrorKind::DeadlinePassed, "deadline_passed", 504, Outcome::NotRun, true,
     "come back after Retry-After"},
    {ErrorKind::NoCapacity, "no_capacity", 503, Outcome::NotRun, true,
     "come back after Retry-After"},
    {ErrorKind::GrantMissing, "grant_missing", 503, Outcome::NotRun, true,
     "ask for a grant first"},
    {ErrorKind::LinkFull, "link_full", 503, Outcome::NotRun, true,
     "come back after Retry-After"},
    {ErrorKind::Leaving, "leaving", 503, Outcome::NotRun, true,
     "use another entry VM"},
    {ErrorKind::CallerGone, "caller_gone", 499, Outcome::NotRun, false, ""},
    {ErrorKind::ServerShed, "server_shed", 503, Outcome::NotRun, true,
     "come back after Retry-After"},
    {ErrorKind::ServerUnreachable, "server_unreachable", 503, Outcome::NotRun,
     true, "come back after Retry-After"},
    {ErrorKind::ServerCut, "server_cut", 502, Outcome::Unknown, false,
     "ask again with the same key"},
    {ErrorKind::ServerTimeout, "server_timeout", 504, Outcome::Unknown, false,
     "ask again with the same key"},
    {ErrorKind::AnswerTooLarge, "answer_too_large", 502, Outcome::Unknown,
     false, "raise entry.max_body_bytes"},
    {ErrorKind::HomeGone, "home_gone", 502, Outcome::Unknown, false,
     "check before you use a new key"},
    {ErrorKind::HomeUnreachable, "home_unreachable", 502, Outcome::Unknown,
     true, "ask again with the same key"},
    {ErrorKind::PeerNotAllowed, "peer_not_allowed", 403, Outcome::NotRun, false,
     "control messages come from members only"},
    {ErrorKind::TooManyConnections, "too_many_connections", 503,
     Outcome::NotRun, true, "use another entry VM"},
    {ErrorKind::Internal, "internal", 500, Outcome::Unknown, false,
     "report a defect"},
    {ErrorKind::HeaderTooLarge, "header_too_large", 431, Outcome::NotRun, false,
     "send a smaller header"},
    {ErrorKind::UnknownRoute, "unknown_route", 404, Outcome::NotRun, false,
     "use a host and path that the configuration names"},
    {ErrorKind::BudgetSpent, "budget_spent", 503, Outcome::NotRun, true,
     "come back after Retry-After"},
    {ErrorKind::NoServerLeft, "no_server", 503, Outcome::NotRun, true,
     "come back after Retry-After"},
    {ErrorKind::ServerRefused, "server_refused", 503, Outcome::NotRun, true,
     "come back after Retry-After"},
    {ErrorKind::ServerGarbled, "server_garbled", 502, Outcome::Unknown, false,
     "check before you send it again"},
    {ErrorKind::ServerFailed, "server_failed", 502, Outcome::Unknown, false,
     "ask again with the same key"},
    {ErrorKind::ServersRateLimited, "servers_rate_limited", 503,
     Outcome::NotRun, true, "come back after Retry-After"},
    {ErrorKind::CrashesServers, "crashes_servers", 503, Outcome::NotRun, true,
     "servers end when they run this request; do not repeat it as it is"},
    {ErrorKind::BuffersFull, "buffers_full", 503, Outcome::NotRun, true,
     "use another entry VM"},
    {ErrorKind::UnknownApiKey, "unknown_api_key", 401, Outcome::NotRun, false,
     "send Authorization: Bearer with a key of the configuration"},
    {ErrorKind::QuotaExceeded, "quota_exceeded", 429, Outcome::NotRun, true,
     "come back after Retry-After"},
    {ErrorKind::QuotaUnavailable, "quota_unavailable", 503, Outcome::NotRun,
     true, "use another entry VM"},
}};

constexpr std::array<std::string_view, 3> OutcomeNames{"answered", "not-run",
                                                       "unknown"};

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(RetryReason::Count)>
    RetryReasonNames{"server_shed",   "server_unreachable", "server_cut",
                     "grant_refused", "peer_unreachable",   "server_failed"};

} // namespace

const ErrorInfo &errorInfo(ErrorKind Kind) {
  return ErrorTable[static_cast<std::size_t>(Kind)];
}

std::string_view outcomeName(Outcome Value) {
  return OutcomeNames[static_cast<std::size_t>(Value)];
}

std::string_view retryReasonName(RetryReason Reason) {
  return RetryReasonNames[static_cast<std::size_t>(Reason)];
}

} // namespace rhubarb
