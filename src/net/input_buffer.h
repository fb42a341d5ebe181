/// Input of an HTTP connection that was received and is not parsed yet.
/// Internal to src/net.
#pragma once

#include "net/http_socket.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <functional>
#include <string_view>

namespace daisytack::net {

/// Bytes per read of a head, and of a body that is short or of unknown length.
constexpr size_t ShortReadBytes = 4096;
/// Bytes per read of a longer body.
constexpr size_t LongReadBytes = 16U << 10;

/// Holds at most as many bytes as its limit, and takes no more memory than the
/// highest limit it has had. Nothing else reads HTTP from a socket, so that no
/// state of a message can be read without a limit.
class InputBuffer {
public:
  /// The limit is in bytes.
  explicit InputBuffer(size_t limit) : Bytes(limit) {}

  /// Applies to further input. Bytes already held stay.
  void setLimit(size_t limit) { Bytes.max_size(limit); }
  size_t limit() const { return Bytes.max_size(); }
  size_t size() const { return Bytes.size(); }
  /// Bytes of memory taken.
  size_t capacity() const { return Bytes.capacity(); }
  asio::const_buffer data() const { return Bytes.data(); }
  std::string_view view() const {
    return {static_cast<const char *>(Bytes.data().data()), Bytes.size()};
  }
  void consume(size_t n) { Bytes.consume(n); }
  void clear() { Bytes.clear(); }
  /// Frees the memory, with the bytes held.
  void release() { Bytes = boost::beast::flat_buffer(limit()); }

  /// Room for further input: `n` bytes, or fewer at the limit; empty when the
  /// limit is reached.
  asio::mutable_buffer prepare(size_t n);
  void commit(size_t n) { Bytes.commit(n); }

private:
  boost::beast::flat_buffer Bytes;
};

/// Reads once, at most `n` bytes, and calls the hook on the strand. Fails with
/// buffer_overflow when the buffer has reached its limit. The hook has to keep
/// the buffer alive.
void readSome(StrandSocket &socket, InputBuffer &input, size_t n,
              const Strand &strand,
              std::function<void(ErrorCode, size_t)> done);

} // namespace daisytack::net
