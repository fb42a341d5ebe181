#include "ticket_client.h"

#include "base/clock.h"
#include "base/digest.h"
#include "ticket_fetch.h"

#include <utility>

namespace daisytack::entry {

namespace {

constexpr Duration KvTimeout{2'000'000};
constexpr Duration KvRetryAfter{1'000'000};

TicketResult failedResult(Error reason) {
  if (reason.RetryAfter.count() == 0)
    reason.RetryAfter = KvRetryAfter;
  return {std::move(reason), {}, {}};
}

} // namespace

/// State of one submission while its idempotency key is bound to a ticket.
struct TicketClient::Binding {
  BindRequest Request;
  std::optional<KeyBinding> KeySteps;
  TicketDone Done;
};

TicketClient::TicketClient(EntryState &state, edge::KvStore kv)
    : State(state), Kv(std::move(kv)),
      Budget({state.Options.BindingsPerSecond, state.Options.BindingBurst}),
      Lease(BindingLeaseInit()) {}

void TicketClient::fetch(const CallerTicketRequest &request, TicketDone done) {
  std::make_shared<TicketFetch>(State, request, std::move(done))->start();
}

void TicketClient::bindKey(const CallerTicketRequest &request,
                           const std::string &key, TicketDone done) {
  Error reason;
  {
    std::lock_guard guard(Lock);
    Budget.take(monotonicNow(), reason);
  }
  if (reason)
    return done(failedResult(std::move(reason)));
  auto binding = std::make_shared<Binding>();
  binding->Request.Organisation = request.Organisation;
  binding->Request.IdempotencyKey = key;
  binding->Request.WriterId = randomId(secureRandom);
  binding->Done = std::move(done);
  fetch(request, [this, binding](TicketResult issued) {
    if (issued.Reason)
      return binding->Done(std::move(issued));
    binding->Request.Ticket = std::move(issued.Ticket);
    ensureLease(binding);
  });
}

void TicketClient::ensureLease(const std::shared_ptr<Binding> &binding) {
  TimePoint now = monotonicNow();
  std::optional<uint64_t> lease;
  Duration timeToLive;
  {
    std::lock_guard guard(Lock);
    lease = Lease.current(now);
    timeToLive = Lease.settings().TimeToLive;
  }
  if (lease) {
    binding->Request.Lease = *lease;
    binding->KeySteps.emplace(binding->Request);
    return performStep(binding, binding->KeySteps->start());
  }
  Kv.GrantLease(timeToLive, KvTimeout,
                [this, binding, now](const edge::KvLeaseResult &granted) {
                  if (granted.Header.Status != edge::KvStatus::Ok)
                    return binding->Done(failedResult(
                        {ErrorKind::ServiceUnavailable,
                         "the key can't be bound while the service is down"}));
                  {
                    std::lock_guard guard(Lock);
                    Lease.granted(granted.Lease, now);
                  }
                  ensureLease(binding);
                });
}

void TicketClient::performStep(const std::shared_ptr<Binding> &binding,
                               BindStep step) {
  if (auto *write = std::get_if<edge::KvTransaction>(&step)) {
    Kv.Commit(std::move(*write), KvTimeout,
              [this, binding](const edge::KvTransactionResult &result) {
                performStep(binding, binding->KeySteps->onCommit(result));
              });
  } else if (auto *read = std::get_if<edge::KvRange>(&step)) {
    Kv.Range(std::move(*read), KvTimeout,
             [this, binding](const edge::KvRangeResult &result) {
               performStep(binding, binding->KeySteps->onRange(result));
             });
  } else if (auto *bound = std::get_if<KeyBound>(&step)) {
    binding->Done({{}, std::move(bound->Ticket), {}});
  } else if (auto *refusal = std::get_if<KeyRefused>(&step)) {
    binding->Done(failedResult(std::move(refusal->Reason)));
  }
}

} // namespace daisytack::entry
