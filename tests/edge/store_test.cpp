#include "edge/edge_rig.h"
#include "edge/store.h"
#include "edge/store_codec.h"

#include <gtest/gtest.h>

namespace daisytack::edge::test {
namespace {

using namespace serve;

const std::string KeyText(64, 'b');

PieceKey key() { return *parsePieceKey(KeyText); }

TEST(StoreCodec, RequestsFollowTheProtocol) {
  struct Case {
    StoreRequest Request;
    std::string Want;
  };
  auto bytes = std::make_shared<const std::string>("xyz");
  const Case cases[] = {
      {LookupPieces{{key()}}, "POST /lookup? {\"keys\":[\"" + KeyText + "\"]}"},
      {ReadPiece{key()}, "GET /pieces/" + KeyText + "? "},
      {ReadGeneration{key()}, "GET /pieces/" + KeyText + "/generation? "},
      {WritePiece{key(), 3, bytes}, "PUT /pieces/" + KeyText + "/3? xyz"},
      {FreePiece{key(), 3}, "DELETE /pieces/" + KeyText + "/3? "},
      {SamplePieces{8}, "GET /sample?count=8 "},
      {ReadUsage{"o:a b"}, "GET /usage?meta_prefix=o%3Aa%20b "},
      {ReadStatus{}, "GET /status? "},
  };
  for (const Case &it : cases) {
    net::HttpRequest request = storeRequest(it.Request);
    EXPECT_EQ(request.Method + " " + request.Path + "?" + request.Query + " " +
                  request.Body,
              it.Want);
  }
}

TEST(StoreCodec, UnreadableAnswersAreErrors) {
  struct Case {
    StoreRequest Request;
    net::HttpResponse Response;
    ErrorKind Want;
  };
  const Case cases[] = {
      {LookupPieces{}, {200, {}, "no"}, ErrorKind::ProtocolError},
      {LookupPieces{},
       {200, {}, R"({"found":[{"key":"short"}]})"},
       ErrorKind::ProtocolError},
      {ReadPiece{key()}, {200, {}, "bytes"}, ErrorKind::ProtocolError},
      {ReadPiece{key()},
       {200, {{"X-Generation", "1"}, {"X-Length", "-5"}}, "bytes"},
       ErrorKind::ProtocolError},
      {ReadPiece{key()}, {404, {}, ""}, ErrorKind::NotFound},
      {WritePiece{key(), 1, nullptr}, {507, {}, ""}, ErrorKind::RecordFull},
      {ReadStatus{}, {500, {}, ""}, ErrorKind::ServerFailed},
  };
  for (const Case &it : cases) {
    StoreResult result = storeResult(it.Request, it.Response);
    ASSERT_TRUE(std::holds_alternative<Error>(result));
    EXPECT_EQ(std::get<Error>(result).Kind, it.Want);
  }
}

TEST(Stores, EveryCallIsAnsweredOnce) {
  EdgeRig rig([](const net::HttpRequest &, const auto &exchange) {
    net::HttpResponse out;
    out.Headers = {{"X-Generation", "9"},
                   {"X-Length", "5"},
                   {"X-Checksum", KeyText},
                   {"X-Meta", "m"}};
    out.Body = "bytes";
    exchange->respond(out);
  });
  Stores stores = makeHttpStores(rig.Client, {rig.address()}, rig.sink());
  stores.Call({1, {0}, ReadPiece{key()}, Duration(5'000'000)});
  auto inputs = rig.wait(1);
  const auto &read =
      std::get<StoreBytes>(std::get<StoreAnswer>(inputs.at(0)).Result);
  EXPECT_EQ(read.Generation, 9U);
  EXPECT_EQ(read.Bytes, "bytes");
  EXPECT_EQ(read.Meta, "m");
  stores.Call({2, {7}, ReadPiece{key()}, Duration(5'000'000)});
  inputs = rig.wait(2);
  EXPECT_TRUE(std::holds_alternative<Error>(
      std::get<StoreAnswer>(inputs.at(1)).Result));
}

TEST(Stores, CancelledCallIsAnswered) {
  EdgeRig rig([&](const auto &, const auto &exchange) {
    rig.keep(exchange);
    exchange->beginStream(200, {});
  });
  Stores stores = makeHttpStores(rig.Client, {rig.address()}, rig.sink());
  stores.Call({1, {0}, ReadPiece{key()}, Duration(5'000'000)});
  stores.Stop({1});
  auto inputs = rig.wait(1);
  EXPECT_TRUE(std::holds_alternative<Error>(
      std::get<StoreAnswer>(inputs.at(0)).Result));
}

} // namespace
} // namespace daisytack::edge::test
