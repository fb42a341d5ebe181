/// Fake platform: key-value service, instance list and context stores, with
/// the faults that the matrix injects into them.
#pragma once

#include "context/fake_store.h"
#include "control/object_codec.h"
#include "edge/instance_list.h"
#include "event_queue.h"
#include "fakes/fake_kv.h"
#include "serve/agent_messages.h"

#include <array>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace daisytack::matrix {

constexpr Duration KvLatency{2'000};
constexpr Duration KvTimeout{2'000'000};
constexpr Duration KvSlowLatency{3'000'000};
constexpr size_t StoreCount = 2;

class FakePlatform {
public:
  explicit FakePlatform(EventQueue &queue) : Queue(queue) {}

  // Key-value service.

  /// Applies the call after the service latency and passes its result to done.
  /// With a fault it reports Unavailable, or Unknown after KvTimeout although
  /// the call is applied.
  template <class R>
  void call(std::function<R(test::FakeKv &, TimePoint)> apply,
            std::function<void(R)> done) {
    if (KvDown) {
      R none;
      none.Header = kvHeader(edge::KvStatus::Unavailable);
      return Queue.schedule(KvLatency, [done, none] { done(none); });
    }
    bool lost = LoseKvAnswers > 0;
    if (lost)
      --LoseKvAnswers;
    Duration latency = KvSlow ? KvSlowLatency : KvLatency;
    bool isLate = lost || latency >= KvTimeout;
    Queue.schedule(latency, [this, apply, done, isLate] {
      R result = apply(Kv, Queue.now());
      if (!isLate)
        done(result);
    });
    if (!isLate)
      return;
    R unknown;
    unknown.Header = kvHeader(edge::KvStatus::Unknown);
    Queue.schedule(KvTimeout, [done, unknown] { done(unknown); });
  }
  /// Writes a configuration object at once, for the state before the start.
  void putConfig(const ConfigObject &object);

  // Instance list.

  void addMember(const Member &member);
  void setMemberState(const std::string &name, MemberState state);
  /// Lists the name as live again. Changes of its state that are not listed yet
  /// are dropped, because they concern its earlier process.
  void returnMember(const std::string &name);
  control::InstanceDelta membersSince(uint64_t since) const;

  // Stores.

  serve::StoreResult callStore(serve::StoreHandle store,
                               const serve::StoreRequest &request);
  Duration storeLatency() const {
    return StoreSlow ? Duration(2'000'000) : Duration(1'000);
  }
  void truncatePieces();
  void freePieces();
  void fillStores();

  test::FakeKv Kv;
  bool KvDown = false;
  bool KvSlow = false;
  uint32_t LoseKvAnswers = 0;
  bool ListLags = false;
  bool StoreDead = false;
  bool StoreSlow = false;
  bool TruncateWrites = false;

private:
  edge::KvHeader kvHeader(edge::KvStatus status) const {
    edge::KvHeader out = Kv.header(status);
    out.Reason = {ErrorKind::ServiceUnavailable, "fault"};
    return out;
  }
  serve::StoreResult answer(FakeStore &store,
                            const serve::LookupPieces &request);
  serve::StoreResult answer(FakeStore &store, const serve::ReadPiece &request);
  serve::StoreResult answer(FakeStore &store,
                            const serve::ReadGeneration &request);
  serve::StoreResult answer(FakeStore &store, const serve::BeginPiece &request);
  serve::StoreResult answer(FakeStore &store, const serve::WritePiece &request);
  serve::StoreResult answer(FakeStore &store,
                            const serve::CommitPiece &request);
  serve::StoreResult answer(FakeStore &store, const serve::FreePiece &request);
  serve::StoreResult answer(FakeStore &store,
                            const serve::SamplePieces &request);
  serve::StoreResult answer(FakeStore &store, const serve::ReadUsage &request);
  serve::StoreResult answer(FakeStore &store, const serve::ReadStatus &request);

  EventQueue &Queue;
  /// Lag of the list behind a change.
  Duration listLag() const {
    return ListLags ? Duration(10'000'000) : Duration(1'000'000);
  }

  uint64_t ListVersion = 0;
  std::map<std::string, uint64_t> Returns; ///< Number of returns of each name.
  std::map<std::string, control::ListedMember> Members;
  std::array<FakeStore, StoreCount> Stores;
  std::set<PieceKey> KnownPieces;
};

} // namespace daisytack::matrix
