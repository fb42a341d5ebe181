#include "platform.h"

namespace daisytack::matrix {

using namespace serve;

void FakePlatform::putConfig(const ConfigObject &object) {
  control::StoredObject stored;
  stored.Object = object;
  edge::KvTransaction out;
  out.Then.push_back({control::toText(control::keyOf(object)),
                      control::encodeStored(stored), 0, false});
  Kv.commit(out, Queue.now());
}

void FakePlatform::addMember(const Member &member) {
  Members[member.Name] = {member, ++ListVersion};
}

void FakePlatform::setMemberState(const std::string &name, MemberState state) {
  Queue.schedule(listLag(), [this, name, state, returns = Returns[name]] {
    auto it = Members.find(name);
    if (it == Members.end() || it->second.Instance.State >= state ||
        returns != Returns[name])
      return;
    it->second.Instance.State = state;
    it->second.Changed = ++ListVersion;
  });
}

void FakePlatform::returnMember(const std::string &name) {
  Queue.schedule(listLag(), [this, name, returns = ++Returns[name]] {
    auto it = Members.find(name);
    if (it == Members.end() || returns != Returns[name] ||
        it->second.Instance.State == MemberState::Live)
      return;
    it->second.Instance.State = MemberState::Live;
    it->second.Changed = ++ListVersion;
  });
}

control::InstanceDelta FakePlatform::membersSince(uint64_t since) const {
  control::InstanceDelta out;
  out.Version = ListVersion;
  for (const auto &[name, member] : Members)
    if (member.Changed > since)
      out.Members.push_back(member);
  return out;
}

StoreResult FakePlatform::callStore(StoreHandle store,
                                    const StoreRequest &request) {
  if (StoreDead || store.Index >= StoreCount)
    return Error{ErrorKind::ServerLost, "the store is dead"};
  FakeStore &target = Stores[store.Index];
  return std::visit([&](const auto &it) { return answer(target, it); },
                    request);
}

StoreResult FakePlatform::answer(FakeStore &store,
                                 const LookupPieces &request) {
  StoreFound out;
  for (const PieceKey &key : request.Keys)
    if (auto it = store.lookup(key))
      out.Pieces.push_back({key, it->Generation, it->Length, false, ""});
  return out;
}

StoreResult FakePlatform::answer(FakeStore &store, const ReadPiece &request) {
  PieceHeader header = store.header(request.Key);
  if (header.Generation == 0)
    return Error{ErrorKind::NotFound, "no such piece"};
  StoreBytes out;
  out.Generation = header.Generation;
  out.Length = header.Length;
  out.Checksum = header.Checksum;
  out.Bytes = store.bytes(request.Key);
  for (const SampledPiece &it : store.sample())
    if (it.Key == request.Key)
      out.Meta = it.Meta;
  return out;
}

StoreResult FakePlatform::answer(FakeStore &store,
                                 const ReadGeneration &request) {
  return StoreGeneration{store.generation(request.Key)};
}

StoreResult FakePlatform::answer(FakeStore &store, const BeginPiece &request) {
  KnownPieces.insert(request.Key);
  return StoreGeneration{store.create(request.Key)};
}

StoreResult FakePlatform::answer(FakeStore &store, const WritePiece &request) {
  std::string bytes = *request.Bytes;
  if (TruncateWrites)
    bytes.resize(bytes.size() / 2);
  switch (store.put(request.Generation, bytes)) {
  case PutAnswer::Stored:
    return StoreDone{};
  case PutAnswer::Full:
    return Error{ErrorKind::Overloaded, "the store is full"};
  default:
    return Error{ErrorKind::Conflict, "no such generation"};
  }
}

StoreResult FakePlatform::answer(FakeStore &store, const CommitPiece &request) {
  auto checksum = parsePieceKey(request.Checksum);
  Digest256 digest{};
  if (checksum)
    digest = checksum->Bytes;
  if (store.commit(request.Generation, digest, request.Meta) ==
      CommitAnswer::Committed)
    return StoreDone{};
  return Error{ErrorKind::Conflict, "not committed"};
}

StoreResult FakePlatform::answer(FakeStore &store, const FreePiece &request) {
  store.erase(request.Key, request.Generation);
  return StoreDone{};
}

StoreResult FakePlatform::answer(FakeStore &store,
                                 const SamplePieces & /*request*/) {
  StoreFound out;
  for (const SampledPiece &it : store.sample())
    out.Pieces.push_back({it.Key, it.Generation, it.Length, false, it.Meta});
  return out;
}

StoreResult FakePlatform::answer(FakeStore & /*store*/,
                                 const ReadUsage & /*request*/) {
  return StoreUsage{};
}

StoreResult FakePlatform::answer(FakeStore & /*store*/,
                                 const ReadStatus & /*request*/) {
  StoreStatus out;
  out.MemoryTotal = out.DiskTotal = 1ULL << 30;
  out.LinkBytesPerSecond = 100U << 20;
  return out;
}

void FakePlatform::truncatePieces() {
  TruncateWrites = true;
  for (FakeStore &store : Stores)
    for (const PieceKey &key : KnownPieces)
      if (store.generation(key) != 0)
        store.truncate(key);
}

/// Frees every piece. Where the store also has the preceding piece, a read
/// returns that piece instead, as if the memory had been reused.
void FakePlatform::freePieces() {
  const PieceKey *previous = nullptr;
  for (const PieceKey &key : KnownPieces) {
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

void FakePlatform::fillStores() {
  for (FakeStore &store : Stores)
    store.Capacity = 0;
}

} // namespace daisytack::matrix
