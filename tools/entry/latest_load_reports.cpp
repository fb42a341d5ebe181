#include "latest_load_reports.h"

namespace daisytack::entry {

void LatestLoadReports::update(const std::string &server,
                               const wire::LoadReport &load, TimePoint now) {
  std::lock_guard guard(Lock);
  LastReports[server] = {load, now};
}

std::optional<ReceivedLoadReport>
LatestLoadReports::find(const std::string &server) const {
  std::lock_guard guard(Lock);
  auto it = LastReports.find(server);
  if (it == LastReports.end())
    return std::nullopt;
  return it->second;
}

void LatestLoadReports::prune(const Snapshot &snapshot) {
  std::lock_guard guard(Lock);
  std::erase_if(LastReports, [&](const auto &entry) {
    return snapshot.server(entry.first) == nullptr;
  });
}

} // namespace daisytack::entry
