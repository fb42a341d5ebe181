/// Earlier values of large records. An entry that has one of them gets the
/// difference from it instead of the whole newer value. Not thread-safe.
#pragma once

#include "direct/records.h"

#include <deque>
#include <string>
#include <string_view>

namespace daisytack::direct {

/// Size in bytes from which on a value counts as large. A large value is not
/// sent together with other records, but on request (record_transfer.h).
constexpr size_t LargeValueBytes = 4096;

class RecordHistory {
public:
  /// Keeps the record if its value is large; drops the oldest beyond a few.
  void add(StoreRecord replaced);
  /// The value of the key at the revision; null if it is not kept.
  const std::string *find(std::string_view key, uint64_t revision) const;

private:
  /// Limits memory. An entry that is further behind gets the whole value.
  static constexpr size_t MaxRecords = 4;
  std::deque<StoreRecord> Records; ///< Oldest first.
};

} // namespace daisytack::direct
