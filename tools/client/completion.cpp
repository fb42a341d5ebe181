#include "completion.h"

#include "query/command_parser.h"
#include "query/query_ast.h"
#include "query/schema.h"

namespace daisytack::client {

namespace {

constexpr std::string_view Flags =
    "--entries= --key_file= --json --wait= --expected_revision= --watch= "
    "--timeout= --format= "
    "--request= --since= --port_offset= --color= --version --help";

std::string tables() {
  std::string out;
  for (size_t i = 0; i < query::TableNameCount; ++i)
    out += std::string(tableNameText(static_cast<query::TableName>(i))) + " ";
  return out;
}

std::string verbs() {
  std::string out = "query command timeline completion key-hash show ";
  for (std::string_view it : query::commandVerbs())
    out += std::string(it) + " ";
  return out;
}

std::string kinds() {
  std::string out;
  for (std::string_view it : query::objectKinds())
    out += std::string(it) + " ";
  return out;
}

/// Shell cases, one per table, with the fields that may follow "where", "and"
/// and "by".
std::string fieldCases() {
  std::string out;
  for (size_t i = 0; i < query::TableNameCount; ++i) {
    auto table = static_cast<query::TableName>(i);
    std::string fields;
    for (const query::Column &it : query::columnsOf(table))
      fields += it.Name + " ";
    out += "    " + std::string(tableNameText(table)) + ") fields=\"" + fields +
           "\" ;;\n";
  }
  return out;
}

} // namespace

std::string completionScript() {
  return R"(# Completion of daisytack for bash; load it with
#   source <(daisytack completion)
_daisytack() {
  local word="${COMP_WORDS[COMP_CWORD]}" before="${COMP_WORDS[COMP_CWORD-1]}"
  local table="" fields="" i
  for ((i = 1; i < COMP_CWORD; i++)); do
    [ "${COMP_WORDS[i]}" = show ] && table="${COMP_WORDS[i+1]}"
  done
  case "$table" in
)" + fieldCases() +
         R"(  esac
  local words=")" +
         verbs() + std::string(Flags) + R"("
  case "$before" in
    show) words=")" +
         tables() + R"(" ;;
    set|delete) words=")" +
         kinds() + R"(" ;;
    admit) words=")" +
         kinds() + R"(" ;;
    stop) words="request class" ;;
    where|and|by) words="$fields" ;;
    *) [ -n "$fields" ] && words="where and order by limit count after" ;;
  esac
  COMPREPLY=($(compgen -W "$words" -- "$word"))
}
complete -F _daisytack daisytack
)";
}

} // namespace daisytack::client
