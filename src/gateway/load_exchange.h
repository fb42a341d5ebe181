/// Entries tell one another by datagram what each has under way at every
/// backend server, so that each can tell a server's whole load, and how late
/// its fetches came, so that all notice a slow link to a store at once; under
/// which requests servers ended, so that none of them passes those on; and
/// which limits servers named, so that all of them keep to these.
#pragma once

#include "direct/peer_messages.h"
#include "gateway/gateway_state.h"
#include "gateway/kv_service_follower.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <memory>
#include <string>

namespace daisytack::gateway {

/// Runs on its strand.
class LoadExchange : public std::enable_shared_from_this<LoadExchange> {
public:
  LoadExchange(GatewayState &state, Strand strand,
               LoadExchangeSettings settings);

  bool start(Error &reason);
  void stop();
  /// Sends when it is time. Call several times a second.
  void onTimer(TimePoint now);

private:
  void receive();
  void onDatagram(std::string_view bytes);
  void send(const Endpoint &peer, const std::string &bytes);

  GatewayState &State;
  Strand Executor;
  LoadExchangeSettings Settings;
  boost::asio::ip::udp::socket Socket;
  boost::asio::ip::udp::endpoint Sender;
  std::array<char, MaxDatagramBytes> Buffer{};
  TimePoint NextSendAt;
  size_t NextPeer = 0;
};

} // namespace daisytack::gateway
