/// Sample messages, one of each kind, in the order of wire::Message.
#pragma once

#include "wire/messages.h"

#include <vector>

namespace daisytack::test {

inline wire::LoadReport sampleLoad() {
  return {1500, 20'000, 3, 4, "v7", true};
}

inline wire::Offer sampleOffer() {
  wire::Offer out;
  out.Id = {1, 2};
  out.AttemptNumber = 3;
  out.Organisation = "kengarags-fruit";
  out.Model = "market";
  out.Version = "v7";
  out.Class = "quotes";
  out.RemainingMicros = 900'000;
  out.Pieces.resize(3);
  out.Pieces[2].Bytes[31] = 7;
  out.Body = R"({"prompt": "apples"})";
  out.Generated = "half of";
  out.Call = {"POST", "/quotes?a=b", {{"accept", "*/*"}, {"x", ""}}};
  out.Process = {5, 6};
  return out;
}

inline wire::Finished sampleFinished() {
  wire::Finished out;
  out.Id = {1, 2};
  out.AttemptNumber = 3;
  out.FinishReason = "stop";
  out.ServiceHeaders = {{"content-type", "text/plain"}};
  out.Load = sampleLoad();
  return out;
}

inline std::vector<wire::Message> sampleMessages() {
  using namespace wire;
  return {Hello{"agent-1", {1, 2}},
          sampleOffer(),
          Accepted{{1, 2}, 3, 4, 5, sampleLoad()},
          Refused{{1, 2},
                  3,
                  ErrorKind::Overloaded,
                  Outcome::NotRun,
                  9,
                  "busy",
                  sampleLoad()},
          Chunk{{1, 2}, 3, 4, 5, "text"},
          sampleFinished(),
          Cancel{{1, 2}, 3},
          Resume{{1, 2}, 3, "org", 4},
          TicketRequest{{1, 2}, "org", "portal"},
          TicketReply{{1, 2}, ErrorKind::None, "dt1:x", 600'000'000}};
}

} // namespace daisytack::test
