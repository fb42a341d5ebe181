// Drives a RequestFlow by a script and records its actions as text.
#pragma once

#include "serve/request_flow.h"

#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace daisytack::entry {

// Properties of the request that a script is run for.
struct FlowKind {
  bool Idempotent = true;
  bool Stream = true;
  std::optional<uint32_t> ResumeFrom; // Unset: a new request.
  std::optional<Duration> ReleaseIn;  // Unset: answers are not held.
  const char *Ticket = "";            // Empty: the request has no ticket.
};

// Commands, separated by semicolons. S is a server, N an attempt:
//   accept S N [MS]     the predicted time to the first token is MS
//   refuse S N KIND [may]   may: the request may have run
//   chunk S N INDEX     the text is "S:INDEX "
//   finish S N CHUNKS   reports an answer of CHUNKS chunks
//   fail S N KIND not|may   the request did not run, or may have run
//   lost N [unsent]     the link broke; unsent: before the offer was sent
//   time MS             advances the clock and fires due timers
//   gone                the caller disconnected
//   stop                an operator stopped the request
//   release MS|none     sets or removes the class's release time
//   budget N            sets the number of retries left
//   servers S...        sets the candidates, best first
class FlowHarness {
public:
  explicit FlowHarness(const FlowKind &kind)
      : Flow(specOf(kind), FlowSettings(), hooks()) {
    RequestClass held;
    held.Name = "default";
    if (kind.ReleaseIn)
      held.ReleaseAt = Wall + *kind.ReleaseIn;
    Config.Classes = {held};
    Config.finish();
  }

  // Runs the script and returns all actions as text, except timers, events,
  // server reports and the end of the flow.
  std::string play(const std::string &script) {
    applyInput(FlowStarted{});
    std::istringstream lines(script);
    for (std::string line; std::getline(lines, line, ';');)
      command(line);
    return Trace;
  }

  void applyInput(const FlowInput &input) {
    for (const FlowAction &action : Flow.apply(input, {Config, Now, Wall}))
      std::visit([this](const auto &it) { observe(it); }, action);
  }

  void advance(Duration span) {
    TimePoint until = Now + span;
    while (Timer && *Timer <= until) {
      Wall += std::max(*Timer - Now, Duration(0));
      Now = std::max(Now, *Timer);
      Timer.reset();
      applyInput(TimerFired{});
    }
    Wall += until - Now;
    Now = until;
  }

  static RequestId id() { return {1, 2}; }

