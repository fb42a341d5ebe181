/// The requests in flight at an entry and its latest refusals, for operators.
#pragma once

#include "query/rows.h"

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace daisytack::entry {

class ActiveRequest;

/// Thread-safe. The table is sharded; the mutex of a shard is held only to
/// change one element or to copy the shard's pointers.
class RequestRegistry {
public:
  void add(const std::shared_ptr<ActiveRequest> &request);
  void remove(const ActiveRequest *request);
  std::vector<std::shared_ptr<ActiveRequest>> all() const;

  /// Keeps the latest MaxRefusals refusals. `at` is the time of the refusal.
  void recordRefusal(query::RefusalRow row, TimePoint at);
  /// The kept refusals, oldest first, with their Age at `now`.
  std::vector<query::RefusalRow> refusals(TimePoint now) const;

private:
  static constexpr size_t Shards = 16;
  static constexpr size_t MaxRefusals = 256;

  struct Shard {
    mutable std::mutex Lock;
    std::unordered_map<const ActiveRequest *, std::weak_ptr<ActiveRequest>>
        Requests;
  };
  Shard &shardOf(const ActiveRequest *request);

  struct RecordedRefusal {
    query::RefusalRow Row;
    TimePoint At;
  };

  std::array<Shard, Shards> Table;
  mutable std::mutex RefusalLock;
  std::deque<RecordedRefusal> Refusals;
};

} // namespace daisytack::entry
