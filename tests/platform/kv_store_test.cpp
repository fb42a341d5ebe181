/// Tests the adapter of the key-value service against a scripted server.
#include "platform/kv_store.h"

#include "direct/revision.h"

#include "net_http/http_fixture.h"
#include "platform/json_text.h"

#include <gtest/gtest.h>

#include <mutex>

namespace daisytack::platform {
namespace {

using namespace std::chrono_literals;
using edge::KvStatus;
using net::HttpRequest;
using net::HttpResponse;

constexpr Duration CallTimeout{2'000'000};

/// Answers requests with a function and records the requests. An answer with
/// status 0 closes the connection instead.
class ScriptedService {
public:
  using Answer = std::function<HttpResponse(const HttpRequest &)>;

  explicit ScriptedService(Answer answer)
      : Fixture([this, answer = std::move(answer)](
                    const HttpRequest &request,
                    const std::shared_ptr<net::HttpExchange> &exchange) {
          {
            std::lock_guard guard(Lock);
            Requests.push_back(request);
          }
          HttpResponse response = answer(request);
          if (response.Status == 0)
            return exchange->abort();
          exchange->respond(std::move(response));
        }),
        Store(makeKvStore(Fixture.Client, Fixture.endpoint())) {}

  std::vector<HttpRequest> requests() {
    std::lock_guard guard(Lock);
    return Requests;
  }

private:
  std::mutex Lock;
  std::vector<HttpRequest> Requests;
  net::HttpFixture Fixture;

public:
  edge::KvStore Store;
};

template <class Result, class Call> Result await(Call call) {
  auto promise = std::make_shared<std::promise<Result>>();
  auto future = promise->get_future();
  call([promise](Result result) { promise->set_value(std::move(result)); });
  EXPECT_EQ(future.wait_for(net::WaitLimit), std::future_status::ready);
  return future.get();
}

HttpResponse ok(std::string body) { return {200, {}, std::move(body)}; }
HttpResponse lostConnection() { return {0, {}, {}}; }

std::string item(const std::string &key, int revision) {
  return R"({"key":")" + key + R"(","value":")" + encodeBase64("v" + key) +
         R"(","revision":)" + std::to_string(revision) +
         R"(,"created":1,"lease":0})";
}

edge::KvTransactionResult commit(ScriptedService &service) {
  edge::KvTransaction create;
  create.If.push_back({"k", edge::KvCompare::Target::ModRevision, 0});
  create.Then.push_back({"k", "value", 9, false});
  return await<edge::KvTransactionResult>([&](auto done) {
    service.Store.Commit(create, CallTimeout, std::move(done));
  });
}

TEST(KvStore, ReadsARangePageByPage) {
  ScriptedService service([](const HttpRequest &request) {
    if (request.Query.find("after=") == std::string::npos)
      return ok(R"({"items":[)" + item("a", 3) +
                R"(],"truncated":true,"store-revision":10})");
    return ok(R"({"items":[)" + item("b c", 4) +
              R"(],"truncated":false,"store-revision":12})");
  });
  auto result = await<edge::KvRangeResult>([&](auto done) {
    service.Store.Range({"", edge::prefixEnd(""), 0, 0}, CallTimeout,
                        std::move(done));
  });
  ASSERT_EQ(result.Header.Status, KvStatus::Ok);
  // The first page may lack changes made after it was read.
  EXPECT_EQ(result.Header.Revision, 10);
  ASSERT_EQ(result.Entries.size(), 2);
  EXPECT_EQ(result.Entries[1].Key, "b c");
  EXPECT_EQ(result.Entries[1].Value, "vb c");
  EXPECT_EQ(service.requests()[1].Query, "path-prefix=&after=a");
}

