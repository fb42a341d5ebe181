#include "entry_metrics.h"

namespace daisytack::entry {

EntryMetrics::EntryMetrics(Metrics &metrics)
    : Received(metrics.counter("daisytack_entry_requests_total",
                               "Requests of callers that were understood.")),
      Offers(metrics.counter("daisytack_entry_offers_total",
                             "Offers made to agents.")),
      Retries(metrics.counter("daisytack_entry_retries_total",
                              "Offers after the first one of a request.")),
      Resumes(metrics.counter("daisytack_entry_resumes_total",
                              "Answers taken up again in the middle.")),
      CallersDisconnected(metrics.counter("daisytack_entry_callers_gone_total",
                                          "Callers that left before the end.")),
      UnmatchedMessages(
          metrics.counter("daisytack_entry_stray_messages_total",
                          "Messages that named no attempt waited for.")),
      PeersRejected(metrics.counter("daisytack_entry_peers_rejected_total",
                                    "Agents' bytes that were no message.")),
      InFlight(metrics.gauge("daisytack_entry_requests_in_flight",
                             "Requests without a final answer.")),
      FirstToken(
          metrics.distribution("daisytack_entry_first_token_seconds",
                               "From arrival to the first part of an answer.",
                               Distribution::Unit::Seconds)),
      AnswerDuration(
          metrics.distribution("daisytack_entry_answer_seconds",
                               "From arrival to the end of an answer.",
                               Distribution::Unit::Seconds)),
      Serving(metrics) {
  for (size_t i = 0; i < KindCount; ++i) {
    auto kind = static_cast<ErrorKind>(i);
    std::string name(kind == ErrorKind::None ? "whole" : errorName(kind));
    Answers[i] = &metrics.counter("daisytack_entry_answers_total",
                                  "Final answers by kind.", {{"kind", name}});
  }
}

void EntryMetrics::countServed(const wire::Offer &offer,
                               const AnswerSummary &summary) {
  ServingSeries series = Serving.of(offer.Model, offer.Class);
  series.FirstToken.observe(summary.FirstToken);
  series.PromptTokens.add(summary.PromptTokens);
  series.RecomputedTokens.add(summary.RecomputedTokens);
}

} // namespace daisytack::entry
