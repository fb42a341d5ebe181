/// Tests that no reader of answers takes one that was cut at its end for whole.
#include "direct/peer_messages.h"
#include "platform/engine_calls.h"
#include "wire/codec.h"

#include <gtest/gtest.h>

namespace daisytack::platform {
namespace {

/// Expects that the reader accepts the text and none of its beginnings.
template <class Read> void expectOnlyWhole(const std::string &text, Read read) {
  EXPECT_TRUE(read(text)) << text;
  for (size_t n = 0; n < text.size(); ++n)
    EXPECT_FALSE(read(text.substr(0, n))) << text.substr(0, n);
}

/// Guards against an answer that ended with its connection, and too early,
/// being read as a shorter whole one.
TEST(CutAnswer, IsReadByNoReaderOfEnginesAndStores) {
  expectOnlyWhole(R"({"epoch":7,"next":120,"held":[["s","a",800,"m"]]})",
                  [](const std::string &it) { return readList(it); });
  expectOnlyWhole(
      R"({"epoch":7,"next":2,"lost":false,"events":[[1,"+","s","a",8,"m"]]})",
      [](const std::string &it) { return readChanges(it, 1); });
  expectOnlyWhole(
      R"({"models":[{"name":"m","version":2}],"busy":false,"sequence":3})",
      [](const std::string &it) { return readReport(it); });
}

/// Guards against the same between entries.
TEST(CutAnswer, IsReadByNoReaderOfEntries) {
  direct::RecordsResponse response;
  response.Records = {{"a", "b", 1, false}, {"c", "d", 2, true}};
  for (const direct::PeerMessage &message :
       {direct::PeerMessage(response),
        direct::PeerMessage(direct::EntryLoads{"e", 1, {}, {}}),
        direct::PeerMessage(direct::ServersLoading{{{"i-1", 1}}})})
    expectOnlyWhole(wire::encode(message), [](const std::string &it) {
      Error reason;
      return wire::decode<direct::PeerMessage>(it, reason);
    });
}

} // namespace
} // namespace daisytack::platform
