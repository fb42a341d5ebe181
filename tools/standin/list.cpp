/// Stand-in for the platform's instance list; changes appear in it after a lag.
#include "standin_server.h"

#include "base/clock.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

#include <deque>
#include <map>

namespace daisytack::standin {

namespace {

class InstanceList {
public:
  explicit InstanceList(StandinServer &server) : Server(server) {
    Server.Faults["lag_ms"] = 0;
    Server.OnRequest = [this](const auto &request, const auto &exchange) {
      onRequest(request, exchange);
    };
    Server.OnStats = [this](json::object &out) { out["version"] = Version; };
    if (!Server.Init.File.empty())
      queueChanges(readJsonFile(Server.Init.File));
    publishDueChanges();
  }

private:
  struct Change {
    TimePoint ReceivedAt;
    json::object Instance;
  };

  void onRequest(const HttpRequest &request, const Exchange &exchange) {
    if (request.Path == "/instances" && request.Method == "GET")
      return respondJson(exchange, 200, read(request));
    if (request.Path != "/standin/instances" || request.Method != "POST")
      return respondError(exchange, 404, "no such path");
    boost::system::error_code ec;
    json::value instances = json::parse(request.Body, ec);
    if (ec || !queueChanges(instances))
      return respondError(exchange, 400, "give an array of named instances");
    respondJson(exchange, 200, json::object{{"changes", Pending.size()}});
  }

  /// Queues the new state of some instances; false when it is not an array of
  /// objects with names.
  bool queueChanges(const json::value &instances) {
    if (!instances.is_array())
      return false;
    for (const json::value &value : instances.get_array())
      if (!value.is_object() || stringField(value.get_object(), "name").empty())
        return false;
    for (const json::value &value : instances.get_array())
      Pending.push_back({monotonicNow(), value.get_object()});
    return true;
  }

  /// Publishes queued changes that are older than the lag.
  void publishDueChanges() {
    Duration lag = std::chrono::milliseconds(Server.faultNumber("lag_ms"));
    while (!Pending.empty() &&
           Pending.front().ReceivedAt + lag <= monotonicNow()) {
      json::object instance = std::move(Pending.front().Instance);
      Pending.pop_front();
      instance["changed"] = ++Version;
      Published[stringField(instance, "name")] = instance;
    }
  }

  json::object read(const HttpRequest &request) {
    publishDueChanges();
    int64_t since = queryNumber(request, "since");
    json::array instances;
    for (const auto &[name, instance] : Published)
      if (numberField(instance, "changed") > since)
        instances.push_back(instance);
    Server.count(since > 0 ? "polls" : "full_reads");
    return {{"version", Version}, {"instances", instances}};
  }

  StandinServer &Server;
  int64_t Version = 0;
  std::deque<Change> Pending;
  std::map<std::string, json::object> Published;
};

} // namespace

int runList(StandinServer &server) {
  InstanceList list(server);
  return server.run();
}

} // namespace daisytack::standin
