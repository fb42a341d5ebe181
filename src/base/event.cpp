#include "daisytack/event.h"

#include <algorithm>
#include <array>

namespace daisytack {

namespace {

// In the order of EventKind.
constexpr std::array<std::string_view, 52> Names{
    "process_started",  "process_ready",    "process_draining",
    "process_stopped",  "request_received", "request_refused",
    "request_routed",   "request_offered",  "offer_accepted",
    "offer_refused",    "run_queued",       "context_planned",
    "fetch_started",    "fetch_finished",   "piece_rejected",
    "piece_exported",   "piece_evicted",    "run_started",
    "first_token",      "run_finished",     "run_cancelled",
    "run_preempted",    "attempt_lost",     "request_retried",
    "stream_resumed",   "answer_held",      "answer_released",
    "request_answered", "ticket_issued",    "ticket_recorded",
    "ticket_refused",   "limit_granted",    "limit_refused",
    "server_ejected",   "server_returned",  "member_changed",
    "config_applied",   "command_proposed", "command_applied",
    "command_conflict", "command_unknown",  "service_lost",
    "service_back",     "lease_taken",      "lease_lost",
    "order_sent",       "order_refused",    "load_started",
    "load_finished",    "cache_gap",        "peer_rejected",
    "command_refused",
};

static_assert(Names.size() ==
              static_cast<size_t>(EventKind::CommandRefused) + 1);

} // namespace

std::string_view eventName(EventKind kind) {
  auto i = static_cast<size_t>(kind);
  return i < Names.size() ? Names[i] : "unknown";
}

std::optional<EventKind> parseEventKind(std::string_view name) {
  const auto *it = std::find(Names.begin(), Names.end(), name);
  if (it == Names.end())
    return std::nullopt;
  return static_cast<EventKind>(it - Names.begin());
}

} // namespace daisytack
