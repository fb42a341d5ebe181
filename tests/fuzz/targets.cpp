#include "targets.h"

#include "base/settings.h"
#include "control/instance_codec.h"
#include "control/object_codec.h"
#include "control/peer_messages.h"
#include "direct/event_splitter.h"
#include "direct/peer_messages.h"
#include "edge/engine_codec.h"
#include "edge/kv_etcd_json.h"
#include "net/message_reader.h"
#include "net/sse.h"
#include "once/ticket.h"
#include "platform/engine_calls.h"
#include "platform/record_format.h"
#include "platform/request_head.h"
#include "query/command_parser.h"
#include "query/query_parser.h"
#include "serve/caller_prompt.h"
#include "wire/codec.h"
#include "wire/samples.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <cstring>

namespace daisytack::fuzz {

namespace {

/// Aborts if the condition is false, so that the fuzzer stores the input that
/// violated it.
void require(bool condition) {
  if (!condition)
    std::abort();
}

template <class Variant> void runMessage(std::string_view bytes) {
  Error reason;
  auto message = wire::decode<Variant>(bytes, reason);
  require(message.has_value() == (reason.Kind == ErrorKind::None));
  if (message)
    require(wire::encode(*message) == bytes);
}

std::vector<std::string> wireSeeds() {
  std::vector<std::string> out;
  for (const wire::Message &it : test::sampleMessages())
    out.push_back(wire::encode(it));
  return out;
}

std::vector<std::string> peerSeeds() {
  using namespace control;
  PeerHeader header;
  header.ConfigWatermark = 7;
  StateUpdate update;
  update.Header = header;
  update.Config = ReplicaDelta{3, 7, {{"key", "value", 5, false}}};
  update.Signals.push_back({{"a0", {1, {2, 3}, MemberState::Leaving, 0}}, 9});
  return {wire::encode(PeerMessage(Digest{header})),
          wire::encode(PeerMessage(update)),
          wire::encode(PeerMessage(Page{update, true})),
          wire::encode(PeerMessage(RevisionProbe{4}))};
}

std::vector<std::string> entrySeeds() {
  using namespace direct;
  return {
      wire::encode(PeerMessage(RecordsRequest{7})),
      wire::encode(PeerMessage(
          RecordsResponse{{{"key", "value", 5, false}, {"k", "", 6, true}},
                          {{"large", 4}},
                          7,
                          true,
                          9})),
      wire::encode(PeerMessage(direct::RecordPartRequest{"large", 4, 3, 2})),
      wire::encode(
          PeerMessage(direct::RecordPart{"large", 4, 3, 2, 1, 7, "b"})),
      wire::encode(PeerMessage(ServersLoading{{{"a", 5}, {"b", 6}}})),
      wire::encode(PeerMessage(ServerLoaded{{"a", 5}, {"model", 2}})),
      wire::encode(PeerMessage(EntryLoads{"e", 100, {{1, 2, 3, 4}}, {{5, 6}}})),
      wire::encode(PeerMessage(RolloutAges{{{{"model", 2}, 5000}}})),
      wire::encode(PeerMessage(CrashReports{
          {{{1, 2}, UINT32_MAX, {{7, UINT32_MAX}}, INT64_MIN}}, {}, {}, {}})),
      wire::encode(PeerMessage(admission::OrganisationUse{
          "e", INT64_MAX, 1, true, -1, 0, {{1, 1e38F}}})),
      wire::encode(PeerMessage(balancing::QuotaLoan{1, 2, UINT32_MAX, 3})),
      wire::encode(PeerMessage(Acknowledgement{}))};
}

/// Decodes the input as the value of each kind of key in the platform's store.
void runRecords(std::string_view text) {
  for (const char *key :
       {"op/config", "op/version/m", "servers/i", "daisytack/entries/e",
        "daisytack/registered/10.0.0.1:80", "daisytack/holder",
        "daisytack/retired-context", "daisytack/rollout-times",
        "daisytack/store-epochs",
        "daisytack/quarantined/00000000000000010000000000000002"}) {
    Error reason;
    auto record =
        platform::decodeRecord({key, std::string(text), 1, false}, reason);
    require(record.has_value() == (reason.Kind == ErrorKind::None));
  }
}

void runContext(std::string_view text) {
  platform::readChanges(text, 1);
  platform::readList(text);
  platform::readReport(text);
}

/// Parses the input as a caller's headers, one per line. The API key is never
/// forwarded, whatever the other headers are.
void runCaller(std::string_view text) {
  net::HttpRequest request;
  request.Target = "/";
  while (!text.empty()) {
    size_t end = text.find('\n');
    std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    size_t colon = line.find(':');
    if (colon == std::string_view::npos)
      continue;
    request.Headers.push_back({std::string(line.substr(0, colon)),
                               std::string(line.substr(colon + 1))});
  }
  Error reason;
  auto head = platform::readCallerHead(request, reason);
  if (!head)
    return;
  for (const net::HttpHeader &it :
       platform::writeAttempt(*head, {}, nullptr).Headers)
    require(it.Name != "X-Api-Key");
}

/// No byte is lost when the stream arrives in chunks, and two line ends end any
/// event.
void runEventSplitter(std::string_view text) {
  direct::EventSplitter splitter;
  std::string out;
  for (size_t i = 0; i < text.size(); i += 3)
    out += splitter.feed(text.substr(i, 3));
  out += splitter.feed("\n\n");
  require(out == std::string(text) + "\n\n");
  require(!splitter.isInsideEvent());
}

void runPrompt(std::string_view body) {
  Error reason;
  for (bool chat : {false, true})
    entry::parsePrompt(body, chat, reason);
}

void runKeyValue(std::string_view text) {
  Error reason;
  edge::etcd::parseRange(text, reason);
  edge::etcd::parseTransaction(text, reason);
  edge::etcd::parseLeaseGrant(text, reason);
  edge::etcd::parseLeaseKeepalive(text, reason);
  edge::etcd::parseLeaseRevoke(text, reason);
  edge::etcd::parseWatch(text, reason);
  edge::etcd::errorMessage(text);
}

void runSettings(std::string_view text) {
  Settings settings("fuzzed.ini", text);
  settings.text("instance.name", "");
  settings.integer("entry.threads", 1, 1, 64);
  settings.duration("control.interval", Duration(1), Duration(1),
                    Duration(1'000'000));
  settings.bytes("entry.body", 1, 1, 1U << 20);
  settings.endpoints("control.seeds");
  settings.number("limits.share", 0.5, 0, 1);
  for (const SettingError &it : settings.finish())
    toString(it);
}

void runStatements(std::string_view text) {
  query::ParseError error;
  query::parseQuery(text, error);
  query::parseCommand(text, error);
}

/// The parsed events do not depend on how the stream is split into chunks.
void runSse(std::string_view text) {
  auto parse = [&](size_t step) {
    net::SseParser parser(4096);
    std::vector<net::SseEvent> out;
    for (size_t i = 0; i < text.size(); i += step)
      parser.feed(text.substr(i, step),
                  [&](net::SseEvent it) { out.push_back(std::move(it)); });
    return out;
  };
  require(parse(1) == parse(7));
}

void runConfiguration(std::string_view text) {
  Error reason;
  for (size_t kind = 0; kind < control::ObjectKinds; ++kind) {
    control::ObjectKey key{static_cast<control::ObjectKind>(kind), "name"};
    auto stored = control::decodeStored(key, text, reason);
    if (stored)
      control::encodeStored(*stored);
  }
  control::parseObjectKey(text, reason);
}

void runInstances(std::string_view text) {
  Error reason;
  control::decodeInstanceDelta(text, reason);
  control::decodeInstance(text, reason);
}

void runEngine(std::string_view text) {
  edge::parseEngineStreamEvent(text);
  edge::parseEngineStatus(text);
  edge::parseCacheEvents(text, 0);
  edge::parseFence(text);
}

/// A ticket cannot be forged without knowing the secret.
void runTicket(std::string_view text) {
  Error reason;
  parseTicket(text, reason);
  require(!verifyTicket(text, "a secret that the input can't know"));
}

constexpr size_t MaxHeadBytes = 2048;
constexpr size_t MaxBodyBytes = 1U << 20;

struct ParsedMessage {
  bool IsComplete = false;
  bool IsRefused = false;
  std::string Body = {};
};

/// Parses the message from pieces of the size, 0 for pieces that grow. What is
/// held unparsed stays within the limit of the state.
template <class Parser, class TakeBody>
ParsedMessage readMessage(std::string_view bytes, size_t step,
                          const TakeBody &takeBody) {
  net::InputBuffer input(MaxHeadBytes);
  net::MessageReader<Parser> reader(MaxHeadBytes);
  reader.parser().body_limit(MaxBodyBytes);
  ParsedMessage out;
  net::ErrorCode ec = net::http::error::need_more;
  for (size_t n = step; !bytes.empty(); n += step == 0 ? 1 : 0) {
    auto room = input.prepare(std::min(std::max<size_t>(n, 1), bytes.size()));
    // Input that is neither parsed nor refused leaves room for more.
    require(room.size() > 0);
    std::memcpy(room.data(), bytes.data(), room.size());
    input.commit(room.size());
    bytes.remove_prefix(room.size());
    if (!reader.parser().is_header_done())
      ec = reader.parseHead(input);
    require(input.size() <= input.limit() + MaxHeadBytes);
    if (reader.parser().is_header_done() &&
        (!ec || ec == net::http::error::need_more))
      ec = takeBody(reader, input, out.Body);
    require(input.capacity() <= std::max(MaxHeadBytes, net::LongReadBytes));
    if (ec != net::http::error::need_more)
      break;
    require(!reader.parser().is_header_done() ||
            input.size() <=
                net::MaxChunkExtraBytes + net::MaxPlainChunkLineBytes);
  }
  out.IsComplete = !ec;
  out.IsRefused = ec && ec != net::http::error::need_more;
  return out;
}

/// Reads the input as a request and as a response. The result does not depend
/// on how the input is split.
void runHttp(std::string_view text) {
  using namespace net;
  using RequestParser = http::request_parser<http::string_body>;
  using ResponseParser = http::response_parser<http::buffer_body>;
  auto request = [&](size_t step) {
    return readMessage<RequestParser>(
        text, step, [](auto &reader, InputBuffer &input, std::string &body) {
          ErrorCode ec = reader.parseBody(input);
          body = reader.parser().get().body();
          return ec;
        });
  };
  auto response = [&](size_t step) {
    return readMessage<ResponseParser>(
        text, step, [](auto &reader, InputBuffer &input, std::string &out) {
          std::array<char, 7> room{};
          ErrorCode ec = http::error::need_buffer;
          while (ec == http::error::need_buffer) {
            auto &body = reader.parser().get().body();
            body.data = room.data();
            body.size = room.size();
            body.more = true;
            ec = reader.parseBody(input);
            out.append(room.data(), room.size() - body.size);
          }
          return ec;
        });
  };
  auto compare = [](const ParsedMessage &a, const ParsedMessage &b) {
    require(a.IsComplete == b.IsComplete);
    require(!a.IsComplete || a.Body == b.Body);
  };
  ParsedMessage whole = request(1000);
  ParsedMessage answer = response(1000);
  for (size_t step : {0U, 1U, 3U}) {
    compare(whole, request(step));
    compare(answer, response(step));
  }
}

std::vector<std::string> noSeeds() { return {}; }

} // namespace

const std::vector<Target> &targets() {
  static const std::vector<Target> All{
      {"wire", runMessage<wire::Message>, wireSeeds},
      {"peer", runMessage<control::PeerMessage>, peerSeeds},
      {"entry", runMessage<direct::PeerMessage>, entrySeeds},
      {"records", runRecords, noSeeds},
      {"context", runContext, noSeeds},
      {"caller", runCaller, noSeeds},
      {"events", runEventSplitter, noSeeds},
      {"prompt", runPrompt, noSeeds},
      {"key_value", runKeyValue, noSeeds},
      {"settings", runSettings, noSeeds},
      {"language", runStatements, noSeeds},
      {"sse", runSse, noSeeds},
      {"configuration", runConfiguration, noSeeds},
      {"instances", runInstances, noSeeds},
      {"engine", runEngine, noSeeds},
      {"ticket", runTicket, noSeeds},
      {"http", runHttp, noSeeds},
  };
  return All;
}

const Target *findTarget(std::string_view name) {
  for (const Target &it : targets())
    if (it.Name == name)
      return &it;
  return nullptr;
}

} // namespace daisytack::fuzz
