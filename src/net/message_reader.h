/// Parses one HTTP message from an InputBuffer. Internal to src/net.
#pragma once

#include "net/input_buffer.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string_view>

namespace daisytack::net {

namespace http = boost::beast::http;

/// Longest line that begins a chunk, without an extension: the end of the chunk
/// before, the size and the line's own end. The empty line at the end of the
/// body is counted too.
constexpr size_t MaxPlainChunkLineBytes = 2 + 16 + 2 + 2;
/// Shortest rest of a body whose last chunk's line was parsed in part. The
/// parser asserts that the last line is not parsed again with fewer bytes,
/// which are there if the end of an empty body, "0\r\n\r\n", comes in two
/// pieces.
constexpr size_t MinChunkLineBytes = 5;
/// Maximum of all chunk extensions, leading zeros of chunk sizes and trailer
/// fields of one message, in bytes. They are read and ignored (RFC 9112, 7.1.1
/// and 7.1.2); the parser holds each of them until it is whole.
constexpr size_t MaxChunkExtraBytes = 4096;

/// Whether the header section has a continuation line. These are obsolete (RFC
/// 9112, 5.2), and implementations interpret them differently.
inline bool hasFoldedLine(std::string_view head) {
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

/// Sets the limit of the buffer that it parses, according to the state of the
/// message. What remains in the buffer when more input is needed is below that
/// limit.
template <class Parser> class MessageReader {
public:
  explicit MessageReader(size_t maxHeadBytes) : MaxHeadBytes(maxHeadBytes) {
    Message.header_limit(static_cast<uint32_t>(maxHeadBytes));
    Message.on_chunk_header(OnChunkLine);
  }
  MessageReader(const MessageReader &) = delete;
  MessageReader &operator=(const MessageReader &) = delete;

  /// Fields that follow the body are added to the parser's message, so the
  /// headers have to be taken before the body is parsed.
  Parser &parser() { return Message; }
  const Parser &parser() const { return Message; }
  size_t maxHeadBytes() const { return MaxHeadBytes; }
  /// Of the head, parsed so far.
  size_t headBytes() const { return HeadBytes; }

  /// Parses the first line and the headers. need_more: read further input
  /// first. bad_value: a field has an invalid value, or continues on a second
  /// line.
  ErrorCode parseHead(InputBuffer &input) {
    input.setLimit(MaxHeadBytes);
    ErrorCode ec;
    size_t n = Message.put(input.data(), ec);
    // The parser joins the lines of a field, so that one that frames the body
    // would become part of another one's value. It consumes whole fields.
    bool isFolded = hasFoldedLine(input.view().substr(0, n));
    input.consume(n);
    HeadBytes += n;
    if (isFolded)
      return http::error::bad_value;
    bool needsMore = ec == http::error::need_more;
    if (HeadBytes > MaxHeadBytes ||
        (needsMore && HeadBytes + input.size() >= MaxHeadBytes))
      return http::error::header_limit;
    return ec;
  }

  /// Parses the body as far as the input goes, or until the message's own
  /// buffer is full (need_buffer). No error: the message is complete.
  /// need_more: read further input first. buffer_overflow: MaxChunkExtraBytes
  /// is exceeded.
  ErrorCode parseBody(InputBuffer &input) {
    input.setLimit(LongReadBytes);
    while (!Message.is_done()) {
      if (input.size() < (AwaitsLine ? MinChunkLineBytes : 1))
        return http::error::need_more;
      IsChunkLine = false;
      ErrorCode ec;
      size_t n = Message.put(input.data(), ec);
      input.consume(n);
      bool needsMore = ec == http::error::need_more;
      AwaitsLine = needsMore;
      if (IsChunkLine || needsMore) {
        // The trailer fields belong to the line of the last chunk.
        size_t line = IsChunkLine ? n : input.size();
        size_t extra = line - std::min(line, MaxPlainChunkLineBytes);
        if (ExtraBytes + extra > MaxChunkExtraBytes)
          return http::error::buffer_overflow;
        if (IsChunkLine)
          ExtraBytes += extra;
      }
      if (ec)
        return ec;
    }
    return {};
  }

  /// The peer sends nothing more. No error: that completes the message.
  ErrorCode endInput() {
    if (!Message.got_some())
      return http::error::end_of_stream;
    ErrorCode ec;
    Message.put_eof(ec);
    return ec;
  }

private:
  const size_t MaxHeadBytes;
  size_t HeadBytes = 0;
  size_t ExtraBytes = 0;   ///< See MaxChunkExtraBytes.
  bool AwaitsLine = false; ///< A part of a chunk's line was parsed.
  bool IsChunkLine = false;
  std::function<void(uint64_t, std::string_view, ErrorCode &)> OnChunkLine =
      [this](uint64_t, std::string_view, ErrorCode &) { IsChunkLine = true; };
  Parser Message;
};

} // namespace daisytack::net
