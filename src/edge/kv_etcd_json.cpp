#include "edge/kv_etcd_json.h"

#include <boost/json.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <charconv>

namespace daisytack::edge::etcd {

namespace json = boost::json;

namespace {

constexpr uint32_t NestingLimit = 16;
constexpr int64_t MicrosPerSecond = 1'000'000;

std::string toBase64(std::string_view bytes) {
  std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
  int n = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                          reinterpret_cast<const unsigned char *>(bytes.data()),
                          static_cast<int>(bytes.size()));
  out.resize(static_cast<size_t>(n));
  return out;
}

std::optional<std::string> fromBase64(std::string_view text) {
  if (text.empty())
    return std::string();
  if (text.size() % 4 != 0)
    return std::nullopt;
  std::string out(text.size() / 4 * 3, '\0');
  int n = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                          reinterpret_cast<const unsigned char *>(text.data()),
                          static_cast<int>(text.size()));
  if (n < 0)
    return std::nullopt;
  size_t padding = text.ends_with("==") ? 2 : (text.ends_with("=") ? 1 : 0);
  out.resize(static_cast<size_t>(n) - padding);
  return out;
}

/// Reads a 64-bit number, which the gateway encodes as a JSON string; a JSON
/// number is accepted too. The gateway omits a field that has its default
/// value; out is unchanged then.
bool readNumber(const json::object &from, std::string_view name,
                uint64_t &out) {
  const json::value *value = from.if_contains(name);
  if (!value)
    return true;
  if (const json::string *text = value->if_string()) {
    const char *end = text->data() + text->size();
    auto [last, ec] = std::from_chars(text->data(), end, out);
    return ec == std::errc() && last == end;
  }
  json::error_code ec;
  out = value->to_number<uint64_t>(ec);
  return !ec;
}

bool readBytes(const json::object &from, std::string_view name,
               std::string &out) {
  const json::value *value = from.if_contains(name);
  if (!value)
    return true;
  const json::string *text = value->if_string();
  if (!text)
    return false;
  std::optional<std::string> bytes = fromBase64(*text);
  if (bytes)
    out = std::move(*bytes);
  return bytes.has_value();
}

bool readFlag(const json::object &from, std::string_view name, bool &out) {
  const json::value *value = from.if_contains(name);
  if (!value)
    return true;
  if (value->is_bool())
    out = value->get_bool();
  return value->is_bool();
}

bool readHeader(const json::object &from, KvHeader &out) {
  const json::value *value = from.if_contains("header");
  const json::object *header = value ? value->if_object() : nullptr;
  if (!header)
    return false;
  out.Status = KvStatus::Ok;
  return readNumber(*header, "cluster_id", out.ClusterId) &&
         readNumber(*header, "revision", out.Revision);
}

bool readEntry(const json::value &from, KvEntry &out) {
  const json::object *kv = from.if_object();
  return kv && readBytes(*kv, "key", out.Key) &&
         readBytes(*kv, "value", out.Value) &&
         readNumber(*kv, "create_revision", out.CreateRevision) &&
         readNumber(*kv, "mod_revision", out.ModRevision) &&
         readNumber(*kv, "version", out.Version) &&
         readNumber(*kv, "lease", out.Lease);
}

/// Applies read to each element of the named array; a missing array is empty.
template <class Read>
bool readList(const json::object &from, std::string_view name, Read read) {
  const json::value *value = from.if_contains(name);
  if (!value)
    return true;
  const json::array *list = value->if_array();
  return list && std::all_of(list->begin(), list->end(), read);
}

bool readEntries(const json::object &from, std::vector<KvEntry> &out) {
  return readList(from, "kvs", [&](const json::value &kv) {
    return readEntry(kv, out.emplace_back());
  });
}

std::optional<json::object> parseObject(std::string_view text) {
  json::error_code ec;
  json::parse_options options;
  options.max_depth = NestingLimit;
  json::value value = json::parse(text, ec, {}, options);
  if (ec || !value.is_object())
    return std::nullopt;
  return std::move(value.get_object());
}

