/// Connections to agents: one for each, opened on demand and closed when idle.
/// Messages are handed to the attempt that they name.
#pragma once

#include "control/snapshot.h"
#include "net/frame_link.h"
#include "net/timer.h"
#include "wire/messages.h"
#include "wire/stamped.h"

#include <boost/asio/io_context.hpp>
#include <tbb/concurrent_hash_map.h>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace daisytack::entry {

/// One attempt of one request.
struct AttemptKey {
  RequestId Id;
  Attempt AttemptNumber = 0;
  auto operator<=>(const AttemptKey &) const = default;
};

struct AttemptKeyHash {
  size_t operator()(const AttemptKey &key) const {
    return std::hash<Id128>()(key.Id) ^ (size_t{key.AttemptNumber} << 32U);
  }
  static size_t hash(const AttemptKey &key) { return AttemptKeyHash()(key); }
  static bool equal(const AttemptKey &a, const AttemptKey &b) { return a == b; }
};

struct Id128Hash {
  static size_t hash(const Id128 &id) { return std::hash<Id128>()(id); }
  static bool equal(const Id128 &a, const Id128 &b) { return a == b; }
};

/// Called on I/O threads, in order for one agent.
struct AgentHooks {
  /// A message of the agent that the entry meant; any but Hello.
  std::function<void(const std::string &server, wire::Message message)> Message;
  /// The connection broke while the attempt was open on it.
  std::function<void(const AttemptKey &attempt, bool mayBeDelivered)>
      AttemptLost;
  std::function<void(ErrorKind)>
      MessageRejected; ///< A peer's bytes were no message.
  wire::HybridClockHooks ClockHooks;
};

struct AgentLinksInit {
  std::string Name; ///< This entry's instance.
  Incarnation Process;
  net::PeerKeys Keys;
  Duration ConnectTimeout{500'000};
  Duration IdleTimeout{60'000'000};
};

/// Thread-safe.
class AgentLinks {
public:
  AgentLinks(boost::asio::io_context &io, AgentLinksInit init,
             AgentHooks hooks);
  ~AgentLinks();

  /// Sends the first message of an attempt, connecting when needed; an offer is
  /// addressed to the agent's present process. Lost is called for the attempt
  /// unless it is closed first.
  void open(const Server &server, const AttemptKey &attempt,
            wire::Message message);
  /// Sends to the agent if a connection stands; drops the message otherwise.
  void send(const std::string &server, const wire::Message &message);
  /// The attempt no longer waits for the agent.
  void close(const std::string &server, const AttemptKey &attempt);
  /// Closes all links. Nothing may be opened after it.
  void stop();
  size_t size() const { return Links.size(); }

private:
  class Link;
  using LinkMap = tbb::concurrent_hash_map<std::string, std::shared_ptr<Link>>;

  std::shared_ptr<Link> find(const std::string &server) const;
  std::shared_ptr<Link> findOrConnect(const Server &server);
  void drop(const std::string &server, const Link *link);

  boost::asio::io_context &Io;
  AgentLinksInit Init;
  AgentHooks Hooks;
  LinkMap Links;
  /// The map can't be walked while links come and go.
  std::mutex AllLinksLock;
  std::vector<std::weak_ptr<Link>> AllLinks;
};

} // namespace daisytack::entry
