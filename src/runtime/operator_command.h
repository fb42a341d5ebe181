/// Runs the commands of operators: proposes configuration changes one after the
/// other, or stops requests on the entries that hold them.
#pragma once

#include "query/command_ast.h"
#include "runtime/operator_query.h"
#include "runtime/operator_statement.h"

#include <boost/asio/io_context.hpp>

namespace daisytack::runtime {

/// Result of a command.
struct CommandAnswer {
  control::CommandOutcome Outcome = control::CommandOutcome::Unknown;
  Error Reason;          ///< Set unless Outcome is Applied or Unchanged.
  uint64_t Revision = 0; ///< Revision of the last change; 0: none.
  std::optional<control::OtherChange> Other;
  size_t Changes = 0; ///< Number of planned changes that are in effect; for a
                      ///< stop command, number of entries that replied.
  size_t Planned = 0; ///< Number of changes that the command consists of; for a
                      ///< stop command, number of entries queried.
  std::optional<uint64_t> Stopped; ///< Number of requests that were stopped;
                                   ///< set for a stop command only.
  /// Set if the operator waits for the change to be in force.
  std::optional<control::RolloutReport> Rollout;
};

/// Body of the HTTP response, as JSON. Its status is commandStatus().
std::string toJson(const CommandAnswer &answer);
unsigned commandStatus(const CommandAnswer &answer);

/// Thread-safe. The referenced objects must outlive it and all running
/// commands.
class OperatorCommands {
public:
  using DoneHook = std::function<void(CommandAnswer)>;

  OperatorCommands(boost::asio::io_context &io, const OperatorInit &init,
                   net::HttpClient &client)
      : Io(io), Init(init), Client(client) {}

  void setSelf(Endpoint self) { Self = std::move(self); }
  /// Runs a command and calls done once. The statement is the one that the
  /// command was parsed from. With a wait above zero, done is called when the
  /// change is in force on all queried members or the wait has passed. An
  /// expected revision is refused unless the command changes one object.
  void run(const query::OperatorCommand &command, const Statement &statement,
           const OperatorCaller &caller, const DoneHook &done);

private:
  using Changes = std::shared_ptr<const std::vector<control::Command>>;

  void proposeNext(const Changes &changes, CommandAnswer soFar, Duration wait,
                   const DoneHook &done);
  void stop(const query::StopTarget &target, std::string_view text,
            const OperatorCaller &caller, const DoneHook &done);
  void waitForRollout(const CommandAnswer &answer, TimePoint until,
                      const DoneHook &done);

  boost::asio::io_context &Io;
  const OperatorInit &Init;
  net::HttpClient &Client;
  Endpoint Self;
};

} // namespace daisytack::runtime
