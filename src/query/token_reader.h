/// Reads tokens in order, for the parsers of queries and commands.
#pragma once

#include "query/lexer.h"

#include <cstdint>

namespace daisytack::query {

/// The first failed expectation sets the error; later ones leave it alone.
class TokenReader {
public:
  TokenReader(std::vector<Token> tokens, ParseError &error)
      : Tokens(std::move(tokens)), FirstError(error) {}

  const Token &peek() const { return Tokens[At]; }
  bool atEnd() const { return peek().Kind == TokenKind::End; }
  /// Takes the next token when it is this keyword.
  bool accept(std::string_view keyword);
  /// Takes the next token when it is this keyword; an error otherwise.
  bool expect(std::string_view keyword);
  /// Takes a word or a quoted text. Expected names it in the error.
  bool value(std::string &out, std::string_view expected,
             std::string_view remedy);
  /// Takes a whole number from min to max.
  bool number(uint64_t &out, uint64_t min, uint64_t max);
  bool expectEnd(std::string_view alternatives);
  /// Notes an error at the next token; returns false.
  bool fail(std::string_view expected, std::string_view remedy);
  /// The same at a token that was already taken.
  bool failAt(const Token &token, std::string_view expected,
              std::string_view remedy);
  Token take();

private:
  std::vector<Token> Tokens; ///< Ends with End.
  ParseError &FirstError;
  size_t At = 0;
  bool HasFailed = false;
};

/// "a, b or c".
std::string alternatives(const std::vector<std::string_view> &words);

} // namespace daisytack::query
