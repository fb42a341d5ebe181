/// The model engine beside an agent, as hooks. One adapter implements them for
/// one protocol; tests pass in-process fakes.
#pragma once

#include "net/http_client.h"
#include "serve/agent_messages.h"

#include <functional>

namespace daisytack::edge {

/// Takes what the platform answers; called on I/O threads.
using InputSink = std::function<void(serve::AgentInput)>;

/// All hooks are asynchronous and may be called from any thread. Each answers
/// through the sink that the adapter was made with.
struct Engine {
  /// Answered by any number of RunText and then one RunDone or RunFailed.
  std::function<void(serve::StartRun)> Start;
  /// Answered by RunFailed with Cancelled, unless the run had ended.
  std::function<void(const serve::RunToken &)> Cancel;
  /// Not answered.
  std::function<void(const serve::RunToken &)> Suspend;
  std::function<void(const serve::RunToken &)> Resume;
  /// Answered by EngineStatus or EngineUnresponsive.
  std::function<void()> PollStatus;
  /// Answered by CacheEvents or EngineUnresponsive.
  std::function<void(serve::PollCacheEvents)> PollCacheEvents;
  std::function<void(serve::ExportPiece)> Export;
  std::function<void(serve::ImportPiece)> Import;
  std::function<void(serve::SendOrder)> Order;
};

struct HttpEngineInit {
  Endpoint Address;
  Endpoint Weights; ///< Named to the engine in orders.
  Duration ControlTimeout{2'000'000};
  Duration PieceTimeout{10'000'000};
};

/// OpenAI-shaped completions and the control surface of docs/PROTOCOL.md. The
/// client must outlive the hooks.
Engine makeHttpEngine(net::HttpClient &client, HttpEngineInit init,
                      InputSink sink);

} // namespace daisytack::edge
