#include "net/frame_session.h"

#include "base/digest.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cstring>

namespace daisytack::net {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr size_t ReadChunkBytes = 64U << 10;
/// Per read until the peer has proven that it holds its key.
constexpr size_t UnprovenReadBytes = 1U << 10;
/// A larger input buffer is freed when it is empty.
constexpr size_t MaxRetainedInputBytes = 256U << 10;
/// Time that close() allows for writing the queued frames.
constexpr Duration CloseTimeout{1'000'000};
/// A connection whose peer no longer acknowledges data or keepalive probes is
/// closed after about this time.
constexpr int PeerTimeoutMillis = 10'000;
constexpr int KeepAliveSeconds = 3;

const PeerKey *findKey(const PeerKeys &keys, std::string_view id) {
  for (const PeerKey &key : keys)
    if (key.Id == id)
      return &key;
  return nullptr;
}

void setOption(int fd, int level, int name, int value) {
  ::setsockopt(fd, level, name, &value, sizeof(value));
}

void tuneSocket(int fd) {
  setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveSeconds);
  setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveSeconds);
  setOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, PeerTimeoutMillis);
}

FrameNonce randomNonce() {
  FrameNonce nonce{};
  for (size_t i = 0; i < nonce.size(); i += sizeof(uint64_t)) {
    uint64_t bits = secureRandom();
    std::memcpy(nonce.data() + i, &bits, sizeof(bits));
  }
  return nonce;
}

} // namespace

FrameSession::FrameSession(asio::io_context &io, Socket socket, FrameRole role,
                           PeerKeys keys, FrameHooks hooks)
    : Strand(io.get_executor()), Stream(std::move(socket)), Deadline(io),
      Role(role), Keys(std::move(keys)), Hooks(std::move(hooks)) {}

void FrameSession::connect(const Endpoint &to, Duration timeout) {
  asio::post(Strand, [self = shared_from_this(), to, timeout] {
    self->armDeadline(timeout, "connecting timed out");
    error_code ec;
    auto address = asio::ip::make_address(to.Address, ec);
    if (ec)
      return self->finish({ErrorKind::ServiceUnavailable, "no such address"});
    self->Stream.async_connect(
        {address, to.Port},
        asio::bind_executor(self->Strand, [self](error_code failed) {
          if (failed)
            return self->finish(
                {ErrorKind::ServiceUnavailable, failed.message()});
          self->startHandshake();
        }));
  });
}

void FrameSession::startAccepted(Duration timeout) {
  asio::post(Strand, [self = shared_from_this(), timeout] {
    self->armDeadline(timeout, "handshake timed out");
    self->startHandshake();
  });
}

void FrameSession::armDeadline(Duration timeout, const char *what) {
  Deadline.expires_after(timeout);
  Deadline.async_wait(asio::bind_executor(
      Strand, [weak = weak_from_this(), what](error_code ec) {
        auto self = weak.lock();
        if (self && !ec)
          self->finish({ErrorKind::ServiceUnavailable, what});
      }));
}

void FrameSession::startHandshake() {
  if (State == Phase::Closed)
    return;
  if (Keys.empty())
    return finish({ErrorKind::Unauthenticated, "no peer key is set"});
  tuneSocket(Stream.native_handle());
  OwnHello = {Role, randomNonce(), Keys.front().Id};
  std::string hello = encodeFrameHello(OwnHello);
  appendFrameLength(Output, hello.size());
  Output.append(hello);
  startWrite();
  readMore();
}

void FrameSession::readMore() {
  if (State == Phase::Closed)
    return;
  if (InputBegin == InputEnd) {
    InputBegin = InputEnd = 0;
    if (Input.size() > MaxRetainedInputBytes)
      std::vector<char>().swap(Input);
  }
  size_t chunk = State == Phase::Open ? ReadChunkBytes : UnprovenReadBytes;
  if (InputBegin > 0 && Input.size() - InputEnd < chunk) {
    std::memmove(Input.data(), Input.data() + InputBegin,
                 InputEnd - InputBegin);
    InputEnd -= InputBegin;
    InputBegin = 0;
  }
  if (Input.size() - InputEnd < chunk)
    Input.resize(InputEnd + chunk);
  Stream.async_read_some(
      asio::buffer(Input.data() + InputEnd, Input.size() - InputEnd),
      asio::bind_executor(
          Strand, [self = shared_from_this()](error_code ec, size_t n) {
            if (ec)
              return self->finish({ErrorKind::ServerLost, ec.message()});
            self->onRead(n);
          }));
}

void FrameSession::onRead(size_t n) {
  InputEnd += n;
  while (State != Phase::Closed && processFrame()) {
  }
  readMore();
}

size_t FrameSession::maxFrameBytes() const {
  switch (State) {
  case Phase::Hello:
    return MaxFrameHelloBytes;
  case Phase::Proof:
    return 0;
  case Phase::Open:
  case Phase::Closed:
    break;
  }
  return MaxFrameBytes;
}

