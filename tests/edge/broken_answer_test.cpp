/// Tests of what the adapters to engines, services and stores believe of an
/// answer that is broken.
#include "edge/edge_rig.h"
#include "edge/kv_etcd.h"
#include "edge/service.h"
#include "edge/store.h"
#include "net_http/scripted_server.h"

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <future>

namespace daisytack::edge::test {
namespace {

using net::ScriptedServer;
using net::tcp;

/// Sends the answer to a call that it reads whole.
ScriptedServer::Step answerWith(const std::string &answer) {
  return [answer](tcp::socket &s) {
    net::readCall(s);
    net::ErrorCode ignored;
    net::asio::write(s, net::asio::buffer(answer), ignored);
  };
}

std::string answerOfStatus(const std::string &status) {
  return "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\n{}";
}

/// Sends a success without a length to a call whose body it doesn't read, and
/// resets the connection.
void answerAndReset(tcp::socket &s) {
  net::readRequest(s);
  net::ErrorCode ignored;
  net::asio::write(s, net::asio::buffer(std::string("HTTP/1.1 200 X\r\n\r\n")),
                   ignored);
  s.set_option(net::asio::socket_base::linger(true, 0), ignored);
  s.close(ignored);
}

std::shared_ptr<const std::string> longPiece() {
  return std::make_shared<const std::string>(8U << 20, 'x');
}

/// Runs one request against an engine, or a plain service.
serve::RunFailed run(const ScriptedServer &server, bool isService) {
  EdgeRig rig([](const auto &, const auto &) {});
  serve::StartRun start = startOf(isService ? "{}" : R"({"prompt":"p"})");
  std::vector<serve::AgentInput> inputs;
  if (isService) {
    auto offer = std::make_shared<wire::Offer>(*start.Offer);
    offer->Call = {"POST", "/call", {}};
    start.Offer = offer;
    Service service =
        makeHttpService(rig.Client, server.endpoint(), rig.sink());
    service.Start(start);
    inputs = rig.wait(1);
  } else {
    Engine engine =
        makeHttpEngine(rig.Client, {server.endpoint(), {}}, rig.sink());
    engine.Start(start);
    inputs = rig.wait(1);
  }
  const auto *out = std::get_if<serve::RunFailed>(&inputs.at(0));
  EXPECT_NE(out, nullptr);
  return out ? *out : serve::RunFailed{};
}

/// Guards against a request that is sent to a second server, or said not to
/// have run, because of an answer that says nothing.
TEST(BrokenAnswer, RunWithAnUndefinedStatusMayHaveRun) {
  for (const std::string status : {"000", "001", "099", "600", "999"})
    for (bool isService : {false, true}) {
      ScriptedServer server({answerWith(answerOfStatus(status))});
      EXPECT_EQ(run(server, isService).RunOutcome, Outcome::MayHaveRun)
          << status << (isService ? " of a service" : " of an engine");
    }
}

/// Guards against a write that is believed not to have been done because of an
/// answer that doesn't say so.
TEST(BrokenAnswer, EtcdWriteIsUnknownUnlessItWasRefused) {
  unsigned status = 0;
  EdgeRig rig([&](const net::HttpRequest &, const auto &exchange) {
    exchange->respond({status, {}, "{}"});
  });
  KvStore store = makeEtcdStore(rig.Client, {rig.address()});
  for (status = 200; status < 600; ++status) {
    std::promise<KvStatus> result;
    store.Commit({}, Duration(5'000'000), [&](const KvTransactionResult &it) {
      result.set_value(it.Header.Status);
    });
    bool isRefused = status >= 400 && status < 500;
    EXPECT_EQ(result.get_future().get(),
              isRefused ? KvStatus::Unavailable : KvStatus::Unknown)
        << status;
  }
}

/// Guards against context that counts as saved or imported because the answer
/// ended with its connection, which was reset under the upload.
TEST(BrokenAnswer, UploadThatWasResetIsNotDone) {
  ScriptedServer server({answerAndReset, answerAndReset});
  EdgeRig rig([](const auto &, const auto &) {});
  Stores stores = makeHttpStores(rig.Client, {server.endpoint()}, rig.sink());
  stores.Call(
      {1, {0}, serve::WritePiece{{}, 1, longPiece()}, Duration(5'000'000)});
  auto inputs = rig.wait(1);
  EXPECT_TRUE(std::holds_alternative<Error>(
      std::get<serve::StoreAnswer>(inputs.at(0)).Result));
  Engine engine =
      makeHttpEngine(rig.Client, {server.endpoint(), {}}, rig.sink());
  engine.Import({2, {}, longPiece()});
  inputs = rig.wait(2);
  EXPECT_TRUE(std::get<serve::PieceImport>(inputs.at(1)).Why);
}

} // namespace
} // namespace daisytack::edge::test
