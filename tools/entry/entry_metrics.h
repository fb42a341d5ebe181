/// Metrics of an entry. All but the series by model and class are looked up in
/// the registry once, at construction.
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

  /// Counts the final answer of a request; ErrorKind::None if it succeeded.
  void countAnswer(ErrorKind kind) {
    Answers[static_cast<size_t>(kind)]->add();
  }
  /// Counts a complete answer to a prompt in the series of its model and class.
  void countServed(const wire::Offer &offer, const AnswerSummary &summary);

  Counter &Received;
  Counter &Offers;
  Counter &Retries;
  Counter &Resumes;
  Counter &CallersDisconnected;
  Counter &UnmatchedMessages; ///< Messages for no open attempt.
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
