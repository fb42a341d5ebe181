/// Bytes of messages: a version byte, a kind byte and the message's fields in
/// cereal's binary form, little-endian.
#pragma once

#include "daisytack/error.h"
#include "daisytack/limits.h"
#include "wire/archive.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace daisytack::wire {

/// Encodes one alternative of a message variant.
template <class... Ts> std::string encode(const std::variant<Ts...> &message) {
  std::string out;
  out.push_back(static_cast<char>(ProtocolVersion));
  out.push_back(static_cast<char>(message.index()));
  OutputArchive archive(out);
  std::visit([&](const auto &m) { archive(m); }, message);
  return out;
}

/// Sets the reason and returns nothing when the version, kind or bytes are not
/// a message of this variant.
template <class Variant>
std::optional<Variant> decode(std::string_view bytes, Error &reason);

} // namespace daisytack::wire

#include "wire/codec_decode.h"
