/// The part of HttpConnection that writes responses.
#include "net/http_connection.h"

#include "net/problem.h"

#include <boost/asio/dispatch.hpp>
#include <boost/beast/http/status.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace daisytack::net {

namespace {

constexpr size_t MaxBuffersPerWrite = 16;

bool isValidHeader(const HttpHeader &header) {
  return header.Name.find_first_of("\r\n: ") == std::string::npos &&
         header.Value.find_first_of("\r\n") == std::string::npos;
}

std::string encodeChunk(std::string_view data) {
  std::array<char, 20> size{};
  auto end =
      std::to_chars(size.data(), size.data() + size.size(), data.size(), 16)
          .ptr;
  std::string out;
  out.reserve(data.size() + 24);
  out.append(size.data(), end).append("\r\n").append(data).append("\r\n");
  return out;
}

} // namespace

bool HttpConnection::isOpenLocked(uint64_t serial) const {
  return serial == Serial && !Ended && !IsClosed;
}

void HttpConnection::queueLocked(std::string data) {
  PendingBytes += data.size();
  Shared->onBytes(ConnectionBytes::Output, static_cast<int64_t>(data.size()));
  Queued.push_back(std::move(data));
}

void HttpConnection::subtractPending(size_t bytes) {
  PendingBytes -= bytes;
  Shared->onBytes(ConnectionBytes::Output, -static_cast<int64_t>(bytes));
}

std::string HttpConnection::encodeHead(unsigned status,
                                       const std::vector<HttpHeader> &headers,
                                       bool streamed, size_t length) {
  auto reason = http::obsolete_reason(static_cast<http::status>(status));
  std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
  out.append(reason.data(), reason.size()).append("\r\n");
  for (const HttpHeader &header : headers)
    if (isValidHeader(header))
      out.append(header.Name).append(": ").append(header.Value).append("\r\n");
  if (!streamed)
    out.append("Content-Length: ")
        .append(std::to_string(length))
        .append("\r\n");
  else if (Chunked)
    out.append("Transfer-Encoding: chunked\r\n");
  if (!KeepAlive)
    out.append("Connection: close\r\n");
  else if (IsHttp10)
    out.append("Connection: keep-alive\r\n");
  out.append("\r\n");
  return out;
}

void HttpConnection::respond(uint64_t serial, HttpResponse response) {
  {
    std::lock_guard guard(Lock);
    if (!isOpenLocked(serial) || HeadSent)
      return;
    KeepAlive = KeepAlive && !closesAfterResponse();
    std::string out = encodeHead(response.Status, response.Headers, false,
                                 response.Body.size());
    if (!IsHead)
      out += response.Body;
    queueLocked(std::move(out));
    HeadSent = Ended = true;
  }
  scheduleFlush();
}

void HttpConnection::beginStream(uint64_t serial, unsigned status,
                                 std::vector<HttpHeader> headers) {
  {
    std::lock_guard guard(Lock);
    if (!isOpenLocked(serial) || HeadSent)
      return;
    Chunked = !IsHttp10;
    IsCloseDelimited = !Chunked;
    KeepAlive = KeepAlive && Chunked && !closesAfterResponse();
    queueLocked(encodeHead(status, headers, true, 0));
    HeadSent = true;
  }
  scheduleFlush();
}

void HttpConnection::write(uint64_t serial, std::string data) {
  if (data.empty())
    return;
  {
    std::lock_guard guard(Lock);
    if (!isOpenLocked(serial) || !HeadSent || IsHead)
      return;
    if (PendingBytes > Shared->Init.MaxPendingBytes)
      return closeNow();
    queueLocked(Chunked ? encodeChunk(data) : std::move(data));
  }
  scheduleFlush();
}

void HttpConnection::endStream(uint64_t serial) {
  {
    std::lock_guard guard(Lock);
    if (!isOpenLocked(serial) || !HeadSent)
      return;
    if (Chunked && !IsHead)
      queueLocked("0\r\n\r\n");
    Ended = true;
  }
  scheduleFlush();
}

void HttpConnection::abort(uint64_t serial) {
  {
    std::lock_guard guard(Lock);
    if (!isOpenLocked(serial))
      return;
    Ended = Aborted = true;
    KeepAlive = false;
  }
  scheduleFlush();
}

void HttpConnection::abandon(uint64_t serial) {
  bool streaming = false;
  {
    std::lock_guard guard(Lock);
    if (!isOpenLocked(serial))
      return;
    streaming = HeadSent;
  }
  if (streaming)
    return abort(serial);
  respond(serial, problemResponse({ErrorKind::Internal, "no answer was given"},
                                  Outcome::MayHaveRun, RequestId{}));
}

