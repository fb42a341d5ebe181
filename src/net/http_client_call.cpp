#include "net/http_client_call.h"

#include "net/http_status.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace daisytack::net {

namespace {

constexpr unsigned HttpVersion11 = 11;
/// Longest name or value of a header, in bytes. The HTTP library throws for
/// those of 64 KB.
constexpr size_t MaxFieldBytes = 65'000;

std::shared_ptr<const std::string> bodyOf(HttpRequest &request) {
  return request.SharedBody ? std::move(request.SharedBody) : takeBody(request);
}

/// The message refers to the body and doesn't copy it. Leaves out headers that
/// are too long, and then sets `hasLongHeader`.
http::request<http::span_body<const char>> toMessage(const Endpoint &to,
                                                     const HttpRequest &request,
                                                     const std::string &body,
                                                     bool &hasLongHeader) {
  http::request<http::span_body<const char>> out;
  out.version(HttpVersion11);
  out.method_string(request.Method);
  std::string target = request.Path.empty() ? "/" : request.Path;
  if (!request.Query.empty())
    target += "?" + request.Query;
  out.target(request.Target.empty() ? target : request.Target);
  for (const HttpHeader &header : request.Headers) {
    if (std::max(header.Name.size(), header.Value.size()) > MaxFieldBytes)
      hasLongHeader = true;
    else
      out.insert(header.Name, header.Value);
  }
  if (out.count(http::field::host) == 0)
    out.set(http::field::host, toString(to));
  out.body() = boost::beast::span<const char>(body.data(), body.size());
  bool mayHaveBody =
      out.method() != http::verb::get && out.method() != http::verb::head;
  if (mayHaveBody || !out.body().empty())
    out.content_length(out.body().size());
  return out;
}

bool isSafe(http::verb method) {
  return method == http::verb::get || method == http::verb::head;
}

/// Whether the length of the response is unambiguous (RFC 9112, 6.3).
bool isFramingValid(const http::response<http::buffer_body> &message) {
  size_t lengths = message.count(http::field::content_length);
  size_t codings = message.count(http::field::transfer_encoding);
  if (lengths > 1 || codings > 1 || (lengths == 1 && codings == 1))
    return false;
  if (codings == 0)
    return true;
  // Transfer codings are not defined before HTTP/1.1 (RFC 9112, 6.1).
  return message.version() >= HttpVersion11 &&
         boost::beast::iequals(message[http::field::transfer_encoding],
                               "chunked");
}

std::vector<HttpHeader> headersOf(const http::fields &fields) {
  std::vector<HttpHeader> out;
  for (const auto &field : fields)
    out.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  return out;
}

} // namespace

HttpClientCall::HttpClientCall(asio::io_context &io, const HttpClientInit &init,
                               std::shared_ptr<HttpConnectionPool> pool,
                               std::shared_ptr<HeldBytes> held, Endpoint to,
                               HttpRequest request, HttpHooks hooks)
    : Io(io), Init(init), Pool(std::move(pool)), Held(std::move(held)),
      To(std::move(to)), Body(bodyOf(request)),
      Message(toMessage(To, request, *Body, HasLongHeader)),
      Hooks(std::move(hooks)), CallStrand(asio::make_strand(io)),
      Timer(CallStrand) {}

void HttpClientCall::start(HttpTimeout timeout, HttpCallOptions options) {
  Options = options;
  if (timeout.Total > Duration::zero())
    Deadline = BootClock::now() + timeout.Total;
  ProgressTimeout = timeout.Progress;
  asio::post(CallStrand, [self = shared_from_this()] { self->begin(); });
}

void HttpClientCall::cancel() {
  asio::post(CallStrand, [self = shared_from_this()] {
    Error error{ErrorKind::Cancelled, "cancelled"};
    self->finish(error);
  });
}

void HttpClientCall::begin() {
  if (Finished)
    return;
  if (HasLongHeader)
    return finish({ErrorKind::HeaderTooLarge,
                   toString(To) + ": a header of the request is too long"});
  if (!Options.UsesOwnConnection)
    Connection = Pool->take(To, Options.ResponseKey);
  Reused = Connection != nullptr;
  if (!Reused)
    return connect();
  if (Deadline)
    armTimer(Duration::max());
  send();
}

