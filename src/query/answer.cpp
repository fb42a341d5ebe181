#include "query/answer.h"

#include <boost/json.hpp>

#include <array>

namespace daisytack::query {

namespace {

namespace json = boost::json;

constexpr size_t NestingLimit = 8;

struct CellWriter {
  json::value operator()(std::monostate) const { return nullptr; }
  json::value operator()(const std::string &text) const {
    return json::string(text);
  }
  json::value operator()(int64_t n) const { return n; }
  json::value operator()(double x) const { return x; }
  json::value operator()(bool b) const { return b; }
  json::value operator()(WallTime time) const {
    return json::string(timeText(time));
  }
  json::value operator()(Duration span) const { return span.count(); }
};

json::array rowsToJson(const Table &table) {
  json::array out;
  out.reserve(table.Rows.size());
  for (const auto &row : table.Rows) {
    json::array cells;
    cells.reserve(row.size());
    for (const Cell &cell : row)
      cells.push_back(std::visit(CellWriter{}, cell));
    out.push_back(std::move(cells));
  }
  return out;
}

json::array columnsToJson(const std::vector<Column> &columns) {
  json::array out;
  for (const Column &it : columns)
    out.push_back(
        json::object{{"name", it.Name}, {"type", cellTypeName(it.Type)}});
  return out;
}

std::optional<CellType> parseCellType(std::string_view name) {
  for (int i = 0; i <= static_cast<int>(CellType::Duration); ++i)
    if (cellTypeName(static_cast<CellType>(i)) == name)
      return static_cast<CellType>(i);
  return std::nullopt;
}

// The functions below read JSON by key. They let the exceptions of Boost.JSON
// for missing keys and wrong types pass; parseAnswer converts these to an
// error.

std::string textOf(const json::value &value) {
  return std::string(std::string_view(value.as_string()));
}

Cell cellFromJson(const json::value &value, CellType type) {
  if (value.is_null())
    return {};
  switch (type) {
  case CellType::Text:
    return textOf(value);
  case CellType::Integer:
  case CellType::Bytes:
    return value.to_number<int64_t>();
  case CellType::Number:
    return value.to_number<double>();
  case CellType::Flag:
    return value.as_bool();
  case CellType::Time:
    return parseTime(textOf(value)).value();
  case CellType::Duration:
    return Duration(value.to_number<int64_t>());
  }
  return {};
}

std::vector<Column> columnsFromJson(const json::array &in) {
  std::vector<Column> out;
  out.reserve(in.size());
  for (const json::value &it : in)
    out.push_back(
        {textOf(it.at("name")), parseCellType(textOf(it.at("type"))).value()});
  return out;
}

std::vector<Cell> rowFromJson(const json::array &in,
                              const std::vector<Column> &columns) {
  std::vector<Cell> out;
  out.reserve(columns.size());
  for (size_t i = 0; i < columns.size(); ++i)
    out.push_back(cellFromJson(in.at(i), columns[i].Type));
  return out;
}

Answer answerFromJson(const json::value &in) {
  Answer out;
  out.Rows.Columns = columnsFromJson(in.at("columns").as_array());
  for (const json::value &row : in.at("rows").as_array())
    out.Rows.Rows.push_back(rowFromJson(row.as_array(), out.Rows.Columns));
  out.Queried = in.at("asked").to_number<uint64_t>();
  out.Answered = in.at("answered").to_number<uint64_t>();
  for (const json::value &it : in.at("silent").as_array())
    out.Failures.push_back(
        {textOf(it.at("instance")), textOf(it.at("reason"))});
  for (const json::value &it : in.at("gaps").as_array())
    out.Gaps.push_back({textOf(it.at("instance")),
                        it.at("lost").to_number<uint64_t>(),
                        parseTime(textOf(it.at("until"))).value()});
  out.Truncated = in.at("truncated").as_bool();
  out.Next = textOf(in.at("next"));
  return out;
}

} // namespace

std::string toJson(const Answer &answer) {
  json::array silent;
  for (const QueryFailure &it : answer.Failures)
    silent.push_back(
        json::object{{"instance", it.Name}, {"reason", it.Reason}});
  json::array gaps;
  for (const EventGap &it : answer.Gaps)
    gaps.push_back(json::object{{"instance", it.Instance},
                                {"lost", it.Lost},
                                {"until", timeText(it.Until)}});
  return json::serialize(
      json::object{{"columns", columnsToJson(answer.Rows.Columns)},
                   {"rows", rowsToJson(answer.Rows)},
                   {"asked", answer.Queried},
                   {"answered", answer.Answered},
                   {"silent", std::move(silent)},
                   {"gaps", std::move(gaps)},
                   {"truncated", answer.Truncated},
                   {"next", answer.Next}});
}

std::optional<Answer> parseAnswer(std::string_view text, Error &reason) {
  try {
    json::parse_options options;
    options.max_depth = NestingLimit;
    return answerFromJson(json::parse(text, {}, options));
  } catch (const std::exception &error) {
    reason = {ErrorKind::ProtocolError,
              std::string("no answer to a query: ") + error.what(),
              {}};
    return std::nullopt;
  }
}

} // namespace daisytack::query
