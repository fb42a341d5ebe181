/// Which start of a backend server is meant.
///
/// A server may start again under the id that it had, and then holds and knows
/// nothing of before. So whatever is believed of a server is believed of one of
/// its starts: loads, failures, orders and weights of another one never count
/// for it, however late they are heard of.
///
/// The time of the start only tells starts apart. Which one is in force is said
/// by the order of the records alone: a clock that was set back would otherwise
/// keep a server out of use for good.
#pragma once

#include "direct/rendezvous.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace daisytack::direct {

/// One start of a server, as entries tell one another.
struct ServerStart {
  std::string Id;
  uint64_t StartedMs = 0; ///< Unix time by the server's clock, in ms.
  auto operator<=>(const ServerStart &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Id, StartedMs); }
};

/// The same for the time of a call, without a copy of the id.
struct ServerRef {
  std::string_view Id;
  uint64_t StartedMs = 0;

  ServerRef(std::string_view id, uint64_t startedMs = 0)
      : Id(id), StartedMs(startedMs) {}
  ServerRef(const char *id) : Id(id) {}
  ServerRef(const std::string &id) : Id(id) {}
  ServerRef(const ServerStart &start)
      : Id(start.Id), StartedMs(start.StartedMs) {}

  /// The same in every process; differs between two starts.
  uint64_t key() const { return stableHash(Id, StartedMs); }
  ServerStart start() const { return {std::string(Id), StartedMs}; }
};

} // namespace daisytack::direct
