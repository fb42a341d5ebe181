#include "context/verified_read.h"

#include "context/check.h"
#include "context/fake_store.h"

#include <functional>

namespace daisytack {

namespace {

const std::string Version = "v1";

/// A fault that the store injects before one step of a read.
struct StoreFault {
  const char *Name;
  std::function<void(FakeStore &)> Inject;
};

const std::vector<StoreFault> Faults = {
    {"torn", [](FakeStore &s) { s.truncate(testKey(1)); }},
    {"corrupt", [](FakeStore &s) { s.flipBit(testKey(1)); }},
    {"freed", [](FakeStore &s) { s.drop(testKey(1)); }},
    {"replaced", [](FakeStore &s) { s.write(testKey(1), "other payload"); }},
    {"reused for another key",
     [](FakeStore &s) { s.alias(testKey(1), testKey(2)); }},
    {"dead", [](FakeStore &s) { s.Down = true; }},
};

/// Runs a read against the store and injects the fault before the step with
/// index faultStep.
VerifiedRead runRead(FakeStore &store, size_t faultStep,
                     const StoreFault &fault,
                     std::string engineVersion = Version) {
  VerifiedRead read(testKey(1), Version);
  for (size_t i = 0; read.step() <= ReadStep::CheckGeneration; ++i) {
    if (i == faultStep)
      fault.Inject(store);
    if (store.Down) {
      read.onFailure();
      continue;
    }
    switch (read.step()) {
    case ReadStep::LookUp:
      read.onLookup(store.lookup(read.key()));
      break;
    case ReadStep::FetchBytes:
      if (read.onHeader(store.header(read.key())) == ReadStep::FetchBytes)
        read.onBytes(store.bytes(read.key()));
      break;
    default:
      read.onGeneration(store.generation(read.key()), engineVersion);
    }
  }
  return read;
}

const StoreFault NoFault = {"none", [](FakeStore &) {}};

} // namespace

TEST(VerifiedRead, ImportsTheWholePiece) {
  FakeStore store;
  store.write(testKey(1), "payload");
  VerifiedRead read = runRead(store, 0, NoFault);
  EXPECT_EQ(read.step(), ReadStep::Import);
  EXPECT_EQ(read.payload(), "payload");
}

TEST(VerifiedRead, AFaultAtAnyStepNeverImportsOtherBytes) {
  for (const StoreFault &fault : Faults) {
    for (size_t step = 0; step < 3; ++step) {
      FakeStore store;
      store.write(testKey(1), "payload");
      store.write(testKey(2), "another organisation's");
      VerifiedRead read = runRead(store, step, fault);
      if (read.step() != ReadStep::Import) {
        EXPECT_NE(read.fault(), PieceFault::None);
        EXPECT_EQ(read.payload(), "") << fault.Name;
        continue;
      }
      // The fault came after the bytes were read, or the piece was replaced
      // before the lookup.
      bool whole =
          read.payload() == "payload" || read.payload() == "other payload";
      EXPECT_TRUE(whole) << fault.Name << " at step " << step;
    }
  }
}

TEST(VerifiedRead, EachFaultHasItsReason) {
  struct Row {
    size_t Fault;
    size_t Step;
    PieceFault Expected;
  };
  const Row rows[] = {
      {0, 0, PieceFault::Torn},       {0, 1, PieceFault::Torn},
      {1, 0, PieceFault::Corrupt},    {1, 1, PieceFault::Corrupt},
      {2, 0, PieceFault::Missing},    {2, 1, PieceFault::Freed},
      {2, 2, PieceFault::Freed},      {3, 1, PieceFault::Replaced},
      {3, 2, PieceFault::Replaced},   {4, 0, PieceFault::MisKeyed},
      {4, 1, PieceFault::Replaced},   {5, 0, PieceFault::StoreFailed},
      {5, 2, PieceFault::StoreFailed}};
  for (const Row &row : rows) {
    FakeStore store;
    store.write(testKey(1), "payload");
    store.write(testKey(2), "another organisation's");
    VerifiedRead read = runRead(store, row.Step, Faults[row.Fault]);
    EXPECT_EQ(pieceFaultName(read.fault()), pieceFaultName(row.Expected))
        << Faults[row.Fault].Name << " at step " << row.Step;
  }
}

TEST(VerifiedRead, WeightChangeDuringTheReadRejectsThePiece) {
  FakeStore store;
  store.write(testKey(1), "payload");
  VerifiedRead read = runRead(store, 0, NoFault, "v2");
  EXPECT_EQ(read.fault(), PieceFault::VersionChanged);
  EXPECT_EQ(read.payload(), "");
}

TEST(VerifiedRead, ExcessiveLengthsAreRejectedBeforeTheBody) {
  for (uint64_t length : {MaxPieceFrameBytes + 1, UINT64_MAX}) {
    VerifiedRead read(testKey(1), Version);
    read.onLookup(LookupAnswer{testKey(1), 5, length});
    EXPECT_EQ(read.fault(), PieceFault::TooLong);
  }
  VerifiedRead read(testKey(1), Version);
  read.onLookup(LookupAnswer{testKey(1), 5, 1000});
  read.onHeader({5, UINT64_MAX, {}});
  EXPECT_EQ(read.fault(), PieceFault::TooLong);
  VerifiedRead tiny(testKey(1), Version);
  tiny.onLookup(LookupAnswer{testKey(1), 5, 3});
  EXPECT_EQ(tiny.fault(), PieceFault::Torn);
}

TEST(VerifiedRead, AnotherKeysLookupAnswerIsRejected) {
  VerifiedRead read(testKey(1), Version);
  read.onLookup(LookupAnswer{testKey(2), 5, 1000});
  EXPECT_EQ(read.fault(), PieceFault::MisKeyed);
}

TEST(VerifiedRead, ImportsOnlyAfterAnswersInTheRequiredOrder) {
  expectProperty([] {
    FakeStore store;
    store.write(testKey(1), "payload");
    VerifiedRead read(testKey(1), Version);
    // The only sequence of answers that may lead to an import.
    const std::vector<int> required = {0, 1, 2, 3};
    auto order = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
    for (int it : order) {
      if (it == 0)
        read.onLookup(store.lookup(testKey(1)));
      else if (it == 1)
        read.onHeader(store.header(testKey(1)));
      else if (it == 2)
        read.onBytes(store.bytes(testKey(1)));
      else
        read.onGeneration(store.generation(testKey(1)), Version);
    }
    RC_ASSERT((read.step() == ReadStep::Import) == (order == required));
    RC_ASSERT(read.payload() == (order == required ? "payload" : ""));
  });
}

TEST(PieceFrame, RejectsTruncatedAndExtendedFrames) {
  std::string whole = encodePieceFrame(testKey(1), 7, "payload");
  PieceFault fault = PieceFault::None;
  auto frame = decodePieceFrame(whole, fault);
  ASSERT_TRUE(frame);
  EXPECT_EQ(frame->Key, testKey(1));
  EXPECT_EQ(frame->Generation, 7U);
  EXPECT_EQ(frame->Payload, "payload");
  for (size_t n = 0; n < whole.size(); ++n)
    EXPECT_FALSE(decodePieceFrame(whole.substr(0, n), fault)) << n;
  EXPECT_FALSE(decodePieceFrame(whole + "x", fault));
}

} // namespace daisytack
