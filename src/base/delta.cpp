#include "base/delta.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>
#include <new>

namespace daisytack {

namespace {

/// Fast: a megabyte takes a few milliseconds.
constexpr int CompressionLevel = 1;

using CompressContext =
    std::unique_ptr<ZSTD_CCtx,
                    decltype([](ZSTD_CCtx *it) { ZSTD_freeCCtx(it); })>;
using DecompressContext =
    std::unique_ptr<ZSTD_DCtx,
                    decltype([](ZSTD_DCtx *it) { ZSTD_freeDCtx(it); })>;

/// Binary logarithm of a window that holds both texts, so that matches are
/// found anywhere in the base.
int windowLog(size_t bytes) {
  constexpr int MaxAcceptedLog = 27; // Decompression accepts no larger window.
  auto log = static_cast<int>(std::bit_width(bytes));
  int min = ZSTD_cParam_getBounds(ZSTD_c_windowLog).lowerBound;
  return std::clamp(log, min, MaxAcceptedLog);
}

Error badValue(const char *detail) { return {ErrorKind::BadValue, detail}; }

} // namespace

std::string compressDelta(std::string_view value, std::string_view base) {
  CompressContext context(ZSTD_createCCtx());
  if (!context)
    throw std::bad_alloc();
  ZSTD_CCtx *it = context.get();
  ZSTD_CCtx_setParameter(it, ZSTD_c_compressionLevel, CompressionLevel);
  ZSTD_CCtx_setParameter(it, ZSTD_c_checksumFlag, 1);
  if (!base.empty()) {
    ZSTD_CCtx_setParameter(it, ZSTD_c_windowLog,
                           windowLog(value.size() + base.size()));
    ZSTD_CCtx_setParameter(it, ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_refPrefix(it, base.data(), base.size());
  }
  std::string out(ZSTD_compressBound(value.size()), '\0');
  size_t n =
      ZSTD_compress2(it, out.data(), out.size(), value.data(), value.size());
  // Fails only for lack of memory, as the output fits any value.
  if (ZSTD_isError(n) != 0)
    throw std::bad_alloc();
  out.resize(n);
  out.shrink_to_fit();
  return out;
}

std::optional<std::string> decompressDelta(std::string_view bytes,
                                           std::string_view base,
                                           size_t maxBytes, Error &reason) {
  unsigned long long size =
      ZSTD_getFrameContentSize(bytes.data(), bytes.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
    reason = badValue("not a compressed value");
    return std::nullopt;
  }
  if (size > maxBytes) {
    reason = badValue("the compressed value is too large");
    return std::nullopt;
  }
  DecompressContext context(ZSTD_createDCtx());
  if (!context)
    throw std::bad_alloc();
  if (!base.empty())
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
  std::string out(size, '\0');
  size_t n = ZSTD_decompressDCtx(context.get(), out.data(), out.size(),
                                 bytes.data(), bytes.size());
  if (ZSTD_isError(n) != 0 || n != size) {
    reason = badValue("the compressed value is damaged, or its base differs");
    return std::nullopt;
  }
  return out;
}

} // namespace daisytack
