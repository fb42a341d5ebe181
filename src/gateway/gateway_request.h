/// A request while it is forwarded: its flow, caller, current attempt and
/// timer, on one strand.
#pragma once

#include "direct/forward_flow.h"
#include "direct/origin_lookup.h"
#include "gateway/gateway_state.h"
#include "gateway/save_grant_exchange.h"
#include "net/timer.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/strand.hpp>

#include <memory>
#include <string>
#include <vector>

namespace daisytack::gateway {

class GatewayRequest : public std::enable_shared_from_this<GatewayRequest> {
public:
  GatewayRequest(GatewayState &state, direct::ForwardRequest request,
                 std::shared_ptr<const std::string> body,
                 std::shared_ptr<net::HttpExchange> exchange);

  /// Starts the forwarding. Call once, before any other member.
  void start();
  /// Answers the request with an error if its answer has not begun, because the
  /// process is about to end. Thread-safe.
  void failIfUnanswered();
  /// Records that the end of the process cuts the request off, unless it has
  /// ended, and calls `done` on the strand of the request. Thread-safe.
  void recordCutOff(std::function<void()> done);
  /// Other versions of weights are desired, or their ages have changed.
  /// Thread-safe.
  void onVersionsChanged();
  /// Gives up the attempt if it is at this server (ServerRef::key()), which has
  /// sent nothing since the time at which it was probed. Thread-safe.
  void onServerLost(uint64_t server, TimePoint probedAt);
  /// Answers the request with an error if it is quarantined and its answer has
  /// not begun. Thread-safe; runs after the handler that calls it.
  void failIfQuarantined();

private:
  direct::ForwardHooks hooks();
  /// Whether the caller resumes a stream that another request began.
  bool isResumption() const;
  /// Finds out which software version began the stream, then starts the
  /// forwarding or refuses the request.
  void resumeStream();
  void onOrigin(const std::optional<direct::OriginAnswer> &origin,
                const Error &reason);
  void refuseResumption(const Error &reason, TimePoint now);
  /// Records the origin of the stream that the attempt's server begins.
  /// Nothing if another process may serve under the server's id by now.
  std::optional<std::string> beginStream(const direct::AttemptOrder &order);
  /// Runs the step on the strand and keeps the request alive until then.
  template <class Step> void onStrand(Step step);

