/// Tests of the connections that carry runs to engines and plain services.
#include "edge/edge_rig.h"
#include "edge/service.h"
#include "net_http/scripted_server.h"

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <atomic>

namespace daisytack::edge::test {
namespace {

using net::ConnectionServer;
using net::tcp;
using serve::AgentInput;
using serve::RunDone;
using serve::RunFailed;
using serve::StartRun;

void write(tcp::socket &socket, const std::string &text) {
  boost::asio::write(socket, boost::asio::buffer(text));
}

std::string responseOf(const std::string &status, const std::string &body) {
  return "HTTP/1.1 " + status +
         " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

StartRun callOf(const std::string &method) {
  StartRun out = startOf("");
  auto offer = std::make_shared<wire::Offer>(*out.Offer);
  offer->Call = {method, "/pages", {}};
  out.Offer = offer;
  return out;
}

/// Returns the first result of a run among the inputs from `begin` on.
template <class Result>
const Result *findResult(const std::vector<AgentInput> &inputs, size_t begin) {
  for (size_t i = begin; i < inputs.size(); ++i)
    if (const auto *out = std::get_if<Result>(&inputs[i]))
      return out;
  return nullptr;
}

/// Guards against calls that run twice: an engine sends its refusal of an
/// earlier run once more while it works on the next one, whose record would be
/// withdrawn as not run.
TEST(RunConnection, RefusalOfAnEarlierRunIsNotTakenForTheNextRuns) {
  EdgeRig rig([](const auto &, const auto &) {});
  std::atomic<int> calls = 0;
  ConnectionServer server([&](tcp::socket &s) {
    const std::string refusal = responseOf("503", "full");
    std::string strays;
    while (!net::readCall(s).empty()) {
      if (++calls == 1)
        write(s, strays = refusal);
      else
        write(s, strays + responseOf("200", "data: [DONE]\n\n"));
    }
  });
  Engine engine =
      makeHttpEngine(rig.Client, {server.endpoint(), {}}, rig.sink());
  engine.Start(startOf("{}"));
  ASSERT_NE(findResult<RunFailed>(rig.wait(1), 0), nullptr);
  engine.Start(startOf("{}"));
  auto inputs = rig.wait(2);
  EXPECT_EQ(calls, 2);
  EXPECT_NE(findResult<RunDone>(inputs, 1), nullptr);
}

/// Guards against answers of another call: a plain service sends its answer to
/// an earlier call once more where the next one is due.
TEST(RunConnection, AnswerToAnEarlierCallIsNotTakenForTheNextCalls) {
  EdgeRig rig([](const auto &, const auto &) {});
  std::atomic<int> calls = 0;
  ConnectionServer server([&](tcp::socket &s) {
    std::string strays;
    while (!net::readCall(s).empty()) {
      if (++calls == 1)
        write(s, strays = responseOf("201", ""));
      else
        write(s, strays + responseOf("202", ""));
    }
  });
  Service service = makeHttpService(rig.Client, server.endpoint(), rig.sink());
  service.Start(callOf("POST"));
  ASSERT_EQ(std::get<RunDone>(rig.wait(1).at(0)).ServiceStatus, 201U);
  service.Start(callOf("POST"));
  EXPECT_EQ(std::get<RunDone>(rig.wait(2).at(1)).ServiceStatus, 202U);
}

/// Guards against calls that run twice: a service ends the connection while it
/// runs a GET, which the class of the call, not its method, marks as one that
/// must not be repeated.
TEST(RunConnection, GetWithoutAnAnswerIsNotSentOnceMore) {
  EdgeRig rig([](const auto &, const auto &) {});
  std::atomic<int> calls = 0;
  ConnectionServer server([&](tcp::socket &s) {
    while (!net::readCall(s).empty()) {
      if (++calls == 2) {
        s.close();
        return;
      }
      write(s, responseOf("200", ""));
    }
  });
  Service service = makeHttpService(rig.Client, server.endpoint(), rig.sink());
  service.Start(callOf("GET"));
  ASSERT_NE(findResult<RunDone>(rig.wait(1), 0), nullptr);
  service.Start(callOf("GET"));
  const auto inputs = rig.wait(2);
  EXPECT_EQ(calls, 2);
  const auto *failed = findResult<RunFailed>(inputs, 1);
  ASSERT_NE(failed, nullptr);
  EXPECT_EQ(failed->RunOutcome, Outcome::MayHaveRun);
}

/// Guards against context that is kept under the key of another: an engine
/// sends an earlier piece once more where the next one is due.
TEST(RunConnection, PieceOfAnEarlierExportIsNotTakenForTheNextOne) {
  EdgeRig rig([](const auto &, const auto &) {});
  std::atomic<int> calls = 0;
  ConnectionServer server([&](tcp::socket &s) {
    std::string strays;
    while (!net::readCall(s).empty()) {
      if (++calls == 1)
        write(s, strays = responseOf("200", "first"));
      else
        write(s, strays + responseOf("200", "second"));
    }
  });
  Engine engine =
      makeHttpEngine(rig.Client, {server.endpoint(), {}}, rig.sink());
  engine.Export({1, {}});
  ASSERT_EQ(*std::get<serve::PieceExport>(rig.wait(1).at(0)).Bytes, "first");
  engine.Export({2, {}});
  EXPECT_EQ(*std::get<serve::PieceExport>(rig.wait(2).at(1)).Bytes, "second");
}

} // namespace
} // namespace daisytack::edge::test
