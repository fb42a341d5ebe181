/// Maps connections to entries to the handles that AgentCore uses for them.
#pragma once

#include "net/frame_link.h"
#include "serve/agent_messages.h"

#include <tbb/concurrent_hash_map.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace daisytack::agent {

/// Thread-safe.
class LinkTable {
public:
  serve::LinkHandle add(std::shared_ptr<net::FrameLink> link);
  std::optional<serve::LinkHandle> find(const net::FrameLink *link) const;
  /// Returns nullptr if the connection has closed.
  std::shared_ptr<net::FrameLink> find(serve::LinkHandle handle) const;
  std::optional<serve::LinkHandle> remove(const net::FrameLink *link);
  size_t size() const { return ByHandle.size(); }
  /// Total bytes in the connections' send buffers.
  size_t pendingBytes() const;

private:
  std::atomic<uint32_t> Next{0};
  tbb::concurrent_hash_map<const net::FrameLink *, uint32_t> ByLink;
  tbb::concurrent_hash_map<uint32_t, std::shared_ptr<net::FrameLink>> ByHandle;
  /// For iteration: the concurrent tables above can't be iterated during an
  /// erasure.
  mutable std::mutex AllLock;
  std::map<uint32_t, std::shared_ptr<net::FrameLink>> All;
};

} // namespace daisytack::agent
