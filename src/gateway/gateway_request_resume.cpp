/// The part of GatewayRequest that begins streams and goes on with those that
/// callers resume.
#include "gateway/gateway_request.h"

#include "base/clock.h"
#include "base/duration.h"
#include "gateway/stream_origin_exchange.h"

#include <algorithm>
#include <utility>

namespace daisytack::gateway {

using direct::AttemptOrder;

bool GatewayRequest::isResumption() const {
  const direct::ForwardRequest &request = Flow.request();
  return request.MatchedRoute.Kind == direct::RouteKind::Stream &&
         request.Head.LastEventId.has_value();
}

void GatewayRequest::resumeStream() {
  const direct::ForwardRequest &request = Flow.request();
  StreamResumption resumption;
  if (request.Head.ResumedRequestId)
    resumption.Stream =
        direct::streamKey(request.Organisation, *request.Head.ResumedRequestId);
  resumption.Service = request.Service;
  State.OriginExchange->find(
      resumption,
      [self = shared_from_this()](const auto &origin, const Error &reason) {
        self->onStrand([raw = self.get(), origin, reason] {
          raw->onOrigin(origin, reason);
        });
      });
}

void GatewayRequest::onOrigin(const std::optional<direct::OriginAnswer> &origin,
                              const Error &reason) {
  TimePoint now = monotonicNow();
  if (Flow.isEnded())
    return;
  if (!origin)
    return refuseResumption(reason, now);
  const std::vector<direct::TrafficShare> &shares =
      Flow.request().MatchedRoute.Shares;
  bool isRouted =
      std::any_of(shares.begin(), shares.end(), [&](const auto &it) {
        return it.Service == origin->Origin.Service;
      });
  if (!isRouted)
    return refuseResumption(
        {ErrorKind::StreamVersionGone,
         "the route no longer leads to " + origin->Origin.Service},
        now);
  State.Stats.StreamsResumed.add();
  State.Log.write(
      LogPriority::Notable, "stream_resumed",
      {{"request", Flow.request().Head.RequestId},
       {"resumes", Flow.request().Head.ResumedRequestId.value_or("")},
       {"service", origin->Origin.Service},
       {"software", origin->Origin.SoftwareVersion},
       {"source", direct::originSourceName(origin->From)},
       {"age_ms", millisecondsOf(origin->Age)}},
      now);
  Flow.resumeFrom(origin->Origin);
  Flow.start(now);
}

void GatewayRequest::refuseResumption(const Error &reason, TimePoint now) {
  State.Stats.StreamsRefused.add();
  State.Log.write(
      LogPriority::Notable, "resumption_refused",
      {{"request", Flow.request().Head.RequestId},
       {"resumes", Flow.request().Head.ResumedRequestId.value_or("")},
       {"reason", errorName(reason.Kind)},
       {"detail", reason.Detail}},
      now);
  Flow.onBlocked(reason, now);
}

std::optional<std::string>
GatewayRequest::beginStream(const AttemptOrder &order) {
  auto catalog = State.catalog();
  bool mayBeReplaced = std::any_of(
      catalog->AllServers.begin(), catalog->AllServers.end(),
      [&](const direct::BackendServer &it) {
        return it.Id == order.ServerId && it.StartedMs != order.StartedMs;
      });
  const direct::ForwardRequest &request = Flow.request();
  if (mayBeReplaced) {
    State.Log.write(LogPriority::Notable, "stream_version_uncertain",
                    {{"request", request.Head.RequestId},
                     {"server", order.ServerId},
                     {"software", order.SoftwareVersion}},
                    monotonicNow());
    return std::nullopt;
  }
  if (request.MatchedRoute.mayRepeat())
    State.OriginExchange->began(
        direct::streamKey(request.Organisation, request.Head.RequestId),
        {request.Service, order.SoftwareVersion});
  return order.SoftwareVersion;
}

} // namespace daisytack::gateway
