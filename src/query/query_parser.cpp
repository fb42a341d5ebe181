#include "query/query_parser.h"

#include "query/schema.h"
#include "query/token_reader.h"

#include <algorithm>
#include <array>

namespace daisytack::query {

namespace {

// Indexed by TableName.
constexpr std::array<std::string_view, TableNameCount> TableTexts{
    "requests",      "waiting", "running",  "kept",    "refused", "servers",
    "organisations", "classes", "versions", "members", "config",  "events"};

// Indexed by Comparison.
constexpr std::array<std::string_view, 7> ComparisonTexts{
    "=", "!=", "<", "<=", ">", ">=", "~"};

template <size_t N>
std::string listOf(const std::array<std::string_view, N> &words) {
  return alternatives({words.begin(), words.end()});
}

std::string columnList(const std::vector<Column> &columns) {
  std::vector<std::string_view> names;
  names.reserve(columns.size());
  for (const Column &column : columns)
    names.push_back(column.Name);
  return alternatives(names);
}

class QueryParser {
public:
  QueryParser(TokenReader &reader, Query &out) : Reader(reader), Out(out) {}

  bool run() {
    return Reader.expect("show") && table() && conditions() && count() &&
           order() && limit() && after() && Reader.expectEnd(expectedNext());
  }

private:
  bool table() {
    Token token = Reader.peek();
    std::string text;
    std::string expected = "a table";
    std::string remedy = "use " + listOf(TableTexts);
    if (!Reader.value(text, expected, remedy))
      return false;
    auto parsed = parseTableName(text);
    if (!parsed)
      return Reader.failAt(token, expected, remedy);
    Out.From = *parsed;
    Columns = columnsOf(Out.From);
    return true;
  }

  bool column(size_t &out) {
    Token token = Reader.peek();
    std::string text;
    std::string expected = "a field of " + std::string(tableNameText(Out.From));
    std::string remedy = "use " + columnList(Columns);
    if (!Reader.value(text, expected, remedy))
      return false;
    auto it = std::find_if(Columns.begin(), Columns.end(),
                           [&](const Column &c) { return c.Name == text; });
    if (it == Columns.end())
      return Reader.failAt(token, expected, remedy);
    out = static_cast<size_t>(it - Columns.begin());
    return true;
  }

  bool conditions() {
    if (!Reader.accept("where"))
      return true;
    do {
      if (!condition())
        return false;
    } while (Reader.accept("and"));
    return true;
  }

  bool condition() {
    Condition out;
    if (!column(out.Column) || !comparison(out.Compare) || !literal(out))
      return false;
    Out.Where.push_back(std::move(out));
    return true;
  }

  bool comparison(Comparison &out) {
    const auto *it = std::find(ComparisonTexts.begin(), ComparisonTexts.end(),
                               Reader.peek().Text);
    if (Reader.peek().Kind != TokenKind::Operator ||
        it == ComparisonTexts.end())
      return Reader.fail("a comparison", "use " + listOf(ComparisonTexts));
    Reader.take();
    out = static_cast<Comparison>(it - ComparisonTexts.begin());
    return true;
  }

  bool literal(Condition &out) {
    // "~" searches the formatted text of a cell, whatever the column's type.
    CellType type = out.Compare == Comparison::Contains
                        ? CellType::Text
                        : Columns[out.Column].Type;
    Token token = Reader.peek();
    std::string text;
    std::string remedy = Columns[out.Column].Name + " is compared with " +
                         std::string(cellFormatHint(type));
    if (!Reader.value(text, cellFormatHint(type), remedy))
      return false;
    auto cell = parseCell(type, text);
    if (!cell)
      return Reader.failAt(token, cellFormatHint(type), remedy);
    out.Value = std::move(*cell);
    return true;
  }

  bool count() {
    if (!Reader.accept("count"))
      return true;
    Out.Count = true;
    if (!Reader.accept("by"))
      return true;
    return column(Out.CountBy.emplace());
  }

  bool order() {
    // A count has no "order by": it is ordered by descending count.
    if (Out.Count || !Reader.accept("order"))
      return true;
    Order &order = Out.OrderBy.emplace();
    if (!Reader.expect("by") || !column(order.Column))
      return false;
    order.Descending = Reader.accept("desc");
    if (!order.Descending)
      Reader.accept("asc");
    return true;
  }

  bool limit() {
    return !Reader.accept("limit") || Reader.number(Out.Limit, 1, MaxLimit);
  }

  bool after() {
    return !Reader.accept("after") ||
           Reader.value(Out.After, "the name of an instance",
                        "use the value that the page before gave as next");
  }

  std::string expectedNext() const {
    if (!Out.After.empty())
      return "";
    return Out.Count ? "'limit'"
                     : "'where', 'and', 'count', 'order', 'limit', 'after'";
  }

  TokenReader &Reader;
  Query &Out;
  std::vector<Column> Columns;
};

std::string conditionText(const Condition &it,
                          const std::vector<Column> &columns) {
  const Column &column = columns[it.Column];
  CellType type =
      it.Compare == Comparison::Contains ? CellType::Text : column.Type;
  return column.Name + " " + std::string(comparisonText(it.Compare)) + " " +
         quoteWord(cellText(it.Value, type));
}

} // namespace

std::string_view tableNameText(TableName table) {
  return TableTexts[static_cast<size_t>(table)];
}

std::optional<TableName> parseTableName(std::string_view text) {
  const auto *it = std::find(TableTexts.begin(), TableTexts.end(), text);
  if (it == TableTexts.end())
    return std::nullopt;
  return static_cast<TableName>(it - TableTexts.begin());
}

std::string_view comparisonText(Comparison comparison) {
  return ComparisonTexts[static_cast<size_t>(comparison)];
}

std::optional<Query> parseQuery(std::string_view text, ParseError &error) {
  auto tokens = tokenise(text, error);
  if (!tokens)
    return std::nullopt;
  TokenReader reader(std::move(*tokens), error);
  Query out;
  if (!QueryParser(reader, out).run())
    return std::nullopt;
  return out;
}

std::string toString(const Query &query) {
  std::vector<Column> columns = columnsOf(query.From);
  std::string out = "show " + std::string(tableNameText(query.From));
  for (size_t i = 0; i < query.Where.size(); ++i) {
    out += i == 0 ? " where " : " and ";
    out += conditionText(query.Where[i], columns);
  }
  if (query.Count)
    out += " count";
  if (query.CountBy)
    out += " by " + columns[*query.CountBy].Name;
  if (query.OrderBy)
    out += " order by " + columns[query.OrderBy->Column].Name +
           (query.OrderBy->Descending ? " desc" : "");
  if (query.Limit != DefaultLimit)
    out += " limit " + std::to_string(query.Limit);
  if (!query.After.empty())
    out += " after " + quoteWord(query.After);
  return out;
}

} // namespace daisytack::query
