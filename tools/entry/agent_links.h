/// Connections to agents: one per agent, opened on demand and closed when idle.
/// Received messages and lost attempts are passed to the hooks.
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

/// Identifies one attempt of a request.
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

/// Called on I/O threads; the calls for one agent are made in order.
struct AgentHooks {
  /// The agent sent a message other than Hello, after its Hello.
  std::function<void(const std::string &server, wire::Message message)> Message;
  /// The connection closed while the attempt was open on it.
  /// `mayBeDelivered` is false if the attempt's message can't have been sent.
  std::function<void(const AttemptKey &attempt, bool mayBeDelivered)>
      AttemptLost;
  /// A frame of the peer couldn't be decoded, or came before its Hello.
  std::function<void(ErrorKind)> MessageRejected;
  wire::HybridClockHooks ClockHooks;
};

struct AgentLinksInit {
  std::string Name; ///< Instance name of this entry.
  Incarnation Process;
  net::PeerKeys Keys;
  Duration ConnectTimeout{500'000};
  Duration IdleTimeout{60'000'000}; ///< Without open attempts.
};

/// Thread-safe.
class AgentLinks {
public:
  AgentLinks(boost::asio::io_context &io, AgentLinksInit init,
             AgentHooks hooks);
  ~AgentLinks();

  /// Sends the first message of an attempt, connecting if necessary. Sets
  /// Offer::Process to the agent's current process. If the link fails before
  /// close() is called for the attempt, calls AgentHooks::AttemptLost.
  void open(const Server &server, const AttemptKey &attempt,
            wire::Message message);
  /// Sends the message if there is a connection; drops it otherwise.
  void send(const std::string &server, const wire::Message &message);
  /// Ends the attempt: AgentHooks::AttemptLost is no longer called for it.
  void close(const std::string &server, const AttemptKey &attempt);
  /// Closes all links. open() must not be called afterwards.
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
  /// For stop(): Links can't be iterated during concurrent insertions and
  /// erasures.
  std::mutex AllLinksLock;
  std::vector<std::weak_ptr<Link>> AllLinks;
};

} // namespace daisytack::entry
