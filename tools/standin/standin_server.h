/// What the stand-ins share: one HTTP address, fault switches, counters and
/// timers. A stand-in runs on one thread and needs no locks.
#pragma once

#include "net/http_client.h"
#include "net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace daisytack::standin {

namespace asio = boost::asio;
namespace json = boost::json;
using net::HttpRequest;
using net::HttpResponse;
using Exchange = std::shared_ptr<net::HttpExchange>;

struct StandinServerInit {
  Endpoint Listen;
  std::string Name;
  std::string File; ///< Initial content; empty for none.
  uint64_t Seed = 1;
};

class StandinServer {
public:
  explicit StandinServer(StandinServerInit init);
  ~StandinServer();

  // What a stand-in fills in before run().
  std::function<void(const HttpRequest &, const Exchange &)> OnRequest;
  std::function<void()> OnFault;
  std::function<void(json::object &)> OnStats;
  /// Switches in force, with their defaults.
  json::object Faults;

  /// Serves until SIGTERM or SIGINT; the exit code.
  int run();

  bool isFaultOn(std::string_view fault) const;
  int64_t faultNumber(std::string_view fault) const;
  /// True as long as a counted switch is above zero, which each call lowers by
  /// one; true always when it is the Boolean true.
  bool consumeFault(std::string_view fault);
  void count(std::string_view counter, int64_t n = 1);
  void after(Duration delay, std::function<void()> callback);
  void every(Duration period, std::function<void()> callback);

  asio::io_context Io;
  net::HttpClient Client;
  std::mt19937_64 Random;
  const StandinServerInit Init;

private:
  void onRequest(HttpRequest request, Exchange exchange);
  void onControl(const HttpRequest &request, const Exchange &exchange);
  void serve(const HttpRequest &request, const Exchange &exchange);

  json::object Counters;
};

void respondJson(const Exchange &exchange, unsigned status,
                 const json::value &value);
void respondError(const Exchange &exchange, unsigned status,
                  std::string_view text);
/// The body as a JSON object; answers 400 itself when it is none.
std::optional<json::object> parseJsonBody(const HttpRequest &request,
                                          const Exchange &exchange);
/// The parameter's value in the query; empty when absent.
std::string queryValue(const HttpRequest &request, std::string_view name);
/// The same as a number; 0 when absent.
int64_t queryNumber(const HttpRequest &request, std::string_view name);
/// A number that may be given as JSON number or string; 0 when absent.
int64_t numberField(const json::object &object, std::string_view key);
std::string stringField(const json::object &object, std::string_view key);
/// The path's parts between slashes.
std::vector<std::string> pathSegments(std::string_view path);
/// Reads a file of JSON; null and a message on standard error when it can't.
json::value readJsonFile(const std::string &path);

// The stand-ins; each takes the host, serves, and returns the exit code.
int runKv(StandinServer &server);
int runList(StandinServer &server);
int runEngine(StandinServer &server);
int runStore(StandinServer &server);
int runWeights(StandinServer &server);
int runService(StandinServer &server);

} // namespace daisytack::standin
