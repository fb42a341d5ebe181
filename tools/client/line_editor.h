/// Edits one line on a terminal, with a history of earlier lines.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace daisytack::client {

/// State of the line after a key.
enum class KeyResult { Editing, Entered, EndOfInput };

/// Line buffer and history; independent of the terminal.
class LineEditor {
public:
  /// Applies one byte of terminal input.
  KeyResult handleKey(char c);
  /// The current text; the cursor is always at its end.
  const std::string &line() const { return Line; }
  /// Returns the line, adds it to the history unless it is empty, and starts an
  /// empty one.
  std::string takeLine();

private:
  void handleEscapeByte(char c);
  void recall(size_t index);

  std::string Line;
  std::vector<std::string> History;
  size_t HistoryIndex = 0; ///< History.size() for a new line.
  int EscapeBytes = 0;     ///< Bytes of an escape sequence read so far.
};

/// Reads a line from the terminal; std::nullopt at the end of input.
std::optional<std::string> readLine(LineEditor &editor,
                                    const std::string &prompt);

} // namespace daisytack::client
