/// Fakes on loopback of what an entry calls: the key-value service and a
/// backend server, with the faults that tests need.
#pragma once

#include "gateway/test_ports.h"
#include "net_http/http_fixture.h"
#include "platform/json_text.h"

#include <boost/json.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace daisytack::test {

namespace json = boost::json;
using net::HttpExchange;
using net::HttpRequest;
using net::HttpResponse;
using ExchangePtr = std::shared_ptr<HttpExchange>;

/// A key-value service with revisions, watches, and leases that do not lapse by
/// themselves.
class FakeKvService {
  struct Item {
    std::string Value;
    uint64_t Revision = 0;
    uint64_t Created = 0;
    uint64_t Lease = 0;
    bool IsDeleted = false;
  };

public:
  /// What the service holds at one moment.
  struct Snapshot {
    std::map<std::string, Item> Items;
    std::set<uint64_t> Leases;
    uint64_t Revision = 0;
  };

  explicit FakeKvService(net::asio::io_context &io)
      : Server(io, net::HttpFixture::withLoopback({}),
               [this](const HttpRequest &request, const ExchangePtr &to) {
                 handle(request, to);
               }) {
    Error reason;
    EXPECT_TRUE(Server.start(reason)) << reason.Detail;
  }

  Endpoint address() const { return {"127.0.0.1", Server.port()}; }

  /// A further address of the service, whose calls can fail while those at the
  /// others succeed.
  class Path {
  public:
    Path(net::asio::io_context &io, FakeKvService &service)
        : Server(io, net::HttpFixture::withLoopback({}),
                 [this, &service](const HttpRequest &request,
                                  const ExchangePtr &to) {
                   if (unsigned status = RefusalStatus)
                     return to->respond({status, {}, {}});
                   service.handle(request, to);
                 }) {
      Error reason;
      EXPECT_TRUE(Server.start(reason)) << reason.Detail;
    }
    Endpoint address() const { return {"127.0.0.1", Server.port()}; }
    /// Status with which every call fails at once; 0: calls are passed on.
    std::atomic<unsigned> RefusalStatus{0};

  private:
    net::HttpServer Server;
  };

  void put(const std::string &key, const std::string &value,
           uint64_t lease = 0) {
    std::lock_guard guard(Lock);
    putLocked(key, value, lease);
    notifyWatchesLocked();
  }
  void remove(const std::string &key) {
    std::lock_guard guard(Lock);
    removeLocked(key);
    notifyWatchesLocked();
  }
  /// Answers all waiting watch calls without a change, as a service does from
  /// time to time; returns how many there were.
  size_t completeWatches() {
    std::lock_guard guard(Lock);
    for (const PendingWatch &wait : PendingWatches)
      respond(*wait.To,
              {{"events", json::array()}, {"store-revision", Revision}});
    return std::exchange(PendingWatches, {}).size();
  }
  /// Ends HoldsWatches.
  void releaseWatches() {
    std::lock_guard guard(Lock);
    HoldsWatches = false;
    notifyWatchesLocked();
  }
  Snapshot snapshot() {
    std::lock_guard guard(Lock);
    return {Items, Leases, Revision};
  }
  /// Restores the snapshot: later writes and leases are lost, and revisions are
  /// given out again.
  void restore(const Snapshot &from) {
    std::lock_guard guard(Lock);
    Items = from.Items;
    Leases = from.Leases;
    Revision = from.Revision;
    History.assign(Items.begin(), Items.end());
    ++Era;
    notifyWatchesLocked();
  }
  uint64_t revision() {
    std::lock_guard guard(Lock);
    return Revision;
  }
  /// Number of watches that ended because their history is lost.
  size_t lostWatches() {
    std::lock_guard guard(Lock);
    return LostWatches;
  }
  /// Whether every watch ends with the error that its history is lost.
  std::atomic<bool> HasNoHistory{false};
  /// Whether watches report each change, also of keys that changed again.
  std::atomic<bool> KeepsAllChanges{false};
  /// Whether the answers to all watches are withheld.
  std::atomic<bool> HoldsWatches{false};
  /// Status with which every call fails at once; 0: calls are answered.
  std::atomic<unsigned> RefusalStatus{0};
  bool has(const std::string &key) {
    std::lock_guard guard(Lock);
    auto it = Items.find(key);
    return it != Items.end() && !it->second.IsDeleted;
  }
  uint64_t revisionOf(const std::string &key) {
    std::lock_guard guard(Lock);
    auto it = Items.find(key);
    return it == Items.end() ? 0 : it->second.Revision;
  }

private:
  struct PendingWatch {
    uint64_t After = 0;
    ExchangePtr To;
  };

  void putLocked(const std::string &key, const std::string &value,
                 uint64_t lease) {
    Item &item = Items[key];
    ++Revision;
    if (item.Created == 0 || item.IsDeleted)
      item.Created = Revision;
    item = {value, Revision, item.Created, lease, false};
    History.emplace_back(key, item);
  }
  void removeLocked(const std::string &key) {
    auto it = Items.find(key);
    if (it == Items.end())
      return;
    it->second.IsDeleted = true;
    it->second.Revision = ++Revision;
    History.emplace_back(*it);
  }

  static json::object entryOf(const std::string &key, const Item &item) {
    if (item.IsDeleted)
      return {{"key", key}, {"revision", item.Revision}, {"tombstone", true}};
    return {{"key", key},
            {"value", platform::encodeBase64(item.Value)},
            {"revision", item.Revision},
            {"created", item.Created},
            {"lease", item.Lease}};
  }

  void respond(HttpExchange &to, const json::object &body) const {
    respond(to, 200, json::serialize(body));
  }
  void respond(HttpExchange &to, unsigned status, std::string body) const {
    to.respond({status, {{"Store-Era", std::to_string(Era)}}, std::move(body)});
  }

