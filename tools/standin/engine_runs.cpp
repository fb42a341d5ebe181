#include "engine_runs.h"

#include "base/clock.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <limits>

namespace daisytack::standin {

namespace {

constexpr double Unlimited = std::numeric_limits<double>::infinity();

double tokenBudget(double perSecond, Duration elapsed) {
  constexpr double MicrosPerSecond = 1e6;
  if (perSecond == 0)
    return Unlimited;
  return perSecond * static_cast<double>(elapsed.count()) / MicrosPerSecond;
}

} // namespace

std::string tokenText(const std::string &answerTag, int64_t index) {
  return answerTag + "." + std::to_string(index) + " ";
}

void EngineRuns::add(Run run) {
  auto position = std::find_if(Runs.begin(), Runs.end(), [&](const Run &other) {
    return other.Priority < run.Priority;
  });
  Runs.insert(position, std::move(run));
  step(Duration::zero());
}

size_t EngineRuns::running() const {
  return static_cast<size_t>(
      std::count_if(Runs.begin(), Runs.end(), [](const Run &run) {
        return run.CurrentPhase != Run::Phase::Waiting;
      }));
}

void EngineRuns::step(Duration elapsed) {
  double slowFactor = std::max<double>(
      1, static_cast<double>(Server.faultNumber("slow_factor")));
  admit();
  prefill(tokenBudget(Rates.PrefillTokensPerSecond, elapsed) / slowFactor);
  double tokens =
      tokenBudget(Rates.DecodeTokensPerSecond, elapsed) / slowFactor;
  for (auto it = Runs.begin(); it != Runs.end();) {
    bool isDecoding = it->CurrentPhase == Run::Phase::Decode && !it->Suspended;
    if (isDecoding && !decode(*it, tokens))
      it = Runs.erase(it);
    else
      ++it;
  }
  admit();
}

void EngineRuns::admit() {
  size_t used = running();
  for (Run &run : Runs) {
    if (used >= Rates.Slots)
      return;
    if (run.CurrentPhase != Run::Phase::Waiting || run.Suspended)
      continue;
    start(run);
    ++used;
  }
}

void EngineRuns::start(Run &run) {
  size_t cached = Cache.cachedPrefixLength(run.Pieces);
  run.CachedTokens = std::min<int64_t>(
      static_cast<int64_t>(cached * PieceTokens), run.PromptTokens);
  for (size_t i = 0; i < cached; ++i)
    if (!Cache.isIntact(run.Pieces[i]))
      run.AnswerTag = "corrupt";
  Cache.touch(run.Pieces, cached);
  run.RemainingPrefillTokens =
      static_cast<double>(run.PromptTokens - run.CachedTokens);
  run.CurrentPhase = Run::Phase::Prefill;
}

void EngineRuns::prefill(double budget) {
  for (Run &run : Runs) {
    if (run.CurrentPhase != Run::Phase::Prefill || run.Suspended)
      continue;
    double processed = std::min(budget, run.RemainingPrefillTokens);
    run.RemainingPrefillTokens -= processed;
    budget -= processed;
    if (run.RemainingPrefillTokens <= 0)
      finishPrefill(run);
  }
}

void EngineRuns::finishPrefill(Run &run) {
  for (const std::string &key : run.Pieces)
    if (!Cache.has(key))
      Cache.store(key, true, monotonicNow());
  Cache.touch(run.Pieces, run.Pieces.size());
  run.CurrentPhase = Run::Phase::Decode;
  run.DecodeCredit = 1; // Prefill generates the first token.
  Server.count("prefilled_tokens", run.PromptTokens - run.CachedTokens);
  if (Server.consumeFault("cross_answers"))
    crossAnswer(run);
  if (run.Stream)
    run.ClientExchange->beginStream(200,
                                    {{"Content-Type", "text/event-stream"}});
}

void EngineRuns::crossAnswer(Run &run) {
  run.ResponseId = "00000000000000000000000000000bad";
  run.AnswerTag = "crossed";
  for (const Run &other : Runs)
    if (other.Id != run.Id) {
      run.ResponseId = other.Id;
      run.AnswerTag = other.AnswerTag;
      return;
    }
}

bool EngineRuns::decode(Run &run, double tokens) {
  int64_t failAfter = Server.faultNumber("fail_after_chunks");
  for (run.DecodeCredit += tokens; run.DecodeCredit >= 1;
       run.DecodeCredit -= 1) {
    if (run.ResumedTokens + run.GeneratedTokens >= run.MaxTokens)
      break;
    sendToken(run);
    if (failAfter > 0 && run.GeneratedTokens >= failAfter) {
      run.ClientExchange->abort();
      return false;
    }
  }
  if (run.ResumedTokens + run.GeneratedTokens < run.MaxTokens)
    return true;
  sendEnd(run, "length");
  return false;
}

json::object EngineRuns::choice(const Run &run, const std::string &text,
                                const char *reason) const {
  json::object out{{"index", 0}};
  if (!run.Chat)
    out["text"] = text;
  else
    out[run.Stream ? "delta" : "message"] =
        json::object{{"role", "assistant"}, {"content", text}};
  out["finish_reason"] = reason ? json::value(reason) : json::value(nullptr);
  return out;
}

void EngineRuns::sendToken(Run &run) {
  std::string text =
      tokenText(run.AnswerTag, run.ResumedTokens + run.GeneratedTokens);
  Server.count("decoded_tokens");
  int64_t sequence = run.GeneratedTokens++;
  if (!run.Stream) {
    run.BufferedText += text;
    return;
  }
  json::object event{
      {"id", run.ResponseId},
      {"object", run.Chat ? "chat.completion.chunk" : "text_completion"},
      {"model", run.Model},
      {"system_fingerprint", run.Version},
      {"sequence", sequence},
      {"choices", json::array{choice(run, text, nullptr)}}};
  std::string data = "data: " + json::serialize(event) + "\n\n";
  if (Server.isFaultOn("duplicate_chunks"))
    run.ClientExchange->write(data);
  run.ClientExchange->write(std::move(data));
}

void EngineRuns::sendEnd(Run &run, const char *reason) {
  json::object event{
      {"id", run.ResponseId},
      {"object", run.Chat ? "chat.completion" : "text_completion"},
      {"model", run.Model},
      {"system_fingerprint", run.Version},
      {"choices", json::array{choice(run, run.BufferedText, reason)}},
      {"usage", json::object{{"prompt_tokens", run.PromptTokens},
                             {"cached_tokens", run.CachedTokens},
                             {"completion_tokens", run.GeneratedTokens}}}};
  Server.count("finished");
  if (!run.Stream)
    return respondJson(run.ClientExchange, 200, event);
  if (run.Chat)
    event["object"] = "chat.completion.chunk";
  event["sequence"] = run.GeneratedTokens;
  run.ClientExchange->write("data: " + json::serialize(event) +
                            "\n\ndata: [DONE]\n\n");
  run.ClientExchange->endStream();
}

size_t EngineRuns::cancel(const std::string &id) {
  size_t before = Runs.size();
  Runs.remove_if([&](Run &run) {
    if (run.Id != id)
      return false;
    if (run.CurrentPhase == Run::Phase::Decode && run.Stream)
      run.ClientExchange->endStream();
    else
      respondError(run.ClientExchange, 499, "cancelled");
    return true;
  });
  Server.count("cancelled", static_cast<int64_t>(before - Runs.size()));
  return before - Runs.size();
}

size_t EngineRuns::suspend(const std::string &id, bool suspended) {
  size_t n = 0;
  for (Run &run : Runs) {
    if (run.Id != id)
      continue;
    run.Suspended = suspended;
    ++n;
  }
  return n;
}

void EngineRuns::abandon(const net::HttpExchange *exchange) {
  size_t before = Runs.size();
  Runs.remove_if([exchange](const Run &run) {
    return run.ClientExchange.get() == exchange;
  });
  Server.count("abandoned", static_cast<int64_t>(before - Runs.size()));
}

} // namespace daisytack::standin
