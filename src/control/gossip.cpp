#include "control/gossip.h"

#include "wire/codec.h"

#include <algorithm>
#include <utility>

namespace daisytack::control {

namespace {

/// Minimum interval between pulls, so that one gap is not pulled several times.
constexpr Duration PullInterval{200'000};
/// Maximum number of signals in one datagram. With names of usual length they
/// fit together with one configuration or member change.
constexpr size_t SignalsPerMessage = 8;
/// Maximum number of datagrams with signals in one answer.
constexpr size_t MaxSignalMessages = 4;
/// Time without a peer whose signals are equal, after which a process fetches
/// all signals by TCP: datagrams are too slow when very many are new.
constexpr Duration SignalsMismatchTimeout{5'000'000};
/// Maximum number of signals waiting to be sent. Anti-entropy spreads those
/// that exceed it.
constexpr size_t MaxPendingSignals = 1024;
/// Bytes added to a payload: 28 for IP and UDP, 44 for the seal.
constexpr size_t DatagramOverhead = 28 + 44;
constexpr double BurstSeconds = 4;
/// Share of the full byte budget that updates leave to digests and answers.
/// Without these, a process that missed an update could not catch up.
constexpr double AnswerReserveShare = 0.25;
/// A page ends after the entry that exceeds this number of bytes.
constexpr size_t PageBytes = 256U << 10;

using std::chrono::duration_cast;
using std::chrono::milliseconds;

uint32_t ageMillis(TimePoint since, TimePoint now) {
  if (since == NeverTime)
    return NeverMillis;
  auto age = duration_cast<milliseconds>(now - since).count();
  return static_cast<uint32_t>(
      std::clamp<int64_t>(age, 0, int64_t{NeverMillis} - 1));
}

TimePoint timeOfAge(uint32_t age, TimePoint now) {
  return age == NeverMillis ? NeverTime : now - milliseconds(age);
}

/// Splits a delta into consecutive parts of bounded size.
std::vector<ReplicaDelta> splitDelta(ReplicaDelta delta) {
  std::vector<ReplicaDelta> out;
  out.push_back({delta.From, delta.Through, {}});
  size_t bytes = 0;
  for (ReplicaEntry &entry : delta.Entries) {
    if (bytes > PageBytes) {
      out.push_back({delta.From, delta.Through, {}});
      bytes = 0;
    }
    bytes += entry.Key.size() + entry.Value.size();
    out.back().Entries.push_back(std::move(entry));
  }
  return out;
}

void joinDelta(std::optional<ReplicaDelta> &whole,
               const std::optional<ReplicaDelta> &part) {
  if (!part)
    return;
  if (!whole)
    whole = ReplicaDelta{part->From, part->Through, {}};
  whole->Entries.insert(whole->Entries.end(), part->Entries.begin(),
                        part->Entries.end());
}

} // namespace

void joinPage(StateUpdate &whole, const Page &page) {
  whole.Header = page.Part.Header;
  joinDelta(whole.Config, page.Part.Config);
  joinDelta(whole.Members, page.Part.Members);
  whole.Signals.insert(whole.Signals.end(), page.Part.Signals.begin(),
                       page.Part.Signals.end());
}

Gossip::Gossip(GossipInit init, ControlState &state, RandomSource random)
    : Init(std::move(init)), State(state), Random(std::move(random)),
      Bytes(static_cast<double>(Init.BytesPerSecond),
            static_cast<double>(Init.BytesPerSecond) * BurstSeconds) {
  refreshPeers();
}

void Gossip::refreshPeers() {
  Peers = PeerTable(State.memberTable(), Init.Self, Init.Seeds);
}

void Gossip::publishSignal(const Signal &signal, TimePoint now) {
  mergeSignal({signal, 0}, now);
}

void Gossip::mergeSignal(const AgedSignal &signal, TimePoint now) {
  if (State.mergeSignal(signal, now) &&
      PendingSignals.size() < MaxPendingSignals)
    PendingSignals.push_back(signal.Message);
}

void Gossip::recordPlatformCall(bool answered, TimePoint now) {
  LastPlatformCall = now;
  if (answered)
    LastPlatformAnswer = now;
}

GossipActions Gossip::onTick(TimePoint now) {
  GossipActions out;
  sendPendingUpdate(now, out);
  sendDueDigest(now, out);
  return out;
}

GossipActions Gossip::onMessage(const Endpoint &from,
                                const PeerMessage &message, TimePoint now) {
  GossipActions out;
  std::visit([&](const auto &m) { on(from, m, now, out); }, message);
  sendPendingUpdate(now, out);
  return out;
}

PeerHeader Gossip::header(TimePoint now) const {
  PeerHeader out;
  out.Lineage = Init.Lineage;
  out.ClusterId = State.clusterId();
  out.ConfigLastChange = State.config().lastChange();
  out.ConfigWatermark = State.config().watermark();
  out.MemberLastChange = State.members().lastChange();
  out.MemberWatermark = State.members().watermark();
  out.SignalsHash = State.signals().hash();
  out.PlatformCallMillis = ageMillis(LastPlatformCall, now);
  out.PlatformAnswerMillis = ageMillis(LastPlatformAnswer, now);
  return out;
}

bool Gossip::acceptHeader(const PeerHeader &header, TimePoint now) {
  Error reason;
  if (header.Lineage != Init.Lineage ||
      !State.acceptPeer(header.ClusterId, reason)) {
    ++Stats.StateMismatches;
    return false;
  }
  if (header.SignalsHash == State.signals().hash())
    SignalsMatchedAt = now;
  LastPlatformCall =
      std::max(LastPlatformCall, timeOfAge(header.PlatformCallMillis, now));
  LastPlatformAnswer =
      std::max(LastPlatformAnswer, timeOfAge(header.PlatformAnswerMillis, now));
  return true;
}

bool Gossip::isAhead(const PeerHeader &peer) const {
  return peer.ConfigLastChange > State.config().watermark() ||
         peer.MemberLastChange > State.members().watermark();
}

bool Gossip::isBehind(const PeerHeader &peer) const {
  return State.config().lastChange() > peer.ConfigWatermark ||
         State.members().lastChange() > peer.MemberWatermark;
}

void Gossip::on(const Endpoint &from, const Digest &m, TimePoint now,
                GossipActions &out) {
  if (!acceptHeader(m.Header, now))
    return;
  if (isBehind(m.Header) || m.Header.SignalsHash != State.signals().hash())
    sendMissingState(from, m.Header, now, out);
  if (isAhead(m.Header))
    sendPull(from, now, out);
  if (now - SignalsMatchedAt > SignalsMismatchTimeout) {
    SignalsMatchedAt = now;
    out.Fetch = from;
  }
}

void Gossip::on(const Endpoint &from, const StateUpdate &m, TimePoint now,
                GossipActions &out) {
  if (!acceptHeader(m.Header, now))
    return;
  mergeUpdate(m, now);
  if (isAhead(m.Header))
    sendPull(from, now, out);
  if (!m.SignalBuckets.empty())
    sendDifferingSignals(from, m, now, out);
}

void Gossip::on(const Endpoint &from, const Pull &m, TimePoint now,
                GossipActions &out) {
  if (acceptHeader(m.Header, now) && isBehind(m.Header))
    sendMissingState(from, m.Header, now, out);
}

void Gossip::on(const Endpoint &from, const TooLarge &m, TimePoint now,
                GossipActions &out) {
  if (acceptHeader(m.Header, now) && isAhead(m.Header))
    out.Fetch = from;
}

void Gossip::sendDifferingSignals(const Endpoint &to,
                                  const StateUpdate &request, TimePoint now,
                                  GossipActions &out) {
  std::vector<AgedSignal> missing =
      State.signals().differing(request.SignalBuckets, now);
  missing.resize(
      std::min(missing.size(), SignalsPerMessage * MaxSignalMessages));
  StateUpdate reply;
  reply.Header = header(now);
  if (request.Answer)
    reply.SignalBuckets = State.signals().buckets();
  for (size_t i = 0; i == 0 || i < missing.size(); i += SignalsPerMessage) {
    size_t end = std::min(i + SignalsPerMessage, missing.size());
    reply.Signals.assign(missing.begin() + static_cast<ptrdiff_t>(i),
                         missing.begin() + static_cast<ptrdiff_t>(end));
    if (!reply.Signals.empty() || !reply.SignalBuckets.empty())
      send(to, wire::encode(PeerMessage(reply)), now, out);
    reply.SignalBuckets.clear();
  }
}

void Gossip::mergeUpdate(const StateUpdate &update, TimePoint now) {
  if (update.Config)
    State.mergeConfig(*update.Config);
  if (update.Members)
    State.mergeMembers(*update.Members);
  for (const AgedSignal &signal : update.Signals)
    mergeSignal(signal, now);
}

void Gossip::onFetched(const StateUpdate &whole, TimePoint now) {
  if (!acceptHeader(whole.Header, now))
    return;
  mergeUpdate(whole, now);
}

void Gossip::skipInitialImages() {
  if (!ConfigStarted && State.config().watermark() != 0) {
    ConfigStarted = true;
    SentConfig = State.config().lastChange();
  }
  if (!MembersStarted && State.members().watermark() != 0) {
    MembersStarted = true;
    SentMembers = State.members().lastChange();
  }
}

void Gossip::sendPendingUpdate(TimePoint now, GossipActions &out) {
  skipInitialImages();
  bool config = State.config().lastChange() > SentConfig;
  bool members = State.members().lastChange() > SentMembers;
  if ((!config && !members && PendingSignals.empty()) || now < NextUpdate)
    return;
  StateUpdate update;
  update.Header = header(now);
  if (config)
    update.Config = State.config().deltaAfter(SentConfig);
  if (members)
    update.Members = State.members().deltaAfter(SentMembers);
  size_t signals = std::min(PendingSignals.size(), SignalsPerMessage);
  std::vector<AgedSignal> known = State.signals().signals(now);
  for (size_t i = 0; i < signals; ++i)
    for (const AgedSignal &signal : known)
      if (signal.Message == PendingSignals[i])
        update.Signals.push_back(signal);
  NextUpdate = now + Init.UpdateInterval;
  std::vector<Endpoint> to = Peers.choose(Init.Fanout, Random);
  std::string payload = encodeOrFallback(update, Digest{header(now)});
  // Without budget the changes stay pending until a later tick.
  if (!takeBudget(payload.size() * to.size(), to.size(), AnswerReserveShare,
                  now))
    return;
  for (const Endpoint &peer : to)
    out.Sends.push_back({peer, payload});
  ++Stats.UpdateRounds;
  FollowUpsDue = Init.FollowUps;
  NextDigest = std::min(NextDigest, now + nextDigestDelay());
  SentConfig = State.config().lastChange();
  SentMembers = State.members().lastChange();
  PendingSignals.erase(PendingSignals.begin(),
                       PendingSignals.begin() +
                           static_cast<ptrdiff_t>(signals));
}

Duration Gossip::nextDigestDelay() {
  Duration interval = Init.AntiEntropyInterval;
  if (FollowUpsDue > 0) {
    --FollowUpsDue;
    interval = std::min(interval, Init.FollowUpInterval);
  }
  // Random delay of 0.5 to 1.5 intervals, so that processes that started
  // together don't send their digests at the same time.
  constexpr int64_t Steps = 1024;
  auto draw = static_cast<int64_t>(Random() % Steps);
  return interval / 2 + interval * draw / Steps;
}

void Gossip::sendDueDigest(TimePoint now, GossipActions &out) {
  if (now < NextDigest)
    return;
  NextDigest = now + nextDigestDelay();
  for (const Endpoint &peer : Peers.choose(1, Random))
    if (send(peer, wire::encode(PeerMessage(Digest{header(now)})), now, out))
      ++Stats.DigestsSent;
}

void Gossip::sendMissingState(const Endpoint &to, const PeerHeader &peer,
                              TimePoint now, GossipActions &out) {
  StateUpdate reply;
  reply.Header = header(now);
  reply.Answer = true;
  if (State.config().lastChange() > peer.ConfigWatermark)
    reply.Config = State.config().deltaAfter(peer.ConfigWatermark);
  if (State.members().lastChange() > peer.MemberWatermark)
    reply.Members = State.members().deltaAfter(peer.MemberWatermark);
  if (peer.SignalsHash != State.signals().hash())
    reply.SignalBuckets = State.signals().buckets();
  send(to, encodeOrFallback(reply, TooLarge{header(now)}), now, out);
}

void Gossip::sendPull(const Endpoint &from, TimePoint now, GossipActions &out) {
  if (now < NextPull)
    return;
  NextPull = now + PullInterval;
  ++Stats.PullsSent;
  send(from, wire::encode(PeerMessage(pullMessage(now))), now, out);
}

std::string Gossip::encodeOrFallback(const PeerMessage &message,
                                     const PeerMessage &fallback) const {
  std::string payload = wire::encode(message);
  return payload.size() <= Init.MaxPayload ? payload : wire::encode(fallback);
}

bool Gossip::send(const Endpoint &to, std::string payload, TimePoint now,
                  GossipActions &out) {
  if (!takeBudget(payload.size(), 1, 0, now))
    return false;
  out.Sends.push_back({to, std::move(payload)});
  return true;
}

bool Gossip::takeBudget(size_t bytes, size_t datagrams, double reservedShare,
                        TimePoint now) {
  auto cost = static_cast<double>(bytes + datagrams * DatagramOverhead);
  double reserve =
      static_cast<double>(Init.BytesPerSecond) * BurstSeconds * reservedShare;
  if (Bytes.take(cost, reserve, now))
    return true;
  ++Stats.RateLimited;
  return false;
}

std::vector<Page> Gossip::pagesFor(const Pull &pull, TimePoint now) const {
  std::vector<Page> out;
  auto add = [&](std::optional<ReplicaDelta> StateUpdate::*part,
                 ReplicaDelta delta) {
    for (ReplicaDelta &piece : splitDelta(std::move(delta))) {
      Page &page = out.emplace_back();
      page.More = true;
      page.Part.Header = header(now);
      page.Part.*part = std::move(piece);
    }
  };
  add(&StateUpdate::Config,
      State.config().deltaAfter(pull.Header.ConfigWatermark));
  add(&StateUpdate::Members,
      State.members().deltaAfter(pull.Header.MemberWatermark));
  out.back().Part.Signals = State.signals().signals(now);
  out.back().More = false;
  return out;
}

} // namespace daisytack::control
