#include "direct/event_splitter.h"

#include <algorithm>
#include <utility>

namespace daisytack::direct {

namespace {

constexpr std::string_view IdField = "id:";

/// Bytes up to and with the last blank line; 0 when there is none.
size_t endOfLastEvent(std::string_view text) {
  size_t plain = text.rfind("\n\n");
  size_t wide = text.rfind("\r\n\r\n");
  size_t out = plain == std::string_view::npos ? 0 : plain + 2;
  if (wide != std::string_view::npos)
    out = std::max(out, wide + 4);
  return out;
}

} // namespace

std::string EventSplitter::feed(std::string_view data) {
  Held += data;
  size_t end = endOfLastEvent(Held);
  if (end == 0 && Held.size() > MaxHeldBytes)
    end = Held.size();
  if (end == 0)
    return {};
  std::string out = Held.substr(0, end);
  Held.erase(0, end);
  noteIds(out);
  return out;
}

void EventSplitter::noteIds(std::string_view events) {
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

std::string EventSplitter::takeRest() { return std::exchange(Held, {}); }

} // namespace daisytack::direct
