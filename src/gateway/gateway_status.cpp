/// The part of Gateway that answers readiness checks and requests for metrics.
#include "gateway/gateway.h"

#include "base/clock.h"
#include "net/http_status.h"

#include <algorithm>

namespace daisytack::gateway {

void Gateway::answerReadiness(net::HttpExchange &exchange) const {
  bool isReady = State.catalog()->Config != nullptr && !State.Drain.load();
  exchange.respond({isReady ? net::StatusOk : net::StatusUnavailable, {}, {}});
}

void Gateway::answerMetrics(net::HttpExchange &exchange) {
  State.Stats.PartsKnown.set(
      static_cast<int64_t>(State.StoredParts.partsKnown()));
  State.Stats.Quarantined.set(
      static_cast<int64_t>(State.Suspects.quarantined(monotonicNow()).size()));
  auto catalog = State.catalog();
  const auto &servers = catalog->AllServers;
  State.Stats.ServersKnown.set(static_cast<int64_t>(servers.size()));
  State.Stats.ServersCold.set(std::count_if(
      servers.begin(), servers.end(),
      [now = monotonicNow()](const auto &it) { return now < it.ColdUntil; }));
  State.Stats.ServersLimited.set(
      static_cast<int64_t>(State.Limits.limitedCount()));
  State.Stats.ServicesInShortage.set(static_cast<int64_t>(
      State.Shares.servicesInShortage(monotonicNow()).size()));
  balancing::QuotaLoanCounts limitLoans = State.Limits.loanCounts();
  balancing::QuotaLoanCounts startLoans = State.ColdServers.loanCounts();
  State.Stats.LoansRequested.set(
      static_cast<int64_t>(limitLoans.Requested + startLoans.Requested));
  State.Stats.LoansGranted.set(
      static_cast<int64_t>(limitLoans.Granted + startLoans.Granted));
  State.Stats.LoansReceived.set(
      static_cast<int64_t>(limitLoans.Received + startLoans.Received));
  State.Stats.LoanRequestsSent.set(
      static_cast<int64_t>(limitLoans.Used + startLoans.Used));
  admission::ReturnCounts returns = State.Returns.counts();
  State.Stats.ReturnsIssued.set(static_cast<int64_t>(returns.Issued));
  State.Stats.ReturnsUsed.set(static_cast<int64_t>(returns.Used));
  State.Stats.ReturnsEarly.set(static_cast<int64_t>(returns.Early));
  State.Stats.ReturnsExpired.set(static_cast<int64_t>(returns.Expired));
  State.Stats.DomainsEvacuated.set(
      static_cast<int64_t>(catalog->Evacuated.size()));
  exchange.respond({net::StatusOk,
                    {{"Content-Type", "text/plain; version=0.0.4"}},
                    Counters.prometheusText()});
}

} // namespace daisytack::gateway
