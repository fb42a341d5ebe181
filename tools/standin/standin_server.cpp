#include "standin_server.h"
#include "net/timer.h"

#include <boost/asio/signal_set.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

namespace daisytack::standin {

StandinServer::StandinServer(StandinServerInit init)
    : Client(Io, {}), Random(init.Seed), Init(std::move(init)) {
  Faults["down"] = false;
  Faults["delay_ms"] = 0;
}

StandinServer::~StandinServer() = default;

int StandinServer::run() {
  net::HttpServerInit server;
  server.Listen = Init.Listen;
  server.MaxBodyBytes = 64U << 20;
  server.MaxPendingBytes = 64U << 20;
  net::HttpServer http(Io, server,
                       [this](HttpRequest request, Exchange exchange) {
                         onRequest(std::move(request), std::move(exchange));
                       });
  Error reason;
  if (!http.start(reason)) {
    std::cerr << reason.Detail << "\n";
    return 1;
  }
  std::cerr << Init.Name << " listens on " << Init.Listen.Address << ":"
            << http.port() << std::endl;
  asio::signal_set signals(Io, SIGTERM, SIGINT);
  signals.async_wait([this](auto, int) { Io.stop(); });
  Io.run();
  return 0;
}

bool StandinServer::isFaultOn(std::string_view fault) const {
  const json::value *value = Faults.if_contains(fault);
  return value && value->is_bool() && value->get_bool();
}

int64_t StandinServer::faultNumber(std::string_view fault) const {
  return numberField(Faults, fault);
}

bool StandinServer::consumeFault(std::string_view fault) {
  if (isFaultOn(fault))
    return true;
  int64_t left = faultNumber(fault);
  if (left <= 0)
    return false;
  Faults[fault] = left - 1;
  return true;
}

bool StandinServer::answersWithoutEnd(const Exchange &exchange) {
  int64_t n = faultNumber("endless_body");
  if (n <= 0)
    return false;
  auto isClosed = std::make_shared<bool>(false);
  exchange->onClosed([isClosed] { *isClosed = true; });
  exchange->beginStream(200, {{"Content-Type", "application/json"}});
  writeWithoutEnd(exchange, static_cast<size_t>(n), isClosed);
  return true;
}

void StandinServer::writeWithoutEnd(const Exchange &exchange, size_t n,
                                    std::shared_ptr<bool> isClosed) {
  if (*isClosed)
    return;
  // A client that reads slowly must not fill this process's memory.
  if (exchange->pendingBytes() < n)
    exchange->write(std::string(n, 'x'));
  after(std::chrono::milliseconds(10), [this, exchange, n, isClosed] {
    writeWithoutEnd(exchange, n, isClosed);
  });
}

void StandinServer::count(std::string_view counter, int64_t n) {
  Counters[counter] = numberField(Counters, counter) + n;
}

void StandinServer::after(Duration delay, std::function<void()> callback) {
  auto timer = std::make_shared<net::Timer>(Io, delay);
  timer->async_wait([timer, callback = std::move(callback)](auto ec) {
    if (!ec)
      callback();
  });
}

void StandinServer::every(Duration period, std::function<void()> callback) {
  after(period, [this, period, callback] {
    callback();
    every(period, callback);
  });
}

void StandinServer::onRequest(HttpRequest request, Exchange exchange) {
  if (request.Path.starts_with("/standin/") &&
      (request.Path == "/standin/faults" || request.Path == "/standin/stats"))
    return onControl(request, exchange);
  count("requests");
  Duration delay = std::chrono::milliseconds(faultNumber("delay_ms"));
  if (delay == Duration::zero())
    return serve(request, exchange);
  after(delay, [this, request = std::move(request),
                exchange = std::move(exchange)] { serve(request, exchange); });
}

void StandinServer::onControl(const HttpRequest &request,
                              const Exchange &exchange) {
  if (request.Path == "/standin/stats") {
    json::object out = Counters;
    out["name"] = Init.Name;
    if (OnStats)
      OnStats(out);
    return respondJson(exchange, 200, out);
  }
  auto body = parseJsonBody(request, exchange);
  if (!body)
    return;
  for (const auto &[name, value] : *body) {
    if (!Faults.contains(name))
      return respondError(exchange, 400,
                          "unknown switch: " + std::string(name));
    Faults[name] = value;
  }
  if (OnFault)
    OnFault();
  respondJson(exchange, 200, Faults);
}

void StandinServer::serve(const HttpRequest &request,
                          const Exchange &exchange) {
  if (isFaultOn("down") && !request.Path.starts_with("/standin/"))
    return exchange->abort();
  OnRequest(request, exchange);
}

void respondJson(const Exchange &exchange, unsigned status,
                 const json::value &value) {
  exchange->respond(
      {status, {{"Content-Type", "application/json"}}, json::serialize(value)});
}

void respondError(const Exchange &exchange, unsigned status,
                  std::string_view text) {
  respondJson(exchange, status, json::object{{"error", text}});
}

std::optional<json::object> parseJsonBody(const HttpRequest &request,
                                          const Exchange &exchange) {
  boost::system::error_code ec;
  json::value value = json::parse(request.Body, ec);
  if (ec || !value.is_object()) {
    respondError(exchange, 400, "the body is no JSON object");
    return std::nullopt;
  }
  return std::move(value.get_object());
}

namespace {

/// Decodes percent-encoding; malformed sequences stay as they are.
std::string unescape(std::string_view text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    unsigned code = 0;
    const char *from = text.data() + i + 1;
    bool coded = text[i] == '%' && i + 2 < text.size() &&
                 std::from_chars(from, from + 2, code, 16).ptr == from + 2;
    out.push_back(coded ? static_cast<char>(code) : text[i]);
    i += coded ? 2 : 0;
  }
  return out;
}

} // namespace

std::string queryValue(const HttpRequest &request, std::string_view name) {
  std::string_view rest = request.Query;
  while (!rest.empty()) {
    size_t end = std::min(rest.find('&'), rest.size());
    std::string_view pair = rest.substr(0, end);
    if (pair.starts_with(name) && pair.substr(name.size()).starts_with('='))
      return unescape(pair.substr(name.size() + 1));
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return {};
}

int64_t queryNumber(const HttpRequest &request, std::string_view name) {
  return numberField(json::object{{name, queryValue(request, name)}}, name);
}

int64_t numberField(const json::object &object, std::string_view key) {
  const json::value *value = object.if_contains(key);
  if (!value)
    return 0;
  if (value->is_string()) {
    int64_t out = 0;
    const auto &text = value->get_string();
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
  }
  boost::system::error_code ec;
  auto out = value->to_number<int64_t>(ec);
  return ec ? 0 : out;
}

std::string stringField(const json::object &object, std::string_view key) {
  const json::value *value = object.if_contains(key);
  return value && value->is_string() ? std::string(value->get_string())
                                     : std::string();
}

std::vector<std::string> pathSegments(std::string_view path) {
  std::vector<std::string> out;
  std::istringstream stream{std::string(path)};
  for (std::string segment; std::getline(stream, segment, '/');)
    if (!segment.empty())
      out.push_back(segment);
  return out;
}

json::value readJsonFile(const std::string &path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  boost::system::error_code ec;
  json::value out = json::parse(text.str(), ec);
  if (!file || ec) {
    std::cerr << path << ": can't be read as JSON\n";
    return nullptr;
  }
  return out;
}

} // namespace daisytack::standin
