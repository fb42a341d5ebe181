#include "direct/record_history.h"

#include <algorithm>
#include <utility>

namespace daisytack::direct {

void RecordHistory::add(StoreRecord replaced) {
  if (replaced.Value.size() < LargeValueBytes)
    return;
  Records.push_back(std::move(replaced));
  if (Records.size() > MaxRecords)
    Records.pop_front();
}

const std::string *RecordHistory::find(std::string_view key,
                                       uint64_t revision) const {
  auto it = std::find_if(
      Records.begin(), Records.end(), [&](const StoreRecord &record) {
        return record.Key == key && record.Revision == revision;
      });
  return it == Records.end() ? nullptr : &it->Value;
}

} // namespace daisytack::direct
