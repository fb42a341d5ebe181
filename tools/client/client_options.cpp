#include "client_options.h"

#include "base/setting_text.h"
#include "base/settings.h"

#include <gflags/gflags.h>

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <unistd.h>

DEFINE_string(entries, "", "operators' addresses, IP:PORT[,IP:PORT...]");
DEFINE_string(key_file, "", "file with the operator's key");
DEFINE_bool(json, false, "print JSON");
DEFINE_string(format, "text", "text, chrome or html");
DEFINE_string(timeout, "5s", "for one call");
DEFINE_string(wait, "", "until a change is in force everywhere");
DEFINE_string(expected_revision, "", "that a command's object must have");
DEFINE_string(watch, "", "repeat a query");
DEFINE_string(color, "auto", "auto, always or never");
DEFINE_string(request, "", "timeline of one request");
DEFINE_string(since, "5m", "timeline of the last part");
DEFINE_int32(port_offset, 1, "from peers' to operators' ports");

namespace daisytack::client {

namespace {

constexpr int MaxPort = 65535;

std::string environment(const char *name) {
  const char *value = std::getenv(name);
  return value ? value : "";
}

/// The first line of a file; std::nullopt when it can't be read or is empty.
std::optional<std::string> firstLine(const std::string &path) {
  std::ifstream file(path);
  std::string out;
  if (!std::getline(file, out) || out.empty())
    return std::nullopt;
  return out;
}

bool readKey(Options &out, std::string &reason) {
  std::string path = FLAGS_key_file.empty() ? environment("DAISYTACK_KEY_FILE")
                                            : FLAGS_key_file;
  if (path.empty()) {
    out.Key = environment("DAISYTACK_KEY");
    return true;
  }
  auto key = firstLine(path);
  if (!key) {
    reason = "the key file " + path + " can't be read or is empty";
    return false;
  }
  out.Key = *key;
  return true;
}

bool readEntries(Options &out, std::string &reason) {
  std::string text =
      FLAGS_entries.empty() ? environment("DAISYTACK_ENTRIES") : FLAGS_entries;
  for (const std::string &word : splitList(text)) {
    auto endpoint = parseEndpoint(word);
    if (!endpoint) {
      reason = "'" + word + "' is not IP:PORT";
      return false;
    }
    out.Entries.push_back(*endpoint);
  }
  return true;
}

bool readDuration(const std::string &flag, const std::string &text,
                  Duration &out, std::string &reason) {
  if (text.empty())
    return true;
  auto parsed = parseDuration(text);
  if (!parsed) {
    reason = "--" + flag + " takes a duration such as 500ms, 10s or 5m";
    return false;
  }
  out = *parsed;
  return true;
}

bool readExpectedRevision(Options &out, std::string &reason) {
  const std::string &text = FLAGS_expected_revision;
  if (text.empty())
    return true;
  uint64_t revision = 0;
  const char *end = text.data() + text.size();
  auto [rest, ec] = std::from_chars(text.data(), end, revision);
  if (ec != std::errc() || rest != end) {
    reason = "--expected_revision takes a whole number from 0";
    return false;
  }
  out.ExpectedRevision = revision;
  return true;
}

bool readFormat(Options &out, std::string &reason) {
  if (FLAGS_json)
    out.Output = Format::Json;
  else if (FLAGS_format == "chrome")
    out.Output = Format::Chrome;
  else if (FLAGS_format == "html")
    out.Output = Format::Html;
  else if (FLAGS_format != "text")
    reason = "--format takes text, chrome or html";
  return reason.empty();
}

bool readColours(Options &out, std::string &reason) {
  if (FLAGS_color != "auto" && FLAGS_color != "always" &&
      FLAGS_color != "never") {
    reason = "--color takes auto, always or never";
    return false;
  }
  bool isTerminal = isatty(STDOUT_FILENO) == 1 &&
                    environment("NO_COLOR").empty() &&
                    environment("TERM") != "dumb";
  out.Colours =
      FLAGS_color == "always" || (FLAGS_color == "auto" && isTerminal);
  return true;
}

bool readPortOffset(Options &out, std::string &reason) {
  if (FLAGS_port_offset < 1 || FLAGS_port_offset > MaxPort) {
    reason = "--port_offset takes a number from 1 to 65535";
    return false;
  }
  out.PortOffset = static_cast<uint16_t>(FLAGS_port_offset);
  return true;
}

} // namespace

std::optional<Options> readOptions(int argc, char **argv, std::string &reason) {
  Options out;
  for (int i = 1; i < argc; ++i)
    out.Arguments.emplace_back(argv[i]);
  out.Request = FLAGS_request;
  bool isValid = readEntries(out, reason) && readKey(out, reason) &&
                 readFormat(out, reason) && readColours(out, reason) &&
                 readPortOffset(out, reason) &&
                 readDuration("timeout", FLAGS_timeout, out.Timeout, reason) &&
                 readDuration("wait", FLAGS_wait, out.Wait, reason) &&
                 readExpectedRevision(out, reason) &&
                 readDuration("watch", FLAGS_watch, out.Watch, reason) &&
                 readDuration("since", FLAGS_since, out.Since, reason);
  if (!isValid)
    return std::nullopt;
  return out;
}

const std::string &usageText() {
  static const std::string Text =
      R"(Queries and commands a daisytack deployment, and shows its time line.

usage: daisytack [flags] query 'STATEMENT'
       daisytack [flags] command 'STATEMENT'
       daisytack [flags] show TABLE ...          short form of query
       daisytack [flags] drain SERVER            short form of command; so are
                                                 admit, undrain, swap, stop, set,
                                                 release, purge and delete
       daisytack [flags] timeline [--request=ID] [--since=DURATION]
       daisytack [flags]                         interactive prompt
       daisytack completion                      completion script for bash
       daisytack key-hash < FILE                 SHA-256 of a key, for key_hash

  --entries=IP:PORT[,...]  operators' addresses, tried in turn; or the
                           environment's DAISYTACK_ENTRIES
  --key_file=FILE          file with the operator's key; or DAISYTACK_KEY_FILE,
                           or the key itself in DAISYTACK_KEY
  --json                   print the answer as JSON
  --wait=DURATION          command: wait until it is in force everywhere, at
                           most this long, and tell how far it got
  --expected_revision=N    command: only if its object still has this revision;
                           0: only if it does not exist
  --watch=DURATION         query: repeat it in this interval
  --timeout=DURATION       for one call (5s)
  --format=FORMAT          timeline: text, chrome (trace viewer) or html
  --request=ID             timeline: of one request
  --since=DURATION         timeline: of the last part (5m)
  --port_offset=N          timeline in HTML: from peers' ports to operators'
                           ports (1)
  --color=WHEN             auto, always or never
  --version                print the version and exit
  --help                   print this and exit

exit codes: 0 done, 1 usage, 2 refused, 3 conflict, 4 unknown,
            5 unreachable, 6 incomplete

The language is described in docs/LANGUAGE.md, each task in docs/OPERATORS.md.
)";
  return Text;
}

} // namespace daisytack::client
