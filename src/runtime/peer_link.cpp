#include "runtime/peer_link.h"

#include "wire/codec.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace daisytack::runtime {

namespace {

using control::Page;
using control::PeerMessage;
using control::Pull;
using control::StateUpdate;

/// Approximate number of bytes that the IP and UDP headers and the seal add to
/// a datagram.
constexpr size_t DatagramOverhead = 28 + 44;
/// Approximate number of bytes that the IP and TCP headers and the seal add to
/// a frame.
constexpr size_t FrameOverhead = 40 + 48;
constexpr Duration ConnectTimeout{1'000'000};
constexpr Duration FetchTimeout{15'000'000};
constexpr size_t MaxFetchedBytes = 128U << 20;
constexpr int BindAttempts = 16;

/// Fetches the state of one peer. Calls done once.
class Fetch : public std::enable_shared_from_this<Fetch> {
public:
  Fetch(const Strand &strand, PeerLink::FetchDone done)
      : Executor(strand), Done(std::move(done)), Timer(Executor) {}

  void start(boost::asio::io_context &io, const Endpoint &to,
             const net::PeerKeys &keys, const Pull &pull,
             std::function<void(size_t)> count) {
    Count = std::move(count);
    auto self = shared_from_this();
    net::FrameHooks hooks;
    hooks.Opened = [](const auto &) {};
    hooks.Frame = [self](const auto &, std::string_view frame) {
      boost::asio::post(self->Executor, [self, bytes = std::string(frame)] {
        self->onPage(bytes);
      });
    };
    hooks.Closed = [self](const auto &, const Error &error) {
      boost::asio::post(self->Executor, [self, error] { self->fail(error); });
    };
    Link = net::connectFrames(io, to, keys, ConnectTimeout, std::move(hooks));
    Link->send(wire::encode(PeerMessage(pull)));
    Timer.expires_after(FetchTimeout);
    Timer.async_wait([self](const boost::system::error_code &ec) {
      if (!ec)
        self->fail({ErrorKind::RequestTimeout, "peer sends too slowly"});
    });
  }

private:
  void onPage(const std::string &frame) {
    Count(frame.size());
    Bytes += frame.size();
    Error reason;
    std::optional<PeerMessage> message =
        wire::decode<PeerMessage>(frame, reason);
    const Page *page = message ? std::get_if<Page>(&*message) : nullptr;
    if (!page || Bytes > MaxFetchedBytes)
      return fail({ErrorKind::ProtocolError, "not a page of bounded size"});
    control::joinPage(Merged, *page);
    if (!page->More)
      finish(std::move(Merged), {});
  }

  void fail(const Error &error) { finish(std::nullopt, error); }

  void finish(std::optional<StateUpdate> merged, const Error &error) {
    if (!Done)
      return;
    Timer.cancel();
    std::exchange(Done, nullptr)(std::move(merged), error);
    Link->close();
  }

  Strand Executor;
  PeerLink::FetchDone Done;
  net::Timer Timer;
  std::function<void(size_t)> Count;
  std::shared_ptr<net::FrameLink> Link;
  StateUpdate Merged;
  size_t Bytes = 0;
};

} // namespace

PeerLink::PeerLink(boost::asio::io_context &io, Strand strand,
                   PeerLinkInit init, PeerLinkHooks hooks)
    : Io(io), Executor(std::move(strand)), Init(std::move(init)),
      Hooks(std::move(hooks)) {}

bool PeerLink::start(Error &reason) {
  // With port 0, the port that the datagram socket gets may be in use for TCP:
  // try again with another one.
  int attempts = Init.Listen.Port == 0 ? BindAttempts : 1;
  for (int i = 0; i < attempts; ++i)
    if (bind(reason))
      return true;
  return false;
}

bool PeerLink::bind(Error &reason) {
  // This object owns the sockets, so their hooks must not hold a strong
  // reference to it.
  std::weak_ptr<PeerLink> weak = weak_from_this();
  Datagrams = std::make_unique<net::DatagramSocket>(
      Io, Init.Listen, Init.Keys, Init.Process,
      [weak](const Endpoint &from, std::string_view payload) {
        if (auto self = weak.lock())
          self->onDatagram(from, payload);
      },
      [weak](ErrorKind kind) {
        if (auto self = weak.lock())
          self->reject(kind);
      });
  if (!Datagrams->start(reason))
    return false;
  Port = Datagrams->port();
  Frames = std::make_unique<net::FrameServer>(
      Io, Endpoint{Init.Listen.Address, Port}, Init.Keys, serverHooks());
  return Frames->start(reason);
}

