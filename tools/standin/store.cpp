/// Stand-in for a context store: a memory and a disk tier of limited capacity
/// behind a link of limited bandwidth. Pieces have generations and become
/// visible when they are committed.
#include "standin_server.h"

#include "base/clock.h"
#include "base/digest.h"

#include <boost/json/array.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <list>
#include <map>

DEFINE_uint64(memory_bytes, 16U << 20, "capacity of the memory tier");
DEFINE_uint64(disk_bytes, 64U << 20, "capacity of the disk tier");
DEFINE_uint64(link_rate, 100U << 20, "bytes a second over the link");
DEFINE_uint64(disk_ms, 5, "added time of a read from disk");

namespace daisytack::standin {

namespace {

class Store {
public:
  explicit Store(StandinServer &server) : Server(server) {
    for (const char *flag : {"torn", "full", "free_while_reading"})
      Server.Faults[flag] = false;
    Server.Faults["link_bytes_per_second"] = FLAGS_link_rate;
    Server.OnRequest = [this](const auto &request, const auto &exchange) {
      onRequest(request, exchange);
    };
    Server.OnStats = [this](json::object &out) { fillStatus(out); };
  }

private:
  struct Piece {
    int64_t Generation = 0;
    std::string Bytes;
    std::string Checksum;
    std::string Meta;
  };

  void onRequest(const HttpRequest &request, const Exchange &exchange) {
    auto segments = pathSegments(request.Path);
    if (request.Path == "/lookup")
      return lookup(request, exchange);
    if (request.Path == "/sample")
      return sample(request, exchange);
    if (request.Path == "/usage")
      return usage(request, exchange);
    if (request.Path == "/status") {
      json::object out;
      fillStatus(out);
      return respondJson(exchange, 200, out);
    }
    if (segments.size() < 2 || segments[0] != "pieces")
      return respondError(exchange, 404, "no such path");
    if (segments.size() == 2 && request.Method == "GET")
      return read(segments[1], exchange);
    if (segments.size() == 2 && request.Method == "POST")
      return create(segments[1], exchange);
    if (segments.size() == 3 && segments[2] == "generation")
      return respondJson(exchange, 200,
                         json::object{{"generation", generation(segments[1])}});
    if (segments.size() < 3)
      return respondError(exchange, 405, "no such method");
    int64_t generationNumber =
        numberField(json::object{{"n", segments[2]}}, "n");
    if (request.Method == "PUT")
      return upload(segments[1], generationNumber, request, exchange);
    if (request.Method == "DELETE")
      return erase(segments[1], generationNumber, exchange);
    if (segments.size() == 4 && segments[3] == "commit")
      return commit(segments[1], generationNumber, request, exchange);
    respondError(exchange, 404, "no such path");
  }

  int64_t generation(const std::string &key) const {
    auto it = Pieces.find(key);
    return it == Pieces.end() ? 0 : it->second.Generation;
  }

  bool inMemory(const std::string &key) const {
    uint64_t used = 0;
    for (const std::string &recent : Recent) {
      used += Pieces.at(recent).Bytes.size();
      if (recent == key)
        return used <= FLAGS_memory_bytes;
    }
    return false;
  }

  void lookup(const HttpRequest &request, const Exchange &exchange) {
    auto body = parseJsonBody(request, exchange);
    if (!body)
      return;
    json::array found;
    const json::value *keys = body->if_contains("keys");
    if (keys && keys->is_array())
      for (const json::value &value : keys->get_array()) {
        std::string key(value.is_string() ? value.get_string() : "");
        auto it = Pieces.find(key);
        if (it != Pieces.end())
          found.push_back(
              json::object{{"key", key},
                           {"generation", it->second.Generation},
                           {"length", it->second.Bytes.size()},
                           {"tier", inMemory(key) ? "memory" : "disk"}});
      }
    respondJson(exchange, 200, json::object{{"found", found}});
  }

  void read(const std::string &key, const Exchange &exchange) {
    auto it = Pieces.find(key);
    if (it == Pieces.end())
      return respondError(exchange, 404, "not kept");
    const Piece &piece = it->second;
    HttpResponse out{200,
                     {{"X-Generation", std::to_string(piece.Generation)},
                      {"X-Length", std::to_string(piece.Bytes.size())},
                      {"X-Checksum", piece.Checksum},
                      {"X-Meta", piece.Meta}},
                     piece.Bytes};
    if (Server.isFaultOn("torn"))
      out.Body.resize(out.Body.size() / 2);
    Duration delay = reserveLink(out.Body.size());
    if (!inMemory(key))
      delay += std::chrono::milliseconds(FLAGS_disk_ms);
    Recent.remove(key);
    Recent.push_front(key);
    Server.count("reads");
    if (Server.isFaultOn("free_while_reading"))
      removePiece(key);
    Server.after(delay, [exchange, out] { exchange->respond(out); });
  }

