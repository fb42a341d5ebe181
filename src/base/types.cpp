#include "daisytack/types.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <span>

namespace daisytack {

namespace {

constexpr std::string_view HexDigits = "0123456789abcdef";

std::string hexOf(std::span<const uint8_t> bytes) {
  std::string out;
  out.reserve(bytes.size() * 2);
  for (uint8_t b : bytes) {
    out.push_back(HexDigits[b >> 4U]);
    out.push_back(HexDigits[b & 15U]);
  }
  return out;
}

bool parseHex(std::string_view text, std::span<uint8_t> out) {
  if (text.size() != out.size() * 2)
    return false;
  for (size_t i = 0; i < out.size(); ++i) {
    auto hi = HexDigits.find(text[2 * i]);
    auto lo = HexDigits.find(text[2 * i + 1]);
    if (hi == std::string_view::npos || lo == std::string_view::npos)
      return false;
    out[i] = static_cast<uint8_t>(hi << 4U | lo);
  }
  return true;
}

std::array<uint8_t, 16> bytesOf(const Id128 &id) {
  std::array<uint8_t, 16> out{};
  for (unsigned i = 0; i < 8; ++i) {
    out[i] = static_cast<uint8_t>(id.Hi >> (56U - 8U * i));
    out[8 + i] = static_cast<uint8_t>(id.Lo >> (56U - 8U * i));
  }
  return out;
}

} // namespace

std::string toHex(const Id128 &id) { return hexOf(bytesOf(id)); }

std::optional<Id128> parseId128(std::string_view text) {
  std::array<uint8_t, 16> bytes{};
  if (!parseHex(text, bytes))
    return std::nullopt;
  Id128 out;
  for (unsigned i = 0; i < 8; ++i) {
    out.Hi = out.Hi << 8U | bytes[i];
    out.Lo = out.Lo << 8U | bytes[8 + i];
  }
  return out;
}

std::string toHex(const PieceKey &key) { return hexOf(key.Bytes); }

std::optional<PieceKey> parsePieceKey(std::string_view text) {
  PieceKey out;
  if (!parseHex(text, out.Bytes))
    return std::nullopt;
  return out;
}

std::string toString(const Endpoint &endpoint) {
  std::string port = std::to_string(endpoint.Port);
  if (endpoint.Address.find(':') != std::string::npos)
    return "[" + endpoint.Address + "]:" + port;
  return endpoint.Address + ":" + port;
}

std::optional<Endpoint> parseEndpoint(std::string_view text) {
  auto colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  std::string_view host = text.substr(0, colon);
  std::string_view port = text.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    host = host.substr(1, host.size() - 2);
  Endpoint out{std::string(host), 0};
  auto [end, ec] =
      std::from_chars(port.data(), port.data() + port.size(), out.Port);
  if (ec != std::errc() || end != port.data() + port.size() || out.Port == 0)
    return std::nullopt;
  boost::system::error_code bad;
  boost::asio::ip::make_address(out.Address, bad);
  if (bad)
    return std::nullopt;
  return out;
}

} // namespace daisytack
