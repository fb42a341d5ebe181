/// Time to encode and decode a message with the archives of wire/codec.h,
/// compared with cereal's portable binary archives over string streams.
#include "base/clock.h"
#include "wire/codec.h"
#include "wire/messages.h"

#include <cereal/archives/portable_binary.hpp>

#include <cstdio>
#include <sstream>

namespace daisytack {

namespace {

constexpr size_t Rounds = 200'000;

template <class F> double nanosecondsPerCall(const F &call) {
  TimePoint start = monotonicNow();
  size_t sum = 0;
  for (size_t i = 0; i < Rounds; ++i)
    sum += call();
  auto passed =
      std::chrono::duration<double, std::nano>(monotonicNow() - start);
  return sum > 0 ? passed.count() / Rounds : 0;
}

wire::Offer makeOffer(size_t bodyBytes, size_t pieces) {
  wire::Offer out;
  out.Id = {1, 2};
  out.Organisation = "kengarags-fruit";
  out.Model = "market-commentary";
  out.Version = "v7";
  out.Class = "quotes";
  out.Pieces.resize(pieces);
  out.Body = std::string(bodyBytes, 'x');
  return out;
}

template <class T> std::string encodePortable(const T &message) {
  std::ostringstream stream;
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(message);
  return std::move(stream).str();
}

template <class T> T decodePortable(const std::string &bytes) {
  std::istringstream stream(bytes);
  cereal::PortableBinaryInputArchive archive(stream);
  T out;
  archive(out);
  return out;
}

template <class T> void measure(const char *name, const T &message) {
  wire::Message variant(message);
  std::string encoded = wire::encode(variant);
  std::string portable = encodePortable(message);
  double encodeNanoseconds =
      nanosecondsPerCall([&] { return wire::encode(variant).size(); });
  double portableEncodeNanoseconds =
      nanosecondsPerCall([&] { return encodePortable(message).size(); });
  Error reason;
  double decodeNanoseconds = nanosecondsPerCall(
      [&] { return wire::decode<wire::Message>(encoded, reason) ? 1U : 0U; });
  double portableDecodeNanoseconds =
      nanosecondsPerCall([&] { return decodePortable<T>(portable).Id.Lo; });
  std::printf("%-16s %6zu B  encode %6.0f ns (portable %6.0f)  decode %6.0f ns "
              "(portable %6.0f)\n",
              name, encoded.size(), encodeNanoseconds,
              portableEncodeNanoseconds, decodeNanoseconds,
              portableDecodeNanoseconds);
}

} // namespace

} // namespace daisytack

int main() {
  using namespace daisytack;
  measure("offer 1 KB", makeOffer(1024, 0));
  measure("offer 32 KB", makeOffer(32U << 10, 8));
  measure("chunk", wire::Chunk{{1, 2}, 1, 3, 1, " word"});
  measure("cancel", wire::Cancel{{1, 2}, 1});
  return 0;
}
