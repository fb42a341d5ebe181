/// Command line and environment of the operators' client.
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
  Conflict = 3,    ///< Another operator's change came first.
  Unknown = 4,     ///< The change may or may not be in force.
  Unreachable = 5, ///< No entry answered; nothing was sent that changes.
  Incomplete = 6, ///< Done, but some instances didn't answer, or don't have the
                  ///< change in force yet.
};

enum class Format : uint8_t { Text, Json, Chrome, Html };

struct Options {
  std::vector<Endpoint> Entries; ///< Operators' addresses, tried in turn.
  std::string Key;               ///< Bearer key.
  Format Output = Format::Text;
  Duration Timeout{5'000'000}; ///< For one call.
  Duration Wait{0};            ///< For a change to be in force everywhere.
  Duration Watch{0};           ///< Between repeats of a query; zero: once.
  bool Colours = false;
  std::string Request; ///< Timeline of one request, by its id.
  Duration Since{0};   ///< Timeline of the last part.
  uint16_t PortOffset = 1;
  std::vector<std::string> Arguments; ///< What follows the flags.
};

/// Reads flags, environment and key file; nothing with the reason when they
/// don't make sense.
std::optional<Options> readOptions(int argc, char **argv, std::string &reason);

/// The text of --help.
const std::string &usageText();

} // namespace daisytack::client
