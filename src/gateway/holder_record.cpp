#include "gateway/holder_record.h"

#include "base/clock.h"

#include <utility>

namespace daisytack::gateway {

HolderRecord::HolderRecord(GatewayState &state, std::string key,
                           std::string event, std::string itemsField,
                           HolderRecordSettings settings,
                           HolderRecordHooks hooks)
    : State(state), Key(std::move(key)), Event(std::move(event)),
      ItemsField(std::move(itemsField)), Settings(settings),
      Hooks(std::move(hooks)) {}

bool HolderRecord::mayWrite(TimePoint now) const {
  return !IsWritePending && now >= NextWriteAt && Hooks.IsHolder(now);
}

void HolderRecord::write(std::string value, uint64_t replacedRevision,
                         size_t items, TimePoint now) {
  IsWritePending = true;
  NextWriteAt = now + Settings.WriteInterval;
  Hooks.Write({Key, std::move(value), 0, false}, replacedRevision,
              [self = shared_from_this(), items](const edge::KvHeader &header) {
                self->IsWritePending = false;
                self->State.Log.write(
                    LogPriority::Notable, self->Event,
                    {{self->ItemsField, items},
                     {"status", edge::kvStatusName(header.Status)},
                     {"revision", header.Revision}},
                    monotonicNow());
              });
}

} // namespace daisytack::gateway