void PeerLink::stop() {
  Datagrams.reset();
  Frames.reset();
  ServedLinks.clear();
}

void PeerLink::setKeys(net::PeerKeys keys) {
  Init.Keys = keys;
  if (Datagrams)
    Datagrams->setKeys(keys);
  if (Frames)
    Frames->setKeys(std::move(keys));
}

void PeerLink::send(const Endpoint &to, std::string payload) {
  if (!Datagrams)
    return;
  Sent += payload.size() + DatagramOverhead;
  Datagrams->send(to, std::move(payload));
}

void PeerLink::fetch(const Endpoint &to, const Pull &pull, FetchDone done) {
  auto count = [self = shared_from_this()](size_t bytes) {
    self->countReceived(bytes, FrameOverhead);
  };
  std::make_shared<Fetch>(Executor, std::move(done))
      ->start(Io, to, Init.Keys, pull, std::move(count));
}

void PeerLink::onDatagram(const Endpoint &from, std::string_view payload) {
  countReceived(payload.size(), DatagramOverhead);
  Error reason;
  std::optional<PeerMessage> message =
      wire::decode<PeerMessage>(payload, reason);
  if (!message)
    return reject(reason.Kind);
  boost::asio::post(Executor, [self = shared_from_this(), from,
                               message = std::move(*message)] {
    if (self->Datagrams)
      self->Hooks.Message(from, message);
  });
}

net::FrameHooks PeerLink::serverHooks() {
  std::weak_ptr<PeerLink> weak = weak_from_this();
  net::FrameHooks hooks;
  hooks.Opened = [weak](const auto &link) {
    if (auto self = weak.lock())
      self->onOpened(link);
  };
  hooks.Frame = [weak](const auto &link, std::string_view frame) {
    if (auto self = weak.lock())
      self->onPullFrame(link, frame);
  };
  hooks.Closed = [weak](const auto &link, const Error &) {
    if (auto self = weak.lock())
      boost::asio::post(self->Executor,
                        [self, link] { self->ServedLinks.erase(link); });
  };
  return hooks;
}

void PeerLink::onOpened(const std::shared_ptr<net::FrameLink> &link) {
  // A peer closes the connection when it has received everything. One that does
  // not is disconnected after the timeout.
  auto timer = std::make_shared<net::Timer>(Executor, FetchTimeout);
  timer->async_wait(
      [timer, link](const boost::system::error_code &) { link->close(); });
}

void PeerLink::onPullFrame(const std::shared_ptr<net::FrameLink> &link,
                           std::string_view frame) {
  countReceived(frame.size(), FrameOverhead);
  Error reason;
  std::optional<PeerMessage> message = wire::decode<PeerMessage>(frame, reason);
  const Pull *pull = message ? std::get_if<Pull>(&*message) : nullptr;
  if (!pull)
    return link->close();
  boost::asio::post(Executor, [self = shared_from_this(), link, pull = *pull] {
    self->serve(link, pull);
  });
}

void PeerLink::serve(const std::shared_ptr<net::FrameLink> &link,
                     const Pull &pull) {
  if (!Frames || ServedLinks.size() >= MaxServedFetches ||
      !ServedLinks.insert(link).second)
    return link->close();
  for (Page &page : Hooks.Serve(pull)) {
    std::string bytes = wire::encode(PeerMessage(std::move(page)));
    Sent += bytes.size() + FrameOverhead;
    link->send(std::move(bytes));
  }
}

void PeerLink::countReceived(size_t bytes, size_t overhead) {
  Received += bytes + overhead;
}

void PeerLink::reject(ErrorKind kind) {
  boost::asio::post(Executor, [self = shared_from_this(), kind] {
    if (self->Datagrams)
      self->Hooks.Rejected(kind);
  });
}

} // namespace daisytack::runtime
