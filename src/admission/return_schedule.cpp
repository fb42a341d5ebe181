#include "admission/return_schedule.h"

#include "base/duration.h"
#include "direct/rendezvous.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace daisytack::admission {

namespace {

/// How often the tickets are gone through; requests in between use the sums.
constexpr Duration RefreshInterval{20'000};

uint32_t serviceKey(std::string_view service) {
  return static_cast<uint32_t>(direct::stableHash(service));
}

uint64_t ticketKey(uint32_t service, uint32_t content) {
  return uint64_t{service} << 32 | content;
}

} // namespace

Duration returnDelay(const ReturnSettings &settings,
                     const RefusedCaller &caller) {
  Duration least = scaled(caller.Target, settings.MinDelayShare);
  Duration start = std::max(least, caller.Earliest);
  Duration latest = scaled(caller.TimeLeft, settings.MaxWaitShare);
  Duration inTarget = scaled(caller.Target, settings.MaxDelayShare);
  // Only if that leaves callers room to spread.
  if (start + least / 2 <= inTarget)
    latest = std::min(latest, inTarget);
  Duration range =
      scaled(std::min(caller.Target, least + caller.Shortage), settings.Spread);
  if (start + range > latest) {
    range = std::min(range, std::max(latest - start, latest / 4));
    start = latest - range;
  }
  // A caller without time left is told the least delay: it may have more
  // patience than its deadline says.
  return std::max(start + scaled(range, caller.Position),
                  std::min(least, latest > Duration::zero() ? latest : least));
}

bool ReturnSchedule::add(uint64_t key, const Ticket &ticket) {
  if (Pending.size() >= Settings.MaxTickets && !Pending.contains(key))
    return false;
  Pending[key] = ticket;
  Count.store(Pending.size(), std::memory_order_relaxed);
  return true;
}

ReturnSchedule::Tickets::iterator ReturnSchedule::remove(Tickets::iterator it) {
  auto next = Pending.erase(it);
  Count.store(Pending.size(), std::memory_order_relaxed);
  return next;
}

void ReturnSchedule::refresh(TimePoint now) {
  if (now < RefreshedAt + RefreshInterval)
    return;
  RefreshedAt = now;
  DueTokens.clear();
  for (auto it = Pending.begin(); it != Pending.end();) {
    const Ticket &ticket = it->second;
    bool hasExpired = now >= ticket.DueAt + Settings.Grace;
    bool isOpen = !ticket.IsUsed;
    Totals.Expired += hasExpired && isOpen && ticket.IsOwn ? 1 : 0;
    if (isOpen && now >= ticket.DueAt &&
        now < ticket.DueAt + Settings.ReservedTime)
      DueTokens[ticket.Service] += ticket.Tokens;
    it = hasExpired ? remove(it) : std::next(it);
  }
}

void ReturnSchedule::onRefused(std::string_view service, uint32_t content,
                               uint64_t tokens, Duration delay, TimePoint now) {
  if (!Settings.UsesTickets)
    return;
  auto shortTokens = static_cast<uint32_t>(
      std::min<uint64_t>(tokens, std::numeric_limits<uint32_t>::max()));
  uint32_t key = serviceKey(service);
  std::lock_guard guard(Lock);
  refresh(now);
  if (add(ticketKey(key, content),
          {key, shortTokens, now + delay, true, false, 0}))
    ++Totals.Issued;
}

void ReturnSchedule::onPeerTickets(const ReturnTickets &tickets,
                                   TimePoint now) {
  if (!Settings.UsesTickets)
    return;
  std::lock_guard guard(Lock);
  refresh(now);
  for (const ReturnTicket &it : tickets.Tickets) {
    uint64_t key = ticketKey(it.Service, it.Content);
    if (!Pending.contains(key))
      add(key, {it.Service, it.Tokens, now + Duration(int64_t{it.DueMs} * 1000),
                false, false, 0});
  }
}

bool ReturnSchedule::takeReturn(std::string_view service, uint32_t content,
                                TimePoint now) {
  std::lock_guard guard(Lock);
  auto it = Pending.find(ticketKey(serviceKey(service), content));
  if (it == Pending.end() || std::exchange(it->second.IsUsed, true))
    return false;
  TimePoint dueAt = it->second.DueAt;
  bool isEarly = now + Settings.EarlyTolerance < dueAt;
  bool isDue = !isEarly && now < dueAt + Settings.Grace;
  Totals.Early += isEarly ? 1 : 0;
  Totals.Used += isDue ? 1 : 0;
  return isDue;
}

uint64_t ReturnSchedule::dueTokens(std::string_view service, TimePoint now) {
  std::lock_guard guard(Lock);
  refresh(now);
  auto it = DueTokens.find(serviceKey(service));
  return it == DueTokens.end() ? 0 : it->second;
}

ReturnTickets ReturnSchedule::takeReport(size_t rounds, TimePoint now) {
  constexpr int64_t MaxDueMs = std::numeric_limits<uint16_t>::max();
  ReturnTickets out;
  if (isEmpty())
    return out;
  std::lock_guard guard(Lock);
  for (auto &[key, it] : Pending) {
    if (out.Tickets.size() >= Settings.MaxReported)
      break;
    if (!it.IsOwn || it.IsUsed || it.Reports >= rounds ||
        now >= it.DueAt + Settings.Grace)
      continue;
    ++it.Reports;
    int64_t dueMs = std::max<int64_t>(0, (it.DueAt - now).count() / 1000);
    out.Tickets.push_back({it.Service, static_cast<uint32_t>(key), it.Tokens,
                           static_cast<uint16_t>(std::min(dueMs, MaxDueMs))});
  }
  return out;
}

ReturnCounts ReturnSchedule::counts() const {
  std::lock_guard guard(Lock);
  return Totals;
}

void ReturnSchedule::onTimer(TimePoint now) {
  if (isEmpty())
    return;
  std::lock_guard guard(Lock);
  refresh(now);
}

} // namespace daisytack::admission
