/// A scripted HTTP server and a client of it, for tests of the HTTP adapters.
#pragma once

#include "edge/engine.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace daisytack::edge::test {

/// Runs the I/O context on one thread and collects all inputs.
class EdgeRig {
public:
  using Handler = net::HttpHandler;

  explicit EdgeRig(Handler handler)
      : Work(boost::asio::make_work_guard(Io)),
        Server(Io, serverInit(), std::move(handler)),
        Client(Io, net::HttpClientInit()) {
    Error reason;
    Started = Server.start(reason);
    Thread = std::thread([this] { Io.run(); });
  }
  ~EdgeRig() {
    Io.stop();
    Thread.join();
  }

  Endpoint address() const { return {"127.0.0.1", Server.port()}; }
  InputSink sink() {
    return [this](serve::AgentInput input) {
      std::lock_guard guard(Lock);
      Inputs.push_back(std::move(input));
      Arrived.notify_all();
    };
  }
  /// Keeps an exchange open until the rig is destroyed.
  void keep(std::shared_ptr<net::HttpExchange> exchange) {
    Kept.push_back(std::move(exchange));
  }
  /// Waits up to 20 s for at least n inputs and returns all inputs received.
  std::vector<serve::AgentInput> wait(size_t n) {
    std::unique_lock guard(Lock);
    Arrived.wait_for(guard, std::chrono::seconds(20),
                     [&] { return Inputs.size() >= n; });
    return Inputs;
  }

private:
  static net::HttpServerInit serverInit() {
    net::HttpServerInit out;
    out.Listen = {"127.0.0.1", 0};
    return out;
  }

  boost::asio::io_context Io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  net::HttpServer Server;
  std::mutex Lock;
  std::condition_variable Arrived;
  std::vector<serve::AgentInput> Inputs;
  std::vector<std::shared_ptr<net::HttpExchange>> Kept;
  std::thread Thread;

public:
  net::HttpClient Client;
  bool Started = false;
};

inline serve::StartRun startOf(std::string body) {
  auto offer = std::make_shared<wire::Offer>();
  offer->Id = {1, 2};
  offer->AttemptNumber = 1;
  offer->Priority = 7;
  offer->Body = std::move(body);
  serve::StartRun out;
  out.Run = {offer->Id, 1, 5};
  out.Offer = offer;
  out.Timeout = Duration(5'000'000);
  return out;
}

} // namespace daisytack::edge::test
