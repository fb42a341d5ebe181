#include "gateway/entry_lease.h"

#include "base/clock.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <utility>

namespace daisytack::gateway {

namespace {

constexpr Duration CallTimeout{1'500'000};
/// Between tries that failed.
constexpr Duration RetryPause{700'000};
/// Renewals in one term: two may be lost.
constexpr int RenewalsPerTerm = 3;
/// For the answer that the lease has ended. The service answers in
/// milliseconds; a process that ends waits for no service that doesn't.
constexpr Duration EndTimeout{200'000};

} // namespace

EntryLease::EntryLease(Strand strand, edge::KvStore store, std::string key,
                       std::string value, Duration term, DecisionLog &log)
    : On(std::move(strand)), Store(std::move(store)), Key(std::move(key)),
      Value(std::move(value)), Term(term), Log(log), Timer(On) {}

void EntryLease::start() {
  boost::asio::post(On, [self = shared_from_this()] { self->grant(); });
}

void EntryLease::stop(std::function<void()> done) {
  boost::asio::dispatch(
      On, [self = shared_from_this(), done = std::move(done)]() mutable {
        self->IsStopped = true;
        self->Timer.cancel();
        self->end(std::move(done));
      });
}

void EntryLease::end(std::function<void()> done) {
  if (Lease == 0)
    return done();
  // The call is only queued here: a process that ended now would not send it,
  // and stay announced until the lease lapses.
  Store.RevokeLease(std::exchange(Lease, 0), EndTimeout,
                    [self = shared_from_this(), done = std::move(done)](
                        const edge::KvLeaseResult &result) {
                      boost::asio::dispatch(self->On, [self, done, result] {
                        self->onEnded(result.Header);
                        done();
                      });
                    });
}

void EntryLease::onEnded(const edge::KvHeader &answer) {
  if (answer.Status == edge::KvStatus::Ok)
    return;
  Log.write(LogWeight::Notable, "entry_lease_left",
            {{"reason", answer.Reason.Detail}}, monotonicNow());
}

void EntryLease::later(Duration pause, void (EntryLease::*step)()) {
  Timer.expires_after(pause);
  Timer.async_wait([weak = weak_from_this(), step](auto ec) {
    auto self = weak.lock();
    if (self && !ec && !self->IsStopped)
      (self.get()->*step)();
  });
}

void EntryLease::grant() {
  Store.GrantLease(
      Term, CallTimeout,
      [self = shared_from_this()](const edge::KvLeaseResult &result) {
        boost::asio::dispatch(self->On, [self, result] {
          if (self->IsStopped)
            return;
          if (result.Header.Status != edge::KvStatus::Ok || result.Lease == 0)
            return self->later(RetryPause, &EntryLease::grant);
          self->Lease = result.Lease;
          self->announce();
        });
      });
}

void EntryLease::announce() {
  edge::KvTransaction write;
  write.Then.push_back({Key, Value, Lease, false});
  Store.Commit(
      std::move(write), CallTimeout,
      [self = shared_from_this()](const edge::KvTransactionResult &result) {
        boost::asio::dispatch(self->On, [self, status = result.Header.Status] {
          if (self->IsStopped)
            return;
          if (status != edge::KvStatus::Ok)
            return self->later(RetryPause, &EntryLease::grant);
          self->Log.write(LogWeight::Notable, "entry_announced",
                          {{"lease", self->Lease}}, monotonicNow());
          self->later(self->Term / RenewalsPerTerm, &EntryLease::keep);
        });
      });
}

void EntryLease::keep() {
  Store.KeepLease(
      Lease, CallTimeout,
      [self = shared_from_this()](const edge::KvLeaseResult &result) {
        boost::asio::dispatch(self->On, [self, result] {
          if (self->IsStopped)
            return;
          bool isOk = result.Header.Status == edge::KvStatus::Ok;
          if (isOk && result.Lease != 0)
            return self->later(self->Term / RenewalsPerTerm, &EntryLease::keep);
          if (!isOk)
            return self->later(RetryPause, &EntryLease::keep);
          self->Log.write(LogWeight::Notable, "entry_lease_lapsed",
                          {{"lease", self->Lease}}, monotonicNow());
          self->grant();
        });
      });
}

} // namespace daisytack::gateway
