#include "query/measures.h"

#include "base/setting_text.h"
#include "base/standard_metrics.h"

#include <cmath>
#include <limits>

namespace daisytack::query {

namespace {

/// One line of the Prometheus text format.
struct Sample {
  std::string Name;
  std::map<std::string, std::string> Labels;
  double Value = 0;
};

/// Parses comma-separated NAME="VALUE" pairs up to the first text that isn't
/// one.
std::map<std::string, std::string> parseLabels(std::string_view text) {
  std::map<std::string, std::string> out;
  while (true) {
    size_t mark = text.find("=\"");
    if (mark == std::string_view::npos)
      return out;
    std::string name(text.substr(0, mark));
    text.remove_prefix(mark + 2);
    std::string value;
    while (!text.empty() && text.front() != '"') {
      if (text.front() == '\\' && text.size() > 1)
        text.remove_prefix(1);
      value += text.front();
      text.remove_prefix(1);
    }
    out[name] = value;
    text.remove_prefix(std::min<size_t>(text.size(), 1));
    if (!text.starts_with(','))
      return out;
    text.remove_prefix(1);
  }
}

std::optional<Sample> parseSample(std::string_view line) {
  size_t space = line.rfind(' ');
  if (line.starts_with('#') || space == std::string_view::npos)
    return std::nullopt;
  auto value = parseNumber(line.substr(space + 1));
  if (!value)
    return std::nullopt;
  Sample out;
  out.Value = *value;
  std::string_view series = line.substr(0, space);
  size_t brace = series.find('{');
  out.Name = series.substr(0, brace);
  if (brace != std::string_view::npos)
    out.Labels = parseLabels(series.substr(brace + 1));
  return out;
}

double bucketBound(const std::string &text) {
  if (text == "+Inf")
    return std::numeric_limits<double>::infinity();
  return parseNumber(text).value_or(0);
}

uint64_t toCount(double value) {
  return value > 0 ? static_cast<uint64_t>(value) : 0;
}

} // namespace

double ServingMeasure::firstTokenQuantile(double quantile) const {
  uint64_t total = requests();
  double rank = quantile * static_cast<double>(total);
  for (const auto &[edge, count] : FirstTokenBuckets)
    if (total > 0 && static_cast<double>(count) >= rank)
      return edge;
  return 0;
}

uint64_t ServingMeasure::requests() const {
  return FirstTokenBuckets.empty() ? 0 : FirstTokenBuckets.rbegin()->second;
}

double ServingMeasure::recomputedShare() const {
  if (PromptTokens == 0)
    return 0;
  return static_cast<double>(RecomputedTokens) /
         static_cast<double>(PromptTokens);
}

void Measures::add(std::string_view text) {
  const std::string buckets = std::string(metric::FirstToken) + "_bucket";
  ++Processes;
  while (!text.empty()) {
    std::string_view line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(line.size() + 1, text.size()));
    auto sample = parseSample(line);
    if (!sample)
      continue;
    auto &labels = sample->Labels;
    uint64_t count = toCount(sample->Value);
    if (sample->Name == metric::LinkBytes)
      LinkBytes[labels["direction"]] += count;
    std::pair pair{labels["model"], labels["class"]};
    if (sample->Name == buckets)
      Serving[pair].FirstTokenBuckets[bucketBound(labels["le"])] += count;
    if (sample->Name == metric::PromptTokens)
      Serving[pair].PromptTokens += count;
    if (sample->Name == metric::RecomputedTokens)
      Serving[pair].RecomputedTokens += count;
  }
}

} // namespace daisytack::query
