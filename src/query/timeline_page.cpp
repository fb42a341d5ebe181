#include "query/timeline_page.h"

#include "base/setting_text.h"
#include "base/settings.h"
#include "query/timeline_style.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <set>

namespace daisytack::query {

namespace {

// Geometry of the drawing, in units of its viewBox.
constexpr double DrawingWidth = 1000;
constexpr double LaneLabelWidth = 150;
constexpr double RowHeight = 14;
constexpr double LanePadding = 8;
constexpr double AxisHeight = 24;
constexpr double MinSpanWidth = 2;
constexpr size_t MaxRowsPerLane = 24;
constexpr int AxisMarks = 5;
constexpr size_t MaxDrawnEvents = 5000;

std::string escaped(std::string_view text) {
  std::string out;
  for (char c : text) {
    switch (c) {
    case '&':
      out += "&amp;";
      break;
    case '<':
      out += "&lt;";
      break;
    case '>':
      out += "&gt;";
      break;
    case '"':
      out += "&quot;";
      break;
    default:
      out += static_cast<unsigned char>(c) < ' ' ? '?' : c;
    }
  }
  return out;
}

std::string fixed(double value, int digits = 1) {
  std::array<char, 64> buf{};
  int n = std::snprintf(buf.data(), buf.size(), "%.*f", digits, value);
  return {buf.data(), static_cast<size_t>(n)};
}

std::string durationText(Duration value) {
  double ms = static_cast<double>(value.count()) / 1000;
  return ms < 1000 ? fixed(ms, 2) + " ms" : fixed(ms / 1000, 3) + " s";
}

/// Spans and events of one instance, drawn in a horizontal lane.
struct Lane {
  std::string Instance;
  std::vector<Span> Spans;
  std::vector<size_t> SpanRows; ///< Row within the lane of each of Spans.
  size_t RowCount = 1;
  std::vector<const TimelineEvent *> Events;
  std::vector<const EventGap *> Gaps;
  double Top = 0;

  double height() const {
    return static_cast<double>(RowCount + 1) * RowHeight + LanePadding;
  }
};

/// Assigns each span to the first row that is free at its start. Spans overlap
/// in the last row when MaxRowsPerLane rows are occupied.
void assignRows(Lane &lane) {
  std::vector<WallTime> ends;
  for (const Span &span : lane.Spans) {
    size_t row = 0;
    while (row < ends.size() && ends[row] > span.Start &&
           row + 1 < MaxRowsPerLane)
      ++row;
    if (row == ends.size())
      ends.push_back(span.End);
    ends[row] = std::max(ends[row], span.End);
    lane.SpanRows.push_back(row);
  }
  lane.RowCount = std::max<size_t>(ends.size(), 1);
}

std::vector<Lane> lanesOf(const Timeline &timeline) {
  std::map<std::string, Lane> lanes;
  for (const TimelineEvent &it : timeline.Events)
    lanes[it.Instance].Events.push_back(&it);
  for (const EventGap &it : timeline.Gaps)
    lanes[it.Instance].Gaps.push_back(&it);
  for (Span &it : spansOf(timeline))
    lanes[it.Instance].Spans.push_back(std::move(it));
  std::vector<Lane> out;
  double top = AxisHeight;
  for (auto &[instance, lane] : lanes) {
    lane.Instance = instance;
    assignRows(lane);
    lane.Top = top;
    top += lane.height();
    out.push_back(std::move(lane));
  }
  return out;
}

/// Renders lanes as SVG.
class Drawing {
public:
  Drawing(const Timeline &timeline, std::vector<Lane> lanes)
      : Lanes(std::move(lanes)) {
    if (timeline.Events.empty())
      return;
    Start = timeline.Events.front().At;
    End = std::max(timeline.Events.back().At, Start + Duration(1));
  }

  std::string svg() {
    double height =
        Lanes.empty() ? AxisHeight : Lanes.back().Top + Lanes.back().height();
    Out = "<svg viewBox=\"0 0 " + fixed(DrawingWidth) + " " + fixed(height) +
          "\" role=\"img\" aria-label=\"Time line\">\n";
    axis(height);
    for (const Lane &lane : Lanes)
      draw(lane);
    return Out + "</svg>\n";
  }

private:
  double xPosition(WallTime at) const {
    double fraction = static_cast<double>((at - Start).count()) /
                      static_cast<double>((End - Start).count());
    return LaneLabelWidth + std::clamp(fraction, 0.0, 1.0) *
                                (DrawingWidth - LaneLabelWidth - 10);
  }

