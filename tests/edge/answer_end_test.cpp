/// Tests of answers of engines and services that end early, or in a way that
/// doesn't show whether they are whole.
#include "edge/edge_rig.h"
#include "edge/service.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace daisytack::edge::test {
namespace {

using boost::asio::ip::tcp;

/// Runs one request against a plain service that sends the body as a stream of
/// events.
std::vector<serve::AgentInput> runStream(const std::string &body) {
  EdgeRig rig([&](const net::HttpRequest &, const auto &exchange) {
    exchange->beginStream(200, {{"Content-Type", "text/event-stream"}});
    exchange->write(body);
    exchange->endStream();
  });
  Service service = makeHttpService(rig.Client, rig.address(), rig.sink());
  serve::StartRun start = startOf("{}");
  auto offer = std::make_shared<wire::Offer>(*start.Offer);
  offer->Call = {"POST", "/stream", {}};
  start.Offer = offer;
  service.Start(start);
  return rig.wait(2);
}

/// Guards against a service's stream that broke off inside an event counting as
/// a complete run.
TEST(AnswerEnd, ServiceStreamEndingInsideAnEventFails) {
  auto whole = runStream("id: 1\n\n");
  ASSERT_TRUE(std::holds_alternative<serve::RunDone>(whole.at(1)));
  EXPECT_EQ(std::get<serve::RunDone>(whole.at(1)).ServiceStatus, 200U);
  auto cut = runStream("id: 1\n\nid: 2\n");
  ASSERT_TRUE(std::holds_alternative<serve::RunFailed>(cut.at(1)));
  const auto &failed = std::get<serve::RunFailed>(cut.at(1));
  EXPECT_EQ(failed.RunOutcome, Outcome::MayHaveRun);
}

/// Guards against a piece of context that an engine broke off being kept as a
/// whole one: without a length, nothing tells the two apart.
TEST(AnswerEnd, PieceWithoutALengthIsRefused) {
  EdgeRig rig([](const auto &, const auto &) {});
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  std::thread server([&] {
    tcp::socket socket(io);
    acceptor.accept(socket);
    std::string request;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request),
                            "\r\n\r\n");
    std::string answer = "HTTP/1.1 200 OK\r\n\r\nhalf a piece";
    boost::asio::write(socket, boost::asio::buffer(answer));
  });
  Endpoint address{"127.0.0.1", acceptor.local_endpoint().port()};
  Engine engine = makeHttpEngine(rig.Client, {address, {}}, rig.sink());
  engine.Export({});
  auto inputs = rig.wait(1);
  server.join();
  const auto &piece = std::get<serve::PieceExport>(inputs.at(0));
  EXPECT_EQ(piece.Bytes, nullptr);
  EXPECT_EQ(piece.Why.Kind, ErrorKind::ProtocolError);
}

} // namespace
} // namespace daisytack::edge::test
