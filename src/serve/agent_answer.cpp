#include "serve/agent_answer.h"

namespace daisytack::serve {

uint32_t AnswerBuffer::append(std::string_view text, uint32_t tokens) {
  uint32_t index = nextIndex();
  Text.append(text);
  Marks.push_back({static_cast<uint32_t>(Text.size()), tokens});
  Tokens += tokens;
  if (Text.size() > Limit)
    dropOldest();
  return index;
}

AnswerBuffer::View AnswerBuffer::at(uint32_t index) const {
  size_t i = index - Base;
  uint32_t from = begin(i);
  std::string_view all = Text;
  return {index, Marks[i].Tokens, all.substr(from, Marks[i].End - from)};
}

size_t AnswerBuffer::footprint() const {
  return Text.capacity() + Marks.capacity() * sizeof(Mark);
}

/// Drops down to half of the limit, so that its cost is spread over many
/// appends; the newest chunk always stays.
void AnswerBuffer::dropOldest() {
  size_t n = 0;
  while (n + 1 < Marks.size() && Text.size() - Marks[n].End > Limit / 2)
    ++n;
  if (n + 1 < Marks.size())
    ++n;
  uint32_t cut = begin(n);
  Text.erase(0, cut);
  Marks.erase(Marks.begin(), Marks.begin() + static_cast<ptrdiff_t>(n));
  for (Mark &mark : Marks)
    mark.End -= cut;
  Base += static_cast<uint32_t>(n);
}

} // namespace daisytack::serve
