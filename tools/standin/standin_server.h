/// Common part of the stand-ins: HTTP server, fault switches, counters and
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
  std::string File; ///< JSON file with the initial content; empty: none.
  uint64_t Seed = 1;
};

class StandinServer {
public:
  explicit StandinServer(StandinServerInit init);
  ~StandinServer();

  // Set by the stand-in before run().
  std::function<void(const HttpRequest &, const Exchange &)> OnRequest;
  /// Called after fault switches were set; optional.
  std::function<void()> OnFault;
  /// Adds the stand-in's own values to /standin/stats; optional.
  std::function<void(json::object &)> OnStats;
  /// Current value of each fault switch; a stand-in adds its own with their
  /// defaults.
  json::object Faults;

  /// Serves until SIGTERM or SIGINT; returns the exit code.
  int run();

  /// True when the switch is the Boolean true.
  bool isFaultOn(std::string_view fault) const;
  /// Value of a numeric switch; 0 when it is unknown or not a number.
  int64_t faultNumber(std::string_view fault) const;
  /// Decrements a numeric switch and returns true while it is above zero;
  /// always true when the switch is the Boolean true.
  bool consumeFault(std::string_view fault);
  /// While the switch endless_body is above zero: begins an answer that goes on
  /// with that many bytes every 10 ms until the client closes the connection,
  /// and returns true.
  bool answersWithoutEnd(const Exchange &exchange);
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
  void writeWithoutEnd(const Exchange &exchange, size_t n,
                       std::shared_ptr<bool> isClosed);

  json::object Counters;
};

void respondJson(const Exchange &exchange, unsigned status,
                 const json::value &value);
void respondError(const Exchange &exchange, unsigned status,
                  std::string_view text);
/// The body as a JSON object; otherwise responds with 400 and returns
/// std::nullopt.
std::optional<json::object> parseJsonBody(const HttpRequest &request,
                                          const Exchange &exchange);
/// Value of a parameter in the query string; empty when absent.
std::string queryValue(const HttpRequest &request, std::string_view name);
/// A query parameter as a number; 0 when absent or not a number.
int64_t queryNumber(const HttpRequest &request, std::string_view name);
/// A member that may be a JSON number or a decimal string; 0 when absent or
/// invalid.
int64_t numberField(const json::object &object, std::string_view key);
/// A string member; empty when absent or of another type.
std::string stringField(const json::object &object, std::string_view key);
/// The non-empty parts of the path between slashes.
std::vector<std::string> pathSegments(std::string_view path);
/// Parses a JSON file; on failure prints a message to standard error and
/// returns null.
json::value readJsonFile(const std::string &path);

// The modes; each serves until the process is told to stop and returns the exit
// code.
int runKv(StandinServer &server);
int runList(StandinServer &server);
int runEngine(StandinServer &server);
int runStore(StandinServer &server);
int runWeights(StandinServer &server);
int runService(StandinServer &server);

} // namespace daisytack::standin
