/// An HTTP server on an ephemeral port, I/O threads, and raw sockets for
/// sending invalid input.
#pragma once

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/http_socket.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace daisytack::net {

constexpr std::chrono::seconds WaitLimit{30};

/// Runs an io_context on several threads until destroyed.
class IoThreads {
public:
  static constexpr size_t MaxThreads = 3;
  explicit IoThreads(size_t n = MaxThreads) : Work(Io.get_executor()) {
    for (size_t i = 0; i < n; ++i)
      Threads.emplace_back([this] { Io.run(); });
  }
  ~IoThreads() { stop(); }
  /// Stops and joins the threads; no handler runs after it returns.
  void stop() {
    Io.stop();
    for (auto &t : Threads)
      t.join();
    Threads.clear();
  }
  asio::io_context Io;

private:
  asio::executor_work_guard<asio::io_context::executor_type> Work;
  std::vector<std::thread> Threads;
};

/// A blocking client that sends arbitrary bytes.
class RawClient {
public:
  explicit RawClient(uint16_t port) : Socket(Io) {
    Socket.connect({asio::ip::make_address("127.0.0.1"), port});
  }
  void send(const std::string &bytes) {
    ErrorCode ignored;
    asio::write(Socket, asio::buffer(bytes), ignored);
  }
  void endSending() { Socket.shutdown(tcp::socket::shutdown_send); }
  /// Reads until the server closes the connection.
  std::string readAll() {
    std::string out;
    char buf[4096];
    ErrorCode ec;
    while (!ec) {
      size_t n = Socket.read_some(asio::buffer(buf), ec);
      out.append(buf, n);
    }
    return out;
  }
  /// Reads until the connection ends and returns how it ended.
  ErrorCode readToEnd() {
    char buf[4096];
    ErrorCode ec;
    while (!ec)
      Socket.read_some(asio::buffer(buf), ec);
    return ec;
  }
  /// Reads until the text was received or the connection ends.
  std::string readUntil(const std::string &mark) {
    std::string out;
    char c = 0;
    ErrorCode ec;
    while (out.find(mark) == std::string::npos) {
      if (Socket.read_some(asio::buffer(&c, 1), ec) == 0 || ec)
        break;
      out.push_back(c);
    }
    return out;
  }
  void close() { Socket.close(); }
  tcp::socket &socket() { return Socket; }

private:
  asio::io_context Io;
  tcp::socket Socket;
};

/// A server that runs the handler, and a client for it.
class HttpFixture {
public:
  explicit HttpFixture(HttpHandler handler, HttpServerInit init = {},
                       HttpClientInit client = {})
      : Server(Threads.Io, withLoopback(std::move(init)), std::move(handler)),
        Client(Threads.Io, client) {
    Error reason;
    EXPECT_TRUE(Server.start(reason)) << reason.Detail;
  }
  static HttpServerInit withLoopback(HttpServerInit init) {
    init.Listen = {"127.0.0.1", 0};
    return init;
  }
  Endpoint endpoint() const { return {"127.0.0.1", Server.port()}; }

  struct Fetched {
    Error Reason;
    HttpResponse Response;
  };
  Fetched fetch(HttpRequest request, Duration timeout = Duration(0)) {
    return fetch(endpoint(), std::move(request), timeout);
  }
  Fetched fetch(const Endpoint &to, HttpRequest request, Duration timeout) {
    auto promise = std::make_shared<std::promise<Fetched>>();
    auto future = promise->get_future();
    Client.fetch(to, std::move(request), timeout,
                 [promise](const Error &error, HttpResponse response) {
                   promise->set_value({error, std::move(response)});
                 });
    EXPECT_EQ(future.wait_for(WaitLimit), std::future_status::ready);
    return future.get();
  }

  IoThreads Threads;
  HttpServer Server;
  HttpClient Client;
};

inline void echo(HttpRequest request, std::shared_ptr<HttpExchange> exchange) {
  HttpResponse out;
  out.Headers.push_back({"X-Path", request.Path});
  out.Body = request.Method + " " + request.Query + " " + request.Body;
  exchange->respond(std::move(out));
}

} // namespace daisytack::net
