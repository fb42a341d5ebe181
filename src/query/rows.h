/// The rows that processes publish for queries. None holds a prompt, an answer
/// or a key. Empty texts and absent optionals stand for unknown.
#pragma once

#include "daisytack/event.h"
#include "daisytack/objects.h"

#include <optional>
#include <string>

namespace daisytack::query {

/// Where a request is. An entry shows every request it answers for; an agent
/// shows those it has accepted.
enum class RequestState : uint8_t {
  Offered, ///< Not yet accepted by a backend server.
  Waiting, ///< Accepted, not yet running.
  Running,
  Held, ///< Whole, waiting for its class's release time.
};

/// "offered", "waiting", "running" or "held".
std::string_view requestStateName(RequestState state);

/// One request in one process.
struct RequestRow {
  RequestId Request;
  RequestState State = RequestState::Offered;
  std::string Organisation;
  std::string Class;
  std::string Model; ///< Or plain service.
  std::string Version;
  std::string Server; ///< Name of the agent's instance.
  Attempt AttemptNumber = 0;
  uint32_t Priority = 0;
  Duration Age{0};       ///< Since its arrival in this process.
  Duration Remaining{0}; ///< Until its deadline.
  uint32_t PromptTokens = 0;
  uint32_t GeneratedTokens = 0;
};

/// One refusal that this process gave.
struct RefusalRow {
  RequestId Request;
  ErrorKind Kind = ErrorKind::None;
  Outcome Ran = Outcome::NotRun;
  std::string Organisation;
  std::string Class;
  std::string Model;
  Duration Age{0}; ///< Since it was given.
};

/// Kept context of one organisation in one class, as one agent knows it.
struct KeptRow {
  std::string Organisation;
  std::string Class; ///< "*" when the agent doesn't tell classes apart.
  std::string Model;
  std::string Version;
  uint64_t Pieces = 0;
  uint64_t Bytes = 0;
  uint64_t Hits = 0;           ///< Pieces reused since the process started.
  std::optional<Duration> Age; ///< Of the oldest piece.
};

/// What a process knows of a backend server beyond its snapshot; an entry knows
/// it from the server's last answer.
struct ServerRow {
  std::string Name;
  std::string Version; ///< That new requests run on.
  bool Ejected = false;
  std::optional<Duration> PredictedWait; ///< Predicted, of a new request.
  std::optional<uint32_t> Running;
  std::optional<uint32_t> Waiting;
  std::optional<Duration> ReportAge; ///< Age of these figures.
};

/// What `stop` ends: one request, or all of a class.
struct StopTarget {
  std::optional<RequestId> Request;
  std::string Class; ///< Unless Request is set.
  bool operator==(const StopTarget &) const = default;
};

} // namespace daisytack::query
