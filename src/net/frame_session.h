/// One framed connection: handshake, reading, and coalesced writes.
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
/// thread. Each side sends a hello and then an empty authenticated frame, which
/// proves that it holds its key. The link is open once the peer's proof has
/// been verified.
class FrameSession : public FrameLink,
                     public std::enable_shared_from_this<FrameSession> {
public:
  using Socket = boost::asio::ip::tcp::socket;

  FrameSession(boost::asio::io_context &io, Socket socket, FrameRole role,
               PeerKeys keys, FrameHooks hooks);

  /// Connects and performs the handshake; the timeout covers both.
  void connect(const Endpoint &to, Duration timeout);
  /// Performs the handshake on an accepted connection.
  void startAccepted(Duration timeout);

  void send(std::string frame) override;
  /// Writes the queued frames and closes; gives up after CloseTimeout. Closes
  /// at once if the handshake is not complete.
  void close() override;
  size_t pendingBytes() const override;
  /// Whether the peer has proven that it holds its key.
  bool isProven() const { return IsProven; }

private:
  enum class Phase : uint8_t { Hello, Proof, Open, Closed };

  /// Closes the link with this error detail after the timeout, unless Deadline
  /// is cancelled first.
  void armDeadline(Duration timeout, const char *what);
  void startHandshake();
  void readMore();
  void onRead(size_t n);
  /// Longest payload of the next frame, in bytes. A proof has none.
  size_t maxFrameBytes() const;
  /// Handles one complete frame of the input; false if more bytes are needed or
  /// the link was closed.
  bool processFrame();
  void onHello(std::string_view bytes);
  void onAuthenticated(std::string_view payload);
  /// Signs all queued frames and sends them in one write.
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

  // The members up to QueueLock are used on the strand only.
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
  std::atomic<bool> IsProven{false};
};

} // namespace daisytack::net
