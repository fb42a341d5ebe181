/// What makes two requests the same one, whatever their request ids and
/// whichever entry takes them: method, host, path with query, organisation and
/// body.
#pragma once

#include "direct/forward_flow.h"

#include <string_view>

namespace daisytack::direct {

/// A cryptographic digest, the same in every process: no caller can make one
/// that is another organisation's. Reads the whole body: about a microsecond a
/// kilobyte.
Id128 requestIdentity(const ForwardRequest &request, std::string_view body);

} // namespace daisytack::direct
