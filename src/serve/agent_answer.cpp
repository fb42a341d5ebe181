#include "serve/agent_answer.h"

namespace daisytack::serve {

uint32_t AnswerBuffer::append(std::string_view text, uint32_t tokens) {
  uint32_t index = nextIndex();
  Text.append(text);
  Ends.push_back({static_cast<uint32_t>(Text.size()), tokens});
  Tokens += tokens;
  if (Text.size() > MaxBytes)
    dropOldest();
  return index;
}

AnswerBuffer::View AnswerBuffer::at(uint32_t index) const {
  size_t i = index - FirstIndex;
  uint32_t from = chunkBegin(i);
  std::string_view all = Text;
  return {index, Ends[i].Tokens, all.substr(from, Ends[i].End - from)};
}

size_t AnswerBuffer::footprint() const {
  return Text.capacity() + Ends.capacity() * sizeof(ChunkEnd);
}

/// Drops chunks until at most half of MaxBytes remains, so that the cost of a
/// drop is amortised over many appends. The newest chunk is never dropped.
void AnswerBuffer::dropOldest() {
  size_t n = 0;
  while (n + 1 < Ends.size() && Text.size() - Ends[n].End > MaxBytes / 2)
    ++n;
  if (n + 1 < Ends.size())
    ++n;
  uint32_t droppedBytes = chunkBegin(n);
  Text.erase(0, droppedBytes);
  Ends.erase(Ends.begin(), Ends.begin() + static_cast<ptrdiff_t>(n));
  for (ChunkEnd &chunkEnd : Ends)
    chunkEnd.End -= droppedBytes;
  FirstIndex += static_cast<uint32_t>(n);
}

} // namespace daisytack::serve
