#include "net/datagram.h"

#include "net/datagram_seal.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <array>
#include <utility>

namespace daisytack::net {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

/// Holds a burst of gossip datagrams while the process is busy.
constexpr int ReceiveBufferBytes = 1 << 20;

std::optional<udp::endpoint> toUdp(const Endpoint &endpoint) {
  boost::system::error_code ec;
  asio::ip::address address = asio::ip::make_address(endpoint.Address, ec);
  if (ec)
    return std::nullopt;
  return udp::endpoint(address, endpoint.Port);
}

} // namespace

struct DatagramSocket::Impl : std::enable_shared_from_this<Impl> {
  Impl(asio::io_context &io, Endpoint listen, PeerKeys keys, Incarnation self,
       Hook hook, std::function<void(ErrorKind)> rejected)
      : Listen(std::move(listen)), Strand(asio::make_strand(io)),
        Socket(Strand), Seal(std::move(keys), self), Receive(std::move(hook)),
        Rejected(std::move(rejected)) {}

  bool open(Error &reason);
  void receive();
  void handleDatagram(size_t bytes);
  void send(const Endpoint &to, std::string_view payload);

  Endpoint Listen;
  asio::strand<asio::io_context::executor_type> Strand;
  udp::socket Socket;
  DatagramSeal Seal;
  Hook Receive;
  std::function<void(ErrorKind)> Rejected;
  uint16_t Port = 0;
  /// One byte larger than the limit, so that an oversized datagram is detected
  /// instead of being truncated to a permitted size.
  std::array<char, MaxDatagramBytes + 1> Buffer{};
  udp::endpoint From;
};

bool DatagramSocket::Impl::open(Error &reason) {
  std::optional<udp::endpoint> at = toUdp(Listen);
  if (!at) {
    reason = {ErrorKind::BadValue, "address " + toString(Listen)};
    return false;
  }
  boost::system::error_code ec;
  Socket.open(at->protocol(), ec);
  if (!ec)
    Socket.bind(*at, ec);
  if (ec) {
    reason = {ErrorKind::Internal,
              "can't bind UDP " + toString(Listen) + ": " + ec.message()};
    return false;
  }
  boost::system::error_code ignored;
  Socket.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes),
                    ignored);
  Socket.non_blocking(true, ec);
  Port = Socket.local_endpoint(ec).port();
  return true;
}

void DatagramSocket::Impl::receive() {
  Socket.async_receive_from(
      asio::buffer(Buffer), From,
      [self = shared_from_this()](const boost::system::error_code &ec,
                                  size_t bytes) {
        if (ec == asio::error::operation_aborted || !self->Socket.is_open())
          return;
        // Other errors report that a datagram sent earlier was not delivered.
        if (!ec)
          self->handleDatagram(bytes);
        self->receive();
      });
}

void DatagramSocket::Impl::handleDatagram(size_t bytes) {
  Error reason;
  std::optional<std::string_view> payload =
      Seal.open(std::string_view(Buffer.data(), bytes), reason);
  if (payload)
    Receive({From.address().to_string(), From.port()}, *payload);
  else
    Rejected(reason.Kind);
}

void DatagramSocket::Impl::send(const Endpoint &to, std::string_view payload) {
  std::optional<udp::endpoint> at = toUdp(to);
  Error reason;
  std::optional<std::string> bytes = Seal.seal(payload, reason);
  if (!at || !bytes || !Socket.is_open())
    return;
  // A datagram is dropped if the socket buffer is full. Callers have to
  // tolerate loss anyway, since the network may drop datagrams too.
  boost::system::error_code ignored;
  Socket.send_to(asio::buffer(*bytes), *at, 0, ignored);
}

DatagramSocket::DatagramSocket(asio::io_context &io, Endpoint listen,
                               PeerKeys keys, Incarnation self, Hook hook,
                               std::function<void(ErrorKind)> rejected)
    : Self(std::make_shared<Impl>(io, std::move(listen), std::move(keys), self,
                                  std::move(hook), std::move(rejected))) {}

DatagramSocket::~DatagramSocket() {
  asio::post(Self->Strand, [self = Self] {
    boost::system::error_code ignored;
    self->Socket.close(ignored);
  });
}

bool DatagramSocket::start(Error &reason) {
  if (!Self->open(reason))
    return false;
  asio::post(Self->Strand, [self = Self] { self->receive(); });
  return true;
}

uint16_t DatagramSocket::port() const { return Self->Port; }

void DatagramSocket::send(const Endpoint &to, std::string payload) {
  asio::post(Self->Strand, [self = Self, to, payload = std::move(payload)] {
    self->send(to, payload);
  });
}

void DatagramSocket::setKeys(PeerKeys keys) {
  asio::post(Self->Strand, [self = Self, keys = std::move(keys)]() mutable {
    self->Seal.setKeys(std::move(keys));
  });
}

} // namespace daisytack::net