/// Parses a response with a function that fills the result from its JSON
/// object.
template <class Result, class Read>
std::optional<Result> parseAnswer(std::string_view text, std::string_view call,
                                  Error &reason, Read read) {
  std::optional<json::object> object = parseObject(text);
  Result out;
  if (object && read(*object, out))
    return out;
  reason = {ErrorKind::ProtocolError,
            "key-value service: not an answer to " + std::string(call)};
  return std::nullopt;
}

/// Responses of streaming calls are wrapped into {"result": ...}.
const json::object *unwrap(const json::object &from) {
  const json::value *value = from.if_contains("result");
  return value ? value->if_object() : nullptr;
}

json::object compareJson(const KvCompare &compare) {
  std::string_view target;
  std::string_view field;
  switch (compare.Field) {
  case KvCompare::Target::CreateRevision:
    target = "CREATE";
    field = "create_revision";
    break;
  case KvCompare::Target::ModRevision:
    target = "MOD";
    field = "mod_revision";
    break;
  case KvCompare::Target::Version:
    target = "VERSION";
    field = "version";
    break;
  case KvCompare::Target::Lease:
    target = "LEASE";
    field = "lease";
    break;
  }
  return {{"target", target},
          {"result", "EQUAL"},
          {"key", toBase64(compare.Key)},
          {field, std::to_string(compare.Number)}};
}

json::object writeJson(const KvWrite &write) {
  if (write.Delete)
    return {
        {"request_delete_range", json::object{{"key", toBase64(write.Key)}}}};
  json::object put{{"key", toBase64(write.Key)},
                   {"value", toBase64(write.Value)}};
  if (write.Lease != 0)
    put["lease"] = std::to_string(write.Lease);
  return {{"request_put", put}};
}

bool readFailureReads(const json::value &response, KvTransactionResult &out) {
  const json::object *object = response.if_object();
  const json::value *range =
      object ? object->if_contains("response_range") : nullptr;
  return range && range->is_object() &&
         readEntries(range->get_object(), out.Current);
}

bool readChange(const json::value &from, KvChange &out) {
  const json::object *event = from.if_object();
  const json::value *kv = event ? event->if_contains("kv") : nullptr;
  if (!kv || !readEntry(*kv, out.Entry))
    return false;
  const json::value *type = event->if_contains("type");
  out.Deleted = type && *type == "DELETE";
  return true;
}

bool readLease(const json::object &from, KvLeaseResult &out) {
  uint64_t seconds = 0;
  if (!readHeader(from, out.Header) || !readNumber(from, "ID", out.Lease) ||
      !readNumber(from, "TTL", seconds))
    return false;
  constexpr uint64_t MaxSeconds = 1ULL << 32;
  out.TimeLeft = Duration(static_cast<int64_t>(std::min(seconds, MaxSeconds)) *
                          MicrosPerSecond);
  if (seconds == 0)
    out.Lease = 0;
  return true;
}

} // namespace

std::string rangeRequest(const KvRange &range) {
  json::object out{{"key", toBase64(range.Begin)}};
  if (!range.End.empty())
    out["range_end"] = toBase64(range.End);
  if (range.MinModRevision != 0)
    out["min_mod_revision"] = std::to_string(range.MinModRevision);
  if (range.Limit != 0)
    out["limit"] = std::to_string(range.Limit);
  return json::serialize(out);
}

std::string transactionRequest(const KvTransaction &transaction) {
  json::array compares;
  for (const KvCompare &it : transaction.If)
    compares.push_back(compareJson(it));
  json::array writes;
  for (const KvWrite &it : transaction.Then)
    writes.push_back(writeJson(it));
  json::array reads;
  for (const std::string &it : transaction.ReadOnFailure)
    reads.push_back(
        json::object{{"request_range", json::object{{"key", toBase64(it)}}}});
  return json::serialize(json::object{
      {"compare", compares}, {"success", writes}, {"failure", reads}});
}

