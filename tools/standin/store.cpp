/// Stand-in of a store of kept context: memory over disk, limited capacity and
/// a limited link; pieces have generations and show only once committed.
#include "host.h"

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
  explicit Store(Host &host) : Shared(host) {
    for (const char *flag : {"torn", "full", "free_while_reading"})
      Shared.Faults[flag] = false;
    Shared.Faults["link_bytes_per_second"] = FLAGS_link_rate;
    Shared.OnRequest = [this](const auto &request, const auto &exchange) {
      onRequest(request, exchange);
    };
    Shared.OnStats = [this](json::object &out) { describe(out); };
  }

private:
  struct Piece {
    int64_t Generation = 0;
    std::string Bytes;
    std::string Checksum;
    std::string Meta;
  };

  void onRequest(const HttpRequest &request, const Exchange &exchange) {
    auto parts = partsOf(request.Path);
    if (request.Path == "/lookup")
      return lookup(request, exchange);
    if (request.Path == "/sample")
      return sample(request, exchange);
    if (request.Path == "/usage")
      return usage(request, exchange);
    if (request.Path == "/status") {
      json::object out;
      describe(out);
      return respondJson(exchange, 200, out);
    }
    if (parts.size() < 2 || parts[0] != "pieces")
      return respondError(exchange, 404, "no such path");
    if (parts.size() == 2 && request.Method == "GET")
      return read(parts[1], exchange);
    if (parts.size() == 2 && request.Method == "POST")
      return create(parts[1], exchange);
    if (parts.size() == 3 && parts[2] == "generation")
      return respondJson(exchange, 200,
                         json::object{{"generation", generation(parts[1])}});
    if (parts.size() < 3)
      return respondError(exchange, 405, "no such method");
    int64_t number = numberIn(json::object{{"n", parts[2]}}, "n");
    if (request.Method == "PUT")
      return fill(parts[1], number, request, exchange);
    if (request.Method == "DELETE")
      return erase(parts[1], number, exchange);
    if (parts.size() == 4 && parts[3] == "commit")
      return commit(parts[1], number, request, exchange);
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
    auto body = bodyOf(request, exchange);
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
    if (Shared.isOn("torn"))
      out.Body.resize(out.Body.size() / 2);
    Duration wait = linkTime(out.Body.size());
    if (!inMemory(key))
      wait += std::chrono::milliseconds(FLAGS_disk_ms);
    Recent.remove(key);
    Recent.push_front(key);
    Shared.count("reads");
    if (Shared.isOn("free_while_reading"))
      free(key);
    Shared.after(wait, [exchange, out] { exchange->respond(out); });
  }

  /// Bytes go over the link one after another.
  Duration linkTime(size_t bytes) {
    int64_t rate = std::max<int64_t>(1, Shared.number("link_bytes_per_second"));
    TimePoint now = monotonicNow();
    LinkFree = std::max(LinkFree, now) +
               Duration(static_cast<int64_t>(bytes) * 1'000'000 / rate);
    Shared.count("link_bytes", static_cast<int64_t>(bytes));
    return LinkFree - now;
  }

  void create(const std::string &key, const Exchange &exchange) {
    int64_t next = ++LastGeneration;
    Uncommitted[{key, next}] = {};
    respondJson(exchange, 200, json::object{{"generation", next}});
  }

  void fill(const std::string &key, int64_t number, const HttpRequest &request,
            const Exchange &exchange) {
    auto it = Uncommitted.find({key, number});
    if (it == Uncommitted.end())
      return respondError(exchange, 404, "no such generation");
    uint64_t total = FLAGS_memory_bytes + FLAGS_disk_bytes;
    if (Shared.isOn("full") || Used + request.Body.size() > total)
      return respondError(exchange, 507, "full");
    Used += request.Body.size() - it->second.size();
    it->second = request.Body;
    Shared.after(linkTime(request.Body.size()), [exchange] {
      exchange->respond({204, {}, ""});
    });
  }

  void commit(const std::string &key, int64_t number,
              const HttpRequest &request, const Exchange &exchange) {
    auto body = bodyOf(request, exchange);
    if (!body)
      return;
    auto it = Uncommitted.find({key, number});
    if (it == Uncommitted.end())
      return respondError(exchange, 404, "no such generation");
    std::string checksum = textIn(*body, "checksum");
    bool whole =
        numberIn(*body, "length") == static_cast<int64_t>(it->second.size()) &&
        checksum == hexDigest(sha256(it->second));
    if (!whole)
      return respondError(exchange, 409, "length or checksum differ");
    std::string bytes = std::move(it->second);
    Uncommitted.erase(it);
    free(key);
    Pieces[key] = {number, std::move(bytes), checksum, textIn(*body, "meta")};
    Recent.push_front(key);
    Shared.count("commits");
    respondJson(exchange, 200, json::object{{"generation", number}});
  }

  void free(const std::string &key) {
    auto it = Pieces.find(key);
    if (it == Pieces.end())
      return;
    Used -= it->second.Bytes.size();
    Pieces.erase(it);
    Recent.remove(key);
  }

  void erase(const std::string &key, int64_t number, const Exchange &exchange) {
    auto it = Uncommitted.find({key, number});
    if (it != Uncommitted.end()) {
      Used -= it->second.size();
      Uncommitted.erase(it);
    } else if (generation(key) == number && number != 0) {
      free(key);
      Shared.count("freed");
    } else {
      return respondError(exchange, 404, "no such generation");
    }
    exchange->respond({204, {}, ""});
  }

  void sample(const HttpRequest &request, const Exchange &exchange) {
    int64_t wanted = queryNumber(request, "count");
    json::array pieces;
    for (int64_t i = 0; i < wanted && !Pieces.empty(); ++i) {
      auto it = Pieces.begin();
      std::advance(it, Shared.Random() % Pieces.size());
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

  void describe(json::object &out) const {
    uint64_t memory = std::min<uint64_t>(Used, FLAGS_memory_bytes);
    out["memory_used"] = memory;
    out["memory_total"] = FLAGS_memory_bytes;
    out["disk_used"] = Used - memory;
    out["disk_total"] = FLAGS_disk_bytes;
    out["link_bytes_per_second"] = Shared.number("link_bytes_per_second");
  }

  Host &Shared;
  std::map<std::string, Piece> Pieces;
  std::map<std::pair<std::string, int64_t>, std::string> Uncommitted;
  std::list<std::string> Recent; ///< Most recently used first.
  uint64_t Used = 0;
  int64_t LastGeneration = 0;
  TimePoint LinkFree;
};

} // namespace

int runStore(Host &host) {
  Store store(host);
  return host.run();
}

} // namespace daisytack::standin
