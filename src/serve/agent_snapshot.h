/// What an agent shows of itself: an immutable picture that queries read while
/// the core goes on.
#pragma once

#include "daisytack/error.h"
#include "daisytack/types.h"
#include "swap/converge.h"
#include "wire/messages.h"

#include <string>
#include <vector>

namespace daisytack::serve {

/// Ordered as a run passes through them.
enum class RunState : uint8_t { Waiting, Running, Suspended, Finished };

/// "waiting", "running", "suspended" or "finished".
std::string_view runStateName(RunState state);

/// One accepted request. Holds no prompt and no answer.
struct RunView {
  RequestId Id;
  Attempt Try = 0;
  RunState State = RunState::Waiting;
  std::string Organisation;
  std::string Class;
  std::string Version;
  uint8_t Priority = 0;
  TimePoint Arrived;
  TimePoint Deadline;
  uint32_t PromptTokens = 0;
  uint32_t GeneratedTokens = 0;
  uint32_t Links = 0; ///< Connections that the answer goes to; 0 while it is
                      ///< held for a resume.
  bool operator==(const RunView &) const = default;
};

/// One refused request.
struct RefusalView {
  RequestId Id;
  Attempt Try = 0;
  std::string Organisation;
  std::string Class;
  ErrorKind Kind = ErrorKind::None;
  Outcome Ran = Outcome::NotRun;
  TimePoint At;
  bool operator==(const RefusalView &) const = default;
};

/// Kept context of one organisation, as far as this agent knows it.
struct KeptContextView {
  std::string Organisation;
  uint64_t Pieces = 0;
  uint64_t Bytes = 0;
  uint64_t Hits = 0; ///< Pieces reused since the process started.
  bool operator==(const KeptContextView &) const = default;
};

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
