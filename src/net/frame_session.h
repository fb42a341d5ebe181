/// One framed connection: handshake, reading, and writing with coalescing.
/// Internal to src/net/frame_*.cpp.
#pragma once

#include "net/frame_crypto.h"
#include "net/timer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <mutex>
#include <vector>

namespace daisytack::net {

/// Runs on its own strand; send, close and pendingBytes may be called from any
/// thread. Both sides send a hello, then an empty authenticated frame as proof
/// of their key; the link is open once the other side's proof has verified.
class FrameSession : public FrameLink,
                     public std::enable_shared_from_this<FrameSession> {
public:
  using Socket = boost::asio::ip::tcp::socket;

  FrameSession(boost::asio::io_context &io, Socket socket, FrameRole role,
               PeerKeys keys, FrameHooks hooks);

  /// Connects first, then shakes hands; both within the timeout.
  void connect(const Endpoint &to, Duration timeout);
  /// Shakes hands on a connection that was accepted.
  void startAccepted(Duration timeout);

  void send(std::string frame) override;
  /// Writes what was queued, waiting a moment at most, then closes.
  void close() override;
  size_t pendingBytes() const override;

private:
  enum class Phase : uint8_t { Hello, Proof, Open, Closed };

  void armDeadline(Duration timeout, const char *what);
  void startHandshake();
  void readMore();
  void onRead(size_t n);
  bool processFrame();
  void onHello(std::string_view bytes);
  void onAuthenticated(std::string_view payload);
  void flush();
  void startWrite();
  void finish(const Error &reason);
  void appendSigned(std::string_view payload);
  void scheduleFlush();

  boost::asio::strand<boost::asio::io_context::executor_type> Strand;
  Socket Stream;
  net::Timer Deadline;
  const FrameRole Role;
  const PeerKeys Keys;
  FrameHooks Hooks;

  // Used on the strand only.
  Phase State = Phase::Hello;
  FrameHello OwnHello;
  std::unique_ptr<FrameMac> SendMac;
  std::unique_ptr<FrameMac> ReceiveMac;
  std::vector<char> Input;
  size_t InputBegin = 0;
  size_t InputEnd = 0;
  std::string Output;
  std::string WriteBuffer;
  size_t WritingPayloadBytes = 0;
  size_t OutputPayloadBytes = 0;
  bool WriteRunning = false;
  bool CloseRequested = false;

  mutable std::mutex QueueLock;
  std::vector<std::string> Queue;
  bool FlushScheduled = false;
  bool QueueClosed = false;
  std::atomic<size_t> PendingBytes{0};
};

} // namespace daisytack::net
