/// Renders the timeline and the measures (query/measures.h) as a self-contained
/// HTML page without scripts or network access.
#pragma once

#include "query/measures.h"
#include "query/timeline.h"

namespace daisytack::query {

std::string timelinePage(const Timeline &timeline, const Measures &measures,
                         const std::string &title);

} // namespace daisytack::query
