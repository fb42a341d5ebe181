#include "edge/kv_etcd.h"

#include "edge/kv_etcd_json.h"
#include "net/http_status.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace daisytack::edge {

namespace {

using net::StatusOk;

constexpr size_t MaxWatchLineBytes = 16U << 20;
/// Beginning of an answer with another status that is kept for its message.
constexpr size_t MaxErrorBytes = 4U << 10;

/// State shared by all hooks.
struct EtcdGateway {
  net::HttpClient &Client;
  std::vector<Endpoint> Endpoints;
  std::atomic<size_t> Current{0};

  const Endpoint &endpoint() const {
    return Endpoints[Current.load() % Endpoints.size()];
  }
  void useNextEndpoint() { Current.fetch_add(1); }
};
using EtcdGatewayPtr = std::shared_ptr<EtcdGateway>;

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

/// Header for a failed call. Only a connection that was not established, or a
/// response that rejects the request, proves that nothing was written.
KvHeader callFailed(const Error &error, bool writes) {
  if (!writes || error.Kind == ErrorKind::ServiceUnavailable)
    return failed(KvStatus::Unavailable, ErrorKind::ServiceUnavailable,
                  error.Detail);
  return failed(KvStatus::Unknown, ErrorKind::ServiceUnknown, error.Detail);
}

KvHeader answerFailed(unsigned status, std::string_view body, bool writes) {
  std::string detail =
      "status " + std::to_string(status) + ", " + etcd::errorMessage(body);
  // The service also answers 503 if it lost the outcome of a write.
  bool isRefused = net::isRefusal(status) && status != net::StatusUnavailable;
  if (writes && !isRefused)
    return failed(KvStatus::Unknown, ErrorKind::ServiceUnknown, detail);
  return failed(KvStatus::Unavailable, ErrorKind::ServiceUnavailable, detail);
}

template <class Result>
using Parser = std::optional<Result> (*)(std::string_view, Error &);

/// Sends one request, classifies the response and passes the result on.
template <class Result>
void call(const EtcdGatewayPtr &gateway, std::string path, std::string body,
          Duration timeout, bool writes, Parser<Result> parse,
          std::function<void(Result)> done) {
  auto finish = [gateway, writes, parse, done = std::move(done)](
                    const Error &error, const net::HttpResponse &response) {
    Result out;
    Error reason;
    if (error) {
      gateway->useNextEndpoint();
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
  gateway->Client.fetch(gateway->endpoint(),
                        post(std::move(path), std::move(body)), timeout,
                        std::move(finish));
}

/// Splits the response stream of a watch into lines and reports their changes.
/// A watch that ends by what the service sent closes its connection, on which
/// the service could send without end otherwise.
class WatchReader {
public:
  WatchReader(EtcdGatewayPtr gateway, KvWatchHooks hooks)
      : Gateway(std::move(gateway)), Hooks(std::move(hooks)) {}

  /// Sets the call whose response this is. Responses may arrive before that.
  void setCall(const net::HttpCall &call) {
    {
      std::lock_guard guard(Lock);
      Call = call;
    }
    if (HasEnded)
      call.cancel();
  }

  void head(unsigned status) { Status = status; }

  void data(std::string_view bytes) {
    if (HasEnded)
      return;
    if (Status != StatusOk)
      return addErrorText(bytes);
    // What was buffered before has no end of a line.
    size_t searched = Buffer.size();
    Buffer += bytes;
    size_t begin = 0;
    for (size_t end = Buffer.find('\n', searched);
         end != std::string::npos && !HasEnded;
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
    if (HasEnded)
      return;
    if (error)
      Gateway->useNextEndpoint();
    if (Status != 0 && Status != StatusOk)
      end(answerFailed(Status, Buffer, false), 0);
    else
      end(callFailed(error, false), 0);
  }

private:
  void addErrorText(std::string_view bytes) {
    Buffer += bytes.substr(0, MaxErrorBytes - Buffer.size());
    if (Buffer.size() == MaxErrorBytes)
      end(answerFailed(Status, Buffer, false), 0);
  }

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
    if (HasEnded.exchange(true))
      return;
    net::HttpCall call;
    {
      std::lock_guard guard(Lock);
      call = Call;
    }
    call.cancel();
    Hooks.Ended(header, compactRevision);
  }

  EtcdGatewayPtr Gateway;
  KvWatchHooks Hooks;
  unsigned Status = 0;
  std::string Buffer;
  std::atomic<bool> HasEnded{false};
  std::mutex Lock;
  net::HttpCall Call;
};

KvCancel watch(const EtcdGatewayPtr &gateway, const std::string &begin,
               const std::string &end, uint64_t fromRevision,
               KvWatchHooks hooks) {
  auto reader = std::make_shared<WatchReader>(gateway, std::move(hooks));
  net::HttpHooks http;
  http.Head = [reader](unsigned status, const auto &) { reader->head(status); };
  http.Data = [reader](std::string_view data) { reader->data(data); };
  http.Done = [reader](const Error &error) { reader->done(error); };
  net::HttpCall running = gateway->Client.call(
      gateway->endpoint(),
      post("/v3/watch", etcd::watchRequest(begin, end, fromRevision)),
      Duration(0), std::move(http));
  reader->setCall(running);
  return [running] { running.cancel(); };
}

} // namespace

KvStore makeEtcdStore(net::HttpClient &client,
                      std::vector<Endpoint> endpoints) {
  EtcdGatewayPtr gateway(new EtcdGateway{client, std::move(endpoints)});
  KvStore out;
  out.Range = [gateway](const KvRange &range, Duration timeout, auto done) {
    call<KvRangeResult>(gateway, "/v3/kv/range", etcd::rangeRequest(range),
                        timeout, false, &etcd::parseRange, std::move(done));
  };
  out.Commit = [gateway](const KvTransaction &transaction, Duration timeout,
                         auto done) {
    call<KvTransactionResult>(gateway, "/v3/kv/txn",
                              etcd::transactionRequest(transaction), timeout,
                              true, &etcd::parseTransaction, std::move(done));
  };
  out.GrantLease = [gateway](Duration timeToLive, Duration timeout, auto done) {
    call<KvLeaseResult>(gateway, "/v3/lease/grant",
                        etcd::leaseGrantRequest(timeToLive), timeout, true,
                        &etcd::parseLeaseGrant, std::move(done));
  };
  out.KeepLease = [gateway](uint64_t lease, Duration timeout, auto done) {
    call<KvLeaseResult>(gateway, "/v3/lease/keepalive",
                        etcd::leaseRequest(lease), timeout, true,
                        &etcd::parseLeaseKeepalive, std::move(done));
  };
  out.RevokeLease = [gateway](uint64_t lease, Duration timeout, auto done) {
    call<KvLeaseResult>(gateway, "/v3/lease/revoke", etcd::leaseRequest(lease),
                        timeout, true, &etcd::parseLeaseRevoke,
                        std::move(done));
  };
  out.Watch = [gateway](const std::string &begin, const std::string &end,
                        uint64_t fromRevision, KvWatchHooks hooks) {
    return watch(gateway, begin, end, fromRevision, std::move(hooks));
  };
  return out;
}

} // namespace daisytack::edge
