#include "table.h"

#include <atomic>
#include <cstdio>
#include <map>
#include <thread>

namespace daisytack::matrix {

namespace {

constexpr size_t Threads = 4;
/// Of the pairs, one in so many.
constexpr size_t PairShare = 3;
constexpr uint32_t MaxSkip = 7;
constexpr Duration Apart{1'500'000};

char markOf(const Cell &cell) {
  if (!cell.Result.Verdict.empty())
    return 'X';
  return cell.Result.Struck ? '.' : '-';
}

std::string text(std::string_view it) { return std::string(it); }

} // namespace

std::vector<Cell> singleCells() {
  std::vector<Cell> out;
  for (size_t s = 0; s < Steps; ++s)
    for (size_t f = 0; f < Faults; ++f) {
      Plan plan;
      plan.At = static_cast<Step>(s);
      plan.Faults = {static_cast<Fault>(f)};
      out.push_back({plan, {}});
    }
  return out;
}

std::vector<Cell> pairCells() {
  std::vector<Cell> out;
  size_t n = 0;
  for (size_t s = 0; s < Steps; ++s)
    for (size_t f = 0; f < Faults; ++f)
      for (size_t g = 0; g < Faults; ++g) {
        if (f == g || (s + f * 7 + g * 3) % (2 * PairShare) != 0)
          continue;
        Plan plan;
        plan.At = static_cast<Step>(s);
        plan.Faults = {static_cast<Fault>(f), static_cast<Fault>(g)};
        plan.Skip = static_cast<uint32_t>(++n % MaxSkip);
        plan.Between = n % 2 == 0 ? Apart : Duration(0);
        out.push_back({plan, {}});
      }
  return out;
}

void runCells(std::vector<Cell> &cells) {
  std::atomic<size_t> next{0};
  auto work = [&] {
    for (size_t i = next++; i < cells.size(); i = next++)
      cells[i].Result = World(cells[i].What).run();
  };
  std::vector<std::thread> threads;
  for (size_t i = 0; i < Threads; ++i)
    threads.emplace_back(work);
  for (std::thread &it : threads)
    it.join();
}

std::string cellName(const Plan &plan) {
  std::string out = text(stepName(plan.At));
  out += " x ";
  for (size_t i = 0; i < plan.Faults.size(); ++i)
    out += (i > 0 ? " + " : "") + text(faultName(plan.Faults[i]));
  if (plan.Faults.size() > 1)
    out += " (passage " + std::to_string(plan.Skip + 1) + ", " +
           std::to_string(plan.Between.count() / 1000) + " ms apart)";
  return out;
}

std::string_view skipReason(const Plan &plan) {
  if (plan.Skip > 0)
    return "the story passes this step fewer times";
  return "";
}

TableCounts printTable(std::string_view title, const std::vector<Cell> &cells) {
  TableCounts out;
  std::map<Step, std::string> rows;
  std::map<std::string, size_t> skipped;
  std::string broken;
  for (const Cell &it : cells) {
    char mark = markOf(it);
    rows[it.What.At] += mark;
    out.Run += it.Result.Struck ? 1 : 0;
    if (mark == 'X')
      broken += "  " + cellName(it.What) + ": " + it.Result.Verdict + "\n";
    if (mark == 'X')
      ++out.Broken;
    if (it.Result.Struck)
      continue;
    ++out.Skipped;
    ++skipped[text(stepName(it.What.At)) + ": " +
              text(skipReason(it.What).empty() ? "NOT REACHED"
                                               : skipReason(it.What))];
  }
  std::printf("%s: %zu cells run, %zu skipped, %zu broken\n",
              text(title).c_str(), out.Run, out.Skipped, out.Broken);
  for (const auto &[step, marks] : rows)
    std::printf("  %-13s %s\n", text(stepName(step)).c_str(), marks.c_str());
  for (const auto &[reason, n] : skipped)
    std::printf("  skipped %zu of %s\n", n, reason.c_str());
  std::printf("%s", broken.c_str());
  return out;
}

} // namespace daisytack::matrix
