/// Authenticated datagrams between peers.
#pragma once

#include "net/frame_link.h"

namespace daisytack::net {

/// Sends and receives datagrams of at most MaxDatagramBytes, each with key id,
/// sender incarnation, a counter and an HMAC. A datagram that was received
/// before, or is older than the replay window, is dropped and counted.
class DatagramSocket {
public:
  using Hook =
      std::function<void(const Endpoint &from, std::string_view payload)>;
  DatagramSocket(boost::asio::io_context &io, Endpoint listen, PeerKeys keys,
                 Incarnation self, Hook hook,
                 std::function<void(ErrorKind)> rejected);
  ~DatagramSocket();
  bool start(Error &reason);
  uint16_t port() const;
  void send(const Endpoint &to, std::string payload);
  void setKeys(PeerKeys keys);

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace daisytack::net