void HttpClientCall::connect() {
  Reused = false;
  Connection = std::make_shared<HttpClientConnection>(Io, Pool->nextNumber());
  tcp::endpoint address;
  if (!toTcp(To, address))
    return fail(asio::error::invalid_argument, "address");
  armTimer(Init.ConnectTimeout);
  if (Init.ReceiveBufferBytes > 0) {
    // Before the connection is made, which fixes the scale of the window.
    ErrorCode ignored;
    Connection->Socket.open(address.protocol(), ignored);
    Connection->Socket.set_option(
        asio::socket_base::receive_buffer_size(
            static_cast<int>(Init.ReceiveBufferBytes)),
        ignored);
  }
  Connection->Socket.async_connect(
      address, asio::bind_executor(CallStrand,
                                   [self = shared_from_this()](ErrorCode ec) {
                                     self->onConnected(ec);
                                   }));
}

void HttpClientCall::onConnected(ErrorCode ec) {
  if (Finished)
    return;
  if (ec)
    return fail(ec, "connect");
  tuneSocket(Connection->Socket);
  if (Deadline)
    armTimer(Duration::max());
  else
    Timer.cancel();
  send();
}

void HttpClientCall::send() {
  if (Hooks.MaySend && !Hooks.MaySend())
    return finish(
        {ErrorKind::ServiceUnavailable, toString(To) + ": not sent any more"});
  if (Hooks.Sending)
    Hooks.Sending(Connection->info());
  ++Connection->Calls;
  if (Options.ResponseKey)
    Connection->ResponseKeys.push_back(*Options.ResponseKey);
  MayHaveSent = true;
  SendResult.reset();
  if (Message.body().size() > MaxBytesBeforeRead)
    readHead();
  http::async_write(
      Connection->Socket, Message,
      asio::bind_executor(CallStrand,
                          [self = shared_from_this()](ErrorCode ec, size_t n) {
                            self->onSent(ec, n);
                          }));
}

void HttpClientCall::onSent(ErrorCode ec, size_t n) {
  if (Finished)
    return;
  SendResult = ec;
  if (ec && n == 0 && !IsReading) {
    MayHaveSent = false;
    if (retryOnNewConnection())
      return;
    return fail(ec, "send");
  }
  dropSentBody();
  if (AfterSend)
    return (this->*std::exchange(AfterSend, nullptr))(ec);
  // Read even after a failed write: a server may respond before it has read the
  // whole request and then close the connection.
  if (!IsReading)
    readHead();
}

void HttpClientCall::readHead() {
  IsReading = true;
  Response.emplace(Init.MaxResponseHeaderBytes);
  Response->parser().body_limit(boost::none);
  Response->parser().skip(Message.method() == http::verb::head);
  parseHead();
}

void HttpClientCall::readNextHead() {
  asio::post(CallStrand, [self = shared_from_this()] {
    if (!self->Finished)
      self->readHead();
  });
}

void HttpClientCall::parseHead() {
  AnyReceived |= Connection->Input.size() > 0;
  ErrorCode ec = Response->parseHead(Connection->Input);
  if (ec != http::error::need_more)
    return onHead(ec);
  readInput(&HttpClientCall::onHeadInput);
}

void HttpClientCall::onHeadInput(ErrorCode ec) {
  if (ec)
    return onHead(ec);
  parseHead();
}

void HttpClientCall::readInput(InputStep then) {
  readSome(Connection->Socket, Connection->Input, InputReadBytes, CallStrand,
           [self = shared_from_this(), connection = Connection,
            then](ErrorCode ec, size_t n) {
             if (self->Finished)
               return;
             if (ec == asio::error::eof)
               return self->onInputEnd(then);
             if (n == self->InputReadBytes)
               self->InputReadBytes = std::min(2 * n, LongReadBytes);
             (self.get()->*then)(ec);
           });
}

void HttpClientCall::onInputEnd(InputStep then) {
  ErrorCode ec = Response->endInput();
  if (ec || isSent())
    return (this->*then)(ec);
  if (SendResult)
    return (this->*then)(*SendResult);
  AfterSend = then;
  armTimer(SendTimeoutAfterEnd);
}

