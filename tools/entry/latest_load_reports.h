/// The last load report of each backend server, for operators; routing has its
/// own, decayed view (decide/load_view.h).
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

/// Thread-safe; one lock, held for a look-up or a copy.
class LatestLoadReports {
public:
  void update(const std::string &server, const wire::LoadReport &load,
              TimePoint now);
  std::optional<ReceivedLoadReport> find(const std::string &server) const;
  /// Forgets servers that the snapshot doesn't know, so that the memory is
  /// bounded by the fleet's size.
  void prune(const Snapshot &snapshot);

private:
  mutable std::mutex Lock;
  std::unordered_map<std::string, ReceivedLoadReport> LastReports;
};

} // namespace daisytack::entry
