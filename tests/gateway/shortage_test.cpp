/// Guards against callers that are refused for load all returning at once, and
/// against entries that don't recognise a caller that returns when it was told
/// to.
#include "gateway/gateway_fixture.h"

#include "gateway/stdout_capture.h"

#include <set>

namespace daisytack::gateway {
namespace {

/// Two prompts of this size at an engine exceed its queue limit, one does not:
/// the limit is 0.6 x 2 s, and the initial estimate of the prefill rate is 112
/// tokens per millisecond.
constexpr size_t FillingTokens = 90'000;
/// Two prompts of this size don't fit into the memory of an engine of the
/// service "small".
constexpr size_t HalfOfMemory = 600;
constexpr size_t Engines = 2;
/// Least number of prompts that fill the queues of all engines.
constexpr size_t FillingPrompts = Engines * 2;
constexpr size_t RefusedPrompts = 12;

std::string shortageConfigText() {
  return R"({"version":1,"routes":[
    {"name":"ask","host":"a.example","path-prefix":"/ask/","kind":"unsafe",
     "timeout-ms":60000,"target-latency-ms":2000,"service":"engines",
     "attempts":1,"priority":1},
    {"name":"small","host":"a.example","path-prefix":"/small/",
     "kind":"unsafe","timeout-ms":60000,"target-latency-ms":2000,
     "service":"small","attempts":1,"priority":1}],
    "services":[{"name":"engines","engine":{"slots":64,
      "kv-capacity-tokens":10000000,"kv-token-bytes":1000,
      "models":[{"name":"m"}]}},
     {"name":"small","engine":{"slots":64,
      "kv-capacity-tokens":1000,"kv-token-bytes":1000,
      "models":[{"name":"m"}]}}],
    "tenants":[{"name":"org","api-keys":["k1"]}]})";
}

/// Two entries before engines that answer no prompt until they are released.
class ShortageTest : public GatewayTest {
protected:
  ShortageTest() {
    KvService.put("op/config", shortageConfigText());
    for (size_t i = 0; i < Engines; ++i)
      registerServer("i-" + std::to_string(i), startHoldingEngine(), "engines");
    registerServer("i-small", startHoldingEngine(), "small");
    One = &startEntry("e1");
    Two = &startEntry("e2");
  }
  /// Handlers use what is destroyed with a test.
  ~ShortageTest() override { Threads.stop(); }

  Entry &startEntry(const std::string &name) {
    GatewayOptions options = Entry::optionsFor(name, KvService.address(), {});
    // Load reports must not expire on a busy machine, as queues that an entry
    // does not know of are not full for it.
    options.Loads.PeerTtlPeriods = 100;
    Entries.push_back(std::make_unique<Entry>(Threads.Io, options));
    Entries.back()->start();
    return *Entries.back();
  }
  void waitUntilReady() {
    for (Entry *it : {One, Two}) {
      ASSERT_TRUE(waitReady(*it));
      ASSERT_TRUE(eventually([&] {
        return metric(*it, "daisytack_servers_known") == Engines + 1;
      }));
    }
  }

  test::FakeServer &startHoldingEngine() {
    return startBackend([this](const HttpRequest &what, const ExchangePtr &to) {
      std::lock_guard guard(Lock);
      if (IsReleased)
        return to->respond(signedAnswer(what));
      Held.emplace_back(what, to);
    });
  }
  size_t heldPrompts() {
    std::lock_guard guard(Lock);
    return Held.size();
  }
  /// Lets the engines answer all prompts, those that they hold as well.
  void release() {
    std::lock_guard guard(Lock);
    IsReleased = true;
    for (const auto &[what, to] : Held)
      to->respond(signedAnswer(what));
    Held.clear();
  }

  /// A prompt whose content differs from that of prompts with another
  /// `content`.
  static HttpRequest prompt(const std::string &target, const std::string &id,
                            const std::string &content, size_t tokens) {
    HttpRequest out = request(target, id);
    for (auto &header : out.Headers)
      if (header.Name == "X-Daisytack-Deadline-Milliseconds")
        header.Value = "50000";
    out.Headers.push_back({"X-Daisytack-Model", "m"});
    out.Headers.push_back(
        {"X-Daisytack-Token-Counts", std::to_string(tokens) + ",4"});
    out.Headers.push_back(
        {"X-Daisytack-Prompt-Prefix", content + ":" + std::to_string(tokens)});
    return out;
  }
  HttpRequest shortPrompt(const std::string &id, const std::string &content) {
    return prompt("/ask/x", id, content, 100);
  }

