#include "request_registry.h"

#include "base/digest.h"

#include <utility>

namespace daisytack::entry {

RequestRegistry::Shard &RequestRegistry::shardOf(const ActiveRequest *request) {
  return Table[mix64(reinterpret_cast<uintptr_t>(request)) % Shards];
}

void RequestRegistry::add(const std::shared_ptr<ActiveRequest> &request) {
  Shard &shard = shardOf(request.get());
  std::lock_guard guard(shard.Lock);
  shard.Requests.emplace(request.get(), request);
}

void RequestRegistry::remove(const ActiveRequest *request) {
  Shard &shard = shardOf(request);
  std::lock_guard guard(shard.Lock);
  shard.Requests.erase(request);
}

std::vector<std::shared_ptr<ActiveRequest>> RequestRegistry::all() const {
  std::vector<std::shared_ptr<ActiveRequest>> out;
  for (const Shard &shard : Table) {
    std::lock_guard guard(shard.Lock);
    for (const auto &[request, weak] : shard.Requests)
      if (auto it = weak.lock())
        out.push_back(std::move(it));
  }
  return out;
}

void RequestRegistry::recordRefusal(query::RefusalRow row, TimePoint at) {
  std::lock_guard guard(RefusalLock);
  Refusals.push_back({std::move(row), at});
  if (Refusals.size() > MaxRefusals)
    Refusals.pop_front();
}

std::vector<query::RefusalRow> RequestRegistry::refusals(TimePoint now) const {
  std::vector<query::RefusalRow> out;
  std::lock_guard guard(RefusalLock);
  out.reserve(Refusals.size());
  for (const RecordedRefusal &it : Refusals) {
    out.push_back(it.Row);
    out.back().Age = std::chrono::duration_cast<Duration>(now - it.At);
  }
  return out;
}

} // namespace daisytack::entry
