/// A server on loopback that runs a script on each connection.
#pragma once

#include "net/http_socket.h"

#include <atomic>
#include <functional>
#include <string>
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

/// Reads up to the end of a header section.
inline void readRequest(tcp::socket &socket) {
  std::string seen;
  char c = 0;
  ErrorCode ec;
  while (!seen.ends_with("\r\n\r\n") &&
         socket.read_some(asio::buffer(&c, 1), ec) == 1)
    seen.push_back(c);
}

} // namespace daisytack::net
