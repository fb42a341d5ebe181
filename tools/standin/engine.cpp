/// Stand-in for a model engine: completions in the OpenAI format and the
/// control interface of docs/PROTOCOL.md.
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
/// Limits the catch-up of one tick after the process was suspended.
constexpr Duration MaxStep{200'000};
constexpr int64_t DefaultMaxTokens = 16;
constexpr size_t AnswerTagDigits = 8;

class Engine {
public:
  explicit Engine(StandinServer &server)
      : Server(server), Cache(FLAGS_cache_pieces,
                              std::chrono::milliseconds(FLAGS_event_lag_ms)),
        Runs(server, Cache,
             {FLAGS_slots, FLAGS_prefill_rate, FLAGS_decode_rate}),
        StartTime(wallNow().time_since_epoch().count()) {
    for (const char *flag : {"ignore_fencing", "duplicate_chunks",
                             "drop_cache_events", "clear_cache"})
      Server.Faults[flag] = false;
    for (const char *number :
         {"slow_factor", "cross_answers", "fail_after_chunks", "endless_body"})
      Server.Faults[number] = 0;
    Cache.ShouldDropEvent = [this] {
      return Server.isFaultOn("drop_cache_events") ||
             Server.Random() % 1000 < FLAGS_event_loss;
    };
    Server.OnRequest = [this](const auto &request, const auto &exchange) {
      onRequest(request, exchange);
    };
    Server.OnFault = [this] { onFault(); };
    Server.OnStats = [this](json::object &out) { fillStatus(out); };
    LastTick = monotonicNow();
    Server.every(Tick, [this] { tick(); });
    refreshStatus();
  }

private:
  void tick() {
    TimePoint now = monotonicNow();
    Runs.step(std::min(now - LastTick, MaxStep));
    LastTick = now;
  }

  void onFault() {
    if (!Server.isFaultOn("clear_cache"))
      return;
    Cache.clear(monotonicNow());
    Server.Faults["clear_cache"] = false;
  }

  void onRequest(const HttpRequest &request, const Exchange &exchange) {
    const std::string &path = request.Path;
    if (path == "/v1/completions" || path == "/v1/chat/completions")
      return complete(request, exchange);
    if (path == "/control/status")
      return respondJson(exchange, 200, PublishedStatus);
    if (path == "/control/cache_events")
      return respondEvents(request, exchange);
    if (path.starts_with("/control/pieces/"))
      return transferPiece(request, exchange);
    auto body = parseJsonBody(request, exchange);
    if (!body)
      return;
    std::string id = stringField(*body, "request_id");
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
      return stringField(body, "prompt");
    std::string out;
    for (const json::value &message : messages->get_array())
      if (message.is_object())
        out += stringField(message.get_object(), "role") + "\n" +
               stringField(message.get_object(), "content") + "\n";
    return out;
  }

  void complete(const HttpRequest &request, const Exchange &exchange) {
    if (Server.answersWithoutEnd(exchange))
      return;
    auto body = parseJsonBody(request, exchange);
    if (!body)
      return;
    std::string prompt = promptOf(*body);
    if (prompt.empty())
      return respondError(exchange, 400, "the prompt is missing");
    Run run;
    run.Id = run.ResponseId = stringField(*body, "request_id");
    run.Model = FLAGS_model;
    run.Version = Version;
    run.AnswerTag = hexDigest(sha256(prompt)).substr(0, AnswerTagDigits);
    run.Priority = numberField(*body, "priority");
    run.PromptTokens = static_cast<int64_t>(
        (prompt.size() + BytesPerToken - 1) / BytesPerToken);
    run.MaxTokens = numberField(*body, "max_tokens");
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
    if (!parseResumeText(run, stringField(*body, "resume_text")))
      return respondError(exchange, 400, "resume_text is of another answer");
    run.ClientExchange = exchange;
    exchange->onClosed([this, raw = exchange.get()] { Runs.abandon(raw); });
    Server.count("runs");
    Runs.add(std::move(run));
  }

  /// Sets ResumedTokens to the number of tokens in the text; false when the
  /// text is not a prefix of this run's answer.
  static bool parseResumeText(Run &run, const std::string &text) {
    std::string generated;
    while (generated.size() < text.size())
      generated += tokenText(run.AnswerTag, run.ResumedTokens++);
    return generated == text;
  }

  void respondEvents(const HttpRequest &request, const Exchange &exchange) {
    int64_t first = queryNumber(request, "from");
    respondJson(exchange, 200, Cache.events(first, monotonicNow()));
  }

  void transferPiece(const HttpRequest &request, const Exchange &exchange) {
    std::string key = pathSegments(request.Path).back();
    if (request.Method == "PUT") {
      if (Cache.capacity() == 0)
        return respondError(exchange, 507, "the cache can't take it");
      bool intact = request.Body == pieceBytes(key, Version, FLAGS_piece_bytes);
      Server.count(intact ? "imported" : "imported_wrong");
      Cache.store(key, intact, monotonicNow());
      return exchange->respond({204, {}, ""});
    }
    if (!Cache.has(key))
      return respondError(exchange, 404, "not cached");
    Server.count("exported");
    exchange->respond({200,
                       {{"Content-Type", "application/octet-stream"}},
                       pieceBytes(key, Version, FLAGS_piece_bytes)});
  }

  void order(const json::object &body, const Exchange &exchange) {
    int64_t fence = numberField(body, "fence");
    bool checks = FLAGS_check_fencing && !Server.isFaultOn("ignore_fencing");
    if (checks && fence < FencingToken) {
      Server.count("orders_refused");
      return respondJson(exchange, 409, json::object{{"fence", FencingToken}});
    }
    FencingToken = fence;
    Server.count("orders");
    std::string kind = stringField(body, "kind");
    if (kind == "load_weights")
      loadWeights(stringField(body, "version"), stringField(body, "weights"));
    else if (kind == "load_adapter")
      Adapter = stringField(body, "adapter");
    else if (kind == "set_role")
      Role = stringField(body, "role");
    else
      return respondError(exchange, 400, "unknown kind of order");
    respondJson(exchange, 202, json::object{{"fence", FencingToken}});
  }

  /// A later load supersedes one in progress. Runs in progress continue with
  /// the version that they started with.
  void loadWeights(const std::string &version,
                   const std::string &storeAddress) {
    int64_t loadId = ++LatestLoadId;
    LoadingVersion = version;
    auto done = [this, loadId, version](bool succeeded) {
      if (loadId != LatestLoadId)
        return;
      LoadingVersion.clear();
      Server.count(succeeded ? "loads" : "loads_failed");
      if (!succeeded || version == Version)
        return;
      Version = version;
      Cache.clear(monotonicNow());
    };
    auto store = parseEndpoint(storeAddress);
    if (!store)
      return Server.after(std::chrono::milliseconds(FLAGS_load_ms),
                          [done] { done(true); });
    HttpRequest request{
        "GET", "/weights/" + FLAGS_model + "/" + version, "", {}, ""};
    Server.Client.fetch(
        *store, request, Duration::zero(),
        [done](const Error &error, const HttpResponse &response) {
          done(!error && response.Status == 200);
        });
  }

  /// Tokens per second for the status; an unlimited rate is reported as a high
  /// number.
  static int64_t reportedRate(double rate) {
    constexpr int64_t UnlimitedRate = 10'000'000;
    return rate == 0 ? UnlimitedRate : static_cast<int64_t>(rate);
  }

  void fillStatus(json::object &out) const {
    out["model"] = FLAGS_model;
    out["version"] = Version;
    out["adapter"] = Adapter;
    out["loading"] = LoadingVersion;
    out["role"] = Role;
    out["fence"] = FencingToken;
    out["running"] = Runs.running();
    out["waiting"] = Runs.waiting();
    out["cached_pieces"] = Cache.size();
    out["cache_capacity"] = Cache.capacity();
    out["prefill_tokens_per_second"] = reportedRate(FLAGS_prefill_rate);
    out["decode_tokens_per_second"] = reportedRate(FLAGS_decode_rate);
    out["started"] = StartTime;
  }

  void refreshStatus() {
    fillStatus(PublishedStatus);
    Server.after(std::chrono::milliseconds(FLAGS_status_lag_ms),
                 [this] { refreshStatus(); });
  }

  StandinServer &Server;
  EngineCache Cache;
  EngineRuns Runs;
  TimePoint LastTick;
  int64_t StartTime;
  std::string Version = FLAGS_weights_version;
  std::string Adapter;
  std::string LoadingVersion; ///< Empty when no load is in progress.
  std::string Role = "serve";
  int64_t FencingToken = 0;
  int64_t LatestLoadId = 0;
  json::object PublishedStatus;
};

} // namespace

int runEngine(StandinServer &server) {
  Engine engine(server);
  return server.run();
}

} // namespace daisytack::standin