void HttpClientCall::onHead(ErrorCode ec) {
  if (ec) {
    bool mayRetry = Init.RetriesSafeMethods && isSafe(Message.method());
    if (!AnyReceived && mayRetry && retryOnNewConnection())
      return;
    return fail(ec, "response");
  }
  const auto &message = Response->parser().get();
  size_t n = Response->headBytes();
  unsigned status = message.result_int();
  // The parser accepts any three digits.
  if (!isDefinedStatus(status))
    return failProtocol("a response with an undefined status");
  if (status == StatusSwitchingProtocols)
    return failProtocol("a switch to another protocol");
  if (isInterim(status)) {
    if (!skipsTooMuch(n))
      readNextHead();
    return;
  }
  if (!isFramingValid(message))
    return failProtocol("a response of ambiguous length");
  dropSentBody();
  MayKeepAlive =
      Response->parser().keep_alive() && !Response->parser().need_eof();
  IdleTimeout = readIdleTimeout();
  std::vector<HttpHeader> headers = headersOf(message.base());
  bool isFirst = !Reused && SkippedBytes == 0;
  IgnoresResponse =
      Hooks.MatchesRequest && !Hooks.MatchesRequest(headers, isFirst);
  if (IgnoresResponse && skipsTooMuch(n))
    return;
  if (!IgnoresResponse && Hooks.Head)
    Hooks.Head(status, headers);
  if (Finished)
    return;
  if (isComplete())
    return onResponseComplete();
  ReadBuffer.resize(InitialReadBytes);
  readBody();
}

void HttpClientCall::readBody() {
  auto &body = Response->parser().get().body();
  ErrorCode ec;
  while (ec != http::error::need_more) {
    body.data = ReadBuffer.data();
    body.size = ReadBuffer.size();
    body.more = true;
    ec = Response->parseBody(Connection->Input);
    bool isFailed =
        ec && ec != http::error::need_more && ec != http::error::need_buffer;
    if (!onBody(isFailed ? ec : ErrorCode(), ReadBuffer.size() - body.size))
      return;
  }
  readInput(&HttpClientCall::onBodyInput);
}

void HttpClientCall::onBodyInput(ErrorCode ec) {
  if (ec || isComplete())
    onBody(ec, 0);
  else
    readBody();
}

bool HttpClientCall::onBody(ErrorCode ec, size_t n) {
  if (IgnoresResponse && skipsTooMuch(n))
    return false;
  if (!IgnoresResponse) {
    BodyBytes += n;
    if (Options.HoldsBody && !Held->add(n)) {
      failProtocol("too many large responses at once");
      return false;
    }
  }
  if (BodyBytes > Options.MaxBodyBytes) {
    failProtocol("the response is too large");
    return false;
  }
  if (n > 0 && Hooks.Data && !IgnoresResponse)
    Hooks.Data(std::string_view(ReadBuffer.data(), n));
  if (Finished)
    return false;
  if (ec) {
    fail(ec, "response");
    return false;
  }
  if (isComplete()) {
    onResponseComplete();
    return false;
  }
  extendDeadline(n);
  if (IsPaused) {
    WaitsForResume = true;
    // Grows again as it is filled.
    ReadBuffer = std::vector<char>(InitialReadBytes);
    return false;
  }
  if (n == ReadBuffer.size() && n < MaxReadBytes)
    ReadBuffer.resize(2 * n);
  return true;
}

HttpCall::Resume HttpClientCall::pause() {
  IsPaused = true;
  return [self = shared_from_this()] { self->resume(); };
}

void HttpClientCall::resume() {
  IsPaused = false;
  // A read that is left out by now is made up for on the strand.
  asio::post(CallStrand, [self = shared_from_this()] {
    if (!self->Finished && !self->IsPaused &&
        std::exchange(self->WaitsForResume, false))
      self->readBody();
  });
}

void HttpClientCall::dropSentBody() {
  // Without any byte of a response, the request may be sent once more.
  if (!isSent() || !AnyReceived)
    return;
  Message.body() = {};
  Body.reset();
}

bool HttpClientCall::retryOnNewConnection() {
  if (!Reused || AnyReceived)
    return false;
  ErrorCode ignored;
  Connection->Socket.close(ignored);
  MayHaveSent = false;
  IsReading = false;
  connect();
  return true;
}

void HttpClientCall::onResponseComplete() {
  if (!IgnoresResponse)
    return complete();
  if (!MayKeepAlive)
    return fail(asio::error::eof, "response");
  readNextHead();
}

