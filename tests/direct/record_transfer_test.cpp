/// Guards against large records that never arrive, arrive twice, or are put
/// together from two versions.
#include "direct/record_transfer.h"

#include <gtest/gtest.h>

namespace daisytack::direct {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{Duration(1'000'000'000)};
const std::string Key = "config";
const Endpoint First{"10.0.0.1", 80};
const Endpoint Second{"10.0.0.2", 80};
/// Does not become shorter by compression, and takes several parts.
constexpr size_t ValueBytes = 100'000;

std::string valueOf(uint64_t revision) {
  std::string out;
  uint64_t state = revision * 0x9E3779B97F4A7C15U + 1;
  while (out.size() < ValueBytes) {
    state = state * 6364136223846793005U + 1442695040888963407U;
    out.push_back(static_cast<char>(state >> 56U));
  }
  return out;
}

/// Records of one key, by revision.
struct Holder {
  std::map<uint64_t, std::string> Values;

  RecordLookup lookup() {
    RecordLookup out;
    out.ValueAt = [this](std::string_view, uint64_t revision) {
      auto it = Values.find(revision);
      return it == Values.end() ? nullptr : &it->second;
    };
    out.RevisionOf = [this](std::string_view) {
      return Values.empty() ? 0 : Values.rbegin()->first;
    };
    return out;
  }
};

class RecordTransferTest : public testing::Test {
protected:
  RecordTransferTest() {
    Sender.Values[1] = Receiver.Values[1] = valueOf(1);
    Sender.Values[2] = valueOf(2);
  }
  /// Makes one call and returns the record if it is complete.
  std::optional<FetchedRecord> step() {
    std::optional<RecordPartCall> call = Fetch.next(Now);
    if (!call)
      return std::nullopt;
    Called.push_back(call->Source);
    ++Calls;
    Error reason;
    auto out = Fetch.onPart(Source.answer(call->Request), Now, reason);
    Reason = reason;
    return out;
  }
  std::optional<FetchedRecord> run() {
    for (int i = 0; i < 20; ++i, Now += 100ms)
      if (auto out = step())
        return out;
    return std::nullopt;
  }

  TimePoint Now = Start;
  Holder Sender;
  Holder Receiver;
  RecordSource Source{Sender.lookup()};
  RecordFetch Fetch{RecordFetchSettings{}, Receiver.lookup()};
  std::vector<Endpoint> Called;
  size_t Calls = 0;
  Error Reason;
};

TEST_F(RecordTransferTest, BringsTheValueInParts) {
  EXPECT_TRUE(Fetch.onOffer({Key, 2}, First, Now));
  auto fetched = run();
  ASSERT_TRUE(fetched);
  EXPECT_EQ(fetched->Record.Value, valueOf(2));
  EXPECT_EQ(fetched->Record.Revision, 2U);
  EXPECT_GT(Calls, 2U);
  EXPECT_FALSE(Fetch.next(Now));
}

TEST_F(RecordTransferTest, RequestsNothingThatIsHeldOrHasCome) {
  EXPECT_FALSE(Fetch.onOffer({Key, 1}, First, Now));
  EXPECT_TRUE(Fetch.onOffer({Key, 2}, First, Now));
  ASSERT_TRUE(run());
  // The catalog did not take it.
  EXPECT_FALSE(Fetch.onOffer({Key, 2}, First, Now));
}

TEST_F(RecordTransferTest, HasOneCallUnderWayHoweverOftenItIsOffered) {
  Fetch.onOffer({Key, 2}, First, Now);
  ASSERT_TRUE(Fetch.next(Now));
  Fetch.onOffer({Key, 2}, Second, Now);
  EXPECT_FALSE(Fetch.next(Now + 10s));
}

TEST_F(RecordTransferTest, KeepsWhatHasComeWhenAnotherSourceGoesOn) {
  Fetch.onOffer({Key, 2}, First, Now);
  Fetch.onOffer({Key, 2}, Second, Now);
  step();
  std::optional<RecordPartCall> call = Fetch.next(Now);
  ASSERT_TRUE(call);
  uint64_t offset = call->Request.Offset;
  EXPECT_GT(offset, 0U);
  Fetch.onFailure(Now);
  Now += 1s;
  call = Fetch.next(Now);
  ASSERT_TRUE(call);
  EXPECT_EQ(call->Source, Second);
  EXPECT_EQ(call->Request.Offset, offset);
}

TEST_F(RecordTransferTest, EndsAlthoughNewerRevisionsAreOfferedAllTheTime) {
  Fetch.onOffer({Key, 2}, First, Now);
  std::optional<FetchedRecord> fetched;
  for (uint64_t i = 3; i < 20 && !fetched; ++i) {
    Sender.Values[i] = valueOf(i);
    Fetch.onOffer({Key, i}, First, Now);
    fetched = step();
    Now += 100ms;
  }
  ASSERT_TRUE(fetched);
  EXPECT_EQ(fetched->Record.Value, valueOf(fetched->Record.Revision));
  auto newest = run();
  ASSERT_TRUE(newest);
  EXPECT_EQ(newest->Record.Value, valueOf(Sender.Values.rbegin()->first));
}

TEST_F(RecordTransferTest, BeginsAnewWhenTheSourceHasReplacedTheRevision) {
  Fetch.onOffer({Key, 2}, First, Now);
  step();
  Sender.Values.erase(2);
  Sender.Values[3] = valueOf(3);
  auto fetched = run();
  ASSERT_TRUE(fetched);
  EXPECT_EQ(fetched->Record.Value, valueOf(3));
}

TEST_F(RecordTransferTest, MixesNoPartsOfTwoEncodings) {
  Fetch.onOffer({Key, 2}, First, Now);
  step();
  // Another source with the same revision that lacks the base, and so sends
  // the whole value.
  Sender.Values.erase(1);
  auto fetched = run();
  ASSERT_TRUE(fetched);
  EXPECT_EQ(fetched->Record.Value, valueOf(2));
}

TEST_F(RecordTransferTest, AsksForTheWholeValueWhenTheDifferenceDoesNotFit) {
  Receiver.Values[1] = valueOf(7);
  Sender.Values[2] = valueOf(1) + "a little more";
  Fetch.onOffer({Key, 2}, First, Now);
  auto fetched = run();
  ASSERT_TRUE(fetched);
  EXPECT_EQ(fetched->BaseRevision, 0U);
  EXPECT_EQ(fetched->Record.Value, Sender.Values[2]);
}

TEST_F(RecordTransferTest, DoesNotCountAsProgressWhenNothingArrives) {
  Fetch.onOffer({Key, 2}, First, Now);
  EXPECT_TRUE(Fetch.isProgressing(Now));
  for (int i = 0; i < 20; ++i, Now += 100ms) {
    Fetch.onOffer({Key, 2}, First, Now);
    if (Fetch.next(Now))
      Fetch.onFailure(Now);
  }
  EXPECT_FALSE(Fetch.isProgressing(Now));
  EXPECT_EQ(Fetch.behindSince(), Start);
}

TEST_F(RecordTransferTest, IsBehindUntilTheRecordIsHeld) {
  EXPECT_EQ(Fetch.behindSince(), std::nullopt);
  Fetch.onOffer({Key, 2}, First, Now);
  EXPECT_EQ(Fetch.behindSince(), Start);
  Receiver.Values[2] = valueOf(2); // The key-value service was quicker.
  EXPECT_FALSE(Fetch.next(Now));
  EXPECT_EQ(Fetch.behindSince(), std::nullopt);
}

} // namespace
} // namespace daisytack::direct