  /// Sends a prompt, and returns whether an engine holds it; if not, the entry
  /// has refused it.
  bool offer(const Entry &entry, const HttpRequest &what) {
    size_t before = heldPrompts();
    auto isAnswered = std::make_shared<std::atomic<bool>>(false);
    Caller.fetch(entry.Options.Callers, what, 60s,
                 [isAnswered](const Error &, const HttpResponse &) {
                   *isAnswered = true;
                 });
    EXPECT_TRUE(
        eventually([&] { return *isAnswered || heldPrompts() > before; }));
    return heldPrompts() > before;
  }
  /// Fills the queues of all engines, until both entries refuse prompts.
  void fillQueues() {
    size_t sent = 0;
    ASSERT_TRUE(eventually([&] {
      size_t held = 0;
      for (Entry *it : {One, Two}) {
        std::string id = "fill-" + std::to_string(++sent);
        held += offer(*it, prompt("/ask/x", id, id, FillingTokens)) ? 1 : 0;
      }
      return held == 0;
    }));
    EXPECT_GE(heldPrompts(), FillingPrompts);
  }

  static bool isRefusal(const Fetched &got) {
    return got.Response.Status == 503 || got.Response.Status == 429;
  }
  /// The header's value in seconds; 0 without one.
  static double retryAfter(const Fetched &got) {
    for (const auto &header : got.Response.Headers)
      if (header.Name == "Retry-After")
        return std::atof(header.Value.c_str());
    return 0;
  }
  /// Value of a metric, whose name includes its labels; -1 if there is none.
  double metric(const Entry &entry, const std::string &name) {
    HttpRequest what;
    what.Method = "GET";
    what.Path = "/metrics";
    std::istringstream lines(fetch(entry.Options.Metrics, what).Response.Body);
    for (std::string line; std::getline(lines, line);)
      if (line.starts_with(name + " "))
        return std::stod(line.substr(name.size() + 1));
    return -1;
  }
  double refusals(const Entry &entry, const std::string &cause) {
    return metric(entry, "daisytack_requests_refused_for_load_total{cause=\"" +
                             cause + "\"}");
  }
  double tickets(const Entry &entry, const std::string &outcome) {
    return metric(entry,
                  "daisytack_return_tickets{outcome=\"" + outcome + "\"}");
  }

  Entry *One = nullptr;
  Entry *Two = nullptr;
  std::mutex Lock;
  bool IsReleased = false;
  std::vector<std::pair<HttpRequest, ExchangePtr>> Held;
};

/// Guards against refused callers that are all told the same time, and against
/// refusals of prompts that engines run nevertheless.
TEST_F(ShortageTest, RefusalsTellDifferentTimes) {
  waitUntilReady();
  fillQueues();
  size_t held = heldPrompts();
  for (Entry *entry : {One, Two}) {
    std::set<double> times;
    for (size_t i = 0; i < RefusedPrompts; ++i) {
      std::string id = entry->Options.Name + "-" + std::to_string(i);
      Fetched got = fetch(entry->Options.Callers, shortPrompt(id, id));
      EXPECT_EQ(got.Response.Status, 503);
      EXPECT_GT(retryAfter(got), 0);
      times.insert(retryAfter(got));
    }
    EXPECT_GE(times.size(), RefusedPrompts / 2);
  }
  EXPECT_EQ(heldPrompts(), held);
}

/// Guards against refusals that are counted under another cause, or not at all.
TEST_F(ShortageTest, MetricsCountRefusalsByCause) {
  waitUntilReady();
  fillQueues();
  double before = refusals(*One, "queue");
  for (size_t i = 0; i < RefusedPrompts; ++i) {
    std::string id = "q" + std::to_string(i);
    EXPECT_TRUE(isRefusal(fetch(One->Options.Callers, shortPrompt(id, id))));
  }
  EXPECT_EQ(refusals(*One, "queue"), before + RefusedPrompts);
  EXPECT_EQ(refusals(*One, "memory"), 0);
  EXPECT_TRUE(offer(*One, prompt("/small/x", "small", "small", HalfOfMemory)));
  for (size_t i = 0; i < RefusedPrompts; ++i) {
    std::string id = "m" + std::to_string(i);
    EXPECT_TRUE(isRefusal(
        fetch(One->Options.Callers, prompt("/small/x", id, id, HalfOfMemory))));
  }
  EXPECT_EQ(refusals(*One, "memory"), RefusedPrompts);
  EXPECT_EQ(refusals(*One, "queue"), before + RefusedPrompts);
  EXPECT_EQ(refusals(*One, "patience"), 0);
  EXPECT_EQ(refusals(*One, "withheld"), 0);
}

