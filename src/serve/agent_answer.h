/// Buffer of the answer of one run, from which a reader that lost its
/// connection can resume.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack::serve {

/// Stores consecutive chunks in one string. When the string exceeds its maximum
/// size, the oldest chunks are dropped.
class AnswerBuffer {
public:
  /// A view of one chunk; Text is valid until the next append.
  struct View {
    uint32_t Index = 0;
    uint32_t Tokens = 0;
    std::string_view Text;
  };

  AnswerBuffer(uint32_t firstIndex, size_t maxBytes)
      : FirstIndex(firstIndex), MaxBytes(maxBytes) {}

  /// Appends a chunk and returns its index.
  uint32_t append(std::string_view text, uint32_t tokens);

  /// Index of the oldest chunk that was not dropped; equal to nextIndex() when
  /// the buffer is empty.
  uint32_t firstIndex() const { return FirstIndex; }
  /// Index that the next appended chunk will get.
  uint32_t nextIndex() const {
    return FirstIndex + static_cast<uint32_t>(Ends.size());
  }
  /// Returns the chunk with an index in [firstIndex(), nextIndex()).
  View at(uint32_t index) const;
  /// Size in bytes of the chunks that were not dropped.
  size_t bytes() const { return Text.size(); }
  /// Number of tokens of all appended chunks, including dropped ones.
  uint32_t tokens() const { return Tokens; }
  /// Text of the chunks that were not dropped: the whole answer if firstIndex()
  /// is 0.
  const std::string &text() const { return Text; }
  /// Allocated memory in bytes.
  size_t footprint() const;

private:
  struct ChunkEnd {
    uint32_t End = 0; ///< Offset in Text of the end of the chunk.
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
