/// The time line and the three measures as one HTML page that needs nothing
/// else: no script, no network.
#pragma once

#include "query/measures.h"
#include "query/timeline.h"

namespace daisytack::query {

std::string timelinePage(const Timeline &timeline, const Measures &measures,
                         const std::string &title);

} // namespace daisytack::query
