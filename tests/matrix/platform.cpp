#include "platform.h"

namespace daisytack::matrix {

using namespace serve;

void Platform::preset(const ConfigObject &object) {
  control::StoredObject stored;
  stored.Object = object;
  edge::KvTransaction out;
  out.Then.push_back({control::toText(control::keyOf(object)),
                      control::encodeStored(stored), 0, false});
  Kv.commit(out, Queue.now());
}

void Platform::list(const Member &member) {
  Listed[member.Name] = {member, ++ListVersion};
}

void Platform::setState(const std::string &name, MemberState state) {
  constexpr Duration Lag{1'000'000};
  constexpr Duration LongLag{10'000'000};
  Queue.after(ListLags ? LongLag : Lag, [this, name, state] {
    auto it = Listed.find(name);
    if (it == Listed.end() || it->second.Instance.State >= state)
      return;
    it->second.Instance.State = state;
    it->second.Changed = ++ListVersion;
  });
}

control::InstanceDelta Platform::listed(uint64_t since) const {
  control::InstanceDelta out;
  out.Version = ListVersion;
  for (const auto &[name, member] : Listed)
    if (member.Changed > since)
      out.Members.push_back(member);
  return out;
}

StoreResult Platform::callStore(StoreHandle store, const StoreRequest &ask) {
  if (StoreDead || store.Index >= StoreCount)
    return Error{ErrorKind::ServerLost, "the store is dead"};
  FakeStore &target = Stores[store.Index];
  return std::visit([&](const auto &it) { return answer(target, it); }, ask);
}

StoreResult Platform::answer(FakeStore &store, const LookupPieces &ask) {
  StoreFound out;
  for (const PieceKey &key : ask.Keys)
    if (auto it = store.lookup(key))
      out.Pieces.push_back({key, it->Generation, it->Length, false, ""});
  return out;
}

StoreResult Platform::answer(FakeStore &store, const ReadPiece &ask) {
  PieceHeader header = store.header(ask.Key);
  if (header.Generation == 0)
    return Error{ErrorKind::NotFound, "no such piece"};
  StoreBytes out;
  out.Generation = header.Generation;
  out.Length = header.Length;
  out.Checksum = header.Checksum;
  out.Bytes = store.bytes(ask.Key);
  for (const SampledPiece &it : store.sample())
    if (it.Key == ask.Key)
      out.Meta = it.Meta;
  return out;
}

StoreResult Platform::answer(FakeStore &store, const ReadGeneration &ask) {
  return StoreGeneration{store.generation(ask.Key)};
}

StoreResult Platform::answer(FakeStore &store, const BeginPiece &ask) {
  Known.insert(ask.Key);
  return StoreGeneration{store.create(ask.Key)};
}

StoreResult Platform::answer(FakeStore &store, const WritePiece &ask) {
  std::string bytes = *ask.Bytes;
  if (TearWrites)
    bytes.resize(bytes.size() / 2);
  switch (store.put(ask.Generation, bytes)) {
  case PutAnswer::Stored:
    return StoreDone{};
  case PutAnswer::Full:
    return Error{ErrorKind::Overloaded, "the store is full"};
  default:
    return Error{ErrorKind::Conflict, "no such generation"};
  }
}

StoreResult Platform::answer(FakeStore &store, const CommitPiece &ask) {
  auto checksum = parsePieceKey(ask.Checksum);
  Digest256 digest{};
  if (checksum)
    digest = checksum->Bytes;
  if (store.commit(ask.Generation, digest, ask.Meta) == CommitAnswer::Committed)
    return StoreDone{};
  return Error{ErrorKind::Conflict, "not committed"};
}

StoreResult Platform::answer(FakeStore &store, const FreePiece &ask) {
  store.erase(ask.Key, ask.Generation);
  return StoreDone{};
}

StoreResult Platform::answer(FakeStore &store, const SamplePieces & /*ask*/) {
  StoreFound out;
  for (const SampledPiece &it : store.sample())
    out.Pieces.push_back({it.Key, it.Generation, it.Length, false, it.Meta});
  return out;
}

StoreResult Platform::answer(FakeStore & /*store*/, const ReadUsage & /*ask*/) {
  return StoreUsage{};
}

StoreResult Platform::answer(FakeStore & /*store*/,
                             const ReadStatus & /*ask*/) {
  StoreStatus out;
  out.MemoryTotal = out.DiskTotal = 1ULL << 30;
  out.LinkBytesPerSecond = 100U << 20;
  return out;
}

void Platform::tearStores() {
  TearWrites = true;
  for (FakeStore &store : Stores)
    for (const PieceKey &key : Known)
      if (store.generation(key) != 0)
        store.truncate(key);
}

/// Frees every piece, and gives each one's place to another.
void Platform::freeStores() {
  const PieceKey *previous = nullptr;
  for (const PieceKey &key : Known) {
    for (FakeStore &store : Stores) {
      if (store.generation(key) == 0)
        continue;
      if (previous != nullptr && store.generation(*previous) != 0)
        store.alias(key, *previous);
      else
        store.drop(key);
    }
    previous = &key;
  }
}

void Platform::fillStores() {
  for (FakeStore &store : Stores)
    store.Capacity = 0;
}

} // namespace daisytack::matrix
