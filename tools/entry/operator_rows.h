/// Hooks through which the operators' HTTP server queries an entry and stops
/// its requests.
#pragma once

#include "entry_state.h"
#include "runtime/operator_http.h"

namespace daisytack::entry {

/// `state` must outlive the hooks.
runtime::OperatorHooks operatorHooks(EntryState &state);

} // namespace daisytack::entry
