#include "direct/event_splitter.h"

#include <utility>

namespace daisytack::direct {

namespace {

constexpr std::string_view IdField = "id:";

} // namespace

std::string EventSplitter::feed(std::string_view data) {
  HasData |= !data.empty();
  for (char c : data) {
    net::SseScanner::Step step = Scanner.next(c);
    if (step.HasEventEndedBefore)
      endEvent();
    if (step.Mark == net::SseMark::LineEnd)
      endLine();
    Buffer.push_back(c);
    if (step.Mark == net::SseMark::EventEnd)
      endEvent();
    if (step.Mark == net::SseMark::LineEnd || step.Mark == net::SseMark::Tail)
      LineStart = Buffer.size();
    // The tail belongs to the line before it, which may have ended an event.
    if (step.Mark == net::SseMark::Tail && !Scanner.isInsideEvent())
      EventsSize = Buffer.size();
  }
  if (EventsSize > 0)
    return take(EventsSize);
  if (Buffer.size() <= MaxBufferedBytes)
    return {};
  HasReturnedPart = true;
  IsLineCut |= LineStart < Buffer.size();
  return take(Buffer.size());
}

std::string EventSplitter::take(size_t n) {
  std::string out = Buffer.substr(0, n);
  Buffer.erase(0, n);
  LineStart = LineStart > n ? LineStart - n : 0;
  EventsSize = 0;
  return out;
}

void EventSplitter::endLine() {
  std::string_view line = std::string_view(Buffer).substr(LineStart);
  bool isWhole = !std::exchange(IsLineCut, false);
  if (!isWhole || !line.starts_with(IdField))
    return;
  line.remove_prefix(IdField.size());
  if (line.starts_with(' '))
    line.remove_prefix(1);
  CurrentId = std::string(line);
}

void EventSplitter::endEvent() {
  EventsSize = LineStart = Buffer.size();
  HasReturnedPart = false;
  IsLineCut = false;
  if (CurrentId)
    LastId = std::exchange(CurrentId, std::nullopt);
}

} // namespace daisytack::direct
