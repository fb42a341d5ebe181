#include "request_registry.h"

#include "base/digest.h"

#include <utility>

namespace daisytack::entry {

RequestBoard::Shard &RequestBoard::shardOf(const ActiveRequest *request) {
  return Table[mix64(reinterpret_cast<uintptr_t>(request)) % Shards];
}

void RequestBoard::add(const std::shared_ptr<ActiveRequest> &request) {
  Shard &shard = shardOf(request.get());
  std::lock_guard guard(shard.Lock);
  shard.Requests.emplace(request.get(), request);
}

void RequestBoard::remove(const ActiveRequest *request) {
  Shard &shard = shardOf(request);
  std::lock_guard guard(shard.Lock);
  shard.Requests.erase(request);
}

std::vector<std::shared_ptr<ActiveRequest>> RequestBoard::all() const {
  std::vector<std::shared_ptr<ActiveRequest>> out;
  for (const Shard &shard : Table) {
    std::lock_guard guard(shard.Lock);
    for (const auto &[request, weak] : shard.Requests)
      if (auto it = weak.lock())
        out.push_back(std::move(it));
  }
  return out;
}

void RequestBoard::refused(query::RefusalRow row, TimePoint at) {
  std::lock_guard guard(RefusalLock);
  Refusals.push_back({std::move(row), at});
  if (Refusals.size() > RefusalsKept)
    Refusals.pop_front();
}

std::vector<query::RefusalRow> RequestBoard::refusals(TimePoint now) const {
  std::vector<query::RefusalRow> out;
  std::lock_guard guard(RefusalLock);
  out.reserve(Refusals.size());
  for (const KeptRefusal &it : Refusals) {
    out.push_back(it.Row);
    out.back().Age = std::chrono::duration_cast<Duration>(now - it.At);
  }
  return out;
}

} // namespace daisytack::entry
