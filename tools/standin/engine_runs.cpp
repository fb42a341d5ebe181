#include "engine_runs.h"

#include "base/clock.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <limits>

namespace daisytack::standin {

namespace {

constexpr double Unlimited = std::numeric_limits<double>::infinity();

double amount(double perSecond, Duration passed) {
  constexpr double MicrosPerSecond = 1e6;
  if (perSecond == 0)
    return Unlimited;
  return perSecond * static_cast<double>(passed.count()) / MicrosPerSecond;
}

} // namespace

std::string tokenText(const std::string &word, int64_t index) {
  return word + "." + std::to_string(index) + " ";
}

void EngineRuns::add(Run run) {
  auto place = std::find_if(Runs.begin(), Runs.end(), [&](const Run &other) {
    return other.Priority < run.Priority;
  });
  Runs.insert(place, std::move(run));
  step(Duration::zero());
}

size_t EngineRuns::running() const {
  return static_cast<size_t>(
      std::count_if(Runs.begin(), Runs.end(), [](const Run &run) {
        return run.Now != Run::Phase::Waiting;
      }));
}

void EngineRuns::step(Duration passed) {
  double slow =
      std::max<double>(1, static_cast<double>(Shared.number("slow_factor")));
  admit();
  prefill(amount(Rates.PrefillPerSecond, passed) / slow);
  double tokens = amount(Rates.DecodePerSecond, passed) / slow;
  for (auto it = Runs.begin(); it != Runs.end();) {
    bool decodes = it->Now == Run::Phase::Decode && !it->Suspended;
    if (decodes && !decode(*it, tokens))
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
    if (run.Now != Run::Phase::Waiting || run.Suspended)
      continue;
    start(run);
    ++used;
  }
}

void EngineRuns::start(Run &run) {
  size_t cached = Cache.prefix(run.Pieces);
  run.CachedTokens = std::min<int64_t>(
      static_cast<int64_t>(cached * PieceTokens), run.PromptTokens);
  for (size_t i = 0; i < cached; ++i)
    if (!Cache.isGood(run.Pieces[i]))
      run.Word = "corrupt";
  Cache.touch(run.Pieces, cached);
  run.PrefillLeft = static_cast<double>(run.PromptTokens - run.CachedTokens);
  run.Now = Run::Phase::Prefill;
}

void EngineRuns::prefill(double budget) {
  for (Run &run : Runs) {
    if (run.Now != Run::Phase::Prefill || run.Suspended)
      continue;
    double part = std::min(budget, run.PrefillLeft);
    run.PrefillLeft -= part;
    budget -= part;
    if (run.PrefillLeft <= 0)
      finishPrefill(run);
  }
}

void EngineRuns::finishPrefill(Run &run) {
  for (const std::string &key : run.Pieces)
    if (!Cache.has(key))
      Cache.store(key, true, monotonicNow());
  Cache.touch(run.Pieces, run.Pieces.size());
  run.Now = Run::Phase::Decode;
  run.Credit = 1; // Prefill yields the first token.
  Shared.count("prefilled_tokens", run.PromptTokens - run.CachedTokens);
  if (Shared.takeOne("cross_answers"))
    crossAnswer(run);
  if (run.Stream)
    run.To->beginStream(200, {{"Content-Type", "text/event-stream"}});
}

void EngineRuns::crossAnswer(Run &run) {
  run.ShownId = "00000000000000000000000000000bad";
  run.Word = "crossed";
  for (const Run &other : Runs)
    if (other.Id != run.Id) {
      run.ShownId = other.Id;
      run.Word = other.Word;
      return;
    }
}

bool EngineRuns::decode(Run &run, double tokens) {
  int64_t failAfter = Shared.number("fail_after_chunks");
  for (run.Credit += tokens; run.Credit >= 1; run.Credit -= 1) {
    if (run.Resumed + run.Made >= run.MaxTokens)
      break;
    sendToken(run);
    if (failAfter > 0 && run.Made >= failAfter) {
      run.To->abort();
      return false;
    }
  }
  if (run.Resumed + run.Made < run.MaxTokens)
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
  std::string text = tokenText(run.Word, run.Resumed + run.Made);
  Shared.count("decoded_tokens");
  int64_t sequence = run.Made++;
  if (!run.Stream) {
    run.Text += text;
    return;
  }
  json::object event{
      {"id", run.ShownId},
      {"object", run.Chat ? "chat.completion.chunk" : "text_completion"},
      {"model", run.Model},
      {"system_fingerprint", run.Version},
      {"sequence", sequence},
      {"choices", json::array{choice(run, text, nullptr)}}};
  std::string data = "data: " + json::serialize(event) + "\n\n";
  if (Shared.isOn("duplicate_chunks"))
    run.To->write(data);
  run.To->write(std::move(data));
}

void EngineRuns::sendEnd(Run &run, const char *reason) {
  json::object event{
      {"id", run.ShownId},
      {"object", run.Chat ? "chat.completion" : "text_completion"},
      {"model", run.Model},
      {"system_fingerprint", run.Version},
      {"choices", json::array{choice(run, run.Text, reason)}},
      {"usage", json::object{{"prompt_tokens", run.PromptTokens},
                             {"cached_tokens", run.CachedTokens},
                             {"completion_tokens", run.Made}}}};
  Shared.count("finished");
  if (!run.Stream)
    return respondJson(run.To, 200, event);
  if (run.Chat)
    event["object"] = "chat.completion.chunk";
  event["sequence"] = run.Made;
  run.To->write("data: " + json::serialize(event) + "\n\ndata: [DONE]\n\n");
  run.To->endStream();
}

size_t EngineRuns::cancel(const std::string &id) {
  size_t before = Runs.size();
  Runs.remove_if([&](Run &run) {
    if (run.Id != id)
      return false;
    if (run.Now == Run::Phase::Decode && run.Stream)
      run.To->endStream();
    else
      respondError(run.To, 499, "cancelled");
    return true;
  });
  Shared.count("cancelled", static_cast<int64_t>(before - Runs.size()));
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

void EngineRuns::forget(const net::HttpExchange *to) {
  size_t before = Runs.size();
  Runs.remove_if([to](const Run &run) { return run.To.get() == to; });
  Shared.count("abandoned", static_cast<int64_t>(before - Runs.size()));
}

} // namespace daisytack::standin
