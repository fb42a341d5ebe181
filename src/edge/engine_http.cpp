/// HTTP adapter to an engine.
#include "edge/engine.h"
#include "edge/engine_codec.h"
#include "edge/run_calls.h"

#include "net/http_status.h"
#include "net/sse.h"

#include <utility>

namespace daisytack::edge {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusTooMany = 429;
constexpr unsigned StatusUnavailable = 503;
constexpr size_t MaxErrorBytes = 512;

/// For calls whose answer must not be that of another call: an engine's answers
/// don't name the call.
net::HttpCallOptions onOwnConnection() {
  net::HttpCallOptions out;
  out.UsesOwnConnection = true;
  return out;
}

net::HttpRequest jsonRequest(std::string method, std::string path,
                             std::string body) {
  net::HttpRequest out;
  out.Method = std::move(method);
  out.Path = std::move(path);
  out.Headers.push_back({"Content-Type", "application/json"});
  out.Body = std::move(body);
  return out;
}

net::HttpRequest getRequest(std::string path) {
  net::HttpRequest out;
  out.Method = "GET";
  out.Path = std::move(path);
  return out;
}

/// The result of a run that the engine answered with another status than 200. A
/// refusal says that it was not run; after others it may have been.
serve::RunFailed failureOfStatus(const serve::RunToken &run, unsigned status,
                                 const std::string &body) {
  ErrorKind kind = ErrorKind::ServerFailed;
  if (status == StatusBadRequest)
    kind = ErrorKind::BadRequest;
  else if (status == StatusTooMany || status == StatusUnavailable)
    kind = ErrorKind::Overloaded;
  Error why{kind, "engine answered " + std::to_string(status) + ": " +
                      body.substr(0, MaxErrorBytes)};
  return {run, std::move(why),
          net::isRefusal(status) ? Outcome::NotRun : Outcome::MayHaveRun};
}

/// Response stream of one run. Used by one I/O thread at a time.
class EngineStream {
public:
  EngineStream(const serve::RunToken &run, const InputSink &sink)
      : Run(run), Sink(sink) {}

  void onHead(unsigned status) { Status = status; }

  void onData(std::string_view data) {
    if (Ended)
      return;
    if (Status != StatusOk) {
      if (Failure.size() < MaxErrorBytes)
        Failure.append(data);
      return;
    }
    if (!Parser.feed(data, [this](net::SseEvent event) { onEvent(event); }))
      fail("an event of the engine is too large");
  }

  void onDone(const Error &error) {
    if (Ended)
      return;
    Ended = true;
    if (error)
      return Sink(failureOf(Run, error));
    if (Status != StatusOk)
      return Sink(failureOfStatus(Run, Status, Failure));
    if (!SawEnd)
      return Sink(serve::RunFailed{
          Run, {ErrorKind::ServerFailed, "the engine broke its answer off"}});
    Sink(std::move(Final));
  }

private:
  void onEvent(const net::SseEvent &event) {
    if (Ended || SawEnd)
      return;
    if (event.Data == "[DONE]") {
      SawEnd = true;
      return;
    }
    auto parsed = parseEngineStreamEvent(event.Data);
    if (!parsed)
      return fail("an event of the engine can't be read");
    if (!parsed->Failure.empty())
      return fail(parsed->Failure);
    forwardEvent(*parsed);
  }

  void forwardEvent(EngineStreamEvent &parsed) {
    if (parsed.HasText)
      Sink(serve::RunText{Run, parsed.Answer, parsed.Sequence, 1,
                          std::move(parsed.Text)});
    Final.Run = Run;
    Final.Answer = parsed.Answer;
    if (!parsed.FinishReason.empty())
      Final.FinishReason = parsed.FinishReason;
    if (parsed.HasUsage) {
      Final.PromptTokens = parsed.PromptTokens;
      Final.CachedTokens = parsed.CachedTokens;
      Final.CompletionTokens = parsed.CompletionTokens;
    }
  }

  void fail(std::string detail) {
    Ended = true;
    Sink(serve::RunFailed{Run, {ErrorKind::ServerFailed, std::move(detail)}});
  }

  serve::RunToken Run;
  const InputSink &Sink;
  net::SseParser Parser;
  serve::RunDone Final;
  std::string Failure; ///< Beginning of the body with an error status.
  unsigned Status = 0;
  bool SawEnd = false;
  bool Ended = false;
};

/// State shared by the hooks of one engine.
class HttpEngine : public std::enable_shared_from_this<HttpEngine> {
public:
  HttpEngine(net::HttpClient &client, HttpEngineInit init, InputSink sink)
      : Client(client), Init(std::move(init)), Sink(std::move(sink)) {}

  void start(const serve::StartRun &start) {
    Error reason;
    auto body = engineRequestBody(start, reason);
    if (!body)
      return Sink(serve::RunFailed{start.Run, reason, Outcome::NotRun});
    std::string path =
        start.Offer->Chat ? "/v1/chat/completions" : "/v1/completions";
    auto stream = std::make_shared<EngineStream>(start.Run, Sink);
    net::HttpHooks hooks;
    hooks.Head = [stream](unsigned status, const auto &) {
      stream->onHead(status);
    };
    hooks.Data = [stream](std::string_view data) { stream->onData(data); };
    hooks.Done = [self = shared_from_this(), stream,
                  run = start.Run](const Error &error) {
      self->Calls.remove(run);
      stream->onDone(error);
    };
    Calls.begin(start.Run);
    Calls.set(start.Run,
              Client.call(Init.Address,
                          jsonRequest("POST", path, std::move(*body)),
                          start.Timeout, std::move(hooks), onOwnConnection()));
  }

