/// Typed errors. Each kind has one stable name, one HTTP status and one remedy,
/// so that the receiver of a refusal knows what to do.
#pragma once

#include "daisytack/types.h"

#include <string>
#include <string_view>

namespace daisytack {

/// Whether the request may have been executed. Callers may safely retry only
/// after NotRun.
enum class Outcome : uint8_t { NotRun, MayHaveRun, Completed };

/// Error kinds. Their order is part of the wire protocol: append only.
enum class ErrorKind : uint8_t {
  None,
  // Invalid caller input.
  BadRequest,
  BodyTooLarge,
  HeaderTooLarge,
  Unauthenticated,
  Forbidden,
  NotFound,
  MethodNotAllowed,
  UnknownModel,
  UnknownClass,
  UnknownService,
  KeyReused,      ///< The idempotency key was used before with another body.
  RequestTimeout, ///< The caller sent the request too slowly.
  // Admission.
  DeadlineTooShort,
  OrganisationLimit,
  Overloaded,
  NoServer,
  Draining,
  NotReady,
  RetryBudgetSpent,
  // Calls that run at most once.
  TicketExpired,
  TicketUnknown,
  StillRunning,
  RecordFull,
  // While running.
  ServerFailed,
  ServerLost,
  DeadlinePassed,
  Cancelled,
  AnswerLost, ///< The answer of the stream to resume is no longer stored.
  ProtocolError,
  // Configuration and the platform.
  Conflict,
  ServiceUnavailable, ///< The key-value service is unavailable.
  ServiceUnknown, ///< A write to the key-value service may or may not have been
                  ///< applied.
  BadValue,
  BudgetSpent,
  Internal,
  RequestQuarantined, ///< Backend servers ended while they ran this request.
  WeightsOutdated,    ///< Only servers with weights past the rollout limit are
                      ///< left.
  StreamVersionUnknown, ///< No entry knows which software version began the
                        ///< stream to resume.
  StreamVersionGone,    ///< No server of that version is left.
};

/// An error value: its kind, a detail for the log and, if known, the delay
/// before a retry.
struct Error {
  ErrorKind Kind = ErrorKind::None;
  std::string Detail;
  Duration RetryAfter{0};

  explicit operator bool() const { return Kind != ErrorKind::None; }
  bool operator==(const Error &) const = default;
};

/// Stable lower-case name, as in problem+json: "deadline_too_short".
std::string_view errorName(ErrorKind kind);
/// One or two sentences on what the receiver can do about the error.
std::string_view errorRemedy(ErrorKind kind);
/// HTTP status with which the error is returned to callers.
unsigned errorStatus(ErrorKind kind);
/// Inverse of errorName; None when no kind has the name.
ErrorKind parseErrorKind(std::string_view name);
/// "not_run", "may_have_run" or "completed".
std::string_view outcomeName(Outcome outcome);

} // namespace daisytack
