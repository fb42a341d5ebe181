/// Lexer of the operators' language, shared by queries and commands. The
/// grammar is described in docs/LANGUAGE.md.
#pragma once

#include "daisytack/error.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack::query {

/// Maximum size of a statement. Longer statements are rejected unparsed.
constexpr size_t MaxStatementBytes = 4096;

/// Position and cause of a syntax error, with a hint on how to fix it.
struct ParseError {
  size_t Column = 1; ///< In bytes, from 1; one past the end when input is
                     ///< missing.
  std::string Expected;
  std::string Found;  ///< Empty when the statement ended.
  std::string Remedy; ///< How to fix the statement.
  bool operator==(const ParseError &) const = default;
};

/// Formats an error as "column 6: expected a table, found 'foo'; REMEDY".
std::string toString(const ParseError &error);
/// Converts an error to ErrorKind::BadRequest with toString(error) as detail.
Error toError(const ParseError &error);

enum class TokenKind : uint8_t {
  Word,     ///< Letters, digits and _ . : / * % + -
  Quoted,   ///< "text", with \" and \\ inside.
  Operator, ///< = != < <= > >= ~
  End,      ///< End of the statement.
};

struct Token {
  TokenKind Kind = TokenKind::End;
  std::string Text;  ///< Quoted text is stored without quotes and escapes.
  size_t Column = 1; ///< In bytes, from 1.
  bool operator==(const Token &) const = default;
};

/// Splits a statement into tokens, the last of which is End. Returns nothing
/// and sets the error when the text isn't valid.
std::optional<std::vector<Token>> tokenise(std::string_view text,
                                           ParseError &error);

/// Formats a text as one token, quoted unless it is a valid word.
std::string quoteWord(std::string_view text);

} // namespace daisytack::query
