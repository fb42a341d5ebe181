#include "runtime/service_reader.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace daisytack::runtime {

namespace {

constexpr Duration FirstBackoff{250'000};
constexpr uint32_t MaxDoublings = 5;
constexpr uint64_t JitterSteps = 1024;

std::string configBegin() { return std::string(control::ConfigPrefix); }
std::string configEnd() { return edge::prefixEnd(configBegin()); }

} // namespace

ServiceReader::ServiceReader(Strand strand, ServiceReaderInit init,
                             edge::KvStore kv, edge::InstanceList list,
                             ServiceReaderHooks hooks, RandomSource random)
    : Executor(std::move(strand)), Init(init), Kv(std::move(kv)),
      List(std::move(list)), Hooks(std::move(hooks)), Random(std::move(random)),
      ConfigTimer(Executor), ListTimer(Executor) {}

void ServiceReader::setActive(bool active) {
  if (active == Active)
    return;
  Active = active;
  ++Epoch;
  ConfigTimer.cancel();
  ListTimer.cancel();
  if (Active) {
    checkConfig();
    pollList();
    return;
  }
  ++WatchEpoch;
  if (std::exchange(Watching, false) && StopWatch)
    StopWatch();
}

void ServiceReader::checkConfig() {
  edge::KvRange range{configBegin(), configEnd(), 0, 0};
  uint64_t watermark = Hooks.ConfigWatermark();
  // Without any state the whole range is read, as an image.
  if (watermark != 0)
    range.MinModRevision = watermark + 1;
  auto self = shared_from_this();
  Kv.Range(range, Init.Timeout,
           [self, watermark, epoch = Epoch](edge::KvRangeResult result) {
             boost::asio::post(self->Executor,
                               [self, watermark, epoch,
                                result = std::move(result)]() mutable {
                                 if (epoch == self->Epoch)
                                   self->onConfig(watermark, std::move(result));
                               });
           });
}

void ServiceReader::onConfig(uint64_t minRevision, edge::KvRangeResult result) {
  Hooks.CallFinished(result.Header.Reason);
  bool ok = result.Header.Status == edge::KvStatus::Ok &&
            Hooks.Accept(result.Header, minRevision);
  if (!ok) {
    schedule(ConfigTimer, backoff(ConfigFailures++),
             &ServiceReader::checkConfig);
    return;
  }
  ConfigFailures = 0;
  uint64_t watermark = Hooks.ConfigWatermark();
  // The result holds all changes above the watermark at the time of the call.
  // The watermark can only have grown since then.
  Hooks.Config(control::toDelta(watermark, result.Header.Revision,
                                std::move(result.Entries)));
  startWatch();
  schedule(ConfigTimer, jittered(Init.CheckInterval),
           &ServiceReader::checkConfig);
}

void ServiceReader::startWatch() {
  if (std::exchange(Watching, true))
    return;
  WatchedRevision = Hooks.ConfigWatermark();
  uint64_t epoch = ++WatchEpoch;
  auto self = shared_from_this();
  edge::KvWatchHooks hooks;
  hooks.Changed = [self, epoch](const edge::KvHeader &header,
                                std::vector<edge::KvChange> changes) {
    boost::asio::post(self->Executor,
                      [self, epoch, header, changes = std::move(changes)] {
                        if (epoch == self->WatchEpoch)
                          self->onWatched(header, changes);
                      });
  };
  hooks.Ended = [self, epoch](const edge::KvHeader &header, uint64_t) {
    boost::asio::post(self->Executor, [self, epoch, header] {
      if (epoch == self->WatchEpoch)
        self->onWatchEnded(header);
    });
  };
  StopWatch = Kv.Watch(configBegin(), configEnd(), WatchedRevision + 1,
                       std::move(hooks));
}

void ServiceReader::onWatched(const edge::KvHeader &header,
                              const std::vector<edge::KvChange> &changes) {
  // A progress notification may be older than the result of a check.
  if (header.Revision < WatchedRevision)
    return;
  if (!Hooks.Accept(header, WatchedRevision))
    return;
  control::ReplicaDelta delta =
      control::toDelta(WatchedRevision, header.Revision, changes);
  WatchedRevision = header.Revision;
  Hooks.Config(delta);
}

void ServiceReader::onWatchEnded(const edge::KvHeader &header) {
  Watching = false;
  if (header.Reason)
    Hooks.CallFinished(header.Reason);
  // The revision was compacted or the connection was lost. In both cases the
  // next check reads all changes that were missed, and starts a new watch.
  schedule(ConfigTimer, backoff(ConfigFailures++), &ServiceReader::checkConfig);
}

void ServiceReader::pollList() {
  uint64_t since = Hooks.MemberWatermark();
  auto self = shared_from_this();
  List.Poll(since, Init.Timeout,
            [self, since, epoch = Epoch](edge::InstanceListResult result) {
              boost::asio::post(self->Executor, [self, since, epoch,
                                                 result = std::move(result)] {
                if (epoch == self->Epoch)
                  self->onList(since, result);
              });
            });
}

void ServiceReader::onList(uint64_t since,
                           const edge::InstanceListResult &result) {
  Hooks.CallFinished(result.Reason);
  if (result.Reason) {
    schedule(ListTimer, backoff(ListFailures++), &ServiceReader::pollList);
    return;
  }
  ListFailures = 0;
  // A copy of the list that is older than our state holds no new changes.
  if (result.Delta.Version >= since)
    Hooks.Members(control::toDelta(since, result.Delta));
  schedule(ListTimer, jittered(Init.ListInterval), &ServiceReader::pollList);
}

void ServiceReader::schedule(Timer &timer, Duration delay,
                             void (ServiceReader::*step)()) {
  timer.expires_after(delay);
  timer.async_wait([self = shared_from_this(), step,
                    epoch = Epoch](const boost::system::error_code &ec) {
    if (!ec && epoch == self->Epoch)
      (self.get()->*step)();
  });
}

Duration ServiceReader::jittered(Duration mean) {
  // From 0.8 to 1.2 times the mean, so that readers do not synchronise.
  auto steps = static_cast<int64_t>(Random() % JitterSteps);
  return mean * 4 / 5 + mean * 2 / 5 * steps / JitterSteps;
}

Duration ServiceReader::backoff(uint32_t failures) {
  Duration maxDelay = FirstBackoff * (1U << std::min(failures, MaxDoublings));
  auto steps = static_cast<int64_t>(Random() % JitterSteps);
  return maxDelay / 8 + maxDelay * 7 / 8 * steps / JitterSteps;
}

} // namespace daisytack::runtime
