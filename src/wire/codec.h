/// Encoding of messages: a version byte, a kind byte, and the fields of the
/// message in cereal's binary form, little-endian.
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

/// Decodes a message of the variant. Returns nothing and sets the reason if the
/// version, the kind or the fields are not valid for it.
template <class Variant>
std::optional<Variant> decode(std::string_view bytes, Error &reason);

} // namespace daisytack::wire

#include "wire/codec_decode.h"
