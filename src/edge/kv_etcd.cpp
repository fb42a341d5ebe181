#include "edge/kv_etcd.h"

#include "edge/kv_etcd_json.h"

#include <atomic>
#include <memory>
#include <utility>

namespace daisytack::edge {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned FirstServerError = 500;
constexpr size_t MaxWatchLineBytes = 16U << 20;

/// What every hook shares.
struct Target {
  net::HttpClient &Client;
  std::vector<Endpoint> Endpoints;
  std::atomic<size_t> Current{0};

  const Endpoint &endpoint() const {
    return Endpoints[Current.load() % Endpoints.size()];
  }
  void moveOn() { Current.fetch_add(1); }
};
using TargetPtr = std::shared_ptr<Target>;

net::HttpRequest post(std::string path, std::string body) {
  return {"POST",
          std::move(path),
          {},
          {{"Content-Type", "application/json"}},
          std::move(body)};
}

KvHeader failed(KvStatus status, ErrorKind kind, std::string detail) {
  KvHeader out;
  out.Status = status;
  out.Reason = {kind, "key-value service: " + std::move(detail)};
  return out;
}

/// What a failed call means. Only a connection that could not be made, and an
/// answer that rejects the request, say surely that nothing was written.
KvHeader callFailed(const Error &error, bool writes) {
  if (!writes || error.Kind == ErrorKind::ServiceUnavailable)
    return failed(KvStatus::Unavailable, ErrorKind::ServiceUnavailable,
                  error.Detail);
  return failed(KvStatus::Unknown, ErrorKind::ServiceUnknown, error.Detail);
}

KvHeader answerFailed(unsigned status, std::string_view body, bool writes) {
  std::string detail =
      "status " + std::to_string(status) + ", " + etcd::errorMessage(body);
  if (writes && status >= FirstServerError)
    return failed(KvStatus::Unknown, ErrorKind::ServiceUnknown, detail);
  return failed(KvStatus::Unavailable, ErrorKind::ServiceUnavailable, detail);
}

template <class Result>
using Parser = std::optional<Result> (*)(std::string_view, Error &);

/// One call: sends the text, classifies what comes back, and hands it on.
template <class Result>
void call(const TargetPtr &to, std::string path, std::string body,
          Duration timeout, bool writes, Parser<Result> parse,
          std::function<void(Result)> done) {
  auto finish = [to, writes, parse, done = std::move(done)](
                    const Error &error, const net::HttpResponse &response) {
    Result out;
    Error reason;
    if (error) {
      to->moveOn();
      out.Header = callFailed(error, writes);
    } else if (response.Status != StatusOk) {
      out.Header = answerFailed(response.Status, response.Body, writes);
    } else if (std::optional<Result> parsed = parse(response.Body, reason)) {
      out = std::move(*parsed);
    } else {
      out.Header = callFailed(reason, writes);
    }
    done(std::move(out));
  };
  to->Client.fetch(to->endpoint(), post(std::move(path), std::move(body)),
                   timeout, std::move(finish));
}

/// Splits a watch's stream into lines and reports them.
class WatchReader {
public:
  WatchReader(TargetPtr to, KvWatchHooks hooks)
      : To(std::move(to)), Hooks(std::move(hooks)) {}

  void head(unsigned status) { Status = status; }

  void data(std::string_view bytes) {
    Buffer += bytes;
    size_t begin = 0;
    for (size_t end = Buffer.find('\n'); end != std::string::npos && !Over;
         end = Buffer.find('\n', begin)) {
      line(std::string_view(Buffer).substr(begin, end - begin));
      begin = end + 1;
    }
    Buffer.erase(0, begin);
    if (Buffer.size() > MaxWatchLineBytes)
      end(failed(KvStatus::Unavailable, ErrorKind::ProtocolError,
                 "watch message too long"),
          0);
  }

  void done(const Error &error) {
    if (error)
      To->moveOn();
    if (Status != 0 && Status != StatusOk)
      end(answerFailed(Status, Buffer, false), 0);
    else
      end(callFailed(error, false), 0);
  }

private:
  void line(std::string_view text) {
    if (text.empty())
      return;
    Error reason;
    std::optional<etcd::WatchMessage> message = etcd::parseWatch(text, reason);
    if (!message)
      return end(callFailed(reason, false), 0);
    if (message->Canceled)
      return end(message->Header, message->CompactRevision);
    if (!message->Created || !message->Changes.empty())
      Hooks.Changed(message->Header, std::move(message->Changes));
  }

  void end(const KvHeader &header, uint64_t compactRevision) {
    if (std::exchange(Over, true))
      return;
    Hooks.Ended(header, compactRevision);
  }

  TargetPtr To;
  KvWatchHooks Hooks;
  unsigned Status = 0;
  std::string Buffer;
  bool Over = false;
};

KvCancel watch(const TargetPtr &to, const std::string &begin,
               const std::string &end, uint64_t fromRevision,
               KvWatchHooks hooks) {
  auto reader = std::make_shared<WatchReader>(to, std::move(hooks));
  net::HttpHooks http;
  http.Head = [reader](unsigned status, const auto &) { reader->head(status); };
  http.Data = [reader](std::string_view data) { reader->data(data); };
  http.Done = [reader](const Error &error) { reader->done(error); };
  net::HttpCall running = to->Client.call(
      to->endpoint(),
      post("/v3/watch", etcd::watchRequest(begin, end, fromRevision)),
      Duration(0), std::move(http));
  return [running] { running.cancel(); };
}

} // namespace

KvStore makeEtcdStore(net::HttpClient &client,
                      std::vector<Endpoint> endpoints) {
  TargetPtr to(new Target{client, std::move(endpoints)});
  KvStore out;
  out.Range = [to](const KvRange &range, Duration timeout, auto done) {
    call<KvRangeResult>(to, "/v3/kv/range", etcd::rangeRequest(range), timeout,
                        false, &etcd::parseRange, std::move(done));
  };
  out.Commit = [to](const KvTransaction &transaction, Duration timeout,
                    auto done) {
    call<KvTransactionResult>(to, "/v3/kv/txn",
                              etcd::transactionRequest(transaction), timeout,
                              true, &etcd::parseTransaction, std::move(done));
  };
  out.GrantLease = [to](Duration timeToLive, Duration timeout, auto done) {
    call<KvLeaseResult>(to, "/v3/lease/grant",
                        etcd::leaseGrantRequest(timeToLive), timeout, true,
                        &etcd::parseLeaseGrant, std::move(done));
  };
  out.KeepLease = [to](uint64_t lease, Duration timeout, auto done) {
    call<KvLeaseResult>(to, "/v3/lease/keepalive", etcd::leaseRequest(lease),
                        timeout, true, &etcd::parseLeaseKeepalive,
                        std::move(done));
  };
  out.RevokeLease = [to](uint64_t lease, Duration timeout, auto done) {
    call<KvLeaseResult>(to, "/v3/lease/revoke", etcd::leaseRequest(lease),
                        timeout, true, &etcd::parseLeaseRevoke,
                        std::move(done));
  };
  out.Watch = [to](const std::string &begin, const std::string &end,
                   uint64_t fromRevision, KvWatchHooks hooks) {
    return watch(to, begin, end, fromRevision, std::move(hooks));
  };
  return out;
}

} // namespace daisytack::edge
