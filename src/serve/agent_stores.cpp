#include "serve/agent_stores.h"

#include <utility>

namespace daisytack::serve {

StoreTable::StoreTable(StoreSettings settings) : Settings(std::move(settings)) {
  for (size_t i = 0; i < Settings.Instances.size(); ++i)
    Links.push_back({LinkScheduler(Settings.Link), std::nullopt});
}

std::vector<StoreHandle> StoreTable::storesOf(std::span<const PieceKey> pieces,
                                              size_t index, size_t copies,
                                              TimePoint now) const {
  std::vector<StoreHandle> out;
  for (uint32_t it : chooseStores(pieces[index], Settings.Instances, copies))
    if (isUsable({it}, now))
      out.push_back({it});
  return out;
}

std::vector<LinkState> StoreTable::linkStates(TimePoint deadline,
                                              TimePoint now) const {
  std::vector<LinkState> out;
  for (const StoreLink &it : Links) {
    LinkState state;
    state.BytesPerSecond = it.Link.bytesPerSecond(now);
    state.BacklogBytes = it.Link.backlogBefore(deadline);
    state.RoundTrip = Settings.Link.RoundTrip;
    state.DiskBytesPerSecond = Settings.DiskBytesPerSecond;
    out.push_back(state);
  }
  return out;
}

void StoreTable::onFailed(StoreHandle store, TimePoint now) {
  Links[store.Index].DownUntil = now + Settings.RetryAfter;
}

bool StoreTable::isUsable(StoreHandle store, TimePoint now) const {
  const auto &until = Links[store.Index].DownUntil;
  return !until || *until <= now;
}

std::optional<TimePoint> StoreTable::nextTransferAt(TimePoint now) const {
  std::optional<TimePoint> out;
  for (const StoreLink &it : Links) {
    auto at = it.Link.nextAt(now);
    if (at && (!out || *at < *out))
      out = at;
  }
  return out;
}

bool isStoreFailure(const Error &why) {
  return why.Kind != ErrorKind::NotFound && why.Kind != ErrorKind::RecordFull &&
         why.Kind != ErrorKind::Cancelled;
}

} // namespace daisytack::serve
