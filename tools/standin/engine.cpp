/// Stand-in of a model engine: OpenAI-shaped completions and the small control
/// surface of docs/PROTOCOL.md.
#include "engine_runs.h"

#include "base/clock.h"
#include "base/digest.h"

#include <boost/json/array.hpp>
#include <gflags/gflags.h>

#include <algorithm>

DEFINE_string(model, "m", "model that the engine serves");
DEFINE_string(weights_version, "v1", "weight version loaded at start");
DEFINE_uint64(slots, 16, "runs at a time");
DEFINE_double(prefill_rate, 50000, "prompt tokens a second; 0 for no limit");
DEFINE_double(decode_rate, 200, "tokens a second of a run; 0 for no limit");
DEFINE_uint64(cache_pieces, 256, "capacity of the prefix cache, pieces");
DEFINE_uint64(piece_bytes, 16384, "size of an exported piece, bytes");
DEFINE_uint64(event_lag_ms, 100, "lag of the cache events");
DEFINE_uint64(event_loss, 0, "cache events lost, in a thousand");
DEFINE_uint64(status_lag_ms, 200, "lag of /control/status");
DEFINE_uint64(load_ms, 1000, "time to load weights that no store is named for");
DEFINE_bool(check_fencing, false, "refuse orders with an old fencing number");

