#include "runtime/command_runner.h"

#include "base/clock.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace daisytack::runtime {

namespace {

using control::CommandStep;

/// Runs one command. The pending call or timer holds a reference to it.
class Runner : public std::enable_shared_from_this<Runner> {
public:
  Runner(Strand strand, edge::KvStore kv, control::CommandRun run,
         Duration timeout, CommandDone done)
      : Executor(std::move(strand)), Kv(std::move(kv)), Run(std::move(run)),
        Timeout(timeout), Done(std::move(done)), Timer(Executor) {}

  void start() { runStep(Run.begin()); }

private:
  void runStep(CommandStep step) {
    switch (step.Action) {
    case CommandStep::Kind::Commit:
      return commit(std::move(step.Transaction));
    case CommandStep::Kind::Read:
      return read(std::move(step.Range));
    case CommandStep::Kind::Wait:
      return wait(step.Delay);
    case CommandStep::Kind::Done:
      return Done(std::move(step.Result));
    }
  }

  void commit(edge::KvTransaction transaction) {
    Kv.Commit(
        std::move(transaction), Timeout,
        [self = shared_from_this()](edge::KvTransactionResult result) {
          boost::asio::post(self->Executor, [self, result = std::move(result)] {
            self->runStep(self->Run.onCommitted(result, monotonicNow()));
          });
        });
  }

  void read(edge::KvRange range) {
    Kv.Range(std::move(range), Timeout,
             [self = shared_from_this()](edge::KvRangeResult result) {
               boost::asio::post(
                   self->Executor, [self, result = std::move(result)] {
                     self->runStep(self->Run.onRead(result, monotonicNow()));
                   });
             });
  }

  void wait(Duration pause) {
    Timer.expires_after(pause);
    Timer.async_wait(
        [self = shared_from_this()](const boost::system::error_code &) {
          self->runStep(self->Run.onWaited());
        });
  }

  Strand Executor;
  edge::KvStore Kv;
  control::CommandRun Run;
  Duration Timeout;
  CommandDone Done;
  net::Timer Timer;
};

} // namespace

void runCommand(const Strand &strand, const edge::KvStore &kv,
                control::Command command,
                std::optional<control::ReplicaEntry> base, Duration callTimeout,
                Duration commandTimeout, CommandDone done) {
  control::CommandRun run(std::move(command), std::move(base),
                          monotonicNow() + commandTimeout);
  std::make_shared<Runner>(strand, kv, std::move(run), callTimeout,
                           std::move(done))
      ->start();
}

} // namespace daisytack::runtime
