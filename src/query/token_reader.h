/// Token stream for the recursive descent parsers of queries and commands.
#pragma once

#include "query/lexer.h"

#include <cstdint>

namespace daisytack::query {

/// Reads tokens in order. Only the first failed expectation sets the error, so
/// that it describes the earliest mistake.
class TokenReader {
public:
  TokenReader(std::vector<Token> tokens, ParseError &error)
      : Tokens(std::move(tokens)), FirstError(error) {}

  const Token &peek() const { return Tokens[At]; }
  bool atEnd() const { return peek().Kind == TokenKind::End; }
  /// Consumes the next token if it is this keyword, and returns whether it was.
  bool accept(std::string_view keyword);
  /// Consumes the next token if it is this keyword; fails otherwise.
  bool expect(std::string_view keyword);
  /// Consumes a word or a quoted text. `expected` describes it in the error.
  bool value(std::string &out, std::string_view expected,
             std::string_view remedy);
  /// Consumes a whole number from min to max, both inclusive.
  bool number(uint64_t &out, uint64_t min, uint64_t max);
  /// Fails unless the statement has ended. `alternatives` lists what could have
  /// followed instead; empty when nothing could.
  bool expectEnd(std::string_view alternatives);
  /// Records an error at the next token and returns false.
  bool fail(std::string_view expected, std::string_view remedy);
  /// Records an error at a token that was already consumed and returns false.
  bool failAt(const Token &token, std::string_view expected,
              std::string_view remedy);
  /// Consumes and returns the next token; End is never consumed.
  Token take();

private:
  std::vector<Token> Tokens; ///< The last one is End.
  ParseError &FirstError;
  size_t At = 0;
  bool HasFailed = false;
};

/// Joins words for an error message: "a, b or c".
std::string alternatives(const std::vector<std::string_view> &words);

} // namespace daisytack::query
