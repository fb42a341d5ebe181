/// Messages between an entry and an agent. One TCP connection carries many
/// requests; each message names its request and attempt, and nothing is ever
/// correlated by connection.
#pragma once

#include "daisytack/error.h"
#include "daisytack/types.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace daisytack::wire {

/// First message in each direction.
struct Hello {
  std::string Instance;
  Incarnation Process;
  bool operator==(const Hello &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Instance, Process);
  }
};

/// What an agent says of itself with every answer; entries decay it with age.
struct LoadReport {
  uint64_t WaitMicros =
      0; ///< Predicted wait of a new request before its prefill starts.
  uint32_t PrefillTokensPerSecond = 0;
  uint32_t Running = 0;
  uint32_t Waiting = 0;
  std::string Version; ///< Weight version that new requests would run on.
  bool Leaving = false;
  bool operator==(const LoadReport &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(WaitMicros, PrefillTokensPerSecond, Running, Waiting, Version, Leaving);
  }
};

/// A header of a call to a plain service.
struct HeaderField {
  std::string Name;
  std::string Value;
  bool operator==(const HeaderField &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Name, Value); }
};

/// The part of an offer that concerns a plain service; Method is empty for a
/// prompt.
struct ServiceCall {
  std::string Method;
  std::string Target; ///< Path and query below /services/<name>.
  std::vector<HeaderField> Headers;
  bool operator==(const ServiceCall &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Method, Target, Headers);
  }
};

/// Entry to agent: run this if you accept it.
struct Offer {
  RequestId Id;
  Attempt AttemptNumber = 0;
  std::string Organisation;
  uint32_t Weight = 1; ///< Organisation's fair share.
  std::string Model;   ///< Empty for a plain service.
  std::string Version; ///< Weight version that the entry's configuration names.
  std::string Class;
  uint8_t Priority = 0;
  bool Idempotent = true;
  std::string Ticket; ///< At-most-once ticket; empty when Idempotent.
  uint64_t RemainingMicros =
      0; ///< Until the deadline, when sent: relative, so clocks may differ.
  uint64_t ReserveMicros =
      0; ///< Of these, to be left over for a re-run elsewhere.
  uint32_t PromptTokens = 0;
  uint32_t MaxTokens = 0;
  bool Chat = false;       ///< Body is a chat prompt.
  uint8_t Keep = 0;        ///< KeepRule.
  uint64_t KeepMicros = 0; ///< How long kept context may be reused.
  uint64_t KeptQuota = 0;  ///< Organisation's quota, bytes.
  std::vector<PieceKey>
      Pieces;       ///< Keys of the whole pieces of the prompt, in order.
  std::string Body; ///< The caller's JSON (prompt) or body (plain service).
  std::string Generated; ///< Answer text already delivered by an earlier
                         ///< attempt, to be continued.
  uint32_t GeneratedChunks =
      0; ///< Chunks that text was delivered in: the first new index.
  ServiceCall Call;
  Incarnation Process; ///< Agent process that the offer is for, as its Hello
                       ///< says. A call that is not idempotent and has no
                       ///< ticket runs in no other one.
  uint64_t WaitLimitMicros = 0; ///< To be refused as overloaded when the
                                ///< predicted wait is longer; 0 for any wait.
  bool operator==(const Offer &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Id, AttemptNumber, Organisation, Weight, Model, Version, Class, Priority,
       Idempotent, Ticket, RemainingMicros, ReserveMicros, PromptTokens,
       MaxTokens, Chat, Keep, KeepMicros, KeptQuota, Pieces, Body, Generated,
       GeneratedChunks, Call, Process, WaitLimitMicros);
  }
};

/// Agent to entry: the request will be run.
struct Accepted {
  RequestId Id;
  Attempt AttemptNumber = 0;
  uint64_t FirstTokenMicros = 0; ///< Predicted.
  uint64_t CompletionMicros = 0; ///< Predicted, at a high percentile.
  LoadReport Load;
  bool operator==(const Accepted &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Id, AttemptNumber, FirstTokenMicros, CompletionMicros, Load);
  }
};

/// Agent to entry: the request was not run by this attempt, and will not be.
struct Refused {
  RequestId Id;
  Attempt AttemptNumber = 0;
  ErrorKind Kind = ErrorKind::Internal;
  Outcome Ran = Outcome::NotRun;
  uint64_t RetryAfterMicros = 0;
  std::string Detail;
  LoadReport Load;
  bool operator==(const Refused &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Id, AttemptNumber, Kind, Ran, RetryAfterMicros, Detail, Load);
  }
};

/// Agent to entry: a part of the answer. Indices are consecutive from 0 over
/// the whole answer.
struct Chunk {
  RequestId Id;
  Attempt AttemptNumber = 0;
  uint32_t Index = 0;
  uint32_t Tokens = 0;
  std::string Text;
  bool operator==(const Chunk &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Id, AttemptNumber, Index, Tokens, Text);
  }
};

/// Agent to entry: nothing follows for this attempt.
struct Finished {
  RequestId Id;
  Attempt AttemptNumber = 0;
  Outcome Ran = Outcome::Completed;
  ErrorKind Kind = ErrorKind::None; ///< None when whole.
  std::string Detail;
  std::string FinishReason; ///< "stop" or "length".
  uint32_t Chunks =
      0; ///< Chunks of the whole answer: a receiver checks that it has all.
  uint32_t PromptTokens = 0;
  uint32_t RecomputedTokens =
      0; ///< Of the prompt, prefilled rather than reused.
  uint32_t GeneratedTokens = 0;
  uint64_t FirstTokenMicros =
      0; ///< Measured at the agent from the offer's arrival.
  uint16_t ServiceStatus = 0; ///< HTTP status of a plain service.
  std::vector<HeaderField> ServiceHeaders;
  LoadReport Load;
  bool operator==(const Finished &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Id, AttemptNumber, Ran, Kind, Detail, FinishReason, Chunks, PromptTokens,
       RecomputedTokens, GeneratedTokens, FirstTokenMicros, ServiceStatus,
       ServiceHeaders, Load);
  }
};

/// Entry to agent: the caller has gone, or another attempt has won.
struct Cancel {
  RequestId Id;
  Attempt AttemptNumber = 0;
  bool operator==(const Cancel &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Id, AttemptNumber);
  }
};

/// Entry to agent: send what you hold of this answer from an index on. Answered
/// by Chunk and Finished, or by Refused with AnswerLost.
struct Resume {
  RequestId Id;
  Attempt AttemptNumber = 0;
  std::string Organisation; ///< Must be the request's own.
  uint32_t FromIndex = 0;
  bool operator==(const Resume &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Id, AttemptNumber, Organisation, FromIndex);
  }
};

/// Entry to agent: a ticket for one non-idempotent call (see
/// docs/AT_MOST_ONCE.md).
struct TicketRequest {
  RequestId Id;
  std::string Organisation;
  std::string Service;
  bool operator==(const TicketRequest &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Id, Organisation, Service);
  }
};

/// Agent to entry: the ticket, or why there is none.
struct TicketReply {
  RequestId Id;
  ErrorKind Kind = ErrorKind::None;
  std::string Ticket;
  uint64_t ValidMicros = 0;
  bool operator==(const TicketReply &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Id, Kind, Ticket, ValidMicros);
  }
};

/// Every message. The order is part of the protocol: append only.
using Message = std::variant<Hello, Offer, Accepted, Refused, Chunk, Finished,
                             Cancel, Resume, TicketRequest, TicketReply>;

} // namespace daisytack::wire
