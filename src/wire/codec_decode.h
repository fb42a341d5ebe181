/// Implementation of wire::decode.
#pragma once

#include <array>
#include <utility>

namespace daisytack::wire {

namespace detail {

template <class Variant, size_t I>
bool decodeAlternative(std::string_view payload, Variant &out) {
  InputArchive archive(payload);
  std::variant_alternative_t<I, Variant> message;
  archive(message);
  if (archive.left() != 0)
    return false;
  out = std::move(message);
  return true;
}

template <class Variant, size_t... Is>
bool decodeKind(size_t kind, std::string_view payload, Variant &out,
                std::index_sequence<Is...> /*indices*/) {
  using Decoder = bool (*)(std::string_view, Variant &);
  static constexpr std::array<Decoder, sizeof...(Is)> Decoders{
      &decodeAlternative<Variant, Is>...};
  return Decoders[kind](payload, out);
}

} // namespace detail

template <class Variant>
std::optional<Variant> decode(std::string_view bytes, Error &reason) {
  if (bytes.size() < 2 || bytes.size() > MaxFrameBytes) {
    reason = {ErrorKind::ProtocolError,
              "message of " + std::to_string(bytes.size()) + " bytes"};
    return std::nullopt;
  }
  if (static_cast<uint8_t>(bytes[0]) != ProtocolVersion) {
    reason = {ErrorKind::ProtocolError,
              "protocol version " +
                  std::to_string(static_cast<uint8_t>(bytes[0]))};
    return std::nullopt;
  }
  auto kind = static_cast<uint8_t>(bytes[1]);
  if (kind >= std::variant_size_v<Variant>) {
    reason = {ErrorKind::ProtocolError, "message kind " + std::to_string(kind)};
    return std::nullopt;
  }
  Variant out;
  try {
    if (detail::decodeKind(
            kind, bytes.substr(2), out,
            std::make_index_sequence<std::variant_size_v<Variant>>()))
      return out;
    reason = {ErrorKind::ProtocolError, "bytes after the end of the message"};
  } catch (const std::exception &e) {
    reason = {ErrorKind::ProtocolError, "message can't be decoded"};
  }
  return std::nullopt;
}

} // namespace daisytack::wire
