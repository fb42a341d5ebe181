/// Settings of daisytack-entry.
#pragma once

#include "base/settings.h"
#include "decide/ejection.h"
#include "decide/limits.h"
#include "decide/load_view.h"
#include "decide/retry_budget.h"
#include "decide/routing.h"
#include "net/http_server.h"
#include "runtime/instance_settings.h"
#include "runtime/operator_http.h"
#include "serve/caller_request.h"
#include "serve/request_spec.h"

#include <string>
#include <vector>

namespace daisytack::entry {

struct EntryOptions {
  runtime::InstanceSettings Instance;
  net::HttpServerInit Callers; ///< Listens on the instance's work address.
  /// Key, the same in the whole deployment, from which piece keys and the
  /// request and event identifiers of callers are derived.
  std::string Secret;
  runtime::OperatorSettings Operators;
  FlowSettings Flow;
  CallerLimits Limits;
  LoadViewSettings Loads;
  RouterSettings Router;
  RetryBudgetSettings Retries;
  EjectionSettings Ejection;
  LimitSettings Quotas;
  /// Maximum rate of binding callers' own idempotency keys to tickets.
  double BindingsPerSecond = 5;
  double BindingBurst = 20;
  const Member &self() const { return Instance.Control.Self; }

  Duration ConnectTimeout{500'000}; ///< For connections to agents.
  /// An unused connection to an agent is closed after this time.
  Duration LinkIdleTimeout{60'000'000};
  size_t MaxRequests = 50'000; ///< Maximum requests in flight.
  /// Longer request bodies are parsed by a worker thread.
  size_t MaxInlineBodyBytes = 64U << 10;
  /// Time between refusing new requests and closing the listening socket.
  Duration DrainNotice{1'000'000};
};

/// Reads all settings of an entry. Invalid values are reported to `settings`.
EntryOptions readEntryOptions(Settings &settings);

} // namespace daisytack::entry