  /// Also closes the connection, because an engine may stop answering a
  /// cancelled run.
  void cancel(const serve::RunToken &run) {
    control("cancel", run);
    Calls.cancel(run);
  }

  void control(const std::string &action, const serve::RunToken &run) {
    Client.fetch(Init.Address,
                 jsonRequest("POST", "/control/" + action,
                             R"({"request_id":")" + toString(run) + "\"}"),
                 Init.ControlTimeout, [](const Error &, const auto &) {});
  }

  void pollStatus() {
    get("/control/status",
        [this](const std::string &body) { return parseEngineStatus(body); });
  }

  void pollCacheEvents(uint64_t from) {
    get("/control/cache_events?from=" + std::to_string(from),
        [from](const std::string &body) {
          return parseCacheEvents(body, from);
        });
  }

  void exportPiece(const serve::ExportPiece &command) {
    fetch(
        getRequest("/control/pieces/" + toHex(command.Key)), Init.PieceTimeout,
        [call = command.Call](Error error,
                              net::HttpResponse response) -> serve::AgentInput {
          // Nothing in a piece shows that it was cut at its end.
          if (!error && net::isCloseDelimited(response.Headers))
            error = {ErrorKind::ProtocolError,
                     "the engine sent a piece without a length"};
          if (error)
            return serve::PieceExport{call, nullptr, error};
          return serve::PieceExport{
              call,
              std::make_shared<const std::string>(std::move(response.Body)),
              {}};
        },
        onOwnConnection());
  }

  void importPiece(const serve::ImportPiece &command) {
    net::HttpRequest request;
    request.Method = "PUT";
    request.Path = "/control/pieces/" + toHex(command.Key);
    request.Body = *command.Bytes;
    fetch(
        std::move(request), Init.PieceTimeout,
        [call = command.Call](Error error,
                              const net::HttpResponse &) -> serve::AgentInput {
          return serve::PieceImport{call, error};
        },
        onOwnConnection());
  }

  void order(const serve::SendOrder &order) {
    fetch(
        jsonRequest("POST", "/control/orders", orderBody(order, Init.Weights)),
        Init.ControlTimeout,
        [call = order.Call](Error error, const net::HttpResponse &response)
            -> serve::AgentInput {
          return serve::OrderAnswer{call, error, parseFence(response.Body)};
        },
        onOwnConnection());
  }

private:
  /// Sends the request, converts a status other than 2xx to an error, and
  /// passes the result of the reader to the sink.
  template <class Reader>
  void fetch(net::HttpRequest request, Duration timeout, Reader read,
             net::HttpCallOptions options = {}) {
    Client.fetch(
        Init.Address, std::move(request), timeout,
        [self = shared_from_this(), read](Error error,
                                          net::HttpResponse response) {
          if (!error)
            error = errorOf(response);
          self->Sink(read(std::move(error), std::move(response)));
        },
        options);
  }

  template <class Parser> void get(const std::string &target, Parser parse) {
    net::HttpRequest request;
    request.Method = "GET";
    size_t queryStart = target.find('?');
    request.Path = target.substr(0, queryStart);
    if (queryStart != std::string::npos)
      request.Query = target.substr(queryStart + 1);
    fetch(std::move(request), Init.ControlTimeout,
          [parse](const Error &error,
                  const net::HttpResponse &response) -> serve::AgentInput {
            if (error)
              return serve::EngineUnresponsive{error};
            auto parsed = parse(response.Body);
            if (!parsed)
              return serve::EngineUnresponsive{
                  {ErrorKind::ProtocolError, "engine: unreadable answer"}};
            return std::move(*parsed);
          });
  }

  static Error errorOf(const net::HttpResponse &response) {
    if (response.Status >= StatusOk && response.Status < 300)
      return {};
    ErrorKind kind = ErrorKind::ServerFailed;
    if (response.Status == StatusConflict)
      kind = ErrorKind::Conflict;
    else if (response.Status == StatusNotFound)
      kind = ErrorKind::NotFound;
    return {kind, "engine answered " + std::to_string(response.Status)};
  }

  net::HttpClient &Client;
  HttpEngineInit Init;
  InputSink Sink;
  RunCalls Calls;
};

} // namespace

Engine makeHttpEngine(net::HttpClient &client, HttpEngineInit init,
                      InputSink sink) {
  auto self =
      std::make_shared<HttpEngine>(client, std::move(init), std::move(sink));
  Engine out;
  out.Start = [self](const serve::StartRun &start) { self->start(start); };
  out.Cancel = [self](const serve::RunToken &run) { self->cancel(run); };
  out.Suspend = [self](const serve::RunToken &run) {
    self->control("suspend", run);
  };
  out.Resume = [self](const serve::RunToken &run) {
    self->control("resume", run);
  };
  out.PollStatus = [self] { self->pollStatus(); };
  out.PollCacheEvents = [self](serve::PollCacheEvents command) {
    self->pollCacheEvents(command.From);
  };
  out.Export = [self](const serve::ExportPiece &command) {
    self->exportPiece(command);
  };
  out.Import = [self](const serve::ImportPiece &command) {
    self->importPiece(command);
  };
  out.Order = [self](const serve::SendOrder &order) { self->order(order); };
  return out;
}

} // namespace daisytack::edge
