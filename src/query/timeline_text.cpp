#include "query/table_text.h"
#include "query/timeline.h"

#include <boost/json.hpp>

#include <algorithm>
#include <map>

namespace daisytack::query {

namespace {

namespace json = boost::json;

constexpr size_t ShortIdSize = 8;

std::string scoresText(const TimelineEvent &event) {
  std::string out;
  bool hasAny = std::any_of(event.Scores.begin(), event.Scores.end(),
                            [](int64_t score) { return score != 0; });
  for (int64_t score : event.Scores)
    if (hasAny)
      out += (out.empty() ? "" : ",") + std::to_string(score);
  return out;
}

std::string eventLine(const TimelineEvent &event, bool colours) {
  std::string out = timeText(event.At) + "+" + std::to_string(event.Logical) +
                    " " + printable(event.Instance) + " ";
  out += coloured(event.Name, Colour::Bold, colours);
  if (!event.Request.empty())
    out += " request=" + event.Request.substr(0, ShortIdSize);
  if (event.Attempt != 0)
    out += " attempt=" + std::to_string(event.Attempt);
  if (!event.Subject.empty())
    out += " subject=" + printable(event.Subject);
  if (!event.Reason.empty())
    out += " reason=" + coloured(event.Reason, Colour::Red, colours);
  std::string scores = scoresText(event);
  if (!scores.empty())
    out += " scores=" + scores;
  return out + "\n";
}

std::string gapLine(const EventGap &gap, bool colours) {
  return coloured(timeText(gap.Until) + " " + printable(gap.Instance) +
                      " gap: " + std::to_string(gap.Lost) +
                      " earlier events were overwritten",
                  Colour::Yellow, colours) +
         "\n";
}

/// Assigns a trace process identifier to each instance, from 1.
std::map<std::string, int> processNumbers(const Timeline &timeline) {
  std::map<std::string, int> out;
  for (const TimelineEvent &event : timeline.Events)
    out.emplace(event.Instance, 0);
  for (const EventGap &gap : timeline.Gaps)
    out.emplace(gap.Instance, 0);
  int next = 1;
  for (auto &[instance, number] : out)
    number = next++;
  return out;
}

int64_t microsOf(WallTime time) { return time.time_since_epoch().count(); }

json::object instant(std::string_view name, int process, WallTime at,
                     json::object arguments) {
  return {{"ph", "i"},
          {"s", "p"},
          {"name", name},
          {"pid", process},
          {"tid", 0},
          {"ts", microsOf(at)},
          {"args", std::move(arguments)}};
}

json::object argumentsOf(const TimelineEvent &event) {
  json::array scores;
  for (int64_t score : event.Scores)
    scores.emplace_back(score);
  return {{"request", event.Request},   {"attempt", event.Attempt},
          {"subject", event.Subject},   {"reason", event.Reason},
          {"sequence", event.Sequence}, {"logical", event.Logical},
          {"scores", std::move(scores)}};
}

/// Encodes the start or end of a span as an asynchronous event. Spans of
/// different requests overlap, so they can't be nested events of one thread.
json::object spanEnd(const Span &span, int process, bool isStart, size_t id) {
  return {{"ph", isStart ? "b" : "e"},
          {"cat", span.Name},
          {"name", span.Name},
          {"id", id},
          {"pid", process},
          {"tid", 0},
          {"ts", microsOf(isStart ? span.Start : span.End)},
          {"args", json::object{{"request", span.Request},
                                {"attempt", span.Attempt},
                                {"open", span.IsOpen},
                                {"reason", span.Reason}}}};
}

} // namespace

std::string timelineText(const Timeline &timeline, bool colours) {
  std::string out;
  auto gap = timeline.Gaps.begin();
  for (const TimelineEvent &event : timeline.Events) {
    for (; gap != timeline.Gaps.end() && gap->Until <= event.At; ++gap)
      out += gapLine(*gap, colours);
    out += eventLine(event, colours);
  }
  for (; gap != timeline.Gaps.end(); ++gap)
    out += gapLine(*gap, colours);
  for (const QueryFailure &it : timeline.Failures)
    out +=
        coloured("silent: " + printable(it.Name) + ": " + printable(it.Reason),
                 Colour::Yellow, colours) +
        "\n";
  return out;
}

std::string timelineChrome(const Timeline &timeline) {
  auto numbers = processNumbers(timeline);
  json::array events;
  for (const auto &[instance, number] : numbers)
    events.push_back(json::object{{"ph", "M"},
                                  {"name", "process_name"},
                                  {"pid", number},
                                  {"tid", 0},
                                  {"args", json::object{{"name", instance}}}});
  for (const TimelineEvent &event : timeline.Events)
    events.push_back(instant(event.Name, numbers[event.Instance], event.At,
                             argumentsOf(event)));
  for (const EventGap &gap : timeline.Gaps)
    events.push_back(
        instant("gap", numbers[gap.Instance], gap.Until, {{"lost", gap.Lost}}));
  size_t id = 0;
  for (const Span &span : spansOf(timeline)) {
    int process = numbers[span.Instance];
    ++id;
    events.push_back(spanEnd(span, process, true, id));
    events.push_back(spanEnd(span, process, false, id));
  }
  return json::serialize(json::object{{"displayTimeUnit", "ms"},
                                      {"traceEvents", std::move(events)}});
}

} // namespace daisytack::query
