/// Counters, gauges and histograms of one process, exported as Prometheus text.
#pragma once

#include "daisytack/types.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace daisytack {

/// One label of a series. The set of values must be bounded (a model, a class,
/// an error kind), never an id.
struct Label {
  std::string Name;
  std::string Value;
  auto operator<=>(const Label &) const = default;
};

/// Monotonically increasing. Lock-free.
class Counter {
public:
  void add(uint64_t n = 1) { Value.fetch_add(n, std::memory_order_relaxed); }
  uint64_t get() const { return Value.load(std::memory_order_relaxed); }

private:
  std::atomic<uint64_t> Value{0};
};

/// May increase and decrease. Lock-free.
class Gauge {
public:
  void set(int64_t v) { Value.store(v, std::memory_order_relaxed); }
  void add(int64_t v) { Value.fetch_add(v, std::memory_order_relaxed); }
  int64_t get() const { return Value.load(std::memory_order_relaxed); }

private:
  std::atomic<int64_t> Value{0};
};

/// Histogram of a duration (Boost.Histogram, logarithmic bins from 10 us to
/// 1000 s) or of a share in 0..1.
class Distribution {
public:
  enum class Unit : uint8_t { Seconds, Share };
  explicit Distribution(Unit unit);
  ~Distribution();
  void observe(double value);
  void observe(Duration value);
  uint64_t count() const;
  double sum() const;
  /// Upper edge of the bin that contains the quantile (0..1); 0 without
  /// observations.
  double quantile(double q) const;
  /// Cumulative counts by upper edge, as in Prometheus.
  std::vector<std::pair<double, uint64_t>> buckets() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

/// Owns all series of a process. References stay valid for its lifetime; look
/// them up once, not per request.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  Counter &counter(const std::string &name, const std::string &help,
                   std::vector<Label> labels = {});
  Gauge &gauge(const std::string &name, const std::string &help,
               std::vector<Label> labels = {});
  Distribution &distribution(const std::string &name, const std::string &help,
                             Distribution::Unit unit,
                             std::vector<Label> labels = {});
  /// Prometheus text exposition format 0.0.4.
  std::string prometheusText() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace daisytack
