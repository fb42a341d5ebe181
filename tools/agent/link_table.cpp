#include "link_table.h"

#include <utility>

namespace daisytack::agent {

serve::LinkHandle LinkTable::add(std::shared_ptr<net::FrameLink> link) {
  uint32_t index = Next.fetch_add(1, std::memory_order_relaxed);
  ByLink.insert({link.get(), index});
  {
    std::lock_guard guard(AllLock);
    All.emplace(index, link);
  }
  ByHandle.insert({index, std::move(link)});
  return {index};
}

std::optional<serve::LinkHandle>
LinkTable::find(const net::FrameLink *link) const {
  decltype(ByLink)::const_accessor slot;
  if (!ByLink.find(slot, link))
    return std::nullopt;
  return serve::LinkHandle{slot->second};
}

std::shared_ptr<net::FrameLink>
LinkTable::find(serve::LinkHandle handle) const {
  decltype(ByHandle)::const_accessor slot;
  if (!ByHandle.find(slot, handle.Index))
    return nullptr;
  return slot->second;
}

std::optional<serve::LinkHandle> LinkTable::remove(const net::FrameLink *link) {
  auto handle = find(link);
  if (!handle)
    return std::nullopt;
  ByLink.erase(link);
  ByHandle.erase(handle->Index);
  std::lock_guard guard(AllLock);
  All.erase(handle->Index);
  return handle;
}

size_t LinkTable::pendingBytes() const {
  std::lock_guard guard(AllLock);
  size_t out = 0;
  for (const auto &[handle, link] : All)
    out += link->pendingBytes();
  return out;
}

} // namespace daisytack::agent
