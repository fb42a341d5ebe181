/// Identifies one start of a backend server.
///
/// A server may restart under the same id and then has lost its earlier state.
/// Loads, failures, orders and weights are therefore tracked per start: reports
/// on another start never affect the current one, however late they arrive.
///
/// The start time only distinguishes starts. The newest record decides which
/// start is current; comparing start times would keep a server out of use
/// permanently if its clock were set to an earlier time.
#pragma once

#include "direct/rendezvous.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace daisytack::direct {

/// One start of a server, as sent between entries.
struct ServerStart {
  std::string Id;
  /// Start time by the server's clock, Unix time in milliseconds; 0: not known.
  uint64_t StartedMs = 0;
  auto operator<=>(const ServerStart &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Id, StartedMs); }
};

/// A non-owning ServerStart, for function arguments.
struct ServerRef {
  std::string_view Id;
  uint64_t StartedMs = 0;

  ServerRef(std::string_view id, uint64_t startedMs = 0)
      : Id(id), StartedMs(startedMs) {}
  ServerRef(const char *id) : Id(id) {}
  ServerRef(const std::string &id) : Id(id) {}
  ServerRef(const ServerStart &start)
      : Id(start.Id), StartedMs(start.StartedMs) {}

  /// Hash of the start that is the same in every process.
  uint64_t key() const { return stableHash(Id, StartedMs); }
  ServerStart start() const { return {std::string(Id), StartedMs}; }
};

} // namespace daisytack::direct
