// The error kinds and the response that a caller gets for each of them.
#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace rhubarb {

// What is known about the execution of a request when its response is sent.
enum class Outcome : std::uint8_t {
  Answered, // A backend server ran the request; its complete response follows.
  NotRun,  // No backend server ran the request or will run it for this attempt.
  Unknown, // A backend server may have run the request.
};

// Reasons for refusing or failing a request. Append only: the names are part of
// the public interface.
enum class ErrorKind : std::uint8_t {
  None,
  BadRequest,
  BodyTooLarge,
  UnknownService,
  NoConfiguration,
  KeyMissing,
  KeyMalformed,
  KeyForged,
  KeyExpired,
  KeyReused,
  KeyTableFull,
  QueueFull,
  WaitTooLong,
  DeadlinePassed,
  NoCapacity,
  GrantMissing,
  LinkFull,
  Leaving,
  CallerGone,
  ServerShed,
  ServerUnreachable,
  ServerCut,
  ServerTimeout,
  AnswerTooLarge,
  HomeGone,
  HomeUnreachable,
  PeerNotAllowed,
  TooManyConnections,
  Internal,
  HeaderTooLarge,
  UnknownRoute,
  BudgetSpent,
  NoServerLeft,
  ServerRefused,
  ServerGarbled,
  ServerFailed,
  ServersRateLimited,
  CrashesServers,
  BuffersFull,
  UnknownApiKey,
  QuotaExceeded,
  QuotaUnavailable,
  Count,
};

// The response that belongs to an error kind.
struct ErrorInfo {
  ErrorKind m_Kind;
  std::string_view m_Name; // Metric label and value of Rhubarb-Reason.
  int m_HttpStatus;
  Outcome m_Outcome;       // Outcome of the key as a whole, not of one attempt.
  bool m_Retryable;        // A later try can succeed; Retry-After is sent.
  std::string_view m_Hint; // Advice for the caller; the default message.
};

// Why an attempt was retried. Each reason has its own counter.
enum class RetryReason : std::uint8_t {
  ServerShed,
  ServerUnreachable,
  ServerCut,
  GrantRefused,
  PeerUnreachable,
  ServerFailed,
  Count,
};

// Returns the response data of an error kind.
const ErrorInfo &errorInfo(ErrorKind Kind);
// Returns the name of an outcome on the wire: answered, not-run or unknown.
std::string_view outcomeName(Outcome Value);
// Returns the metric label of a retry reason.
std::string_view retryReasonName(RetryReason Reason);

// An error kind with a message for a person.
struct Error {
  ErrorKind m_Kind = ErrorKind::Internal;
  std::string m_Message;
};

// A value or an error.
template <typename T>
using Result =
    boost::outcome_v2::basic_result<T, Error,
                                    boost::outcome_v2::policy::all_narrow>;

} // namespace rhubarb
