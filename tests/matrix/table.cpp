#include "table.h"

#include <atomic>
#include <cstdio>
#include <map>
#include <thread>

namespace daisytack::matrix {

namespace {

constexpr size_t Threads = 4;
/// The sample has one cell per this many unordered pairs of faults.
constexpr size_t PairSampling = 3;
constexpr uint32_t MaxSkippedPasses = 7;
constexpr Duration PairInterval{1'500'000};

char cellMark(const Cell &cell) {
  if (!cell.Result.Violation.empty())
    return 'X';
  return cell.Result.Injected ? '.' : '-';
}

std::string text(std::string_view it) { return std::string(it); }

} // namespace

std::vector<Cell> singleCells() {
  std::vector<Cell> out;
  for (size_t s = 0; s < StepCount; ++s)
    for (size_t f = 0; f < FaultCount; ++f) {
      FaultPlan plan;
      plan.TriggerStep = static_cast<Step>(s);
      plan.Faults = {static_cast<Fault>(f)};
      out.push_back({plan, {}});
    }
  return out;
}

std::vector<Cell> pairCells() {
  std::vector<Cell> out;
  size_t n = 0;
  for (size_t s = 0; s < StepCount; ++s)
    for (size_t f = 0; f < FaultCount; ++f)
      for (size_t g = 0; g < FaultCount; ++g) {
        if (f == g || (s + f * 7 + g * 3) % (2 * PairSampling) != 0)
          continue;
        FaultPlan plan;
        plan.TriggerStep = static_cast<Step>(s);
        plan.Faults = {static_cast<Fault>(f), static_cast<Fault>(g)};
        plan.SkippedPasses = static_cast<uint32_t>(++n % MaxSkippedPasses);
        plan.FaultInterval = n % 2 == 0 ? PairInterval : Duration(0);
        out.push_back({plan, {}});
      }
  return out;
}

void runCells(std::vector<Cell> &cells) {
  std::atomic<size_t> next{0};
  auto work = [&] {
    for (size_t i = next++; i < cells.size(); i = next++)
      cells[i].Result = SimulatedCluster(cells[i].Plan).run();
  };
  std::vector<std::thread> threads;
  for (size_t i = 0; i < Threads; ++i)
    threads.emplace_back(work);
  for (std::thread &it : threads)
    it.join();
}

std::string cellName(const FaultPlan &plan) {
  std::string out = text(stepName(plan.TriggerStep));
  out += " x ";
  for (size_t i = 0; i < plan.Faults.size(); ++i)
    out += (i > 0 ? " + " : "") + text(faultName(plan.Faults[i]));
  if (plan.Faults.size() > 1)
    out += " (pass " + std::to_string(plan.SkippedPasses + 1) + ", " +
           std::to_string(plan.FaultInterval.count() / 1000) + " ms apart)";
  return out;
}

std::string_view skipReason(const FaultPlan &plan) {
  if (plan.SkippedPasses > 0)
    return "the workload reaches this step fewer times";
  return "";
}

TableCounts printTable(std::string_view title, const std::vector<Cell> &cells) {
  TableCounts out;
  std::map<Step, std::string> rows;
  std::map<std::string, size_t> skipped;
  std::string violated;
  for (const Cell &it : cells) {
    char mark = cellMark(it);
    rows[it.Plan.TriggerStep] += mark;
    out.Run += it.Result.Injected ? 1 : 0;
    if (mark == 'X')
      violated += "  " + cellName(it.Plan) + ": " + it.Result.Violation + "\n";
    if (mark == 'X')
      ++out.Violated;
    if (it.Result.Injected)
      continue;
    ++out.Skipped;
    ++skipped[text(stepName(it.Plan.TriggerStep)) + ": " +
              text(skipReason(it.Plan).empty() ? "NOT REACHED"
                                               : skipReason(it.Plan))];
  }
  std::printf("%s: %zu cells run, %zu skipped, %zu broken\n",
              text(title).c_str(), out.Run, out.Skipped, out.Violated);
  for (const auto &[step, marks] : rows)
    std::printf("  %-13s %s\n", text(stepName(step)).c_str(), marks.c_str());
  for (const auto &[reason, n] : skipped)
    std::printf("  skipped %zu of %s\n", n, reason.c_str());
  std::printf("%s", violated.c_str());
  return out;
}

} // namespace daisytack::matrix
