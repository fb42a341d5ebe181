/// Writes of a record of the key-value service that only the holder of the
/// order lease writes.
#pragma once

#include "edge/kv.h"
#include "gateway/gateway_state.h"

#include <functional>
#include <memory>
#include <string>

namespace daisytack::gateway {

struct HolderRecordHooks {
  /// Whether this entry holds the order lease.
  std::function<bool(TimePoint now)> IsHolder;
  /// Writes the record as the holder of the order lease if the record is still
  /// at `replacedRevision` (0: it does not exist).
  std::function<void(edge::KvWrite, uint64_t replacedRevision,
                     std::function<void(const edge::KvHeader &)> done)>
      Write;
};

struct HolderRecordSettings {
  /// Shortest time between two writes, also after a failure.
  Duration WriteInterval{1'000'000};
  bool operator==(const HolderRecordSettings &) const = default;
};

/// All members are called on one strand, which the hooks use too.
class HolderRecord : public std::enable_shared_from_this<HolderRecord> {
public:
  HolderRecord(std::string key, HolderRecordSettings settings,
               HolderRecordHooks hooks);

  /// Whether this entry may write the record now.
  bool mayWrite(TimePoint now) const;
  /// Writes the value if the record is still at the revision; `log` writes the
  /// line that tells of the result.
  void write(std::string value, uint64_t replacedRevision, TimePoint now,
             std::function<void(const edge::KvHeader &)> log);

private:
  const std::string Key;
  const HolderRecordSettings Settings;
  const HolderRecordHooks Hooks;
  bool IsWritePending = false;
  TimePoint NextWriteAt;
};

} // namespace daisytack::gateway
