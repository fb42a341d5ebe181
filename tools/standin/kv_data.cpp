#include "kv_data.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json/array.hpp>

#include <algorithm>
#include <utility>

namespace daisytack::standin {

namespace {

constexpr std::string_view AllKeysEnd{"\0", 1};

std::string encodeBase64(std::string_view bytes) {
  namespace codec = boost::beast::detail::base64;
  std::string out(codec::encoded_size(bytes.size()), '\0');
  out.resize(codec::encode(out.data(), bytes.data(), bytes.size()));
  return out;
}

std::string decodeBase64(std::string_view text) {
  namespace codec = boost::beast::detail::base64;
  std::string out(codec::decoded_size(text.size()), '\0');
  out.resize(codec::decode(out.data(), text.data(), text.size()).first);
  return out;
}

/// The nested object under either of the names that etcd's gateway accepts;
/// nullptr when absent.
const json::object *findMessage(const json::object &object, const char *camel,
                                const char *snake) {
  for (const char *name : {camel, snake})
    if (const json::value *value = object.if_contains(name))
      if (value->is_object())
        return &value->get_object();
  return nullptr;
}

template <class Visit>
void forEach(const json::object &object, const char *key, const Visit &visit) {
  const json::value *value = object.if_contains(key);
  if (!value || !value->is_array())
    return;
  for (const json::value &item : value->get_array())
    if (item.is_object())
      visit(item.get_object());
}

} // namespace

bool KeyRange::contains(std::string_view key) const {
  if (End.empty())
    return key == First;
  return key >= First && (End == AllKeysEnd || key < End);
}

KeyRange rangeOf(const json::object &request) {
  return {decodeBase64(stringField(request, "key")),
          decodeBase64(stringField(request, "range_end"))};
}

json::object KeyValueData::header() const {
  return {{"revision", std::to_string(Revision)}};
}

json::object KeyValueData::entryJson(const std::string &key,
                                     const Entry &entry) {
  json::object out{{"key", encodeBase64(key)},
                   {"create_revision", std::to_string(entry.CreateRevision)},
                   {"mod_revision", std::to_string(entry.ModRevision)},
                   {"version", std::to_string(entry.Version)},
                   {"value", encodeBase64(entry.Value)}};
  if (entry.Lease != 0)
    out["lease"] = std::to_string(entry.Lease);
  return out;
}

json::object KeyValueData::range(const json::object &request) const {
  KeyRange range = rangeOf(request);
  int64_t limit = numberField(request, "limit");
  int64_t found = 0;
  json::array kvs;
  for (auto it = Keys.lower_bound(range.First); it != Keys.end(); ++it) {
    if (!range.contains(it->first))
      break;
    ++found;
    if (limit == 0 || found <= limit)
      kvs.push_back(entryJson(it->first, it->second));
  }
  json::object out{{"header", header()}};
  if (found > 0)
    out["count"] = std::to_string(found);
  if (limit > 0 && found > limit)
    out["more"] = true;
  if (!kvs.empty())
    out["kvs"] = std::move(kvs);
  return out;
}

json::array KeyValueData::eventsSince(int64_t revision,
                                      const KeyRange &range) const {
  json::array out;
  auto first = std::lower_bound(
      History.begin(), History.end(), revision,
      [](const Change &c, int64_t wanted) { return c.Revision < wanted; });
  for (auto it = first; it != History.end(); ++it) {
    const Change &change = *it;
    if (!range.contains(change.Key))
      continue;
    if (change.After)
      out.push_back(json::object{{"kv", entryJson(change.Key, *change.After)}});
    else
      out.push_back(
          json::object{{"type", "DELETE"},
                       {"kv",
                        {{"key", encodeBase64(change.Key)},
                         {"mod_revision", std::to_string(change.Revision)}}}});
  }
  return out;
}

void KeyValueData::putAt(int64_t revision, const std::string &key,
                         const std::string &value, int64_t lease) {
  Entry &entry = Keys[key];
  entry.Value = value;
  entry.CreateRevision = entry.Version == 0 ? revision : entry.CreateRevision;
  entry.ModRevision = revision;
  entry.Lease = lease;
  ++entry.Version;
  History.push_back({revision, key, entry});
}

void KeyValueData::put(const std::string &key, const std::string &value,
                       int64_t lease) {
  putAt(++Revision, key, value, lease);
}

json::object KeyValueData::put(const json::object &request) {
  int64_t lease = numberField(request, "lease");
  if (lease != 0 && !Leases.contains(lease))
    return {{"error", "etcdserver: requested lease not found"}, {"code", 5}};
  put(decodeBase64(stringField(request, "key")),
      decodeBase64(stringField(request, "value")), lease);
  return {{"header", header()}};
}

int64_t KeyValueData::eraseAt(int64_t revision, const KeyRange &range) {
  int64_t deleted = 0;
  for (auto it = Keys.lower_bound(range.First);
       it != Keys.end() && range.contains(it->first);) {
    History.push_back({revision, it->first, std::nullopt});
    it = Keys.erase(it);
    ++deleted;
  }
  Revision = deleted > 0 ? revision : Revision;
  return deleted;
}

json::object KeyValueData::erase(const json::object &request) {
  int64_t deleted = eraseAt(Revision + 1, rangeOf(request));
  json::object out{{"header", header()}};
  if (deleted > 0)
    out["deleted"] = std::to_string(deleted);
  return out;
}

bool KeyValueData::compareSucceeds(const json::object &compare) const {
  auto it = Keys.find(decodeBase64(stringField(compare, "key")));
  Entry entry = it == Keys.end() ? Entry{} : it->second;
  std::string target = stringField(compare, "target");
  int ordering = 0;
  auto compareTo = [&](int64_t value, const char *field) {
    int64_t wanted = numberField(compare, field);
    ordering = value < wanted ? -1 : value > wanted ? 1 : 0;
  };
  if (target == "CREATE")
    compareTo(entry.CreateRevision, "create_revision");
  else if (target == "MOD")
    compareTo(entry.ModRevision, "mod_revision");
  else if (target == "LEASE")
    compareTo(entry.Lease, "lease");
  else if (target == "VALUE")
    ordering =
        it == Keys.end()
            ? 2
            : entry.Value.compare(decodeBase64(stringField(compare, "value")));
  else
    compareTo(entry.Version, "version");
  std::string result = stringField(compare, "result");
  if (target == "VALUE" && it == Keys.end())
    return false; // In etcd, a value comparison fails for a missing key.
  if (result == "GREATER")
    return ordering > 0;
  if (result == "LESS")
    return ordering < 0;
  return result == "NOT_EQUAL" ? ordering != 0 : ordering == 0;
}

json::object KeyValueData::apply(const json::object &operation,
                                 int64_t revision) {
  if (const auto *request =
          findMessage(operation, "requestPut", "request_put")) {
    putAt(revision, decodeBase64(stringField(*request, "key")),
          decodeBase64(stringField(*request, "value")),
          numberField(*request, "lease"));
    Revision = revision;
    return {{"response_put", json::object{{"header", header()}}}};
  }
  if (const auto *request = findMessage(operation, "requestDeleteRange",
                                        "request_delete_range")) {
    int64_t deleted = eraseAt(revision, rangeOf(*request));
    return {{"response_delete_range",
             json::object{{"header", header()},
                          {"deleted", std::to_string(deleted)}}}};
  }
  if (const auto *request =
          findMessage(operation, "requestRange", "request_range"))
    return {{"response_range", range(*request)}};
  return {};
}

json::object KeyValueData::transact(const json::object &request) {
  bool succeeded = true;
  forEach(request, "compare", [&](const json::object &compare) {
    succeeded = succeeded && compareSucceeds(compare);
  });
  const char *branch = succeeded ? "success" : "failure";
  bool leaseMissing = false;
  forEach(request, branch, [&](const json::object &operation) {
    const auto *put = findMessage(operation, "requestPut", "request_put");
    int64_t lease = put ? numberField(*put, "lease") : 0;
    leaseMissing |= lease != 0 && !Leases.contains(lease);
  });
  if (leaseMissing)
    return {{"error", "etcdserver: requested lease not found"}, {"code", 5}};
  int64_t revision = Revision + 1;
  json::array responses;
  forEach(request, branch, [&](const json::object &operation) {
    responses.push_back(apply(operation, revision));
  });
  json::object out{{"header", header()}};
  if (succeeded)
    out["succeeded"] = true;
  if (!responses.empty())
    out["responses"] = std::move(responses);
  return out;
}

json::object KeyValueData::grant(const json::object &request, TimePoint now) {
  int64_t id = numberField(request, "ID");
  if (id == 0)
    id = NextLease++;
  if (Leases.contains(id))
    return {{"error", "etcdserver: lease already exists"}, {"code", 9}};
  int64_t seconds = std::max<int64_t>(1, numberField(request, "TTL"));
  Leases[id] = {seconds, now + std::chrono::seconds(seconds)};
  return {{"header", header()},
          {"ID", std::to_string(id)},
          {"TTL", std::to_string(seconds)}};
}

json::object KeyValueData::keepAlive(const json::object &request,
                                     TimePoint now) {
  int64_t id = numberField(request, "ID");
  json::object result{{"header", header()}, {"ID", std::to_string(id)}};
  auto it = Leases.find(id);
  if (it != Leases.end()) {
    it->second.ExpiresAt = now + std::chrono::seconds(it->second.Seconds);
    result["TTL"] = std::to_string(it->second.Seconds);
  }
  return {{"result", result}};
}

json::object KeyValueData::revoke(const json::object &request) {
  int64_t id = numberField(request, "ID");
  if (!Leases.contains(id))
    return {{"error", "etcdserver: requested lease not found"}, {"code", 5}};
  dropLease(id);
  return {{"header", header()}};
}

void KeyValueData::dropLease(int64_t id) {
  Leases.erase(id);
  std::vector<std::string> attachedKeys;
  for (const auto &[key, entry] : Keys)
    if (entry.Lease == id)
      attachedKeys.push_back(key);
  int64_t revision = Revision + 1;
  for (const std::string &key : attachedKeys)
    eraseAt(revision, {key, ""});
}

void KeyValueData::expireLeases(TimePoint now) {
  std::vector<int64_t> expired;
  for (const auto &[id, lease] : Leases)
    if (lease.ExpiresAt <= now)
      expired.push_back(id);
  for (int64_t id : expired)
    dropLease(id);
}

void KeyValueData::compact() {
  Compacted = Revision;
  History.clear();
}

} // namespace daisytack::standin
