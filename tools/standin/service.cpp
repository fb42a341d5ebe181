/// Stand-in for a plain service: echoes each call and counts the runs per
/// idempotency key.
#include "standin_server.h"

#include <gflags/gflags.h>

DEFINE_uint64(work_ms, 0, "time that a call takes");

namespace daisytack::standin {

namespace {

class PlainServiceStandin {
public:
  explicit PlainServiceStandin(StandinServer &server) : Server(server) {
    Server.Faults["lose_answers"] = 0;
    Server.Faults["endless_body"] = 0;
    Server.Faults["work_ms"] = FLAGS_work_ms;
    Server.OnRequest = [this](const auto &request, const auto &exchange) {
      onRequest(request, exchange);
    };
    Server.OnStats = [this](json::object &out) {
      out["runs_by_key"] = RunCounts;
    };
  }

private:
  /// The Idempotency-Key header, or the body when there is none.
  static std::string idempotencyKey(const HttpRequest &request) {
    std::string_view key = request.header("Idempotency-Key");
    return key.empty() ? request.Body : std::string(key);
  }

  void onRequest(const HttpRequest &request, const Exchange &exchange) {
    if (Server.answersWithoutEnd(exchange))
      return;
    std::string key = idempotencyKey(request);
    int64_t run = numberField(RunCounts, key) + 1;
    RunCounts[key] = run;
    Server.count("runs");
    json::object answer{{"service", Server.Init.Name},
                        {"method", request.Method},
                        {"path", request.Path},
                        {"query", request.Query},
                        {"key", key},
                        {"run", run},
                        {"body", request.Body}};
    Duration work = std::chrono::milliseconds(Server.faultNumber("work_ms"));
    Server.after(work, [this, exchange, answer] {
      if (Server.consumeFault("lose_answers"))
        return exchange->abort();
      respondJson(exchange, 200, answer);
    });
  }

  StandinServer &Server;
  json::object RunCounts; ///< By idempotency key.
};

} // namespace

int runService(StandinServer &server) {
  PlainServiceStandin service(server);
  return server.run();
}

} // namespace daisytack::standin
