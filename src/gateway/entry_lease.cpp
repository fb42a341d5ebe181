#include "gateway/entry_lease.h"

#include "base/clock.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <utility>

namespace daisytack::gateway {

namespace {

constexpr Duration CallTimeout{1'500'000};
/// Pause after a failed call.
constexpr Duration RetryPause{700'000};
/// Renewals per lease term, so that two of them may be lost.
constexpr int RenewalsPerTerm = 3;
/// Timeout of the calls that end the lease and the registration. The service
/// answers in milliseconds; a process that stops does not wait for one that is
/// unreachable.
constexpr Duration RevokeTimeout{200'000};

} // namespace

EntryLease::EntryLease(Strand strand, edge::KvStore store,
                       EntryRecord announcement, EntryRecord registration,
                       Duration term, DecisionLog &log)
    : Executor(std::move(strand)), Store(std::move(store)),
      Announcement(std::move(announcement)),
      Registration(std::move(registration)), Term(term), Log(log),
      Timer(Executor) {}

void EntryLease::start() {
  boost::asio::post(Executor,
                    [self = shared_from_this()] { self->acquireLease(); });
}

void EntryLease::announceAgain() {
  if (IsStopped || !std::exchange(IsAnnounced, false))
    return;
  Log.write(LogPriority::Notable, "entry_announcement_lost", {{"lease", Lease}},
            monotonicNow());
  Timer.cancel();
  announce();
}

void EntryLease::stop(std::function<void()> done) {
  boost::asio::dispatch(Executor,
                        [self = shared_from_this(), done = std::move(done)] {
                          self->IsStopped = true;
                          self->Timer.cancel();
                          // The calls are only queued here. A process that
                          // ended now would not send them and would stay
                          // announced until the lease expires.
                          auto pending = std::make_shared<size_t>(2);
                          std::function<void()> onOneDone = [pending, done] {
                            if (--*pending == 0)
                              done();
                          };
                          self->endLease(onOneDone);
                          self->unregister(onOneDone);
                        });
}

void EntryLease::endLease(const std::function<void()> &done) {
  if (Lease == 0)
    return done();
  Store.RevokeLease(
      std::exchange(Lease, 0), RevokeTimeout,
      [self = shared_from_this(), done](const edge::KvLeaseResult &result) {
        boost::asio::dispatch(self->Executor, [self, done, result] {
          self->logEndFailure(result.Header);
          done();
        });
      });
}

void EntryLease::logEndFailure(const edge::KvHeader &answer) {
  if (answer.Status == edge::KvStatus::Ok)
    return;
  Log.write(LogPriority::Notable, "entry_lease_left",
            {{"reason", answer.Reason.Detail}}, monotonicNow());
}

void EntryLease::unregister(const std::function<void()> &done) {
  if (RegistrationRevision == 0)
    return done();
  // A removal that is applied late must not end the registration of a later
  // process.
  edge::KvTransaction change;
  change.If.push_back({Registration.Key, edge::KvCompare::Target::ModRevision,
                       RegistrationRevision});
  change.Then.push_back({Registration.Key, {}, 0, true});
  Store.Commit(std::move(change), RevokeTimeout,
               [self = shared_from_this(),
                done](const edge::KvTransactionResult &result) {
                 boost::asio::dispatch(self->Executor, [self, done, result] {
                   self->logEndFailure(result.Header);
                   done();
                 });
               });
}

void EntryLease::schedule(Duration pause, void (EntryLease::*step)()) {
  Timer.expires_after(pause);
  Timer.async_wait([weak = weak_from_this(), step](auto ec) {
    auto self = weak.lock();
    if (self && !ec && !self->IsStopped)
      (self.get()->*step)();
  });
}

void EntryLease::acquireLease() {
  Store.GrantLease(
      Term, CallTimeout,
      [self = shared_from_this()](const edge::KvLeaseResult &result) {
        boost::asio::dispatch(self->Executor, [self, result] {
          if (self->IsStopped)
            return;
          if (result.Header.Status != edge::KvStatus::Ok || result.Lease == 0)
            return self->schedule(RetryPause, &EntryLease::acquireLease);
          self->Lease = result.Lease;
          self->announce();
        });
      });
}

void EntryLease::announce() {
  edge::KvTransaction write;
  write.Then.push_back({Announcement.Key, Announcement.Value, Lease, false});
  // The registration is written with each announcement, so that its revision
  // shows that the entry was announced again.
  write.Then.push_back({Registration.Key, Registration.Value, 0, false});
  RegistrationRevision = 0;
  Store.Commit(
      std::move(write), CallTimeout,
      [self = shared_from_this()](const edge::KvTransactionResult &result) {
        boost::asio::dispatch(self->Executor, [self, header = result.Header] {
          if (self->IsStopped)
            return;
          if (header.Status != edge::KvStatus::Ok)
            return self->schedule(RetryPause, &EntryLease::acquireLease);
          self->RegistrationRevision = header.Revision;
          self->IsAnnounced = true;
          self->Log.write(LogPriority::Notable, "entry_announced",
                          {{"lease", self->Lease}}, monotonicNow());
          self->schedule(self->Term / RenewalsPerTerm, &EntryLease::renew);
        });
      });
}

void EntryLease::renew() {
  Store.KeepLease(
      Lease, CallTimeout,
      [self = shared_from_this()](const edge::KvLeaseResult &result) {
        boost::asio::dispatch(self->Executor, [self, result] {
          if (self->IsStopped)
            return;
          bool isOk = result.Header.Status == edge::KvStatus::Ok;
          if (isOk && result.Lease != 0)
            return self->schedule(self->Term / RenewalsPerTerm,
                                  &EntryLease::renew);
          if (!isOk)
            return self->schedule(RetryPause, &EntryLease::renew);
          self->Log.write(LogPriority::Notable, "entry_lease_lapsed",
                          {{"lease", self->Lease}}, monotonicNow());
          self->IsAnnounced = false;
          self->acquireLease();
        });
      });
}

} // namespace daisytack::gateway
