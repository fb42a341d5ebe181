/// Command line and environment variables of the operators' client.
#pragma once

#include "daisytack/types.h"

#include <optional>
#include <string>
#include <vector>

namespace daisytack::client {

/// Exit codes of the client.
enum class ExitCode : int {
  Done = 0,
  Usage = 1,       ///< The command line or the statement is wrong.
  Refused = 2,     ///< Nothing was changed; the reason and remedy are printed.
  Conflict = 3,    ///< Another operator's change was applied first.
  Unknown = 4,     ///< The change may or may not have been applied.
  Unreachable = 5, ///< No entry answered; no command was sent.
  Incomplete = 6, ///< Done, but some instances didn't answer or haven't applied
                  ///< the change yet.
};

enum class Format : uint8_t { Text, Json, Chrome, Html };

struct Options {
  std::vector<Endpoint> Entries; ///< Operators' addresses, tried in order.
  std::string Key;               ///< Bearer token; empty: none configured.
  Format Output = Format::Text;
  Duration Timeout{5'000'000}; ///< Of one call to one entry.
  /// Maximum time that a command waits until its change is in force on all
  /// processes; zero: it doesn't wait.
  Duration Wait{0};
  /// Revision that the object of a command must have; 0: it must not exist.
  std::optional<uint64_t> ExpectedRevision;
  Duration Watch{0}; ///< Interval between repeats of a query; zero: once.
  bool Colours = false;
  /// Request id whose timeline is shown; empty: all events of the last Since.
  std::string Request;
  Duration Since{0}; ///< Period up to now that the timeline covers.
  /// Added to a member's port for peers to get its port for operators.
  uint16_t PortOffset = 1;
  std::vector<std::string> Arguments; ///< Positional arguments.
};

/// Reads flags, environment and key file; std::nullopt and the reason when one
/// of them is invalid.
std::optional<Options> readOptions(int argc, char **argv, std::string &reason);

/// The text of --help.
const std::string &usageText();

} // namespace daisytack::client
