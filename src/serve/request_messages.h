/// What goes into and comes out of a request's state machine at an entry.
#pragma once

#include "control/snapshot.h"
#include "daisytack/error.h"
#include "daisytack/event.h"
#include "serve/request_spec.h"
#include "wire/messages.h"

#include <string>
#include <variant>
#include <vector>

namespace daisytack::entry {

/// The present, as the shell sees it.
struct FlowContext {
  const Snapshot &Config;
  TimePoint Now;
  WallTime Wall;
};

struct FlowStarted {};

/// A message that names this request came over the link to the server.
struct ServerMessage {
  std::string Server;
  std::variant<wire::Accepted, wire::Refused, wire::Chunk, wire::Finished> Body;
};

/// The link to the server of an attempt broke, or never opened.
struct LinkLost {
  Attempt Try = 0;
  bool MayBeDelivered = true; ///< False: the server can't have seen the offer.
};

struct TimerFired {};
struct CallerDisconnected {};
/// An operator stopped the request.
struct StopRequested {};
/// Configuration or membership changed: a release time may have moved.
struct ConfigChanged {};

using FlowInput =
    std::variant<FlowStarted, ServerMessage, LinkLost, TimerFired,
                 CallerDisconnected, StopRequested, ConfigChanged>;

struct SendOffer {
  std::string Server;
  wire::Offer Offer;
  bool operator==(const SendOffer &) const = default;
};

struct SendResume {
  std::string Server;
  wire::Resume Resume;
  bool operator==(const SendResume &) const = default;
};

struct SendCancel {
  std::string Server;
  wire::Cancel Cancel;
  bool operator==(const SendCancel &) const = default;
};

/// What is told of a whole answer besides its text.
struct AnswerSummary {
  std::string FinishReason;
  uint32_t PromptTokens = 0;
  uint32_t RecomputedTokens = 0;
  uint32_t GeneratedTokens = 0;
  Duration FirstToken{0}; ///< From the request's arrival at the entry.
  uint16_t ServiceStatus = 0;
  std::vector<wire::HeaderField> ServiceHeaders;
  bool operator==(const AnswerSummary &) const = default;
};

/// The next part of a streamed answer. Index is that of the last chunk in it.
struct AnswerPart {
  std::string Server; ///< That holds the answer, to resume from.
  uint32_t Index = 0;
  std::string Text;
  bool operator==(const AnswerPart &) const = default;
};

/// The end of a streamed answer: the caller now has all of it.
struct AnswerEnd {
  AnswerSummary Summary;
  bool operator==(const AnswerEnd &) const = default;
};

/// A whole answer, at once.
struct WholeAnswer {
  std::string Text;
  AnswerSummary Summary;
  bool operator==(const WholeAnswer &) const = default;
};

/// The final answer of a request that has none.
struct AnswerError {
  Error Reason;
  Outcome Ran = Outcome::NotRun;
  bool operator==(const AnswerError &) const = default;
};

/// TimerFired is wanted at this moment; replaces an earlier wish.
struct ArmTimer {
  TimePoint At;
  bool operator==(const ArmTimer &) const = default;
};

/// An attempt ended so; for the entry's view of its servers.
struct ReportServer {
  enum class Result : uint8_t { Answered, Failed };
  std::string Server;
  Result Reported = Result::Answered;
  Duration Predicted{0}; ///< First token, with Answered.
  Duration Measured{0};
  bool operator==(const ReportServer &) const = default;
};

struct RecordEvent {
  Event Recorded;
  bool operator==(const RecordEvent &) const = default;
};

/// Nothing follows; the request may be forgotten.
struct FlowEnded {
  bool operator==(const FlowEnded &) const = default;
};

using FlowAction = std::variant<SendOffer, SendResume, SendCancel, AnswerPart,
                                AnswerEnd, WholeAnswer, AnswerError, ArmTimer,
                                ReportServer, RecordEvent, FlowEnded>;
using FlowActions = std::vector<FlowAction>;

} // namespace daisytack::entry