  /// Whether the request must not be sent to any server; sets the reason.
  bool mustNotAttempt(TimePoint now, Error &reason);
  std::optional<direct::AttemptChoice>
  choose(const direct::ServerCriteria &criteria, TimePoint now, Error &reason);
  RetryBudget &budget();
  /// Signature of the whole request; computed on first use.
  const Id128 &identity();
  /// Signatures of the prompt's shared parts; computed on first use.
  const std::vector<Id128> &partSignatures();
  /// Ids of the prompt parts that other requests may share, for the log.
  std::string sharedParts() const;
  /// All signatures of the request.
  std::vector<Id128> signatures();
  /// The error of a quarantined request; nothing if the request may be
  /// forwarded.
  std::optional<Error> quarantineError(TimePoint now);
  /// Whether this entry sends the request, which is quarantined, to find out
  /// whether its signatures crash servers.
  bool takeProbe(TimePoint now);
  /// Whether the entry drains and the request must not be sent any more, as its
  /// answer is not expected before the end; sets the reason.
  bool isDraining(TimePoint now, Error &reason) const;
  /// When the answer to an attempt that begins now is expected to be complete,
  /// as far as the drain asks for it.
  TimePoint expectedEnd(const direct::DrainPlan &drain, TimePoint now) const;
  balancing::AnswerKey answerKey() const;
  /// How the attempt ended, as evidence for the duration of answers.
  balancing::AnswerEnd answerEnd(direct::AttemptResult result) const;
  /// Load of an attempt on its server.
  balancing::RequestLoad loadOf(const direct::AttemptOrder &order) const;
  /// Records that the attempt's connection broke before its answer was
  /// complete.
  void recordConnectionLoss(TimePoint now);
  /// Records that the attempt's answer is complete and successful, if that is
  /// certain.
  void recordAnswer(TimePoint now);
  /// Drops a large body if the request, whose answer has begun, can't be sent
  /// again.
  void dropBody();
  bool takeRetry();
  /// Sends the attempt, once the owners of the parts that it is to save have
  /// answered.
  void send(uint32_t attempt, const direct::AttemptOrder &order);
  /// The saves that the current order asks for.
  std::vector<direct::PartSave> plannedSaves() const;
  /// Drops what must not be saved from the order and sends the attempt, unless
  /// it was cancelled meanwhile.
  void onSaveAnswers(uint32_t attempt, TimePoint askedAt,
                     const std::vector<SaveAnswer> &answers);
  /// Removes a save that was not granted, or too late, from the order.
  void dropSave(const SaveAnswer &answer);
  void transmit(uint32_t attempt, TimePoint now);
  /// Tells the owners which of the attempt's saves are no longer outstanding.
  void endSaves(direct::AttemptResult result);
  /// Whether an answer belongs to this request; logs it if it doesn't. See
  /// direct::isAnswerTo().
  bool isOwnAnswer(const std::string &server,
                   const std::vector<net::HttpHeader> &headers,
                   bool isFirst) const;
  /// Whether the attempt may still be sent: its server may have left since it
  /// was chosen, while the attempt waited for a connection. Called on the
  /// thread of the call.
  bool maySend(uint32_t attempt, const direct::ServerStart &server,
               TimePoint chosenAt) const;
  /// The attempt is sent on this connection.
  void onSending(uint32_t attempt, const net::HttpConnectionInfo &connection);
  void onHead(uint32_t attempt, unsigned status,
              const std::vector<net::HttpHeader> &headers);
  /// Applies what the head of an answer states about the server: that it is
  /// leaving, accepts no requests for some time, or limits their rate.
  void applyServerSignals(const direct::ServerHead &head, TimePoint now);
  void onData(uint32_t attempt, std::string_view data);
  /// Stops reading the answer while the caller leaves too much of it unread.
  void pauseIfUnsent();
  void resumeAnswer();
  /// The attempt's answer is no longer paused. Returns the function that
  /// continues to read it; empty if it was not paused.
  net::HttpCall::Resume endPause(TimePoint now);
  void onDone(uint32_t attempt, const Error &error);
  /// Counts and logs that what the server sent is no valid answer.
  void logMalformedAnswer(uint32_t attempt, const Error &reason, TimePoint now);
  void recordResult(uint32_t attempt, const direct::AttemptOrder &order,
                    direct::AttemptResult result, TimePoint now);
  /// Avoids a server at whose address another instance answered.
  void avoidReplacedServer(const direct::AttemptOrder &order, TimePoint now);
  /// Learns from the delay of an answer's first byte how congested the link to
  /// its context store is.
  void observeLink(TimePoint now);
  void updateEjection(const direct::AttemptOrder &order,
                      direct::AttemptResult result, TimePoint now);
  /// Priority of lines about an attempt. Audited are attempts at servers whose
  /// weights come close to the rollout limit, and attempts that show whether a
  /// request which must not be repeated ran twice.
  LogPriority logPriority(const direct::AttemptOrder &order,
                          LogPriority usual) const;
  void answerError(unsigned status, const Error &reason);
  void armTimer(TimePoint at);
  void logEnd(unsigned status, std::string_view outcome, const Error &reason);
  /// Logs that the drain ends the request without a complete answer. `step` is
  /// the step of the drain that ends it.
  void logCut(std::string_view step, TimePoint now);

  GatewayState &State;
  boost::asio::strand<boost::asio::io_context::executor_type> Executor;
  net::Timer Timer;
  /// Null once no further attempt can need it.
  std::shared_ptr<const std::string> Body;
  const size_t BodyBytes;
  const std::shared_ptr<net::HttpExchange> Exchange;
  direct::ForwardFlow Flow;
  std::optional<Id128> Identity;
  std::optional<std::vector<Id128>> PartSignatures;
  /// Whether a refused request returned when it was told to.
  bool IsReturn = false;
  /// Whether the request was sent although it is quarantined.
  bool IsProbe = false;
  net::HttpCall Call;
  direct::AttemptOrder Order; ///< Parameters of the current attempt.
  /// The attempt that waits for the answers of owners of parts.
  std::optional<uint32_t> Unsent;
  /// Saves that the current attempt was granted.
  std::vector<SaveAnswer> Saves;
  TimePoint SentAt;
  /// When the attempt was sent, or its paused answer was last resumed.
  TimePoint WaitingSince;
  /// Continues to read the answer; empty unless it is paused. Keeps the call
  /// alive, which keeps this request alive.
  net::HttpCall::Resume ResumeAnswer;
  admission::HeldMemory BufferedAnswer;
  /// Carries the current attempt; nothing until it is sent.
  std::optional<net::HttpConnectionInfo> Connection;
  /// When the head of the answer to the current attempt arrived.
  std::optional<TimePoint> HeadAt;
  /// When the answer to the current attempt began; nothing if it has not, or if
  /// it says that the request was not run.
  std::optional<TimePoint> FirstByteAt;
  /// Whether the answer to the current attempt ends with its connection.
  bool IsCloseDelimited = false;
  unsigned AnswerStatus = 0; ///< Of the current attempt; 0: no head yet.
  /// Whether the caller got a first byte.
  bool HasAnswerStarted = false;
};

template <class Step> void GatewayRequest::onStrand(Step step) {
  boost::asio::dispatch(Executor,
                        [self = shared_from_this(),
                         step = std::move(step)]() mutable { step(); });
}

} // namespace daisytack::gateway