Duration HttpClientCall::readIdleTimeout() const {
  Duration timeout = HttpClientConnection::MaxIdleTime;
  std::string_view text = Response->parser().get()[http::field::keep_alive];
  constexpr std::string_view Name = "timeout=";
  size_t at = text.find(Name);
  if (at == std::string_view::npos)
    return timeout;
  int64_t seconds = 0;
  std::string_view digits = text.substr(at + Name.size());
  std::errc error =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec;
  if (error == std::errc::invalid_argument)
    return timeout;
  // The number is bounded before it becomes a duration, which would overflow.
  int64_t max = HttpClientConnection::MaxIdleTime.count();
  if (error == std::errc::result_out_of_range)
    seconds = digits.starts_with('-') ? 0 : max;
  return std::chrono::seconds(std::clamp<int64_t>(seconds, 0, max)) -
         Init.KeepAliveMargin;
}

void HttpClientCall::complete() {
  bool mayReuse =
      !Options.UsesOwnConnection && isSent() && MayKeepAlive &&
      Connection->Input.size() == 0 &&
      Connection->ResponseKeys.size() < HttpClientConnection::MaxResponseKeys;
  if (mayReuse) {
    Connection->UsableUntil = BootClock::now() + IdleTimeout;
    Pool->put(To, std::exchange(Connection, nullptr));
  }
  finish({});
}

void HttpClientCall::fail(ErrorCode ec, const char *what) {
  std::string detail = toString(To) + ": " + what + ": " + ec.message();
  bool malformed =
      ec.category() ==
          http::make_error_code(http::error::end_of_stream).category() &&
      ec != http::error::end_of_stream && ec != http::error::partial_message;
  if (ec == http::error::buffer_overflow)
    detail = toString(To) + ": chunk extensions or trailer fields too long";
  if (!MayHaveSent)
    return finish({ErrorKind::ServiceUnavailable, std::move(detail)});
  finish({malformed ? ErrorKind::ProtocolError : ErrorKind::ServerLost,
          std::move(detail)});
}

void HttpClientCall::failProtocol(const char *what) {
  finish({ErrorKind::ProtocolError, toString(To) + ": " + what});
}

bool HttpClientCall::skipsTooMuch(size_t n) {
  SkippedBytes += n;
  if (SkippedBytes <= Init.MaxSkippedBytes)
    return false;
  failProtocol("too many bytes that are not the response");
  return true;
}

void HttpClientCall::onTimeout() {
  if (AfterSend)
    return fail(asio::error::timed_out, "request");
  if (!MayHaveSent)
    return finish(
        {ErrorKind::ServiceUnavailable, toString(To) + ": no connection"});
  finish({ErrorKind::DeadlinePassed, toString(To) + ": no answer in time"});
}

void HttpClientCall::finish(const Error &error) {
  if (std::exchange(Finished, true))
    return;
  Timer.cancel();
  if (Connection) {
    ErrorCode ignored;
    // A reset discards what the kernel has not sent yet, which would otherwise
    // arrive once a path that is cut is repaired.
    if (error)
      Connection->Socket.set_option(asio::socket_base::linger(true, 0),
                                    ignored);
    Connection->Socket.close(ignored);
  }
  HttpHooks hooks = std::exchange(Hooks, {});
  if (hooks.Done)
    hooks.Done(error);
  if (Options.HoldsBody)
    Held->remove(BodyBytes);
}

void HttpClientCall::extendDeadline(size_t received) {
  if (!Deadline || ProgressTimeout <= Duration::zero())
    return;
  BytesSinceExtension += received;
  if (BytesSinceExtension < HttpProgressBytes)
    return;
  BytesSinceExtension = 0;
  auto extended = BootClock::now() + ProgressTimeout;
  if (extended <= *Deadline)
    return;
  Deadline = extended;
  armTimer(Duration::max());
}

void HttpClientCall::armTimer(Duration after) {
  auto at = Deadline.value_or(BootClock::time_point::max());
  if (after != Duration::max())
    at = std::min(at, BootClock::now() + after);
  Timer.expires_at(at);
  Timer.async_wait([weak = weak_from_this()](ErrorCode ec) {
    auto self = weak.lock();
    if (self && !ec && BootClock::now() >= self->Timer.expiry())
      self->onTimeout();
  });
}

} // namespace daisytack::net
