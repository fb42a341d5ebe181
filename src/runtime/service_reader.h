/// Reads the platform's services for one process: watches the configuration,
/// polls the instance list, and passes on the deltas.
#pragma once

#include "control/control_state.h"
#include "edge/instance_list.h"
#include "edge/kv.h"
#include "net/timer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <functional>
#include <memory>

namespace daisytack::runtime {

using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

struct ServiceReaderInit {
  Duration Timeout{2'000'000};      ///< Timeout of one call.
  Duration ListInterval{1'000'000}; ///< Interval between polls of the list.
  /// Interval between reads of the configuration, which find the changes that a
  /// watch has missed if it has stopped without an error.
  Duration CheckInterval{5'000'000};
};

/// Hooks, called on the strand.
struct ServiceReaderHooks {
  std::function<uint64_t()> ConfigWatermark;
  std::function<uint64_t()> MemberWatermark;
  /// Whether to accept an answer: it must come from the service that this
  /// process follows, and its revision must be at least the one that was known
  /// when the call was made.
  std::function<bool(const edge::KvHeader &, uint64_t atLeast)> Accept;
  std::function<void(const control::ReplicaDelta &)> Config;
  std::function<void(const control::ReplicaDelta &)> Members;
  /// Called after each call, with the reason if it was not answered.
  std::function<void(const Error &)> CallFinished;
};

/// All functions must be called on the strand.
class ServiceReader : public std::enable_shared_from_this<ServiceReader> {
public:
  ServiceReader(Strand strand, ServiceReaderInit init, edge::KvStore kv,
                edge::InstanceList list, ServiceReaderHooks hooks,
                RandomSource random);

  void setActive(bool active);
  bool isActive() const { return Active; }

private:
  using Timer = net::Timer;

  void checkConfig();
  void onConfig(uint64_t minRevision, edge::KvRangeResult result);
  void startWatch();
  void onWatched(const edge::KvHeader &header,
                 const std::vector<edge::KvChange> &changes);
  void onWatchEnded(const edge::KvHeader &header);
  void pollList();
  void onList(uint64_t since, const edge::InstanceListResult &result);
  void schedule(Timer &timer, Duration delay, void (ServiceReader::*step)());
  Duration jittered(Duration mean);
  Duration backoff(uint32_t failures);

  Strand Executor;
  ServiceReaderInit Init;
  edge::KvStore Kv;
  edge::InstanceList List;
  ServiceReaderHooks Hooks;
  RandomSource Random;
  Timer ConfigTimer;
  Timer ListTimer;
  bool Active = false;
  uint64_t Epoch = 0; ///< Raised by setActive(): answers to calls of an earlier
                      ///< epoch are dropped.
  bool Watching = false;
  uint64_t WatchEpoch = 0;
  uint64_t WatchedRevision = 0;
  edge::KvCancel StopWatch;
  uint32_t ConfigFailures = 0;
  uint32_t ListFailures = 0;
};

} // namespace daisytack::runtime