bool FrameSession::processFrame() {
  std::string_view input(Input.data() + InputBegin, InputEnd - InputBegin);
  if (input.size() < FrameLengthBytes)
    return false;
  size_t length = readFrameLength(input);
  bool isHello = State == Phase::Hello;
  if (length > maxFrameBytes()) {
    finish({ErrorKind::ProtocolError,
            "frame of " + std::to_string(length) + " bytes"});
    return false;
  }
  size_t total = FrameLengthBytes + length + (isHello ? 0 : FrameMacBytes);
  if (input.size() < total)
    return false;
  std::string_view payload = input.substr(FrameLengthBytes, length);
  InputBegin += total;
  if (isHello) {
    onHello(payload);
    return true;
  }
  std::string_view mac = input.substr(FrameLengthBytes + length, FrameMacBytes);
  if (!ReceiveMac->verify(payload, mac)) {
    finish({ErrorKind::Unauthenticated,
            State == Phase::Proof ? "peer does not hold the key it names"
                                  : "frame was tampered with or repeated"});
    return false;
  }
  onAuthenticated(payload);
  return true;
}

void FrameSession::onHello(std::string_view bytes) {
  Error reason;
  std::optional<FrameHello> peer = decodeFrameHello(bytes, reason);
  if (!peer)
    return finish(reason);
  if (peer->Role == Role)
    return finish({ErrorKind::ProtocolError, "peer plays the same role"});
  const PeerKey *key = findKey(Keys, peer->KeyId);
  if (key == nullptr)
    return finish({ErrorKind::Unauthenticated,
                   "peer signs with a key that is not in the settings"});
  bool connector = Role == FrameRole::Connector;
  const FrameHello &first = connector ? OwnHello : *peer;
  const FrameHello &second = connector ? *peer : OwnHello;
  SendMac = std::make_unique<FrameMac>(
      frameSessionKey(Keys.front().Secret, Role, first, second));
  ReceiveMac = std::make_unique<FrameMac>(
      frameSessionKey(key->Secret, peer->Role, first, second));
  State = Phase::Proof;
  appendSigned({});
  startWrite();
}

void FrameSession::onAuthenticated(std::string_view payload) {
  if (State == Phase::Open) {
    if (Hooks.Frame)
      Hooks.Frame(shared_from_this(), payload);
    return;
  }
  State = Phase::Open;
  IsProven = true;
  if (!CloseRequested)
    Deadline.cancel();
  if (Hooks.Opened)
    Hooks.Opened(shared_from_this());
  flush();
}

void FrameSession::appendSigned(std::string_view payload) {
  FrameMacValue mac = SendMac->sign(payload);
  appendFrameLength(Output, payload.size());
  Output.append(payload);
  Output.append(reinterpret_cast<const char *>(mac.data()), mac.size());
  OutputPayloadBytes += payload.size();
}

void FrameSession::send(std::string frame) {
  {
    std::lock_guard guard(QueueLock);
    if (QueueClosed || frame.size() > MaxFrameBytes)
      return;
    PendingBytes.fetch_add(frame.size(), std::memory_order_relaxed);
    Queue.push_back(std::move(frame));
    if (FlushScheduled)
      return;
    FlushScheduled = true;
  }
  scheduleFlush();
}

void FrameSession::scheduleFlush() {
  asio::post(Strand, [self = shared_from_this()] { self->flush(); });
}

void FrameSession::flush() {
  std::vector<std::string> frames;
  {
    std::lock_guard guard(QueueLock);
    if (State != Phase::Open && State != Phase::Closed)
      return; // onAuthenticated() flushes once the link is open.
    FlushScheduled = false;
    frames.swap(Queue);
  }
  if (State == Phase::Closed)
    return;
  for (const std::string &frame : frames)
    appendSigned(frame);
  startWrite();
}

void FrameSession::startWrite() {
  if (WriteRunning || State == Phase::Closed)
    return;
  if (Output.empty()) {
    if (CloseRequested)
      finish({});
    return;
  }
  WriteBuffer.clear();
  WriteBuffer.swap(Output);
  WritingPayloadBytes = std::exchange(OutputPayloadBytes, 0);
  WriteRunning = true;
  asio::async_write(
      Stream, asio::buffer(WriteBuffer),
      asio::bind_executor(
          Strand, [self = shared_from_this()](error_code ec, size_t /*n*/) {
            self->WriteRunning = false;
            self->PendingBytes.fetch_sub(self->WritingPayloadBytes,
                                         std::memory_order_relaxed);
            if (ec)
              return self->finish({ErrorKind::ServerLost, ec.message()});
            self->startWrite();
          }));
}

void FrameSession::close() {
  {
    std::lock_guard guard(QueueLock);
    QueueClosed = true;
  }
  asio::post(Strand, [self = shared_from_this()] {
    if (self->State == Phase::Closed)
      return;
    if (self->State != Phase::Open)
      return self->finish({});
    self->CloseRequested = true;
    self->armDeadline(CloseTimeout, "peer did not take the last frames");
    self->flush();
  });
}

size_t FrameSession::pendingBytes() const {
  return PendingBytes.load(std::memory_order_relaxed);
}

void FrameSession::finish(const Error &reason) {
  if (State == Phase::Closed)
    return;
  State = Phase::Closed;
  {
    std::lock_guard guard(QueueLock);
    QueueClosed = true;
    Queue.clear();
  }
  Deadline.cancel();
  error_code ignored;
  Stream.shutdown(Socket::shutdown_both, ignored);
  Stream.close(ignored);
  // The hooks may hold references to their owner; release them after the last
  // call.
  FrameHooks hooks = std::exchange(Hooks, {});
  if (hooks.Closed)
    hooks.Closed(shared_from_this(), reason);
}

} // namespace daisytack::net
