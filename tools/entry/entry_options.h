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
  std::string Secret; ///< Shared by the deployment: names pieces and requests.
  runtime::OperatorSettings Operators;
  FlowSettings Flow;
  CallerLimits Limits;
  LoadViewSettings Loads;
  RouterSettings Router;
  RetryBudgetSettings Retries;
  EjectionSettings Ejection;
  LimitSettings Quotas;
  double BindingsPerSecond = 5; ///< Of callers' own keys to tickets.
  double BindingBurst = 20;
  const Member &self() const { return Instance.Control.Self; }

  Duration ConnectTimeout{500'000}; ///< To an agent.
  Duration LinkIdleTimeout{
      60'000'000};             ///< An unused link to an agent is closed.
  size_t MaxRequests = 50'000; ///< In flight at once.
  size_t MaxInlineBodyBytes = 64U
                              << 10; ///< Longer bodies are read by a worker.
  Duration DrainNotice{1'000'000};   ///< Between refusing new requests and
                                     ///< closing the listening socket.
};

/// Reads every setting; mistakes are collected in the settings.
EntryOptions readEntryOptions(Settings &settings);

} // namespace daisytack::entry
