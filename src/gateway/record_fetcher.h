/// Receives large records that other entries offer, one part at a time, and
/// merges them into the catalog. The decisions are those of
/// direct::RecordFetch.
#pragma once

#include "direct/record_transfer.h"
#include "gateway/gateway_state.h"
#include "gateway/kv_service_follower.h"

#include <functional>
#include <memory>
#include <optional>

namespace daisytack::gateway {

/// Called on the strand.
struct RecordFetcherHooks {
  /// Makes a call; `done` gets nothing if there is no answer.
  std::function<void(
      const direct::RecordPartCall &call,
      const std::function<void(std::optional<direct::RecordPart>)> &done)>
      RequestPart;
  /// A record is complete. `source` sent its last part.
  std::function<void(const direct::StoreRecord &, const Endpoint &source)>
      OnRecord;
};

/// Call all members on the strand on which the hooks are called.
class RecordFetcher : public std::enable_shared_from_this<RecordFetcher> {
public:
  RecordFetcher(GatewayState &state, direct::RecordFetchSettings settings,
                RecordFetcherHooks hooks);

  /// Another entry offers a record. Returns whether this entry lacks it.
  bool onOffer(const direct::RecordOffer &offer, const Endpoint &source,
               TimePoint now);
  /// Requests the next part when it is due. Call several times a second.
  void onTimer(TimePoint now);
  /// Whether records are being received and parts still arrive.
  bool isProgressing(TimePoint now) const { return Fetch.isProgressing(now); }
  void stop() { IsStopped = true; }

private:
  void onAnswer(const direct::RecordPartCall &call,
                std::optional<direct::RecordPart> part, TimePoint now);
  void logFailure(const direct::RecordPartCall &call, std::string_view reason,
                  TimePoint now);
  /// Logs once when this entry has lacked a record for long.
  void checkAge(TimePoint now);

  GatewayState &State;
  RecordFetcherHooks Hooks;
  direct::RecordFetch Fetch;
  bool IsLate = false;
  bool IsStopped = false;
};

} // namespace daisytack::gateway