namespace daisytack::standin {

namespace {

constexpr Duration Tick{5'000};
constexpr Duration LongestStep{200'000}; ///< After the process was stopped.
constexpr int64_t DefaultMaxTokens = 16;
constexpr size_t WordDigits = 8;

class Engine {
public:
  explicit Engine(Host &host)
      : Shared(host), Cache(FLAGS_cache_pieces,
                            std::chrono::milliseconds(FLAGS_event_lag_ms)),
        Runs(host, Cache, {FLAGS_slots, FLAGS_prefill_rate, FLAGS_decode_rate}),
        Started(wallNow().time_since_epoch().count()) {
    for (const char *flag : {"ignore_fencing", "duplicate_chunks",
                             "drop_cache_events", "clear_cache"})
      Shared.Faults[flag] = false;
    for (const char *number :
         {"slow_factor", "cross_answers", "fail_after_chunks"})
      Shared.Faults[number] = 0;
    Cache.LosesEvent = [this] {
      return Shared.isOn("drop_cache_events") ||
             Shared.Random() % 1000 < FLAGS_event_loss;
    };
    Shared.OnRequest = [this](const auto &request, const auto &exchange) {
      onRequest(request, exchange);
    };
    Shared.OnFault = [this] { onFault(); };
    Shared.OnStats = [this](json::object &out) { describe(out); };
    Last = monotonicNow();
    Shared.every(Tick, [this] { tick(); });
    refreshStatus();
  }

private:
  void tick() {
    TimePoint now = monotonicNow();
    Runs.step(std::min(now - Last, LongestStep));
    Last = now;
  }

  void onFault() {
    if (!Shared.isOn("clear_cache"))
      return;
    Cache.clear(monotonicNow());
    Shared.Faults["clear_cache"] = false;
  }

  void onRequest(const HttpRequest &request, const Exchange &exchange) {
    const std::string &path = request.Path;
    if (path == "/v1/completions" || path == "/v1/chat/completions")
      return complete(request, exchange);
    if (path == "/control/status")
      return respondJson(exchange, 200, Status);
    if (path == "/control/cache_events")
      return respondEvents(request, exchange);
    if (path.starts_with("/control/pieces/"))
      return movePiece(request, exchange);
    auto body = bodyOf(request, exchange);
    if (!body)
      return;
    std::string id = textIn(*body, "request_id");
    if (path == "/control/cancel")
      return respondCount(exchange, Runs.cancel(id));
    if (path == "/control/suspend")
      return respondCount(exchange, Runs.suspend(id, true));
    if (path == "/control/resume")
      return respondCount(exchange, Runs.suspend(id, false));
    if (path == "/control/orders")
      return order(*body, exchange);
    respondError(exchange, 404, "no such path");
  }

  static void respondCount(const Exchange &exchange, size_t n) {
    respondJson(exchange, n > 0 ? 200 : 404, json::object{{"runs", n}});
  }

  static std::string promptOf(const json::object &body) {
    const json::value *messages = body.if_contains("messages");
    if (!messages || !messages->is_array())
      return textIn(body, "prompt");
    std::string out;
    for (const json::value &message : messages->get_array())
      if (message.is_object())
        out += textIn(message.get_object(), "role") + "\n" +
               textIn(message.get_object(), "content") + "\n";
    return out;
  }

  void complete(const HttpRequest &request, const Exchange &exchange) {
    auto body = bodyOf(request, exchange);
    if (!body)
      return;
    std::string prompt = promptOf(*body);
    if (prompt.empty())
      return respondError(exchange, 400, "the prompt is missing");
    Run run;
    run.Id = run.ShownId = textIn(*body, "request_id");
    run.Model = FLAGS_model;
    run.Version = Version;
    run.Word = hexDigest(sha256(prompt)).substr(0, WordDigits);
    run.Priority = numberIn(*body, "priority");
    run.PromptTokens = static_cast<int64_t>(
        (prompt.size() + BytesPerToken - 1) / BytesPerToken);
    run.MaxTokens = numberIn(*body, "max_tokens");
    if (run.MaxTokens <= 0)
      run.MaxTokens = DefaultMaxTokens;
    run.Chat = request.Path != "/v1/completions";
    const json::value *stream = body->if_contains("stream");
    run.Stream = stream && stream->is_bool() && stream->get_bool();
    const json::value *pieces = body->if_contains("pieces");
    if (pieces && pieces->is_array())
      for (const json::value &key : pieces->get_array())
        if (key.is_string())
          run.Pieces.emplace_back(key.get_string());
    if (!takeResumeText(run, textIn(*body, "resume_text")))
      return respondError(exchange, 400, "resume_text is of another answer");
    run.To = exchange;
    exchange->onClosed([this, raw = exchange.get()] { Runs.forget(raw); });
    Shared.count("runs");
    Runs.add(std::move(run));
  }

  /// Counts the tokens that the text holds; false when it is no start of this
  /// answer.
  static bool takeResumeText(Run &run, const std::string &text) {
    std::string own;
    while (own.size() < text.size())
      own += tokenText(run.Word, run.Resumed++);
    return own == text;
  }

  void respondEvents(const HttpRequest &request, const Exchange &exchange) {
    int64_t first = queryNumber(request, "from");
    respondJson(exchange, 200, Cache.events(first, monotonicNow()));
  }

  void movePiece(const HttpRequest &request, const Exchange &exchange) {
    std::string key = partsOf(request.Path).back();
    if (request.Method == "PUT") {
      if (Cache.capacity() == 0)
        return respondError(exchange, 507, "the cache can't take it");
      bool good = request.Body == pieceBytes(key, Version, FLAGS_piece_bytes);
      Shared.count(good ? "imported" : "imported_wrong");
      Cache.store(key, good, monotonicNow());
      return exchange->respond({204, {}, ""});
    }
    if (!Cache.has(key))
      return respondError(exchange, 404, "not cached");
    Shared.count("exported");
    exchange->respond({200,
                       {{"Content-Type", "application/octet-stream"}},
                       pieceBytes(key, Version, FLAGS_piece_bytes)});
  }

  void order(const json::object &body, const Exchange &exchange) {
    int64_t fence = numberIn(body, "fence");
    bool checks = FLAGS_check_fencing && !Shared.isOn("ignore_fencing");
    if (checks && fence < Fence) {
      Shared.count("orders_refused");
      return respondJson(exchange, 409, json::object{{"fence", Fence}});
    }
    Fence = fence;
    Shared.count("orders");
    std::string kind = textIn(body, "kind");
    if (kind == "load_weights")
      loadWeights(textIn(body, "version"), textIn(body, "weights"));
    else if (kind == "load_adapter")
      Adapter = textIn(body, "adapter");
    else if (kind == "set_role")
      Role = textIn(body, "role");
    else
      return respondError(exchange, 400, "unknown kind of order");
    respondJson(exchange, 202, json::object{{"fence", Fence}});
  }

  /// The latest load wins; runs go on with the version they began with.
  void loadWeights(const std::string &version, const std::string &from) {
    int64_t load = ++LoadNumber;
    Loading = version;
    auto done = [this, load, version](bool good) {
      if (load != LoadNumber)
        return;
      Loading.clear();
      Shared.count(good ? "loads" : "loads_failed");
      if (!good || version == Version)
        return;
      Version = version;
      Cache.clear(monotonicNow());
    };
    auto store = parseEndpoint(from);
    if (!store)
      return Shared.after(std::chrono::milliseconds(FLAGS_load_ms),
                          [done] { done(true); });
    HttpRequest get{
        "GET", "/weights/" + FLAGS_model + "/" + version, "", {}, ""};
    Shared.Client.fetch(*store, get, Duration::zero(),
                        [done](const Error &error, const HttpResponse &got) {
                          done(!error && got.Status == 200);
                        });
  }

  /// An unlimited rate shows as a high one.
  static int64_t shownRate(double rate) {
    constexpr int64_t High = 10'000'000;
    return rate == 0 ? High : static_cast<int64_t>(rate);
  }

  void describe(json::object &out) const {
    out["model"] = FLAGS_model;
    out["version"] = Version;
    out["adapter"] = Adapter;
    out["loading"] = Loading;
    out["role"] = Role;
    out["fence"] = Fence;
    out["running"] = Runs.running();
    out["waiting"] = Runs.waiting();
    out["cached_pieces"] = Cache.size();
    out["cache_capacity"] = Cache.capacity();
    out["prefill_tokens_per_second"] = shownRate(FLAGS_prefill_rate);
    out["decode_tokens_per_second"] = shownRate(FLAGS_decode_rate);
    out["started"] = Started;
  }

  void refreshStatus() {
    describe(Status);
    Shared.after(std::chrono::milliseconds(FLAGS_status_lag_ms),
                 [this] { refreshStatus(); });
  }

  Host &Shared;
  EngineCache Cache;
  EngineRuns Runs;
  TimePoint Last;
  int64_t Started;
  std::string Version = FLAGS_weights_version;
  std::string Adapter;
  std::string Loading; ///< Version under way; empty for none.
  std::string Role = "serve";
  int64_t Fence = 0;
  int64_t LoadNumber = 0;
  json::object Status;
};

} // namespace

int runEngine(Host &host) {
  Engine engine(host);
  return host.run();
}

} // namespace daisytack::standin
