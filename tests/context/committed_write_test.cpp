#include "context/committed_write.h"

#include "context/check.h"
#include "context/fake_store.h"

namespace daisytack {

namespace {

std::vector<SampledPiece> evictFirst(std::span<const SampledPiece> sample,
                                     uint64_t) {
  if (sample.empty())
    return {};
  return {sample.front()};
}

std::vector<SampledPiece> evictNone(std::span<const SampledPiece>, uint64_t) {
  return {};
}

/// Outcome of one request to the store.
enum class RequestOutcome : uint8_t { Answered, AnswerLost, RequestLost };

/// Performs the write's current step with the given request outcome.
void advance(CommittedWrite &write, FakeStore &store, RequestOutcome outcome) {
  bool reachesStore = outcome != RequestOutcome::RequestLost;
  bool answerArrives = outcome == RequestOutcome::Answered;
  switch (write.step()) {
  case WriteStep::Create: {
    uint64_t generation = reachesStore ? store.create(write.key()) : 0;
    write.onCreated(answerArrives ? generation : 0);
    break;
  }
  case WriteStep::Put: {
    PutAnswer out = PutAnswer::Lost;
    if (reachesStore)
      out = store.put(write.generation(), write.frame());
    write.onPut(answerArrives ? out : PutAnswer::Lost);
    break;
  }
  case WriteStep::Commit: {
    CommitAnswer out = CommitAnswer::Lost;
    if (reachesStore)
      out = store.commit(write.generation(), write.checksum());
    write.onCommit(answerArrives ? out : CommitAnswer::Lost);
    break;
  }
  case WriteStep::ReadGeneration:
    write.onGeneration(answerArrives
                           ? std::optional(store.generation(write.key()))
                           : std::nullopt);
    break;
  case WriteStep::Sample:
    write.onSample(answerArrives ? store.sample()
                                 : std::vector<SampledPiece>());
    break;
  case WriteStep::Evict:
    for (const SampledPiece &it : write.victims())
      if (reachesStore)
        store.erase(it.Key, it.Generation);
    write.onEvicted();
    break;
  case WriteStep::Free:
    if (reachesStore)
      store.erase(write.key(), write.generation());
    write.onFreed();
    break;
  case WriteStep::Done:
    break;
  }
}

WriteResult runWrite(CommittedWrite &write, FakeStore &store) {
  while (write.step() != WriteStep::Done)
    advance(write, store, RequestOutcome::Answered);
  return write.result();
}

bool isReadable(const FakeStore &store, const PieceKey &key,
                std::string_view payload) {
  VerifiedRead read(key, "v");
  read.onLookup(store.lookup(key));
  read.onHeader(store.header(key));
  read.onBytes(store.bytes(key));
  read.onGeneration(store.generation(key), "v");
  return read.payload() == payload;
}

} // namespace

TEST(CommittedWrite, IsReadableOnlyAfterTheCommit) {
  FakeStore store;
  CommittedWrite write(testKey(1), "payload", evictNone);
  while (write.step() != WriteStep::Done) {
    EXPECT_EQ(store.generation(testKey(1)), 0U);
    advance(write, store, RequestOutcome::Answered);
  }
  EXPECT_EQ(write.result(), WriteResult::Committed);
  EXPECT_TRUE(isReadable(store, testKey(1), "payload"));
}

TEST(CommittedWrite, FullStoreEvictsOnceAndRetries) {
  FakeStore store;
  store.write(testKey(2), "payload");
  store.Capacity = 80;
  CommittedWrite write(testKey(1), "payload", evictFirst);
  EXPECT_EQ(runWrite(write, store), WriteResult::Committed);
  EXPECT_EQ(store.generation(testKey(2)), 0U);
  CommittedWrite unwanted(testKey(3), "payload", evictNone);
  EXPECT_EQ(runWrite(unwanted, store), WriteResult::Full);
  store.Capacity = 10;
  CommittedWrite tooLarge(testKey(4), "payload", evictFirst);
  EXPECT_EQ(runWrite(tooLarge, store), WriteResult::Full);
  EXPECT_EQ(store.uncommitted(), 0U);
}

TEST(CommittedWrite, TwoWritersLeaveOneWholePiece) {
  expectProperty([] {
    FakeStore store;
    CommittedWrite first(testKey(1), "payload", evictNone);
    CommittedWrite second(testKey(1), "payload", evictNone);
    while (first.step() != WriteStep::Done || second.step() != WriteStep::Done)
      advance(*rc::gen::arbitrary<bool>() ? first : second, store,
              RequestOutcome::Answered);
    RC_ASSERT(isReadable(store, testKey(1), "payload"));
    RC_ASSERT(store.uncommitted() == 0U);
  });
}

TEST(CommittedWrite, ReportsTheRightResultInFewRequestsDespiteLostAnswers) {
  expectProperty([] {
    FakeStore store;
    CommittedWrite write(testKey(1), "payload", evictNone);
    size_t requests = 0;
    while (write.step() != WriteStep::Done) {
      auto outcome = static_cast<RequestOutcome>(*rc::gen::inRange(0, 3));
      advance(write, store, outcome);
      RC_ASSERT(++requests < 12U);
    }
    bool readable = isReadable(store, testKey(1), "payload");
    RC_ASSERT(readable || store.generation(testKey(1)) == 0);
    if (write.result() == WriteResult::Committed)
      RC_ASSERT(readable);
  });
}

TEST(CommittedWrite, PieceAboveTheSizeLimitIsNotWritten) {
  CommittedWrite write(testKey(1), std::string(MaxPieceFrameBytes, 'x'),
                       evictNone);
  EXPECT_EQ(write.result(), WriteResult::Failed);
}

} // namespace daisytack
