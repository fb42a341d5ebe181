#include "limit_enforcer.h"

#include "base/clock.h"
#include "base/digest.h"
#include "net/timer.h"

#include <utility>

namespace daisytack::entry {

namespace {

const Organisation *findByHash(const Snapshot &config, uint64_t hash) {
  for (const Organisation &it : config.Organisations)
    if (hashName(it.Name) == hash)
      return &it;
  return nullptr;
}

} // namespace

LimitDesk::LimitDesk(boost::asio::io_context &io, std::string self,
                     LimitSettings settings, AskPeer ask)
    : Io(io), Self(std::move(self)), Settings(settings), Ask(std::move(ask)),
      Limits(hashName(Self), settings), Owner(settings) {}

void LimitDesk::admit(const Organisation &organisation,
                      const std::shared_ptr<const Snapshot> &config,
                      std::function<void(const Error &)> done) {
  size_t entries = config->Entries.size();
  LimitDecision first = Limits.admit(organisation, entries, monotonicNow());
  bool isAnswered =
      first.OwnerRequest && ask(organisation, *config, *first.OwnerRequest);
  if (first.Verdict == LimitVerdict::Admitted)
    return done({});
  if (first.Verdict == LimitVerdict::Refused)
    return done(first.Reason);
  auto again = [this, &organisation, config, entries, done = std::move(done)] {
    LimitDecision second = Limits.admit(organisation, entries, monotonicNow());
    done(second.Verdict == LimitVerdict::Admitted ? Error() : second.Reason);
  };
  if (isAnswered)
    return again();
  auto timer = std::make_shared<net::Timer>(Io);
  timer->expires_after(Settings.MaxGrantWait);
  timer->async_wait(
      [timer, again = std::move(again)](const auto & /*ec*/) { again(); });
}

bool LimitDesk::ask(const Organisation &organisation, const Snapshot &config,
                    const QuotaRequest &request) {
  const Member *owner = quotaOwner(hashName(organisation.Name), config.Entries);
  if (owner == nullptr)
    return false;
  if (owner->Name != Self) {
    Ask(owner->Peer, request);
    return false;
  }
  TimePoint now = monotonicNow();
  Limits.apply(Owner.grant(organisation, request, now), now);
  return true;
}

void LimitDesk::finished(std::string_view organisation) {
  Limits.releaseSlot(hashName(organisation));
}

std::optional<QuotaGrant> LimitDesk::grant(const QuotaRequest &request,
                                           const Snapshot &config) {
  const Organisation *organisation = findByHash(config, request.Organisation);
  const Member *owner = quotaOwner(request.Organisation, config.Entries);
  if (organisation == nullptr || owner == nullptr || owner->Name != Self)
    return std::nullopt;
  return Owner.grant(*organisation, request, monotonicNow());
}

void LimitDesk::apply(const QuotaGrant &grant) {
  Limits.apply(grant, monotonicNow());
}

} // namespace daisytack::entry
