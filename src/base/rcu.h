/// Read-copy-update pointer: many readers see an immutable snapshot, which a
/// writer replaces as a whole.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace daisytack {

/// Holds the current snapshot of T. A reader that has cached the current
/// version touches no shared cache line but the version counter, which changes
/// only when a writer publishes.
template <class T> class Rcu {
public:
  explicit Rcu(std::shared_ptr<const T> first) : Current(std::move(first)) {}
  Rcu(const Rcu &) = delete;
  Rcu &operator=(const Rcu &) = delete;

  /// Per-thread or per-connection handle of a reader. Not shared between
  /// threads.
  class Reader {
  public:
    explicit Reader(const Rcu &source) : Source(&source) {}

    /// The latest snapshot; the reference is valid until the next call on this
    /// reader, a copy of the pointer for as long as it is held.
    const std::shared_ptr<const T> &get() {
      uint64_t latest = Source->Version.load(std::memory_order_acquire);
      if (!Cached || latest != CachedVersion)
        refresh();
      return Cached;
    }

  private:
    void refresh() {
      std::lock_guard guard(Source->Lock);
      Cached = Source->Current;
      CachedVersion = Source->Version.load(std::memory_order_relaxed);
    }

    const Rcu *Source;
    std::shared_ptr<const T> Cached;
    uint64_t CachedVersion = 0;
  };

  /// Replaces the snapshot; every reader's next get() returns it.
  void publish(std::shared_ptr<const T> next) {
    std::lock_guard guard(Lock);
    Current.swap(next);
    Version.fetch_add(1, std::memory_order_release);
  }

  /// The latest snapshot, for readers outside the request path.
  std::shared_ptr<const T> load() const {
    std::lock_guard guard(Lock);
    return Current;
  }

private:
  mutable std::mutex Lock;
  std::shared_ptr<const T> Current;
  std::atomic<uint64_t> Version{0};
};

} // namespace daisytack
