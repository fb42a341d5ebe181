/// The identity of a request across request ids and entries. Two requests are
/// the same if their organisation, method, host, path with query and body are
/// equal.
#pragma once

#include "direct/forward_flow.h"

#include <string_view>

namespace daisytack::direct {

/// A cryptographic digest that is the same in every process. No caller can
/// construct a request with the identity of another organisation's request.
/// Reads the whole body, which takes about 1 us per kilobyte.
Id128 requestIdentity(const ForwardRequest &request, std::string_view body);

} // namespace daisytack::direct
