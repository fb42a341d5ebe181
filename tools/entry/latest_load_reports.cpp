#include "latest_load_reports.h"

namespace daisytack::entry {

void HeardLoads::hear(const std::string &server, const wire::LoadReport &load,
                      TimePoint now) {
  std::lock_guard guard(Lock);
  Known[server] = {load, now};
}

std::optional<HeardLoad> HeardLoads::of(const std::string &server) const {
  std::lock_guard guard(Lock);
  auto it = Known.find(server);
  if (it == Known.end())
    return std::nullopt;
  return it->second;
}

void HeardLoads::prune(const Snapshot &snapshot) {
  std::lock_guard guard(Lock);
  std::erase_if(Known, [&](const auto &entry) {
    return snapshot.server(entry.first) == nullptr;
  });
}

} // namespace daisytack::entry
