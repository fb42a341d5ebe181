#include "prompt.h"

#include "line_editor.h"
#include "statements.h"

#include <iostream>
#include <unistd.h>

namespace daisytack::client {

namespace {

constexpr std::string_view PromptText = "daisytack> ";

std::optional<std::string> readPlainLine() {
  std::string out;
  if (!std::getline(std::cin, out))
    return std::nullopt;
  return out;
}

bool isBlank(const std::string &line) {
  return line.find_first_not_of(" \t") == std::string::npos;
}

} // namespace

ExitCode runPrompt(const Options &options, Connection &connection) {
  bool isTerminal = isatty(STDIN_FILENO) == 1 && isatty(STDOUT_FILENO) == 1;
  LineEditor editor;
  ExitCode out = ExitCode::Done;
  while (true) {
    auto line = isTerminal ? readLine(editor, std::string(PromptText))
                           : readPlainLine();
    if (!line || *line == "exit" || *line == "quit")
      return out;
    if (!isBlank(*line))
      out = runStatement(*line, options, connection);
  }
}

} // namespace daisytack::client
