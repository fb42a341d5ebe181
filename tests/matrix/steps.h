/// Rows (steps) and columns (faults) of the fault matrix.
#pragma once

#include <cstdint>
#include <string_view>

namespace daisytack::matrix {

/// Points of the request path and the control path at which faults are
/// injected.
enum class Step : uint8_t {
  Receive,
  Authenticate,
  Limit,
  Rank,
  Offer,
  Accept,
  Fetch,
  Import,
  Run,
  Stream,
  Record,
  Answer,
  Release,
  Read,
  Propose,
  LoseAnswer,
  Spread,
  Apply,
  Lease,
  Load,
  Swap,
  Drain,
  Count,
};

enum class Fault : uint8_t {
  ProcessDies,
  RestartsEmpty,
  PausesPastLease,
  MessageLost,
  MessageDuplicated,
  MessageLate,
  MessageCrossed,
  ServiceDown,
  ServiceSlow,
  ServiceAnswerLost,
  WatchGap,
  StoreDead,
  StoreFull,
  StoreSlow,
  StoreTorn,
  StoreFreed,
  ServerSlow,
  ServerDies,
  ServerLeaves,
  ServerIgnoresFencing,
  ListLags,
  ClockSteps,
  Count,
};

constexpr size_t StepCount = static_cast<size_t>(Step::Count);
constexpr size_t FaultCount = static_cast<size_t>(Fault::Count);

std::string_view stepName(Step step);
std::string_view faultName(Fault fault);

} // namespace daisytack::matrix
