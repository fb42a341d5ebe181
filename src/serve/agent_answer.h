/// The answer of one run as far as it is known, held so that a reader who lost
/// its connection can have the rest.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack::serve {

/// Consecutive chunks in one string. When it grows beyond its bound the oldest
/// chunks go.
class AnswerBuffer {
public:
  /// One chunk; Text is valid until the next append.
  struct View {
    uint32_t Index = 0;
    uint32_t Tokens = 0;
    std::string_view Text;
  };

  AnswerBuffer(uint32_t firstIndex, size_t maxBytes)
      : FirstIndex(firstIndex), MaxBytes(maxBytes) {}

  /// Returns the index of the new chunk.
  uint32_t append(std::string_view text, uint32_t tokens);

  /// Chunks from this index on can be had.
  uint32_t firstIndex() const { return FirstIndex; }
  /// Index that the next chunk will have.
  uint32_t nextIndex() const {
    return FirstIndex + static_cast<uint32_t>(Ends.size());
  }
  View at(uint32_t index) const;
  size_t bytes() const { return Text.size(); }
  uint32_t tokens() const { return Tokens; }
  /// The text held: the whole answer when nothing was dropped and firstIndex
  /// was 0.
  const std::string &text() const { return Text; }
  /// Memory in use, in bytes.
  size_t footprint() const;

private:
  struct ChunkEnd {
    uint32_t End = 0; ///< Offset in Text behind the chunk.
    uint32_t Tokens = 0;
  };
  void dropOldest();
  uint32_t chunkBegin(size_t i) const { return i == 0 ? 0 : Ends[i - 1].End; }

  uint32_t FirstIndex;
  size_t MaxBytes;
  uint32_t Tokens = 0;
  std::string Text;
  std::vector<ChunkEnd> Ends;
};

} // namespace daisytack::serve
