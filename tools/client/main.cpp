/// daisytack: the operators' client. Runs queries and commands, shows timelines
/// and offers an interactive prompt.

#include "base/clock.h"
#include "base/digest.h"
#include "client_options.h"
#include "completion.h"
#include "connection.h"
#include "prompt.h"
#include "query/command_parser.h"
#include "statements.h"
#include "timeline_command.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>

DECLARE_bool(help);
DECLARE_bool(helpshort);
DECLARE_bool(helpfull);
DECLARE_bool(version);

namespace daisytack::client {

namespace {

bool isShortForm(const std::string &word) {
  const auto &verbs = query::commandVerbs();
  return word == "show" ||
         std::find(verbs.begin(), verbs.end(), word) != verbs.end();
}

ExitCode reportUsageError(const std::string &reason) {
  std::cerr << reason << "; see --help\n";
  return ExitCode::Usage;
}

/// Prints the SHA-256 of the key on the first line of standard input.
ExitCode printKeyHash() {
  std::string key;
  if (!std::getline(std::cin, key) || key.empty())
    return reportUsageError("key-hash reads the key from standard input");
  std::cout << hexDigest(sha256(key)) << std::endl;
  return ExitCode::Done;
}

ExitCode dispatch(const Options &options) {
  Connection connection(options.Entries, options.Key,
                        options.Timeout + options.Wait);
  if (options.Arguments.empty())
    return runPrompt(options, connection);
  std::string verb = options.Arguments.front();
  std::vector<std::string> rest(options.Arguments.begin() + 1,
                                options.Arguments.end());
  if (verb == "completion" && rest.empty()) {
    std::cout << completionScript();
    return ExitCode::Done;
  }
  if (verb == "key-hash" && rest.empty())
    return printKeyHash();
  if (verb == "timeline" && rest.empty())
    return runTimeline(options, connection, wallNow());
  if (verb == "query")
    return runQuery(joinWords(rest), options, connection);
  if (verb == "command")
    return runCommand(joinWords(rest), options, connection);
  if (isShortForm(verb))
    return runStatement(joinWords(options.Arguments), options, connection);
  return reportUsageError("unknown word '" + verb + "'");
}

ExitCode run(int argc, char **argv) {
  gflags::SetUsageMessage(usageText());
  gflags::SetVersionString(DAISYTACK_VERSION);
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  if (FLAGS_help || FLAGS_helpshort || FLAGS_helpfull) {
    std::cout << usageText();
    return ExitCode::Done;
  }
  if (FLAGS_version) {
    std::cout << "daisytack " << DAISYTACK_VERSION << std::endl;
    return ExitCode::Done;
  }
  std::string reason;
  auto options = readOptions(argc, argv, reason);
  return options ? dispatch(*options) : reportUsageError(reason);
}

} // namespace

} // namespace daisytack::client

int main(int argc, char **argv) {
  return static_cast<int>(daisytack::client::run(argc, argv));
}
