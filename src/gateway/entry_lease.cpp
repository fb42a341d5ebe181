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

EntryLease::EntryLease(Strand strand, edge::KvStore store,
                       EntryRecord announcement, EntryRecord registration,
                       Duration term, DecisionLog &log)
    : On(std::move(strand)), Store(std::move(store)),
      Announcement(std::move(announcement)),
      Registration(std::move(registration)), Term(term), Log(log), Timer(On) {}

void EntryLease::start() {
  boost::asio::post(On, [self = shared_from_this()] { self->grant(); });
}

void EntryLease::announceAgain() {
  if (IsStopped || !std::exchange(IsAnnounced, false))
    return;
  Log.write(LogWeight::Notable, "entry_announcement_lost", {{"lease", Lease}},
            monotonicNow());
  Timer.cancel();
  announce();
}

void EntryLease::stop(std::function<void()> done) {
  boost::asio::dispatch(On,
                        [self = shared_from_this(), done = std::move(done)] {
                          self->IsStopped = true;
                          self->Timer.cancel();
                          // Calls are only queued here: a process that ended
                          // now would not send them, and stay announced until
                          // the lease lapses.
                          auto open = std::make_shared<size_t>(2);
                          std::function<void()> doneOnce = [open, done] {
                            if (--*open == 0)
                              done();
                          };
                          self->endLease(doneOnce);
                          self->unregister(doneOnce);
                        });
}

void EntryLease::endLease(const std::function<void()> &done) {
  if (Lease == 0)
    return done();
  Store.RevokeLease(
      std::exchange(Lease, 0), EndTimeout,
      [self = shared_from_this(), done](const edge::KvLeaseResult &result) {
        boost::asio::dispatch(self->On, [self, done, result] {
          self->noteEnded(result.Header);
          done();
        });
      });
}

void EntryLease::noteEnded(const edge::KvHeader &answer) {
  if (answer.Status == edge::KvStatus::Ok)
    return;
  Log.write(LogWeight::Notable, "entry_lease_left",
            {{"reason", answer.Reason.Detail}}, monotonicNow());
}

void EntryLease::unregister(const std::function<void()> &done) {
  if (Registered == 0)
    return done();
  // Carried out late, it must not end that of a process after this one.
  edge::KvTransaction change;
  change.If.push_back(
      {Registration.Key, edge::KvCompare::Target::ModRevision, Registered});
  change.Then.push_back({Registration.Key, {}, 0, true});
  Store.Commit(std::move(change), EndTimeout,
               [self = shared_from_this(),
                done](const edge::KvTransactionResult &result) {
                 boost::asio::dispatch(self->On, [self, done, result] {
                   self->noteEnded(result.Header);
                   done();
                 });
               });
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
  write.Then.push_back({Announcement.Key, Announcement.Value, Lease, false});
  // Anew each time: its revision tells that the entry was listed once more.
  write.Then.push_back({Registration.Key, Registration.Value, 0, false});
  Registered = 0;
  Store.Commit(
      std::move(write), CallTimeout,
      [self = shared_from_this()](const edge::KvTransactionResult &result) {
        boost::asio::dispatch(self->On, [self, header = result.Header] {
          if (self->IsStopped)
            return;
          if (header.Status != edge::KvStatus::Ok)
            return self->later(RetryPause, &EntryLease::grant);
          self->Registered = header.Revision;
          self->IsAnnounced = true;
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
          self->IsAnnounced = false;
          self->grant();
        });
      });
}

} // namespace daisytack::gateway
