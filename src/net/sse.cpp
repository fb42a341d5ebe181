#include "net/sse.h"

#include <utility>

namespace daisytack::net {

SseMark SseScanner::endLine() {
  if (std::exchange(HasLineBytes, false))
    return SseMark::LineEnd;
  HasEventBytes = false;
  return SseMark::EventEnd;
}

SseScanner::Step SseScanner::next(char c) {
  Step out;
  if (std::exchange(IsCarriageReturnHeld, false)) {
    SseMark mark = endLine();
    if (c == '\n') {
      out.Mark = mark;
      return out;
    }
    out.HasEventEndedBefore = true;
    HasLineEndedWithCrLf = false;
  }
  bool isTail = std::exchange(AfterCarriageReturn, false) && c == '\n';
  if (isTail) {
    HasLineEndedWithCrLf = true;
    out.Mark = SseMark::Tail;
    return out;
  }
  if (c == '\r' && !HasLineBytes && HasLineEndedWithCrLf) {
    IsCarriageReturnHeld = true;
    out.Mark = SseMark::Held;
    return out;
  }
  if (c == '\r' || c == '\n') {
    AfterCarriageReturn = c == '\r';
    HasLineEndedWithCrLf = false;
    out.Mark = endLine();
    return out;
  }
  HasLineBytes = HasEventBytes = true;
  return out;
}

bool SseParser::feed(std::string_view data, const Sink &sink) {
  for (char c : data) {
    if (Failed)
      return false;
    SseScanner::Step step = Scanner.next(c);
    if (step.HasEventEndedBefore || step.Mark == SseMark::EventEnd)
      endEvent(sink);
    if (step.Mark == SseMark::LineEnd)
      processLine();
    if (step.Mark != SseMark::Byte)
      continue;
    Line.push_back(c);
    Failed = ++EventBytes > MaxEventBytes;
  }
  return !Failed;
}

void SseParser::endEvent(const Sink &sink) {
  SseEvent event = std::exchange(Current, {});
  bool complete = std::exchange(HasData, false);
  EventBytes = 0;
  if (complete)
    sink(std::move(event));
}

void SseParser::processLine() {
  std::string line = std::exchange(Line, {});
  size_t colon = line.find(':');
  if (colon == 0)
    return; // A comment.
  std::string_view name = line;
  std::string_view value;
  if (colon != std::string::npos) {
    value = name.substr(colon + 1);
    name = name.substr(0, colon);
    if (value.starts_with(' '))
      value.remove_prefix(1);
  }
  processField(name, value);
}

void SseParser::processField(std::string_view name, std::string_view value) {
  if (name == "data") {
    if (HasData)
      Current.Data.push_back('\n');
    Current.Data.append(value);
    HasData = true;
  } else if (name == "event") {
    Current.Event = value;
  } else if (name == "id") {
    Current.Id = value;
  }
}

std::string formatSse(const SseEvent &event) {
  std::string out;
  out.reserve(event.Data.size() + event.Id.size() + event.Event.size() + 32);
  if (!event.Event.empty())
    out.append("event: ").append(event.Event).append("\n");
  if (!event.Id.empty())
    out.append("id: ").append(event.Id).append("\n");
  size_t from = 0;
  while (true) {
    size_t to = event.Data.find('\n', from);
    out.append("data: ").append(event.Data, from, to - from).append("\n");
    if (to == std::string::npos)
      break;
    from = to + 1;
  }
  out.push_back('\n');
  return out;
}

} // namespace daisytack::net
