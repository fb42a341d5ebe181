/// Runs the cells of the matrix and shows them as a table.
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

/// One cell for each step and fault.
std::vector<Cell> singleCells();
/// A fixed part of all pairs of faults at each step: struck at another passage
/// of the step, and some of them one after the other.
std::vector<Cell> pairCells();

/// Runs all cells, a few at once.
void runCells(std::vector<Cell> &cells);

/// "STEP x FAULT + FAULT (passage N, M ms apart)".
std::string cellName(const FaultPlan &plan);
/// Why a cell may go unreached; empty when it must be reached.
std::string_view skipReason(const FaultPlan &plan);

struct TableCounts {
  size_t Run = 0;
  size_t Skipped = 0;
  size_t Violated = 0;
};
/// Prints a row for each step, and every broken or skipped cell with its
/// reason.
TableCounts printTable(std::string_view title, const std::vector<Cell> &cells);

} // namespace daisytack::matrix
