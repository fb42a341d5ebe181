/// A backend server with its state as known when a request is placed. The state
/// is looked up once, so that all steps of a placement use the same values.
#pragma once

#include "balancing/server_loads.h"
#include "direct/records.h"

#include <vector>

namespace daisytack::direct {

struct Candidate {
  const BackendServer *Server = nullptr; ///< Points into the catalog.
  balancing::ServerLoadView Load;
  /// How long a newer version than the server's weights has been desired; zero
  /// when the weights are current.
  Duration OutdatedFor{0};
  /// The server has just started or lost its warm state, or this can't be
  /// ruled out. It is subject to slow start.
  bool IsCold = false;
  auto operator<=>(const Candidate &) const = default;
};

using Candidates = std::vector<Candidate>;

} // namespace daisytack::direct
