#include "query/timeline.h"

#include "query/schema.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace daisytack::query {

namespace {

/// Names of the events that begin and end a kind of span.
struct SpanRule {
  std::string_view Name;
  std::vector<std::string_view> Begins;
  std::vector<std::string_view> Ends;
};

bool isAmong(const std::vector<std::string_view> &names,
             std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

const std::vector<SpanRule> &spanRules() {
  // An entry has no event for the start of a run, so a wait there ends with the
  // first token.
  static const std::vector<SpanRule> Rules{
      {"request",
       {"request_received"},
       {"request_answered", "request_refused"}},
      {"wait",
       {"offer_accepted", "run_queued"},
       {"run_started", "first_token", "run_finished", "run_cancelled"}},
      {"fetch", {"fetch_started"}, {"fetch_finished"}},
      {"run", {"run_started"}, {"run_finished", "run_cancelled"}},
      {"load", {"load_started"}, {"load_finished"}}};
  return Rules;
}

/// Reads the cells of a table's rows by column name.
class RowReader {
public:
  explicit RowReader(const Table &table) {
    for (size_t i = 0; i < table.Columns.size(); ++i)
      Indices[table.Columns[i].Name] = i;
  }

  template <class T>
  T get(const std::vector<Cell> &row, const std::string &name) const {
    auto it = Indices.find(name);
    const T *value =
        it == Indices.end() ? nullptr : std::get_if<T>(&row[it->second]);
    return value ? *value : T{};
  }

private:
  std::map<std::string, size_t> Indices;
};

TimelineEvent eventOf(const RowReader &reader, const std::vector<Cell> &row) {
  TimelineEvent out;
  out.At = reader.get<WallTime>(row, "at");
  out.Logical = reader.get<int64_t>(row, "logical");
  out.Instance = reader.get<std::string>(row, "instance");
  out.Sequence = reader.get<int64_t>(row, "sequence");
  out.Name = reader.get<std::string>(row, "event");
  out.Request = reader.get<std::string>(row, "request");
  out.Attempt = reader.get<int64_t>(row, "attempt");
  out.Reason = reader.get<std::string>(row, "reason");
  out.Subject = reader.get<std::string>(row, "subject");
  for (size_t i = 0; i < out.Scores.size(); ++i)
    out.Scores[i] = reader.get<int64_t>(row, "score" + std::to_string(i));
  return out;
}

using SpanKey = std::tuple<std::string, std::string_view, std::string, int64_t>;

/// Returns the key under which an open span is stored. A "request" span covers
/// all attempts of the request.
SpanKey keyOf(const TimelineEvent &event, const SpanRule &rule) {
  int64_t attempt = rule.Name == "request" ? 0 : event.Attempt;
  return {event.Instance, rule.Name, event.Request, attempt};
}

/// Builds spans from events, which must be added in order.
class SpanFinder {
public:
  void addEvent(const TimelineEvent &event) {
    for (const SpanRule &rule : spanRules()) {
      if (isAmong(rule.Ends, event.Name))
        end(event, rule);
      if (isAmong(rule.Begins, event.Name))
        begin(event, rule);
    }
    LastTime = std::max(LastTime, event.At);
  }

  std::vector<Span> finish() {
    for (auto &[key, span] : Open) {
      span.End = LastTime;
      span.IsOpen = true;
      Out.push_back(span);
    }
    std::sort(Out.begin(), Out.end(), [](const Span &a, const Span &b) {
      return std::tie(a.Start, a.Instance, a) <
             std::tie(b.Start, b.Instance, b);
    });
    return std::move(Out);
  }

private:
  void begin(const TimelineEvent &event, const SpanRule &rule) {
    Span span;
    span.Instance = event.Instance;
    span.Name = rule.Name;
    span.Request = event.Request;
    span.Attempt = event.Attempt;
    span.Start = event.At;
    // If several events can begin a span, the first one does.
    Open.emplace(keyOf(event, rule), span);
  }

  void end(const TimelineEvent &event, const SpanRule &rule) {
    auto it = Open.find(keyOf(event, rule));
    if (it == Open.end())
      return;
    it->second.End = event.At;
    it->second.Reason = event.Reason;
    Out.push_back(it->second);
    Open.erase(it);
  }

  std::map<SpanKey, Span> Open;
  std::vector<Span> Out;
  WallTime LastTime;
};

} // namespace

Timeline timelineOf(const std::vector<Answer> &pages, WallTime since) {
  Timeline out;
  for (const Answer &page : pages) {
    RowReader reader(page.Rows);
    for (const auto &row : page.Rows.Rows)
      out.Events.push_back(eventOf(reader, row));
    for (const EventGap &gap : page.Gaps)
      if (gap.Until >= since)
        out.Gaps.push_back(gap);
    out.Failures.insert(out.Failures.end(), page.Failures.begin(),
                        page.Failures.end());
  }
  std::sort(out.Events.begin(), out.Events.end());
  std::sort(out.Gaps.begin(), out.Gaps.end(),
            [](const auto &a, const auto &b) { return a.Until < b.Until; });
  return out;
}

std::vector<Span> spansOf(const Timeline &timeline) {
  SpanFinder finder;
  for (const TimelineEvent &event : timeline.Events)
    finder.addEvent(event);
  return finder.finish();
}

} // namespace daisytack::query
