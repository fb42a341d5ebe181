/// Framed TCP connections between daisytack's processes: length-bounded,
/// authenticated by HMAC with a sequence number in each direction, so that a
/// frame can be neither forged, repeated nor left out.
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

/// Secret shared by all processes. The first of a list signs; every one of the
/// list is accepted, so that a key can be changed without stopping.
struct PeerKey {
  std::string Id;
  std::string Secret;
  auto operator<=>(const PeerKey &) const = default;
};
using PeerKeys = std::vector<PeerKey>;

/// One connection. Functions may be called from any thread.
class FrameLink {
public:
  virtual ~FrameLink() = default;
  /// Queues a frame; dropped once the link is closed.
  virtual void send(std::string frame) = 0;
  virtual void close() = 0;
  virtual size_t pendingBytes() const = 0;
};

/// Called in order on an I/O thread. Closed is called exactly once.
struct FrameHooks {
  std::function<void(const std::shared_ptr<FrameLink> &)>
      Opened; ///< Both sides are authenticated.
  std::function<void(const std::shared_ptr<FrameLink> &,
                     std::string_view frame)>
      Frame;
  std::function<void(const std::shared_ptr<FrameLink> &, const Error &)> Closed;
};

/// Connects; Closed is called when that fails. Frames sent before Opened wait
/// for it.
std::shared_ptr<FrameLink> connectFrames(boost::asio::io_context &io,
                                         const Endpoint &to, PeerKeys keys,
                                         Duration connectTimeout,
                                         FrameHooks hooks);

class FrameServer {
public:
  FrameServer(boost::asio::io_context &io, Endpoint listen, PeerKeys keys,
              FrameHooks hooks);
  ~FrameServer();
  bool start(Error &reason);
  uint16_t port() const;
  void stopAccepting();
  void setKeys(PeerKeys keys);

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace daisytack::net
