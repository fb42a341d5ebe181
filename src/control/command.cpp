#include "control/command.h"

namespace daisytack::control {

std::string_view commandOutcomeName(CommandOutcome outcome) {
  constexpr std::array<std::string_view, 6> Names{
      "applied", "unchanged", "refused", "conflict", "unavailable", "unknown"};
  return Names[static_cast<size_t>(outcome)];
}

} // namespace daisytack::control
