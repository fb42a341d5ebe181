/// TCP socket types and helpers shared by the HTTP server and client.
#pragma once

#include "base/clock.h"
#include "daisytack/types.h"

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>

namespace daisytack::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

using Strand = asio::strand<asio::io_context::executor_type>;
using StrandSocket = asio::basic_stream_socket<tcp, Strand>;
using StrandTimer =
    asio::basic_waitable_timer<BootClock, asio::wait_traits<BootClock>, Strand>;

/// Disables Nagle's algorithm and enables TCP keepalive, which detects an
/// unreachable host within about 30 s.
void tuneSocket(StrandSocket &socket);

/// What a non-blocking read of the socket would yield.
enum class PeerState : uint8_t { NoData, HasData, Closed };
/// Checks the socket without consuming any input.
PeerState probePeer(StrandSocket &socket);

/// Converts the endpoint; false if its address is not an IP address literal.
bool toTcp(const Endpoint &endpoint, tcp::endpoint &out);

} // namespace daisytack::net
