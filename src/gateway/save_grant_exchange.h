/// Datagrams between entries about saves of kept context
/// (direct/save_grants.h): asks the owners of parts for the permission to have
/// them saved, and answers other entries.
#pragma once

#include "direct/peer_messages.h"
#include "direct/save_grants.h"
#include "gateway/gateway_state.h"
#include "gateway/kv_service_follower.h"
#include "net/timer.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace daisytack::gateway {

struct SaveGrantExchangeSettings {
  /// How long a request waits for the answers of owners. A part whose owner
  /// doesn't answer is not saved this time.
  Duration Timeout{30'000};
  /// How long an owner that didn't answer is not asked.
  Duration SilenceInterval{1'000'000};
  direct::SaveGrantSettings Grants;
  bool operator==(const SaveGrantExchangeSettings &) const = default;
};

/// The answer to one wish to have a part saved.
struct SaveAnswer {
  enum class Kind : uint8_t {
    Granted,
    Needless, ///< Another save of the part may be outstanding, or was made.
    Unknown   ///< The owner can't tell yet, is not known or didn't answer.
  };
  Kind Result = Kind::Unknown;
  direct::PartSave Save;
  Endpoint Owner;
  uint64_t Number = 0; ///< Of the request to the owner.
  bool operator==(const SaveAnswer &) const = default;
};

/// request() and ended() are thread-safe; all other members are called on the
/// strand.
class SaveGrantExchange
    : public std::enable_shared_from_this<SaveGrantExchange> {
public:
  using SendHook =
      std::function<void(const Endpoint &, const direct::PeerMessage &)>;
  using SavesDone = std::function<void(const std::vector<SaveAnswer> &)>;

  SaveGrantExchange(GatewayState &state, Strand strand, SendHook send,
                    SaveGrantExchangeSettings settings);

  /// Asks for permission to have the parts saved by a server that may begin
  /// within `maxWait` and is expected to have read the prompt after `expected`.
  /// Calls `done` once, on the strand, with an answer for each part.
  void request(std::vector<direct::PartSave> saves, Duration maxWait,
               Duration expected, SavesDone done);
  /// The granted save can't begin any more: the server has read the part, or
  /// has not run the request and never will.
  void ended(const SaveAnswer &granted, bool hasBegun);
  void onCatalog();
  /// Call several times a second.
  void onTimer(TimePoint now);
  /// Handles a message about saves; ignores any other.
  void onMessage(const Endpoint &sender, const direct::PeerMessage &message);
  void stop();

private:
  /// One call of request().
  struct Batch {
    Batch(Strand strand, SavesDone done)
        : Done(std::move(done)), Timer(std::move(strand)) {}
    std::vector<SaveAnswer> Answers;
    size_t Missing = 0;
    SavesDone Done;
    net::Timer Timer;
  };
  /// A question of this entry that its owner has not answered.
  struct Unanswered {
    std::shared_ptr<Batch> From;
    size_t Index = 0; ///< Of the answer in the batch.
  };
  /// Questions to this entry about one part.
  struct Collected {
    explicit Collected(const Strand &strand) : Timer(strand) {}
    std::vector<direct::SaveQuestion> Questions;
    net::Timer Timer;
  };
  using PartKey = std::tuple<std::string, std::string, std::string>;

  /// `wish` names the times; its other members are set here.
  void ask(const std::shared_ptr<Batch> &batch, size_t index,
           direct::SaveGrantRequest wish, TimePoint now);
  void onQuestion(const direct::SaveQuestion &question);
  /// Answers the collected questions about a part.
  void answer(const PartKey &part);
  void onAnswer(const Endpoint &sender,
                const direct::SaveGrantResponse &response);
  void onTimeout(const std::shared_ptr<Batch> &batch);
  void finish(const std::shared_ptr<Batch> &batch);
  /// Grants the save or refuses it, and logs that.
  direct::SaveGrantResponse decide(const direct::SaveQuestion &question,
                                   TimePoint now);
  /// Grants the save, or returns why it can't be granted, as in the log.
  std::string_view obstacleTo(const Endpoint &holder,
                              const direct::SaveGrantRequest &request,
                              TimePoint now);
  /// Longest time for which a grant to any store lasts.
  Duration maxGrantTime() const;

  GatewayState &State;
  Strand Executor;
  SendHook Send;
  const SaveGrantExchangeSettings Settings;
  direct::SaveOwner Owner;
  direct::SaveGrants Grants;
  /// Longest time that the requests of any configuration so far may take.
  Duration MaxWait{0};
  uint64_t LastNumber = 0;
  std::map<uint64_t, Unanswered> Questions; ///< By number.
  std::map<PartKey, std::shared_ptr<Collected>> ToAnswer;
  std::map<Endpoint, TimePoint> SilentUntil;
  bool IsStopped = false;
};

} // namespace daisytack::gateway
