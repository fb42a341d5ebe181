/// When refused callers should return, and precedence for those that do.
///
/// A refusal for load tells the caller a time at which capacity is expected,
/// spread by a hash of the request so that callers that were refused together
/// don't return together. The entry keeps a ticket for the request's content
/// and passes it on to the other entries, as the caller mostly returns to
/// another one. A request whose ticket is due finds the capacity that others
/// were kept from. A ticket that is not used expires.
///
/// A caller that ignores the time gains nothing: its early return drops the
/// ticket and counts as a new request.
#pragma once

#include "daisytack/types.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace daisytack::admission {

struct ReturnSettings {
  /// Multiplies the range over which the times of return are spread; 0: none.
  double Spread = 1;
  /// Whether tickets are issued and honoured.
  bool UsesTickets = true;
  /// Earliest time of return, as a share of the target latency.
  double MinDelayShare = 0.3;
  /// Latest time of return, as a share of the target latency, after which an
  /// answer could hardly begin within the target.
  double MaxDelayShare = 0.6;
  /// Longest time of return, as a share of the time that the caller has left;
  /// callers don't wait longer.
  double MaxWaitShare = 1.0 / 3;
  /// How early a return counts as due: clocks and links differ.
  Duration EarlyTolerance{20'000};
  /// How long a ticket that is due is honoured.
  Duration Grace{500'000};
  /// How long capacity is reserved for it. Shorter, as other entries don't
  /// learn that it was used, and most callers return within some ten
  /// milliseconds.
  Duration ReservedTime{150'000};
  /// Largest share of a limit that is kept for tickets.
  double MaxReservedShare = 0.25;
  /// Maximum number of tickets; further refusals get none.
  size_t MaxTickets = 4096;
  /// Maximum number of tickets in one message.
  size_t MaxReported = 24;
  bool operator==(const ReturnSettings &) const = default;
};

/// What decides when a refused caller should return.
struct RefusedCaller {
  Duration Target{0};   ///< Target latency of the route; 0: none.
  Duration TimeLeft{0}; ///< Until the caller gives up.
  Duration Earliest{0}; ///< When the queue is expected to be short enough.
  Duration Shortage{0}; ///< How long the shortage has lasted.
  double Position = 0;  ///< Place of the request in the spread, from 0 to 1.
  bool operator==(const RefusedCaller &) const = default;
};

/// Delay after which the caller should return.
Duration returnDelay(const ReturnSettings &settings,
                     const RefusedCaller &caller);

/// A refused request that is to return, as passed on between entries.
struct ReturnTicket {
  uint32_t Service = 0; ///< Low half of stableHash(name).
  uint32_t Content = 0; ///< Hash of the request without its id.
  uint32_t Tokens = 0;  ///< Of its prompt.
  uint16_t DueMs = 0;   ///< Milliseconds from sending until it is due.
  auto operator<=>(const ReturnTicket &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Service, Content, Tokens, DueMs);
  }
};

/// Tickets that the sender issued. Sent as a datagram while requests are
/// refused.
struct ReturnTickets {
  std::vector<ReturnTicket> Tickets;
  bool operator==(const ReturnTickets &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Tickets); }
};

/// Totals since the start of the process.
struct ReturnCounts {
  uint64_t Issued = 0;
  uint64_t Used = 0;
  uint64_t Early = 0; ///< Returned before they were due.
  uint64_t Expired = 0;
  auto operator<=>(const ReturnCounts &) const = default;
};

/// Thread-safe.
class ReturnSchedule {
public:
  explicit ReturnSchedule(ReturnSettings settings) : Settings(settings) {}

  const ReturnSettings &settings() const { return Settings; }
  /// Whether there are no tickets, so that a request's content need not be
  /// hashed. An atomic read.
  bool isEmpty() const { return Count.load(std::memory_order_relaxed) == 0; }

  /// The request was told to return after the delay.
  void onRefused(std::string_view service, uint32_t content, uint64_t tokens,
                 Duration delay, TimePoint now);
  /// Adds tickets that another entry issued.
  void onPeerTickets(const ReturnTickets &tickets, TimePoint now);
  /// Whether a new request is a return that is due. Its ticket is used up, also
  /// when it is early.
  bool takeReturn(std::string_view service, uint32_t content, TimePoint now);
  /// Prompt tokens of the service's tickets that are due.
  uint64_t dueTokens(std::string_view service, TimePoint now);
  /// Tickets of this entry for the next message. Each is passed on in `rounds`
  /// messages, as every message reaches only some of the entries.
  ReturnTickets takeReport(size_t rounds, TimePoint now);
  ReturnCounts counts() const;
  /// Drops expired tickets.
  void onTimer(TimePoint now);

private:
  struct Ticket {
    uint32_t Service = 0;
    uint32_t Tokens = 0;
    TimePoint DueAt;
    bool IsOwn = false;
    /// The caller has returned. Kept until it expires, as messages may repeat
    /// the ticket.
    bool IsUsed = false;
    size_t Reports = 0; ///< Messages that it was passed on in.
  };
  using Tickets = std::unordered_map<uint64_t, Ticket>;

  /// Whether there was room for the ticket.
  bool add(uint64_t key, const Ticket &ticket);
  Tickets::iterator remove(Tickets::iterator it);
  /// Drops expired tickets and sums up those that are due.
  void refresh(TimePoint now);

  const ReturnSettings Settings;
  std::atomic<size_t> Count{0};
  mutable std::mutex Lock;
  Tickets Pending; ///< By service and content.
  ReturnCounts Totals;
  std::unordered_map<uint32_t, uint64_t> DueTokens; ///< By service.
  TimePoint RefreshedAt; ///< When refresh() ran last.
};

} // namespace daisytack::admission
