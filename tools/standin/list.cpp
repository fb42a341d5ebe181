/// Stand-in of the platform's instance list, which lags behind the truth.
#include "host.h"

#include "base/clock.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

#include <deque>
#include <map>

namespace daisytack::standin {

namespace {

class InstanceList {
public:
  explicit InstanceList(Host &host) : Shared(host) {
    Shared.Faults["lag_ms"] = 0;
    Shared.OnRequest = [this](const auto &request, const auto &exchange) {
      onRequest(request, exchange);
    };
    Shared.OnStats = [this](json::object &out) { out["version"] = Version; };
    if (!Shared.Init.File.empty())
      change(readJsonFile(Shared.Init.File));
    show();
  }

private:
  struct Change {
    TimePoint At;
    json::object Instance;
  };

  void onRequest(const HttpRequest &request, const Exchange &exchange) {
    if (request.Path == "/instances" && request.Method == "GET")
      return respondJson(exchange, 200, read(request));
    if (request.Path != "/standin/instances" || request.Method != "POST")
      return respondError(exchange, 404, "no such path");
    boost::system::error_code ec;
    json::value instances = json::parse(request.Body, ec);
    if (ec || !change(instances))
      return respondError(exchange, 400, "give an array of named instances");
    respondJson(exchange, 200, json::object{{"changes", Hidden.size()}});
  }

  /// Takes the new state of some instances, which shows after the lag.
  bool change(const json::value &instances) {
    if (!instances.is_array())
      return false;
    for (const json::value &value : instances.get_array())
      if (!value.is_object() || textIn(value.get_object(), "name").empty())
        return false;
    for (const json::value &value : instances.get_array())
      Hidden.push_back({monotonicNow(), value.get_object()});
    return true;
  }

  /// Moves what is older than the lag into view.
  void show() {
    Duration lag = std::chrono::milliseconds(Shared.number("lag_ms"));
    while (!Hidden.empty() && Hidden.front().At + lag <= monotonicNow()) {
      json::object instance = std::move(Hidden.front().Instance);
      Hidden.pop_front();
      instance["changed"] = ++Version;
      Visible[textIn(instance, "name")] = instance;
    }
  }

  json::object read(const HttpRequest &request) {
    show();
    int64_t from = queryNumber(request, "since");
    json::array instances;
    for (const auto &[name, instance] : Visible)
      if (numberIn(instance, "changed") > from)
        instances.push_back(instance);
    Shared.count(from > 0 ? "polls" : "full_reads");
    return {{"version", Version}, {"instances", instances}};
  }

  Host &Shared;
  int64_t Version = 0;
  std::deque<Change> Hidden;
  std::map<std::string, json::object> Visible;
};

} // namespace

int runList(Host &host) {
  InstanceList list(host);
  return host.run();
}

} // namespace daisytack::standin