/// Guards against two failures caused by items that can't be decoded: a server
/// whose record was overwritten with invalid base64 stayed in use, because the
/// item was skipped; and a page of such items ended the range, so that the
/// servers of later pages looked deleted. The next page was requested after the
/// last decoded item. This test and the next one cover both.
TEST(KvStore, ReadsTheRangeDespiteInvalidValues) {
  ScriptedService service([](const HttpRequest &request) {
    if (request.Query.find("after=") == std::string::npos)
      return ok(R"({"items":[{"key":"a","value":"%%%","revision":3},)"
                R"({"key":"b","value":7,"revision":4,"lease":"x"},5,)"
                R"({"revision":9}],"truncated":true,"store-revision":10})");
    if (request.Query.ends_with("after=b"))
      return ok("{\"items\":[{\"key\":\"b\xff\",\"value\":\"dg==\","
                "\"revision\":5}],\"truncated\":true,"
                "\"store-revision\":12}");
    return ok(R"({"items":[],"truncated":false,"store-revision":12})");
  });
  auto result = await<edge::KvRangeResult>([&](auto done) {
    service.Store.Range({"", edge::prefixEnd(""), 0, 0}, CallTimeout,
                        std::move(done));
  });
  ASSERT_EQ(result.Header.Status, KvStatus::Ok);
  ASSERT_EQ(result.Entries.size(), 3);
  EXPECT_EQ(result.Entries[0].Key, "a");
  EXPECT_EQ(result.Entries[0].ModRevision, 3);
  EXPECT_EQ(result.Entries[0].Value, "");
  EXPECT_EQ(result.Entries[1].ModRevision, 4);
  EXPECT_EQ(result.Entries[2].Key, "b\xff");
  EXPECT_EQ(result.Entries[2].Value, "v");
  EXPECT_EQ(service.requests()[1].Query, "path-prefix=&after=b");
  EXPECT_EQ(service.requests()[2].Query, "path-prefix=&after=b%FF");
}

TEST(KvStore, FailsARangeWhosePagesMakeNoProgress) {
  ScriptedService service([](const HttpRequest &) {
    return ok(R"({"items":[7],"truncated":true,"store-revision":10})");
  });
  auto result = await<edge::KvRangeResult>([&](auto done) {
    service.Store.Range({"", edge::prefixEnd(""), 0, 0}, CallTimeout,
                        std::move(done));
  });
  EXPECT_EQ(result.Header.Status, KvStatus::Unavailable);
}

TEST(KvStore, ReportsAnUnavailableServiceForReads) {
  for (const HttpResponse &response :
       {HttpResponse{503, {}, {}}, HttpResponse{429, {}, {}}, ok("junk"),
        lostConnection()}) {
    ScriptedService service([&](const HttpRequest &) { return response; });
    auto result = await<edge::KvRangeResult>([&](auto done) {
      service.Store.Range({"p/", edge::prefixEnd("p/"), 0, 0}, CallTimeout,
                          std::move(done));
    });
    EXPECT_EQ(result.Header.Status, KvStatus::Unavailable);
  }
}

TEST(KvStore, WritesUnderACondition) {
  ScriptedService service(
      [](const HttpRequest &) { return ok(R"({"revision":412})"); });
  auto result = commit(service);
  EXPECT_EQ(result.Header.Status, KvStatus::Ok);
  EXPECT_EQ(result.Header.Revision, 412);
  EXPECT_EQ(service.requests()[0].Body,
            R"({"expected":[{"key":"k","revision":0}],"writes":[{"key":"k",)"
            R"("value":"dmFsdWU=","lease":9}],"remove":[]})");
}

/// Unavailable: the write was not applied. Unknown: it may have been.
TEST(KvStore, DistinguishesFailedFromUnknownWrites) {
  struct Case {
    HttpResponse Response;
    KvStatus Status;
  };
  for (const Case &it :
       {Case{{412, {}, R"({"items":[]})"}, KvStatus::CompareFailed},
        Case{{404, {}, {}}, KvStatus::Unavailable},
        Case{{429, {}, {}}, KvStatus::Unavailable},
        Case{{503, {}, {}}, KvStatus::Unavailable},
        Case{{500, {}, {}}, KvStatus::Unknown},
        Case{{201, {}, R"({"revision":412})"}, KvStatus::Unknown},
        Case{{202, {}, {}}, KvStatus::Unknown},
        Case{{204, {}, {}}, KvStatus::Unknown},
        Case{{302, {}, {}}, KvStatus::Unknown},
        Case{{599, {}, {}}, KvStatus::Unknown},
        Case{{504, {}, {}}, KvStatus::Unknown},
        Case{ok("junk"), KvStatus::Unknown}, Case{ok("{}"), KvStatus::Unknown},
        Case{ok(R"({"revision":0})"), KvStatus::Unknown},
        Case{lostConnection(), KvStatus::Unknown}}) {
    ScriptedService service([&](const HttpRequest &) { return it.Response; });
    EXPECT_EQ(commit(service).Header.Status, it.Status)
        << it.Response.Status << " " << it.Response.Body;
  }
}

