/// Enforces organisations' limits at this entry: admits or refuses each
/// request, requests quota from the entry that owns an organisation's quota,
/// and grants quota if this entry is the owner.
#pragma once

#include "control/snapshot.h"
#include "decide/limits.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace daisytack::entry {

/// Sends a quota request to a peer, through ControlRuntime.
using SendQuotaRequest =
    std::function<void(const Endpoint &peer, const QuotaRequest &request)>;

/// Thread-safe.
class LimitEnforcer {
public:
  LimitEnforcer(boost::asio::io_context &io, std::string self,
                LimitSettings settings, SendQuotaRequest sendRequest);

  /// Calls `done` with ErrorKind::None if the request is admitted.
  /// releaseSlot() must be called when an admitted request ends. May delay the
  /// call by LimitSettings::MaxGrantWait to wait for a quota grant.
  void admit(const Organisation &organisation,
             const std::shared_ptr<const Snapshot> &config,
             std::function<void(const Error &)> done);
  void releaseSlot(std::string_view organisation);

  /// Handles a peer's quota request. Returns std::nullopt if this entry doesn't
  /// own the organisation's quota.
  std::optional<QuotaGrant> grant(const QuotaRequest &request,
                                  const Snapshot &config);
  /// Applies a grant received from a peer.
  void apply(const QuotaGrant &grant);

private:
  /// Returns true if this entry is the owner and its grant is already applied.
  bool requestQuota(const Organisation &organisation, const Snapshot &config,
                    const QuotaRequest &request);

  boost::asio::io_context &Io;
  const std::string Self;
  const LimitSettings Settings;
  const SendQuotaRequest SendRequest;
  OrganisationLimits Limits;
  QuotaOwner Owner;
};

} // namespace daisytack::entry
