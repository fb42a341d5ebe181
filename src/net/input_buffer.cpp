#include "net/input_buffer.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <utility>

namespace daisytack::net {

asio::mutable_buffer InputBuffer::prepare(size_t n) {
  size_t room = limit() - std::min(limit(), size());
  return room == 0 ? asio::mutable_buffer() : Bytes.prepare(std::min(n, room));
}

void readSome(StrandSocket &socket, InputBuffer &input, size_t n,
              const Strand &strand,
              std::function<void(ErrorCode, size_t)> done) {
  asio::mutable_buffer room = input.prepare(n);
  // A read into an empty buffer would succeed at once, again and again.
  if (room.size() == 0)
    return asio::post(strand, [done = std::move(done)] {
      done(boost::beast::http::error::buffer_overflow, 0);
    });
  socket.async_read_some(
      room, asio::bind_executor(strand, [&input, done = std::move(done)](
                                            ErrorCode ec, size_t received) {
        if (received > 0)
          input.commit(received);
        done(ec, received);
      }));
}

} // namespace daisytack::net
