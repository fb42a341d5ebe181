/// Converts an HTTP request of an authenticated caller to a RequestSpec.
#pragma once

#include "entry_state.h"
#include "net/http_server.h"

#include <optional>

namespace daisytack::entry {

/// Endpoint of the callers' API that a path belongs to.
enum class CallerRoute : uint8_t {
  Unknown,
  Completions,
  Chat,
  Service,
  Tickets
};

CallerRoute routeOf(std::string_view path);

/// Parses one request against one snapshot.
struct CallerRequestParser {
  EntryState &State;
  const Snapshot &Config;
  const Organisation &Caller;

  /// Returns std::nullopt with the error in `reason` if the request is invalid.
  std::optional<RequestSpec> parse(const net::HttpRequest &request,
                                   const RequestId &id, TimePoint arrived,
                                   Error &reason) const;

private:
  /// Parses a request that resumes an interrupted stream at Last-Event-ID.
  std::optional<RequestSpec> parseResume(const net::HttpRequest &request,
                                         TimePoint arrived,
                                         Error &reason) const;
};

} // namespace daisytack::entry
