#include "steps.h"

#include <array>

namespace daisytack::matrix {

std::string_view stepName(Step step) {
  static constexpr std::array<std::string_view, StepCount> Names{
      "receive", "authenticate", "limit",   "rank",        "offer",  "accept",
      "fetch",   "import",       "run",     "stream",      "record", "answer",
      "release", "read",         "propose", "lose answer", "spread", "apply",
      "lease",   "load",         "swap",    "drain"};
  return Names[static_cast<size_t>(step)];
}

std::string_view faultName(Fault fault) {
  static constexpr std::array<std::string_view, FaultCount> Names{
      "process dies", "restarts empty", "pauses past lease", "message lost",
      "duplicated",   "late",           "crossed",           "service down",
      "service slow", "answer lost",    "watch gap",         "store dead",
      "store full",   "store slow",     "store torn",        "store freed",
      "server slow",  "server dies",    "server leaves",     "ignores fencing",
      "list lags",    "clock steps"};
  return Names[static_cast<size_t>(fault)];
}

} // namespace daisytack::matrix
