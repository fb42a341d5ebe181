#include "agent_links.h"

#include "base/clock.h"
#include "wire/codec.h"

#include <utility>

namespace daisytack::entry {

/// Connection to one agent. Messages are queued until the agent's Hello has
/// named the expected instance: another instance that reuses the address must
/// not receive them.
class AgentLinks::Link : public std::enable_shared_from_this<AgentLinks::Link> {
public:
  Link(AgentLinks &owner, std::string name)
      : Owner(owner), Name(std::move(name)), LastUsed(monotonicNow()),
        IdleTimer(owner.Io) {}

  void connect(const Endpoint &to) {
    net::FrameHooks hooks;
    hooks.Frame = [self = shared_from_this()](const auto &link,
                                              std::string_view frame) {
      self->onFrame(link, frame);
    };
    hooks.Closed = [self = shared_from_this()](const auto &, const Error &) {
      self->onClosed();
    };
    std::shared_ptr<net::FrameLink> transport =
        net::connectFrames(Owner.Io, to, Owner.Init.Keys,
                           Owner.Init.ConnectTimeout, std::move(hooks));
    transport->send(
        pack(wire::Message(wire::Hello{Owner.Init.Name, Owner.Init.Process})));
    {
      std::lock_guard guard(Lock);
      if (!Closed && !Transport)
        Transport = std::move(transport);
    }
    watchIdle();
  }

  /// Returns false and leaves the message unchanged if the link is closed.
  bool open(const AttemptKey &attempt, wire::Message &message, TimePoint now) {
    std::lock_guard guard(Lock);
    if (Closed)
      return false;
    LastUsed = now;
    OpenAttempts.insert(attempt);
    sendLocked(std::move(message));
    return true;
  }

  void send(const wire::Message &message) {
    std::lock_guard guard(Lock);
    if (!Closed)
      sendLocked(message);
  }

  void close(const AttemptKey &attempt, TimePoint now) {
    std::lock_guard guard(Lock);
    OpenAttempts.erase(attempt);
    LastUsed = now;
  }

  bool isClosed() const {
    std::lock_guard guard(Lock);
    return Closed;
  }

  void closeTransport() {
    std::shared_ptr<net::FrameLink> transport;
    {
      std::lock_guard guard(Lock);
      transport = Transport;
    }
    if (transport)
      transport->close();
  }

private:
  /// Called with Lock held. Only queues the message; does no I/O.
  void sendLocked(wire::Message message) {
    if (!Process) {
      PendingMessages.push_back(std::move(message));
      return;
    }
    if (auto *offer = std::get_if<wire::Offer>(&message))
      offer->Process = *Process;
    Transport->send(pack(message));
  }

  std::string pack(const wire::Message &message) const {
    return wire::prependTimestamp(Owner.Hooks.ClockHooks,
                                  wire::encode(message));
  }

  std::optional<wire::Message> unpack(std::string_view frame,
                                      Error &reason) const {
    auto bytes = wire::stripTimestamp(Owner.Hooks.ClockHooks, frame, reason);
    if (!bytes)
      return std::nullopt;
    return wire::decode<wire::Message>(*bytes, reason);
  }

  void onFrame(const std::shared_ptr<net::FrameLink> &link,
               std::string_view frame) {
    // Frames that were already received come in after close().
    if (IsRejected)
      return;
    Error reason;
    std::optional<wire::Message> message = unpack(frame, reason);
    if (!message)
      return reject(link, reason.Kind);
    if (const auto *hello = std::get_if<wire::Hello>(&*message)) {
      if (!onHello(link, *hello)) {
        IsRejected = true;
        link->close();
      }
      return;
    }
    if (!isIdentified())
      return reject(link, ErrorKind::ProtocolError);
    Owner.Hooks.Message(Name, std::move(*message));
  }

  void reject(const std::shared_ptr<net::FrameLink> &link, ErrorKind reason) {
    IsRejected = true;
    Owner.Hooks.MessageRejected(reason);
    link->close();
  }

  bool isIdentified() const {
    std::lock_guard guard(Lock);
    return Process.has_value();
  }

