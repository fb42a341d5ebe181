/// Inputs and actions of RequestFlow, the state machine of a request at an
/// entry.
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

/// Current configuration and time for one input.
struct FlowContext {
  const Snapshot &Config;
  TimePoint Now;
  WallTime Wall; ///< Current wall clock time.
};

/// The first input of a flow.
struct FlowStarted {};

/// A message about this request arrived over the link to a server.
struct ServerMessage {
  std::string Server;
  std::variant<wire::Accepted, wire::Refused, wire::Chunk, wire::Finished> Body;
};

/// The link to an attempt's server broke, or could not be opened.
struct LinkLost {
  Attempt AttemptNumber = 0;
  /// False: the server can't have received the offer.
  bool MayBeDelivered = true;
};

/// The time of the last ArmTimer has come.
struct TimerFired {};
/// The caller closed its connection.
struct CallerDisconnected {};
/// An operator stopped the request.
struct StopRequested {};
/// The configuration or membership changed, and with it perhaps a release time.
struct ConfigChanged {};

using FlowInput =
    std::variant<FlowStarted, ServerMessage, LinkLost, TimerFired,
                 CallerDisconnected, StopRequested, ConfigChanged>;

/// Offers the request to a server.
struct SendOffer {
  std::string Server;
  wire::Offer Offer;
  bool operator==(const SendOffer &) const = default;
};

/// Reads the answer of an earlier attempt from the server that holds it.
struct SendResume {
  std::string Server;
  wire::Resume Resume;
  bool operator==(const SendResume &) const = default;
};

/// Cancels an attempt.
struct SendCancel {
  std::string Server;
  wire::Cancel Cancel;
  bool operator==(const SendCancel &) const = default;
};

/// Metadata of a complete answer.
struct AnswerSummary {
  std::string FinishReason;
  uint32_t PromptTokens = 0;
  uint32_t RecomputedTokens = 0;
  uint32_t GeneratedTokens = 0;
  /// Time from the request's arrival at the entry to its first token.
  Duration FirstToken{0};
  uint16_t ServiceStatus = 0; ///< HTTP status of a service; 0 for a prompt.
  std::vector<wire::HeaderField> ServiceHeaders;
  bool operator==(const AnswerSummary &) const = default;
};

/// The next part of a streamed answer, of one or more chunks.
struct AnswerPart {
  /// Server that holds the answer, for resuming the stream.
  std::string Server;
  uint32_t Index = 0; ///< Index of the last chunk in this part.
  std::string Text;
  bool operator==(const AnswerPart &) const = default;
};

/// The end of a streamed answer, all of which has been sent.
struct AnswerEnd {
  AnswerSummary Summary;
  bool operator==(const AnswerEnd &) const = default;
};

/// A complete, non-streamed answer.
struct WholeAnswer {
  std::string Text;
  AnswerSummary Summary;
  bool operator==(const WholeAnswer &) const = default;
};

/// The error that ends a request without a complete answer.
struct AnswerError {
  Error Reason;
  Outcome RunOutcome =
      Outcome::NotRun; ///< Whether the request ran on a server.
  bool operator==(const AnswerError &) const = default;
};

/// Requests TimerFired at a time, and replaces an earlier timer.
struct ArmTimer {
  TimePoint At;
  bool operator==(const ArmTimer &) const = default;
};

/// Reports that a server answered or failed, for the entry's view of its
/// servers.
struct ReportServer {
  enum class Result : uint8_t { Answered, Failed };
  std::string Server;
  Result Reported = Result::Answered;
  /// Predicted time to the first token; only for Answered.
  Duration Predicted{0};
  /// Measured time to the first token; only for Answered.
  Duration Measured{0};
  bool operator==(const ReportServer &) const = default;
};

/// An event for the event log.
struct RecordEvent {
  Event Recorded;
  bool operator==(const RecordEvent &) const = default;
};

/// The last action of a flow, which can be destroyed afterwards.
struct FlowEnded {
  bool operator==(const FlowEnded &) const = default;
};

using FlowAction = std::variant<SendOffer, SendResume, SendCancel, AnswerPart,
                                AnswerEnd, WholeAnswer, AnswerError, ArmTimer,
                                ReportServer, RecordEvent, FlowEnded>;
using FlowActions = std::vector<FlowAction>;

} // namespace daisytack::entry
