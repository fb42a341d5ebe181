/// A backend server and what is believed of it at the moment of one choice.
/// Looked up once, so that all parts of a choice decide on the same belief.
#pragma once

#include "direct/records.h"
#include "direct/server_loads.h"

#include <vector>

namespace daisytack::direct {

struct Candidate {
  const BackendServer *Server = nullptr; ///< Of the catalog; never null.
  ServerLoadView Load;
  /// How long its weights have been older than wanted.
  Duration OutdatedFor{0};
  /// It has just started, or is cold again, or may be: it takes few requests.
  bool IsCold = false;
  auto operator<=>(const Candidate &) const = default;
};

using Candidates = std::vector<Candidate>;

} // namespace daisytack::direct
