/// Simulated entry process: runs the real request flow, routing, limits and key
/// binding, and performs their actions as the daemon does.
#pragma once

#include "control_host.h"
#include "decide/limits.h"
#include "decide/retry_budget.h"
#include "decide/routing.h"
#include "engine.h"
#include "once/key_binding.h"
#include "serve/caller_request.h"
#include "serve/request_flow.h"
#include "steps.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace daisytack::matrix {

/// Key by which a caller identifies a call that must run at most once.
enum class CallKeyKind : uint8_t { None, Ticket, OpaqueKey };

/// An HTTP request of a caller. A retry of the same call is a submission of its
/// own.
struct Submission {
  uint64_t Number = 0;
  RequestId Id;
  CallerCall Call;
  uint32_t Chunks = 4;
  std::string Model; ///< Empty for a call to the plain service.
  std::string Class;
  bool Stream = false;
  CallKeyKind KeyKind = CallKeyKind::None;
  std::string Key; ///< Ticket or opaque key; if empty, a ticket is fetched.
};

class EntryHost {
public:
  struct Hooks {
    std::function<TimePoint()> Now;
    std::function<WallTime()> Wall;
    std::function<void(Duration, std::function<void()>)> Schedule;
    /// Opens a link to the server; onHello() or onLinkClosed() follows.
    std::function<void(const std::string &server)> Connect;
    std::function<void(const std::string &server, wire::Message)> Send;
    std::function<void(const std::string &peer, QuotaRequest)> RequestQuota;
    std::function<void(Step)> StepReached;
    std::function<void()> Exit;
    RandomSource Random;
  };
  EntryHost(std::string name, FakePlatform &platform, InvariantChecker &check,
            ControlHost &control, Hooks hooks);

  void submit(const Submission &submission);
  /// Resumes, from the given chunk, a stream that another entry had started.
  void resume(const Submission &submission, const std::string &server,
              uint32_t fromIndex);
  void onHello(const std::string &server, const Incarnation &process);
  void onMessage(const std::string &server, wire::Message message);
  void onLinkClosed(const std::string &server);
  void onSnapshot(std::shared_ptr<const Snapshot> snapshot);
  QuotaGrant grant(const QuotaRequest &request);
  void onGrant(const QuotaGrant &grant);
  void drain();

  /// A submission without a final answer, with what a caller needs to resume
  /// it: the server and the number of chunks received.
  struct OpenSubmission {
    uint64_t Submission = 0;
    std::string Server;
    uint32_t Chunks = 0;
  };
  std::vector<OpenSubmission> openSubmissions() const;

  // Defects that a test can switch on.
  bool AlwaysReportsNotRun = false;
  bool RetriesAnyCall = false; ///< Retries calls that may have run.
  bool DropsChunks = false;
  bool AnswersWrongCaller = false; ///< Sends answers to another caller.
  bool KeepsOldPieceKeys = false;  ///< Reuses an organisation's first keys.
  bool IgnoresLeaving = false;

private:
  struct ActiveRequest {
    Submission Request;
    std::unique_ptr<entry::RequestFlow> Flow;
    std::set<std::pair<std::string, Attempt>> Attempts;
    std::optional<TimePoint> ArmedTimer;
    std::string LastServer;
    uint32_t SentChunks = 0;
    bool Held = false;
  };
  struct Link {
    bool Open = false;
    Incarnation Process;
    std::vector<wire::Message> Queued;
  };

  void admit(const Submission &submission, bool mayWait);
  void startSubmission(const Submission &submission);
  void fetchTicket(const Submission &submission);
  void bind(const Submission &submission, const std::string &ticket);
  void onBindStep(const Submission &submission,
                  const std::shared_ptr<KeyBinding> &binding, BindStep step);
  void startFlow(const Submission &submission, const std::string &ticket);
  std::optional<entry::RequestSpec> readSpec(const Submission &submission,
                                             Error &reason) const;
  entry::FlowHooks flowHooks(const std::string &ticket);
  std::vector<entry::Candidate> rank(const entry::RequestSpec &spec,
                                     const std::string &ticket);
  void applyInput(const RequestId &id, const entry::FlowInput &input);
  void refuse(const Submission &submission, Error reason);
  void sendOrQueue(const std::string &server, wire::Message message);

  void on(ActiveRequest &active, entry::SendOffer &action);
  void on(ActiveRequest &active, entry::SendResume &action);
  void on(ActiveRequest &active, entry::SendCancel &action);
  void on(ActiveRequest &active, entry::AnswerPart &action);
  void on(ActiveRequest &active, entry::AnswerEnd &action);
  void on(ActiveRequest &active, entry::WholeAnswer &action);
  void on(ActiveRequest &active, entry::AnswerError &action);
  void on(ActiveRequest &active, entry::ArmTimer &action);
  void on(ActiveRequest &active, entry::ReportServer &action);
  void on(ActiveRequest &active, entry::RecordEvent &action);
  void on(ActiveRequest &active, entry::FlowEnded &action);
  uint64_t recipientOf(const ActiveRequest &active) const;
  void checkExit();

  std::string Name;
  FakePlatform &Platform;
  InvariantChecker &Checker;
  ControlHost &Control;
  Hooks Callbacks;
  std::shared_ptr<const RoutingTable> Routes;
  LoadView Loads;
  OrganisationLimits Limits;
  QuotaOwner Owner;
  RetryBudget Retries;
  PieceKeyer Keyer;
  BindingBudget Bindings;
  std::map<RequestId, ActiveRequest> Flows;
  std::map<std::string, Link> Links;
  std::map<RequestId, Submission> PendingTickets;
  std::map<std::string, std::vector<PieceKey>> FirstKeys;
  uint32_t NextAttempt = 1;
  bool Draining = false;
  bool Exited = false;
  uint32_t PendingAdmissions = 0;
};

} // namespace daisytack::matrix
