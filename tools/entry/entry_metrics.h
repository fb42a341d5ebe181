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
  void countAnswer(ErrorKind kind) {
    Answers[static_cast<size_t>(kind)]->add();
  }
  /// A prompt's answer was whole; counts the measures of its model and class.
  void countServed(const wire::Offer &offer, const AnswerSummary &summary);

  Counter &Received;
  Counter &Offers;
  Counter &Retries;
  Counter &Resumes;
  Counter &CallersDisconnected;
  Counter &UnmatchedMessages; ///< Messages that named no attempt waited for.
  Counter &PeersRejected;
  Gauge &InFlight;
  Distribution &FirstToken;
  Distribution &AnswerDuration;

private:
  ServingMetrics Serving;
  static constexpr size_t KindCount =
      static_cast<size_t>(ErrorKind::Internal) + 1;
  std::array<Counter *, KindCount> Answers{};
};

} // namespace daisytack::entry
