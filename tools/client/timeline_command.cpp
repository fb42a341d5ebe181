#include "timeline_command.h"

#include "base/settings.h"
#include "query/lexer.h"
#include "query/measures.h"
#include "query/query_ast.h"
#include "query/table_text.h"
#include "query/timeline.h"
#include "query/timeline_page.h"
#include "statements.h"

#include <boost/json.hpp>

#include <iostream>

namespace daisytack::client {

namespace {

constexpr unsigned HttpOk = 200;
constexpr size_t MaxPages = 100;
/// Maximum number of processes whose metrics the HTML page sums.
constexpr size_t MaxScrapedProcesses = 64;

std::string queryText(const Options &options, WallTime since) {
  std::string out = "show events where ";
  out += options.Request.empty()
             ? "at >= " + query::timeText(since)
             : "request = " + query::quoteWord(options.Request);
  return out + " limit " + std::to_string(query::MaxLimit);
}

/// Fetches one page of a query; std::nullopt and the reason on failure.
std::optional<query::Answer> queryPage(const std::string &text,
                                       Connection &connection, Error &reason) {
  std::string body =
      boost::json::serialize(boost::json::object{{"text", text}});
  auto response = connection.post("/v1/query", body, false, reason);
  if (!response)
    return std::nullopt;
  if (response->Status != HttpOk) {
    reason = {ErrorKind::BadRequest, response->Body, {}};
    return std::nullopt;
  }
  return query::parseAnswer(response->Body, reason);
}

std::optional<std::vector<query::Answer>>
queryAllPages(const std::string &text, Connection &connection, Error &reason) {
  std::vector<query::Answer> out;
  std::string after;
  while (out.size() < MaxPages) {
    auto page = queryPage(text + after, connection, reason);
    if (!page)
      return std::nullopt;
    out.push_back(std::move(*page));
    if (out.back().Next.empty())
      break;
    after = " after " + query::quoteWord(out.back().Next);
  }
  return out;
}

/// Operators' addresses of the listed members: their peer addresses with the
/// port offset added.
std::vector<Endpoint> operatorAddresses(const query::Answer &members,
                                        uint16_t portOffset) {
  std::vector<Endpoint> out;
  const auto &columns = members.Rows.Columns;
  for (const auto &row : members.Rows.Rows)
    for (size_t i = 0; i < columns.size(); ++i) {
      const auto *text = std::get_if<std::string>(&row[i]);
      if (columns[i].Name != "peer" || !text)
        continue;
      if (auto peer = parseEndpoint(*text))
        out.push_back(
            {peer->Address, static_cast<uint16_t>(peer->Port + portOffset)});
    }
  return out;
}

query::Measures gatherMeasures(const Options &options, Connection &connection) {
  query::Measures out;
  Error reason;
  auto members = queryPage("show members where state != gone limit " +
                               std::to_string(MaxScrapedProcesses),
                           connection, reason);
  if (!members)
    return out;
  for (const Endpoint &it : operatorAddresses(*members, options.PortOffset)) {
    auto response = connection.get(it, "/metrics", reason);
    if (response && response->Status == HttpOk)
      out.add(response->Body);
  }
  return out;
}

void print(const query::Timeline &timeline, const Options &options,
           Connection &connection) {
  std::string title = options.Request.empty()
                          ? "Time line of the last " + toString(options.Since)
                          : "Time line of request " + options.Request;
  switch (options.Output) {
  case Format::Chrome:
  case Format::Json:
    std::cout << query::timelineChrome(timeline) << std::endl;
    break;
  case Format::Html:
    std::cout << query::timelinePage(
        timeline, gatherMeasures(options, connection), title);
    break;
  case Format::Text:
    std::cout << query::timelineText(timeline, options.Colours);
    break;
  }
  std::cout << std::flush;
}

} // namespace

ExitCode runTimeline(const Options &options, Connection &connection,
                     WallTime now) {
  if (!options.Request.empty() && !parseId128(options.Request)) {
    std::cerr << "--request takes 32 hexadecimal digits\n";
    return ExitCode::Usage;
  }
  WallTime since = options.Request.empty() ? now - options.Since : WallTime();
  Error reason;
  auto pages = queryAllPages(queryText(options, since), connection, reason);
  if (!pages) {
    std::cerr << errorName(reason.Kind) << ": "
              << query::printable(reason.Detail)
              << "\nremedy: " << errorRemedy(reason.Kind) << "\n";
    return reason.Kind == ErrorKind::BadRequest ? ExitCode::Refused
                                                : ExitCode::Unreachable;
  }
  query::Timeline timeline = query::timelineOf(*pages, since);
  print(timeline, options, connection);
  return timeline.Failures.empty() ? ExitCode::Done : ExitCode::Incomplete;
}

} // namespace daisytack::client
