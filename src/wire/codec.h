/// Bytes of messages: a version byte, a kind byte and the message's portable
/// cereal encoding.
#pragma once

#include "daisytack/error.h"
#include "daisytack/limits.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>

#include <istream>
#include <optional>
#include <ostream>
#include <streambuf>
#include <string>
#include <string_view>
#include <variant>

namespace daisytack::wire {

namespace detail {

/// Appends to a string without the copies of std::ostringstream.
class AppendBuffer : public std::streambuf {
public:
  explicit AppendBuffer(std::string &out) : Out(out) {}

protected:
  std::streamsize xsputn(const char *data, std::streamsize n) override {
    Out.append(data, static_cast<size_t>(n));
    return n;
  }
  int_type overflow(int_type c) override {
    if (c != traits_type::eof())
      Out.push_back(static_cast<char>(c));
    return c;
  }

private:
  std::string &Out;
};

/// Reads a view in place.
class ViewBuffer : public std::streambuf {
public:
  explicit ViewBuffer(std::string_view in) {
    char *begin = const_cast<char *>(in.data());
    setg(begin, begin, begin + in.size());
  }
  size_t left() const { return static_cast<size_t>(egptr() - gptr()); }
};

} // namespace detail

/// Encodes one alternative of a message variant.
template <class... Ts> std::string encode(const std::variant<Ts...> &message) {
  std::string out;
  out.push_back(static_cast<char>(ProtocolVersion));
  out.push_back(static_cast<char>(message.index()));
  detail::AppendBuffer buffer(out);
  std::ostream stream(&buffer);
  cereal::PortableBinaryOutputArchive archive(stream);
  std::visit([&](const auto &m) { archive(m); }, message);
  return out;
}

/// Sets the reason and returns nothing when the version, kind or bytes are not
/// a message of this variant.
template <class Variant>
std::optional<Variant> decode(std::string_view bytes, Error &reason);

} // namespace daisytack::wire

#include "wire/codec_decode.h"
