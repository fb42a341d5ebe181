/// Parses a command; the grammar stands in docs/LANGUAGE.md.
#pragma once

#include "query/command_ast.h"
#include "query/lexer.h"

namespace daisytack::query {

/// The command; nothing with the error set when the text is none.
std::optional<OperatorCommand> parseCommand(std::string_view text,
                                            ParseError &error);

/// True when the text begins as a query does.
bool isQuery(std::string_view text);

/// First words of all commands, for completion and help.
const std::vector<std::string_view> &commandVerbs();
/// First words of the kinds of objects that set and delete take.
std::vector<std::string_view> objectKinds();

} // namespace daisytack::query