/// Guards against an entry that does not know what another one told a caller,
/// and against one that takes any request after a refusal for a return.
TEST_F(ShortageTest, RecognisesACallerThatReturnsToTheOtherEntry) {
  waitUntilReady();
  fillQueues();
  test::StdoutCapture log;
  size_t tries = 0;
  // A busy machine may send a return later than its ticket is valid.
  EXPECT_TRUE(eventually([&] {
    std::string content = "content-" + std::to_string(++tries);
    Fetched got =
        fetch(One->Options.Callers, shortPrompt("first-" + content, content));
    EXPECT_TRUE(isRefusal(got));
    std::this_thread::sleep_for(std::chrono::duration<double>(retryAfter(got)));
    statusOf(*Two, shortPrompt("other-" + content, "no-" + content));
    statusOf(*Two, shortPrompt("return-" + content, content));
    auto hasEnded = [&] {
      return !log.findLine({"request_ended", "\"return-" + content + "\""})
                  .empty();
    };
    return eventually(hasEnded) &&
           !log.findLine({"request_ended", "\"return-" + content + "\"",
                          "\"returned\":true"})
                .empty();
  }));
  EXPECT_GE(tickets(*Two, "used"), 1);
  EXPECT_EQ(log.countLines({"\"other-", "\"returned\""}), 0);
  EXPECT_EQ(log.countLines({"\"first-", "\"returned\""}), 0);
}

/// Guards against callers that return before they were told to being preferred.
TEST_F(ShortageTest, DoesNotTakeAnEarlyRequestForAReturn) {
  waitUntilReady();
  fillQueues();
  test::StdoutCapture log;
  size_t tries = 0;
  // A busy machine may send the second request when the first one's ticket is
  // due.
  EXPECT_TRUE(eventually([&] {
    std::string content = "content-" + std::to_string(++tries);
    double before = tickets(*One, "early");
    EXPECT_EQ(statusOf(*One, shortPrompt("first-" + content, content)), 503);
    EXPECT_EQ(statusOf(*One, shortPrompt("early-" + content, content)), 503);
    return tickets(*One, "early") == before + 1 && eventually([&] {
             return !log.findLine({"request_ended", "early-" + content})
                         .empty();
           }) &&
           log.findLine({"early-" + content, "\"returned\""}).empty();
  }));
}

/// Guards against capacity that stays reserved for callers that never return.
TEST_F(ShortageTest, TicketsOfCallersThatDoNotReturnExpire) {
  waitUntilReady();
  fillQueues();
  for (size_t i = 0; i < RefusedPrompts; ++i) {
    std::string id = "r" + std::to_string(i);
    EXPECT_EQ(statusOf(*One, shortPrompt(id, id)), 503);
  }
  EXPECT_GE(tickets(*One, "issued"), RefusedPrompts);
  EXPECT_TRUE(eventually(
      [&] { return tickets(*One, "expired") == tickets(*One, "issued"); }));
  EXPECT_EQ(tickets(*One, "used"), 0);
  EXPECT_EQ(tickets(*Two, "used"), 0);
}

/// Guards against entries that refuse prompts after the engines have room
/// again.
TEST_F(ShortageTest, ServesAllAgainAfterTheShortage) {
  waitUntilReady();
  fillQueues();
  release();
  for (Entry *entry : {One, Two}) {
    size_t tries = 0;
    EXPECT_TRUE(eventually([&] {
      std::string id = entry->Options.Name + "-" + std::to_string(++tries);
      return statusOf(*entry, shortPrompt(id, id)) == 200;
    }));
  }
  EXPECT_TRUE(eventually([&] {
    return metric(*One, "daisytack_services_in_shortage") == 0 &&
           metric(*Two, "daisytack_services_in_shortage") == 0;
  }));
}

} // namespace
} // namespace daisytack::gateway
