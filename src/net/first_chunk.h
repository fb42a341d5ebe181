/// How many bytes of a chunked body the parser must be given at first.
#pragma once

#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>

namespace daisytack::net {

/// Bytes of the shortest chunked body, "0", CR, LF, CR, LF. Boost.Beast 1.81
/// asserts that as many are there when it parses the line of the last chunk
/// again, and gets four if the body is empty, its line was parsed alone, and a
/// single byte follows. Given five at first, it never gets fewer: a chunk
/// before the last one leaves its line end with the next line.
constexpr size_t MinChunkedBodyBytes = 5;

/// Whether more input is needed before the body is parsed.
template <bool IsRequest>
bool needsMoreForFirstChunk(
    const boost::beast::http::basic_parser<IsRequest> &parser,
    size_t unparsed) {
  return !parser.is_done() && parser.chunked() &&
         unparsed < MinChunkedBodyBytes;
}

} // namespace daisytack::net
