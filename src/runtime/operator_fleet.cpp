#include "runtime/operator_fleet.h"

#include "base/clock.h"

#include <memory>
#include <mutex>
#include <optional>

namespace daisytack::runtime {

namespace {

/// Sends one request to a list of members. The calls in progress hold
/// references to it.
class FleetRound : public std::enable_shared_from_this<FleetRound> {
public:
  FleetRound(net::HttpClient &client, std::vector<Member> members,
             FleetRequest request, FleetHooks hooks)
      : Client(client), Members(std::move(members)),
        Request(std::move(request)), Hooks(std::move(hooks)),
        EndsAt(monotonicNow() + Request.Deadline) {}

  /// Starts calls up to the concurrency limit and ends the round after the last
  /// reply.
  void pump() {
    while (auto index = claimNext())
      send(*index);
    finishOnce();
  }

private:
  /// Index of the next member; nothing while the concurrency limit is reached,
  /// or if no further member is to be queried.
  std::optional<size_t> claimNext() {
    std::lock_guard guard(Lock);
    bool isOver =
        HasEnough || Next == Members.size() || Running >= Request.MaxAtOnce;
    if (isOver)
      return std::nullopt;
    ++Running;
    return Next++;
  }

  void send(size_t index) {
    Duration left = EndsAt - monotonicNow();
    if (left <= Duration::zero()) {
      onReply(
          index,
          {{ErrorKind::DeadlinePassed, "no time was left to ask it", {}}, {}});
      return;
    }
    auto self = shared_from_this();
    Client.fetch(Request.AddressOf(Members[index]), Request.Http, left,
                 [self, index](const Error &error, net::HttpResponse response) {
                   self->onReply(index, {error, std::move(response)});
                   self->pump();
                 });
  }

  void onReply(size_t index, FleetReply reply) {
    std::lock_guard guard(Lock);
    --Running;
    if (!Hooks.Replied(index, std::move(reply)))
      HasEnough = true;
  }

  void finishOnce() {
    {
      std::lock_guard guard(Lock);
      bool hasMore = Next < Members.size() && !HasEnough;
      if (Running > 0 || hasMore || IsDone)
        return;
      IsDone = true;
    }
    Hooks.Done(Next);
  }

  net::HttpClient &Client;
  std::vector<Member> Members;
  FleetRequest Request;
  FleetHooks Hooks;
  TimePoint EndsAt;
  std::mutex Lock;
  size_t Next = 0;
  size_t Running = 0;
  bool HasEnough = false;
  bool IsDone = false;
};

} // namespace

void sendToFleet(net::HttpClient &client, std::vector<Member> members,
                 FleetRequest request, FleetHooks hooks) {
  std::make_shared<FleetRound>(client, std::move(members), std::move(request),
                               std::move(hooks))
      ->pump();
}

} // namespace daisytack::runtime
