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

LimitEnforcer::LimitEnforcer(boost::asio::io_context &io, std::string self,
                             LimitSettings settings,
                             SendQuotaRequest sendRequest)
    : Io(io), Self(std::move(self)), Settings(settings),
      SendRequest(std::move(sendRequest)), Limits(hashName(Self), settings),
      Owner(settings) {}

void LimitEnforcer::admit(const Organisation &organisation,
                          const std::shared_ptr<const Snapshot> &config,
                          std::function<void(const Error &)> done) {
  size_t entries = config->Entries.size();
  LimitDecision first = Limits.admit(organisation, entries, monotonicNow());
  bool isGranted = first.OwnerRequest &&
                   requestQuota(organisation, *config, *first.OwnerRequest);
  if (first.Verdict == LimitVerdict::Admitted)
    return done({});
  if (first.Verdict == LimitVerdict::Refused)
    return done(first.Reason);
  auto retry = [this, &organisation, config, entries, done = std::move(done)] {
    LimitDecision second = Limits.admit(organisation, entries, monotonicNow());
    done(second.Verdict == LimitVerdict::Admitted ? Error() : second.Reason);
  };
  if (isGranted)
    return retry();
  auto timer = std::make_shared<net::Timer>(Io);
  timer->expires_after(Settings.MaxGrantWait);
  timer->async_wait(
      [timer, retry = std::move(retry)](const auto & /*ec*/) { retry(); });
}

bool LimitEnforcer::requestQuota(const Organisation &organisation,
                                 const Snapshot &config,
                                 const QuotaRequest &request) {
  const Member *owner = quotaOwner(hashName(organisation.Name), config.Entries);
  if (owner == nullptr)
    return false;
  if (owner->Name != Self) {
    SendRequest(owner->Peer, request);
    return false;
  }
  TimePoint now = monotonicNow();
  Limits.apply(Owner.grant(organisation, request, now), now);
  return true;
}

void LimitEnforcer::releaseSlot(std::string_view organisation) {
  Limits.releaseSlot(hashName(organisation));
}

std::optional<QuotaGrant> LimitEnforcer::grant(const QuotaRequest &request,
                                               const Snapshot &config) {
  const Organisation *organisation = findByHash(config, request.Organisation);
  const Member *owner = quotaOwner(request.Organisation, config.Entries);
  if (organisation == nullptr || owner == nullptr || owner->Name != Self)
    return std::nullopt;
  return Owner.grant(*organisation, request, monotonicNow());
}

void LimitEnforcer::apply(const QuotaGrant &grant) {
  Limits.apply(grant, monotonicNow());
}

} // namespace daisytack::entry
