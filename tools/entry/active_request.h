/// A request in flight: runs its RequestFlow on a strand and performs the
/// flow's actions.
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

/// Calls a hook when the caller closes its connection. Created before the
/// request is parsed, so that an early disconnect is not missed. Thread-safe.
class DisconnectNotifier {
public:
  void notify();
  /// Sets the hook. Calls it immediately if the caller has disconnected.
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
  /// Applies an input on the strand. May be called from any thread.
  void push(FlowInput input);

  const RequestSpec &spec() const { return Flow.spec(); }
  bool isHeld() const;
  /// The request's row in operators' queries. May be called from any thread.
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

  /// The fields of the operators' row that change; written on the strand only.
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
