/// Requests and responses of etcd's v3 JSON gateway. Every response is
/// validated; a response that does not parse is an error, never a default
/// value.
#pragma once

#include "edge/kv.h"

#include <optional>
#include <string>
#include <string_view>

namespace daisytack::edge::etcd {

std::string rangeRequest(const KvRange &range);
std::string transactionRequest(const KvTransaction &transaction);
std::string leaseGrantRequest(Duration timeToLive);
/// Request for both keepalive and revoke.
std::string leaseRequest(uint64_t lease);
std::string watchRequest(const std::string &begin, const std::string &end,
                         uint64_t fromRevision);

/// Each sets the reason and returns nullopt when the text is not such a
/// response. Header.Status of the result is Ok or CompareFailed.
std::optional<KvRangeResult> parseRange(std::string_view text, Error &reason);
std::optional<KvTransactionResult> parseTransaction(std::string_view text,
                                                    Error &reason);
std::optional<KvLeaseResult> parseLeaseGrant(std::string_view text,
                                             Error &reason);
std::optional<KvLeaseResult> parseLeaseKeepalive(std::string_view text,
                                                 Error &reason);
std::optional<KvLeaseResult> parseLeaseRevoke(std::string_view text,
                                              Error &reason);

/// One message of a watch stream.
struct WatchMessage {
  KvHeader Header; ///< Revision: all changes up to it have been reported, see
                   ///< KvWatchHooks::Changed.
  bool Created = false; ///< First message; reports no progress.
  bool Canceled = false;
  uint64_t CompactRevision = 0;
  std::vector<KvChange> Changes;
};
std::optional<WatchMessage> parseWatch(std::string_view text, Error &reason);

/// The message of an error response, or its text, truncated.
std::string errorMessage(std::string_view text);

} // namespace daisytack::edge::etcd
