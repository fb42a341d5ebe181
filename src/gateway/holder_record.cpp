#include "gateway/holder_record.h"

#include <utility>

namespace daisytack::gateway {

HolderRecord::HolderRecord(std::string key, HolderRecordSettings settings,
                           HolderRecordHooks hooks)
    : Key(std::move(key)), Settings(settings), Hooks(std::move(hooks)) {}

bool HolderRecord::mayWrite(TimePoint now) const {
  return !IsWritePending && now >= NextWriteAt && Hooks.IsHolder(now);
}

void HolderRecord::write(std::string value, uint64_t replacedRevision,
                         TimePoint now,
                         std::function<void(const edge::KvHeader &)> log) {
  IsWritePending = true;
  NextWriteAt = now + Settings.WriteInterval;
  Hooks.Write(
      {Key, std::move(value), 0, false}, replacedRevision,
      [self = shared_from_this(), log = std::move(log)](const auto &header) {
        self->IsWritePending = false;
        log(header);
      });
}

} // namespace daisytack::gateway
