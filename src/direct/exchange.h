/// What one request, one attempt at it and the head of one answer say, once the
/// adapter has decoded their headers.
#pragma once

#include "direct/server_start.h"
#include "net/http_server.h"
#include "net/http_status.h"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace daisytack::direct {

/// A part of a prompt. Requests that begin with the same parts share their kept
/// context; the last part belongs to one request or session.
struct PromptPart {
  std::string Id;
  uint32_t Tokens = 0;
  auto operator<=>(const PromptPart &) const = default;
};

/// What the caller's headers ask for.
struct CallerHead {
  std::string RequestId; ///< The caller's name for this attempt of its own.
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
  /// The caller has the stream's events up to this id.
  std::optional<std::string> LastEventId;
  /// To be forwarded as they are.
  std::vector<net::HttpHeader> ForwardedHeaders;
  auto operator<=>(const CallerHead &) const = default;
};

/// Where a server finds or leaves one part of a prompt.
using PartAddress = std::optional<Endpoint>;

/// What accompanies one attempt at a request.
struct AttemptOrder {
  std::string ServerId; ///< Any other server refuses the attempt.
  /// Of the server, as it was known: another start of the id takes the attempt
  /// all the same.
  uint64_t StartedMs = 0;
  Endpoint Address;
  Duration TimeLeft{0};
  std::string Organisation;         ///< Empty when the request needs no key.
  std::optional<uint32_t> Priority; ///< 0 is the most urgent.
  std::string CacheScope; ///< Kept context is found under the same text only.
  uint64_t WeightVersion = 0;            ///< That the server must run; 0: any.
  std::vector<PartAddress> Sources;      ///< By part; may be empty.
  std::vector<PartAddress> Destinations; ///< By part; may be empty.
  /// Of the sources the one whose link is busy for longest with this prompt:
  /// what the first byte waits for.
  PartAddress SlowestSource;
  /// A fetch that ends later, by the servers' clock, is thrown away.
  std::optional<int64_t> FetchUntilMs;
  std::optional<std::string> LastEventId; ///< Resume after this event.
  // What the choice was made on, for the view of loads and the log.
  /// That it counts for in the server's queue and memory: the whole prompt, but
  /// for a share of what is fetched.
  uint64_t QueuedTokens = 0;
  uint64_t TokensAhead = 0; ///< Believed to wait at the server already.
  uint64_t RunningTokens =
      0; ///< Believed to fill its memory, of running prompts.
  /// That no server has read yet as far as is known; 0 when parts may be in the
  /// server's memory.
  uint64_t PrefillTokens = 0;
  double PrefillTokensPerMs = 0;    ///< Believed of the server's reading.
  double PredictedFirstTokenMs = 0; ///< Predicted, without the fetch.
  double FetchExcessMs = 0;         ///< Believed of the links that are used.

  ServerRef server() const { return {ServerId, StartedMs}; }
  auto operator<=>(const AttemptOrder &) const = default;
};

/// What a server's answer begins with.
struct ServerHead {
  unsigned Status = 0;
  bool WasNotRun = false; ///< The server says so itself.
  bool IsEventStream = false;
  bool IsLeaving = false; ///< The server wants no new requests ever more.
  std::optional<Duration> RetryAfter;
  /// Requests a second that the server takes from all entries together;
  /// nothing when the answer names no limit that can be read.
  std::optional<double> RequestLimit;
  /// The answer names a limit that can't be read.
  bool IsLimitUnreadable = false;
  std::vector<net::HttpHeader>
      ForwardedHeaders; ///< For the caller, as they are.
  auto operator<=>(const ServerHead &) const = default;
};

/// Status codes that promise the caller that the request did not run.
constexpr bool promisesNotRun(unsigned status) {
  return status == net::StatusRequestTimeout ||
         status == net::StatusMisdirected ||
         status == net::StatusTooManyRequests ||
         status == net::StatusUnavailable;
}

} // namespace daisytack::direct
