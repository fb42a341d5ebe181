#include "query/rows.h"

#include <array>

namespace daisytack::query {

std::string_view requestStateName(RequestState state) {
  constexpr std::array<std::string_view, 4> Names{"offered", "waiting",
                                                  "running", "held"};
  return Names[static_cast<size_t>(state)];
}

} // namespace daisytack::query
