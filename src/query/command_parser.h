/// Parser of commands. The grammar is described in docs/LANGUAGE.md.
#pragma once

#include "query/command_ast.h"
#include "query/lexer.h"

namespace daisytack::query {

/// Parses a command. Returns nothing and sets the error when the text isn't
/// one.
std::optional<OperatorCommand> parseCommand(std::string_view text,
                                            ParseError &error);

/// Returns true if the first word is "show", as in every query.
bool isQuery(std::string_view text);

/// First words of all commands, for command completion and error messages.
const std::vector<std::string_view> &commandVerbs();
/// Names of the object kinds that "set", "admit" and "delete" accept.
std::vector<std::string_view> objectKinds();

} // namespace daisytack::query
