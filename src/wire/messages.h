/// Messages between an entry and an agent. One TCP connection carries many
/// requests: each message names its request and attempt, and nothing is
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

/// Load of an agent, sent with every Accepted, Refused and Finished. Entries
/// decay a report with its age.
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

/// HTTP header of a call to a plain service, or of its response.
struct HeaderField {
  std::string Name;
  std::string Value;
  bool operator==(const HeaderField &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Name, Value); }
};

/// Part of an offer that holds the call to a plain service. Method is empty for
/// a prompt.
struct ServiceCall {
  std::string Method;
  std::string Target; ///< Path and query below /services/<name>.
  std::vector<HeaderField> Headers;
  bool operator==(const ServiceCall &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Method, Target, Headers);
  }
};

/// Entry to agent: offers a request, which the agent accepts or refuses.
struct Offer {
  RequestId Id;
  Attempt AttemptNumber = 0;
  std::string Organisation;
  uint32_t Weight = 1; ///< Fair-share weight of the organisation.
  std::string Model;   ///< Empty for a plain service.
  std::string Version; ///< Weight version that the entry's configuration names.
  std::string Class;
  uint8_t Priority = 0;
  bool Idempotent = true;
  std::string Ticket;           ///< At-most-once ticket; empty when Idempotent.
  uint64_t RemainingMicros = 0; ///< Time from sending to the deadline. It is
                                ///< relative because clocks may differ.
  uint64_t ReserveMicros = 0; ///< Part of RemainingMicros that is reserved for
                              ///< another attempt on another server.
  uint32_t PromptTokens = 0;
  uint32_t MaxTokens = 0;
  bool Chat = false;       ///< Body is a chat prompt.
  uint8_t Keep = 0;        ///< KeepRule of the prompt's context.
  uint64_t KeepMicros = 0; ///< Time for which kept context may be reused.
  uint64_t KeptQuota =
      0; ///< Maximum bytes of kept context of the organisation.
  std::vector<PieceKey>
      Pieces;       ///< Keys of the complete pieces of the prompt, in order.
  std::string Body; ///< JSON of the caller (prompt) or body (plain service).
  std::string Generated; ///< Answer text that an earlier attempt delivered; the
                         ///< agent continues after it.
  uint32_t GeneratedChunks = 0; ///< Number of chunks in which Generated was
                                ///< delivered: index of the next chunk.
  ServiceCall Call;
  Incarnation Process; ///< Agent process that the offer is meant for, from its
                       ///< Hello. A call that is not idempotent and has no
                       ///< ticket runs in no other process.
  uint64_t WaitLimitMicros = 0; ///< The agent refuses the offer as overloaded
                                ///< if it predicts a longer wait; 0: no limit.
  bool operator==(const Offer &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Id, AttemptNumber, Organisation, Weight, Model, Version, Class, Priority,
       Idempotent, Ticket, RemainingMicros, ReserveMicros, PromptTokens,
       MaxTokens, Chat, Keep, KeepMicros, KeptQuota, Pieces, Body, Generated,
       GeneratedChunks, Call, Process, WaitLimitMicros);
  }
};

/// Agent to entry: the offer was accepted and the request will run.
struct Accepted {
  RequestId Id;
  Attempt AttemptNumber = 0;
  uint64_t FirstTokenMicros = 0; ///< Predicted time to the first token.
  uint64_t CompletionMicros = 0; ///< Predicted time to the end of the answer,
                                 ///< at a high percentile.
  LoadReport Load;
  bool operator==(const Accepted &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Id, AttemptNumber, FirstTokenMicros, CompletionMicros, Load);
  }
};

/// Agent to entry: this attempt has not run the request and will not run it.
struct Refused {
  RequestId Id;
  Attempt AttemptNumber = 0;
  ErrorKind Kind = ErrorKind::Internal;
  Outcome RunOutcome = Outcome::NotRun;
  uint64_t RetryAfterMicros = 0;
  std::string Detail;
  LoadReport Load;
  bool operator==(const Refused &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Id, AttemptNumber, Kind, RunOutcome, RetryAfterMicros, Detail, Load);
  }
};

/// Agent to entry: a part of the answer. Indices count from 0 over the whole
/// answer without gaps.
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

/// Agent to entry: the last message of this attempt.
struct Finished {
  RequestId Id;
  Attempt AttemptNumber = 0;
  Outcome RunOutcome = Outcome::Completed;
  ErrorKind Kind = ErrorKind::None; ///< None if the answer is complete.
  std::string Detail;
  std::string FinishReason; ///< "stop" or "length".
  uint32_t Chunks = 0; ///< Number of chunks of the whole answer: a receiver
                       ///< checks that it has all of them.
  uint32_t PromptTokens = 0;
  uint32_t RecomputedTokens = 0; ///< Prompt tokens that were prefilled instead
                                 ///< of being reused from kept context.
  uint32_t GeneratedTokens = 0;
  uint64_t FirstTokenMicros = 0; ///< Time from the arrival of the offer at the
                                 ///< agent to the first token, as measured.
  uint16_t ServiceStatus = 0;    ///< HTTP status of a plain service.
  std::vector<HeaderField> ServiceHeaders;
  LoadReport Load;
  bool operator==(const Finished &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Id, AttemptNumber, RunOutcome, Kind, Detail, FinishReason, Chunks,
       PromptTokens, RecomputedTokens, GeneratedTokens, FirstTokenMicros,
       ServiceStatus, ServiceHeaders, Load);
  }
};

/// Entry to agent: stops the attempt, because the caller has disconnected or
/// another attempt is used instead.
struct Cancel {
  RequestId Id;
  Attempt AttemptNumber = 0;
  bool operator==(const Cancel &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Id, AttemptNumber);
  }
};

/// Entry to agent: requests the part of an existing answer that begins at an
/// index. The agent replies with Chunk and Finished, or with Refused of kind
/// AnswerLost.
struct Resume {
  RequestId Id;
  Attempt AttemptNumber = 0;
  std::string Organisation; ///< Must be the organisation of the request.
  uint32_t FromIndex = 0;
  bool operator==(const Resume &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Id, AttemptNumber, Organisation, FromIndex);
  }
};

/// Entry to agent: requests a ticket for one non-idempotent call (see
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

/// Agent to entry: the reply to a TicketRequest.
struct TicketReply {
  RequestId Id;
  ErrorKind Kind = ErrorKind::None; ///< None if a ticket was issued.
  std::string Ticket;
  uint64_t ValidMicros = 0; ///< Time for which the ticket is valid.
  bool operator==(const TicketReply &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Id, Kind, Ticket, ValidMicros);
  }
};

/// All messages. The order is part of the protocol: append only.
using Message = std::variant<Hello, Offer, Accepted, Refused, Chunk, Finished,
                             Cancel, Resume, TicketRequest, TicketReply>;

} // namespace daisytack::wire
