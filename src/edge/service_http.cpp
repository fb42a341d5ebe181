/// HTTP adapter to a plain service.
#include "edge/run_calls.h"
#include "edge/service.h"

#include "net/http_status.h"
#include "net/sse.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace daisytack::edge {

namespace {

constexpr std::array<std::string_view, 4> HopByHopHeaders{
    "connection", "transfer-encoding", "content-length", "keep-alive"};

bool isHopByHopHeader(std::string_view name) {
  for (std::string_view hop : HopByHopHeaders) {
    if (hop.size() != name.size())
      continue;
    bool same = true;
    for (size_t i = 0; i < hop.size(); ++i)
      same = same && hop[i] == std::tolower(static_cast<uint8_t>(name[i]));
    if (same)
      return true;
  }
  return false;
}

net::HttpRequest requestOf(const wire::Offer &offer) {
  net::HttpRequest out;
  out.Method = offer.Call.Method;
  size_t queryStart = offer.Call.Target.find('?');
  out.Path = offer.Call.Target.substr(0, queryStart);
  if (queryStart != std::string::npos)
    out.Query = offer.Call.Target.substr(queryStart + 1);
  if (out.Path.empty() || out.Path[0] != '/')
    out.Path.insert(0, 1, '/');
  for (const wire::HeaderField &it : offer.Call.Headers)
    if (!isHopByHopHeader(it.Name))
      out.Headers.push_back({it.Name, it.Value});
  out.Body = offer.Body;
  return out;
}

bool isEventStream(unsigned status,
                   const std::vector<net::HttpHeader> &headers) {
  bool hasType =
      std::any_of(headers.begin(), headers.end(), [](const auto &it) {
        return boost::beast::iequals(it.Name, "Content-Type") &&
               it.Value.starts_with("text/event-stream");
      });
  return hasType && net::isSuccess(status);
}

/// The answer to one run. Used by one I/O thread at a time.
struct ServiceAnswer {
  serve::RunDone Final;
  bool IsEventStream = false;
  net::SseScanner Scanner; ///< Of a stream of events.
};

class HttpService : public std::enable_shared_from_this<HttpService> {
public:
  HttpService(net::HttpClient &client, Endpoint address, InputSink sink)
      : Client(client), Address(std::move(address)), Sink(std::move(sink)) {}

  void start(const serve::StartRun &start) {
    auto answer = std::make_shared<ServiceAnswer>();
    answer->Final.Run = start.Run;
    answer->Final.Answer = start.Run;
    net::HttpHooks hooks;
    hooks.Head = [answer](unsigned status, const auto &headers) {
      answer->IsEventStream = isEventStream(status, headers);
      answer->Final.ServiceStatus = static_cast<uint16_t>(status);
      for (const net::HttpHeader &it : headers)
        if (!isHopByHopHeader(it.Name))
          answer->Final.ServiceHeaders.push_back({it.Name, it.Value});
    };
    hooks.Data = [self = shared_from_this(), answer,
                  run = start.Run](std::string_view data) {
      if (answer->IsEventStream)
        for (char c : data)
          answer->Scanner.next(c);
      self->Sink(serve::RunText{run, run, std::nullopt, 0, std::string(data)});
    };
    hooks.Done = [self = shared_from_this(), answer](const Error &error) {
      self->onDone(*answer, error);
    };
    net::HttpCallOptions options;
    options.MaxBodyBytes = net::MaxServerAnswerBytes;
    options.UsesOwnConnection = true;
    Calls.begin(start.Run);
    Calls.set(start.Run, Client.call(Address, requestOf(*start.Offer),
                                     start.Timeout, std::move(hooks), options));
  }

  void cancel(const serve::RunToken &run) { Calls.cancel(run); }

private:
  void onDone(ServiceAnswer &answer, Error error) {
    Calls.remove(answer.Final.Run);
    if (!error && answer.Scanner.isInsideEvent())
      error = {ErrorKind::ServerLost, "the stream ended inside an event"};
    if (error)
      return Sink(failureOf(answer.Final.Run, error));
    Sink(std::move(answer.Final));
  }

  net::HttpClient &Client;
  Endpoint Address;
  InputSink Sink;
  RunCalls Calls;
};

} // namespace

Service makeHttpService(net::HttpClient &client, Endpoint address,
                        InputSink sink) {
  auto self = std::make_shared<HttpService>(client, std::move(address),
                                            std::move(sink));
  return {[self](const serve::StartRun &start) { self->start(start); },
          [self](const serve::RunToken &run) { self->cancel(run); }};
}

} // namespace daisytack::edge
