#include "line_editor.h"

#include <iostream>
#include <termios.h>
#include <unistd.h>

namespace daisytack::client {

namespace {

constexpr char ControlC = 3;
constexpr char ControlD = 4;
constexpr char ControlU = 21;
constexpr char EscapeKey = 27;
constexpr char Backspace = 8;
constexpr char Delete = 127;
constexpr std::string_view EraseLine = "\r\033[K";

/// Switches the terminal to unbuffered input without echo and signals; the
/// destructor restores its attributes.
class RawTerminal {
public:
  RawTerminal() {
    tcgetattr(STDIN_FILENO, &SavedAttributes);
    termios raw = SavedAttributes;
    raw.c_lflag &= ~static_cast<tcflag_t>(ICANON | ECHO | ISIG);
    raw.c_cc[VMIN] = 1;
    raw.c_cc[VTIME] = 0;
    tcsetattr(STDIN_FILENO, TCSANOW, &raw);
  }
  ~RawTerminal() { tcsetattr(STDIN_FILENO, TCSANOW, &SavedAttributes); }
  RawTerminal(const RawTerminal &) = delete;
  RawTerminal &operator=(const RawTerminal &) = delete;

private:
  termios SavedAttributes{};
};

} // namespace

KeyResult LineEditor::handleKey(char c) {
  if (EscapeBytes > 0) {
    handleEscapeByte(c);
    return KeyResult::Editing;
  }
  switch (c) {
  case '\r':
  case '\n':
    return KeyResult::Entered;
  case ControlD:
    return Line.empty() ? KeyResult::EndOfInput : KeyResult::Editing;
  case ControlC:
  case ControlU:
    Line.clear();
    break;
  case Backspace:
  case Delete:
    if (!Line.empty())
      Line.pop_back();
    break;
  case EscapeKey:
    EscapeBytes = 1;
    break;
  default:
    if (c >= ' ')
      Line += c;
  }
  return KeyResult::Editing;
}

void LineEditor::handleEscapeByte(char c) {
  bool isStart = EscapeBytes == 1 && c == '[';
  EscapeBytes = isStart ? 2 : 0;
  if (isStart)
    return;
  if (c == 'A' && HistoryIndex > 0)
    recall(HistoryIndex - 1);
  if (c == 'B' && HistoryIndex < History.size())
    recall(HistoryIndex + 1);
}

void LineEditor::recall(size_t index) {
  HistoryIndex = index;
  Line = HistoryIndex < History.size() ? History[HistoryIndex] : "";
}

std::string LineEditor::takeLine() {
  std::string out;
  out.swap(Line);
  if (!out.empty())
    History.push_back(out);
  HistoryIndex = History.size();
  return out;
}

std::optional<std::string> readLine(LineEditor &editor,
                                    const std::string &prompt) {
  RawTerminal raw;
  KeyResult result = KeyResult::Editing;
  while (result == KeyResult::Editing) {
    std::cout << EraseLine << prompt << editor.line() << std::flush;
    char c = 0;
    if (read(STDIN_FILENO, &c, 1) != 1)
      result = KeyResult::EndOfInput;
    else
      result = editor.handleKey(c);
  }
  std::cout << std::endl;
  if (result == KeyResult::EndOfInput)
    return std::nullopt;
  return editor.takeLine();
}

} // namespace daisytack::client
