#include "gateway/quota_loan_exchange.h"

#include "direct/eligibility.h"

#include <algorithm>
#include <utility>

namespace daisytack::gateway {

namespace {

constexpr Duration IndexInterval{1'000'000};

} // namespace

QuotaLoanExchange::QuotaLoanExchange(GatewayState &state, SendHook send,
                                     QuotaLoanExchangeSettings settings)
    : State(state), Send(std::move(send)), Settings(settings),
      LoansLeft(settings.MaxLoans) {}

void QuotaLoanExchange::onTimer(TimePoint now) {
  LoansLeft = Settings.MaxLoans;
  auto catalog = State.catalog();
  auto requests =
      State.Limits.takeLoanRequests(*catalog, Settings.MaxRequests, now);
  auto cold = State.ColdServers.takeLoanRequests(
      *catalog, Settings.MaxRequests - requests.size(), now);
  requests.insert(requests.end(), cold.begin(), cold.end());
  for (const balancing::OutgoingLoanRequest &it : requests)
    Send(it.Peer, it.Message);
}

void QuotaLoanExchange::onRequest(const balancing::QuotaLoanRequest &request,
                                  const Endpoint &sender, TimePoint now) {
  if (LoansLeft == 0)
    return;
  auto catalog = State.catalog();
  const direct::BackendServer *server = find(*catalog, request.ServerKey, now);
  if (!server)
    return;
  // The bound's id tells which of the two quotas is meant.
  auto loan =
      State.Limits.onLoanRequest(request, sender, *server, *catalog, now);
  if (!loan)
    loan = State.ColdServers.onLoanRequest(
        request, sender, *server, direct::coldRateOf(*catalog, *server),
        *catalog, now);
  if (!loan)
    return;
  --LoansLeft;
  Send(sender, *loan);
}

void QuotaLoanExchange::onLoan(const balancing::QuotaLoan &loan,
                               TimePoint now) {
  uint32_t requests = State.Limits.onLoan(loan, now);
  bool isSlowStart = requests == 0;
  if (isSlowStart)
    requests = State.ColdServers.onLoan(loan, now);
  if (requests == 0)
    return;
  auto catalog = State.catalog();
  const direct::BackendServer *server = find(*catalog, loan.ServerKey, now);
  State.Log.write(LogPriority::Routine, "quota_loan_began",
                  {{"server", server ? server->Id : ""},
                   {"quota", isSlowStart ? "slow_start" : "request_limit"},
                   {"requests", requests}},
                  now);
}

const direct::BackendServer *
QuotaLoanExchange::find(const direct::Catalog &catalog, uint64_t server,
                        TimePoint now) {
  auto known = Ids.find(server);
  if (known == Ids.end() && now >= NextIndexAt) {
    NextIndexAt = now + IndexInterval;
    Ids.clear();
    for (const direct::BackendServer &it : catalog.AllServers)
      Ids.emplace(it.ref().key(), it.Id);
    known = Ids.find(server);
  }
  if (known == Ids.end())
    return nullptr;
  auto it = std::lower_bound(catalog.AllServers.begin(),
                             catalog.AllServers.end(), known->second,
                             [](const direct::BackendServer &a,
                                const std::string &id) { return a.Id < id; });
  bool isFound = it != catalog.AllServers.end() && it->ref().key() == server;
  return isFound ? &*it : nullptr;
}

} // namespace daisytack::gateway