  /// Queues a transfer on the link, which carries one at a time; returns the
  /// time until it is complete.
  Duration reserveLink(size_t bytes) {
    int64_t rate =
        std::max<int64_t>(1, Server.faultNumber("link_bytes_per_second"));
    TimePoint now = monotonicNow();
    LinkFreeAt = std::max(LinkFreeAt, now) +
                 Duration(static_cast<int64_t>(bytes) * 1'000'000 / rate);
    Server.count("link_bytes", static_cast<int64_t>(bytes));
    return LinkFreeAt - now;
  }

  void create(const std::string &key, const Exchange &exchange) {
    int64_t next = ++LastGeneration;
    Uncommitted[{key, next}] = {};
    respondJson(exchange, 200, json::object{{"generation", next}});
  }

  void upload(const std::string &key, int64_t generationNumber,
              const HttpRequest &request, const Exchange &exchange) {
    auto it = Uncommitted.find({key, generationNumber});
    if (it == Uncommitted.end())
      return respondError(exchange, 404, "no such generation");
    uint64_t total = FLAGS_memory_bytes + FLAGS_disk_bytes;
    // The upload replaces the bytes of an earlier one.
    uint64_t used = Used - it->second.size() + request.Body.size();
    if (Server.isFaultOn("full") || used > total)
      return respondError(exchange, 507, "full");
    Used = used;
    it->second = request.Body;
    Server.after(reserveLink(request.Body.size()), [exchange] {
      exchange->respond({204, {}, ""});
    });
  }

  void commit(const std::string &key, int64_t generationNumber,
              const HttpRequest &request, const Exchange &exchange) {
    auto body = parseJsonBody(request, exchange);
    if (!body)
      return;
    auto it = Uncommitted.find({key, generationNumber});
    if (it == Uncommitted.end())
      return respondError(exchange, 404, "no such generation");
    std::string checksum = stringField(*body, "checksum");
    bool isComplete = numberField(*body, "length") ==
                          static_cast<int64_t>(it->second.size()) &&
                      checksum == hexDigest(sha256(it->second));
    if (!isComplete)
      return respondError(exchange, 409, "length or checksum differ");
    std::string bytes = std::move(it->second);
    Uncommitted.erase(it);
    removePiece(key);
    Pieces[key] = {generationNumber, std::move(bytes), checksum,
                   stringField(*body, "meta")};
    Recent.push_front(key);
    Server.count("commits");
    respondJson(exchange, 200, json::object{{"generation", generationNumber}});
  }

  void removePiece(const std::string &key) {
    auto it = Pieces.find(key);
    if (it == Pieces.end())
      return;
    Used -= it->second.Bytes.size();
    Pieces.erase(it);
    Recent.remove(key);
  }

  void erase(const std::string &key, int64_t generationNumber,
             const Exchange &exchange) {
    auto it = Uncommitted.find({key, generationNumber});
    if (it != Uncommitted.end()) {
      Used -= it->second.size();
      Uncommitted.erase(it);
    } else if (generation(key) == generationNumber && generationNumber != 0) {
      removePiece(key);
      Server.count("freed");
    } else {
      return respondError(exchange, 404, "no such generation");
    }
    exchange->respond({204, {}, ""});
  }

  void sample(const HttpRequest &request, const Exchange &exchange) {
    int64_t count = queryNumber(request, "count");
    json::array pieces;
    for (int64_t i = 0; i < count && !Pieces.empty(); ++i) {
      auto it = Pieces.begin();
      std::advance(it, Server.Random() % Pieces.size());
      pieces.push_back(json::object{{"key", it->first},
                                    {"generation", it->second.Generation},
                                    {"length", it->second.Bytes.size()},
                                    {"meta", it->second.Meta}});
    }
    respondJson(exchange, 200, json::object{{"pieces", pieces}});
  }

  void usage(const HttpRequest &request, const Exchange &exchange) {
    std::string prefix = queryValue(request, "meta_prefix");
    uint64_t bytes = 0;
    uint64_t pieces = 0;
    for (const auto &[key, piece] : Pieces)
      if (piece.Meta.starts_with(prefix)) {
        bytes += piece.Bytes.size();
        ++pieces;
      }
    respondJson(exchange, 200,
                json::object{{"bytes", bytes}, {"pieces", pieces}});
  }

  void fillStatus(json::object &out) const {
    uint64_t memory = std::min<uint64_t>(Used, FLAGS_memory_bytes);
    out["memory_used"] = memory;
    out["memory_total"] = FLAGS_memory_bytes;
    out["disk_used"] = Used - memory;
    out["disk_total"] = FLAGS_disk_bytes;
    out["link_bytes_per_second"] = Server.faultNumber("link_bytes_per_second");
  }

  StandinServer &Server;
  std::map<std::string, Piece> Pieces;
  std::map<std::pair<std::string, int64_t>, std::string> Uncommitted;
  std::list<std::string> Recent; ///< Most recently used first.
  uint64_t Used = 0;
  int64_t LastGeneration = 0;
  TimePoint LinkFreeAt;
};

} // namespace

int runStore(StandinServer &server) {
  Store store(server);
  return server.run();
}

} // namespace daisytack::standin
