/// Organisations' limits at this entry: decides on each request, asks the entry
/// that allots an organisation's limits, and answers when that is this one.
#pragma once

#include "control/snapshot.h"
#include "decide/limits.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace daisytack::entry {

/// How peers are asked; from ControlRuntime.
using SendQuotaRequest =
    std::function<void(const Endpoint &peer, const QuotaRequest &request)>;

/// Thread-safe.
class LimitEnforcer {
public:
  LimitEnforcer(boost::asio::io_context &io, std::string self,
                LimitSettings settings, SendQuotaRequest sendRequest);

  /// Calls done with None when the request is admitted; finished must follow
  /// its end. May hold it for the time of a grant.
  void admit(const Organisation &organisation,
             const std::shared_ptr<const Snapshot> &config,
             std::function<void(const Error &)> done);
  void releaseSlot(std::string_view organisation);

  /// From peers.
  std::optional<QuotaGrant> grant(const QuotaRequest &request,
                                  const Snapshot &config);
  void apply(const QuotaGrant &grant);

private:
  /// True when this process is the owner and has answered already.
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
