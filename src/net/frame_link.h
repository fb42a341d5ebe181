/// Framed TCP connections between daisytack's processes. Frames have a maximum
/// length and are authenticated by HMAC with a sequence number per direction,
/// so that forged, repeated and missing frames are detected.
#pragma once

#include "daisytack/error.h"
#include "daisytack/types.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack::net {

/// Secret shared by all processes. The first key of a list signs and all keys
/// of the list are accepted, so that keys can be rotated without downtime.
struct PeerKey {
  std::string Id;
  std::string Secret;
  auto operator<=>(const PeerKey &) const = default;
};
using PeerKeys = std::vector<PeerKey>;

/// One framed connection. Thread-safe.
class FrameLink {
public:
  virtual ~FrameLink() = default;
  /// Queues a frame. A frame longer than MaxFrameBytes, or sent after the link
  /// was closed, is dropped.
  virtual void send(std::string frame) = 0;
  virtual void close() = 0;
  /// Bytes of payload queued and not yet written to the socket.
  virtual size_t pendingBytes() const = 0;
};

/// Callbacks of a link, called in order on an I/O thread. Closed is called
/// exactly once.
struct FrameHooks {
  std::function<void(const std::shared_ptr<FrameLink> &)>
      Opened; ///< The peer is authenticated.
  std::function<void(const std::shared_ptr<FrameLink> &,
                     std::string_view frame)>
      Frame;
  std::function<void(const std::shared_ptr<FrameLink> &, const Error &)> Closed;
};

/// Starts to connect and returns the link; Closed is called if that fails.
/// Frames sent before Opened is called are queued until then.
std::shared_ptr<FrameLink> connectFrames(boost::asio::io_context &io,
                                         const Endpoint &to, PeerKeys keys,
                                         Duration connectTimeout,
                                         FrameHooks hooks);

/// Accepts framed connections.
class FrameServer {
public:
  FrameServer(boost::asio::io_context &io, Endpoint listen, PeerKeys keys,
              FrameHooks hooks);
  ~FrameServer();
  /// Binds and listens; false with the reason on failure.
  bool start(Error &reason);
  uint16_t port() const;
  void stopAccepting();
  /// Sets the keys for connections accepted from now on.
  void setKeys(PeerKeys keys);

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace daisytack::net
