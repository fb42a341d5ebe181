#include "runtime/process.h"

#include "base/clock.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gflags/gflags.h>
#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <thread>
#include <unistd.h>

namespace daisytack::runtime {

namespace {

class Process : public testing::Test {
protected:
  int run(std::vector<std::string> arguments) {
    gflags::FlagSaver saver;
    arguments.insert(arguments.begin(), "trial");
    std::vector<char *> raw;
    for (std::string &it : arguments)
      raw.push_back(it.data());
    raw.push_back(nullptr);
    return runProcess(static_cast<int>(arguments.size()), raw.data(), Init);
  }

  std::string fileWith(const std::string &text) {
    // Tests run concurrently, each in its own process.
    std::string path =
        testing::TempDir() + "process_" +
        testing::UnitTest::GetInstance()->current_test_info()->name() + ".ini";
    std::ofstream(path) << text;
    return "--config=" + path;
  }

  std::vector<std::string> Calls;
  ProcessInit Init{"trial",
                   "A trial.",
                   [](Settings &it) { it.integer("trial.n", 1, 0, 9); },
                   [this](boost::asio::io_context &io, Error &) {
                     Calls.emplace_back("start");
                     boost::asio::post(io, [] { std::raise(SIGTERM); });
                     return true;
                   },
                   [this](TimePoint, const std::function<void(bool)> &done) {
                     Calls.emplace_back("drain");
                     done(true);
                   },
                   [this] { Calls.emplace_back("stop"); }};
};

} // namespace

TEST_F(Process, DrainsOnSignalAndStops) {
  EXPECT_EQ(run({fileWith("[process]\nthreads = 3\nlog_level = error\n")}), 0);
  EXPECT_EQ(Calls, (std::vector<std::string>{"start", "drain", "stop"}));
}

TEST_F(Process, InterruptEndsAHungDrain) {
  Init.Drain = [](TimePoint, const std::function<void(bool)> &) {
    std::raise(SIGINT);
  };
  EXPECT_EQ(run({fileWith("[process]\nlog_level = error\n")}), 5);
}

TEST_F(Process, RepeatedSignalDoesNotAbortTheDrain) {
  boost::asio::io_context *context = nullptr;
  Init.Start = [&](boost::asio::io_context &io, Error &) {
    context = &io;
    boost::asio::post(io, [] { std::raise(SIGTERM); });
    return true;
  };
  Init.Drain = [&](TimePoint, std::function<void(bool)> done) {
    std::raise(SIGTERM);
    auto later = std::make_shared<boost::asio::steady_timer>(*context);
    later->expires_after(std::chrono::milliseconds(50));
    later->async_wait([later, done = std::move(done)](auto) { done(true); });
  };
  EXPECT_EQ(run({fileWith("[process]\nlog_level = error\n")}), 0);
}

TEST_F(Process, ExitCodeReportsAbortedWork) {
  Init.Drain = [](TimePoint, const std::function<void(bool)> &done) {
    done(false);
  };
  EXPECT_EQ(run({fileWith("[process]\nlog_level = error\n")}), 4);
}

TEST_F(Process, ExitsBeforeThePlatformKillsIt) {
  TimePoint drainedAt;
  TimePoint drainDeadline;
  Init.Drain = [&](TimePoint end, const std::function<void(bool)> &) {
    drainedAt = monotonicNow();
    drainDeadline = end;
  };
  EXPECT_EQ(run({fileWith("[process]\nkill_after = 500ms\n"
                          "log_level = error\n")}),
            4);
  EXPECT_LT(drainDeadline, drainedAt + std::chrono::milliseconds(500));
}

TEST_F(Process, DeadlineOfABlockedSignalCountsFromProcessStart) {
  TimePoint startedAt;
  TimePoint drainDeadline;
  sigset_t stopSignals;
  sigemptyset(&stopSignals);
  sigaddset(&stopSignals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &stopSignals, nullptr);
  std::raise(SIGTERM);
  Init.Start = [&](boost::asio::io_context &, Error &) {
    startedAt = monotonicNow();
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    return true;
  };
  Init.Drain = [&](TimePoint end, const std::function<void(bool)> &done) {
    drainDeadline = end;
    done(true);
  };
  EXPECT_EQ(run({fileWith("[process]\nkill_after = 10s\n"
                          "log_level = error\n")}),
            0);
  // Counted from when the signal is handled, the deadline would be 300 ms
  // later.
  EXPECT_LE(drainDeadline, startedAt + std::chrono::milliseconds(9800));
}

TEST_F(Process, ReloadsSettingsOnHangup) {
  int64_t n = 0;
  Init.ReadSettings = [&](Settings &it) { n = it.integer("trial.n", 1, 0, 9); };
  Init.Reload = [&] {
    Calls.push_back("reload " + std::to_string(n));
    std::raise(SIGTERM);
  };
  Init.Start = [this](boost::asio::io_context &io, Error &) {
    boost::asio::post(io, [this] {
      fileWith("[process]\nlog_level = error\n[trial]\nn = 7\n");
      std::raise(SIGHUP);
    });
    return true;
  };
  EXPECT_EQ(run({fileWith("[process]\nlog_level = error\n")}), 0);
  EXPECT_EQ(Calls, (std::vector<std::string>{"reload 7", "drain", "stop"}));
}

TEST_F(Process, ReloadsAChangedFileWithoutASignal) {
  Init.Reload = [&] {
    Calls.emplace_back("reload");
    std::raise(SIGTERM);
  };
  Init.Start = [this](boost::asio::io_context &io, Error &) {
    boost::asio::post(io, [this] {
      fileWith("[process]\nlog_level = error\n[trial]\nn = 2\n");
    });
    return true;
  };
  EXPECT_EQ(run({fileWith("[process]\nlog_level = error\n")}), 0);
  EXPECT_EQ(Calls, (std::vector<std::string>{"reload", "drain", "stop"}));
}

/// The check of the file ran on a second thread while a hangup was reloading.
TEST_F(Process, ReloadsOnOneThreadAtATime) {
  std::atomic<int> running{0};
  std::atomic<int> reloads{0};
  std::atomic<bool> hasOverlapped{false};
  Init.Reload = [&] {
    if (++running > 1)
      hasOverlapped = true;
    if (++reloads == 1) {
      fileWith("[process]\nthreads = 2\nlog_level = error\n[trial]\nn = 3\n");
      // Longer than the interval between two checks of the file.
      for (int i = 0; i < 25 && !hasOverlapped; ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    } else {
      std::raise(SIGTERM);
    }
    --running;
  };
  Init.Start = [](boost::asio::io_context &io, Error &) {
    boost::asio::post(io, [] { std::raise(SIGHUP); });
    return true;
  };
  EXPECT_EQ(run({fileWith("[process]\nthreads = 2\nlog_level = error\n")}), 0);
  EXPECT_FALSE(hasOverlapped);
  EXPECT_EQ(reloads, 2);
}

TEST_F(Process, KeepsItsSettingsWhenTheNewOnesHoldAMistake) {
  Init.Reload = [&] { Calls.emplace_back("reload"); };
  Init.Start = [this](boost::asio::io_context &io, Error &) {
    boost::asio::post(io, [this, &io] {
      fileWith("[process]\nlog_level = error\n[trial]\nn = 99\n");
      std::raise(SIGHUP);
      boost::asio::post(io, [] { std::raise(SIGTERM); });
    });
    return true;
  };
  testing::internal::CaptureStderr();
  // One thread handles the two signals in their order. On two, the drain could
  // begin before the reload, and a process that drains reads no settings.
  EXPECT_EQ(run({fileWith("[process]\nthreads = 1\nlog_level = error\n")}), 0);
  std::string text = testing::internal::GetCapturedStderr();
  EXPECT_EQ(Calls, (std::vector<std::string>{"drain", "stop"}));
  EXPECT_NE(text.find("trial.n = 99"), std::string::npos) << text;
}

TEST_F(Process, IgnoresAHangupWithoutAReload) {
  Init.Start = [](boost::asio::io_context &io, Error &) {
    std::raise(SIGHUP);
    boost::asio::post(io, [] { std::raise(SIGTERM); });
    return true;
  };
  // One thread handles the hangup before the drain, which would ignore it.
  EXPECT_EQ(run({fileWith("[process]\nthreads = 1\nlog_level = error\n")}), 0);
  EXPECT_EQ(Calls, (std::vector<std::string>{"drain", "stop"}));
}

// Libraries register atexit handlers that wait for their threads, which may
// never end.
TEST_F(Process, ExitsWithoutRunningAtexitHandlers) {
  testing::GTEST_FLAG(death_test_style) = "threadsafe";
  EXPECT_EXIT(
      {
        std::atexit([] { ::_exit(1); });
        endProcess(4);
      },
      testing::ExitedWithCode(4), "");
}

TEST_F(Process, DrainTimeoutIsEnforced) {
  Init.Drain = [](TimePoint, const std::function<void(bool)> &) {};
  EXPECT_EQ(run({fileWith("[process]\ndrain_timeout = 0s\n"
                          "log_level = error\n")}),
            4);
}

TEST_F(Process, FailedStartHasItsOwnExitCode) {
  Init.Start = [](boost::asio::io_context &, Error &reason) {
    reason = {ErrorKind::Internal, "address in use", {}};
    return false;
  };
  EXPECT_EQ(run({fileWith("")}), 3);
}

TEST_F(Process, PrintsEverySettingsError) {
  testing::internal::CaptureStderr();
  int code = run({fileWith("[process]\nthreads = x\n[trial]\nn = 11\nm = 1\n"),
                  "--check"});
  std::string text = testing::internal::GetCapturedStderr();
  EXPECT_EQ(code, 2);
  for (const char *key : {"process.threads", "trial.n = 11", "trial.m"})
    EXPECT_NE(text.find(key), std::string::npos) << text;
  EXPECT_TRUE(Calls.empty());
}

TEST_F(Process, CheckStartsNothing) {
  testing::internal::CaptureStdout();
  EXPECT_EQ(run({fileWith("[trial]\nn = 2\n"), "--check"}), 0);
  testing::internal::GetCapturedStdout();
  EXPECT_TRUE(Calls.empty());
}

TEST_F(Process, HelpShowsOnlyItsOwnFlags) {
  testing::internal::CaptureStdout();
  EXPECT_EQ(run({"--help"}), 0);
  std::string text = testing::internal::GetCapturedStdout();
  EXPECT_NE(text.find("--config"), std::string::npos);
  EXPECT_EQ(text.find("flagfile"), std::string::npos);
  EXPECT_EQ(run({}), 1);
  EXPECT_EQ(run({"word"}), 1);
}

} // namespace daisytack::runtime
