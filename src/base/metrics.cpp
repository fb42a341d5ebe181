#include "base/metrics.h"

#include "base/setting_text.h"

#include <boost/histogram.hpp>

#include <array>
#include <charconv>
#include <cmath>
#include <limits>

namespace daisytack {

namespace {

namespace bh = boost::histogram;

constexpr double MinSeconds = 1e-5;
constexpr double MaxSeconds = 1e3;
/// Five bins per decade over eight decades.
constexpr unsigned SecondsBins = 40;
constexpr unsigned ShareBins = 20;
constexpr int EdgeDigits = 4;
constexpr double MicrosPerSecond = 1e6;

using SecondsAxis = bh::axis::regular<double, bh::axis::transform::log>;
using ShareAxis = bh::axis::regular<double>;
using Axis = bh::axis::variant<SecondsAxis, ShareAxis>;
using Cell = bh::accumulators::count<uint64_t, true>;
using Histogram = bh::histogram<std::vector<Axis>, bh::dense_storage<Cell>>;

Histogram makeHistogram(Distribution::Unit unit) {
  std::vector<Axis> axes;
  if (unit == Distribution::Unit::Seconds)
    axes.emplace_back(SecondsAxis(SecondsBins, MinSeconds, MaxSeconds));
  else
    axes.emplace_back(ShareAxis(ShareBins, 0.0, 1.0));
  return {std::move(axes), bh::dense_storage<Cell>{}};
}

std::string escaped(std::string_view text, bool isLabel) {
  std::string out;
  for (char c : text) {
    if (c == '\n')
      out += "\\n";
    else if (c == '\\' || (isLabel && c == '"'))
      out += {'\\', c};
    else
      out += c;
  }
  return out;
}

std::string labelText(const std::vector<Label> &labels) {
  std::string out;
  for (const Label &label : labels)
    out += (out.empty() ? "" : ",") + label.Name + "=\"" +
           escaped(label.Value, true) + "\"";
  return out;
}

std::string braced(const std::string &labels) {
  return labels.empty() ? "" : "{" + labels + "}";
}

/// Formats a bin edge, rounded so that series are the same on all platforms.
std::string edgeText(double edge) {
  if (std::isinf(edge))
    return "+Inf";
  std::array<char, 32> buf{};
  auto end = std::to_chars(buf.data(), buf.data() + buf.size(), edge,
                           std::chars_format::general, EdgeDigits)
                 .ptr;
  return {buf.data(), end};
}

void writeDistribution(std::string &out, const std::string &name,
                       const std::string &labels, const Distribution &it) {
  std::string prefix = labels.empty() ? "" : labels + ",";
  for (const auto &[edge, count] : it.buckets()) {
    out.append(name).append("_bucket{").append(prefix);
    out.append("le=\"").append(edgeText(edge)).append("\"} ");
    out.append(std::to_string(count)).append("\n");
  }
  out += name + "_sum" + braced(labels) + " " + numberText(it.sum()) + "\n";
  out += name + "_count" + braced(labels) + " " + std::to_string(it.count()) +
         "\n";
}

/// All series with the same metric name.
template <class T> struct Family {
  std::string Help;
  std::map<std::vector<Label>, std::unique_ptr<T>> Series;
};

template <class T> using Families = std::map<std::string, Family<T>>;

template <class T, class... Args>
T &seriesOf(Families<T> &families, const std::string &name,
            const std::string &help, std::vector<Label> labels, Args... args) {
  Family<T> &family = families[name];
  if (family.Help.empty())
    family.Help = help;
  auto &slot = family.Series[std::move(labels)];
  if (!slot)
    slot = std::make_unique<T>(args...);
  return *slot;
}

template <class T, class Write>
void writeFamilies(std::string &out, const Families<T> &families,
                   std::string_view type, Write write) {
  for (const auto &[name, family] : families) {
    out += "# HELP " + name + " " + escaped(family.Help, false) + "\n";
    out += "# TYPE " + name + " " + std::string(type) + "\n";
    for (const auto &[labels, series] : family.Series)
      write(name, labelText(labels), *series);
  }
}

} // namespace

struct Distribution::Impl {
  explicit Impl(Unit unit) : Kind(unit), Bins(makeHistogram(unit)) {}

