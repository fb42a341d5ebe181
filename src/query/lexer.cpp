#include "query/lexer.h"

#include <algorithm>
#include <array>

namespace daisytack::query {

namespace {

constexpr std::string_view WordPunctuation = "_.:/*%+-";
constexpr size_t MaxFoundBytes = 40;

bool isBlank(char c) { return c == ' ' || c == '\t' || c == '\n' || c == '\r'; }

bool isWord(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') ||
         WordPunctuation.find(c) != std::string_view::npos;
}

bool isOperator(char c) {
  return c == '=' || c == '!' || c == '<' || c == '>' || c == '~';
}

/// Shortens a text to MaxFoundBytes and replaces characters that aren't
/// printable ASCII, for use in an error message.
std::string printableExcerpt(std::string_view text) {
  std::string out(text.substr(0, MaxFoundBytes));
  for (char &c : out)
    if (c < ' ' || c > '~')
      c = '?';
  return out;
}

class Lexer {
public:
  Lexer(std::string_view text, ParseError &error)
      : Text(text), LexError(error) {}

  std::optional<std::vector<Token>> run() {
    if (Text.size() > MaxStatementBytes) {
      fail(MaxStatementBytes, "a shorter statement",
           "at most " + std::to_string(MaxStatementBytes) + " bytes are read");
      return std::nullopt;
    }
    std::vector<Token> out;
    while (true) {
      skipBlanks();
      out.push_back({TokenKind::End, "", At + 1});
      if (At == Text.size())
        return out;
      if (!readToken(out.back()))
        return std::nullopt;
    }
  }

private:
  void skipBlanks() {
    while (At < Text.size() && isBlank(Text[At]))
      ++At;
  }

  bool readToken(Token &token) {
    char c = Text[At];
    if (c == '"')
      return readQuoted(token);
    if (isOperator(c))
      return readOperator(token);
    if (isWord(c))
      return readWord(token);
    return fail(At, "a word, a quoted text or an operator",
                "put other characters between double quotes");
  }

  bool readWord(Token &token) {
    token.Kind = TokenKind::Word;
    while (At < Text.size() && isWord(Text[At]))
      token.Text += Text[At++];
    return true;
  }

  bool readOperator(Token &token) {
    token.Kind = TokenKind::Operator;
    token.Text = Text[At++];
    bool canTakeEqual = token.Text != "=" && token.Text != "~";
    if (canTakeEqual && At < Text.size() && Text[At] == '=')
      token.Text += Text[At++];
    if (token.Text == "!")
      return fail(token.Column - 1, "an operator",
                  "use one of = != < <= > >= ~");
    return true;
  }

  bool readQuoted(Token &token) {
    token.Kind = TokenKind::Quoted;
    size_t start = At++;
    while (At < Text.size() && Text[At] != '"') {
      bool isEscape = Text[At] == '\\' && At + 1 < Text.size();
      At += isEscape ? 1 : 0;
      token.Text += Text[At++];
    }
    if (At == Text.size())
      return fail(start, "a closing double quote", "close the text with \"");
    ++At;
    return true;
  }

  bool fail(size_t at, std::string expected, std::string remedy) {
    LexError = {at + 1, std::move(expected), printableExcerpt(Text.substr(at)),
                std::move(remedy)};
    return false;
  }

  std::string_view Text;
  ParseError &LexError;
  size_t At = 0;
};

} // namespace

std::string toString(const ParseError &error) {
  std::string found = error.Found.empty()
                          ? "the end"
                          : "'" + printableExcerpt(error.Found) + "'";
  return "column " + std::to_string(error.Column) + ": expected " +
         error.Expected + ", found " + found + "; " + error.Remedy;
}

Error toError(const ParseError &error) {
  return {ErrorKind::BadRequest, toString(error), {}};
}

std::optional<std::vector<Token>> tokenise(std::string_view text,
                                           ParseError &error) {
  return Lexer(text, error).run();
}

std::string quoteWord(std::string_view text) {
  if (!text.empty() && std::all_of(text.begin(), text.end(), isWord))
    return std::string(text);
  std::string out = "\"";
  for (char c : text) {
    if (c == '"' || c == '\\')
      out += '\\';
    out += c;
  }
  return out + "\"";
}

} // namespace daisytack::query
