/// Runs commands: proposes configuration changes one after the other, or stops
/// requests over the entries concerned.
#pragma once

#include "query/command_ast.h"
#include "runtime/operator_query.h"

#include <boost/asio/io_context.hpp>

namespace daisytack::runtime {

/// What came of a command.
struct CommandAnswer {
  control::CommandOutcome Outcome = control::CommandOutcome::Unknown;
  Error Reason;          ///< Unless Applied or Unchanged.
  uint64_t Revision = 0; ///< Of the last change.
  std::optional<control::OtherChange> Other;
  size_t Changes = 0; ///< Applied, of a command that makes several.
  size_t Planned = 0;
  std::optional<uint64_t> Stopped; ///< Requests, by a stop command.
  std::optional<control::RolloutReport>
      InForce; ///< When the operator waits for it.
};

/// JSON text; the HTTP status that carries it is commandStatus().
std::string toJson(const CommandAnswer &answer);
unsigned commandStatus(const CommandAnswer &answer);

/// Thread-safe; its references outlive it and every command.
class OperatorCommands {
public:
  using DoneHook = std::function<void(CommandAnswer)>;

  OperatorCommands(boost::asio::io_context &io, const OperatorInit &init,
                   net::HttpClient &client)
      : Io(io), Init(init), Client(client) {}

  void setSelf(Endpoint self) { Self = std::move(self); }
  /// Text is the command as it was written. A wait above zero asks how far the
  /// change got, until it is in force everywhere or the wait has passed.
  void run(const query::OperatorCommand &command, std::string_view text,
           const OperatorCaller &caller, Duration wait, const DoneHook &done);

private:
  using Changes = std::shared_ptr<const std::vector<control::Command>>;

  void proposeNext(const Changes &changes, CommandAnswer soFar, Duration wait,
                   const DoneHook &done);
  void stop(const query::StopTarget &target, std::string_view text,
            const OperatorCaller &caller, const DoneHook &done);
  void waitInForce(const CommandAnswer &answer, TimePoint until,
                   const DoneHook &done);

  boost::asio::io_context &Io;
  const OperatorInit &Init;
  net::HttpClient &Client;
  Endpoint Self;
};

} // namespace daisytack::runtime
