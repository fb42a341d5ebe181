/// Tables and outcomes as text for a terminal.
#pragma once

#include "query/answer.h"

#include <string>

namespace daisytack::query {

/// Columns are aligned; figures stand to the right. Below the rows: what is
/// missing and how to go on.
std::string renderAnswer(const Answer &answer, bool colours);

/// The text in a colour when colours are wanted.
enum class Colour : uint8_t { Bold, Red, Yellow, Dim };
std::string coloured(const std::string &text, Colour colour, bool colours);

/// Control characters replaced, so that a name can't steer the terminal.
std::string printable(std::string_view text);

} // namespace daisytack::query
