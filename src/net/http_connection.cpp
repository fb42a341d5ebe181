#include "net/http_connection.h"

#include "net/http_input.h"
#include "net/problem.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <utility>

namespace daisytack::net {

namespace {

/// A larger buffer is freed between requests.
constexpr size_t MaxRetainedBufferBytes = 4096;
constexpr std::string_view HeaderEnd = "\r\n\r\n";
/// A read may be shorter than this rather than have the buffer grow.
constexpr size_t MinReadBytes = 512;

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

bool HttpServerShared::closeLongestWaiting() {
  std::shared_ptr<HttpConnection> longest;
  std::optional<HttpConnection::Wait> longestWait;
  for (auto &it : connections()) {
    std::optional<HttpConnection::Wait> wait = it->wait();
    if (!wait || (longestWait && *longestWait <= *wait))
      continue;
    longest = std::move(it);
    longestWait = wait;
  }
  if (longest)
    longest->closeIfWaiting();
  return longest != nullptr;
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
  WaitingSince = BootClock::now();
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

void HttpConnection::closeIfWaiting() {
  WaitingSince = BootClock::time_point::max();
  asio::post(Socket.get_executor(), [self = shared_from_this()] {
    if (self->CurrentState == State::Idle ||
        self->CurrentState == State::Reading)
      self->close();
  });
}

std::optional<HttpConnection::Wait> HttpConnection::wait() const {
  BootClock::time_point since = WaitingSince;
  if (since == BootClock::time_point::max())
    return std::nullopt;
  return Wait{HasSentRequest, since};
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
  Input.setLimit(MaxReadAheadBytes);
  asio::mutable_buffer room = Input.prepare(ShortReadBytes);
  if (room.size() == 0)
    return;
  // After an error nothing is read, and the wait ends with the connection.
  ErrorCode ignored;
  Input.commit(Socket.read_some(room, ignored));
  countInput();
  waitReadable();
}

void HttpConnection::countInput() {
  size_t now = Input.capacity();
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
  ScannedBytes = 0;
  Message = std::make_unique<Reader>(limits->MaxHeaderBytes);
  Message->parser().body_limit(limits->MaxBodyBytes);
  parseHeader();
}

void HttpConnection::parseHeader() {
  std::string_view received = Input.view();
  size_t limit = Message->maxHeadBytes();
  if (received.find(HeaderEnd, ScannedBytes) != std::string_view::npos)
    return onHeader(Message->parseHead(Input));
  if (received.size() >= limit)
    return onHeader(http::error::header_limit);
  ScannedBytes = received.size() - std::min(received.size(), HeaderEnd.size());
  Input.setLimit(limit);
  size_t room = Input.capacity() - Input.size();
  readInput(room < MinReadBytes ? ShortReadBytes
                                : std::min(room, ShortReadBytes),
            &HttpConnection::onHeaderInput);
}

void HttpConnection::readInput(size_t n,
                               void (HttpConnection::*then)(ErrorCode)) {
  readSome(Socket, Input, n, Socket.get_executor(),
           [self = shared_from_this(), then](ErrorCode ec, size_t) {
             if (self->CurrentState != State::Reading)
               return;
             if (ec == asio::error::eof)
               ec = http::error::partial_message;
             (self.get()->*then)(ec);
           });
  countInput();
}

void HttpConnection::onHeaderInput(ErrorCode ec) {
  if (!ec && !TimedOut)
    return parseHeader();
  bool atStart = Input.size() == 0;
  if (ec == http::error::partial_message && atStart)
    ec = http::error::end_of_stream;
  onHeader(ec);
}

void HttpConnection::onHeader(ErrorCode ec) {
  if (CurrentState != State::Reading)
    return;
  if (ec == http::error::end_of_stream)
    return close();
  if (ec || TimedOut)
    return rejectInput(ec);
  auto &parser = Message->parser();
  if (!isFramingValid(parser.get()))
    return rejectInput(http::error::bad_transfer_encoding);
  std::string_view expect = parser.get()[http::field::expect];
  bool isContinueExpected =
      !parser.is_done() && boost::beast::iequals(expect, "100-continue");
  MayKeepAlive = parser.keep_alive();
  // The headers are copied, the body is empty yet.
  Incoming = toRequest(std::move(parser.get()));
  if (!parser.is_done() && Shared->Init.ReserveBody && !reserveBody())
    return;
  setDeadline(Shared->limits()->BodyTimeout);
  if (isContinueExpected) {
    {
      std::lock_guard guard(Lock);
      queueLocked("HTTP/1.1 100 Continue\r\n\r\n");
    }
    flush();
  }
  readBody();
}

bool HttpConnection::reserveBody() {
  std::optional<uint64_t> length;
  if (auto known = Message->parser().content_length())
    length = *known;
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
  auto &parser = Message->parser();
  BodyReservation *room = Incoming->Reservation.get();
  bool isOfKnownLength =
      parser.is_done() || parser.content_length().has_value();
  if (room && !isOfKnownLength &&
      !room->reserve(parser.get().body().size() + Input.capacity()))
    return refuseBody();
  ErrorCode ec = Message->parseBody(Input);
  if (room)
    room->onReceived(parser.get().body().size());
  if (!ec)
    return handleRequest();
  if (ec != http::error::need_more)
    return rejectInput(ec);
  bool isLong = parser.content_length().value_or(0) > LongReadBytes;
  readInput(isLong ? LongReadBytes : ShortReadBytes,
            &HttpConnection::onBodyInput);
}

void HttpConnection::onBodyInput(ErrorCode ec) {
  if (ec || TimedOut)
    return rejectInput(ec);
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
  WaitingSince = BootClock::time_point::max();
  // Returns the room for the body.
  Message.reset();
  Incoming.reset();
  setDeadline(DiscardTimeout);
  respond(serial, std::move(response));
}

void HttpConnection::handleRequest() {
  CurrentState = State::Responding;
  WaitingSince = BootClock::time_point::max();
  HasSentRequest = true;
  Shared->UnsentResponses.fetch_add(1);
  Deadline = BootClock::time_point::max();
  uint64_t serial = 0;
  {
    std::lock_guard guard(Lock);
    serial = ++Serial;
    Ended = HeadSent = false;
    KeepAlive = MayKeepAlive && !closesAfterResponse();
    IsHead = Message->parser().get().method() == http::verb::head;
    IsHttp10 = Message->parser().get().version() < 11;
  }
  HttpRequest request = std::move(*Incoming);
  request.Body = std::move(Message->parser().get().body());
  Incoming.reset();
  request.ConnectionRequestNumber = ++HandledRequests;
  request.ReadTime =
      std::chrono::duration_cast<Duration>(BootClock::now() - ReadingSince);
  Message.reset();
  if (Input.size() == 0 && Input.capacity() > MaxRetainedBufferBytes)
    Input.release();
  countInput();
  Pipelined = Input.size() > 0;
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
  WaitingSince = BootClock::now();
  if (Pipelined || Input.size() > 0) {
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
  Input.clear();
  if (maxBytes == 0)
    return close();
  Input.setLimit(LongReadBytes);
  readSome(Socket, Input, LongReadBytes, Socket.get_executor(),
           [self = shared_from_this(), maxBytes](ErrorCode ec, size_t n) {
             if (ec || self->CurrentState == State::Closed)
               return self->close();
             self->discardInput(maxBytes - std::min(maxBytes, n));
           });
  countInput();
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
  WaitingSince = BootClock::time_point::max();
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
