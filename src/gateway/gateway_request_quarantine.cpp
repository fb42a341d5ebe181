/// The part of GatewayRequest that keeps requests from servers which they may
/// crash, and records what is learned about that.
#include "gateway/gateway_request.h"

#include "base/clock.h"
#include "direct/request_signatures.h"
#include "gateway/quarantine.h"
#include "net/http_status.h"

#include <utility>

namespace daisytack::gateway {

namespace {

/// Largest body in bytes that is hashed although there are no suspects; this
/// takes about a microsecond.
constexpr size_t MaxCommonBodyBytes = 1024;

} // namespace

const Id128 &GatewayRequest::identity() {
  if (!Identity)
    Identity = direct::wholeSignature(
        Flow.request(), Body ? std::string_view(*Body) : std::string_view());
  return *Identity;
}

const std::vector<Id128> &GatewayRequest::partSignatures() {
  if (!PartSignatures)
    PartSignatures = direct::partSignatures(Flow.request());
  return *PartSignatures;
}

std::vector<Id128> GatewayRequest::signatures() {
  std::vector<Id128> out = partSignatures();
  out.push_back(identity());
  return out;
}

std::optional<Error> GatewayRequest::quarantineError(TimePoint now) {
  // Without suspects the body need not be hashed.
  if (State.Suspects.isEmpty())
    return std::nullopt;
  std::optional<Duration> left =
      State.Suspects.quarantineLeft(signatures(), now);
  if (!left)
    return std::nullopt;
  std::string detail = "backend servers ended as they ran this request";
  for (size_t i = 0; i < partSignatures().size(); ++i)
    if (State.Suspects.quarantineLeft({&partSignatures()[i], 1}, now))
      detail = "backend servers ended as they ran requests with the prompt "
               "part " +
               Flow.request().Head.Parts[i].Id;
  return Error{ErrorKind::RequestQuarantined, std::move(detail), *left};
}

bool GatewayRequest::takeProbe(TimePoint now) {
  for (const Id128 &signature : signatures())
    if (State.Suspects.quarantineLeft({&signature, 1}, now) &&
        entriesBefore(State, signature) > 0)
      return false;
  if (!State.Suspects.takeProbe(signatures(), now))
    return false;
  IsProbe = true;
  State.Log.write(LogPriority::Notable, "quarantine_probed",
                  {{"request", Flow.request().Head.RequestId},
                   {"identity", toHex(identity())},
                   {"shared_parts", sharedParts()}},
                  now);
  return true;
}

void GatewayRequest::recordConnectionLoss(TimePoint now) {
  enforceQuarantine(State,
                    State.Suspects.onConnectionBroken(
                        signatures(), Order.server().key(), SentAt, now),
                    now);
}

void GatewayRequest::recordAnswer(TimePoint now) {
  // A server's end looks like the end of an answer that ends with its
  // connection.
  if (!net::isSuccess(AnswerStatus) || IsCloseDelimited)
    return;
  State.Suspects.onAnswered(partSignatures(), now);
  // Identical requests of many callers are short, so that only short ones are
  // hashed without a suspect.
  if (!State.Suspects.isEmpty() || BodyBytes <= MaxCommonBodyBytes)
    State.Suspects.onAnswered({&identity(), 1}, now);
}

} // namespace daisytack::gateway
