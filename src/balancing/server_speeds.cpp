#include "balancing/server_speeds.h"

#include "base/duration.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace daisytack::balancing {

namespace {

constexpr uint32_t UsualPace = 100;
constexpr double PaceUnit = 2; ///< Of LoadShare::Pace, in percent.
/// Bound on the logarithm of one ratio: a factor of 20.
constexpr double MaxRatio = 3;
constexpr uint32_t MaxSamples = 1'000'000; ///< Counts stop there.

/// Reorders the values, which must not be empty.
double medianOf(std::vector<double> &values) {
  auto middle = values.begin() + static_cast<ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  if (values.size() % 2 == 1)
    return *middle;
  return (*middle + *std::max_element(values.begin(), middle)) / 2;
}

uint8_t paceByte(double ratio) {
  return static_cast<uint8_t>(
      std::clamp(std::round(std::exp(ratio) * UsualPace / PaceUnit), 1.0,
                 static_cast<double>(UINT8_MAX)));
}

} // namespace

void ServerSpeeds::setServers(const std::vector<SpeedTarget> &servers) {
  if (!Settings.IsEnabled)
    return;
  std::lock_guard guard(Lock);
  for (auto &[name, service] : Services)
    service.ServerCount = 0;
  std::unordered_map<uint64_t, Estimate> kept;
  for (const SpeedTarget &it : servers) {
    ServiceState &service = Services[it.Service];
    auto found = Servers.find(it.ServerKey);
    Estimate &estimate = kept[it.ServerKey];
    if (found != Servers.end() && found->second.Service == &service)
      estimate = found->second;
    estimate.Service = &service;
    ++service.ServerCount;
  }
  Servers = std::move(kept);
  std::erase_if(Services,
                [](const auto &it) { return it.second.ServerCount == 0; });
}

void ServerSpeeds::addNew(Estimate &estimate, double ratio, uint32_t samples,
                          TimePoint now) {
  estimate.NewSum += ratio * samples;
  estimate.NewSamples = std::min(estimate.NewSamples + samples, MaxSamples);
  estimate.UpdatedAt = now;
}

void ServerSpeeds::observe(uint64_t server, uint64_t unreadTokens,
                           uint64_t tokensBefore, double tokensPerMs,
                           Duration firstByte, TimePoint now) {
  double prefillMs = millisecondsOf(firstByte) - Settings.BaseMs;
  if (!Settings.IsEnabled || unreadTokens < Settings.MinTokens ||
      tokensPerMs <= 0 || prefillMs <= 0)
    return;
  double predictedMs =
      static_cast<double>(unreadTokens + tokensBefore) / tokensPerMs;
  double ratio =
      std::clamp(std::log(prefillMs / predictedMs), -MaxRatio, MaxRatio);
  std::lock_guard guard(Lock);
  auto it = Servers.find(server);
  if (it == Servers.end())
    return;
  Estimate &estimate = it->second;
  ServiceState &service = *estimate.Service;
  ratio -= service.OwnDelay;
  service.OwnDelay +=
      (ratio - service.Usual - estimate.Long) * Settings.DelayWeight;
  addNew(estimate, ratio, 1, now);
  estimate.Unreported += ratio;
  ++estimate.UnreportedSamples;
}

void ServerSpeeds::onPeerReport(const std::vector<LoadShare> &shares,
                                TimePoint now) {
  if (!Settings.IsEnabled)
    return;
  std::lock_guard guard(Lock);
  for (const LoadShare &share : shares) {
    if (share.Pace == 0 || share.PaceSamples == 0)
      continue;
    auto it = Servers.find(share.ServerKey);
    if (it == Servers.end())
      continue;
    double ratio = std::log(share.Pace * PaceUnit / UsualPace);
    addNew(it->second, std::clamp(ratio, -MaxRatio, MaxRatio),
           share.PaceSamples, now);
  }
}

void ServerSpeeds::addTo(std::vector<LoadShare> &shares) {
  if (!Settings.IsEnabled)
    return;
  std::lock_guard guard(Lock);
  for (LoadShare &share : shares) {
    auto it = Servers.find(share.ServerKey);
    if (it == Servers.end() || it->second.UnreportedSamples == 0)
      continue;
    const Estimate &estimate = it->second;
    share.Pace = paceByte(estimate.Unreported / estimate.UnreportedSamples);
    share.PaceSamples = static_cast<uint8_t>(
        std::min<uint32_t>(estimate.UnreportedSamples, UINT8_MAX));
  }
  // What the report leaves out is dropped: receivers take evidence as recent.
  for (auto &[key, estimate] : Servers) {
    estimate.Unreported = 0;
    estimate.UnreportedSamples = 0;
  }
}

double ServerSpeeds::newDeviation(const Estimate &estimate) {
  return estimate.NewSum / estimate.NewSamples - estimate.Service->Usual -
         estimate.Long;
}

