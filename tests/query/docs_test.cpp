#include "base/standard_metrics.h"
#include "control/object_codec.h"
#include "daisytack/error.h"
#include "query/command_parser.h"
#include "query/query_ast.h"
#include "query/query_parser.h"
#include "query/schema.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace daisytack::query {

namespace {

/// Returns the content of docs/NAME. Searches the working directory and its
/// parents; empty when not found.
std::string page(const std::string &name) {
  auto directory = std::filesystem::current_path();
  while (!std::filesystem::exists(directory / "docs" / name)) {
    if (directory == directory.root_path())
      return "";
    directory = directory.parent_path();
  }
  std::ifstream file(directory / "docs" / name);
  std::ostringstream out;
  out << file.rdbuf();
  return out.str();
}

bool mentions(const std::string &text, std::string_view word) {
  return text.find("`" + std::string(word) + "`") != std::string::npos;
}

/// Returns the lines of indented code blocks that begin with the prefix.
std::vector<std::string> statements(const std::string &text,
                                    const std::string &prefix) {
  std::vector<std::string> out;
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line))
    if (line.starts_with("    " + prefix))
      out.push_back(line.substr(4));
  return out;
}

} // namespace

TEST(Docs, EveryRefusalIsListedWithItsRemedy) {
  std::string text = page("OPERATORS.md");
  ASSERT_FALSE(text.empty());
  for (int i = 1; i <= static_cast<int>(ErrorKind::Internal); ++i) {
    auto kind = static_cast<ErrorKind>(i);
    std::string row = "| `" + std::string(errorName(kind)) + "` | " +
                      std::to_string(errorStatus(kind)) + " | " +
                      std::string(errorRemedy(kind)) + " |";
    EXPECT_NE(text.find(row), std::string::npos) << row;
  }
}

TEST(Docs, EveryTableFieldKindAndVerbIsDocumented) {
  std::string text = page("LANGUAGE.md");
  ASSERT_FALSE(text.empty());
  for (size_t i = 0; i < TableNameCount; ++i) {
    auto table = static_cast<TableName>(i);
    EXPECT_TRUE(mentions(text, tableNameText(table))) << tableNameText(table);
    for (const Column &it : columnsOf(table))
      EXPECT_TRUE(mentions(text, it.Name)) << it.Name;
  }
  for (std::string_view it : commandVerbs())
    EXPECT_NE(text.find("\"" + std::string(it) + "\""), std::string::npos)
        << it;
  for (size_t i = 0; i < control::ObjectKinds; ++i) {
    control::ObjectKey key{static_cast<control::ObjectKind>(i), "a:b"};
    EXPECT_TRUE(mentions(text, control::objectKindName(key.Kind)));
    for (const auto &it : control::fieldsOf(control::defaultObject(key)))
      EXPECT_TRUE(mentions(text, it.Field)) << it.Field;
  }
}

TEST(Docs, ExampleQueriesParse) {
  std::string text = page("LANGUAGE.md");
  auto examples = statements(text.substr(0, text.find("## Mistakes")), "show ");
  EXPECT_GE(examples.size(), 6U);
  for (const std::string &it : examples) {
    ParseError error;
    EXPECT_TRUE(parseQuery(it, error)) << it << ": " << toString(error);
  }
}

TEST(Docs, ExampleErrorMatchesParserOutput) {
  std::string text = page("LANGUAGE.md");
  text = text.substr(text.find("## Mistakes"));
  auto examples = statements(text, "show ");
  ASSERT_EQ(examples.size(), 1U);
  ParseError error;
  EXPECT_FALSE(parseQuery(examples[0], error));
  EXPECT_NE(text.find(toString(error)), std::string::npos) << toString(error);
}

TEST(Docs, ExampleCommandsParse) {
  size_t parsed = 0;
  for (std::string it : statements(page("OPERATORS.md"), "daisytack ")) {
    it = it.substr(std::string("daisytack ").size());
    for (const char *end : {" --", "  "})
      it = it.substr(0, it.find(end));
    std::string verb = it.substr(0, it.find(' '));
    const auto &verbs = commandVerbs();
    if (std::find(verbs.begin(), verbs.end(), verb) == verbs.end())
      continue;
    if (it == "stop ID")
      it = "stop 00000000000000000000000000000001";
    ParseError error;
    EXPECT_TRUE(parseCommand(it, error)) << it << ": " << toString(error);
    ++parsed;
  }
  EXPECT_GE(parsed, 12U);
}

TEST(Docs, EverySharedMetricIsDocumented) {
  std::string text = page("METRICS.md");
  for (const char *it :
       {metric::FirstToken, metric::PromptTokens, metric::RecomputedTokens,
        metric::LinkBytes, metric::ProcessCpu, metric::ProcessMemory,
        metric::CpuBudget, metric::MemoryBudget, metric::BytesBudget})
    EXPECT_TRUE(mentions(text, it)) << it;
}

} // namespace daisytack::query
