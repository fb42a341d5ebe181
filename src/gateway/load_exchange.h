/// Sends and receives the datagrams in which entries exchange the load that
/// each puts on every backend server, so that all know a server's total load;
/// how late fetches came, so that all notice a slow link to a store at once;
/// which servers are leaving; which requests crashed servers, so that no entry
/// forwards them; which request limits servers reported; for how long
/// weights that servers are loading have been desired; and loans of requests
/// from shared quotas.
#pragma once

#include "direct/peer_messages.h"
#include "gateway/gateway_state.h"
#include "gateway/kv_service_follower.h"
#include "gateway/quota_loan_exchange.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace daisytack::gateway {

/// Called with each message that is not about servers and requests.
using OtherMessageHook =
    std::function<void(const Endpoint &sender, const direct::PeerMessage &)>;

/// Does all its work on the strand passed to the constructor.
class LoadExchange : public std::enable_shared_from_this<LoadExchange> {
public:
  LoadExchange(GatewayState &state, Strand strand,
               LoadExchangeSettings settings, OtherMessageHook onOther);

  bool start(Error &reason);
  void stop();
  /// Sends datagrams when they are due. Call several times a second.
  void onTimer(TimePoint now);
  /// Sends a datagram to one entry.
  void sendTo(const Endpoint &peer, const direct::PeerMessage &message);

private:
  void receive();
  void onDatagram(std::string_view bytes);
  void send(const Endpoint &peer, const std::string &bytes);

  GatewayState &State;
  Strand Executor;
  LoadExchangeSettings Settings;
  OtherMessageHook OnOther;
  QuotaLoanExchange Loans;
  boost::asio::ip::udp::socket Socket;
  boost::asio::ip::udp::endpoint Sender;
  std::array<char, MaxDatagramBytes> Buffer{};
  TimePoint NextSendAt;
  /// Index of the next entry to send to, modulo the number of entries.
  size_t NextPeer = 0;
  size_t Turn = 0; ///< Number of the next message with loads.
};

} // namespace daisytack::gateway