void ServerSpeeds::compareNew() {
  std::unordered_map<ServiceState *, std::vector<double>> logs;
  for (const auto &[key, estimate] : Servers)
    if (estimate.NewSamples > 0)
      logs[estimate.Service].push_back(newDeviation(estimate));
  for (auto &[name, service] : Services) {
    service.NewMedian = 0;
    service.IsCompared = false;
  }
  for (auto &[service, values] : logs) {
    service->IsCompared =
        values.size() >=
        std::min<size_t>(Settings.MinCompared, service->ServerCount);
    if (service->IsCompared)
      service->NewMedian = medianOf(values);
  }
}

void ServerSpeeds::learn(Estimate &estimate, TimePoint now) const {
  if (estimate.NewSamples == 0)
    return;
  const ServiceState &service = *estimate.Service;
  double deviation = newDeviation(estimate) - service.NewMedian;
  estimate.NewSum = 0;
  uint32_t samples = std::exchange(estimate.NewSamples, 0);
  if (service.IsCompared) {
    bool isSlowed = deviation > std::log(Settings.MinSlowdown);
    bool wasSlowed =
        estimate.WasSlowed && now < estimate.SlowedAt + Settings.ShortTtl;
    // The second time only: of the first answers after the start of a shortage
    // of all servers, some may be usual.
    estimate.Slowdown = isSlowed && wasSlowed ? deviation : 0;
    estimate.WasSlowed = isSlowed;
    if (isSlowed)
      estimate.SlowedAt = now;
  }
  bool isSettled = estimate.Samples >= Settings.MinSamples;
  estimate.Samples = std::min(estimate.Samples + samples, MaxSamples);
  if (isSettled)
    deviation =
        std::clamp(deviation, -Settings.MaxDeviation, Settings.MaxDeviation);
  uint32_t window = std::min(estimate.Samples, Settings.LongSamples);
  estimate.Long +=
      deviation * std::min(1.0, static_cast<double>(samples) / window);
}

void ServerSpeeds::centre() {
  std::unordered_map<ServiceState *, std::vector<double>> logs;
  for (const auto &[key, estimate] : Servers)
    if (estimate.Samples > 0)
      logs[estimate.Service].push_back(estimate.Long);
  for (auto &[service, values] : logs) {
    service->Median = medianOf(values);
    service->Usual +=
        service->Median + service->NewMedian * Settings.UsualWeight;
  }
  for (auto &[key, estimate] : Servers)
    if (estimate.Samples > 0)
      estimate.Long -= estimate.Service->Median;
}

std::vector<SpeedChange> ServerSpeeds::onTimer(TimePoint now) {
  std::vector<SpeedChange> out;
  if (!Settings.IsEnabled)
    return out;
  std::lock_guard guard(Lock);
  compareNew();
  for (auto &[key, estimate] : Servers)
    learn(estimate, now);
  centre();
  for (auto &[key, estimate] : Servers) {
    uint32_t pace = paceOf(estimate, now);
    bool isSlow = estimate.IsSlow ? pace >= Settings.SlowUntil
                                  : pace > Settings.SlowAbove;
    if (isSlow == estimate.IsSlow)
      continue;
    estimate.IsSlow = isSlow;
    out.push_back(
        {key, pace, estimate.Samples, now - estimate.UpdatedAt, isSlow});
  }
  return out;
}

uint32_t ServerSpeeds::paceOf(const Estimate &estimate, TimePoint now) const {
  if (estimate.Samples < Settings.MinSamples)
    return UsualPace;
  double percent = std::exp(estimate.Long) * UsualPace;
  if (std::abs(percent - UsualPace) <= Settings.EqualWithin)
    percent = UsualPace;
  if (now < estimate.SlowedAt + Settings.ShortTtl)
    percent *= std::exp(estimate.Slowdown);
  return static_cast<uint32_t>(std::clamp<double>(
      std::round(percent), Settings.MinPace, Settings.MaxPace));
}

uint32_t ServerSpeeds::pace(uint64_t server, TimePoint now) const {
  if (!Settings.IsEnabled)
    return UsualPace;
  std::lock_guard guard(Lock);
  auto it = Servers.find(server);
  return it == Servers.end() ? UsualPace : paceOf(it->second, now);
}

SpeedSummary ServerSpeeds::summary(TimePoint now) const {
  SpeedSummary out;
  std::lock_guard guard(Lock);
  bool isFirst = true;
  for (const auto &[key, estimate] : Servers) {
    uint32_t pace = paceOf(estimate, now);
    out.SlowServers += pace > Settings.SlowAbove ? 1 : 0;
    out.MinPace = isFirst ? pace : std::min(out.MinPace, pace);
    out.MaxPace = isFirst ? pace : std::max(out.MaxPace, pace);
    isFirst = false;
  }
  return out;
}

} // namespace daisytack::balancing
