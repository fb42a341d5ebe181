/// Runs the cells of the fault matrix and prints them as a table.
#pragma once

#include "cluster.h"

#include <string>
#include <string_view>
#include <vector>

namespace daisytack::matrix {

struct Cell {
  FaultPlan Plan;
  RunResult Result;
};

/// Returns one cell for each step and fault.
std::vector<Cell> singleCells();
/// Returns a fixed sample of the pairs of faults at each step. The number of
/// skipped passes varies, and half of the pairs are injected with a delay
/// between the two faults.
std::vector<Cell> pairCells();

/// Runs all cells on a few threads.
void runCells(std::vector<Cell> &cells);

/// Returns "STEP x FAULT + FAULT (pass N, M ms apart)", where the part in
/// parentheses is left out for a single fault.
std::string cellName(const FaultPlan &plan);
/// Returns why the cell's faults may never be injected; empty if they must be.
std::string_view skipReason(const FaultPlan &plan);

struct TableCounts {
  size_t Run = 0;
  size_t Skipped = 0;
  size_t Violated = 0;
};
/// Prints a row for each step ('.' passed, 'X' violated, '-' not reached), the
/// violations, and the number of skipped cells by reason.
TableCounts printTable(std::string_view title, const std::vector<Cell> &cells);

} // namespace daisytack::matrix
