/// What an entry shows and does for operators, as hooks of the operators' HTTP.
#pragma once

#include "entry_state.h"
#include "runtime/operator_http.h"

namespace daisytack::entry {

/// The state must outlive the hooks.
runtime::OperatorHooks operatorHooks(EntryState &state);

} // namespace daisytack::entry