  void axis(double height) {
    for (int i = 0; i < AxisMarks; ++i) {
      Duration offset = (End - Start) * i / (AxisMarks - 1);
      std::string at = fixed(xPosition(Start + offset));
      bool isLast = i + 1 == AxisMarks;
      Out.append("<line class=\"grid\" x1=\"").append(at);
      Out.append("\" x2=\"").append(at).append("\" y1=\"16\" y2=\"");
      Out.append(fixed(height)).append("\"/><text class=\"mark\" x=\"");
      Out.append(at).append("\" y=\"11\" text-anchor=\"");
      Out.append(isLast ? "end" : "start").append("\">+");
      Out.append(durationText(offset)).append("</text>\n");
    }
  }

  void draw(const Lane &lane) {
    Out += "<line class=\"edge\" x1=\"0\" x2=\"" + fixed(DrawingWidth) +
           "\" y1=\"" + fixed(lane.Top) + "\" y2=\"" + fixed(lane.Top) +
           "\"/><text class=\"lane\" x=\"4\" y=\"" + fixed(lane.Top + 14) +
           "\">" + escaped(lane.Instance) + "</text>\n";
    for (const EventGap *gap : lane.Gaps)
      drawGap(lane, *gap);
    for (size_t i = 0; i < lane.Spans.size(); ++i)
      drawSpan(lane, lane.Spans[i], lane.SpanRows[i]);
    for (const TimelineEvent *event : lane.Events)
      drawEvent(lane, *event);
  }

  void drawGap(const Lane &lane, const EventGap &gap) {
    Out +=
        "<rect class=\"gap\" x=\"" + fixed(LaneLabelWidth) + "\" y=\"" +
        fixed(lane.Top + 1) + "\" width=\"" +
        fixed(std::max(xPosition(gap.Until) - LaneLabelWidth, MinSpanWidth)) +
        "\" height=\"" + fixed(lane.height() - 2) + "\"><title>" +
        std::to_string(gap.Lost) +
        " earlier events were overwritten</title></rect>\n";
  }

  void drawSpan(const Lane &lane, const Span &span, size_t row) {
    double left = xPosition(span.Start);
    double width = std::max(xPosition(span.End) - left, MinSpanWidth);
    double top =
        lane.Top + LanePadding / 2 + static_cast<double>(row) * RowHeight;
    std::string state = span.IsOpen ? ", not ended" : "";
    std::string reason = span.Reason.empty() ? "" : ", " + span.Reason;
    Out += "<rect class=\"span " + span.Name +
           (span.Reason.empty() ? "" : " bad") + "\" x=\"" + fixed(left) +
           "\" y=\"" + fixed(top) + "\" width=\"" + fixed(width) +
           "\" height=\"" + fixed(RowHeight - 3) + "\" rx=\"2\"><title>" +
           span.Name + " " + durationText(span.End - span.Start) +
           ", request " + escaped(span.Request) + state + escaped(reason) +
           "</title></rect>\n";
  }

  void drawEvent(const Lane &lane, const TimelineEvent &event) {
    if (++DrawnEvents > MaxDrawnEvents)
      return;
    double top = lane.Top + LanePadding / 2 +
                 static_cast<double>(lane.RowCount) * RowHeight;
    std::string subject =
        event.Subject.empty() ? "" : " " + escaped(event.Subject);
    std::string reason =
        event.Reason.empty() ? "" : " (" + escaped(event.Reason) + ")";
    Out += "<circle class=\"event" +
           std::string(event.Reason.empty() ? "" : " bad") + "\" cx=\"" +
           fixed(xPosition(event.At)) + "\" cy=\"" +
           fixed(top + RowHeight / 2) + "\" r=\"3\"><title>" +
           escaped(event.Name) + subject + reason + ", +" +
           durationText(event.At - Start) + "</title></circle>\n";
  }

