/// The latest load report of each backend server, for operators. Routing uses
/// estimates that decay with time (decide/load_view.h).
#pragma once

#include "control/snapshot.h"
#include "wire/messages.h"

#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace daisytack::entry {

struct ReceivedLoadReport {
  wire::LoadReport Load;
  TimePoint ReceivedAt;
};

/// Thread-safe: one mutex, held for a look-up, an update or prune().
class LatestLoadReports {
public:
  void update(const std::string &server, const wire::LoadReport &load,
              TimePoint now);
  std::optional<ReceivedLoadReport> find(const std::string &server) const;
  /// Removes reports of servers that are not in the snapshot, so that memory is
  /// bounded by the number of servers.
  void prune(const Snapshot &snapshot);

private:
  mutable std::mutex Lock;
  std::unordered_map<std::string, ReceivedLoadReport> LastReports;
};

} // namespace daisytack::entry
