/// The decoded heads of requests, attempts and answers. The protocol adapter
/// translates between these and HTTP headers.
#pragma once

#include "direct/server_start.h"
#include "net/http_server.h"
#include "net/http_status.h"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace daisytack::direct {

/// One part of a prompt. Requests whose prompts begin with the same parts share
/// the kept context of these parts; the last part belongs to a single request
/// or session.
struct PromptPart {
  std::string Id;
  uint32_t Tokens = 0;
  auto operator<=>(const PromptPart &) const = default;
};

/// The head of a caller's request.
struct CallerHead {
  std::string RequestId; ///< A caller's retry has another id.
  std::string Host;
  std::string Method;
  std::string Target; ///< Path and query as received.
  std::string Path;
  std::string ApiKey;
  std::optional<Duration> CallerTimeout; ///< How long the caller will wait.
  std::string Model;                     ///< Empty without a prompt.
  uint32_t PromptTokens = 0;
  uint32_t MaxOutputTokens = 0;
  std::vector<PromptPart> Parts;
  /// Id of the last event that the caller has received of the stream; the
  /// answer is to continue after it.
  std::optional<std::string> LastEventId;
  /// Id of the request that brought the first event of the stream that the
  /// caller resumes.
  std::optional<std::string> ResumedRequestId;
  /// Headers to forward to the server unchanged.
  std::vector<net::HttpHeader> ForwardedHeaders;
  auto operator<=>(const CallerHead &) const = default;
};

/// Address of the store that a server fetches a prompt part's context from or
/// saves it to; empty: none.
using PartAddress = std::optional<Endpoint>;

/// An entry's decisions about one attempt at a request. They are sent to the
/// server with the request.
struct AttemptOrder {
  std::string ServerId; ///< Any other server refuses the attempt.
  /// Start of the server as far as the entry knows. A later start under the
  /// same id accepts the attempt as well.
  uint64_t StartedMs = 0;
  Endpoint Address;
  Duration TimeLeft{0};
  std::string Organisation;         ///< Empty when the request needs no key.
  std::optional<uint32_t> Priority; ///< 0 is the most urgent.
  std::string CacheScope;     ///< Kept context is only shared within one scope.
  uint64_t WeightVersion = 0; ///< Weights the server must run; 0: any.
  std::string SoftwareVersion;           ///< Of the server, not sent to it.
  std::vector<PartAddress> Sources;      ///< One per prompt part, or empty.
  std::vector<PartAddress> Destinations; ///< One per prompt part, or empty.
  /// The source whose transfer takes longest, so that the first byte of the
  /// answer waits for it; empty if nothing is fetched.
  PartAddress SlowestSource;
  /// Deadline for fetches of kept context in Unix milliseconds by the servers'
  /// clock. The server discards what arrives later.
  std::optional<int64_t> FetchUntilMs;
  /// Id of the event after which the server is to resume the stream; empty: the
  /// stream begins with its first event.
  std::optional<std::string> LastEventId;
  // Inputs of the choice of the server, for load accounting and the log.
  /// How long a newer version than the server's weights has been desired; zero
  /// when the weights are current.
  Duration OutdatedFor{0};
  uint32_t EligibleServers = 0; ///< Servers that the choice was made from.
  /// Those of them whose weights are current.
  uint32_t CurrentServers = 0;
  /// Tokens that the attempt adds to the server's queue and memory: the whole
  /// prompt, less a share of the tokens that are fetched.
  uint64_t QueuedTokens = 0;
  /// Estimated prompt tokens of the server's other requests that have no first
  /// byte yet.
  uint64_t TokensAhead = 0;
  /// Estimated prompt tokens of all requests that the server runs.
  uint64_t RunningTokens = 0;
  /// Tokens of the prompt that need prefill as far as is known; 0 when parts
  /// may be in the server's memory.
  uint64_t PrefillTokens = 0;
  double PrefillTokensPerMs = 0; ///< Estimated prefill rate of the server.
  /// Predicted time to the first token, without fetches of kept context.
  double PredictedFirstTokenMs = 0;
  /// Longest time that a fetch from one of the Sources is expected to wait
  /// beyond a fetch from the best other store.
  double FetchExcessMs = 0;

  ServerRef server() const { return {ServerId, StartedMs}; }
  auto operator<=>(const AttemptOrder &) const = default;
};

/// The head of a server's answer.
struct ServerHead {
  unsigned Status = 0;
  /// The server states that it did not run the request.
  bool WasNotRun = false;
  /// False if the answer names another content type than that of event streams.
  bool IsEventStream = true;
  /// The answer has neither a length nor chunks: it ends with its connection,
  /// so that only its content can show that it was broken off.
  bool IsCloseDelimited = false;
  bool IsLeaving = false; ///< The server shuts down and takes no new requests.
  std::optional<Duration> RetryAfter;
  /// Limit on the requests per second that the server accepts from all entries
  /// together; empty when the answer has no readable limit.
  std::optional<double> RequestLimit;
  /// The answer has a limit that can't be read.
  bool IsLimitUnreadable = false;
  std::vector<net::HttpHeader> ForwardedHeaders; ///< For the caller, unchanged.
  auto operator<=>(const ServerHead &) const = default;
};

/// Whether an answer that names the request id, or none, belongs to the
/// request. Servers name the id of each request that has one; a faulty server
/// may send an answer once more, where that of the next request is expected.
/// An answer without an id therefore counts only if its connection has carried
/// nothing else, `isFirst`, or if the request has no id either. The id doesn't
/// tell the attempts at a request apart: no connection carries two of them.
inline bool isAnswerTo(const CallerHead &head,
                       const std::optional<std::string> &answeredId,
                       bool isFirst) {
  if (answeredId)
    return *answeredId == head.RequestId;
  return isFirst || head.RequestId.empty();
}

/// Whether the status code means to the caller that its request was not run.
constexpr bool promisesNotRun(unsigned status) {
  return status == net::StatusRequestTimeout ||
         status == net::StatusMisdirected ||
         status == net::StatusTooManyRequests ||
         status == net::StatusUnavailable;
}

} // namespace daisytack::direct
