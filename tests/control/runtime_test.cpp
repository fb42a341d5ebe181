#include "runtime/control_runtime.h"

#include "base/digest.h"
#include "control/fake_platform.h"

#include <gtest/gtest.h>

namespace daisytack::runtime {
namespace {

using control::CommandOutcome;
using control::FakeKv;
using control::FakeList;
using control::ObjectKey;
using control::ObjectKind;

const ObjectKey ModelKey{ObjectKind::Model, "m"};

Member agent(const std::string &name) {
  Member out;
  out.Name = name;
  out.Region = "r";
  out.FailureDomain = "d";
  out.Serves = "m";
  out.Work = {"127.0.0.1", 1};
  out.Peer = {"127.0.0.1", 2};
  return out;
}

/// One runtime with fakes of the platform.
class ControlRuntimeTest : public ::testing::Test {
protected:
  ControlRuntimeTest() {
    List.set(agent("a"));
    List.set(agent("b"));
    Kv.put(toText(ModelKey), R"({"version": "v1"})");
  }

  void startRuntime() {
    ControlInit init;
    init.Self = agent("a");
    init.Self.Peer = {"127.0.0.1", 0};
    init.Process = {1, 1};
    init.Keys = {{"k", "secret"}};
    Runtime = std::make_unique<ControlRuntime>(
        Io, init, Kv.hooks(), List.hooks(), ProcessMetrics,
        [](const Event &) {}, [this] { return mix64(++Drawn); });
    Error reason;
    ASSERT_TRUE(Runtime->start(reason)) << reason.Detail;
  }

  void runUntil(const std::function<bool()> &condition) {
    while (!condition())
      Io.run_one();
  }

  control::CommandResult propose(const std::string &version) {
    control::Command command;
    command.Id = {mix64(++Drawn), 1};
    command.Operator = "ann";
    command.Key = ModelKey;
    command.Edit = [version](std::optional<ConfigObject> &object, Error &) {
      std::get<Model>(*object).Version = version;
      return true;
    };
    std::optional<control::CommandResult> out;
    Runtime->propose(command, [&](control::CommandResult r) { out = r; });
    runUntil([&] { return out.has_value(); });
    return *out;
  }

  std::string versionInForce() {
    const Model *model = Runtime->snapshots().load()->model("m");
    return model ? model->Version : "";
  }

  boost::asio::io_context Io;
  Metrics ProcessMetrics;
  FakeKv Kv;
  FakeList List;
  uint64_t Drawn = 0;
  std::unique_ptr<ControlRuntime> Runtime;
};

TEST_F(ControlRuntimeTest, ReportsWhyItIsNotReadyAndRecovers) {
  Kv.Down = true;
  List.Down = true;
  startRuntime();
  runUntil([&] {
    return Runtime->readiness().Reason.find("down") != std::string::npos;
  });
  EXPECT_FALSE(Runtime->readiness().Ready);
  Kv.Down = false;
  List.Down = false;
  runUntil([&] { return Runtime->readiness().Ready; });
  EXPECT_EQ(versionInForce(), "v1");
}

TEST_F(ControlRuntimeTest, AppliesCommandThroughWatchAndSurvivesLostAnswer) {
  startRuntime();
  runUntil([&] { return Runtime->readiness().Ready; });
  EXPECT_EQ(propose("v2").Outcome, CommandOutcome::Applied);
  runUntil([&] { return versionInForce() == "v2"; });
  Kv.LoseAnswers = 1;
  EXPECT_EQ(propose("v3").Outcome, CommandOutcome::Applied);
  runUntil([&] { return versionInForce() == "v3"; });
}

TEST_F(ControlRuntimeTest, CatchesUpAfterWatchWasCut) {
  startRuntime();
  runUntil([&] { return Runtime->readiness().Ready; });
  Kv.Down = true;
  Kv.cutWatches();
  Kv.put(toText(ModelKey), R"({"version": "v5"})");
  Kv.Down = false;
  runUntil([&] { return versionInForce() == "v5"; });
}

TEST_F(ControlRuntimeTest, RejectsServiceWithLowerRevision) {
  startRuntime();
  runUntil([&] { return Runtime->readiness().Ready; });
  Kv.Revision = 1;
  Kv.Entries.clear();
  Kv.cutWatches();
  runUntil([&] { return !Runtime->stats().ServiceReached; });
  EXPECT_EQ(versionInForce(), "v1");
}

TEST_F(ControlRuntimeTest, LeavingTakesEffectBeforeTheListShowsIt) {
  startRuntime();
  runUntil([&] { return Runtime->readiness().Ready; });
  Runtime->leave();
  auto poolSize = [&] {
    return Runtime->snapshots().load()->pool("m", false)->Servers.size();
  };
  runUntil([&] { return poolSize() == 1; });
  Runtime->reportDraining("b");
  runUntil([&] { return poolSize() == 0; });
}

} // namespace
} // namespace daisytack::runtime
