/// One request in flight: its flow on a strand, its caller and its timer.
#pragma once

#include "entry_state.h"
#include "net/http_server.h"
#include "net/timer.h"
#include "serve/caller_answer.h"
#include "serve/request_flow.h"

#include <boost/asio/strand.hpp>

#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace daisytack::entry {

/// Notices when a caller goes away, from before its request is understood.
/// Thread-safe.
class DisconnectNotifier {
public:
  void notify();
  /// Calls the hook when the caller goes, at once if it has.
  void onDisconnect(std::function<void()> hook);

private:
  std::mutex Lock;
  bool IsDisconnected = false;
  std::function<void()> Hook;
};

class ActiveRequest : public std::enable_shared_from_this<ActiveRequest> {
public:
  ActiveRequest(EntryState &state, RequestSpec spec, AnswerIdentity identity,
                std::shared_ptr<net::HttpExchange> exchange);
  ~ActiveRequest();

  void start(DisconnectNotifier &notifier);
  /// Applies an input on the strand; from any thread.
  void push(FlowInput input);

  const RequestSpec &spec() const { return Flow.spec(); }
  bool isHeld() const;
  /// For operators; from any thread.
  query::RequestRow row(TimePoint now) const;

private:
  using ServerAttempt = std::pair<std::string, AttemptKey>;

  void apply(const FlowInput &input);
  void perform(SendOffer &action);
  void perform(SendResume &action);
  void perform(SendCancel &action);
  void perform(AnswerPart &action);
  void perform(AnswerEnd &action);
  void perform(WholeAnswer &action);
  void perform(AnswerError &action);
  void perform(ArmTimer &action);
  void perform(ReportServer &action);
  void perform(RecordEvent &action);
  void perform(FlowEnded &action);

  void openAttempt(const std::string &server, Attempt number,
                   wire::Message message);
  void recordRefusal(const AnswerError &action);
  void respondService(WholeAnswer &action);
  FlowHooks hooks();

  EntryState &State;
  boost::asio::strand<boost::asio::io_context::executor_type> Strand;
  net::Timer Timer;
  RequestFlow Flow;
  const AnswerIdentity Identity;
  std::shared_ptr<net::HttpExchange> Exchange;
  std::vector<ServerAttempt> OpenedAttempts;
  bool StreamStarted = false;

  /// What changes of the row; written on the strand.
  struct Progress {
    query::RequestState State = query::RequestState::Offered;
    std::string Server;
    Attempt AttemptNumber = 0;
    uint32_t Chunks = 0;
  };
  void updateProgress();
  mutable std::mutex ProgressLock;
  Progress LatestProgress;
};

} // namespace daisytack::entry
