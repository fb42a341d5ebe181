/// The model engine that an agent manages, as a set of hooks. An adapter
/// implements them for one protocol; tests pass in-process fakes.
#pragma once

#include "net/http_client.h"
#include "serve/agent_messages.h"

#include <functional>

namespace daisytack::edge {

/// Receives results from engines, services and stores; called on I/O threads.
using InputSink = std::function<void(serve::AgentInput)>;

/// All hooks are asynchronous and may be called from any thread. Results arrive
/// through the sink that the adapter was created with.
struct Engine {
  /// Results: any number of RunText, then one RunDone or RunFailed.
  std::function<void(serve::StartRun)> Start;
  /// Result: RunFailed with Cancelled, unless the run has ended already.
  std::function<void(const serve::RunToken &)> Cancel;
  /// Suspend and Resume have no result.
  std::function<void(const serve::RunToken &)> Suspend;
  std::function<void(const serve::RunToken &)> Resume;
  /// Result: EngineStatus or EngineUnresponsive.
  std::function<void()> PollStatus;
  /// Result: CacheEvents or EngineUnresponsive.
  std::function<void(serve::PollCacheEvents)> PollCacheEvents;
  std::function<void(serve::ExportPiece)> Export;
  std::function<void(serve::ImportPiece)> Import;
  std::function<void(serve::SendOrder)> Order;
};

struct HttpEngineInit {
  Endpoint Address;
  Endpoint Weights; ///< Address of the weights, sent to the engine in orders;
                    ///< omitted when invalid.
  Duration ControlTimeout{2'000'000};
  Duration PieceTimeout{10'000'000};
};

/// Adapter to an engine with OpenAI-compatible completions and the control API
/// of docs/PROTOCOL.md. The client must outlive the hooks.
Engine makeHttpEngine(net::HttpClient &client, HttpEngineInit init,
                      InputSink sink);

} // namespace daisytack::edge
