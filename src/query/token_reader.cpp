#include "query/token_reader.h"

#include "base/setting_text.h"

namespace daisytack::query {

bool TokenReader::accept(std::string_view keyword) {
  if (peek().Kind != TokenKind::Word || peek().Text != keyword)
    return false;
  ++At;
  return true;
}

bool TokenReader::expect(std::string_view keyword) {
  std::string quoted = "'" + std::string(keyword) + "'";
  return accept(keyword) || fail(quoted, "write " + quoted + " here");
}

bool TokenReader::value(std::string &out, std::string_view expected,
                        std::string_view remedy) {
  bool isValue =
      peek().Kind == TokenKind::Word || peek().Kind == TokenKind::Quoted;
  if (!isValue)
    return fail(expected, remedy);
  out = take().Text;
  return true;
}

bool TokenReader::number(uint64_t &out, uint64_t min, uint64_t max) {
  auto parsed =
      inRange<int64_t>(parseInteger(peek().Text), static_cast<int64_t>(min),
                       static_cast<int64_t>(max));
  if (peek().Kind != TokenKind::Word || !parsed)
    return fail("a whole number from " + std::to_string(min) + " to " +
                    std::to_string(max),
                "write such a number");
  out = static_cast<uint64_t>(*parsed);
  ++At;
  return true;
}

bool TokenReader::expectEnd(std::string_view alternatives) {
  if (atEnd())
    return true;
  std::string expected = alternatives.empty()
                             ? "the end"
                             : std::string(alternatives) + " or the end";
  return fail(expected, "remove what follows");
}

bool TokenReader::fail(std::string_view expected, std::string_view remedy) {
  return failAt(peek(), expected, remedy);
}

bool TokenReader::failAt(const Token &token, std::string_view expected,
                         std::string_view remedy) {
  if (!HasFailed)
    FirstError = {token.Column, std::string(expected), token.Text,
                  std::string(remedy)};
  HasFailed = true;
  return false;
}

Token TokenReader::take() {
  Token out = Tokens[At];
  if (!atEnd())
    ++At;
  return out;
}

std::string alternatives(const std::vector<std::string_view> &words) {
  std::string out;
  for (size_t i = 0; i < words.size(); ++i) {
    if (i > 0)
      out += i + 1 == words.size() ? " or " : ", ";
    out += words[i];
  }
  return out;
}

} // namespace daisytack::query
