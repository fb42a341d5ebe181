/// The part of Gateway that ends it.
#include "gateway/gateway.h"

#include "base/clock.h"
#include "gateway/gateway_request.h"
#include "gateway/save_grant_exchange.h"

#include <boost/asio/dispatch.hpp>

#include <algorithm>
#include <utility>

namespace daisytack::gateway {

namespace {

constexpr Duration DrainCheckInterval{20'000};
/// Longest time that open connections delay the end of the process after the
/// last answer and the closing of the listener: a caller closes its side one
/// network trip after it has read that the connection ends.
constexpr Duration ConnectionCloseGrace{500'000};

} // namespace

void Gateway::drain(TimePoint end, std::function<void(bool isComplete)> done) {
  TimePoint now = monotonicNow();
  // A process that was paused handles the signal late, so the plan takes the
  // last tick for the time at which the signal was sent.
  auto plan = std::make_shared<const direct::DrainPlan>(
      Options.Drain, std::min(LastTickAt.load(), now), now, end);
  // Takes effect at once, even if the strand is busy: the entry is not ready
  // from here on.
  State.Drain = plan;
  CallerServer.endConnections();
  CallerServer.refuseAfter(plan->acceptsRequestsUntil() - now);
  OnDrained = std::move(done);
  boost::asio::dispatch(ControlStrand, [this, now] { beginDrain(now); });
}

void Gateway::beginDrain(TimePoint now) {
  Orders->stop();
  LastBusyAt = now;
  Log.write(LogPriority::Notable, "draining",
            {{"running", State.Running.size()},
             {"connections", CallerServer.openConnections()},
             {"since_last_tick_ms", (now - LastTickAt.load()).count() / 1000}},
            now);
  checkDrain();
}

void Gateway::checkDrain() {
  TimePoint now = monotonicNow();
  std::shared_ptr<const direct::DrainPlan> plan = State.Drain.load();
  if (!plan->isListening(now))
    closeListener(now);
  if (plan->isFinalAnswerDue(now))
    failUnanswered(now);
  if (isBusy())
    LastBusyAt = now;
  if (isDrained(now))
    return finish(true);
  if (plan->isOver(now))
    return finish(!isBusy());
  // The process ends soon after the end of the plan, so that a later check
  // might not run.
  DrainTimer.expires_after(std::min(DrainCheckInterval, plan->end() - now));
  DrainTimer.async_wait([this](auto ec) {
    if (!ec)
      checkDrain();
  });
}

void Gateway::closeListener(TimePoint now) {
  if (std::exchange(IsListenerClosed, true))
    return;
  LastBusyAt = now;
  CallerServer.stopAccepting();
  Log.write(LogPriority::Notable, "listener_closed",
            {{"running", State.Running.size()},
             {"connections", CallerServer.openConnections()}},
            now);
}

void Gateway::failUnanswered(TimePoint now) {
  if (std::exchange(HasFailedUnanswered, true))
    return;
  std::vector<std::shared_ptr<GatewayRequest>> running = State.Running.all();
  for (const auto &request : running)
    request->failIfUnanswered();
  Log.write(LogPriority::Notable, "last_word", {{"running", running.size()}},
            now);
}

bool Gateway::isBusy() const {
  return State.Running.size() > 0 || CallerServer.unsentAnswers() > 0;
}

bool Gateway::isDrained(TimePoint now) const {
  if (!IsListenerClosed || isBusy())
    return false;
  // Requests that were in transit when the listener closed are still served,
  // and callers get time to read the last answers.
  return CallerServer.openConnections() == 0 ||
         now >= LastBusyAt + ConnectionCloseGrace;
}

void Gateway::finish(bool isComplete) {
  std::vector<std::shared_ptr<GatewayRequest>> cut = State.Running.all();
  if (cut.empty())
    return endAnnouncement(isComplete);
  auto left = std::make_shared<std::atomic<size_t>>(cut.size());
  for (const auto &request : cut)
    request->recordCutOff([this, left, isComplete] {
      if (left->fetch_sub(1) == 1)
        boost::asio::dispatch(
            ControlStrand, [this, isComplete] { endAnnouncement(isComplete); });
    });
}

void Gateway::endAnnouncement(bool isComplete) {
  // The announcement ends first because its call needs I/O, which stops with
  // the process.
  Announcement->stop([this, isComplete] { stopComponents(isComplete); });
}

void Gateway::stopComponents(bool isComplete) {
  Contexts->stop();
  Versions->stop();
  Peers->stop();
  Fetcher->stop();
  State.OriginExchange->stop();
  State.SaveExchange->stop();
  PeerLoads->stop();
  Probes->stop();
  Follower->stop();
  TimePoint now = monotonicNow();
  Duration drained = State.Drain.load()->elapsed(now);
  Log.write(LogPriority::Notable, "stopped",
            {{"drained_ms", drained.count() / 1000},
             {"cut_off", State.Running.size()}},
            now);
  Log.flush(now);
  std::exchange(OnDrained, nullptr)(isComplete);
}

} // namespace daisytack::gateway
