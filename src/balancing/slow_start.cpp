#include "balancing/slow_start.h"

#include <algorithm>
#include <utility>

namespace daisytack::balancing {

uint32_t slowStartQuota(const SlowStartSettings &settings,
                        double requestsPerSecond) {
  double bound = requestsPerSecond * settings.Overshoot + settings.Slack;
  if (bound < 1)
    return 0;
  return static_cast<uint32_t>(std::max(1.0, bound * settings.AllocatedShare));
}

SlowStart::SlowStart(SlowStartSettings settings, Endpoint own,
                     TimePoint startedAt)
    : Settings(settings), Quota(std::move(own), startedAt, settings.HasLoans) {}

QuotaBound SlowStart::boundOf(double requestsPerSecond) const {
  QuotaBound out;
  out.Requests = slowStartQuota(Settings, requestsPerSecond);
  out.Window = Settings.Window;
  return out;
}

std::optional<TimePoint>
SlowStart::availableAt(const direct::BackendServer &server,
                       double requestsPerSecond, const direct::Catalog &catalog,
                       TimePoint now) {
  return Quota.availableAt(server, boundOf(requestsPerSecond), catalog, now);
}

bool SlowStart::tryAcquire(const direct::BackendServer &server,
                           double requestsPerSecond,
                           const direct::Catalog &catalog, TimePoint now) {
  return Quota.tryAcquire(server, boundOf(requestsPerSecond), catalog, now);
}

std::optional<QuotaLoan> SlowStart::onLoanRequest(
    const QuotaLoanRequest &request, const Endpoint &borrower,
    const direct::BackendServer &server, double requestsPerSecond,
    const direct::Catalog &catalog, TimePoint now) {
  return Quota.onLoanRequest(request, borrower, server,
                             boundOf(requestsPerSecond), catalog, now);
}

} // namespace daisytack::balancing
