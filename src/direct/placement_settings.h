/// Settings of placement, shared by all its modules.
#pragma once

#include "admission/queue_limit.h"
#include "daisytack/types.h"

#include <cstddef>
#include <cstdint>

namespace daisytack::direct {

struct PlacementSettings {
  /// Time until the first token, in milliseconds, that remains on an idle
  /// server when nothing has to be prefilled.
  double MinFirstTokenMs = 50;
  /// Number of servers that the prompts of one session may go to: the first in
  /// rendezvous order over all failure domains. Further servers with current
  /// weights are added until there are CurrentCandidates of them. Every entry
  /// uses the same servers: with a home server in each entry's own domain,
  /// several servers would hold the same session's context in memory. Only a
  /// few, because many entries that all chose the least loaded of all servers
  /// by outdated loads would overload that server.
  size_t SessionCandidates = 3;
  size_t CurrentCandidates = 3;
  /// Number of further servers, different for each request, that are considered
  /// when the session's servers are too busy. If half of a fleet is busy, four
  /// servers include a free one in 15 of 16 cases.
  size_t SpareCandidates = 4;
  /// Weight of a fetched token in a server's queue, relative to a token that
  /// has to be prefilled. At full weight, prompts would be refused that only
  /// have to wait for a link.
  double FetchedWeight = 0.5;
  /// Share of a server's memory that the prompts of its running requests may
  /// fill. A prompt beyond it goes to a spare server or is refused. Running
  /// prompts evict kept context from memory, which then has to be fetched or
  /// computed again, so that prompts run longer and fill even more memory.
  double MemoryShare = 0.85;
  /// Cost of each request that runs on a server, in milliseconds, as it slows
  /// down all requests there.
  double RunningMs = 0.5;
  /// Cost of a server in another failure domain, in milliseconds, for the
  /// price of traffic between domains. Small compared with the prefill of a
  /// long prompt, so that a session keeps one home server; large enough to keep
  /// short prompts in the entry's own domain.
  double OtherDomainMs = 30;
  /// The costs of another failure domain and of each running request, in
  /// milliseconds, for calls without a prompt, which are small and short.
  double CallOtherDomainMs = 40;
  double CallRunningMs = 15;
  /// Cost, in milliseconds, of a server whose weights have been outdated for
  /// longer than the grace. Limited, so that the first servers with new
  /// weights, which have to prefill all context again, do not get more prompts
  /// than they can prefill in time. No request may begin on weights that have
  /// been outdated for OldWeightsLimit, the rollout limit.
  double OldWeightsMs = 150;
  Duration OldWeightsGrace{1'200'000};
  Duration OldWeightsLimit{11'000'000};
  /// Factor on the predicted wait of a request, which counts towards
  /// OldWeightsLimit: where servers were lost, first bytes arrive later than
  /// predicted.
  double OldWeightsWaitFactor = 2;
  /// Usual duration of a load of weights, including the runs that finish before
  /// it.
  Duration UsualLoadTime{2'200'000};
  /// Retry-After while a load takes longer than that.
  Duration OverdueLoadRetry{250'000};
  /// A prompt is refused when even the best server is predicted to begin its
  /// answer only after this share of the time that the caller will wait:
  /// prefilling it would delay other requests for nothing.
  double PatienceShare = 0.9;
  /// Limit on the queue at the best server; a prompt beyond it is refused.
  admission::QueueLimitSettings Queue;
  /// Retry-After, as a share of the target latency, for callers refused because
  /// of a queue or of memory. A retry after this time can still be answered
  /// within the target. The delay is longer only if the queue is known to last
  /// longer. Capacity becomes free whenever a prompt ends, some ten times per
  /// second on each server.
  double OverloadRetryShare = 0.3;
  /// Share of the target latency that the prefill of a prompt and its fetches
  /// may take together; the fetch budget is what the prefill leaves of it, but
  /// at least the time that computing the shared parts would take. Once the
  /// delay of a congested link exceeds half of the budget, a growing share of
  /// requests computes the parts instead, so that the link's queue shrinks and
  /// answers are in time. With a much smaller share, normal waits would be
  /// treated as congestion.
  double FetchShare = 0.75;
  /// Minimum time, in milliseconds, before a fetch is aborted, even if it
  /// delays its own request: an aborted fetch has used its link for nothing.
  double MinFetchMs = 2000;
  /// Minimum time, in milliseconds, for which a store's parts must remain
  /// readable when a fetch from it is ordered. A fetch that ends later has used
  /// its link for nothing.
  double MinFetchLeaseMs = 500;
  /// Share of requests that keep fetching over even the most congested link, so
  /// that its recovery is noticed.
  double ProbeShare = 0.1;
  /// Parts with fewer tokens are not saved, as a transfer of their own is not
  /// worth its cost.
  uint32_t MinPartTokens = 64;
  bool operator==(const PlacementSettings &) const = default;
};

} // namespace daisytack::direct
