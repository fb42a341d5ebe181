#include "edge/store_codec.h"

#include "edge/json_fields.h"

#include <boost/json.hpp>

#include <charconv>
#include <utility>

namespace daisytack::edge {

namespace json = boost::json;

namespace {

constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusFull = 507;

net::HttpRequest request(std::string method, std::string path,
                         std::string body = {}) {
  net::HttpRequest out;
  out.Method = std::move(method);
  out.Path = std::move(path);
  out.Body = std::move(body);
  return out;
}

std::string piecePath(const PieceKey &key) { return "/pieces/" + toHex(key); }

std::string piecePath(const PieceKey &key, uint64_t generation) {
  return piecePath(key) + "/" + std::to_string(generation);
}

/// Percent-encodes all but unreserved characters.
std::string escapeQuery(std::string_view text) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string out;
  for (char c : text) {
    auto byte = static_cast<uint8_t>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '.' || c == '_') {
      out.push_back(c);
      continue;
    }
    out.push_back('%');
    out.push_back(Digits[byte >> 4U]);
    out.push_back(Digits[byte & 15U]);
  }
  return out;
}

net::HttpRequest encodeRequest(const serve::LookupPieces &operation) {
  json::array keys;
  for (const PieceKey &key : operation.Keys)
    keys.emplace_back(toHex(key));
  json::object body;
  body["keys"] = std::move(keys);
  return request("POST", "/lookup", json::serialize(body));
}
net::HttpRequest encodeRequest(const serve::ReadPiece &operation) {
  return request("GET", piecePath(operation.Key));
}
net::HttpRequest encodeRequest(const serve::ReadGeneration &operation) {
  return request("GET", piecePath(operation.Key) + "/generation");
}
net::HttpRequest encodeRequest(const serve::BeginPiece &operation) {
  return request("POST", piecePath(operation.Key), "{}");
}
net::HttpRequest encodeRequest(const serve::WritePiece &operation) {
  return request("PUT", piecePath(operation.Key, operation.Generation),
                 *operation.Bytes);
}
net::HttpRequest encodeRequest(const serve::CommitPiece &operation) {
  json::object body;
  body["length"] = operation.Length;
  body["checksum"] = operation.Checksum;
  body["meta"] = operation.Meta;
  return request("POST",
                 piecePath(operation.Key, operation.Generation) + "/commit",
                 json::serialize(body));
}
net::HttpRequest encodeRequest(const serve::FreePiece &operation) {
  return request("DELETE", piecePath(operation.Key, operation.Generation));
}
net::HttpRequest encodeRequest(const serve::SamplePieces &operation) {
  net::HttpRequest out = request("GET", "/sample");
  out.Query = "count=" + std::to_string(operation.Count);
  return out;
}
net::HttpRequest encodeRequest(const serve::ReadUsage &operation) {
  net::HttpRequest out = request("GET", "/usage");
  out.Query = "meta_prefix=" + escapeQuery(operation.MetaPrefix);
  return out;
}
net::HttpRequest encodeRequest(const serve::ReadStatus & /*operation*/) {
  return request("GET", "/status");
}

Error unreadable() {
  return {ErrorKind::ProtocolError, "store: unreadable answer"};
}

std::optional<uint64_t> parseCount(std::string_view text) {
  uint64_t out = 0;
  auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (ec != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return out;
}

/// Parses a digest, which has the format of a piece key: 64 hexadecimal digits.
std::optional<Digest256> parseDigest(std::string_view text) {
  auto key = parsePieceKey(text);
  if (!key)
    return std::nullopt;
  return key->Bytes;
}

serve::StoreResult readPieces(const net::HttpResponse &response,
                              std::string_view key) {
  auto object = parseObject(response.Body);
  const json::value *list = object ? object->if_contains(key) : nullptr;
  if (!list || !list->is_array())
    return unreadable();
  serve::StoreFound out;
  for (const json::value &value : list->get_array()) {
    const json::object *piece = value.if_object();
    auto name = piece ? parsePieceKey(textOf(*piece, "key")) : std::nullopt;
    if (!name)
      return unreadable();
    out.Pieces.push_back(
        {*name, countOf(*piece, "generation"), countOf(*piece, "length"),
         textOf(*piece, "tier") == "disk", textOf(*piece, "meta")});
  }
  return out;
}

serve::StoreResult readGeneration(const net::HttpResponse &response) {
  auto object = parseObject(response.Body);
  if (!object || !object->contains("generation"))
    return unreadable();
  return serve::StoreGeneration{countOf(*object, "generation")};
}

struct ResultReader {
  net::HttpResponse &Response;

  serve::StoreResult
  operator()(const serve::LookupPieces & /*operation*/) const {
    return readPieces(Response, "found");
  }
  serve::StoreResult
  operator()(const serve::SamplePieces & /*operation*/) const {
    return readPieces(Response, "pieces");
  }
  serve::StoreResult
  operator()(const serve::ReadGeneration & /*operation*/) const {
    return readGeneration(Response);
  }
  serve::StoreResult operator()(const serve::BeginPiece & /*operation*/) const {
    return readGeneration(Response);
  }
  serve::StoreResult operator()(const serve::ReadPiece & /*operation*/) const {
    net::HttpRequest lookup;
    lookup.Headers = Response.Headers;
    auto generation = parseCount(lookup.header("X-Generation"));
    auto length = parseCount(lookup.header("X-Length"));
    if (!generation || !length)
      return unreadable();
    serve::StoreBytes out;
    out.Generation = *generation;
    out.Length = *length;
    auto checksum = parseDigest(lookup.header("X-Checksum"));
    if (!checksum)
      return unreadable();
    out.Checksum = *checksum;
    out.Meta = lookup.header("X-Meta");
    out.Bytes = std::move(Response.Body);
    return out;
  }
  serve::StoreResult operator()(const serve::ReadUsage & /*operation*/) const {
    auto object = parseObject(Response.Body);
    if (!object)
      return unreadable();
    return serve::StoreUsage{countOf(*object, "bytes"),
                             countOf(*object, "pieces")};
  }
  serve::StoreResult operator()(const serve::ReadStatus & /*operation*/) const {
    auto object = parseObject(Response.Body);
    if (!object)
      return unreadable();
    return serve::StoreStatus{
        countOf(*object, "memory_used"), countOf(*object, "memory_total"),
        countOf(*object, "disk_used"), countOf(*object, "disk_total"),
        countOf(*object, "link_bytes_per_second")};
  }
  serve::StoreResult operator()(const serve::WritePiece & /*operation*/) const {
    return serve::StoreDone{};
  }
  serve::StoreResult
  operator()(const serve::CommitPiece & /*operation*/) const {
    return serve::StoreDone{};
  }
  serve::StoreResult operator()(const serve::FreePiece & /*operation*/) const {
    return serve::StoreDone{};
  }
};

} // namespace

net::HttpRequest storeRequest(const serve::StoreRequest &request) {
  return std::visit(
      [](const auto &operation) { return encodeRequest(operation); }, request);
}

serve::StoreResult storeResult(const serve::StoreRequest &request,
                               net::HttpResponse response) {
  if (response.Status == StatusNotFound)
    return Error{ErrorKind::NotFound, "store: no such piece"};
  if (response.Status == StatusFull)
    return Error{ErrorKind::RecordFull, "store: full"};
  if (response.Status < 200 || response.Status >= 300)
    return Error{ErrorKind::ServerFailed,
                 "store answered " + std::to_string(response.Status)};
  return std::visit(ResultReader{response}, request);
}

} // namespace daisytack::edge
