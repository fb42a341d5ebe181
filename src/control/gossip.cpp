#include "control/gossip.h"

#include "wire/codec.h"

#include <algorithm>
#include <utility>

namespace daisytack::control {

namespace {

/// Least time between two pulls, so that one gap is asked for once.
constexpr Duration PullInterval{200'000};
/// Signals in one datagram; with names of ordinary length they fit besides one
/// piece of other news.
constexpr size_t SignalsPerMessage = 8;
/// Datagrams of signals in one answer.
constexpr size_t MaxSignalMessages = 4;
/// How long the signals may differ from every peer's before a process fetches
/// all of them: datagrams are too slow when very many are new.
constexpr Duration SignalsPatience{5'000'000};
/// News of signals that may wait; anti-entropy finds what is left out.
constexpr size_t MaxFreshSignals = 1024;
/// Bytes that the network adds to a payload: IP, UDP and the seal.
constexpr size_t DatagramOverhead = 28 + 44;
constexpr double BurstSeconds = 4;
/// News leaves this share of a full budget to digests and answers: without them
/// no process that missed something could catch up.
constexpr double AnswerShare = 0.25;
/// Values of a page; one value may be longer.
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

TimePoint sinceAge(uint32_t age, TimePoint now) {
  return age == NeverMillis ? NeverTime : now - milliseconds(age);
}

/// Cuts a delta into consecutive parts of bounded size.
std::vector<ReplicaDelta> cut(ReplicaDelta delta) {
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

void joinPage(Rumour &whole, const Page &page) {
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

void Gossip::say(const Signal &signal, TimePoint now) {
  takeSignal({signal, 0}, now);
}

void Gossip::takeSignal(const AgedSignal &signal, TimePoint now) {
  if (State.hear(signal, now) && FreshSignals.size() < MaxFreshSignals)
    FreshSignals.push_back(signal.Said);
}

void Gossip::noteTry(bool reached, TimePoint now) {
  LastTry = now;
  if (reached)
    LastReached = now;
}

GossipActions Gossip::onTick(TimePoint now) {
  GossipActions out;
  tellNews(now, out);
  compare(now, out);
  return out;
}

GossipActions Gossip::onMessage(const Endpoint &from,
                                const PeerMessage &message, TimePoint now) {
  GossipActions out;
  std::visit([&](const auto &m) { on(from, m, now, out); }, message);
  tellNews(now, out);
  return out;
}

PeerHeader Gossip::header(TimePoint now) const {
  PeerHeader out;
  out.Lineage = Init.Lineage;
  out.ClusterId = State.clusterId();
  out.ConfigContent = State.config().content();
  out.ConfigThrough = State.config().watermark();
  out.MemberContent = State.members().content();
  out.MemberThrough = State.members().watermark();
  out.SignalsHash = State.signals().hash();
  out.TriedMillis = ageMillis(LastTry, now);
  out.ReachedMillis = ageMillis(LastReached, now);
  return out;
}

bool Gossip::takeHeader(const PeerHeader &header, TimePoint now) {
  Error reason;
  if (header.Lineage != Init.Lineage ||
      !State.acceptPeer(header.ClusterId, reason)) {
    ++Stats.OtherState;
    return false;
  }
  if (header.SignalsHash == State.signals().hash())
    SignalsEqualAt = now;
  LastTry = std::max(LastTry, sinceAge(header.TriedMillis, now));
  LastReached = std::max(LastReached, sinceAge(header.ReachedMillis, now));
  return true;
}

bool Gossip::isAhead(const PeerHeader &peer) const {
  return peer.ConfigContent > State.config().watermark() ||
         peer.MemberContent > State.members().watermark();
}

bool Gossip::isBehind(const PeerHeader &peer) const {
  return State.config().content() > peer.ConfigThrough ||
         State.members().content() > peer.MemberThrough;
}

void Gossip::on(const Endpoint &from, const Digest &m, TimePoint now,
                GossipActions &out) {
  if (!takeHeader(m.Header, now))
    return;
  if (isBehind(m.Header) || m.Header.SignalsHash != State.signals().hash())
    answer(from, m.Header, now, out);
  if (isAhead(m.Header))
    pull(from, now, out);
  if (now - SignalsEqualAt > SignalsPatience) {
    SignalsEqualAt = now;
    out.Fetch = from;
  }
}

void Gossip::on(const Endpoint &from, const Rumour &m, TimePoint now,
                GossipActions &out) {
  if (!takeHeader(m.Header, now))
    return;
  takeRumour(m, now);
  if (isAhead(m.Header))
    pull(from, now, out);
  if (!m.SignalBuckets.empty())
    returnSignals(from, m, now, out);
}

void Gossip::on(const Endpoint &from, const Pull &m, TimePoint now,
                GossipActions &out) {
  if (takeHeader(m.Header, now) && isBehind(m.Header))
    answer(from, m.Header, now, out);
}

void Gossip::on(const Endpoint &from, const TooLarge &m, TimePoint now,
                GossipActions &out) {
  if (takeHeader(m.Header, now) && isAhead(m.Header))
    out.Fetch = from;
}

void Gossip::returnSignals(const Endpoint &to, const Rumour &asked,
                           TimePoint now, GossipActions &out) {
  std::vector<AgedSignal> lacking =
      State.signals().differing(asked.SignalBuckets, now);
  lacking.resize(
      std::min(lacking.size(), SignalsPerMessage * MaxSignalMessages));
  Rumour back;
  back.Header = header(now);
  if (asked.Answer)
    back.SignalBuckets = State.signals().buckets();
  for (size_t i = 0; i == 0 || i < lacking.size(); i += SignalsPerMessage) {
    size_t end = std::min(i + SignalsPerMessage, lacking.size());
    back.Signals.assign(lacking.begin() + static_cast<ptrdiff_t>(i),
                        lacking.begin() + static_cast<ptrdiff_t>(end));
    if (!back.Signals.empty() || !back.SignalBuckets.empty())
      send(to, wire::encode(PeerMessage(back)), now, out);
    back.SignalBuckets.clear();
  }
}

void Gossip::takeRumour(const Rumour &rumour, TimePoint now) {
  if (rumour.Config)
    State.mergeConfig(*rumour.Config);
  if (rumour.Members)
    State.mergeMembers(*rumour.Members);
  for (const AgedSignal &signal : rumour.Signals)
    takeSignal(signal, now);
}

void Gossip::onFetched(const Rumour &whole, TimePoint now) {
  if (!takeHeader(whole.Header, now))
    return;
  takeRumour(whole, now);
}

void Gossip::skipFirstImages() {
  if (!ConfigStarted && State.config().watermark() != 0) {
    ConfigStarted = true;
    ToldConfig = State.config().content();
  }
  if (!MembersStarted && State.members().watermark() != 0) {
    MembersStarted = true;
    ToldMembers = State.members().content();
  }
}

void Gossip::tellNews(TimePoint now, GossipActions &out) {
  skipFirstImages();
  bool config = State.config().content() > ToldConfig;
  bool members = State.members().content() > ToldMembers;
  if ((!config && !members && FreshSignals.empty()) || now < NextRound)
    return;
  Rumour news;
  news.Header = header(now);
  if (config)
    news.Config = State.config().deltaAfter(ToldConfig);
  if (members)
    news.Members = State.members().deltaAfter(ToldMembers);
  size_t signals = std::min(FreshSignals.size(), SignalsPerMessage);
  std::vector<AgedSignal> known = State.signals().signals(now);
  for (size_t i = 0; i < signals; ++i)
    for (const AgedSignal &signal : known)
      if (signal.Said == FreshSignals[i])
        news.Signals.push_back(signal);
  NextRound = now + Init.RumourInterval;
  std::vector<Endpoint> to = Peers.choose(Init.Fanout, Random);
  std::string payload = fit(news, Digest{header(now)});
  // When the budget is spent the news stays news for a later round.
  if (!spend(payload.size() * to.size(), to.size(), AnswerShare, now))
    return;
  for (const Endpoint &peer : to)
    out.Sends.push_back({peer, payload});
  ++Stats.Rounds;
  FollowUpsDue = Init.FollowUps;
  NextCompare = std::min(NextCompare, now + untilNextCompare());
  ToldConfig = State.config().content();
  ToldMembers = State.members().content();
  FreshSignals.erase(FreshSignals.begin(),
                     FreshSignals.begin() + static_cast<ptrdiff_t>(signals));
}

Duration Gossip::untilNextCompare() {
  Duration around = Init.AntiEntropyInterval;
  if (FollowUpsDue > 0) {
    --FollowUpsDue;
    around = std::min(around, Init.FollowUpInterval);
  }
  // Between half and one and a half of it, so that processes that started
  // together fall out of step.
  constexpr int64_t Steps = 1024;
  auto draw = static_cast<int64_t>(Random() % Steps);
  return around / 2 + around * draw / Steps;
}

void Gossip::compare(TimePoint now, GossipActions &out) {
  if (now < NextCompare)
    return;
  NextCompare = now + untilNextCompare();
  for (const Endpoint &peer : Peers.choose(1, Random))
    if (send(peer, wire::encode(PeerMessage(Digest{header(now)})), now, out))
      ++Stats.Compared;
}

void Gossip::answer(const Endpoint &to, const PeerHeader &peer, TimePoint now,
                    GossipActions &out) {
  Rumour reply;
  reply.Header = header(now);
  reply.Answer = true;
  if (State.config().content() > peer.ConfigThrough)
    reply.Config = State.config().deltaAfter(peer.ConfigThrough);
  if (State.members().content() > peer.MemberThrough)
    reply.Members = State.members().deltaAfter(peer.MemberThrough);
  if (peer.SignalsHash != State.signals().hash())
    reply.SignalBuckets = State.signals().buckets();
  send(to, fit(reply, TooLarge{header(now)}), now, out);
}

void Gossip::pull(const Endpoint &from, TimePoint now, GossipActions &out) {
  if (now < NextPull)
    return;
  NextPull = now + PullInterval;
  ++Stats.Pulled;
  send(from, wire::encode(PeerMessage(pullMessage(now))), now, out);
}

std::string Gossip::fit(const PeerMessage &message,
                        const PeerMessage &instead) const {
  std::string payload = wire::encode(message);
  return payload.size() <= Init.MaxPayload ? payload : wire::encode(instead);
}

bool Gossip::send(const Endpoint &to, std::string payload, TimePoint now,
                  GossipActions &out) {
  if (!spend(payload.size(), 1, 0, now))
    return false;
  out.Sends.push_back({to, std::move(payload)});
  return true;
}

bool Gossip::spend(size_t bytes, size_t datagrams, double reservedShare,
                   TimePoint now) {
  auto cost = static_cast<double>(bytes + datagrams * DatagramOverhead);
  double reserve =
      static_cast<double>(Init.BytesPerSecond) * BurstSeconds * reservedShare;
  if (Bytes.take(cost, reserve, now))
    return true;
  ++Stats.Held;
  return false;
}

std::vector<Page> Gossip::pagesFor(const Pull &pull, TimePoint now) const {
  std::vector<Page> out;
  auto add = [&](std::optional<ReplicaDelta> Rumour::*part,
                 ReplicaDelta delta) {
    for (ReplicaDelta &piece : cut(std::move(delta))) {
      Page &page = out.emplace_back();
      page.More = true;
      page.Part.Header = header(now);
      page.Part.*part = std::move(piece);
    }
  };
  add(&Rumour::Config, State.config().deltaAfter(pull.Header.ConfigThrough));
  add(&Rumour::Members, State.members().deltaAfter(pull.Header.MemberThrough));
  out.back().Part.Signals = State.signals().signals(now);
  out.back().More = false;
  return out;
}

} // namespace daisytack::control