TEST(KvStore, ReportsAWriteWithoutAConnectionAsUnavailable) {
  net::IoThreads threads;
  net::HttpClient client(threads.Io, {});
  // A port on which nothing listens.
  edge::KvStore store = makeKvStore(client, {"127.0.0.1", 1});
  auto result = await<edge::KvTransactionResult>(
      [&](auto done) { store.Commit({}, CallTimeout, std::move(done)); });
  EXPECT_EQ(result.Header.Status, KvStatus::Unavailable);
}

TEST(KvStore, GrantsAndRenewsLeases) {
  ScriptedService service([](const HttpRequest &request) {
    if (request.Path == "/kv-lease")
      return ok(R"({"lease":77,"ttl-ms":3000})");
    if (request.Path == "/kv-keep/77")
      return ok(R"({"ttl-ms":2500})");
    return HttpResponse{404, {}, {}};
  });
  auto granted = await<edge::KvLeaseResult>([&](auto done) {
    service.Store.GrantLease(3s, CallTimeout, std::move(done));
  });
  EXPECT_EQ(granted.Lease, 77);
  auto kept = await<edge::KvLeaseResult>([&](auto done) {
    service.Store.KeepLease(77, CallTimeout, std::move(done));
  });
  EXPECT_EQ(kept.Lease, 77);
  EXPECT_EQ(kept.TimeLeft, 2500ms);
  auto lapsed = await<edge::KvLeaseResult>([&](auto done) {
    service.Store.KeepLease(78, CallTimeout, std::move(done));
  });
  EXPECT_EQ(lapsed.Header.Status, KvStatus::Ok);
  EXPECT_EQ(lapsed.Lease, 0);
}

/// What a watch reported before it ended.
struct WatchOutcome {
  std::vector<edge::KvChange> Changes;
  uint64_t Revision = 0;
  uint64_t CompactRevision = 0;
  KvStatus Status = KvStatus::Ok;
};

/// Watches all keys from revision 11 until the watch ends.
WatchOutcome watch(ScriptedService &service) {
  auto outcome = std::make_shared<WatchOutcome>();
  auto ended = std::make_shared<std::promise<void>>();
  auto future = ended->get_future();
  edge::KvWatchHooks hooks;
  hooks.Changed = [outcome](const edge::KvHeader &header,
                            std::vector<edge::KvChange> changes) {
    outcome->Revision = header.Revision;
    for (auto &it : changes)
      outcome->Changes.push_back(std::move(it));
  };
  hooks.Ended = [outcome, ended](const edge::KvHeader &header,
                                 uint64_t compact) {
    outcome->Status = header.Status;
    outcome->CompactRevision = compact;
    ended->set_value();
  };
  service.Store.Watch("", edge::prefixEnd(""), 11, std::move(hooks));
  EXPECT_EQ(future.wait_for(net::WaitLimit), std::future_status::ready);
  return *outcome;
}