  Unit Kind;
  Histogram Bins;
  std::atomic<double> Sum{0};
};

Distribution::Distribution(Unit unit) : Self(std::make_unique<Impl>(unit)) {}
Distribution::~Distribution() = default;

void Distribution::observe(double value) {
  if (std::isnan(value))
    return;
  value = std::max(value, 0.0);
  if (Self->Kind == Unit::Share)
    value = std::min(value, 1.0);
  Self->Sum.fetch_add(value, std::memory_order_relaxed);
  // The axis is half open; a share of exactly 1 counts in its last bin.
  if (Self->Kind == Unit::Share)
    value = std::min(value, std::nextafter(1.0, 0.0));
  Self->Bins(value);
}

void Distribution::observe(Duration value) {
  observe(static_cast<double>(value.count()) / MicrosPerSecond);
}

uint64_t Distribution::count() const {
  uint64_t out = 0;
  for (auto &&cell : bh::indexed(Self->Bins, bh::coverage::all))
    out += cell->value();
  return out;
}

double Distribution::sum() const {
  return Self->Sum.load(std::memory_order_relaxed);
}

std::vector<std::pair<double, uint64_t>> Distribution::buckets() const {
  std::vector<std::pair<double, uint64_t>> out;
  uint64_t total = 0;
  for (auto &&cell : bh::indexed(Self->Bins, bh::coverage::all)) {
    total += cell->value();
    out.emplace_back(cell.bin(0).upper(), total);
  }
  if (Self->Kind == Unit::Share)
    out.erase(out.begin()); // Underflow bin; shares are never negative.
  out.back().first = std::numeric_limits<double>::infinity();
  return out;
}

double Distribution::quantile(double q) const {
  auto all = buckets();
  uint64_t total = all.back().second;
  if (total == 0)
    return 0;
  double rank = std::max(q * static_cast<double>(total), 1.0);
  for (const auto &[edge, count] : all)
    if (static_cast<double>(count) >= rank)
      return edge;
  return all.back().first;
}

struct Metrics::Impl {
  mutable std::mutex Lock;
  Families<Counter> Counters;
  Families<Gauge> Gauges;
  Families<Distribution> Distributions;
};

Metrics::Metrics() : Self(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

Counter &Metrics::counter(const std::string &name, const std::string &help,
                          std::vector<Label> labels) {
  std::lock_guard guard(Self->Lock);
  return seriesOf(Self->Counters, name, help, std::move(labels));
}

Gauge &Metrics::gauge(const std::string &name, const std::string &help,
                      std::vector<Label> labels) {
  std::lock_guard guard(Self->Lock);
  return seriesOf(Self->Gauges, name, help, std::move(labels));
}

Distribution &Metrics::distribution(const std::string &name,
                                    const std::string &help,
                                    Distribution::Unit unit,
                                    std::vector<Label> labels) {
  std::lock_guard guard(Self->Lock);
  return seriesOf(Self->Distributions, name, help, std::move(labels), unit);
}

std::string Metrics::prometheusText() const {
  std::lock_guard guard(Self->Lock);
  std::string out;
  auto single = [&](const std::string &name, const std::string &labels,
                    const auto &series) {
    out += name + braced(labels) + " " + std::to_string(series.get()) + "\n";
  };
  writeFamilies(out, Self->Counters, "counter", single);
  writeFamilies(out, Self->Gauges, "gauge", single);
  writeFamilies(out, Self->Distributions, "histogram",
                [&](const std::string &name, const std::string &labels,
                    const Distribution &it) {
                  writeDistribution(out, name, labels, it);
                });
  return out;
}

} // namespace daisytack
