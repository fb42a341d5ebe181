/// Runs one statement of the language: parses it here, so that a mistake shows
/// its column, sends it and prints the answer.
#pragma once

#include "client_options.h"
#include "connection.h"

namespace daisytack::client {

/// Query or command, told apart by the first word.
ExitCode runStatement(const std::string &text, const Options &options,
                      Connection &connection);

/// A query, printed as options say.
ExitCode runQuery(const std::string &text, const Options &options,
                  Connection &connection);
ExitCode runCommand(const std::string &text, const Options &options,
                    Connection &connection);

/// The statement with a mark below the mistake.
std::string formatSyntaxError(const std::string &text, size_t column,
                              const std::string &message);

/// Words of a command line as one statement.
std::string joinWords(const std::vector<std::string> &words);

} // namespace daisytack::client