TEST(KvStore, WatchesFromRevisionToRevision) {
  std::atomic<int> calls{0};
  ScriptedService service([&](const HttpRequest &) {
    if (calls++ == 0)
      return ok(R"({"events":[)" + item("a", 12) +
                R"(,{"key":"b","revision":13,"tombstone":true}],)"
                R"("store-revision":13})");
    if (calls == 2)
      return ok(R"({"events":[],"store-revision":20})");
    return HttpResponse{503, {}, {}};
  });
  WatchOutcome outcome = watch(service);
  ASSERT_EQ(outcome.Changes.size(), 2);
  EXPECT_FALSE(outcome.Changes[0].Deleted);
  EXPECT_TRUE(outcome.Changes[1].Deleted);
  EXPECT_EQ(outcome.Revision, 20);
  EXPECT_EQ(outcome.Status, KvStatus::Unavailable);
  EXPECT_EQ(outcome.CompactRevision, 0);
  auto requests = service.requests();
  EXPECT_NE(requests[0].Query.find("after=10&"), std::string::npos);
  EXPECT_NE(requests[1].Query.find("after=13&"), std::string::npos);
  EXPECT_NE(requests[2].Query.find("after=20&"), std::string::npos);
}

TEST(KvStore, ReportsAChangeWithAnInvalidValue) {
  std::atomic<int> calls{0};
  ScriptedService service([&](const HttpRequest &) {
    if (calls++ > 0)
      return HttpResponse{503, {}, {}};
    return ok(R"({"events":[{"key":"a","value":"%%%","revision":12},8,)" +
              item("b", 13) + R"(],"store-revision":13})");
  });
  WatchOutcome outcome = watch(service);
  ASSERT_EQ(outcome.Changes.size(), 2);
  EXPECT_EQ(outcome.Changes[0].Entry.Key, "a");
  EXPECT_EQ(outcome.Changes[0].Entry.ModRevision, 12);
  EXPECT_EQ(outcome.Changes[0].Entry.Value, "");
  EXPECT_FALSE(outcome.Changes[0].Deleted);
  EXPECT_EQ(outcome.Changes[1].Entry.Value, "vb");
  EXPECT_EQ(outcome.Revision, 13);
}

HttpResponse okIn(int era, std::string body) {
  return {200, {{"store-era", std::to_string(era)}}, std::move(body)};
}

TEST(KvStore, OrdersRevisionsByEra) {
  std::atomic<int> era{1};
  ScriptedService service([&](const HttpRequest &) {
    return okIn(era, R"({"items":[)" + item("a", 60 - era) +
                         R"(],"truncated":false,"store-revision":67})");
  });
  auto read = [&] {
    return await<edge::KvRangeResult>([&](auto done) {
      service.Store.Range({"", edge::prefixEnd("")}, CallTimeout,
                          std::move(done));
    });
  };
  edge::KvRangeResult before = read();
  EXPECT_EQ(before.Header.Era, 1);
  EXPECT_EQ(before.Header.Revision, direct::monotonicRevision(1, 67));
  era = 2;
  edge::KvRangeResult after = read();
  EXPECT_EQ(service.Store.LatestEra(), 2);
  EXPECT_GT(after.Entries[0].ModRevision, before.Entries[0].ModRevision);
  // An answer of an earlier era that arrives after one of a later era.
  era = 1;
  EXPECT_EQ(read().Header.Status, KvStatus::Unavailable);
}

TEST(KvStore, FailsARangeWhosePagesHaveDifferentEras) {
  std::atomic<int> calls{0};
  ScriptedService service([&](const HttpRequest &) {
    int call = ++calls;
    return okIn(call, R"({"items":[)" + item("k" + std::to_string(call), 5) +
                          R"(],"truncated":)" + (call == 1 ? "true" : "false") +
                          R"(,"store-revision":9})");
  });
  auto result = await<edge::KvRangeResult>([&](auto done) {
    service.Store.Range({"", edge::prefixEnd("")}, CallTimeout,
                        std::move(done));
  });
  EXPECT_EQ(result.Header.Status, KvStatus::Unavailable);
}

/// The restored service has already grown beyond the revision that the watch
/// starts from, so the service itself does not detect the lost history.
TEST(KvStore, EndsAWatchWhoseEraHasPassed) {
  ScriptedService service([&](const HttpRequest &) {
    return okIn(3,
                R"({"events":[)" + item("a", 90) + R"(],"store-revision":90})");
  });
  WatchOutcome outcome = watch(service);
  EXPECT_TRUE(outcome.Changes.empty());
  EXPECT_GT(outcome.CompactRevision, 0);
}

