/// Settings of the choice of a backend server, for all its parts.
#pragma once

#include "daisytack/types.h"

#include <cstddef>
#include <cstdint>

namespace daisytack::direct {

struct PlacementSettings {
  /// Least time until a first token, without reading and queues.
  double MinFirstTokenMs = 50;
  /// Servers that one session's prompts may go to, the first by rendezvous over
  /// all failure domains, and so many with the wanted weights. The same ones
  /// for every entry: a home in each entry's own domain would hold each
  /// session's context in several servers' memory. Few, as many entries that
  /// all sought the least loaded server on old loads would meet there.
  size_t SessionCandidates = 3;
  size_t CurrentCandidates = 3;
  /// Further servers, other ones for each request, that are asked when the
  /// session's own are too busy; four find a free one of a fleet that is half
  /// busy in 15 of 16 cases, by arithmetic.
  size_t SpareCandidates = 4;
  /// What a token that is fetched counts in a queue, against one that is read.
  /// Weighed in full it has prompts refused that would only wait for a link.
  double FetchedWeight = 0.5;
  /// Share of a server's memory that the prompts of its running requests may
  /// fill; a prompt beyond it goes to a spare server or is refused. Kept
  /// context gives way to running prompts, and what was evicted is fetched or
  /// read again, so that prompts run longer and fill more.
  double MemoryShare = 0.85;
  /// Of one running request on a server, as the pace of all slows down.
  double RunningMs = 0.5;
  /// A server of another failure domain costs so much more: what bytes between
  /// domains cost, as time. Small beside the reading of a long prompt, so that
  /// its session has one home; enough to keep short ones near.
  double OtherDomainMs = 30;
  /// The same for calls without a prompt, which are small and short.
  double CallOtherDomainMs = 40;
  double CallRunningMs = 15;
  /// A server on weights that are older than wanted costs so much more, from
  /// the grace on. Not so much that the first servers with new weights, which
  /// have all context to read anew, are asked for more than they can read in
  /// time. Past the limit it is used only if there is no other.
  double OldWeightsMs = 150;
  Duration OldWeightsGrace{1'200'000};
  Duration OldWeightsLimit{11'000'000};
  /// The predicted wait counts so many times towards the limit: first bytes
  /// come later than predicted where servers were lost.
  double OldWeightsWaitFactor = 2;
  /// Of the predicted wait counts so much at most towards the limit: a caller
  /// that waits longer has left, and its request never begins.
  Duration OldWeightsWait{3'200'000};
  /// A prompt is refused when even the best server is predicted to begin its
  /// answer only after this share of the time that its caller will wait, since
  /// reading it would delay others in vain.
  double PatienceShare = 0.9;
  /// A prompt is also refused when what waits at the best server takes longer
  /// to read than this share of the tightest target of the service's routes,
  /// longer by a factor for the most urgent, who overtake it; 0: no limit.
  /// Beyond it queues feed themselves: fetches come too late, memory runs out,
  /// and both have prompts read again.
  double QueueShare = 0.6;
  double UrgentQueueFactor = 1.5;
  /// When a caller refused for that, or for memory, is told to come back: this
  /// share of its target after now, so that it can still be answered within it,
  /// and later only where the queue is known to last longer. Room comes free
  /// with each prompt that ends, some ten times a second at each server.
  double OverloadRetryShare = 0.3;
  /// Share of the target latency that the reading of a prompt and its fetches
  /// may take up together. From half of what reading leaves on, but never
  /// before reading the parts would take as long, fetches from a congested link
  /// are given up for reading, so that its queue shrinks and the answer is in
  /// time. A much smaller share takes usual waits for congestion.
  double FetchShare = 0.75;
  /// A fetch is given up after this at the soonest, however it delays its own
  /// request: one that is cut short has kept its link busy in vain.
  double MinFetchMs = 2000;
  /// Requests that go on fetching from the most congested link, so that its
  /// recovery is seen.
  double ProbeShare = 0.1;
  /// Parts with fewer tokens are not worth a transfer of their own.
  uint32_t MinPartTokens = 64;
  bool operator==(const PlacementSettings &) const = default;
};

} // namespace daisytack::direct
