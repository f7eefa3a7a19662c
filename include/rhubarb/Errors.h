// The closed list of error kinds, and the answer that each one gives a caller.
#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace rhubarb {

// What is known about the execution of a request when its answer leaves.
enum class Outcome : std::uint8_t {
  Answered, // A backend server ran it, and its whole answer follows.
  NotRun,   // No backend server ran it, and none will under this attempt.
  Unknown,  // It may have run; nobody can tell.
};

// Every reason for a refusal or a failure. Append only: names are public.
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
  Count,
};

// One row of the table from error kind to answer.
struct ErrorInfo {
  ErrorKind m_Kind;
  std::string_view m_Name; // Counter label and Rhubarb-Reason value.
  int m_HttpStatus;
  Outcome m_Outcome;       // What the kind says about the key as a whole.
  bool m_Retryable;        // A later try can succeed: Retry-After is sent.
  std::string_view m_Hint; // What the caller can do.
};

// Why an attempt was repeated. A counter each.
enum class RetryReason : std::uint8_t {
  ServerShed,
  ServerUnreachable,
  ServerCut,
  GrantRefused,
  PeerUnreachable,
  ServerFailed,
  Count,
};

// Returns the row of Kind; every kind has one.
const ErrorInfo &errorInfo(ErrorKind Kind);
// Returns the public name of an outcome: answered, not-run or unknown.
std::string_view outcomeName(Outcome Value);
// Returns the counter label of a retry reason.
std::string_view retryReasonName(RetryReason Reason);

// An error with the text that a person needs to mend it.
struct Error {
  ErrorKind m_Kind = ErrorKind::Internal;
  std::string m_Message;
};

// A value, or the fault that stands in its place.
template <typename T>
using Result =
    boost::outcome_v2::basic_result<T, Error,
                                    boost::outcome_v2::policy::all_narrow>;

} // namespace rhubarb