/// A restored service assigns the same revisions again, so a condition on a
/// revision of an earlier era may hold by coincidence.
TEST(KvStore, FailsConditionsOfAnEarlierEra) {
  std::atomic<int> era{1};
  ScriptedService service(
      [&](const HttpRequest &) { return okIn(era, R"({"revision":70})"); });
  auto commitAtRevision = [&](uint64_t revision) {
    edge::KvTransaction change;
    change.If.push_back({"k", edge::KvCompare::Target::ModRevision, revision});
    return await<edge::KvTransactionResult>([&](auto done) {
      service.Store.Commit(change, CallTimeout, std::move(done));
    });
  };
  uint64_t known = direct::monotonicRevision(1, 62);
  EXPECT_EQ(commitAtRevision(known).Header.Revision,
            direct::monotonicRevision(1, 70));
  EXPECT_NE(service.requests()[0].Body.find(R"("revision":62)"),
            std::string::npos);
  // The answer reveals the restore; the transaction may have been applied.
  era = 2;
  EXPECT_EQ(commitAtRevision(known).Header.Status, KvStatus::Unknown);
  // Once the restore is known, such transactions are not sent.
  EXPECT_EQ(commitAtRevision(known).Header.Status, KvStatus::CompareFailed);
  EXPECT_EQ(service.requests().size(), 2);
  EXPECT_EQ(commitAtRevision(0).Header.Status, KvStatus::Ok);
}

TEST(KvStore, ReportsLostHistory) {
  ScriptedService service([](const HttpRequest &) {
    return HttpResponse{410, {}, {}};
  });
  EXPECT_GT(watch(service).CompactRevision, 0);
}

TEST(KvStore, EndsAWatchWhoseConnectionIsLost) {
  ScriptedService service([](const HttpRequest &) { return lostConnection(); });
  WatchOutcome outcome = watch(service);
  EXPECT_EQ(outcome.Status, KvStatus::Unavailable);
  EXPECT_EQ(outcome.CompactRevision, 0);
}

edge::KvRangeResult readAll(ScriptedService &service) {
  return await<edge::KvRangeResult>([&](auto done) {
    service.Store.Range({"", edge::prefixEnd("")}, CallTimeout,
                        std::move(done));
  });
}

/// Guards against a service that is never read again after one answer with an
/// era that can't be, such as one that was damaged on the way.
TEST(KvStore, IgnoresAnEraThatCanNotBe) {
  for (const char *odd : {"18446744073709551615", "99999999999999999999",
                          "70000", "-1", "1e3", "2x", ""}) {
    std::atomic<int> calls{0};
    ScriptedService service([&](const HttpRequest &) {
      std::string era = calls++ == 1 ? odd : "2";
      return HttpResponse{
          200, {{"Store-Era", era}}, R"({"items":[],"store-revision":7})"};
    });
    EXPECT_EQ(readAll(service).Header.Status, KvStatus::Ok);
    EXPECT_EQ(readAll(service).Header.Status, KvStatus::Unavailable) << odd;
    EXPECT_EQ(readAll(service).Header.Status, KvStatus::Ok) << odd;
    EXPECT_EQ(service.Store.LatestEra(), 2) << odd;
  }
}

/// Guards against a revision whose high bits are taken for a later era, by
/// which the record hides all later ones of its key.
TEST(KvStore, SkipsRevisionsThatCanNotBe) {
  ScriptedService service([](const HttpRequest &request) {
    bool isLarge = request.Query.find("path-prefix=large") != std::string::npos;
    return okIn(1, R"({"items":[{"key":"a","revision":1099511627776},)"
                   R"({"key":"b","revision":18446744073709551615},)" +
                       item("c", 5) + R"(],"store-revision":)" +
                       (isLarge ? "1099511627776" : "7") + "}");
  });
  edge::KvRangeResult result = readAll(service);
  ASSERT_EQ(result.Entries.size(), 1);
  EXPECT_EQ(result.Entries[0].Key, "c");
  auto large = await<edge::KvRangeResult>([&](auto done) {
    service.Store.Range({"large", edge::prefixEnd("large")}, CallTimeout,
                        std::move(done));
  });
  EXPECT_EQ(large.Header.Status, KvStatus::Unavailable);
}

