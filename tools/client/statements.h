/// Runs one statement of the language: parses it locally, so that a syntax
/// error is shown with its column, sends it to an entry and prints the answer.
#pragma once

#include "client_options.h"
#include "connection.h"

namespace daisytack::client {

/// Runs a query or a command; the first word decides which.
ExitCode runStatement(const std::string &text, const Options &options,
                      Connection &connection);

/// Runs a query, once or at the interval options.Watch without end.
ExitCode runQuery(const std::string &text, const Options &options,
                  Connection &connection);
ExitCode runCommand(const std::string &text, const Options &options,
                    Connection &connection);

/// The statement, a caret below the 1-based column, and the message.
std::string formatSyntaxError(const std::string &text, size_t column,
                              const std::string &message);

/// Joins the words of a command line, separated by spaces.
std::string joinWords(const std::vector<std::string> &words);

} // namespace daisytack::client