void HttpConnection::setClosedHook(uint64_t serial,
                                   std::function<void()> hook) {
  std::lock_guard guard(Lock);
  if (isOpenLocked(serial))
    ClosedHook = std::move(hook);
}

void HttpConnection::setDrainedHook(uint64_t serial, size_t mark,
                                    std::function<void()> hook) {
  // Destroyed after the lock is released.
  std::function<void()> earlier;
  {
    std::lock_guard guard(Lock);
    if (!isOpenLocked(serial))
      return;
    earlier = std::exchange(DrainedHook, nullptr);
    DrainedMark = mark;
    if (PendingBytes > mark) {
      DrainedHook = std::move(hook);
      return;
    }
  }
  hook();
}

void HttpConnection::scheduleFlush() {
  if (Shared->Closed)
    return; // The I/O context may be destroyed together with the server.
  asio::dispatch(Socket.get_executor(),
                 [self = shared_from_this()] { self->flush(); });
}

void HttpConnection::flush() {
  if (Writing || CurrentState == State::Closed)
    return;
  bool ended = false;
  bool aborted = false;
  bool resets = false;
  // Destroyed after the lock is released.
  std::function<void()> finishedHook;
  std::function<void()> drainedHook;
  {
    std::lock_guard guard(Lock);
    Sending.swap(Queued);
    ended = Ended;
    aborted = Aborted;
    resets = IsCloseDelimited && (!ended || aborted);
    if (ended) {
      finishedHook = std::exchange(ClosedHook, nullptr);
      drainedHook = std::exchange(DrainedHook, nullptr);
    }
  }
  setResetOnClose(resets);
  if (Sending.empty()) {
    if (aborted)
      return close();
    if (ended &&
        (CurrentState == State::Responding || CurrentState == State::Draining))
      onResponseSent();
    return;
  }
  SendIndex = SendOffset = 0;
  Writing = true;
  sendSome();
}

void HttpConnection::setResetOnClose(bool resets) {
  if (std::exchange(ResetsOnClose, resets) == resets)
    return;
  ErrorCode ignored; // The socket may be closed already.
  Socket.set_option(asio::socket_base::linger(resets, 0), ignored);
}

void HttpConnection::sendSome() {
  if (CurrentState == State::Responding)
    setDeadline(Shared->limits()->IdleTimeout);
  std::array<asio::const_buffer, MaxBuffersPerWrite> buffers;
  size_t n = 0;
  for (size_t i = SendIndex; i < Sending.size() && n < buffers.size(); ++i) {
    size_t skip = i == SendIndex ? SendOffset : 0;
    buffers[n++] = asio::buffer(Sending[i]) + skip;
  }
  Socket.async_write_some(
      buffers, [self = shared_from_this()](ErrorCode ec, size_t sent) {
        self->onSent(ec, sent);
      });
}

void HttpConnection::onSent(ErrorCode ec, size_t n) {
  if (CurrentState == State::Closed)
    return;
  if (ec == asio::error::operation_aborted)
    return sendSome(); // onDeadline() cancels to end the pending read only.
  if (ec)
    return close();
  subtractPending(n);
  std::function<void()> drained;
  {
    std::lock_guard guard(Lock);
    if (DrainedHook && PendingBytes <= DrainedMark)
      drained = std::exchange(DrainedHook, nullptr);
  }
  if (drained)
    drained();
  for (SendOffset += n;
       SendIndex < Sending.size() && SendOffset >= Sending[SendIndex].size();
       ++SendIndex)
    SendOffset -= Sending[SendIndex].size();
  if (SendIndex < Sending.size())
    return sendSome();
  Sending.clear();
  Writing = false;
  if (CurrentState == State::Responding)
    Deadline = BootClock::time_point::max();
  flush();
}

void HttpConnection::onResponseSent() {
  bool keep = false;
  {
    std::lock_guard guard(Lock);
    keep = KeepAlive;
  }
  if (CurrentState == State::Responding)
    Shared->UnsentResponses.fetch_sub(1);
  if (keep && CurrentState == State::Responding)
    return nextRequest();
  // Closing a socket with unread input sends a reset, and the peer may then
  // lose a response that is still in transit. The input is therefore discarded
  // first.
  CurrentState = State::Draining;
  setDeadline(DiscardTimeout);
  ErrorCode ignored;
  Socket.shutdown(StrandSocket::shutdown_send, ignored);
  discardInput(MaxDiscardBytes);
}

} // namespace daisytack::net
