#include "query/table_text.h"

#include <algorithm>
#include <array>

namespace daisytack::query {

namespace {

constexpr std::string_view ColumnGap = "  ";

bool isNumeric(CellType type) {
  return type == CellType::Integer || type == CellType::Number ||
         type == CellType::Bytes || type == CellType::Duration;
}

std::string padded(const std::string &text, size_t width, bool alignRight) {
  std::string blanks(width - std::min(width, text.size()), ' ');
  return alignRight ? blanks + text : text + blanks;
}

/// Formatted cells of all rows, and the width of each column in bytes.
struct Layout {
  std::vector<std::vector<std::string>> Texts;
  std::vector<size_t> Widths;
};

Layout layoutOf(const Table &table) {
  Layout out;
  for (const Column &it : table.Columns)
    out.Widths.push_back(it.Name.size());
  for (const auto &row : table.Rows) {
    auto &texts = out.Texts.emplace_back();
    for (size_t i = 0; i < row.size(); ++i) {
      texts.push_back(printable(cellText(row[i], table.Columns[i].Type)));
      out.Widths[i] = std::max(out.Widths[i], texts.back().size());
    }
  }
  return out;
}

std::string lineOf(const std::vector<std::string> &texts, const Layout &layout,
                   const Table &table) {
  std::string out;
  for (size_t i = 0; i < texts.size(); ++i) {
    if (i > 0)
      out += ColumnGap;
    out += padded(texts[i], layout.Widths[i], isNumeric(table.Columns[i].Type));
  }
  while (!out.empty() && out.back() == ' ')
    out.pop_back();
  return out;
}

std::string notesOf(const Answer &answer, bool colours) {
  std::string out;
  auto note = [&](const std::string &text) {
    out += coloured(text, Colour::Yellow, colours) + "\n";
  };
  for (const EventGap &it : answer.Gaps)
    note("gap: " + printable(it.Instance) + " lost " + std::to_string(it.Lost) +
         " events before " + timeText(it.Until));
  if (answer.Truncated)
    note("there are more rows; raise the limit or narrow the query");
  if (!answer.Next.empty())
    note("more instances: add 'after " + printable(answer.Next) + "'");
  if (answer.Answered < answer.Queried)
    note(std::to_string(answer.Queried - answer.Answered) + " of " +
         std::to_string(answer.Queried) + " instances did not answer:");
  for (const QueryFailure &it : answer.Failures)
    note("  " + printable(it.Name) + ": " + printable(it.Reason));
  return out;
}

} // namespace

std::string renderAnswer(const Answer &answer, bool colours) {
  const Table &table = answer.Rows;
  Layout layout = layoutOf(table);
  std::vector<std::string> names;
  names.reserve(table.Columns.size());
  for (const Column &it : table.Columns)
    names.push_back(it.Name);
  std::string out =
      coloured(lineOf(names, layout, table), Colour::Bold, colours) + "\n";
  for (const auto &texts : layout.Texts)
    out += lineOf(texts, layout, table) + "\n";
  return out + notesOf(answer, colours);
}

std::string coloured(const std::string &text, Colour colour, bool colours) {
  constexpr std::array<std::string_view, 4> Codes{"1", "31", "33", "2"};
  if (!colours)
    return text;
  std::string code(Codes[static_cast<size_t>(colour)]);
  return "\033[" + code + "m" + text + "\033[0m";
}

std::string printable(std::string_view text) {
  std::string out(text);
  for (char &c : out) {
    auto byte = static_cast<unsigned char>(c);
    if (byte < 0x20 || byte == 0x7f)
      c = '?';
  }
  return out;
}

} // namespace daisytack::query
