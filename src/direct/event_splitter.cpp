#include "direct/event_splitter.h"

#include <algorithm>
#include <utility>

namespace daisytack::direct {

namespace {

constexpr std::string_view IdField = "id:";

/// Number of bytes up to and including the last blank line; 0 if there is none.
size_t endOfLastEvent(std::string_view text) {
  size_t lfEnd = text.rfind("\n\n");
  size_t crlfEnd = text.rfind("\r\n\r\n");
  size_t out = lfEnd == std::string_view::npos ? 0 : lfEnd + 2;
  if (crlfEnd != std::string_view::npos)
    out = std::max(out, crlfEnd + 4);
  return out;
}

} // namespace

std::string EventSplitter::feed(std::string_view data) {
  Buffer += data;
  size_t end = endOfLastEvent(Buffer);
  if (end == 0 && Buffer.size() > MaxBufferedBytes)
    end = Buffer.size();
  if (end == 0)
    return {};
  std::string out = Buffer.substr(0, end);
  Buffer.erase(0, end);
  updateLastId(out);
  return out;
}

void EventSplitter::updateLastId(std::string_view events) {
  while (!events.empty()) {
    size_t end = events.find('\n');
    std::string_view line = events.substr(0, end);
    events.remove_prefix(end == std::string_view::npos ? events.size()
                                                       : end + 1);
    if (!line.starts_with(IdField))
      continue;
    line.remove_prefix(IdField.size());
    if (line.starts_with(' '))
      line.remove_prefix(1);
    if (line.ends_with('\r'))
      line.remove_suffix(1);
    LastId = std::string(line);
  }
}

std::string EventSplitter::takeRest() { return std::exchange(Buffer, {}); }

} // namespace daisytack::direct
