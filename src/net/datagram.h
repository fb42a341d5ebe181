/// UDP socket for authenticated datagrams between peers.
#pragma once

#include "net/frame_link.h"

namespace daisytack::net {

/// Sends and receives datagrams of at most MaxDatagramBytes. Each one carries a
/// key id, the sender's incarnation, a counter and an HMAC. A datagram that
/// fails authentication, was received before or is older than the replay window
/// is dropped, and the error kind is passed to the rejected callback.
/// Thread-safe after start(); callbacks run on an I/O thread, one at a time.
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
