#include "net/http_connection.h"

#include "net/first_chunk.h"
#include "net/http_input.h"
#include "net/problem.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <utility>

namespace daisytack::net {

namespace {

/// A larger buffer is freed between requests.
constexpr size_t MaxRetainedBufferBytes = 4096;
constexpr std::string_view HeaderEnd = "\r\n\r\n";
constexpr size_t HeaderReadBytes = 4096; ///< Per read.
/// A read may be shorter than this rather than have the buffer grow.
constexpr size_t MinReadBytes = 512;
/// Per read of a body that is longer.
constexpr size_t BodyReadBytes = 16U << 10;
/// Input that is read before the response to the earlier request has ended.
constexpr size_t MaxReadAheadBytes = 16U << 10;

class Exchange : public HttpExchange {
public:
  Exchange(std::shared_ptr<HttpConnection> connection, uint64_t serial)
      : Connection(std::move(connection)), Serial(serial) {}
  ~Exchange() override { Connection->abandon(Serial); }
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  void respond(HttpResponse response) override {
    Connection->respond(Serial, std::move(response));
  }
  void beginStream(unsigned status, std::vector<HttpHeader> headers) override {
    Connection->beginStream(Serial, status, std::move(headers));
  }
  void write(std::string data) override {
    Connection->write(Serial, std::move(data));
  }
  void endStream() override { Connection->endStream(Serial); }
  void abort() override { Connection->abort(Serial); }
  size_t pendingBytes() const override { return Connection->pendingBytes(); }
  void onDrained(size_t mark, std::function<void()> hook) override {
    Connection->setDrainedHook(Serial, mark, std::move(hook));
  }
  void onClosed(std::function<void()> hook) override {
    Connection->setClosedHook(Serial, std::move(hook));
  }

private:
  std::shared_ptr<HttpConnection> Connection;
  uint64_t Serial;
};

} // namespace

void HttpServerShared::refuseAfter(BootClock::time_point time) {
  BootClock::time_point known = HandleDeadline.load();
  while (time < known && !HandleDeadline.compare_exchange_weak(known, time)) {
  }
}

HttpResponse
HttpServerShared::lateRequestResponse(const HttpRequest &request) const {
  if (Init.LateRequestResponse)
    return Init.LateRequestResponse(request);
  return problemResponse({ErrorKind::Draining, "this process is stopping"},
                         Outcome::NotRun, RequestId{});
}

Duration HttpServerShared::idleTimeout() const {
  return Stopping ? Init.LateRequestGrace : limits()->IdleTimeout;
}

std::vector<std::shared_ptr<HttpConnection>> HttpServerShared::connections() {
  std::vector<std::shared_ptr<HttpConnection>> out;
  std::lock_guard guard(Lock);
  for (auto &[raw, weak] : Connections)
    if (auto connection = weak.lock())
      out.push_back(std::move(connection));
  return out;
}

HttpConnection::HttpConnection(StrandSocket socket,
                               std::shared_ptr<HttpServerShared> shared)
    : Socket(std::move(socket)), Timer(Socket.get_executor()),
      Shared(std::move(shared)) {
  Shared->OpenConnections.fetch_add(1);
}

HttpConnection::~HttpConnection() {
  subtractPending(PendingBytes);
  Shared->onBytes(ConnectionBytes::Input, -static_cast<int64_t>(CountedInput));
  std::lock_guard guard(Shared->Lock);
  Shared->Connections.erase(this);
  Shared->OpenConnections.fetch_sub(1);
}

void HttpConnection::start() {
  {
    std::lock_guard guard(Shared->Lock);
    Shared->Connections[this] = weak_from_this();
  }
  tuneSocket(Socket);
  asio::dispatch(Socket.get_executor(), [self = shared_from_this()] {
    self->IdleSince = BootClock::now();
    self->setDeadline(self->Shared->idleTimeout());
    self->waitReadable();
  });
}

void HttpConnection::closeWhenIdle() {
  asio::post(Socket.get_executor(), [self = shared_from_this()] {
    if (self->CurrentState == State::Idle)
      self->setDeadline(self->Shared->idleTimeout());
  });
}

void HttpConnection::closeNow() {
  asio::post(Socket.get_executor(),
             [self = shared_from_this()] { self->close(); });
}

void HttpConnection::waitReadable() {
  if (std::exchange(WaitingReadable, true))
    return;
  Socket.async_wait(
      StrandSocket::wait_read,
      [self = shared_from_this()](ErrorCode ec) { self->onReadable(ec); });
}

void HttpConnection::onReadable(ErrorCode ec) {
  WaitingReadable = false;
  // In the other states, the connection is read without waiting first.
  if (CurrentState != State::Idle && CurrentState != State::Responding)
    return;
  if (ec)
    return close();
  if (CurrentState == State::Idle)
    return startRequest();
  switch (probePeer(Socket)) {
  case PeerState::NoData:
    return waitReadable();
  case PeerState::HasData:
    return readAhead();
  case PeerState::Closed:
    return onPeerHalfClosed();
  }
}

void HttpConnection::readAhead() {
  Pipelined = true;
  if (Buffer.size() >= MaxReadAheadBytes)
    return;
  // After an error nothing is read, and the wait ends with the connection.
  ErrorCode ignored;
  Buffer.commit(Socket.read_some(Buffer.prepare(HeaderReadBytes), ignored));
  countInput();
  waitReadable();
}

void HttpConnection::countInput() {
  size_t now = Buffer.capacity();
  size_t before = std::exchange(CountedInput, now);
  Shared->onBytes(ConnectionBytes::Input,
                  static_cast<int64_t>(now) - static_cast<int64_t>(before));
}

void HttpConnection::startRequest() {
  CurrentState = State::Reading;
  ReadingSince = BootClock::now();
  TimedOut = false;
  Pipelined = false;
  auto limits = Shared->limits();
  setDeadline(limits->HeaderTimeout);
  Input = std::make_unique<Parser>();
  Input->header_limit(static_cast<uint32_t>(limits->MaxHeaderBytes));
  Input->body_limit(limits->MaxBodyBytes);
  parseHeader();
}

void HttpConnection::parseHeader() {
  std::string_view received(static_cast<const char *>(Buffer.data().data()),
                            Buffer.size());
  size_t limit = Shared->limits()->MaxHeaderBytes;
  size_t end = received.find(HeaderEnd);
  if (end != std::string_view::npos) {
    if (hasFoldedLine(received.substr(0, end)))
      return onHeader(http::error::bad_value);
    ErrorCode ec;
    Buffer.consume(Input->put(Buffer.data(), ec));
    if (ec == http::error::need_more)
      ec = {};
    return onHeader(ec);
  }
  if (received.size() >= limit)
    return onHeader(http::error::header_limit);
  // The buffer doubles when it grows: for a head just below the limit, it would
  // take twice the limit.
  size_t room = Buffer.capacity() - Buffer.size();
  auto space = Buffer.prepare(
      room < MinReadBytes ? HeaderReadBytes : std::min(room, HeaderReadBytes));
  countInput();
  Socket.async_read_some(space, [self = shared_from_this()](ErrorCode ec,
                                                            size_t n) {
    self->Buffer.commit(n);
    if (self->CurrentState != State::Reading)
      return;
    if (!ec && !self->TimedOut)
      return self->parseHeader();
    bool atStart = self->Buffer.size() == 0;
    if (ec == asio::error::eof)
      ec = atStart ? http::error::end_of_stream : http::error::partial_message;
    self->onHeader(ec);
  });
}

void HttpConnection::onHeader(ErrorCode ec) {
  if (CurrentState != State::Reading)
    return;
  if (ec == http::error::end_of_stream)
    return close();
  if (ec || TimedOut)
    return rejectInput(ec);
  if (!isFramingValid(Input->get()))
    return rejectInput(http::error::bad_transfer_encoding);
  if (!Input->is_done() && Shared->Init.ReserveBody && !reserveBody())
    return;
  setDeadline(Shared->limits()->BodyTimeout);
  std::string_view expect = Input->get()[http::field::expect];
  if (!Input->is_done() && boost::beast::iequals(expect, "100-continue")) {
    {
      std::lock_guard guard(Lock);
      queueLocked("HTTP/1.1 100 Continue\r\n\r\n");
    }
    flush();
  }
  Input->eager(true);
  if (Input->content_length().value_or(0) > BodyReadBytes)
    Buffer.reserve(BodyReadBytes);
  readFirstChunk();
}

void HttpConnection::readFirstChunk() {
  if (!needsMoreForFirstChunk(*Input, Buffer.size()))
    return readBody();
  asio::async_read(Socket, Buffer.prepare(HeaderReadBytes),
                   asio::transfer_at_least(MinChunkedBodyBytes - Buffer.size()),
                   [self = shared_from_this()](ErrorCode ec, size_t n) {
                     self->Buffer.commit(n);
                     if (self->CurrentState != State::Reading)
                       return;
                     if (ec == asio::error::eof)
                       ec = http::error::partial_message;
                     if (ec || self->TimedOut)
                       return self->rejectInput(ec);
                     self->readBody();
                   });
  countInput();
}

bool HttpConnection::reserveBody() {
  std::optional<uint64_t> length;
  if (Input->content_length())
    length = *Input->content_length();
  // The headers are copied, the body is empty yet.
  Incoming = toRequest(std::move(Input->get()));
  Incoming->Reservation = Shared->Init.ReserveBody(*Incoming, length);
  if (Incoming->Reservation)
    return true;
  refuseBody();
  return false;
}

void HttpConnection::refuseBody() {
  respondToInput(Shared->Init.RefusedBodyResponse(*Incoming));
}

void HttpConnection::readBody() {
  if (Input->is_done())
    return handleRequest();
  bool isOfKnownLength = Input->content_length().has_value();
  if (Incoming && !isOfKnownLength &&
      !Incoming->Reservation->reserve(Input->get().body().size() +
                                      Buffer.capacity()))
    return refuseBody();
  http::async_read_some(
      Socket, Buffer, *Input,
      [self = shared_from_this()](ErrorCode ec, size_t) { self->onBody(ec); });
}

void HttpConnection::onBody(ErrorCode ec) {
  if (CurrentState != State::Reading)
    return;
  if (ec || TimedOut)
    return rejectInput(ec);
  if (Incoming)
    Incoming->Reservation->onReceived(Input->get().body().size());
  readBody();
}

void HttpConnection::rejectInput(ErrorCode ec) {
  bool isParserError =
      ec.category() ==
      http::make_error_code(http::error::end_of_stream).category();
  if (!isParserError && !TimedOut)
    return close();
  respondToInput(
      problemResponse(inputError(ec, TimedOut), Outcome::NotRun, RequestId{}));
}

void HttpConnection::respondToInput(HttpResponse response) {
  uint64_t serial = 0;
  {
    std::lock_guard guard(Lock);
    serial = ++Serial;
    Ended = HeadSent = KeepAlive = IsHead = false;
  }
  CurrentState = State::Draining;
  // Returns the room for the body.
  Input.reset();
  Incoming.reset();
  setDeadline(DiscardTimeout);
  respond(serial, std::move(response));
}

void HttpConnection::handleRequest() {
  CurrentState = State::Responding;
  Shared->UnsentResponses.fetch_add(1);
  Deadline = BootClock::time_point::max();
  uint64_t serial = 0;
  {
    std::lock_guard guard(Lock);
    serial = ++Serial;
    Ended = HeadSent = false;
    KeepAlive = Input->keep_alive() && !closesAfterResponse();
    IsHead = Input->get().method() == http::verb::head;
    IsHttp10 = Input->get().version() < 11;
  }
  HttpRequest request;
  if (Incoming) {
    request = std::move(*Incoming);
    request.Body = std::move(Input->get().body());
    Incoming.reset();
  } else {
    request = toRequest(Input->release());
  }
  request.ConnectionRequestNumber = ++HandledRequests;
  request.ReadTime =
      std::chrono::duration_cast<Duration>(BootClock::now() - ReadingSince);
  Input.reset();
  if (Buffer.size() == 0 && Buffer.capacity() > MaxRetainedBufferBytes)
    Buffer = {};
  countInput();
  Pipelined = Buffer.size() > 0;
  waitReadable();
  auto exchange = std::make_shared<Exchange>(shared_from_this(), serial);
  // Checked for each request: a busy connection may become idle and receive
  // another request long after the idle connections were closed.
  if (Shared->Closed)
    return;
  if (BootClock::now() > Shared->HandleDeadline.load())
    exchange->respond(Shared->lateRequestResponse(request));
  else
    Shared->Handler(std::move(request), std::move(exchange));
}

void HttpConnection::nextRequest() {
  CurrentState = State::Idle;
  if (Pipelined || Buffer.size() > 0) {
    // Posted instead of called, so that pipelined requests can't grow the
    // stack.
    asio::post(Socket.get_executor(), [self = shared_from_this()] {
      if (self->CurrentState == State::Idle)
        self->startRequest();
    });
    return;
  }
  IdleSince = BootClock::now();
  setDeadline(Shared->idleTimeout());
  waitReadable();
}

void HttpConnection::discardInput(size_t maxBytes) {
  Buffer.clear();
  if (maxBytes == 0)
    return close();
  auto space = Buffer.prepare(BodyReadBytes);
  countInput();
  Socket.async_read_some(
      space, [self = shared_from_this(), maxBytes](ErrorCode ec, size_t n) {
        if (ec || self->CurrentState == State::Closed)
          return self->close();
        self->discardInput(maxBytes - std::min(maxBytes, n));
      });
}

void HttpConnection::onPeerHalfClosed() {
  std::function<void()> hook;
  uint64_t serial = 0;
  bool mayRespond = false;
  {
    std::lock_guard guard(Lock);
    if (!Ended)
      hook = std::exchange(ClosedHook, nullptr);
    KeepAlive = false;
    serial = Serial;
    mayRespond = !HeadSent;
  }
  // A peer that only closed its sending side can still read why its request was
  // cancelled.
  if (mayRespond)
    respond(serial,
            problemResponse({ErrorKind::Cancelled,
                             "the connection was closed for sending before "
                             "the answer; keep it open until then"},
                            Outcome::MayHaveRun, RequestId{}));
  if (hook)
    hook();
  bool ended = false;
  {
    std::lock_guard guard(Lock);
    ended = Ended;
  }
  if (!ended)
    close();
}

void HttpConnection::close() {
  State before = std::exchange(CurrentState, State::Closed);
  if (before == State::Closed)
    return;
  if (before == State::Responding)
    Shared->UnsentResponses.fetch_sub(1);
  std::function<void()> hook;
  std::function<void()> drained;
  {
    std::lock_guard guard(Lock);
    IsClosed = true;
    if (!Ended)
      hook = std::move(ClosedHook);
    ClosedHook = nullptr;
    // May hold what the closed hook refers to.
    drained = std::move(DrainedHook);
    DrainedHook = nullptr;
    Queued.clear();
    subtractPending(PendingBytes);
  }
  ErrorCode ignored;
  Socket.close(ignored);
  Timer.cancel();
  if (hook)
    hook();
}

void HttpConnection::setDeadline(Duration fromNow) {
  Deadline = BootClock::now() + fromNow;
  if (Deadline < TimerExpiry)
    armTimer();
}

void HttpConnection::armTimer() {
  TimerExpiry = Deadline;
  Timer.expires_at(TimerExpiry);
  Timer.async_wait([weak = weak_from_this()](ErrorCode ec) {
    auto self = weak.lock();
    if (!self || ec)
      return;
    self->TimerExpiry = BootClock::time_point::max();
    if (self->Deadline == BootClock::time_point::max())
      return;
    if (BootClock::now() < self->Deadline)
      return self->armTimer();
    self->onDeadline();
  });
}

void HttpConnection::onDeadline() {
  if (CurrentState == State::Idle && !Shared->Stopping) {
    // The idle timeout may have been raised since the timer was set.
    Deadline = IdleSince + Shared->limits()->IdleTimeout;
    if (BootClock::now() < Deadline)
      return armTimer();
  }
  if (CurrentState != State::Reading || TimedOut)
    return close();
  // Cancels the pending read; its handler then responds with status 408.
  TimedOut = true;
  ErrorCode ignored;
  Socket.cancel(ignored);
}

} // namespace daisytack::net
