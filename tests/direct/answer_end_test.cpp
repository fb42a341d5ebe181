/// Tests of answers whose connection ends: whether what has arrived is whole.
#include "direct/flow_harness.h"

#include <gtest/gtest.h>

namespace daisytack::direct {
namespace {

using Lines = std::vector<std::string>;

ServerHead closeDelimited(unsigned status = 200) {
  ServerHead out = headOf(status);
  out.IsCloseDelimited = true;
  return out;
}

Route streamRoute(bool isResumable, uint32_t attempts = 2) {
  Route out = routeFor(RouteKind::Stream, attempts);
  out.IsResumable = isResumable;
  return out;
}

/// Guards against a stream that broke off inside a later event ending as
/// complete.
TEST(AnswerEnd, StreamEndingInsideALaterEventIsAborted) {
  FlowHarness it(streamRoute(false));
  it.Flow.start(FlowStart);
  it.answer(1, closeDelimited(), "id: 1\n\nid: 2\ndata");
  EXPECT_EQ(it.Log, (Lines{"send s1", "begin 200", "write id: 1\n\n", "break",
                           "ended"}));
  EXPECT_NE(it.Results.at(0), AttemptResult::Answered);
}

} // namespace
} // namespace daisytack::direct
