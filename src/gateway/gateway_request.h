/// One request in flight on the direct path: its flow, its caller, its attempt
/// and its timer, on one strand.
#pragma once

#include "direct/forward_flow.h"
#include "gateway/gateway_state.h"
#include "net/timer.h"

#include <boost/asio/strand.hpp>

#include <memory>
#include <string>

namespace daisytack::gateway {

class GatewayRequest : public std::enable_shared_from_this<GatewayRequest> {
public:
  GatewayRequest(GatewayState &state, direct::ForwardRequest request,
                 std::string body, std::shared_ptr<net::HttpExchange> exchange);

  /// Once, before anything else.
  void start();
  /// The process is about to end: a request whose answer has not begun gets its
  /// final one now. Thread-safe.
  void failIfUnanswered();
  /// The same if the request is among those that are not passed on any more.
  /// Thread-safe; takes effect after the step that calls it.
  void failIfQuarantined();

private:
  direct::ForwardHooks hooks();
  /// Runs the step on the strand, with the request kept alive.
  template <class Step> void onStrand(Step step);

  /// Whether the request is to be sent nowhere any more, with the reason.
  bool mustNotAttempt(TimePoint now, Error &reason);
  std::optional<direct::AttemptChoice>
  choose(const std::vector<std::string> &tried, TimePoint now, Error &reason);
  RetryBudget &budget();
  /// Computed when it is first asked for.
  const Id128 &identity();
  /// Why the request is not passed on; nothing when it may be.
  std::optional<Error> quarantineError(TimePoint now);
  /// The attempt's connection broke before its answer was whole.
  void recordConnectionLoss(TimePoint now);
  bool takeRetry();
  void send(uint32_t attempt, const direct::AttemptOrder &order);
  void onHead(uint32_t attempt, unsigned status,
              const std::vector<net::HttpHeader> &headers);
  /// What the server says of itself.
  void applyServerSignals(const direct::ServerHead &head, TimePoint now);
  void onData(uint32_t attempt, std::string_view data);
  void onDone(uint32_t attempt, const Error &error);
  void recordResult(uint32_t attempt, const direct::AttemptOrder &order,
                    direct::AttemptResult result, TimePoint now);
  /// Another instance answered at the server's address.
  void avoidReplacedServer(const direct::AttemptOrder &order, TimePoint now);
  /// The first byte of an answer tells how congested the link to its store is.
  void observeLink(TimePoint now);
  void updateEjection(const direct::AttemptOrder &order,
                      direct::AttemptResult result, TimePoint now);
  void answerError(unsigned status, const Error &reason);
  void armTimer(TimePoint at);
  void logEnd(unsigned status, std::string_view outcome, const Error &reason);

  GatewayState &State;
  boost::asio::strand<boost::asio::io_context::executor_type> Executor;
  net::Timer Timer;
  const std::string Body;
  const std::shared_ptr<net::HttpExchange> Exchange;
  direct::ForwardFlow Flow;
  std::optional<Id128> Identity;
  /// Known against the request when the attempt under way was sent.
  uint32_t OccasionsAtSend = 0;
  net::HttpCall Call;
  direct::AttemptOrder Order; ///< Of the attempt under way.
  TimePoint SentAt;
  /// Of its answer, unless that says that it was not run.
  std::optional<TimePoint> FirstByteAt;
  bool HasAnswerStarted = false; ///< The caller got a first byte.
};

} // namespace daisytack::gateway
