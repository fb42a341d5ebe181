/// Continuous batching of the engine stand-in: runs wait by priority, share the
/// prefill rate and decode one token at a time.
#pragma once

#include "engine_cache.h"
#include "standin_server.h"

#include <list>
#include <string>
#include <vector>

namespace daisytack::standin {

struct EngineRates {
  size_t Slots = 16;                 ///< Runs at a time.
  double PrefillTokensPerSecond = 0; ///< Tokens, over all runs; 0 for no limit.
  double DecodeTokensPerSecond = 0;  ///< Tokens of each run; 0 for no limit.
};

/// One request inside the engine.
struct Run {
  enum class Phase : uint8_t { Waiting, Prefill, Decode };

  std::string Id; ///< request_id.
  std::string ResponseId;
  std::string Model;
  std::string Version;
  std::string AnswerTag;  ///< Names the prompt in each token of the answer.
  std::string ResumeText; ///< Answer so far, which is not sent again.
  std::vector<std::string> Pieces;
  int64_t Priority = 0;
  int64_t PromptTokens = 0;
  int64_t CachedTokens = 0;
  int64_t MaxTokens = 0;
  int64_t ResumedTokens = 0;   ///< Tokens in ResumeText.
  int64_t GeneratedTokens = 0; ///< Tokens made by this run.
  double RemainingPrefillTokens = 0;
  double DecodeCredit = 0;
  bool Chat = false;
  bool Stream = false;
  bool Suspended = false;
  Phase CurrentPhase = Phase::Waiting;
  std::string BufferedText; ///< For a whole answer.
  Exchange ClientExchange;
};

/// The answer's token: tells whose it is and its place.
std::string tokenText(const std::string &answerTag, int64_t index);

class EngineRuns {
public:
  EngineRuns(StandinServer &server, EngineCache &cache, EngineRates rates)
      : Server(server), Cache(cache), Rates(rates) {}

  void add(Run run);
  /// Advances all runs by the time that passed.
  void step(Duration elapsed);
  /// Ends the runs of that request without finishing them; how many.
  size_t cancel(const std::string &id);
  /// How many runs it concerned.
  size_t suspend(const std::string &id, bool suspended);
  /// The caller has gone.
  void abandon(const net::HttpExchange *exchange);
  size_t running() const;
  size_t waiting() const { return Runs.size() - running(); }
  const EngineRates &rates() const { return Rates; }

private:
  void admit();
  void start(Run &run);
  void prefill(double budget);
  void finishPrefill(Run &run);
  /// False once the run has ended and may be dropped.
  bool decode(Run &run, double tokens);
  void sendToken(Run &run);
  void sendEnd(Run &run, const char *reason);
  json::object choice(const Run &run, const std::string &text,
                      const char *reason) const;
  void crossAnswer(Run &run);

  StandinServer &Server;
  EngineCache &Cache;
  EngineRates Rates;
  std::list<Run> Runs; ///< By priority, then arrival.
};

} // namespace daisytack::standin