  Snapshot Config;
  TimePoint Now{Duration(1'000'000)};
  WallTime Wall{Duration(5'000'000'000)};
  std::vector<Candidate> Servers{{"a", {}}, {"b", {}}, {"c", {}}};
  int RetryBudget = 100;
  RequestFlow Flow;
  std::string Trace;
  std::string CallerText;
  std::optional<TimePoint> Timer;
  std::vector<SendOffer> Offers;
  std::vector<SendResume> Resumes;
  std::vector<uint32_t> PartIndexes; // Index of each part sent to the caller.
  int FinalAnswers = 0;
  bool HasWholeAnswer = false;
  std::optional<AnswerError> Failure;
  std::optional<AnswerSummary> Summary;

private:
  RequestSpec specOf(const FlowKind &kind) const {
    RequestSpec out;
    out.Offer.Id = id();
    out.Offer.Organisation = "desk";
    out.Offer.Class = "default";
    out.Offer.Model = "m";
    out.Offer.Idempotent = kind.Idempotent;
    out.Offer.Ticket = kind.Ticket;
    out.Stream = kind.Stream;
    out.Arrived = Now;
    out.Deadline = Now + Duration(10'000'000);
    if (kind.ResumeFrom)
      out.Resume = ResumePoint{"a", *kind.ResumeFrom};
    return out;
  }

  FlowHooks hooks() {
    FlowHooks out;
    out.Rank = [this](const auto &, const auto &) { return Servers; };
    out.TakeRetry = [this] { return RetryBudget-- > 0; };
    out.Random = [] { return uint64_t{50'000}; };
    return out;
  }

  void appendTrace(const std::string &text) {
    Trace += Trace.empty() ? text : "; " + text;
  }
  void observe(const SendOffer &it) {
    Offers.push_back(it);
    appendTrace("offer " + it.Server + " " +
                std::to_string(it.Offer.AttemptNumber) +
                (it.Offer.GeneratedChunks > 0
                     ? " from " + std::to_string(it.Offer.GeneratedChunks)
                     : ""));
  }
  void observe(const SendResume &it) {
    Resumes.push_back(it);
    appendTrace("resume " + it.Server + " " +
                std::to_string(it.Resume.AttemptNumber) + " from " +
                std::to_string(it.Resume.FromIndex));
  }
  void observe(const SendCancel &it) {
    appendTrace("cancel " + it.Server + " " +
                std::to_string(it.Cancel.AttemptNumber));
  }
  void observe(const AnswerPart &it) {
    CallerText += it.Text;
    PartIndexes.push_back(it.Index);
    appendTrace("part " + std::to_string(it.Index));
  }
  void observe(const AnswerEnd &it) { finish("end", it.Summary); }
  void observe(const WholeAnswer &it) {
    CallerText += it.Text;
    finish("whole", it.Summary);
  }
  void observe(const AnswerError &it) {
    ++FinalAnswers;
    Failure = it;
    appendTrace("error " + std::string(errorName(it.Reason.Kind)) + " " +
                std::string(outcomeName(it.RunOutcome)));
  }
  void observe(const ArmTimer &it) { Timer = it.At; }
  void observe(const ReportServer &) {}
  void observe(const RecordEvent &) {}
  void observe(const FlowEnded &) {}
  void finish(const char *how, const AnswerSummary &summary) {
    ++FinalAnswers;
    HasWholeAnswer = true;
    Summary = summary;
    appendTrace(how);
  }

  template <class M> M message(std::istringstream &in, std::string &server) {
    M out;
    out.Id = id();
    in >> server >> out.AttemptNumber;
    return out;
  }

  void command(const std::string &line) {
    std::istringstream in(line);
    std::string verb;
    std::string server;
    std::string word;
    in >> verb;
    if (verb == "accept") {
      auto out = message<wire::Accepted>(in, server);
      uint64_t millis = 0;
      in >> millis;
      out.FirstTokenMicros = millis * 1000;
      out.CompletionMicros = out.FirstTokenMicros;
      applyInput(ServerMessage{server, out});
    } else if (verb == "refuse") {
      auto out = message<wire::Refused>(in, server);
      in >> word;
      out.Kind = parseErrorKind(word);
      if (in >> word)
        out.RunOutcome = Outcome::MayHaveRun;
      applyInput(ServerMessage{server, out});
    } else if (verb == "chunk") {
      auto out = message<wire::Chunk>(in, server);
      in >> out.Index;
      out.Text = server + ":" + std::to_string(out.Index) + " ";
      applyInput(ServerMessage{server, out});
    } else if (verb == "finish") {
      auto out = message<wire::Finished>(in, server);
      in >> out.Chunks;
      applyInput(ServerMessage{server, out});
    } else if (verb == "fail") {
      auto out = message<wire::Finished>(in, server);
      in >> word;
      out.Kind = parseErrorKind(word);
      in >> word;
      out.RunOutcome = word == "not" ? Outcome::NotRun : Outcome::MayHaveRun;
      applyInput(ServerMessage{server, out});
    } else {
      otherCommand(verb, in);
    }
  }

  void otherCommand(const std::string &verb, std::istringstream &in) {
    std::string word;
    int number = 0;
    if (verb == "lost") {
      in >> number;
      bool unsent = static_cast<bool>(in >> word);
      applyInput(LinkLost{static_cast<Attempt>(number), !unsent});
    } else if (verb == "time") {
      in >> number;
      advance(std::chrono::milliseconds(number));
    } else if (verb == "gone") {
      applyInput(CallerDisconnected{});
    } else if (verb == "stop") {
      applyInput(StopRequested{});
    } else if (verb == "release") {
      in >> word;
      Config.Classes[0].ReleaseAt.reset();
      if (word != "none")
        Config.Classes[0].ReleaseAt =
            Wall + std::chrono::milliseconds(std::stoi(word));
      applyInput(ConfigChanged{});
    } else if (verb == "budget") {
      in >> RetryBudget;
    } else if (verb == "servers") {
      Servers.clear();
      while (in >> word)
        Servers.push_back({word, {}});
    }
  }
};

} // namespace daisytack::entry
