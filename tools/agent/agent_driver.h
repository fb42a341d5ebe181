/// Runs AgentCore: I/O threads push inputs into a queue, and a strand applies
/// them to the core and performs the returned actions.
#pragma once

#include "agent_options.h"
#include "base/event_ring.h"
#include "edge/engine.h"
#include "edge/kv.h"
#include "edge/service.h"
#include "edge/store.h"
#include "link_table.h"
#include "net/timer.h"
#include "wire/stamped.h"

#include <boost/asio/strand.hpp>
#include <tbb/concurrent_queue.h>

#include <atomic>
#include <functional>
#include <memory>

namespace daisytack::agent {

class AgentDriver {
public:
  AgentDriver(boost::asio::io_context &io, AgentOptions options,
              edge::KvStore keyValue, EventSink events,
              wire::HybridClockHooks clockHooks);
  ~AgentDriver();

  bool start(Error &reason);
  /// Refuses new offers. Calls `done` when all accepted requests have been
  /// answered and their answers sent.
  void drain(std::function<void()> done);

  /// Sets the hook called on the strand with each new snapshot. Must be called
  /// before start().
  void onPublished(std::function<void(const serve::AgentSnapshot &)> hook) {
    OnPublished = std::move(hook);
  }
  const Rcu<serve::AgentSnapshot> &snapshot() const { return Core.snapshot(); }
  bool isReady() const { return Ready.load(std::memory_order_relaxed); }
  /// Queues an input. May be called from any thread.
  void push(serve::AgentInput input);

private:
  net::FrameHooks linkHooks();
  void onFrame(const std::shared_ptr<net::FrameLink> &link,
               std::string_view frame);
  void step();
  void perform(serve::AgentAction &action);
  void perform(const serve::SendMessage &action);
  void perform(const serve::StartRun &action);
  void perform(const serve::CancelRun &action);
  void perform(const serve::SuspendRun &action);
  void perform(const serve::ResumeRun &action);
  void perform(const serve::PollStatus &action);
  void perform(const serve::PollCacheEvents &action);
  void perform(const serve::ExportPiece &action);
  void perform(const serve::ImportPiece &action);
  void perform(const serve::SendOrder &action);
  void perform(const serve::CallSlot &action);
  void perform(const serve::CallStore &action);
  void perform(const serve::CancelStoreCall &action);
  void perform(serve::RecordEvent &action);
  void setTimer();
  /// Calls OnDrained once the core is drained and all bytes are sent.
  void checkDrained();
  void publishSnapshot();

  boost::asio::io_context &Io;
  boost::asio::strand<boost::asio::io_context::executor_type> Strand;
  AgentOptions Options;
  edge::KvStore KeyValue;
  EventSink Events;
  wire::HybridClockHooks ClockHooks;
  LinkTable Links;
  net::HttpClient Client;
  edge::Engine Engine;
  edge::Service Service;
  edge::Stores Stores;
  net::FrameServer Server;
  net::Timer Timer;
  net::Timer FlushTimer;
  tbb::concurrent_queue<serve::AgentInput> Inputs;
  std::atomic<bool> IsScheduled{false};
  std::atomic<bool> Ready{false};

  // Accessed on the strand only.
  serve::AgentCore Core;
  Rcu<serve::AgentSnapshot>::Reader Reader;
  std::shared_ptr<const serve::AgentSnapshot> LastPublished;
  serve::AgentActions Actions;
  std::optional<TimePoint> TimerAt;
  std::function<void()> OnDrained;
  std::function<void(const serve::AgentSnapshot &)> OnPublished;
};

} // namespace daisytack::agent
