/// Parses a query; the grammar stands in docs/LANGUAGE.md.
#pragma once

#include "query/lexer.h"
#include "query/query_ast.h"

namespace daisytack::query {

/// The query; nothing with the error set when the text is none.
std::optional<Query> parseQuery(std::string_view text, ParseError &error);

/// A text that parses to the same query.
std::string toString(const Query &query);

} // namespace daisytack::query
