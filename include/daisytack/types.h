/// Vocabulary types: time, identifiers and typed handles.
#pragma once

#include "daisytack/limits.h"

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace daisytack {

/// Durations are whole microseconds everywhere.
using Duration = std::chrono::microseconds;

/// Tag type of monotonic time. It has no now(): decision code receives the
/// current time as an argument.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock>;
};

/// Tag type of wall-clock time since the Unix epoch; used only for release
/// times and the timeline.
struct CalendarClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<CalendarClock>;
};

using TimePoint = MonotonicClock::time_point;
using WallTime = CalendarClock::time_point;

/// Index into a table of one snapshot. Valid only for that snapshot.
template <class Tag> struct Handle {
  static constexpr uint32_t Invalid = UINT32_MAX;
  uint32_t Index = Invalid;

  constexpr bool isValid() const { return Index != Invalid; }
  auto operator<=>(const Handle &) const = default;
};

using OrganisationHandle = Handle<struct OrganisationTag>;
using ModelHandle = Handle<struct ModelTag>;
using ClassHandle = Handle<struct ClassTag>;
using ServerHandle = Handle<struct ServerTag>;

/// 128-bit identifier. Zero is the invalid value.
struct Id128 {
  uint64_t Hi = 0;
  uint64_t Lo = 0;

  constexpr bool isValid() const { return Hi != 0 || Lo != 0; }
  auto operator<=>(const Id128 &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Hi, Lo); }
};

/// 32 lower-case hexadecimal digits.
std::string toHex(const Id128 &id);
/// Inverse of toHex; nullopt when the text is not exactly 32 hexadecimal
/// digits.
std::optional<Id128> parseId128(std::string_view text);

/// Identifies one request of a caller across all its attempts and processes.
using RequestId = Id128;
/// Random identifier that a process creates at its start; distinguishes the
/// process from a successor at the same address.
using Incarnation = Id128;

/// Number of an attempt at a request, starting at 1; 0 is invalid.
using Attempt = uint32_t;

/// Key of one piece of kept context: a keyed cryptographic hash, see
/// src/context/piece_key.h.
struct PieceKey {
  std::array<uint8_t, 32> Bytes{};
  auto operator<=>(const PieceKey &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Bytes); }
};

/// 64 lower-case hexadecimal digits.
std::string toHex(const PieceKey &key);
/// Inverse of toHex; nullopt when the text is not exactly 64 hexadecimal
/// digits.
std::optional<PieceKey> parsePieceKey(std::string_view text);

/// IPv4 or IPv6 literal and port. Host names are not resolved.
struct Endpoint {
  std::string Address;
  uint16_t Port = 0;

  bool isValid() const { return !Address.empty() && Port != 0; }
  auto operator<=>(const Endpoint &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Address, Port); }
};

/// "address:port", with brackets around an IPv6 literal.
std::string toString(const Endpoint &endpoint);
/// Inverse of toString; nullopt unless the text has an address literal and a
/// port in 1..65535.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// Returns 64 random bits. Tests pass a seeded generator.
using RandomSource = std::function<uint64_t()>;

} // namespace daisytack

template <> struct std::hash<daisytack::Id128> {
  size_t operator()(const daisytack::Id128 &id) const noexcept {
    return id.Hi ^ (id.Lo * 0x9E3779B97F4A7C15ULL);
  }
};
template <> struct std::hash<daisytack::PieceKey> {
  size_t operator()(const daisytack::PieceKey &key) const noexcept {
    size_t out = 0;
    for (size_t i = 0; i < sizeof(size_t); ++i)
      out = (out << 8U) | key.Bytes[i];
    return out;
  }
};
