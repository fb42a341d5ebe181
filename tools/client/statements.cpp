#include "statements.h"

#include "query/answer.h"
#include "query/command_parser.h"
#include "query/query_parser.h"
#include "query/table_text.h"

#include <boost/json.hpp>

#include <chrono>
#include <iostream>
#include <thread>

namespace daisytack::client {

namespace {

namespace json = boost::json;

constexpr unsigned HttpOk = 200;
constexpr std::string_view ClearScreen = "\033[H\033[2J";

std::string queryBody(const std::string &text) {
  return json::serialize(json::object{{"text", text}});
}

std::string commandBody(const std::string &text, const Options &options) {
  json::object out{{"text", text}};
  if (options.Wait > Duration::zero())
    out["wait_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(options.Wait)
            .count();
  if (options.ExpectedRevision)
    out["expected_revision"] = *options.ExpectedRevision;
  return json::serialize(out);
}

std::string memberText(const json::object &object, std::string_view name) {
  const json::value *it = object.if_contains(name);
  return it && it->is_string() ? std::string(std::string_view(it->get_string()))
                               : "";
}

json::object parseObject(const std::string &body) {
  boost::system::error_code ec;
  json::value parsed = json::parse(body, ec);
  return ec || !parsed.is_object() ? json::object{} : parsed.get_object();
}

/// Prints kind, detail and remedy of a refusal to standard error.
void printRefusal(const json::object &problem, bool colours) {
  std::string kind = memberText(problem, "kind");
  std::cerr << query::coloured(kind, query::Colour::Red, colours) << ": "
            << query::printable(memberText(problem, "detail")) << "\n"
            << "remedy: " << query::printable(memberText(problem, "remedy"))
            << "\n";
}

ExitCode reportUnreachable(const Error &reason) {
  std::cerr << "no entry answers: " << query::printable(reason.Detail) << "\n"
            << "remedy: check --entries and that one of them runs\n";
  return ExitCode::Unreachable;
}

ExitCode reportSyntaxError(const std::string &text,
                           const query::ParseError &error) {
  std::cerr << formatSyntaxError(text, error.Column, query::toString(error));
  return ExitCode::Usage;
}

ExitCode printAnswer(const net::HttpResponse &response,
                     const Options &options) {
  Error reason;
  auto answer = query::parseAnswer(response.Body, reason);
  if (!answer) {
    std::cerr << query::printable(reason.Detail) << "\n";
    return ExitCode::Refused;
  }
  if (options.Output == Format::Json)
    std::cout << response.Body << std::endl;
  else
    std::cout << query::renderAnswer(*answer, options.Colours) << std::flush;
  return answer->Answered < answer->Queried ? ExitCode::Incomplete
                                            : ExitCode::Done;
}

ExitCode queryOnce(const std::string &text, const Options &options,
                   Connection &connection) {
  Error reason;
  auto response = connection.post("/v1/query", queryBody(text), false, reason);
  if (!response)
    return reportUnreachable(reason);
  if (response->Status == HttpOk)
    return printAnswer(*response, options);
  printRefusal(parseObject(response->Body), options.Colours);
  return ExitCode::Refused;
}

ExitCode exitCodeOf(std::string_view outcome) {
  if (outcome == "applied" || outcome == "unchanged")
    return ExitCode::Done;
  if (outcome == "conflict")
    return ExitCode::Conflict;
  return outcome == "unknown" ? ExitCode::Unknown : ExitCode::Refused;
}

uint64_t memberNumber(const json::object &object, std::string_view name) {
  const json::value *it = object.if_contains(name);
  boost::system::error_code ec;
  uint64_t out = it ? it->to_number<uint64_t>(ec) : 0;
  return ec ? 0 : out;
}

void printConflictingChange(const json::object &otherChange) {
  std::cerr << "the other change: by "
            << query::printable(memberText(otherChange, "operator"))
            << ", revision " << memberNumber(otherChange, "revision") << ": "
            << query::printable(memberText(otherChange, "value")) << "\n";
}

/// Prints how many processes have the change in force and which don't; true
/// when all that were asked do.
bool printInForce(const json::object &inForceStatus) {
  uint64_t asked = memberNumber(inForceStatus, "asked");
  uint64_t inForce = memberNumber(inForceStatus, "in_force");
  std::cout << "in force in " << inForce << " of " << asked
            << " processes asked (" << memberNumber(inForceStatus, "members")
            << " known)\n";
  const json::value *missing = inForceStatus.if_contains("missing");
  if (missing && missing->is_array())
    for (const json::value &it : missing->get_array())
      if (it.is_string())
        std::cout << "  not yet: "
                  << query::printable(std::string_view(it.get_string()))
                  << "\n";
  return inForce == asked;
}

const json::object *memberObject(const json::object &object,
                                 std::string_view name) {
  const json::value *it = object.if_contains(name);
  return it ? it->if_object() : nullptr;
}

ExitCode printOutcome(const net::HttpResponse &response,
                      const Options &options) {
  json::object body = parseObject(response.Body);
  std::string outcome = memberText(body, "outcome");
  ExitCode out = exitCodeOf(outcome);
  if (options.Output == Format::Json)
    std::cout << response.Body << std::endl;
  else if (out == ExitCode::Done)
    std::cout << outcome;
  if (options.Output != Format::Json && out == ExitCode::Done) {
    if (body.contains("stopped"))
      std::cout << ", stopped " << memberNumber(body, "stopped");
    else
      std::cout << ", revision " << memberNumber(body, "revision");
    std::cout << std::endl;
  }
  if (out != ExitCode::Done)
    printRefusal(body, options.Colours);
  if (const json::object *otherChange = memberObject(body, "other"))
    printConflictingChange(*otherChange);
  const json::object *inForceStatus = memberObject(body, "in_force");
  if (inForceStatus && options.Output != Format::Json &&
      !printInForce(*inForceStatus))
    return ExitCode::Incomplete;
  return out;
}

} // namespace

ExitCode runStatement(const std::string &text, const Options &options,
                      Connection &connection) {
  return query::isQuery(text) ? runQuery(text, options, connection)
                              : runCommand(text, options, connection);
}

ExitCode runQuery(const std::string &text, const Options &options,
                  Connection &connection) {
  query::ParseError parseError;
  if (!query::parseQuery(text, parseError))
    return reportSyntaxError(text, parseError);
  while (options.Watch > Duration::zero()) {
    if (options.Colours)
      std::cout << ClearScreen;
    queryOnce(text, options, connection);
    std::this_thread::sleep_for(options.Watch);
  }
  return queryOnce(text, options, connection);
}

ExitCode runCommand(const std::string &text, const Options &options,
                    Connection &connection) {
  query::ParseError parseError;
  if (!query::parseCommand(text, parseError))
    return reportSyntaxError(text, parseError);
  Error reason;
  auto response =
      connection.post("/v1/command", commandBody(text, options), true, reason);
  if (response)
    return printOutcome(*response, options);
  if (reason.Kind == ErrorKind::ServiceUnavailable)
    return reportUnreachable(reason);
  std::cerr << "unknown: " << query::printable(reason.Detail) << "\n"
            << "remedy: " << errorRemedy(ErrorKind::ServiceUnknown) << "\n";
  return ExitCode::Unknown;
}

std::string formatSyntaxError(const std::string &text, size_t column,
                              const std::string &message) {
  std::string indent(column - 1, ' ');
  return query::printable(text) + "\n" + indent + "^\n" + message + "\n";
}

std::string joinWords(const std::vector<std::string> &words) {
  std::string out;
  for (const std::string &word : words) {
    out += out.empty() ? "" : " ";
    out += word;
  }
  return out;
}

} // namespace daisytack::client
