/// Turns one HTTP request of an authenticated caller into what its flow is to
/// pursue.
#pragma once

#include "entry_state.h"
#include "net/http_server.h"

#include <optional>

namespace daisytack::entry {

/// What a path on the callers' address stands for.
enum class CallerRoute : uint8_t {
  Unknown,
  Completions,
  Chat,
  Service,
  Tickets
};

CallerRoute routeOf(std::string_view path);

/// For one request under one snapshot.
struct CallerRequestParser {
  EntryState &State;
  const Snapshot &Config;
  const Organisation &Caller;

  std::optional<RequestSpec> parse(const net::HttpRequest &request,
                                   const RequestId &id, TimePoint arrived,
                                   Error &reason) const;

private:
  std::optional<RequestSpec> parseResume(const net::HttpRequest &request,
                                         TimePoint arrived,
                                         Error &reason) const;
};

} // namespace daisytack::entry
