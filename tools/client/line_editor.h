/// Edits one line on a terminal, with a history of earlier lines.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace daisytack::client {

/// What a key did to the line.
enum class KeyResult { Editing, Entered, EndOfInput };

/// The state of a line while keys arrive; knows nothing of the terminal.
class LineEditor {
public:
  /// Takes one byte from the terminal.
  KeyResult handleKey(char c);
  /// The line as it stands; the cursor is at its end.
  const std::string &line() const { return Line; }
  /// Takes the entered line, keeps it in the history and begins anew.
  std::string takeLine();

private:
  void handleEscapeByte(char c);
  void recall(size_t index);

  std::string Line;
  std::vector<std::string> History;
  size_t HistoryIndex = 0; ///< Into History; its size for a new line.
  int EscapeBytes = 0;     ///< Bytes of an escape sequence read so far.
};

/// Reads a line from the terminal; nothing at the end of input.
std::optional<std::string> readLine(LineEditor &editor,
                                    const std::string &prompt);

} // namespace daisytack::client
