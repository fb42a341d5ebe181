/// A server on loopback that runs a script on each connection.
#pragma once

#include "net/http_socket.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>

#include <atomic>
#include <functional>
#include <list>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace daisytack::net {

/// Accepts connections one after another and runs one step on each.
class ScriptedServer {
public:
  using Step = std::function<void(tcp::socket &)>;
  explicit ScriptedServer(std::vector<Step> steps)
      : Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0}),
        Thread([this, steps = std::move(steps)] {
          for (const Step &step : steps) {
            tcp::socket socket(Io);
            Acceptor.accept(socket);
            ++Accepted;
            step(socket);
          }
        }) {}
  ~ScriptedServer() { Thread.join(); }
  Endpoint endpoint() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }
  std::atomic<int> Accepted{0};

private:
  asio::io_context Io;
  tcp::acceptor Acceptor;
  std::thread Thread;
};

/// Accepts connections until it is destroyed, and runs the step on each in a
/// thread of its own.
class ConnectionServer {
public:
  using Step = std::function<void(tcp::socket &)>;
  explicit ConnectionServer(Step step)
      : Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0}),
        Thread([this, step = std::move(step)] { accept(step); }) {}
  ~ConnectionServer() {
    IsClosing = true;
    ErrorCode ignored;
    tcp::socket last(Io);
    last.connect(Acceptor.local_endpoint(), ignored); // Ends accept().
    Thread.join();
    for (tcp::socket &socket : Sockets)
      socket.shutdown(tcp::socket::shutdown_both, ignored);
    for (std::thread &it : Connections)
      it.join();
  }
  Endpoint endpoint() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }

private:
  void accept(const Step &step) {
    while (true) {
      tcp::socket &socket = Sockets.emplace_back(Io);
      Acceptor.accept(socket);
      if (IsClosing)
        return;
      Connections.emplace_back([&socket, step] { step(socket); });
    }
  }

  asio::io_context Io;
  tcp::acceptor Acceptor;
  std::atomic<bool> IsClosing{false};
  std::list<tcp::socket> Sockets;
  std::vector<std::thread> Connections;
  std::thread Thread;
};

/// Reads up to the end of a header section.
inline void readRequest(tcp::socket &socket) {
  std::string seen;
  char c = 0;
  ErrorCode ec;
  while (!seen.ends_with("\r\n\r\n") &&
         socket.read_some(asio::buffer(&c, 1), ec) == 1)
    seen.push_back(c);
}

/// Reads a call with its body, if it has a Content-Length; empty at the end.
inline std::string readCall(tcp::socket &socket) {
  std::string out;
  ErrorCode ec;
  asio::read_until(socket, asio::dynamic_buffer(out), "\r\n\r\n", ec);
  constexpr std::string_view Length = "Content-Length: ";
  size_t at = out.find(Length);
  if (ec || at == std::string::npos)
    return ec ? "" : out;
  size_t whole =
      out.find("\r\n\r\n") + 4 + std::stoul(out.substr(at + Length.size()));
  if (out.size() < whole)
    asio::read(socket, asio::dynamic_buffer(out),
               asio::transfer_exactly(whole - out.size()), ec);
  return out;
}

} // namespace daisytack::net
