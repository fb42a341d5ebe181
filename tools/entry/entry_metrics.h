/// Counters of an entry, looked up once.
#pragma once

#include "base/metrics.h"
#include "daisytack/error.h"

#include <array>

namespace daisytack::entry {

class EntryMetrics {
public:
  explicit EntryMetrics(Metrics &metrics);

  /// A request got its final answer: None when it was whole.
  void answered(ErrorKind kind) { Answers[static_cast<size_t>(kind)]->add(); }

  Counter &Received;
  Counter &Offers;
  Counter &Retries;
  Counter &Resumes;
  Counter &CallersGone;
  Counter &Stray; ///< Messages that named no attempt waited for.
  Counter &PeersRejected;
  Gauge &InFlight;
  Distribution &FirstToken;
  Distribution &Whole;

private:
  static constexpr size_t Kinds = static_cast<size_t>(ErrorKind::Internal) + 1;
  std::array<Counter *, Kinds> Answers{};
};

} // namespace daisytack::entry
