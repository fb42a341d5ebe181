/// A server whose answers never end, until the client closes the connection.
#pragma once

#include "net_http/http_fixture.h"

#include <atomic>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace daisytack::net {

/// What the server sends to each request.
struct EndlessAnswer {
  const char *Name;
  std::string Begin;  ///< Sent once. "{id}" stands for the request's id.
  std::string Repeat; ///< Sent again and again.
};

/// Answers without end, framed and unframed, and bytes that are no answer.
inline std::vector<EndlessAnswer> endlessAnswers() {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Daisytack-Request-Id: {id}\r\n"
                           "X-Daisytack-Server-Signature: sig\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string text(1000, 'x');
  return {{"head", "HTTP/1.1 200 OK\r\nA: ", text},
          {"head fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
          {"body with a length", head + "Content-Length: 1000000000000\r\n\r\n",
           text},
          {"chunks", chunked, "3e8\r\n" + text + "\r\n"},
          {"body without a length", head + "\r\n", text},
          {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
          {"answers to others", "",
           "HTTP/1.1 200 OK\r\nX-Daisytack-Request-Id: other\r\n"
           "Content-Length: 0\r\n\r\n"},
          {"answer to another",
           "HTTP/1.1 200 OK\r\nX-Daisytack-Request-Id: other\r\n"
           "Content-Length: 1000000000000\r\n\r\n",
           text},
          {"chunk size", chunked, "0"},
          {"chunk extension", chunked + "1;a=", text},
          {"chunk extensions", chunked, "1;a=" + text + "\r\nx\r\n"},
          {"chunk extension after chunks",
           chunked + "1\r\nx\r\n1\r\nx\r\n1;a=", text},
          {"missing end of a chunk", chunked + "1\r\nx", text},
          {"chunks of one byte", chunked, "1\r\nx\r\n"},
          {"trailer line", chunked + "0\r\nA: ", text},
          {"trailer fields", chunked + "0\r\n", "A: b\r\n"},
          {"trailer fields after chunks", chunked + "1\r\nx\r\n0\r\n",
           "A: " + text + "\r\n"},
          {"extension of the last chunk", chunked + "0;a=", text},
          {"empty lines", "", "\r\n"},
          {"no HTTP", "", text},
          {"zeros", "", std::string(1000, '\0')}};
}

class EndlessServer {
public:
  /// The server stops after this many bytes and keeps the connection, so that a
  /// client without a limit doesn't take the memory of the machine.
  static constexpr uint64_t MaxBytes = 48U << 20;

  /// A slow server sends one byte every 50 ms once it has sent the beginning.
  EndlessServer(EndlessAnswer answer, bool isSlow)
      : Answer(std::move(answer)), IsSlow(isSlow),
        Repeat(repeatedOf(Answer, isSlow)),
        Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0}),
        Thread([this] { accept(); }) {}
  ~EndlessServer() {
    IsStopped = true;
    ::shutdown(Acceptor.native_handle(), SHUT_RDWR);
    Thread.join();
    for (std::thread &it : Connections)
      it.join();
  }
  EndlessServer(const EndlessServer &) = delete;
  EndlessServer &operator=(const EndlessServer &) = delete;

  Endpoint address() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }
  uint64_t bytesSent() const { return BytesSent; }
  /// Connections that the client has not closed.
  int openConnections() const { return Open; }

private:
  void accept() {
    while (!IsStopped) {
      auto socket = std::make_shared<tcp::socket>(Io);
      ErrorCode ec;
      Acceptor.accept(*socket, ec);
      if (ec)
        return;
      ++Open;
      Connections.emplace_back([this, socket] {
        serve(*socket);
        --Open;
      });
    }
  }

  void serve(tcp::socket &socket) {
    std::string request;
    char c = 0;
    ErrorCode ec;
    while (!request.ends_with("\r\n\r\n") && !ec && !IsStopped)
      if (socket.read_some(asio::buffer(&c, 1), ec) == 1)
        request.push_back(c);
    std::string begin = Answer.Begin;
    if (size_t at = begin.find("{id}"); at != std::string::npos)
      begin.replace(at, 4, idOf(request));
    send(socket, begin, begin.size(), ec);
    uint64_t sent = 0;
    for (; !ec && !IsStopped && sent < MaxBytes; sent += Repeat.size())
      send(socket, Repeat, IsSlow ? 1 : Repeat.size(), ec);
    // Until the client closes it. The rest of the request comes first.
    while (!ec && !IsStopped)
      socket.read_some(asio::buffer(&c, 1), ec);
  }

  void send(tcp::socket &socket, const std::string &text, size_t step,
            ErrorCode &ec) {
    for (size_t i = 0; i < text.size() && !ec && !IsStopped; i += step) {
      asio::write(socket, asio::buffer(text.data() + i, step), ec);
      BytesSent += ec ? 0 : step;
      if (IsSlow)
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  }

  /// A fast server sends short texts several at once.
  static std::string repeatedOf(const EndlessAnswer &answer, bool isSlow) {
    std::string out = answer.Repeat;
    while (!isSlow && out.size() < 1000)
      out += answer.Repeat;
    return out;
  }

  static std::string idOf(const std::string &request) {
    const std::string name = "X-Daisytack-Request-Id: ";
    size_t at = request.find(name);
    if (at == std::string::npos)
      return "none";
    at += name.size();
    return request.substr(at, request.find("\r\n", at) - at);
  }

  const EndlessAnswer Answer;
  const bool IsSlow;
  const std::string Repeat;
  std::atomic<bool> IsStopped{false};
  std::atomic<uint64_t> BytesSent{0};
  std::atomic<int> Open{0};
  asio::io_context Io;
  tcp::acceptor Acceptor;
  std::list<std::thread> Connections;
  std::thread Thread;
};

} // namespace daisytack::net
