/// Datagrams between entries about loans of requests from the quotas that they
/// share (balancing/quota_loans.h).
#pragma once

#include "balancing/quota_loans.h"
#include "direct/peer_messages.h"
#include "gateway/gateway_state.h"

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

namespace daisytack::gateway {

struct QuotaLoanExchangeSettings {
  /// Requests for loans, and loans, that are sent between two calls of
  /// onTimer(). At ten calls a second these are at most 60 datagrams a second.
  size_t MaxRequests = 3;
  size_t MaxLoans = 3;
  bool operator==(const QuotaLoanExchangeSettings &) const = default;
};

/// Not thread-safe; all calls are made on the strand of LoadExchange.
class QuotaLoanExchange {
public:
  using SendHook =
      std::function<void(const Endpoint &, const direct::PeerMessage &)>;

  QuotaLoanExchange(GatewayState &state, SendHook send,
                    QuotaLoanExchangeSettings settings);

  /// Requests loans for servers whose share is used up.
  void onTimer(TimePoint now);
  void onRequest(const balancing::QuotaLoanRequest &request,
                 const Endpoint &sender, TimePoint now);
  void onLoan(const balancing::QuotaLoan &loan, TimePoint now);

private:
  /// Null if no server with this ServerRef::key() is usable. Points into the
  /// catalog.
  const direct::BackendServer *find(const direct::Catalog &catalog,
                                    uint64_t server, TimePoint now);

  GatewayState &State;
  SendHook Send;
  QuotaLoanExchangeSettings Settings;
  size_t LoansLeft;
  /// Ids of servers by ServerRef::key(). Rebuilt at most once a second, as that
  /// takes about a millisecond at 10,000 servers.
  std::unordered_map<uint64_t, std::string> Ids;
  TimePoint NextIndexAt;
};

} // namespace daisytack::gateway
