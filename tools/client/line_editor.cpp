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

/// Unbuffered input without echo, for as long as it lives.
class RawTerminal {
public:
  RawTerminal() {
    tcgetattr(STDIN_FILENO, &Before);
    termios raw = Before;
    raw.c_lflag &= ~static_cast<tcflag_t>(ICANON | ECHO | ISIG);
    raw.c_cc[VMIN] = 1;
    raw.c_cc[VTIME] = 0;
    tcsetattr(STDIN_FILENO, TCSANOW, &raw);
  }
  ~RawTerminal() { tcsetattr(STDIN_FILENO, TCSANOW, &Before); }
  RawTerminal(const RawTerminal &) = delete;
  RawTerminal &operator=(const RawTerminal &) = delete;

private:
  termios Before{};
};

} // namespace

KeyResult LineEditor::key(char c) {
  if (Escape > 0) {
    escapeKey(c);
    return KeyResult::Editing;
  }
  switch (c) {
  case '\r':
  case '\n':
    return KeyResult::Entered;
  case ControlD:
    return Line.empty() ? KeyResult::Ended : KeyResult::Editing;
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
    Escape = 1;
    break;
  default:
    if (c >= ' ')
      Line += c;
  }
  return KeyResult::Editing;
}

void LineEditor::escapeKey(char c) {
  bool isStart = Escape == 1 && c == '[';
  Escape = isStart ? 2 : 0;
  if (isStart)
    return;
  if (c == 'A' && At > 0)
    recall(At - 1);
  if (c == 'B' && At < History.size())
    recall(At + 1);
}

void LineEditor::recall(size_t index) {
  At = index;
  Line = At < History.size() ? History[At] : "";
}

std::string LineEditor::take() {
  std::string out;
  out.swap(Line);
  if (!out.empty())
    History.push_back(out);
  At = History.size();
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
      result = KeyResult::Ended;
    else
      result = editor.key(c);
  }
  std::cout << std::endl;
  if (result == KeyResult::Ended)
    return std::nullopt;
  return editor.take();
}

} // namespace daisytack::client
