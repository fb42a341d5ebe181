#include "daisytack/error.h"

#include <array>

namespace daisytack {

namespace {

struct Row {
  ErrorKind Kind;
  std::string_view Name;
  unsigned Status;
  std::string_view Remedy;
};

constexpr std::array Rows{
    Row{ErrorKind::None, "none", 200, "Nothing to do."},
    Row{ErrorKind::BadRequest, "bad_request", 400,
        "Correct the request as the detail says and send it again."},
    Row{ErrorKind::BodyTooLarge, "body_too_large", 413,
        "Send a smaller body, or have the limit raised."},
    Row{ErrorKind::HeaderTooLarge, "header_too_large", 431,
        "Send fewer or shorter headers."},
    Row{ErrorKind::Unauthenticated, "unauthenticated", 401,
        "Send the organisation's key as a bearer token."},
    Row{ErrorKind::Forbidden, "forbidden", 403,
        "Use a key whose role permits this."},
    Row{ErrorKind::NotFound, "not_found", 404, "Check the path and the name."},
    Row{ErrorKind::MethodNotAllowed, "method_not_allowed", 405,
        "Use the method that the documentation names."},
    Row{ErrorKind::UnknownModel, "unknown_model", 404,
        "Name a model that 'show versions' lists."},
    Row{ErrorKind::UnknownClass, "unknown_class", 400,
        "Name a class that 'show classes' lists."},
    Row{ErrorKind::UnknownService, "unknown_service", 404,
        "Name a plain service that is configured."},
    Row{ErrorKind::KeyReused, "key_reused", 422,
        "Use a new idempotency key for another body."},
    Row{ErrorKind::RequestTimeout, "request_timeout", 408,
        "Send the whole request without long pauses."},
    Row{ErrorKind::DeadlineTooShort, "deadline_too_short", 503,
        "Allow more time, or come back after Retry-After."},
    Row{ErrorKind::OrganisationLimit, "organisation_limit", 429,
        "Come back after Retry-After, or have the limit raised."},
    Row{ErrorKind::Overloaded, "overloaded", 503,
        "Come back after Retry-After."},
    Row{ErrorKind::NoServer, "no_server", 503,
        "Come back after Retry-After; operators: see 'show servers'."},
    Row{ErrorKind::Draining, "draining", 503,
        "Send the request again; another instance takes it."},
    Row{ErrorKind::NotReady, "not_ready", 503,
        "Come back after Retry-After; operators: see /readyz."},
    Row{ErrorKind::RetryBudgetSpent, "retry_budget_spent", 503,
        "Come back after Retry-After."},
    Row{ErrorKind::TicketExpired, "ticket_expired", 409,
        "Check whether the call took effect, then take a new ticket."},
    Row{ErrorKind::TicketUnknown, "ticket_unknown", 409,
        "Check whether the call took effect, then take a new ticket."},
    Row{ErrorKind::StillRunning, "still_running", 409,
        "Wait and send the same key again for the answer."},
    Row{ErrorKind::RecordFull, "record_full", 503,
        "Come back after Retry-After; nothing was run."},
    Row{ErrorKind::ServerFailed, "server_failed", 502,
        "Send the request again if it may be repeated."},
    Row{ErrorKind::ServerLost, "server_lost", 502,
        "Check whether the call took effect before repeating it."},
    Row{ErrorKind::DeadlinePassed, "deadline_passed", 504, "Allow more time."},
    Row{ErrorKind::Cancelled, "cancelled", 499,
        "Send the request again if it is still wanted."},
    Row{ErrorKind::AnswerLost, "answer_lost", 410,
        "Send the whole request again without Last-Event-ID."},
    Row{ErrorKind::ProtocolError, "protocol_error", 502,
        "Check that both sides run compatible versions."},
    Row{ErrorKind::Conflict, "conflict", 409,
        "Read the other change, then give the command again if it still "
        "holds."},
    Row{ErrorKind::ServiceUnavailable, "service_unavailable", 503,
        "Wait for the key-value service, then try again."},
    Row{ErrorKind::ServiceUnknown, "service_unknown", 504,
        "Query the object to see whether the change is in force."},
    Row{ErrorKind::BadValue, "bad_value", 422,
        "Correct the value as the detail says."},
    Row{ErrorKind::BudgetSpent, "budget_spent", 503,
        "Come back after Retry-After."},
    Row{ErrorKind::Internal, "internal", 500,
        "Report this with the request id."},
    Row{ErrorKind::RequestQuarantined, "request_quarantined", 503,
        "Change the request: servers ended as they ran it. Unchanged it is "
        "taken again after Retry-After."},
    Row{ErrorKind::WeightsOutdated, "weights_outdated", 503,
        "Come back after Retry-After: servers are loading newer weights."},
    Row{ErrorKind::StreamVersionUnknown, "stream_version_unknown", 503,
        "Name in Resumes the request that brought the stream's first event, "
        "or begin the stream anew."},
    Row{ErrorKind::StreamVersionGone, "stream_version_gone", 503,
        "Begin the stream anew: no server of the software version that began "
        "it is left."},
};

const Row &rowOf(ErrorKind kind) {
  for (const Row &row : Rows)
    if (row.Kind == kind)
      return row;
  return Rows.back();
}

} // namespace

std::string_view errorName(ErrorKind kind) { return rowOf(kind).Name; }
std::string_view errorRemedy(ErrorKind kind) { return rowOf(kind).Remedy; }
unsigned errorStatus(ErrorKind kind) { return rowOf(kind).Status; }

ErrorKind parseErrorKind(std::string_view name) {
  for (const Row &row : Rows)
    if (row.Name == name)
      return row.Kind;
  return ErrorKind::None;
}

std::string_view outcomeName(Outcome outcome) {
  switch (outcome) {
  case Outcome::NotRun:
    return "not_run";
  case Outcome::MayHaveRun:
    return "may_have_run";
  case Outcome::Completed:
    return "completed";
  }
  return "may_have_run";
}

} // namespace daisytack