/// Guards against a watch that calls without a pause: a change that can't be
/// read, and so never ends, is answered at once each time.
TEST(KvStore, PausesBetweenAnswersThatComeAtOnce) {
  constexpr int Calls = 5;
  std::atomic<int> calls{0};
  ScriptedService service([&](const HttpRequest &) {
    if (++calls == Calls)
      return HttpResponse{503, {}, {}};
    return ok(R"({"events":[{"key":7,"revision":12}],"store-revision":10})");
  });
  auto begin = std::chrono::steady_clock::now();
  watch(service);
  EXPECT_EQ(calls, Calls);
  // A lower bound, which a busy machine can't break.
  EXPECT_GE(std::chrono::steady_clock::now() - begin, (Calls - 1) * 300ms);
}

/// Guards against a range that is read for ever: the pages come again.
TEST(KvStore, FailsARangeWhosePagesComeAgain) {
  std::atomic<int> calls{0};
  ScriptedService service([&](const HttpRequest &) {
    int call = ++calls;
    return ok(R"({"items":[)" + item(call % 2 == 0 ? "a" : "b", 3) +
              R"(],"truncated":)" + (call < 200 ? "true" : "false") +
              R"(,"store-revision":10})");
  });
  EXPECT_EQ(readAll(service).Header.Status, KvStatus::Unavailable);
  EXPECT_LT(calls, 10);
}

/// Guards against a range that takes memory without bound.
TEST(KvStore, FailsARangeThatIsTooLarge) {
  std::atomic<int> calls{0};
  const std::string value = encodeBase64(std::string(1U << 20U, 'v'));
  ScriptedService service([&](const HttpRequest &) {
    int call = ++calls;
    std::string items;
    for (int i = 0; i < 8; ++i)
      items += (i > 0 ? "," : "") + std::string(R"({"key":"k)") +
               std::to_string(1000 + 8 * call + i) + R"(","value":")" + value +
               R"(","revision":3})";
    return ok(R"({"items":[)" + items + R"(],"truncated":)" +
              (call < 20 ? "true" : "false") + R"(,"store-revision":10})");
  });
  EXPECT_EQ(readAll(service).Header.Status, KvStatus::Unavailable);
  EXPECT_LE(calls, 8);
}

/// Guards against all keys being taken for deleted, or their changes for
/// reported, because of an answer that doesn't hold what was asked for.
TEST(KvStore, FailsARangeOrWatchWhoseAnswerLacksAField) {
  for (const char *body :
       {"{}", R"({"store-revision":20})", R"({"items":[],"events":[]})",
        R"({"items":null,"events":null,"store-revision":20})",
        R"({"items":{},"events":{},"store-revision":20})"}) {
    ScriptedService service([&](const HttpRequest &) { return ok(body); });
    EXPECT_EQ(readAll(service).Header.Status, KvStatus::Unavailable) << body;
    WatchOutcome outcome = watch(service);
    EXPECT_EQ(outcome.Status, KvStatus::Unavailable) << body;
    EXPECT_EQ(outcome.Revision, 0) << body;
  }
}

/// Guards against an odd field that makes an answer about a lease look as if
/// the lease had ended.
TEST(KvStore, ReportsAnOddAnswerAboutALeaseAsUnknown) {
  for (const char *odd :
       {R"({"lease":"x","ttl-ms":3000})", R"({"lease":7,"ttl-ms":1e400})",
        R"({"lease":-1})", R"({"lease":1e300})", "", "{}", "junk",
        R"({"ttl-ms":3000})", R"({"lease":0,"ttl-ms":3000})"}) {
    ScriptedService service([&](const HttpRequest &) { return ok(odd); });
    auto result = await<edge::KvLeaseResult>([&](auto done) {
      service.Store.GrantLease(3s, CallTimeout, std::move(done));
    });
    EXPECT_EQ(result.Header.Status, KvStatus::Unknown) << odd;
  }
}

} // namespace
} // namespace daisytack::platform
