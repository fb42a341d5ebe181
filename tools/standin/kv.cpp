/// Stand-in for the key-value service: the part of etcd v3's JSON interface
/// that daisytack uses. Counts calls; can drop the response after applying a
/// write.
#include "kv_data.h"

#include "base/clock.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iostream>
#include <list>

namespace daisytack::standin {

namespace {

constexpr Duration LeaseTick{50'000};
constexpr Duration ProgressPeriod{1'000'000};

class KeyValueService {
public:
  explicit KeyValueService(StandinServer &server) : Server(server) {
    Server.Faults["lose_answers"] = 0;
    Server.Faults["drop_watch"] = false;
    Server.Faults["compact"] = false;
    Server.OnRequest = [this](const auto &request, const auto &exchange) {
      onRequest(request, exchange);
    };
    Server.OnFault = [this] { onFault(); };
    Server.OnStats = [this](json::object &out) {
      out["revision"] = Data.revision();
      out["keys"] = Data.size();
      out["watches"] = Watches.size();
      out["leases"] = Data.leaseCount();
    };
    Server.every(LeaseTick, [this] {
      Data.expireLeases(monotonicNow());
      pushEvents();
    });
    Server.every(ProgressPeriod, [this] { sendProgress(); });
  }

  bool load(const std::string &path) {
    json::value content = readJsonFile(path);
    if (!content.is_object())
      return false;
    for (const auto &[key, value] : content.get_object())
      Data.put(std::string(key), json::serialize(value), 0);
    return true;
  }

private:
  struct Watch {
    KeyRange Range;
    int64_t NextRevision = 1; ///< First revision not yet sent.
    bool ProgressNotify = false;
    Exchange ClientExchange;
  };

  void onRequest(const HttpRequest &request, const Exchange &exchange) {
    auto body = parseJsonBody(request, exchange);
    if (!body)
      return;
    Server.count("calls " + request.Path);
    if (request.Path == "/v3/watch")
      return startWatch(*body, exchange);
    if (request.Path == "/v3/kv/range")
      return respondJson(exchange, 200, Data.range(*body));
    std::optional<json::object> answer = write(request.Path, *body);
    if (!answer)
      return respondError(exchange, 404, "no such path");
    pushEvents();
    if (Server.consumeFault("lose_answers"))
      return exchange->abort();
    if (answer->contains("error"))
      return respondJson(exchange, 400, *answer);
    respondJson(exchange, 200, *answer);
  }

  std::optional<json::object> write(const std::string &path,
                                    const json::object &body) {
    if (path == "/v3/kv/put")
      return Data.put(body);
    if (path == "/v3/kv/txn")
      return Data.transact(body);
    if (path == "/v3/kv/deleterange")
      return Data.erase(body);
    if (path == "/v3/lease/grant")
      return Data.grant(body, monotonicNow());
    if (path == "/v3/lease/keepalive")
      return Data.keepAlive(body, monotonicNow());
    if (path == "/v3/lease/revoke" || path == "/v3/kv/lease/revoke")
      return Data.revoke(body);
    return std::nullopt;
  }

  void startWatch(const json::object &body, const Exchange &exchange) {
    const json::value *create = body.if_contains("create_request");
    if (!create || !create->is_object())
      return respondError(exchange, 400, "create_request is missing");
    if (Server.isFaultOn("drop_watch"))
      return exchange->abort();
    const json::object &request = create->get_object();
    exchange->beginStream(200, {{"Content-Type", "application/json"}});
    send(exchange, {{"header", Data.header()}, {"created", true}});
    int64_t from = numberField(request, "start_revision");
    if (from == 0)
      from = Data.revision() + 1;
    if (from <= Data.compacted()) {
      send(exchange, {{"header", Data.header()},
                      {"canceled", true},
                      {"compact_revision", std::to_string(Data.compacted())}});
      return exchange->endStream();
    }
    const json::value *progress = request.if_contains("progress_notify");
    bool progressNotify =
        progress && progress->is_bool() && progress->get_bool();
    Watches.push_back({rangeOf(request), from, progressNotify, exchange});
    exchange->onClosed([this, raw = exchange.get()] {
      Watches.remove_if(
          [raw](const Watch &w) { return w.ClientExchange.get() == raw; });
    });
    pushEvents();
  }

  static void send(const Exchange &exchange, const json::object &result) {
    exchange->write(json::serialize(json::object{{"result", result}}) + "\n");
  }

  void pushEvents() {
    for (Watch &watch : Watches) {
      json::array events = Data.eventsSince(watch.NextRevision, watch.Range);
      watch.NextRevision = std::max(watch.NextRevision, Data.revision() + 1);
      if (!events.empty())
        send(watch.ClientExchange,
             {{"header", Data.header()}, {"events", events}});
    }
  }

  void sendProgress() {
    for (Watch &watch : Watches)
      if (watch.ProgressNotify)
        send(watch.ClientExchange, {{"header", Data.header()}});
  }

  void onFault() {
    if (Server.isFaultOn("compact")) {
      Data.compact();
      Server.Faults["compact"] = false;
    }
    if (!Server.isFaultOn("drop_watch") && !Server.isFaultOn("down"))
      return;
    for (Watch &watch : Watches)
      watch.ClientExchange->abort();
    Watches.clear();
  }

  StandinServer &Server;
  KeyValueData Data;
  std::list<Watch> Watches;
};

} // namespace

int runKv(StandinServer &server) {
  KeyValueService service(server);
  if (!server.Init.File.empty() && !service.load(server.Init.File))
    return 1;
  return server.run();
}

} // namespace daisytack::standin
