/// Stand-in of a plain service: echoes each call and counts its runs by key.
#include "host.h"

#include <gflags/gflags.h>

DEFINE_uint64(work_ms, 0, "time that a call takes");

namespace daisytack::standin {

namespace {

class PlainServiceStandin {
public:
  explicit PlainServiceStandin(Host &host) : Shared(host) {
    Shared.Faults["lose_answers"] = 0;
    Shared.Faults["work_ms"] = FLAGS_work_ms;
    Shared.OnRequest = [this](const auto &request, const auto &exchange) {
      onRequest(request, exchange);
    };
    Shared.OnStats = [this](json::object &out) { out["runs_by_key"] = Runs; };
  }

private:
  /// The call's key, or its body when it has none.
  static std::string keyOf(const HttpRequest &request) {
    std::string_view key = request.header("Idempotency-Key");
    return key.empty() ? request.Body : std::string(key);
  }

  void onRequest(const HttpRequest &request, const Exchange &exchange) {
    std::string key = keyOf(request);
    int64_t run = numberIn(Runs, key) + 1;
    Runs[key] = run;
    Shared.count("runs");
    json::object answer{{"service", Shared.Init.Name},
                        {"method", request.Method},
                        {"path", request.Path},
                        {"query", request.Query},
                        {"key", key},
                        {"run", run},
                        {"body", request.Body}};
    Duration work = std::chrono::milliseconds(Shared.number("work_ms"));
    Shared.after(work, [this, exchange, answer] {
      if (Shared.takeOne("lose_answers"))
        return exchange->abort();
      respondJson(exchange, 200, answer);
    });
  }

  Host &Shared;
  json::object Runs;
};

} // namespace

int runService(Host &host) {
  PlainServiceStandin service(host);
  return host.run();
}

} // namespace daisytack::standin