std::string leaseGrantRequest(Duration timeToLive) {
  int64_t seconds =
      (timeToLive.count() + MicrosPerSecond - 1) / MicrosPerSecond;
  return json::serialize(json::object{{"TTL", std::to_string(seconds)}});
}

std::string leaseRequest(uint64_t lease) {
  return json::serialize(json::object{{"ID", std::to_string(lease)}});
}

std::string watchRequest(const std::string &begin, const std::string &end,
                         uint64_t fromRevision) {
  json::object create{{"key", toBase64(begin)},
                      {"start_revision", std::to_string(fromRevision)},
                      {"progress_notify", true}};
  if (!end.empty())
    create["range_end"] = toBase64(end);
  return json::serialize(json::object{{"create_request", create}});
}

std::optional<KvRangeResult> parseRange(std::string_view text, Error &reason) {
  return parseAnswer<KvRangeResult>(
      text, "range", reason, [](const json::object &in, KvRangeResult &out) {
        return readHeader(in, out.Header) && readEntries(in, out.Entries) &&
               readFlag(in, "more", out.More);
      });
}

std::optional<KvTransactionResult> parseTransaction(std::string_view text,
                                                    Error &reason) {
  auto read = [](const json::object &in, KvTransactionResult &out) {
    bool succeeded = false;
    if (!readHeader(in, out.Header) || !readFlag(in, "succeeded", succeeded))
      return false;
    if (succeeded)
      return true;
    out.Header.Status = KvStatus::CompareFailed;
    return readList(in, "responses", [&](const json::value &response) {
      return readFailureReads(response, out);
    });
  };
  return parseAnswer<KvTransactionResult>(text, "transaction", reason, read);
}

std::optional<KvLeaseResult> parseLeaseGrant(std::string_view text,
                                             Error &reason) {
  return parseAnswer<KvLeaseResult>(text, "lease grant", reason, readLease);
}

std::optional<KvLeaseResult> parseLeaseKeepalive(std::string_view text,
                                                 Error &reason) {
  return parseAnswer<KvLeaseResult>(
      text, "lease keepalive", reason,
      [](const json::object &in, KvLeaseResult &out) {
        const json::object *result = unwrap(in);
        return result && readLease(*result, out);
      });
}

std::optional<KvLeaseResult> parseLeaseRevoke(std::string_view text,
                                              Error &reason) {
  return parseAnswer<KvLeaseResult>(
      text, "lease revoke", reason,
      [](const json::object &in, KvLeaseResult &out) {
        return readHeader(in, out.Header);
      });
}

std::optional<WatchMessage> parseWatch(std::string_view text, Error &reason) {
  auto read = [](const json::object &in, WatchMessage &out) {
    const json::object *result = unwrap(in);
    if (!result || !readHeader(*result, out.Header))
      return false;
    auto readEvent = [&](const json::value &event) {
      return readChange(event, out.Changes.emplace_back());
    };
    if (!readFlag(*result, "created", out.Created) ||
        !readFlag(*result, "canceled", out.Canceled) ||
        !readNumber(*result, "compact_revision", out.CompactRevision) ||
        !readList(*result, "events", readEvent))
      return false;
    // While a watch catches up, the header's revision is ahead of the events.
    if (!out.Changes.empty())
      out.Header.Revision = out.Changes.back().Entry.ModRevision;
    return true;
  };
  return parseAnswer<WatchMessage>(text, "watch", reason, read);
}

std::string errorMessage(std::string_view text) {
  constexpr size_t MaxBytes = 200;
  std::optional<json::object> object = parseObject(text);
  const json::value *message =
      object ? object->if_contains("message") : nullptr;
  if (message && message->is_string())
    text = message->get_string();
  return std::string(text.substr(0, MaxBytes));
}

} // namespace daisytack::edge::etcd
