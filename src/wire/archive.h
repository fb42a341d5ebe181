/// cereal archives for messages: little-endian, appended to a string and read
/// from a view. The input archive trusts no encoded length: it allocates memory
/// in proportion to the bytes that are present, so that a hostile length cannot
/// exhaust the memory.
#pragma once

#include "daisytack/error.h"

#include <cereal/cereal.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>

#include <bit>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace daisytack::wire {

static_assert(
    std::endian::native == std::endian::little,
    "messages are little-endian and copied from memory without conversion");

/// Appends the encoded values to a string.
class OutputArchive
    : public cereal::OutputArchive<OutputArchive,
                                   cereal::AllowEmptyClassElision> {
public:
  explicit OutputArchive(std::string &out)
      : cereal::OutputArchive<OutputArchive, cereal::AllowEmptyClassElision>(
            this),
        Out(out) {}
  void saveBytes(const void *data, size_t n) {
    Out.append(static_cast<const char *>(data), n);
  }

private:
  std::string &Out;
};

/// Reads values from a view. Throws cereal::Exception at the first byte that
/// cannot be part of the message.
class InputArchive
    : public cereal::InputArchive<InputArchive,
                                  cereal::AllowEmptyClassElision> {
public:
  explicit InputArchive(std::string_view in)
      : cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision>(
            this),
        Left(in) {}
  void loadBytes(void *data, size_t n) {
    if (n > Left.size())
      throw cereal::Exception("message is cut");
    if (n == 0)
      return; // An empty vector may have no storage to copy to.
    std::memcpy(data, Left.data(), n);
    Left.remove_prefix(n);
  }
  size_t left() const { return Left.size(); }

private:
  std::string_view Left;
};

template <class T>
std::enable_if_t<std::is_arithmetic_v<T>>
CEREAL_SAVE_FUNCTION_NAME(OutputArchive &ar, const T &value) {
  ar.saveBytes(&value, sizeof(value));
}

template <class T>
std::enable_if_t<std::is_arithmetic_v<T>>
CEREAL_LOAD_FUNCTION_NAME(InputArchive &ar, T &value) {
  ar.loadBytes(&value, sizeof(value));
}

/// Accepts only the bytes 0 and 1.
inline void CEREAL_LOAD_FUNCTION_NAME(InputArchive &ar, bool &value) {
  uint8_t byte = 0;
  ar.loadBytes(&byte, sizeof(byte));
  if (byte > 1)
    throw cereal::Exception("not a bool");
  value = byte == 1;
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive &ar,
                               const cereal::SizeTag<T> &tag) {
  uint64_t n = tag.size;
  ar.saveBytes(&n, sizeof(n));
}

/// Refuses a length greater than the number of bytes left before anything is
/// allocated for it: every element takes at least one byte.
template <class T>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive &ar, cereal::SizeTag<T> &tag) {
  uint64_t n = 0;
  ar.loadBytes(&n, sizeof(n));
  if (n > ar.left())
    throw cereal::Exception("length beyond the message");
  tag.size = n;
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive &ar,
                               const cereal::BinaryData<T> &data) {
  ar.saveBytes(data.data, static_cast<size_t>(data.size));
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive &ar, cereal::BinaryData<T> &data) {
  ar.loadBytes(data.data, static_cast<size_t>(data.size));
}

/// Writes only the value. Name-value pairs occur because cereal's functions for
/// std::optional use them.
template <class T>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive &ar,
                               const cereal::NameValuePair<T> &pair) {
  ar(pair.value);
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive &ar,
                               cereal::NameValuePair<T> &pair) {
  ar(pair.value);
}

/// Grows the vector with each element that was read and does not reserve by the
/// encoded length: an element in memory may be many times the size of its
/// smallest encoding.
template <class T, class A>
std::enable_if_t<!std::is_arithmetic_v<T>>
CEREAL_LOAD_FUNCTION_NAME(InputArchive &ar, std::vector<T, A> &out) {
  cereal::size_type n = 0;
  ar(cereal::make_size_tag(n));
  out.clear();
  for (cereal::size_type i = 0; i < n; ++i)
    ar(out.emplace_back());
}

/// Refuses a length whose elements would take more than the bytes left.
template <class T, class A>
std::enable_if_t<std::is_arithmetic_v<T> && !std::is_same_v<T, bool>>
CEREAL_LOAD_FUNCTION_NAME(InputArchive &ar, std::vector<T, A> &out) {
  cereal::size_type n = 0;
  ar(cereal::make_size_tag(n));
  if (n > ar.left() / sizeof(T))
    throw cereal::Exception("length beyond the message");
  out.resize(n);
  ar.loadBytes(out.data(), n * sizeof(T));
}

} // namespace daisytack::wire

CEREAL_SETUP_ARCHIVE_TRAITS(daisytack::wire::InputArchive,
                            daisytack::wire::OutputArchive)