  void handle(const HttpRequest &request, const ExchangePtr &to) {
    if (unsigned status = RefusalStatus)
      return to->respond({status, {}, {}});
    std::lock_guard guard(Lock);
    if (request.Path == "/kv-range")
      return rangeLocked(*to);
    if (request.Path == "/kv-watch")
      return watchLocked(request, to);
    if (request.Path == "/kv-txn")
      return commitLocked(request, *to);
    if (request.Path == "/kv-lease") {
      Leases.insert(++LastLease);
      return respond(*to, {{"lease", LastLease}, {"ttl-ms", 60'000}});
    }
    uint64_t lease =
        std::stoull(request.Path.substr(request.Path.rfind('/') + 1));
    if (!Leases.contains(lease))
      return respond(*to, 404, {});
    if (request.Path.starts_with("/kv-lease-end/"))
      endLeaseLocked(lease);
    respond(*to, {{"ttl-ms", 60'000}});
  }

  void endLeaseLocked(uint64_t lease) {
    Leases.erase(lease);
    for (auto &[key, item] : Items)
      if (item.Lease == lease && !item.IsDeleted)
        removeLocked(key);
    notifyWatchesLocked();
  }

  void rangeLocked(HttpExchange &to) {
    json::array items;
    for (const auto &[key, item] : Items)
      if (!item.IsDeleted)
        items.push_back(entryOf(key, item));
    respond(to, {{"items", std::move(items)},
                 {"truncated", false},
                 {"store-revision", Revision}});
  }

  void watchLocked(const HttpRequest &request, const ExchangePtr &to) {
    size_t at = request.Query.find("after=") + 6;
    PendingWatches.push_back({std::stoull(request.Query.substr(at)), to});
    notifyWatchesLocked();
  }

  void notifyWatchesLocked() {
    if (HoldsWatches)
      return;
    std::erase_if(PendingWatches, [this](const PendingWatch &wait) {
      if (wait.After == Revision && !HasNoHistory)
        return false;
      if (wait.After > Revision || HasNoHistory) {
        ++LostWatches;
        respond(*wait.To, 410, {});
        return true;
      }
      json::array events;
      for (const auto &[key, item] : History)
        if (item.Revision > wait.After &&
            (KeepsAllChanges || Items[key].Revision == item.Revision))
          events.push_back(entryOf(key, item));
      respond(*wait.To,
              {{"events", std::move(events)}, {"store-revision", Revision}});
      return true;
    });
  }

  void commitLocked(const HttpRequest &request, HttpExchange &to) {
    json::object body = json::parse(request.Body).as_object();
    for (const json::value &row : body["expected"].as_array()) {
      std::string key(row.as_object().at("key").as_string());
      auto it = Items.find(key);
      bool exists = it != Items.end() && !it->second.IsDeleted;
      uint64_t revision = exists ? it->second.Revision : 0;
      if (revision != row.as_object().at("revision").to_number<uint64_t>())
        return respond(to, 412, R"({"items":[]})");
    }
    for (const json::value &row : body["writes"].as_array()) {
      auto lease = row.as_object().at("lease").to_number<uint64_t>();
      if (lease != 0 && !Leases.contains(lease))
        return respond(to, 404, {});
    }
    for (const json::value &row : body["writes"].as_array()) {
      const json::object &write = row.as_object();
      putLocked(std::string(write.at("key").as_string()),
                *platform::decodeBase64(write.at("value").as_string()),
                write.at("lease").to_number<uint64_t>());
    }
    if (const json::value *keys = body.if_contains("remove"))
      for (const json::value &key : keys->as_array())
        removeLocked(std::string(key.as_string()));
    respond(to, {{"revision", Revision}});
    notifyWatchesLocked();
  }

  std::mutex Lock;
  std::map<std::string, Item> Items;
  std::vector<std::pair<std::string, Item>> History; ///< All changes.
  std::vector<PendingWatch> PendingWatches;
  uint64_t Revision = 1;
  uint64_t Era = 1;
  /// Leases that have not ended.
  std::set<uint64_t> Leases;
  uint64_t LastLease = 100;
  size_t LostWatches = 0;
  net::HttpServer Server;
};

/// A backend server that answers with a function and records its requests.
class FakeServer {
public:
  using Answer = std::function<void(const HttpRequest &, const ExchangePtr &)>;

  FakeServer(net::asio::io_context &io, Answer answer)
      : Reply(std::move(answer)),
        Server(io, net::HttpFixture::withLoopback({}),
               [this](const HttpRequest &request, const ExchangePtr &to) {
                 {
                   std::lock_guard guard(Lock);
                   Requests.push_back(request);
                 }
                 Reply(request, to);
               }) {
    Error reason;
    EXPECT_TRUE(Server.start(reason)) << reason.Detail;
  }

  Endpoint address() const { return {"127.0.0.1", Server.port()}; }
  std::vector<HttpRequest> requests() {
    std::lock_guard guard(Lock);
    return Requests;
  }
  size_t openConnections() const { return Server.openConnections(); }

private:
  Answer Reply;
  std::mutex Lock;
  std::vector<HttpRequest> Requests;
  net::HttpServer Server;
};

/// Echoes the request's id and adds a server signature.
inline HttpResponse signedAnswer(const HttpRequest &request,
                                 std::string body = "answer") {
  return {200,
          {{"X-Daisytack-Request-Id",
            std::string(request.header("X-Daisytack-Request-Id"))},
           {"X-Daisytack-Server-Signature", "sig"}},
          std::move(body)};
}

} // namespace daisytack::test
