#include "runtime/operator_statement.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace daisytack::runtime {

namespace {

namespace json = boost::json;

constexpr uint64_t MaxEventsPerPage = 1000;
constexpr int64_t MaxWaitMs = 60'000;

/// Number in the query of a URL; the fallback if it is absent or not a number.
uint64_t queryParameter(std::string_view query, std::string_view name,
                        uint64_t fallback) {
  while (!query.empty()) {
    std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(pair.size() + 1, query.size()));
    if (!pair.starts_with(name) || pair.substr(name.size(), 1) != "=")
      continue;
    pair.remove_prefix(name.size() + 1);
    uint64_t out = 0;
    auto [end, ec] = std::from_chars(pair.begin(), pair.end(), out);
    return ec == std::errc() && end == pair.end() ? out : fallback;
  }
  return fallback;
}

json::object eventToJson(uint64_t sequence, const Event &event) {
  json::array scores;
  for (int64_t score : event.Scores)
    scores.emplace_back(score);
  json::object out{
      {"sequence", sequence},           {"wall_us", event.At.Wall},
      {"logical", event.At.Logical},    {"event", eventName(event.Kind)},
      {"attempt", event.AttemptNumber}, {"subject", event.Subject},
      {"scores", std::move(scores)}};
  if (event.Request.isValid())
    out["request"] = toHex(event.Request);
  if (event.Reason != ErrorKind::None)
    out["reason"] = errorName(event.Reason);
  return out;
}

} // namespace

std::optional<Statement> parseStatement(std::string_view body, Error &reason) {
  boost::system::error_code ec;
  json::value parsed = json::parse(body, ec);
  const json::object *object = ec ? nullptr : parsed.if_object();
  const json::value *text = object ? object->if_contains("text") : nullptr;
  if (!text || !text->is_string()) {
    reason = {ErrorKind::BadRequest, R"(the body must be {"text": "..."})", {}};
    return std::nullopt;
  }
  Statement out;
  out.Text = std::string_view(text->get_string());
  if (const json::value *scope = object->if_contains("scope"))
    out.IsLocal = *scope == "local";
  if (const json::value *wait = object->if_contains("wait_ms")) {
    auto ms = wait->to_number<int64_t>(ec);
    if (ec || ms < 0 || ms > MaxWaitMs) {
      reason = {ErrorKind::BadRequest,
                "wait_ms must be from 0 to " + std::to_string(MaxWaitMs),
                {}};
      return std::nullopt;
    }
    out.Wait = std::chrono::milliseconds(ms);
  }
  if (const json::value *it = object->if_contains("expected_revision")) {
    out.ExpectedRevision = it->to_number<uint64_t>(ec);
    if (ec) {
      reason = {ErrorKind::BadRequest,
                "expected_revision must be a whole number from 0",
                {}};
      return std::nullopt;
    }
  }
  return out;
}

EventRange parseEventRange(std::string_view query) {
  uint64_t limit = queryParameter(query, "limit", MaxEventsPerPage);
  return {queryParameter(query, "from", 0), std::min(limit, MaxEventsPerPage)};
}

std::string toJson(std::string_view instance, const EventRing::Page &page) {
  json::array events;
  for (size_t i = 0; i < page.Events.size(); ++i)
    events.push_back(eventToJson(page.FirstSequence + i, page.Events[i]));
  return json::serialize(json::object{{"instance", instance},
                                      {"first", page.FirstSequence},
                                      {"next", page.NextSequence},
                                      {"events", std::move(events)}});
}

} // namespace daisytack::runtime
