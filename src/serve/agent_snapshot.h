/// Immutable snapshot of an agent's state, which queries read while the core
/// continues.
#pragma once

#include "daisytack/error.h"
#include "daisytack/types.h"
#include "swap/converge.h"
#include "wire/messages.h"

#include <string>
#include <vector>

namespace daisytack::serve {

/// State of an accepted run.
enum class RunState : uint8_t { Waiting, Running, Suspended, Finished };

/// "waiting", "running", "suspended" or "finished".
std::string_view runStateName(RunState state);

/// One accepted, unfinished request, without its prompt and answer.
struct RunView {
  RequestId Id;
  Attempt AttemptNumber = 0;
  RunState State = RunState::Waiting;
  std::string Organisation;
  std::string Class;
  std::string Version;
  uint8_t Priority = 0;
  TimePoint Arrived;
  TimePoint Deadline;
  uint32_t PromptTokens = 0;
  uint32_t GeneratedTokens = 0;
  uint32_t Links = 0; ///< Links that receive the answer; 0 while the answer is
                      ///< held for a resume.
  bool operator==(const RunView &) const = default;
};

/// One refused request.
struct RefusalView {
  RequestId Id;
  Attempt AttemptNumber = 0;
  std::string Organisation;
  std::string Class;
  ErrorKind Kind = ErrorKind::None;
  Outcome RunOutcome = Outcome::NotRun;
  TimePoint At;
  bool operator==(const RefusalView &) const = default;
};

/// Kept context of one organisation, as far as this agent has seen it.
struct KeptContextView {
  std::string Organisation;
  uint64_t Pieces = 0;
  uint64_t Bytes = 0;
  uint64_t Hits = 0; ///< Pieces reused since the process started.
  bool operator==(const KeptContextView &) const = default;
};

/// State of an agent at the time At.
struct AgentSnapshot {
  TimePoint At;
  bool Draining = false;
  bool EngineReachable = false;
  wire::LoadReport Load;
  std::string DesiredVersion;
  swap::SwapState Swap = swap::SwapState::Unreachable;
  std::vector<RunView> Runs;         ///< Waiting, running and suspended.
  std::vector<RefusalView> Refusals; ///< The latest, oldest first.
  std::vector<KeptContextView> KeptContext;
};

} // namespace daisytack::serve
