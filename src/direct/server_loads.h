/// What one entry knows of each backend server's load and health from its own
/// requests.
#pragma once

#include "daisytack/types.h"

#include <map>
#include <mutex>
#include <string>

namespace daisytack::direct {

struct ServerLoadSettings {
  /// A server that has said nothing for so long while an answer is due is
  /// avoided: several times the longest usual wait for a first token.
  Duration SilenceLimit{1'200'000};
  /// After a server turned a request away, it is avoided for so long.
  Duration RejectPause{250'000};
  bool operator==(const ServerLoadSettings &) const = default;
};

/// Of one server, at one moment.
struct ServerLoadView {
  uint32_t Running = 0;       ///< Requests of this entry.
  uint64_t PrefillTokens = 0; ///< Of those without a first byte.
  bool IsAvoided = false;     ///< Silent, or turned a request away just now.
  auto operator<=>(const ServerLoadView &) const = default;
};

/// Thread-safe.
class ServerLoads {
public:
  explicit ServerLoads(ServerLoadSettings settings) : Settings(settings) {}

  void onSent(const std::string &server, uint64_t prefillTokens, TimePoint now);
  /// Any byte came from the server.
  void onHeard(const std::string &server, TimePoint now);
  /// The first byte of an answer: its prefill is over.
  void onFirstByte(const std::string &server, uint64_t prefillTokens,
                   TimePoint now);
  /// The attempt is over; prefillTokens if no byte of it ever came.
  void onEnded(const std::string &server, uint64_t prefillTokens,
               TimePoint now);
  void onTurnedAway(const std::string &server, TimePoint now);
  /// The server is taking new weights and turns requests away until then.
  void avoidUntil(const std::string &server, TimePoint until);
  /// It has taken them.
  void onLoaded(const std::string &server);

  ServerLoadView view(const std::string &server, TimePoint now) const;
  /// Forgets servers without running requests that were not used since.
  void forgetIdle(TimePoint usedBefore);

private:
  struct State {
    uint32_t Running = 0;
    uint64_t PrefillTokens = 0;
    TimePoint LastHeard; ///< Or when it was first asked after a quiet time.
    TimePoint LastUsed;
    TimePoint AvoidUntil;
  };

  ServerLoadSettings Settings;
  mutable std::mutex Lock;
  std::map<std::string, State> Servers;
};

} // namespace daisytack::direct