  bool onHello(const std::shared_ptr<net::FrameLink> &link,
               const wire::Hello &hello) {
    if (hello.Instance != Name)
      return false;
    std::lock_guard guard(Lock);
    Transport = link;
    Process = hello.Process;
    for (wire::Message &message : PendingMessages)
      sendLocked(std::move(message));
    PendingMessages.clear();
    return true;
  }

  void onClosed() {
    std::unordered_set<AttemptKey, AttemptKeyHash> open;
    bool mayBeDelivered = false;
    {
      std::lock_guard guard(Lock);
      Closed = true;
      open.swap(OpenAttempts);
      mayBeDelivered = Process.has_value();
      Transport.reset();
      PendingMessages.clear();
    }
    Owner.drop(Name, this);
    for (const AttemptKey &attempt : open)
      Owner.Hooks.AttemptLost(attempt, mayBeDelivered);
  }

  void watchIdle() {
    IdleTimer.expires_after(Owner.Init.IdleTimeout);
    IdleTimer.async_wait(
        [weak = weak_from_this()](const boost::system::error_code &ec) {
          auto self = weak.lock();
          if (!self || ec || self->isClosed())
            return;
          if (self->isIdle())
            return self->closeTransport();
          self->watchIdle();
        });
  }

  bool isIdle() const {
    std::lock_guard guard(Lock);
    return OpenAttempts.empty() &&
           monotonicNow() - LastUsed > Owner.Init.IdleTimeout;
  }

  AgentLinks &Owner;
  const std::string Name;
  mutable std::mutex Lock;
  std::shared_ptr<net::FrameLink> Transport;
  std::optional<Incarnation> Process; ///< Of the agent; empty before its Hello.
  bool Closed = false;
  bool IsRejected = false; ///< By onFrame(), which alone uses it.
  std::vector<wire::Message> PendingMessages;
  std::unordered_set<AttemptKey, AttemptKeyHash> OpenAttempts;
  TimePoint LastUsed;
  net::Timer IdleTimer;
};

AgentLinks::AgentLinks(boost::asio::io_context &io, AgentLinksInit init,
                       AgentHooks hooks)
    : Io(io), Init(std::move(init)), Hooks(std::move(hooks)) {}

AgentLinks::~AgentLinks() = default;

std::shared_ptr<AgentLinks::Link>
AgentLinks::find(const std::string &server) const {
  LinkMap::const_accessor it;
  return Links.find(it, server) ? it->second : nullptr;
}

std::shared_ptr<AgentLinks::Link>
AgentLinks::findOrConnect(const Server &server) {
  std::shared_ptr<Link> link;
  {
    LinkMap::accessor it;
    if (!Links.insert(it, server.Name) && !it->second->isClosed())
      return it->second;
    link = std::make_shared<Link>(*this, server.Name);
    it->second = link;
  }
  {
    std::lock_guard guard(AllLinksLock);
    std::erase_if(AllLinks, [](const auto &it) { return it.expired(); });
    AllLinks.push_back(link);
  }
  link->connect(server.Work);
  return link;
}

void AgentLinks::drop(const std::string &server, const Link *link) {
  LinkMap::accessor it;
  if (Links.find(it, server) && it->second.get() == link)
    Links.erase(it);
}

void AgentLinks::open(const Server &server, const AttemptKey &attempt,
                      wire::Message message) {
  // A link that closed since the look-up is replaced once. If the replacement
  // is closed too, the attempt is reported as lost.
  for (int i = 0; i < 2; ++i)
    if (findOrConnect(server)->open(attempt, message, monotonicNow()))
      return;
  Hooks.AttemptLost(attempt, false);
}

void AgentLinks::send(const std::string &server, const wire::Message &message) {
  if (std::shared_ptr<Link> link = find(server))
    link->send(message);
}

void AgentLinks::close(const std::string &server, const AttemptKey &attempt) {
  if (std::shared_ptr<Link> link = find(server))
    link->close(attempt, monotonicNow());
}

void AgentLinks::stop() {
  std::vector<std::weak_ptr<Link>> all;
  {
    std::lock_guard guard(AllLinksLock);
    all.swap(AllLinks);
  }
  for (const auto &it : all)
    if (std::shared_ptr<Link> link = it.lock())
      link->closeTransport();
}

} // namespace daisytack::entry
