/// Rows that processes publish to queries. No row contains a prompt, a
/// generated answer or a key. Empty strings and unset optionals mean that the
/// value is unknown.
#pragma once

#include "daisytack/event.h"
#include "daisytack/objects.h"

#include <optional>
#include <string>

namespace daisytack::query {

/// Progress of a request. An entry lists every request that it has received and
/// not finished answering; an agent lists the requests that it has accepted.
enum class RequestState : uint8_t {
  Offered, ///< Not accepted by a backend server yet.
  Waiting, ///< Accepted by a backend server and queued.
  Running,
  Held, ///< Complete; the answer is held until the release time of its class.
};

/// Name of the state in queries: "offered", "waiting", "running" or "held".
std::string_view requestStateName(RequestState state);

/// State of one request at one process.
struct RequestRow {
  RequestId Request;
  RequestState State = RequestState::Offered;
  std::string Organisation;
  std::string Class;
  std::string Model; ///< Name of the model or plain service.
  std::string Version;
  std::string Server;        ///< Instance name of the backend server's agent.
  Attempt AttemptNumber = 0; ///< Number of the attempt.
  uint32_t Priority = 0;
  Duration Age{0};       ///< Time since its arrival in this process.
  Duration Remaining{0}; ///< Time until its deadline.
  uint32_t PromptTokens = 0;
  uint32_t GeneratedTokens = 0;
};

/// A request that this process refused.
struct RefusalRow {
  RequestId Request;
  ErrorKind Kind = ErrorKind::None;
  Outcome RunOutcome = Outcome::NotRun; ///< Whether the request was executed.
  std::string Organisation;
  std::string Class;
  std::string Model;
  Duration Age{0}; ///< Time since the refusal.
};

/// Prompt context that one agent keeps for reuse, for one organisation and
/// class.
struct KeptRow {
  std::string Organisation;
  std::string Class; ///< "*" when the agent doesn't distinguish classes.
  std::string Model;
  std::string Version;
  uint64_t Pieces = 0;
  uint64_t Bytes = 0;
  uint64_t Hits = 0;           ///< Number of reused pieces since the process
                               ///< started.
  std::optional<Duration> Age; ///< Age of the oldest piece.
};

/// State of a backend server that the snapshot doesn't contain. An entry takes
/// it from the last response of the server.
struct ServerRow {
  std::string Name;
  std::string Version; ///< Weight version that new requests run on.
  bool Ejected = false;
  std::optional<Duration> PredictedWait; ///< For a new request.
  std::optional<uint32_t> Running;       ///< Number of running requests.
  std::optional<uint32_t> Waiting;       ///< Number of queued requests.
  std::optional<Duration> ReportAge;     ///< Time since the state was reported.
};

/// Requests that the `stop` command cancels: a single one or all of a class.
struct StopTarget {
  std::optional<RequestId> Request;
  std::string Class; ///< Used only when Request isn't set.
  bool operator==(const StopTarget &) const = default;
};

} // namespace daisytack::query
