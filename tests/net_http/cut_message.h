/// Messages that are cut at each byte and then go on without end.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

namespace daisytack::net {

/// A message that goes on without end after a cut.
struct CutMessage {
  std::string Begin;  ///< Sent once.
  std::string Repeat; ///< Sent again and again.
  /// For the messages of tests.
  std::string name() const {
    std::string out;
    for (char c :
         Begin.substr(Begin.size() - std::min<size_t>(24, Begin.size())))
      out += c == '\r' ? "\\r" : c == '\n' ? "\\n" : std::string(1, c);
    out += " ... ";
    for (char c : Repeat.substr(0, 24))
      out += c == '\r' ? "\\r" : c == '\n' ? "\\n" : std::string(1, c);
    return out;
  }
};

/// The message cut after each of its bytes, and continued by what puts each
/// state of a parser to the test: the last byte, the last line, the last two
/// lines, and a byte that is valid nearly everywhere.
inline std::vector<CutMessage> cutEverywhere(const std::string &message) {
  std::vector<CutMessage> out;
  for (size_t n = 1; n <= message.size(); ++n) {
    std::string begin = message.substr(0, n);
    out.push_back({begin, begin.substr(n - 1)});
    out.push_back({begin, "a"});
    // From the end of the line before the last one, and of the one before that.
    size_t line = begin.rfind('\n', n < 2 ? 0 : n - 2);
    if (line == std::string::npos)
      continue;
    out.push_back({begin, begin.substr(line + 1)});
    size_t earlier =
        line == 0 ? std::string::npos : begin.rfind('\n', line - 1);
    if (earlier != std::string::npos)
      out.push_back({begin, begin.substr(earlier + 1)});
  }
  return out;
}

} // namespace daisytack::net
