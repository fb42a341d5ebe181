/// Words of the operators' language, for queries and commands alike; the
/// grammar stands in docs/LANGUAGE.md.
#pragma once

#include "daisytack/error.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack::query {

/// A longer statement is refused before it is read.
constexpr size_t MaxStatementBytes = 4096;

/// Where a statement is wrong and how to mend it.
struct ParseError {
  size_t Column = 1; ///< In bytes from 1; one past the end for a missing word.
  std::string Expected;
  std::string Found; ///< Empty at the end of the statement.
  std::string Remedy;
  bool operator==(const ParseError &) const = default;
};

/// "column 6: expected a table, found 'foo'; REMEDY".
std::string toString(const ParseError &error);
/// As BadRequest with the text above.
Error toError(const ParseError &error);

enum class TokenKind : uint8_t {
  Word,     ///< Letters, digits and _ . : / * % + -
  Quoted,   ///< "text", with \" and \\ inside.
  Operator, ///< = != < <= > >= ~
  End,
};

struct Token {
  TokenKind Kind = TokenKind::End;
  std::string Text; ///< Of a quoted text: without quotes and escapes.
  size_t Column = 1;
  bool operator==(const Token &) const = default;
};

/// All tokens with End last; nothing with the error set when there is one.
std::optional<std::vector<Token>> tokenise(std::string_view text,
                                           ParseError &error);

/// The text as one token: in quotes when it is no word.
std::string quoteWord(std::string_view text);

} // namespace daisytack::query
