/// Formats tables and their notes for a terminal.
#pragma once

#include "query/answer.h"

#include <string>

namespace daisytack::query {

/// Formats an answer with aligned columns; numbers are right-aligned. Notes
/// below the rows list missing events and instances and how to get the next
/// page.
std::string renderAnswer(const Answer &answer, bool colours);

enum class Colour : uint8_t { Bold, Red, Yellow, Dim };
/// Wraps a text in the escape sequences of a colour if `colours` is set.
std::string coloured(const std::string &text, Colour colour, bool colours);

/// Replaces control characters by '?', so that a name can't inject terminal
/// escape sequences.
std::string printable(std::string_view text);

} // namespace daisytack::query
