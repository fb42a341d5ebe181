/// What the HTTP server and client share about TCP sockets.
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

/// No delay for small writes, and TCP keepalive so that a vanished host is
/// noticed within about half a minute.
void tuneSocket(StrandSocket &socket);

/// What can be read without waiting.
enum class PeerState : uint8_t { NoData, HasData, Closed };
/// Looks without taking any byte.
PeerState probePeer(StrandSocket &socket);

/// Reads the address literal; false when it is none.
bool toTcp(const Endpoint &endpoint, tcp::endpoint &out);

} // namespace daisytack::net
