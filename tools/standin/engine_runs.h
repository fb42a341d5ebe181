/// Continuous batching of the engine stand-in: runs queue by priority, share
/// the prefill rate, and decode at a fixed rate each.
#pragma once

#include "engine_cache.h"
#include "standin_server.h"

#include <list>
#include <string>
#include <vector>

namespace daisytack::standin {

struct EngineRates {
  size_t Slots = 16;                 ///< Concurrent runs.
  double PrefillTokensPerSecond = 0; ///< Over all runs; 0: no limit.
  double DecodeTokensPerSecond = 0;  ///< Of each run; 0: no limit.
};

/// One request inside the engine.
struct Run {
  enum class Phase : uint8_t { Waiting, Prefill, Decode };

  std::string Id;         ///< "request_id" of the request.
  std::string ResponseId; ///< "id" in the answer.
  std::string Model;
  std::string Version;
  std::string AnswerTag; ///< Identifies the prompt in each token of the answer.
  std::string ResumeText; ///< Answer so far, which is not repeated.
  std::vector<std::string> Pieces;
  int64_t Priority = 0;
  int64_t PromptTokens = 0;
  int64_t CachedTokens = 0;
  int64_t MaxTokens = 0;
  int64_t ResumedTokens = 0;   ///< Tokens of the answer that the caller has.
  int64_t GeneratedTokens = 0; ///< By this run, without ResumedTokens.
  double RemainingPrefillTokens = 0;
  double DecodeCredit = 0; ///< Tokens that may be generated now.
  bool Chat = false;
  bool Stream = false;
  bool Suspended = false;
  Phase CurrentPhase = Phase::Waiting;
  std::string BufferedText; ///< Answer so far when it isn't streamed.
  Exchange ClientExchange;
};

/// Token of an answer; contains the answer's tag and the token's index.
std::string tokenText(const std::string &answerTag, int64_t index);

class EngineRuns {
public:
  EngineRuns(StandinServer &server, EngineCache &cache, EngineRates rates)
      : Server(server), Cache(cache), Rates(rates) {}

  void add(Run run);
  /// Advances all runs by the elapsed time.
  void step(Duration elapsed);
  /// Aborts the runs of a request; returns their number.
  size_t cancel(const std::string &id);
  /// Suspends or resumes the runs of a request; returns their number.
  size_t suspend(const std::string &id, bool suspended);
  /// Drops the run whose client has disconnected.
  void abandon(const net::HttpExchange *exchange);
  size_t running() const;
  size_t waiting() const { return Runs.size() - running(); }

private:
  void admit();
  void start(Run &run);
  void prefill(double budget);
  void finishPrefill(Run &run);
  /// Generates up to the given number of tokens; false when the run has ended
  /// and is to be removed.
  bool decode(Run &run, double tokens);
  void sendToken(Run &run);
  void sendEnd(Run &run, const char *reason);
  json::object choice(const Run &run, const std::string &text,
                      const char *reason) const;
  /// Implements the fault cross_answers: gives the run another request's id and
  /// tag.
  void crossAnswer(Run &run);

  StandinServer &Server;
  EngineCache &Cache;
  EngineRates Rates;
  std::list<Run> Runs; ///< Sorted by priority, then arrival.
};

} // namespace daisytack::standin
