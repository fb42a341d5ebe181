/// Sockets between a process and its peers: datagrams for small messages, and
/// TCP for state that does not fit into one. Both use the same port number.
#pragma once

#include "control/gossip.h"
#include "net/datagram.h"
#include "net/frame_link.h"
#include "runtime/service_reader.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace daisytack::runtime {

struct PeerLinkInit {
  Endpoint Listen; ///< Port 0 in tests.
  net::PeerKeys Keys;
  Incarnation Process;
};

/// Hooks, called on the strand and not after stop().
struct PeerLinkHooks {
  std::function<void(const Endpoint &from, const control::PeerMessage &)>
      Message;
  /// A message failed the check of its authentication, replay or length, or
  /// could not be decoded.
  std::function<void(ErrorKind)> Rejected;
  /// Returns the pages to send to a peer.
  std::function<std::vector<control::Page>(const control::Pull &)> Serve;
};

/// All functions except start() and the byte counters must be called on the
/// strand.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
  /// Maximum number of fetches that a process serves concurrently. It closes
  /// further connections, so that the peers fetch from another process.
  static constexpr size_t MaxServedFetches = 4;

  PeerLink(boost::asio::io_context &io, Strand strand, PeerLinkInit init,
           PeerLinkHooks hooks);

  bool start(Error &reason);
  void stop();
  uint16_t port() const { return Port; }
  void setKeys(net::PeerKeys keys);

  void send(const Endpoint &to, std::string payload);
  using FetchDone =
      std::function<void(std::optional<control::StateUpdate>, const Error &)>;
  /// Fetches all state above the watermarks from a peer. Calls done once, on
  /// the strand.
  void fetch(const Endpoint &to, const control::Pull &pull, FetchDone done);

  /// Number of bytes, including the seal and the IP, UDP or TCP headers.
  uint64_t bytesSent() const { return Sent.load(); }
  uint64_t bytesReceived() const { return Received.load(); }

private:
  bool bind(Error &reason);
  void onDatagram(const Endpoint &from, std::string_view payload);
  net::FrameHooks serverHooks();
  void onPullFrame(const std::shared_ptr<net::FrameLink> &link,
                   std::string_view frame);
  void serve(const std::shared_ptr<net::FrameLink> &link,
             const control::Pull &pull);
  void onOpened(const std::shared_ptr<net::FrameLink> &link);
  void countReceived(size_t bytes, size_t overhead);
  void reject(ErrorKind kind);

  boost::asio::io_context &Io;
  Strand Executor;
  PeerLinkInit Init;
  PeerLinkHooks Hooks;
  std::unique_ptr<net::DatagramSocket> Datagrams;
  std::unique_ptr<net::FrameServer> Frames;
  uint16_t Port = 0;
  std::set<std::shared_ptr<net::FrameLink>>
      ServedLinks; ///< On the strand only.
  std::atomic<uint64_t> Sent{0};
  std::atomic<uint64_t> Received{0};
};

} // namespace daisytack::runtime
