/// Parser of queries. The grammar is described in docs/LANGUAGE.md.
#pragma once

#include "query/lexer.h"
#include "query/query_ast.h"

namespace daisytack::query {

/// Parses a query. Returns nothing and sets the error when the text isn't one.
std::optional<Query> parseQuery(std::string_view text, ParseError &error);

/// Formats a query so that it parses to an equal query.
std::string toString(const Query &query);

} // namespace daisytack::query
