/// HTTP calls of active runs, indexed by run token so that a run can be
/// cancelled.
#pragma once

#include "net/http_client.h"
#include "serve/agent_messages.h"

#include <tbb/concurrent_hash_map.h>

namespace daisytack::edge {

/// Thread-safe. A call may end before set() is called, which is why begin()
/// registers the run first.
class RunCalls {
public:
  void begin(const serve::RunToken &run);
  /// Stores the call of a run. Ignored when the call has ended; cancels it when
  /// cancel() was called before.
  void set(const serve::RunToken &run, net::HttpCall call);
  void remove(const serve::RunToken &run);
  void cancel(const serve::RunToken &run);

private:
  struct Slot {
    net::HttpCall Call;
    bool IsSet = false;
    bool IsCancelled = false;
  };
  struct Hash {
    static size_t hash(const serve::RunToken &run);
    static bool equal(const serve::RunToken &a, const serve::RunToken &b) {
      return a == b;
    }
  };
  using Table = tbb::concurrent_hash_map<serve::RunToken, Slot, Hash>;

  Table Slots;
};

/// Failure of a run whose call failed: NotRun when nothing was sent, otherwise
/// MayHaveRun.
serve::RunFailed failureOf(const serve::RunToken &run, const Error &error);

} // namespace daisytack::edge
