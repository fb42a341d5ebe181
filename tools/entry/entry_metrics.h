/// Counters of an entry, looked up once.
#pragma once

#include "base/metrics.h"
#include "base/standard_metrics.h"
#include "daisytack/error.h"
#include "serve/request_messages.h"

#include <array>

namespace daisytack::entry {

class EntryMetrics {
public:
  explicit EntryMetrics(Metrics &metrics);

  /// A request got its final answer: None when it was whole.
  void answered(ErrorKind kind) { Answers[static_cast<size_t>(kind)]->add(); }
  /// A prompt's answer was whole; counts the measures of its model and class.
  void served(const wire::Offer &offer, const AnswerSummary &summary);

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
  ServingMetrics Serving;
  static constexpr size_t Kinds = static_cast<size_t>(ErrorKind::Internal) + 1;
  std::array<Counter *, Kinds> Answers{};
};

} // namespace daisytack::entry