  std::vector<Lane> Lanes;
  WallTime Start;
  WallTime End{Duration(1)};
  std::string Out;
  size_t DrawnEvents = 0;
};

std::string bar(double fraction, const char *kind) {
  return "<span class=\"bar\"><span class=\"" + std::string(kind) +
         "\" style=\"width:" + fixed(std::clamp(fraction, 0.0, 1.0) * 100) +
         "%\"></span></span>";
}

std::string secondsText(double seconds) {
  if (std::isinf(seconds))
    return "over 1000 s";
  return seconds < 1 ? fixed(seconds * 1000) + " ms" : fixed(seconds, 2) + " s";
}

std::string servingTable(const Measures &measures) {
  std::string out =
      "<div class=\"scroll\"><table><thead><tr><th>model</th><th>class</th>"
      "<th>requests</th><th>first token, half within</th><th>95 in 100 "
      "within</th><th colspan=\"2\">prompt recomputed</th></tr></thead><tbody>";
  for (const auto &[pair, it] : measures.Serving)
    out += "<tr><td>" + escaped(pair.first) + "</td><td>" +
           escaped(pair.second) + "</td><td class=\"n\">" +
           std::to_string(it.requests()) + "</td><td class=\"n\">" +
           secondsText(it.firstTokenQuantile(0.5)) + "</td><td class=\"n\">" +
           secondsText(it.firstTokenQuantile(0.95)) + "</td><td class=\"n\">" +
           fixed(it.recomputedShare() * 100) + "%</td><td>" +
           bar(it.recomputedShare(), "run") + "</td></tr>\n";
  return out + "</tbody></table></div>\n";
}

std::string linkTable(const Measures &measures) {
  uint64_t largest = 1;
  for (const auto &[key, bytes] : measures.LinkBytes)
    largest = std::max(largest, bytes);
  std::string out = "<div class=\"scroll\"><table><thead><tr>"
                    "<th>direction</th><th colspan=\"2\">bytes</th></tr>"
                    "</thead><tbody>";
  for (const auto &[key, bytes] : measures.LinkBytes)
    out += "<tr><td>" + escaped(key) + "</td><td class=\"n\">" +
           std::to_string(bytes) + "</td><td>" +
           bar(static_cast<double>(bytes) / static_cast<double>(largest),
               "fetch") +
           "</td></tr>\n";
  return out + "</tbody></table></div>\n";
}

std::string legend() {
  std::string out = "<p class=\"legend\">";
  for (const char *name : {"request", "wait", "fetch", "run", "load"})
    out += "<span class=\"key\"><span class=\"box " + std::string(name) +
           "\"></span>" + name + "</span> ";
  return out + "<span class=\"key\"><span class=\"box gap\"></span>events "
               "overwritten</span></p>\n";
}

std::string notes(const Timeline &timeline) {
  std::string out;
  if (timeline.Events.size() > MaxDrawnEvents)
    out += "<p class=\"note\">Of " + std::to_string(timeline.Events.size()) +
           " events the first " + std::to_string(MaxDrawnEvents) +
           " are drawn.</p>\n";
  for (const QueryFailure &it : timeline.Failures)
    out += "<p class=\"note\">" + escaped(it.Name) +
           " did not answer: " + escaped(it.Reason) + "</p>\n";
  return out;
}

std::string measuresSection(const Measures &measures) {
  std::string out = "<h2>Three measures</h2>\n";
  if (measures.Serving.empty() && measures.LinkBytes.empty())
    return out + "<p>No process has counted a request yet.</p>\n";
  out += "<p>Since they started; processes that answered: " +
         std::to_string(measures.Processes) +
         ".</p>\n<h3>First token and recomputed "
         "share</h3>\n" +
         servingTable(measures);
  return out + "<h3>Link use between tiers</h3>\n" + linkTable(measures);
}

} // namespace

std::string timelinePage(const Timeline &timeline, const Measures &measures,
                         const std::string &title) {
  std::string when = timeline.Events.empty()
                         ? "No event."
                         : "From " + timeText(timeline.Events.front().At) +
                               ", " + std::to_string(timeline.Events.size()) +
                               " events. Point at a mark for its details.";
  return "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n"
         "<meta name=\"viewport\" content=\"width=device-width, "
         "initial-scale=1\">\n<title>" +
         escaped(title) + "</title>\n<style>\n" + std::string(PageStyle) +
         "</style></head><body><main>\n<h1>" + escaped(title) + "</h1>\n<p>" +
         when + "</p>\n" + legend() +
         "<div class=\"scroll\"><div class=\"drawing\">\n" +
         Drawing(timeline, lanesOf(timeline)).svg() + "</div></div>\n" +
         notes(timeline) + measuresSection(measures) +
         "</main></body></html>\n";
}

} // namespace daisytack::query
